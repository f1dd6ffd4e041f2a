/*
 * httpc.c -- HTTP client: one thread, many requests
 *
 * All transfers run on one curl multi handle on one thread.  The thread polls
 * the sockets with epoll and calls curl only for those that are ready, so
 * that transfers which wait for a response cost nothing.  Other threads hand
 * requests over through a ring and wake the thread if it waits.  Easy handles
 * of ended transfers are reused.
 *
 * send_before is checked immediately before the transfer begins, since the
 * process could be paused for a while after any earlier check.
 *
 * A request that must be sent at most once gets a new connection; see
 * set_connection_options.
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

/* Capacity in requests of the ring to the thread; a power of two. */
#define QUEUE_SLOTS 8192
/* Longest wait of the thread. */
#define MAX_WAIT_MS 500
#define CONNECT_TIMEOUT_MS 700
/* TCP keepalive: idle time before the first probe, and interval of probes. */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
/* Size of curl's receive buffer of a transfer. */
#define RECV_BUFFER_BYTES 8192
/* Time after a retirement from which on the age of connections need not be
   limited any more: the connections from before have not been used since, and
   curl does not reuse one that was idle for 118 s (CURLOPT_MAXAGE_CONN). */
#define RETIREMENT_S 120
#define TIMER_NONE UINT64_MAX
/* Most idle connections kept. */
#define IDLE_CONNS_MAX 2048
/* Most easy handles kept for reuse. */
#define SPARE_HANDLES_MAX 256
/* Most sockets served before the ring is checked again. */
#define EVENTS_MAX 64

/**
 * struct transfer_t - a request and its response
 * @prev, @next: links of the client's list of open transfers; @next also of
 *   that of delayed ones
 * @easy: curl's handle of the transfer
 * @max_body: longest response body that is accepted, in bytes
 * @res: the result so far; its @reserved are the bytes allocated for the body
 *
 * The other members are those of httpc_request_t, copied.
 */
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
  budget_t *budget;
  httpc_result_t res;
} transfer_t;

/**
 * struct httpc - the client
 * @open: transfers that curl has and that have not ended
 * @delayed: transfers that wait for not_before
 * @multi: curl's handle of all open transfers
 * @epoll_fd: epoll instance for curl's sockets and @wake_fd
 * @wake_fd: event descriptor that ends the thread's wait
 * @sleeping: the thread waits or is about to, so a new request must wake it
 * @timer_due: instant at which curl wants to be called, TIMER_NONE for none
 * @lock: protects @spare and @nspare
 * @spare: easy handles for reuse
 * @ring, @slots: transfers on their way from other threads to the thread
 * @quit: the thread must end
 * @bytes: see httpc_bytes
 * @retired_at: instant of the last retirement, 0 for none
 *
 * Apart from @spare, other threads use @sleeping, @ring, @quit, @bytes and
 * @retired_at; all else belongs to the thread.
 */
struct httpc
{
  transfer_t *open;
  transfer_t *delayed;
  CURLM *multi;
  int epoll_fd;
  int wake_fd;
  unsigned int sleeping;
  gl_ms_t timer_due;
  pthread_mutex_t lock;
  CURL *spare[SPARE_HANDLES_MAX];
  size_t nspare;
  pthread_t thread;
  ck_ring_t ring;
  ck_ring_buffer_t slots[QUEUE_SLOTS];
  unsigned int quit;
  uint64_t bytes;
  uint64_t retired_at;
};

/* ---- one transfer ---- */

/* Change the bytes allocated for the response body to @n; 0, or -1 when they
   are not left. */
static int
resize_body (transfer_t *t, size_t n)
{
  size_t had = t->res.reserved;
  char *b;

  if (n > had && budget_take (t->budget, n - had))
    return -1;
  b = realloc (t->res.body, n);
  if (!b)
    {
      budget_give (t->budget, n > had ? n - had : 0);
      return -1;
    }
  budget_give (t->budget, had > n ? had - n : 0);
  t->res.body = b;
  t->res.reserved = n;
  return 0;
}

