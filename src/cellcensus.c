/*
 * cellcensus.c -- what a new owner must know before it starts inherited tasks
 *
 * A task that an earlier owner may have started is not started again until the
 * census is complete: every worker has listed its runs, or every lease that a
 * worker can hold has ended, so that nothing runs there.
 *
 * How long the leases of a worker that does not answer can last is bounded by
 * how long earlier owners may have renewed them: CELL_WORKER_LEASE_MS after an
 * owner that renews no more, and CELL_RENEW_GRACE_MS longer after one that may
 * not know yet that it has been succeeded.
 */
#include "cellint.h"

/* While the census is not complete, a line names a worker that it waits for,
   this often. */
#define LOG_INTERVAL_MS 1000
/* All leases of a worker have ended when it has been unregistered for this
   long, whichever VM owned the cell. */
#define UNREGISTERED_DEAD_MS                                                  \
  ((gl_ms_t)((CELL_WORKER_LEASE_MS + CELL_RENEW_GRACE_MS)                     \
             / CELL_CLOCK_RATE_MIN))

void
census_begin (cell_t *c, int may_renew)
{
  c->lease_bound_ms = (gl_ms_t)((CELL_WORKER_LEASE_MS
                                 + (may_renew ? CELL_RENEW_GRACE_MS : 0))
                                / CELL_CLOCK_RATE_MIN);
  c->unaccounted = 0;
  c->census_complete = 0;
  for (int i = 0; i < c->nworkers; i++)
    {
      cworker_t *w = &c->workers[i];

      /* Its leases have ended, so nothing runs there any more. */
      w->dead = !w->registered
                && c->now - w->unregistered_at > UNREGISTERED_DEAD_MS;
      w->accounted = w->dead;
      if (!w->dead)
        census_expect (c, w);
    }
}

void
census_expect (cell_t *c, cworker_t *w)
{
  w->lease_bound_at = c->now + c->lease_bound_ms;
  c->unaccounted++;
}

void
census_set_accounted (cell_t *c, cworker_t *w)
{
  if (w->accounted)
    return;
  w->accounted = 1;
  c->unaccounted--;
  if (!c->unaccounted && !c->census_complete)
    {
      c->census_complete = 1;
      hist_add (&c->census_time, (double)(c->now - c->takeover_at));
      cell_log (c, "census_complete ms=%llu",
                (unsigned long long)(c->now - c->takeover_at));
      own_census_complete (c);
    }
  plan_wake (c);
}

int
census_leases_ended (const cell_t *c, const cworker_t *w)
{
  if (!w->clock || !w->lease_sent)
    return w->lease_bound_at && c->now >= w->lease_bound_at;
  if (!w->accounted && c->now < w->lease_bound_at)
    return 0;
  return (double)w->clock
             + (double)(c->now - w->clock_at) * CELL_CLOCK_RATE_MIN
         > (double)w->lease_sent + 1;
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
            last->info.id, last->registered, last->silent,
            (long long)last->lease_bound_at - (long long)c->now);
}
