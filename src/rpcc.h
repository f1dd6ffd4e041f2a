/* rpcc.h -- ONC RPC client with a bound on every call */
#ifndef GL_RPCC_H
#define GL_RPCC_H

#include <rpc/rpc.h>
#include <rpc/clnt.h>

#include "gentianlatch.h"
#include "gl_rpc.h"

/**
 * struct rpcc_t - one peer; zero it before the first use
 * @bytes: sent and received by calls, without TCP and IP headers
 */
typedef struct
{
  char addr[64];
  CLIENT *clnt;
  uint64_t bytes;
} rpcc_t;

/**
 * rpcc_call - call procedure @proc of the peer at @addr, "IP:port"
 * @timeout: bound on connecting and on the answer together
 *
 * The connection is kept for the next call and replaced after any failure.
 * Blocks; never used on a control thread.  One thread at a time for each
 * rpcc_t.  Returns 0; GL_RETRY when nothing was sent; GL_UNKNOWN when it was
 * sent and no answer came.
 */
gl_code_t rpcc_call (rpcc_t *r, const char *addr, rpcproc_t proc,
                     xdrproc_t in_proc, const void *in, xdrproc_t out_proc,
                     void *out, gl_ms_t timeout);
/** rpcc_close - drop the connection */
void rpcc_close (rpcc_t *r);

#endif
