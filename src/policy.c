/*
 * policy.c -- which job is served next, and with what
 *
 * A pass serves urgent work first, then jobs of any class that have waited
 * longer than the ageing time, then services, gangs and batch runs.  Within
 * a class the team with the smallest dominant share (Ghodsi et al., NSDI
 * 2011) goes next, one task at a time; a gang is placed whole or not at
 * all.  A team looks a few jobs past one that does not fit, so one large
 * job does not idle its team.
 *
 * One reservation at a time keeps small work from holding off a gang or an
 * aged job for ever: the workers that will be free soonest are set aside,
 * and others may use them only for tasks that end before that (EASY
 * backfill).  Urgent work that finds no room stops the batch tasks that
 * lose the least work, and the worker is held for it until they are gone.
 * Only urgent work evicts and urgent work is never evicted, so two jobs
 * cannot evict each other in turn.
 *
 * What is known not to fit is not searched for again; see fit.c.
 */
#include "schedint.h"

#include <stdlib.h>
#include <string.h>

/* Levels of place_want_t: anyone, holder of the reservation or a task that
   ends in time, urgent work. */
#define LEVEL_ANY 0
#define LEVEL_RESERVED 1
#define LEVEL_URGENT 2

/* A reservation is made anew after this time, with fresh estimates. */
#define RESERVE_MS 60000
/* Pause before the same job evicts again, and how long the room is held. */
#define PREEMPT_MS 5000
/* Evictions after which a task is evicted no more. */
#define PREEMPTED_MAX 3
/* Run time assumed for finite work that declares none, seconds. */
#define RUNTIME_UNKNOWN_S 86400
#define AGE_PERIOD_MS 1000
/* Finite tasks of a worker, and offers it makes, that a reservation weighs. */
#define ENDINGS_MAX 128
#define OFFERS_A_WORKER 8

static const char WHY_ROOM[] = "no worker has room for it now";
static const char WHY_QUOTA[] = "its team's quota share is in use";
static const char WHY_BACKOFF[] = "paused after failed attempts";
static const char WHY_RESERVED[] = "workers are being kept free for it";
static const char WHY_GANG[] = "not enough room for all its tasks at once";
static const char WHY_STOPPING[] = "waits for its own tasks to stop";
static const char WHY_NEVER[] = "no present worker could ever hold it";
static const char WHY_PREEMPT[] = "waits for evicted tasks to stop";

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

/* Whether the capacity of every listed worker is known, so that a verdict
   of "never" can be given. */
static int
workers_known (const gl_sched_t *s)
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

/* How many the listed workers could hold together if they were empty; the
   count ends at @limit. */
static int64_t
tasks_at_most (const gl_sched_t *s, const gl_res_t *need, int64_t limit)
{
  int64_t n = 0;

  for (int i = 0; i < s->place.n && n < limit; i++)
    if (s->workers[i].listed)
      n += place_times (need, &s->place.w[i].total);
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
  if (!workers_known (s))
    return NULL;
  most = tasks_at_most (s, &spec->need, n);
  if (!most)
    return "no worker is large enough for one task";
  if (most < n)
    return "the workers together are too small for all its tasks";
  return NULL;
}

/* ---- one job ---- */

static int
level_of (const gl_sched_t *s, handle_t h, const job_t *j)
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

/** struct crowd_t - the job whose tasks are counted on a worker */
typedef struct
{
  gl_sched_t *s;
  handle_t job;
} crowd_t;

static int
count_crowd (void *ctx, int worker)
{
  const crowd_t *c = ctx;
  const worker_t *w = &c->s->workers[worker];
  int n = 0;

  for (int k = 0; k < w->ntasks; k++)
    n += w->tasks[k].job == c->job;
  return n;
}

static int
find_worker (gl_sched_t *s, handle_t h, const job_t *j)
{
  place_want_t want
      = { .need = j->need, .level = level_of (s, h, j), .avoid = -1 };
  crowd_t crowd = { s, h };
  int w;

  if (s->opts.policy == GL_POLICY_FIRST_FIT)
    return place_first_fit (&s->place, &want);
  if (s->opts.policy == GL_POLICY_RANDOM_FIT)
    return place_random_fit (&s->place, &want,
                             (int)jitter (s, (gl_ms_t)s->place.n));
  if (fit_known_failed (s, j, want.level))
    return -1;
  if (j->cls == GL_CLASS_SERVICE)
    {
      want.rack_count = j->rack_count;
      want.nracks = RACKS_MAX;
      want.crowd = count_crowd;
      want.ctx = &crowd;
    }
  w = place_find (&s->place, &want);
  if (w < 0)
    fit_mark_failed (s, j, want.level);
  return w;
}

