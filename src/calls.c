/*
 * calls.c -- HTTP client for many small calls to many hosts
 *
 * The owner of a cell makes thousands of calls a second to hundreds of
 * workers, and the general client in httpc.c would spend most of the owner's
 * processor time on them.  This one keeps a pool of connections for each host
 * and drives them with libevent on one thread.  Other threads hand calls over
 * through a ring and wake the thread if it waits.
 *
 * A connection carries one call at a time.  Further calls to the same host
 * open more connections, up to a limit, and then wait for one to become idle.
 * A call that ends without a response closes its connection.  Nothing is ever
 * sent again here: the caller has to find out whether a call without a
 * response was executed.
 */
#include "calls.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "handover.h"
#include "loop.h"
#include "names.h"

/* Capacity in calls of the ring to the thread; a power of two. */
#define QUEUE_SLOTS 8192
/* How often the timeout of a call starts again while the response is still
   arriving: a large response on a slow link takes longer than the timeout,
   which is meant for small ones. */
#define EXTENSIONS_MAX 20
/* Kinds of calls whose bytes are counted; further ones count as the last. */
#define KINDS_MAX 16
/* Bytes of a request beside its path, address, own headers and body. */
#define REQUEST_LINES_BYTES 50
/* Longest response body that is accepted, in bytes: more than a page of the
   store, which has 1 MB of values and up to one value of 1 MB more, as base64
   text. */
#define BODY_MAX (4 * 1024 * 1024)

typedef struct host host_t;

/** struct kind_t - what calls of one kind, the first part of their path, have
    carried; the thread writes, others read */
typedef struct
{
  char name[24];
  uint64_t calls;
  uint64_t bytes_out;
  uint64_t bytes_in;
} kind_t;

/**
 * struct conn_t - a connection
 * @http: libevent's connection
 * @generation: value of the client's generation when it was opened
 * @next: next connection on the host's idle list or the client's dead list
 */
typedef struct conn
{
  unsigned int generation;
  struct conn *next;
  struct evhttp_connection *http;
  host_t *host;
} conn_t;

/**
 * struct host - a host that was called; kept until calls_free, since hosts
 * are few
 * @addr: "IP:port"; the key in host_names
 * @next: next on the client's list of hosts
 * @idle: list of idle connections
 * @nconns: number of connections, idle or not
 * @wait_head, @wait_tail: queue of calls that wait for a connection, linked
 *   by wait_next
 */
struct host
{
  char addr[64];
  host_t *next;
  conn_t *idle;
  int nconns;
  struct call *wait_head;
  struct call *wait_tail;
};

/**
 * struct call_t - a call
 * @prev, @next: links of the client's list of open calls
 * @wait_next: next call on the host's queue for a connection
 * @host: NULL until @not_before
 * @conn: NULL until the call is sent
 * @req: libevent's request, which libevent frees; set when the call is sent
 * @timer: fires at @not_before, then when the timeout expires
 * @headers, @nheaders: copies of the "Name: value" lines
 * @received: bytes of the response when the timeout last expired
 * @extensions: how often the timeout has started again
 *
 * The other members are the arguments of calls_send, copied.
 */
typedef struct call
{
  struct call *prev;
  struct call *next;
  struct call *wait_next;
  calls_t *client;
  host_t *host;
  conn_t *conn;
  struct evhttp_request *req;
  struct event *timer;
  char addr[64];
  char *path;
  char **headers;
  size_t nheaders;
  char *body;
  size_t len;
  enum evhttp_cmd_type method;
  gl_ms_t timeout;
  gl_ms_t not_before;
  size_t received;
  int extensions;
  int fresh_conn;
  httpc_done_t done;
  void *ctx;
} call_t;

/**
 * struct calls - the client
 * @base: libevent's event loop, run by @thread
 * @wake_event: libevent's event for @wake_fd
 * @wake_fd: event descriptor that ends the thread's wait
 * @sleeping: the thread waits or is about to, so a new call must wake it
 * @quit: the thread must end
 * @generation: number of retirements; older connections are not reused
 * @host_names: host_t by address
 * @open: calls that the thread has taken and that have not ended
 * @dead: broken connections, to be freed once libevent no longer uses them
 * @kinds, @nkinds: bytes by kind of call, which other threads read
 * @ring, @slots: calls on their way from other threads to the thread
 *
 * @sleeping, @quit, @generation and @ring are shared between threads; all else
 * belongs to the thread.
 */
