/*
 * cellplan.c -- which waiting task goes where
 *
 * Waiting steps are served by priority, then by age.  A step of an advised
 * queue may only use workers for which it holds a ticket; see
 * cellconsult.c.  Tasks go to the fullest worker that fits, so that wide
 * tasks find room.  A gang starts whole or not at all; room is held for it
 * meanwhile, see cellhold.c.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Least time between two passes; with many waiting steps it is longer, since
   the cost of a pass grows with them. */
#define PLAN_GAP_MS 3
#define STEPS_A_MS 40
#define TICK_MS 100
/* Searches of all workers that one pass may make, so that a long list of
   waiting steps cannot hold the control thread; the next pass goes on. */
#define SCANS_A_PASS 8
/* Runs that an earlier owner can have started without a trace. */
#define UNSEEN_RUNS 100

void
plan_wake (cell_t *c)
{
  c->plan_due = 1;
}

const cell_queue_t *
plan_queue (const cell_t *c, const cjob_t *j)
{
  return j->queue >= 0 ? &c->conf.queues[j->queue] : NULL;
}

/* ---- placing ---- */

/* Near before far, then what is held for nobody else, fast before slow, full
   before empty. */
static int
better (const cell_t *c, const cstep_t *s, int a, int b)
{
  const cworker_t *x = &c->workers[a];
  const cworker_t *y = &c->workers[b];
  int near = room_on_wanted_rack (x, s) - room_on_wanted_rack (y, s);
  int rank = health_speed_class (x) - health_speed_class (y);

  if (near)
    return near > 0;
  if (x->nreservations || y->nreservations)
    {
      int clear = room_is_unreserved (c, s, a) - room_is_unreserved (c, s, b);

      if (clear)
        return clear > 0;
    }
  if (rank)
    return rank < 0;
  return x->info.capacity.cpus_m - x->used.cpus_m
         < y->info.capacity.cpus_m - y->used.cpus_m;
}

/* The best worker with room for one more task; @rack -1 for any rack, @avoid
   a worker that is taken only if there is no other. */
static int
choose (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int rack,
        int avoid)
{
  int n = q->advised ? s->ntickets : c->nworkers;
  int best = -1;

  for (int i = 0; i < n; i++)
    {
      int w = q->advised ? s->tickets[i].worker : i;

      if ((rack >= 0 && c->workers[w].rack != rack)
          || (best >= 0 && best != avoid && w == avoid)
          || (best >= 0 && best != avoid && !better (c, s, w, best))
          || !room_for (c, s, q, w))
        continue;
      if (!room_on_wanted_rack (&c->workers[w], s)
          && room_waits_for_rack (c, s))
        continue;
      best = w;
    }
  return best;
}

static int
may_start (const cell_t *c, const ctask_t *t)
{
  return t->state == CT_WAITING
         && (!t->inherited || c->census_complete
             || FAULT (FAULT_CELL_NO_CENSUS));
}

/* The number of a task's next run.  An earlier owner may have started runs
   that nobody has seen; theirs are lower. */
static uint32_t
next_run (const ctask_t *t)
{
  return t->run + (t->inherited ? UNSEEN_RUNS : 0) + 1;
}

static void
place_singles (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  for (uint32_t i = 0; i < s->def->count && s->nwaiting; i++)
    {
      ctask_t *t = &s->tasks[i];
      int w;

      if (!may_start (c, t))
        continue;
      w = choose (c, s, q, -1, t->failed_worker);
      if (w < 0)
        return;
      if (ctask_bind (c, s, i, w))
        return;
      t->run = next_run (t);
      cworker_start (c, s, i, consult_ticket (s, w));
    }
}

/* Whether the workers that it may use can take all of a gang together. */
static int
has_room (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int rack)
{
  int n = q->advised ? s->ntickets : c->nworkers;
  int sum = 0;

  for (int i = 0; i < n && sum < (int)s->def->count; i++)
    {
      int w = q->advised ? s->tickets[i].worker : i;

      if (rack < 0 || c->workers[w].rack == rack)
        sum += room_for (c, s, q, w);
    }
  return sum >= (int)s->def->count;
}

/* Workers for all tasks of a gang, bound one by one as they are chosen;
   all are given back when one finds none. */
static int
bind_gang (cell_t *c, cstep_t *s, const cell_queue_t *q, int rack)
{
  uint32_t n;

  if (!has_room (c, s, q, rack))
    return 0;
  for (n = 0; n < s->def->count; n++)
    {
      int w = choose (c, s, q, rack, s->tasks[n].failed_worker);

      if (w < 0 || ctask_bind (c, s, n, w))
        break;
    }
  if (n == s->def->count)
    return 1;
  while (n-- > 0)
    {
      s->nwaiting++;
      ctask_unbind (c, s, n);
    }
  return 0;
}

