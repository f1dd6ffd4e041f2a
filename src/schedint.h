/* schedint.h -- private state of the scheduler, shared by its modules */
#ifndef GL_SCHEDINT_H
#define GL_SCHEDINT_H

#include "gentianlatch.h"

#include <ck_ht.h>
#include <gsl/gsl_rng.h>

#include "conf.h"
#include "fault.h"
#include "metrics.h"
#include "place.h"
#include "pool.h"
#include "timer.h"

#define CLASSES 4

/* Defaults of gl_sched_opts_t, milliseconds. */
#define LEASE_MS 1500
#define RENEW_MS 400
#define WORKER_LEASE_MS 60000
#define HOLD_MS 30000
#define COMMIT_GAP_MS 50
#define GRACE_MS 3600000
#define DRIFT_PPM 500
/* Fixed part of the margin on every lease. */
#define MARGIN_MS 50

/* The test build makes these four small, so that short scripts meet them. */
#ifndef RING_SLOTS
/* Slots of the domain's log ring. */
#define RING_SLOTS 1024
/* Slots that must stay free for commits while a snapshot is written. */
#define RING_SPARE 128
/* Log bytes after which a snapshot is due, if larger than the last one. */
#define SNAP_LOG_BYTES 65536
/* Snapshot chunk, well under the service's limit of 1 MB a value. */
#define CHUNK_BYTES 400000
#endif
#define CHUNKS_MAX 64

/* Most jobs that a domain holds, and most finished ones it remembers. */
#define JOBS_MAX 20000
#define DONE_KEPT 500
/* Placements in one pass, so that no event takes long. */
#define PASS_PLACEMENTS 256
/* Jobs of one team looked at past one that does not fit. */
#define PASS_DEPTH 8
/* Distinct needs that are told apart; jobs of further ones are searched for
   every time. */
#define SHAPES_MAX 512
#define RACKS_MAX 128

/* Pending records past which no more work is taken on or placed, and most
   records of one commit; a gang's assignments may exceed it, never split. */
#define PENDING_MAX 4096
#define COMMIT_RECORDS 4000

/* Retry time told to operators, milliseconds. */
#define RETRY_OWNER_MS 2000
#define RETRY_STORE_MS 5000
#define RETRY_FULL_MS 30000
/* How long an operator's request may wait for its commit. */
#define TOKEN_MS 2000

typedef enum
{
  TASK_WAITING = 0,
  TASK_ASSIGNED,
  TASK_STARTING,
  TASK_RUNNING,
  TASK_STOPPING,
  TASK_ENDED
} task_state_t;

/**
 * struct task_t - one task of a job
 * @attempt: number of the present or last attempt, 0 before the first
 * @inherited: assigned by an earlier owner, so its wait is not ours to count
 * @worker: worker that holds it, -1 when none
 * @pos: place in that worker's list
 * @boot: boot of the worker that the attempt was assigned to
 * @since: when the present state began
 */
typedef struct
{
  unsigned char state;
  unsigned char outcome;
  unsigned char confirmed;
  unsigned char inherited;
  uint32_t attempt;
  int worker;
  int pos;
  uint64_t boot;
  gl_ms_t since;
  uint32_t used_cpus_m;
  uint32_t used_memory_mb;
} task_t;

/**
 * struct job_t - one accepted job
 * @waiting: tasks without a worker and not ended
 * @live: tasks that hold resources
 * @ended: tasks that will not run again
 * @doomed: a member of the gang has failed for good, so the rest ends too
 * @reason: why it waits, in words for the operator
 */
typedef struct
{
  uint64_t id;
  char name[GL_NAME_LEN + 1];
  int team;
  int cls;
  uint32_t ntasks;
  gl_res_t need;
  uint32_t runtime_s;
  uint32_t max_attempts;
  uint32_t waiting;
  uint32_t live;
  uint32_t ended;
  uint32_t failed;
  uint32_t fails_in_row;
  uint32_t preempted;
  uint32_t first_waiting;
  unsigned char canceled;
  unsigned char doomed;
  unsigned char queued;
  unsigned char aged;
  unsigned char done;
  gl_ms_t submitted;
  gl_ms_t not_before;
  gl_ms_t preempt_after;
  int hold_worker;
  int shape;
  uint64_t order;
  const char *reason;
  handle_t prev;
  handle_t next;
  task_t *tasks;
  uint16_t *rack_count;
} job_t;

/**
 * struct team_t - one team: quota share of this domain and what it uses
 * @stuck: fit_version under which nothing of the queue could be placed
 */
