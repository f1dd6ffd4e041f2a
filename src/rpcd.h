/* rpcd.h -- ONC RPC server on a thread of its own */
#ifndef GL_RPCD_H
#define GL_RPCD_H

#include <rpc/rpc.h>

#include "gl_rpc.h"

/* Procedures that a server can have, number 0 included. */
#define RPCD_PROCS 8

/**
 * struct rpcd_proc_t - one procedure
 * @in_proc, @in_size: XDR filter and size in bytes of the arguments
 * @out_proc, @out_size: XDR filter and size in bytes of the result
 * @call: computes zeroed @out from @in; 0, or -1 to reply with SYSTEM_ERR.  It
 * may block, but only for a bounded time, since all calls share one thread.
 * The server frees @in and @out with xdr_free afterwards.
 */
typedef struct
{
  xdrproc_t in_proc;
  size_t in_size;
  xdrproc_t out_proc;
  size_t out_size;
  int (*call) (void *ctx, const void *in, void *out);
} rpcd_proc_t;

/** typedef rpcd_t - an ONC RPC server */
typedef struct rpcd rpcd_t;

/**
 * rpcd_new - start a server of GL_PROGRAM on @addr, "IP:port"
 * @procs: RPCD_PROCS entries, indexed by procedure number, which must outlive
 * the server; the peer gets PROC_UNAVAIL for one without @call.  Procedure 0
 * always replies with void.
 * @ctx: first argument of the procedures
 *
 * A process can have only one server, since libtirpc keeps its connections in
 * global tables.  Returns NULL when out of memory or when it cannot listen on
 * the address.
 */
rpcd_t *rpcd_new (const char *addr, const rpcd_proc_t *procs, void *ctx);
/** rpcd_free - stop the thread and free the server; NULL is ignored */
void rpcd_free (rpcd_t *d);

#endif
