/*
 * jobs.c -- jobs, their tasks, and the teams' queues
 *
 * A task is either waiting, bound to one worker, or ended.  Only task_bind
 * binds it to a worker and only task_end unbinds it.  So a task is on one
 * worker at a time, and the resources counted as used by workers and teams
 * are the sums over the bound tasks.  task_end decides from the job, the
 * attempt and the outcome alone, because a new owner that replays the log
 * must come to the same decision.
 *
 * There is one queue per team and class.  It holds the jobs that have a
 * waiting task, in the order of their acceptance.
 */
#include "schedint.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Backoff of a job after consecutive failures, milliseconds. */
#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 300000

static job_t *
job_at (gl_sched_t *s, handle_t h)
{
  return pool_get (&s->jobs, h);
}

/* ---- lookup ---- */

handle_t
job_find (gl_sched_t *s, uint64_t id)
{
  ck_ht_hash_t h;
  ck_ht_entry_t e;

  ck_ht_hash_direct (&h, &s->job_by_id, (uintptr_t)id);
  ck_ht_entry_key_set_direct (&e, (uintptr_t)id);
  if (!ck_ht_get_spmc (&s->job_by_id, h, &e))
    return 0;
  return (handle_t)ck_ht_entry_value_direct (&e);
}

static int
id_put (gl_sched_t *s, uint64_t id, handle_t handle)
{
  ck_ht_hash_t h;
  ck_ht_entry_t e;

  ck_ht_hash_direct (&h, &s->job_by_id, (uintptr_t)id);
  ck_ht_entry_set_direct (&e, h, (uintptr_t)id, (uintptr_t)handle);
  return ck_ht_put_spmc (&s->job_by_id, h, &e) ? 0 : -1;
}

static void
id_remove (gl_sched_t *s, uint64_t id)
{
  ck_ht_hash_t h;
  ck_ht_entry_t e;

  ck_ht_hash_direct (&h, &s->job_by_id, (uintptr_t)id);
  ck_ht_entry_key_set_direct (&e, (uintptr_t)id);
  ck_ht_remove_spmc (&s->job_by_id, h, &e);
}

task_t *
task_get (gl_sched_t *s, task_handle_t ref)
{
  job_t *j = job_at (s, ref.job);

  return j && ref.index < j->ntasks ? &j->tasks[ref.index] : NULL;
}

task_t *
task_find_attempt (gl_sched_t *s, const gl_taskref_t *r, int worker,
                   task_handle_t *out)
{
  task_t *t;

  out->job = job_find (s, r->job);
  out->index = r->index;
  t = task_get (s, *out);
  if (!t || t->worker != worker || t->attempt != r->attempt)
    return NULL;
  return t;
}

/* ---- teams ---- */

int
team_index (gl_sched_t *s, const char *name)
{
  team_rank_t *ranked;
  team_t *t;

  for (int i = 0; i < s->nteams; i++)
    if (!strcmp (s->teams[i].name, name))
      return i;
  ranked = realloc (s->ranked, (size_t)(s->nteams + 1) * sizeof *ranked);
  if (!ranked)
    return -1;
  s->ranked = ranked;
  t = realloc (s->teams, (size_t)(s->nteams + 1) * sizeof *t);
  if (!t)
    return -1;
  s->teams = t;
  t = &s->teams[s->nteams];
  memset (t, 0, sizeof *t);
  strncpy (t->name, name, sizeof t->name - 1);
  return s->nteams++;
}

int
team_within_quota (const gl_sched_t *s, const team_t *t, const gl_res_t *need)
{
  int n = s->conf.domains;

  if (FAULT (FAULT_IGNORE_QUOTA))
    return 1;
  return t->used.cpus_m + need->cpus_m <= t->quota.cpus_m / n
         && t->used.memory_mb + need->memory_mb <= t->quota.memory_mb / n
         && t->used.accels + need->accels <= t->quota.accels / n;
}

/* Share of @used in @total, in millionths. */
static uint32_t
millionths (int64_t used, int64_t total)
{
  return total > 0 ? (uint32_t)(used * 1000000 / total) : 0;
}

uint32_t
team_dominant_share (const gl_sched_t *s, const team_t *t)
{
  uint32_t share = millionths (t->used.cpus_m, s->place.sum_cpus);
  uint32_t m = millionths (t->used.memory_mb, s->place.sum_memory);
  uint32_t a = millionths (t->used.accels, s->place.sum_accels);

  if (m > share)
    share = m;
  return a > share ? a : share;
}

