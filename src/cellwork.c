/*
 * cellwork.c -- workers: their leases, running tasks and ended runs
 *
 * Each worker has one poll in flight; a newer poll replaces it, and of the
 * answer to the older one only the ends are taken.  A poll renews the worker's
 * lease and acknowledges ends, and the worker may delay its answer until a run
 * ends. The answer lists all runs in progress and all unacknowledged ends, so
 * it is also the census from which a new owner learns what an earlier one has
 * started.  What is found on a worker is handled as follows:
 *
 *   listed as running with the run number on record   the run goes on
 *   listed as running, not known under that number    the run is stopped
 *   listed as ended                                   recorded, then
 *                                                     acknowledged
 *   start without an answer                           stopped by run number,
 *                                                     so that a delayed copy
 *                                                     of the start is refused
 *   worker that does not answer                       its tasks count as
 *                                                     running until its lease
 *                                                     has ended
 *
 * A lease ends at an instant of the worker's own clock.  What a new owner must
 * know of all workers is in cellcensus.c, what is made of an end in cellend.c.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Period of cworkers_tick. */
#define TICK_MS 50
/* Polls in a row without an answer that make a worker silent. */
#define SILENT_MISSED_POLLS 1
/* Delay before the next poll after one that failed. */
#define POLL_RETRY_MS 150
/* Delay between polls of a worker that counts as dead but is registered. */
#define DEAD_POLL_MS 300
/* No task is started for this long on a worker that refused a start with
   CELL_W_REFUSED. */
#define REFUSED_AVOID_MS 1000
/* Lowest progress, in percent, from which the end of a run is estimated. */
#define ESTIMATE_PERCENT_MIN 5
/* A worker with runs of which only the room matters is polled after this time,
   to find them gone. */
#define ORPHAN_POLL_MS 150
/* Time between two stops of the same orphaned run. */
#define ORPHAN_STOP_RETRY_MS 300
/* wait_ms of a poll that the worker is to answer at once, as in the census. */
#define POLL_NO_WAIT_MS 0
/* A poll that is answered within this time has not waited: what it lists may
   have ended before. */
#define ANSWERED_AT_ONCE_MS 50
/* A worker stays usable for this long without its registration: registrations
   that lapsed while the store was down are renewed within this time. */
#define REREGISTER_MS 2000
/* An answer with this many ends may be incomplete; a later poll lists the
   others. */
#define POLL_ENDS_MAX 500

int
cworker_usable (const cell_t *c, const cworker_t *w)
{
  return w->enrolled
         && (w->registered
             || (w->unregistered_at
                 && c->now - w->unregistered_at < REREGISTER_MS))
         && w->accounted && w->heard && !w->dead && !w->silent
         && !w->info.leaving && w->clock && !w->restarted_at
         && (!w->orphans || FAULT (FAULT_CELL_ORPHANS_FREE)) && !w->suspect
         && c->now >= w->avoid_until && own_may_renew (c)
         && cworker_capacity_known (c, w);
}

/* ---- ends of incarnations ---- */

static void
log_run_lost (cell_t *c, const cworker_t *w, const cstep_t *s, uint32_t index)
{
  const ctask_t *t = &s->tasks[index];
  char name[CELL_NAME_SIZE];

  ctask_name (c, s, index, name);
  cell_log (c, "run_lost task=%s run=%u worker=%s state=%d age_ms=%llu", name,
            t->run, w->info.self.id, t->state,
            (unsigned long long)(c->now - t->sent_at));
}

