/*
 * place.c -- index of workers by free resources, and best fit over it
 *
 * Workers with accelerators and workers without form two groups, so that a
 * task that asks for none fills the plain workers first and leaves the
 * accelerators to those that need them.  Within a group a worker sits in
 * the bucket of its whole free CPUs.  A search starts at the bucket of the
 * need and walks upward, so workers that are too full are never looked at,
 * and the first candidates found are the tightest.  It stops after
 * SCAN_ENOUGH candidates that fit: the few percent that an exact best fit
 * would add are lost in the error of the declared sizes, while the cost
 * stays flat as the number of workers grows.
 *
 * Invariant: for every worker with capacity, used <= total in each
 * resource.  place_take refuses anything else; only place_take_known, which
 * records what has already happened, may not check.
 */
#include "place.h"

#include "fault.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Candidates that fit after which a search is content. */
#define SCAN_ENOUGH 16
/* Cost of a task of the same job in the same rack, beside the leftover
   fractions, which add up to at most about 3000. */
#define SPREAD_COST 10000

void
place_init (place_t *p)
{
  memset (p, 0, sizeof *p);
  for (int g = 0; g < PLACE_GROUPS; g++)
    for (int b = 0; b < PLACE_BUCKETS; b++)
      p->head[g][b] = -1;
}

void
place_done (place_t *p)
{
  free (p->w);
  place_init (p);
}

int
place_fits (const gl_res_t *need, const gl_res_t *room)
{
  return need->cpus_m <= room->cpus_m && need->memory_mb <= room->memory_mb
         && need->accels <= room->accels;
}

gl_res_t
place_free (const place_t *p, int i)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t f = { w->total.cpus_m - w->used.cpus_m,
                 w->total.memory_mb - w->used.memory_mb,
                 w->total.accels - w->used.accels };
  return f;
}

static int
bucket_of (int cpus_m)
{
  int b = cpus_m / 1000;

  if (b < 0)
    return 0;
  return b < PLACE_BUCKETS ? b : PLACE_BUCKETS - 1;
}

static void
unlink_worker (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];

  if (!w->linked)
    return;
  if (w->prev >= 0)
    p->w[w->prev].next = w->next;
  else
    p->head[w->group][w->bucket] = w->next;
  if (w->next >= 0)
    p->w[w->next].prev = w->prev;
  if (p->head[w->group][w->bucket] < 0)
    p->map[w->group] &= ~(1ULL << w->bucket);
  w->linked = 0;
}

static void
link_worker (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];

  if (!w->usable)
    return;
  w->group = w->total.accels > 0;
  w->bucket = (unsigned char)bucket_of (w->total.cpus_m - w->used.cpus_m);
  w->prev = -1;
  w->next = p->head[w->group][w->bucket];
  if (w->next >= 0)
    p->w[w->next].prev = i;
  p->head[w->group][w->bucket] = i;
  p->map[w->group] |= 1ULL << w->bucket;
  w->linked = 1;
}

/* Move the worker only when its bucket changes. */
static void
relink (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];

  if (w->linked && w->usable
      && w->bucket == bucket_of (w->total.cpus_m - w->used.cpus_m))
    return;
  unlink_worker (p, i);
  link_worker (p, i);
}

int
place_add (place_t *p)
{
  if (p->n == p->cap)
    {
      int cap = p->cap ? 2 * p->cap : 64;
      place_worker_t *w = realloc (p->w, (size_t)cap * sizeof *w);
      if (!w)
        return -1;
      p->w = w;
      p->cap = cap;
    }
  memset (&p->w[p->n], 0, sizeof *p->w);
  return p->n++;
}

static void
add_total (place_t *p, const gl_res_t *r, int sign)
{
  p->sum_cpus += sign * r->cpus_m;
  p->sum_memory += sign * r->memory_mb;
  p->sum_accels += sign * r->accels;
}

