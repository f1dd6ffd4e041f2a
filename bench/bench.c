/*
 * bench.c -- placements per second and the time of a placement decision
 *
 * For each size, the workers of one domain are filled with a mixed load.
 * Then tasks end and new ones take their place, from queues that never run
 * empty.  Each step of the scheduler is timed; the steps that place a task
 * count as decisions.
 *
 * With --ops, no times are printed but the number of candidate workers
 * examined per placement, which is the same on every machine.  Exits with 1
 * if this number grows from one size to the next by a factor that reaches the
 * growth of the number of workers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>

#include "drive.h"
#include "schedint.h"

/**
 * struct size_spec_t - a size of a domain
 * @plain_workers, @accel_workers: workers without and with accelerators
 * @accels_per_worker: accelerators of a worker that has them
 * @teams: teams that submit jobs
 * @tasks: tasks to fill it with, about
 */
typedef struct
{
  const char *name;
  int plain_workers;
  int accel_workers;
  int accels_per_worker;
  int teams;
  int tasks;
} size_spec_t;

static const size_spec_t sizes[] = {
  { "today", 42, 8, 4, 20, 300 },
  { "target", 535, 175, 8, 95, 5300 },
  { "target x10", 5350, 1750, 8, 95, 53000 },
};

/**
 * struct bench_t - measurements of one size
 * @rng: source of the load, with a fixed seed
 * @s: the scheduler
 * @placed: tasks placed until the last step that was recorded
 * @decision_ns, @ndecisions, @max_decisions: time of each placement,
 *   nanoseconds
 * @total_ns: time of all steps, those without a placement included
 * @measuring: steps are recorded
 */
typedef struct
{
  gsl_rng *rng;
  gl_sched_t *s;
  uint64_t placed;
  uint64_t *decision_ns;
  size_t ndecisions;
  size_t max_decisions;
  uint64_t total_ns;
  int measuring;
} bench_t;

/* An attempt runs between 1 s and 1 s plus twice its declared time; services
   run until they are stopped. */
static uint64_t
run_time (void *ctx, const gl_start_t *s)
{
  bench_t *b = ctx;

  if (!s->runtime_s)
    return 0;
  return 1000 + gsl_rng_uniform_int (b->rng, s->runtime_s * 2000);
}

static void
record_step (void *ctx, const gl_event_t *ev, uint64_t ns)
{
  bench_t *b = ctx;
  uint64_t placed;

  (void)ev;
  if (!b->measuring)
    return;
  placed = b->s->counters.placed;
  b->total_ns += ns;
  if (placed == b->placed)
    return;
  /* A step that places several tasks counts as one decision for each, and its
     time is divided evenly among them. */
  for (uint64_t i = b->placed; i < placed && b->ndecisions < b->max_decisions;
       i++)
    b->decision_ns[b->ndecisions++] = ns / (placed - b->placed);
  b->placed = placed;
}

static gl_res_t
random_need (bench_t *b, int accels)
{
  gl_res_t r = { 1000 + 500 * (int)gsl_rng_uniform_int (b->rng, 8),
                 1024 * (1 + (int)gsl_rng_uniform_int (b->rng, 8)), accels };
  return r;
}

/* 3 percent gangs, 5 percent urgent jobs, the rest batch. */
static void
submit_random_job (bench_t *b, drive_t *d, uint64_t id,
                   const size_spec_t *spec)
{
  unsigned long k = gsl_rng_uniform_int (b->rng, 100);
  int team = (int)gsl_rng_uniform_int (b->rng, (unsigned long)spec->teams);
  int accels = gsl_rng_uniform_int (b->rng, 8) == 0;

  if (k < 3)
    drive_submit (d, id, GL_CLASS_GANG, team, 4, random_need (b, accels), 60);
  else if (k < 8)
    drive_submit (d, id, GL_CLASS_URGENT, team, 1, random_need (b, 0), 5);
  else
    drive_submit (d, id, GL_CLASS_BATCH, team,
                  1 + (uint32_t)gsl_rng_uniform_int (b->rng, 8),
                  random_need (b, accels), 30);
}

static int
compare_u64 (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return *x < *y ? -1 : *x > *y;
}

