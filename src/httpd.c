/*
 * httpd.c -- HTTP server that passes complete requests to a callback
 *
 * A request is passed on when its body is complete.  With a thread pool, its
 * connection is then suspended until the response is ready.
 *
 * A body is reserved in a budget before memory is allocated, by its announced
 * length or as it grows.  One that is announced too long has its response,
 * 413, at its header; one that turns out too long, or that finds no room
 * (503), is read and discarded, so that the client gets its response, up to
 * once more the limit.
 */
#include "httpd.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpdint.h"
#include "logs.h"

/* Seconds after which an idle connection is closed. */
#define IDLE_S 120

/* First allocation for a body of unknown length, which is then doubled. */
#define CHUNKED_FIRST 4096

/* States of a call: the body arrives; the body is too long; the callback has
   it; the response is set; the request is refused; the budget has no room for
   the body. */
#define CALL_READING 0
#define CALL_TOO_LONG 1
#define CALL_PASSED_ON 2
#define CALL_REPLIED 3
#define CALL_REFUSED 4
#define CALL_NO_ROOM 5

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

/* The library has read a request line.  It makes the returned value the
   request's state. */
static void *
on_request_line (void *cls, const char *uri, struct MHD_Connection *c)
{
  httpd_t *h = cls;
  conn_t *k = conn_of (c);

  (void)uri;
  if (k)
    {
      pthread_mutex_lock (&h->lock);
      conn_set_stage (k, STAGE_HEADER);
      pthread_mutex_unlock (&h->lock);
    }
  return NULL;
}

/* Sets the request's state by the length that it announces, and reserves and
   allocates room for its body. */
static void
admit_body (httpd_call_t *call, const char *announced)
{
  httpd_t *h = call->server;
  unsigned long long n = announced ? strtoull (announced, NULL, 10) : 0;

  if (n > h->limits.max_body)
    {
      call->state = CALL_TOO_LONG;
      h->counts.too_long++;
    }
  else if (n && conn_reserve (h, call, (size_t)n + h->limits.request_cost))
    {
      call->state = CALL_NO_ROOM;
      h->counts.no_room++;
    }
  else if (n && !(call->body = malloc ((size_t)n + 1)))
    {
      conn_release_body (call);
      call->state = CALL_NO_ROOM;
      h->counts.no_room++;
    }
  else
    call->cap = (size_t)n;
}

static void
request_begun (httpd_call_t *call, conn_t *k, const char *announced)
{
  httpd_t *h = call->server;

  ck_pr_inc_uint (&h->open_requests);
  pthread_mutex_lock (&h->lock);
  k->requests++;
  conn_set_stage (k, STAGE_BODY);
  if (k->ended)
    call->state = CALL_REFUSED;
  else
    admit_body (call, announced);
  k->call = call;
  pthread_mutex_unlock (&h->lock);
}

/* The callback gets the request, or its response is sent.  Returns -1 if the
   connection was cut before. */
static int
enter_stage (httpd_call_t *call, stage_t stage)
{
  httpd_t *h = call->server;
  conn_t *k = conn_of (call->conn);
  int rc;

  pthread_mutex_lock (&h->lock);
  conn_set_stage (k, stage);
  k->call = stage == STAGE_RUNNING ? NULL : call;
  rc = k->cut ? -1 : 0;
  pthread_mutex_unlock (&h->lock);
  return rc;
}

static void
request_completed (httpd_t *h, conn_t *k)
{
  pthread_mutex_lock (&h->lock);
  k->requests--;
  k->call = NULL;
  conn_set_stage (k, STAGE_IDLE);
  /* The answer may have been queued without "Connection: close". */
  if (h->quiesced)
    conn_end_if_idle (k);
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
      call->reply_len, call->reply, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result rc;

  if (r)
    call->reply = NULL;
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
  enter_stage (call, STAGE_REPLYING);
  rc = MHD_queue_response (c, (unsigned int)call->status, r);
  if (rc != MHD_YES)
    log_error ("http_answer_dropped status=%d why=\"not queued\"",
               call->status);
  MHD_destroy_response (r);
  return rc;
}

