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

#define JOB_CLASSES 4

/* Defaults of the times in gl_sched_opts_t that are 0, milliseconds. */
#define DEFAULT_LEASE_MS 1500
#define DEFAULT_RENEW_MS 400
#define DEFAULT_WORKER_LEASE_MS 60000
#define DEFAULT_LONG_POLL_MS 30000
#define DEFAULT_COMMIT_GAP_MS 50
#define DEFAULT_GRACE_MS 3600000
/* Default bound on the drift of one clock, parts per million. */
#define DEFAULT_DRIFT_PPM 500
/* Part of the margin on every lease that does not depend on its length. */
#define LEASE_MARGIN_MS 50

/* The test build makes these four small, so that short scripts reach the
   limits. */
#ifndef RING_SLOTS
/* Slots of the domain's log ring, one commit each. */
#define RING_SLOTS 1024
/* Slots still free when a snapshot is started at the latest; commits go on
   in them until the snapshot is written. */
#define RING_SPARE 128
/* A snapshot is due after this many bytes of commits, or after twice the
   size of the last snapshot if that is more. */
#define SNAP_LOG_BYTES 65536
/* Bytes per snapshot chunk, well under the service's limit of 1 MB per
   value. */
#define CHUNK_BYTES 400000
#endif
/* Most chunks of a snapshot that is accepted when loading. */
#define CHUNKS_MAX 64

/* Most jobs that a domain holds, finished ones included. */
#define JOBS_MAX 20000
/* Finished jobs that are remembered; the oldest is dropped first. */
#define FINISHED_JOBS_MAX 500
/* Placements in one pass, which bounds the time of one event. */
#define PASS_PLACEMENTS_MAX 256
/* Jobs tried per team and class before the team is passed over. */
#define PASS_JOBS_PER_TEAM 8
/* Distinct shapes (resource vectors) for which failed searches are
   remembered; jobs of further shapes are searched for every time. */
#define SHAPES_MAX 512
/* Distinct racks; the last one stands for all further racks. */
#define RACKS_MAX 128

/* Above this many pending records no requests are accepted and no tasks
   are placed. */
#define PENDING_RECORDS_MAX 4096
/* Records in one commit.  The assignments of one gang are never split, so
   a commit may exceed it by those, within GL_COMMIT_RECORDS_MAX. */
#define COMMIT_RECORDS_MAX 4000

/* Retry delays given to operators, milliseconds: this process does not own
   the domain or is overloaded; the store does not answer; the job table or
   memory is full. */
#define RETRY_NOT_OWNER_MS 2000
#define RETRY_STORE_MS 5000
#define RETRY_FULL_MS 30000
/* How long an operator's request may wait for its commit. */
#define COMMIT_WAIT_MAX_MS 2000

