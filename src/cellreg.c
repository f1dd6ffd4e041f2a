/*
 * cellreg.c -- registrations of workers
 *
 * A registration tells that a worker may be used, where it is and what room it
 * has.  It is no proof of what runs there: anyone who can write it can name
 * any worker and any address, and the watch that shows it may lag.  So one
 * that does not fit what is known only makes the worker be polled.
 *
 * A worker's capacity may shrink.  It writes its registration once in
 * REG_WRITE_MS while the store takes it, so the capacity that is known is that
 * of its last registration, and, when the watch has answered for that long
 * without a failure, that of REG_WRITE_MS before the last answer.  A start by
 * a capacity from more than CAPACITY_MAX_AGE_MS ago may be one too many, so
 * none is sent: an outage of the store stops starts on each worker after that
 * time, until the worker has registered again.  What runs there goes on.
 */
#include "cellint.h"

#include <string.h>

/* Workers write their registrations at least this often (heartbeatMs of the
   platform's settings). */
#define REG_WRITE_MS 1500
/* A start is judged by the largest capacity that its worker had within the
   last 4500 ms (contactMs and heartbeatMs), when it is carried out. */
#define CAPACITY_MAX_AGE_MS (4500 - CELL_CALL_TIMEOUT_MS)

/* A new incarnation has registered the address of a known one, which may
   therefore be over.  Registrations are not proof, since anyone who can write
   them can name any address, so the known incarnation is polled. */
static void
suspect_same_addr (cell_t *c, const cworker_t *added)
{
  for (int i = 0; i < c->nworkers; i++)
    {
      cworker_t *w = &c->workers[i];

      if (w == added || w->dead || strcmp (w->info.addr, added->info.addr))
        continue;
      w->suspect = 1;
      w->poll_tag = 0;
      w->poll_at = c->now;
    }
}

void
cworker_note_capacity (cworker_t *w, const gl_res_t *capacity)
{
  gl_res_t *max = &w->capacity_max;

  if (capacity->cpus_m > max->cpus_m)
    max->cpus_m = capacity->cpus_m;
  if (capacity->memory_mb > max->memory_mb)
    max->memory_mb = capacity->memory_mb;
  if (capacity->accels > max->accels)
    max->accels = capacity->accels;
}

void
cworker_expect (cell_t *c, cworker_t *w)
{
  /* What was sent to a former incarnation may run on this one, which is polled
     for that even without a registration. */
  if (c->role == CR_LOADING
      || (c->role == CR_OWNER && incarnation_next (c, w) != w
          && !FAULT (FAULT_CELL_UNSETTLED)))
    census_expect (c, w);
  else if (c->role == CR_OWNER)
    {
      /* It has no record, so nothing runs there. */
      w->accounted = 1;
      w->lease_bound_at = c->now;
    }
}

/* When the worker still had the capacity that is known. */
static gl_ms_t
capacity_at (const cell_t *c, const cworker_t *w)
{
  return w->registered && c->capacities_at > w->capacity_at ? c->capacities_at
                                                            : w->capacity_at;
}

/* The registration has gone, or another incarnation has replaced it. */
void
cworker_unregister (cell_t *c, cworker_t *w)
{
  if (!w->registered)
    return;
  w->capacity_at = capacity_at (c, w);
  w->registered = 0;
  w->unregistered_at = c->now;
}

static void
registration_removed (cell_t *c, const char *id)
{
  cworker_t *first = incarnation_current (c, id);
  cworker_t *w = first;

  while (w)
    {
      cworker_unregister (c, w);
      w = incarnation_next (c, w);
      if (w == first)
        break;
    }
}

/* A registration of an incarnation that is not the current one: the watch may
   lag, or the worker's clock has stepped back.  An answer tells. */
static void
poll_instead (cell_t *c, const cell_worker_t *info)
{
  cworker_t *w = incarnation_current (c, info->self.id);

  if (!w)
    return;
  cell_log (c, "registration_outdated id=%s start=%llu current=%llu",
            info->self.id, (unsigned long long)info->self.started_at,
            (unsigned long long)w->info.self.started_at);
  cworker_poll_now (c, (int)(w - c->workers));
}

void
cworker_registration (cell_t *c, const cell_event_t *ev)
{
  int known = c->nworkers;
  cworker_t *w;
  uint64_t started_at;

  if (ev->removed)
    {
      registration_removed (c, ev->worker->self.id);
      return;
    }
  w = incarnation_registered (c, ev->worker);
  if (!w)
    {
      poll_instead (c, ev->worker);
      return;
    }
  if (c->nworkers > known)
    {
      cworker_expect (c, w);
      suspect_same_addr (c, w);
    }
  for (cworker_t *o = incarnation_next (c, w); o != w;
       o = incarnation_next (c, o))
    cworker_unregister (c, o);
  if (ev->worker->leaving && !w->info.leaving)
    cell_log (c, "worker_leaving id=%s leaves_in_ms=%u tasks=%d",
              w->info.self.id, ev->worker->leaves_in_ms, w->ntasks);
  if (!w->registered)
    w->poll_at = c->now;
  started_at = w->info.self.started_at;
  w->info = *ev->worker;
  w->info.self.started_at = started_at;
  cworker_note_capacity (w, &w->info.capacity);
  /* The answer before did not have it. */
  w->capacity_at = c->registrations_at;
  w->registered = 1;
  timer_arm_before (&c->timers, c->worker_timer, c->now);
  plan_wake (c);
}

static int
is_recent (const cell_t *c, gl_ms_t at)
{
  return c->now < at + CAPACITY_MAX_AGE_MS;
}

int
cworker_capacity_known (const cell_t *c, const cworker_t *w)
{
  return is_recent (c, capacity_at (c, w)) || FAULT (FAULT_CELL_CAPACITY_OLD);
}

void
cworkers_synced (cell_t *c, const cell_event_t *ev)
{
  int was_recent = is_recent (c, c->capacities_at);

  c->workers_synced = 1;
  if (ev->resumed)
    {
      cell_log (c, "registrations_resumed gap_ms=%lld capacities_age_ms=%lld",
                cell_age_ms (c, c->registrations_at),
                cell_age_ms (c, c->capacities_at));
      c->registrations_since = ev->asked_at;
    }
  c->registrations_at = ev->asked_at;
  if (ev->asked_at >= c->registrations_since + REG_WRITE_MS)
    c->capacities_at = ev->asked_at - REG_WRITE_MS;
  if (!was_recent && is_recent (c, c->capacities_at))
    plan_wake (c);
}
