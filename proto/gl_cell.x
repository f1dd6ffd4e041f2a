/*
 * Records of a cell in the key-value store, and messages between the VMs that
 * serve the cell.  Encoded as XDR (RFC 4506).  Times are milliseconds; those
 * of records are of the wall clock.
 */
const GL_STEPS_MAX = 64;
const GL_STEP_TASKS_MAX = 4096;
const GL_PAYLOAD_MAX = 4096;
const GL_TASK_RECORDS_MAX = 65536;
const GL_LIST_MAX = 1024;
const GL_HANDOVER_MAX = 8192;
typedef string gl_cell_str_t<127>;

/*
 * A step: tasks of one kind.
 *   count              number of its tasks
 *   need               resources of one task; cpus_m is in thousandths
 *   estimate_ms        expected duration of a run
 *   gang               the tasks start together or not at all
 *   same_rack          the tasks of the gang should share a rack
 *   long_running       the tasks do not end by themselves
 *   best_effort        the tasks are given memory but no processors
 *   per_worker         most tasks of the step on one worker, 0 for no limit
 *   label              the worker must have it, "" for any worker
 *   rack               rack for which the tasks wait a while, "" for none
 *   predecessors       numbers of the earlier steps that must be done first
 * The cell stores checkpointing, allow_duplicates, target_latency_ms,
 * misses_allowed and image, and does not decide by them.
 */
struct gl_step_t {
  unsigned int count;
  gl_res_t need;
  unsigned int estimate_ms;
  bool gang;
  bool same_rack;
  bool checkpointing;
  bool allow_duplicates;
  bool long_running;
  bool best_effort;
  unsigned int per_worker;
  unsigned int target_latency_ms;
  unsigned int misses_allowed;
  gl_cell_str_t label;
  gl_cell_str_t rack;
  gl_cell_str_t image;
  unsigned int predecessors<GL_STEPS_MAX>;
};

/* A job as its caller submitted it.  Iteration n, from 0, is due at
   first_start_ms + n * interval_ms; a repeat_count of 0 is a job that runs
   once, at once.  accepted_ms is set by the owner that takes the job. */
struct gl_cell_job_t {
  gl_cell_str_t id;
  gl_cell_str_t queue;
  string payload<GL_PAYLOAD_MAX>;
  gl_step_t steps<GL_STEPS_MAX>;
  unsigned hyper first_start_ms;
  unsigned hyper interval_ms;
  unsigned int repeat_count;
  unsigned hyper accepted_ms;
};

/* The team that a job belongs to, "" for none.  Follows gl_cell_job_t in the
   job's specification, unless the owner that wrote it is of an older version,
   and gl_job_result_t in its result, if the job has a team. */
struct gl_team_t {
  gl_cell_str_t name;
};

/* What the configuration in force at the job's acceptance, of version
   conf_version, says of its queue.  Follows gl_team_t in the job's
   specification, unless the owner that wrote it is of an older version. */
struct gl_job_queue_t {
  unsigned hyper conf_version;
  gl_cell_str_t service;
  int priority;
  unsigned int max_attempts;
  double due_factor;
  double due_offset_ms;
  bool advised;
  double consult_base_ms;
  double consult_per_worker_ms;
  unsigned int ticket_valid_ms;
};

enum gl_phase_t {
  GL_PHASE_PENDING = 0,
  GL_PHASE_RUNNING = 1,
  GL_PHASE_COMPLETED = 2,
  GL_PHASE_FAILED = 3,
  GL_PHASE_CANCELLED = 4
};

const GL_FAILURES_MAX = 16;

/* What a successor has to know of one task.  run is the number of its latest
   known run; failed_runs are the numbers of the last runs that have failed,
   each once, since workers may report a failure again and in any order.
   checkpoint is the name of its last checkpoint. */
struct gl_task_record_t {
  unsigned int iteration;
  unsigned int step;
  unsigned int index;
  unsigned int run;
  unsigned int failed_runs<GL_FAILURES_MAX>;
  bool done;
  gl_cell_str_t checkpoint;
};
/* The task records of one job. */
struct gl_progress_t {
  gl_task_record_t tasks<GL_TASK_RECORDS_MAX>;
};
/* Crashes of workers under a task's runs since it last survived a start.
   sole: those of which only the task's job could be the cause. */
struct gl_crash_record_t {
  unsigned int iteration;
  unsigned int step;
  unsigned int index;
  unsigned int crashes;
  unsigned int sole;
};
/* Follows gl_progress_t in a job's task records, unless the owner that wrote
   them is of an older version. */
struct gl_crashes_t {
  gl_crash_record_t tasks<GL_TASK_RECORDS_MAX>;
};
/* A task with more failed runs than its record names: how many there were, and
   the highest number of those that the record does not name. */
struct gl_failure_record_t {
  unsigned int iteration;
  unsigned int step;
  unsigned int index;
  unsigned int failures;
  unsigned int unnamed_run;
};
/* Follows gl_crashes_t, which is then there in any case, if there are such
   tasks. */
struct gl_failures_t {
  gl_failure_record_t tasks<GL_TASK_RECORDS_MAX>;
};
/* How a job ended. */
struct gl_job_result_t {
  gl_phase_t phase;
  unsigned hyper ended_ms;
};

/* A worker on which an owner may start tasks. */
struct gl_worker_record_t {
  gl_cell_str_t id;
  gl_cell_str_t addr;
  gl_cell_str_t domain;
  gl_cell_str_t service;
  gl_cell_str_t labels<8>;
  gl_res_t capacity;
};

