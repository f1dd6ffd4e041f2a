/*
 * upstream.c -- upstream instances: share of slots, choice, health
 *
 * An instance's slots are split among the entries of its own domain by
 * number, so each entry has a share that it need not ask anyone for and
 * keeps when it is cut off.  Entries of other domains may use SPILL_SLOTS
 * each when their own instances have no room; if that is too much, the
 * instance refuses, which is safe for any request.
 *
 * The first word of leaving counts, whether it comes from the list, from a
 * refusal or from a health check, since the list lags.  A failed sending
 * is not yet the instance's fault: it is probed on a new connection, and
 * when that works the old connections are to blame and are retired.
 */
#include "routeint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Weight of the newest answer in the smoothed time. */
#define SMOOTH 0.1

static int
service_index (gl_router_t *r, const char *name)
{
  for (int i = 0; i < r->nservices; i++)
    if (!strcmp (r->services[i].name, name))
      return i;
  if (r->nservices == SERVICES_MAX)
    return -1;
  snprintf (r->services[r->nservices].name, sizeof r->services[0].name, "%s",
            name);
  return r->nservices++;
}

static int
instance_index (gl_router_t *r, const gl_vm_t *vm, int service)
{
  instance_t *n;

  for (int i = 0; i < r->ninst; i++)
    if (!strcmp (r->inst[i].name, vm->name))
      return i;
  if (r->ninst == INSTANCES_MAX)
    return -1;
  n = realloc (r->inst, (size_t)(r->ninst + 1) * sizeof *n);
  if (!n)
    return -1;
  r->inst = n;
  n = &r->inst[r->ninst];
  memset (n, 0, sizeof *n);
  snprintf (n->name, sizeof n->name, "%s", vm->name);
  n->service = service;
  n->probe_wait = PROBE_MIN_MS;
  n->probe_at = r->now + route_jitter (r, HEALTH_MS);
  return r->ninst++;
}

static int
share_of (const gl_router_t *r, int own)
{
  if (!own)
    return SPILL_SLOTS;
  return r->slots / r->entries + (r->number < r->slots % r->entries);
}

static void
leave (gl_router_t *r, instance_t *n, const char *who)
{
  gl_route_effect_t *e;

  n->healthy_since = 0;
  if (n->state == INST_LEAVING)
    return;
  n->state = INST_LEAVING;
  n->left_at = r->now;
  r->c.left++;
  e = rfx_add (r, GL_ROUTE_FX_LOG);
  if (e)
    snprintf (e->log, sizeof e->log, "instance %s leaving, by %s", n->name,
              who);
}

static void
list_one (gl_router_t *r, const gl_vm_t *vm)
{
  int service = service_index (r, vm->service);
  int i = service < 0 ? -1 : instance_index (r, vm, service);
  instance_t *n;

  if (i < 0)
    return;
  n = &r->inst[i];
  n->own = !strcmp (vm->domain, r->domain);
  n->share = share_of (r, n->own);
  if (!n->listed)
    {
      n->limit = n->share;
      n->state = INST_OK;
    }
  n->listed = 1;
  memcpy (n->addr, vm->addr, sizeof n->addr);
  n->list_leaving = vm->state == GL_VM_LEAVING;
  if (n->list_leaving)
    leave (r, n, "the list");
}

void
upstreams_listed (gl_router_t *r, const gl_vm_t *vms, size_t n)
{
  unsigned char *seen = calloc ((size_t)INSTANCES_MAX, 1);

  if (!seen)
    return;
  for (size_t k = 0; k < n; k++)
    if (!strcmp (vms[k].role, "upstream"))
      {
        list_one (r, &vms[k]);
        for (int i = 0; i < r->ninst; i++)
          if (!strcmp (r->inst[i].name, vms[k].name))
            seen[i] = 1;
      }
  for (int i = 0; i < r->ninst; i++)
    if (!seen[i])
      r->inst[i].listed = 0;
  free (seen);
  for (int s = 0; s < r->nservices; s++)
    route_serve (r, s);
  timer_arm_before (&r->timers, r->t_probe, r->now);
}

/* ---- choice ---- */

static int
usable (const gl_router_t *r, const instance_t *n, int service)
{
  if (n->service != service || !n->listed || n->open >= n->limit)
    return 0;
  if (n->state == INST_LEAVING && FAULT (FAULT_IGNORE_LEAVING))
    return 1;
  return n->state == INST_OK && n->full_until <= r->now;
}

/* Own domain first; then the one that is least busy for its share, then the
   faster one. */
static int
better (const instance_t *a, const instance_t *b)
{
  if (a->own != b->own)
    return a->own;
  if (a->open * b->share != b->open * a->share)
    return a->open * b->share < b->open * a->share;
  return a->took < b->took;
}