static double
quantile_us (bench_t *b, double q)
{
  return b->ndecisions
             ? (double)b
                       ->decision_ns[(size_t)(q * (double)(b->ndecisions - 1))]
                   / 1000
             : 0;
}

/* Jobs that the queues of all teams are kept filled with. */
#define QUEUE_JOBS 1000

static uint32_t
queued_jobs (const drive_t *d)
{
  uint32_t n = 0;

  for (int i = 0; i < d->s->nteams; i++)
    for (int c = 0; c < JOB_CLASSES; c++)
      n += d->s->teams[i].queued[c];
  return n;
}

/* Measure one size with the given number of placements.  Returns the number of
   candidate workers examined per placement. */
static double
bench_size (const size_spec_t *spec, int ops, int placements)
{
  drive_worker_group_t groups[] = {
    { spec->plain_workers, 8, { 16000, 65536, 0 } },
    { spec->accel_workers, 8, { 32000, 131072, spec->accels_per_worker } }
  };
  bench_t b = { .rng = gsl_rng_alloc (gsl_rng_taus2) };
  drive_t *d;
  uint64_t id = 1;
  uint64_t probes_before;
  uint64_t placed_before;
  double candidates;

  gsl_rng_set (b.rng, 7);
  d = drive_new (groups, 2, spec->teams, GL_POLICY_FULL, run_time, &b);
  b.s = d->s;
  b.max_decisions = (size_t)placements;
  b.decision_ns = calloc (b.max_decisions, sizeof *b.decision_ns);
  for (int i = 0; i < spec->tasks / 20; i++)
    {
      drive_submit (d, id++, GL_CLASS_SERVICE, i % spec->teams, 4,
                    random_need (&b, 0), 0);
      if (i % 64 == 0)
        drive_run_until (d, d->now + 30);
    }
  drive_run_until (d, d->now + 5000);
  d->on_step = record_step;
  while (d->s->jobs.count < (size_t)spec->tasks * 2 / 5 + 1000
         && d->s->jobs.count < JOBS_MAX - 1)
    {
      submit_random_job (&b, d, id++, spec);
      if (id % 64 == 0)
        drive_run_until (d, d->now + 30);
    }
  drive_run_until (d, d->now + 5000);
  b.measuring = 1;
  b.placed = d->s->counters.placed;
  placed_before = b.placed;
  probes_before = d->s->place.probes;
  while (d->s->counters.placed - placed_before < (uint64_t)placements)
    {
      for (int i = 0; i < 1000 && queued_jobs (d) < QUEUE_JOBS; i++)
        submit_random_job (&b, d, id++, spec);
      drive_run_until (d, d->now + 50);
    }
  candidates = (double)(d->s->place.probes - probes_before)
               / (double)(d->s->counters.placed - placed_before);
  qsort (b.decision_ns, b.ndecisions, sizeof *b.decision_ns, compare_u64);
  printf (
      "%-11s %5d workers %6d running %2d teams %4u jobs waiting: ", spec->name,
      d->nworkers, drive_running_tasks (d), spec->teams, queued_jobs (d));
  if (ops)
    printf ("%.1f candidates a placement\n", candidates);
  else
    printf ("%.0f placements/s, p50 %.1f us, p99 %.1f us, p99.9 %.1f us, "
            "%.1f candidates a placement\n",
            (double)(d->s->counters.placed - placed_before) * 1e9
                / (double)b.total_ns,
            quantile_us (&b, 0.5), quantile_us (&b, 0.99),
            quantile_us (&b, 0.999), candidates);
  drive_free (d);
  gsl_rng_free (b.rng);
  free (b.decision_ns);
  return candidates;
}

int
main (int argc, char **argv)
{
  int ops = argc > 1 && !strcmp (argv[1], "--ops");
  double last_candidates = 0;
  int last_workers = 0;
  int rc = 0;

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      double candidates = bench_size (&sizes[i], ops, ops ? 5000 : 20000);
      int workers = sizes[i].plain_workers + sizes[i].accel_workers;

      if (last_workers
          && candidates / last_candidates >= (double)workers / last_workers)
        {
          printf ("EXCEEDED: %.1f times the candidates for %.1f times the "
                  "workers\n",
                  candidates / last_candidates,
                  (double)workers / last_workers);
          rc = 1;
        }
      last_candidates = candidates;
      last_workers = workers;
    }
  return rc;
}
