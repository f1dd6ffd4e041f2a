/*
 * upstream.c -- upstream instances: shares of slots, choice, health
 *
 * The slots of an instance are divided among the entries of its domain by
 * entry number.  Each entry can thus compute its share without coordination
 * and keeps it during a network partition.  Entries of other domains may use
 * SPILLOVER_SLOTS each when their own instances have no free slot.  If that
 * exceeds the instance's slots, it refuses requests, which is safe for any
 * request since a refused one does not run.
 *
 * An instance counts as leaving from the first report, whether that comes
 * from the VM list, a refusal or a health check, because the list shows it
 * only after a delay.
 *
 * A failed send does not prove that the instance is down.  It is probed on a
 * new connection; if the probe succeeds, the older connections are assumed
 * broken and are not used again.
 */
#include "routeint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Weight of the newest response in the moving average of latency. */
#define LATENCY_WEIGHT 0.1
#define PROBE_TIMEOUT_MS 1000

/* Index of the service, added if new; -1 if the table is full. */
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

/* Index of the instance, added if new; -1 if the table is full or memory is
   out. */
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
  n->probe_backoff = PROBE_BACKOFF_MIN_MS;
  n->probe_at = r->now + route_jitter (r, HEALTH_CHECK_MS);
  return r->ninst++;
}

/* Slots of an instance that this router may use. */
static int
slot_share (const gl_router_t *r, int same_domain)
{
  if (!same_domain)
    return SPILLOVER_SLOTS;
  return r->slots / r->entries + (r->entry_number < r->slots % r->entries);
}

/* Record a report that the instance is leaving; @source names the report in
   the log. */
static void
mark_leaving (gl_router_t *r, instance_t *n, const char *source)
{
  gl_route_effect_t *e;

  n->healthy_since = 0;
  if (n->state == INST_LEAVING)
    return;
  n->state = INST_LEAVING;
  n->leaving_since = r->now;
  r->c.left++;
  e = effect_add (r, GL_ROUTE_FX_LOG);
  if (e)
    snprintf (e->log, sizeof e->log, "instance %s is leaving, reported by %s",
              n->name, source);
}

/* Apply one upstream's entry of the VM list; one that is new or listed again
   starts in service. */
static void
update_instance (gl_router_t *r, const gl_vm_t *vm)
{
  int service = service_index (r, vm->service);
  int i = service < 0 ? -1 : instance_index (r, vm, service);
  instance_t *n;

  if (i < 0)
    return;
  n = &r->inst[i];
  n->same_domain = !strcmp (vm->domain, r->domain);
  n->share = slot_share (r, n->same_domain);
  if (!n->listed)
    {
      n->limit = n->share;
      n->state = INST_OK;
    }
  n->listed = 1;
  memcpy (n->addr, vm->addr, sizeof n->addr);
  n->listed_leaving = vm->state == GL_VM_LEAVING;
  if (n->listed_leaving)
    mark_leaving (r, n, "the VM list");
}

void
upstreams_update (gl_router_t *r, const gl_vm_t *vms, size_t n)
{
  unsigned char *seen = calloc ((size_t)INSTANCES_MAX, 1);

  if (!seen)
    return;
  for (size_t k = 0; k < n; k++)
    if (!strcmp (vms[k].role, "upstream"))
      {
        update_instance (r, &vms[k]);
        for (int i = 0; i < r->ninst; i++)
          if (!strcmp (r->inst[i].name, vms[k].name))
            seen[i] = 1;
      }
  for (int i = 0; i < r->ninst; i++)
    if (!seen[i])
      r->inst[i].listed = 0;
  free (seen);
  for (int s = 0; s < r->nservices; s++)
    route_dispatch (r, s);
  timer_arm_before (&r->timers, r->t_probe, r->now);
}

/* ---- choice ---- */

/* Whether the instance can take a request of the service now. */
static int
usable (const gl_router_t *r, const instance_t *n, int service)
{
  if (n->service != service || !n->listed || n->open >= n->limit)
    return 0;
  if (n->state == INST_LEAVING && FAULT (FAULT_IGNORE_LEAVING))
    return 1;
  return n->state == INST_OK && n->retry_at <= r->now;
}

/* Whether @a is a better choice than @b: an instance of the own domain, then
   the one with fewer open requests relative to its share, then the one with
   the lower latency. */
static int
preferred (const instance_t *a, const instance_t *b)
{
  if (a->same_domain != b->same_domain)
    return a->same_domain;
  if (a->open * b->share != b->open * a->share)
    return a->open * b->share < b->open * a->share;
  return a->latency_ms < b->latency_ms;
}

int
upstream_choose (gl_router_t *r, int service, int avoid)
{
  int best = -1;
  int fallback = -1;
  int from = r->ninst ? (int)route_jitter (r, (gl_ms_t)r->ninst) : 0;

  /* A random start spreads the load over equally good instances. */
  for (int k = 0; k < r->ninst; k++)
    {
      int i = (from + k) % r->ninst;

      if (!usable (r, &r->inst[i], service))
        continue;
      if (i == avoid)
        fallback = i;
      else if (best < 0 || preferred (&r->inst[i], &r->inst[best]))
        best = i;
    }
  return best >= 0 ? best : fallback;
}