/* Add @r to what the team uses, or subtract it if @sign is -1. */
static void
team_add_used (team_t *t, const gl_res_t *r, int sign)
{
  t->used.cpus_m += sign * r->cpus_m;
  t->used.memory_mb += sign * r->memory_mb;
  t->used.accels += sign * r->accels;
}

/* ---- queues ---- */

/* Insert by accept_order, searching from the tail. */
static void
queue_insert (gl_sched_t *s, handle_t h, job_t *j)
{
  team_t *t = &s->teams[j->team];
  handle_t after = t->tail[j->cls];
  handle_t before = 0;

  while (after && job_at (s, after)->accept_order > j->accept_order)
    {
      before = after;
      after = job_at (s, after)->prev;
    }
  j->prev = after;
  j->next = before;
  if (after)
    job_at (s, after)->next = h;
  else
    t->head[j->cls] = h;
  if (before)
    job_at (s, before)->prev = h;
  else
    t->tail[j->cls] = h;
  t->queued[j->cls]++;
  t->blocked_version[j->cls] = 0;
  j->queued = 1;
}

static void
queue_remove (gl_sched_t *s, job_t *j)
{
  team_t *t = &s->teams[j->team];

  if (j->prev)
    job_at (s, j->prev)->next = j->next;
  else
    t->head[j->cls] = j->next;
  if (j->next)
    job_at (s, j->next)->prev = j->prev;
  else
    t->tail[j->cls] = j->prev;
  t->queued[j->cls]--;
  t->blocked_version[j->cls] = 0;
  j->queued = 0;
}

void
job_update_queue (gl_sched_t *s, handle_t h)
{
  job_t *j = job_at (s, h);
  int should_queue = j->waiting > 0;

  if (should_queue && !j->queued)
    queue_insert (s, h, j);
  else if (!should_queue && j->queued)
    queue_remove (s, j);
}

/* ---- jobs ---- */

handle_t
job_new (gl_sched_t *s, uint64_t id, const gl_jobspec_t *spec)
{
  handle_t h = pool_add (&s->jobs);
  job_t *j = job_at (s, h);
  int team = team_index (s, spec->team);

  if (!j || team < 0)
    goto fail;
  j->tasks = calloc (spec->tasks, sizeof *j->tasks);
  j->rack_count = calloc (RACKS_MAX, sizeof *j->rack_count);
  if (!j->tasks || !j->rack_count || id_put (s, id, h))
    goto fail;
  for (uint32_t i = 0; i < spec->tasks; i++)
    j->tasks[i].worker = -1;
  j->id = id;
  strncpy (j->name, spec->name, GL_NAME_LEN);
  j->team = team;
  j->cls = spec->cls;
  j->ntasks = spec->tasks;
  j->need = spec->need;
  j->runtime_s = spec->runtime_s;
  j->max_attempts = spec->max_attempts;
  j->waiting = spec->tasks;
  j->preempt_worker = -1;
  j->shape = fit_shape_index (s, &spec->need);
  j->submitted = s->now;
  j->accept_order = ++s->last_accept_order;
  j->reason = "waits for the next placement pass";
  job_update_queue (s, h);
  return h;

fail:
  if (j)
    {
      free (j->tasks);
      free (j->rack_count);
      pool_del (&s->jobs, h);
    }
  return 0;
}

static void
job_remove (gl_sched_t *s, handle_t h)
{
  job_t *j = job_at (s, h);

  if (!j)
    return;
  if (j->queued)
    queue_remove (s, j);
  id_remove (s, j->id);
  free (j->tasks);
  free (j->rack_count);
  pool_del (&s->jobs, h);
}

void
jobs_clear (gl_sched_t *s)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&s->jobs, &pos)))
    job_remove (s, h);
  s->nfinished = 0;
  for (int i = 0; i < s->nteams; i++)
    memset (&s->teams[i].used, 0, sizeof s->teams[i].used);
}

/* Beyond FINISHED_JOBS_MAX, the job that finished first is dropped. */
void
job_check_finished (gl_sched_t *s, handle_t h)
{
  job_t *j = job_at (s, h);
  uint32_t slot;

  if (j->finished || j->ended < j->ntasks)
    return;
  j->finished = 1;
  j->reason = j->canceled ? "canceled" : j->failed ? "failed" : "finished";
  slot = s->nfinished++ % FINISHED_JOBS_MAX;
  if (s->nfinished > FINISHED_JOBS_MAX)
    job_remove (s, s->finished_jobs[slot]);
  s->finished_jobs[slot] = h;
}

