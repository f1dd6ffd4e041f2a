/*
 * weeks.c -- waiting times and use of CPUs, compared with simpler policies
 *
 * In virtual time, the same jobs arrive under the full policy, first fit,
 * random fit and the full policy without reservations.  The loads:
 *
 *   saturday  a site in Brittany: short urgent checks, whose rate has peaks
 *             of 5 minutes, beside batch analyses and a gang of 16 tasks
 *             every 10 minutes
 *   rebuild   a site in Metro Manila: 100 urgent alerts at once every
 *             5 minutes, beside the weekly rebuild, a batch job of 4000 tasks
 *   peak      one of the target's six domains, which have a peak of 210 task
 *             starts per second in all
 *
 * Prints, per load and policy: waiting times by class, the mean share of CPUs
 * in use, the gangs that still wait at the end, and for the rebuild how long
 * it took and its volume bound, which is the CPU time that it needs divided by
 * the CPUs that services leave free.
 *
 * With --full, only the full policy is run.  Exits with 1 if it misses a
 * bound: the 99th percentile of the waiting time of urgent work within 2.4 s,
 * the rebuild within 1.05 times the sum of its volume bound and its longest
 * task.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <xxhash.h>

#include "drive.h"
#include "schedint.h"

/* Bound on the 99th percentile of the waiting time of urgent jobs. */
#define URGENT_BOUND_MS 2400

/**
 * struct load_run_t - one load under one policy
 * @d: the scheduler in virtual time
 * @rng: source of the arrivals, with a fixed seed
 * @id: number of the last job submitted
 * @rebuild: number of the rebuild job, 0 for none
 * @rebuild_start, @rebuild_end: when it was submitted and when it was seen
 *   to have finished, virtual time; @rebuild_end is 0 while it runs
 * @cpu_share_sum, @nsamples: sum and number of the samples of the share of
 *   CPUs in use
 */
typedef struct
{
  drive_t *d;
  gsl_rng *rng;
  uint64_t id;
  uint64_t rebuild;
  gl_ms_t rebuild_start;
  gl_ms_t rebuild_end;
  double cpu_share_sum;
  uint64_t nsamples;
} load_run_t;

/* Declared run times are often far off: an attempt runs between a third of and
   three times its declared time.  The factor depends only on the task, so that
   it is the same under every policy. */
static uint64_t
run_time (void *ctx, const gl_start_t *s)
{
  uint64_t key[2] = { s->task.job, s->task.index };
  uint64_t h = XXH3_64bits (key, sizeof key);
  double factor
      = 0.33 + 2.67 * (double)(h % 1000) / 1000 * (double)(h % 7) / 6;

  (void)ctx;
  return (uint64_t)(s->runtime_s * 1000 * factor);
}

static void
submit (load_run_t *run, gl_class_t cls, int team, uint32_t tasks, int cpus_m,
        int memory_mb, int accels, uint32_t runtime_s)
{
  gl_res_t need = { cpus_m, memory_mb, accels };

  drive_submit (run->d, ++run->id, cls, team, tasks, need, runtime_s);
}

static int
poisson (load_run_t *run, double mean)
{
  return (int)gsl_ran_poisson (run->rng, mean);
}

/* A random integer from @low to @high. */
static int
uniform_int (load_run_t *run, int low, int high)
{
  return low
         + (int)gsl_rng_uniform_int (run->rng,
                                     (unsigned long)(high - low + 1));
}

/* ---- the loads: jobs that arrive in a tick of 100 ms ---- */

static void
saturday_tick (load_run_t *run, int t)
{
  /* Urgent checks: 3 per second for 5 of every 15 minutes, then 0.5. */
  double rate = t / 600 % 15 < 5 ? 0.3 : 0.05;

  for (int n = poisson (run, rate); n > 0; n--)
    submit (run, GL_CLASS_URGENT, uniform_int (run, 0, 3), 1, 1000, 1024, 0,
            3);
  for (int n = poisson (run, 0.125); n > 0; n--)
    submit (run, GL_CLASS_BATCH, uniform_int (run, 0, 3), 1,
            1000 * uniform_int (run, 1, 4), 1024 * uniform_int (run, 2, 12), 0,
            (uint32_t)uniform_int (run, 60, 300));
  if (t % 6000 == 3000)
    submit (run, GL_CLASS_GANG, 4, 16, 8000, 24576, 0, 300);
}

