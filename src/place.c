/*
 * place.c -- index of workers by free resources, and best fit over it
 *
 * Workers form three groups: without accelerators, with all accelerators
 * allocated, and with some free.  A search for a task without accelerators
 * tries the groups in this order, so that free accelerators are left to the
 * tasks that need them; a search for accelerators is confined to
 * the last group.  Within a group, a worker is in a bucket by its free CPUs,
 * rounded down to whole ones, and by its free memory.  A search starts at the
 * bucket of the need and goes upward in both dimensions.  So only workers in
 * the lowest CPU or memory bucket searched, or in the topmost ones, can have
 * too little, and the first workers found have the least to spare.  The search
 * stops after SCAN_FITTING workers that fit.  An exact best fit would pack a
 * few percent tighter, which is less than the error of the declared sizes;
 * in return, the cost of a search grows more slowly than the number of
 * workers.
 *
 * Invariant: for every worker with capacity, used <= total in each
 * resource.  place_allocate refuses anything else.  Only
 * place_allocate_unchecked does not check, since it counts allocations that
 * are in force already.
 */
#include "place.h"

#include "fault.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* A search stops after this many workers that fit. */
#define SCAN_FITTING 16
/* The same when tasks are spread: many racks have to be compared. */
#define SCAN_FITTING_SPREAD 64
/* Memory buckets that are one GiB wide; each further one is twice as wide as
   the one before. */
#define MEM_LINEAR_BUCKETS 10
/* Groups of workers: without accelerators, with all of them allocated, with
   some free. */
#define GROUP_NO_ACCELS 0
#define GROUP_ACCELS_FULL 1
#define GROUP_ACCELS_FREE 2
/* Score added for each task of the same job in the same rack.  It exceeds
   the unused fractions, which add up to at most about 3000. */
#define SAME_RACK_COST 10000
/* Score added for each task of the same job on the same worker.  It exceeds
   the unused fractions too, but spreading over racks comes first. */
#define SAME_WORKER_COST 4000

void
place_init (place_t *p)
{
  memset (p, 0, sizeof *p);
  for (int g = 0; g < PLACE_GROUPS; g++)
    for (int c = 0; c < PLACE_CPU_BUCKETS; c++)
      for (int m = 0; m < PLACE_MEM_BUCKETS; m++)
        p->head[g][c][m] = -1;
}

void
place_destroy (place_t *p)
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

int
place_count_fitting (const gl_res_t *need, const gl_res_t *room)
{
  int n = room->cpus_m / need->cpus_m;

  if (need->memory_mb && room->memory_mb / need->memory_mb < n)
    n = room->memory_mb / need->memory_mb;
  if (need->accels && room->accels / need->accels < n)
    n = room->accels / need->accels;
  return n > 0 ? n : 0;
}

gl_res_t
place_free_resources (const place_t *p, int i)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t f = { w->total.cpus_m - w->used.cpus_m,
                 w->total.memory_mb - w->used.memory_mb,
                 w->total.accels - w->used.accels };
  return f;
}

static int
cpu_bucket (int cpus_m)
{
  int b = cpus_m / 1000;

  if (b < 0)
    return 0;
  return b < PLACE_CPU_BUCKETS ? b : PLACE_CPU_BUCKETS - 1;
}

/* Whole GiB up to MEM_LINEAR_BUCKETS, then one bucket for each doubling. */
static int
mem_bucket (int memory_mb)
{
  int gib = memory_mb / 1024;
  int b = MEM_LINEAR_BUCKETS;

  if (gib < 0)
    return 0;
  if (gib < MEM_LINEAR_BUCKETS)
    return gib;
  while (gib >= 2 * MEM_LINEAR_BUCKETS && b < PLACE_MEM_BUCKETS - 1)
    {
      gib /= 2;
      b++;
    }
  return b;
}

static int
group_index (const place_worker_t *w)
{
  if (!w->total.accels)
    return GROUP_NO_ACCELS;
  return w->total.accels > w->used.accels ? GROUP_ACCELS_FREE
                                          : GROUP_ACCELS_FULL;
}

static void
unlink_worker (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];
  int *head = &p->head[w->group][w->cpu_bucket][w->mem_bucket];

  if (!w->linked)
    return;
  if (w->prev >= 0)
    p->w[w->prev].next = w->next;
  else
    *head = w->next;
  if (w->next >= 0)
    p->w[w->next].prev = w->prev;
  if (*head < 0)
    p->mem_bitmap[w->group][w->cpu_bucket]
        &= (uint16_t) ~(1u << w->mem_bucket);
  if (!p->mem_bitmap[w->group][w->cpu_bucket])
    p->cpu_bitmap[w->group] &= ~(1ULL << w->cpu_bucket);
  w->linked = 0;
}

static void
set_bucket (place_worker_t *w)
{
  w->group = (unsigned char)group_index (w);
  w->cpu_bucket = (unsigned char)cpu_bucket (w->total.cpus_m - w->used.cpus_m);
  w->mem_bucket
      = (unsigned char)mem_bucket (w->total.memory_mb - w->used.memory_mb);
}

static void
link_worker (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];
  int *head;

  if (!w->usable)
    return;
  set_bucket (w);
  head = &p->head[w->group][w->cpu_bucket][w->mem_bucket];
  w->prev = -1;
  w->next = *head;
  if (w->next >= 0)
    p->w[w->next].prev = i;
  *head = i;
  p->mem_bitmap[w->group][w->cpu_bucket] |= (uint16_t)(1u << w->mem_bucket);
  p->cpu_bitmap[w->group] |= 1ULL << w->cpu_bucket;
  w->linked = 1;
}

