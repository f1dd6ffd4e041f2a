/*
 * celljob.c -- jobs, steps and tasks of the cell
 *
 * A job has iterations (one, unless it repeats).  Each iteration has all steps
 * of the job, and a step has tasks.  A task waits, is bound to one worker, or
 * is done.  Only ctask_bind and ctask_unbind change the worker of a task; they
 * also update the worker's used resources.  The task record holds what a later
 * owner must know of a task: whether it is done, its failed runs, and its
 * checkpoint.  Which worker runs the task is not stored: a new owner learns
 * that from the workers.
 */
#include "cellint.h"

#include <assert.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Period of cjobs_tick. */
#define TICK_MS 200

cjob_t *
cjob_find (cell_t *c, const char *id)
{
  return pool_get (&c->jobs, (handle_t)names_get (&c->job_names, id));
}

cjob_t *
cstep_job (cell_t *c, const cstep_t *s)
{
  return pool_get (&c->jobs, s->job);
}

static uint32_t
iteration_count (const cjob_t *j)
{
  return j->spec.repeat_count ? j->spec.repeat_count : 1;
}

/* ---- steps ---- */

static cstep_t *
step_new (cell_t *c, cjob_t *j, uint32_t iteration, uint32_t index)
{
  handle_t h = pool_add (&c->steps);
  cstep_t *s = pool_get (&c->steps, h);

  if (!s)
    return NULL;
  s->self = h;
  s->job = j->self;
  s->iteration = iteration;
  s->index = index;
  s->def = &j->spec.steps.steps_val[index];
  s->first_task = j->ntasks;
  s->tasks = calloc (s->def->count, sizeof *s->tasks);
  if (!s->tasks || records_add_tasks (j, s->def->count)
      || handles_add (&j->steps, h))
    {
      free (s->tasks);
      pool_del (&c->steps, h);
      return NULL;
    }
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      s->tasks[i].worker = -1;
      s->tasks[i].failed_worker = -1;
      s->tasks[i].inherited = j->inherited && !c->census_complete;
    }
  s->nwaiting = s->def->count;
  return s;
}

static void
step_free (cell_t *c, cstep_t *s)
{
  for (uint32_t i = 0; i < s->def->count; i++)
    if (s->tasks[i].worker >= 0)
      ctask_unbind (c, s, i);
  reserve_drop (c, s);
  free (s->reservations);
  free (s->tasks);
  free (s->verdicts);
  free (s->tickets);
  pool_del (&c->steps, s->self);
}

void
cstep_enqueue (cell_t *c, cstep_t *s)
{
  if (!s->run_class)
    s->run_class = ratio_class (&c->ratios, cstep_job (c, s)->queue,
                                s->def->image ? s->def->image : "");
  if (s->in_waiting || !s->ready || !s->nwaiting)
    return;
  if (!handles_add (&c->waiting, s->self))
    s->in_waiting = 1;
  plan_wake (c);
}

static cstep_t *
step_at (cell_t *c, const cjob_t *j, uint32_t iteration, uint32_t index)
{
  size_t n = j->spec.steps.steps_len;
  size_t at = (size_t)iteration * n + index;

  return at < j->steps.n ? pool_get (&c->steps, j->steps.v[at]) : NULL;
}

/* Whether all predecessors of the step are done. */
static int
predecessors_done (cell_t *c, const cjob_t *j, const cstep_t *s)
{
  for (uint32_t i = 0; i < s->def->predecessors.predecessors_len; i++)
    {
      cstep_t *p = step_at (c, j, s->iteration,
                            s->def->predecessors.predecessors_val[i]);

      if (p && p->ndone < p->def->count)
        return 0;
    }
  return 1;
}

/* ---- jobs ---- */

