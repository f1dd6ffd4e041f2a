/*
 * calls.c -- HTTP client for many small calls to many hosts
 *
 * The load that this answers: an owner makes thousands of calls a second to
 * hundreds of workers, and the general client in httpc.c spends most of the
 * owner's processor time on them.  This one keeps connections by host and
 * runs them on libevent.
 *
 * One call at a time is on a connection; further ones to the same host open
 * more, up to a limit, and then wait for one.  A call that ends without an
 * answer takes its connection with it. Nothing is ever sent again here:
 * whether a call without an answer was executed is for the caller to find out.
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

#define SLOTS 8192
/* How often a call whose answer is still arriving gets its time anew; a large
   answer on a slow link takes longer than a call may wait for a small one. */
#define EXTENSIONS_MAX 20
/* Longest answer that is taken. */
#define BODY_MAX (2 * 1024 * 1024)

typedef struct host host_t;

/** struct conn_t - a connection; @next: the host's next idle one; @age: number
    of retirements when it was made */
typedef struct conn
{
  unsigned int age;
  struct conn *next;
  struct evhttp_connection *http;
  host_t *host;
} conn_t;

/**
 * struct host - where calls go; kept, since workers are few
 * @nconns: its connections, idle or not
 * @first, @last: calls that wait for a connection, linked by later
 */
struct host
{
  char addr[64];
  host_t *next;
  conn_t *idle;
  int nconns;
  struct call *first;
  struct call *last;
};

/** struct call_t - a call; on its way once it has a @conn */
typedef struct call
{
  struct call *prev;
  struct call *next;
  struct call *later;
  calls_t *calls;
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
  size_t arrived; /* bytes of the answer when its time was last over */
  int extended;
  int fresh;
  httpc_done_t done;
  void *ctx;
} call_t;

/**
 * struct calls - the client
 * @asleep: the thread waits, so a call must wake it
 * @open: calls that are out
 * @broken: connections to free once the library has let go of them
 */
struct calls
{
  struct event_base *base;
  struct event *woken;
  int wake;
  unsigned int asleep;
  unsigned int quit;
  unsigned int retired;
  int max_conns_per_host;
  pthread_t thread;
  names_t names;
  host_t *hosts;
  call_t *open;
  conn_t *broken;
  ck_ring_t ring;
  ck_ring_buffer_t slots[SLOTS];
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
  k->calls = c;
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
  k->fresh = r->fresh_conn;
  k->done = r->done;
  k->ctx = r->ctx;
  return k;
}

static void
open_add (calls_t *c, call_t *k)
{
  k->next = c->open;
  if (c->open)
    c->open->prev = k;
  c->open = k;
}

static void
open_del (calls_t *c, call_t *k)
{
  if (k->prev)
    k->prev->next = k->next;
  else
    c->open = k->next;
  if (k->next)
    k->next->prev = k->prev;
}

static void
finish (call_t *k, httpc_result_t *res)
{
  open_del (k->calls, k);
  k->done (k->ctx, res);
  call_free (k);
}

/* ---- connections ---- */

