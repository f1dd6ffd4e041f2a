/*
 * policy.c -- which job is placed next, and on which workers
 *
 * A pass serves urgent jobs first, then jobs of the other classes that have
 * waited longer than the ageing time, then services, gangs and batch jobs.
 * Within a class the team with the smallest dominant share goes next
 * (dominant resource fairness, Ghodsi et al., NSDI 2011), one task at a
 * time; a gang is placed whole or not at all.  If a team's first job does
 * not fit, a few of its next jobs are tried, so that one large job does not
 * keep the team from using its share.
 *
 * A stream of small jobs could delay a gang or an aged job without end.  So
 * one such job at a time may hold a reservation: the workers on which it is
 * expected to start soonest are reserved, and until then other jobs use them
 * only for tasks that are declared to end before that shadow time (EASY
 * backfill).
 *
 * An urgent job that finds no room preempts the batch tasks that lose the
 * least work, and their worker is reserved for it until they have stopped.
 * Only urgent jobs preempt and they are never preempted, so two jobs cannot
 * preempt each other again and again.
 *
 * Searches that are known to fail are not repeated; see fit.c.
 */
#include "schedint.h"

#include <stdlib.h>
#include <string.h>

/* Reservation levels of workers and searches: a search at one level uses
   workers that are reserved at that level or below. */
/* Any task; a worker of this level is not reserved. */
#define LEVEL_ANY 0
/* The job with the reservation, or a task that ends by its shadow time. */
#define LEVEL_RESERVED 1
/* Urgent jobs. */
#define LEVEL_URGENT 2

/* A reservation is computed again after this time, milliseconds. */
#define RESERVATION_REFRESH_MS 60000
/* Time before the same job may preempt again, milliseconds. */
#define PREEMPT_PAUSE_MS 5000
/* Preemptions per task of a job, on average, after which the job is not
   preempted any more. */
#define PREEMPTIONS_PER_TASK_MAX 3
/* Attempts that one preemption may stop. */
#define VICTIMS_MAX 16
/* Run time assumed for gangs and batch jobs that declare none, seconds. */
#define RUNTIME_UNKNOWN_S 86400
/* Period of the ageing timer, milliseconds. */
#define AGE_PERIOD_MS 1000
/* Most expected ends of tasks, and most capacity gains, that a reservation
   considers on one worker. */
#define TASK_ENDS_MAX 128
#define GAINS_PER_WORKER 8

static const char REASON_NO_ROOM[] = "no worker has room for it now";
static const char REASON_QUOTA[] = "its team's quota share is in use";
static const char REASON_BACKOFF[] = "paused after failed attempts";
static const char REASON_RESERVED[] = "workers are being kept free for it";
static const char REASON_GANG_NO_ROOM[]
    = "not enough room for all its tasks at once";
static const char REASON_STOPPING[] = "waits for its own tasks to stop";
static const char REASON_NEVER_FITS[] = "no present worker could ever hold it";
static const char REASON_PREEMPTING[] = "waits for evicted tasks to stop";

void
policy_schedule_pass (gl_sched_t *s)
{
  timer_arm_before (&s->timers, s->t_pass, s->now);
}

void
policy_drop_reservation (gl_sched_t *s)
{
  for (int i = 0; i < s->place.n; i++)
    s->place.w[i].reserved = LEVEL_ANY;
  s->reservation.job = 0;
  fit_reset (s);
}

/* ---- feasibility ---- */

/* Whether every listed worker has reported its capacity; before that, no
   job can be called infeasible. */
static int
capacities_known (const gl_sched_t *s)
{
  int known = 0;

  for (int i = 0; i < s->nworkers; i++)
    {
      if (s->workers[i].listed && !s->place.w[i].total.cpus_m)
        return 0;
      known += s->workers[i].listed;
    }
  return known > 0;
}

/* How many tasks of @need the listed workers could hold together if they
   were empty; counting stops at @limit. */
static int64_t
tasks_if_empty (const gl_sched_t *s, const gl_res_t *need, int64_t limit)
{
  int64_t n = 0;

  for (int i = 0; i < s->place.n && n < limit; i++)
    if (s->workers[i].listed)
      n += place_count_fitting (need, &s->place.w[i].total);
  return n;
}

