/*
 * cellflow.c -- how far the owner's link is behind
 *
 * An owner sends most of what the cell sends: orders, polls, transactions,
 * consultations, heartbeats.  What it sends in a moment may take its link far
 * longer.  Answers then come late, are taken for lost, and are asked for
 * again, which fills the link further; workers that live count as gone.
 *
 * The settings tell the link's rate, so the time that the messages of the
 * reducer still need on it is known (a leaky bucket).  Starts wait while that
 * is long, and so do consultations, whose tickets would lapse unused: they are
 * most of the bytes, and everything else keeps the cell alive.  Timeouts begin
 * when a message leaves.
 */
#include "cellint.h"

/* Share of the link's rate that the reducer's messages may use.  The rest is
   for callers' requests, their answers, watches and acknowledgements. */
#define LINK_SHARE 0.85
/* No task is started while the link needs longer than this for what was sent
   before. */
#define START_BACKLOG_MS 50
/* Kilobits per second in bytes per millisecond. */
#define KBPS_PER_BYTE_MS 8.0

gl_ms_t
flow_send (cell_t *c, size_t bytes)
{
  if (!c->limits.link_kbps)
    return 0;
  if (c->link_free_at < (double)c->now)
    c->link_free_at = (double)c->now;
  c->link_free_at
      += (double)bytes * KBPS_PER_BYTE_MS / (c->limits.link_kbps * LINK_SHARE);
  return flow_backlog (c);
}

gl_ms_t
flow_backlog (const cell_t *c)
{
  return c->link_free_at > (double)c->now
             ? (gl_ms_t)(c->link_free_at - (double)c->now)
             : 0;
}

int
flow_is_behind (const cell_t *c)
{
  return flow_backlog (c) > START_BACKLOG_MS;
}

gl_ms_t
flow_next_start (const cell_t *c)
{
  gl_ms_t backlog = flow_backlog (c);

  return backlog > START_BACKLOG_MS ? c->now + backlog - START_BACKLOG_MS
                                    : c->now;
}