struct calls
{
  struct event_base *base;
  struct event *wake_event;
  int wake_fd;
  unsigned int sleeping;
  unsigned int quit;
  unsigned int generation;
  int max_conns_per_host;
  pthread_t thread;
  names_t host_names;
  host_t *hosts;
  call_t *open;
  conn_t *dead;
  kind_t kinds[KINDS_MAX];
  unsigned int nkinds;
  ck_ring_t ring;
  ck_ring_buffer_t slots[QUEUE_SLOTS];
};

/* ---- one call ---- */

static void
call_free (call_t *k)
{
  if (k->timer)
    event_free (k->timer);
  for (size_t i = 0; i < k->nheaders; i++)
    free (k->headers[i]);
  free (k->headers);
  free (k->path);
  free (k->body);
  free (k);
}

static int
copy_headers (call_t *k, const char *const *headers)
{
  size_t n = 0;

  while (headers && headers[n])
    n++;
  k->headers = calloc (n + 1, sizeof *k->headers);
  if (!k->headers)
    return -1;
  for (; k->nheaders < n; k->nheaders++)
    if (!(k->headers[k->nheaders] = strdup (headers[k->nheaders])))
      return -1;
  return 0;
}

static call_t *
call_new (calls_t *c, const char *addr, const char *path,
          const httpc_request_t *r)
{
  call_t *k = calloc (1, sizeof *k);

  if (!k)
    return NULL;
  k->client = c;
  k->path = strdup (path);
  k->body = malloc (r->len + 1);
  if (!k->path || !k->body || strlen (addr) >= sizeof k->addr
      || copy_headers (k, r->headers))
    {
      call_free (k);
      return NULL;
    }
  if (r->len)
    memcpy (k->body, r->body, r->len);
  k->len = r->len;
  strcpy (k->addr, addr);
  k->method = !strcmp (r->method, "POST")     ? EVHTTP_REQ_POST
              : !strcmp (r->method, "DELETE") ? EVHTTP_REQ_DELETE
                                              : EVHTTP_REQ_GET;
  k->timeout = r->timeout;
  k->not_before = r->not_before;
  k->fresh_conn = r->fresh_conn;
  k->done = r->done;
  k->ctx = r->ctx;
  return k;
}

static void
open_insert (calls_t *c, call_t *k)
{
  k->next = c->open;
  if (c->open)
    c->open->prev = k;
  c->open = k;
}

static void
open_remove (calls_t *c, call_t *k)
{
  if (k->prev)
    k->prev->next = k->next;
  else
    c->open = k->next;
  if (k->next)
    k->next->prev = k->prev;
}

static void
call_finish (call_t *k, httpc_result_t *res)
{
  open_remove (k->client, k);
  k->done (k->ctx, res);
  call_free (k);
}

/* ---- counts ---- */

static kind_t *
kind_of (calls_t *c, const char *path)
{
  char name[sizeof c->kinds->name];
  size_t len = strcspn (path + 1, "/?");
  unsigned int n = c->nkinds;

  snprintf (name, sizeof name, "%.*s", (int)len, path + 1);
  for (unsigned int i = 0; i < n; i++)
    if (!strcmp (c->kinds[i].name, name))
      return &c->kinds[i];
  if (n == KINDS_MAX)
    return &c->kinds[KINDS_MAX - 1];
  memcpy (c->kinds[n].name, name, sizeof name);
  ck_pr_fence_store ();
  ck_pr_store_uint (&c->nkinds, n + 1);
  return &c->kinds[n];
}

/* Count a call that is sent: its request line, headers and body. */
static void
count_sent (calls_t *c, const call_t *k)
{
  kind_t *kind = kind_of (c, k->path);
  size_t n
      = REQUEST_LINES_BYTES + strlen (k->path) + strlen (k->addr) + k->len;

  for (size_t i = 0; i < k->nheaders; i++)
    n += strlen (k->headers[i]);
  ck_pr_inc_64 (&kind->calls);
  ck_pr_add_64 (&kind->bytes_out, n);
}

static void
count_received (calls_t *c, const call_t *k, const httpc_result_t *res)
{
  ck_pr_add_64 (&kind_of (c, k->path)->bytes_in, res->len);
}

