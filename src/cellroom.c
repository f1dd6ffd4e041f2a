/*
 * cellroom.c -- how many tasks of a step a worker can take now
 *
 * A worker is filled to its capacity and no further, whatever it would
 * accept.  Tasks that fill take no processors, only memory.  A share of the
 * processors is kept for the first priority, except from gangs: theirs are
 * large tasks, and what is left beside them is room enough.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Share of a worker's processors that only the first priority may use. */
#define URGENT_SHARE 0.1
/* Tasks that want a rack wait this long for it, in parts of their estimate. */
#define RACK_PATIENCE 1.0

int
room_has_label (const cworker_t *w, const char *label)
{
  if (!label || !label[0])
    return 1;
  for (int i = 0; i < w->info.nlabels; i++)
    if (!strcmp (w->info.labels[i], label))
      return 1;
  return 0;
}

static int
on_worker (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  int n = 0;

  for (int i = 0; i < w->ntasks; i++)
    n += w->tasks[i].step == s->self;
  return n;
}

static int
times (const cstep_t *s, const gl_res_t *room)
{
  const gl_res_t *need = &s->def->need;
  int n = (int)s->def->count;

  if (need->cpus_m > 0 && !s->def->best_effort
      && room->cpus_m / need->cpus_m < n)
    n = room->cpus_m / need->cpus_m;
  if (need->memory_mb > 0 && room->memory_mb / need->memory_mb < n)
    n = room->memory_mb / need->memory_mb;
  if (need->accels > 0 && room->accels / need->accels < n)
    n = room->accels / need->accels;
  return n > 0 ? n : 0;
}

static int
is_fit (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
        const cworker_t *w)
{
  return cworker_usable (c, w) && !strcmp (w->info.service, q->service)
         && room_has_label (w, s->def->label);
}

int
room_when_empty (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
                 int worker)
{
  const cworker_t *w = &c->workers[worker];

  return is_fit (c, s, q, w) ? times (s, &w->info.capacity) : 0;
}

int
room_is_unreserved (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t held;

  if (!w->nreservations)
    return 1;
  held = reserved_by_others (c, s, worker);
  return w->info.capacity.cpus_m - w->used.cpus_m - held.cpus_m
             >= s->def->need.cpus_m
         && w->info.capacity.memory_mb - w->used.memory_mb - held.memory_mb
                >= s->def->need.memory_mb
         && w->info.capacity.accels - w->used.accels - held.accels
                >= s->def->need.accels;
}

/* The numbers are compared before the names: on a busy cell most workers
   have no room, and this is asked for every step and worker. */
int
room_for (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int worker)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t room = { w->info.capacity.cpus_m - w->used.cpus_m,
                    w->info.capacity.memory_mb - w->used.memory_mb,
                    w->info.capacity.accels - w->used.accels };
  int n;

  if (q->priority > 0 && !s->def->gang)
    room.cpus_m -= (int)(w->info.capacity.cpus_m * URGENT_SHARE);
  n = times (s, &room);
  if (!n || !is_fit (c, s, q, w))
    return 0;
  if (q->priority > 0 && w->nreservations)
    {
      gl_res_t held = reserved_by_others (c, s, worker);

      room.cpus_m -= held.cpus_m;
      room.memory_mb -= held.memory_mb;
      room.accels -= held.accels;
      n = times (s, &room);
    }
  if (s->def->per_worker && n > 0)
    {
      int left = (int)s->def->per_worker - on_worker (c, s, worker);

      n = left < n ? left : n;
    }
  return n > 0 ? n : 0;
}

int
room_on_wanted_rack (const cworker_t *w, const cstep_t *s)
{
  return !s->def->rack || !s->def->rack[0] || room_has_label (w, s->def->rack);
}

/* Whether it should go on waiting for a worker on its rack. */
int
room_waits_for_rack (const cell_t *c, const cstep_t *s)
{
  return (double)(c->now - s->ready_at) < RACK_PATIENCE * s->def->estimate_ms;
}
