/* fuzz_sched.cc -- stateful fuzzing of two schedulers of one domain */
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include "script.h"

#include "sim.h"

#ifdef GL_TEST_FAULTS
fault_t fault_on = FAULT_NONE;
#endif

/* Most steps of a script. */
static const int SCRIPT_STEPS = 100;
/* Kinds of steps: the faults first, then submit, cancel and cordon. */
static const int KINDS = 32;
/* Longest time between two steps. */
static const int GAP_MS = 6000;
static const int FAULTS = (int)Fault::Count;

static void
play_step (Sim &sim, const Step &s)
{
  if (s.kind < FAULTS)
    sim.inject ((Fault)s.kind, s.arg, 200 + s.arg % 40000);
  else if (s.kind < 27)
    sim.submit (s.arg);
  else if (s.kind < 30)
    sim.cancel (s.arg);
  else
    sim.cordon (s.arg);
  sim.run ((uint64_t)s.gap);
}

/* What all scripts together caused; checked so that a run in which nothing
   happens does not pass. */
static struct
{
  uint64_t starts, commits, accepted, jobs, virtual_ms;
} totals;

/* Run one script; returns the first violation, "" if there is none. */
static std::string
play (const std::vector<Step> &script, uint64_t seed, uint64_t *steps)
{
  Sim sim (seed);

  if (getenv ("GL_TRACE"))
    sim.trace = [] (const std::string &l) {
      {
        puts (l.c_str ());
        fflush (stdout);
      }
    };
  sim.run (8000);
  for (auto &s : script)
    {
      if (!sim.violation ().empty ())
        break;
      play_step (sim, s);
    }
  if (sim.violation ().empty ())
    sim.run_to_completion ();
  for (auto &w : sim.workers)
    totals.starts += w.starts;
  totals.commits += sim.oracle.seq;
  totals.accepted += sim.oracle.accepted.size ();
  totals.jobs += sim.oracle.jobs.size ();
  totals.virtual_ms += sim.now;
  if (steps)
    *steps += sim.steps;
  return sim.violation ();
}

/* Scripts that once found a violation, which has been fixed since. */
class Script : public testing::TestWithParam<const char *>
{
};

TEST_P (Script, Holds)
{
  std::vector<Step> script;
  uint64_t world_seed = 0;
  std::string path = std::string ("tests/scripts/") + GetParam ();

  ASSERT_TRUE (read_script (path.c_str (), &script, &world_seed)) << path;
  EXPECT_EQ ("", play (script, world_seed, NULL));
}

INSTANTIATE_TEST_SUITE_P (Found, Script, testing::Values ("base-fence.txt"));

/* Both schedulers stop at once and come back after 5 s.  Each has 10 s for its
   stop, so the owner can own the domain until then. */
TEST (Stop, OfAllSchedulersLeavesAnOwner)
{
  const std::vector<Step> script
      = { { (int)Fault::StopSched, 0, 0 }, { (int)Fault::StopSched, 1, 0 } };
  const int AWAY_MS = 5000, STEP_MS = 100;
  int without_owner_ms = 0;
  Sim sim (1);

  sim.restart_ms = AWAY_MS;
  sim.run (8000);
  ASSERT_GE (sim.active (), 0);
  for (auto &s : script)
    play_step (sim, s);
  for (int t = 0; t < AWAY_MS; t += STEP_MS)
    {
      sim.run (STEP_MS);
      without_owner_ms += sim.active () < 0 ? STEP_MS : 0;
    }
  ASSERT_EQ ("", sim.violation ());
  if (without_owner_ms
      && is_known_red ("fuzz_sched: Stop.OfAllSchedulersLeavesAnOwner"))
    {
      printf ("RED  no owner for %d of %d ms (KNOWN-RED.txt)\n",
              without_owner_ms, AWAY_MS);
      GTEST_SKIP ();
    }
  EXPECT_EQ (0, without_owner_ms);
}

