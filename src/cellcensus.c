/*
 * cellcensus.c -- what a new owner must know before it starts inherited tasks
 *
 * A task that an earlier owner may have started is not started again until the
 * census is complete: every worker on which something may run has listed its
 * runs, or every lease that it can hold has ended.  Nothing runs on a worker
 * without a record in the store, see cellenrol.c.  That a worker's
 * registration is gone tells nothing: the owner renews its leases while tasks
 * run there.
 *
 * How long the leases of a worker that does not answer can last is bounded by
 * how long earlier owners may have renewed them, see cellformer.c.  An owner
 * that releases the cell knows more: it leaves, for each worker that it has
 * not heard, how long the leases of that worker can still last.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Most that the wall clocks of two VMs differ by, jumps included. */
#define WALL_ERROR_MS 10000
/* While the census is not complete, a line names a worker that it waits for,
   this often. */
#define LOG_INTERVAL_MS 1000

/* ---- what an owner leaves to its successor ---- */

/* Longest span for which a lease that this owner has sent can last. */
static gl_ms_t
sent_lease_ms (const cell_t *c, const cworker_t *w)
{
  double clock = (double)w->clock
                 + (double)(c->now - w->clock_at) * CELL_CLOCK_RATE_MIN;

  if (!w->clock || !w->lease_sent || clock > (double)w->lease_sent)
    return 0;
  return (gl_ms_t)(((double)w->lease_sent - clock) / CELL_CLOCK_RATE_MIN) + 1;
}

gl_ms_t
census_lease_remaining (const cell_t *c, const cworker_t *w)
{
  gl_ms_t sent = sent_lease_ms (c, w);
  gl_ms_t until = w->lease_bound_at > w->foreign_until ? w->lease_bound_at
                                                       : w->foreign_until;
  gl_ms_t earlier = until > c->now ? until - c->now : 0;

  if (w->dead)
    return 0;
  return earlier > sent ? earlier : sent;
}

/* Whether the successor must be told of the worker's leases: they may last, or
   they have ended and the successor may know the worker by its record or its
   registration. */
static int
is_unheard (const cworker_t *w)
{
  return w->dead ? w->registered || w->record_revision
                 : !w->heard || w->silent;
}

/* The list names ids, so it has all incarnations of an id or none. */
static int
is_left (cell_t *c, const cworker_t *w)
{
  const cworker_t *o = w;

  do
    {
      if (is_unheard (o))
        return 1;
      o = incarnation_next (c, o);
    }
  while (o != w);
  return 0;
}

char *
census_handover (cell_t *c, size_t *len)
{
  gl_handover_t record = { c->generation, { 0, NULL } };
  char *value;

  record.workers.workers_val
      = calloc ((size_t)c->nworkers + 1, sizeof *record.workers.workers_val);
  if (!record.workers.workers_val)
    return NULL;
  for (int i = 0;
       i < c->nworkers && record.workers.workers_len < GL_HANDOVER_MAX; i++)
    {
      const cworker_t *w = &c->workers[i];

      if (!is_left (c, w))
        continue;
      record.workers.workers_val[record.workers.workers_len++]
          = (gl_unheard_worker_t){ (char *)w->info.self.id,
                                   (u_int)census_lease_remaining (c, w) };
    }
  /* A list that is not whole would tell of the others that they were heard. */
  if (record.workers.workers_len == GL_HANDOVER_MAX)
    {
      cell_log (c, "handover_dropped workers=%d", c->nworkers);
      free (record.workers.workers_val);
      return NULL;
    }
  value = codec_encode ((xdrproc_t)xdr_gl_handover_t, &record, len);
  free (record.workers.workers_val);
  return value;
}

void
census_learn_handover (cell_t *c, const cell_item_t *item)
{
  codec_free ((xdrproc_t)xdr_gl_handover_t, &c->handover);
  memset (&c->handover, 0, sizeof c->handover);
  if (codec_decode ((xdrproc_t)xdr_gl_handover_t, &c->handover, item->value,
                    item->len))
    {
      memset (&c->handover, 0, sizeof c->handover);
      cell_log (c, "handover_unreadable revision=%llu",
                (unsigned long long)item->revision);
    }
}

/* Whether the releasing owner has left how long the worker's leases last, of
   all incarnations of its id. */
