/*
 * cellcrash.c -- contains tasks that crash the workers that start them
 *
 * Such a task ends its worker, and all that runs there, shortly after its
 * start.  When a worker is found restarted, the runs that it had not survived
 * yet are suspects: those that had begun, or may have, and of which no answer
 * has shown that the worker lived on for CLEAR_MS.  Each of them
 * gets a crash noted.  If all are of one job, no other job can be the cause,
 * and the crash is noted as sole.
 *
 * A job with suspect tasks is started in isolation, to tell it from its
 * neighbours: on one worker at a time, on which no run of another job is a
 * suspect, and which takes no other job before the run has survived.  Tasks of
 * the job that are not suspects wait meanwhile, since tasks of a job behave
 * alike.  A run that survives clears its task.  The second sole crash of a
 * task fails its job.  One crash is not enough for that, because a worker may
 * also crash by itself, and a rack may lose power.  Other workers may crash
 * together, too: when several on which nothing was suspect are found restarted
 * at about the same time, the crashes of that time are not sole.  Workers that
 * crashed together are found one after the other, so a crash is judged a while
 * after it was noted; until then its task waits.
 *
 * The counts are written with the job's task records, so that a new owner goes
 * on with them.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* A run has survived its start once its worker has answered a call that was
   sent this long after the run was known to have begun. */
#define CLEAR_MS 300
/* Sole crashes, and crashes of any kind, that fail a task's job. */
#define SOLE_CRASHES_MAX 2
#define CRASHES_MAX 4
/* Suspect jobs that are started in isolation at the same time: one for this
   many workers in service, and at least so many. */
#define WORKERS_PER_PROBE 4
#define PROBES_MIN 2
/* The same for those that were the only suspects of a crash. */
#define WORKERS_PER_SOLE_PROBE 8
#define SOLE_PROBES_MIN 1
/* A suspect gang of a job of which nothing has run for this long is started
   without isolation: it needs several such workers at the same time. */
#define GANG_WAIT_MS 1500
/* A crash is not put down to one job when so many other workers of the rack
   are away, or were found restarted within this span. */
#define RACK_AWAY_MIN 2
#define RACK_SPAN_MS 2000
/* Crashes without suspects that make a common cause, and the time before and
   after another crash within which they count. */
#define TOGETHER_MIN 2
#define TOGETHER_SPAN_MS 1000
/* For this long after a worker was given up by its lease it is asked whether
   it has restarted. */
#define LAPSED_ASK_MS 10000
/* Lines logged for the suspects of one crash. */
#define SUSPECT_LINES_MAX 8

/* The task that has the counts: the members of a gang are one suspect. */
static ctask_t *
counted_task (const cstep_t *s, uint32_t index)
{
  return &s->tasks[s->def->gang ? 0 : index];
}

/* Whether the run that is bound to a worker may still crash it. */
static int
is_exposed (const ctask_t *t)
{
  return t->state != CT_DONE && !t->survived;
}

static int
is_to_fail (const ctask_t *t)
{
  return t->sole_crashes >= SOLE_CRASHES_MAX || t->crashes >= CRASHES_MAX;
}

int
crash_is_suspect (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);

  return j && j->nsuspects;
}

void
crash_recount (cell_t *c, cjob_t *j)
{
  if (!j->nsuspects)
    return;
  j->nsuspects = j->may_crash = 0;
  for (size_t i = 0; i < j->steps.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, j->steps.v[i]);

      for (uint32_t k = 0; s && k < s->def->count; k++)
        {
          const ctask_t *t = &s->tasks[k];

          if (t->state == CT_DONE || !t->crashes)
            continue;
          j->nsuspects++;
          j->may_crash |= t->sole_crashes > 0;
        }
    }
}

/* ---- crashes ---- */

/* Without memory the crash counts as it was noted. */
static void
judge_later (cell_t *c, const cstep_t *s, uint32_t index, uint32_t run,
             int sole, gl_ms_t since)
{
  if (array_reserve (&c->crashes, &c->capcrashes, c->ncrashes,
                     sizeof *c->crashes))
    handles_add (&c->to_fail, s->job);
  else
    c->crashes[c->ncrashes++]
        = (ccrash_t){ { s->self, index }, run, sole, since, c->now };
}