static void
log_assign (gl_sched_t *s, task_handle_t ref)
{
  job_t *j = pool_get (&s->jobs, ref.job);
  task_t *t = &j->tasks[ref.index];
  gl_rec_t rec = { .kind = GL_REC_ASSIGN };
  deferred_t gate
      = { .kind = DEFER_START, .task = ref, .attempt = t->attempt };

  rec.gl_rec_t_u.assign.task.job = j->id;
  rec.gl_rec_t_u.assign.task.index = ref.index;
  rec.gl_rec_t_u.assign.task.attempt = t->attempt;
  rec.gl_rec_t_u.assign.worker = strdup (s->workers[t->worker].name);
  rec.gl_rec_t_u.assign.boot = t->boot;
  journal_append (s, &rec);
  journal_defer (s, &gate);
  s->counters.placed++;
  if (FAULT (FAULT_START_BEFORE_COMMIT))
    worker_wake (s, t->worker);
}

static uint32_t
next_waiting (job_t *j)
{
  while (j->first_waiting < j->ntasks
         && j->tasks[j->first_waiting].state != TASK_WAITING)
    j->first_waiting++;
  return j->first_waiting;
}

static void
drop_holds (gl_sched_t *s, handle_t h, job_t *j)
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

static int
place_one (gl_sched_t *s, handle_t h, job_t *j)
{
  task_handle_t ref = { h, next_waiting (j) };
  int w = find_worker (s, h, j);

  if (w < 0 || task_bind (s, ref, w, 0))
    return 0;
  log_assign (s, ref);
  drop_holds (s, h, j);
  return 1;
}

/* Choose a worker for every waiting task, taking the room as it goes; the
   room is given back before the tasks are bound. */
static uint32_t
choose_all (gl_sched_t *s, handle_t h, job_t *j, int *chosen)
{
  uint32_t n = 0;

  /* Failures beside tentative grants say nothing of the true room. */
  s->tentative = 1;
  for (; n < j->waiting; n++)
    {
      chosen[n] = find_worker (s, h, j);
      if (chosen[n] < 0 || place_take (&s->place, chosen[n], &j->need))
        break;
    }
  for (uint32_t i = 0; i < n; i++)
    place_give (&s->place, chosen[i], &j->need);
  s->tentative = 0;
  return n;
}

static int
place_gang (gl_sched_t *s, handle_t h, job_t *j)
{
  int *chosen = calloc (j->waiting, sizeof *chosen);
  uint32_t want = j->waiting;
  uint32_t n;

  if (!chosen || fit_gang_known_failed (s, j, level_of (s, h, j)))
    {
      free (chosen);
      return 0;
    }
  n = choose_all (s, h, j, chosen);
  if (n == want || (FAULT (FAULT_GANG_PARTIAL) && n))
    for (uint32_t i = 0; i < n; i++)
      {
        task_handle_t ref = { h, next_waiting (j) };
        if (!task_bind (s, ref, chosen[i], 0))
          log_assign (s, ref);
      }
  free (chosen);
  if (n == want)
    drop_holds (s, h, j);
  else
    fit_gang_mark_failed (s, j, level_of (s, h, j));
  return n == want;
}

/* ---- reservation ---- */

typedef struct
{
  int worker;
  int tasks;
  gl_ms_t when;
} offer_t;

static int
offer_cmp (const void *a, const void *b)
{
  const offer_t *x = a;
  const offer_t *y = b;

  if (x->when != y->when)
    return x->when < y->when ? -1 : 1;
  return y->tasks - x->tasks;
}

typedef struct
{
  gl_ms_t when;
  gl_res_t need;
} ending_t;