const char *
policy_infeasible_reason (gl_sched_t *s, const gl_jobspec_t *spec)
{
  int64_t n = spec->cls == GL_CLASS_GANG ? spec->tasks : 1;
  int team = team_index (s, spec->team);
  const gl_res_t *q;
  int64_t most;

  if (team < 0 || !s->teams[team].configured)
    return "unknown team";
  q = &s->teams[team].quota;
  if (n * spec->need.cpus_m > q->cpus_m / s->conf.domains
      || n * spec->need.memory_mb > q->memory_mb / s->conf.domains
      || n * spec->need.accels > q->accels / s->conf.domains)
    return "more than the team's quota share of this domain";
  if (!capacities_known (s))
    return NULL;
  most = tasks_if_empty (s, &spec->need, n);
  if (!most)
    return "no worker is large enough for one task";
  if (most < n)
    return "the workers together are too small for all its tasks";
  return NULL;
}

/* ---- one job ---- */

/* Reservation level up to which the job may use reserved workers. */
static int
search_level (const gl_sched_t *s, handle_t h, const job_t *j)
{
  if (j->cls == GL_CLASS_URGENT)
    return LEVEL_URGENT;
  if (!s->reservation.job)
    return LEVEL_ANY;
  if (s->reservation.job == h)
    return LEVEL_RESERVED;
  if (s->conf.backfill && j->runtime_s
      && s->now + (gl_ms_t)j->runtime_s * 1000 <= s->reservation.shadow_time)
    return LEVEL_RESERVED;
  return LEVEL_ANY;
}

/** struct task_count_ctx_t - context of count_job_tasks */
typedef struct
{
  gl_sched_t *s;
  handle_t job;
} task_count_ctx_t;

/* Tasks of the job that are bound to @worker. */
static int
count_job_tasks (void *ctx, int worker)
{
  const task_count_ctx_t *c = ctx;
  const worker_t *w = &c->s->workers[worker];
  int n = 0;

  for (int k = 0; k < w->ntasks; k++)
    n += w->tasks[k].job == c->job;
  return n;
}

/* A worker for one more task of the job, or -1. */
static int
find_worker (gl_sched_t *s, handle_t h, const job_t *j)
{
  place_query_t query
      = { .need = j->need, .level = search_level (s, h, j), .avoid = -1 };
  task_count_ctx_t count_ctx = { s, h };
  int w;

  if (s->opts.policy == GL_POLICY_FIRST_FIT)
    return place_first_fit (&s->place, &query);
  if (s->opts.policy == GL_POLICY_RANDOM_FIT)
    return place_random_fit (&s->place, &query,
                             (int)jitter (s, (gl_ms_t)s->place.n));
  if (fit_known_failed (s, j, query.level))
    return -1;
  if (j->cls == GL_CLASS_SERVICE)
    {
      query.rack_count = j->rack_count;
      query.nracks = RACKS_MAX;
      query.tasks_on_worker = count_job_tasks;
      query.ctx = &count_ctx;
    }
  w = place_find (&s->place, &query);
  if (w < 0)
    fit_mark_failed (s, j, query.level);
  return w;
}

/* Record the assignment; the start is sent once that is committed. */
static void
record_assignment (gl_sched_t *s, task_handle_t ref)
{
  job_t *j = pool_get (&s->jobs, ref.job);
  task_t *t = &j->tasks[ref.index];
  gl_rec_t rec = { .kind = GL_REC_ASSIGN };
  deferred_t start
      = { .kind = DEFER_START, .task = ref, .attempt = t->attempt };

  rec.gl_rec_t_u.assign.task.job = j->id;
  rec.gl_rec_t_u.assign.task.index = ref.index;
  rec.gl_rec_t_u.assign.task.attempt = t->attempt;
  rec.gl_rec_t_u.assign.worker = strdup (s->workers[t->worker].name);
  rec.gl_rec_t_u.assign.boot = t->boot;
  journal_append (s, &rec);
  journal_defer (s, &start);
  s->counters.placed++;
  if (FAULT (FAULT_START_BEFORE_COMMIT))
    worker_wake (s, t->worker);
}

static uint32_t
next_waiting_task (job_t *j)
{
  while (j->first_waiting < j->ntasks
         && j->tasks[j->first_waiting].state != TASK_WAITING)
    j->first_waiting++;
  return j->first_waiting;
}

/* After a placement: give up the worker that the job preempted on, and the
   reservation too once no task waits. */
