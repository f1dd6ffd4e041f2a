/*
 * Records kept in the platform's key-value service and messages exchanged
 * with workers.  Encoded as XDR (RFC 4506).  Units: CPUs in thousandths,
 * memory in MiB, times in milliseconds unless a name ends in _s.
 */
const GL_NAME_LEN = 63;
const GL_TASKS_MAX = 4096;
const GL_BATCH_MAX = 8192;

typedef string gl_name_t<GL_NAME_LEN>;

/* A resource vector. */
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

/* What an operator asks for.  runtime_s of 0 means unbounded. */
struct gl_jobspec_t {
  gl_name_t name;
  gl_name_t team;
  gl_class_t cls;
  unsigned int tasks;
  gl_res_t need;
  unsigned int runtime_s;
  unsigned int max_attempts;
};

enum gl_outcome_t {
  GL_OUT_OK = 0,
  GL_OUT_FAILED = 1,
  GL_OUT_STOPPED = 2,
  GL_OUT_LOST = 3,
  GL_OUT_EXPIRED = 4,
  GL_OUT_NOT_RUN = 5
};

/* One attempt of one task of one job. */
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

struct gl_rec_takeover_t {
  gl_name_t node;
};
struct gl_rec_accept_t {
  unsigned hyper job;
  gl_jobspec_t spec;
};
struct gl_rec_assign_t {
  gl_taskref_t task;
  gl_name_t worker;
  unsigned hyper boot;
};
struct gl_rec_end_t {
  gl_taskref_t task;
  gl_outcome_t outcome;
};
struct gl_rec_cancel_t {
  unsigned hyper job;
};
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

/* One commit: the records of one slot of the domain's log ring. */
struct gl_batch_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  gl_rec_t recs<GL_BATCH_MAX>;
};

/* The owner lease of a domain. */
struct gl_owner_t {
  unsigned hyper epoch;
  unsigned hyper renewals;
  gl_name_t node;
  gl_name_t rpc;
  int released;
};

/* ---- snapshot ---- */

enum gl_snap_state_t {
  GL_SNAP_WAITING = 0,
  GL_SNAP_ASSIGNED = 1,
  GL_SNAP_ENDED = 2
};

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

struct gl_snapshot_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  gl_snap_worker_t workers<>;
  gl_snap_job_t jobs<>;
};

/* Points at the chunks that make up the snapshot in force. */
struct gl_base_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  unsigned int slot;
  unsigned int chunks;
  unsigned int bytes;
};

/* One chunk; its epoch fences writers that lost their lease. */
struct gl_chunk_t {
  unsigned hyper epoch;
  unsigned hyper seq;
  opaque data<>;
};

/* ---- workers ---- */

struct gl_start_t {
  gl_taskref_t task;
  gl_res_t need;
  unsigned int runtime_s;
  gl_name_t name;
};

/*
 * A call to a worker.  boot 0 asks only for a greeting.  not_after is an
 * instant of the worker's own clock: until then it may run tasks, and past
 * it this call may start nothing.  A call with starts or stops is refused
 * when its number is not above that of the last such call taken.
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

enum gl_wstatus_t {
  GL_W_OK = 0,
  GL_W_OLD_EPOCH = 1,
  GL_W_OTHER_BOOT = 2,
  GL_W_STALE_CALL = 3
};

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

/* full says that tasks lists everything the worker runs or remembers. */
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
