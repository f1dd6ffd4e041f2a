/*
 * Records kept in the platform's key-value service and messages exchanged
 * with workers.  Encoded as XDR (RFC 4506).  Units: CPUs in thousandths,
 * memory in MiB, times in milliseconds, or in seconds if the name ends in _s.
 * Flags are 0 or 1.
 */
const GL_NAME_LEN = 63;
const GL_TASKS_MAX = 4096;
const GL_COMMIT_RECORDS_MAX = 8192;

typedef string gl_name_t<GL_NAME_LEN>;

/* A resource vector; accelerators are whole devices. */
struct gl_res_t {
  int cpus_m;
  int memory_mb;
  int accels;
};

enum gl_class_t {
  GL_CLASS_URGENT = 0,
  GL_CLASS_SERVICE = 1,
  GL_CLASS_GANG = 2,
  GL_CLASS_BATCH = 3
};

/*
 * A job as submitted.  tasks is the number of tasks, need the resources of
 * one task; runtime_s of 0 means unbounded.  An attempt that does not succeed
 * is repeated until max_attempts were made; service tasks always run again.
 */
struct gl_jobspec_t {
  gl_name_t name;
  gl_name_t team;
  gl_class_t cls;
  unsigned int tasks;
  gl_res_t need;
  unsigned int runtime_s;
  unsigned int max_attempts;
};

/*
 * How an attempt ended: on its own with success or failure; stopped on
 * request; lost with its worker; stopped by the worker because its lease
 * expired; or refused by the worker before it ran.
 */
enum gl_outcome_t {
  GL_OUT_OK = 0,
  GL_OUT_FAILED = 1,
  GL_OUT_STOPPED = 2,
  GL_OUT_LOST = 3,
  GL_OUT_EXPIRED = 4,
  GL_OUT_NOT_RUN = 5
};

/*
 * Identifies one attempt of one task: index counts the job's tasks from 0,
 * attempt counts the task's attempts from 1.
 */
struct gl_taskref_t {
  unsigned hyper job;
  unsigned int index;
  unsigned int attempt;
};

/* ---- journal ---- */

enum gl_rec_kind_t {
  GL_REC_TAKEOVER = 1,
  GL_REC_ACCEPT = 2,
  GL_REC_ASSIGN = 3,
  GL_REC_END = 4,
  GL_REC_CANCEL = 5,
  GL_REC_CORDON = 6
};

/* First commit of each epoch; node is the new owner. */
struct gl_rec_takeover_t {
  gl_name_t node;
};
/* A job is accepted. */
struct gl_rec_accept_t {
  unsigned hyper job;
  gl_jobspec_t spec;
};
/* An attempt is assigned to a worker, under that boot of the worker only. */
struct gl_rec_assign_t {
  gl_taskref_t task;
  gl_name_t worker;
  unsigned hyper boot;
};
/* An attempt has ended. */
struct gl_rec_end_t {
  gl_taskref_t task;
  gl_outcome_t outcome;
};
/* An operator cancels a job. */
struct gl_rec_cancel_t {
  unsigned hyper job;
};
/* An operator closes a worker to new tasks (on is 1) or opens it again. */
struct gl_rec_cordon_t {
  gl_name_t worker;
  int on;
};

union gl_rec_t switch (gl_rec_kind_t kind) {
case GL_REC_TAKEOVER:
  gl_rec_takeover_t takeover;
case GL_REC_ACCEPT:
  gl_rec_accept_t accept;
case GL_REC_ASSIGN:
  gl_rec_assign_t assign;
case GL_REC_END:
  gl_rec_end_t end;
case GL_REC_CANCEL:
  gl_rec_cancel_t cancel;
case GL_REC_CORDON:
  gl_rec_cordon_t cordon;
};

/*
 * One commit: the records of one slot of the domain's log ring.  seq numbers
 * the domain's commits from 1.
 */
struct gl_commit_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  gl_rec_t recs<GL_COMMIT_RECORDS_MAX>;
};

/*
 * The owner record of a domain.  node is the owner, rpc the address at which
 * it serves operators' calls.  Each write changes renewals.  released is
 * 0 while the owner holds its lease; 1 once it has given the domain up; 2 if
 * in addition no worker lease of any owner before it is still in force.
 */
