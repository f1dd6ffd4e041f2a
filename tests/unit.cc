/* unit.cc -- tests of single modules: tables, timers, configuration, codec,
   placement, single steps of the scheduler, the event loop, logging, and HTTP
   and RPC over loopback */
#include <arpa/inet.h>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "ask.h"
#include "cellpace.h"
#include "cellpair.h"
#include "cellratio.h"
#include "cellset.h"
#include "cellshare.h"
#include "cellyield.h"
#include "codec.h"
#include "gl_cell.h"
#include "conf.h"
#include "fault.h"
#include "gentianlatch.h"
#include "gl_rpc.h"
#include "httpc.h"
#include "httpd.h"
#include "logs.h"
#include "loop.h"
#include "metrics.h"
#include "place.h"
#include "pool.h"
#include "rpcc.h"
#include "rpcd.h"
#include "settings.h"
#include "timer.h"
}

#ifdef GL_TEST_FAULTS
fault_t fault_on = FAULT_NONE;
#endif

/* ---- tables and timers ---- */

/* ---- VMs of unequal strength ---- */

/* The VMs of a cell: the former owner, a strong one and a weak one. */
static std::vector<cvm_t>
unequal_vms ()
{
  std::vector<cvm_t> vms (3);
  const uint32_t cpus_m[] = { 500, 500, 90 };

  for (size_t i = 0; i < vms.size (); i++)
    {
      vms[i] = {};
      snprintf (vms[i].vm, sizeof vms[i].vm, "vm%zu", i);
      vms[i].registered = 1;
      vms[i].may_claim = 1;
      vms[i].cpu_m = cpus_m[i];
    }
  return vms;
}

/* Guards against a weak VM that takes the cell over before a strong one may,
   which has just come back to the store as the owner is lost. */
TEST (Yield, WeakVmsLeaveClaimsToStrongOnes)
{
  std::vector<cvm_t> vms = unequal_vms ();

  EXPECT_EQ (0u, yield_claim_delay_ms (vms.data (), 3, "vm0", 500));
  EXPECT_LT (400u + 60, yield_claim_delay_ms (vms.data (), 3, "vm0", 90));
  EXPECT_EQ (250u, yield_claim_delay_ms (vms.data (), 3, "vm0", 300));
  /* The VM that loses the cell, those that stop and those that are gone do not
     count. */
  vms[1].stopping = 1;
  EXPECT_EQ (0u, yield_claim_delay_ms (vms.data (), 3, "vm0", 90));
  vms[1].stopping = 0;
  vms[1].registered = 0;
  EXPECT_EQ (0u, yield_claim_delay_ms (vms.data (), 3, "vm0", 90));
}

/* Guards against an owner that stays without the processor for the load, and
   against a cell that is handed over to a VM which is not ready for long. */
TEST (Yield, AWeakOwnerHandsOverToAReadyVm)
{
  std::vector<cvm_t> vms = unequal_vms ();
  cyield_t y;

  yield_reset (&y);
  vms[0].registered = 0;
  for (gl_ms_t now = 1000; now <= 2000; now += 50)
    {
      vms[1].answered_at = now;
      vms[1].store_age_ms = now < 1300 ? 900 : 10;
      EXPECT_EQ (now >= 1900,
                 yield_is_due (&y, vms.data (), 3, "vm2", 90, 1, now) != 0)
          << now;
    }
  EXPECT_FALSE (yield_is_due (&y, vms.data (), 3, "vm2", 300, 1, 9000));
  EXPECT_FALSE (yield_is_due (&y, vms.data (), 3, "vm2", 0, 1, 9000));
}

TEST (Pool, StaleHandlesFindNothing)
{
  pool_t p;
  pool_init (&p, sizeof (int));
  std::vector<handle_t> old;
  for (int i = 0; i < 1000; i++)
    old.push_back (pool_add (&p));
  for (auto h : old)
    pool_del (&p, h);
  for (int i = 0; i < 1000; i++)
    ASSERT_NE (0u, pool_add (&p));
  for (auto h : old)
    EXPECT_EQ (nullptr, pool_get (&p, h));
  EXPECT_EQ (nullptr, pool_get (&p, 0));
  EXPECT_EQ (1000u, p.count);
  pool_destroy (&p);
}

static std::vector<int> fired;

static void
fire (void *ctx, gl_ms_t)
{
  fired.push_back (*(int *)ctx);
}

TEST (Timer, FiresInOrderOfDueTime)
{
  timer_service_t ts{};
  int names[] = { 0, 1, 2 };
  int id[3];
  for (int i = 0; i < 3; i++)
    id[i] = timer_subscribe (&ts, fire, &names[i]);
  fired.clear ();
  timer_arm (&ts, id[0], 30);
  timer_arm (&ts, id[1], 10);
  timer_arm (&ts, id[2], 20);
  timer_arm_before (&ts, id[0], 40);
  timer_run (&ts, 25);
  EXPECT_EQ ((std::vector<int>{ 1, 2 }), fired);
  EXPECT_EQ (30u, timer_next (&ts));
  timer_run (&ts, 30);
  EXPECT_EQ (TIMER_NEVER, timer_next (&ts));
}

TEST (Hist, QuantileWithinOneBin)
{
  hist_t h{};
  for (int i = 1; i <= 1000; i++)
    hist_add (&h, i);
  EXPECT_NEAR (500, hist_quantile (&h, 0.5), 500 * 0.16);
  EXPECT_NEAR (990, hist_quantile (&h, 0.99), 990 * 0.16);
  hist_add (&h, 1e12);
  EXPECT_EQ (1001u, h.n);
  hist_destroy (&h);
}

/* ---- speeds of workers ---- */

static const int PACE_WORKERS = 350;

struct PaceTrial
{
  int step_tasks;
  double noise;
  bool three_speeds;
  double reached_at; /* runs a worker when 90% of the classes were right */
  double share;      /* of the classes that are right in the end */
  double old_share;  /* the same by ratios to estimates, at best */
};

static int
class_from_ratio (double slowness)
{
  return slowness < 1 / 1.25 ? -1 : slowness > 1.25;
}

/* Steps on random workers, with the bookings deployment's errors: the estimate
   of a step is off by a log-normal factor, and 3 of 100 runs take seven times
   as long.  The measure that this replaced, a worker's average ratio of run
   time to estimate, is computed beside. */