static void
note_crash (cell_t *c, const cworker_t *w, cstep_t *s, uint32_t index,
            uint32_t run, int sole, int log)
{
  ctask_t *t = counted_task (s, index);
  cjob_t *j = cstep_job (c, s);
  char name[CELL_NAME_SIZE];

  c->counters.crash_suspects++;
  if (!t->crashes || t->crashed_run != run)
    {
      t->crashes++;
      t->sole_crashes += (uint32_t)sole;
      t->crashed_run = run;
      j->version++;
      records_changed (c, s, (uint32_t)(t - s->tasks));
      j->nsuspects++;
      crash_recount (c, j);
      save_job (c, j, 1);
    }
  if (log)
    {
      ctask_name (c, s, index, name);
      cell_log (c,
                "crash_suspect task=%s run=%u worker=%s sole=%d crashes=%u "
                "sole_crashes=%u",
                name, run, w->info.self.id, sole, t->crashes, t->sole_crashes);
    }
  if (is_to_fail (t))
    judge_later (c, s, index, run, sole, w->clock_at);
}

/* Whether the worker's whole rack is away, as when it loses power: its crashes
   have a cause of their own.  Workers that have only just registered may be
   those that return. */
static int
is_rack_away (const cell_t *c, const cworker_t *w)
{
  int away = 0;

  for (int i = 0; i < c->nworkers; i++)
    {
      const cworker_t *o = &c->workers[i];
      int answers = !o->dead && !o->silent && !o->restarted_at;

      if (o == w || o->rack != w->rack)
        continue;
      if (answers && c->now > o->added_at + RACK_SPAN_MS)
        return 0;
      away += (!o->dead && !answers)
              || (o->crashed_at && c->now < o->crashed_at + RACK_SPAN_MS);
    }
  return away >= RACK_AWAY_MIN;
}

/* Whether runs on the worker have not survived yet: of the job, or, if
   @others, of other jobs. */
static int
has_exposed (const cell_t *c, const cworker_t *w, handle_t job, int others)
{
  for (int i = 0; i < w->ntasks; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);

      if ((s->job == job) != others
          && is_exposed (&s->tasks[w->tasks[i].index]))
        return 1;
    }
  return 0;
}

/* Whether all runs that the worker may not have survived are of one job. */
static int
is_of_one_job (const cell_t *c, const cworker_t *w)
{
  handle_t job = 0;

  for (int i = 0; i < w->ntasks; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);

      if (!is_exposed (&s->tasks[w->tasks[i].index]))
        continue;
      if (job && job != s->job)
        return 0;
      job = s->job;
    }
  return 1;
}

void
crash_note_restart (cell_t *c, cworker_t *w)
{
  int lines = 0;
  int sole;

  if (w->info.leaving)
    return;
  w->crashed_at = c->now;
  w->crashed_alone = !has_exposed (c, w, 0, 1);
  sole = is_of_one_job (c, w) && !is_rack_away (c, w);
  for (int i = 0; i < w->ntasks; i++)
    {
      cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      uint32_t index = w->tasks[i].index;

      if (is_exposed (&s->tasks[index]))
        note_crash (c, w, s, index, s->tasks[index].run, sole,
                    lines++ < SUSPECT_LINES_MAX);
    }
}

void
crash_note_lapse (cell_t *c, cworker_t *w)
{
  w->nlapsed_runs = 0;
  w->lapsed_at = c->now;
  w->lapsed_sole = is_of_one_job (c, w) && !is_rack_away (c, w);
  for (int i = 0; i < w->ntasks && w->nlapsed_runs < CELL_LAPSED_RUNS_MAX; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      const ctask_t *t = &s->tasks[w->tasks[i].index];

      if (is_exposed (t) && !w->info.leaving)
        w->lapsed_runs[w->nlapsed_runs++]
            = (clapsed_run_t){ w->tasks[i], t->run };
    }
}

