/*
 * rpcd.c -- ONC RPC server on a thread of its own
 *
 * The server side of libtirpc is not thread-safe, so a single thread polls its
 * descriptors and calls the procedures.  A connection is passed to the library
 * only when a whole record of up to RECORD_MAX bytes is in its receive buffer:
 * libtirpc 1.3.2 reads a part of a record in a loop until the rest arrives,
 * and serves nobody else meanwhile.
 */
#include "rpcd.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc_com.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpd.h"
#include "logs.h"
#include "loop.h"

/* Longest record of a call, in bytes.  Calls carry a job or a status of a few
   hundred, and libtirpc sends a record of this length in one fragment. */
#define RECORD_MAX 65536
/* Bytes of the mark before a record, and the flag in it that the record has
   no further fragment (RFC 5531, section 11). */
#define MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000u
/* Longest time for the rest of a record, and for the first one of a
   connection, in ms. */
#define RECORD_MS 5000
/* At so many connections, the one that has been without a call for the longest
   time is closed. */
#define CONNS_MAX 128
/* Interval between two lines of the log about closed connections, in ms. */
#define LOG_MS 10000
/* Longest wait in poll; the quit flag is read after each. */
#define POLL_MS 200
#define LISTEN_BACKLOG 64

/**
 * struct conn_t - what is known of a connection, by its descriptor
 * @seen: in the round in which it was last in the library's list
 * @partial: a part of a record has arrived, or none since it was accepted
 * @since: when that part, or the latest whole record, was seen, by clock_ms
 */
typedef struct
{
  uint64_t seen;
  int partial;
  gl_ms_t since;
} conn_t;

/**
 * struct rpcd - the server
 * @quit: the thread is to end
 * @procs, @ctx: as given to rpcd_new
 * @listener: the library's handle of the listening socket
 * @conns, @nconns: by descriptor, and the length of the table
 * @round: number of the present round of the thread
 * @closed: connections closed for stalling or for room, since @logged_at
 */
struct rpcd
{
  pthread_t thread;
  unsigned int quit;
  const rpcd_proc_t *procs;
  void *ctx;
  SVCXPRT *listener;
  conn_t *conns;
  size_t nconns;
  uint64_t round;
  unsigned int closed;
  gl_ms_t logged_at;
};

/* The library passes no context to the dispatch function. */
static rpcd_t *server;

static void
call_proc (struct svc_req *req, SVCXPRT *xprt, const rpcd_proc_t *p)
{
  void *in = calloc (1, p->in_size + 1);
  void *out = calloc (1, p->out_size + 1);

  if (!in || !out)
    svcerr_systemerr (xprt);
  else if (!svc_getargs (xprt, p->in_proc, in))
    svcerr_decode (xprt);
  else if (p->call (server->ctx, in, out))
    svcerr_systemerr (xprt);
  else if (!svc_sendreply (xprt, p->out_proc, out))
    svcerr_systemerr (xprt);
  if (in)
    svc_freeargs (xprt, p->in_proc, in);
  if (out)
    xdr_free (p->out_proc, out);
  free (in);
  free (out);
  (void)req;
}

static void
dispatch (struct svc_req *req, SVCXPRT *xprt)
{
  if (req->rq_proc == NULLPROC)
    {
      svc_sendreply (xprt, (xdrproc_t)(void (*) (void))xdr_void, NULL);
      return;
    }
  if (req->rq_proc >= RPCD_PROCS || !server->procs[req->rq_proc].call)
    {
      svcerr_noproc (xprt);
      return;
    }
  call_proc (req, xprt, &server->procs[req->rq_proc]);
}

/* The entry of a connection, which is new if the library did not list its
   descriptor in the round before; NULL when out of memory. */
static conn_t *
conn_of (rpcd_t *d, int fd)
{
  conn_t *k;

  if ((size_t)fd >= d->nconns)
    {
      size_t n = (size_t)fd + 64;
      conn_t *v = realloc (d->conns, n * sizeof *v);

      if (!v)
        return NULL;
      memset (v + d->nconns, 0, (n - d->nconns) * sizeof *v);
      d->conns = v;
      d->nconns = n;
    }
  k = &d->conns[fd];
  if (!k->seen || k->seen + 1 < d->round)
    *k = (conn_t){ .partial = 1, .since = clock_ms () };
  k->seen = d->round;
  return k;
}

/* Make the library find the end of the data, upon which it closes the
   connection. */
static void
close_conn (rpcd_t *d, int fd)
{
  char rest[4096];
  gl_ms_t now = clock_ms ();

  shutdown (fd, SHUT_RDWR);
  while (recv (fd, rest, sizeof rest, MSG_DONTWAIT) > 0)
    continue;
  svc_getreq_common (fd);
  d->conns[fd].seen = 0;
  d->closed++;
  if (now < d->logged_at + LOG_MS)
    return;
  log_info ("rpc_connections_closed n=%u", d->closed);
  d->closed = 0;
  d->logged_at = now;
}

