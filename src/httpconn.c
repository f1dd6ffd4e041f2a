/*
 * httpconn.c -- connections of the HTTP server, and what their clients may
 * hold
 *
 * Clients need not behave, so that limits of one request do not suffice.  What
 * is held for all bodies is bounded by a budget.  Each stage of a request but
 * the callback's is bounded in time, with a minimum rate.  When all
 * connections that may be open are, or the budget is used up, those that have
 * stood still the longest are closed: an ordinary client is never the one that
 * has.  Nothing depends on the client's address, as all may come through one
 * balancer.
 */
#include "httpdint.h"

#include <ck_pr.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "logs.h"

/* How many unread bytes are searched for the end of a header. */
#define HEADER_LOOK 8192

/* A body that has made no progress for so long gives way to another one. */
#define STALLED_MS 1000

/* Period at which connections are checked for overdue stages. */
#define SWEEP_MS 500

/* Least time between two log lines about clients that are refused or cut. */
#define CROWD_LOG_MS 1000

/* How many connections are looked at for one that may be closed. */
#define EVICT_LOOKS 8

conn_t *
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
void
conn_end_if_idle (conn_t *k)
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

/* ---- limits of clients ---- */

/* To be called with the lock held, here and below. */
void
conn_set_stage (conn_t *k, stage_t stage)
{
  k->stage = stage;
  k->stage_at = k->moved_at = clock_ms ();
}

/* Frees the request's body and returns what was reserved. */
void
conn_release_body (httpd_call_t *call)
{
  free (call->body);
  call->body = NULL;
  budget_give (call->server->limits.budget, call->reserved);
  call->reserved = 0;
}

/* Has the library find the end of the connection, and close it. */
static void
cut (httpd_t *h, conn_t *k, unsigned long *count)
{
  k->cut = 1;
  h->ncut++;
  ++*count;
  if (k->call)
    conn_release_body (k->call);
  if (shutdown (k->fd, SHUT_RDWR) && errno != ENOTCONN)
    log_error ("http_shutdown_failed errno=%d", errno);
}

/* The connection that has stood still the longest in one of the stages from
   @first to @last, since @before at the latest. */
static conn_t *
longest_still (httpd_t *h, stage_t first, stage_t last, gl_ms_t before)
{
  conn_t *found = NULL;

  for (conn_t *k = LIST_FIRST (&h->conns); k; k = LIST_NEXT (k, link))
    if (!k->cut && k->stage >= first && k->stage <= last
        && k->moved_at <= (found ? found->moved_at : before))
      found = k;
  return found;
}

