/*
 * cellend.c -- what is made of the ends that workers list
 *
 * A worker lists each end in every answer until it is acknowledged, in the
 * order of their numbers.  An end is taken once.  It is acknowledged when what
 * it has changed is in the store, so that a later owner finds it either there
 * or on the worker.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

/* A worker that answers a poll which may wait later than this has waited for
   an end.  An answer to a poll that finds an end has the time of a call. */
#define HELD_MIN_MS 20

static const char *const outcome_names[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone", "unknown" };

/* Note that end @seq may be acknowledged once the job's records are in the
   store at @version, or at once if @j is NULL; -1 without memory. */
static int
unacked_add (cworker_t *w, uint64_t seq, const cjob_t *j, uint64_t version)
{
  if (w->nunacked == w->capunacked)
    {
      size_t cap = w->capunacked ? 2 * w->capunacked : 16;
      cunacked_t *v = realloc (w->unacked, cap * sizeof *v);

      if (!v)
        return -1;
      w->unacked = v;
      w->capunacked = cap;
    }
  w->unacked[w->nunacked++]
      = (cunacked_t){ seq, j ? j->self : 0, j ? version : 0 };
  return 0;
}

/* What is made of an end:
     decides     it is the end of the task's present run, or of one that an
                 earlier owner may have started, or a good end of any run
     released    the task was done already, and its room becomes free
     failure     a failure of an earlier run, which counts
     superseded  an earlier run that did not end well, while a later one is in
                 progress: no effect
     known       the task is done, or the failure was counted before
     no_task     the task is not known here */
static void
log_end (cell_t *c, const cworker_t *w, const cell_end_t *e, const ctask_t *t,
         const char *as)
{
  cell_log (c,
            "run_ended task=%s run=%u worker=%s outcome=%s seq=%llu as=%s "
            "known_run=%u state=%d failed=%u inherited=%d",
            e->task, e->run, w->info.self.id, outcome_names[e->outcome],
            (unsigned long long)e->seq, as, t ? t->run : 0, t ? t->state : -1,
            t ? t->failures : 0, t ? t->inherited : 0);
}

/* Whether the end decides the task's state.  That of the task's present run
   does, or of one that an earlier owner may have started; a good end does
   whichever run it is of, since the work is done, but tasks that run on until
   they are stopped have none. */
static int
decides (const cell_t *c, const cworker_t *w, const cstep_t *s,
         const ctask_t *t, const cell_end_t *e)
{
  if (t->state == CT_DONE)
    return 0;
  if (t->worker == (int)(w - c->workers) && t->run == e->run)
    return 1;
  if (t->inherited && t->state == CT_WAITING
      && !ctask_failure_known (t, e->run))
    return 1;
  return e->outcome == CELL_RUN_DONE
         && (t->state == CT_WAITING || !s->def->long_running);
}

/* The end decides the task's state; returns the job's version that records
   it. */
static uint64_t
take_end (cell_t *c, cworker_t *w, cstep_t *s, uint32_t index,
          const cell_end_t *e)
{
  ctask_t *t = &s->tasks[index];

  log_end (c, w, e, t, "decides");
  t->ended_run = e->run;
  if (t->worker == (int)(w - c->workers) && t->run == e->run)
    health_run_ended (c, w, s, t, e->outcome);
  if (e->outcome == CELL_RUN_FAILED)
    t->failed_worker = (int)(w - c->workers);
  if (e->run > t->run && t->worker < 0)
    t->run = e->run;
  return ctask_ended (c, s, index, (int)(w - c->workers), e->run, e->outcome,
                      e->checkpoint);
}

/* When the task's present run ended on its worker, 0 if that is not known.  A
   poll that the worker held is answered as soon as a run ends; else the end is
   taken to be the expected one. */
static gl_ms_t
run_end_time (const cell_t *c, const ctask_t *t, const cell_wcall_t *k)
{
  gl_ms_t at = t->expected_end;
  gl_ms_t known = t->progress_at > t->sent_at ? t->progress_at : t->sent_at;

  if (k->wait_ms && c->now >= k->sent_at + HELD_MIN_MS)
    return c->now;
  if (t->worker < 0)
    return 0;
  if (at < known)
    at = known;
  return at < c->now ? at : c->now;
}

/* Measure from the end of the run, at @ended_at, if that has decided the job's
   end. */
static void
note_decided (cell_t *c, cjob_t *j, gl_ms_t ended_at)
{
  if (j->next_phase < GL_PHASE_COMPLETED || j->decided_at
      || j->next_phase == GL_PHASE_CANCELLED)
    return;
  j->decided_at = c->now;
  if (ended_at)
    hist_add (&c->end_spans[CSPAN_POLL], (double)(c->now - ended_at));
}

/* Take one end that the worker lists.  Of runs that do not decide the task's
   state, only failures are counted. */
void
end_listed (cell_t *c, cworker_t *w, const cell_end_t *e,
            const cell_wcall_t *k)
{
  cstep_t *s = NULL;
  uint32_t index = 0;
  ctask_t *t;
  cjob_t *j = NULL;
  uint64_t version = 0;

  if (e->seq <= w->taken_seq)
    {
      if (e->seq <= w->ack_cursor)
        cell_log (c,
                  "end_passed_over task=%s run=%u worker=%s outcome=%s "
                  "seq=%llu taken_seq=%llu ack_cursor=%llu",
                  e->task, e->run, w->info.self.id, outcome_names[e->outcome],
                  (unsigned long long)e->seq, (unsigned long long)w->taken_seq,
                  (unsigned long long)w->ack_cursor);
      return;
    }
  t = ctask_find (c, e->task, &s, &index);
  if (t)
    cjob_set_begun (cstep_job (c, s));
  if (t && decides (c, w, s, t, e))
    {
      gl_ms_t ended_at = run_end_time (c, t, k);

      j = cstep_job (c, s);
      version = take_end (c, w, s, index, e);
      note_decided (c, j, ended_at);
    }
  else if (t && t->state == CT_DONE && t->run == e->run
           && t->worker == (int)(w - c->workers))
    {
      log_end (c, w, e, t, "released");
      ctask_unbind (c, s, index);
    }
  else if (t && t->state != CT_DONE && e->outcome == CELL_RUN_FAILED)
    {
      log_end (c, w, e, t,
               ctask_failure_known (t, e->run) ? "known" : "failure");
      j = cstep_job (c, s);
      version = ctask_late_failure (c, s, index, e->run);
    }
  else
    log_end (c, w, e, t,
             !t                    ? "no_task"
             : t->state == CT_DONE ? "known"
                                   : "superseded");
  /* The end changed nothing itself, but it is acknowledged only once the
     task's present state is written: another end may have set that, as for a
     gang. */
  if (t && !j)
    {
      j = cstep_job (c, s);
      version = j->version;
    }
  if (unacked_add (w, e->seq, j, version))
    return;
  w->taken_seq = e->seq;
}

void
end_ack_written (cell_t *c, cworker_t *w)
{
  size_t n = 0;

  while (n < w->nunacked)
    {
      cjob_t *j = pool_get (&c->jobs, w->unacked[n].job);

      if (j && j->phase < GL_PHASE_COMPLETED
          && j->written_version < w->unacked[n].version
          && !FAULT (FAULT_CELL_FORGET_EARLY))
        break;
      w->ack_cursor = w->unacked[n++].seq;
    }
  if (!n)
    return;
  cell_log (c, "ends_acknowledged worker=%s seq=%llu left=%zu",
            w->info.self.id, (unsigned long long)w->ack_cursor,
            w->nunacked - n);
  memmove (w->unacked, w->unacked + n, (w->nunacked - n) * sizeof *w->unacked);
  w->nunacked -= n;
}