static void
run_pace_trial (PaceTrial &trial, int runs_per_worker)
{
  static const double speeds[] = { 1.6, 1.0, 0.6 };
  std::mt19937_64 random (7);
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform;
  std::vector<int> speed (PACE_WORKERS, 1);
  std::vector<pace_t> pace (PACE_WORKERS);
  std::vector<double> ratio (PACE_WORKERS, 1.0);
  pace_cell_t cell{};
  double usual = 0;
  gl_ms_t now = 1000;
  int next = 1;

  if (trial.three_speeds)
    for (int &s : speed)
      s = (int)(random () % 3);
  trial.reached_at = trial.old_share = 0;
  for (int runs = 0; next <= runs_per_worker; runs += trial.step_tasks)
    {
      double factor = exp (0.5 * normal (random));
      std::vector<pace_run_t> run;
      std::vector<size_t> on;

      for (int k = 0; k < trial.step_tasks; k++)
        {
          on.push_back (random () % PACE_WORKERS);
          double took = factor / speeds[speed[on.back ()]]
                        * exp (trial.noise * normal (random))
                        * (uniform (random) < 0.03 ? 7 : 1);
          run.push_back (
              { log (took), pace_log_slowness (&pace[on.back ()], now), 1 });
          if (took < 0.1 || took > 10)
            continue;
          usual += usual > 0 ? 0.01 * (took - usual) : took;
          ratio[on.back ()] += 0.15 * (took / usual - ratio[on.back ()]);
        }
      for (int k = 0; k < trial.step_tasks; k++)
        {
          double reference;
          if (pace_reference (run.data (), trial.step_tasks, k, &reference))
            pace_observe (&cell, &pace[on[(size_t)k]],
                          run[(size_t)k].log_ms - reference, now);
        }
      now += (gl_ms_t)trial.step_tasks * 2;
      if (runs < next * PACE_WORKERS)
        continue;
      std::vector<double> known;
      int right = 0;
      int old_right = 0;
      for (auto &w : pace)
        if (pace_known (&w, now))
          known.push_back (w.log_slowness);
      pace_set_center (&cell, known.data (), known.size ());
      for (size_t i = 0; i < PACE_WORKERS; i++)
        {
          right += pace_class (&cell, &pace[i], now) == speed[i] - 1;
          old_right += class_from_ratio (ratio[i]) == speed[i] - 1;
        }
      trial.share = (double)right / PACE_WORKERS;
      trial.old_share
          = std::max (trial.old_share, (double)old_right / PACE_WORKERS);
      if (!trial.reached_at && trial.share >= 0.9)
        trial.reached_at = next;
      next++;
    }
}

/* Guards against speeds that are learned from the errors of estimates: with
   ratios to estimates, fewer than 90% of the classes are ever right. */
TEST (Pace, FindsThreeSpeedsBehindWrongEstimates)
{
  for (int tasks : { 3, 25 })
    for (double noise : { 0.0, 0.1 })
      {
        PaceTrial t{ tasks, noise, true, 0, 0, 0 };
        run_pace_trial (t, 40);
        printf ("%d tasks a step, noise %.1f: 90%% right after %.0f runs, "
                "%.2f in the end; by estimates at most %.2f\n",
                tasks, noise, t.reached_at, t.share, t.old_share);
        EXPECT_GT (t.reached_at, 0);
        EXPECT_LE (t.reached_at, 8);
        EXPECT_GT (t.share, 0.97);
        EXPECT_LT (t.old_share, 0.9);
      }
}

/* Guards against workers of the same speed being told apart by chance. */
TEST (Pace, EqualWorkersStayInOneClass)
{
  PaceTrial t{ 3, 0.3, false, 0, 0, 0 };
  run_pace_trial (t, 40);
  EXPECT_GT (t.share, 0.97);
}

/* Guards against a reference from the shortest runs only, which end first. */
TEST (Pace, ReferenceWaitsForLongRuns)
{
  pace_run_t run[] = { { log (500), 0, 1 },
                       { log (600), 0, 1 },
                       { log (550), 0, 0 },
                       { log (2000), 0, 0 } };
  double reference;

  EXPECT_FALSE (pace_reference (run, 4, 0, &reference));
  run[2] = { log (700), 0, 1 };
  ASSERT_TRUE (pace_reference (run, 4, 0, &reference));
  EXPECT_NEAR (log (700), reference, 1e-9);
  /* A run so far on a slow worker may yet be one of the shorter. */
  run[3] = { log (800), log (1.6), 0 };
  EXPECT_FALSE (pace_reference (run, 4, 0, &reference));
}

/* Guards against a speed that stays after it has changed, and against one that
   is kept of a worker without runs. */
TEST (Pace, ForgetsByRunsAndByTime)
{
  pace_cell_t cell{};
  pace_t w{};

  for (int i = 0; i < 15; i++)
    pace_observe (&cell, &w, log (1.6), 1000 + (gl_ms_t)i * 100);
  EXPECT_EQ (1, pace_class (&cell, &w, 3000));
  EXPECT_NEAR (1.6, pace_slowness (&cell, &w, 3000), 1e-9);
  EXPECT_EQ (0, pace_class (&cell, &w, 1000000));
  for (int i = 0; i < 12; i++)
    pace_observe (&cell, &w, 0, 4000 + (gl_ms_t)i * 100);
  EXPECT_EQ (0, pace_class (&cell, &w, 6000));
}

/* Guards against expected ends that most runs miss: of runs with estimates off
   by a log-normal factor of 0.5 and 3 of 100 seven times as long, half end
   within the median and nine of ten within the 0.9 quantile, from the first
   20 on and after all runs have become twice as long. */
TEST (Ratio, QuantilesAreCalibrated)
{
  std::mt19937_64 random (5);
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform;
  auto r = std::make_unique<ratios_t> ();
  int k = ratio_class (r.get (), 3, "image");
  auto run = [&] (double factor) {
    return factor * exp (0.5 * normal (random))
           * (uniform (random) < 0.03 ? 7 : 1);
  };

  for (double factor : { 1.5, 3.0 })
    {
      int in_median = 0;
      int in_most = 0;
      double mean_error = 0;
      static const int RUNS = 3000;
      for (int i = 0; i < (factor < 2 ? 20 : 600); i++)
        ratio_add (r.get (), k, run (factor));
      for (int i = 0; i < RUNS; i++)
        {
          double took = run (factor);
          in_median += took <= ratio_get (r.get (), k, RATIO_MEDIAN);
          in_most += took <= ratio_get (r.get (), k, RATIO_HIGH);
          mean_error += (ratio_get (r.get (), k, RATIO_MEAN) - took) / RUNS;
          ratio_add (r.get (), k, took);
        }
      printf ("within the median %.3f, within the 0.9 quantile %.3f, mean off "
              "by %.3f of %.1f\n",
              (double)in_median / RUNS, (double)in_most / RUNS, mean_error,
              factor);
      EXPECT_NEAR (0.5, (double)in_median / RUNS, 0.03);
      EXPECT_NEAR (0.9, (double)in_most / RUNS, 0.02);
      EXPECT_NEAR (0, mean_error / factor, 0.05);
    }
  ratios_destroy (r.get ());
}

/* Guards against the use of a few observations, and against classes that share
   them. */
TEST (Ratio, NeedsTwentyObservations)
{
  auto r = std::make_unique<ratios_t> ();
  int k = ratio_class (r.get (), 0, "");

  EXPECT_EQ (k, ratio_class (r.get (), 0, ""));
  EXPECT_EQ (0, ratio_class (r.get (), -1, ""));
  for (int i = 0; i < 20; i++)
    {
      EXPECT_EQ (0, ratio_get (r.get (), k, RATIO_MEDIAN));
      EXPECT_EQ (0, ratio_get (r.get (), k, RATIO_MEAN));
      ratio_add (r.get (), k, 2);
    }
  EXPECT_NEAR (2, ratio_get (r.get (), k, RATIO_MEDIAN), 0.2);
  EXPECT_NEAR (2, ratio_get (r.get (), k, RATIO_MEAN), 1e-9);
  EXPECT_EQ (0,
             ratio_get (r.get (), ratio_class (r.get (), 1, ""), RATIO_MEAN));
  EXPECT_EQ (0, ratio_get (r.get (), 0, RATIO_MEAN));
  ratios_destroy (r.get ());
}

/* ---- interference ---- */

/* Guards against a pair that is found because a third class, which does slow
   the first one down, is often there as well, and against one that stays after
   the two have been kept apart for long. */