void
place_set (place_t *p, int i, const gl_res_t *total, int rack, int usable)
{
  place_worker_t *w = &p->w[i];

  unlink_worker (p, i);
  add_total (p, &w->total, -1);
  w->total = *total;
  add_total (p, &w->total, 1);
  w->rack = rack;
  w->usable = (unsigned char)usable;
  link_worker (p, i);
}

static void
add_used (place_t *p, int i, const gl_res_t *r, int sign)
{
  place_worker_t *w = &p->w[i];

  w->used.cpus_m += sign * r->cpus_m;
  w->used.memory_mb += sign * r->memory_mb;
  w->used.accels += sign * r->accels;
  relink (p, i);
}

int
place_take (place_t *p, int i, const gl_res_t *r)
{
  gl_res_t room = place_free (p, i);

  if (!place_fits (r, &room))
    return -1;
  add_used (p, i, r, 1);
  return 0;
}

void
place_take_known (place_t *p, int i, const gl_res_t *r)
{
  add_used (p, i, r, 1);
}

void
place_give (place_t *p, int i, const gl_res_t *r)
{
  place_worker_t *w = &p->w[i];

  add_used (p, i, r, -1);
  if (FAULT (FAULT_FREE_TWICE))
    return;
  assert (w->used.cpus_m >= 0 && w->used.memory_mb >= 0
          && w->used.accels >= 0);
}

static int
leftover (int free_amount, int need, int total)
{
  return total > 0 ? (int)((int64_t)(free_amount - need) * 1000 / total) : 0;
}

/* Lower is better: what would be left over, as thousandths of the worker,
   plus the cost of crowding one rack. */
static int
score (const place_t *p, int i, const place_want_t *want)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t room = place_free (p, i);
  int s = leftover (room.cpus_m, want->need.cpus_m, w->total.cpus_m);

  s += leftover (room.memory_mb, want->need.memory_mb, w->total.memory_mb);
  s += leftover (room.accels, want->need.accels, w->total.accels);
  if (want->rack_count && w->rack < want->nracks)
    s += SPREAD_COST * want->rack_count[w->rack];
  return s;
}

static int
eligible (const place_t *p, int i, const place_want_t *want)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t room;

  if (!w->usable || i == want->avoid || w->reserved > want->level)
    return 0;
  room = place_free (p, i);
  if (FAULT (FAULT_OVERFILL))
    room.memory_mb = w->total.memory_mb;
  return place_fits (&want->need, &room);
}

typedef struct
{
  int best;
  int best_score;
  int found;
} search_t;

static void
search_bucket (place_t *p, int i, const place_want_t *want, int enough,
               search_t *s)
{
  for (; i >= 0 && s->found < enough; i = p->w[i].next)
    {
      int sc;

      p->probes++;
      if (!eligible (p, i, want))
        continue;
      s->found++;
      sc = score (p, i, want);
      if (s->best < 0 || sc < s->best_score)
        {
          s->best = i;
          s->best_score = sc;
        }
    }
}

static int
search_group (place_t *p, int g, const place_want_t *want)
{
  search_t s = { -1, 0, 0 };
  int first = bucket_of (want->need.cpus_m);
  uint64_t map = p->map[g] & (~0ULL << first);
  /* Spreading has to see every rack; packing only the tightest few. */
  int enough = want->rack_count ? p->n : SCAN_ENOUGH;

  while (map && s.found < enough)
    {
      int b = __builtin_ctzll (map);

      map &= map - 1;
      search_bucket (p, p->head[g][b], want, enough, &s);
    }
  return s.best;
}

int
place_find (place_t *p, const place_want_t *want)
{
  if (!want->need.accels)
    {
      int i = search_group (p, 0, want);
      if (i >= 0)
        return i;
    }
  return search_group (p, 1, want);
}

int
place_first_fit (place_t *p, const place_want_t *want)
{
  for (int i = 0; i < p->n; i++)
    {
      p->probes++;
      if (eligible (p, i, want))
        return i;
    }
  return -1;
}