static host_t *
host_at (calls_t *c, const char *addr)
{
  host_t *h = (host_t *)names_get (&c->names, addr);

  if (h)
    return h;
  h = calloc (1, sizeof *h);
  if (!h)
    return NULL;
  snprintf (h->addr, sizeof h->addr, "%s", addr);
  if (names_put (&c->names, h->addr, (uintptr_t)h))
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
  n->age = ck_pr_load_uint (&c->retired);
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

/* A fresh connection takes the place of an idle one. */
static conn_t *
conn_take (calls_t *c, host_t *h, int fresh)
{
  conn_t *n;

  while ((n = h->idle))
    {
      h->idle = n->next;
      if (!fresh && n->age == ck_pr_load_uint (&c->retired))
        return n;
      conn_free (n);
      if (fresh)
        break;
    }
  return h->nconns >= c->max_conns_per_host ? NULL : conn_new (c, h);
}

static void
conn_give (conn_t *n)
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

static int arm (calls_t *c, call_t *k, gl_ms_t wait, event_callback_fn fn);
/* Calls of the host that wait, as far as there are connections. */
static void begin_next (calls_t *c, host_t *h);

/* ---- answers ---- */

static void
take_answer (struct evhttp_request *req, httpc_result_t *res)
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

/* @req is NULL when the connection broke, and without a status when there
   never was one. */
static void
answered (struct evhttp_request *req, void *ctx)
{
  call_t *k = ctx;
  calls_t *c;
  host_t *h;
  httpc_result_t res = { .outcome = HTTPC_UNKNOWN };

  if (req && evhttp_request_get_response_code (req))
    take_answer (req, &res);
  else if (req)
    res.outcome = HTTPC_NOT_SENT;
  c = k->calls;
  h = k->host;
  if (res.outcome == HTTPC_COMPLETE)
    conn_give (k->conn);
  else
    {
      /* The library still uses it until this callback has returned. */
      k->conn->next = c->broken;
      c->broken = k->conn;
    }
  finish (k, &res);
  free (res.body);
  begin_next (c, h);
}

static void
unqueue (call_t *k)
{
  call_t **at = &k->host->first;
  call_t *before = NULL;

  while (*at && *at != k)
    {
      before = *at;
      at = &before->later;
    }
  if (!*at)
    return;
  *at = k->later;
  if (k->host->last == k)
    k->host->last = before;
}

static void
drop (call_t *k, httpc_result_t *res)
{
  if (k->conn)
    {
      evhttp_cancel_request (k->req);
      conn_free (k->conn);
    }
  else
    {
      if (k->host)
        unqueue (k);
      res->outcome = HTTPC_NOT_SENT;
    }
  finish (k, res);
}

/* Bytes of the answer so far; the library moves them when they are whole. */
static size_t
arrived (const call_t *k)
{
  struct bufferevent *b = evhttp_connection_get_bufferevent (k->conn->http);

  return evbuffer_get_length (evhttp_request_get_input_buffer (k->req))
         + evbuffer_get_length (bufferevent_get_input (b));
}

/* 1 if more of the answer has come since it was last asked. */
static int
is_arriving (call_t *k)
{
  size_t n = k->conn ? arrived (k) : 0;

  if (n <= k->arrived || k->extended == EXTENSIONS_MAX)
    return 0;
  k->arrived = n;
  k->extended++;
  return 1;
}

static void
timed_out (evutil_socket_t fd, short what, void *ctx)
{
  call_t *k = ctx;
  calls_t *c = k->calls;
  host_t *h = k->host;
  httpc_result_t res = { .outcome = HTTPC_UNKNOWN, .timed_out = 1 };

  (void)fd;
  (void)what;
  if (is_arriving (k) && !arm (c, k, k->timeout, timed_out))
    return;
  drop (k, &res);
  begin_next (c, h);
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

static int
arm (calls_t *c, call_t *k, gl_ms_t wait, event_callback_fn fn)
{
  struct timeval span
      = { (time_t)(wait / 1000), (suseconds_t)(wait % 1000) * 1000 };

  if (k->timer)
    event_free (k->timer);
  k->timer = evtimer_new (c->base, fn, k);
  return k->timer ? evtimer_add (k->timer, &span) : -1;
}

/* -1 when it cannot leave. */
static int
send_now (call_t *k)
{
  k->req = evhttp_request_new (answered, k);
  if (!k->req)
    return -1;
  add_headers (k, k->req);
  if (k->len)
    evbuffer_add (evhttp_request_get_output_buffer (k->req), k->body, k->len);
  return evhttp_make_request (k->conn->http, k->req, k->method, k->path);
}

static void
begin_next (calls_t *c, host_t *h)
{
  httpc_result_t none = { .outcome = HTTPC_NOT_SENT };

  while (h->first)
    {
      call_t *k = h->first;

      k->conn = conn_take (c, h, k->fresh);
      if (!k->conn)
        return;
      unqueue (k);
      if (!send_now (k))
        continue;
      conn_free (k->conn);
      finish (k, &none);
    }
}

static void
begin (calls_t *c, call_t *k)
{
  httpc_result_t none = { .outcome = HTTPC_NOT_SENT };

  k->host = host_at (c, k->addr);
  if (!k->host || arm (c, k, k->timeout, timed_out))
    {
      finish (k, &none);
      return;
    }
  if (k->host->last)
    k->host->last->later = k;
  else
    k->host->first = k;
  k->host->last = k;
  begin_next (c, k->host);
}

static void
has_come (evutil_socket_t fd, short what, void *ctx)
{
  call_t *k = ctx;

  (void)fd;
  (void)what;
  begin (k->calls, k);
}

static void
take (calls_t *c, call_t *k)
{
  httpc_result_t none = { .outcome = HTTPC_NOT_SENT };
  gl_ms_t now = clock_ms ();

  open_add (c, k);
  if (k->not_before <= now)
    begin (c, k);
  else if (arm (c, k, k->not_before - now, has_come))
    finish (k, &none);
}

/* ---- the thread ---- */

static void
take_calls (calls_t *c)
{
  void *item;

  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    {
      HANDOVER_IN (item);
      take (c, item);
    }
}

static void
woken (evutil_socket_t fd, short what, void *ctx)
{
  uint64_t count;

  (void)what;
  (void)ctx;
  if (read (fd, &count, sizeof count) < 0)
    return;
}

static void
free_broken (calls_t *c)
{
  while (c->broken)
    {
      conn_t *n = c->broken;
      host_t *h = n->host;

      c->broken = n->next;
      conn_free (n);
      begin_next (c, h);
    }
}

static void *
run (void *ctx)
{
  calls_t *c = ctx;

  while (!ck_pr_load_uint (&c->quit))
    {
      free_broken (c);
      take_calls (c);
      ck_pr_store_uint (&c->asleep, 1);
      ck_pr_fence_memory ();
      event_base_loop (c->base,
                       EVLOOP_ONCE
                           | (ck_ring_size (&c->ring) ? EVLOOP_NONBLOCK : 0));
      ck_pr_store_uint (&c->asleep, 0);
    }
  return NULL;
}

static void
wake_up (calls_t *c)
{
  uint64_t one = 1;

  /* A full counter wakes the thread as well. */
  if (write (c->wake, &one, sizeof one) < 0)
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
  if (ck_pr_load_uint (&c->asleep) && ck_pr_cas_uint (&c->asleep, 1, 0))
    wake_up (c);
  return 0;
}

void
calls_retire_conns (calls_t *c)
{
  ck_pr_inc_uint (&c->retired);
}

/* Changes of what is waited for are handed over together, before a wait. */
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
  ck_ring_init (&c->ring, SLOTS);
  c->max_conns_per_host = max_conns_per_host;
  c->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  c->base = base_new ();
  if (c->wake < 0 || !c->base || names_init (&c->names))
    goto fail;
  c->woken = event_new (c->base, c->wake, EV_READ | EV_PERSIST, woken, NULL);
  if (!c->woken || event_add (c->woken, NULL)
      || pthread_create (&c->thread, NULL, run, c))
    goto fail;
  return c;

fail:
  if (c->woken)
    event_free (c->woken);
  if (c->base)
    event_base_free (c->base);
  if (c->wake >= 0)
    close (c->wake);
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

      open_add (c, k);
      finish (k, &res);
    }
  while (c->open)
    drop (c->open, &res);
  free_conns (&c->broken);
  names_done (&c->names);
  while (c->hosts)
    {
      host_t *h = c->hosts;

      c->hosts = h->next;
      free_conns (&h->idle);
      free (h);
    }
  event_free (c->woken);
  event_base_free (c->base);
  close (c->wake);
  free (c);
}
