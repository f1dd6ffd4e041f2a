/*
 * httpd.c -- HTTP server that passes complete requests to a callback
 *
 * A request is passed on when its body is complete.  With a thread pool, its
 * connection is then suspended until the response is ready.  Bodies are
 * bounded: the rest of a longer one is read and discarded, and the response is
 * 413.
 */
#include "httpd.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "logs.h"
#include "loop.h"

/* Seconds after which an idle connection is closed. */
#define IDLE_S 120

/* How many unread bytes are searched for the end of a header. */
#define HEADER_LOOK 8192

/* States of a call: the body arrives; the body is too long; the callback has
   it; the response is set; the request is refused. */
#define CALL_READING 0
#define CALL_TOO_LONG 1
#define CALL_PASSED_ON 2
#define CALL_REPLIED 3
#define CALL_REFUSED 4

/**
 * struct conn_t - an open connection; the library's socket context
 * @accepted_at: when it was accepted, in ms of clock_ms
 * @fd: its socket, which stays open while the connection is listed
 * @requests: requests begun and not completed, 0 or 1
 * @ended: no more is read from it; requests that were are refused
 * @link: place in the server's list
 */
typedef struct conn
{
  unsigned long long accepted_at;
  int fd;
  unsigned int requests;
  int ended;
  LIST_ENTRY (conn) link;
} conn_t;

/**
 * struct httpd - a server
 * @mhd: the library's server
 * @fn, @ctx: callback for requests and its first argument
 * @max_body: longest request body, in bytes
 * @blocking: one thread per connection; the callback replies before it returns
 * @silent: a descriptor that is never readable, which takes the place of the
 *   listening socket's at a stop; -1 when blocking
 * @open_requests: requests begun and not completed
 * @closing: httpd_set_closing or httpd_quiesce was called
 * @nconns: connections in @conns
 * @lock: protects the members that follow, and @requests and @ended of the
 *   connections
 * @conns: the open connections
 * @quiesced: httpd_quiesce was called
 */
struct httpd
{
  struct MHD_Daemon *mhd;
  httpd_fn_t fn;
  void *ctx;
  size_t max_body;
  int blocking;
  int silent;
  unsigned int open_requests;
  unsigned int closing;
  unsigned int nconns;
  pthread_mutex_t lock;
  LIST_HEAD (, conn) conns;
  int quiesced;
};