/* Nothing of this incarnation runs any more: its tasks are lost. */
static void
worker_set_dead (cell_t *c, cworker_t *w, const char *why)
{
  int n = w->ntasks;

  if (w->dead)
    return;
  w->dead = 1;
  census_set_accounted (c, w);
  cell_log (c,
            "worker_dead id=%s why=%s tasks=%d lease_sent_ms=%lld "
            "answered_ms=%lld foreign_lease_ended_ms=%lld missed_polls=%u",
            w->info.self.id, why, n, cell_age_ms (c, w->lease_sent_at),
            cell_age_ms (c, w->clock_at), cell_age_ms (c, w->foreign_until),
            w->missed_polls);
  if (w->restarted_at)
    crash_note_restart (c, w);
  else
    crash_note_lapse (c, w);
  while (w->ntasks)
    {
      ctask_handle_t ref = w->tasks[w->ntasks - 1];
      cstep_t *s = pool_get (&c->steps, ref.step);

      c->counters.ends_lost++;
      log_run_lost (c, w, s, ref.index);
      ctask_ended (c, s, ref.index, (int)(w - c->workers),
                   s->tasks[ref.index].run, CELL_RUN_LAPSED, NULL);
      if (w->ntasks == n)
        break;
      n = w->ntasks;
    }
}

void
cworkers_take_over (cell_t *c, gl_ms_t lease_ms)
{
  c->enrol_tag = 0;
  cworkers_reset (c);
  census_begin (c, lease_ms);
  timer_arm (&c->timers, c->worker_timer, c->now);
}

void
cworkers_reset (cell_t *c)
{
  for (int i = 0; i < c->nworkers; i++)
    {
      cworker_t *w = &c->workers[i];

      w->owned = (cworker_owned_t){ 0 };
      w->clock = w->replaced ? 0 : w->clock;
      w->replaced = 0;
      w->settled = 0;
      w->foreign_open = 0;
      w->poll_at = c->now;
    }
  c->unaccounted = 0;
}

/* ---- calls ---- */

/* Bytes of a call to a worker and of its acknowledgements, without the task's
   payload. */
#define CALL_BYTES 240

/* A call to the worker with its common fields set; NULL without memory. */
static cell_wcall_t *
new_wcall (cell_t *c, cworker_t *w, cell_wop_t op)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_WCALL);
  cell_wcall_t *k;

  if (!e || !(e->wcall = calloc (1, sizeof *e->wcall)))
    return NULL;
  k = e->wcall;
  k->op = op;
  k->worker = (int)(w - c->workers);
  cell_strcpy (k->worker_id, w->info.self.id);
  cell_strcpy (k->addr, w->info.addr);
  k->tag = cell_new_tag (c);
  k->generation = c->generation;
  k->fencing_token = incarnation_token (c, w);
  k->sent_at = c->now;
  k->timeout = CELL_CALL_TIMEOUT_MS;
  k->reconnect = w->missed_polls > 0;
  return k;
}

/* The end of the lease to send, in the worker's clock; 0 sends none, because
   the clock is not known, the worker is silent, or own_may_renew forbids it.
 */
static uint64_t
lease_until (cell_t *c, cworker_t *w)
{
  uint64_t until;
  gl_ms_t span = CELL_WORKER_LEASE_MS;

  /* A call to a silent worker may arrive late and extend a lease whose end
     this owner waits for. */
  if (!w->clock || w->silent || w->dead || !own_may_renew (c))
    return 0;
  if (span > c->limits.worker_lease_max_ms)
    span = c->limits.worker_lease_max_ms;
  until = w->clock
          + (uint64_t)((double)(c->now - w->clock_at) * CELL_CLOCK_RATE_MIN)
          + span;
  if (until > w->lease_sent)
    {
      w->lease_sent = until;
      w->lease_sent_at = c->now;
    }
  return w->lease_sent;
}

/* A worker has confirmed a start of the step. */
static void
note_start (cell_t *c, cstep_t *s)
{
  cjob_t *j = cstep_job (c, s);
  const cell_queue_t *q = plan_queue (c, j);

  cjob_set_begun (j);
  if (s->started)
    return;
  s->started = 1;
  if (q && q->priority >= 0 && q->priority < CELL_PRIORITIES)
    hist_add (&c->start_time[q->priority], (double)(c->now - s->ready_at));
}