int
crash_wants_answer (const cell_t *c, const cworker_t *w)
{
  return w->nlapsed_runs && c->now < w->lapsed_at + LAPSED_ASK_MS;
}

void
crash_note_late_restart (cell_t *c, cworker_t *w)
{
  for (int i = 0; i < w->nlapsed_runs; i++)
    {
      const clapsed_run_t *r = &w->lapsed_runs[i];
      cstep_t *s = pool_get (&c->steps, r->task.step);
      const ctask_t *t = s ? &s->tasks[r->task.index] : NULL;

      if (t && t->state != CT_DONE && (t->worker < 0 || !t->survived))
        note_crash (c, w, s, r->task.index, r->run, w->lapsed_sole, 1);
    }
  w->nlapsed_runs = 0;
}

/* Other workers crashed at the same time, so the task's last crash is no proof
   against it. */
static void
excuse_crash (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *t = counted_task (s, index);
  cjob_t *j = cstep_job (c, s);
  char name[CELL_NAME_SIZE];

  ctask_name (c, s, index, name);
  t->sole_crashes--;
  cell_log (c, "crash_excused task=%s run=%u crashes=%u sole_crashes=%u", name,
            t->crashed_run, t->crashes, t->sole_crashes);
  j->version++;
  records_changed (c, s, (uint32_t)(t - s->tasks));
  crash_recount (c, j);
  save_job (c, j, 1);
  plan_wake (c);
}

/* Whether workers on which nothing was suspect may have crashed at the time of
   @r: each crash lies between the last answer and the restart. */
static int
have_crashed_together (const cell_t *c, const ccrash_t *r)
{
  int n = 0;

  for (int i = 0; i < c->nworkers; i++)
    {
      const cworker_t *w = &c->workers[i];

      n += w->crashed_alone && w->crashed_at + TOGETHER_SPAN_MS > r->since
           && w->clock_at < r->at + TOGETHER_SPAN_MS;
    }
  return n >= TOGETHER_MIN;
}

/* Judge the crashes that might fail a job. */
static void
judge_crashes (cell_t *c)
{
  int left = 0;

  for (int i = 0; i < c->ncrashes; i++)
    {
      const ccrash_t *r = &c->crashes[i];
      cstep_t *s = pool_get (&c->steps, r->task.step);
      ctask_t *t = s ? counted_task (s, r->task.index) : NULL;

      if (c->now < r->at + TOGETHER_SPAN_MS)
        {
          c->crashes[left++] = *r;
          continue;
        }
      if (!t || t->state == CT_DONE || !is_to_fail (t))
        continue;
      if (r->sole && t->crashed_run == r->run && t->sole_crashes
          && have_crashed_together (c, r))
        excuse_crash (c, s, r->task.index);
      if (is_to_fail (t))
        handles_add (&c->to_fail, s->job);
    }
  c->ncrashes = left;
}

/* Fail the jobs that have crashed workers too often. */
static void
fail_jobs (cell_t *c)
{
  for (size_t i = 0; i < c->to_fail.n; i++)
    {
      cjob_t *j = pool_get (&c->jobs, c->to_fail.v[i]);

      if (!j || !j->durable || j->next_phase >= GL_PHASE_COMPLETED)
        continue;
      c->counters.crash_failed++;
      cell_log (c, "job_failed_for_crashes id=%s suspects=%d", j->id,
                j->nsuspects);
      cjob_finish (c, j, GL_PHASE_FAILED);
    }
  c->to_fail.n = 0;
}

/* ---- survival ---- */

/* Whether all members of the gang that are bound have survived. */
static int
gang_survived (const cstep_t *s)
{
  for (uint32_t i = 0; i < s->def->count; i++)
    if (s->tasks[i].worker < 0 || is_exposed (&s->tasks[i]))
      return 0;
  return 1;
}