TEST (Pair, ThirdClassIsNotBlamedAndPairsAreForgotten)
{
  auto p = std::make_unique<pairs_t> ();
  std::mt19937_64 random (3);
  std::normal_distribution<double> normal;
  gl_ms_t now = 1000;

  for (int i = 0; i < 400; i++)
    {
      beside_t s{};
      bool slow = random () % 2;
      now += 20;
      if (slow)
        beside_add (&s, 2, 0, 100, 0, 100);
      if (random () % 2)
        beside_add (&s, 3, 0, 100, 0, 100);
      pairs_observe (p.get (), 1, &s,
                     (slow ? log (1.5) : 0) + 0.1 * normal (random), now);
    }
  EXPECT_EQ (1, pairs_count_interfering (p.get (), now));
  EXPECT_NEAR (log (1.5), pairs_slowdown (p.get (), 2, 1, now), 0.05);
  EXPECT_EQ (0, pairs_slowdown (p.get (), 1, 3, now));
  EXPECT_TRUE (pairs_concern (p.get (), 2, now));
  EXPECT_EQ (0, pairs_count_interfering (p.get (), now + 900000));
  EXPECT_FALSE (pairs_concern (p.get (), 2, now + 900000));
}

/* Guards against shares of a run that are counted twice, or beyond it. */
TEST (Pair, SharesOfARun)
{
  pair_past_t past{};
  beside_t s{};

  pair_note_past (&past, 5, 50, 150);
  pair_note_past (&past, 5, 180, 190);
  pair_note_past (&past, 6, 0, 90);
  beside_add_past (&s, &past, 100, 200);
  ASSERT_EQ (1, s.n);
  EXPECT_EQ (5, s.class_no[0]);
  EXPECT_FLOAT_EQ (0.6f, s.share[0]);
  beside_add (&s, 5, 100, 200, 100, 300);
  EXPECT_FLOAT_EQ (1, s.share[0]);
}

/* Guards against more pairs than there is room for. */
TEST (Pair, KeepsTheLatest)
{
  auto p = std::make_unique<pairs_t> ();

  for (int b = 1; b <= 300; b++)
    {
      beside_t s{};
      beside_add (&s, b, 0, 100, 0, 100);
      pairs_observe (p.get (), 1 + b % 250, &s, 0, 1000 + (gl_ms_t)b);
    }
  EXPECT_EQ (PAIRS_MAX, p->n);
}

/* ---- configuration and settings: bad input and its error text ---- */

struct BadInput
{
  const char *text;
  const char *error;
};

TEST (Conf, RefusesWithTheReason)
{
  static const BadInput bad[] = {
    { "[policy]\nageing_s = 0\n",
      "[policy] ageing_s = 0: not in 1 to 86400 (line 2)" },
    { "[policy]\nageing_s = ten\n",
      "[policy] ageing_s = ten: not in 1 to 86400 (line 2)" },
    { "[policy]\nageing_s = 99999999999999999999\n",
      "[policy] ageing_s = 99999999999999999999: not in 1 to 86400 (line 2)" },
    { "[policy]\ncolour = red\n",
      "[policy] colour: unknown setting (line 2)" },
    { "[team A]\ncpus = 1\n", "bad team name \"A\" (line 2)" },
    { "[team a]\ncpus = -1\n", "[team a] cpus = -1: refused (line 2)" },
    { "[team a]\nshoes = 4\n", "[team a] shoes = 4: refused (line 2)" },
    { "nonsense\n", "syntax error (line 1)" },
    { "\n[policy] ageing_s = 1\n", "syntax error (line 2)" },
  };
  for (auto &b : bad)
    {
      gl_conf_t c;
      char err[CONF_ERROR_LEN];
      EXPECT_EQ (GL_INVALID, conf_parse (&c, b.text, NULL, err)) << b.text;
      EXPECT_STREQ (b.error, err);
      EXPECT_EQ (0u, c.nteams);
      conf_destroy (&c);
    }
}

TEST (Conf, OverlayReplacesKeysAndRevisionOnlyRises)
{
  conf_doc_t d;
  char err[CONF_ERROR_LEN];
  gl_conf_t c;

  ASSERT_EQ (GL_OK, conf_doc_load (&d, "", 0));
  ASSERT_EQ (GL_OK,
             conf_doc_change (&d, NULL, "[team a]\ncpus = 4\nmemory_gb = 8\n",
                              "ann", 71, err));
  ASSERT_EQ (GL_OK, conf_doc_change (&d, "manila", "[team a]\ncpus = 6\n",
                                     "ben", 72, err));
  EXPECT_EQ (2u, d.revision);
  /* A rejected change leaves everything as it was. */
  EXPECT_EQ (GL_INVALID,
             conf_doc_change (&d, NULL, "[x]\ny = 1\n", "c", 73, err));
  EXPECT_EQ (GL_INVALID, conf_doc_change (&d, "../x", "", "c", 74, err));
  EXPECT_EQ (2u, d.revision);
  EXPECT_EQ (1u, conf_doc_revision_of (&d, 71));
  EXPECT_EQ (0u, conf_doc_revision_of (&d, 73));
  ASSERT_EQ (GL_OK, conf_doc_in_force (&d, "manila", &c, err));
  EXPECT_EQ (6000, c.teams[0].quota.cpus_m);
  EXPECT_EQ (8192, c.teams[0].quota.memory_mb);
  conf_destroy (&c);
  ASSERT_EQ (GL_OK, conf_doc_in_force (&d, "brittany", &c, err));
  EXPECT_EQ (4000, c.teams[0].quota.cpus_m);
  conf_destroy (&c);
  char *text = conf_doc_text (&d);
  conf_doc_t again;
  ASSERT_EQ (GL_OK, conf_doc_load (&again, text, strlen (text)));
  EXPECT_EQ (2u, again.revision);
  conf_doc_free (&again);
  free (text);
  conf_doc_free (&d);
  EXPECT_EQ (GL_INVALID, conf_doc_load (&d, "{\"revision\":-1}", 15));
  EXPECT_EQ (GL_INVALID, conf_doc_load (&d, "[]", 2));
}

/* Guards against a setting that is read as on by mistake. */
TEST (CellSettings, InterferenceIsOffUnlessOn)
{
  static const char complete[]
      = "[vm]\nname = a\ndomain = d\n[listen]\nrequests = 127.0.0.1:1\n"
        "ready = 127.0.0.1:2\nrpc = 127.0.0.1:3\n"
        "[platform]\nstore = 127.0.0.1:4\n[plan]\n";
  char path[] = "/tmp/gl-settings-XXXXXX";
  int fd = mkstemp (path);
  ASSERT_GE (fd, 0);
  close (fd);
  for (std::string value : { "", "on", "off", "true" })
    {
      cellset_t s;
      cell_limits_t limits;
      char err[SETTINGS_ERROR_LEN] = "";
      FILE *f = fopen (path, "w");
      fprintf (f, "%s%s%s\n", complete,
               value.empty () ? "" : "interference = ", value.c_str ());
      fclose (f);
      gl_code_t code = cellset_load (&s, path, err);
      EXPECT_EQ (value == "true" ? GL_INVALID : GL_OK, code) << err;
      if (code == GL_OK)
        {
          cellset_limits (&s, &limits);
          EXPECT_EQ (value == "on", limits.interference);
        }
    }
  unlink (path);
}