void
cworker_start (cell_t *c, cstep_t *s, uint32_t index, const char *ticket)
{
  ctask_t *t = &s->tasks[index];
  cworker_t *w = &c->workers[t->worker];
  cjob_t *j = cstep_job (c, s);
  cell_wcall_t *k = new_wcall (c, w, CELL_OP_START);

  t->state = CT_STARTING;
  t->inherited = 0;
  t->sent_at = c->now;
  t->expected_end = c->now
                    + (gl_ms_t)(s->def->estimate_ms
                                * health_run_ratio (c, s, w, RATIO_HIGH, 1));
  if (!k)
    return;
  ctask_name (c, s, index, k->task);
  k->run = t->run;
  k->payload = strdup (j->spec.payload ? j->spec.payload : "");
  cell_strcpy (k->checkpoint, t->checkpoint);
  cell_strcpy (k->ticket, ticket ? ticket : "");
  k->lease_until = lease_until (c, w);
  k->timeout
      += flow_send (c, CALL_BYTES + (k->payload ? strlen (k->payload) : 0));
  poll_task_started (c, s, t);
  crash_note_start (c, s, index);
  cell_log (c, "start task=%s run=%u worker=%s wait_ms=%llu", k->task, t->run,
            w->info.self.id, (unsigned long long)(c->now - s->ready_at));
}

void
cworker_send_stop (cell_t *c, cworker_t *w, const char *task, uint32_t run)
{
  cell_wcall_t *k = new_wcall (c, w, CELL_OP_STOP);

  if (!k)
    return;
  cell_strcpy (k->task, task);
  k->run = run;
  k->timeout += flow_send (c, CALL_BYTES);
}

void
cworker_stop (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *t = &s->tasks[index];
  char name[CELL_NAME_SIZE];

  ctask_name (c, s, index, name);
  if (t->state != CT_UNKNOWN && t->state != CT_DONE)
    t->state = CT_STOPPING;
  t->sent_at = c->now;
  cworker_send_stop (c, &c->workers[t->worker], name, t->run);
}

void
cworker_poll_now (cell_t *c, int worker)
{
  cworker_t *w = &c->workers[worker];

  if (w->silent || w->dead)
    return;
  w->poll_tag = 0;
  w->poll_at = c->now;
  w->poll_now = 1;
  timer_arm_before (&c->timers, c->worker_timer, c->now);
}

void
cworkers_ack_saved (cell_t *c)
{
  for (int i = 0; i < c->nworkers; i++)
    {
      cworker_t *w = &c->workers[i];

      if (!w->nunacked || w->poll_tag || w->silent || w->dead)
        continue;
      end_ack_written (c, w);
      if (w->nunacked)
        continue;
      w->poll_at = poll_next (c, w);
      timer_arm_before (&c->timers, c->worker_timer, c->now);
    }
}

static void
poll_worker (cell_t *c, cworker_t *w, uint32_t wait_ms)
{
  cell_wcall_t *k = new_wcall (c, w, CELL_OP_POLL);

  if (!k)
    return;
  end_ack_written (c, w);
  /* Another incarnation would forget its own ends up to that number. */
  if (!w->unproven || FAULT (FAULT_CELL_ACKS_UNPROVEN))
    k->ack_cursor = w->ack_cursor;
  k->lease_until = lease_until (c, w);
  k->wait_ms = wait_ms;
  k->timeout = k->wait_ms
               + (k->wait_ms ? CELL_POLL_GRACE_MS : CELL_CALL_TIMEOUT_MS)
               + flow_send (c, CALL_BYTES);
  w->poll_now = 0;
  w->poll_tag = k->tag;
  c->counters.looks++;
}

/* ---- answers ---- */

/* The worker has answered: keep its clock, and clear what was noted while it
   did not answer. */