/**
 * enum task_state_t - state of a task
 * @TASK_WAITING: not bound to a worker; queued for placement
 * @TASK_ASSIGNED: bound to a worker; the assignment is not committed yet
 * @TASK_STARTING: assignment committed; the worker has not confirmed it
 * @TASK_RUNNING: the worker has confirmed the start
 * @TASK_STOPPING: the worker is asked to stop the attempt
 * @TASK_ENDED: ended for good
 */
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
 * @state: a task_state_t
 * @outcome: gl_outcome_t of the last attempt that ended
 * @confirmed: the worker has listed the attempt as running or ended
 * @inherited: assigned by an earlier owner, so its waiting time is not
 *   recorded here
 * @attempt: number of the current or last attempt, 0 before the first
 * @worker: index of the worker that it is bound to, -1 for none
 * @pos: index in that worker's list of tasks
 * @boot: boot of the worker that the attempt was assigned to
 * @since: when it was assigned, its start was confirmed or it ended,
 *   whichever came last
 * @used_cpus_m, @used_memory_mb: use as last reported by the worker
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
 * @id: job number chosen by the submitter's side, unique
 * @team: index into gl_sched.teams
 * @cls: a gl_class_t
 * @need: resources of one task
 * @runtime_s: declared run time of a task, 0 for unbounded
 * @waiting: tasks that are not bound to a worker and have not ended
 * @live: tasks that are bound to a worker and hold its resources
 * @ended: tasks that will not run again
 * @failed: ended tasks whose outcome is not GL_OUT_OK
 * @consecutive_failures: failures since the last success; tasks that fail
 *   during one backoff pause count once
 * @preemptions: attempts stopped to make room for urgent jobs
 * @first_waiting: no task with a lower index is waiting
 * @gang_failed: a task of the gang has failed for good, so the rest are
 *   stopped
 * @queued: linked into the queue of its team and class
 * @aged: has waited longer than the configured ageing time
 * @finished: all tasks have ended
 * @submitted: when this process entered it: on acceptance or on loading
 * @not_before: no placement before this, after failed attempts
 * @preempt_after: no further preemption for it before this
 * @preempt_worker: worker reserved for it while tasks preempted there
 *   stop, -1 for none
 * @shape: index into gl_sched.shapes, -1 when the table is full
 * @accept_order: position in the order of acceptance
 * @reason: why it waits or how it ended, for operators; static text
 * @prev, @next: neighbours in the queue, 0 for none
 * @rack_count: bound tasks per rack, RACKS_MAX entries
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
  uint32_t consecutive_failures;
  uint32_t preemptions;
  uint32_t first_waiting;
  unsigned char canceled;
  unsigned char gang_failed;
  unsigned char queued;
  unsigned char aged;
  unsigned char finished;
  gl_ms_t submitted;
  gl_ms_t not_before;
  gl_ms_t preempt_after;
  int preempt_worker;
  int shape;
  uint64_t accept_order;
  const char *reason;
  handle_t prev;
  handle_t next;
  task_t *tasks;
  uint16_t *rack_count;
} job_t;

/**
 * struct team_t - one team: its quota, what it uses, and its queues
 * @configured: named in the configuration in force
 * @quota: quota over all domains together
 * @used: resources held by its tasks in this domain
 * @head, @tail: queue of each class in order of acceptance, 0 when empty
 * @queued: jobs in each queue
 * @blocked_version: fit_version under which no job of the queue could be
 *   placed, 0 for none
 * @wait: milliseconds from submission to the first confirmed start
 */
typedef struct
{
  char name[64];
  int configured;
  gl_res_t quota;
  gl_res_t used;
  handle_t head[JOB_CLASSES];
  handle_t tail[JOB_CLASSES];
  uint32_t queued[JOB_CLASSES];
  uint64_t blocked_version[JOB_CLASSES];
  hist_t wait;
} team_t;

/**
 * enum worker_state_t - contact with a worker
 * @WORKER_NEW: no handshake in this epoch, or the worker has restarted
 * @WORKER_READY: handshake done; takes starts and stops
 * @WORKER_SILENT: a call has failed since; needs a new handshake
 */
typedef enum
{
  WORKER_NEW = 0,
  WORKER_READY,
  WORKER_SILENT
} worker_state_t;

/** struct task_handle_t - a task: handle of its job and index in the job */
typedef struct
{
  handle_t job;
  uint32_t index;
} task_handle_t;

/**
 * struct worker_call_t - one outstanding call to a worker
 * @id: number of the call, 0 when none is outstanding
 * @sent: when it was handed to the caller as an effect
 * @has_lease: it carries a lease
 */
typedef struct
{
  uint32_t id;
  gl_ms_t sent;
  int has_lease;
} worker_call_t;

