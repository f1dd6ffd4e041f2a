/*
 * capacity.c -- how the scheduler's messages and state grow with its domain
 *
 * Runs the scheduler in virtual time at four sizes of one domain and prints
 * counted quantities: calls and encoded bytes per second, when idle and while
 * tasks start; bytes of log and snapshot; bytes of memory by kind of record.
 * The largest size is one of the six domains of the target.  The counts are
 * the same on every machine, so "make capacity" can compare them with those
 * in docs/CAPACITY.md.
 */
#include <stdio.h>
#include <stdlib.h>

#include "drive.h"
#include "schedint.h"

/**
 * struct spec_t - a size of the domain
 * @workers, @tasks, @teams: how many
 * @starts: task starts per second while busy
 */
typedef struct
{
  int workers;
  int tasks;
  int teams;
  double starts;
} spec_t;

/* The target divided by its six domains is 119 workers, 884 tasks and 35 task
   starts per second.  All teams are present in every domain. */
static const spec_t specs[] = { { 20, 150, 16, 6 },
                                { 40, 300, 32, 12 },
                                { 80, 600, 64, 24 },
                                { 119, 884, 95, 35 } };
#define NSPECS (sizeof specs / sizeof *specs)
/* Length of the measurement without and with task starts, and run time of the
   tasks that are started; seconds. */
#define IDLE_S 300
#define BUSY_S 60
#define RUN_S 2

static uint64_t
run_time (void *ctx, const gl_start_t *s)
{
  (void)ctx;
  return s->runtime_s * 1000;
}

/**
 * struct totals_t - counts since the start of the scheduler
 * @store_puts, @store_gets, @store_bytes: as in struct drive
 * @calls, @bytes: calls to workers and bytes exchanged with them
 * @starts: task starts that workers confirmed
 * @commit_bytes: bytes of commits written to the log
 */
typedef struct
{
  uint64_t store_puts;
  uint64_t store_gets;
  uint64_t store_bytes;
  uint64_t calls;
  uint64_t bytes;
  uint64_t starts;
  uint64_t commit_bytes;
} totals_t;

static totals_t
read_totals (const drive_t *d)
{
  totals_t t = { d->store_puts,
                 d->store_gets,
                 d->store_bytes,
                 d->worker_calls,
                 d->worker_bytes,
                 d->s->counters.started,
                 d->s->counters.commit_bytes };
  return t;
}

static double
per_s (uint64_t before, uint64_t now, int seconds)
{
  return (double)(now - before) / seconds;
}

/* Print the rates over the last @seconds seconds, at whose start the totals
   were @before. */
static void
report (const char *what, const spec_t *spec, const drive_t *d,
        totals_t before, int seconds)
{
  totals_t now = read_totals (d);

  printf ("%-5s %4d %5d %3d %6.2f %8.0f %6.2f %6.2f %8.0f\n", what,
          spec->workers, spec->tasks, spec->teams,
          per_s (before.calls, now.calls, seconds),
          per_s (before.bytes, now.bytes, seconds),
          per_s (before.store_puts, now.store_puts, seconds),
          per_s (before.store_gets, now.store_gets, seconds),
          per_s (before.store_bytes, now.store_bytes, seconds));
}

/* A domain that runs services and long batch jobs of four tasks each. */
static drive_t *
new_filled_domain (const spec_t *spec)
{
  int plain_workers = spec->workers * 3 / 4;
  drive_worker_group_t groups[]
      = { { plain_workers, 8, { 16000, 65536, 0 } },
          { spec->workers - plain_workers, 8, { 32000, 131072, 8 } } };
  drive_t *d
      = drive_new (groups, 2, spec->teams, GL_POLICY_FULL, run_time, NULL);
  gl_res_t need = { 1000, 1024, 0 };

  for (int i = 0; i < spec->tasks / 4; i++)
    {
      drive_submit (d, (uint64_t)i + 1,
                    i % 5 ? GL_CLASS_BATCH : GL_CLASS_SERVICE, i % spec->teams,
                    4, need, i % 5 ? 1000000 : 0);
      drive_run_until (d, d->now + 30);
    }
  drive_run_until (d, d->now + 60000);
  return d;
}

/* Submit batch jobs of one short task at the rate of the size, for BUSY_S
   seconds. */
static void
run_starts (drive_t *d, const spec_t *spec)
{
  uint64_t id = 1000000;
  gl_res_t need = { 500, 256, 0 };
  gl_ms_t begin = d->now;

  for (int i = 0; i < (int)(spec->starts * BUSY_S); i++)
    {
      drive_run_until (d, begin + (gl_ms_t)(i * 1000 / spec->starts));
      drive_submit (d, id++, GL_CLASS_BATCH, i % spec->teams, 1, need, RUN_S);
    }
  drive_run_until (d, begin + BUSY_S * 1000);
}

int
main (void)
{
  printf (
      "load  wrks tasks tms calls/s   bytes/s  puts/s gets/s  store B/s\n");
  for (size_t i = 0; i < NSPECS; i++)
    {
      const spec_t *spec = &specs[i];
      drive_t *d = new_filled_domain (spec);
      totals_t before = read_totals (d);

      drive_run_until (d, d->now + IDLE_S * 1000);
      report ("idle", spec, d, before, IDLE_S);
      before = read_totals (d);
      run_starts (d, spec);
      report ("busy", spec, d, before, BUSY_S);
      printf ("log   %.0f bytes a start and its end, snapshot %zu bytes\n",
              (double)(d->s->counters.commit_bytes - before.commit_bytes)
                  / (double)(d->s->counters.started - before.starts),
              d->s->snap.last_len);
      drive_free (d);
    }
  printf ("state bytes: fixed %zu, worker %zu, job %zu, task %zu, team %zu\n",
          sizeof (gl_sched_t), sizeof (worker_t) + sizeof (place_worker_t),
          sizeof (job_t) + RACKS_MAX * sizeof (uint16_t),
          sizeof (task_t) + sizeof (task_handle_t),
          sizeof (team_t) + sizeof (conf_team_t));
  printf ("state of the domain, bytes:");
  for (size_t i = 0; i < NSPECS; i++)
    {
      const spec_t *spec = &specs[i];
      size_t bytes
          = sizeof (gl_sched_t)
            + (size_t)spec->workers
                  * (sizeof (worker_t) + sizeof (place_worker_t))
            + (size_t)spec->tasks / 4
                  * (sizeof (job_t) + RACKS_MAX * sizeof (uint16_t))
            + (size_t)spec->tasks * (sizeof (task_t) + sizeof (task_handle_t))
            + (size_t)spec->teams * (sizeof (team_t) + sizeof (conf_team_t));
      printf ("%s %zu at %d workers", i ? "," : "", bytes, spec->workers);
    }
  putchar ('\n');
  return 0;
}