/* Move the worker to another list only if its bucket has changed. */
static void
update_bucket (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];
  place_worker_t updated = *w;

  set_bucket (&updated);
  if (w->linked && updated.group == w->group
      && updated.cpu_bucket == w->cpu_bucket
      && updated.mem_bucket == w->mem_bucket)
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
adjust_sums (place_t *p, const gl_res_t *r, int sign)
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
  adjust_sums (p, &w->total, -1);
  w->total = *total;
  adjust_sums (p, &w->total, 1);
  w->rack = rack;
  w->usable = (unsigned char)usable;
  link_worker (p, i);
}

static void
adjust_used (place_t *p, int i, const gl_res_t *r, int sign)
{
  place_worker_t *w = &p->w[i];

  w->used.cpus_m += sign * r->cpus_m;
  w->used.memory_mb += sign * r->memory_mb;
  w->used.accels += sign * r->accels;
  update_bucket (p, i);
}

int
place_allocate (place_t *p, int i, const gl_res_t *r)
{
  gl_res_t room = place_free_resources (p, i);

  if (!place_fits (r, &room))
    return -1;
  adjust_used (p, i, r, 1);
  return 0;
}

void
place_allocate_unchecked (place_t *p, int i, const gl_res_t *r)
{
  adjust_used (p, i, r, 1);
}

void
place_release (place_t *p, int i, const gl_res_t *r)
{
  place_worker_t *w = &p->w[i];

  adjust_used (p, i, r, -1);
  if (FAULT (FAULT_FREE_TWICE))
    return;
  assert (w->used.cpus_m >= 0 && w->used.memory_mb >= 0
          && w->used.accels >= 0);
}

static int
unused_permille (int free_amount, int need, int total)
{
  return total > 0 ? (int)((int64_t)(free_amount - need) * 1000 / total) : 0;
}

/* Score of a worker, lower is better: what would be left unused, in
   thousandths of its capacity, plus the cost of tasks of the same job in the
   same rack and on the same worker. */
static int
score (const place_t *p, int i, const place_query_t *query)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t room = place_free_resources (p, i);
  int s = unused_permille (room.cpus_m, query->need.cpus_m, w->total.cpus_m);

  s += unused_permille (room.memory_mb, query->need.memory_mb,
                        w->total.memory_mb);
  s += unused_permille (room.accels, query->need.accels, w->total.accels);
  if (query->rack_count && w->rack < query->nracks)
    s += SAME_RACK_COST * query->rack_count[w->rack];
  if (query->tasks_on_worker)
    s += SAME_WORKER_COST * query->tasks_on_worker (query->ctx, i);
  return s;
}

static int
eligible (const place_t *p, int i, const place_query_t *query)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t room;

  if (!w->usable || i == query->avoid || w->reserved > query->level)
    return 0;
  room = place_free_resources (p, i);
  if (FAULT (FAULT_OVERFILL))
    room.memory_mb = w->total.memory_mb;
  return place_fits (&query->need, &room);
}

/**
 * struct search_t - progress of a search
 * @best: best worker so far, -1 for none
 * @found: workers found that fit
 */
typedef struct
{
  int best;
  int best_score;
  int found;
} search_t;

static void
search_bucket (place_t *p, int i, const place_query_t *query, int max_found,
               search_t *s)
{
  for (; i >= 0 && s->found < max_found; i = p->w[i].next)
    {
      int sc;

      p->probes++;
      if (!eligible (p, i, query))
        continue;
      s->found++;
      sc = score (p, i, query);
      if (s->best < 0 || sc < s->best_score)
        {
          s->best = i;
          s->best_score = sc;
        }
    }
}

static void
search_group (place_t *p, int g, const place_query_t *query, search_t *s)
{
  int mem = mem_bucket (query->need.memory_mb);
  uint64_t cpus
      = p->cpu_bitmap[g] & (~0ULL << cpu_bucket (query->need.cpus_m));
  int max_found = query->rack_count ? SCAN_FITTING_SPREAD : SCAN_FITTING;

  while (cpus && s->found < max_found)
    {
      int c = __builtin_ctzll (cpus);
      unsigned int mems = p->mem_bitmap[g][c] & (~0u << mem);

      cpus &= cpus - 1;
      while (mems && s->found < max_found)
        {
          int m = __builtin_ctz (mems);

          mems &= mems - 1;
          search_bucket (p, p->head[g][c][m], query, max_found, s);
        }
    }
}

int
place_find (place_t *p, const place_query_t *query)
{
  search_t s = { -1, 0, 0 };

  for (int g = query->need.accels ? GROUP_ACCELS_FREE : GROUP_NO_ACCELS;
       g < PLACE_GROUPS && s.best < 0; g++)
    search_group (p, g, query, &s);
  return s.best;
}

int
place_random_fit (place_t *p, const place_query_t *query, int from)
{
  for (int k = 0; k < p->n; k++)
    {
      int i = (from + k) % p->n;

      p->probes++;
      if (eligible (p, i, query))
        return i;
    }
  return -1;
}

int
place_first_fit (place_t *p, const place_query_t *query)
{
  return place_random_fit (p, query, 0);
}
