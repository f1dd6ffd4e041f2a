/*
 * cellhold.c -- room held for gangs against a stream of small tasks
 *
 * The load that this answers: gangs of large tasks that may use a quarter of
 * the workers, while small tasks take every gap as soon as it opens.  A gang
 * needs all its room at one moment, so without a reservation it never comes.
 *
 * For a waiting gang the moments at which its workers can hold one more of
 * its tasks are ranked, from what runs there and how far it has come; the
 * earliest are set aside.  Others may use that room only for tasks that are
 * expected to end before the gang can begin (EASY backfill, Lifka 1995).
 * The first priority is not held off: its tasks are few and short.
 *
 * Reservations are renewed together: for the oldest gang first, so that many
 * small gangs cannot keep a large one waiting, then by celldue.c.  A gang that
 * can start takes room that is held for gangs behind it.  A worker
 * that a gang holds already is kept while no other is clearly better.  Beyond
 * the oldest gang, all reservations together are bounded, so that they cannot
 * idle the cell.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

/* Reservations are made anew after this time, with fresh estimates. */
#define RENEW_MS 100
/* A worker that is held already is kept unless another one has room earlier
   by this much: tickets are bought for the workers that are held. */
#define STICKY_MS 400
#define OVERDUE_MIN_MS 50
#define OVERDUE_PART 0.2
/* A gang that waits is told of this often. */
#define TELL_MS 2000
/* The cell's processors are counted this often. */
#define COUNT_MS 500
/* Largest share of the cell's processors that is held at once. */
#define HELD_SHARE 0.55
/* Tasks are expected to run longer than estimated by this factor. */
#define ESTIMATE_MARGIN 1.2
/* Running tasks of a worker that are looked at. */
#define ENDINGS_MAX 128

/** struct offer_t - room for one task at @when; offers are taken by @key */
typedef struct
{
  gl_ms_t key;
  gl_ms_t when;
  int worker;
} offer_t;

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

/* ---- what is held ---- */