TEST (Settings, RefusesWithTheReason)
{
  static const char complete[]
      = "[node]\nname = a\ndomain = d\nsite = s\n[platform]\n"
        "url = http://127.0.0.1:1\n[admin]\nrpc = 127.0.0.1:2\n";
  static const BadInput bad[] = {
    { "[admin]\nhttp = 127.0.0.1:99999\n",
      "[admin] http = 127.0.0.1:99999: refused (line 10)" },
    { "[admin]\nhttp = localhost:80\n",
      "[admin] http = localhost:80: refused (line 10)" },
    { "[node]\nname = A b\n", "[node] name = A b: refused (line 10)" },
    { "[scheduler]\nlease_ms = 1\n",
      "[scheduler] lease_ms = 1: not in 500 to 60000 (line 10)" },
    { "[scheduler]\nlease_ms = 1000\n",
      "[scheduler] renew_ms is more than a third of lease_ms" },
    { "[entry]\nnumber = 3\n", "[entry] number is not below entries" },
    { "[peers]\nb = nowhere\n", "[peers] b = nowhere: refused (line 10)" },
  };
  char path[] = "/tmp/gl-settings-XXXXXX";
  int fd = mkstemp (path);
  ASSERT_GE (fd, 0);
  close (fd);
  for (auto &b : bad)
    {
      settings_t s;
      char err[SETTINGS_ERROR_LEN];
      FILE *f = fopen (path, "w");
      fprintf (f, "%s%s", complete, b.text);
      fclose (f);
      EXPECT_EQ (GL_INVALID, settings_load (&s, path, err));
      EXPECT_STREQ (b.error, err);
    }
  unlink (path);
}

/* ---- codec ---- */

TEST (Codec, CorruptRecordsAreRejectedWithoutLeaks)
{
  std::mt19937 rng (5);
  gl_commit_t b{};
  gl_rec_t recs[3]{};
  size_t len;

  recs[0].kind = GL_REC_ACCEPT;
  recs[0].gl_rec_t_u.accept.spec.name = (char *)"n";
  recs[0].gl_rec_t_u.accept.spec.team = (char *)"t";
  recs[1].kind = GL_REC_ASSIGN;
  recs[1].gl_rec_t_u.assign.worker = (char *)"w1";
  recs[2].kind = GL_REC_END;
  b.recs.recs_len = 3;
  b.recs.recs_val = recs;
  char *good = codec_encode ((xdrproc_t)xdr_gl_commit_t, &b, &len);
  ASSERT_NE (nullptr, good);
  int refused = 0;
  for (int i = 0; i < 20000; i++)
    {
      std::string bad (good, len);
      for (int k = 0; k < 3; k++)
        bad[rng () % len] = (char)rng ();
      if (i % 3 == 0)
        bad.resize (rng () % len);
      gl_commit_t out{};
      if (codec_decode ((xdrproc_t)xdr_gl_commit_t, &out, bad.data (),
                        bad.size ()))
        refused++;
      else
        codec_free ((xdrproc_t)xdr_gl_commit_t, &out);
    }
  EXPECT_GT (refused, 5000);
  free (good);
}

/* A job's crash records follow its task records.  A version that does not know
   them reads the task records as before, and one that does reads task records
   without them. */
TEST (Codec, CrashRecordsFollowTaskRecords)
{
  gl_task_record_t task{};
  gl_progress_t progress{};
  gl_crash_record_t crash{ 0, 1, 2, 3, 1 };
  gl_crashes_t crashes{};
  size_t len;
  size_t more;

  task.step = 1;
  task.index = 2;
  task.run = 4;
  task.checkpoint = (char *)"c1";
  progress.tasks.tasks_len = 1;
  progress.tasks.tasks_val = &task;
  crashes.tasks.tasks_len = 1;
  crashes.tasks.tasks_val = &crash;
  char *head = codec_encode ((xdrproc_t)xdr_gl_progress_t, &progress, &len);
  char *tail = codec_encode ((xdrproc_t)xdr_gl_crashes_t, &crashes, &more);
  std::string whole = std::string (head, len) + std::string (tail, more);
  gl_progress_t old{};
  gl_crashes_t read{};

  ASSERT_EQ (0, codec_decode ((xdrproc_t)xdr_gl_progress_t, &old,
                              whole.data (), whole.size ()));
  ASSERT_EQ (1u, old.tasks.tasks_len);
  EXPECT_EQ (4u, old.tasks.tasks_val[0].run);
  EXPECT_STREQ ("c1", old.tasks.tasks_val[0].checkpoint);
  size_t used = xdr_sizeof ((xdrproc_t)xdr_gl_progress_t, &old);
  EXPECT_EQ (len, used);
  ASSERT_EQ (0, codec_decode ((xdrproc_t)xdr_gl_crashes_t, &read,
                              whole.data () + used, whole.size () - used));
  ASSERT_EQ (1u, read.tasks.tasks_len);
  EXPECT_EQ (3u, read.tasks.tasks_val[0].crashes);
  EXPECT_EQ (1u, read.tasks.tasks_val[0].sole);
  codec_free ((xdrproc_t)xdr_gl_progress_t, &old);
  codec_free ((xdrproc_t)xdr_gl_crashes_t, &read);
  free (head);
  free (tail);
}

/* ---- placement, compared with a search of all workers ---- */

TEST (Place, FindsAWorkerExactlyWhenOneFits)
{
  std::mt19937 rng (3);
  place_t p;
  struct Grant
  {
    int worker;
    gl_res_t r;
  };
  std::vector<Grant> grants;

  place_init (&p);
  for (int i = 0; i < 60; i++)
    {
      gl_res_t total
          = { 1000 * (int)(4 + rng () % 60), 1024 * (int)(4 + rng () % 250),
              rng () % 3 ? 0 : (int)(rng () % 9) };
      ASSERT_EQ (i, place_add (&p));
      place_set (&p, i, &total, i / 8, 1);
    }
  for (int step = 0; step < 40000; step++)
    {
      gl_res_t need = { 1 + (int)(rng () % 16000), (int)(rng () % 65536),
                        rng () % 4 ? 0 : 1 };
      uint16_t racks[8] = { 1, 0, 2, 0, 0, 0, 0, 0 };
      place_query_t want{};
      want.need = need;
      want.avoid = -1;
      want.level = (int)(rng () % 3);
      if (rng () % 2)
        {
          want.rack_count = racks;
          want.nracks = 8;
        }
      p.w[rng () % 60].reserved = (unsigned char)(rng () % 3);
      int any = place_first_fit (&p, &want);
      int w = place_find (&p, &want);
      ASSERT_EQ (any >= 0, w >= 0) << "step " << step;
      if (w >= 0)
        {
          ASSERT_LE (p.w[w].reserved, want.level);
          ASSERT_EQ (0, place_allocate (&p, w, &need));
          grants.push_back ({ w, need });
        }
      gl_res_t huge = { 1 << 30, 0, 0 };
      ASSERT_EQ (-1, place_allocate (&p, 0, &huge));
      while (grants.size () > 150 || (w < 0 && !grants.empty ()))
        {
          size_t k = rng () % grants.size ();
          place_release (&p, grants[k].worker, &grants[k].r);
          grants[k] = grants.back ();
          grants.pop_back ();
          if (w < 0)
            break;
        }
      for (int i = 0; i < 60; i++)
        {
          gl_res_t room = place_free_resources (&p, i);
          ASSERT_GE (room.cpus_m, 0);
          ASSERT_GE (room.memory_mb, 0);
          ASSERT_GE (room.accels, 0);
        }
    }
  place_destroy (&p);
}

