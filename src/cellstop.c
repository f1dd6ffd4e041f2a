/*
 * cellstop.c -- planned stops: who goes on, who ends first, what is promised
 *
 * A VM that is told to stop has until its deadline.  Its key in the store and
 * its answers to heartbeats tell the others.
 *
 * Promises: every request is answered before the process ends, so that time
 * bounds all deadlines.
 *
 * Ownership: an owner that stops hands the cell over once a VM that stays
 * could claim it, or so long before its end that a release is certain to be
 * written.  Until then it goes on as owner.  While no other VM could own the
 * cell, it releases it as late as it may.  A VM that stops claims the cell
 * only while no VM stays, and if it has time left to be of use.
 *
 * Connections: a VM accepts new ones until the balancer has taken it out.
 * When no VM stays, the balancer cannot do so.  Then the VMs of a failure
 * domain end in turns: by name, every second one ends as usual, and the others
 * and the owner serve on until a VM has come back, or their end is near.  When
 * nobody can own the cell before a VM comes back, requests are refused at
 * once, and the VMs end without delay.
 */
#include "cellint.h"

#include <string.h>

/* How long new connections are accepted after the stop began.  The balancer
   probes once a second and takes the VM out after two misses; one probe may be
   in flight already. */
#define ACCEPT_MS 2500
/* A VM that serves on ends this long after another one has come back: the
   balancer has probed that one by then. */
#define RETURNED_MS 1200
/* Times before the process ends at the latest.  First the cell is released:
   there is time for writes to settle, and for a release that gets no answer to
   be repeated.  From RELEASE_LATEST_MS on it no longer waits for writes. */
#define RELEASE_MARGIN_MS 1400
#define RELEASE_LATEST_MS 1000
/* New connections are refused. */
#define CLOSE_MARGIN_MS 900
/* Every request is answered, so that the answers can still be sent. */
#define ANSWER_MARGIN_MS 400
_Static_assert(RELEASE_MARGIN_MS > RELEASE_LATEST_MS
                   && RELEASE_LATEST_MS > CLOSE_MARGIN_MS
                   && CLOSE_MARGIN_MS > ANSWER_MARGIN_MS,
               "a stop releases, closes, and answers in this order");
/* In a stop that is shorter than this many times the margin, the margins of
   connections and answers are this part of it. */
#define MARGIN_PART 3
/* Before the release, writes may take this long to settle, from the beginning
   of the stop and from the decision to hand over. */
#define SETTLE_MS 800
#define LATE_SETTLE_MS 300
/* The same for consultations that were in flight at that decision: the
   advisor's answer would be lost, and the next owner has to ask again. */
#define CONSULTS_SETTLE_MS 1500
/* A VM that stops claims the cell only if it can own it for this long. */
#define OWN_MIN_MS 1000
/* No consultation goes through a VM that has been stopping for this long,
   since it may end before the advisor has answered. */
#define CONSULT_MS 1500
/* Assumed time from the end of a process to the next start of the VM, while
   none has been seen. */
#define RESTART_MS 1000
/* Weight of one restart in the learned time that a stop takes. */
#define USUAL_WEIGHT 0.3

/* ---- the VM's own stop ---- */

void
stop_begin (cell_t *c, gl_ms_t ends_at)
{
  if (c->stop.stopping)
    return;
  c->stop.stopping = 1;
  c->stop.began_at = c->now;
  c->stop.ends_at = ends_at;
  cell_log (c, "stopping role=%d ends_in_ms=%llu staying=%d", c->role,
            (unsigned long long)(ends_at > c->now ? ends_at - c->now : 0),
            stop_count_staying (c));
}

/* Whether @margin_ms or less is left until @ends_at. */
static int
is_near (const cell_t *c, gl_ms_t ends_at, gl_ms_t margin_ms)
{
  return c->now + margin_ms >= ends_at;
}

/* The margin before the end of this VM's process, less in a short stop. */
static gl_ms_t
margin_ms (const cell_t *c, gl_ms_t usual_ms)
{
  gl_ms_t part = (c->stop.ends_at - c->stop.began_at) / MARGIN_PART;

  return usual_ms < part ? usual_ms : part;
}

