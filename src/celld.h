/* celld.h -- daemon of a VM of the cell: the reducer on its control thread,
   the RPCs between VMs, the connection to the advisor, and the platform */
#ifndef GL_CELLD_H
#define GL_CELLD_H

#include "cell.h"
#include "cellset.h"
#include "loop.h"

typedef struct celld celld_t;

/**
 * struct celld_platform_t - calls to the platform's services
 * @ctx: first argument of each function
 * @txn: run a transaction; ends with CELL_EV_TXN_DONE
 * @page: read keys with @prefix behind @after_key; ends with CELL_EV_PAGE
 * @read: read one key; ends with CELL_EV_READ
 * @lease: renew the lease of this VM's keys; ends with CELL_EV_LEASE
 * @call_worker: call a worker; ends with CELL_EV_WCALL
 * @consult: ask the advisor; ends with CELL_EV_CONSULT_REPLY
 * @decode_conf: decode a configuration that another VM has got from the store;
 *   the value is NUL-terminated at @len; malloc'd, NULL when it is not valid
 *
 * Each call is made on the control thread and does not block.  When its
 * outcome is known, the platform passes one event with its tag to
 * celld_post_event, from any thread.  Arguments are borrowed for the call;
 * timeouts are spans in ms.
 */
typedef struct
{
  void *ctx;
  void (*txn) (void *ctx, uint64_t tag, const cell_txn_t *txn,
               gl_ms_t timeout);
  void (*page) (void *ctx, uint64_t tag, const char *prefix,
                const char *after_key, gl_ms_t timeout);
  void (*read) (void *ctx, uint64_t tag, const char *key, gl_ms_t timeout);
  void (*lease) (void *ctx, uint64_t tag, gl_ms_t ttl);
  void (*call_worker) (void *ctx, const cell_wcall_t *call);
  void (*consult) (void *ctx, uint64_t tag, const gl_consult_t *consult,
                   gl_ms_t timeout);
  cell_conf_t *(*decode_conf) (const char *value, size_t len);
} celld_platform_t;

/** celld_new - a daemon; NULL when the RPC address cannot be used or without
    memory */
celld_t *celld_new (const cellset_t *set);
void celld_free (celld_t *d);
/** celld_run - run the control thread until celld_quit */
void celld_run (celld_t *d, const celld_platform_t *platform);
/** celld_stop - begin the planned stop; the process ends within @ms; any
    thread */
void celld_stop (celld_t *d, gl_ms_t ms);
/** celld_stop_stage - how far the planned stop has got; any thread */
cell_stop_stage_t celld_stop_stage (celld_t *d);
/** celld_open_requests - number of requests, also of other VMs, that the cell
    has not answered; any thread */
unsigned int celld_open_requests (celld_t *d);
/** celld_quit - end celld_run; any thread */
void celld_quit (celld_t *d);
/**
 * celld_post_event - hand an event to the control thread; any thread
 * @owned: memory that the event refers to; @release is called with it when the
 *   event has been handled, and may be NULL
 */
void celld_post_event (celld_t *d, const cell_event_t *ev,
                       void (*release) (void *owned), void *owned);
/** celld_post_call - call @fn with @arg on the control thread; any thread.
    Returns -1 without memory, and then does not call it. */
int celld_post_call (celld_t *d, void (*fn) (void *arg), void *arg);

/** celld_reply_fn_t - takes the answer to a request, borrowed for the call */
typedef void (*celld_reply_fn_t) (void *ctx, const gl_reply_t *reply);
/**
 * celld_request - submit a caller's request; control thread only
 * @request: borrowed for the call
 * @wait: how long the caller waits for the answer
 * @reply_fn: called once with @ctx, possibly before celld_request returns
 */
void celld_request (celld_t *d, const gl_request_t *request, gl_ms_t wait,
                    celld_reply_fn_t reply_fn, void *ctx);
/** celld_cell - the reducer; control thread only */
cell_t *celld_cell (celld_t *d);
/** celld_ready - 1 while requests can be served; any thread */
int celld_ready (celld_t *d);
/** celld_is_owner - 1 while this VM owns the cell; any thread */
int celld_is_owner (celld_t *d);
/** celld_metrics - append counters and histograms; control thread only */
void celld_metrics (celld_t *d, text_t *t);

#endif
