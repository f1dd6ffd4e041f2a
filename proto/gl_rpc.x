/*
 * ONC RPC (RFC 5531) between the daemons of this project.  The
 * administration daemons and the schedulers serve the program, each on a
 * fixed TCP address from its settings; no portmapper is used.
 */
/* Longest text, bytes. */
const GL_TEXT_MAX = 1048576;
typedef string gl_text_t<GL_TEXT_MAX>;
typedef string gl_str_t<127>;

/*
 * Status of one daemon, which it reports when it asks for the configuration.
 * node names its VM; role is admin, scheduler or entry; rpc is the address
 * at which it serves requests (HTTP for an entry); revision is that of the
 * configuration in force; active is 1 if it is the scheduler that owns
 * domain, under epoch.  cpu_permille is its recent CPU use in thousandths of
 * one CPU; net_bytes counts the bytes of its calls to other processes.
 */
struct gl_status_t {
  gl_str_t node;
  gl_str_t domain;
  gl_str_t role;
  gl_str_t rpc;
  unsigned hyper revision;
  unsigned hyper epoch;
  int active;
  unsigned int cpu_permille;
  unsigned int rss_kb;
  unsigned hyper net_bytes;
};

/*
 * Asks an administration daemon for the configuration record, if its
 * revision is higher than known_revision; text is empty if it is not.
 */
struct gl_conf_ask_t {
  unsigned hyper known_revision;
  gl_status_t from;
};
struct gl_conf_reply_t {
  unsigned hyper revision;
  gl_text_t text;
};

/* job is the job's id; spec is an encoded gl_jobspec_t. */
struct gl_submit_t {
  unsigned hyper job;
  opaque spec<4096>;
};
struct gl_cancel_t {
  unsigned hyper job;
};
/* on is 1 to close the worker to new tasks, 0 to open it again. */
struct gl_cordon_t {
  gl_str_t worker;
  int on;
};
/*
 * status is a gl_code_t; job is the id of the job concerned; retry_ms, if not
 * 0, is the delay after which the request may be retried; reason is a text
 * for the operator.
 */
struct gl_answer_t {
  int status;
  unsigned hyper job;
  unsigned int retry_ms;
  gl_str_t reason;
};
/* what and job are the arguments of gl_sched_view; status is a gl_code_t. */
struct gl_view_ask_t {
  gl_str_t what;
  unsigned hyper job;
};
struct gl_view_reply_t {
  int status;
  gl_text_t json;
};
/* The daemons of the VM whose administration daemon answers. */
struct gl_nodes_reply_t {
  gl_status_t nodes<64>;
};

program GL_PROGRAM {
  version GL_VERSION {
    gl_conf_reply_t GL_CONF(gl_conf_ask_t) = 1;
    gl_answer_t GL_SUBMIT(gl_submit_t) = 2;
    gl_answer_t GL_CANCEL(gl_cancel_t) = 3;
    gl_answer_t GL_CORDON(gl_cordon_t) = 4;
    gl_view_reply_t GL_VIEW(gl_view_ask_t) = 5;
    gl_nodes_reply_t GL_NODES(void) = 6;
  } = 1;
} = 0x20047a11;