static void
note_answer (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  if (!k->worker_clock)
    return;
  /* A poll's answer tells the start; a clock never goes back.  A worker of
     another id has answered with CELL_W_RESTARTED. */
  if (k->op != CELL_OP_POLL && k->status != CELL_W_RESTARTED
      && k->sent_at >= w->clock_at && k->worker_clock < w->clock)
    census_note_return (c, w);
  if (k->worker_clock > w->clock)
    {
      w->clock = k->worker_clock;
      w->clock_at = c->now;
    }
  w->missed_polls = 0;
  w->lease_over_at = 0;
  w->suspect = 0;
  if (w->silent)
    {
      w->silent = 0;
      cell_log (c, "worker_answers_again id=%s", w->info.self.id);
      plan_wake (c);
    }
}

/* An earlier owner started the run, at a time that is not known: take the time
   that its progress usually needs. */
static void
estimate_inherited_run (const cell_t *c, const cstep_t *s, ctask_t *t)
{
  double ratio = c->usual_ratio > 0 ? c->usual_ratio : 1;
  gl_ms_t usual = (gl_ms_t)(s->def->estimate_ms
                            * health_run_ratio (c, s, &c->workers[t->worker],
                                                RATIO_MEDIAN, ratio));
  gl_ms_t elapsed = usual * t->percent / 100;

  t->sent_at = c->now > elapsed ? c->now - elapsed : 1;
  t->expected_end = t->sent_at + usual;
}

/* Handle one run that the worker lists as running. */
static void
handle_listed_run (cell_t *c, cworker_t *w, const cell_run_t *listed,
                   const cell_wcall_t *k)
{
  cstep_t *s = NULL;
  uint32_t index = 0;
  ctask_t *t = ctask_find (c, listed->task, &s, &index);
  int here = t && t->worker == (int)(w - c->workers);
  cjob_t *j = t ? cstep_job (c, s) : NULL;

  if (j)
    cjob_set_begun (j);
  if (t && t->inherited && t->state == CT_WAITING && j->durable
      && j->next_phase < GL_PHASE_COMPLETED && listed->run != t->ended_run
      && !ctask_failure_known (t, listed->run))
    {
      if (ctask_bind (c, s, index, (int)(w - c->workers), 0))
        return;
      /* It stays inherited, since earlier runs of it may have ended on other
         workers and have not been reported yet. */
      t->run = listed->run;
      t->state = CT_RUNNING;
      t->listed_tag = k->tag;
      t->percent = (unsigned char)listed->percent;
      estimate_inherited_run (c, s, t);
      return;
    }
  if (here && listed->run == t->run)
    {
      if (j->next_phase < GL_PHASE_COMPLETED
          && health_stalled (c, w, s, t, listed))
        cworker_stop (c, s, index);
      t->percent = (unsigned char)listed->percent;
      if (listed->percent >= ESTIMATE_PERCENT_MIN && c->now > t->sent_at)
        t->expected_end = c->now
                          + (c->now - t->sent_at)
                                * (gl_ms_t)(100 - listed->percent)
                                / (gl_ms_t)listed->percent;
      t->listed_tag = k->tag;
      if (listed->checkpoint[0] && strcmp (listed->checkpoint, t->checkpoint))
        cell_strcpy (t->checkpoint, listed->checkpoint);
      if (t->state == CT_STARTING)
        t->state = CT_RUNNING;
      return;
    }
  /* An earlier run, listed by a poll that was sent before the present run. */
  if (here && listed->run < t->run && t->sent_at > k->sent_at)
    return;
  /* Another member of a gang that is done, or a run whose end is not listed
     yet.  If an earlier owner recorded that it is done, it is not bound to the
     worker, and takes room there like an orphan until it is gone. */
  if (t && t->state == CT_DONE && t->run == listed->run)
    {
      t->listed_tag = k->tag;
      w->orphans += !here;
      return;
    }
  w->orphans++;
  if (c->now - w->orphans_stopped_at < ORPHAN_STOP_RETRY_MS)
    return;
  c->counters.strays++;
  cell_log (c, "orphan_run task=%s run=%u worker=%s known_run=%u",
            listed->task, listed->run, w->info.self.id, t ? t->run : 0);
  cworker_send_stop (c, w, listed->task, listed->run);
}