gl_res_t
reserved_by_others (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  /* Estimates may all be too short, by a factor that is learned. */
  double off = c->usual_ratio > 1 ? c->usual_ratio : 1;
  gl_ms_t end
      = c->now + (gl_ms_t)(s->def->estimate_ms * ESTIMATE_MARGIN * off);
  gl_res_t sum = { 0, 0, 0 };

  for (int i = 0; i < w->nreservations; i++)
    {
      const creservation_t *h = &w->reservations[i];

      if (h->step == s->self || (!s->def->gang && end <= h->shadow_time)
          || (s->def->gang && s->reserve_order && h->order > s->reserve_order))
        continue;
      sum.cpus_m += h->ntasks * h->need.cpus_m;
      sum.memory_mb += h->ntasks * h->need.memory_mb;
      sum.accels += h->ntasks * h->need.accels;
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

static int
hold_add (cell_t *c, cstep_t *s, int worker)
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

/* ---- when room will be there ---- */

static int
times (const gl_res_t *need, const gl_res_t *room, int most)
{
  int n = most;

  if (need->cpus_m > 0 && room->cpus_m / need->cpus_m < n)
    n = room->cpus_m / need->cpus_m;
  if (need->memory_mb > 0 && room->memory_mb / need->memory_mb < n)
    n = room->memory_mb / need->memory_mb;
  if (need->accels > 0 && room->accels / need->accels < n)
    n = room->accels / need->accels;
  return n > 0 ? n : 0;
}

/* One that runs past its expected end is expected to run on for a part of
   the time that it has run. */
static gl_ms_t
expected_end (const cell_t *c, const ctask_t *t)
{
  if (t->expected_end > c->now)
    return t->expected_end;
  return c->now + OVERDUE_MIN_MS
         + (gl_ms_t)((double)(c->now - t->sent_at) * OVERDUE_PART);
}

/* The worker's running tasks in the order of their expected ends. */
static int
endings_of (const cell_t *c, const cworker_t *w, ending_t *out)
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

/* Each moment at which the worker can hold one task more. */
static int
offers_of (const cell_t *c, const cstep_t *s, int worker, offer_t *out)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t held = reserved_by_others (c, s, worker);
  gl_res_t room
      = { w->info.capacity.cpus_m - w->used.cpus_m - held.cpus_m,
          w->info.capacity.memory_mb - w->used.memory_mb - held.memory_mb,
          w->info.capacity.accels - w->used.accels - held.accels };
  ending_t e[ENDINGS_MAX];
  int most = (int)s->def->count;
  int have = times (&s->def->need, &room, most);
  int n = 0;
  int m;

  for (int i = 0; i < have; i++)
    out[n++] = (offer_t){ 0, c->now, worker };
  m = endings_of (c, w, e);
  for (int i = 0; i < m && n < most; i++)
    {
      int more;

      room.cpus_m += e[i].need.cpus_m;
      room.memory_mb += e[i].need.memory_mb;
      room.accels += e[i].need.accels;
      more = times (&s->def->need, &room, most);
      while (n < more)
        out[n++] = (offer_t){ 0, e[i].when, worker };
    }
  return n;
}

static int
may_use (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int worker)
{
  return (!q->advised || consult_verdict (s, worker) == 1)
         && room_when_empty (c, s, q, worker);
}

/* All processors in use now; counted anew from time to time. */
static int64_t
cell_cpus (cell_t *c)
{
  if (c->now < c->usable_cpus_at + COUNT_MS && c->usable_cpus_m)
    return c->usable_cpus_m;
  c->usable_cpus_m = 0;
  c->usable_cpus_at = c->now;
  for (int i = 0; i < c->nworkers; i++)
    if (cworker_usable (c, &c->workers[i]))
      c->usable_cpus_m += c->workers[i].info.capacity.cpus_m;
  return c->usable_cpus_m;
}

static void
take_offers (cell_t *c, cstep_t *s, const offer_t *v)
{
  uint32_t taken = 0;

  while (taken < s->def->count && !hold_add (c, s, v[taken].worker))
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

/* How a waiting gang stands, from time to time. */
static void
tell (cell_t *c, cstep_t *s, const char *how)
{
  const cjob_t *j = cstep_job (c, s);

  if (c->now < s->wait_logged_at + TELL_MS)
    return;
  s->wait_logged_at = c->now;
  cell_log (c,
            "gang_waits id=%s step=%u tasks=%u rank=%d age_ms=%llu workers=%d "
            "tickets=%d in_ms=%lld how=%s",
            j->id, s->index, s->def->count, s->lateness,
            (unsigned long long)(c->now - s->ready_at), s->nreservations,
            s->ntickets,
            s->nreservations ? (long long)s->shadow_time - (long long)c->now
                             : -1,
            how);
}

/* Sets room aside for one gang; workers marked in @kept had some before. */
static void
hold_for (cell_t *c, cstep_t *s, const cell_queue_t *q,
          const unsigned char *kept)
{
  int64_t want = (int64_t)s->def->count * s->def->need.cpus_m;
  offer_t *v;
  size_t allowed = 0;
  size_t n = 0;

  if (c->reserved_cpus_m
      && (double)(c->reserved_cpus_m + want)
             > HELD_SHARE * (double)cell_cpus (c))
    {
      tell (c, s, "too much is held already");
      return;
    }
  for (int i = 0; i < c->nworkers; i++)
    allowed += (size_t)may_use (c, s, q, i);
  v = calloc (allowed * s->def->count + 1, sizeof *v);
  if (!v)
    return;
  for (int i = 0; i < c->nworkers; i++)
    if (may_use (c, s, q, i))
      {
        size_t from = n;

        n += (size_t)offers_of (c, s, i, v + n);
        for (size_t k = from; k < n; k++)
          v[k].key = consult_earliest_start (c, s, q, i, v[k].when)
                     + (kept[i] ? 0 : STICKY_MS);
      }
  qsort (v, n, sizeof *v, offer_cmp);
  if (n >= s->def->count)
    take_offers (c, s, v);
  s->approved_scarce |= !s->nreservations
                        || s->shadow_time > c->now + consult_survey_wait (q);
  tell (c, s, s->nreservations ? "held" : "too few workers");
  free (v);
}

/* A gang that has not begun, and of which is known where it may run. */
static int
wants_room (cell_t *c, const cstep_t *s, const cell_queue_t *q)
{
  const cjob_t *j = cstep_job (c, s);

  return q && s->def->gang && s->def->count > 1 && s->nwaiting == s->def->count
         && j->next_phase < GL_PHASE_COMPLETED
         && (!q->advised || (consult_is_costly (q) && s->nverdicts));
}

typedef struct
{
  cstep_t *step;
  const cell_queue_t *queue;
  int rank;
} wanting_t;

static int
wanting_cmp (const void *a, const void *b)
{
  const wanting_t *x = a;
  const wanting_t *y = b;

  if (x->queue->priority != y->queue->priority)
    return x->queue->priority - y->queue->priority;
  if (x->rank != y->rank)
    return x->rank - y->rank;
  if (x->step->ready_at != y->step->ready_at)
    return x->step->ready_at < y->step->ready_at ? -1 : 1;
  return x->step->self < y->step->self ? -1 : 1;
}

/* However late it is, the gang that has waited longest comes next, so that
   every gang comes in the end. */
static void
put_oldest_first (wanting_t *v, size_t n)
{
  wanting_t first;
  size_t oldest = 0;

  for (size_t i = 1; i < n; i++)
    if (v[i].step->ready_at < v[oldest].step->ready_at)
      oldest = i;
  if (!oldest)
    return;
  first = v[oldest];
  memmove (v + 1, v, oldest * sizeof *v);
  v[0] = first;
}

/* The waiting gangs in the order in which they are served. */
static size_t
wanting (cell_t *c, wanting_t *v)
{
  size_t n = 0;

  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);
      const cell_queue_t *q = s ? plan_queue (c, cstep_job (c, s)) : NULL;

      if (s && wants_room (c, s, q))
        v[n++] = (wanting_t){ s, q, due_lateness (c, s) };
      else if (s)
        s->nreservations = s->reserve_order = 0;
    }
  if (n)
    qsort (v, n, sizeof *v, wanting_cmp);
  put_oldest_first (v, n);
  return n;
}

/* All reservations are made anew together, so that a younger gang never
   keeps room from an older one. */
void
reserve_pass (cell_t *c)
{
  wanting_t *v;
  unsigned char *kept;
  size_t n;

  if (c->now < c->reserved_at + RENEW_MS)
    return;
  c->reserved_at = c->now;
  v = calloc (c->waiting.n + 1, sizeof *v);
  kept = calloc ((size_t)c->nworkers + 1, 1);
  if (!v || !kept)
    goto out;
  n = wanting (c, v);
  for (int i = 0; i < c->nworkers; i++)
    c->workers[i].nreservations = 0;
  c->reserved_cpus_m = 0;
  for (size_t i = 0; i < n; i++)
    {
      cstep_t *s = v[i].step;

      s->reserve_order = (int)i + 1;
      memset (kept, 0, (size_t)c->nworkers);
      for (int k = 0; k < s->nreservations; k++)
        kept[s->reservations[k].worker] = 1;
      s->nreservations = 0;
      s->shadow_time = 0;
      hold_for (c, s, v[i].queue, kept);
    }
out:
  free (v);
  free (kept);
}
