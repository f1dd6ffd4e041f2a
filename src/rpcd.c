/*
 * rpcd.c -- ONC RPC server on one thread of its own
 *
 * The library's server side is not thread safe, so a single thread polls
 * its descriptors and calls the handlers.  Connections do not block: a
 * record is read as it arrives and is handed on when it is whole, up to
 * RECORD_MAX, so a peer that stops in the middle holds up nobody.
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

#define RECORD_MAX 2097152
#define POLL_MS 200
#define BACKLOG 64

struct rpcd
{
  pthread_t thread;
  unsigned int quit;
  const rpcd_proc_t *procs;
  void *ctx;
  SVCXPRT *listener;
};

/* The library's dispatch function has no context argument. */
static rpcd_t *the_server;

static void
serve (struct svc_req *req, SVCXPRT *xprt, const rpcd_proc_t *p)
{
  void *in = calloc (1, p->in_size + 1);
  void *out = calloc (1, p->out_size + 1);

  if (!in || !out)
    svcerr_systemerr (xprt);
  else if (!svc_getargs (xprt, p->in_proc, in))
    svcerr_decode (xprt);
  else if (p->call (the_server->ctx, in, out))
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
  if (req->rq_proc >= RPCD_PROCS || !the_server->procs[req->rq_proc].call)
    {
      svcerr_noproc (xprt);
      return;
    }
  serve (req, xprt, &the_server->procs[req->rq_proc]);
}

static void *
run (void *ctx)
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
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) || listen (fd, BACKLOG))
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
  the_server = d;
  if (pthread_create (&d->thread, NULL, run, d))
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
  the_server = NULL;
  free (d);
}
