/* fuzz_cell.cc -- random scripts against the cell, under every fault that its
   world knows; the oracle is in cellworld.cc */
#include "cellworld.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "script.h"

#ifdef GL_TEST_FAULTS
extern "C"
{
#include "fault.h"
  fault_t fault_on = FAULT_NONE;
}
#endif

static const int KINDS = 24;
static const int GAP_MS = 700;
static const int STEPS = 40;
static const gl_ms_t SETTLE_MS = 40000;

static std::string
job_id (int n)
{
  char id[20];

  snprintf (id, sizeof id, "%016x", n);
  return id;
}

struct Player
{
  World w;
  int submitted = 0;

  explicit Player (uint64_t seed, bool advised) : w (3, 5, seed, advised)
  {
    /* Stops take long on some workers. */
    for (size_t i = 0; i < w.workers.size (); i += 2)
      w.workers[i].stop_ms = 900;
    w.run (800);
  }

  void
  submit (uint32_t arg)
  {
    std::vector<gl_step_t> steps;
    int width = 1 + (int)(arg % 5);
    int cpus = 500 + (int)(arg / 8 % 4) * 500;
    bool gang = arg / 64 % 3 == 0;

    steps.push_back (world_step (width, cpus, gang));
    if (arg / 256 % 2)
      steps.push_back (
          world_step (1 + (int)(arg / 512 % 3), 700, false, { 0 }));
    w.submit (job_id (++submitted), arg / 2048 % 2 ? "urgent" : "batch",
              steps);
  }

  void
  again (uint32_t arg)
  {
    std::string id = submitted ? job_id (1 + (int)(arg % submitted)) : "";
    std::vector<gl_step_t> steps;

    if (!submitted)
      return;
    JobSeen &j = w.jobs[id];
    for (size_t i = 0; i < j.widths.size (); i++)
      steps.push_back (
          world_step (j.widths[i], j.needs[i].cpus_m, j.gangs[i], j.after[i]));
    w.submit (id, "batch", steps);
  }

  void
  play (const Step &s)
  {
    int vm = (int)(s.arg % w.vms.size ());
    size_t wk = s.arg % w.workers.size ();
    int owner = w.owner ();

    if (s.kind < 7)
      submit (s.arg);
    else if (s.kind == 7)
      again (s.arg);
    else if (s.kind == 8 && submitted)
      w.cancel (job_id (1 + (int)(s.arg % (uint32_t)submitted)));
    else if (s.kind == 9)
      w.kill_vm (owner >= 0 ? owner : vm);
    else if (s.kind == 10)
      w.kill_vm (vm);
    else if (s.kind == 11 || s.kind == 12)
      w.start_vm (vm);
    else if (s.kind == 13)
      w.freeze_vm (owner >= 0 ? owner : vm, true);
    else if (s.kind == 14)
      for (size_t i = 0; i < w.vms.size (); i++)
        w.freeze_vm ((int)i, false);
    else if (s.kind == 15)
      w.store_mode = (StoreMode)(s.arg % 4);
    else if (s.kind == 16)
      w.store_mode = StoreMode::fine;
    else if (s.kind == 17)
      w.vms[(size_t)(owner >= 0 ? owner : vm)].store_cut = true;
    else if (s.kind == 18)
      for (auto &v : w.vms)
        v.store_cut = false;
    else if (s.kind == 19)
      w.workers[wk].reachable = !w.workers[wk].reachable;
    else if (s.kind == 20)
      w.workers[wk].late_ms = w.workers[wk].late_ms ? 0 : 2500;
    else if (s.kind == 21)
      w.workers[wk].loses_answers = !w.workers[wk].loses_answers;
    else if (s.kind == 22)
      w.crash_worker ((int)wk);
    else if (s.kind == 23)
      w.set_listed ((int)wk, !w.workers[wk].listed);
    w.run ((gl_ms_t)s.gap);
  }
};

static std::string
play_all (uint64_t seed, const std::vector<Step> &steps, uint64_t *starts)
{
  Player p (seed, seed % 2 == 0);

  for (const Step &s : steps)
    p.play (s);
  p.w.settle (SETTLE_MS);
  *starts += p.w.starts;
  return p.w.broken.empty () ? "" : p.w.broken[0];
}

/* Scripts that once broke a promise; each must pass for ever after. */
class Script : public testing::TestWithParam<std::string>
{
};

TEST_P (Script, Holds)
{
  std::vector<Step> script;
  uint64_t world = 0;
  uint64_t starts = 0;

  ASSERT_TRUE (read_script (GetParam ().c_str (), &script, &world));
  EXPECT_EQ ("", play_all (world, script, &starts));
}

INSTANTIATE_TEST_SUITE_P (
    Found, Script, testing::ValuesIn (scripts_in ("tests/cell-scripts")));

/* SCRIPT=file looks into another failure. */
TEST (Replay, FromEnvironment)
{
  std::vector<Step> script;
  uint64_t world = 0;
  uint64_t starts = 0;
  const char *path = getenv ("SCRIPT");

  if (!path)
    return;
  ASSERT_TRUE (read_script (path, &script, &world));
  EXPECT_EQ ("", play_all (world, script, &starts));
}

TEST (FuzzCell, PromisesHold)
{
  rc::detail::TestParams params;
  std::ostringstream os;
  uint64_t starts = 0;

  params.seed = (uint64_t)env_int ("SEED", 1);
  params.maxSuccess = env_int ("CASES", 1500);
  params.disableShrinking = getenv ("NO_SHRINK") != NULL;
  auto result = rc::detail::checkTestable (
      [&] {
        auto script = *gen_script (STEPS, KINDS, GAP_MS);
        auto seed = *gen_world_seed ();
        std::string v = play_all (seed, script, &starts);
        if (!v.empty ())
          RC_FAIL (v);
      },
      rc::detail::TestMetadata (), params);
  if (!result.template is<rc::detail::SuccessResult> ())
    {
      rc::detail::printResultMessage (result, os);
      ADD_FAILURE () << "seed " << params.seed << "\n" << os.str ();
    }
  printf ("%llu starts\n", (unsigned long long)starts);
  EXPECT_GT (starts, (uint64_t)params.maxSuccess);
}

#ifdef GL_TEST_FAULTS
/* The checks bite: every deliberate fault is found. */
class FuzzCellFault : public testing::TestWithParam<fault_t>
{
};

TEST_P (FuzzCellFault, IsCaught)
{
  static const int SCRIPTS = 2000;
  uint64_t starts = 0;
  std::string v;
  rc::Random random (7);
  int i;

  fault_on = GetParam ();
  for (i = 0; v.empty () && i < SCRIPTS; i++)
    {
      auto gen
          = rc::gen::container<std::vector<Step> > (gen_step (KINDS, GAP_MS));
      auto script = gen (random.split (), STEPS).value ();
      v = play_all ((uint64_t)i, script, &starts);
    }
  fault_on = FAULT_NONE;
  EXPECT_NE ("", v) << "fault " << GetParam () << " was not found";
  printf ("fault %d found by script %d: %s\n", (int)GetParam (), i,
          v.c_str ());
}

INSTANTIATE_TEST_SUITE_P (All, FuzzCellFault,
                          testing::Values (FAULT_CELL_FORGET_EARLY,
                                           FAULT_CELL_NO_CENSUS,
                                           FAULT_CELL_ACCEPT_EARLY,
                                           FAULT_CELL_FAILURE_TWICE,
                                           FAULT_CELL_NO_FENCE));
#endif
