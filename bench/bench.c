/*
 * bench.c -- placements a second and the time of one decision
 *
 * A cell is filled with a mixed load; then tasks end and are replaced from
 * a queue that is never empty.  Every step of the reducer is timed; those
 * that placed something count as decisions.  With --ops the time is left
 * out and the candidate workers looked at per placement are printed, a
 * count that does not depend on the machine.  From one size to the next it
 * must grow by less than the number of workers does.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>

#include "drive.h"
#include "schedint.h"

typedef struct
{
  const char *name;
  int plain;
  int with_accels;
  int accels_each;
  int teams;
  int tasks;
} size_spec_t;

static const size_spec_t sizes[] = {
  { "today", 42, 8, 4, 20, 300 },
  { "target", 535, 175, 8, 95, 5300 },
  { "target x10", 5350, 1750, 8, 95, 53000 },
};

typedef struct
{
  gsl_rng *rng;
  gl_sched_t *s;
  uint64_t placed;
  uint64_t *ns;
  size_t n;
  size_t cap;
  uint64_t total_ns;
  int on;
} bench_t;

static uint64_t
run_time (void *ctx, const gl_start_t *s)
{
  bench_t *b = ctx;

  if (!s->runtime_s)
    return 0;
  return 1000 + gsl_rng_uniform_int (b->rng, s->runtime_s * 2000);
}

static void
note_step (void *ctx, const gl_event_t *ev, uint64_t ns)
{
  bench_t *b = ctx;
  uint64_t placed;

  (void)ev;
  if (!b->on)
    return;
  placed = b->s->counters.placed;
  b->total_ns += ns;
  if (placed == b->placed)
    return;
  /* A step that places several tasks spends its time on all of them. */
  for (uint64_t i = b->placed; i < placed && b->n < b->cap; i++)
    b->ns[b->n++] = ns / (placed - b->placed);
  b->placed = placed;
}

static gl_res_t
shape (bench_t *b, int accels)
{
  gl_res_t r = { 1000 + 500 * (int)gsl_rng_uniform_int (b->rng, 8),
                 1024 * (1 + (int)gsl_rng_uniform_int (b->rng, 8)), accels };
  return r;
}

/* One job of the mix: a fifth services, some gangs, the rest batch. */
static void
submit_one (bench_t *b, drive_t *d, uint64_t id, const size_spec_t *z)
{
  unsigned long k = gsl_rng_uniform_int (b->rng, 100);
  int team = (int)gsl_rng_uniform_int (b->rng, (unsigned long)z->teams);
  int accels = gsl_rng_uniform_int (b->rng, 8) == 0;

  if (k < 3)
    drive_submit (d, id, GL_CLASS_GANG, team, 4, shape (b, accels), 60);
  else if (k < 8)
    drive_submit (d, id, GL_CLASS_URGENT, team, 1, shape (b, 0), 5);
  else
    drive_submit (d, id, GL_CLASS_BATCH, team,
                  1 + (uint32_t)gsl_rng_uniform_int (b->rng, 8),
                  shape (b, accels), 30);
}

static int
by_value (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return *x < *y ? -1 : *x > *y;
}

static double
quantile_us (bench_t *b, double q)
{
  return b->n ? (double)b->ns[(size_t)(q * (double)(b->n - 1))] / 1000 : 0;
}

/* Jobs in the queues that the cell is kept supplied with. */
#define QUEUE_JOBS 1000

static uint32_t
waiting (const drive_t *d)
{
  uint32_t n = 0;

  for (int i = 0; i < d->s->nteams; i++)
    for (int c = 0; c < JOB_CLASSES; c++)
      n += d->s->teams[i].queued[c];
  return n;
}

/* Returns the candidates looked at per placement. */
static double
bench_size (const size_spec_t *z, int ops, int placements)
{
  drive_worker_group_t shapes[]
      = { { z->plain, 8, { 16000, 65536, 0 } },
          { z->with_accels, 8, { 32000, 131072, z->accels_each } } };
  bench_t b = { .rng = gsl_rng_alloc (gsl_rng_taus2) };
  drive_t *d;
  uint64_t id = 1;
  uint64_t probes;
  uint64_t first;
  double per;

  gsl_rng_set (b.rng, 7);
  d = drive_new (shapes, 2, z->teams, GL_POLICY_FULL, run_time, &b);
  b.s = d->s;
  b.cap = (size_t)placements;
  b.ns = calloc (b.cap, sizeof *b.ns);
  for (int i = 0; i < z->tasks / 20; i++)
    {
      drive_submit (d, id++, GL_CLASS_SERVICE, i % z->teams, 4, shape (&b, 0),
                    0);
      if (i % 64 == 0)
        drive_run_until (d, d->now + 30);
    }
  drive_run_until (d, d->now + 5000);
  d->on_step = note_step;
  while (d->s->jobs.count < (size_t)z->tasks * 2 / 5 + 1000
         && d->s->jobs.count < JOBS_MAX - 1)
    {
      submit_one (&b, d, id++, z);
      if (id % 64 == 0)
        drive_run_until (d, d->now + 30);
    }
  drive_run_until (d, d->now + 5000);
  b.on = 1;
  b.placed = d->s->counters.placed;
  first = b.placed;
  probes = d->s->place.probes;
  while (d->s->counters.placed - first < (uint64_t)placements)
    {
      for (int i = 0; i < 1000 && waiting (d) < QUEUE_JOBS; i++)
        submit_one (&b, d, id++, z);
      drive_run_until (d, d->now + 50);
    }
  per = (double)(d->s->place.probes - probes)
        / (double)(d->s->counters.placed - first);
  qsort (b.ns, b.n, sizeof *b.ns, by_value);
  printf (
      "%-11s %5d workers %6d running %2d teams %4u jobs waiting: ", z->name,
      d->nworkers, drive_running_tasks (d), z->teams, waiting (d));
  if (ops)
    printf ("%.1f candidates a placement\n", per);
  else
    printf ("%.0f placements/s, p50 %.1f us, p99 %.1f us, p99.9 %.1f us, "
            "%.1f candidates a placement\n",
            (double)(d->s->counters.placed - first) * 1e9 / (double)b.total_ns,
            quantile_us (&b, 0.5), quantile_us (&b, 0.99),
            quantile_us (&b, 0.999), per);
  drive_free (d);
  gsl_rng_free (b.rng);
  free (b.ns);
  return per;
}

int
main (int argc, char **argv)
{
  int ops = argc > 1 && !strcmp (argv[1], "--ops");
  double last = 0;
  int last_workers = 0;
  int rc = 0;

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      double per = bench_size (&sizes[i], ops, ops ? 5000 : 20000);
      int workers = sizes[i].plain + sizes[i].with_accels;

      if (last_workers && per / last >= (double)workers / last_workers)
        {
          printf ("EXCEEDED: %.1f times the candidates for %.1f times the "
                  "workers\n",
                  per / last, (double)workers / last_workers);
          rc = 1;
        }
      last = per;
      last_workers = workers;
    }
  return rc;
}