static void settle_stopped_runs (cell_t *c, cworker_t *w,
                                 const cell_wcall_t *k);

/* Another incarnation answers at the worker's address.  A successor may have
   taken note of ends that this incarnation had reported, so its tasks count as
   lost only when our ownership has been confirmed since. */
void
cworker_restarted (cell_t *c, cworker_t *w)
{
  if (!w->restarted_at)
    {
      w->restarted_at = c->now;
      own_confirm_now (c);
    }
  w->poll_at = c->now + POLL_RETRY_MS;
}

/* A worker that counted as dead has answered.  Nothing of its former runs is
   bound to it; it is written to the store again before it is used. */
static void
worker_revive (cell_t *c, cworker_t *w)
{
  w->dead = 0;
  w->restarted_at = 0;
  w->nlapsed_runs = 0;
  w->silent = 0;
  w->lease_bound_at = c->now;
  cell_log (c, "worker_revived id=%s", w->info.self.id);
}

/* Take what the worker has listed in answer to a poll. */
static void
take_lists (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  int orphans_before = w->orphans;

  w->ends_after
      = c->now > k->sent_at + ANSWERED_AT_ONCE_MS ? c->now - 1 : w->listed_at;
  w->listed_at = c->now;
  settle_runs (c, w, k);
  /* Ends before runs, so that an ended run is not taken as running. */
  for (int i = 0; i < k->nends; i++)
    end_listed (c, w, &k->ends[i], k);
  w->orphans = 0;
  for (int i = 0; i < k->nruns; i++)
    handle_listed_run (c, w, &k->runs[i], k);
  if (w->orphans && c->now - w->orphans_stopped_at >= ORPHAN_STOP_RETRY_MS)
    w->orphans_stopped_at = c->now;
  if (orphans_before && !w->orphans)
    plan_wake (c);
  if (k->nends < POLL_ENDS_MAX)
    {
      if (k->fencing_token == incarnation_token (c, w))
        census_set_heard (c, w);
      settle_stopped_runs (c, w, k);
    }
  end_ack_written (c, w);
  w->poll_at = w->orphans ? c->now + ORPHAN_POLL_MS : poll_next (c, w);
  if (w->nunacked && w->poll_at < c->now + CELL_UNSAVED_POLL_MS)
    w->poll_at = c->now + CELL_UNSAVED_POLL_MS;
}

static void
poll_result (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  w->poll_tag = 0;
  w->poll_at = c->now;
  if (w->dead && k->status == CELL_W_OK && !w->replaced)
    worker_revive (c, w);
  else if (w->dead)
    {
      if (k->status == CELL_W_RESTARTED)
        crash_note_late_restart (c, w);
      w->poll_at = c->now + DEAD_POLL_MS;
      return;
    }
  if (k->status == CELL_W_OK)
    {
      take_lists (c, w, k);
      return;
    }
  c->counters.looks_failed++;
  if (k->status == CELL_W_RESTARTED)
    {
      cworker_restarted (c, w);
      return;
    }
  w->poll_at = c->now + POLL_RETRY_MS;
  if (k->status == CELL_W_FENCED)
    return;
  if (++w->missed_polls >= SILENT_MISSED_POLLS && !w->silent)
    {
      w->silent = 1;
      cell_log (c,
                "worker_silent id=%s tasks=%d poll_sent_ms=%lld "
                "lease_sent_ms=%lld",
                w->info.self.id, w->ntasks, cell_age_ms (c, k->sent_at),
                cell_age_ms (c, w->lease_sent_at));
    }
}