struct gl_owner_t {
  unsigned hyper epoch;
  unsigned hyper renewals;
  gl_name_t node;
  gl_name_t rpc;
  int released;
};

/* ---- snapshot ---- */

/* ASSIGNED: bound to a worker, whether it has started there or not. */
enum gl_snap_state_t {
  GL_SNAP_WAITING = 0,
  GL_SNAP_ASSIGNED = 1,
  GL_SNAP_ENDED = 2
};

/* worker is an index into the snapshot's workers, -1 for none. */
struct gl_snap_task_t {
  gl_snap_state_t state;
  unsigned int attempt;
  gl_outcome_t outcome;
  int worker;
  unsigned hyper boot;
};

struct gl_snap_job_t {
  unsigned hyper job;
  gl_jobspec_t spec;
  int canceled;
  gl_snap_task_t tasks<GL_TASKS_MAX>;
};

struct gl_snap_worker_t {
  gl_name_t name;
  int cordoned;
};

/* The domain's state after commit seq; jobs are in order of acceptance. */
struct gl_snapshot_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  gl_snap_worker_t workers<>;
  gl_snap_job_t jobs<>;
};

/*
 * The base record: names the snapshot in force.  Its chunks lie in one of
 * two sets of keys, 0 or 1; bytes is the size of all chunks' data.
 */
struct gl_base_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  unsigned int chunk_set;
  unsigned int chunks;
  unsigned int bytes;
};

/*
 * One chunk of a snapshot.  A writer that finds a chunk of a later epoch
 * stops, since it has lost its lease.
 */
struct gl_chunk_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  opaque data<>;
};

/* ---- workers ---- */

/* A request to start one attempt; name is the job's. */
struct gl_start_t {
  gl_taskref_t task;
  gl_res_t need;
  unsigned int runtime_s;
  gl_name_t name;
};

/*
 * A call to a worker.  boot identifies one run of the worker's process; a
 * call for another boot is refused.  boot 0 is a handshake: the worker only
 * adopts the epoch and answers with its full list of tasks.  not_after is an
 * instant of the worker's own clock: until then it may run tasks, and after
 * it this call may start nothing.  A call with starts or stops is refused
 * unless its number is above that of the last such call taken.  seen_seq is
 * the last worker event that the scheduler has received, ack_seq the last
 * one that the worker may forget.  With hold_ms the worker may keep the call
 * open that long while it has nothing new to report.
 */
struct gl_wcall_t {
  unsigned hyper epoch;
  unsigned hyper boot;
  unsigned hyper call;
  unsigned hyper not_after;
  unsigned hyper seen_seq;
  unsigned hyper ack_seq;
  unsigned int hold_ms;
  gl_start_t starts<>;
  gl_taskref_t stops<>;
};

/*
 * OLD_EPOCH: the worker has adopted a later epoch.  OTHER_BOOT: it is not
 * the addressed run of the worker.  STALE_CALL: a later call was taken.
 */
enum gl_wstatus_t {
  GL_W_OK = 0,
  GL_W_OLD_EPOCH = 1,
  GL_W_OTHER_BOOT = 2,
  GL_W_STALE_CALL = 3
};

/*
 * REFUSED: the worker did not start the attempt.  outcome is valid with
 * ENDED; used_cpus_m and used_memory_mb are what the attempt uses.
 */
enum gl_wtask_state_t {
  GL_WT_RUNNING = 0,
  GL_WT_ENDED = 1,
  GL_WT_REFUSED = 2
};

struct gl_wtask_t {
  gl_taskref_t task;
  gl_wtask_state_t state;
  gl_outcome_t outcome;
  unsigned int used_cpus_m;
  unsigned int used_memory_mb;
};

/*
 * A worker's answer.  clock is its own clock when it answered, seq the number
 * of its last event, total its capacity.  If full is set, tasks lists all
 * attempts that it runs or remembers; otherwise those that changed after
 * seen_seq.
 */
struct gl_wreply_t {
  gl_wstatus_t status;
  unsigned hyper epoch;
  unsigned hyper boot;
  unsigned hyper clock;
  unsigned hyper seq;
  gl_res_t total;
  int full;
  gl_wtask_t tasks<>;
};