/* Make room for @n bytes of the response body and its NUL: at once for the
   length that the response announces, else twice as much as is needed.
   Returns 0, or -1 with the reason in the result. */
static int
grow_body (transfer_t *t, size_t n)
{
  curl_off_t announced = -1;
  size_t size = 2 * n < t->max_body ? 2 * n : t->max_body;

  if (n < t->res.reserved)
    return 0;
  curl_easy_getinfo (t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &announced);
  if (announced >= (curl_off_t)n)
    size = (size_t)announced;
  if (n > t->max_body || size > t->max_body)
    t->res.too_long = 1;
  else if (resize_body (t, size + 1))
    t->res.no_room = 1;
  return t->res.too_long || t->res.no_room ? -1 : 0;
}

/* Forget the response body. */
static void
drop_body (transfer_t *t)
{
  free (t->res.body);
  budget_give (t->budget, t->res.reserved);
  t->res.body = NULL;
  t->res.len = 0;
  t->res.reserved = 0;
}

/* curl's write callback; a result other than the size ends the transfer. */
static size_t
on_body (char *data, size_t size, size_t n, void *ctx)
{
  transfer_t *t = ctx;
  size_t add = size * n;

  if (grow_body (t, t->res.len + add))
    {
      drop_body (t);
      return 0;
    }
  memcpy (t->res.body + t->res.len, data, add);
  t->res.len += add;
  t->res.body[t->res.len] = 0;
  return add;
}

/* 1 if the header line has this name; @value is then set behind the colon. */
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

/* curl's header callback. */
static size_t
on_header (char *line, size_t size, size_t n, void *ctx)
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
handle_acquire (httpc_t *c)
{
  CURL *e = NULL;

  pthread_mutex_lock (&c->lock);
  if (c->nspare)
    e = c->spare[--c->nspare];
  pthread_mutex_unlock (&c->lock);
  return e ? e : curl_easy_init ();
}

static void
handle_release (httpc_t *c, CURL *e)
{
  curl_easy_reset (e);
  pthread_mutex_lock (&c->lock);
  if (c->nspare < SPARE_HANDLES_MAX)
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
    handle_release (c, t->easy);
  curl_slist_free_all (t->headers);
  free (t->body);
  budget_give (t->budget, t->len);
  drop_body (t);
  free (t);
}

