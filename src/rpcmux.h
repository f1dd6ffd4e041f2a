/* rpcmux.h -- non-blocking ONC RPC client and server on the control thread */
#ifndef GL_RPCMUX_H
#define GL_RPCMUX_H

#include <rpc/rpc.h>

#include "gentianlatch.h"
#include "loop.h"
#include "metrics.h"

/** typedef rpcmux_t - multiplexer ("mux"): a server and its connections to
    peers, each of which carries many calls at once */
typedef struct rpcmux rpcmux_t;

/**
 * struct rpcmux_caller_t - where the reply to a received call goes
 * @conn: id of the connection; once it is closed, a reply is dropped
 * @xid: transaction id of the call
 */
typedef struct
{
  uint32_t conn;
  uint32_t xid;
} rpcmux_caller_t;

/**
 * rpcmux_done_t - a call of rpcmux_call has ended
 * @tag, @proc: as given to rpcmux_call
 * @code: GL_OK with the encoded result in @data; GL_RETRY when it was not
 * sent; GL_UNKNOWN when it may have been sent and no successful reply came
 * @data, @len: valid during the callback only
 */
typedef void (*rpcmux_done_t) (void *ctx, uint64_t tag, uint32_t proc,
                               gl_code_t code, const char *data, size_t len);
/** rpcmux_serve_t - a peer calls @proc with the encoded arguments @data, which
    are valid during the callback; reply with rpcmux_reply, during the callback
    or later */
typedef void (*rpcmux_serve_t) (void *ctx, rpcmux_caller_t from, uint32_t proc,
                                const char *data, size_t len);
/** rpcmux_down_t - a connect to @addr was refused or reset, or failed at once:
    no process listens there */
typedef void (*rpcmux_down_t) (void *ctx, const char *addr);

/** struct rpcmux_hooks_t - callbacks of a mux, with their first argument */
typedef struct
{
  rpcmux_done_t done;
  rpcmux_serve_t serve;
  rpcmux_down_t down;
  void *ctx;
} rpcmux_hooks_t;

/**
 * struct rpcmux_counts_t - accepted connections that the mux has closed
 * @evicted: for others, as connections or buffers were used up
 * @incomplete: for a record that stayed incomplete, or replies not read
 */
typedef struct
{
  unsigned long evicted;
  unsigned long incomplete;
} rpcmux_counts_t;

/**
 * struct rpcmux_limits_t - bounds on accepted connections
 * @accepted_max: most at once, below the 512 that a mux has with its own ones
 * @held_max: most bytes in their buffers
 * @record_ms: longest time for a record, or for the receipt of replies
 */
typedef struct
{
  int accepted_max;
  size_t held_max;
  gl_ms_t record_ms;
} rpcmux_limits_t;

/** rpcmux_new - create a mux that serves calls on @addr, "IP:port"; NULL when
    out of memory or when it cannot listen there */
rpcmux_t *rpcmux_new (loop_t *loop, const char *addr,
                      const rpcmux_limits_t *limits,
                      const rpcmux_hooks_t *hooks);
/** rpcmux_metrics - append connections, bytes held and counts */
void rpcmux_metrics (const rpcmux_t *m, text_t *t);
/** rpcmux_free - close all connections, which ends their calls, and free the
    mux; NULL is ignored */
void rpcmux_free (rpcmux_t *m);
/**
 * rpcmux_call - call procedure @proc of the peer at @addr, "IP:port"
 * @in_proc, @in: XDR filter and arguments
 * @timeout: in ms, the connect included
 * @tag: passed to the done callback
 *
 * The done callback is called exactly once, possibly before this returns.
 */
void rpcmux_call (rpcmux_t *m, const char *addr, uint32_t proc,
                  xdrproc_t in_proc, const void *in, gl_ms_t timeout,
                  uint64_t tag);
/** rpcmux_reply - reply to a received call with the result @out, encoded by
    @proc; with SYSTEM_ERR when @proc is NULL */
void rpcmux_reply (rpcmux_t *m, rpcmux_caller_t from, xdrproc_t proc,
                   const void *out);
/**
 * rpcmux_set_peer_addr - record the address on which the caller itself listens
 *
 * When the caller's connection closes, the mux connects to @addr at once, so
 * that the down callback reports early that the caller's process has ended.
 */
void rpcmux_set_peer_addr (rpcmux_t *m, rpcmux_caller_t from,
                           const char *addr);
/** rpcmux_tick - end the calls and connects that have timed out */
void rpcmux_tick (rpcmux_t *m);
/** rpcmux_due - when rpcmux_tick is to be called next; UINT64_MAX for never */
gl_ms_t rpcmux_due (const rpcmux_t *m);

#endif
