/*
 * cellconf.c -- the configuration in force on this VM, and callers' keys
 *
 * The VM that takes a caller's request finds the team of its key.  The owner
 * gets the team's name only, so that keys do not leave the VM, and so that an
 * owner with an older configuration serves a team that it does not know yet.
 *
 * Each VM watches the configuration in the store.  A VM that the store refuses
 * learns of a newer one by the versions that heartbeats and their answers
 * carry: standbys fetch it from the owner, and the owner from a VM that has
 * it. The fetch waits a little, since most VMs hear of a change from the store
 * at about the same time.
 *
 * A VM that hears neither the store nor the owner may miss that a key was
 * removed, so after a while it refuses requests that need one.  While the
 * store answers nobody, VMs and owner hear each other and serve on.
 */
#include "cellint.h"

#include <string.h>

/* How long another VM may have a newer configuration before it is fetched. */
#define BEHIND_MS 300
/* Timeout of a fetch: a large configuration on a slow link takes about 0.5 s,
   and up to CELL_CONF_SENDS_MAX share the link. */
#define FETCH_TIMEOUT_MS 3000
/* Pause before the same VM is asked again after a failure.  One that is busy
   is asked again with the next heartbeat. */
#define RETRY_MS 1000
/* Least time between log lines about failed fetches. */
#define FAILURE_LOG_MS 1000
/* Age of the configuration that is logged. */
#define OLD_MS 2000
/* A VM that has heard neither the store nor the owner for this long refuses
   keys; the platform's maxSkewMs. */
#define OUTDATED_MS 6000
/* Confirmations do not count for this long after this VM was frozen: they may
   have been sent before. */
#define AWAKE_MS 300
/* Rate of a link of which the settings do not tell it, in bytes a ms: 10
   Mbit/s, that of most VMs. */
#define USUAL_BYTES_MS 1250

int
cell_configured (const cell_t *c)
{
  return c->conf.version != 0;
}

uint64_t
cell_conf_version (const cell_t *c)
{
  return c->conf.version;
}

const cell_conf_t *
cell_conf (const cell_t *c)
{
  return &c->conf;
}

/* ---- keys ---- */

int
conf_is_outdated (const cell_t *c, gl_ms_t now)
{
  const cconf_state_t *s = &c->conf_state;
  gl_ms_t heard_at
      = s->confirmed_at > s->heard_at ? s->confirmed_at : s->heard_at;

  return c->conf.teams.configured && now > heard_at + OUTDATED_MS
         && !FAULT (FAULT_CELL_CONF_TRUSTED);
}

cell_auth_t
cell_authenticate (cell_t *c, const cell_queue_t *q, const char *key,
                   gl_ms_t now, const char **team)
{
  int at = -1;

  *team = "";
  if (!c->conf.teams.configured || (!key && q->allow_anonymous))
    return CELL_AUTH_OK;
  if (conf_is_outdated (c, now))
    {
      c->counters.key_outdated++;
      return CELL_AUTH_OUTDATED;
    }
  if (key)
    at = teams_find_key (&c->conf.teams, key);
  if (at >= 0)
    *team = c->conf.teams.v[at].name;
  if (at >= 0 || q->allow_anonymous)
    return CELL_AUTH_OK;
  if (key)
    c->counters.key_unknown++;
  else
    c->counters.key_missing++;
  return key ? CELL_AUTH_UNKNOWN : CELL_AUTH_MISSING;
}

/* ---- confirmations ---- */

static void
set_confirmed (cell_t *c)
{
  cconf_state_t *s = &c->conf_state;

  if (s->age_logged)
    cell_log (c, "config_confirmed version=%llu age_ms=%llu",
              (unsigned long long)c->conf.version,
              (unsigned long long)(c->now - s->confirmed_at));
  s->age_logged = 0;
  s->confirmed_at = c->now;
}

void
conf_confirmed (cell_t *c)
{
  if (c->now >= c->awake_since + AWAKE_MS && !c->conf_state.behind_since)
    set_confirmed (c);
}

