/* line.h -- this VM's line to the advisor: one consultation at a time */
#ifndef GL_LINE_H
#define GL_LINE_H

#include "cell.h"

/** struct consult_entry_t - a consultation that waits or is out */
typedef struct
{
  uint64_t tag;
  uint32_t priority;
  gl_ms_t by;
  gl_consult_t consult;
} consult_entry_t;

/** struct consult_queue_t - @out is at the front while @busy */
typedef struct
{
  consult_entry_t *v;
  size_t n;
  size_t cap;
  int busy;
  uint64_t out;
} consult_queue_t;

/** consult_queue_add - queue a consultation, which is taken over */
int consult_queue_add (consult_queue_t *l, uint64_t tag, gl_consult_t *consult,
                       gl_ms_t by);
/** consult_queue_next - the consultation to send now, or NULL; drops late
   ones, whose tags are reported through @late */
const consult_entry_t *
consult_queue_next (consult_queue_t *l, gl_ms_t now,
                    void (*late) (void *ctx, uint64_t tag), void *ctx);
/** consult_queue_finish - the one that was out has ended */
void consult_queue_finish (consult_queue_t *l, uint64_t tag);
void consult_queue_free (consult_queue_t *l);

#endif