cjob_t *
cjob_new (cell_t *c, gl_cell_job_t *spec)
{
  handle_t h = pool_add (&c->jobs);
  cjob_t *j = pool_get (&c->jobs, h);

  if (!j)
    {
      codec_free ((xdrproc_t)xdr_gl_cell_job_t, spec);
      return NULL;
    }
  j->self = h;
  j->spec = *spec;
  memset (spec, 0, sizeof *spec);
  cell_strcpy (j->id, j->spec.id);
  j->arrived_at = c->now;
  j->queue = -1;
  j->team = -1;
  for (int i = 0; i < c->conf.nqueues; i++)
    if (!strcmp (c->conf.queues[i].name, j->spec.queue))
      j->queue = i;
  if (due_compute_paths (j) || names_put (&c->job_names, j->id, h))
    {
      free (j->path_ms);
      codec_free ((xdrproc_t)xdr_gl_cell_job_t, &j->spec);
      pool_del (&c->jobs, h);
      return NULL;
    }
  return j;
}

static void
free_steps (cell_t *c, cjob_t *j)
{
  for (size_t i = 0; i < j->steps.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, j->steps.v[i]);

      if (s)
        step_free (c, s);
    }
  free (j->steps.v);
  memset (&j->steps, 0, sizeof j->steps);
}

void
cjob_free (cell_t *c, cjob_t *j)
{
  free_steps (c, j);
  names_del (&c->job_names, j->id);
  codec_free ((xdrproc_t)xdr_gl_cell_job_t, &j->spec);
  free (j->path_ms);
  free (j->chunks);
  free (j->accept_waiters.v);
  free (j->end_waiters.v);
  pool_del (&c->jobs, j->self);
}

/* Make the steps of the job's next iteration. */
static void
iteration_new (cell_t *c, cjob_t *j)
{
  uint32_t iteration = j->iterations_made++;

  for (uint32_t i = 0; i < j->spec.steps.steps_len; i++)
    if (!step_new (c, j, iteration, i))
      cell_log (c, "out_of_memory id=%s", j->id);
}

/* Wall clock time at which the iteration is due. */
static uint64_t
iteration_due (const cjob_t *j, uint32_t iteration)
{
  uint64_t due;

  if (__builtin_mul_overflow (j->spec.interval_ms, (uint64_t)iteration, &due)
      || __builtin_add_overflow (due, j->spec.first_start_ms, &due))
    return UINT64_MAX;
  return due;
}

void
cjob_ready_steps (cell_t *c, cjob_t *j)
{
  if (j->phase >= GL_PHASE_COMPLETED || j->next_phase >= GL_PHASE_COMPLETED)
    return;
  while (j->iterations_made < iteration_count (j)
         && (!j->spec.repeat_count
             || iteration_due (j, j->iterations_made) <= c->wall))
    iteration_new (c, j);
  for (size_t i = 0; i < j->steps.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, j->steps.v[i]);

      if (!s)
        continue;
      if (!s->ready && predecessors_done (c, j, s))
        {
          s->ready = 1;
          s->ready_at = c->now;
        }
      cstep_enqueue (c, s);
    }
}

void
cjob_finish (cell_t *c, cjob_t *j, gl_phase_t phase)
{
  if (j->next_phase >= GL_PHASE_COMPLETED || j->phase >= GL_PHASE_COMPLETED)
    return;
  j->next_phase = phase;
  j->version++;
  for (size_t i = 0; i < j->steps.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, j->steps.v[i]);

      for (uint32_t k = 0; s && k < s->def->count; k++)
        if (s->tasks[k].worker >= 0 && s->tasks[k].state != CT_DONE)
          cworker_stop (c, s, k);
    }
  save_job (c, j, 1);
}