/**
 * struct worker_t - one worker
 * @addr: URL prefix under which it is reached, "" when not known
 * @listed: in the platform's list
 * @leaving: the platform is about to take it away
 * @cordoned: closed to new tasks by an operator
 * @lease_acked: it has answered a call that carried a lease of this epoch
 * @boot: identifies the run of the worker's process in the last handshake
 * @clock, @clock_at: its clock in its last answer, and when that arrived
 * @lease_end: latest end of any lease granted in this epoch, on our clock
 * @prior_lease_end: latest end of any lease that an earlier owner can have
 *   granted, on our clock
 * @seen_seq, @ack_seq: last of its events that was received, and last whose
 *   record is committed
 * @total: its capacity as last reported
 * @tasks: tasks bound to it, @ntasks of them, room for @captasks
 * @command_state: a CMD_ value of workers.c: whether starts or stops are to
 *   be sent
 * @dirty: listed in gl_sched.dirty
 * @orphans: attempts that it runs but the tables do not assign to it,
 *   @norphans of them; the next command stops them
 * @long_poll: outstanding call that the worker holds open until an attempt
 *   changes, and that renews its lease
 * @command: outstanding handshake, or call with starts and stops
 * @retry_at: no handshake or command before this
 * @backoff: delay before the next handshake, milliseconds
 * @failed_jobs: failed attempts of different jobs since the last success
 * @last_failed_job: id of the job that failed last
 * @probation_until: gets no new tasks before this, 0 for none
 * @probations: times on probation since its last successful attempt
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
  gl_ms_t lease_end;
  gl_ms_t prior_lease_end;
  uint64_t seen_seq;
  uint64_t ack_seq;
  gl_res_t total;
  task_handle_t *tasks;
  int ntasks;
  int captasks;
  int command_state;
  unsigned char dirty;
  gl_taskref_t *orphans;
  int norphans;
  worker_call_t long_poll;
  worker_call_t command;
  gl_ms_t retry_at;
  uint32_t backoff;
  uint32_t failed_jobs;
  uint64_t last_failed_job;
  gl_ms_t probation_until;
  uint32_t probations;
} worker_t;

/**
 * enum role_t - this process's part in the domain
 * @ROLE_STANDBY: watches the owner record
 * @ROLE_CLAIMING: has sent a claim of the owner record
 * @ROLE_LOADING: holds the record; reads the snapshot and the log
 * @ROLE_TAKEOVER: writes the takeover commit
 * @ROLE_ACTIVE: owns the domain
 * @ROLE_STOPPED: a requested stop is complete
 */
typedef enum
{
  ROLE_STANDBY = 0,
  ROLE_CLAIMING,
  ROLE_LOADING,
  ROLE_TAKEOVER,
  ROLE_ACTIVE,
  ROLE_STOPPED
} role_t;

/**
 * enum deferred_kind_t - kinds of deferred actions
 * @DEFER_ANSWER: answer an operator's request with success
 * @DEFER_START: send the start of an assigned task
 * @DEFER_ACK: acknowledge a worker's events, so that it may forget them
 */
typedef enum
{
  DEFER_ANSWER = 0,
  DEFER_START,
  DEFER_ACK
} deferred_kind_t;

/**
 * struct deferred_t - an action that waits for a commit
 * @token: request to answer; 0 once it has been answered
 * @job_or_boot: DEFER_ANSWER: job id for the answer; DEFER_ACK: boot of the
 *   worker
 * @since: when the action was deferred
 * @task, @attempt: DEFER_START: what to start
 * @worker, @seq: DEFER_ACK: whose events to acknowledge, and up to which
 * @records_needed: number of pending records, from the oldest, that must be
 *   committed first
 */
typedef struct
{
  deferred_kind_t kind;
  uint64_t token;
  uint64_t job_or_boot;
  gl_ms_t since;
  task_handle_t task;
  uint32_t attempt;
  int worker;
  uint64_t seq;
  size_t records_needed;
} deferred_t;

/** struct deferred_list_t - growable array of deferred actions */
typedef struct
{
  deferred_t *v;
  size_t n;
  size_t cap;
} deferred_list_t;

/** struct rec_list_t - growable array of journal records */
typedef struct
{
  gl_rec_t *v;
  size_t n;
  size_t cap;
} rec_list_t;

/**
 * enum store_op_t - operations on the key-value service
 *
 * The tag of an operation is (generation << 8) | store_op_t.
 */
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
 * struct owner_lease_t - the owner lease as this process knows it
 * @index: store index of the record last read or written, 0 when absent
 * @rec_epoch, @rec_renewals, @rec_released: content of that record
 * @known: the record has been read
 * @first_seen: when this content was first seen here
 * @write_sent: when this process last sent a write of the record
 * @nonce: renewal number in that write; begins at a random number, so that
 *   a restarted process does not mistake a write of the previous one for
 *   its own
 * @end: until when this process owns the domain
 * @op_pending: an operation on the record is outstanding; each ends with
 *   exactly one event
 * @releasing: a RELEASE_ value of lease.c, 0 if no release is requested
 * @write_unknown: the answer to the last write was lost, or the write
 *   conflicted, so the record must be read
 * @clean_handover: the last owner released the domain, or there was none,
 *   and no worker lease older than its own is in force, so that the grace
 *   time need not be waited out
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
  int op_pending;
  int releasing;
  int write_unknown;
  int clean_handover;
} owner_lease_t;