/* The answer to a poll that a newer one has replaced.  What runs may have
   changed since, but an end is final, and the newer poll may get no answer. */
static void
superseded_poll_result (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  cell_log (c,
            "poll_superseded worker=%s ends=%d last_seq=%llu taken_seq=%llu "
            "sent_ms=%lld",
            w->info.self.id, k->nends,
            (unsigned long long)k->ends[k->nends - 1].seq,
            (unsigned long long)w->taken_seq, cell_age_ms (c, k->sent_at));
  for (int i = 0; i < k->nends; i++)
    end_listed (c, w, &k->ends[i], k);
}

/* A start got no answer, so the worker may be gone: it is polled at once, and
   no task is started there before it answers. */
static void
worker_set_suspect (cell_t *c, cworker_t *w)
{
  if (w->suspect || w->silent || w->dead || w->replaced)
    return;
  w->suspect = 1;
  poll_worker (c, w, 0);
}

static void
start_result (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  cstep_t *s = NULL;
  uint32_t index = 0;
  ctask_t *t = ctask_find (c, k->task, &s, &index);
  int is_current = t && t->worker == k->worker && t->run == k->run;

  if (k->status == CELL_W_OK)
    {
      c->counters.starts++;
      if (t)
        note_start (c, s);
      if (is_current && t->state == CT_STARTING)
        {
          t->state = CT_RUNNING;
          t->start_tag = c->next_tag;
        }
      return;
    }
  cell_log (c, "start_failed task=%s run=%u worker=%s status=%d ms=%llu",
            k->task, k->run, w->info.self.id, k->status,
            (unsigned long long)(c->now - k->sent_at));
  if (k->status == CELL_W_UNKNOWN)
    {
      c->counters.start_unsure++;
      worker_set_suspect (c, w);
      if (is_current && t->state == CT_STARTING)
        {
          t->state = CT_UNKNOWN;
          cworker_stop (c, s, index);
        }
      return;
    }
  c->counters.start_refused++;
  if (k->status == CELL_W_REFUSED)
    w->avoid_until = c->now + REFUSED_AVOID_MS;
  if (k->status == CELL_W_RESTARTED)
    {
      if (is_current)
        t->survived = 1;
      cworker_restarted (c, w);
    }
  else if (is_current && (t->state == CT_STARTING || t->state == CT_STOPPING))
    {
      if (k->status == CELL_W_BAD_TICKET)
        s->ntickets = 0;
      ctask_requeue (c, s, index);
      if (s->def->gang)
        for (uint32_t i = 0; i < s->def->count; i++)
          if (s->tasks[i].worker >= 0 && s->tasks[i].state != CT_DONE)
            cworker_stop (c, s, i);
    }
}

/* The result of a stop.  A worker that has accepted a stop refuses every start
   of the task up to that run number.  If the run was there, its end will be
   listed; if not, the next poll shows that it is not. */
static void
stop_result (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  cstep_t *s = NULL;
  uint32_t index = 0;
  ctask_t *t = ctask_find (c, k->task, &s, &index);

  if (!t || t->worker != k->worker || t->run != k->run)
    return;
  if (k->status != CELL_W_OK)
    return;
  /* Any poll that is sent from now on shows whether the run was there. */
  if (!t->stop_tag)
    t->stop_tag = c->next_tag;
  if (t->state != CT_UNKNOWN)
    return;
  t->state = CT_STOPPING;
  poll_worker (c, w, 0);
}

/* Release the tasks whose run is not listed, although the poll was sent after
   their stop was confirmed or their gang had ended: the run never began, or is
   over. */
static void
settle_stopped_runs (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  for (int i = w->ntasks; i-- > 0;)
    {
      ctask_handle_t ref;
      cstep_t *s;
      ctask_t *t;

      if (i >= w->ntasks)
        continue;
      ref = w->tasks[i];
      s = pool_get (&c->steps, ref.step);
      t = &s->tasks[ref.index];
      if ((t->state == CT_STOPPING || t->state == CT_DONE) && t->stop_tag
          && k->tag > t->stop_tag && t->listed_tag != k->tag)
        ctask_ended (c, s, ref.index, t->worker, t->run, CELL_RUN_STOPPED,
                     NULL);
    }
}