/* Follows gl_worker_record_t in the record of an incarnation whose start is
   known, unless the owner that wrote it is of an older version. */
struct gl_worker_start_t {
  unsigned hyper started_at;
  /* Wall clock, in ms since the epoch, by which the leases have ended that
     calls to former incarnations can have given to this one; 0: none. */
  unsigned hyper foreign_until;
};
/* Follows gl_worker_start_t, unless the owner that wrote it is of an older
   version, whose foreign_until may be too early.  token: the fencing
   token of the calls to the incarnation. */
struct gl_worker_token_t {
  unsigned hyper token;
};

/* Who owns the cell.  generation grows with each claim and is the highest
   fencing token of the owner; released: the owner has handed the cell over. */
struct gl_ownership_t {
  unsigned hyper generation;
  gl_cell_str_t vm;
  gl_cell_str_t addr;
  bool released;
};
/* Which process claimed the cell in @generation; it is written with the claim,
   and kept until a later owner has completed its census.  @process is a random
   number, which a process changes when it loses the cell. */
struct gl_claim_t {
  unsigned hyper generation;
  unsigned hyper process;
  gl_cell_str_t addr;
};
/* The process that runs at a VM's address, under the VM's lease. */
struct gl_process_t {
  unsigned hyper process;
  gl_cell_str_t addr;
};
/* Left by an owner that releases the cell of @generation: the workers that have
   not answered it lately, with the span, from the writing of this record on,
   after which every lease that they can hold has ended. */
struct gl_unheard_worker_t {
  gl_cell_str_t id;
  unsigned int leases_ms;
};
struct gl_handover_t {
  unsigned hyper generation;
  gl_unheard_worker_t workers<GL_HANDOVER_MAX>;
};
/* A VM that takes part; cpu_m is its share of a core in thousandths. */
struct gl_vminfo_t {
  gl_cell_str_t vm;
  gl_cell_str_t addr;
  gl_cell_str_t domain;
  unsigned int cpu_m;
};
/* Follows gl_vminfo_t in a VM's key, unless the VM is of an older version.
   stopping: its planned stop has begun, and its process ends within ends_in_ms
   of the writing. */
struct gl_vmstate_t {
  bool stopping;
  unsigned int ends_in_ms;
};

/* ---- calls between VMs ---- */

enum gl_verb_t {
  GL_VERB_SUBMIT = 0,
  GL_VERB_STATE = 1,
  GL_VERB_CANCEL = 2
};
/* A caller's request, forwarded to the owner; job is set for a submission.
   team is the caller's team, "" for none. */
struct gl_request_t {
  gl_verb_t verb;
  gl_cell_str_t id;
  gl_cell_job_t *job;
  gl_cell_str_t team;
};
/* The same from a VM of an older version, which knows no teams. */
struct gl_old_request_t {
  gl_verb_t verb;
  gl_cell_str_t id;
  gl_cell_job_t *job;
};
/* The answer to it.  code is a gl_code_t; retry_ms goes with GL_RETRY. */
struct gl_reply_t {
  int code;
  unsigned int retry_ms;
  gl_phase_t phase;
  gl_cell_str_t reason;
};

/* A question to the advisor: which of the workers may run the step. */
struct gl_consult_t {
  unsigned int priority;
  gl_cell_str_t step;
  gl_cell_str_t workers<GL_LIST_MAX>;
};
struct gl_ticket_t {
  gl_cell_str_t worker;
  gl_cell_str_t ticket;
};
/* Its answer: a ticket for each approved worker, valid for valid_ms.  code is
   a gl_code_t. */
struct gl_consult_reply_t {
  int code;
  unsigned int valid_ms;
  gl_ticket_t tickets<GL_LIST_MAX>;
};

/* Jobs of a queue of which no task has started. */
struct gl_queue_count_t {
  gl_cell_str_t queue;
  unsigned int waiting;
};
/* Sent by the owner to all VMs, and their answer.  store_age_ms is the time
   since the store last answered the sender; may_claim: the sender could take
   the cell over now. */
struct gl_heartbeat_ack_t {
  unsigned int store_age_ms;
  bool may_claim;
};
/* The answer of a VM of an older version. */
struct gl_old_heartbeat_ack_t {
  unsigned int store_age_ms;
};
struct gl_heartbeat_t {
  unsigned hyper generation;
  gl_cell_str_t vm;
  gl_cell_str_t addr;
  unsigned int store_age_ms;
  gl_queue_count_t queues<GL_LIST_MAX>;
};
/* Both as they are sent, with the version of the configuration in force at the
   sender, 0 for none.  VMs of older versions send them without it, and ignore
   it. */
struct gl_versioned_heartbeat_t {
  gl_heartbeat_t heartbeat;
  unsigned hyper conf_version;
};
struct gl_versioned_ack_t {
  gl_heartbeat_ack_t ack;
  unsigned hyper conf_version;
};

/* Longest configuration that VMs pass on, in bytes. */
const GL_CONFIG_MAX = 4194304;
/* Longest one as it is sent; below the longest message of the RPCs. */
const GL_CONFIG_SENT_MAX = 1572864;
/* Asks a VM for its configuration; conf_version is that of the asking VM. */
struct gl_config_ask_t {
  unsigned hyper conf_version;
};
/* The answer.  code is a gl_code_t: GL_OK; GL_RETRY while the VM serves others;
   GL_NOT_FOUND if it has no higher version.  data is the configuration, of
   length bytes, as the store holds it, compressed as of RFC 1950. */
struct gl_config_reply_t {
  int code;
  unsigned hyper conf_version;
  unsigned int length;
  opaque data<GL_CONFIG_SENT_MAX>;
};
