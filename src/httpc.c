/*
 * httpc.c -- HTTP client: one thread, many requests
 *
 * All transfers run on one curl multi handle, driven by the sockets that are
 * ready, so that transfers which wait for an answer cost nothing.  Other
 * threads hand requests over through a ring and wake the thread if it waits.
 * Handles of ended transfers are used again.  The instant past which a
 * request must not leave is checked here, immediately before the transfer
 * begins, since any earlier check could be followed by a pause.
 *
 * A request that must run once at most gets a connection of its own; see
 * set_limits.
 */
#include "httpc.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "handover.h"
#include "loop.h"

#define SLOTS 8192
#define POLL_MS 500
#define CONNECT_MS 700
/* Kernel keepalive: first probe and interval in seconds. */
#define KEEP_IDLE_S 5
#define KEEP_INTERVAL_S 2
#define BUFFER_BYTES 8192
/* After this long no connection from before a retirement is left. */
#define RETIRED_KEPT_S 120
#define TIMER_NONE UINT64_MAX
/* Idle connections kept. */
#define CACHE_MAX 2048
/* Handles kept for further transfers. */
#define SPARE_MAX 256
/* Sockets served between two looks at the ring. */
#define EVENTS_MAX 64

typedef struct transfer
{
  struct transfer *prev;
  struct transfer *next;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  size_t len;
  httpc_done_t done;
  void *ctx;
  gl_ms_t send_before;
  gl_ms_t not_before;
  size_t max_body;
  int too_long;
  httpc_result_t res;
  size_t cap;
} transfer_t;

/**
 * struct httpc - the client
 * @wake: event descriptor that ends the thread's wait
 * @asleep: the thread waits, so a request must wake it
 * @timer: when the library wants to be called, TIMER_NONE if not
 * @spare: handles for further transfers, under @lock
 */
struct httpc
{
  transfer_t *open;
  transfer_t *later;
  CURLM *multi;
  int epoll;
  int wake;
  unsigned int asleep;
  gl_ms_t timer;
  pthread_mutex_t lock;
  CURL *spare[SPARE_MAX];
  size_t nspare;
  pthread_t thread;
  ck_ring_t ring;
  ck_ring_buffer_t slots[SLOTS];
  unsigned int quit;
  uint64_t bytes;
  uint64_t retired_at;
};

/* ---- one transfer ---- */

static size_t
take_body (char *data, size_t size, size_t n, void *ctx)
{
  transfer_t *t = ctx;
  size_t add = size * n;

  if (t->res.len + add > t->max_body)
    {
      t->too_long = 1;
      return 0;
    }
  if (t->res.len + add + 1 > t->cap)
    {
      size_t cap = (t->res.len + add + 1) * 2;
      char *b = realloc (t->res.body, cap);
      if (!b)
        return 0;
      t->res.body = b;
      t->cap = cap;
    }
  memcpy (t->res.body + t->res.len, data, add);
  t->res.len += add;
  t->res.body[t->res.len] = 0;
  return add;
}

static int
header_is (const char *line, size_t len, const char *name, const char **value)
{
  size_t n = strlen (name);

  if (len <= n || strncasecmp (line, name, n) || line[n] != ':')
    return 0;
  *value = line + n + 1;
  while (**value == ' ')
    (*value)++;
  return 1;
}

static size_t
take_header (char *line, size_t size, size_t n, void *ctx)
{
  transfer_t *t = ctx;
  size_t len = size * n;
  const char *v;

  if (header_is (line, len, "ETag", &v))
    t->res.etag = strtoull (*v == '"' ? v + 1 : v, NULL, 10);
  else if (header_is (line, len, "Not-Run", &v))
    t->res.not_run = 1;
  else if (header_is (line, len, "Retry-After", &v))
    t->res.retry_after_s = (unsigned int)strtoul (v, NULL, 10);
  else if (header_is (line, len, "Content-Type", &v))
    snprintf (t->res.content_type, sizeof t->res.content_type, "%.*s",
              (int)strcspn (v, "\r\n"), v);
  return len;
}

static CURL *
take_spare (httpc_t *c)
{
  CURL *e = NULL;

  pthread_mutex_lock (&c->lock);
  if (c->nspare)
    e = c->spare[--c->nspare];
  pthread_mutex_unlock (&c->lock);
  return e ? e : curl_easy_init ();
}

static void
give_spare (httpc_t *c, CURL *e)
{
  curl_easy_reset (e);
  pthread_mutex_lock (&c->lock);
  if (c->nspare < SPARE_MAX)
    {
      c->spare[c->nspare++] = e;
      e = NULL;
    }
  pthread_mutex_unlock (&c->lock);
  if (e)
    curl_easy_cleanup (e);
}