static int
tasks_of_worker (void *ctx, int worker)
{
  return ((int *)ctx)[worker];
}

TEST (Place, SpreadsOverRacksThenOverWorkers)
{
  place_t p;
  int tasks[6] = { 0 };
  uint16_t racks[3] = { 0 };
  place_query_t want{};

  place_init (&p);
  for (int i = 0; i < 6; i++)
    {
      gl_res_t total = { 16000, 65536, 0 };
      place_add (&p);
      place_set (&p, i, &total, i / 2, 1);
    }
  want.need = { 1000, 1024, 0 };
  want.avoid = -1;
  want.rack_count = racks;
  want.nracks = 3;
  want.tasks_on_worker = tasks_of_worker;
  want.ctx = tasks;
  for (int k = 0; k < 12; k++)
    {
      int w = place_find (&p, &want);
      ASSERT_EQ (0, place_allocate (&p, w, &want.need));
      tasks[w]++;
      racks[w / 2]++;
    }
  for (int i = 0; i < 6; i++)
    EXPECT_EQ (2, tasks[i]);
  place_destroy (&p);
}

/* ---- single steps of the scheduler ---- */

/* Runs a scheduler on a virtual clock and plays the key-value service. */
struct Driver
{
  gl_sched_t *s;
  gl_effects_t fx{};
  gl_ms_t now = 1000;

  Driver ()
  {
    gl_sched_opts_t o{};
    o.node = "vm1";
    o.domain = "d";
    o.rpc = "127.0.0.1:1";
    o.seed = 9;
    s = gl_sched_new (&o, now);
  }
  ~Driver ()
  {
    gl_effects_free (&fx);
    gl_sched_free (s);
  }
  void
  step (const gl_event_t &ev)
  {
    gl_effects_clear (&fx);
    gl_sched_step (s, &ev, now, &fx);
  }
  void
  tick ()
  {
    gl_event_t ev{};
    now = gl_sched_due (s);
    step (ev);
  }
  /* Answers the last effect, which must be a store operation. */
  void
  answer (gl_store_status_t st, uint64_t index, const char *data = "",
          size_t len = 0)
  {
    gl_event_t ev{};
    ASSERT_GE (fx.n, 1u);
    ev.kind = GL_EV_STORE;
    ev.u.store.tag = fx.v[fx.n - 1].u.store.tag;
    ev.u.store.status = st;
    ev.u.store.index = index;
    ev.u.store.data = data;
    ev.u.store.len = len;
    now++;
    step (ev);
  }
  /* Key of the last effect, a store operation; "" without effects. */
  std::string
  key () const
  {
    return fx.n ? fx.v[fx.n - 1].u.store.key : "";
  }
  void
  submit (uint64_t id)
  {
    gl_jobspec_t p{};
    gl_event_t ev{};
    p.name = (char *)"n";
    p.team = (char *)"t";
    p.cls = GL_CLASS_BATCH;
    p.tasks = 1;
    p.need = { 1, 1, 0 };
    p.max_attempts = 1;
    ev.kind = GL_EV_SUBMIT;
    ev.u.submit.token = id + 1;
    ev.u.submit.job = id;
    ev.u.submit.spec = &p;
    step (ev);
  }
  /* Makes the scheduler the owner of an empty domain. */
  void
  become_owner ()
  {
    gl_conf_t c;
    char err[CONF_ERROR_LEN];
    gl_event_t ev{};
    conf_parse (&c, "[team t]\ncpus=99999\nmemory_gb=99999\n", NULL, err);
    c.revision = 1;
    ev.kind = GL_EV_CONF;
    ev.u.conf = &c;
    step (ev);
    conf_destroy (&c);
    tick ();
    answer (GL_ST_ABSENT, 0);
    answer (GL_ST_OK, 1);
    answer (GL_ST_ABSENT, 0);
    answer (GL_ST_ABSENT, 0);
    answer (GL_ST_OK, 2);
    ASSERT_TRUE (gl_sched_active (s, NULL));
  }
};

/* A candidate that is slow to load the state finds the snapshot of a later
   owner.  The snapshot covers the later takeover, so the log no longer shows
   it; only the epoch of the base record does. */
TEST (Sched, StaleCandidateStopsAtALaterBaseRecord)
{
  Driver d;
  gl_base_t b = { 5, 7, 0, 0, 0 };
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_base_t, &b, &len);

  d.tick ();
  EXPECT_EQ ("gl/d/owner", d.key ());
  d.answer (GL_ST_ABSENT, 0);
  d.answer (GL_ST_OK, 1);
  EXPECT_EQ ("gl/d/base", d.key ());
  d.answer (GL_ST_OK, 9, data, len);
  EXPECT_EQ (0u, d.fx.n) << "it continued with " << d.key ();
  EXPECT_FALSE (gl_sched_active (d.s, NULL));
  free (data);
}

TEST (Sched, SubmissionsBeyondTheLimitGetARetryDelay)
{
  Driver d;
  int retry = 0;

  d.become_owner ();
  for (uint64_t id = 1; id <= 12000; id++)
    {
      d.submit (id);
      for (size_t i = 0; i < d.fx.n; i++)
        if (d.fx.v[i].kind == GL_FX_ANSWER)
          {
            EXPECT_EQ (GL_RETRY, d.fx.v[i].u.answer.code);
            EXPECT_GT (d.fx.v[i].u.answer.retry_after, 0u);
            retry++;
          }
    }
  EXPECT_GT (retry, 5000);
}

TEST (Sched, StandbyAndInvalidJobsAreAnsweredAtOnce)
{
  Driver d;

  d.submit (1);
  ASSERT_EQ (1u, d.fx.n);
  EXPECT_EQ (GL_NOT_OWNER, d.fx.v[0].u.answer.code);
  EXPECT_GT (d.fx.v[0].u.answer.retry_after, 0u);
  d.become_owner ();
  d.submit (0);
  ASSERT_GE (d.fx.n, 1u);
  EXPECT_EQ (GL_INVALID, d.fx.v[0].u.answer.code);
  /* After its lease has ended it accepts no job and answers at once. */
  d.now += 10000;
  d.submit (2);
  bool answered = false;
  for (size_t i = 0; i < d.fx.n; i++)
    answered |= d.fx.v[i].kind == GL_FX_ANSWER
                && d.fx.v[i].u.answer.code == GL_RETRY
                && d.fx.v[i].u.answer.retry_after > 0;
  EXPECT_TRUE (answered);
}

/* ---- event loop, log and threads ---- */

static std::atomic<int> items_handled;

static void
on_item (void *ctx, void *item)
{
  if (++items_handled == 40000)
    loop_quit ((loop_t *)ctx);
  delete (int *)item;
}

static void
no_tick (void *)
{
}

static gl_ms_t
never_due (void *)
{
  return UINT64_MAX;
}

/* When the reader of standard output stops reading, lines are dropped and
   counted, and logging does not block. */
TEST (Logs, AFullPipeDropsLinesAndCountsThem)
{
  int fds[2];
  int out = dup (STDOUT_FILENO);
  unsigned long before = logs_dropped ();
  unsigned long after;
  gl_ms_t start;

  ASSERT_EQ (0, pipe (fds));
  ASSERT_EQ (0, logs_open ("unit", "vm"));
  fflush (stdout);
  dup2 (fds[1], STDOUT_FILENO);
  start = clock_ms ();
  for (int i = 0; i < 20000; i++)
    log_info ("filled number=%d", i);
  after = logs_dropped ();
  dup2 (out, STDOUT_FILENO);
  EXPECT_GT (after, before);
  EXPECT_LT (clock_ms () - start, 5000u);
  close (fds[0]);
  close (fds[1]);
  close (out);
  logs_close ();
}

