/*
 * cellpoll.c -- when to poll a worker
 *
 * Each poll has its price, and a poll that waits is answered by any end.  Most
 * ends change nothing at once: the step has other tasks that run longer, and
 * nobody waits for the room.  Such an end is reported with the next poll.  A
 * poll is sent ahead of an end that matters:
 *
 *   the last end of a step, on which the job's end or its next step depends
 *   any end, while a step waits for room, or on a worker that a gang has
 *     reserved
 *   ends of gangs, and runs that are being stopped or looked for
 *
 * An end that does not matter may come unnoticed.  When the end of a task
 * leaves only a few others of its step, the workers of those whose expected
 * end has passed are polled at once, together: the step may be complete.
 *
 * When a run ends is estimated from the progress in the last report.  Before
 * there is one, the run may end any time after the early part of its usual
 * time.
 * A busy worker is polled at least every CELL_POLL_WAIT_MS, for its progress
 * and its lease.  If no end that matters is near, that poll waits only
 * briefly, so that the lease is renewed as often as by polls that wait.
 */
#include "cellint.h"

/* Part of its usual time after which a run without reported progress
   may end. */
#define EARLY_END_SHARE 0.35
/* Lowest progress, in percent, from which the end of a run is estimated. */
#define PROGRESS_MIN 5
/* A poll is sent this long before the estimated end, and earlier by what one
   percent of progress may hide. */
#define LEAD_MS 20
/* When the end of a task leaves at most this many tasks of its step, their
   expected ends are compared again: each comparison looks at all tasks. */
#define LAST_TASKS 4
/* A step that has waited this long waits for room; before that, the advisor's
   answer may be all that it lacks. */
#define ROOM_WAIT_MS 150

static int
is_progress_known (const ctask_t *t)
{
  return t->state == CT_RUNNING && t->percent >= PROGRESS_MIN;
}

static int
few_left (const cstep_t *s)
{
  return s->ndone + LAST_TASKS >= s->def->count;
}

/* Whether another task of the step will end later than @t, so that the end of
   @t does not complete the step. */
static int
ends_before_another (const cell_t *c, const cstep_t *s, const ctask_t *t)
{
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      const ctask_t *u = &s->tasks[i];

      if (u == t || u->state == CT_DONE)
        continue;
      /* One of the last that was expected to end by now may have ended. */
      if (u->state == CT_WAITING
          || (is_progress_known (u) && u->expected_end > t->expected_end
              && (!few_left (s) || u->expected_end > c->now)))
        return 1;
    }
  return 0;
}

/* Instant from which the end of the task is to be reported at once;
   TIMER_NEVER if it can be reported with the next poll. */
static gl_ms_t
report_from (const cell_t *c, const cstep_t *s, const ctask_t *t)
{
  int frees_wanted_room
      = c->room_wanted || c->workers[t->worker].nreservations;
  double ratio = c->usual_ratio > 0 ? c->usual_ratio : 1;
  gl_ms_t lead;

  if (t->state != CT_RUNNING && t->state != CT_STARTING)
    return c->now;
  if (!is_progress_known (t))
    return t->sent_at
           + (gl_ms_t)(EARLY_END_SHARE
                       * health_run_ratio (c, s, &c->workers[t->worker],
                                           RATIO_MEDIAN, ratio)
                       * s->def->estimate_ms);
  if (!s->def->gang && !frees_wanted_room && ends_before_another (c, s, t))
    return TIMER_NEVER;
  lead = LEAD_MS + (t->expected_end - t->sent_at) / t->percent;
  return t->expected_end > lead ? t->expected_end - lead : 0;
}

/* Instant from which the first end that matters is to be reported at once. */
static gl_ms_t
first_end_from (const cell_t *c, const cworker_t *w)
{
  gl_ms_t first = TIMER_NEVER;

  for (int i = 0; i < w->ntasks; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      gl_ms_t from = report_from (c, s, &s->tasks[w->tasks[i].index]);

      if (from < first)
        first = from;
    }
  return first;
}

gl_ms_t
poll_next (const cell_t *c, const cworker_t *w)
{
  gl_ms_t next = c->now + CELL_POLL_WAIT_MS;
  gl_ms_t first = first_end_from (c, w);

  if (!w->ntasks)
    return c->now;
  return first < next ? first : next;
}

uint32_t
poll_wait (const cell_t *c, const cworker_t *w, gl_ms_t early_ms)
{
  if (!w->ntasks)
    return CELL_POLL_IDLE_WAIT_MS;
  return first_end_from (c, w) <= c->now + early_ms ? CELL_POLL_WAIT_MS
                                                    : CELL_POLL_SHORT_WAIT_MS;
}

void
poll_task_started (cell_t *c, const cstep_t *s, const ctask_t *t)
{
  cworker_t *w = &c->workers[t->worker];
  gl_ms_t from = report_from (c, s, t);

  if (from < w->poll_at)
    w->poll_at = from;
}

/* The tasks that are left decide when the step is complete.  Their workers
   were not polled for ends before that of another task, so those that were
   expected to end by now have ended unnoticed, and are asked for at once. */
void
poll_task_ended (cell_t *c, const cstep_t *s)
{
  if (!few_left (s))
    return;
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      const ctask_t *t = &s->tasks[i];

      if (t->state == CT_DONE || t->worker < 0)
        continue;
      poll_task_started (c, s, t);
      if (c->workers[t->worker].poll_at <= c->now)
        timer_arm_before (&c->timers, c->poll_timer, c->now);
    }
}

void
poll_note_waiting (cell_t *c)
{
  c->room_wanted = 0;
  for (size_t i = 0; i < c->waiting.n && !c->room_wanted; i++)
    {
      const cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      c->room_wanted = s && s->nwaiting && !s->def->gang
                       && c->now - s->ready_at > ROOM_WAIT_MS;
    }
}
