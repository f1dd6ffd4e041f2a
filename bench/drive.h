/* drive.h -- drives one scheduler in virtual time, with a store and workers
   that always answer; for benchmarks and tests */
#ifndef DRIVE_H
#define DRIVE_H

#include "gentianlatch.h"
#include "kvcore.h"
#include "wcore.h"

/* Delay of a message in one direction between scheduler and worker, ms. */
#define DRIVE_NET_DELAY_MS 1
/* Time from a call to the store until its result arrives, ms. */
#define DRIVE_STORE_DELAY_MS 3

typedef struct drive drive_t;

/**
 * struct drive_event_t - an event scheduled for a later virtual time
 * @at: when it is due
 * @sequence: orders events that are due at the same time
 * @kind: one of EV_* in drive.c
 * @id: worker number, or tag of a call to the store
 * @call: number of a call to a worker
 * @data, @len: encoded call or reply, or the value read from the store
 * @index, @status: modification index and gl_store_status_t of a call to the
 *   store
 */
typedef struct
{
  gl_ms_t at;
  uint64_t sequence;
  int kind;
  uint32_t id;
  uint32_t call;
  char *data;
  size_t len;
  uint64_t index;
  int status;
} drive_event_t;

/**
 * struct drive_long_poll_t - a long poll that a worker has not yet answered
 * @open: there is one
 * @call: its call number
 * @until: when it is answered at the latest
 * @seen_seq: it is answered once an attempt changes after this event
 * @epoch: epoch of the caller
 */
typedef struct
{
  int open;
  uint32_t call;
  gl_ms_t until;
  uint64_t seen_seq;
  uint64_t epoch;
} drive_long_poll_t;

/** drive_run_time_fn_t - run time of an attempt in ms; 0: it never ends by
    itself */
typedef uint64_t (*drive_run_time_fn_t) (void *ctx, const gl_start_t *s);

/** drive_fails_fn_t - whether an attempt on a worker fails */
typedef int (*drive_fails_fn_t) (void *ctx, const char *worker,
                                 const gl_start_t *s);

/**
 * struct drive - a scheduler with its store, its workers and virtual time
 * @s: the scheduler
 * @kv: contents of the store
 * @now: virtual time, ms
 * @workers, @nworkers: the workers
 * @long_polls: the open long poll of each worker
 * @wake_at: per worker, when its EV_WAKE event for the next end of an attempt
 *   is due; 0 for none
 * @heap, @heap_len, @heap_cap: binary heap of events, the earliest on top
 * @last_sequence: sequence number of the last event pushed
 * @store_bytes, @store_puts, @store_gets: bytes of keys and values exchanged
 *   with the store, writes, and reads; refused calls count as reads
 * @worker_calls, @worker_bytes: calls to workers, and encoded bytes of calls
 *   and replies
 * @accepted, @refused: requests that the scheduler answered with GL_OK and
 *   with anything else
 * @run_time: run time of each attempt
 * @fails: decides which attempts fail; NULL if none does
 * @store_down: while not 0, every call to the store is refused
 * @ctx: argument of @run_time, @fails and @on_step
 * @on_step: called after each step of the scheduler with the step's duration
 *   in real time, nanoseconds; may be NULL
 */
struct drive
{
  gl_sched_t *s;
  kv_t kv;
  gl_ms_t now;
  wcore_t **workers;
  drive_long_poll_t *long_polls;
  gl_ms_t *wake_at;
  int nworkers;
  drive_event_t *heap;
  size_t heap_len;
  size_t heap_cap;
  uint64_t last_sequence;
  uint64_t store_bytes;
  uint64_t store_puts;
  uint64_t store_gets;
  uint64_t worker_calls;
  uint64_t worker_bytes;
  uint64_t accepted;
  uint64_t refused;
  drive_run_time_fn_t run_time;
  drive_fails_fn_t fails;
  int store_down;
  void *ctx;
  void (*on_step) (void *ctx, const gl_event_t *ev, uint64_t ns);
};

/** struct drive_worker_group_t - @count workers with capacity @total,
    @per_rack to a rack */
typedef struct
{
  int count;
  int per_rack;
  gl_res_t total;
} drive_worker_group_t;

/**
 * drive_new - create a scheduler and its workers and let it take over the
 * domain
 * @teams: number of teams, named t0, t1, ...; their quotas are too large to
 *   limit anything
 *
 * Returns once the scheduler is active; aborts if that takes more than 10 s
 * of virtual time.
 */
drive_t *drive_new (const drive_worker_group_t *groups, int ngroups, int teams,
                    gl_policy_t policy, drive_run_time_fn_t run_time,
                    void *ctx);
/** drive_free - free the scheduler, its workers and the store */
void drive_free (drive_t *d);
/** drive_run_until - process all events that are due up to @when */
void drive_run_until (drive_t *d, gl_ms_t when);
/** drive_submit - submit job @id now; @need is per task, and @runtime_s 0
    declares no run time */
void drive_submit (drive_t *d, uint64_t id, gl_class_t cls, int team,
                   uint32_t tasks, gl_res_t need, uint32_t runtime_s);
/** drive_running_tasks - number of tasks that run on all workers */
int drive_running_tasks (const drive_t *d);

#endif