static int
ending_cmp (const void *a, const void *b)
{
  const ending_t *x = a;
  const ending_t *y = b;

  return x->when < y->when ? -1 : x->when > y->when;
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

/* The worker's finite tasks in the order of their expected ends. */
static int
endings_of (gl_sched_t *s, int i, ending_t *out)
{
  worker_t *w = &s->workers[i];
  int n = 0;

  for (int k = 0; k < w->ntasks && n < ENDINGS_MAX; k++)
    {
      job_t *j = pool_get (&s->jobs, w->tasks[k].job);

      if (j->cls == GL_CLASS_SERVICE)
        continue;
      out[n].when = expected_end (s, j, &j->tasks[w->tasks[k].index]);
      out[n++].need = j->need;
    }
  qsort (out, (size_t)n, sizeof *out, ending_cmp);
  return n;
}

/* Each moment at which the worker can hold more tasks of @j than before. */
static int
offers_of (gl_sched_t *s, int i, const job_t *j, offer_t *out)
{
  ending_t e[ENDINGS_MAX];
  gl_res_t room = place_free (&s->place, i);
  int held = place_times (&j->need, &room);
  int n = 0;
  int m = endings_of (s, i, e);

  if (held)
    out[n++] = (offer_t){ i, held, s->now };
  for (int k = 0; k < m && n < OFFERS_A_WORKER; k++)
    {
      int more;

      room.cpus_m += e[k].need.cpus_m;
      room.memory_mb += e[k].need.memory_mb;
      room.accels += e[k].need.accels;
      more = place_times (&j->need, &room) - held;
      if (more <= 0)
        continue;
      out[n++] = (offer_t){ i, more, e[k].when };
      held += more;
    }
  return n;
}

static void
take_offers (gl_sched_t *s, const offer_t *offers, int n, uint32_t tasks)
{
  uint32_t have = 0;

  for (int i = 0; i < n && have < tasks; i++)
    {
      have += (uint32_t)offers[i].tasks;
      s->place.w[offers[i].worker].reserved = LEVEL_RESERVED;
      s->reservation.shadow_time = offers[i].when;
    }
}

static void
try_reserve (gl_sched_t *s, handle_t h, job_t *j)
{
  offer_t *offers;
  uint32_t sum = 0;
  int n = 0;

  if (s->reservation.job == h && s->now < s->reservation.made_at + RESERVE_MS)
    {
      j->reason = WHY_RESERVED;
      return;
    }
  if (s->reservation.job && s->reservation.job != h)
    return;
  policy_drop_reservation (s);
  offers = calloc ((size_t)s->nworkers * OFFERS_A_WORKER + 1, sizeof *offers);
  if (!offers)
    return;
  for (int i = 0; i < s->nworkers; i++)
    if (s->place.w[i].usable)
      {
        int more = offers_of (s, i, j, offers + n);
        for (int k = 0; k < more; k++)
          sum += (uint32_t)offers[n + k].tasks;
        n += more;
      }
  if (sum >= j->waiting)
    {
      qsort (offers, (size_t)n, sizeof *offers, offer_cmp);
      s->reservation.job = h;
      s->reservation.made_at = s->now;
      take_offers (s, offers, n, j->waiting);
      s->counters.reservations++;
      j->reason = WHY_RESERVED;
    }
  else
    j->reason = WHY_NEVER;
  free (offers);
}

/* ---- eviction for urgent work ---- */

typedef struct
{
  task_handle_t victims[16];
  int n;
  int worker;
  uint64_t loss;
} plan_t;

static int
evictable (const job_t *j, const task_t *t)
{
  return j->cls == GL_CLASS_BATCH && j->max_attempts > 1
         && j->preemptions < PREEMPTED_MAX * j->ntasks
         && t->attempt < j->max_attempts
         && (t->state == TASK_RUNNING || t->state == TASK_STARTING);
}

/* Evict the youngest tasks of worker @i until @need fits. */
static int
plan_worker (gl_sched_t *s, int i, const gl_res_t *need, plan_t *p)
{
  worker_t *w = &s->workers[i];
  gl_res_t room = place_free (&s->place, i);

  p->n = 0;
  p->loss = 0;
  p->worker = i;
  while (!place_fits (need, &room))
    {
      int best = -1;
      task_t *bt = NULL;

      for (int k = 0; k < w->ntasks; k++)
        {
          job_t *j = pool_get (&s->jobs, w->tasks[k].job);
          task_t *t = &j->tasks[w->tasks[k].index];
          int taken = 0;

          for (int v = 0; v < p->n; v++)
            taken |= p->victims[v].job == w->tasks[k].job
                     && p->victims[v].index == w->tasks[k].index;
          if (!taken && evictable (j, t) && (!bt || t->since > bt->since))
            {
              best = k;
              bt = t;
            }
        }
      if (best < 0 || p->n == 16)
        return -1;
      job_t *j = pool_get (&s->jobs, w->tasks[best].job);
      room.cpus_m += j->need.cpus_m;
      room.memory_mb += j->need.memory_mb;
      room.accels += j->need.accels;
      p->loss += (s->now - bt->since + 1) * (uint64_t)j->need.cpus_m;
      p->victims[p->n++] = w->tasks[best];
    }
  return 0;
}

static void
try_preempt (gl_sched_t *s, job_t *j)
{
  plan_t best = { .worker = -1 };
  plan_t p;

  if (!s->conf.preempt || s->now < j->preempt_after)
    return;
  for (int i = 0; i < s->nworkers; i++)
    if (s->place.w[i].usable && s->place.w[i].reserved < LEVEL_URGENT
        && place_fits (&j->need, &s->place.w[i].total)
        && !plan_worker (s, i, &j->need, &p) && p.n
        && (best.worker < 0 || p.loss < best.loss))
      best = p;
  j->preempt_after = s->now + PREEMPT_MS;
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
  j->reason = WHY_PREEMPT;
}

/* ---- the pass ---- */

static int
try_job (gl_sched_t *s, handle_t h, job_t *j)
{
  team_t *t = &s->teams[j->team];
  gl_res_t need = j->need;
  int whole = j->cls == GL_CLASS_GANG;

  if (s->now < j->not_before)
    {
      j->reason = WHY_BACKOFF;
      timer_arm_before (&s->timers, s->t_pass, j->not_before);
      return 0;
    }
  if (whole && j->live)
    {
      j->reason = WHY_STOPPING;
      return 0;
    }
  if (whole)
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
      j->reason = WHY_QUOTA;
      return 0;
    }
  if (whole ? place_gang (s, h, j) : place_one (s, h, j))
    return 1;
  j->reason = whole ? WHY_GANG : WHY_ROOM;
  if (j->cls == GL_CLASS_URGENT)
    try_preempt (s, j);
  else if ((whole || j->aged) && s->opts.policy != GL_POLICY_NO_RESERVATION)
    try_reserve (s, h, j);
  return 0;
}

