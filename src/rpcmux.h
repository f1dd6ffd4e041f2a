/* rpcmux.h -- ONC RPC on the control thread, many calls on a connection */
#ifndef GL_RPCMUX_H
#define GL_RPCMUX_H

#include <rpc/rpc.h>

#include "gentianlatch.h"
#include "loop.h"

typedef struct rpcmux rpcmux_t;

/** struct rpcmux_caller_t - where an answer goes; stale once the peer is gone
 */
typedef struct
{
  uint32_t conn;
  uint32_t xid;
} rpcmux_caller_t;

/**
 * rpcmux_done_t - a call has ended
 * @sent: GL_OK with the result's encoding in @data; GL_RETRY when nothing
 *   was sent; GL_UNKNOWN when it was and no answer came
 */
typedef void (*rpcmux_done_t) (void *ctx, uint64_t tag, uint32_t proc,
                               gl_code_t sent, const char *data, size_t len);
/** rpcmux_serve_t - a peer calls @proc with the encoded arguments @data */
typedef void (*rpcmux_serve_t) (void *ctx, rpcmux_caller_t from, uint32_t proc,
                                const char *data, size_t len);
/** rpcmux_down_t - nobody listens at @addr */
typedef void (*rpcmux_down_t) (void *ctx, const char *addr);

/** struct rpcmux_hooks_t - what the owner of a mux supplies */
typedef struct
{
  rpcmux_done_t done;
  rpcmux_serve_t serve;
  rpcmux_down_t down;
  void *ctx;
} rpcmux_hooks_t;

/** rpcmux_new - serve on @addr, "IP:port"; NULL when it cannot be used */
rpcmux_t *rpcmux_new (loop_t *loop, const char *addr,
                      const rpcmux_hooks_t *hooks);
void rpcmux_free (rpcmux_t *m);
/** rpcmux_call - call the peer at @addr; it ends with one call of done */
void rpcmux_call (rpcmux_t *m, const char *addr, uint32_t proc,
                  xdrproc_t in_proc, const void *in, gl_ms_t timeout,
                  uint64_t tag);
/** rpcmux_reply - answer a call; @proc NULL for an error */
void rpcmux_reply (rpcmux_t *m, rpcmux_caller_t from, xdrproc_t proc,
                   const void *out);
/** rpcmux_set_peer_addr - the caller behind @from listens at @addr; when its
    connection ends, that address is tried at once */
void rpcmux_set_peer_addr (rpcmux_t *m, rpcmux_caller_t from,
                           const char *addr);
/** rpcmux_tick - end calls whose time is up */
void rpcmux_tick (rpcmux_t *m);
/** rpcmux_due - when rpcmux_tick is wanted next */
gl_ms_t rpcmux_due (const rpcmux_t *m);

#endif