/**
 * struct journal_t - the journal
 * @seq: number of the last commit that is written or loaded
 * @base_seq: last commit covered by the snapshot in force
 * @base_index: store index of the base record, 0 when absent
 * @base_set, @base_chunks, @base_bytes: set of chunk keys (0 or 1), number
 *   of chunks and size of the snapshot in force
 * @base_fenced: the base record carries our epoch, so no former owner can
 *   change it any more
 * @slot_index: store index of each ring slot's record, 0 when not known
 * @slot_absent: the ring slot's key is known not to exist
 * @pending: records for the next commits
 * @deferred: actions that wait for pending records
 * @inflight, @inflight_len: the encoded commit being written, or NULL
 * @inflight_deferred: actions that wait for the commit in flight
 * @op_pending: an operation on the log is outstanding
 * @commit_started: when the last commit was encoded
 * @inflight_since: when the commit in flight was encoded
 * @bytes_since_snap: bytes of commits since the last snapshot was started
 */
typedef struct
{
  uint64_t seq;
  uint64_t base_seq;
  uint64_t base_index;
  uint32_t base_set;
  uint32_t base_chunks;
  uint32_t base_bytes;
  int base_fenced;
  uint64_t slot_index[RING_SLOTS];
  unsigned char slot_absent[RING_SLOTS];
  rec_list_t pending;
  deferred_list_t deferred;
  char *inflight;
  size_t inflight_len;
  deferred_list_t inflight_deferred;
  int op_pending;
  gl_ms_t commit_started;
  gl_ms_t inflight_since;
  uint64_t bytes_since_snap;
} journal_t;

/**
 * struct snap_t - a snapshot that is being written or loaded
 * @writing, @loading: which of the two, if any
 * @op_pending: an operation on a chunk or the base record is outstanding
 * @data, @len: the encoded snapshot; while loading, the part read so far
 * @seq: last commit that the snapshot covers
 * @chunk_set: set of chunk keys that it is written to, 0 or 1
 * @chunk, @chunks: next chunk, and number of chunks
 * @index, @index_known: not used
 * @last_len: size of the last snapshot written or loaded
 */
typedef struct
{
  int writing;
  int loading;
  int op_pending;
  char *data;
  size_t len;
  uint64_t seq;
  uint32_t chunk_set;
  uint32_t chunk;
  uint32_t chunks;
  uint64_t index;
  int index_known;
  size_t last_len;
} snap_t;

/**
 * struct shape_t - a resource vector that tasks ask for
 * @failed_level: highest reservation level (see policy.c) at which a search
 *   found no worker, -1 for none
 * @gains: how often a worker has gained enough room to fit one task of this
 *   shape more than before
 * @gang_tasks: size of the smallest gang that found no room, since
 *   @gang_gains and at @gang_level; 0 for none
 */
typedef struct
{
  gl_res_t need;
  int failed_level;
  uint64_t gains;
  uint32_t gang_tasks;
  uint64_t gang_gains;
  int gang_level;
} shape_t;

/** struct team_rank_t - a team with its dominant share, in millionths */
typedef struct
{
  uint32_t share;
  int team;
} team_rank_t;

/**
 * struct reservation_t - workers reserved for one job that did not fit
 * @job: the job, 0 for no reservation
 * @shadow_time: when the job is expected to start
 * @made_at: when the reservation was made
 */
typedef struct
{
  handle_t job;
  gl_ms_t shadow_time;
  gl_ms_t made_at;
} reservation_t;

/* Counters: the C name is also the metric name, after "gl_sched_". */
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

