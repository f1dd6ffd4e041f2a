/* wcore.h -- how a worker of the platform behaves, for stand-ins */
#ifndef WCORE_H
#define WCORE_H

#include "gl_rec.h"

#define WCORE_TASKS_MAX 160

/**
 * struct wtask_t - one attempt that the worker runs or remembers
 * @seq: number of its last change
 * @end_at: when it ends by itself, on the worker's clock; 0 for never
 * @will: how it then ends
 */
typedef struct
{
  gl_taskref_t ref;
  gl_res_t need;
  gl_wtask_state_t state;
  gl_outcome_t outcome;
  uint64_t seq;
  uint64_t started;
  uint64_t end_at;
  gl_outcome_t will;
} wtask_t;

typedef struct wcore wcore_t;

/** wcore_plan_t - decides how long an attempt runs and how it ends */
typedef void (*wcore_plan_t) (void *ctx, const wcore_t *w,
                              const gl_start_t *start, uint64_t *run_ms,
                              gl_outcome_t *will);

/**
 * struct wcore - one worker
 * @not_after: when its lease ends, on its own clock
 * @overfilled: starts that went past its capacity; it runs them all the
 *   same, so that a test sees the fault instead of having it hidden
 */
struct wcore
{
  char name[64];
  gl_res_t total;
  gl_res_t used;
  uint64_t epoch;
  uint64_t lease_epoch;
  uint64_t boot;
  uint64_t not_after;
  uint64_t last_call;
  uint64_t seq;
  wtask_t tasks[WCORE_TASKS_MAX];
  int ntasks;
  uint64_t starts;
  uint64_t overfilled;
  uint64_t refused;
  wcore_plan_t plan;
  void *ctx;
};

/** wcore_boot - forget everything and begin under a new boot number */
void wcore_boot (wcore_t *w, uint64_t boot);
/** wcore_tick - end what has run its time, and all when the lease is over */
void wcore_tick (wcore_t *w, uint64_t clock);
/**
 * wcore_call - carry out one call
 *
 * reply->tasks.tasks_val is allocated with malloc.
 */
void wcore_call (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
                 gl_wreply_t *reply);
/** wcore_news - whether there is anything after @seen_seq to tell */
int wcore_news (const wcore_t *w, uint64_t seen_seq);
/** wcore_news_reply - an answer to a held call */
void wcore_news_reply (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
                       gl_wreply_t *reply);
/** wcore_runs - the running attempt of a task, or NULL */
const wtask_t *wcore_runs (const wcore_t *w, uint64_t job, uint32_t index);

#endif