static void
transfer_free (httpc_t *c, transfer_t *t)
{
  if (t->easy)
    give_spare (c, t->easy);
  curl_slist_free_all (t->headers);
  free (t->body);
  free (t->res.body);
  free (t);
}

static int
set_headers (transfer_t *t, const httpc_request_t *r)
{
  /* Neither header is wanted; each call is a few hundred bytes. */
  struct curl_slist *l = curl_slist_append (NULL, "Expect:");

  if (l && !curl_slist_append (l, "Accept:"))
    return -1;

  for (size_t i = 0; l && r->headers && r->headers[i]; i++)
    {
      struct curl_slist *m = curl_slist_append (l, r->headers[i]);
      if (!m)
        {
          curl_slist_free_all (l);
          return -1;
        }
      l = m;
    }
  t->headers = l;
  return l ? 0 : -1;
}

static void
set_body (transfer_t *t, const httpc_request_t *r)
{
  if (!strcmp (r->method, "GET"))
    return;
  if (!strcmp (r->method, "HEAD"))
    {
      curl_easy_setopt (t->easy, CURLOPT_NOBODY, 1L);
      return;
    }
  curl_easy_setopt (t->easy, CURLOPT_POSTFIELDS, t->body ? t->body : "");
  curl_easy_setopt (t->easy, CURLOPT_POSTFIELDSIZE, (long)t->len);
  curl_easy_setopt (t->easy, CURLOPT_CUSTOMREQUEST, r->method);
}

static void
set_limits (transfer_t *t, const httpc_request_t *r)
{
  CURL *e = t->easy;

  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)r->timeout);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS,
                    r->timeout < CONNECT_MS ? (long)r->timeout
                                            : (long)CONNECT_MS);
  if (r->stall_timeout)
    {
      curl_easy_setopt (e, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (e, CURLOPT_LOW_SPEED_TIME,
                        (long)(r->stall_timeout + 999) / 1000);
    }
  curl_easy_setopt (e, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPIDLE, (long)KEEP_IDLE_S);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPINTVL, (long)KEEP_INTERVAL_S);
  curl_easy_setopt (e, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (e, CURLOPT_BUFFERSIZE, (long)BUFFER_BYTES);
  /* When a connection that was used before dies without an answer, the
     library sends the request again by itself, whatever its method.  On a
     new connection it does not. */
  if (r->fresh_conn || r->at_most_once)
    curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
}

