/* loop.h -- event loop of the control thread: queue, descriptors, timer */
#ifndef GL_LOOP_H
#define GL_LOOP_H

#include "gentianlatch.h"

/**
 * typedef loop_t - an event loop
 *
 * Any thread posts items to its queue; one control thread runs it.
 */
typedef struct loop loop_t;

/**
 * struct loop_handlers_t - callbacks that the control thread runs
 * @on_item: handles one posted item and frees it
 * @on_tick: called when the time that @next_due returned has been reached
 * @next_due: time of the next call of @on_tick, by clock_ms
 * @ctx: first argument of the callbacks
 */
typedef struct
{
  void (*on_item) (void *ctx, void *item);
  void (*on_tick) (void *ctx);
  gl_ms_t (*next_due) (void *ctx);
  void *ctx;
} loop_handlers_t;

/** loop_fd_fn_t - called when @fd is readable, writable or in error; @events
    is a mask of EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP */
typedef void (*loop_fd_fn_t) (void *ctx, int fd, uint32_t events);

/** loop_new - create a loop with an empty queue; NULL when out of memory or
    descriptors */
loop_t *loop_new (void);
/** loop_post - queue @item for the control thread; 0, or -1 when the queue is
    full.  Never blocks. */
int loop_post (loop_t *l, void *item);
/**
 * loop_must_post - queue @item, even when the queue is full
 *
 * Other threads block until there is room.  The control thread would wait for
 * itself, so its items go to a backlog, which it handles after the queue.
 */
void loop_must_post (loop_t *l, void *item);
/** loop_run - run the loop on the calling thread until loop_quit */
void loop_run (loop_t *l, const loop_handlers_t *handlers);
/** loop_drain - handle posted items until none is left, without waiting */
void loop_drain (loop_t *l, const loop_handlers_t *handlers);
/**
 * loop_watch - call @fn on the control thread when @fd has one of @events
 *
 * A further call for the same descriptor replaces @events, @fn and @ctx.  No
 * @events end the watch, which the caller must do before it closes @fd.
 * Returns 0, or -1 when @fd is out of range or epoll refuses it.
 */
int loop_watch (loop_t *l, int fd, uint32_t events, loop_fd_fn_t fn,
                void *ctx);
/** loop_quit - make loop_run return; called on the control thread only */
void loop_quit (loop_t *l);
/** loop_free - free the loop; items still queued are not freed */
void loop_free (loop_t *l);
/** clock_ms - milliseconds of the monotonic clock */
gl_ms_t clock_ms (void);

#endif