void
cjob_end_written (cell_t *c, cjob_t *j, gl_phase_t phase)
{
  static const char *const names[]
      = { "pending", "running", "completed", "failed", "cancelled" };

  j->phase = phase;
  j->ended_at = c->now;
  if (phase == GL_PHASE_COMPLETED)
    c->counters.completed++;
  else if (phase == GL_PHASE_FAILED)
    c->counters.failed++;
  else
    c->counters.cancelled++;
  if (j->queue >= 0 && c->conf.queues[j->queue].priority >= 0
      && c->conf.queues[j->queue].priority < CELL_PRIORITIES)
    hist_add (&c->total_time[c->conf.queues[j->queue].priority],
              (double)(c->now - j->arrived_at));
  records_job_ended (c, j);
  cell_log (c, "job_ended id=%s phase=%s age_ms=%llu", j->id, names[phase],
            (unsigned long long)(c->now - j->arrived_at));
  if (j->decided_at)
    hist_add (&c->end_spans[CSPAN_WRITE], (double)(c->now - j->decided_at));
  requests_end_written (c, j);
}

/* ---- tasks ---- */

void
ctask_name (const cell_t *c, const cstep_t *s, uint32_t index,
            char out[CELL_NAME_SIZE])
{
  const cjob_t *j = pool_get (&c->jobs, s->job);

  snprintf (out, CELL_NAME_SIZE, "%s.%u.%u.%u", j->id, s->iteration, s->index,
            index);
}

/* Parse a part of a task's name such as ".17" and advance *@p behind it; -1 if
   there is none. */
static int
parse_number (const char **p, uint32_t *out)
{
  char *end;

  if (**p != '.' || !isdigit ((unsigned char)(*p)[1]))
    return -1;
  *out = (uint32_t)strtoul (*p + 1, &end, 10);
  *p = end;
  return 0;
}

ctask_t *
ctask_find (cell_t *c, const char *name, cstep_t **step, uint32_t *index)
{
  char id[CELL_NAME_SIZE];
  size_t len = strcspn (name, ".");
  uint32_t iteration;
  uint32_t step_index;
  const char *p = name + len;
  cjob_t *j;
  cstep_t *s;

  if (len >= sizeof id || parse_number (&p, &iteration)
      || parse_number (&p, &step_index) || parse_number (&p, index) || *p)
    return NULL;
  memcpy (id, name, len);
  id[len] = 0;
  j = cjob_find (c, id);
  if (!j || step_index >= j->spec.steps.steps_len)
    return NULL;
  /* An earlier owner has made this iteration, so it is due. */
  while (j->next_phase < GL_PHASE_COMPLETED && j->phase < GL_PHASE_COMPLETED
         && j->iterations_made <= iteration
         && j->iterations_made < iteration_count (j))
    iteration_new (c, j);
  s = step_at (c, j, iteration, step_index);
  if (!s || *index >= s->def->count)
    return NULL;
  *step = s;
  return &s->tasks[*index];
}

void
cjob_set_begun (cjob_t *j)
{
  j->begun = 1;
}

int
ctasks_reserve (cworker_t *w, int n)
{
  int cap = w->captasks ? w->captasks : 8;
  ctask_handle_t *v;

  if (w->ntasks + n <= w->captasks)
    return 0;
  while (cap < w->ntasks + n)
    cap *= 2;
  v = realloc (w->tasks, (size_t)cap * sizeof *v);
  if (!v)
    return -1;
  w->tasks = v;
  w->captasks = cap;
  return 0;
}

gl_res_t
cstep_need (const cstep_t *s)
{
  gl_res_t need = s->def->need;

  if (s->def->best_effort)
    need.cpus_m = 0;
  return need;
}

int
cstep_cap_room (cell_t *c, const cstep_t *s, int max)
{
  const gl_res_t need = cstep_need (s);

  if (!c->shares.on)
    return max;
  return share_room (&c->shares, &c->conf.teams, cstep_job (c, s)->team, &need,
                     max);
}

