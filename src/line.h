/* line.h -- this VM's line to the advisor: one consultation at a time */
#ifndef GL_LINE_H
#define GL_LINE_H

#include "cell.h"

/** struct line_ask_t - a consultation that waits or is out */
typedef struct
{
  uint64_t tag;
  uint32_t priority;
  gl_ms_t by;
  gl_consult_t consult;
} line_ask_t;

/** struct line_t - @out is at the front while @busy */
typedef struct
{
  line_ask_t *v;
  size_t n;
  size_t cap;
  int busy;
  uint64_t out;
} line_t;

/** line_add - queue a consultation, which is taken over */
int line_add (line_t *l, uint64_t tag, gl_consult_t *consult, gl_ms_t by);
/** line_next - the consultation to send now, or NULL; drops late ones, whose
    tags are reported through @late */
const line_ask_t *line_next (line_t *l, gl_ms_t now,
                             void (*late) (void *ctx, uint64_t tag),
                             void *ctx);
/** line_ended - the one that was out has ended */
void line_ended (line_t *l, uint64_t tag);
void line_done (line_t *l);

#endif