static void
rebuild_tick (load_run_t *run, int t)
{
  if (t % 3000 == 100)
    for (int i = 0; i < 100; i++)
      submit (run, GL_CLASS_URGENT, 0, 1, 1000, 512, 0, 2);
  if (t == 600)
    {
      submit (run, GL_CLASS_BATCH, 1, 4000, 2000, 3072, 0, 60);
      run->rebuild = run->id;
      run->rebuild_start = run->d->now;
    }
}

static void
peak_tick (load_run_t *run, int t)
{
  /* The full rate holds for 5 of every 10 minutes, 0.3 of it otherwise.  It is
     about 26 task starts per second: 7 urgent, 17.5 batch, 1.6 in gangs.  One
     sixth of the target's peak is 35. */
  double rate_factor = t / 600 % 10 < 5 ? 1 : 0.3;

  for (int n = poisson (run, 0.7 * rate_factor); n > 0; n--)
    submit (run, GL_CLASS_URGENT, uniform_int (run, 0, 94), 1, 1000, 1024, 0,
            3);
  for (int n = poisson (run, 1.75 * rate_factor); n > 0; n--)
    submit (run, GL_CLASS_BATCH, uniform_int (run, 0, 94), 1,
            1000 * uniform_int (run, 1, 3), 1024 * uniform_int (run, 1, 8), 0,
            (uint32_t)uniform_int (run, 30, 90));
  for (int n = poisson (run, 0.02 * rate_factor); n > 0; n--)
    submit (run, GL_CLASS_GANG, uniform_int (run, 0, 94), 8, 4000, 16384, 1,
            60);
}

/**
 * struct load_t - a load and the domain that it runs on
 * @groups, @ngroups: the workers
 * @teams: teams that submit jobs
 * @services: service jobs of one task, submitted at the start
 * @service_cpus_m, @service_memory_mb: resources of each
 * @ticks: length in ticks of 100 ms
 * @tick: submits the jobs that arrive in tick @t
 */
typedef struct
{
  const char *name;
  drive_worker_group_t groups[2];
  int ngroups;
  int teams;
  int services;
  int service_cpus_m;
  int service_memory_mb;
  int ticks;
  void (*tick) (load_run_t *run, int t);
} load_t;

static const load_t loads[] = {
  { "saturday",
    { { 50, 8, { 16000, 65536, 0 } } },
    1,
    5,
    50,
    2000,
    4096,
    54000,
    saturday_tick },
  { "rebuild",
    { { 50, 6, { 32000, 65536, 0 } } },
    1,
    2,
    50,
    4000,
    4096,
    18000,
    rebuild_tick },
  { "peak",
    { { 90, 8, { 16000, 65536, 0 } }, { 29, 8, { 32000, 131072, 8 } } },
    2,
    95,
    180,
    1500,
    2048,
    18000,
    peak_tick },
};

static void
sample_cpu_share (load_run_t *run)
{
  int64_t used = 0;

  for (int i = 0; i < run->d->s->place.n; i++)
    used += run->d->s->place.w[i].used.cpus_m;
  run->cpu_share_sum += (double)used / (double)run->d->s->place.sum_cpus;
  run->nsamples++;
}

static void
check_rebuild_end (load_run_t *run)
{
  job_t *j;

  if (!run->rebuild || run->rebuild_end)
    return;
  j = pool_get (&run->d->s->jobs, job_find (run->d->s, run->rebuild));
  if (!j || j->finished)
    run->rebuild_end = run->d->now;
}