void
cjobs_recount_shares (cell_t *c)
{
  shares_clear_used (&c->shares);
  c->shares.on = c->conf.teams.configured;
  if (c->shares.on && shares_reserve (&c->shares, c->conf.teams.n - 1))
    {
      cell_log (c, "caps_not_kept why=memory");
      c->shares.on = 0;
    }
  if (!c->shares.on)
    return;
  for (int i = 0; i < c->nworkers; i++)
    for (int k = 0; k < c->workers[i].ntasks; k++)
      {
        cstep_t *s = pool_get (&c->steps, c->workers[i].tasks[k].step);
        const gl_res_t need = cstep_need (s);

        share_bound (&c->shares, cstep_job (c, s)->team, &need);
      }
}

int
ctask_bind (cell_t *c, cstep_t *s, uint32_t index, int worker, int starts)
{
  cworker_t *w = &c->workers[worker];
  ctask_t *t = &s->tasks[index];
  cjob_t *j = cstep_job (c, s);
  const gl_res_t need = cstep_need (s);

  assert (t->worker < 0);
  if ((starts && !cstep_cap_room (c, s, 1)) || ctasks_reserve (w, 1)
      || (c->shares.on && shares_reserve (&c->shares, j->team)))
    return -1;
  if (c->shares.on)
    share_bound (&c->shares, j->team, &need);
  t->worker = worker;
  t->start_tag = 0;
  t->listed_tag = 0;
  t->stop_tag = 0;
  t->progress_at = 0;
  t->pace_at = 0;
  t->stood = 0;
  t->checkpoint_at = 0;
  t->seen_at = 0;
  t->survived = 0;
  t->percent = 0;
  t->worker_pos = w->ntasks;
  w->tasks[w->ntasks++] = (ctask_handle_t){ s->self, index };
  w->used.cpus_m += need.cpus_m;
  w->used.memory_mb += need.memory_mb;
  w->used.accels += need.accels;
  if (t->state == CT_WAITING)
    s->nwaiting--;
  j->nbound++;
  return 0;
}

void
ctask_unbind (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *t = &s->tasks[index];
  cworker_t *w = &c->workers[t->worker];
  ctask_handle_t last = w->tasks[--w->ntasks];
  cjob_t *j = cstep_job (c, s);
  const gl_res_t need = cstep_need (s);

  if (t->worker_pos < w->ntasks)
    {
      cstep_t *o = pool_get (&c->steps, last.step);

      w->tasks[t->worker_pos] = last;
      o->tasks[last.index].worker_pos = t->worker_pos;
    }
  t->worker = -1;
  if (c->pairs && t->state != CT_WAITING)
    pair_note_past (&w->past, s->run_class, t->sent_at, c->now);
  w->used.cpus_m -= need.cpus_m;
  w->used.memory_mb -= need.memory_mb;
  w->used.accels -= need.accels;
  if (c->shares.on)
    share_unbound (&c->shares, j->team, &need);
  if (!--j->nbound)
    j->idle_since = c->now;
  plan_wake (c);
}

void
ctask_requeue (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *t = &s->tasks[index];

  if (t->worker >= 0)
    ctask_unbind (c, s, index);
  if (t->state != CT_WAITING)
    s->nwaiting++;
  t->state = CT_WAITING;
  cstep_enqueue (c, s);
}

static int
iteration_done (cell_t *c, const cjob_t *j, uint32_t iteration)
{
  for (uint32_t i = 0; i < j->spec.steps.steps_len; i++)
    {
      cstep_t *s = step_at (c, j, iteration, i);

      if (!s || s->ndone < s->def->count)
        return 0;
    }
  return 1;
}

static int
job_done (cell_t *c, const cjob_t *j)
{
  if (j->iterations_made < iteration_count (j))
    return 0;
  for (uint32_t t = 0; t < iteration_count (j); t++)
    if (!iteration_done (c, j, t))
      return 0;
  return 1;
}

/* Mark the task as done and unbind it. */
static void
task_set_done (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *t = &s->tasks[index];

  if (t->state == CT_DONE)
    return;
  if (t->worker >= 0)
    ctask_unbind (c, s, index);
  else if (t->state == CT_WAITING)
    s->nwaiting--;
  t->state = CT_DONE;
  t->has_record = 1;
  t->inherited = 0;
  s->ndone++;
  records_changed (c, s, index);
}

