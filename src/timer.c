/*
 * timer.c -- one-shot timers of the parts of a daemon
 *
 * A daemon has about a dozen timers, so scanning a short array costs less
 * than a heap.  It also fires timers with the same due time in the order of
 * their subscription, which the tests rely on.  The caller passes the time in;
 * the service reads no clock.
 */
#include "timer.h"

#include <assert.h>

int
timer_subscribe (timer_service_t *ts, timer_fn_t fn, void *ctx)
{
  assert (ts->n < TIMER_MAX);
  ts->subs[ts->n].due = TIMER_NEVER;
  ts->subs[ts->n].fn = fn;
  ts->subs[ts->n].ctx = ctx;
  return ts->n++;
}

void
timer_arm (timer_service_t *ts, int id, gl_ms_t due)
{
  ts->subs[id].due = due;
}

void
timer_arm_before (timer_service_t *ts, int id, gl_ms_t due)
{
  if (due < ts->subs[id].due)
    ts->subs[id].due = due;
}

/* Index of the armed timer that is due first, or -1. */
static int
earliest (const timer_service_t *ts)
{
  int best = -1;
  for (int i = 0; i < ts->n; i++)
    if (ts->subs[i].due != TIMER_NEVER
        && (best < 0 || ts->subs[i].due < ts->subs[best].due))
      best = i;
  return best;
}

gl_ms_t
timer_next (const timer_service_t *ts)
{
  int i = earliest (ts);
  return i < 0 ? TIMER_NEVER : ts->subs[i].due;
}

void
timer_run (timer_service_t *ts, gl_ms_t now)
{
  /* The bound stops a callback that re-arms its timer at @now from looping
     for ever. */
  for (int rounds = 0; rounds < 4 * TIMER_MAX; rounds++)
    {
      int i = earliest (ts);
      if (i < 0 || ts->subs[i].due > now)
        return;
      ts->subs[i].due = TIMER_NEVER;
      ts->subs[i].fn (ts->subs[i].ctx, now);
    }
}