/* Place one task, or one gang, of the team's first job that fits. */
static int
serve_team (gl_sched_t *s, team_t *t, int cls, int aged)
{
  handle_t h = t->head[cls];
  int tried = 0;
  /* Urgent work tries to evict again, and a pause ends by itself. */
  int stuck = cls != GL_CLASS_URGENT && !aged;

  while (h && tried < PASS_JOBS_PER_TEAM)
    {
      job_t *j = pool_get (&s->jobs, h);
      handle_t next = j->next;

      if (!aged || j->aged)
        {
          if (try_job (s, h, j))
            return 1;
          if (s->now < j->not_before)
            stuck = 0;
          tried++;
        }
      h = next;
    }
  if (stuck)
    t->blocked_version[cls] = s->fit_version;
  return 0;
}

/* ---- teams by share: a heap with the smallest on top ---- */

static void
rank_down (gl_sched_t *s, int i)
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
worth_a_look (const gl_sched_t *s, const team_t *t, int cls)
{
  return t->head[cls] && t->blocked_version[cls] != s->fit_version;
}

static void
rank_teams (gl_sched_t *s, int cls)
{
  s->nranked = 0;
  for (int i = 0; i < s->nteams; i++)
    if (worth_a_look (s, &s->teams[i], cls))
      s->ranked[s->nranked++]
          = (team_rank_t){ team_dominant_share (s, &s->teams[i]), i };
  for (int i = s->nranked / 2; i-- > 0;)
    rank_down (s, i);
}

static void
drop_top (gl_sched_t *s)
{
  s->ranked[0] = s->ranked[--s->nranked];
  rank_down (s, 0);
}

/* Returns 1 when the pass must end because it has done enough. */
static int
serve_class (gl_sched_t *s, int cls, int aged, int *placed)
{
  rank_teams (s, cls);
  while (s->nranked)
    {
      team_t *t = &s->teams[s->ranked[0].team];

      if (*placed >= PASS_PLACEMENTS_MAX || journal_full (s))
        return 1;
      if (serve_team (s, t, cls, aged))
        {
          (*placed)++;
          s->ranked[0].share = team_dominant_share (s, t);
          rank_down (s, 0);
        }
      else
        drop_top (s);
    }
  return 0;
}

static int
serve_all (gl_sched_t *s, int *placed)
{
  if (serve_class (s, GL_CLASS_URGENT, 0, placed))
    return 1;
  for (int cls = GL_CLASS_SERVICE; cls < JOB_CLASSES; cls++)
    if (s->naged && serve_class (s, cls, 1, placed))
      return 1;
  for (int cls = GL_CLASS_SERVICE; cls < JOB_CLASSES; cls++)
    if (serve_class (s, cls, 0, placed))
      return 1;
  return 0;
}

static void
check_reservation (gl_sched_t *s)
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
  check_reservation (s);
  if (serve_all (s, &placed))
    timer_arm_before (&s->timers, s->t_pass, journal_full (s) ? now + 1 : now);
}

/* Queues are in order of acceptance, so the first young job ends a scan. */
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
  /* Reservations and holds that nobody used are looked at again. */
  s->fit_version++;
  policy_schedule_pass (s);
}