/* A run of the task has ended well that is not the one bound to a worker. That
   one is stopped, and stays bound until its worker no longer lists it. */
static void
task_done_elsewhere (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *t = &s->tasks[index];

  if (t->worker < 0 || t->state == CT_DONE)
    {
      task_set_done (c, s, index);
      return;
    }
  t->state = CT_DONE;
  t->has_record = 1;
  t->inherited = 0;
  t->surplus = 1;
  s->ndone++;
  records_changed (c, s, index);
  cworker_stop (c, s, index);
}

/* A gang is done as soon as one member of run @run has ended successfully. The
   other members stay bound until their workers no longer list them; those of
   another run than the one that ended (all of them if @elsewhere) are
   stopped. */
static void
gang_done (cell_t *c, cstep_t *s, uint32_t ended, uint32_t run, int elsewhere)
{
  if (!elsewhere)
    task_set_done (c, s, ended);
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      ctask_t *t = &s->tasks[i];

      if (elsewhere || t->worker < 0 || t->state == CT_DONE || t->run != run)
        {
          task_done_elsewhere (c, s, i);
          continue;
        }
      t->state = CT_DONE;
      t->has_record = 1;
      t->inherited = 0;
      t->stop_tag = c->next_tag;
      s->ndone++;
      records_changed (c, s, i);
      cworker_poll_now (c, t->worker);
    }
}

int
ctask_failure_known (const ctask_t *t, uint32_t run)
{
  for (uint32_t i = 0; i < t->nfailed_runs; i++)
    if (t->failed_runs[i] == run && !FAULT (FAULT_CELL_FAILURE_TWICE))
      return 1;
  return run <= t->unnamed_run;
}

/* Make room for the number of one more failed run. */
static void
forget_first_failure (ctask_t *t)
{
  uint32_t first = 0;

  for (uint32_t i = 1; i < t->nfailed_runs; i++)
    if (t->failed_runs[i] < t->failed_runs[first])
      first = i;
  t->unnamed_run = t->failed_runs[first];
  t->failed_runs[first] = t->failed_runs[--t->nfailed_runs];
}

/* Record that the run has failed, once, and fail the job if the task has no
   attempt left.  Failures of long-running tasks do not count. */
static void
record_failure (cell_t *c, cjob_t *j, cstep_t *s, uint32_t index, uint32_t run)
{
  ctask_t *t = &s->tasks[index];
  uint32_t max_attempts
      = j->queue >= 0 ? c->conf.queues[j->queue].max_attempts : 0;

  if (s->def->long_running || ctask_failure_known (t, run))
    return;
  if (t->nfailed_runs == GL_FAILURES_MAX)
    forget_first_failure (t);
  t->failed_runs[t->nfailed_runs++] = run;
  t->failures++;
  t->has_record = 1;
  if (max_attempts && t->failures >= max_attempts)
    cjob_finish (c, j, GL_PHASE_FAILED);
}

uint64_t
ctask_late_failure (cell_t *c, cstep_t *s, uint32_t index, uint32_t run)
{
  cjob_t *j = cstep_job (c, s);

  if (ctask_failure_known (&s->tasks[index], run))
    return j->version;
  j->version++;
  record_failure (c, j, s, index, run);
  records_changed (c, s, index);
  save_job (c, j, j->next_phase >= GL_PHASE_COMPLETED);
  return j->version;
}

/* One member of the gang has ended without success, so the other runs are of
   no use: stop them, so that the whole gang can be started again. */
static void
gang_stop (cell_t *c, cstep_t *s)
{
  for (uint32_t i = 0; i < s->def->count; i++)
    if (s->tasks[i].worker >= 0 && s->tasks[i].state != CT_DONE)
      cworker_stop (c, s, i);
}

