/*
 * cellreach.c -- whom this VM can reach, and so whether it can serve callers
 *
 * A VM is isolated when the store does not answer it and no VM of another
 * failure domain does either.  Others may then still be served, so an isolated
 * VM is not ready for requests, which makes the balancer send its callers to
 * other domains, and refuses at once what it cannot pass on.  When only the
 * store is silent, no VM can serve, and all stay ready for its return.
 *
 * A standby hears other domains through the owner's heartbeats, the owner
 * through the answers to them.  An owner that may be isolated sends none to
 * the VMs of its own domain, so that these find out as soon as it does.
 *
 * Silence counts only while this VM has run itself: one that was frozen has
 * missed heartbeats and answers that were sent in time.
 */
#include "cellint.h"

#include <string.h>

/* Events come at least as often as the timer of cellown.c; after a longer gap
   this VM was frozen. */
#define FROZEN_GAP_MS 300
/* Silence after which a VM may be isolated: somewhat longer than the period of
   heartbeats. */
#define MAY_BE_ISOLATED_MS (CELL_HEARTBEAT_MS + 100)

void
reach_note_time (cell_t *c, gl_ms_t now)
{
  if (now - c->now > FROZEN_GAP_MS)
    c->awake_since = now;
}

/* Time since @heard_at, or since this VM woke up if that was later. */
static gl_ms_t
silence_ms (const cell_t *c, gl_ms_t heard_at)
{
  return c->now - (heard_at > c->awake_since ? heard_at : c->awake_since);
}

/* Whether a VM of another domain has answered the owner within @span_ms, or
   there is none. */
static int
other_domain_answers (const cell_t *c, gl_ms_t span_ms)
{
  int known = 0;

  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (!v->registered || !strcmp (v->domain, c->domain))
        continue;
      known = 1;
      if (silence_ms (c, v->answered_at) <= span_ms)
        return 1;
    }
  return !known;
}

int
reach_is_outside (const cell_t *c, const cvm_t *v)
{
  if (strcmp (v->domain, c->domain) != 0)
    return 1;
  for (int i = 0; i < c->nvms; i++)
    if (c->vms[i].registered && strcmp (c->vms[i].domain, c->domain) != 0)
      return 0;
  return 1;
}

static int
isolated_for (const cell_t *c, gl_ms_t span_ms)
{
  if (silence_ms (c, c->store_answered_at) <= span_ms)
    return 0;
  if (c->role == CR_OWNER)
    return !other_domain_answers (c, span_ms);
  return silence_ms (c, c->heartbeat_at) > span_ms;
}

int
reach_is_isolated (const cell_t *c)
{
  return isolated_for (c, CELL_ISOLATED_MS);
}

int
reach_may_be_isolated (const cell_t *c)
{
  return isolated_for (c, MAY_BE_ISOLATED_MS);
}

int
reach_owner_is_heard (const cell_t *c)
{
  return silence_ms (c, c->heartbeat_at) <= CELL_FORWARD_SILENCE_MS;
}

int
cell_ready (const cell_t *c)
{
  gl_ms_t silent_ms = silence_ms (c, c->heartbeat_at);

  if (!c->conf.version || c->stop.stopping || reach_is_isolated (c)
      || conf_is_outdated (c, c->now))
    return 0;
  return c->role == CR_OWNER
         || (c->ownership_known && !c->owner_refused_at
             && silent_ms < (c->owner_key_present ? CELL_OWNER_UNREACHABLE_MS
                                                  : CELL_OWNER_KEY_LOST_MS));
}