static void
clear_task (cell_t *c, const cworker_t *w, cstep_t *s, uint32_t index)
{
  ctask_t *t = counted_task (s, index);
  cjob_t *j = cstep_job (c, s);
  char name[CELL_NAME_SIZE];

  if (!t->crashes || (s->def->gang && !gang_survived (s)))
    return;
  ctask_name (c, s, index, name);
  cell_log (c, "crash_cleared task=%s run=%u worker=%s crashes=%u", name,
            s->tasks[index].run, w->info.self.id, t->crashes);
  c->counters.crash_cleared++;
  t->crashes = t->sole_crashes = 0;
  j->version++;
  records_changed (c, s, (uint32_t)(t - s->tasks));
  crash_recount (c, j);
  save_job (c, j, 1);
  plan_wake (c);
}

void
crash_note_answer (cell_t *c, cworker_t *w, gl_ms_t sent)
{
  for (int i = 0; i < w->ntasks; i++)
    {
      cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      ctask_t *t = &s->tasks[w->tasks[i].index];

      if (t->state != CT_RUNNING || t->survived)
        continue;
      if (!t->seen_at)
        t->seen_at = c->now;
      if (sent < t->seen_at + CLEAR_MS)
        continue;
      t->survived = 1;
      clear_task (c, w, s, w->tasks[i].index);
    }
}

/* ---- isolation ---- */

/* The suspect job whose runs on the worker have not survived yet, or 0. */
static handle_t
probed_job (const cell_t *c, const cworker_t *w)
{
  return w->probed_job && !w->dead && has_exposed (c, w, w->probed_job, 0)
             ? w->probed_job
             : 0;
}

/* Whether a run of the job elsewhere than on @but has not survived yet. */
static int
is_probed_elsewhere (const cell_t *c, handle_t job, const cworker_t *but)
{
  for (int i = 0; i < c->nworkers; i++)
    if (&c->workers[i] != but && c->workers[i].probed_job == job
        && probed_job (c, &c->workers[i]) == job)
      return 1;
  return 0;
}

static int
may_probe_one_more (const cell_t *c, const cjob_t *j)
{
  int workers = 0;
  int most;
  int most_sole;

  for (int i = 0; i < c->nworkers; i++)
    workers += c->workers[i].registered && !c->workers[i].dead;
  most = workers / WORKERS_PER_PROBE;
  most_sole = workers / WORKERS_PER_SOLE_PROBE;
  if (most < PROBES_MIN)
    most = PROBES_MIN;
  if (most_sole < SOLE_PROBES_MIN)
    most_sole = SOLE_PROBES_MIN;
  return c->nprobed < most && (!j->may_crash || c->nprobed_sole < most_sole);
}

int
crash_allows (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  const cjob_t *j = pool_get (&c->jobs, s->job);
  handle_t probed = probed_job (c, w);

  if (probed)
    return probed == s->job;
  if (!j->nsuspects
      || (s->def->gang && c->now > j->idle_since + GANG_WAIT_MS
          && c->now > s->ready_at + GANG_WAIT_MS))
    return 1;
  return !has_exposed (c, w, s->job, 1)
         && (s->def->gang || !is_probed_elsewhere (c, s->job, w))
         && may_probe_one_more (c, j);
}

int
crash_holds (const cell_t *c, const cstep_t *s, uint32_t index)
{
  const ctask_t *t = counted_task (s, index);

  return crash_is_suspect (c, s) && (!t->crashes || is_to_fail (t));
}

void
crash_note_start (cell_t *c, const cstep_t *s, uint32_t index)
{
  const ctask_t *t = &s->tasks[index];
  const cjob_t *j = pool_get (&c->jobs, s->job);
  cworker_t *w = &c->workers[t->worker];
  char name[CELL_NAME_SIZE];

  if (!j->nsuspects)
    return;
  if (w->probed_job != j->self && !is_probed_elsewhere (c, j->self, w))
    {
      c->nprobed++;
      c->nprobed_sole += j->may_crash;
    }
  w->probed_job = j->self;
  w->probe_polled = 0;
  c->counters.crash_isolated++;
  ctask_name (c, s, index, name);
  cell_log (c, "crash_isolated task=%s run=%u worker=%s crashes=%u beside=%d",
            name, t->run, w->info.self.id, counted_task (s, index)->crashes,
            w->ntasks - 1);
}