void
conf_note_age (cell_t *c)
{
  cconf_state_t *s = &c->conf_state;

  if (!c->conf.version || s->age_logged || c->now <= s->confirmed_at + OLD_MS)
    return;
  s->age_logged = 1;
  cell_log (c, "config_old version=%llu age_ms=%llu heard_ms=%lld behind=%d",
            (unsigned long long)c->conf.version,
            (unsigned long long)(c->now - s->confirmed_at),
            cell_age_ms (c, s->heard_at), s->behind_since != 0);
}

void
conf_metrics (const cell_t *c, text_t *t)
{
  text_add (t, "cell_config_version %llu\n",
            (unsigned long long)c->conf.version);
  if (c->conf.version)
    text_add (t, "cell_config_age_ms %llu\ncell_config_outdated %d\n",
              (unsigned long long)(c->now - c->conf_state.confirmed_at),
              conf_is_outdated (c, c->now));
}

/* ---- fetches ---- */

static void
fetch (cell_t *c, const char *addr)
{
  cconf_state_t *s = &c->conf_state;
  cell_effect_t *e = cell_add_effect (c, CELL_FX_FETCH_CONF);

  if (!e)
    return;
  s->fetch_tag = e->tag = cell_new_tag (c);
  s->fetch_sent_at = c->now;
  cell_strcpy (s->fetch_addr, addr);
  cell_strcpy (e->key, addr);
  e->timeout = FETCH_TIMEOUT_MS;
  c->counters.conf_fetches++;
}

void
conf_hear (cell_t *c, const char *addr, uint64_t version, int confirms,
           int is_peer)
{
  cconf_state_t *s = &c->conf_state;

  if (version && version == c->conf.version
      && c->now >= c->awake_since + AWAKE_MS)
    {
      if (is_peer)
        s->heard_at = c->now;
      if (confirms)
        set_confirmed (c);
    }
  if (version <= c->conf.version)
    return;
  if (!s->behind_since)
    s->behind_since = c->now;
  /* A standby does not wait for a former owner. */
  if (c->now <= s->behind_since + BEHIND_MS
      || (s->fetch_tag && c->role == CR_OWNER)
      || (!strcmp (addr, s->fetch_addr)
          && (s->fetch_tag || c->now < s->fetch_after)))
    return;
  fetch (c, addr);
}

void
conf_fetched (cell_t *c, const cell_event_t *ev)
{
  cconf_state_t *s = &c->conf_state;

  if (ev->tag != s->fetch_tag)
    return;
  s->fetch_tag = 0;
  if (ev->call_code == GL_OK)
    {
      cell_log (c, "config_fetched version=%llu from=%s ms=%llu",
                (unsigned long long)c->conf.version, s->fetch_addr,
                (unsigned long long)(c->now - s->fetch_sent_at));
      return;
    }
  c->counters.conf_fetches_failed++;
  s->fetch_after = ev->call_code == GL_RETRY ? 0 : c->now + RETRY_MS;
  if (s->failure_logged_at && c->now < s->failure_logged_at + FAILURE_LOG_MS)
    return;
  s->failure_logged_at = c->now;
  cell_log (c, "config_fetch_failed version=%llu from=%s code=%s ms=%llu",
            (unsigned long long)c->conf.version, s->fetch_addr,
            gl_code_name (ev->call_code),
            (unsigned long long)(c->now - s->fetch_sent_at));
}

void
conf_applied (cell_t *c)
{
  cconf_state_t *s = &c->conf_state;

  /* The next heartbeat tells if another VM has a still newer one. */
  s->behind_since = 0;
  /* The first one counts as confirmed: it comes from the store, or from a VM
     that the next heartbeat confirms. */
  if (!s->confirmed_at)
    s->confirmed_at = c->now;
}

int
cell_may_send_conf (cell_t *c, size_t len)
{
  cconf_state_t *s = &c->conf_state;
  gl_ms_t span = len / USUAL_BYTES_MS;
  gl_ms_t *slot = NULL;
  int busy = 0;

  for (int i = 0; i < CELL_CONF_SENDS_MAX; i++)
    if (s->sent_until[i] <= c->now)
      slot = &s->sent_until[i];
    else
      busy++;
  if (!slot)
    {
      c->counters.conf_busy++;
      return 0;
    }
  if (c->limits.link_kbps)
    span = flow_send (c, len);
  else
    span *= (gl_ms_t)busy + 1;
  *slot = c->now + span;
  c->counters.conf_sent++;
  return 1;
}
