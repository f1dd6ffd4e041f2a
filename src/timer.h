/* timer.h -- one-shot timers of the parts of a daemon */
#ifndef GL_TIMER_H
#define GL_TIMER_H

#include "gentianlatch.h"

/** timer_fn_t - called with the time that timer_run was given */
typedef void (*timer_fn_t) (void *ctx, gl_ms_t now);

/* Subscriptions of one service. */
#define TIMER_MAX 32
/* Due time of a disarmed timer. */
#define TIMER_NEVER UINT64_MAX

/** struct timer_sub_t - one timer and its callback; @due is in ms */
typedef struct
{
  gl_ms_t due;
  timer_fn_t fn;
  void *ctx;
} timer_sub_t;

/** struct timer_service_t - the timers of one control thread; zero it before
    the first use */
typedef struct
{
  timer_sub_t subs[TIMER_MAX];
  int n;
} timer_service_t;

/** timer_subscribe - add a disarmed timer with its callback; returns its id.
    There may be at most TIMER_MAX. */
int timer_subscribe (timer_service_t *ts, timer_fn_t fn, void *ctx);
/** timer_arm - fire timer @id once at @due, which replaces its due time */
void timer_arm (timer_service_t *ts, int id, gl_ms_t due);
/** timer_arm_before - like timer_arm, unless the timer is already due earlier
 */
void timer_arm_before (timer_service_t *ts, int id, gl_ms_t due);
/** timer_next - earliest due time, or TIMER_NEVER when no timer is armed */
gl_ms_t timer_next (const timer_service_t *ts);
/** timer_run - disarm and fire each timer due at @now, in order of due time */
void timer_run (timer_service_t *ts, gl_ms_t now);

#endif
