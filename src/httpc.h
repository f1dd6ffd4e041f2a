/* httpc.h -- HTTP client: one thread, many requests */
#ifndef GL_HTTPC_H
#define GL_HTTPC_H

#include <stddef.h>
#include <stdint.h>

#include "budget.h"
#include "gentianlatch.h"

/**
 * enum httpc_outcome_t - how a request ended
 * @HTTPC_COMPLETE: the complete response arrived, whatever its status
 * @HTTPC_NOT_SENT: no byte of the request left this machine
 * @HTTPC_UNKNOWN: at least part of the request was sent, and no complete
 *   response arrived; the server may have executed it
 */
typedef enum
{
  HTTPC_COMPLETE = 0,
  HTTPC_NOT_SENT,
  HTTPC_UNKNOWN
} httpc_outcome_t;

/**
 * struct httpc_result_t - how a request ended, and the response
 * @status: HTTP status, 0 without one
 * @etag: value of the ETag header as a number, 0 without one
 * @not_run: the response has a Not-Run header: the server refused the request
 *   before it began to execute it
 * @timed_out: a timeout expired
 * @too_long, @no_room: the server responded, but the body was longer than
 *   accepted, or found no room in the budget; @outcome is HTTPC_UNKNOWN
 * @retry_after_s: value of the Retry-After header in seconds, 0 without one
 * @content_type: value of the Content-Type header, "" without one
 * @body: the body, with a NUL after its @len bytes; may be NULL if it is empty
 * @reserved: bytes of the request's budget that are held for @body
 */
typedef struct
{
  httpc_outcome_t outcome;
  int status;
  uint64_t etag;
  int not_run;
  int timed_out;
  int too_long;
  int no_room;
  unsigned int retry_after_s;
  char content_type[64];
  char *body;
  size_t len;
  size_t reserved;
} httpc_result_t;

/** httpc_done_t - a request has ended; called on the client's thread, where it
    must not block; @res and its body are borrowed.  To keep the body and what
    is reserved for it, the callback sets both to 0 in @res. */
typedef void (*httpc_done_t) (void *ctx, httpc_result_t *res);

/**
 * struct httpc_request_t - a request; all of it is copied
 * @headers: "Name: value" lines, with NULL at the end; NULL for none
 * @body, @len: the body; not sent with GET and HEAD
 * @timeout: milliseconds after which the request ends as timed out
 * @stall_timeout: milliseconds without a byte of progress after which it ends
 *   as timed out, rounded up to seconds; 0 for none
 * @not_before: instant before which it is not sent, 0 for none
 * @send_before: instant from which on it is no longer sent, 0 for none
 * @max_body: longest response body in bytes that is accepted, 0 for 2 MiB
 * @budget: where the copy of @body, and the response body, are reserved; NULL
 *   for no bound
 * @fresh_conn: use a new connection
 * @at_most_once: never send it a second time, not even if a reused connection
 *   breaks; implies a new connection
 * @done, @ctx: called when the request has ended
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
  budget_t *budget;
  int fresh_conn;
  int at_most_once;
  httpc_done_t done;
  void *ctx;
} httpc_request_t;

/** struct httpc - an HTTP client */
typedef struct httpc httpc_t;

/**
 * httpc_new - start a client with a thread of its own; NULL on failure
 * @max_conns_per_host: most connections to one host and port, 0 for no limit
 */
httpc_t *httpc_new (long max_conns_per_host);
/**
 * httpc_free - stop the thread and release the client; NULL is allowed
 *
 * Open requests end as HTTPC_UNKNOWN, or as HTTPC_NOT_SENT if nothing was
 * sent yet.
 */
void httpc_free (httpc_t *c);
/** httpc_send - queue a request; any thread; -1 when it cannot be queued or
    its budget has no room for it, and r->done is not called */
int httpc_send (httpc_t *c, const httpc_request_t *r);
/**
 * httpc_perform - send a request and block until it has ended
 *
 * Sets r->done and r->ctx.  Returns 0 when a complete response arrived, else
 * -1.  The caller frees res->body in either case.
 */
int httpc_perform (httpc_t *c, httpc_request_t *r, httpc_result_t *res);
/** httpc_bytes - bytes sent and received by the requests that have ended,
    headers included; any thread */
uint64_t httpc_bytes (const httpc_t *c);
/** httpc_retire_conns - let no request sent from now on use a connection that
    was opened before; any thread */
void httpc_retire_conns (httpc_t *c);

#endif