static void worker_tick (cell_t *c, cworker_t *w);

/* The incarnation that has answered a call to @w, and @w if nobody did.  If it
   is another one, @w is over.  NULL if there is nothing to take the answer as.
 */
static cworker_t *
answering_incarnation (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  int asked = (int)(w - c->workers);
  int known = c->nworkers;
  /* CELL_W_RESTARTED comes from a worker of another id. */
  uint64_t started_at
      = k->status == CELL_W_RESTARTED ? 0 : k->worker_started_at;
  cworker_t *by = incarnation_answered (c, w, started_at, k->sent_at);

  /* The table of workers may have moved. */
  w = &c->workers[asked];
  if (by != w && w->poll_tag == k->tag)
    {
      w->poll_tag = 0;
      w->poll_at = c->now + POLL_RETRY_MS;
    }
  if (!by)
    return NULL;
  if (c->nworkers > known)
    cworker_expect (c, by);
  if (started_at)
    settle_others (c, by, k);
  return by;
}

/* Another incarnation than the one that was polled has listed its runs. */
static void
take_lists_of_another (cell_t *c, cworker_t *w, const cell_wcall_t *k)
{
  if (k->op != CELL_OP_POLL || k->status != CELL_W_OK
      || FAULT (FAULT_CELL_UNSETTLED))
    return;
  if (w->dead)
    worker_revive (c, w);
  note_answer (c, w, k);
  w->unproven = 0;
  take_lists (c, w, k);
  /* A call to the former incarnation may still be carried out. */
  w->poll_at = c->now;
  timer_arm_before (&c->timers, c->worker_timer, c->now);
  plan_wake (c);
}

void
cworker_answer (cell_t *c, const cell_event_t *ev)
{
  const cell_wcall_t *k = ev->wcall;
  cworker_t *w = k->worker < c->nworkers ? &c->workers[k->worker] : NULL;
  cworker_t *by;

  if (c->role != CR_OWNER || !w || strcmp (w->info.self.id, k->worker_id)
      || k->generation != c->generation)
    return;
  if (k->status == CELL_W_FENCED && !incarnation_outdated (c, w, k))
    {
      own_step_down (c, "fenced by a worker");
      return;
    }
  by = answering_incarnation (c, w, k);
  if (!by)
    return;
  if (by != &c->workers[k->worker])
    {
      if (k->op == CELL_OP_START && k->status == CELL_W_FENCED)
        start_result (c, &c->workers[k->worker], k);
      else
        take_lists_of_another (c, by, k);
      return;
    }
  w = by;
  note_answer (c, w, k);
  w->unproven = k->worker_clock ? w->unproven && k->op != CELL_OP_POLL : 1;
  if (k->op == CELL_OP_POLL)
    {
      if (w->poll_tag == k->tag)
        poll_result (c, w, k);
      else if (k->nends)
        superseded_poll_result (c, w, k);
    }
  else if (k->op == CELL_OP_START)
    start_result (c, w, k);
  else
    stop_result (c, w, k);
  /* Another incarnation's answer does not say that this one lives. */
  if (k->worker_clock && k->status != CELL_W_RESTARTED)
    crash_note_answer (c, w, k->sent_at);
  if (c->role == CR_OWNER && !c->releasing)
    worker_tick (c, w);
}

/* ---- timer ---- */

/* Send stops again whose effect has not shown in time: those that got no
   answer, and those whose run has neither ended nor been found absent.  A
   silent worker gets them once it answers: the runs end with its lease in any
   case. */
