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
 * The first priority is not held off: its tasks are few and short.  All
 * reservations together are bounded, so that they cannot idle the cell.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

/* Reservations are made anew after this time, with fresh estimates. */
#define RENEW_MS 150
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

typedef struct
{
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

  if (x->when != y->when)
    return x->when < y->when ? -1 : 1;
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

int
hold_on (const cstep_t *s, int worker)
{
  for (int i = 0; i < s->nholds; i++)
    if (s->holds[i].worker == worker)
      return s->holds[i].n;
  return 0;
}

gl_res_t
hold_others (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  gl_ms_t end = c->now + (gl_ms_t)(s->def->estimate_ms * ESTIMATE_MARGIN);
  gl_res_t sum = { 0, 0, 0 };

  for (int i = 0; i < w->nholds; i++)
    {
      const chold_t *h = &w->holds[i];

      if (h->step == s->self || (!s->def->gang && end <= h->shadow))
        continue;
      sum.cpus_m += h->n * h->need.cpus_m;
      sum.memory_mb += h->n * h->need.memory_mb;
      sum.accels += h->n * h->need.accels;
    }
  return sum;
}

void
hold_drop (cell_t *c, cstep_t *s)
{
  for (int i = 0; i < s->nholds; i++)
    {
      cworker_t *w = &c->workers[s->holds[i].worker];
      int n = 0;

      for (int k = 0; k < w->nholds; k++)
        if (w->holds[k].step != s->self)
          w->holds[n++] = w->holds[k];
      w->nholds = n;
      c->held_cpus -= (int64_t)s->holds[i].n * s->def->need.cpus_m;
    }
  s->nholds = 0;
  s->shadow = 0;
}

static int
hold_add (cell_t *c, cstep_t *s, int worker)
{
  cworker_t *w = &c->workers[worker];
  chold_t *v;

  for (int i = 0; i < s->nholds; i++)
    if (s->holds[i].worker == worker)
      {
        s->holds[i].n++;
        for (int k = 0; k < w->nholds; k++)
          if (w->holds[k].step == s->self)
            w->holds[k].n++;
        return 0;
      }
  if (w->nholds == CELL_HOLDS)
    return -1;
  v = realloc (s->holds, (size_t)(s->nholds + 1) * sizeof *v);
  if (!v)
    return -1;
  s->holds = v;
  v[s->nholds] = (chold_t){ s->self, worker, 1, 0, s->def->need };
  w->holds[w->nholds++] = v[s->nholds++];
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
  if (t->expect_end > c->now)
    return t->expect_end;
  return c->now + OVERDUE_MIN_MS
         + (gl_ms_t)((double)(c->now - t->sent) * OVERDUE_PART);
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

      if (s->def->lasting)
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
  gl_res_t held = hold_others (c, s, worker);
  gl_res_t room
      = { w->info.total.cpus_m - w->used.cpus_m - held.cpus_m,
          w->info.total.memory_mb - w->used.memory_mb - held.memory_mb,
          w->info.total.accels - w->used.accels - held.accels };
  ending_t e[ENDINGS_MAX];
  int most = (int)s->def->count;
  int have = times (&s->def->need, &room, most);
  int n = 0;
  int m;

  for (int i = 0; i < have; i++)
    out[n++] = (offer_t){ c->now, worker };
  m = endings_of (c, w, e);
  for (int i = 0; i < m && n < most; i++)
    {
      int more;

      room.cpus_m += e[i].need.cpus_m;
      room.memory_mb += e[i].need.memory_mb;
      room.accels += e[i].need.accels;
      more = times (&s->def->need, &room, most);
      while (n < more)
        out[n++] = (offer_t){ e[i].when, worker };
    }
  return n;
}

static int
may_use (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int worker)
{
  return (!q->advised || consult_verdict (s, worker) == 1)
         && room_ever (c, s, q, worker);
}

/* 1 while everything that is held is still of use. */
static int
is_good (const cell_t *c, const cstep_t *s)
{
  for (int i = 0; i < s->nholds; i++)
    if (!cworker_usable (c, &c->workers[s->holds[i].worker]))
      return 0;
  return s->nholds && c->now < s->held_at + RENEW_MS;
}

/* All processors in use now; counted anew from time to time. */
static int64_t
cell_cpus (cell_t *c)
{
  if (c->now < c->cpus_at + COUNT_MS && c->cpus)
    return c->cpus;
  c->cpus = 0;
  c->cpus_at = c->now;
  for (int i = 0; i < c->nworkers; i++)
    if (cworker_usable (c, &c->workers[i]))
      c->cpus += c->workers[i].info.total.cpus_m;
  return c->cpus;
}

static void
take_offers (cell_t *c, cstep_t *s, const offer_t *v)
{
  uint32_t taken = 0;

  while (taken < s->def->count && !hold_add (c, s, v[taken].worker))
    taken++;
  c->held_cpus += (int64_t)taken * s->def->need.cpus_m;
  if (taken < s->def->count)
    {
      hold_drop (c, s);
      return;
    }
  s->shadow = v[taken - 1].when;
  for (int i = 0; i < s->nholds; i++)
    {
      cworker_t *w = &c->workers[s->holds[i].worker];

      for (int k = 0; k < w->nholds; k++)
        if (w->holds[k].step == s->self)
          w->holds[k].shadow = s->shadow;
    }
}

/* How a waiting gang stands, from time to time. */
static void
tell (cell_t *c, cstep_t *s, const char *how)
{
  const cjob_t *j = cstep_job (c, s);

  if (c->now < s->held_told + TELL_MS)
    return;
  s->held_told = c->now;
  cell_log (c,
            "gang_waits id=%s step=%u tasks=%u age_ms=%llu workers=%d "
            "tickets=%d in_ms=%lld how=%s",
            j->id, s->index, s->def->count,
            (unsigned long long)(c->now - s->since), s->nholds, s->npasses,
            s->nholds ? (long long)s->shadow - (long long)c->now : -1, how);
}

void
hold_room (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  int64_t want = (int64_t)s->def->count * s->def->need.cpus_m;
  offer_t *v;
  size_t allowed = 0;
  size_t n = 0;

  if (is_good (c, s))
    return;
  hold_drop (c, s);
  s->held_at = c->now;
  if ((double)(c->held_cpus + want) > HELD_SHARE * (double)cell_cpus (c))
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
      n += (size_t)offers_of (c, s, i, v + n);
  qsort (v, n, sizeof *v, offer_cmp);
  if (n >= s->def->count)
    take_offers (c, s, v);
  else
    s->scarce = 1;
  tell (c, s, s->nholds ? "held" : "too few workers");
  free (v);
}
