/* rpcd.h -- ONC RPC server on one thread of its own */
#ifndef GL_RPCD_H
#define GL_RPCD_H

#include <rpc/rpc.h>

#include "gl_rpc.h"

#define RPCD_PROCS 8

/**
 * struct rpcd_proc_t - one procedure
 * @call: fills @out from @in; 0, or -1 to answer with a system error.  It
 *   may block, but only within a bound; all calls share one thread.
 */
typedef struct
{
  xdrproc_t in_proc;
  size_t in_size;
  xdrproc_t out_proc;
  size_t out_size;
  int (*call) (void *ctx, const void *in, void *out);
} rpcd_proc_t;

typedef struct rpcd rpcd_t;

/**
 * rpcd_new - serve on @addr, "IP:port"
 * @procs: RPCD_PROCS entries, by procedure number; empty ones are unknown
 *
 * One server per process, since the library keeps its connections in global
 * tables.  Returns NULL when the address cannot be used.
 */
rpcd_t *rpcd_new (const char *addr, const rpcd_proc_t *procs, void *ctx);
/** rpcd_free - stop serving */
void rpcd_free (rpcd_t *d);

#endif
