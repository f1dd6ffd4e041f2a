/* policy.cc -- tests of the placement policy and of probation under load, in
   virtual time */
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

extern "C"
{
#include "drive.h"
#include "fault.h"
}

#ifdef GL_TEST_FAULTS
fault_t fault_on = FAULT_NONE;
#endif

/* How long attempts run and which of them fail. */
struct Behaviour
{
  std::set<std::string> bad_workers;
  std::set<uint64_t> bad_jobs;
  std::map<std::string, int> attempts;
  uint64_t run_factor_ms = 1000;
};

static uint64_t
run_time (void *ctx, const gl_start_t *s)
{
  return s->runtime_s * ((Behaviour *)ctx)->run_factor_ms;
}

static int
attempt_fails (void *ctx, const char *worker, const gl_start_t *s)
{
  Behaviour *p = (Behaviour *)ctx;
  p->attempts[worker]++;
  return p->bad_workers.count (worker) || p->bad_jobs.count (s->task.job);
}

struct Domain
{
  Behaviour behaviour;
  drive_t *d;
  uint64_t id = 0;

  explicit Domain (int workers, int teams = 4)
  {
    drive_worker_group_t group = { workers, 8, { 16000, 65536, 0 } };
    d = drive_new (&group, 1, teams, GL_POLICY_FULL, run_time, &behaviour);
    d->fails = attempt_fails;
  }
  ~Domain () { drive_free (d); }
  uint64_t
  submit (gl_class_t cls, uint32_t tasks, int cpus_m, uint32_t runtime_s,
          int team = 0)
  {
    drive_submit (d, ++id, cls, team, tasks, { cpus_m, 1024, 0 }, runtime_s);
    return id;
  }
  void
  run (gl_ms_t ms)
  {
    drive_run_until (d, d->now + ms);
  }
  std::string
  view (const char *what, uint64_t job = 0)
  {
    char *t = gl_sched_view (d->s, what, job, d->now);
    std::string s = t ? t : "";
    free (t);
    return s;
  }
  bool
  job_is (uint64_t job, const char *state)
  {
    return view ("job", job).find (std::string ("\"state\":\"") + state)
           != std::string::npos;
  }
  uint64_t
  counter (const char *name)
  {
    char *t = gl_sched_metrics (d->s);
    std::string s = t;
    free (t);
    size_t at = s.find (std::string ("\ngl_sched_") + name + "{");
    return strtoull (s.c_str () + s.find ("} ", at) + 2, NULL, 10);
  }
  int
  on_probation ()
  {
    std::string s = view ("workers");
    int n = 0;
    for (size_t at = 0;
         (at = s.find ("\"probation\":true", at)) != std::string::npos; at++)
      n++;
    return n;
  }
  /* Tasks of the class whose first attempt has started. */
  int
  started (const char *cls)
  {
    std::string s = view ("waits");
    size_t at = s.find (std::string ("\"") + cls + "\"");
    at = s.find ("\"count\":", at);
    return atoi (s.c_str () + at + 8);
  }
  /* CPUs that a team uses, in thousandths. */
  int
  team_cpus (int team)
  {
    std::string s = view ("queues");
    size_t at = s.find ("\"team\":\"t" + std::to_string (team) + "\"");
    at = s.find ("\"used\":{\"cpus_m\":", at);
    return atoi (s.c_str () + at + 17);
  }
  /* Upper edge of the bin with the class's 99th percentile, ms. */
  double
  p99 (const char *cls)
  {
    std::string s = view ("waits");
    size_t at = s.find (std::string ("\"") + cls + "\"");
    at = s.find ("\"p99_ms\":", at);
    return strtod (s.c_str () + at + 9, NULL);
  }
};

TEST (Probation, AWorkerThatFailsEverythingIsPutOnProbation)
{
  Domain c (10);
  c.behaviour.bad_workers = { "w3" };
  for (int i = 0; i < 120; i++)
    {
      c.submit (GL_CLASS_BATCH, 1, 8000, 2);
      c.run (200);
    }
  c.run (60000);
  EXPECT_GE (c.counter ("probations"), 1u);
  /* Three failures start the first probation, then one failure each starts
     the next; probations last 30 s or longer. */
  EXPECT_LE (c.behaviour.attempts["w3"], 3 + 4);
  EXPECT_EQ (120u, c.counter ("ended_ok"));
}

TEST (Probation, AJobThatAlwaysFailsPutsNoWorkerOnProbation)
{
  Domain c (6);
  uint64_t bad = c.submit (GL_CLASS_BATCH, 40, 2000, 1);
  c.behaviour.bad_jobs = { bad };
  for (int i = 0; i < 30; i++)
    {
      c.submit (GL_CLASS_BATCH, 1, 1000, 1);
      c.run (1000);
    }
  c.run (600000);
  EXPECT_EQ (0u, c.counter ("probations"));
  EXPECT_TRUE (c.job_is (bad, "failed"));
  EXPECT_EQ (30u, c.counter ("ended_ok"));
}