static void
release_reserved_workers (gl_sched_t *s, handle_t h, job_t *j)
{
  if (j->preempt_worker >= 0)
    {
      s->place.w[j->preempt_worker].reserved = LEVEL_ANY;
      fit_capacity_gained (s, j->preempt_worker, NULL);
      j->preempt_worker = -1;
    }
  if (s->reservation.job == h && !j->waiting)
    policy_drop_reservation (s);
}

/* Place one waiting task; returns 1 if it was placed. */
static int
place_task (gl_sched_t *s, handle_t h, job_t *j)
{
  task_handle_t ref = { h, next_waiting_task (j) };
  int w = find_worker (s, h, j);

  if (w < 0 || task_bind (s, ref, w, 0))
    return 0;
  record_assignment (s, ref);
  release_reserved_workers (s, h, j);
  return 1;
}

/* Choose a worker for each waiting task, as far as there is room, and
   return their number.  Each choice takes its resources, so that the next
   one sees what is left; all are given back before the tasks are bound. */
static uint32_t
choose_workers (gl_sched_t *s, handle_t h, job_t *j, int *workers)
{
  uint32_t n = 0;

  /* A search that fails beside these tentative tasks must not be remembered
     as a failure of the shape. */
  s->tentative = 1;
  for (; n < j->waiting; n++)
    {
      workers[n] = find_worker (s, h, j);
      if (workers[n] < 0 || place_allocate (&s->place, workers[n], &j->need))
        break;
    }
  for (uint32_t i = 0; i < n; i++)
    place_release (&s->place, workers[i], &j->need);
  s->tentative = 0;
  return n;
}

/* Place all waiting tasks of the gang or none; returns 1 if placed. */
static int
place_gang (gl_sched_t *s, handle_t h, job_t *j)
{
  int *workers = calloc (j->waiting, sizeof *workers);
  uint32_t want = j->waiting;
  uint32_t n;

  if (!workers || fit_gang_known_failed (s, j, search_level (s, h, j)))
    {
      free (workers);
      return 0;
    }
  n = choose_workers (s, h, j, workers);
  if (n == want || (FAULT (FAULT_GANG_PARTIAL) && n))
    for (uint32_t i = 0; i < n; i++)
      {
        task_handle_t ref = { h, next_waiting_task (j) };
        if (!task_bind (s, ref, workers[i], 0))
          record_assignment (s, ref);
      }
  free (workers);
  if (n == want)
    release_reserved_workers (s, h, j);
  else
    fit_gang_mark_failed (s, j, search_level (s, h, j));
  return n == want;
}

/* ---- reservation ---- */

/**
 * struct capacity_gain_t - a worker can hold more tasks from some time on
 * @tasks: how many more than before
 * @at: when
 */
typedef struct
{
  int worker;
  int tasks;
  gl_ms_t at;
} capacity_gain_t;

/* Earliest first, then the largest. */
static int
gain_cmp (const void *a, const void *b)
{
  const capacity_gain_t *x = a;
  const capacity_gain_t *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return y->tasks - x->tasks;
}

/** struct task_end_t - when a task is expected to end, and what it frees */
typedef struct
{
  gl_ms_t at;
  gl_res_t need;
} task_end_t;

static int
task_end_cmp (const void *a, const void *b)
{
  const task_end_t *x = a;
  const task_end_t *y = b;

  return x->at < y->at ? -1 : x->at > y->at;
}

/* When a task is expected to end.  One that runs past its declared time is
   expected to run on for half as long as it has already run. */
static gl_ms_t
expected_end (const gl_sched_t *s, const job_t *j, const task_t *t)
{
  gl_ms_t run = j->runtime_s ? j->runtime_s : RUNTIME_UNKNOWN_S;
  gl_ms_t end = t->since + run * 1000;

  return end > s->now ? end : s->now + (s->now - t->since) / 2 + 1000;
}

/* The worker's tasks in the order of their expected ends, without service
   tasks, which do not end by themselves; at most TASK_ENDS_MAX. */
static int
list_task_ends (gl_sched_t *s, int i, task_end_t *out)
{
  worker_t *w = &s->workers[i];
  int n = 0;

  for (int k = 0; k < w->ntasks && n < TASK_ENDS_MAX; k++)
    {
      job_t *j = pool_get (&s->jobs, w->tasks[k].job);

      if (j->cls == GL_CLASS_SERVICE)
        continue;
      out[n].at = expected_end (s, j, &j->tasks[w->tasks[k].index]);
      out[n++].need = j->need;
    }
  qsort (out, (size_t)n, sizeof *out, task_end_cmp);
  return n;
}

