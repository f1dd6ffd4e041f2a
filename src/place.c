/*
 * place.c -- index of workers by free resources, and best fit over it
 *
 * Workers fall into three groups: without accelerators, with all of them
 * taken, with some free.  A task that asks for none fills the groups in
 * this order and so leaves the accelerators to those that need them; one
 * that asks for some looks at the last group only.  Within a group a worker
 * sits in a bucket by its whole free CPUs and by its free memory.  A search
 * starts at the bucket of the need and walks upward in both, so that only
 * workers in the two border rows can fail to fit, and the first candidates
 * found are the tightest.  It stops after SCAN_ENOUGH candidates that fit:
 * the few percent that an exact best fit would add are lost in the error of
 * the declared sizes, while the cost grows more slowly than the number of
 * workers.
 *
 * Invariant: for every worker with capacity, used <= total in each
 * resource.  place_allocate refuses anything else; only
 * place_allocate_unchecked, which records what has already happened, may not
 * check.
 */
#include "place.h"

#include "fault.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Candidates that fit after which a search is content. */
#define SCAN_ENOUGH 16
#define SCAN_SPREAD 64
/* Memory buckets of one GiB each, before they double. */
#define MEM_LINEAR 10
/* Groups of workers. */
#define GROUP_PLAIN 0
#define GROUP_TAKEN 1
#define GROUP_FREE 2
/* Cost of a task of the same job in the same rack, beside the leftover
   fractions, which add up to at most about 3000. */
#define SPREAD_COST 10000
/* The same on one worker; still dearer than any leftover. */
#define CROWD_COST 4000

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

/* Whole GiB up to MEM_LINEAR, then one bucket for each doubling. */
static int
mem_bucket (int memory_mb)
{
  int gib = memory_mb / 1024;
  int b = MEM_LINEAR;

  if (gib < 0)
    return 0;
  if (gib < MEM_LINEAR)
    return gib;
  while (gib >= 2 * MEM_LINEAR && b < PLACE_MEM_BUCKETS - 1)
    {
      gib /= 2;
      b++;
    }
  return b;
}

static int
group_of (const place_worker_t *w)
{
  if (!w->total.accels)
    return GROUP_PLAIN;
  return w->total.accels > w->used.accels ? GROUP_FREE : GROUP_TAKEN;
}

static void
unlink_worker (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];
  int *head = &p->head[w->group][w->cpu][w->mem];

  if (!w->linked)
    return;
  if (w->prev >= 0)
    p->w[w->prev].next = w->next;
  else
    *head = w->next;
  if (w->next >= 0)
    p->w[w->next].prev = w->prev;
  if (*head < 0)
    p->mem_map[w->group][w->cpu] &= (uint16_t) ~(1u << w->mem);
  if (!p->mem_map[w->group][w->cpu])
    p->cpu_map[w->group] &= ~(1ULL << w->cpu);
  w->linked = 0;
}

static void
set_bucket (place_worker_t *w)
{
  w->group = (unsigned char)group_of (w);
  w->cpu = (unsigned char)cpu_bucket (w->total.cpus_m - w->used.cpus_m);
  w->mem = (unsigned char)mem_bucket (w->total.memory_mb - w->used.memory_mb);
}

static void
link_worker (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];
  int *head;

  if (!w->usable)
    return;
  set_bucket (w);
  head = &p->head[w->group][w->cpu][w->mem];
  w->prev = -1;
  w->next = *head;
  if (w->next >= 0)
    p->w[w->next].prev = i;
  *head = i;
  p->mem_map[w->group][w->cpu] |= (uint16_t)(1u << w->mem);
  p->cpu_map[w->group] |= 1ULL << w->cpu;
  w->linked = 1;
}

/* Move the worker only when its bucket changes. */
static void
relink (place_t *p, int i)
{
  place_worker_t *w = &p->w[i];
  place_worker_t now = *w;

  set_bucket (&now);
  if (w->linked && now.group == w->group && now.cpu == w->cpu
      && now.mem == w->mem)
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
place_allocate (place_t *p, int i, const gl_res_t *r)
{
  gl_res_t room = place_free_resources (p, i);

  if (!place_fits (r, &room))
    return -1;
  add_used (p, i, r, 1);
  return 0;
}

void
place_allocate_unchecked (place_t *p, int i, const gl_res_t *r)
{
  add_used (p, i, r, 1);
}

void
place_release (place_t *p, int i, const gl_res_t *r)
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
score (const place_t *p, int i, const place_query_t *want)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t room = place_free_resources (p, i);
  int s = leftover (room.cpus_m, want->need.cpus_m, w->total.cpus_m);

  s += leftover (room.memory_mb, want->need.memory_mb, w->total.memory_mb);
  s += leftover (room.accels, want->need.accels, w->total.accels);
  if (want->rack_count && w->rack < want->nracks)
    s += SPREAD_COST * want->rack_count[w->rack];
  if (want->tasks_on_worker)
    s += CROWD_COST * want->tasks_on_worker (want->ctx, i);
  return s;
}

static int
eligible (const place_t *p, int i, const place_query_t *want)
{
  const place_worker_t *w = &p->w[i];
  gl_res_t room;

  if (!w->usable || i == want->avoid || w->reserved > want->level)
    return 0;
  room = place_free_resources (p, i);
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
search_bucket (place_t *p, int i, const place_query_t *want, int enough,
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

static void
search_group (place_t *p, int g, const place_query_t *want, search_t *s)
{
  int mem = mem_bucket (want->need.memory_mb);
  uint64_t cpus = p->cpu_map[g] & (~0ULL << cpu_bucket (want->need.cpus_m));
  /* Spreading has to see many racks; packing only the tightest few. */
  int enough = want->rack_count ? SCAN_SPREAD : SCAN_ENOUGH;

  while (cpus && s->found < enough)
    {
      int c = __builtin_ctzll (cpus);
      unsigned int mems = p->mem_map[g][c] & (~0u << mem);

      cpus &= cpus - 1;
      while (mems && s->found < enough)
        {
          int m = __builtin_ctz (mems);

          mems &= mems - 1;
          search_bucket (p, p->head[g][c][m], want, enough, s);
        }
    }
}

int
place_find (place_t *p, const place_query_t *want)
{
  search_t s = { -1, 0, 0 };

  for (int g = want->need.accels ? GROUP_FREE : GROUP_PLAIN;
       g < PLACE_GROUPS && s.best < 0; g++)
    search_group (p, g, want, &s);
  return s.best;
}

int
place_random_fit (place_t *p, const place_query_t *want, int from)
{
  for (int k = 0; k < p->n; k++)
    {
      int i = (from + k) % p->n;

      p->probes++;
      if (eligible (p, i, want))
        return i;
    }
  return -1;
}

int
place_first_fit (place_t *p, const place_query_t *want)
{
  return place_random_fit (p, want, 0);
}
