/* rpcc.h -- blocking ONC RPC client with a timeout for each call */
#ifndef GL_RPCC_H
#define GL_RPCC_H

#include <rpc/rpc.h>
#include <rpc/clnt.h>

#include "gentianlatch.h"
#include "gl_rpc.h"

/**
 * struct rpcc_t - a client with at most one connection; zero it before the
 * first use
 * @addr: "IP:port" of the peer that @clnt is connected to
 * @clnt: the connection, or NULL
 * @bytes: bytes of all calls and replies so far, with RPC headers, without
 * TCP and IP headers
 */
typedef struct
{
  char addr[64];
  CLIENT *clnt;
  uint64_t bytes;
} rpcc_t;

/**
 * rpcc_call - call procedure @proc of the peer at @addr, "IP:port"
 * @in_proc, @in: XDR filter and arguments
 * @out_proc, @out: XDR filter and buffer for the result; zero the buffer
 * before the call and release it with xdr_free afterwards
 * @timeout: bound in ms on connecting and on the reply together
 *
 * The connection is kept for the next call, and closed after any failure or
 * when @addr differs from the last call's.  Blocks, so the control thread must
 * not call it.  An rpcc_t serves one thread at a time.
 *
 * Returns GL_OK; GL_RETRY when nothing was sent; GL_UNKNOWN when the call may
 * have been sent and no valid reply came.
 */
gl_code_t rpcc_call (rpcc_t *r, const char *addr, rpcproc_t proc,
                     xdrproc_t in_proc, const void *in, xdrproc_t out_proc,
                     void *out, gl_ms_t timeout);
/** rpcc_close - close the connection, if there is one */
void rpcc_close (rpcc_t *r);

#endif