int
upstream_choose (gl_router_t *r, int service, int avoid)
{
  int best = -1;
  int fallback = -1;
  int from = r->ninst ? (int)route_jitter (r, (gl_ms_t)r->ninst) : 0;

  /* Start anywhere, so that equal instances share the load. */
  for (int k = 0; k < r->ninst; k++)
    {
      int i = (from + k) % r->ninst;

      if (!usable (r, &r->inst[i], service))
        continue;
      if (i == avoid)
        fallback = i;
      else if (best < 0 || better (&r->inst[i], &r->inst[best]))
        best = i;
    }
  return best >= 0 ? best : fallback;
}

int
upstream_slots (const gl_router_t *r, int service, double *took)
{
  double sum = 0;
  int slots = 0;

  for (int i = 0; i < r->ninst; i++)
    {
      const instance_t *n = &r->inst[i];

      if (n->service != service || !n->listed || n->state != INST_OK)
        continue;
      slots += n->limit;
      sum += n->took * n->limit;
    }
  *took = slots ? sum / slots : 0;
  return slots;
}

/* ---- what sendings tell ---- */

void
upstream_took (gl_router_t *r, int i, gl_ms_t ms)
{
  instance_t *n = &r->inst[i];

  n->took
      = n->took > 0 ? n->took + SMOOTH * ((double)ms - n->took) : (double)ms;
  n->answered_at = r->now;
  if (n->limit < n->share)
    n->limit++;
}

void
upstream_refused (gl_router_t *r, int i, int leaving, gl_ms_t retry_after)
{
  instance_t *n = &r->inst[i];

  if (leaving)
    leave (r, n, "its own refusal");
  else
    n->full_until = r->now + (retry_after ? retry_after : FULL_MS);
  timer_arm_before (&r->timers, r->t_expire, n->full_until);
}

static void
send_probe (gl_router_t *r, int i)
{
  instance_t *n = &r->inst[i];
  gl_route_effect_t *e = rfx_add (r, GL_ROUTE_FX_PROBE);

  if (!e)
    return;
  e->instance = (uint32_t)i;
  e->timeout = 1000;
  memcpy (e->addr, n->addr, sizeof e->addr);
  n->probing = 1;
  r->c.probes++;
}

void
upstream_doubt (gl_router_t *r, int i)
{
  instance_t *n = &r->inst[i];

  /* One request at a time until the probe has spoken. */
  n->limit = 1;
  if (!n->probing)
    send_probe (r, i);
}

static void
suspect (gl_router_t *r, instance_t *n)
{
  gl_route_effect_t *e;

  n->probe_at = r->now + n->probe_wait / 2 + route_jitter (r, n->probe_wait);
  if (n->probe_wait < PROBE_MAX_MS)
    n->probe_wait *= 2;
  n->healthy_since = 0;
  if (n->state != INST_OK)
    return;
  n->state = INST_SUSPECT;
  r->c.suspected++;
  e = rfx_add (r, GL_ROUTE_FX_LOG);
  if (e)
    snprintf (e->log, sizeof e->log, "instance %s fails its probe", n->name);
}

static void
recover (gl_router_t *r, instance_t *n)
{
  gl_route_effect_t *e;

  n->probe_wait = PROBE_MIN_MS;
  if (n->state == INST_SUSPECT)
    {
      n->state = INST_OK;
      n->limit = 1;
    }
  else if (n->state == INST_OK && n->limit < n->share)
    {
      /* New connections work while old ones failed. */
      rfx_add (r, GL_ROUTE_FX_RETIRE_CONNS);
      r->c.retired++;
      n->limit = n->share;
    }
  if (n->state != INST_LEAVING || n->list_leaving)
    return;
  if (!n->healthy_since)
    n->healthy_since = r->now;
  if (r->now < n->healthy_since + RETURN_MS)
    return;
  n->state = INST_OK;
  n->limit = 1;
  e = rfx_add (r, GL_ROUTE_FX_LOG);
  if (e)
    snprintf (e->log, sizeof e->log, "instance %s stays after all", n->name);
}

void
upstream_probed (gl_router_t *r, int i, int healthy, int leaving)
{
  instance_t *n;

  if (i >= r->ninst)
    return;
  n = &r->inst[i];
  n->probing = 0;
  n->probe_at = r->now + HEALTH_MS / 2 + route_jitter (r, HEALTH_MS);
  if (leaving)
    leave (r, n, "its health");
  else if (healthy)
    recover (r, n);
  else
    suspect (r, n);
  timer_arm_before (&r->timers, r->t_probe, n->probe_at);
  route_serve (r, n->service);
}

void
upstreams_probe (void *ctx, gl_ms_t now)
{
  gl_router_t *r = ctx;
  gl_ms_t next = TIMER_NEVER;

  for (int i = 0; i < r->ninst; i++)
    {
      instance_t *n = &r->inst[i];

      if (!n->listed || n->probing || (!n->own && n->state == INST_OK))
        continue;
      if (n->probe_at <= now && n->state == INST_OK
          && n->answered_at + HEALTH_MS / 2 > now)
        n->probe_at = now + HEALTH_MS / 2;
      if (n->probe_at <= now)
        send_probe (r, i);
      else if (n->probe_at < next)
        next = n->probe_at;
    }
  if (next != TIMER_NEVER)
    timer_arm_before (&r->timers, r->t_probe, next);
}