TEST (Probation, FailuresOnAllWorkersPutOnlyAFewOnProbation)
{
  Domain c (20);
  int most = 0;
  for (int i = 0; i < 20; i++)
    c.behaviour.bad_workers.insert ("w" + std::to_string (i));
  for (int i = 0; i < 300; i++)
    {
      c.submit (GL_CLASS_BATCH, 1, 8000, 1);
      c.run (100);
      most = std::max (most, c.on_probation ());
    }
  /* At least one worker is on probation, and never more than 30 percent. */
  EXPECT_GE (most, 1);
  EXPECT_LE (most, 6);
  c.behaviour.bad_workers.clear ();
  c.run (120000);
  EXPECT_GE (c.counter ("ended_ok"), 250u);
}

TEST (Preempt, UrgentJobsPreemptTheNewestTasksOnlyOnce)
{
  Domain c (4);
  uint64_t old_job = c.submit (GL_CLASS_BATCH, 4, 8000, 600);
  c.run (60000);
  uint64_t young = c.submit (GL_CLASS_BATCH, 4, 8000, 600);
  c.run (60000);
  for (int i = 0; i < 4; i++)
    c.submit (GL_CLASS_URGENT, 1, 4000, 5);
  c.run (2400);
  EXPECT_EQ (4, c.started ("urgent"));
  EXPECT_LE (c.p99 ("urgent"), 2400);
  EXPECT_NE (std::string::npos, c.view ("job", old_job).find ("\"live\":4"))
      << c.view ("job", old_job);
  c.run (2000000);
  EXPECT_TRUE (c.job_is (young, "finished"));
  EXPECT_TRUE (c.job_is (old_job, "finished"));
  EXPECT_LE (c.counter ("preempted"), 4u);
}

TEST (Reservation, SmallJobsDoNotDelayAGangForever)
{
  Domain c (8);
  for (int i = 0; i < 60; i++)
    {
      c.submit (GL_CLASS_BATCH, 1, 2000, 30);
      c.run (200);
    }
  uint64_t gang = c.submit (GL_CLASS_GANG, 8, 14000, 10);
  /* Small jobs keep coming, about twice as much work as the workers hold. */
  for (int i = 0; i < 1200 && !c.job_is (gang, "finished"); i++)
    {
      c.submit (GL_CLASS_BATCH, 1, 2000, 30);
      c.run (250);
    }
  EXPECT_TRUE (c.job_is (gang, "finished")) << c.view ("job", gang);
}

TEST (Ageing, NothingStarvesUnderHigherClasses)
{
  Domain c (2);
  uint64_t low = c.submit (GL_CLASS_BATCH, 1, 12000, 5);
  /* Gangs fill all workers; each is queued before the previous one ends. */
  for (int i = 0; i < 400 && !c.job_is (low, "finished"); i++)
    {
      c.submit (GL_CLASS_GANG, 4, 6000, 8, 1);
      c.run (4000);
    }
  EXPECT_TRUE (c.job_is (low, "finished")) << c.view ("job", low);
}

TEST (Fairness, TeamsWithEqualWorkGetEqualShares)
{
  Domain c (4, 4);
  /* Three teams submit equal tasks; the first submits five times as many. */
  for (int i = 0; i < 300; i++)
    c.submit (GL_CLASS_BATCH, 1, 1000, 100, 0);
  for (int t = 1; t < 3; t++)
    for (int i = 0; i < 60; i++)
      c.submit (GL_CLASS_BATCH, 1, 1000, 100, t);
  /* The first team fills the workers at once; when its tasks end, the room is
     divided evenly. */
  c.run (150000);
  for (int t = 0; t < 3; t++)
    EXPECT_NEAR (64000 / 3, c.team_cpus (t), 1000) << "team " << t;
}

TEST (StoreBack, NoThunderingHerdAfterALongOutage)
{
  Domain c (119, 20);
  for (int i = 0; i < 100; i++)
    {
      c.submit (GL_CLASS_BATCH, 8, 1000, 100);
      c.run (60);
    }
  c.d->store_down = 1;
  c.run (600000);
  uint64_t before = c.d->store_gets + c.d->store_puts;
  uint64_t calls = c.d->worker_calls;
  c.d->store_down = 0;
  c.run (10000);
  /* The store takes several hundred calls a second from six domains. */
  EXPECT_LE (c.d->store_gets + c.d->store_puts - before, 10u * 50);
  /* At most one call for each of the 800 ended tasks, and a few per worker. */
  EXPECT_LE (c.d->worker_calls - calls, 800u + 119u * 4);
  EXPECT_EQ (800u, c.counter ("ended_ok"));
  c.submit (GL_CLASS_URGENT, 1, 1000, 1);
  c.run (2400);
  EXPECT_LE (c.p99 ("urgent"), 2400);
}