static int
find_handed_over (const cell_t *c, const cworker_t *w, gl_ms_t *ms)
{
  const gl_unheard_worker_t *v = c->handover.workers.workers_val;
  int listed = 0;

  *ms = 0;
  for (u_int i = 0; c->handed_over && i < c->handover.workers.workers_len; i++)
    if (!strcmp (v[i].id, w->info.self.id))
      {
        listed = 1;
        if (v[i].leases_ms > *ms)
          *ms = v[i].leases_ms;
      }
  return listed;
}

/* How long leases from earlier owners can last on the worker.  Every worker
   that the releasing owner knew is either listed or had answered it; this VM
   may know more of the owners before. */
static gl_ms_t
earlier_lease_ms (const cell_t *c, const cworker_t *w)
{
  gl_ms_t ms;

  if (!find_handed_over (c, w, &ms))
    return c->lease_bound_ms;
  return ms < former_lease_ms (c) ? ms : former_lease_ms (c);
}

/* ---- the census ---- */

void
census_begin (cell_t *c, gl_ms_t lease_ms)
{
  c->lease_bound_ms = lease_ms;
  c->census_complete = 0;
  for (int i = 0; i < c->nworkers; i++)
    if (!c->workers[i].replaced)
      census_expect (c, &c->workers[i]);
}

void
census_shorten (cell_t *c, gl_ms_t lease_ms)
{
  if (lease_ms < c->lease_bound_ms)
    c->lease_bound_ms = lease_ms;
  for (int i = 0; i < c->nworkers; i++)
    if (!c->workers[i].accounted
        && c->workers[i].lease_bound_at > c->now + lease_ms)
      c->workers[i].lease_bound_at = c->now + lease_ms;
}

void
census_expect (cell_t *c, cworker_t *w)
{
  w->lease_bound_at = c->now + earlier_lease_ms (c, w);
  c->unaccounted++;
}

static void
complete_if_accounted (cell_t *c)
{
  if (c->unaccounted || c->census_complete)
    return;
  c->census_complete = 1;
  hist_add (&c->census_time, (double)(c->now - c->takeover_at));
  cell_log (c, "census_complete ms=%llu",
            (unsigned long long)(c->now - c->takeover_at));
  own_census_complete (c);
  cjobs_stop_partial_gangs (c);
}

/* How long the longest lease lasts that a worker accepts. */
static gl_ms_t
foreign_lease_ms (const cell_t *c)
{
  return (gl_ms_t)(c->limits.worker_lease_max_ms / CELL_CLOCK_RATE_MIN) + 1;
}

/* A call gives no longer lease than that from the instant at which it is
   carried out. */
static void
set_foreign (cell_t *c, cworker_t *w, gl_ms_t until)
{
  w->foreign_until = until;
  cell_log (c, "foreign_lease id=%s ends_in_ms=%llu heard=%d", w->info.self.id,
            (unsigned long long)(until - c->now), w->heard);
}

void
census_open_foreign (cell_t *c, cworker_t *w)
{
  if (w->foreign_open || w->heard || FAULT (FAULT_CELL_FOREIGN_LEASE))
    return;
  w->foreign_open = 1;
  set_foreign (c, w, c->now + CELL_LATE_CALL_MS + foreign_lease_ms (c));
}

void
census_note_return (cell_t *c, cworker_t *w)
{
  gl_ms_t until = c->now + CELL_LATE_CALL_MS + foreign_lease_ms (c);

  w->suspect = 1;
  w->unproven = 1;
  w->poll_tag = 0;
  w->poll_at = c->now;
  timer_arm_before (&c->timers, c->worker_timer, c->now);
  if (until > w->foreign_until)
    set_foreign (c, w, until);
}

void
census_set_heard (cell_t *c, cworker_t *w)
{
  /* It refuses earlier owners from now on. */
  if (!w->heard && w->lease_bound_at > c->now + CELL_LEASE_LASTS_MS)
    w->lease_bound_at = c->now + CELL_LEASE_LASTS_MS;
  w->heard = 1;
  if (w->foreign_open)
    {
      w->foreign_open = 0;
      set_foreign (c, w, c->now + foreign_lease_ms (c));
    }
  census_set_accounted (c, w);
}

void
census_set_accounted (cell_t *c, cworker_t *w)
{
  if (w->accounted)
    return;
  w->accounted = 1;
  c->unaccounted--;
  complete_if_accounted (c);
  plan_wake (c);
}

void
census_loaded (cell_t *c)
{
  for (int i = 0; i < c->nworkers; i++)
    {
      cworker_t *w = &c->workers[i];

      if (w->enrolled || w->accounted)
        continue;
      w->accounted = 1;
      c->unaccounted--;
      w->dead = !w->registered;
    }
  complete_if_accounted (c);
}