static transfer_t *
transfer_new (httpc_t *c, const httpc_request_t *r)
{
  transfer_t *t = calloc (1, sizeof *t);

  if (!t)
    return NULL;
  t->easy = take_spare (c);
  if (!t->easy || set_headers (t, r))
    goto fail;
  if (r->len)
    {
      t->body = malloc (r->len);
      if (!t->body)
        goto fail;
      memcpy (t->body, r->body, r->len);
      t->len = r->len;
    }
  t->done = r->done;
  t->ctx = r->ctx;
  t->send_before = r->send_before;
  t->not_before = r->not_before;
  t->max_body = r->max_body ? r->max_body : 2 * 1024 * 1024;
  curl_easy_setopt (t->easy, CURLOPT_URL, r->url);
  curl_easy_setopt (t->easy, CURLOPT_HTTPHEADER, t->headers);
  curl_easy_setopt (t->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (t->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (t->easy, CURLOPT_PRIVATE, t);
  curl_easy_setopt (t->easy, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (t->easy, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (t->easy, CURLOPT_HEADERDATA, t);
  set_body (t, r);
  set_limits (t, r);
  return t;

fail:
  transfer_free (c, t);
  return NULL;
}

/* ---- the thread ---- */

/* curl counts request bytes only once they were handed to the kernel. */
static httpc_outcome_t
outcome_of (transfer_t *t, CURLcode code)
{
  long sent = 0;

  if (code == CURLE_OK)
    return HTTPC_COMPLETE;
  curl_easy_getinfo (t->easy, CURLINFO_REQUEST_SIZE, &sent);
  return sent ? HTTPC_UNKNOWN : HTTPC_NOT_SENT;
}

static void
count_bytes (httpc_t *c, CURL *e)
{
  long request = 0;
  long header = 0;
  curl_off_t up = 0;
  curl_off_t down = 0;

  curl_easy_getinfo (e, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo (e, CURLINFO_HEADER_SIZE, &header);
  curl_easy_getinfo (e, CURLINFO_SIZE_UPLOAD_T, &up);
  curl_easy_getinfo (e, CURLINFO_SIZE_DOWNLOAD_T, &down);
  ck_pr_add_64 (&c->bytes, (uint64_t)request + (uint64_t)header
                               + (uint64_t)down + (uint64_t)up);
}

static void
finish (httpc_t *c, transfer_t *t, CURLcode code)
{
  long status = 0;

  curl_easy_getinfo (t->easy, CURLINFO_RESPONSE_CODE, &status);
  count_bytes (c, t->easy);
  t->res.outcome = outcome_of (t, code);
  t->res.status = (int)status;
  t->res.timed_out = code == CURLE_OPERATION_TIMEDOUT;
  t->done (t->ctx, &t->res);
  transfer_free (c, t);
}

static void
refuse (httpc_t *c, transfer_t *t)
{
  t->res.outcome = HTTPC_NOT_SENT;
  t->done (t->ctx, &t->res);
  transfer_free (c, t);
}

/* Connections made before the last retirement are not used again. */
static void
avoid_retired (httpc_t *c, transfer_t *t)
{
  gl_ms_t age_s = (clock_ms () - ck_pr_load_64 (&c->retired_at)) / 1000;

  if (age_s > RETIRED_KEPT_S)
    return;
  if (age_s)
    curl_easy_setopt (t->easy, CURLOPT_MAXLIFETIME_CONN, (long)age_s);
  else
    curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
}

static void
begin (httpc_t *c, transfer_t *t)
{
  if (t->send_before && clock_ms () >= t->send_before)
    {
      refuse (c, t);
      return;
    }
  if (ck_pr_load_64 (&c->retired_at))
    avoid_retired (c, t);
  if (curl_multi_add_handle (c->multi, t->easy))
    {
      refuse (c, t);
      return;
    }
  t->next = c->open;
  if (c->open)
    c->open->prev = t;
  c->open = t;
}

/* Begin what had to wait and is due; the time until the next is, at most
   POLL_MS. */
static int
begin_later (httpc_t *c)
{
  gl_ms_t now = clock_ms ();
  gl_ms_t wait = POLL_MS;
  transfer_t **at = &c->later;

  while (*at)
    {
      transfer_t *t = *at;

      if (t->not_before <= now)
        {
          *at = t->next;
          t->next = NULL;
          begin (c, t);
          continue;
        }
      if (t->not_before - now < wait)
        wait = t->not_before - now;
      at = &t->next;
    }
  return (int)wait;
}

static void
close_transfer (httpc_t *c, transfer_t *t, CURLcode code)
{
  curl_multi_remove_handle (c->multi, t->easy);
  if (t->prev)
    t->prev->next = t->next;
  else
    c->open = t->next;
  if (t->next)
    t->next->prev = t->prev;
  finish (c, t, code);
}

static void
reap (httpc_t *c)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (c->multi, &left)))
    {
      transfer_t *t;
      CURLcode code = m->data.result;
      CURL *e = m->easy_handle;

      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (e, CURLINFO_PRIVATE, (char **)&t);
      close_transfer (c, t, code);
    }
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *known)
{
  httpc_t *c = ctx;
  struct epoll_event ev = { .data.fd = fd };

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (c->epoll, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  ev.events = (what & CURL_POLL_IN ? EPOLLIN : 0u)
              | (what & CURL_POLL_OUT ? EPOLLOUT : 0u);
  if (epoll_ctl (c->epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &ev))
    epoll_ctl (c->epoll, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &ev);
  curl_multi_assign (c->multi, fd, c);
  return 0;
}

static int
on_timer (CURLM *multi, long wait, void *ctx)
{
  httpc_t *c = ctx;

  (void)multi;
  c->timer = wait < 0 ? TIMER_NONE : clock_ms () + (gl_ms_t)wait;
  return 0;
}

static void
wake_up (httpc_t *c)
{
  uint64_t one = 1;

  /* A full counter wakes the thread as well. */
  if (write (c->wake, &one, sizeof one) < 0)
    return;
}

static void
serve_timer (httpc_t *c)
{
  int running;

  if (c->timer > clock_ms ())
    return;
  c->timer = TIMER_NONE;
  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static void
serve_sockets (httpc_t *c, int wait)
{
  struct epoll_event ev[EVENTS_MAX];
  gl_ms_t now = clock_ms ();
  uint64_t count;
  int running;
  int n;

  if (c->timer != TIMER_NONE && c->timer < now + (gl_ms_t)wait)
    wait = c->timer > now ? (int)(c->timer - now) : 0;
  ck_pr_store_uint (&c->asleep, 1);
  ck_pr_fence_memory ();
  n = epoll_wait (c->epoll, ev, EVENTS_MAX,
                  ck_ring_size (&c->ring) ? 0 : wait);
  ck_pr_store_uint (&c->asleep, 0);
  for (int i = 0; i < n; i++)
    if (ev[i].data.fd == c->wake)
      {
        if (read (c->wake, &count, sizeof count) < 0)
          continue;
      }
    else
      curl_multi_socket_action (
          c->multi, ev[i].data.fd,
          (ev[i].events & EPOLLIN ? CURL_CSELECT_IN : 0)
              | (ev[i].events & EPOLLOUT ? CURL_CSELECT_OUT : 0)
              | (ev[i].events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0),
          &running);
}

static void
take_requests (httpc_t *c)
{
  void *item;

  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    {
      transfer_t *t = item;

      HANDOVER_IN (item);
      if (t->not_before)
        {
          t->next = c->later;
          c->later = t;
        }
      else
        begin (c, t);
    }
}

static void *
run (void *ctx)
{
  httpc_t *c = ctx;

  while (!ck_pr_load_uint (&c->quit))
    {
      int wait;

      take_requests (c);
      wait = begin_later (c);
      serve_timer (c);
      reap (c);
      serve_sockets (c, wait);
      reap (c);
    }
  return NULL;
}

/* ---- interface ---- */

static void
init_library (void)
{
  curl_global_init (CURL_GLOBAL_ALL);
}

httpc_t *
httpc_new (long max_conns_per_host)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  httpc_t *c = calloc (1, sizeof *c);
  struct epoll_event ev = { .events = EPOLLIN };

  if (!c)
    return NULL;
  pthread_once (&once, init_library);
  ck_ring_init (&c->ring, SLOTS);
  c->multi = curl_multi_init ();
  c->timer = TIMER_NONE;
  pthread_mutex_init (&c->lock, NULL);
  c->epoll = epoll_create1 (EPOLL_CLOEXEC);
  c->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  ev.data.fd = c->wake;
  if (!c->multi || c->epoll < 0 || c->wake < 0
      || epoll_ctl (c->epoll, EPOLL_CTL_ADD, c->wake, &ev))
    goto fail;
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     max_conns_per_host);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, (long)CACHE_MAX);
  if (pthread_create (&c->thread, NULL, run, c))
    goto fail;
  return c;

fail:
  if (c->multi)
    curl_multi_cleanup (c->multi);
  if (c->epoll >= 0)
    close (c->epoll);
  if (c->wake >= 0)
    close (c->wake);
  free (c);
  return NULL;
}

void
httpc_free (httpc_t *c)
{
  void *item;

  if (!c)
    return;
  ck_pr_store_uint (&c->quit, 1);
  wake_up (c);
  pthread_join (c->thread, NULL);
  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    refuse (c, item);
  while (c->later)
    {
      transfer_t *t = c->later;

      c->later = t->next;
      refuse (c, t);
    }
  while (c->open)
    close_transfer (c, c->open, CURLE_ABORTED_BY_CALLBACK);
  curl_multi_cleanup (c->multi);
  while (c->nspare)
    curl_easy_cleanup (c->spare[--c->nspare]);
  close (c->epoll);
  close (c->wake);
  free (c);
}

int
httpc_send (httpc_t *c, const httpc_request_t *r)
{
  transfer_t *t = transfer_new (c, r);

  if (!t)
    return -1;
  HANDOVER_OUT (t);
  if (!ck_ring_enqueue_mpsc (&c->ring, c->slots, t))
    {
      transfer_free (c, t);
      return -1;
    }
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&c->asleep))
    wake_up (c);
  return 0;
}

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t done;
  int ready;
  httpc_result_t *res;
} waiter_t;