void
crash_plan_begin (cell_t *c)
{
  c->nprobed = c->nprobed_sole = 0;
  for (int i = 0; i < c->nworkers; i++)
    {
      handle_t h = probed_job (c, &c->workers[i]);
      const cjob_t *j = pool_get (&c->jobs, h);

      if (!h || !j)
        continue;
      c->nprobed++;
      c->nprobed_sole += j->may_crash;
    }
}

/* Poll the worker once its probing runs must have survived. */
static void
poll_probed (cell_t *c, int worker)
{
  cworker_t *w = &c->workers[worker];
  gl_ms_t due = 0;

  for (int i = 0; i < w->ntasks; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      const ctask_t *t = &s->tasks[w->tasks[i].index];

      if (is_exposed (t) && t->seen_at > due)
        due = t->seen_at;
    }
  if (!due || c->now < due + CLEAR_MS)
    return;
  w->probe_polled = 1;
  cworker_poll_now (c, worker);
}

void
crash_tick (cell_t *c)
{
  for (int i = 0; i < c->nworkers; i++)
    if (c->workers[i].probed_job && !c->workers[i].probe_polled
        && !c->workers[i].dead)
      poll_probed (c, i);
  judge_crashes (c);
  fail_jobs (c);
}

/* ---- records ---- */

static void
fill_records (cell_t *c, const cjob_t *j, size_t chunk, gl_crashes_t *records)
{
  for (size_t i = 0; i < j->steps.n; i++)
    {
      const cstep_t *s = pool_get (&c->steps, j->steps.v[i]);
      uint32_t from = 0;
      uint32_t to = 0;

      if (s)
        records_range (s, chunk, &from, &to);
      for (uint32_t k = from; k < to; k++)
        {
          const ctask_t *t = &s->tasks[k];

          if (t->crashes && t->state != CT_DONE)
            records->tasks.tasks_val[records->tasks.tasks_len++]
                = (gl_crash_record_t){ s->iteration, s->index, k, t->crashes,
                                       t->sole_crashes };
        }
    }
}

int
crash_encode (cell_t *c, const cjob_t *j, size_t chunk, int always,
              char **value, size_t *len)
{
  gl_crashes_t records = { { 0, NULL } };
  int rc = 0;

  if (!j->nsuspects && !always)
    return 0;
  records.tasks.tasks_val
      = calloc ((size_t)j->nsuspects + 1, sizeof (gl_crash_record_t));
  if (!records.tasks.tasks_val)
    return -1;
  fill_records (c, j, chunk, &records);
  if (records.tasks.tasks_len || always)
    rc = codec_append ((xdrproc_t)xdr_gl_crashes_t, &records, value, len);
  free (records.tasks.tasks_val);
  return rc;
}

size_t
crash_restore (cell_t *c, cjob_t *j, size_t chunk, const char *data,
               size_t len)
{
  gl_crashes_t records;
  size_t used;

  memset (&records, 0, sizeof records);
  if (codec_decode ((xdrproc_t)xdr_gl_crashes_t, &records, data, len))
    {
      cell_log (c, "crash_records_unreadable id=%s", j->id);
      return 0;
    }
  used = xdr_sizeof ((xdrproc_t)xdr_gl_crashes_t, &records);
  for (u_int i = 0; i < records.tasks.tasks_len; i++)
    {
      const gl_crash_record_t *r = &records.tasks.tasks_val[i];
      char name[CELL_NAME_SIZE];
      cstep_t *s;
      uint32_t index;
      ctask_t *t;

      snprintf (name, sizeof name, "%s.%u.%u.%u", j->id, r->iteration, r->step,
                r->index);
      t = ctask_find (c, name, &s, &index);
      if (!t)
        continue;
      records_found (j, s, index, chunk);
      t->crashes = r->crashes;
      t->sole_crashes = r->sole;
      j->nsuspects++;
      if (is_to_fail (t))
        handles_add (&c->to_fail, j->self);
    }
  crash_recount (c, j);
  codec_free ((xdrproc_t)xdr_gl_crashes_t, &records);
  return used;
}