/* Runs the script in the file that the environment variable SCRIPT names. */
TEST (Replay, FromEnvironment)
{
  std::vector<Step> script;
  uint64_t world_seed = 0;
  const char *path = getenv ("SCRIPT");

  ASSERT_TRUE (read_script (path ? path : "tests/scripts/base-fence.txt",
                            &script, &world_seed));
  EXPECT_EQ ("", play (script, world_seed, NULL));
}

/* Run up to @cases random scripts of about full length and return the first
   violation, without a search for the shortest script. */
static std::string
fuzz_first (uint64_t seed, int cases, uint64_t *steps)
{
  rc::Random random (seed);

  for (int i = 0; i < cases; i++)
    {
      auto gen
          = rc::gen::container<std::vector<Step> > (gen_step (KINDS, GAP_MS));
      auto script = gen (random.split (), SCRIPT_STEPS).value ();
      std::string v = play (script, seed * 1000 + (uint64_t)i, steps);
      if (!v.empty ())
        return v;
    }
  return "";
}

/* Run @cases random scripts; returns the report of the first failure. */
static std::string
fuzz (uint64_t seed, int cases, uint64_t *steps)
{
  rc::detail::TestParams params;
  std::ostringstream os;

  params.seed = seed;
  params.maxSuccess = cases;
  params.disableShrinking = getenv ("NO_SHRINK") != NULL;
  auto result = rc::detail::checkTestable (
      [&] {
        auto script = *rc::gen::resize (
            SCRIPT_STEPS,
            rc::gen::container<std::vector<Step> > (gen_step (KINDS, GAP_MS)));
        auto world_seed = *gen_world_seed ();
        std::string v = play (script, world_seed, steps);
        if (!v.empty ())
          RC_FAIL (v);
      },
      rc::detail::TestMetadata (), params);
  if (result.template is<rc::detail::SuccessResult> ())
    return "";
  rc::detail::printResultMessage (result, os);
  return "seed " + std::to_string (seed) + "\n" + os.str ();
}

TEST (FuzzSched, PromisesHold)
{
  uint64_t steps = 0;
  int cases = env_int ("CASES", 4000);
  std::string report = fuzz ((uint64_t)env_int ("SEED", 1), cases, &steps);

  EXPECT_EQ ("", report);
  printf ("%llu reducer steps, %llu starts, %llu commits, %llu jobs "
          "confirmed of %llu committed, %llu virtual s\n",
          (unsigned long long)steps, (unsigned long long)totals.starts,
          (unsigned long long)totals.commits,
          (unsigned long long)totals.accepted, (unsigned long long)totals.jobs,
          (unsigned long long)totals.virtual_ms / 1000);
  EXPECT_GT (totals.starts, (uint64_t)cases);
}

#ifdef GL_TEST_FAULTS
/* Every deliberate fault must cause a violation that the fuzzer finds. */
class FuzzSchedFault : public testing::TestWithParam<fault_t>
{
};

TEST_P (FuzzSchedFault, IsCaught)
{
  uint64_t steps = 0;
  std::string report;

  fault_on = GetParam ();
  for (uint64_t seed = 1; report.empty () && seed <= 40; seed++)
    report = fuzz_first (seed, 100, &steps);
  fault_on = FAULT_NONE;
  EXPECT_NE ("", report) << "fault " << GetParam () << " was not found";
  printf ("fault %d found after %llu steps: %s\n", (int)GetParam (),
          (unsigned long long)steps, report.c_str ());
}

INSTANTIATE_TEST_SUITE_P (
    All, FuzzSchedFault,
    testing::Values (FAULT_START_BEFORE_COMMIT, FAULT_ANSWER_BEFORE_COMMIT,
                     FAULT_SKIP_BOOT_CHECK, FAULT_NO_RUN_OUT,
                     FAULT_NO_INHERITED_BOUND, FAULT_FREE_TWICE,
                     FAULT_OVERFILL, FAULT_GANG_PARTIAL, FAULT_IGNORE_QUOTA,
                     FAULT_FORGET_FENCE, FAULT_ANSWER_TWICE));
#endif
