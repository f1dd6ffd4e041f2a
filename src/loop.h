/* loop.h -- the control thread: one queue of events, one clock */
#ifndef GL_LOOP_H
#define GL_LOOP_H

#include <ck_ring.h>

#include "gentianlatch.h"

#define LOOP_SLOTS 8192

/**
 * struct loop_t - queue from the traffic threads to the control thread
 * @fd: event descriptor that wakes the control thread
 * @asleep: the control thread waits, so a post must wake it
 */
typedef struct
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[LOOP_SLOTS];
  int fd;
  unsigned int asleep;
  int quit;
} loop_t;

/**
 * struct loop_part_t - what the control thread runs
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
} loop_part_t;

/** loop_init - an empty queue; -1 when the system refuses a descriptor */
int loop_init (loop_t *l);
/** loop_post - hand @item to the control thread; -1 when the queue is full */
int loop_post (loop_t *l, void *item);
/** loop_run - run the control thread until loop_quit */
void loop_run (loop_t *l, const loop_part_t *part);
/** loop_quit - end loop_run; called on the control thread */
void loop_quit (loop_t *l);
/** loop_done - release the descriptor */
void loop_done (loop_t *l);
/** clock_ms - the monotonic clock */
gl_ms_t clock_ms (void);

#endif