/* End all waiting tasks as stopped. */
static void
end_waiting_tasks (gl_sched_t *s, handle_t h)
{
  job_t *j = job_at (s, h);

  for (uint32_t i = 0; i < j->ntasks; i++)
    if (j->tasks[i].state == TASK_WAITING)
      {
        j->tasks[i].state = TASK_ENDED;
        j->tasks[i].outcome = GL_OUT_STOPPED;
        j->waiting--;
        j->ended++;
      }
  job_update_queue (s, h);
}

void
job_cancel (gl_sched_t *s, handle_t h)
{
  job_t *j = job_at (s, h);

  if (j->canceled || j->finished)
    return;
  j->canceled = 1;
  end_waiting_tasks (s, h);
  for (uint32_t i = 0; i < j->ntasks; i++)
    if (j->tasks[i].state != TASK_ENDED)
      task_stop (s, (task_handle_t){ h, i });
  job_check_finished (s, h);
}

/* ---- tasks ---- */

static int
worker_list_add (worker_t *w, task_handle_t ref)
{
  if (w->ntasks == w->captasks)
    {
      int cap = w->captasks ? 2 * w->captasks : 8;
      task_handle_t *v = realloc (w->tasks, (size_t)cap * sizeof *v);
      if (!v)
        return -1;
      w->tasks = v;
      w->captasks = cap;
    }
  w->tasks[w->ntasks++] = ref;
  return 0;
}

/* Remove entry @pos of the list; the last entry moves there. */
static void
worker_list_remove (gl_sched_t *s, worker_t *w, int pos)
{
  w->tasks[pos] = w->tasks[--w->ntasks];
  if (pos < w->ntasks)
    task_get (s, w->tasks[pos])->pos = pos;
}

int
task_bind (gl_sched_t *s, task_handle_t ref, int worker, int recorded)
{
  job_t *j = job_at (s, ref.job);
  task_t *t = &j->tasks[ref.index];
  worker_t *w = &s->workers[worker];

  assert (t->state == TASK_WAITING);
  if (recorded || FAULT (FAULT_OVERFILL))
    place_allocate_unchecked (&s->place, worker, &j->need);
  else if (place_allocate (&s->place, worker, &j->need))
    return -1;
  if (worker_list_add (w, ref))
    {
      place_release (&s->place, worker, &j->need);
      return -1;
    }
  team_add_used (&s->teams[j->team], &j->need, 1);
  j->rack_count[s->place.w[worker].rack]++;
  j->waiting--;
  j->live++;
  t->state = TASK_ASSIGNED;
  t->confirmed = 0;
  t->inherited = 0;
  t->worker = worker;
  t->pos = w->ntasks - 1;
  t->since = s->now;
  t->boot = w->boot;
  t->attempt++;
  job_update_queue (s, ref.job);
  return 0;
}

/* Free the resources of the attempt and take it off its worker. */
static void
task_unbind (gl_sched_t *s, task_handle_t ref)
{
  job_t *j = job_at (s, ref.job);
  task_t *t = &j->tasks[ref.index];

  place_release (&s->place, t->worker, &j->need);
  if (FAULT (FAULT_FREE_TWICE)
      && s->place.w[t->worker].used.cpus_m >= j->need.cpus_m
      && s->place.w[t->worker].used.memory_mb >= j->need.memory_mb
      && s->place.w[t->worker].used.accels >= j->need.accels)
    place_release (&s->place, t->worker, &j->need);
  team_add_used (&s->teams[j->team], &j->need, -1);
  /* The team's queues may have been blocked by its quota. */
  memset (s->teams[j->team].blocked_version, 0,
          sizeof s->teams[j->team].blocked_version);
  fit_capacity_gained (s, t->worker, &j->need);
  j->rack_count[s->place.w[t->worker].rack]--;
  worker_list_remove (s, &s->workers[t->worker], t->pos);
  t->worker = -1;
  j->live--;
}

static void
count_outcome (gl_sched_t *s, gl_outcome_t outcome)
{
  switch (outcome)
    {
    case GL_OUT_OK:
      s->counters.ended_ok++;
      break;
    case GL_OUT_FAILED:
      s->counters.ended_failed++;
      break;
    case GL_OUT_LOST:
    case GL_OUT_EXPIRED:
      s->counters.ended_lost++;
      break;
    default:
      s->counters.ended_stopped++;
    }
}