/* The times at which the worker can hold more tasks of @j than before, at
   most GAINS_PER_WORKER. */
static int
list_gains (gl_sched_t *s, int i, const job_t *j, capacity_gain_t *out)
{
  task_end_t e[TASK_ENDS_MAX];
  gl_res_t room = place_free_resources (&s->place, i);
  int fitting = place_count_fitting (&j->need, &room);
  int n = 0;
  int m = list_task_ends (s, i, e);

  if (fitting)
    out[n++] = (capacity_gain_t){ i, fitting, s->now };
  for (int k = 0; k < m && n < GAINS_PER_WORKER; k++)
    {
      int more;

      room.cpus_m += e[k].need.cpus_m;
      room.memory_mb += e[k].need.memory_mb;
      room.accels += e[k].need.accels;
      more = place_count_fitting (&j->need, &room) - fitting;
      if (more <= 0)
        continue;
      out[n++] = (capacity_gain_t){ i, more, e[k].at };
      fitting += more;
    }
  return n;
}

/* Reserve the workers of the first gains that add up to @tasks; the shadow
   time is that of the last of them. */
static void
reserve_workers (gl_sched_t *s, const capacity_gain_t *gains, int n,
                 uint32_t tasks)
{
  uint32_t have = 0;

  for (int i = 0; i < n && have < tasks; i++)
    {
      have += (uint32_t)gains[i].tasks;
      s->place.w[gains[i].worker].reserved = LEVEL_RESERVED;
      s->reservation.shadow_time = gains[i].at;
    }
}

/* Make or refresh the reservation for this job, unless another job has
   it. */
static void
try_reservation (gl_sched_t *s, handle_t h, job_t *j)
{
  capacity_gain_t *gains;
  uint32_t sum = 0;
  int n = 0;

  if (s->reservation.job == h
      && s->now < s->reservation.made_at + RESERVATION_REFRESH_MS)
    {
      j->reason = REASON_RESERVED;
      return;
    }
  if (s->reservation.job && s->reservation.job != h)
    return;
  policy_drop_reservation (s);
  gains = calloc ((size_t)s->nworkers * GAINS_PER_WORKER + 1, sizeof *gains);
  if (!gains)
    return;
  for (int i = 0; i < s->nworkers; i++)
    if (s->place.w[i].usable)
      {
        int more = list_gains (s, i, j, gains + n);
        for (int k = 0; k < more; k++)
          sum += (uint32_t)gains[n + k].tasks;
        n += more;
      }
  if (sum >= j->waiting)
    {
      qsort (gains, (size_t)n, sizeof *gains, gain_cmp);
      s->reservation.job = h;
      s->reservation.made_at = s->now;
      reserve_workers (s, gains, n, j->waiting);
      s->counters.reservations++;
      j->reason = REASON_RESERVED;
    }
  else
    j->reason = REASON_NEVER_FITS;
  free (gains);
}

/* ---- preemption for urgent jobs ---- */

/**
 * struct preempt_plan_t - attempts to stop on one worker
 * @lost_work: run time that is lost, in milliseconds times thousandths of a
 *   CPU
 */
typedef struct
{
  task_handle_t victims[VICTIMS_MAX];
  int n;
  int worker;
  uint64_t lost_work;
} preempt_plan_t;

static int
preemptible (const job_t *j, const task_t *t)
{
  return j->cls == GL_CLASS_BATCH && j->max_attempts > 1
         && j->preemptions < PREEMPTIONS_PER_TASK_MAX * j->ntasks
         && t->attempt < j->max_attempts
         && (t->state == TASK_RUNNING || t->state == TASK_STARTING);
}

/* Plan to stop the most recently started tasks of worker @i until @need
   fits; returns -1 if that is not possible. */