static int
set_headers (transfer_t *t, const httpc_request_t *r)
{
  /* Without a value curl leaves these headers out.  Neither is needed for
     requests of a few hundred bytes. */
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
set_connection_options (transfer_t *t, const httpc_request_t *r)
{
  CURL *e = t->easy;

  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)r->timeout);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS,
                    r->timeout < CONNECT_TIMEOUT_MS
                        ? (long)r->timeout
                        : (long)CONNECT_TIMEOUT_MS);
  if (r->stall_timeout)
    {
      curl_easy_setopt (e, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (e, CURLOPT_LOW_SPEED_TIME,
                        (long)(r->stall_timeout + 999) / 1000);
    }
  curl_easy_setopt (e, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_IDLE_S);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
  curl_easy_setopt (e, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (e, CURLOPT_BUFFERSIZE, (long)RECV_BUFFER_BYTES);
  /* When a reused connection breaks without a response, curl sends the
     request again by itself, whatever its method.  On a new connection it
     does not. */
  if (r->fresh_conn || r->at_most_once)
    curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
}

static transfer_t *
transfer_new (httpc_t *c, const httpc_request_t *r)
{
  transfer_t *t = calloc (1, sizeof *t);

  if (!t)
    return NULL;
  t->budget = r->budget;
  t->easy = handle_acquire (c);
  if (!t->easy || set_headers (t, r))
    goto fail;
  if (r->len)
    {
      if (budget_take (t->budget, r->len))
        goto fail;
      t->len = r->len;
      t->body = malloc (r->len);
      if (!t->body)
        goto fail;
      memcpy (t->body, r->body, r->len);
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
  curl_easy_setopt (t->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (t->easy, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (t->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (t->easy, CURLOPT_HEADERDATA, t);
  set_body (t, r);
  set_connection_options (t, r);
  return t;

fail:
  transfer_free (c, t);
  return NULL;
}

/* ---- the thread ---- */

/* curl counts the bytes of a request only when the kernel has taken them. */
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
  /* Less is always possible; a failure leaves it as it is. */
  if (t->res.len + 1 < t->res.reserved / 2)
    resize_body (t, t->res.len + 1);
  t->done (t->ctx, &t->res);
  transfer_free (c, t);
}

static void
finish_not_sent (httpc_t *c, transfer_t *t)
{
  t->res.outcome = HTTPC_NOT_SENT;
  t->done (t->ctx, &t->res);
  transfer_free (c, t);
}

/* Do not reuse a connection that was opened before the last retirement.  curl
   limits the age of a connection in whole seconds. */
static void
avoid_retired_conns (httpc_t *c, transfer_t *t)
{
  gl_ms_t age_s = (clock_ms () - ck_pr_load_64 (&c->retired_at)) / 1000;

  if (age_s > RETIREMENT_S)
    return;
  if (age_s)
    curl_easy_setopt (t->easy, CURLOPT_MAXLIFETIME_CONN, (long)age_s);
  else
    curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
}

static void
begin_transfer (httpc_t *c, transfer_t *t)
{
  if (t->send_before && clock_ms () >= t->send_before)
    {
      finish_not_sent (c, t);
      return;
    }
  if (ck_pr_load_64 (&c->retired_at))
    avoid_retired_conns (c, t);
  if (curl_multi_add_handle (c->multi, t->easy))
    {
      finish_not_sent (c, t);
      return;
    }
  t->next = c->open;
  if (c->open)
    c->open->prev = t;
  c->open = t;
}

/* Begin the delayed transfers that are due.  Returns the milliseconds until
   the next one is due, at most MAX_WAIT_MS. */
static int
begin_delayed (httpc_t *c)
{
  gl_ms_t now = clock_ms ();
  gl_ms_t wait = MAX_WAIT_MS;
  transfer_t **at = &c->delayed;

  while (*at)
    {
      transfer_t *t = *at;

      if (t->not_before <= now)
        {
          *at = t->next;
          t->next = NULL;
          begin_transfer (c, t);
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

/* Finish the transfers that curl has ended. */
static void
finish_ended (httpc_t *c)
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

/* curl's socket callback: poll @fd for the CURL_POLL_ flags @what.  @known is
   NULL the first time that curl passes @fd, which is then added to the epoll
   set, else modified.  If epoll refuses that, because the set already has or
   does not have the descriptor, the other operation is tried. */
static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *known)
{
  httpc_t *c = ctx;
  struct epoll_event ev = { .data.fd = fd };

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (c->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  ev.events = (what & CURL_POLL_IN ? EPOLLIN : 0u)
              | (what & CURL_POLL_OUT ? EPOLLOUT : 0u);
  if (epoll_ctl (c->epoll_fd, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &ev))
    epoll_ctl (c->epoll_fd, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &ev);
  curl_multi_assign (c->multi, fd, c);
  return 0;
}

/* curl's timer callback: curl wants to be called after @wait milliseconds. */
static int
on_timer (CURLM *multi, long wait, void *ctx)
{
  httpc_t *c = ctx;

  (void)multi;
  c->timer_due = wait < 0 ? TIMER_NONE : clock_ms () + (gl_ms_t)wait;
  return 0;
}

static void
wake_up (httpc_t *c)
{
  uint64_t one = 1;

  /* A write only fails when the counter is full, which wakes the thread as
     well. */
  if (write (c->wake_fd, &one, sizeof one) < 0)
    return;
}

static void
serve_timer (httpc_t *c)
{
  int running;

  if (c->timer_due > clock_ms ())
    return;
  c->timer_due = TIMER_NONE;
  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

/* Wait up to @wait milliseconds for sockets, curl's timer or new requests, and
   serve the sockets that are ready. */
static void
serve_sockets (httpc_t *c, int wait)
{
  struct epoll_event ev[EVENTS_MAX];
  gl_ms_t now = clock_ms ();
  uint64_t count;
  int running;
  int n;

  if (c->timer_due != TIMER_NONE && c->timer_due < now + (gl_ms_t)wait)
    wait = c->timer_due > now ? (int)(c->timer_due - now) : 0;
  ck_pr_store_uint (&c->sleeping, 1);
  ck_pr_fence_memory ();
  n = epoll_wait (c->epoll_fd, ev, EVENTS_MAX,
                  ck_ring_size (&c->ring) ? 0 : wait);
  ck_pr_store_uint (&c->sleeping, 0);
  for (int i = 0; i < n; i++)
    if (ev[i].data.fd == c->wake_fd)
      {
        if (read (c->wake_fd, &count, sizeof count) < 0)
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
drain_ring (httpc_t *c)
{
  void *item;

  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    {
      transfer_t *t = item;

      HANDOVER_IN (item);
      if (t->not_before)
        {
          t->next = c->delayed;
          c->delayed = t;
        }
      else
        begin_transfer (c, t);
    }
}

static void *
thread_main (void *ctx)
{
  httpc_t *c = ctx;

  while (!ck_pr_load_uint (&c->quit))
    {
      int wait;

      drain_ring (c);
      wait = begin_delayed (c);
      serve_timer (c);
      finish_ended (c);
      serve_sockets (c, wait);
      finish_ended (c);
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
  ck_ring_init (&c->ring, QUEUE_SLOTS);
  c->multi = curl_multi_init ();
  c->timer_due = TIMER_NONE;
  pthread_mutex_init (&c->lock, NULL);
  c->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  c->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  ev.data.fd = c->wake_fd;
  if (!c->multi || c->epoll_fd < 0 || c->wake_fd < 0
      || epoll_ctl (c->epoll_fd, EPOLL_CTL_ADD, c->wake_fd, &ev))
    goto fail;
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     max_conns_per_host);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNS_MAX);
  if (pthread_create (&c->thread, NULL, thread_main, c))
    goto fail;
  return c;

fail:
  if (c->multi)
    curl_multi_cleanup (c->multi);
  if (c->epoll_fd >= 0)
    close (c->epoll_fd);
  if (c->wake_fd >= 0)
    close (c->wake_fd);
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
    finish_not_sent (c, item);
  while (c->delayed)
    {
      transfer_t *t = c->delayed;

      c->delayed = t->next;
      finish_not_sent (c, t);
    }
  while (c->open)
    close_transfer (c, c->open, CURLE_ABORTED_BY_CALLBACK);
  curl_multi_cleanup (c->multi);
  while (c->nspare)
    curl_easy_cleanup (c->spare[--c->nspare]);
  close (c->epoll_fd);
  close (c->wake_fd);
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
  if (ck_pr_load_uint (&c->sleeping))
    wake_up (c);
  return 0;
}

/** struct waiter_t - a thread that blocks in httpc_perform */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t ended;
  int has_ended;
  httpc_result_t *res;
} waiter_t;

/* Hand the result, with its body, to the waiting thread. */
static void
wake_waiter (void *ctx, httpc_result_t *res)
{
  waiter_t *w = ctx;

  pthread_mutex_lock (&w->lock);
  *w->res = *res;
  res->body = NULL;
  w->has_ended = 1;
  pthread_cond_signal (&w->ended);
  pthread_mutex_unlock (&w->lock);
}

int
httpc_perform (httpc_t *c, httpc_request_t *r, httpc_result_t *res)
{
  waiter_t w = { PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, 0, res };

  memset (res, 0, sizeof *res);
  r->done = wake_waiter;
  /* w is not used any more when the wait below is over. */
  /* cppcheck-suppress autoVariables */
  r->ctx = &w;
  if (httpc_send (c, r))
    {
      res->outcome = HTTPC_NOT_SENT;
      return -1;
    }
  pthread_mutex_lock (&w.lock);
  while (!w.has_ended)
    pthread_cond_wait (&w.ended, &w.lock);
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