void
calls_metrics (const calls_t *c, text_t *t)
{
  unsigned int n = ck_pr_load_uint (&c->nkinds);

  for (unsigned int i = 0; i < n; i++)
    {
      const kind_t *k = &c->kinds[i];

      text_add (t,
                "cell_http_calls{call=\"%s\"} %llu\n"
                "cell_http_bytes{call=\"%s\",direction=\"out\"} %llu\n"
                "cell_http_bytes{call=\"%s\",direction=\"in\"} %llu\n",
                k->name, (unsigned long long)ck_pr_load_64 (&k->calls),
                k->name, (unsigned long long)ck_pr_load_64 (&k->bytes_out),
                k->name, (unsigned long long)ck_pr_load_64 (&k->bytes_in));
    }
}

/* ---- connections ---- */

static host_t *
host_get (calls_t *c, const char *addr)
{
  host_t *h = (host_t *)names_get (&c->host_names, addr);

  if (h)
    return h;
  h = calloc (1, sizeof *h);
  if (!h)
    return NULL;
  snprintf (h->addr, sizeof h->addr, "%s", addr);
  if (names_put (&c->host_names, h->addr, (uintptr_t)h))
    {
      free (h);
      return NULL;
    }
  h->next = c->hosts;
  c->hosts = h;
  return h;
}

static conn_t *
conn_new (calls_t *c, host_t *h)
{
  conn_t *n = calloc (1, sizeof *n);
  char ip[sizeof h->addr];
  char *port;

  snprintf (ip, sizeof ip, "%s", h->addr);
  port = strrchr (ip, ':');
  if (!n || !port)
    goto fail;
  *port++ = 0;
  n->host = h;
  n->generation = ck_pr_load_uint (&c->generation);
  h->nconns++;
  n->http = evhttp_connection_base_new (c->base, NULL, ip,
                                        (unsigned short)atoi (port));
  if (!n->http)
    goto fail;
  evhttp_connection_set_max_body_size (n->http, BODY_MAX);
  return n;

fail:
  if (n && n->host)
    h->nconns--;
  free (n);
  return NULL;
}

static void
conn_free (conn_t *n)
{
  n->host->nconns--;
  evhttp_connection_free (n->http);
  free (n);
}

/* An idle connection of the present generation, or a new one; NULL when the
   limit is reached or on failure.  For a fresh connection an idle one is
   closed, so that the limit leaves room for it. */
static conn_t *
conn_acquire (calls_t *c, host_t *h, int fresh)
{
  conn_t *n;

  while ((n = h->idle))
    {
      h->idle = n->next;
      if (!fresh && n->generation == ck_pr_load_uint (&c->generation))
        return n;
      conn_free (n);
      if (fresh)
        break;
    }
  return h->nconns >= c->max_conns_per_host ? NULL : conn_new (c, h);
}

static void
conn_release (conn_t *n)
{
  n->next = n->host->idle;
  n->host->idle = n;
}

static void
free_conns (conn_t **list)
{
  while (*list)
    {
      conn_t *n = *list;

      *list = n->next;
      conn_free (n);
    }
}

static int arm_timer (calls_t *c, call_t *k, gl_ms_t wait,
                      event_callback_fn fn);
static void send_waiting (calls_t *c, host_t *h);

/* ---- responses ---- */

static void
read_response (struct evhttp_request *req, httpc_result_t *res)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (req);
  size_t len = evbuffer_get_length (in);

  res->status = evhttp_request_get_response_code (req);
  res->body = malloc (len + 1);
  if (!res->body)
    return;
  evbuffer_copyout (in, res->body, len);
  res->body[len] = 0;
  res->len = len;
  res->outcome = HTTPC_COMPLETE;
}

/* libevent passes NULL as @req when the connection broke, and a @req without a
   status when the connection could not be opened. */
static void
on_response (struct evhttp_request *req, void *ctx)
{
  call_t *k = ctx;
  calls_t *c;
  host_t *h;
  httpc_result_t res = { .outcome = HTTPC_UNKNOWN };

  if (req && evhttp_request_get_response_code (req))
    read_response (req, &res);
  else if (req)
    res.outcome = HTTPC_NOT_SENT;
  c = k->client;
  h = k->host;
  count_received (c, k, &res);
  if (res.outcome == HTTPC_COMPLETE)
    conn_release (k->conn);
  else
    {
      /* libevent uses the connection until this callback has returned. */
      k->conn->next = c->dead;
      c->dead = k->conn;
    }
  call_finish (k, &res);
  free (res.body);
  send_waiting (c, h);
}

static void
waiting_remove (call_t *k)
{
  call_t **at = &k->host->wait_head;
  call_t *before = NULL;

  while (*at && *at != k)
    {
      before = *at;
      at = &before->wait_next;
    }
  if (!*at)
    return;
  *at = k->wait_next;
  if (k->host->wait_tail == k)
    k->host->wait_tail = before;
}

