/* timer.h -- timer service that the parts of a daemon subscribe to */
#ifndef GL_TIMER_H
#define GL_TIMER_H

#include "gentianlatch.h"

typedef void (*timer_fn_t) (void *ctx, gl_ms_t now);

#define TIMER_MAX 32
#define TIMER_NEVER UINT64_MAX

typedef struct
{
  gl_ms_t due;
  timer_fn_t fn;
  void *ctx;
} timer_sub_t;

/** struct timer_service_t - the subscriptions of one control thread */
typedef struct
{
  timer_sub_t subs[TIMER_MAX];
  int n;
} timer_service_t;

/** timer_subscribe - register a callback, disarmed; returns its number */
int timer_subscribe (timer_service_t *ts, timer_fn_t fn, void *ctx);
/** timer_arm - fire subscription @id once at @due, replacing what was set */
void timer_arm (timer_service_t *ts, int id, gl_ms_t due);
/** timer_arm_before - like timer_arm, but only ever to an earlier instant */
void timer_arm_before (timer_service_t *ts, int id, gl_ms_t due);
/** timer_next - earliest due instant, TIMER_NEVER when none is armed */
gl_ms_t timer_next (const timer_service_t *ts);
/** timer_run - call every subscription due at @now, in order of due time */
void timer_run (timer_service_t *ts, gl_ms_t now);

#endif
