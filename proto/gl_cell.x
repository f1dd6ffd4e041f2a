/*
 * Records and messages of a cell: jobs of steps, what is known of their
 * tasks, and the calls between the VMs that serve the cell.
 */
const GL_STEPS_MAX = 64;
const GL_STEP_TASKS_MAX = 4096;
const GL_PAYLOAD_MAX = 4096;
const GL_FACTS_MAX = 65536;
const GL_ROWS_MAX = 1024;
typedef string gl_word_t<127>;

/* cpus_m is in thousandths; a member of after is the number of a step. */
struct gl_step_t {
  unsigned int count;
  gl_res_t need;
  unsigned int estimate_ms;
  bool gang;
  bool one_rack;
  bool checkpoints;
  bool duplicates;
  bool lasting;
  bool filler;
  unsigned int per_worker;
  unsigned int target_ms;
  unsigned int may_miss;
  gl_word_t label;
  gl_word_t rack;
  gl_word_t image;
  unsigned int after<GL_STEPS_MAX>;
};

/* A job as its caller handed it in.  times is 0 for a job that runs once. */
struct gl_work_t {
  gl_word_t id;
  gl_word_t queue;
  string payload<GL_PAYLOAD_MAX>;
  gl_step_t steps<GL_STEPS_MAX>;
  unsigned hyper first_ms;
  unsigned hyper every_ms;
  unsigned int times;
  unsigned hyper accepted_ms;
};

enum gl_phase_t {
  GL_PHASE_PENDING = 0,
  GL_PHASE_RUNNING = 1,
  GL_PHASE_COMPLETED = 2,
  GL_PHASE_FAILED = 3,
  GL_PHASE_CANCELLED = 4
};

const GL_FAILURES_MAX = 16;

/* What must outlast the owner of one task.  failures are the runs that have
   failed, each counted once; workers may report them in any order. */
struct gl_fact_t {
  unsigned int turn;
  unsigned int step;
  unsigned int index;
  unsigned int run;
  unsigned int failures<GL_FAILURES_MAX>;
  bool done;
  gl_word_t saved;
};
struct gl_progress_t {
  gl_fact_t facts<GL_FACTS_MAX>;
};
struct gl_final_t {
  gl_phase_t phase;
  unsigned hyper ended_ms;
};

/* A life of a worker on which the owner may start tasks. */
struct gl_enrolled_t {
  gl_word_t id;
  gl_word_t addr;
  gl_word_t domain;
  gl_word_t service;
  gl_word_t labels<8>;
  gl_res_t total;
};

/* Who owns the cell; generation is the fencing token. */
struct gl_tenure_t {
  unsigned hyper generation;
  gl_word_t vm;
  gl_word_t addr;
  bool released;
};
struct gl_vminfo_t {
  gl_word_t vm;
  gl_word_t addr;
  gl_word_t domain;
  unsigned int cpu_m;
};

/* ---- calls between VMs ---- */

enum gl_verb_t {
  GL_VERB_SUBMIT = 0,
  GL_VERB_STATE = 1,
  GL_VERB_CANCEL = 2
};
struct gl_ask_t {
  gl_verb_t verb;
  gl_word_t id;
  gl_work_t *work;
};
/* code is a gl_code_t. */
struct gl_tell_t {
  int code;
  unsigned int retry_ms;
  gl_phase_t phase;
  gl_word_t reason;
};

struct gl_consult_t {
  unsigned int priority;
  gl_word_t step;
  gl_word_t workers<GL_ROWS_MAX>;
};
struct gl_ticket_t {
  gl_word_t worker;
  gl_word_t ticket;
};
struct gl_counsel_t {
  int code;
  unsigned int valid_ms;
  gl_ticket_t tickets<GL_ROWS_MAX>;
};

struct gl_queue_count_t {
  gl_word_t queue;
  unsigned int waiting;
};
struct gl_beacon_t {
  unsigned hyper generation;
  gl_word_t vm;
  gl_word_t addr;
  unsigned int store_age_ms;
  gl_queue_count_t queues<GL_ROWS_MAX>;
};
