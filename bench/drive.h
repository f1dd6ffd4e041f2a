/* drive.h -- one scheduler in virtual time with a store and workers that
   always answer, for benchmarks and experiments */
#ifndef DRIVE_H
#define DRIVE_H

#include "gentianlatch.h"
#include "kvcore.h"
#include "wcore.h"

/* One way over the network, and through the store, milliseconds. */
#define DRIVE_NET_MS 1
#define DRIVE_STORE_MS 3

typedef struct drive drive_t;

/** struct drive_event_t - something due in the drive's future */
typedef struct
{
  gl_ms_t at;
  uint64_t order;
  int kind;
  uint32_t a;
  uint32_t b;
  char *data;
  size_t len;
  uint64_t index;
  int status;
} drive_event_t;

/** struct drive_held_t - a call that a worker holds open */
typedef struct
{
  int on;
  uint32_t call;
  gl_ms_t until;
  uint64_t seen_seq;
  uint64_t epoch;
} drive_held_t;

/** drive_run_t - how long a task runs, milliseconds; 0 for ever */
typedef uint64_t (*drive_run_t) (void *ctx, const gl_start_t *s);

/** drive_fails_t - whether an attempt on a worker fails */
typedef int (*drive_fails_t) (void *ctx, const char *worker,
                              const gl_start_t *s);

/**
 * struct drive - the world
 * @store_bytes, @store_puts, @store_gets: to and from the store
 * @worker_calls, @worker_bytes: to and from workers, both ways
 * @fails: may be NULL
 * @store_down: while not 0 every call to the store is refused
 * @step_ns: called with the duration of each step, if set
 */
struct drive
{
  gl_sched_t *s;
  kv_t kv;
  gl_ms_t now;
  wcore_t **w;
  drive_held_t *held;
  gl_ms_t *wake;
  int nw;
  drive_event_t *heap;
  size_t nheap;
  size_t cap;
  uint64_t order;
  uint64_t store_bytes;
  uint64_t store_puts;
  uint64_t store_gets;
  uint64_t worker_calls;
  uint64_t worker_bytes;
  uint64_t accepted;
  uint64_t refused;
  drive_run_t run;
  drive_fails_t fails;
  int store_down;
  void *ctx;
  void (*step_ns) (void *ctx, const gl_event_t *ev, uint64_t ns);
};

/** struct drive_shape_t - @count workers of one size, @rack to a rack */
typedef struct
{
  int count;
  int rack;
  gl_res_t total;
} drive_shape_t;

/** drive_new - a scheduler that owns its domain, all workers greeted */
drive_t *drive_new (const drive_shape_t *shapes, int nshapes, int teams,
                    gl_policy_t policy, drive_run_t run, void *ctx);
/** drive_free - release it */
void drive_free (drive_t *d);
/** drive_until - let time pass up to @when */
void drive_until (drive_t *d, gl_ms_t when);
/** drive_submit - submit a job now */
void drive_submit (drive_t *d, uint64_t id, gl_class_t cls, int team,
                   uint32_t tasks, gl_res_t need, uint32_t runtime_s);
/** drive_tasks - tasks running on all workers */
int drive_tasks (const drive_t *d);

#endif