/**
 * struct gl_sched - the scheduler of one domain
 * @node, @domain, @rpc, @opts: options it was created with, defaults filled
 * @t_lease, @t_commit, @t_workers, @t_pass, @t_age: timers
 * @now: time of the current event
 * @fx: effects of the current event
 * @epoch: epoch of the current or last ownership
 * @generation: results of store operations that carry an older one in
 *   their tags are ignored
 * @stopping: a planned stop is in progress
 * @stop_deadline: when a requested stop gives up waiting for commits
 * @takeover_start: when the owner record was claimed successfully
 * @job_by_id: job id to handle
 * @finished_jobs: handles of finished jobs, a ring
 * @nfinished: jobs finished since the tables were last cleared
 * @racks: rack names, @nracks of them
 * @place: index of the workers by free resources; the workers have the same
 *   numbers there
 * @last_call: number of the last call to a worker
 * @last_accept_order: accept_order of the last job entered
 * @nsilent, @pass_more: not used
 * @reservation: the one reservation
 * @naged: jobs in the queues that are marked as aged
 * @tentative: a gang is being placed on trial; failed searches prove
 *   nothing about the room that is really free
 * @fit_version: rises whenever a shape that did not fit may fit again
 * @ranked: heap of the teams to serve next, smallest dominant share on top
 * @dirty: workers that the next run of workers_poll serves, @ndirty of them
 * @next_sweep: when workers_poll serves all workers next
 * @wait_class: waiting times by job class, as team_t.wait
 * @commit_time: milliseconds from encoding a commit to its confirmation
 * @takeover_time: milliseconds from a successful claim to ROLE_ACTIVE
 */
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
  gl_ms_t stop_deadline;
  gl_ms_t takeover_start;
  owner_lease_t lease;
  journal_t journal;
  snap_t snap;

  pool_t jobs;
  ck_ht_t job_by_id;
  handle_t finished_jobs[FINISHED_JOBS_MAX];
  uint32_t nfinished;
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
  uint32_t last_call;
  uint64_t last_accept_order;
  unsigned char pass_more;
  reservation_t reservation;

  shape_t shapes[SHAPES_MAX];
  int nshapes;
  int naged;
  int tentative;
  uint64_t fit_version;
  team_rank_t *ranked;
  int nranked;
  int *dirty;
  int ndirty;
  gl_ms_t next_sweep;
  counters_t counters;
  hist_t wait_class[JOB_CLASSES];
  hist_t commit_time;
  hist_t takeover_time;
};

/* fx.c */

/** fx_add - append a zeroed effect of @kind; NULL when out of memory */
gl_effect_t *fx_add (gl_effects_t *fx, gl_fx_kind_t kind);
/** sched_log - log one line about a change of state */
void sched_log (gl_sched_t *s, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/**
 * sched_answer - send the final answer to an operator's request
 * @token: the request; nothing is sent for 0
 * @retry_after: milliseconds until the operator should retry, 0 for no
 *   advice
 * @reason: static text for people, or NULL
 */
void sched_answer (gl_sched_t *s, uint64_t token, gl_code_t code, uint64_t job,
                   gl_ms_t retry_after, const char *reason);
/** store_get - read @key, relative to the domain's prefix */
void store_get (gl_sched_t *s, store_op_t op, const char *key);
/**
 * store_cas - write @key if its index is still @index, 0 if it is absent
 * @data: malloc'd value; store_cas takes ownership of it
 */
void store_cas (gl_sched_t *s, store_op_t op, const char *key, uint64_t index,
                char *data, size_t len);
/**
 * drift_margin - how far two clocks may differ after @span, milliseconds;
 * includes LEASE_MARGIN_MS
 */
gl_ms_t drift_margin (const gl_sched_t *s, gl_ms_t span);
/** jitter - a random span below @span, 0 for 0 */
gl_ms_t jitter (gl_sched_t *s, gl_ms_t span);

/* lease.c */

/** lease_poll - timer: read the owner record, to claim it if it is free, or
    renew or release it */
void lease_poll (void *ctx, gl_ms_t now);
/** lease_store_done - take the result of an operation on the owner record */
void lease_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev);
/** lease_held - 1 while new work may be started */
int lease_held (const gl_sched_t *s);
/** lease_may_renew_workers - 1 while workers' leases may be renewed */
int lease_may_renew_workers (const gl_sched_t *s);
/** lease_release - release the owner record at a planned stop */
void lease_release (gl_sched_t *s);
/**
 * lease_lost - another process owns the domain: drop all state of this
 * epoch and return to standby
 * @why: the cause, for the log
 */