TEST (Threads, EveryPostedItemIsHandled)
{
  loop_t *l = loop_new ();
  loop_handlers_t part = { on_item, no_tick, never_due, l };
  std::vector<std::thread> producers;

  items_handled = 0;
  ASSERT_NE (nullptr, l);
  for (int t = 0; t < 4; t++)
    producers.emplace_back ([l] {
      for (int i = 0; i < 10000; i++)
        {
          int *item = new int (i);
          while (loop_post (l, item))
            usleep (100);
        }
    });
  loop_run (l, &part);
  for (auto &t : producers)
    t.join ();
  EXPECT_EQ (40000, items_handled.load ());
  loop_free (l);
}

static int posts_handled;

/* Each of the first 20 items posts 1000 more on the control thread.  Together
   they exceed the queue; a post that waited for a free place would deadlock,
   since the control thread itself empties the queue. */
static void
on_item_post_more (void *ctx, void *item)
{
  loop_t *l = (loop_t *)ctx;

  if (*(int *)item)
    for (int i = 0; i < 1000; i++)
      loop_must_post (l, new int (0));
  delete (int *)item;
  if (++posts_handled == 20 + 20 * 1000)
    loop_quit (l);
}

TEST (Threads, ControlThreadPostsToAFullQueueWithoutDeadlock)
{
  loop_t *l = loop_new ();
  loop_handlers_t part = { on_item_post_more, no_tick, never_due, l };

  posts_handled = 0;
  for (int i = 0; i < 20; i++)
    ASSERT_EQ (0, loop_post (l, new int (1)));
  loop_run (l, &part);
  EXPECT_EQ (20 + 20 * 1000, posts_handled);
  loop_free (l);
}

/* The waiting thread may time out and release its reply_slot_t before, while
   or after the reply is given. */
TEST (Threads, AnswerAfterATimeoutIsSafe)
{
  for (int i = 0; i < 200; i++)
    {
      reply_slot_t *a = reply_slot_new ();
      std::thread t ([a, i] {
        if (i % 2)
          usleep (2000);
        reply_slot_complete (a, GL_OK, 7, 0, "x", strdup ("text"));
      });
      if (!reply_slot_wait (a, 1))
        {
          EXPECT_EQ (7u, a->job);
        }
      reply_slot_release (a);
      t.join ();
    }
}

/* ---- HTTP and RPC on loopback ---- */

static void
echo (void *, httpd_call_t *call)
{
  if (!strcmp (call->path, "/slow"))
    usleep (400000);
  httpd_add_header (call, "ETag: \"42\"");
  httpd_text (call, 200, "%s %s %zu", call->method, call->path, call->len);
}

static int
free_port ()
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sa
  {
  };
  socklen_t len = sizeof sa;
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bind (fd, (struct sockaddr *)&sa, sizeof sa);
  getsockname (fd, (struct sockaddr *)&sa, &len);
  close (fd);
  return ntohs (sa.sin_port);
}

/* A server on a free port and a client. */
struct HttpPair
{
  std::string addr = "127.0.0.1:" + std::to_string (free_port ());
  httpd_t *server = httpd_new (addr.c_str (), 1000, 20, 0, echo, NULL);
  httpc_t *client = httpc_new (0);
  ~HttpPair ()
  {
    httpc_free (client);
    httpd_free (server);
  }
  httpc_result_t
  request (const char *method, const char *path, size_t len = 0,
           gl_ms_t timeout = 2000, gl_ms_t send_before = 0)
  {
    std::string url = "http://" + addr + path;
    std::string body (len, 'x');
    httpc_request_t r{};
    httpc_result_t res{};
    r.method = method;
    r.url = url.c_str ();
    r.body = body.data ();
    r.len = len;
    r.timeout = timeout;
    r.send_before = send_before;
    httpc_perform (client, &r, &res);
    return res;
  }
};

TEST (Http, CompleteResponsesAndBoundedBodies)
{
  HttpPair w;
  ASSERT_NE (nullptr, w.server);
  auto r = w.request ("POST", "/a", 1000);
  EXPECT_EQ (HTTPC_COMPLETE, r.outcome);
  EXPECT_STREQ ("POST /a 1000", r.body);
  EXPECT_EQ (42u, r.etag);
  free (r.body);
  r = w.request ("POST", "/a", 1001);
  EXPECT_EQ (413, r.status);
  free (r.body);
}

TEST (Http, OutcomeSaysWhetherTheRequestWasSent)
{
  HttpPair w;
  auto r = w.request ("GET", "/slow", 0, 100);
  EXPECT_EQ (HTTPC_UNKNOWN, r.outcome);
  free (r.body);
  /* send_before has passed, so it must not be sent. */
  r = w.request ("GET", "/a", 0, 2000, 1);
  EXPECT_EQ (HTTPC_NOT_SENT, r.outcome);
  free (r.body);
  httpc_request_t q{};
  httpc_result_t res{};
  std::string url = "http://127.0.0.1:" + std::to_string (free_port ()) + "/";
  q.method = "GET";
  q.url = url.c_str ();
  q.timeout = 1000;
  httpc_perform (w.client, &q, &res);
  EXPECT_EQ (HTTPC_NOT_SENT, res.outcome);
  free (res.body);
}

/* The server closes the connection in the middle of its response. */
TEST (Http, TruncatedResponseIsUnknown)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sa
  {
  };
  socklen_t len = sizeof sa;
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (0, bind (fd, (struct sockaddr *)&sa, sizeof sa));
  ASSERT_EQ (0, listen (fd, 4));
  getsockname (fd, (struct sockaddr *)&sa, &len);
  std::thread t ([fd] {
    int c = accept (fd, NULL, NULL);
    char buf[2000];
    static const char half[] = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                               "\r\nonly this";
    if (read (c, buf, sizeof buf) > 0 && write (c, half, sizeof half - 1) > 0)
      usleep (1000);
    close (c);
  });
  httpc_t *client = httpc_new (0);
  httpc_request_t q{};
  httpc_result_t res{};
  std::string url
      = "http://127.0.0.1:" + std::to_string (ntohs (sa.sin_port)) + "/";
  q.method = "GET";
  q.url = url.c_str ();
  q.timeout = 1000;
  httpc_perform (client, &q, &res);
  EXPECT_EQ (HTTPC_UNKNOWN, res.outcome);
  free (res.body);
  t.join ();
  httpc_free (client);
  close (fd);
}

/* Reads one request from FD; false when the client has closed it. */
static bool
read_request (int fd)
{
  std::string got;
  char c;

  while (got.find ("\r\n\r\n") == std::string::npos)
    {
      if (read (fd, &c, 1) != 1)
        return false;
      got += c;
    }
  /* The bodies in this test are one byte long. */
  return read (fd, &c, 1) == 1;
}

/* The server runs the second request on a reused connection and closes it
   without a response.  By default libcurl would send the request again on a
   new connection, and it would run twice. */
