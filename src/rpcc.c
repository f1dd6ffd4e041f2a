/*
 * rpcc.c -- blocking ONC RPC client with a timeout for each call
 *
 * libtirpc can block for minutes while it connects, so this module connects
 * the socket itself, with a timeout, and passes it to the library.
 */
#include "rpcc.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpd.h"
#include "loop.h"

/* Bytes of the headers of a call and of a reply: record mark and RFC 5531
   header with AUTH_NONE. */
#define CALL_HEADER 44
#define REPLY_HEADER 28

/* Connected blocking socket, or -1. */
static int
connect_timeout (const struct sockaddr_in *sa, gl_ms_t timeout)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  int err = 0;
  socklen_t len = sizeof err;
  int one = 1;

  if (fd < 0)
    return -1;
  if (connect (fd, (const struct sockaddr *)sa, sizeof *sa)
      && errno != EINPROGRESS)
    goto fail;
  if (poll (&p, 1, (int)timeout) != 1
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)
    goto fail;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK))
    goto fail;
  return fd;

fail:
  close (fd);
  return -1;
}

static int
open_client (rpcc_t *r, const char *addr, gl_ms_t timeout)
{
  struct sockaddr_in sa;
  struct netbuf nb = { sizeof sa, sizeof sa, &sa };
  int fd;

  if (split_addr (addr, &sa))
    return -1;
  fd = connect_timeout (&sa, timeout);
  if (fd < 0)
    return -1;
  r->clnt = clnt_vc_create (fd, &nb, GL_PROGRAM, GL_VERSION, 0, 0);
  if (!r->clnt)
    {
      close (fd);
      return -1;
    }
  clnt_control (r->clnt, CLSET_FD_CLOSE, NULL);
  strncpy (r->addr, addr, sizeof r->addr - 1);
  return 0;
}

void
rpcc_close (rpcc_t *r)
{
  if (r->clnt)
    clnt_destroy (r->clnt);
  r->clnt = NULL;
}

gl_code_t
rpcc_call (rpcc_t *r, const char *addr, rpcproc_t proc, xdrproc_t in_proc,
           const void *in, xdrproc_t out_proc, void *out, gl_ms_t timeout)
{
  gl_ms_t end = clock_ms () + timeout;
  struct timeval tv;
  enum clnt_stat st;
  gl_ms_t now;

  if (r->clnt && strcmp (r->addr, addr))
    rpcc_close (r);
  if (!r->clnt && open_client (r, addr, timeout))
    return GL_RETRY;
  now = clock_ms ();
  timeout = end > now ? end - now : 1;
  tv.tv_sec = (time_t)(timeout / 1000);
  tv.tv_usec = (suseconds_t)(timeout % 1000) * 1000;
  st = clnt_call (r->clnt, proc, in_proc, (caddr_t)in, out_proc, (caddr_t)out,
                  tv);
  r->bytes += CALL_HEADER + xdr_sizeof (in_proc, (void *)in);
  if (st != RPC_SUCCESS)
    {
      rpcc_close (r);
      return st == RPC_CANTENCODEARGS ? GL_RETRY : GL_UNKNOWN;
    }
  r->bytes += REPLY_HEADER + xdr_sizeof (out_proc, out);
  return GL_OK;
}
