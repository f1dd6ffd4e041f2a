/*
 * cellhold.c -- reservations: room kept free for gangs that wait
 *
 * A gang needs room for all its tasks at the same time.  Where gangs of large
 * tasks may use a quarter of the workers, and small tasks take all room as
 * soon as it becomes free, a gang never starts without a reservation.
 *
 * For a waiting gang, the expected ends of the tasks that run on its workers
 * give the times at which a worker has room for one more task of the gang.
 * The earliest of them are reserved.  Other steps may use reserved room only
 * for tasks that are expected to end before the gang can start (EASY backfill,
 * Lifka 1995).  Priority 0 ignores reservations: its tasks are few and short.
 *
 * All reservations are made again together, first for the oldest gang, so that
 * many small gangs cannot keep a large one waiting, then by priority and in
 * the order of celldue.c.  A gang that can start may use room that is reserved
 * for gangs behind it.  A gang keeps a worker that it has reserved unless
 * another one is clearly better.  Except for the oldest gang, reservations are
 * limited to a share of the cell's processors, so that they cannot leave the
 * cell idle.  A gang beyond the limit that has waited long beside enough room
 * asks for tickets for that room instead; see cellconsult.c.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

/* Reservations are made again after this time, from new estimates. */
#define RESERVE_INTERVAL_MS 100
/* A gang changes from a worker that it has reserved to another one only if
   that has room earlier by this much: the gang has tickets for the workers
   that it has reserved, and new ones take the advisor's time. */
#define CHANGE_GAIN_MIN_MS 400
/* A task that runs longer than expected is expected to run on for this long
   plus OVERDUE_FACTOR times the time that it has run. */
#define OVERDUE_MIN_MS 50
#define OVERDUE_FACTOR 0.2
/* Time between two log lines on a gang that waits. */
#define WAIT_LOG_INTERVAL_MS 2000
/* The processors of the usable workers are counted again after this time. */
#define CPU_COUNT_INTERVAL_MS 500
/* Largest share of the usable workers' processors that may be reserved. */
#define RESERVED_SHARE_MAX 0.3
/* Tasks are expected to run this many times their estimate, while the times of
   their class are not known. */
#define ESTIMATE_MARGIN 1.2
/* Most running tasks of one worker whose ends are considered. */
#define ENDINGS_MAX 128

/** struct offer_t - room for one task on @worker from @when on; @key is when
    the task could start there, later by CHANGE_GAIN_MIN_MS if the gang has not
    reserved that worker; the offers with the lowest keys are reserved */
typedef struct
{
  gl_ms_t key;
  gl_ms_t when;
  int worker;
} offer_t;

/** struct ending_t - expected end of a running task, which frees @need */
typedef struct
{
  gl_ms_t when;
  gl_res_t need;
} ending_t;

static int
offer_cmp (const void *a, const void *b)
{
  const offer_t *x = a;
  const offer_t *y = b;

  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return x->worker - y->worker;
}

static int
ending_cmp (const void *a, const void *b)
{
  const ending_t *x = a;
  const ending_t *y = b;

  return x->when < y->when ? -1 : x->when > y->when;
}

/* ---- reservations ---- */

gl_res_t
reserved_by_others (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  /* All estimates may be too short by a factor, which the cell learns. */
  double ratio = c->usual_ratio > 1 ? c->usual_ratio : 1;
  gl_ms_t end = c->now
                + (gl_ms_t)(s->def->estimate_ms
                            * health_run_ratio (c, s, w, RATIO_HIGH,
                                                ESTIMATE_MARGIN * ratio));
  gl_res_t sum = { 0, 0, 0 };

  if (s->starved && !s->def->gang)
    return sum;
  for (int i = 0; i < w->nreservations; i++)
    {
      const creservation_t *r = &w->reservations[i];

      if (r->step == s->self || end <= r->shadow_time
          || (s->starved && r->order > 1)
          || (s->def->gang && s->reserve_order && r->order > s->reserve_order))
        continue;
      sum.cpus_m += r->ntasks * r->need.cpus_m;
      sum.memory_mb += r->ntasks * r->need.memory_mb;
      sum.accels += r->ntasks * r->need.accels;
    }
  return sum;
}

void
reserve_drop (cell_t *c, cstep_t *s)
{
  for (int i = 0; i < s->nreservations; i++)
    {
      cworker_t *w = &c->workers[s->reservations[i].worker];
      int n = 0;

      for (int k = 0; k < w->nreservations; k++)
        if (w->reservations[k].step != s->self)
          w->reservations[n++] = w->reservations[k];
      w->nreservations = n;
      c->reserved_cpus_m
          -= (int64_t)s->reservations[i].ntasks * s->def->need.cpus_m;
    }
  s->nreservations = 0;
  s->shadow_time = 0;
}