static void
place_gang (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  uint32_t run = 0;
  char saved[sizeof s->tasks->checkpoint] = "";
  int bound = 0;

  if (s->nwaiting < s->def->count)
    return;
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      if (!may_start (c, &s->tasks[i]))
        return;
      if (next_run (&s->tasks[i]) > run)
        run = next_run (&s->tasks[i]);
      if (s->tasks[i].checkpoint[0])
        cell_strcpy (saved, s->tasks[i].checkpoint);
    }
  for (int r = 0; s->def->same_rack && r < c->nracks && !bound; r++)
    bound = bind_gang (c, s, q, r);
  if (!bound && (!s->def->same_rack || !room_waits_for_rack (c, s)))
    bound = bind_gang (c, s, q, -1);
  if (!bound)
    return;
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      s->tasks[i].run = run;
      cell_strcpy (s->tasks[i].checkpoint, saved);
      reserve_drop (c, s);
      cworker_start (c, s, i, consult_ticket (s, s->tasks[i].worker));
    }
}

/* ---- the pass ---- */

/* Something of it could start if there were room; until the census is whole
   that need not be so, and its questions would take the advisor's time. */
static int
is_startable (const cell_t *c, const cstep_t *s)
{
  uint32_t n = 0;

  if (c->census_complete)
    return 1;
  for (uint32_t i = 0; i < s->def->count; i++)
    n += (uint32_t)may_start (c, &s->tasks[i]);
  return s->def->gang ? n == s->def->count : n > 0;
}

static void
plan_step (cell_t *c, cstep_t *s)
{
  cjob_t *j = cstep_job (c, s);
  const cell_queue_t *q = plan_queue (c, j);

  if (!q || j->next_phase >= GL_PHASE_COMPLETED || !is_startable (c, s))
    return;
  if (q->advised)
    consult_drop_expired (c, s);
  if (q->advised && s->consults_out && !s->ntickets)
    return;
  if (j->durable)
    {
      if (s->def->gang)
        place_gang (c, s, q);
      else
        place_singles (c, s, q);
    }
  /* A job that is not written yet uses no tickets, so a few will do. */
  if (q->advised && s->nwaiting && (j->durable || !s->ntickets))
    consult_step (c, s, q);
}

static int
priority_of (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);

  return q && q->priority >= 0 && q->priority < CELL_PRIORITIES
             ? q->priority
             : CELL_PRIORITIES;
}

/* A step that cannot be in time any more goes behind others; its line tells
   why it waits. */
static void
note_rank (cell_t *c, cstep_t *s)
{
  int rank = due_lateness (c, s);
  const cjob_t *j = cstep_job (c, s);

  if (rank > s->lateness)
    cell_log (c,
              "step_late id=%s turn=%u step=%u waiting=%u rank=%d "
              "age_ms=%llu",
              j->id, s->iteration, s->index, s->nwaiting, rank,
              (unsigned long long)(c->now - j->arrived_at));
  s->lateness = rank;
}

static void
drop_done (cell_t *c)
{
  size_t n = 0;

  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      if (s && s->nwaiting)
        c->waiting.v[n++] = c->waiting.v[i];
      else if (s)
        s->in_waiting = 0;
    }
  c->waiting.n = n;
}

void
plan_run (cell_t *c)
{
  gl_ms_t next;
  unsigned int present = 0;

  if (!c->plan_due || c->role != CR_OWNER || c->release_tag)
    return;
  next = c->planned_at + PLAN_GAP_MS + c->waiting.n / STEPS_A_MS;
  if (c->now < next)
    {
      timer_arm_before (&c->timers, c->plan_timer, next);
      return;
    }
  c->plan_due = 0;
  c->planned_at = c->now;
  drop_done (c);
  reserve_pass (c);
  c->scans_left = SCANS_A_PASS;
  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      note_rank (c, s);
      present |= 1u << priority_of (c, s);
    }
  for (int p = 0; p <= CELL_PRIORITIES; p++)
    for (int rank = 0; present & 1u << p && rank <= DUE_LATENESS_MAX; rank++)
      for (size_t i = 0; i < c->waiting.n; i++)
        {
          cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

          if (s && s->nwaiting && s->lateness == rank
              && priority_of (c, s) == p)
            plan_step (c, s);
        }
  timer_arm_before (&c->timers, c->plan_timer, c->now + TICK_MS);
}

void
plan_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  (void)now;
  c->plan_due = 1;
}

void
plan_reset (cell_t *c)
{
  memset (c->consults, 0, sizeof c->consults);
  for (int i = 0; i < c->nvms; i++)
    c->vms[i].busy_ms = 0;
  c->waiting.n = 0;
}
