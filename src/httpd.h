/* httpd.h -- HTTP server: whole requests in, whole answers out */
#ifndef GL_HTTPD_H
#define GL_HTTPD_H

#include <stddef.h>

typedef struct httpd httpd_t;

/**
 * struct httpd_call_t - one request
 * @method, @path: from the request line
 * @body, @len: its whole body
 * @mhd: the connection, for httpd_header and httpd_query
 */
typedef struct httpd_call
{
  const char *method;
  const char *path;
  char *body;
  size_t len;
  void *mhd;
  httpd_t *server;
  int state;
  int status;
  char *reply;
  size_t reply_len;
  char type[64];
  char extra[4][96];
  int nextra;
} httpd_call_t;

/**
 * httpd_fn_t - takes a request; called on a server thread
 *
 * It must see to it that httpd_reply is called once, then or later, from
 * any thread.
 */
typedef void (*httpd_fn_t) (void *ctx, httpd_call_t *call);

/**
 * httpd_new - serve on @addr, "IP:port"
 * @max_body: longest request body; a longer one is answered with 413
 * @max_conns: connections at once
 * @threads: 0 for a thread per connection, where @fn may block
 *
 * Returns NULL when the address cannot be used.
 */
httpd_t *httpd_new (const char *addr, size_t max_body, unsigned int max_conns,
                    unsigned int threads, httpd_fn_t fn, void *ctx);
/** httpd_quiesce - accept no more connections; close those that are idle or
    have had their answer */
void httpd_quiesce (httpd_t *h);
/** httpd_open_requests - calls whose answer has not left yet */
unsigned int httpd_open_requests (httpd_t *h);
/** httpd_free - stop; every call must have been replied to */
void httpd_free (httpd_t *h);
/** httpd_header - a request header, or NULL */
const char *httpd_header (httpd_call_t *call, const char *name);
/** httpd_connected_at - when the request's connection was made, clock_ms */
unsigned long long httpd_connected_at (httpd_call_t *call);
/** httpd_query - a query argument, or NULL */
const char *httpd_query (httpd_call_t *call, const char *name);
/** httpd_add_header - add a response header "Name: value" */
void httpd_add_header (httpd_call_t *call, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/** httpd_reply - the answer; takes over @body, which malloc gave, or NULL */
void httpd_reply (httpd_call_t *call, int status, const char *type, char *body,
                  size_t len);
/** httpd_text - the answer, formatted; content type application/json */
void httpd_text (httpd_call_t *call, int status, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
/** split_addr - parse "IP:port" into a socket address; -1 when malformed */
struct sockaddr_in;
int split_addr (const char *addr, struct sockaddr_in *out);

#endif