int
upstream_slots (const gl_router_t *r, int service, double *latency_ms)
{
  double sum = 0;
  int slots = 0;

  for (int i = 0; i < r->ninst; i++)
    {
      const instance_t *n = &r->inst[i];

      if (n->service != service || !n->listed || n->state != INST_OK)
        continue;
      slots += n->limit;
      sum += n->latency_ms * n->limit;
    }
  *latency_ms = slots ? sum / slots : 0;
  return slots;
}

/* ---- results of sends and probes ---- */

void
upstream_answered (gl_router_t *r, int i, gl_ms_t ms)
{
  instance_t *n = &r->inst[i];

  n->latency_ms
      = n->latency_ms > 0
            ? n->latency_ms + LATENCY_WEIGHT * ((double)ms - n->latency_ms)
            : (double)ms;
  n->answered_at = r->now;
  if (n->limit < n->share)
    n->limit++;
}

void
upstream_refused (gl_router_t *r, int i, int leaving, gl_ms_t retry_after)
{
  instance_t *n = &r->inst[i];

  if (leaving)
    mark_leaving (r, n, "a refusal");
  else
    n->retry_at = r->now + (retry_after ? retry_after : FULL_BACKOFF_MS);
  timer_arm_before (&r->timers, r->t_sweep, n->retry_at);
}

static void
send_probe (gl_router_t *r, int i)
{
  instance_t *n = &r->inst[i];
  gl_route_effect_t *e = effect_add (r, GL_ROUTE_FX_PROBE);

  if (!e)
    return;
  e->instance = (uint32_t)i;
  e->timeout = PROBE_TIMEOUT_MS;
  memcpy (e->addr, n->addr, sizeof e->addr);
  n->probe_in_flight = 1;
  r->c.probes++;
}

void
upstream_send_failed (gl_router_t *r, int i)
{
  instance_t *n = &r->inst[i];

  /* One request at a time until the probe has ended. */
  n->limit = 1;
  if (!n->probe_in_flight)
    send_probe (r, i);
}

/* Mark the instance as suspect and schedule its next probe. */
static void
probe_failed (gl_router_t *r, instance_t *n)
{
  gl_route_effect_t *e;

  n->probe_at
      = r->now + n->probe_backoff / 2 + route_jitter (r, n->probe_backoff);
  if (n->probe_backoff < PROBE_BACKOFF_MAX_MS)
    n->probe_backoff *= 2;
  n->healthy_since = 0;
  if (n->state != INST_OK)
    return;
  n->state = INST_SUSPECT;
  r->c.suspected++;
  e = effect_add (r, GL_ROUTE_FX_LOG);
  if (e)
    snprintf (e->log, sizeof e->log, "instance %s is suspect: a probe failed",
              n->name);
}

/* Return a suspect instance to service, or a leaving one that the VM list
   does not show as leaving and that has been healthy for REINSTATE_MS. */
static void
probe_succeeded (gl_router_t *r, instance_t *n)
{
  gl_route_effect_t *e;

  n->probe_backoff = PROBE_BACKOFF_MIN_MS;
  if (n->state == INST_SUSPECT)
    {
      n->state = INST_OK;
      n->limit = 1;
    }
  else if (n->state == INST_OK && n->limit < n->share)
    {
      /* A send failed but a new connection works: the old ones are broken. */
      effect_add (r, GL_ROUTE_FX_RETIRE_CONNS);
      r->c.retired++;
      n->limit = n->share;
    }
  if (n->state != INST_LEAVING || n->listed_leaving)
    return;
  if (!n->healthy_since)
    n->healthy_since = r->now;
  if (r->now < n->healthy_since + REINSTATE_MS)
    return;
  n->state = INST_OK;
  n->limit = 1;
  e = effect_add (r, GL_ROUTE_FX_LOG);
  if (e)
    snprintf (e->log, sizeof e->log, "instance %s is back in service",
              n->name);
}

void
upstream_probed (gl_router_t *r, int i, int healthy, int leaving)
{
  instance_t *n;

  if (i >= r->ninst)
    return;
  n = &r->inst[i];
  n->probe_in_flight = 0;
  n->probe_at
      = r->now + HEALTH_CHECK_MS / 2 + route_jitter (r, HEALTH_CHECK_MS);
  if (leaving)
    mark_leaving (r, n, "a health check");
  else if (healthy)
    probe_succeeded (r, n);
  else
    probe_failed (r, n);
  timer_arm_before (&r->timers, r->t_probe, n->probe_at);
  route_dispatch (r, n->service);
}

void
upstreams_check (void *ctx, gl_ms_t now)
{
  gl_router_t *r = ctx;
  gl_ms_t next = TIMER_NEVER;

  for (int i = 0; i < r->ninst; i++)
    {
      instance_t *n = &r->inst[i];

      if (!n->listed || n->probe_in_flight
          || (!n->same_domain && n->state == INST_OK))
        continue;
      if (n->probe_at <= now && n->state == INST_OK
          && n->answered_at + HEALTH_CHECK_MS / 2 > now)
        n->probe_at = now + HEALTH_CHECK_MS / 2;
      if (n->probe_at <= now)
        send_probe (r, i);
      else if (n->probe_at < next)
        next = n->probe_at;
    }
  if (next != TIMER_NEVER)
    timer_arm_before (&r->timers, r->t_probe, next);
}