/* Wait for @bytes before the descriptor counts as readable. */
static void
wait_for_bytes (int fd, int bytes)
{
  setsockopt (fd, SOL_SOCKET, SO_RCVLOWAT, &bytes, sizeof bytes);
}

/* 1 if a whole record, or the end of the data, has arrived; 0 if a part has;
   -1 if it is too long or ends within a record. */
static int
record_arrived (int fd)
{
  uint32_t mark;
  int unread = 0;
  ssize_t n = recv (fd, &mark, sizeof mark, MSG_PEEK | MSG_DONTWAIT);
  struct pollfd end = { .fd = fd, .events = POLLRDHUP };
  uint32_t len;

  if (n <= 0 || ioctl (fd, FIONREAD, &unread))
    return 1;
  len = n < MARK_BYTES ? 0 : ntohl (mark) & ~LAST_FRAGMENT;
  if (n == MARK_BYTES
      && (!(ntohl (mark) & LAST_FRAGMENT) || !len || len > RECORD_MAX))
    return -1;
  if (n == MARK_BYTES && (uint32_t)unread >= MARK_BYTES + len)
    {
      wait_for_bytes (fd, 1);
      return 1;
    }
  if (poll (&end, 1, 0) > 0)
    return -1;
  wait_for_bytes (fd, MARK_BYTES + (int)len);
  return 0;
}

/* A connection has something to read, or has failed. */
static void
serve_conn (rpcd_t *d, int fd, conn_t *k)
{
  int rc = record_arrived (fd);

  if (rc < 0)
    close_conn (d, fd);
  else if (rc)
    {
      svc_getreq_common (fd);
      k->partial = 0;
      k->since = clock_ms ();
    }
  else if (!k->partial)
    {
      k->partial = 1;
      k->since = clock_ms ();
    }
}

/* Close the connections whose record has not come in time, and for want of
   room the one that has been without a call for the longest time. */
static void
close_stalled (rpcd_t *d, const struct pollfd *p, int n)
{
  gl_ms_t now = clock_ms ();
  int nopen = 0;
  int oldest = -1;

  for (int i = 0; i < n; i++)
    {
      int fd = p[i].fd;

      if (fd < 0 || fd == d->listener->xp_fd || !d->conns[fd].seen)
        continue;
      if (d->conns[fd].partial && now >= d->conns[fd].since + RECORD_MS)
        {
          close_conn (d, fd);
          continue;
        }
      nopen++;
      if (oldest < 0 || d->conns[fd].since < d->conns[oldest].since)
        oldest = fd;
    }
  if (nopen >= CONNS_MAX)
    close_conn (d, oldest);
}

static void *
serve_thread (void *ctx)
{
  rpcd_t *d = ctx;

  while (!ck_pr_load_uint (&d->quit))
    {
      int n = svc_max_pollfd;
      struct pollfd *p = calloc ((size_t)n + 1, sizeof *p);

      if (!p)
        break;
      memcpy (p, svc_pollfd, (size_t)n * sizeof *p);
      d->round++;
      poll (p, (nfds_t)n, POLL_MS);
      for (int i = 0; i < n; i++)
        {
          int fd = p[i].fd;
          conn_t *k = fd < 0 ? NULL : conn_of (d, fd);

          if (k && p[i].revents && fd == d->listener->xp_fd)
            svc_getreq_common (fd);
          else if (k && p[i].revents)
            serve_conn (d, fd, k);
        }
      close_stalled (d, p, n);
      free (p);
    }
  return NULL;
}

static int
listen_on (const char *addr)
{
  struct sockaddr_in sa;
  int one = 1;
  int fd;

  if (split_addr (addr, &sa))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa)
      || listen (fd, LISTEN_BACKLOG))
    {
      close (fd);
      return -1;
    }
  return fd;
}

rpcd_t *
rpcd_new (const char *addr, const rpcd_proc_t *procs, void *ctx)
{
  rpcd_t *d = calloc (1, sizeof *d);
  int max = RECORD_MAX;
  SVCXPRT *x;
  int fd;

  if (!d)
    return NULL;
  fd = listen_on (addr);
  if (fd < 0)
    goto fail;
  rpc_control (RPC_SVC_CONNMAXREC_SET, &max);
  x = svc_vc_create (fd, 0, 0);
  if (!x || !svc_reg (x, GL_PROGRAM, GL_VERSION, dispatch, NULL))
    goto fail;
  d->listener = x;
  d->procs = procs;
  d->ctx = ctx;
  server = d;
  if (pthread_create (&d->thread, NULL, serve_thread, d))
    goto fail;
  return d;

fail:
  free (d);
  return NULL;
}

void
rpcd_free (rpcd_t *d)
{
  if (!d)
    return;
  ck_pr_store_uint (&d->quit, 1);
  pthread_join (d->thread, NULL);
  svc_destroy (d->listener);
  server = NULL;
  free (d->conns);
  free (d);
}