static int
has_unread (const conn_t *k)
{
  char byte;

  return recv (k->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Closes a connection to have room for @from, which was accepted just now:
   an idle one, else one whose request is incomplete, else one whose client
   does not take its response. */
static void
make_room (httpd_t *h, conn_t *from)
{
  conn_t *k = NULL;

  for (int i = 0; i < EVICT_LOOKS; i++)
    {
      k = longest_still (h, STAGE_IDLE, STAGE_IDLE, clock_ms ());
      if (!k || (k != from && !has_unread (k)))
        break;
      /* It is about to be read, or is the new one. */
      k->moved_at = clock_ms () + 1;
      k = NULL;
    }
  if (!k)
    k = longest_still (h, STAGE_HEADER, STAGE_BODY, clock_ms ());
  if (!k)
    k = longest_still (h, STAGE_REPLYING, STAGE_REPLYING, clock_ms ());
  if (k)
    cut (h, k, &h->counts.evicted);
}

void
httpd_cut_unread (httpd_t *h, gl_ms_t ms)
{
  gl_ms_t before = clock_ms () - ms;
  conn_t *found = NULL;

  pthread_mutex_lock (&h->lock);
  for (conn_t *k = LIST_FIRST (&h->conns); k; k = LIST_NEXT (k, link))
    if (!k->cut && k->stage == STAGE_REPLYING && k->stage_at <= before
        && k->call && k->call->reply_reserved
        && (!found || k->call->reply_reserved > found->call->reply_reserved))
      found = k;
  if (found)
    cut (h, found, &h->counts.unread_replies);
  pthread_mutex_unlock (&h->lock);
}

/* Reserve @n bytes; bodies that stand still give way.  0, or -1. */
int
conn_reserve (httpd_t *h, httpd_call_t *call, size_t n)
{
  gl_ms_t now = clock_ms ();

  while (budget_take (h->limits.budget, n))
    {
      conn_t *k = longest_still (h, STAGE_BODY, STAGE_BODY, now - STALLED_MS);

      if (!k || n > budget_limit (h->limits.budget))
        return -1;
      /* One that holds nothing is left to its own time limit. */
      if (k->call && k->call->reserved && k->call != call)
        cut (h, k, &h->counts.stalled);
      else
        k->moved_at = now;
    }
  call->reserved += n;
  return 0;
}

/* How long a stage may take in which @n bytes are moved. */
static gl_ms_t
allowed_ms (const httpd_t *h, gl_ms_t span, size_t n)
{
  return span + (gl_ms_t)n * 1000 / h->limits.bytes_per_s;
}

/* Nothing more can come for the incomplete request.  The library reads once
   for an event and misses the end of data that has arrived with the last
   bytes. */
static int
has_left (const conn_t *k, gl_ms_t now)
{
  char byte;

  return k->stage <= STAGE_BODY && !k->ended && now > k->moved_at + SWEEP_MS
         && !recv (k->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

static void
sweep_connection (httpd_t *h, conn_t *k, gl_ms_t now)
{
  gl_ms_t spent = now - k->stage_at;

  if (k->cut || now < k->stage_at)
    return;
  if (has_left (k, now))
    cut (h, k, &h->left);
  else if (k->stage == STAGE_HEADER && spent > h->limits.header_ms)
    cut (h, k, &h->counts.slow_headers);
  else if (k->stage == STAGE_BODY
           && spent > allowed_ms (h, h->limits.body_ms,
                                  k->call ? k->call->received : 0))
    cut (h, k, &h->counts.slow_bodies);
  else if (k->stage == STAGE_REPLYING
           && spent > allowed_ms (h, h->limits.reply_ms,
                                  k->call ? k->call->reply_len : 0))
    cut (h, k, &h->counts.unread_replies);
}

static void
log_counts (httpd_t *h, gl_ms_t now)
{
  const httpd_counts_t *n = &h->counts;

  if (!memcmp (n, &h->logged, sizeof *n) || now < h->logged_at + CROWD_LOG_MS)
    return;
  log_info ("http_clients_limited addr=%s too_long=%lu no_room=%lu "
            "evicted=%lu stalled=%lu slow_headers=%lu slow_bodies=%lu "
            "unread_replies=%lu connections=%u held=%zu",
            h->addr, n->too_long, n->no_room, n->evicted, n->stalled,
            n->slow_headers, n->slow_bodies, n->unread_replies,
            ck_pr_load_uint (&h->nconns), budget_held (h->limits.budget));
  h->logged = *n;
  h->logged_at = now;
}

void *
conn_sweep (void *arg)
{
  httpd_t *h = arg;

  pthread_mutex_lock (&h->lock);
  while (!h->freed)
    {
      gl_ms_t now = clock_ms ();
      struct timespec until;

      for (conn_t *k = LIST_FIRST (&h->conns); k; k = LIST_NEXT (k, link))
        sweep_connection (h, k, now);
      log_counts (h, now);
      pthread_mutex_unlock (&h->lock);
      budget_trim (h->limits.budget);
      pthread_mutex_lock (&h->lock);
      clock_gettime (CLOCK_MONOTONIC, &until);
      until.tv_nsec += SWEEP_MS * 1000000L;
      until.tv_sec += until.tv_nsec / 1000000000L;
      until.tv_nsec %= 1000000000L;
      pthread_cond_timedwait (&h->wake, &h->lock, &until);
    }
  pthread_mutex_unlock (&h->lock);
  return NULL;
}

/* ---- begin and end of connections ---- */

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
  conn_set_stage (k, STAGE_IDLE);
  LIST_INSERT_HEAD (&h->conns, k, link);
  ck_pr_inc_uint (&h->nconns);
  if (ck_pr_load_uint (&h->nconns) - h->ncut > h->limits.max_conns)
    make_room (h, k);
  /* The library may have accepted it just before it was told to stop. */
  if (h->quiesced)
    conn_end_if_idle (k);
  pthread_mutex_unlock (&h->lock);
}

/* Bytes that have arrived and are not read would have the kernel reset the
   connection, and the client might lose the response. */
static void
discard_unread (const conn_t *k)
{
  char data[16384];

  shutdown (k->fd, SHUT_WR);
  for (int i = 0; i < 64 && recv (k->fd, data, sizeof data, MSG_DONTWAIT) > 0;
       i++)
    ;
}

/* The library closes the socket after this. */
static void
conn_closed (httpd_t *h, conn_t *k)
{
  discard_unread (k);
  pthread_mutex_lock (&h->lock);
  LIST_REMOVE (k, link);
  h->ncut -= k->cut ? 1 : 0;
  ck_pr_dec_uint (&h->nconns);
  pthread_mutex_unlock (&h->lock);
  free (k);
}

void
conn_notify (void *cls, struct MHD_Connection *c, void **socket_context,
             enum MHD_ConnectionNotificationCode code)
{
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    conn_open (cls, c, socket_context);
  else if (*socket_context)
    conn_closed (cls, *socket_context);
}