void lease_lost (gl_sched_t *s, const char *why);
/** lease_takeover_done - the takeover is committed: become active */
void lease_takeover_done (gl_sched_t *s);

/* journal.c */

/**
 * journal_append - append a record to the next commit
 * @rec: its strings are malloc'd; the journal takes ownership of them
 */
void journal_append (gl_sched_t *s, const gl_rec_t *rec);
/**
 * journal_defer - run an action once all records appended so far are
 * committed; at once when none are outstanding
 */
void journal_defer (gl_sched_t *s, const deferred_t *action);
/** journal_flush - timer: write a commit if one is due */
void journal_flush (void *ctx, gl_ms_t now);
/** journal_store_done - take the result of an operation on the log */
void journal_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev);
/** journal_load - drop all tables and read the snapshot, then the log */
void journal_load (gl_sched_t *s);
/** journal_take_over - all is loaded: write the takeover commit */
void journal_take_over (gl_sched_t *s);
/** journal_read_next - read the commit after the last one loaded */
void journal_read_next (gl_sched_t *s);
/** journal_reset - drop all that is pending; answers GL_UNKNOWN to requests
    that wait for a commit */
void journal_reset (gl_sched_t *s);
/** journal_idle - 1 when nothing is pending or in flight */
int journal_idle (const gl_sched_t *s);
/** journal_apply - apply one record while loading */
void journal_apply (gl_sched_t *s, const gl_rec_t *rec);
/** journal_expire_answers - answer GL_UNKNOWN to requests that have waited
    COMMIT_WAIT_MAX_MS for their commit */
void journal_expire_answers (gl_sched_t *s);
/** journal_full - 1 when too many records are pending to take more work */
int journal_full (const gl_sched_t *s);
/** journal_stalled - 1 when the commit in flight has taken more than half of
    COMMIT_WAIT_MAX_MS */
int journal_stalled (const gl_sched_t *s);

/* snap.c */

/**
 * snap_start_if_due - start a snapshot if the log has grown enough
 * @seq: commit whose state memory holds at this moment
 */
void snap_start_if_due (gl_sched_t *s, uint64_t seq);
/** snap_write_next - write the next chunk, or the base record */
void snap_write_next (gl_sched_t *s);
/** snap_store_done - take the result of an operation on a chunk or the base
    record */
void snap_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev);
/** snap_load - start to read the base record and its chunks */
void snap_load (gl_sched_t *s);
/** snap_resume - continue loading after a pause or a failed operation */
void snap_resume (gl_sched_t *s);
/** snap_reset - drop the snapshot in progress */
void snap_reset (gl_sched_t *s);

/* jobs.c */

/** job_find - handle of the job with @id, 0 when unknown */
handle_t job_find (gl_sched_t *s, uint64_t id);
/** job_new - enter an accepted job, all tasks waiting; 0 out of memory */
handle_t job_new (gl_sched_t *s, uint64_t id, const gl_jobspec_t *spec);
/** job_update_queue - link the job into its queue if it has waiting tasks,
    unlink it if not */
void job_update_queue (gl_sched_t *s, handle_t h);
/** job_cancel - end waiting tasks and stop running ones */
void job_cancel (gl_sched_t *s, handle_t h);
/** job_check_finished - mark the job as finished if all tasks have ended */
void job_check_finished (gl_sched_t *s, handle_t h);
void jobs_clear (gl_sched_t *s);
/** team_index - index of a team, added when new; -1 out of memory */
int team_index (gl_sched_t *s, const char *name);
/** team_within_quota - 1 if @need more fits this domain's share of the
    team's quota */
int team_within_quota (const gl_sched_t *s, const team_t *t,
                       const gl_res_t *need);
/** team_dominant_share - the team's largest share of any resource of the
    domain, in millionths */
uint32_t team_dominant_share (const gl_sched_t *s, const team_t *t);
/**
 * task_bind - bind a waiting task to a worker as a new attempt
 * @recorded: the binding is read from the journal or a snapshot, so the
 *   worker's capacity is not checked
 *
 * Returns 0, or -1 if it does not fit or memory is out.
 */