TEST (Http, AtMostOnceRequestIsNotResent)
{
  static std::atomic<int> runs;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sa
  {
  };
  socklen_t len = sizeof sa;

  runs = 0;
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ASSERT_EQ (0, bind (fd, (struct sockaddr *)&sa, sizeof sa));
  ASSERT_EQ (0, listen (fd, 4));
  getsockname (fd, (struct sockaddr *)&sa, &len);
  std::thread t ([fd] {
    static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::vector<std::thread> conns;
    int c;
    while ((c = accept (fd, NULL, NULL)) >= 0)
      conns.emplace_back ([c] {
        while (read_request (c))
          if (++runs != 1 || write (c, ok, sizeof ok - 1) < 0)
            break;
        close (c);
      });
    for (auto &n : conns)
      n.join ();
  });
  httpc_t *client = httpc_new (0);
  httpc_request_t q{};
  httpc_result_t res{};
  std::string url
      = "http://127.0.0.1:" + std::to_string (ntohs (sa.sin_port)) + "/";
  q.method = "POST";
  q.url = url.c_str ();
  q.body = "x";
  q.len = 1;
  q.timeout = 1000;
  q.at_most_once = 1;
  ASSERT_EQ (0, httpc_perform (client, &q, &res));
  EXPECT_EQ (200, res.status);
  free (res.body);
  httpc_perform (client, &q, &res);
  EXPECT_EQ (HTTPC_UNKNOWN, res.outcome);
  EXPECT_EQ (2, runs.load ());
  free (res.body);
  httpc_free (client);
  shutdown (fd, SHUT_RDWR);
  close (fd);
  t.join ();
}

/* A server that keeps a request for "/held" until the test answers it, keeps
   its thread in one for "/busy" until BUSY is cleared, and answers others. */
struct StopServer
{
  static constexpr size_t BIG_BYTES = 16 << 20;
  std::atomic<httpd_call_t *> held{};
  std::atomic<bool> busy{};
  int port = free_port ();
  httpd_t *server;
  explicit StopServer (unsigned int threads)
  {
    std::string addr = "127.0.0.1:" + std::to_string (port);
    server = httpd_new (addr.c_str (), 1000, 20, threads, on_call, this);
  }
  ~StopServer () { httpd_free (server); }
  static void
  on_call (void *ctx, httpd_call_t *call)
  {
    StopServer *s = (StopServer *)ctx;
    if (!strcmp (call->path, "/held"))
      {
        s->held = call;
        return;
      }
    if (!strcmp (call->path, "/busy"))
      for (s->busy = true; s->busy;)
        usleep (1000);
    if (!strcmp (call->path, "/big"))
      httpd_reply (call, 200, NULL, (char *)calloc (1, BIG_BYTES), BIG_BYTES);
    else
      httpd_text (call, 200, "done");
  }
  /* A connection on which TEXT was sent; -1 when it is refused. */
  int
  open (const char *text)
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    struct timeval wait = { 5, 0 };
    struct sockaddr_in sa
    {
    };
    sa.sin_family = AF_INET;
    sa.sin_port = htons ((uint16_t)port);
    sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    if (connect (fd, (struct sockaddr *)&sa, sizeof sa))
      {
        close (fd);
        return -1;
      }
    say (fd, text);
    return fd;
  }
  static void
  say (int fd, const char *text)
  {
    EXPECT_EQ ((ssize_t)strlen (text), write (fd, text, strlen (text)));
  }
  bool
  reaches (unsigned int connections)
  {
    for (int i = 0; i < 2000 && httpd_connections (server) != connections; i++)
      usleep (1000);
    return httpd_connections (server) == connections;
  }
};

/* Reads up to and with END; with NULL, up to the end of the connection, which
   is then closed.  "still open" is added when neither comes. */
static std::string
hear (int fd, const char *end)
{
  static char buf[65536];
  std::string got;
  ssize_t n = 1;

  while ((!end || got.find (end) == std::string::npos)
         && (n = read (fd, buf, end ? 1 : sizeof buf)) > 0)
    got.append (buf, (size_t)n);
  if (n < 0 && errno == EAGAIN)
    got += " still open";
  if (!end)
    close (fd);
  return got;
}