/* Reserve room for one task of the step on the worker; -1 without memory, or
   if the worker has CELL_RESERVATIONS_MAX reservations already. */
static int
reservation_add (cell_t *c, cstep_t *s, int worker)
{
  cworker_t *w = &c->workers[worker];
  creservation_t *v;

  for (int i = 0; i < s->nreservations; i++)
    if (s->reservations[i].worker == worker)
      {
        s->reservations[i].ntasks++;
        for (int k = 0; k < w->nreservations; k++)
          if (w->reservations[k].step == s->self)
            w->reservations[k].ntasks++;
        return 0;
      }
  if (w->nreservations == CELL_RESERVATIONS_MAX)
    return -1;
  v = realloc (s->reservations, (size_t)(s->nreservations + 1) * sizeof *v);
  if (!v)
    return -1;
  s->reservations = v;
  v[s->nreservations] = (creservation_t){ s->self,          worker,      1, 0,
                                          s->reserve_order, s->def->need };
  w->reservations[w->nreservations++] = v[s->nreservations++];
  return 0;
}

/* ---- expected room ---- */

/* How many tasks with @need fit beside @reserved on a worker with @unused
   resources, at most @max. */
static int
tasks_that_fit (const gl_res_t *need, const gl_res_t *unused,
                const gl_res_t *reserved, int max)
{
  gl_res_t room = { unused->cpus_m - reserved->cpus_m,
                    unused->memory_mb - reserved->memory_mb,
                    unused->accels - reserved->accels };
  int n = max;

  if (room_is_overcommitted (unused))
    return 0;
  if (need->cpus_m > 0 && room.cpus_m / need->cpus_m < n)
    n = room.cpus_m / need->cpus_m;
  if (need->memory_mb > 0 && room.memory_mb / need->memory_mb < n)
    n = room.memory_mb / need->memory_mb;
  if (need->accels > 0 && room.accels / need->accels < n)
    n = room.accels / need->accels;
  return n > 0 ? n : 0;
}

static gl_ms_t
expected_end (const cell_t *c, const ctask_t *t)
{
  if (t->expected_end > c->now)
    return t->expected_end;
  return c->now + OVERDUE_MIN_MS
         + (gl_ms_t)((double)(c->now - t->sent_at) * OVERDUE_FACTOR);
}

/* Fill @out with the expected ends of the worker's running tasks, earliest
   first; returns how many there are.  Long-running tasks have none. */
static int
list_endings (const cell_t *c, const cworker_t *w, ending_t *out)
{
  int n = 0;

  for (int i = 0; i < w->ntasks && n < ENDINGS_MAX; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      const ctask_t *t = &s->tasks[w->tasks[i].index];

      if (s->def->long_running)
        continue;
      out[n].when = expected_end (c, t);
      out[n++].need = s->def->need;
    }
  qsort (out, (size_t)n, sizeof *out, ending_cmp);
  return n;
}

/* Fill @out with one offer for each further task of the step that the worker
   can take, now or when running tasks have ended; returns how many. */
static int
list_offers (const cell_t *c, const cstep_t *s, int worker, offer_t *out)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t reserved = reserved_by_others (c, s, worker);
  gl_res_t unused = room_unused (w);
  ending_t e[ENDINGS_MAX];
  int max = (int)s->def->count;
  int fitting = tasks_that_fit (&s->def->need, &unused, &reserved, max);
  int n = 0;
  int m;

  for (int i = 0; i < fitting; i++)
    out[n++] = (offer_t){ 0, c->now, worker };
  m = list_endings (c, w, e);
  for (int i = 0; i < m && n < max; i++)
    {
      int fitting_then;

      unused.cpus_m += e[i].need.cpus_m;
      unused.memory_mb += e[i].need.memory_mb;
      unused.accels += e[i].need.accels;
      fitting_then = tasks_that_fit (&s->def->need, &unused, &reserved, max);
      while (n < fitting_then)
        out[n++] = (offer_t){ 0, e[i].when, worker };
    }
  return n;
}

/* Whether the worker is approved for the step, if that is needed, large enough
   for a task of it, and has a place for one more reservation. */
static int
may_use (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int worker)
{
  return (!q->advised || consult_verdict (s, worker) == 1)
         && c->workers[worker].nreservations < CELL_RESERVATIONS_MAX
         && room_when_empty (c, s, q, worker);
}

/* Processors of all usable workers, in thousandths; counted again after
   CPU_COUNT_INTERVAL_MS. */
