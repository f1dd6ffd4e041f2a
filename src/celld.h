/* celld.h -- a VM of the cell: reducer, peers, advisor's line, platform */
#ifndef GL_CELLD_H
#define GL_CELLD_H

#include "cell.h"
#include "cellset.h"
#include "loop.h"

typedef struct celld celld_t;

/**
 * struct celld_platform_t - the platform as the daemon calls it
 *
 * Each call ends with one event that carries its tag, handed to
 * celld_deliver on any thread.  What is passed in is borrowed.
 */
typedef struct
{
  void *ctx;
  void (*txn) (void *ctx, uint64_t tag, const cell_txn_t *txn,
               gl_ms_t timeout);
  void (*page) (void *ctx, uint64_t tag, const char *prefix, const char *after,
                gl_ms_t timeout);
  void (*read) (void *ctx, uint64_t tag, const char *key, gl_ms_t timeout);
  void (*lease) (void *ctx, uint64_t tag, gl_ms_t ttl);
  void (*work) (void *ctx, const cell_wcall_t *call);
  void (*advise) (void *ctx, uint64_t tag, const gl_consult_t *consult,
                  gl_ms_t timeout);
} celld_platform_t;

/** celld_new - NULL when the RPC address cannot be used or without memory */
celld_t *celld_new (const cellset_t *set);
void celld_free (celld_t *d);
/** celld_run - run the control thread until celld_quit */
void celld_run (celld_t *d, const celld_platform_t *platform);
/** celld_stop - hand the cell over and claim it no more; any thread */
void celld_stop (celld_t *d);
/** celld_quit - end celld_run; any thread */
void celld_quit (celld_t *d);
/**
 * celld_deliver - hand an event to the control thread
 * @own: memory that the event refers to, released with @release
 */
void celld_deliver (celld_t *d, const cell_event_t *ev,
                    void (*release) (void *own), void *own);
/** celld_call - call @fn with @arg on the control thread; any thread */
void celld_call (celld_t *d, void (*fn) (void *arg), void *arg);

/** celld_answer_t - the final answer to a caller's request */
typedef void (*celld_answer_t) (void *ctx, const gl_tell_t *tell);
/**
 * celld_ask - hand a caller's request in; control thread only
 * @ask: borrowed
 * @wait: how long the caller waits for the answer
 */
void celld_ask (celld_t *d, const gl_ask_t *ask, gl_ms_t wait,
                celld_answer_t answer, void *ctx);
/** celld_cell - its reducer; control thread only */
cell_t *celld_cell (celld_t *d);
/** celld_ready - 1 while requests can be served; any thread */
int celld_ready (celld_t *d);
/** celld_owner - 1 while this VM owns the cell; any thread */
int celld_owner (celld_t *d);
/** celld_figures - counters and histograms, malloc'd; control thread only */
char *celld_figures (celld_t *d);

#endif