/* Volume bound of the rebuild: the CPU time of its 4000 tasks, at 2 CPUs each,
   divided by the CPUs that services leave free.  Sets @longest to the run time
   of its longest task.  Both in seconds. */
static double
volume_bound_s (const load_run_t *run, const load_t *l, double *longest)
{
  double cpu_s = 0;
  double cpus = (double)run->d->s->place.sum_cpus / 1000
                - l->services * l->service_cpus_m / 1000.0;

  for (uint32_t i = 0; i < 4000; i++)
    {
      gl_start_t s = { .task = { run->rebuild, i, 1 }, .runtime_s = 60 };
      double t = (double)run_time (NULL, &s) / 1000;

      cpu_s += 2 * t;
      if (t > *longest)
        *longest = t;
    }
  return cpu_s / cpus;
}

static int
queued_gangs (const gl_sched_t *s)
{
  int n = 0;

  for (int i = 0; i < s->nteams; i++)
    n += (int)s->teams[i].queued[GL_CLASS_GANG];
  return n;
}

/* Run a load under a policy and print the result.  Returns 1 if the full
   policy misses a bound. */
static int
run_load (const load_t *l, gl_policy_t policy)
{
  static const char *const policy_names[]
      = { "full", "first fit", "random fit", "no reservation" };
  static const char *const class_names[]
      = { "urgent", "service", "gang", "batch" };
  load_run_t run = { .rng = gsl_rng_alloc (gsl_rng_taus2) };
  gl_sched_t *s;
  int rc = 0;

  gsl_rng_set (run.rng, 11);
  run.d = drive_new (l->groups, l->ngroups, l->teams, policy, run_time, &run);
  s = run.d->s;
  for (int i = 0; i < l->services; i++)
    submit (&run, GL_CLASS_SERVICE, i % l->teams, 1, l->service_cpus_m,
            l->service_memory_mb, 0, 0);
  drive_run_until (run.d, run.d->now + 5000);
  for (int t = 0; t < l->ticks; t++)
    {
      drive_run_until (run.d, run.d->now + 100);
      l->tick (&run, t);
      check_rebuild_end (&run);
      if (t % 10 == 0)
        sample_cpu_share (&run);
    }
  printf ("%-9s %-15s", l->name, policy_names[policy]);
  for (int c = 0; c < JOB_CLASSES; c++)
    if (c != GL_CLASS_SERVICE && s->wait_class[c].n)
      printf (" %s %llu p50 %.0f p99 %.0f ms,", class_names[c],
              (unsigned long long)s->wait_class[c].n,
              hist_quantile (&s->wait_class[c], 0.5),
              hist_quantile (&s->wait_class[c], 0.99));
  printf (" gangs waiting %d, cpus %.3f", queued_gangs (s),
          run.cpu_share_sum / (double)run.nsamples);
  if (policy == GL_POLICY_FULL
      && hist_quantile (&s->wait_class[GL_CLASS_URGENT], 0.99)
             > URGENT_BOUND_MS)
    rc = 1;
  if (run.rebuild)
    {
      double took = run.rebuild_end
                        ? (double)(run.rebuild_end - run.rebuild_start) / 1000
                        : -1;
      double longest = 0;
      double volume = volume_bound_s (&run, l, &longest);

      printf (", rebuild %.0f s, volume %.0f s, longest task %.0f s", took,
              volume, longest);
      if (policy == GL_POLICY_FULL
          && (took < 0 || took > 1.05 * (volume + longest)))
        rc = 1;
    }
  puts (rc ? " EXCEEDED" : "");
  fflush (stdout);
  drive_free (run.d);
  gsl_rng_free (run.rng);
  return rc;
}

int
main (int argc, char **argv)
{
  int full_only = argc > 1 && !strcmp (argv[1], "--full");
  int rc = 0;

  for (size_t i = 0; i < sizeof loads / sizeof *loads; i++)
    for (int p = 0; p <= (full_only ? 0 : GL_POLICY_NO_RESERVATION); p++)
      rc |= run_load (&loads[i], (gl_policy_t)p);
  return rc;
}