static int64_t
count_usable_cpus (cell_t *c)
{
  if (c->now < c->usable_cpus_at + CPU_COUNT_INTERVAL_MS && c->usable_cpus_m)
    return c->usable_cpus_m;
  c->usable_cpus_m = 0;
  c->usable_cpus_at = c->now;
  for (int i = 0; i < c->nworkers; i++)
    if (cworker_usable (c, &c->workers[i]))
      c->usable_cpus_m += c->workers[i].info.capacity.cpus_m;
  return c->usable_cpus_m;
}

/* Reserve the first offers in @v, one for each task of the gang; nothing is
   reserved if one of them fails. */
static void
reserve_offers (cell_t *c, cstep_t *s, const offer_t *v)
{
  uint32_t taken = 0;

  while (taken < s->def->count && !reservation_add (c, s, v[taken].worker))
    taken++;
  c->reserved_cpus_m += (int64_t)taken * s->def->need.cpus_m;
  if (taken < s->def->count)
    {
      reserve_drop (c, s);
      return;
    }
  for (uint32_t i = 0; i < taken; i++)
    if (v[i].when > s->shadow_time)
      s->shadow_time = v[i].when;
  for (int i = 0; i < s->nreservations; i++)
    {
      cworker_t *w = &c->workers[s->reservations[i].worker];

      for (int k = 0; k < w->nreservations; k++)
        if (w->reservations[k].step == s->self)
          w->reservations[k].shadow_time = s->shadow_time;
    }
}

/* Log why a gang waits, at most once in WAIT_LOG_INTERVAL_MS. */
static void
log_wait (cell_t *c, cstep_t *s, const char *state)
{
  const cjob_t *j = cstep_job (c, s);

  if (c->now < s->wait_logged_at + WAIT_LOG_INTERVAL_MS)
    return;
  s->wait_logged_at = c->now;
  cell_log (c,
            "gang_waits id=%s step=%u tasks=%u lateness=%d age_ms=%llu "
            "workers=%d tickets=%d starts_in_ms=%lld state=%s",
            j->id, s->index, s->def->count, s->lateness,
            (unsigned long long)(c->now - s->ready_at), s->nreservations,
            s->ntickets,
            s->nreservations ? (long long)s->shadow_time - (long long)c->now
                             : -1,
            state);
}

/* Reserve room for one gang; @had_reservation marks, by worker index, the
   workers that it had reserved before. */
static void
reserve_for (cell_t *c, cstep_t *s, const cell_queue_t *q,
             const unsigned char *had_reservation)
{
  int64_t want_cpus_m = (int64_t)s->def->count * s->def->need.cpus_m;
  offer_t *v;
  size_t usable = 0;
  size_t n = 0;

  if (c->reserved_cpus_m
      && (double)(c->reserved_cpus_m + want_cpus_m)
             > RESERVED_SHARE_MAX * (double)count_usable_cpus (c))
    {
      log_wait (c, s, "reservation_limit");
      return;
    }
  for (int i = 0; i < c->nworkers; i++)
    usable += (size_t)may_use (c, s, q, i);
  v = calloc (usable * s->def->count + 1, sizeof *v);
  if (!v)
    return;
  for (int i = 0; i < c->nworkers; i++)
    if (may_use (c, s, q, i))
      {
        size_t first = n;

        n += (size_t)list_offers (c, s, i, v + n);
        for (size_t k = first; k < n; k++)
          v[k].key = consult_earliest_start (c, s, q, i, v[k].when)
                     + (had_reservation[i] ? 0 : CHANGE_GAIN_MIN_MS);
      }
  qsort (v, n, sizeof *v, offer_cmp);
  if (n >= s->def->count)
    reserve_offers (c, s, v);
  s->approved_scarce |= !s->nreservations
                        || s->shadow_time > c->now + consult_survey_wait (q);
  log_wait (c, s, s->nreservations ? "reserved" : "too_few_workers");
  free (v);
}

/* Whether the step is a gang whose tasks all wait, and whose queue either is
   not advised or is costly and has verdicts for the step. */
static int
needs_reservation (cell_t *c, const cstep_t *s, const cell_queue_t *q)
{
  const cjob_t *j = cstep_job (c, s);

  return q && s->def->gang && s->nwaiting == s->def->count
         && j->next_phase < GL_PHASE_COMPLETED
         && cstep_cap_room (c, s, (int)s->def->count) >= (int)s->def->count
         && (!q->advised || (consult_is_costly (q) && s->nverdicts));
}

/** struct waiting_gang_t - a gang that waits; @lateness as in due_lateness */
typedef struct
{
  cstep_t *step;
  const cell_queue_t *queue;
  int lateness;
} waiting_gang_t;

