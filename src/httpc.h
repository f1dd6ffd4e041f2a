/* httpc.h -- HTTP client: one thread, many requests */
#ifndef GL_HTTPC_H
#define GL_HTTPC_H

#include <stddef.h>
#include <stdint.h>

#include "gentianlatch.h"

/**
 * enum httpc_outcome_t - what became of a request
 * @HTTPC_COMPLETE: the whole answer arrived
 * @HTTPC_NOT_SENT: nothing of it left this machine
 * @HTTPC_UNKNOWN: it was sent, in part at least, and no whole answer came
 */
typedef enum
{
  HTTPC_COMPLETE = 0,
  HTTPC_NOT_SENT,
  HTTPC_UNKNOWN
} httpc_outcome_t;

/**
 * struct httpc_result_t - the answer
 * @etag: content of the ETag header as a number, 0 without one
 * @not_run: the server says that it refused before running the request
 * @timed_out: no whole answer came in time
 * @content_type: content type
 */
typedef struct
{
  httpc_outcome_t outcome;
  int status;
  uint64_t etag;
  int not_run;
  int timed_out;
  unsigned int retry_after_s;
  char content_type[64];
  char *body;
  size_t len;
} httpc_result_t;

/** httpc_done_t - called on the client's thread; the result is borrowed */
typedef void (*httpc_done_t) (void *ctx, httpc_result_t *res);

/**
 * struct httpc_request_t - a request; all of it is copied
 * @headers: "Name: value" lines, NULL at the end, or NULL
 * @timeout: span after which it is given up
 * @stall_timeout: span without progress after which it is given up, 0 for none
 * @send_before: instant at or after which it must not leave, 0 for none
 * @not_before: instant at which it leaves at the earliest, 0 for now
 * @max_body: longest answer that is taken
 * @fresh_conn: use a new connection
 * @at_most_once: never send it twice, whatever becomes of its connection
 */
typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers;
  const char *body;
  size_t len;
  gl_ms_t timeout;
  gl_ms_t stall_timeout;
  gl_ms_t not_before;
  gl_ms_t send_before;
  size_t max_body;
  int fresh_conn;
  int at_most_once;
  httpc_done_t done;
  void *ctx;
} httpc_request_t;

typedef struct httpc httpc_t;

/**
 * httpc_new - start a client
 * @max_conns_per_host: connections to one host and port, 0 for no limit
 */
httpc_t *httpc_new (long max_conns_per_host);
/** httpc_free - end it; open requests end as HTTPC_UNKNOWN */
void httpc_free (httpc_t *c);
/** httpc_send - queue a request; -1, and no callback, when it cannot be */
int httpc_send (httpc_t *c, const httpc_request_t *r);
/** httpc_perform - the same, waiting; the caller frees res->body */
int httpc_perform (httpc_t *c, httpc_request_t *r, httpc_result_t *res);
/** httpc_bytes - bytes sent and received so far, headers included */
uint64_t httpc_bytes (const httpc_t *c);
/** httpc_retire_conns - let no request begun from now on reuse older
 * connections */
void httpc_retire_conns (httpc_t *c);

#endif