static void
resend_stops (cell_t *c, cworker_t *w)
{
  gl_ms_t call_max = CELL_CALL_TIMEOUT_MS + flow_backlog (c);
  gl_ms_t stop_max = c->limits.stop_max_ms + call_max;

  for (int i = 0; !w->silent && i < w->ntasks; i++)
    {
      cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      ctask_t *t = &s->tasks[w->tasks[i].index];

      if (t->state == CT_UNKNOWN && c->now - t->sent_at > call_max + 50)
        cworker_stop (c, s, w->tasks[i].index);
      else if ((t->state == CT_STOPPING || t->surplus)
               && c->now - t->sent_at > stop_max)
        cworker_stop (c, s, w->tasks[i].index);
    }
}

/* A poll that waits for an end is rather sent before its time than one tick
   after it. */
static int
is_poll_due (const cell_t *c, const cworker_t *w)
{
  if (c->now >= w->poll_at)
    return 1;
  return !w->nunacked && !w->silent && !w->restarted_at
         && c->now + TICK_MS > w->poll_at
         && poll_wait (c, w, TICK_MS) != CELL_POLL_SHORT_WAIT_MS;
}

static void
worker_tick (cell_t *c, cworker_t *w)
{
  if (w->dead)
    return;
  /* A successor may have renewed the leases, unless our ownership has been
     confirmed since they were found to have ended. */
  if (w->silent && census_leases_ended (c, w) && !w->lease_over_at)
    w->lease_over_at = c->now;
  if (w->silent && w->lease_over_at && c->confirmed_at >= w->lease_over_at)
    {
      worker_set_dead (c, w, "lease_expired");
      return;
    }
  if (w->restarted_at && settle_is_done (c, w)
      && (c->confirmed_at >= w->restarted_at
          || FAULT (FAULT_CELL_RESTART_UNCONFIRMED)))
    {
      worker_set_dead (c, w, "restarted");
      return;
    }
  if (!w->accounted && census_leases_ended (c, w))
    {
      census_set_accounted (c, w);
      /* Without a registration it is not polled, which would show this. */
      w->silent |= !w->registered;
    }
  if (w->ntasks)
    resend_stops (c, w);
  if (!w->poll_tag && is_poll_due (c, w) && !w->replaced
      && (w->registered || w->ntasks || !w->accounted
          || (w->foreign_open && !FAULT (FAULT_CELL_UNSETTLED))))
    poll_worker (c, w,
                 w->accounted && !w->silent && !w->suspect && !w->poll_now
                         && w->lease_sent
                     ? poll_wait (c, w, TICK_MS)
                     : POLL_NO_WAIT_MS);
}

/* Poll an incarnation that counts as dead although its registration is still
   in the store: it may only have been unreachable. */
static void
recheck_dead (cell_t *c, cworker_t *w)
{
  if (w->dead && (w->registered || crash_wants_answer (c, w))
      && c->now >= w->poll_at && !w->poll_tag)
    poll_worker (c, w, POLL_NO_WAIT_MS);
}

void
cworkers_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  timer_arm (&c->timers, c->worker_timer, now + TICK_MS);
  /* Until the state is loaded, known runs cannot be told from orphaned ones.
   */
  if (c->role != CR_OWNER || c->releasing)
    return;
  enrol_update (c);
  for (int i = 0; i < c->nworkers; i++)
    {
      if (c->workers[i].epoch > CELL_TOKENS / 2)
        {
          own_step_down (c, "fencing tokens used up");
          return;
        }
      if (c->workers[i].dead)
        recheck_dead (c, &c->workers[i]);
      worker_tick (c, &c->workers[i]);
    }
  crash_tick (c);
  census_log (c);
}

void
cworkers_poll_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  if (c->role != CR_OWNER || c->releasing)
    return;
  for (int i = 0; i < c->nworkers; i++)
    if (!c->workers[i].poll_tag && now >= c->workers[i].poll_at)
      worker_tick (c, &c->workers[i]);
}
