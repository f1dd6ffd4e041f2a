/* httpd.h -- HTTP server that passes complete requests to a callback */
#ifndef GL_HTTPD_H
#define GL_HTTPD_H

#include <stddef.h>

#include "budget.h"
#include "gentianlatch.h"
#include "metrics.h"

/** typedef httpd_t - an HTTP server */
typedef struct httpd httpd_t;

/**
 * struct httpd_limits_t - what the clients of a server are held to
 * @max_body: longest request body in bytes; a longer one is answered with 413
 * @max_conns: most connections at once; with more, one that has stood still
 * the longest is closed
 * @conn_memory: bytes of the library's buffers for a connection, in which the
 * header of a request has to fit
 * @header_ms, @body_ms, @reply_ms: longest time from a request line to the end
 * of its header, from there to the end of its body, and from the response to
 * its receipt; the latter two are longer by the time that the bytes take at
 * @bytes_per_s
 * @bytes_per_s: rate at which a client has to send and read
 * @request_cost: bytes reserved for a request with a body besides the body,
 * for what the callback makes of it
 * @budget: where bodies are reserved, and which may have other users; a
 * request that finds no room is answered with 503; NULL for no bound
 */
typedef struct
{
  size_t max_body;
  unsigned int max_conns;
  size_t conn_memory;
  gl_ms_t header_ms;
  gl_ms_t body_ms;
  gl_ms_t reply_ms;
  unsigned int bytes_per_s;
  size_t request_cost;
  budget_t *budget;
} httpd_limits_t;

/**
 * struct httpd_counts_t - how often clients met a limit
 * @too_long, @no_room: bodies refused with 413, and with 503
 * @evicted: connections closed for new ones
 * @stalled: incomplete bodies given up for others
 * @slow_headers, @slow_bodies, @unread_replies: connections closed as a stage
 * took too long
 */
typedef struct
{
  unsigned long too_long;
  unsigned long no_room;
  unsigned long evicted;
  unsigned long stalled;
  unsigned long slow_headers;
  unsigned long slow_bodies;
  unsigned long unread_replies;
} httpd_counts_t;

/**
 * struct httpd_call_t - one request and its response
 * @method, @path: from the request line; @path is without the query
 * @body, @len: the complete body and its bytes; @body has a terminating 0 and
 * is NULL when the request has none
 *
 * The other members belong to httpd.c:
 * @conn: the library's connection
 * @server: the server that received the request
 * @cap, @reserved: bytes allocated for @body, and reserved for the request
 * @received: bytes of the body that have come, discarded ones included
 * @state: stage of the request, one of the CALL_ constants of httpd.c
 * @status: status code of the response
 * @reply, @reply_len: body of the response
 * @reply_budget, @reply_reserved: see httpd_reply_reserved
 * @content_type: its type, or ""
 * @headers, @nheaders: further response headers, "Name: value"
 */
typedef struct httpd_call
{
  const char *method;
  const char *path;
  char *body;
  size_t len;
  void *conn;
  httpd_t *server;
  size_t cap;
  size_t reserved;
  size_t received;
  int state;
  int status;
  char *reply;
  size_t reply_len;
  budget_t *reply_budget;
  size_t reply_reserved;
  char content_type[64];
  char headers[4][96];
  int nheaders;
} httpd_call_t;

/**
 * httpd_fn_t - handles a complete request; called on a server thread
 *
 * httpd_reply or httpd_text must be called exactly once for each request: from
 * any thread, now or later, when the server has a thread pool; before the
 * return, when it has a thread per connection.  @call is valid until then.
 */
typedef void (*httpd_fn_t) (void *ctx, httpd_call_t *call);

/** httpd_limits_init - the usual limits, without a budget */
void httpd_limits_init (httpd_limits_t *l, size_t max_body,
                        unsigned int max_conns);
/**
 * httpd_open - start a server on @addr, "IP:port"
 * @limits: copied; its budget has to outlive the server
 * @threads: size of the thread pool, whose threads @fn must not block; 0 for a
 * thread per connection, where @fn may block
 * @fn, @ctx: callback and its first argument
 *
 * Returns NULL when out of memory or when it cannot listen on the address.
 */
httpd_t *httpd_open (const char *addr, const httpd_limits_t *limits,
                     unsigned int threads, httpd_fn_t fn, void *ctx);
/** httpd_new - httpd_open with the usual limits */
httpd_t *httpd_new (const char *addr, size_t max_body, unsigned int max_conns,
                    unsigned int threads, httpd_fn_t fn, void *ctx);
/** httpd_metrics - append counters of limits that clients met, with the label
    server="@server" */
void httpd_metrics (httpd_t *h, const char *server, text_t *t);
/** httpd_drop_body - free the body of a request that the callback has decoded;
    what was reserved for it stands until the response is sent */
void httpd_drop_body (httpd_call_t *call);
/** httpd_reply_reserved - to be called before httpd_reply: @n bytes are
    reserved in @b for the body of the response, and returned once it was
    sent */
void httpd_reply_reserved (httpd_call_t *call, budget_t *b, size_t n);
/** httpd_cut_unread - close the connection that has the most reserved for its
    response, of those whose clients have not taken theirs for @ms; to be
    called when the budget of responses has no room */
void httpd_cut_unread (httpd_t *h, gl_ms_t ms);
/** httpd_set_closing - answer each further request with "Connection: close",
    after which its connection is closed; connections are still accepted */
void httpd_set_closing (httpd_t *h);
/**
 * httpd_quiesce - accept no more connections and close idle ones
 *
 * Implies httpd_set_closing.  A request whose header has arrived is answered;
 * one whose header ends at this moment may be refused with 503.  A part of a
 * header is cut.
 */
void httpd_quiesce (httpd_t *h);
/** httpd_connections - number of open connections */
unsigned int httpd_connections (const httpd_t *h);
/** httpd_open_requests - number of requests whose response is not sent yet */
unsigned int httpd_open_requests (httpd_t *h);
/** httpd_free - stop the server and free it; every request must have been
    replied to.  NULL is ignored. */
void httpd_free (httpd_t *h);
/** httpd_header - value of a request header, or NULL */
const char *httpd_header (httpd_call_t *call, const char *name);
/** httpd_connected_at - when the request's connection was accepted, in ms of
    clock_ms; 0 when unknown */
unsigned long long httpd_connected_at (httpd_call_t *call);
/** httpd_query - value of a query argument, or NULL */
const char *httpd_query (httpd_call_t *call, const char *name);
/** httpd_add_header - add a response header "Name: value" before the reply; at
    most 4, each of at most 95 bytes */
void httpd_add_header (httpd_call_t *call, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/** httpd_reply - send the response; takes over @body, which is malloc'd or
    NULL; @type is its content type or NULL */
void httpd_reply (httpd_call_t *call, int status, const char *type, char *body,
                  size_t len);
/** httpd_text - send a formatted response of type application/json */
void httpd_text (httpd_call_t *call, int status, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
struct sockaddr_in;
/** split_addr - parse "IP:port", IPv4 with a port from 1 to 65535, into a
    socket address; 0, or -1 when malformed */
int split_addr (const char *addr, struct sockaddr_in *out);

#endif