typedef struct
{
  char name[64];
  int known;
  gl_res_t quota;
  gl_res_t used;
  handle_t head[CLASSES];
  handle_t tail[CLASSES];
  uint32_t queued[CLASSES];
  uint64_t stuck[CLASSES];
  hist_t wait;
} team_t;

typedef enum
{
  WORKER_NEW = 0,
  WORKER_READY,
  WORKER_SILENT
} worker_state_t;

/** struct tref_t - position of a task in the tables */
typedef struct
{
  handle_t job;
  uint32_t index;
} tref_t;

/**
 * struct call_t - one outstanding call to a worker
 * @id: number of the call, 0 when none is out
 * @sent: when it was handed over
 * @leased: it carried a lease
 */
typedef struct
{
  uint32_t id;
  gl_ms_t sent;
  int leased;
} call_t;

/**
 * struct worker_t - one worker
 * @listed: in the platform's list
 * @clock, @clock_at: its clock in its last answer, and when that arrived
 * @granted: latest end of any lease granted in this epoch, on our clock
 * @inherited: latest end that an earlier owner can have granted
 * @seen_seq, @ack_seq: its events taken, and its events committed
 */
typedef struct
{
  char name[64];
  char rack[32];
  char addr[96];
  worker_state_t state;
  unsigned char listed;
  unsigned char leaving;
  unsigned char cordoned;
  unsigned char lease_acked;
  uint64_t boot;
  uint64_t clock;
  gl_ms_t clock_at;
  gl_ms_t granted;
  gl_ms_t inherited;
  uint64_t seen_seq;
  uint64_t ack_seq;
  gl_res_t total;
  tref_t *tasks;
  int ntasks;
  int captasks;
  int ncmd;
  unsigned char dirty;
  gl_taskref_t *strays;
  int nstrays;
  call_t hold;
  call_t cmd;
  gl_ms_t retry_at;
  uint32_t backoff;
  uint32_t fail_jobs;
  uint64_t fail_job;
  gl_ms_t probation_until;
  uint32_t probations;
} worker_t;

typedef enum
{
  ROLE_STANDBY = 0,
  ROLE_CLAIMING,
  ROLE_LOADING,
  ROLE_TAKING,
  ROLE_ACTIVE,
  ROLE_STOPPED
} role_t;

typedef enum
{
  GATE_TOKEN = 0,
  GATE_START,
  GATE_ACK
} gate_kind_t;

/**
 * struct gate_t - what a commit lets happen
 * @after: number of pending records that must be written first
 */
typedef struct
{
  gate_kind_t kind;
  uint64_t token;
  uint64_t job;
  gl_ms_t since;
  tref_t task;
  uint32_t attempt;
  int worker;
  uint64_t seq;
  size_t after;
} gate_t;

typedef struct
{
  gate_t *v;
  size_t n;
  size_t cap;
} gates_t;

typedef struct
{
  gl_rec_t *v;
  size_t n;
  size_t cap;
} recs_t;

/* Store operations; a tag is (generation << 8) | operation. */
typedef enum
{
  OP_OWNER_GET = 1,
  OP_OWNER_CAS,
  OP_BASE_GET,
  OP_BASE_CAS,
  OP_CHUNK_GET,
  OP_CHUNK_CAS,
  OP_LOG_GET,
  OP_LOG_CAS
} store_op_t;

/**
 * struct lease_t - the owner lease as this process knows it
 * @index: index of the record last seen
 * @rec_epoch, @rec_renewals, @rec_released: its content
 * @first_seen: when this content was first seen here
 * @write_sent: when this process last sent a write of the record
 * @nonce: renewal number in that write; begins at a random number, so that
 *   a restarted process never takes an older one's write for its own
 * @end: until when this process owns the domain
 * @op_out: an operation is out; each ends with exactly one event
 * @unsure: the answer to the last write was lost or disputed
 * @heir: bounds of earlier owners need not be waited for
 */
typedef struct
{
  uint64_t index;
  uint64_t rec_epoch;
  uint64_t rec_renewals;
  int rec_released;
  int known;
  gl_ms_t first_seen;
  gl_ms_t write_sent;
  uint64_t nonce;
  gl_ms_t end;
  int op_out;
  int releasing;
  int unsure;
  int heir;
} lease_t;

/**
 * struct log_t - the journal
 * @seq: last committed commit
 * @base_seq: last commit covered by the snapshot in force
 * @base_fenced: the base record carries our epoch, so no former owner can
 *   switch it any more
 * @index: index of each ring slot's record, 0 when not known
 * @data: the commit in flight
 */