void
cjobs_stop_partial_gangs (cell_t *c)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&c->steps, &pos)))
    {
      cstep_t *s = pool_get (&c->steps, h);
      uint32_t bound = 0;

      for (uint32_t i = 0; s->def->gang && i < s->def->count; i++)
        bound += s->tasks[i].worker >= 0 && s->tasks[i].state != CT_DONE;
      if (bound && s->nwaiting)
        {
          cell_log (c, "gang_partial id=%s step=%u bound=%u waiting=%u",
                    cstep_job (c, s)->id, s->index, bound, s->nwaiting);
          gang_stop (c, s);
        }
    }
}

uint64_t
ctask_ended (cell_t *c, cstep_t *s, uint32_t index, int worker, uint32_t run,
             cell_outcome_t outcome, const char *checkpoint)
{
  ctask_t *t = &s->tasks[index];
  cjob_t *j = cstep_job (c, s);
  /* Numbers alone do not tell runs apart: two owners that knew of no run have
     both given number 101. */
  int elsewhere = t->worker >= 0 && (t->worker != worker || t->run != run);

  if (t->state == CT_DONE)
    {
      if (t->worker >= 0)
        ctask_unbind (c, s, index);
      /* If it is ever listed again, it is an unknown run. */
      if (t->surplus)
        t->run = 0;
      return j->version;
    }
  if (checkpoint && checkpoint[0] && strcmp (checkpoint, t->checkpoint))
    {
      cell_strcpy (t->checkpoint, checkpoint);
      t->has_record = 1;
    }
  /* An inherited task stays inherited: another worker may have a later run. */
  t->has_record = 1;
  j->version++;
  records_changed (c, s, index);
  if (outcome == CELL_RUN_DONE && !s->def->long_running)
    {
      c->counters.ends_done++;
      if (s->def->gang)
        gang_done (c, s, index, run, elsewhere);
      else if (elsewhere)
        task_done_elsewhere (c, s, index);
      else
        task_set_done (c, s, index);
      if (j->next_phase < GL_PHASE_COMPLETED && job_done (c, j))
        cjob_finish (c, j, GL_PHASE_COMPLETED);
      else if (s->ndone == s->def->count)
        cjob_ready_steps (c, j);
      poll_task_ended (c, s);
      crash_recount (c, j);
      save_job (c, j, j->next_phase >= GL_PHASE_COMPLETED);
      return j->version;
    }
  ctask_requeue (c, s, index);
  if (outcome == CELL_RUN_FAILED)
    {
      c->counters.ends_failed++;
      record_failure (c, j, s, index, run);
    }
  else
    c->counters.ends_stopped++;
  if (s->def->gang)
    gang_stop (c, s);
  save_job (c, j, j->next_phase >= GL_PHASE_COMPLETED);
  return j->version;
}

/* ---- task records ---- */

void
cjob_restore (cell_t *c, cjob_t *j, const gl_progress_t *p, size_t chunk)
{
  for (u_int i = 0; i < p->tasks.tasks_len; i++)
    {
      const gl_task_record_t *r = &p->tasks.tasks_val[i];
      cstep_t *s;
      ctask_t *t;

      while (j->iterations_made <= r->iteration
             && j->iterations_made < iteration_count (j))
        iteration_new (c, j);
      s = r->step < j->spec.steps.steps_len
              ? step_at (c, j, r->iteration, r->step)
              : NULL;
      if (!s || r->index >= s->def->count)
        {
          cell_log (c, "task_record_unknown id=%s", j->id);
          continue;
        }
      records_found (j, s, r->index, chunk);
      t = &s->tasks[r->index];
      t->has_record = 1;
      t->run = r->run;
      t->failures = t->nfailed_runs = r->failed_runs.failed_runs_len;
      t->unnamed_run = 0;
      if (t->nfailed_runs)
        memcpy (t->failed_runs, r->failed_runs.failed_runs_val,
                t->nfailed_runs * sizeof *t->failed_runs);
      cell_strcpy (t->checkpoint, r->checkpoint);
      /* A record alone tells nothing: the run may never have begun. */
      if (r->done || t->nfailed_runs || t->checkpoint[0])
        cjob_set_begun (j);
      if (r->done)
        task_set_done (c, s, r->index);
    }
}