/* End a call without a response, and report @res; its outcome becomes
   HTTPC_NOT_SENT if the call was not sent. */
static void
call_abort (call_t *k, httpc_result_t *res)
{
  if (k->conn)
    {
      evhttp_cancel_request (k->req);
      conn_free (k->conn);
    }
  else
    {
      if (k->host)
        waiting_remove (k);
      res->outcome = HTTPC_NOT_SENT;
    }
  call_finish (k, res);
}

/* Bytes of the response received so far.  libevent moves a body from the
   buffer of the connection to that of the request once it is complete. */
static size_t
bytes_received (const call_t *k)
{
  struct bufferevent *b = evhttp_connection_get_bufferevent (k->conn->http);

  return evbuffer_get_length (evhttp_request_get_input_buffer (k->req))
         + evbuffer_get_length (bufferevent_get_input (b));
}

/* 1 if more of the response has arrived since the last check, and the timeout
   may start again. */
static int
may_extend (call_t *k)
{
  size_t n = k->conn ? bytes_received (k) : 0;

  if (n <= k->received || k->extensions == EXTENSIONS_MAX)
    return 0;
  k->received = n;
  k->extensions++;
  return 1;
}

static void
on_timeout (evutil_socket_t fd, short what, void *ctx)
{
  call_t *k = ctx;
  calls_t *c = k->client;
  host_t *h = k->host;
  httpc_result_t res = { .outcome = HTTPC_UNKNOWN, .timed_out = 1 };

  (void)fd;
  (void)what;
  if (may_extend (k) && !arm_timer (c, k, k->timeout, on_timeout))
    return;
  call_abort (k, &res);
  send_waiting (c, h);
}

/* ---- sending ---- */

static void
add_headers (const call_t *k, struct evhttp_request *req)
{
  struct evkeyvalq *out = evhttp_request_get_output_headers (req);

  evhttp_add_header (out, "host", k->addr);
  for (size_t i = 0; i < k->nheaders; i++)
    {
      char *colon = strchr (k->headers[i], ':');

      if (!colon)
        continue;
      *colon = 0;
      evhttp_add_header (out, k->headers[i],
                         colon + 1 + strspn (colon + 1, " "));
    }
}

/* Call @fn once, after @wait milliseconds; replaces the timer that was set
   before.  -1 on failure. */
static int
arm_timer (calls_t *c, call_t *k, gl_ms_t wait, event_callback_fn fn)
{
  struct timeval span
      = { (time_t)(wait / 1000), (suseconds_t)(wait % 1000) * 1000 };

  if (k->timer)
    event_free (k->timer);
  k->timer = evtimer_new (c->base, fn, k);
  return k->timer ? evtimer_add (k->timer, &span) : -1;
}

/* Send a call on its connection; -1 on failure. */
static int
call_send (call_t *k)
{
  k->req = evhttp_request_new (on_response, k);
  if (!k->req)
    return -1;
  count_sent (k->client, k);
  add_headers (k, k->req);
  if (k->len)
    evbuffer_add (evhttp_request_get_output_buffer (k->req), k->body, k->len);
  return evhttp_make_request (k->conn->http, k->req, k->method, k->path);
}

/* Send the host's waiting calls until no connection is free. */
static void
send_waiting (calls_t *c, host_t *h)
{
  httpc_result_t not_sent = { .outcome = HTTPC_NOT_SENT };

  while (h->wait_head)
    {
      call_t *k = h->wait_head;

      k->conn = conn_acquire (c, h, k->fresh_conn);
      if (!k->conn)
        return;
      waiting_remove (k);
      if (!call_send (k))
        continue;
      conn_free (k->conn);
      call_finish (k, &not_sent);
    }
}

/* Start the timeout of a call, and queue it for a connection. */
static void
start_call (calls_t *c, call_t *k)
{
  httpc_result_t not_sent = { .outcome = HTTPC_NOT_SENT };

  k->host = host_get (c, k->addr);
  if (!k->host || arm_timer (c, k, k->timeout, on_timeout))
    {
      call_finish (k, &not_sent);
      return;
    }
  if (k->host->wait_tail)
    k->host->wait_tail->wait_next = k;
  else
    k->host->wait_head = k;
  k->host->wait_tail = k;
  send_waiting (c, k->host);
}

static void
on_not_before (evutil_socket_t fd, short what, void *ctx)
{
  call_t *k = ctx;

  (void)fd;
  (void)what;
  start_call (k->client, k);
}