static int
plan_preemption (gl_sched_t *s, int i, const gl_res_t *need, preempt_plan_t *p)
{
  worker_t *w = &s->workers[i];
  gl_res_t room = place_free_resources (&s->place, i);

  p->n = 0;
  p->lost_work = 0;
  p->worker = i;
  while (!place_fits (need, &room))
    {
      int best = -1;
      task_t *best_task = NULL;

      for (int k = 0; k < w->ntasks; k++)
        {
          job_t *j = pool_get (&s->jobs, w->tasks[k].job);
          task_t *t = &j->tasks[w->tasks[k].index];
          int taken = 0;

          for (int v = 0; v < p->n; v++)
            taken |= p->victims[v].job == w->tasks[k].job
                     && p->victims[v].index == w->tasks[k].index;
          if (!taken && preemptible (j, t)
              && (!best_task || t->since > best_task->since))
            {
              best = k;
              best_task = t;
            }
        }
      if (best < 0 || p->n == VICTIMS_MAX)
        return -1;
      job_t *j = pool_get (&s->jobs, w->tasks[best].job);
      room.cpus_m += j->need.cpus_m;
      room.memory_mb += j->need.memory_mb;
      room.accels += j->need.accels;
      p->lost_work
          += (s->now - best_task->since + 1) * (uint64_t)j->need.cpus_m;
      p->victims[p->n++] = w->tasks[best];
    }
  return 0;
}

/* Preempt for the urgent job on the worker where the least work is lost. */
static void
try_preempt (gl_sched_t *s, job_t *j)
{
  preempt_plan_t best = { .worker = -1 };
  preempt_plan_t p;

  if (!s->conf.preempt || s->now < j->preempt_after)
    return;
  for (int i = 0; i < s->nworkers; i++)
    if (s->place.w[i].usable && s->place.w[i].reserved < LEVEL_URGENT
        && place_fits (&j->need, &s->place.w[i].total)
        && !plan_preemption (s, i, &j->need, &p) && p.n
        && (best.worker < 0 || p.lost_work < best.lost_work))
      best = p;
  j->preempt_after = s->now + PREEMPT_PAUSE_MS;
  if (best.worker < 0)
    return;
  for (int v = 0; v < best.n; v++)
    {
      job_t *victim = pool_get (&s->jobs, best.victims[v].job);
      victim->preemptions++;
      s->counters.preempted++;
      task_stop (s, best.victims[v]);
    }
  s->place.w[best.worker].reserved = LEVEL_URGENT;
  j->preempt_worker = best.worker;
  j->reason = REASON_PREEMPTING;
}

/* ---- the pass ---- */

/* Place one task of the job, or the whole gang; returns 1 if placed.  If
   not, sets the reason, and may preempt or make a reservation. */
static int
try_job (gl_sched_t *s, handle_t h, job_t *j)
{
  team_t *t = &s->teams[j->team];
  gl_res_t need = j->need;
  int gang = j->cls == GL_CLASS_GANG;

  if (s->now < j->not_before)
    {
      j->reason = REASON_BACKOFF;
      timer_arm_before (&s->timers, s->t_pass, j->not_before);
      return 0;
    }
  if (gang && j->live)
    {
      j->reason = REASON_STOPPING;
      return 0;
    }
  if (gang)
    {
      if ((int64_t)need.cpus_m * j->waiting > INT32_MAX
          || (int64_t)need.memory_mb * j->waiting > INT32_MAX)
        return 0;
      need.cpus_m *= (int)j->waiting;
      need.memory_mb *= (int)j->waiting;
      need.accels *= (int)j->waiting;
    }
  if (!team_within_quota (s, t, &need))
    {
      j->reason = REASON_QUOTA;
      return 0;
    }
  if (gang ? place_gang (s, h, j) : place_task (s, h, j))
    return 1;
  j->reason = gang ? REASON_GANG_NO_ROOM : REASON_NO_ROOM;
  if (j->cls == GL_CLASS_URGENT)
    try_preempt (s, j);
  else if ((gang || j->aged) && s->opts.policy != GL_POLICY_NO_RESERVATION)
    try_reservation (s, h, j);
  return 0;
}

/* Place one task, or one gang, of the first of the team's jobs that fits;
   returns 1 if placed.  @aged: consider aged jobs only. */
static int
place_for_team (gl_sched_t *s, team_t *t, int cls, int aged)
{
  handle_t h = t->head[cls];
  int tried = 0;
  /* A queue is not marked as blocked if time alone may unblock it: an urgent
     job may preempt again, and a backoff pause ends by itself. */
  int blocked = cls != GL_CLASS_URGENT && !aged;

  while (h && tried < PASS_JOBS_PER_TEAM)
    {
      job_t *j = pool_get (&s->jobs, h);
      handle_t next = j->next;

      if (!aged || j->aged)
        {
          if (try_job (s, h, j))
            return 1;
          if (s->now < j->not_before)
            blocked = 0;
          tried++;
        }
      h = next;
    }
  if (blocked)
    t->blocked_version[cls] = s->fit_version;
  return 0;
}