/* Has room for @n more bytes; 0, or -1. */
static int
grow_body (httpd_call_t *call, size_t n)
{
  httpd_t *h = call->server;
  size_t cap = call->cap ? call->cap : CHUNKED_FIRST;
  size_t more;
  char *b;

  while (cap < call->len + n)
    cap *= 2;
  if (cap > h->limits.max_body)
    cap = h->limits.max_body;
  more = cap - call->cap + (call->cap ? 0 : h->limits.request_cost);
  if (conn_reserve (h, call, more))
    return -1;
  if (!(b = realloc (call->body, cap + 1)))
    return -1;
  call->body = b;
  call->cap = cap;
  return 0;
}

/* Called with the lock held. */
static void
take_part (httpd_call_t *call, const char *data, size_t n)
{
  httpd_t *h = call->server;

  if (call->state != CALL_READING)
    return;
  if (call->len + n > h->limits.max_body)
    {
      call->state = CALL_TOO_LONG;
      h->counts.too_long++;
    }
  else if (call->len + n > call->cap && grow_body (call, n))
    {
      call->state = CALL_NO_ROOM;
      h->counts.no_room++;
    }
  else
    {
      memcpy (call->body + call->len, data, n);
      call->len += n;
      call->body[call->len] = 0;
      return;
    }
  conn_release_body (call);
}

/* Sets *@n to 0, which tells the library that all of the data was used. */
static enum MHD_Result
append_body (httpd_call_t *call, const char *data, size_t *n)
{
  httpd_t *h = call->server;
  conn_t *k = conn_of (call->conn);
  enum MHD_Result rc = MHD_YES;

  pthread_mutex_lock (&h->lock);
  k->moved_at = clock_ms ();
  call->received += *n;
  if (k->cut || call->received > 2 * h->limits.max_body)
    rc = MHD_NO;
  else
    take_part (call, data, *n);
  pthread_mutex_unlock (&h->lock);
  *n = 0;
  return rc;
}

static enum MHD_Result
refuse_too_long (struct MHD_Connection *c, httpd_call_t *call)
{
  httpd_text (call, 413,
              "{\"error\":\"too_long\",\"reason\":\"the body is longer "
              "than %zu bytes\"}\n",
              call->server->limits.max_body);
  return queue_response (c, call);
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
      call->conn = c;
      *state = call;
      request_begun (call, k,
                     MHD_lookup_connection_value (
                         c, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH));
      /* The library then reads no body and closes the connection. */
      return call->state == CALL_TOO_LONG ? refuse_too_long (c, call)
                                          : MHD_YES;
    }
  if (*n)
    return append_body (call, data, n);
  call->method = method;
  call->path = url;
  if (call->state == CALL_TOO_LONG)
    return refuse_too_long (c, call);
  if (call->state == CALL_REFUSED || call->state == CALL_NO_ROOM)
    {
      httpd_add_header (call, "Retry-After: 1");
      httpd_add_header (call, "Not-Run: 1");
      httpd_text (call, 503, "{\"error\":\"%s\",\"not_run\":true}\n",
                  call->state == CALL_REFUSED ? "stopping" : "busy");
    }
  else if (call->state == CALL_READING)
    {
      if (enter_stage (call, STAGE_RUNNING))
        return MHD_NO;
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
  httpd_t *h = cls;
  httpd_call_t *call = *state;
  conn_t *k = conn_of (c);

  (void)code;
  if (!call)
    {
      /* The header was not complete. */
      if (k)
        {
          pthread_mutex_lock (&h->lock);
          conn_set_stage (k, STAGE_IDLE);
          pthread_mutex_unlock (&h->lock);
        }
      return;
    }
  request_completed (h, k);
  conn_release_body (call);
  budget_give (call->reply_budget, call->reply_reserved);
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

void
httpd_limits_init (httpd_limits_t *l, size_t max_body, unsigned int max_conns)
{
  *l = (httpd_limits_t){ .max_body = max_body,
                         .max_conns = max_conns,
                         .conn_memory = 32768,
                         .header_ms = 10000,
                         .body_ms = 10000,
                         .reply_ms = 10000,
                         .bytes_per_s = 8192 };
}

/* The lock, and what ends the sweeper's wait; 0, or -1. */
static int
init_locks (httpd_t *h)
{
  pthread_condattr_t attr;

  if (pthread_mutex_init (&h->lock, NULL))
    return -1;
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&h->wake, &attr);
  pthread_condattr_destroy (&attr);
  return 0;
}

