/*
 * cellroom.c -- how many tasks of a step a worker can take now
 *
 * A worker is filled up to its capacity and no further, even if it would
 * accept more tasks.  Best-effort tasks count with their memory and
 * accelerators only, not with processors.  A share of each worker's processors
 * is kept for queues of priority 0.  Gangs may use that share: their tasks are
 * large, and the processors that they leave over are enough for priority 0.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Share of a worker's processors that only priority 0 and gangs may use. */
#define PRIORITY0_CPU_SHARE 0.1
/* Tasks that want a rack wait for it this many times their estimate. */
#define RACK_WAIT_FACTOR 1.0
/* Unacknowledged ends on a worker, half of what one of its answers lists, from
   which on no task of a job that cannot be written is started there. */
#define UNACKED_MAX 250

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

/* How many tasks of the step are bound to the worker. */
static int
tasks_on_worker (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  int n = 0;

  for (int i = 0; i < w->ntasks; i++)
    n += w->tasks[i].step == s->self;
  return n;
}

/* How many tasks of the step fit into @room, at most all of them. */
static int
tasks_that_fit (const cstep_t *s, const gl_res_t *room)
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

gl_res_t
room_unused (const cworker_t *w)
{
  return (gl_res_t){ w->info.capacity.cpus_m - w->used.cpus_m,
                     w->info.capacity.memory_mb - w->used.memory_mb,
                     w->info.capacity.accels - w->used.accels };
}

int
room_is_overcommitted (const gl_res_t *unused)
{
  return unused->cpus_m < 0 || unused->memory_mb < 0 || unused->accels < 0;
}

/* Whether ends of the step's job would hold up those of others on the worker:
   ends are acknowledged in their order, and the job's cannot be written. */
static int
would_clog (const cell_t *c, const cstep_t *s, const cworker_t *w)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);

  return w->nunacked >= UNACKED_MAX && j && j->refusals;
}

/* Whether the step may use the worker, regardless of room. */
static int
is_eligible (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
             const cworker_t *w)
{
  return cworker_usable (c, w) && !strcmp (w->info.service, q->service)
         && room_has_label (w, s->def->label) && !would_clog (c, s, w);
}

int
room_when_empty (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
                 int worker)
{
  const cworker_t *w = &c->workers[worker];

  return is_eligible (c, s, q, w) ? tasks_that_fit (s, &w->info.capacity) : 0;
}

int
room_unreserved (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
                 int worker)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t room = room_unused (w);
  int n = room_is_overcommitted (&room) ? 0 : tasks_that_fit (s, &room);

  return n && is_eligible (c, s, q, w) ? n : 0;
}

int
room_is_unreserved (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t reserved;

  if (!w->nreservations)
    return 1;
  reserved = reserved_by_others (c, s, worker);
  return w->info.capacity.cpus_m - w->used.cpus_m - reserved.cpus_m
             >= s->def->need.cpus_m
         && w->info.capacity.memory_mb - w->used.memory_mb - reserved.memory_mb
                >= s->def->need.memory_mb
         && w->info.capacity.accels - w->used.accels - reserved.accels
                >= s->def->need.accels;
}

/* Resources are compared before service and label names, which takes longer:
   this runs for every step and worker, and on a busy cell most workers have no
   room. */
int
room_for (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int worker)
{
  const cworker_t *w = &c->workers[worker];
  gl_res_t room = room_unused (w);
  int n;

  if (room_is_overcommitted (&room))
    return 0;
  if (q->priority > 0 && !s->def->gang && !s->starved)
    room.cpus_m -= (int)(w->info.capacity.cpus_m * PRIORITY0_CPU_SHARE);
  n = tasks_that_fit (s, &room);
  if (!n || !is_eligible (c, s, q, w) || !crash_allows (c, s, worker))
    return 0;
  if (q->priority > 0 && w->nreservations)
    {
      gl_res_t reserved = reserved_by_others (c, s, worker);

      room.cpus_m -= reserved.cpus_m;
      room.memory_mb -= reserved.memory_mb;
      room.accels -= reserved.accels;
      n = tasks_that_fit (s, &room);
    }
  if (s->def->per_worker && n > 0)
    {
      int allowed = (int)s->def->per_worker - tasks_on_worker (c, s, worker);

      n = allowed < n ? allowed : n;
    }
  return n > 0 ? n : 0;
}

int
room_on_wanted_rack (const cworker_t *w, const cstep_t *s)
{
  return !s->def->rack || !s->def->rack[0] || room_has_label (w, s->def->rack);
}

int
room_waits_for_rack (const cell_t *c, const cstep_t *s)
{
  return (double)(c->now - s->ready_at)
         < RACK_WAIT_FACTOR * s->def->estimate_ms;
}