/* ---- heap of teams, smallest dominant share on top ---- */

static void
sift_down (gl_sched_t *s, int i)
{
  team_rank_t *h = s->ranked;

  for (;;)
    {
      int c = 2 * i + 1;
      team_rank_t t;

      if (c >= s->nranked)
        return;
      if (c + 1 < s->nranked && h[c + 1].share < h[c].share)
        c++;
      if (h[i].share <= h[c].share)
        return;
      t = h[i];
      h[i] = h[c];
      h[c] = t;
      i = c;
    }
}

static int
may_place (const gl_sched_t *s, const team_t *t, int cls)
{
  return t->head[cls] && t->blocked_version[cls] != s->fit_version;
}

static void
build_team_heap (gl_sched_t *s, int cls)
{
  s->nranked = 0;
  for (int i = 0; i < s->nteams; i++)
    if (may_place (s, &s->teams[i], cls))
      s->ranked[s->nranked++]
          = (team_rank_t){ team_dominant_share (s, &s->teams[i]), i };
  for (int i = s->nranked / 2; i-- > 0;)
    sift_down (s, i);
}

static void
remove_top (gl_sched_t *s)
{
  s->ranked[0] = s->ranked[--s->nranked];
  sift_down (s, 0);
}

/* Serve the teams of one class.  Returns 1 if the pass must end: it has
   reached its limit, or too many records are pending. */
static int
place_class (gl_sched_t *s, int cls, int aged, int *placed)
{
  build_team_heap (s, cls);
  while (s->nranked)
    {
      team_t *t = &s->teams[s->ranked[0].team];

      if (*placed >= PASS_PLACEMENTS_MAX || journal_full (s))
        return 1;
      if (place_for_team (s, t, cls, aged))
        {
          (*placed)++;
          s->ranked[0].share = team_dominant_share (s, t);
          sift_down (s, 0);
        }
      else
        remove_top (s);
    }
  return 0;
}

static int
place_all (gl_sched_t *s, int *placed)
{
  if (place_class (s, GL_CLASS_URGENT, 0, placed))
    return 1;
  for (int cls = GL_CLASS_SERVICE; cls < JOB_CLASSES; cls++)
    if (s->naged && place_class (s, cls, 1, placed))
      return 1;
  for (int cls = GL_CLASS_SERVICE; cls < JOB_CLASSES; cls++)
    if (place_class (s, cls, 0, placed))
      return 1;
  return 0;
}

static void
drop_stale_reservation (gl_sched_t *s)
{
  job_t *j = pool_get (&s->jobs, s->reservation.job);

  if (s->reservation.job && (!j || !j->queued))
    policy_drop_reservation (s);
}

void
policy_pass (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;
  int placed = 0;

  if (s->role != ROLE_ACTIVE || s->stopping || !lease_held (s) || !s->ranked)
    return;
  s->counters.passes++;
  drop_stale_reservation (s);
  if (place_all (s, &placed))
    timer_arm_before (&s->timers, s->t_pass, journal_full (s) ? now + 1 : now);
}

/* Queues are in order of acceptance, so a scan ends at the first job that
   has not aged. */
void
policy_age (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;
  gl_ms_t age = (gl_ms_t)s->conf.ageing_s * 1000;

  if (s->role != ROLE_ACTIVE)
    return;
  s->naged = 0;
  for (int i = 0; i < s->nteams; i++)
    for (int cls = GL_CLASS_SERVICE; cls < JOB_CLASSES; cls++)
      for (handle_t h = s->teams[i].head[cls]; h;)
        {
          job_t *j = pool_get (&s->jobs, h);

          if (j->submitted + age > now)
            break;
          j->aged = 1;
          s->naged++;
          h = j->next;
        }
  timer_arm (&s->timers, s->t_age, now + AGE_PERIOD_MS);
  /* Try blocked queues once more every period, so that a reservation that has
     not been used is made again. */
  s->fit_version++;
  policy_schedule_pass (s);
}