/* Tasks that an earlier owner may have started and that are not found yet. */
static void
count_unlocated (cell_t *c)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&c->steps, &pos)))
    {
      const cstep_t *s = pool_get (&c->steps, h);
      const cjob_t *j = cstep_job (c, s);
      const gl_res_t need = cstep_need (s);

      for (uint32_t i = 0; i < s->def->count; i++)
        if (s->tasks[i].inherited && s->tasks[i].state == CT_WAITING)
          share_unlocated (&c->shares, j->team, &need);
    }
}

/* Room of the worker that its known tasks do not take.  Runs from before its
   capacity became smaller may take more than it has now. */
static gl_res_t
room_for_unknown (const cworker_t *w)
{
  gl_res_t room = { w->capacity_max.cpus_m - w->used.cpus_m,
                    w->capacity_max.memory_mb - w->used.memory_mb,
                    w->capacity_max.accels - w->used.accels };

  if (room.cpus_m < 0)
    room.cpus_m = 0;
  if (room.memory_mb < 0)
    room.memory_mb = 0;
  if (room.accels < 0)
    room.accels = 0;
  return room;
}

void
census_count_hidden (cell_t *c)
{
  const csum_t unknown = { SHARE_UNKNOWN, SHARE_UNKNOWN, SHARE_UNKNOWN };

  if (!c->shares.on)
    return;
  shares_clear_census (&c->shares);
  for (int i = 0; i < c->nworkers; i++)
    {
      const cworker_t *w = &c->workers[i];
      const gl_res_t room = room_for_unknown (w);

      if (w->dead)
        continue;
      if (cworker_usable (c, w))
        {
          csum_add (&c->shares.total, &w->info.capacity, 1);
          csum_add (&c->shares.taken, &w->used, 1);
        }
      if (w->orphans)
        csum_add (&c->shares.orphaned, &room, 1);
      else if (!c->census_complete && !w->accounted && !w->capacity_max.cpus_m)
        c->shares.hidden = unknown;
      else if (!c->census_complete && !w->accounted
               && c->shares.hidden.cpus_m < SHARE_UNKNOWN)
        csum_add (&c->shares.hidden, &room, 1);
    }
  if (!c->census_complete)
    count_unlocated (c);
}

int
census_leases_ended (const cell_t *c, const cworker_t *w)
{
  if (c->now < w->lease_bound_at || c->now < w->foreign_until)
    return 0;
  if (!w->clock || !w->lease_sent)
    return w->lease_bound_at != 0;
  return (double)w->clock
             + (double)(c->now - w->clock_at) * CELL_CLOCK_RATE_MIN
         > (double)w->lease_sent + 1;
}

uint64_t
census_foreign_wall (const cell_t *c, const cworker_t *w)
{
  return w->foreign_until > c->now ? c->wall + (w->foreign_until - c->now) : 0;
}

void
census_learn_foreign (cell_t *c, cworker_t *w, uint64_t wall)
{
  gl_ms_t remaining = foreign_lease_ms (c);
  gl_ms_t left;

  if (c->wall >= wall + WALL_ERROR_MS || FAULT (FAULT_CELL_FOREIGN_LEASE))
    return;
  if (remaining > wall + WALL_ERROR_MS - c->wall)
    remaining = wall + WALL_ERROR_MS - c->wall;
  /* Where the owner before has left a span, it holds for these leases, too,
     and does not depend on clocks. */
  if (find_handed_over (c, w, &left) && remaining > left)
    remaining = left;
  if (c->now + remaining > w->foreign_until)
    w->foreign_until = c->now + remaining;
}

void
census_log (cell_t *c)
{
  const cworker_t *last = NULL;

  if (c->census_complete || c->now < c->takeover_at + LOG_INTERVAL_MS
      || c->now < c->census_logged_at + LOG_INTERVAL_MS)
    return;
  c->census_logged_at = c->now;
  for (int i = 0; i < c->nworkers; i++)
    {
      const cworker_t *w = &c->workers[i];

      if (!w->accounted && (!last || w->lease_bound_at > last->lease_bound_at))
        last = w;
    }
  if (!last)
    return;
  cell_log (c,
            "census_waits ms=%llu unaccounted=%d worker=%s registered=%d "
            "silent=%d leases_end_in_ms=%lld",
            (unsigned long long)(c->now - c->takeover_at), c->unaccounted,
            last->info.self.id, last->registered, last->silent,
            (long long)last->lease_bound_at - (long long)c->now);
}