static const char get_a[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/* A stopping process waited for clients that had nothing to ask. */
TEST (Http, IdleConnectionsEndWhenTheServerStops)
{
  for (unsigned int threads : { 0, 1, 2 })
    {
      StopServer w (threads);
      int fds[] = { w.open (""), w.open ("GET /a HTT"), w.open (get_a) };
      EXPECT_NE (std::string::npos, hear (fds[2], "done").find ("200 OK"));
      EXPECT_TRUE (w.reaches (3));
      httpd_quiesce (w.server);
      for (int fd : fds)
        EXPECT_EQ ("", hear (fd, NULL)) << threads << " threads";
      EXPECT_TRUE (w.reaches (0)) << threads << " threads";
      EXPECT_EQ (-1, w.open (""));
    }
}

/* Callers sent on a connection that a stopping process was about to close. */
TEST (Http, AnswersSayThatTheConnectionClosesOnceStopping)
{
  StopServer w (1);
  int fd = w.open (get_a);
  EXPECT_EQ (std::string::npos, hear (fd, "done").find ("close"));
  httpd_set_closing (w.server);
  w.say (fd, get_a);
  for (int c : { fd, w.open (get_a) })
    {
      std::string got = hear (c, NULL);
      EXPECT_NE (std::string::npos, got.find ("Connection: close")) << got;
      EXPECT_EQ ("done", got.substr (got.size () - 4));
    }
  EXPECT_TRUE (w.reaches (0));
}

/* Requests that were read, or had arrived, got no answer at a stop. */
TEST (Http, ARequestThatWasReadIsAnsweredWhileTheServerStops)
{
  StopServer w (1);
  int held = w.open ("POST /held HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: 2\r\n\r\nab");
  int unread = w.open (get_a), late = w.open (get_a), half = w.open (get_a);
  int busy;
  for (int fd : { unread, late, half })
    hear (fd, "done");
  busy = w.open ("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
  while (!w.busy || !w.held)
    usleep (1000);
  w.say (unread, get_a);
  w.say (half, "GET /a HTT");
  httpd_quiesce (w.server);
  w.say (late, get_a);
  w.busy = false;
  EXPECT_EQ ("", hear (half, NULL));
  for (int fd : { unread, late, busy, held })
    {
      if (fd == held)
        {
          EXPECT_TRUE (w.reaches (1));
          EXPECT_EQ (1u, httpd_open_requests (w.server));
          httpd_text (w.held, 200, "done");
        }
      std::string got = hear (fd, NULL);
      EXPECT_NE (std::string::npos, got.find ("Connection: close")) << got;
      /* The end of LATE's connection was ordered before, so it may be refused,
         but not dropped. */
      EXPECT_TRUE (got.ends_with ("done")
                   || (fd == late && got.ends_with ("\"not_run\":true}\n")));
    }
  EXPECT_TRUE (w.reaches (0));
}

/* An answer without "Connection: close" left its connection open. */
TEST (Http, AnAnswerBegunBeforeTheStopIsWholeAndEndsItsConnection)
{
  StopServer w (1);
  int fd = w.open ("GET /big HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ (std::string::npos, hear (fd, "\r\n\r\n").find ("close"));
  httpd_quiesce (w.server);
  EXPECT_EQ (w.BIG_BYTES, hear (fd, NULL).size ());
  EXPECT_TRUE (w.reaches (0));
}

static int
answer_cancel (void *, const void *in, void *out)
{
  ((gl_answer_t *)out)->job = ((const gl_cancel_t *)in)->job + 1;
  ((gl_answer_t *)out)->reason = strdup ("r");
  return 0;
}

/* Malformed records on other connections must not disturb a call. */
TEST (Rpc, CallsAndMalformedRecords)
{
  static rpcd_proc_t procs[RPCD_PROCS];
  std::string addr = "127.0.0.1:" + std::to_string (free_port ());
  struct sockaddr_in sa;
  rpcc_t r{};
  gl_cancel_t in = { 41 };
  gl_answer_t out{};
  std::mt19937 rng (1);

  procs[GL_CANCEL] = { (xdrproc_t)xdr_gl_cancel_t, sizeof in,
                       (xdrproc_t)xdr_gl_answer_t, sizeof out, answer_cancel };
  rpcd_t *d = rpcd_new (addr.c_str (), procs, NULL);
  ASSERT_NE (nullptr, d);
  split_addr (addr.c_str (), &sa);
  for (int i = 0; i < 30; i++)
    {
      /* Random bytes, or a record mark whose record never comes. */
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      std::string junk (200, 0);
      for (auto &c : junk)
        c = (char)rng ();
      if (i % 2)
        junk = std::string ("\x7f\xff\xff\xff", 4);
      ASSERT_EQ (0, connect (fd, (struct sockaddr *)&sa, sizeof sa));
      EXPECT_GT (write (fd, junk.data (), junk.size ()), 0);
      close (fd);
    }
  EXPECT_EQ (GL_OK, rpcc_call (&r, addr.c_str (), GL_CANCEL,
                               (xdrproc_t)xdr_gl_cancel_t, &in,
                               (xdrproc_t)xdr_gl_answer_t, &out, 3000));
  EXPECT_EQ (42u, out.job);
  xdr_free ((xdrproc_t)xdr_gl_answer_t, (char *)&out);
  memset (&out, 0, sizeof out);
  EXPECT_NE (GL_OK, rpcc_call (&r, addr.c_str (), GL_CORDON,
                               (xdrproc_t)xdr_gl_cancel_t, &in,
                               (xdrproc_t)xdr_gl_answer_t, &out, 1000));
  rpcc_close (&r);
  rpcd_free (d);
  EXPECT_EQ (GL_RETRY, rpcc_call (&r, addr.c_str (), GL_CANCEL,
                                  (xdrproc_t)xdr_gl_cancel_t, &in,
                                  (xdrproc_t)xdr_gl_answer_t, &out, 500));
}

/* ---- shares of teams ---- */

struct SharesTest : testing::Test
{
  teams_t teams{};
  cshares_t shares{};

  void
  SetUp () override
  {
    for (int i = 0; i < 95; i++)
      {
        std::string name = "t" + std::to_string (i);

        teams_add (&teams, name.c_str ());
        teams.v[i].weight = 1 + i % 3;
        teams.v[i].cap = { 1000, 0, 2 };
      }
    ASSERT_EQ (0, shares_reserve (&shares, teams.n - 1));
    shares.on = 1;
    shares.total = { 1000000, 1000000, 100 };
  }

  void
  TearDown () override
  {
    teams_destroy (&teams);
    shares_destroy (&shares);
  }
};

/* Guards against a cap that leaves out one of the resources, or what a new
   owner has not found, or counts more of it than can hide. */
TEST_F (SharesTest, CapCountsWhatMayRun)
{
  gl_res_t cpus = { 300, 500, 0 };
  gl_res_t accel = { 0, 0, 1 };

  EXPECT_EQ (3, share_room (&shares, &teams, 0, &cpus, 10));
  EXPECT_EQ (2, share_room (&shares, &teams, 0, &accel, 10));
  EXPECT_EQ (10, share_room (&shares, &teams, -1, &cpus, 10));
  share_bound (&shares, 0, &cpus);
  EXPECT_EQ (2, share_room (&shares, &teams, 0, &cpus, 10));
  for (int i = 0; i < 5; i++)
    share_unlocated (&shares, 0, &cpus);
  EXPECT_EQ (2, share_room (&shares, &teams, 0, &cpus, 10));
  shares.hidden.cpus_m = 400;
  EXPECT_EQ (1, share_room (&shares, &teams, 0, &cpus, 10));
  EXPECT_EQ (3, share_room (&shares, &teams, 1, &cpus, 10));
  shares.orphaned.cpus_m = 101;
  EXPECT_EQ (0, share_room (&shares, &teams, 0, &cpus, 10));
  EXPECT_EQ (2, share_room (&shares, &teams, 1, &cpus, 10));
  teams.v[0].removed = 1;
  EXPECT_EQ (10, share_room (&shares, &teams, 0, &cpus, 10));
  EXPECT_FALSE (share_cap_fits (&teams, 1, &cpus, 4));
  EXPECT_TRUE (share_cap_fits (&teams, 1, &cpus, 3));
}

/* Guards against an order in which a team with many steps goes before others,
   a weight is ignored, or a step is left out or served twice; 95 teams with
   5,300 steps, of which each uses as much as the others. */
TEST_F (SharesTest, OrderFollowsWeightedShares)
{
  static const size_t STEPS = 5300;
  cturn_t *v = (cturn_t *)calloc (STEPS, sizeof *v);
  std::vector<int> served (STEPS);
  std::vector<int> by_team (95);
  gl_res_t need = { 10, 0, 0 };
  cturns_t turns;
  int last_priority = 0;
  size_t n = 0;

  for (size_t i = 0; i < STEPS; i++)
    {
      v[i].priority = i >= 4000;
      v[i].team = (int)(i % 95);
      v[i].pos = i;
      v[i].item = &served[i];
    }
  ASSERT_EQ (0, turns_begin (&turns, &teams, v, STEPS));
  while (cturn_t *t = turns_next (&turns, &shares, &teams, 0))
    {
      EXPECT_LE (last_priority, t->priority);
      last_priority = t->priority;
      ++*(int *)t->item;
      share_bound (&shares, t->team, &need);
      by_team[(size_t)t->team]++;
      if (++n == 1900)
        for (size_t i = 0; i < 95; i++)
          EXPECT_NEAR (1900.0 * (double)(1 + i % 3) / 189, by_team[i], 1.5);
    }
  EXPECT_EQ (STEPS, n);
  for (int times : served)
    EXPECT_EQ (1, times);
  turns_end (&turns);
}

/* Guards against a bucket that refuses a team within its rate, never fills, or
   holds more than a second's jobs. */
TEST_F (SharesTest, BucketHoldsOneSecond)
{
  int taken = 0;

  teams.v[0].weight = 20;
  for (int i = 0; i < 100; i++)
    taken += share_take_token (&shares, &teams, 0, 1000);
  EXPECT_EQ (20, taken);
  EXPECT_EQ (1000u, share_retry_ms (&shares, &teams, 0));
  for (int i = 1; i <= 100; i++)
    taken += share_take_token (&shares, &teams, 0, 1000 + (gl_ms_t)i * 50);
  EXPECT_EQ (120, taken);
  for (int i = 0; i < 100; i++)
    taken += share_take_token (&shares, &teams, 0, 60000);
  EXPECT_EQ (140, taken);
  teams.v[1].weight = 0.1;
  EXPECT_EQ (1, share_take_token (&shares, &teams, 1, 1000));
  EXPECT_EQ (0, share_take_token (&shares, &teams, 1, 1100));
  EXPECT_EQ (5000u, share_retry_ms (&shares, &teams, 1));
}