typedef struct
{
  uint64_t seq;
  uint64_t base_seq;
  uint64_t base_index;
  uint32_t base_slot;
  uint32_t base_chunks;
  uint32_t base_bytes;
  int base_fenced;
  uint64_t index[RING_SLOTS];
  unsigned char absent[RING_SLOTS];
  recs_t pending;
  gates_t gates;
  char *data;
  size_t len;
  gates_t flying;
  int op_out;
  gl_ms_t last_cut;
  gl_ms_t since;
  uint64_t bytes_since_snap;
} log_t;

/** struct snap_t - a snapshot on its way into the store, or out of it */
typedef struct
{
  int busy;
  int loading;
  int op_out;
  char *data;
  size_t len;
  uint64_t seq;
  uint32_t slot;
  uint32_t chunk;
  uint32_t chunks;
  uint64_t index;
  int index_known;
  size_t last_len;
} snap_t;

/**
 * struct shape_t - a need that jobs ask for
 * @failed: highest level at which it found no worker, -1 for none
 * @gains: how often a worker has gained so much that the need fits it once
 *   more than before
 * @gang_tasks: smallest gang that found no room, since @gang_gains and at
 *   @gang_level; 0 for none
 */
typedef struct
{
  gl_res_t need;
  int failed;
  uint64_t gains;
  uint32_t gang_tasks;
  uint64_t gang_gains;
  int gang_level;
} shape_t;

/** struct ranked_t - a team in the order of its dominant share */
typedef struct
{
  uint32_t share;
  int team;
} ranked_t;

/** struct reservation_t - workers kept for one job that did not fit */
typedef struct
{
  handle_t job;
  gl_ms_t shadow;
  gl_ms_t made;
} reservation_t;

#define COUNTERS(X)                                                           \
  X (accepted, "jobs accepted and written")                                   \
  X (refused, "submissions refused for good")                                 \
  X (told_retry, "operators' requests answered with a time to come back")     \
  X (placed, "tasks placed")                                                  \
  X (started, "task starts confirmed by workers")                             \
  X (ended_ok, "attempts ended well")                                         \
  X (ended_failed, "attempts that failed")                                    \
  X (ended_stopped, "attempts stopped")                                       \
  X (ended_lost, "attempts lost with their worker")                           \
  X (preempted, "attempts stopped for urgent work")                           \
  X (strays, "unknown attempts found on workers and stopped")                 \
  X (probations, "workers put on probation")                                  \
  X (reservations, "reservations made")                                       \
  X (commits, "commits written")                                              \
  X (commit_bytes, "bytes of commits")                                        \
  X (snapshots, "snapshots written")                                          \
  X (snapshot_bytes, "bytes of snapshots")                                    \
  X (store_calls, "calls to the key-value service")                           \
  X (store_unsure, "calls to it whose answer was lost")                       \
  X (worker_calls, "calls to workers")                                        \
  X (worker_bytes, "bytes of calls to workers")                               \
  X (worker_failed, "calls to workers that failed")                           \
  X (takeovers, "times this process took the domain over")                    \
  X (deposed, "times this process lost the domain")                           \
  X (passes, "placement passes")

typedef struct
{
#define X(name, help) uint64_t name;
  COUNTERS (X)
#undef X
} counters_t;

struct gl_sched
{
  char node[GL_NAME_LEN + 1];
  char domain[32];
  char rpc[GL_NAME_LEN + 1];
  gl_sched_opts_t opts;
  gsl_rng *rng;
  timer_service_t timers;
  int t_lease;
  int t_commit;
  int t_workers;
  int t_pass;
  int t_age;
  gl_ms_t now;
  gl_effects_t *fx;

  role_t role;
  uint64_t epoch;
  uint32_t generation;
  int stopping;
  gl_ms_t stop_by;
  gl_ms_t took_over;
  lease_t lease;
  log_t log;
  snap_t snap;

  pool_t jobs;
  ck_ht_t by_id;
  handle_t done[DONE_KEPT];
  uint32_t ndone;
  team_t *teams;
  int nteams;
  gl_conf_t conf;
  worker_t *workers;
  int nworkers;
  int capworkers;
  char racks[RACKS_MAX][32];
  int nracks;
  place_t place;
  int nsilent;
  uint32_t next_call;
  uint64_t next_order;
  unsigned char pass_more;
  reservation_t resv;