static void
accept_call (calls_t *c, call_t *k)
{
  httpc_result_t not_sent = { .outcome = HTTPC_NOT_SENT };
  gl_ms_t now = clock_ms ();

  open_insert (c, k);
  if (k->not_before <= now)
    start_call (c, k);
  else if (arm_timer (c, k, k->not_before - now, on_not_before))
    call_finish (k, &not_sent);
}

/* ---- the thread ---- */

static void
drain_ring (calls_t *c)
{
  void *item;

  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    {
      HANDOVER_IN (item);
      accept_call (c, item);
    }
}

static void
on_wake (evutil_socket_t fd, short what, void *ctx)
{
  uint64_t count;

  (void)what;
  (void)ctx;
  if (read (fd, &count, sizeof count) < 0)
    return;
}

static void
free_dead (calls_t *c)
{
  while (c->dead)
    {
      conn_t *n = c->dead;
      host_t *h = n->host;

      c->dead = n->next;
      conn_free (n);
      send_waiting (c, h);
    }
}

static void *
thread_main (void *ctx)
{
  calls_t *c = ctx;

  while (!ck_pr_load_uint (&c->quit))
    {
      free_dead (c);
      drain_ring (c);
      ck_pr_store_uint (&c->sleeping, 1);
      ck_pr_fence_memory ();
      event_base_loop (c->base,
                       EVLOOP_ONCE
                           | (ck_ring_size (&c->ring) ? EVLOOP_NONBLOCK : 0));
      ck_pr_store_uint (&c->sleeping, 0);
    }
  return NULL;
}

static void
wake_up (calls_t *c)
{
  uint64_t one = 1;

  /* A write only fails when the counter is full, which wakes the thread as
     well. */
  if (write (c->wake_fd, &one, sizeof one) < 0)
    return;
}

/* ---- interface ---- */

int
calls_send (calls_t *c, const char *addr, const char *path,
            const httpc_request_t *r)
{
  call_t *k = call_new (c, addr, path, r);

  if (!k)
    return -1;
  HANDOVER_OUT (k);
  if (!ck_ring_enqueue_mpsc (&c->ring, c->slots, k))
    {
      call_free (k);
      return -1;
    }
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&c->sleeping) && ck_pr_cas_uint (&c->sleeping, 1, 0))
    wake_up (c);
  return 0;
}

void
calls_retire_conns (calls_t *c)
{
  ck_pr_inc_uint (&c->generation);
}

/* With the changelist, libevent collects changes of the descriptors' events
   and passes them to the kernel together, before it waits. */
static struct event_base *
base_new (void)
{
  struct event_config *cfg = event_config_new ();
  struct event_base *base = NULL;

  if (cfg
      && !event_config_set_flag (cfg, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST))
    base = event_base_new_with_config (cfg);
  if (cfg)
    event_config_free (cfg);
  return base;
}

calls_t *
calls_new (int max_conns_per_host)
{
  calls_t *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  ck_ring_init (&c->ring, QUEUE_SLOTS);
  c->max_conns_per_host = max_conns_per_host;
  c->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  c->base = base_new ();
  if (c->wake_fd < 0 || !c->base || names_init (&c->host_names))
    goto fail;
  c->wake_event
      = event_new (c->base, c->wake_fd, EV_READ | EV_PERSIST, on_wake, NULL);
  if (!c->wake_event || event_add (c->wake_event, NULL)
      || pthread_create (&c->thread, NULL, thread_main, c))
    goto fail;
  return c;

fail:
  if (c->wake_event)
    event_free (c->wake_event);
  if (c->base)
    event_base_free (c->base);
  if (c->wake_fd >= 0)
    close (c->wake_fd);
  free (c);
  return NULL;
}

void
calls_free (calls_t *c)
{
  httpc_result_t res = { .outcome = HTTPC_UNKNOWN };
  void *item;

  if (!c)
    return;
  ck_pr_store_uint (&c->quit, 1);
  wake_up (c);
  pthread_join (c->thread, NULL);
  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    {
      call_t *k = item;

      open_insert (c, k);
      call_finish (k, &res);
    }
  while (c->open)
    call_abort (c->open, &res);
  free_conns (&c->dead);
  names_destroy (&c->host_names);
  while (c->hosts)
    {
      host_t *h = c->hosts;

      c->hosts = h->next;
      free_conns (&h->idle);
      free (h);
    }
  event_free (c->wake_event);
  event_base_free (c->base);
  close (c->wake_fd);
  free (c);
}
