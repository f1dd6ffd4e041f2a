/*
 * httpc.c -- HTTP client: one thread, many requests
 *
 * All transfers run on one curl multi handle.  Other threads hand requests
 * over through a ring and wake the handle.  The instant past which a
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
/* Idle connections kept. */
#define CACHE_MAX 256

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

struct httpc
{
  transfer_t *open;
  transfer_t *later;
  CURLM *multi;
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
    snprintf (t->res.type, sizeof t->res.type, "%.*s",
              (int)strcspn (v, "\r\n"), v);
  return len;
}

static void
transfer_free (transfer_t *t)
{
  if (t->easy)
    curl_easy_cleanup (t->easy);
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
  if (r->first_byte)
    {
      curl_easy_setopt (e, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (e, CURLOPT_LOW_SPEED_TIME,
                        (long)(r->first_byte + 999) / 1000);
    }
  curl_easy_setopt (e, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPIDLE, (long)KEEP_IDLE_S);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPINTVL, (long)KEEP_INTERVAL_S);
  curl_easy_setopt (e, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (e, CURLOPT_BUFFERSIZE, (long)BUFFER_BYTES);
  /* When a connection that was used before dies without an answer, the
     library sends the request again by itself, whatever its method.  On a
     new connection it does not. */
  if (r->fresh || r->once)
    curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
}

static transfer_t *
transfer_new (const httpc_request_t *r)
{
  transfer_t *t = calloc (1, sizeof *t);

  if (!t)
    return NULL;
  t->easy = curl_easy_init ();
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
  transfer_free (t);
  return NULL;
}

/* ---- the thread ---- */

/* curl counts request bytes only once they were handed to the kernel. */
static httpc_outcome_t
outcome_of (transfer_t *t, CURLcode code)
{
  long sent = 0;

  if (code == CURLE_OK)
    return HTTPC_WHOLE;
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
  transfer_free (t);
}

static void
refuse (transfer_t *t)
{
  t->res.outcome = HTTPC_NOT_SENT;
  t->done (t->ctx, &t->res);
  transfer_free (t);
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
      refuse (t);
      return;
    }
  if (ck_pr_load_64 (&c->retired_at))
    avoid_retired (c, t);
  if (curl_multi_add_handle (c->multi, t->easy))
    {
      refuse (t);
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

static void *
run (void *ctx)
{
  httpc_t *c = ctx;
  void *item;
  int running;

  while (!ck_pr_load_uint (&c->quit))
    {
      int wait;

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
      wait = begin_later (c);
      curl_multi_perform (c->multi, &running);
      reap (c);
      if (!ck_ring_size (&c->ring))
        curl_multi_poll (c->multi, NULL, 0, wait, NULL);
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
httpc_new (long max_per_host)
{
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  httpc_t *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  pthread_once (&once, init_library);
  ck_ring_init (&c->ring, SLOTS);
  c->multi = curl_multi_init ();
  if (!c->multi)
    goto fail;
  curl_multi_setopt (c->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max_per_host);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, (long)CACHE_MAX);
  if (pthread_create (&c->thread, NULL, run, c))
    goto fail;
  return c;

fail:
  if (c->multi)
    curl_multi_cleanup (c->multi);
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
  curl_multi_wakeup (c->multi);
  pthread_join (c->thread, NULL);
  while (ck_ring_dequeue_mpsc (&c->ring, c->slots, &item))
    refuse (item);
  while (c->later)
    {
      transfer_t *t = c->later;

      c->later = t->next;
      refuse (t);
    }
  while (c->open)
    close_transfer (c, c->open, CURLE_ABORTED_BY_CALLBACK);
  curl_multi_cleanup (c->multi);
  free (c);
}

int
httpc_send (httpc_t *c, const httpc_request_t *r)
{
  transfer_t *t = transfer_new (r);

  if (!t)
    return -1;
  HANDOVER_OUT (t);
  if (!ck_ring_enqueue_mpsc (&c->ring, c->slots, t))
    {
      transfer_free (t);
      return -1;
    }
  curl_multi_wakeup (c->multi);
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
httpc_wait (httpc_t *c, httpc_request_t *r, httpc_result_t *res)
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
  return res->outcome == HTTPC_WHOLE ? 0 : -1;
}

uint64_t
httpc_bytes (const httpc_t *c)
{
  return ck_pr_load_64 (&c->bytes);
}

void
httpc_retire (httpc_t *c)
{
  ck_pr_store_64 (&c->retired_at, clock_ms ());
}