  shape_t shapes[SHAPES_MAX];
  int nshapes;
  int naged;
  int tentative;
  uint64_t fit_version;
  ranked_t *ranked;
  int nranked;
  int *dirty;
  int ndirty;
  gl_ms_t sweep_at;
  counters_t c;
  hist_t wait_class[CLASSES];
  hist_t commit_time;
  hist_t takeover_time;
};

/* fx.c */

/** fx_add - a zeroed effect of @kind, or NULL when out of memory */
gl_effect_t *fx_add (gl_effects_t *fx, gl_fx_kind_t kind);
/** sched_log - one line about a change of state */
void sched_log (gl_sched_t *s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/** sched_answer - the final answer to an operator's request */
void sched_answer (gl_sched_t *s, uint64_t token, gl_code_t code, uint64_t job,
                   gl_ms_t retry, const char *reason);
/** store_get, store_cas - call the key-value service; cas takes over @data */
void store_get (gl_sched_t *s, store_op_t op, const char *key);
void store_cas (gl_sched_t *s, store_op_t op, const char *key, uint64_t index,
                char *data, size_t len);
/** drift - margin for clock drift over @span, beside MARGIN_MS */
gl_ms_t drift (const gl_sched_t *s, gl_ms_t span);
/** jitter - a random span up to @span */
gl_ms_t jitter (gl_sched_t *s, gl_ms_t span);

/* lease.c */

/** lease_poll - timer: look at the record, claim or renew it */
void lease_poll (void *ctx, gl_ms_t now);
/** lease_stored - an operation on the record has ended */
void lease_stored (gl_sched_t *s, store_op_t op, const gl_event_t *ev);
/** lease_held - 1 while new work may be started */
int lease_held (const gl_sched_t *s);
/** lease_may_renew - 1 while workers' leases may be renewed */
int lease_may_renew (const gl_sched_t *s);
/** lease_release - give the domain up at a planned stop */
void lease_release (gl_sched_t *s);
/** lease_lost - another process owns the domain: forget everything */
void lease_lost (gl_sched_t *s, const char *why);
/** lease_taken - the log is ours: begin to work */
void lease_taken (gl_sched_t *s);

/* journal.c */

/** journal_add - append a record to the next commit; takes over its strings */
void journal_add (gl_sched_t *s, const gl_rec_t *rec);
/** journal_gate - let something happen when the next commit is written */
void journal_gate (gl_sched_t *s, const gate_t *gate);
/** journal_flush - timer: cut and write a commit if one is due */
void journal_flush (void *ctx, gl_ms_t now);
/** journal_stored - an operation on the log has ended */
void journal_stored (gl_sched_t *s, store_op_t op, const gl_event_t *ev);
/** journal_load - read snapshot and log, then write the takeover */
void journal_load (gl_sched_t *s);
/** journal_take_over - all is loaded: write the takeover */
void journal_take_over (gl_sched_t *s);
/** journal_read_on - read the commit that follows the last one loaded */
void journal_read_on (gl_sched_t *s);
/** journal_reset - drop all that is pending; answers tokens as unknown */
void journal_reset (gl_sched_t *s);
/** journal_idle - nothing is pending or in flight */
int journal_idle (const gl_sched_t *s);
/** journal_apply - apply one record while loading */
void journal_apply (gl_sched_t *s, const gl_rec_t *rec);
/** journal_expire - answer requests that waited too long for their commit */
void journal_expire (gl_sched_t *s);
/** journal_full - too much waits to be written to take on more */
int journal_full (const gl_sched_t *s);
/** journal_stuck - the store has kept a commit waiting for too long */
int journal_stuck (const gl_sched_t *s);

/* snap.c */

/**
 * snap_due - begin a snapshot if the log has grown enough
 * @seq: commit whose state memory holds at this moment
 */
void snap_due (gl_sched_t *s, uint64_t seq);
/** snap_push - write the next chunk, or the base record */
void snap_push (gl_sched_t *s);
/** snap_stored - an operation on chunks or the base record has ended */
void snap_stored (gl_sched_t *s, store_op_t op, const gl_event_t *ev);
/** snap_load - begin to read the base record and its chunks */
void snap_load (gl_sched_t *s);
/** snap_resume - go on loading after a pause */
void snap_resume (gl_sched_t *s);
/** snap_reset - drop a snapshot in progress */
void snap_reset (gl_sched_t *s);

/* jobs.c */

/** job_find - handle of the job with @id, 0 when unknown */
handle_t job_find (gl_sched_t *s, uint64_t id);
/** job_new - enter an accepted job, all tasks waiting; 0 out of memory */
handle_t job_new (gl_sched_t *s, uint64_t id, const gl_jobspec_t *spec);
/** job_queue - put a job into its queue, or take it out, as its state says */
void job_queue (gl_sched_t *s, handle_t h);
/** job_cancel - end waiting tasks and stop running ones */
void job_cancel (gl_sched_t *s, handle_t h);
/** job_settle - note that a job is finished, if all its tasks have ended */
void job_settle (gl_sched_t *s, handle_t h);
/** jobs_clear - forget all jobs */
void jobs_clear (gl_sched_t *s);
/** team_index - number of a team, entered when new; -1 out of memory */
int team_index (gl_sched_t *s, const char *name);
/** team_room - whether @need more fits the team's share of its quota */
int team_room (const gl_sched_t *s, const team_t *t, const gl_res_t *need);
/** team_share - dominant share of the team, in millionths */
uint32_t team_share (const gl_sched_t *s, const team_t *t);
/** task_bind - give a task to a worker; @known skips the capacity check */
int task_bind (gl_sched_t *s, tref_t ref, int worker, int known);
/** task_end - an attempt has ended: free resources, decide what follows */
void task_end (gl_sched_t *s, tref_t ref, gl_outcome_t outcome);
/** task_end_logged - task_end with its journal record */
void task_end_logged (gl_sched_t *s, tref_t ref, gl_outcome_t outcome);
/** task_stop - ask the worker to stop the attempt */
void task_stop (gl_sched_t *s, tref_t ref);
/** task_at - the task, or NULL when the reference is stale */
task_t *task_at (gl_sched_t *s, tref_t ref);
/** task_by_ref - find (job, index, attempt) bound to @worker */
task_t *task_by_ref (gl_sched_t *s, const gl_taskref_t *r, int worker,
                     tref_t *out);

/* workers.c */

/** worker_find - number of the worker named @name, -1 when unknown */
int worker_find (const gl_sched_t *s, const char *name);
/** worker_enter - the same, entered when new; -1 out of memory */
int worker_enter (gl_sched_t *s, const char *name);
/** worker_refresh - tell placement whether it may be used */
void worker_refresh (gl_sched_t *s, int i);
/** worker_wake - a start or stop is waiting for it */
void worker_wake (gl_sched_t *s, int i);
/** workers_listed - the platform's list has arrived */
void workers_listed (gl_sched_t *s, const gl_vm_t *vms, size_t n);
/** workers_poll - timer: send due calls, give up expired leases */
void workers_poll (void *ctx, gl_ms_t now);
/** worker_answered - a call has ended */
void worker_answered (gl_sched_t *s, const gl_event_t *ev);
/** workers_reset - forget what earlier epochs knew, and all tasks */
void workers_reset (gl_sched_t *s);
/** workers_settled - no lease of an earlier owner can matter any more */
int workers_settled (const gl_sched_t *s);
/** worker_blame - note a failed attempt against the worker */
void worker_blame (gl_sched_t *s, int i, uint64_t job, int failed);

/* fit.c */

/** fit_shape - number of a need, -1 when there are too many */
int fit_shape (gl_sched_t *s, const gl_res_t *need);
/** fit_fails - whether the job's need is known to find no worker */
int fit_fails (const gl_sched_t *s, const job_t *j, int level);
/** fit_failed - the job's need has found no worker at @level */
void fit_failed (gl_sched_t *s, const job_t *j, int level);
/** fit_gained - @worker has gained @freed, or NULL: has become usable */
void fit_gained (gl_sched_t *s, int worker, const gl_res_t *freed);
/** fit_gang_fails - a gang no larger has failed since anything changed */
int fit_gang_fails (const gl_sched_t *s, const job_t *j, int level);
/** fit_gang_failed - the gang did not fit */
void fit_gang_failed (gl_sched_t *s, const job_t *j, int level);
/** fit_reset - anything may fit again */
void fit_reset (gl_sched_t *s);

/* policy.c */

/** policy_pass - timer: place what can be placed */
void policy_pass (void *ctx, gl_ms_t now);
/** policy_wake - queue or capacity has changed */
void policy_wake (gl_sched_t *s);
/** policy_age - timer: mark jobs that have waited long */
void policy_age (void *ctx, gl_ms_t now);
/** policy_feasible - NULL, or why no worker could ever satisfy the spec */
const char *policy_feasible (gl_sched_t *s, const gl_jobspec_t *spec);
/** policy_reset - drop the reservation */
void policy_reset (gl_sched_t *s);

#endif