int task_bind (gl_sched_t *s, task_handle_t ref, int worker, int recorded);
/** task_end - an attempt has ended: free its resources and either queue the
    task again or end it for good */
void task_end (gl_sched_t *s, task_handle_t ref, gl_outcome_t outcome);
/** task_end_recorded - task_end with its journal record */
void task_end_recorded (gl_sched_t *s, task_handle_t ref,
                        gl_outcome_t outcome);
/** task_stop - ask the worker to stop the attempt; no effect on a task that
    is not bound or is already stopping */
void task_stop (gl_sched_t *s, task_handle_t ref);
/** task_get - the task, or NULL when the handle is stale */
task_t *task_get (gl_sched_t *s, task_handle_t ref);
/** task_find_attempt - the task whose current attempt is @r on @worker, or
    NULL; sets *@out to its handle */
task_t *task_find_attempt (gl_sched_t *s, const gl_taskref_t *r, int worker,
                           task_handle_t *out);

/* workers.c */

/** worker_find - index of the worker named @name, -1 when unknown */
int worker_find (const gl_sched_t *s, const char *name);
/** worker_add - the same, but added when new; -1 out of memory */
int worker_add (gl_sched_t *s, const char *name);
/** worker_update_usable - recompute whether worker @i may get new tasks and
    pass its capacity to the placement index */
void worker_update_usable (gl_sched_t *s, int i);
/** worker_wake - a start or stop is to be sent to worker @i */
void worker_wake (gl_sched_t *s, int i);
/** workers_take_list - take the platform's list of VMs */
void workers_take_list (gl_sched_t *s, const gl_vm_t *vms, size_t n);
/** workers_poll - timer: send due calls, end tasks whose leases expired */
void workers_poll (void *ctx, gl_ms_t now);
/** worker_call_done - take the result of a call to a worker */
void worker_call_done (gl_sched_t *s, const gl_event_t *ev);
/** workers_reset - drop what earlier epochs knew, and all tasks */
void workers_reset (gl_sched_t *s);
/** workers_leases_settled - 1 when no task may still run under a lease of an
    earlier owner */
int workers_leases_settled (const gl_sched_t *s);
/** worker_note_outcome - count a failed attempt of @job against worker @i,
    or a successful one (@failed is 0) in its favour */
void worker_note_outcome (gl_sched_t *s, int i, uint64_t job, int failed);

/* fit.c */

/** fit_shape_index - index of the shape of @need, added when new; -1 when
    there are too many */
int fit_shape_index (gl_sched_t *s, const gl_res_t *need);
/** fit_known_failed - 1 if the job's shape is known to find no worker at
    reservation level @level */
int fit_known_failed (const gl_sched_t *s, const job_t *j, int level);
/** fit_mark_failed - the job's shape has found no worker at @level */
void fit_mark_failed (gl_sched_t *s, const job_t *j, int level);
/** fit_capacity_gained - @worker has had @freed returned, or has become
    usable if @freed is NULL */
void fit_capacity_gained (gl_sched_t *s, int worker, const gl_res_t *freed);
/** fit_gang_known_failed - 1 if a gang no larger has failed at @level or
    above since any worker gained room for its shape */
int fit_gang_known_failed (const gl_sched_t *s, const job_t *j, int level);
/** fit_gang_mark_failed - the gang did not fit at @level */
void fit_gang_mark_failed (gl_sched_t *s, const job_t *j, int level);
/** fit_reset - forget all failures: any shape may fit again */
void fit_reset (gl_sched_t *s);

/* policy.c */

/** policy_pass - timer: place what can be placed */
void policy_pass (void *ctx, gl_ms_t now);
/** policy_schedule_pass - queue or capacity has changed: run a pass now */
void policy_schedule_pass (gl_sched_t *s);
/** policy_age - timer: mark jobs that have waited longer than the ageing
    time */
void policy_age (void *ctx, gl_ms_t now);
/** policy_infeasible_reason - why no worker could ever satisfy the spec;
    NULL if one could */
const char *policy_infeasible_reason (gl_sched_t *s, const gl_jobspec_t *spec);
/** policy_drop_reservation - drop the reservation and all reserved workers */
void policy_drop_reservation (gl_sched_t *s);

#endif
