/* wcore.h -- model of a worker of the platform, for stand-ins and tests */
#ifndef WCORE_H
#define WCORE_H

#include "gl_rec.h"

/* Most attempts that a worker runs or remembers. */
#define WCORE_TASKS_MAX 160

/**
 * struct wtask_t - one attempt that the worker runs or remembers
 * @need: its resources
 * @outcome: how it ended, once @state is GL_WT_ENDED
 * @seq: number of the event that last changed it
 * @started: when it started, on the worker's clock
 * @end_at: when it ends by itself, on the worker's clock; 0 for never
 * @planned_outcome: how it then ends
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
  gl_outcome_t planned_outcome;
} wtask_t;

typedef struct wcore wcore_t;

/**
 * wcore_plan_t - decides how long an attempt runs and how it ends
 * @run_ms: set to its run time in milliseconds, or left at 0: it never ends
 *   by itself
 * @planned_outcome: set to its outcome, or left at GL_OUT_OK
 */
typedef void (*wcore_plan_t) (void *ctx, const wcore_t *w,
                              const gl_start_t *start, uint64_t *run_ms,
                              gl_outcome_t *planned_outcome);

/**
 * struct wcore - one worker
 * @total, @used: its capacity, and what its running attempts use
 * @epoch: latest epoch that it has seen
 * @lease_epoch, @not_after: epoch of its lease, and when the lease ends on
 *   its own clock
 * @boot: identifies this run of the worker
 * @last_call: number of the last call with starts or stops in this epoch
 * @seq: number of its last event
 * @starts: attempts started
 * @overfilled: starts that exceeded its capacity; it runs them all the same,
 *   so that the error shows in a test
 * @refused: starts refused
 * @plan, @ctx: decides how attempts run; called with @ctx
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

/** wcore_boot - restart: drop all tasks and the lease, and take a new boot
    number */
void wcore_boot (wcore_t *w, uint64_t boot);
/** wcore_tick - end attempts that are due to end, and all of them if the
    lease has expired */
void wcore_tick (wcore_t *w, uint64_t clock);
/**
 * wcore_call - process one call and fill in its reply
 *
 * reply->tasks.tasks_val is malloc'd.
 */
void wcore_call (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
                 gl_wreply_t *reply);
/** wcore_has_changes - 1 if an attempt has changed after event @seen_seq */
int wcore_has_changes (const wcore_t *w, uint64_t seen_seq);
/** wcore_changes_reply - fill in the reply to a long poll: the attempts that
    changed after call->seen_seq */
void wcore_changes_reply (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
                          gl_wreply_t *reply);
/** wcore_find_running - the running attempt of a task, or NULL */
const wtask_t *wcore_find_running (const wcore_t *w, uint64_t job,
                                   uint32_t index);

#endif
