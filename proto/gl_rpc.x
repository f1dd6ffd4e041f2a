/*
 * ONC RPC (RFC 5531) between the project's own processes.  Every daemon
 * serves the program on a fixed TCP address from its settings; no
 * portmapper is used.
 */
const GL_TEXT_MAX = 1048576;
typedef string gl_text_t<GL_TEXT_MAX>;
typedef string gl_str_t<127>;

/* What a daemon says of itself when it asks for the configuration. */
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

struct gl_conf_ask_t {
  unsigned hyper have;
  gl_status_t from;
};
struct gl_conf_tell_t {
  unsigned hyper revision;
  gl_text_t text;
};

struct gl_submit_t {
  unsigned hyper job;
  opaque spec<4096>;
};
struct gl_cancel_t {
  unsigned hyper job;
};
struct gl_cordon_t {
  gl_str_t worker;
  int on;
};
/* status is a gl_status code; retry_ms says when to come back. */
struct gl_answer_t {
  int status;
  unsigned hyper job;
  unsigned int retry_ms;
  gl_str_t reason;
};
struct gl_view_ask_t {
  gl_str_t what;
  unsigned hyper job;
};
struct gl_view_tell_t {
  int status;
  gl_text_t json;
};
struct gl_nodes_tell_t {
  gl_status_t nodes<64>;
};

program GL_PROGRAM {
  version GL_VERSION {
    gl_conf_tell_t GL_CONF(gl_conf_ask_t) = 1;
    gl_answer_t GL_SUBMIT(gl_submit_t) = 2;
    gl_answer_t GL_CANCEL(gl_cancel_t) = 3;
    gl_answer_t GL_CORDON(gl_cordon_t) = 4;
    gl_view_tell_t GL_VIEW(gl_view_ask_t) = 5;
    gl_nodes_tell_t GL_NODES(void) = 6;
  } = 1;
} = 0x20047a11;