void
cjobs_complete_gangs (cell_t *c)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&c->steps, &pos)))
    {
      cstep_t *s = pool_get (&c->steps, h);
      cjob_t *j = cstep_job (c, s);

      if (!s->def->gang || !s->ndone || s->ndone == s->def->count)
        continue;
      cell_log (c, "gang_completed id=%s step=%u done=%u", j->id, s->index,
                s->ndone);
      j->version++;
      for (uint32_t i = 0; i < s->def->count; i++)
        task_set_done (c, s, i);
      if (job_done (c, j))
        cjob_finish (c, j, GL_PHASE_COMPLETED);
      save_job (c, j, 1);
    }
}

static int
is_waiting (const cjob_t *j)
{
  return j->durable && !j->begun && j->next_phase < GL_PHASE_COMPLETED;
}

int
cjobs_waiting (const cell_t *c, cqueue_count_t v[CELL_QUEUES_MAX])
{
  uint32_t *counts = calloc ((size_t)c->conf.nqueues + 1, sizeof *counts);
  size_t pos = 0;
  handle_t h;
  int n = 0;

  if (!counts)
    return 0;
  while ((h = pool_next (&c->jobs, &pos)))
    {
      const cjob_t *j = pool_get (&c->jobs, h);

      if (is_waiting (j) && j->queue >= 0)
        counts[j->queue]++;
    }
  for (int i = 0; i < c->conf.nqueues && n < CELL_QUEUES_MAX; i++)
    if (counts[i])
      {
        cell_strcpy (v[n].queue, c->conf.queues[i].name);
        v[n++].waiting = counts[i];
      }
  free (counts);
  return n;
}

/* ---- timer ---- */

/* A transaction to remove keys of jobs, NULL without memory. */
static cell_txn_t *
new_removal (cell_t *c)
{
  cell_txn_t *txn = calloc (1, sizeof *txn);
  cell_effect_t *e = txn ? cell_add_effect (c, CELL_FX_TXN) : NULL;

  if (!e)
    {
      free (txn);
      return NULL;
    }
  e->txn = txn;
  e->tag = cell_new_tag (c);
  e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
  own_add_fence (c, txn);
  return txn;
}

/* Remove the job's result from the store and the job from memory.  Returns the
   transaction that does it, which is @txn while that has room. */
static cell_txn_t *
job_forget (cell_t *c, cjob_t *j, cell_txn_t *txn)
{
  if (!txn || txn->nchecks + txn->nputs == CELL_TXN_KEYS_MAX)
    txn = new_removal (c);
  if (txn)
    snprintf (txn->puts[txn->nputs++].key, CELL_KEY_SIZE, "gl/d/%s", j->id);
  cjob_free (c, j);
  return txn;
}

void
cjobs_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;
  cell_txn_t *removal = NULL;
  size_t pos = 0;
  handle_t h;

  timer_arm (&c->timers, c->job_timer, now + TICK_MS);
  if (c->role != CR_OWNER)
    return;
  records_remove (c);
  while ((h = pool_next (&c->jobs, &pos)))
    {
      cjob_t *j = pool_get (&c->jobs, h);

      if (j->phase >= GL_PHASE_COMPLETED && !j->nbound && j->steps.n)
        free_steps (c, j);
      if (j->phase >= GL_PHASE_COMPLETED && !j->nbound && !j->saving
          && now - j->ended_at > c->limits.retention_ms)
        removal = job_forget (c, j, removal);
      else if (j->durable && j->spec.repeat_count
               && j->iterations_made < j->spec.repeat_count)
        cjob_ready_steps (c, j);
    }
}
