/*
 * celldue.c -- which waiting steps can still end in time
 *
 * When a burst of large jobs reaches a cell that is nearly full, serving them
 * in the order of their age makes every job wait for the whole backlog, and
 * all of them are late.  Therefore, within a priority, steps whose job can
 * still end in time are served first, then those whose job will be late, then
 * those whose job will be so late that its result is of little use.  Each of
 * these classes is served in the order of age.
 *
 * Reservations for gangs and the share that is kept for priority 0 must not
 * leave a job idle while there is plenty of room.  A step of which nothing
 * runs for a while, nor of its job, although there is room for it twice, is
 * starved: it may use such room for one task, or for one gang, so that the job
 * goes on.
 */
#include "cellint.h"

#include <stdlib.h>

/* A job that takes this many times its due span is of little use. */
#define USELESS_FACTOR 3.0
/* A step is starved when nothing of its job has run for this long.  Users
   expect a job with room to be idle for less than 3 s; the rest is for a
   consultation and for the start. */
#define STARVED_MS 1500
/* A step is checked again after this time. */
#define STARVED_CHECK_MS 100
/* Room for a starved step: this many times what it is to use. */
#define STARVED_ROOM_FACTOR 2
/* Workers that a consultation is assumed to name. */
#define CONSULTED_WORKERS 30

int
due_compute_paths (cjob_t *j)
{
  u_int n = j->spec.steps.steps_len;

  j->path_ms = calloc ((size_t)n + 1, sizeof *j->path_ms);
  if (!j->path_ms)
    return -1;
  /* Predecessors have lower numbers than their step, so in this order the path
     of a step is complete before it is used. */
  for (u_int i = n; i-- > 0;)
    {
      const gl_step_t *s = &j->spec.steps.steps_val[i];

      j->path_ms[i] += s->estimate_ms;
      if (j->path_ms[i] > j->critical_path_ms)
        j->critical_path_ms = j->path_ms[i];
      for (u_int k = 0; k < s->predecessors.predecessors_len; k++)
        if (s->predecessors.predecessors_val[k] < i
            && j->path_ms[i] > j->path_ms[s->predecessors.predecessors_val[k]])
          j->path_ms[s->predecessors.predecessors_val[k]] = j->path_ms[i];
    }
  return 0;
}

double
due_consult_ms (const cell_queue_t *q)
{
  return q->consult_base_ms + CONSULTED_WORKERS * q->consult_per_worker_ms;
}

int
due_lateness (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);
  double consult_ms = q && q->advised ? due_consult_ms (q) : 0;
  double expected_ms;
  double due_ms;
  double ratio;

  /* For repeating jobs and long-running tasks, the job's age is no measure of
     lateness. */
  if (!q || q->due_factor <= 0 || j->spec.repeat_count || s->def->long_running)
    return 0;
  ratio = ratio_get (&c->ratios, s->run_class, RATIO_MEAN);
  expected_ms = (double)(c->now - j->arrived_at)
                + j->path_ms[s->index] * (ratio > 0 ? ratio : 1);
  due_ms
      = q->due_factor * (j->critical_path_ms + consult_ms) + q->due_offset_ms;
  return expected_ms <= due_ms                    ? 0
         : expected_ms <= USELESS_FACTOR * due_ms ? 1
                                                  : 2;
}

/* Whether workers that the step may use, as far as that is known, have room
   for @want of its tasks, reserved or not. */
static int
has_room (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int want)
{
  for (int i = 0; i < c->nworkers && want > 0; i++)
    if (!q->advised || consult_verdict (s, i) != 2)
      want -= room_unreserved (c, s, q, i);
  return want <= 0;
}

void
due_update_starved (cell_t *c, cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);
  gl_ms_t idle_since
      = s->ready_at > j->idle_since ? s->ready_at : j->idle_since;
  int need = s->def->gang ? (int)s->def->count : 1;

  if (j->nbound || !q || c->now < idle_since + STARVED_MS)
    s->starved = 0;
  else if (c->now >= s->starved_checked_at + STARVED_CHECK_MS)
    {
      s->starved_checked_at = c->now;
      s->starved = has_room (c, s, q, STARVED_ROOM_FACTOR * need);
    }
}
