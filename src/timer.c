/*
 * timer.c -- timer service that the parts of a daemon subscribe to
 *
 * A daemon has a dozen periodic duties, so a short array that is scanned
 * costs less than any heap and keeps the order of equal instants fixed,
 * which the tests rely on.  Time is passed in; the service reads no clock.
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
  /* Bounded, so that a callback that re-arms at "now" cannot spin. */
  for (int rounds = 0; rounds < 4 * TIMER_MAX; rounds++)
    {
      int i = earliest (ts);
      if (i < 0 || ts->subs[i].due > now)
        return;
      ts->subs[i].due = TIMER_NEVER;
      ts->subs[i].fn (ts->subs[i].ctx, now);
    }
}