gl_ms_t
stop_answers_until (const cell_t *c)
{
  if (!c->stop.stopping)
    return TIMER_NEVER;
  return c->stop.ends_at - margin_ms (c, ANSWER_MARGIN_MS);
}

/* ---- the other VMs ---- */

void
stop_vm_changed (cell_t *c, cvm_t *v, const gl_vmstate_t *state)
{
  int stayed = v->registered && !v->stopping;
  double span_ms = (double)(c->now - v->stop_at);

  if (state->stopping)
    {
      if (!v->stopping)
        v->stop_at = c->now;
      v->stopping = 1;
      v->stop_ends_at = c->now + state->ends_in_ms;
      return;
    }
  if (v->stopping && c->members_synced)
    c->stop.usual_ms += (span_ms - c->stop.usual_ms)
                        * (c->stop.usual_ms > 0 ? USUAL_WEIGHT : 1);
  v->stopping = 0;
  if (!stayed)
    v->staying_since = c->now;
}

static int
is_other (const cell_t *c, const cvm_t *v)
{
  return v->registered && strcmp (v->vm, c->vm);
}

/* Whether the VM is another one, and not stopping. */
static int
stays (const cell_t *c, const cvm_t *v)
{
  return is_other (c, v) && !v->stopping;
}

int
stop_count_staying (const cell_t *c)
{
  int n = 0;

  for (int i = 0; i < c->nvms; i++)
    n += stays (c, &c->vms[i]);
  return n;
}

/* Whether another VM has stayed for @ms. */
static int
other_stays_for (const cell_t *c, gl_ms_t ms)
{
  for (int i = 0; i < c->nvms; i++)
    if (stays (c, &c->vms[i]) && c->now >= c->vms[i].staying_since + ms)
      return 1;
  return 0;
}

int
stop_takes_consults (const cell_t *c, const cvm_t *v)
{
  return !is_other (c, v) || !v->stopping || c->now < v->stop_at + CONSULT_MS;
}

/* ---- ownership ---- */

/* Whether a VM that ends at @ends_at has time to own the cell. */
static int
has_time_to_own (const cell_t *c, gl_ms_t ends_at)
{
  return !is_near (c, ends_at, RELEASE_MARGIN_MS + OWN_MIN_MS);
}

/* Whether another VM could own the cell if it were released now. */
static int
other_can_own (const cell_t *c)
{
  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (is_other (c, v)
          && (!v->stopping || has_time_to_own (c, v->stop_ends_at)))
        return 1;
    }
  return 0;
}

int
stop_may_claim (const cell_t *c)
{
  return !c->stop.stopping
         || (!c->stop.closing && !stop_count_staying (c)
             && has_time_to_own (c, c->stop.ends_at));
}

/* Whether a VM that stays has said since the stop began that it could claim
   the cell.  Its word counts only from CELL_STOP_SPREAD_MS on, since others
   may be told to stop at the same time. */
static int
successor_is_ready (const cell_t *c)
{
  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (stays (c, v) && v->may_claim
          && v->asked_at >= c->stop.began_at + CELL_STOP_SPREAD_MS
          && c->now <= v->answered_at + CELL_HEARTBEAT_LOST_MS)
        return 1;
    }
  return 0;
}

/* The reason to hand the cell over now, or NULL. */
static const char *
why_hand_over (const cell_t *c)
{
  if (is_near (c, c->stop.ends_at, RELEASE_MARGIN_MS))
    return "end_is_near";
  return successor_is_ready (c) ? "successor_ready" : NULL;
}

int
stop_release_due (cell_t *c)
{
  const char *why;

  /* A release that was sent may be carried out, so it is sent again. */
  if (c->releasing)
    return 1;
  if (c->stop.hand_over_at && !stop_count_staying (c)
      && !is_near (c, c->stop.ends_at, RELEASE_MARGIN_MS))
    c->stop.hand_over_at = 0;
  if (!c->stop.hand_over_at)
    {
      why = why_hand_over (c);
      if (!why)
        return 0;
      c->stop.hand_over_at = c->now;
      cell_log (c, "hand_over why=%s stopping_ms=%llu staying=%d", why,
                (unsigned long long)(c->now - c->stop.began_at),
                stop_count_staying (c));
    }
  if (is_near (c, c->stop.ends_at, RELEASE_LATEST_MS))
    return 1;
  /* Until another VM is back, an early release leaves the cell without an
     owner for longer. */
  if (!other_can_own (c))
    return 0;
  if (c->now < c->stop.began_at + CONSULTS_SETTLE_MS
      && consults_since_before (c, c->stop.hand_over_at))
    return 0;
  return save_idle (c)
         || (c->now >= c->stop.began_at + SETTLE_MS
             && c->now >= c->stop.hand_over_at + LATE_SETTLE_MS);
}

