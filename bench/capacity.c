/*
 * capacity.c -- slopes of the scheduler's state and messages
 *
 * Runs the reducer in virtual time at four sizes of one domain, the last
 * being a sixth of the target, and prints counted quantities: calls and
 * encoded bytes, idle and under starts; bytes of log and snapshot; bytes of
 * memory by kind of record.  Counts are the same on every machine, so
 * "make capacity" holds them against docs/CAPACITY.md.
 */
#include <stdio.h>
#include <stdlib.h>

#include "drive.h"
#include "schedint.h"

typedef struct
{
  int workers;
  int tasks;
  int teams;
  double starts;
} spec_t;

/* The target over six domains: 119 workers, 884 tasks, 35 starts/s; the
   teams are the same everywhere. */
static const spec_t specs[] = { { 20, 150, 16, 6 },
                                { 40, 300, 32, 12 },
                                { 80, 600, 64, 24 },
                                { 119, 884, 95, 35 } };
#define NSPECS (sizeof specs / sizeof *specs)
#define IDLE_S 300
#define BUSY_S 60
#define RUN_S 2

static uint64_t
run_time (void *ctx, const gl_start_t *s)
{
  (void)ctx;
  return s->runtime_s * 1000;
}

typedef struct
{
  uint64_t store_puts;
  uint64_t store_gets;
  uint64_t store_bytes;
  uint64_t calls;
  uint64_t bytes;
  uint64_t starts;
  uint64_t commit_bytes;
} marks_t;

static marks_t
mark (const drive_t *d)
{
  marks_t m = { d->store_puts,
                d->store_gets,
                d->store_bytes,
                d->worker_calls,
                d->worker_bytes,
                d->s->counters.started,
                d->s->counters.commit_bytes };
  return m;
}

static double
per_s (uint64_t a, uint64_t b, int seconds)
{
  return (double)(b - a) / seconds;
}

static void
report (const char *what, const spec_t *z, const drive_t *d, marks_t a,
        int seconds)
{
  marks_t b = mark (d);

  printf ("%-5s %4d %5d %3d %6.2f %8.0f %6.2f %6.2f %8.0f\n", what, z->workers,
          z->tasks, z->teams, per_s (a.calls, b.calls, seconds),
          per_s (a.bytes, b.bytes, seconds),
          per_s (a.store_puts, b.store_puts, seconds),
          per_s (a.store_gets, b.store_gets, seconds),
          per_s (a.store_bytes, b.store_bytes, seconds));
}

static drive_t *
fill (const spec_t *z)
{
  int plain = z->workers * 3 / 4;
  drive_worker_group_t shapes[]
      = { { plain, 8, { 16000, 65536, 0 } },
          { z->workers - plain, 8, { 32000, 131072, 8 } } };
  drive_t *d = drive_new (shapes, 2, z->teams, GL_POLICY_FULL, run_time, NULL);
  gl_res_t need = { 1000, 1024, 0 };

  for (int i = 0; i < z->tasks / 4; i++)
    {
      drive_submit (d, (uint64_t)i + 1,
                    i % 5 ? GL_CLASS_BATCH : GL_CLASS_SERVICE, i % z->teams, 4,
                    need, i % 5 ? 1000000 : 0);
      drive_run_until (d, d->now + 30);
    }
  drive_run_until (d, d->now + 60000);
  return d;
}

static void
busy (drive_t *d, const spec_t *z)
{
  uint64_t id = 1000000;
  gl_res_t need = { 500, 256, 0 };
  gl_ms_t begin = d->now;

  for (int i = 0; i < (int)(z->starts * BUSY_S); i++)
    {
      drive_run_until (d, begin + (gl_ms_t)(i * 1000 / z->starts));
      drive_submit (d, id++, GL_CLASS_BATCH, i % z->teams, 1, need, RUN_S);
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
      const spec_t *z = &specs[i];
      drive_t *d = fill (z);
      marks_t m = mark (d);

      drive_run_until (d, d->now + IDLE_S * 1000);
      report ("idle", z, d, m, IDLE_S);
      m = mark (d);
      busy (d, z);
      report ("busy", z, d, m, BUSY_S);
      printf ("log   %.0f bytes a start and its end, snapshot %zu bytes\n",
              (double)(d->s->counters.commit_bytes - m.commit_bytes)
                  / (double)(d->s->counters.started - m.starts),
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
      const spec_t *z = &specs[i];
      size_t b
          = sizeof (gl_sched_t)
            + (size_t)z->workers
                  * (sizeof (worker_t) + sizeof (place_worker_t))
            + (size_t)z->tasks / 4
                  * (sizeof (job_t) + RACKS_MAX * sizeof (uint16_t))
            + (size_t)z->tasks * (sizeof (task_t) + sizeof (task_handle_t))
            + (size_t)z->teams * (sizeof (team_t) + sizeof (conf_team_t));
      printf ("%s %zu at %d workers", i ? "," : "", b, z->workers);
    }
  putchar ('\n');
  return 0;
}
