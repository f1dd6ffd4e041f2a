/* loop.h -- the control thread: one queue of events, one clock */
#ifndef GL_LOOP_H
#define GL_LOOP_H

#include "gentianlatch.h"

/** typedef loop_t - queue from the traffic threads to the control thread */
typedef struct loop loop_t;

/**
 * struct loop_handlers_t - what the control thread runs
 * @take: handles one posted item and releases it
 * @tick: called when @due has come
 * @due: when @tick is wanted next
 */
typedef struct
{
  void (*take) (void *ctx, void *item);
  void (*tick) (void *ctx);
  gl_ms_t (*due) (void *ctx);
  void *ctx;
} loop_handlers_t;

/** loop_fd_fn_t - @fd can be read or written, or has failed; @events is a mask
    of epoll's */
typedef void (*loop_fd_fn_t) (void *ctx, int fd, uint32_t events);

/** loop_new - an empty queue; NULL without memory or descriptor */
loop_t *loop_new (void);
/** loop_post - hand @item to the control thread; -1 when the queue is full */
int loop_post (loop_t *l, void *item);
/**
 * loop_must_post - hand @item over whatever the queue holds
 *
 * Another thread waits for room.  The control thread, which would wait for
 * itself, keeps the item in a backlog that it takes after the queue.
 */
void loop_must_post (loop_t *l, void *item);
/** loop_run - run the control thread until loop_quit */
void loop_run (loop_t *l, const loop_handlers_t *part);
/** loop_drain - take what is posted, without waiting */
void loop_drain (loop_t *l, const loop_handlers_t *part);
/**
 * loop_watch - call @fn on the control thread when @events are due on @fd
 *
 * Called again for the same descriptor it changes what is wanted; with no
 * @events it ends the watching, which must come before the close.
 */
int loop_watch (loop_t *l, int fd, uint32_t events, loop_fd_fn_t fn,
                void *ctx);
/** loop_quit - end loop_run; called on the control thread */
void loop_quit (loop_t *l);
/** loop_free - release it */
void loop_free (loop_t *l);
/** clock_ms - the monotonic clock */
gl_ms_t clock_ms (void);

#endif