int
stop_nobody_can_own (const cell_t *c)
{
  if (!c->stop.stopping || c->role != CR_STANDBY || !c->ownership_known
      || (!c->ownership.released && !c->owner_refused_at))
    return 0;
  return !has_time_to_own (c, c->stop.ends_at) && !other_can_own (c);
}

/* When the VM that began to stop at @stop_at is expected back. */
static gl_ms_t
expected_back (const cell_t *c, gl_ms_t stop_at)
{
  return stop_at
         + (c->stop.usual_ms > 0
                ? (gl_ms_t)c->stop.usual_ms
                : c->stop.ends_at - c->stop.began_at + RESTART_MS);
}

uint32_t
stop_retry_ms (const cell_t *c)
{
  gl_ms_t back = expected_back (c, c->stop.began_at);
  gl_ms_t ms;

  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];
      gl_ms_t at = expected_back (c, v->stop_at);

      /* One that is overdue may be gone for good. */
      if (v->stopping && at >= c->now && at < back)
        back = at;
    }
  ms = back > c->now ? back - c->now : 0;
  if (ms < CELL_RETRY_MS)
    ms = CELL_RETRY_MS;
  if (ms > CELL_RETRY_MAX_MS)
    ms = CELL_RETRY_MAX_MS;
  return (uint32_t)ms + (uint32_t)gsl_rng_uniform_int (c->rng, CELL_RETRY_MS);
}

/* ---- when to take no more connections ---- */

/* Whether this VM is among those of its failure domain that end first when no
   VM stays: every second one by name, the owner left out. */
static int
ends_first (const cell_t *c)
{
  int before = 0;

  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      before += is_other (c, v) && v->stopping
                && !strcmp (v->domain, c->domain)
                && strcmp (v->vm, c->ownership.vm ? c->ownership.vm : "")
                && strcmp (v->vm, c->vm) < 0;
    }
  return before % 2 == 0;
}

/* The reason to take no more connections, or NULL. */
static const char *
why_close (cell_t *c)
{
  if (is_near (c, c->stop.ends_at, margin_ms (c, CLOSE_MARGIN_MS)))
    return "end_is_near";
  if (c->role != CR_STANDBY)
    return NULL;
  if (stop_nobody_can_own (c))
    return "nobody_can_own";
  if (c->now < c->stop.began_at + ACCEPT_MS)
    return NULL;
  if (other_stays_for (c, RETURNED_MS))
    return "others_serve";
  if (stop_count_staying (c))
    return NULL;
  /* Decided once: VMs that have ended drop out of the count. */
  if (c->stop.turn == CSTOP_UNDECIDED)
    c->stop.turn = ends_first (c) ? CSTOP_ENDS_FIRST : CSTOP_SERVES_ON;
  return c->stop.turn == CSTOP_ENDS_FIRST ? "ends_first" : NULL;
}

void
stop_update (cell_t *c)
{
  const char *why;

  if (!c->stop.stopping || c->stop.closing)
    return;
  why = why_close (c);
  if (!why)
    return;
  c->stop.closing = 1;
  cell_log (c, "closing why=%s stopping_ms=%llu staying=%d requests=%zu", why,
            (unsigned long long)(c->now - c->stop.began_at),
            stop_count_staying (c), c->nrequests);
}

cell_stop_stage_t
cell_stop_stage (const cell_t *c)
{
  if (!c->stop.stopping)
    return CELL_STOP_NONE;
  if (!c->stop.closing)
    return CELL_STOP_SERVING;
  return c->role == CR_STANDBY && !c->nrequests ? CELL_STOP_DONE
                                                : CELL_STOP_CLOSING;
}
