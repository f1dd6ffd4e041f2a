/*
 * rpcd.c -- ONC RPC server on a thread of its own
 *
 * The server side of libtirpc is not thread-safe, so a single thread polls its
 * descriptors and calls the procedures.  Connections are non-blocking: a
 * record, of up to RECORD_MAX bytes, is buffered until it is complete, so a
 * peer that stops in the middle of one does not delay the others.
 */
#include "rpcd.h"

#include <ck_pr.h>
#include <rpc/rpc_com.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpd.h"

/* Longest record, in bytes. */
#define RECORD_MAX 2097152
/* Longest wait in poll; the quit flag is read after each. */
#define POLL_MS 200
#define LISTEN_BACKLOG 64

/**
 * struct rpcd - the server
 * @quit: the thread is to end
 * @procs, @ctx: as given to rpcd_new
 * @listener: the library's handle of the listening socket
 */
struct rpcd
{
  pthread_t thread;
  unsigned int quit;
  const rpcd_proc_t *procs;
  void *ctx;
  SVCXPRT *listener;
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

static void *
serve_thread (void *ctx)
{
  rpcd_t *d = ctx;

  while (!ck_pr_load_uint (&d->quit))
    {
      int n = svc_max_pollfd;
      int ready;
      struct pollfd *p = calloc ((size_t)n + 1, sizeof *p);

      if (!p)
        break;
      memcpy (p, svc_pollfd, (size_t)n * sizeof *p);
      ready = poll (p, (nfds_t)n, POLL_MS);
      if (ready > 0)
        svc_getreq_poll (p, ready);
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
  free (d);
}
