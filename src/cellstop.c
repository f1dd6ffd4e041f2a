/*
 * cellstop.c -- planned stop of a VM: how long it goes on serving
 *
 * The balancer sends new connections until it has noticed that the VM is not
 * ready any more, so the VM accepts them for a while.
 */
#include "cellint.h"

/* How long new connections are accepted after the stop began.  The balancer
   probes once a second and takes the VM out after two misses; one probe may be
   in flight already. */
#define ACCEPT_MS 2500
/* Every request is answered this long before the process ends at the latest,
   so that the answers can still be sent. */
#define ANSWER_MARGIN_MS 400

void
stop_begin (cell_t *c, gl_ms_t ends_at)
{
  c->stopping = 1;
  c->stop_at = c->now;
  c->stop_ends_at = ends_at;
  cell_log (c, "stopping role=%d ends_in_ms=%llu", c->role,
            (unsigned long long)(ends_at > c->now ? ends_at - c->now : 0));
}

gl_ms_t
stop_answers_until (const cell_t *c)
{
  if (!c->stopping)
    return TIMER_NEVER;
  return c->stop_ends_at - ANSWER_MARGIN_MS;
}

cell_stop_stage_t
cell_stop_stage (const cell_t *c)
{
  if (!c->stopping)
    return CELL_STOP_NONE;
  return c->now < c->stop_at + ACCEPT_MS && c->now < c->stop_ends_at
             ? CELL_STOP_SERVING
             : CELL_STOP_CLOSING;
}