/* Whether the task runs again after this outcome. */
static int
must_run_again (const job_t *j, const task_t *t, gl_outcome_t outcome)
{
  if (j->canceled || j->gang_failed)
    return 0;
  if (outcome == GL_OUT_NOT_RUN || j->cls == GL_CLASS_SERVICE)
    return 1;
  return outcome != GL_OUT_OK && t->attempt < j->max_attempts;
}

/* Delay the next placement after an attempt that failed or was refused, and
   also after a service task that ended with success, since services are
   meant to run on. */
static void
job_backoff (gl_sched_t *s, job_t *j, gl_outcome_t outcome)
{
  uint32_t shift;

  if (outcome == GL_OUT_OK && j->cls != GL_CLASS_SERVICE)
    {
      j->consecutive_failures = 0;
      return;
    }
  if (outcome != GL_OUT_FAILED && outcome != GL_OUT_OK
      && outcome != GL_OUT_NOT_RUN)
    return;
  /* Failures during the pause count as one, so that tasks which fail
     together do not lengthen it. */
  if (s->now < j->not_before)
    return;
  shift = j->consecutive_failures < 10 ? j->consecutive_failures : 10;
  j->consecutive_failures++;
  j->not_before = s->now + BACKOFF_MIN_MS + ((gl_ms_t)BACKOFF_MIN_MS << shift);
  if (j->not_before > s->now + BACKOFF_MAX_MS)
    j->not_before = s->now + BACKOFF_MAX_MS;
}

void
task_end (gl_sched_t *s, task_handle_t ref, gl_outcome_t outcome)
{
  job_t *j = job_at (s, ref.job);
  task_t *t = &j->tasks[ref.index];

  assert (t->worker >= 0);
  task_unbind (s, ref);
  count_outcome (s, outcome);
  t->since = s->now;
  t->outcome = (unsigned char)outcome;
  if (must_run_again (j, t, outcome))
    {
      t->state = TASK_WAITING;
      j->waiting++;
      if (ref.index < j->first_waiting)
        j->first_waiting = ref.index;
      job_backoff (s, j, outcome);
    }
  else
    {
      t->state = TASK_ENDED;
      j->ended++;
      if (outcome != GL_OUT_OK)
        j->failed++;
      else
        job_backoff (s, j, outcome);
      if (outcome != GL_OUT_OK && j->cls == GL_CLASS_GANG && !j->gang_failed)
        {
          j->gang_failed = 1;
          end_waiting_tasks (s, ref.job);
        }
    }
  job_update_queue (s, ref.job);
  job_check_finished (s, ref.job);
}

void
task_end_recorded (gl_sched_t *s, task_handle_t ref, gl_outcome_t outcome)
{
  job_t *j = job_at (s, ref.job);
  task_t *t = &j->tasks[ref.index];
  gl_rec_t rec = { .kind = GL_REC_END };

  rec.gl_rec_t_u.end.task.job = j->id;
  rec.gl_rec_t_u.end.task.index = ref.index;
  rec.gl_rec_t_u.end.task.attempt = t->attempt;
  rec.gl_rec_t_u.end.outcome = outcome;
  journal_append (s, &rec);
  if (outcome == GL_OUT_OK || outcome == GL_OUT_FAILED)
    worker_note_outcome (s, t->worker, j->id, outcome == GL_OUT_FAILED);
  task_end (s, ref, outcome);
  j = job_at (s, ref.job);
  /* A gang runs whole or not at all: stop the tasks that still run. */
  if (j && j->cls == GL_CLASS_GANG && j->live
      && (j->waiting || j->gang_failed))
    for (uint32_t i = 0; i < j->ntasks; i++)
      task_stop (s, (task_handle_t){ ref.job, i });
  policy_schedule_pass (s);
}

void
task_stop (gl_sched_t *s, task_handle_t ref)
{
  task_t *t = task_get (s, ref);

  if (!t || t->worker < 0 || t->state == TASK_STOPPING)
    return;
  /* If the assignment is not committed yet, the deferred start finds the
     state changed and is not sent.  The worker gets only the stop, and
     remembers it in case a start arrives late. */
  t->state = TASK_STOPPING;
  worker_wake (s, t->worker);
}
