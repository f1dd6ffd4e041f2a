/*
 * cellsettle.c -- what becomes of a worker's former incarnation
 *
 * Once another incarnation of its id has answered, an incarnation is over.
 * What ran there is lost.  But a call names a worker's id, not its start, so
 * what was sent to the former incarnation may have been carried out by the
 * present one, and may still be, however late.  So the present one is called
 * with a higher fencing token: from its first answer to such a poll on, it
 * refuses what was sent to others before.
 *
 *   starts            the present one lists the run: it is bound to that one;
 *                     else the run is lost if its start had been confirmed
 *                     before, and stopped if not
 *   leases            see census_open_foreign
 *   acknowledgements  none is sent to a worker that may have restarted, see
 *                     poll_worker
 *
 * The former incarnation counts as over only when the present one has listed
 * its runs in answer to a poll with its own token.
 */
#include "cellint.h"

#include <string.h>

/* The incarnation has answered, so every other one of its id is over.  What
   ran there is lost, like what runs on a worker whose address answers under
   another id. */
void
settle_others (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  int is_new = 0;

  for (cworker_t *o = incarnation_next (c, w); o != w;
       o = incarnation_next (c, o))
    {
      if (o->replaced || incarnation_is_later (o, w, k->sent_at))
        continue;
      o->replaced = 1;
      /* An earlier owner may have called it, if no record tells otherwise. */
      is_new
          |= o->heard || o->record_revision || !o->dead || !w->record_revision;
      /* Only a registration of it was seen, and nothing runs there. */
      if (!o->heard && !o->record_revision && o->dead)
        continue;
      cworker_unregister (c, o);
      c->counters.restarts++;
      cell_log (
          c,
          "worker_restarted id=%s before=%llu now=%llu via=%s tasks=%d "
          "dead=%d lease_sent_ms=%lld taken_seq=%llu ack_cursor=%llu "
          "clock_before=%llu clock_now=%llu",
          o->info.self.id, (unsigned long long)o->info.self.started_at,
          (unsigned long long)w->info.self.started_at,
          w->registered ? "registration" : "answer", o->ntasks, o->dead,
          cell_age_ms (c, o->lease_sent_at), (unsigned long long)o->taken_seq,
          (unsigned long long)o->ack_cursor, (unsigned long long)o->clock,
          (unsigned long long)k->worker_clock);
      if (o->dead)
        crash_note_late_restart (c, o);
      else
        cworker_restarted (c, o);
    }
  incarnation_raise_token (c, w);
  if (!is_new)
    return;
  census_open_foreign (c, w);
  timer_arm_before (&c->timers, c->worker_timer, c->now);
}

static int
lists_run (const cell_wcall_t *k, const char *task, uint32_t run)
{
  for (int i = 0; i < k->nruns; i++)
    if (k->runs[i].run == run && !strcmp (k->runs[i].task, task))
      return 1;
  for (int i = 0; i < k->nends; i++)
    if (k->ends[i].run == run && !strcmp (k->ends[i].task, task))
      return 1;
  return 0;
}

/* Whether the run is known to have begun, if at all, on the former incarnation
   to whose worker it was sent: that one has listed it, or the present one has
   not although the start had been confirmed before the poll. */
static int
is_former_run (const ctask_t *t, const cell_wcall_t *k)
{
  return t->state == CT_DONE || t->listed_tag
         || (t->state == CT_RUNNING && t->start_tag < k->tag);
}

/* A call names no start, so those that were sent to the former incarnation @o
   may have been carried out by @w, which has now listed its runs.  Bind these
   runs to it.  Those of which it is not known are stopped, as if the start had
   got no answer. */
static void
take_over_runs (cell_t *c, cworker_t *w, cworker_t *o, const cell_wcall_t *k)
{
  int to = (int)(w - c->workers);

  if (ctasks_reserve (w, o->ntasks))
    return;
  /* Before, a start that was sent to @o may still be carried out. */
  o->settled = k->fencing_token == incarnation_token (c, w);
  for (int i = o->ntasks; i-- > 0;)
    {
      ctask_handle_t ref = o->tasks[i];
      cstep_t *s = pool_get (&c->steps, ref.step);
      ctask_t *t = &s->tasks[ref.index];
      char name[CELL_NAME_SIZE];
      int listed;

      ctask_name (c, s, ref.index, name);
      listed = !t->listed_tag && lists_run (k, name, t->run);
      if (!listed && is_former_run (t, k))
        continue;
      ctask_unbind (c, s, ref.index);
      if (ctask_bind (c, s, ref.index, to, 0))
        continue;
      cell_log (c,
                "run_taken_over task=%s run=%u worker=%s state=%d listed=%d",
                name, t->run, w->info.self.id, t->state, listed);
      if (listed && t->state != CT_UNKNOWN && t->state != CT_STOPPING)
        {
          t->state = CT_RUNNING;
          continue;
        }
      t->state = CT_UNKNOWN;
      cworker_stop (c, s, ref.index);
    }
}

void
settle_runs (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  for (cworker_t *o = incarnation_next (c, w); o != w;
       o = incarnation_next (c, o))
    if (o->replaced && !o->dead && !o->settled
        && !FAULT (FAULT_CELL_UNSETTLED))
      take_over_runs (c, w, o, k);
}

/* Whether no other incarnation can have carried out what was sent to this one.
 */
int
settle_is_done (cell_t *c, const cworker_t *w)
{
  return !w->replaced || w->settled
         || incarnation_current (c, w->info.self.id)->dead
         || FAULT (FAULT_CELL_UNSETTLED);
}