static void
wake (void *ctx, httpc_result_t *res)
{
  waiter_t *w = ctx;

  pthread_mutex_lock (&w->lock);
  *w->res = *res;
  res->body = NULL;
  w->ready = 1;
  pthread_cond_signal (&w->done);
  pthread_mutex_unlock (&w->lock);
}

int
httpc_perform (httpc_t *c, httpc_request_t *r, httpc_result_t *res)
{
  waiter_t w = { PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, 0, res };

  memset (res, 0, sizeof *res);
  r->done = wake;
  /* The wait below outlasts every use.  */
  /* cppcheck-suppress autoVariables */
  r->ctx = &w;
  if (httpc_send (c, r))
    {
      res->outcome = HTTPC_NOT_SENT;
      return -1;
    }
  pthread_mutex_lock (&w.lock);
  while (!w.ready)
    pthread_cond_wait (&w.done, &w.lock);
  pthread_mutex_unlock (&w.lock);
  return res->outcome == HTTPC_COMPLETE ? 0 : -1;
}

uint64_t
httpc_bytes (const httpc_t *c)
{
  return ck_pr_load_64 (&c->bytes);
}

void
httpc_retire_conns (httpc_t *c)
{
  ck_pr_store_64 (&c->retired_at, clock_ms ());
}