static int
waiting_gang_cmp (const void *a, const void *b)
{
  const waiting_gang_t *x = a;
  const waiting_gang_t *y = b;

  if (x->queue->priority != y->queue->priority)
    return x->queue->priority - y->queue->priority;
  if (x->lateness != y->lateness)
    return x->lateness - y->lateness;
  if (x->step->ready_at != y->step->ready_at)
    return x->step->ready_at < y->step->ready_at ? -1 : 1;
  return x->step->self < y->step->self ? -1 : 1;
}

/* Put the gangs into the order of cellshare.c, as if each had its room when
   the next one is chosen; -1 without memory. */
static int
order_by_share (cell_t *c, waiting_gang_t *v, size_t n)
{
  cturn_t *t = calloc (n + 1, sizeof *t);
  waiting_gang_t *ordered = calloc (n + 1, sizeof *ordered);
  cturns_t turns;
  cturn_t *turn;
  size_t at = 0;

  if (!t || !ordered)
    {
      free (t);
      free (ordered);
      return -1;
    }
  qsort (v, n, sizeof *v, waiting_gang_cmp);
  for (size_t i = 0; i < n; i++)
    {
      const cjob_t *j = cstep_job (c, v[i].step);

      t[i] = (cturn_t){
        v[i].queue->priority, j->beyond, v[i].lateness, j->team, 0, i, &v[i]
      };
    }
  if (turns_begin (&turns, &c->conf.teams, t, n))
    {
      free (ordered);
      return -1;
    }
  while ((turn = turns_next (&turns, &c->shares, &c->conf.teams, 0)))
    {
      const waiting_gang_t *g = turn->item;
      const gl_res_t need = cstep_need (g->step);

      if (!shares_reserve (&c->shares, turn->team))
        csum_add (&c->shares.v[turn->team + 1].planned, &need,
                  g->step->def->count);
      ordered[at++] = *g;
    }
  memcpy (v, ordered, n * sizeof *v);
  shares_clear_planned (&c->shares);
  free (ordered);
  turns_end (&turns);
  return 0;
}

/* Move the gang that has waited longest to the front, however late it is, so
   that every gang starts in the end; one beyond its team's rate only if all
   are. */
static void
move_oldest_first (cell_t *c, waiting_gang_t *v, size_t n)
{
  waiting_gang_t first;
  size_t oldest = 0;
  int beyond = 1;

  for (size_t i = 0; i < n; i++)
    {
      const cjob_t *j = cstep_job (c, v[i].step);

      if (j->beyond > beyond
          || (j->beyond == beyond
              && v[i].step->ready_at >= v[oldest].step->ready_at))
        continue;
      oldest = i;
      beyond = j->beyond;
    }
  if (!oldest)
    return;
  first = v[oldest];
  memmove (v + 1, v, oldest * sizeof *v);
  v[0] = first;
}

/* Fill @v with the waiting gangs in the order in which they are served;
   returns how many there are. */
static size_t
collect_waiting_gangs (cell_t *c, waiting_gang_t *v)
{
  size_t n = 0;

  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);
      const cell_queue_t *q = s ? plan_queue (c, cstep_job (c, s)) : NULL;

      if (s && needs_reservation (c, s, q))
        v[n++] = (waiting_gang_t){ s, q, due_lateness (c, s) };
      else if (s)
        {
          if (s->def->gang && s->nwaiting == s->def->count && s->capped)
            log_wait (c, s, "team_cap why=team_cap");
          s->nreservations = s->reserve_order = 0;
        }
    }
  if (n && (!c->shares.on || order_by_share (c, v, n)))
    qsort (v, n, sizeof *v, waiting_gang_cmp);
  move_oldest_first (c, v, n);
  return n;
}

/* All reservations are made again together, so that a younger gang never keeps
   room from an older one. */
void
reserve_pass (cell_t *c)
{
  waiting_gang_t *v;
  unsigned char *had_reservation;
  size_t n;

  if (c->now < c->reserved_at + RESERVE_INTERVAL_MS)
    return;
  c->reserved_at = c->now;
  v = calloc (c->waiting.n + 1, sizeof *v);
  had_reservation = calloc ((size_t)c->nworkers + 1, 1);
  if (!v || !had_reservation)
    goto out;
  n = collect_waiting_gangs (c, v);
  for (int i = 0; i < c->nworkers; i++)
    c->workers[i].nreservations = 0;
  c->reserved_cpus_m = 0;
  for (size_t i = 0; i < n; i++)
    {
      cstep_t *s = v[i].step;

      s->reserve_order = (int)i + 1;
      memset (had_reservation, 0, (size_t)c->nworkers);
      for (int k = 0; k < s->nreservations; k++)
        had_reservation[s->reservations[k].worker] = 1;
      s->nreservations = 0;
      s->shadow_time = 0;
      reserve_for (c, s, v[i].queue, had_reservation);
    }
out:
  free (v);
  free (had_reservation);
}