int
split_addr (const char *addr, struct sockaddr_in *out)
{
  char ip[64];
  const char *colon = strrchr (addr, ':');
  char *end;
  long port;

  if (!colon || (size_t)(colon - addr) >= sizeof ip)
    return -1;
  memcpy (ip, addr, (size_t)(colon - addr));
  ip[colon - addr] = 0;
  port = strtol (colon + 1, &end, 10);
  if (*end || end == colon + 1 || port < 1 || port > 65535)
    return -1;
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

/* ---- connections ---- */

/* NULL if there was no memory for it. */
static conn_t *
conn_of (struct MHD_Connection *c)
{
  const union MHD_ConnectionInfo *i
      = MHD_get_connection_info (c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return i ? i->socket_context : NULL;
}

/* Has the library read the end of the data, and close, if the connection has
   no request.  If a header's end has arrived and is not read yet, a request
   begins, whose completion brings this here again.  A request that begins
   nevertheless is refused: when a connection is resumed, the library reads
   first, and drops the answer if it finds the end.  Called with the lock
   held. */
static void
end_if_idle (conn_t *k)
{
  char unread[HEADER_LOOK];
  ssize_t n;

  if (k->requests)
    return;
  n = recv (k->fd, unread, sizeof unread, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0 && memmem (unread, (size_t)n, "\r\n\r\n", 4))
    return;
  k->ended = 1;
  /* The library reads once for an event; behind a part of a header it would
     not see the end, but it sees that both directions are shut down.
     ENOTCONN: the client has reset the connection. */
  if (shutdown (k->fd, n > 0 ? SHUT_RDWR : SHUT_RD) && errno != ENOTCONN)
    log_error ("http_shutdown_failed errno=%d", errno);
}

static void
conn_open (httpd_t *h, struct MHD_Connection *c, void **socket_context)
{
  const union MHD_ConnectionInfo *i
      = MHD_get_connection_info (c, MHD_CONNECTION_INFO_CONNECTION_FD);
  conn_t *k = calloc (1, sizeof *k);

  *socket_context = k;
  if (!k || !i)
    {
      log_error ("http_connection_refused out_of_memory=%d", !k);
      if (i)
        shutdown (i->connect_fd, SHUT_RDWR);
      free (k);
      *socket_context = NULL;
      return;
    }
  k->accepted_at = clock_ms ();
  k->fd = i->connect_fd;
  pthread_mutex_lock (&h->lock);
  LIST_INSERT_HEAD (&h->conns, k, link);
  ck_pr_inc_uint (&h->nconns);
  /* The library may have accepted it just before it was told to stop. */
  if (h->quiesced)
    end_if_idle (k);
  pthread_mutex_unlock (&h->lock);
}

/* The library closes the socket after this. */
static void
conn_closed (httpd_t *h, conn_t *k)
{
  pthread_mutex_lock (&h->lock);
  LIST_REMOVE (k, link);
  ck_pr_dec_uint (&h->nconns);
  pthread_mutex_unlock (&h->lock);
  free (k);
}

static void
on_connection (void *cls, struct MHD_Connection *c, void **socket_context,
               enum MHD_ConnectionNotificationCode code)
{
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    conn_open (cls, c, socket_context);
  else if (*socket_context)
    conn_closed (cls, *socket_context);
}

static void
request_begun (httpd_call_t *call, conn_t *k)
{
  httpd_t *h = call->server;

  ck_pr_inc_uint (&h->open_requests);
  pthread_mutex_lock (&h->lock);
  k->requests++;
  if (k->ended)
    call->state = CALL_REFUSED;
  pthread_mutex_unlock (&h->lock);
}

static void
request_completed (httpd_t *h, conn_t *k)
{
  pthread_mutex_lock (&h->lock);
  k->requests--;
  /* The answer may have been queued without "Connection: close". */
  if (h->quiesced)
    end_if_idle (k);
  pthread_mutex_unlock (&h->lock);
  ck_pr_dec_uint (&h->open_requests);
}

/* ---- requests ---- */

static void
add_header (struct MHD_Response *r, const char *name, const char *value)
{
  if (MHD_add_response_header (r, name, value) != MHD_YES)
    log_error ("http_header_left_out name=%s", name);
}

static enum MHD_Result
queue_response (struct MHD_Connection *c, httpd_call_t *call)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (
      call->reply_len, call->reply, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result rc;

  if (!r)
    {
      log_error ("http_answer_dropped status=%d why=\"out of memory\"",
                 call->status);
      return MHD_NO;
    }
  if (call->content_type[0])
    add_header (r, "Content-Type", call->content_type);
  if (ck_pr_load_uint (&call->server->closing))
    add_header (r, MHD_HTTP_HEADER_CONNECTION, "close");
  for (int i = 0; i < call->nheaders; i++)
    {
      char *colon = strchr (call->headers[i], ':');
      if (!colon)
        continue;
      *colon = 0;
      add_header (r, call->headers[i], colon + 2);
    }
  rc = MHD_queue_response (c, (unsigned int)call->status, r);
  if (rc != MHD_YES)
    log_error ("http_answer_dropped status=%d why=\"not queued\"",
               call->status);
  MHD_destroy_response (r);
  return rc;
}

/* Sets *@n to 0, which tells the library that all of the data was used. */
static enum MHD_Result
append_body (httpd_call_t *call, const char *data, size_t *n)
{
  if (call->state == CALL_READING && call->len + *n > call->server->max_body)
    call->state = CALL_TOO_LONG;
  else if (call->state == CALL_READING)
    {
      char *b = realloc (call->body, call->len + *n + 1);
      if (!b)
        {
          log_error ("http_request_dropped why=\"out of memory\"");
          return MHD_NO;
        }
      memcpy (b + call->len, data, *n);
      call->body = b;
      call->len += *n;
      b[call->len] = 0;
    }
  *n = 0;
  return MHD_YES;
}

/* The library calls this once for the request's headers, then for each part of
   its body, and last with *@n 0, when the request is complete. */
static enum MHD_Result
on_request (void *cls, struct MHD_Connection *c, const char *url,
            const char *method, const char *version, const char *data,
            size_t *n, void **state)
{
  httpd_t *h = cls;
  httpd_call_t *call = *state;

  (void)version;
  if (!call)
    {
      conn_t *k = conn_of (c);

      call = k ? calloc (1, sizeof *call) : NULL;
      if (!call)
        {
          log_error ("http_request_dropped why=\"out of memory\"");
          return MHD_NO;
        }
      call->server = h;
      request_begun (call, k);
      call->conn = c;
      *state = call;
      return MHD_YES;
    }
  if (*n)
    return append_body (call, data, n);
  call->method = method;
  call->path = url;
  if (call->state == CALL_TOO_LONG)
    httpd_text (call, 413,
                "{\"error\":\"too_long\",\"reason\":\"the body is longer "
                "than %zu bytes\"}\n",
                h->max_body);
  else if (call->state == CALL_REFUSED)
    {
      httpd_add_header (call, "Retry-After: 1");
      httpd_text (call, 503, "{\"error\":\"stopping\",\"not_run\":true}\n");
    }
  else if (call->state == CALL_READING)
    {
      call->state = CALL_PASSED_ON;
      if (!h->blocking)
        MHD_suspend_connection (c);
      h->fn (h->ctx, call);
      if (!h->blocking)
        return MHD_YES;
    }
  return queue_response (c, call);
}

/* The response was sent, or the connection was lost. */
static void
on_completed (void *cls, struct MHD_Connection *c, void **state,
              enum MHD_RequestTerminationCode code)
{
  httpd_call_t *call = *state;

  (void)cls;
  (void)code;
  if (!call)
    return;
  request_completed (call->server, conn_of (c));
  free (call->body);
  free (call->reply);
  free (call);
  *state = NULL;
}

unsigned long long
httpd_connected_at (httpd_call_t *call)
{
  const conn_t *k = conn_of (call->conn);

  return k ? k->accepted_at : 0;
}

httpd_t *
httpd_new (const char *addr, size_t max_body, unsigned int max_conns,
           unsigned int threads, httpd_fn_t fn, void *ctx)
{
  httpd_t *h = calloc (1, sizeof *h);
  struct sockaddr_in sa;
  unsigned int flags;

  if (!h)
    return NULL;
  if (split_addr (addr, &sa) || pthread_mutex_init (&h->lock, NULL))
    goto free_server;
  LIST_INIT (&h->conns);
  h->silent = -1;
  h->fn = fn;
  h->ctx = ctx;
  h->max_body = max_body;
  h->blocking = !threads;
  if (!h->blocking && (h->silent = eventfd (0, EFD_CLOEXEC)) < 0)
    goto destroy_lock;
  flags = threads ? MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME
                  : MHD_USE_THREAD_PER_CONNECTION
                        | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
  if (threads > 1)
    h->mhd = MHD_start_daemon (
        flags, 0, NULL, NULL, on_request, h, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_CONNECTION_LIMIT, max_conns, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_THREAD_POOL_SIZE,
        threads, MHD_OPTION_END);
  else
    h->mhd = MHD_start_daemon (
        flags, 0, NULL, NULL, on_request, h, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_CONNECTION_LIMIT, max_conns, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_S, MHD_OPTION_END);
  if (!h->mhd)
    goto close_silent;
  return h;

close_silent:
  if (h->silent >= 0)
    close (h->silent);
destroy_lock:
  pthread_mutex_destroy (&h->lock);
free_server:
  free (h);
  return NULL;
}

void
httpd_set_closing (httpd_t *h)
{
  ck_pr_store_uint (&h->closing, 1);
}

/* With epoll, MHD_quiesce_daemon and the server's thread may both remove the
   listening socket from the epoll set; the second to do so aborts the process.
   So the library is not told: its descriptor becomes another file, which
   closes the socket and thereby removes it from the set. */
static void
stop_listening (httpd_t *h)
{
  const union MHD_DaemonInfo *i
      = MHD_get_daemon_info (h->mhd, MHD_DAEMON_INFO_LISTEN_FD);
  int fd = h->blocking ? MHD_quiesce_daemon (h->mhd) : -1;

  if (fd >= 0)
    {
      /* A thread that waits for it keeps the socket open for a while. */
      shutdown (fd, SHUT_RDWR);
      close (fd);
    }
  else if (h->blocking || !i || dup3 (h->silent, i->listen_fd, O_CLOEXEC) < 0)
    log_error ("http_quiesce_failed errno=%d", errno);
}

void
httpd_quiesce (httpd_t *h)
{
  httpd_set_closing (h);
  stop_listening (h);
  pthread_mutex_lock (&h->lock);
  h->quiesced = 1;
  for (conn_t *k = LIST_FIRST (&h->conns); k; k = LIST_NEXT (k, link))
    end_if_idle (k);
  pthread_mutex_unlock (&h->lock);
}

unsigned int
httpd_connections (const httpd_t *h)
{
  return ck_pr_load_uint (&h->nconns);
}

unsigned int
httpd_open_requests (httpd_t *h)
{
  return ck_pr_load_uint (&h->open_requests);
}

void
httpd_free (httpd_t *h)
{
  if (!h)
    return;
  MHD_stop_daemon (h->mhd);
  if (h->silent >= 0)
    close (h->silent);
  pthread_mutex_destroy (&h->lock);
  free (h);
}

const char *
httpd_header (httpd_call_t *call, const char *name)
{
  return MHD_lookup_connection_value (call->conn, MHD_HEADER_KIND, name);
}

const char *
httpd_query (httpd_call_t *call, const char *name)
{
  return MHD_lookup_connection_value (call->conn, MHD_GET_ARGUMENT_KIND, name);
}

void
httpd_add_header (httpd_call_t *call, const char *fmt, ...)
{
  va_list ap;

  if (call->nheaders == 4)
    return;
  va_start (ap, fmt);
  vsnprintf (call->headers[call->nheaders++], sizeof call->headers[0], fmt,
             ap);
  va_end (ap);
}

void
httpd_reply (httpd_call_t *call, int status, const char *type, char *body,
             size_t len)
{
  call->status = status;
  call->reply = body;
  call->reply_len = body ? len : 0;
  snprintf (call->content_type, sizeof call->content_type, "%s",
            type ? type : "");
  if (call->state == CALL_PASSED_ON && !call->server->blocking)
    {
      call->state = CALL_REPLIED;
      MHD_resume_connection (call->conn);
    }
  else
    call->state = CALL_REPLIED;
}

void
httpd_text (httpd_call_t *call, int status, const char *fmt, ...)
{
  char *body = NULL;
  va_list ap;
  int n;

  va_start (ap, fmt);
  n = vasprintf (&body, fmt, ap);
  va_end (ap);
  if (n < 0)
    {
      log_error ("http_answer_cut status=%d why=\"out of memory\"", status);
      body = NULL;
    }
  httpd_reply (call, status, "application/json", body, n > 0 ? (size_t)n : 0);
}