httpd_t *
httpd_open (const char *addr, const httpd_limits_t *limits,
            unsigned int threads, httpd_fn_t fn, void *ctx)
{
  httpd_t *h = calloc (1, sizeof *h);
  struct sockaddr_in sa;
  unsigned int flags;
  /* The library accepts some more, so that others can be closed for them. */
  unsigned int max_conns = limits->max_conns + limits->max_conns / 8 + 8;
  struct MHD_OptionItem pool[]
      = { { MHD_OPTION_THREAD_POOL_SIZE, (intptr_t)threads, NULL },
          { MHD_OPTION_END, 0, NULL } };

  if (!h)
    return NULL;
  if (split_addr (addr, &sa) || init_locks (h))
    goto free_server;
  LIST_INIT (&h->conns);
  snprintf (h->addr, sizeof h->addr, "%s", addr);
  h->silent = -1;
  h->fn = fn;
  h->ctx = ctx;
  h->limits = *limits;
  h->blocking = !threads;
  if (!h->blocking && (h->silent = eventfd (0, EFD_CLOEXEC)) < 0)
    goto destroy_lock;
  flags = threads ? MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME
                  : MHD_USE_THREAD_PER_CONNECTION
                        | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
  if (threads < 2)
    pool[0].option = MHD_OPTION_END;
  h->mhd = MHD_start_daemon (flags, 0, NULL, NULL, on_request, h,
                             MHD_OPTION_SOCK_ADDR, &sa,
                             MHD_OPTION_CONNECTION_LIMIT, max_conns,
                             MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                             limits->conn_memory, MHD_OPTION_URI_LOG_CALLBACK,
                             on_request_line, h, MHD_OPTION_NOTIFY_COMPLETED,
                             on_completed, h, MHD_OPTION_NOTIFY_CONNECTION,
                             conn_notify, h, MHD_OPTION_CONNECTION_TIMEOUT,
                             IDLE_S, MHD_OPTION_ARRAY, pool, MHD_OPTION_END);
  if (!h->mhd)
    goto close_silent;
  if (pthread_create (&h->sweeper, NULL, conn_sweep, h))
    goto stop_daemon;
  return h;

stop_daemon:
  MHD_stop_daemon (h->mhd);
close_silent:
  if (h->silent >= 0)
    close (h->silent);
destroy_lock:
  pthread_cond_destroy (&h->wake);
  pthread_mutex_destroy (&h->lock);
free_server:
  free (h);
  return NULL;
}

httpd_t *
httpd_new (const char *addr, size_t max_body, unsigned int max_conns,
           unsigned int threads, httpd_fn_t fn, void *ctx)
{
  httpd_limits_t limits;

  httpd_limits_init (&limits, max_body, max_conns);
  return httpd_open (addr, &limits, threads, fn, ctx);
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
    conn_end_if_idle (k);
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
  pthread_mutex_lock (&h->lock);
  h->freed = 1;
  pthread_cond_signal (&h->wake);
  pthread_mutex_unlock (&h->lock);
  pthread_join (h->sweeper, NULL);
  MHD_stop_daemon (h->mhd);
  if (h->silent >= 0)
    close (h->silent);
  pthread_cond_destroy (&h->wake);
  pthread_mutex_destroy (&h->lock);
  free (h);
}

void
httpd_metrics (httpd_t *h, const char *server, text_t *t)
{
  httpd_counts_t n;

  pthread_mutex_lock (&h->lock);
  n = h->counts;
  pthread_mutex_unlock (&h->lock);
  text_add (t, "http_connections{server=\"%s\"} %u\n", server,
            ck_pr_load_uint (&h->nconns));
  text_add (t, "http_bodies_too_long{server=\"%s\"} %lu\n", server,
            n.too_long);
  text_add (t, "http_bodies_refused{server=\"%s\"} %lu\n", server, n.no_room);
  text_add (t, "http_connections_evicted{server=\"%s\"} %lu\n", server,
            n.evicted);
  text_add (t, "http_bodies_stalled{server=\"%s\"} %lu\n", server, n.stalled);
  text_add (t, "http_headers_slow{server=\"%s\"} %lu\n", server,
            n.slow_headers);
  text_add (t, "http_bodies_slow{server=\"%s\"} %lu\n", server, n.slow_bodies);
  text_add (t, "http_replies_unread{server=\"%s\"} %lu\n", server,
            n.unread_replies);
}

void
httpd_reply_reserved (httpd_call_t *call, budget_t *b, size_t n)
{
  call->reply_budget = b;
  call->reply_reserved = n;
}

void
httpd_drop_body (httpd_call_t *call)
{
  free (call->body);
  call->body = NULL;
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
