/*
 * cellplan.c -- which worker gets which waiting task
 *
 * A planning pass serves the waiting steps by priority, then by lateness (see
 * celldue.c), then by age; where teams are configured, in the order of
 * cellshare.c.  A step of an advised queue may only use workers
 * for which it holds a ticket; see cellconsult.c.  Each task goes to the
 * fullest worker that has room for it, so that large tasks find room on the
 * others.  The tasks of a gang start all together or not at all; room is
 * reserved for a gang that waits, see cellhold.c.
 */
#include "cellint.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Shortest time between two planning passes.  It grows by 1 ms for each
   STEPS_PER_MS waiting steps, since they make a pass take longer. */
#define PASS_INTERVAL_MIN_MS 3
#define STEPS_PER_MS 40
/* Work waits for room when there has been none for it for this long.  Room
   that others have taken since the advisor's decision costs less. */
#define SHORT_OF_ROOM_MS 200
/* Work that waits for tickets waits for room when this many consultations and
   SHORT_OF_ROOM_MS would have been over. */
#define CONSULTS_WITHOUT_ROOM 3
/* Where teams are configured, a step starts at most so many tasks in a row
   while it is the turn of its team, so that a wide step does not take all
   room. */
#define TASKS_PER_TURN 16
/* The next pass follows after this time at the latest. */
#define TICK_MS 100
/* The same while steps are put off. */
#define PUT_OFF_TICK_MS 20
/* Searches of all workers for a consultation that one pass may make, so that a
   long list of waiting steps cannot block the control thread.  The remaining
   steps are put off to later passes. */
#define SCANS_PER_PASS 8
/* Of these, searches for the steps that were put off, in turn.  The others go
   to the first steps, which may find nothing each time. */
#define SCANS_BY_TURN 2
/* Bound on the runs of one task that an earlier owner has started and of which
   this owner knows nothing. */
#define UNSEEN_RUNS_MAX 100
/* A step that has waited this long although nothing of its job runs is logged,
   and again after as long; at most IDLE_LINES_PER_PASS in one pass. */
#define IDLE_LOG_MS 1000
#define IDLE_LINES_PER_PASS 4

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

/* ---- placement ---- */

/* Whether worker @a suits the step better than @b: for a suspect step, the one
   on which a crash ends fewer runs; else one on the wanted rack
   first, then one with room that is not reserved for others, then the faster
   one, then one where tasks slow each other down less, then the one with fewer
   free processors.  Steps with time to spare take the faster one, too: where
   they left it to urgent steps, no fewer of those were late
   (Speeds.UrgentJobsGetFastWorkers). */
static int
is_better (const cell_t *c, const cstep_t *s, int a, int b)
{
  const cworker_t *x = &c->workers[a];
  const cworker_t *y = &c->workers[b];
  int rack_diff = room_on_wanted_rack (x, s) - room_on_wanted_rack (y, s);
  int speed_diff = health_speed_class (c, x) - health_speed_class (c, y);

  if (x->ntasks != y->ntasks && crash_is_suspect (c, s))
    return x->ntasks < y->ntasks;
  if (rack_diff)
    return rack_diff > 0;
  if (x->nreservations || y->nreservations)
    {
      int unreserved_diff
          = room_is_unreserved (c, s, a) - room_is_unreserved (c, s, b);

      if (unreserved_diff)
        return unreserved_diff > 0;
    }
  if (speed_diff)
    return speed_diff < 0;
  if (c->pairs && !c->pairs_ignored)
    {
      double slower
          = health_interference (c, s, x) - health_interference (c, s, y);

      if (slower < 0 || slower > 0)
        return slower < 0;
    }
  return x->info.capacity.cpus_m - x->used.cpus_m
         < y->info.capacity.cpus_m - y->used.cpus_m;
}

/* The best worker with room for one more task of the step, or -1; @rack is -1
   for any rack, and @avoid is taken only if there is no other. */
static int
choose_worker (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
               int rack, int avoid)
{
  int n = q->advised ? s->ntickets : c->nworkers;
  int best = -1;

  for (int i = 0; i < n; i++)
    {
      int w = q->advised ? s->tickets[i].worker : i;

      if ((rack >= 0 && c->workers[w].rack != rack)
          || (best >= 0 && best != avoid && w == avoid)
          || (best >= 0 && best != avoid && !is_better (c, s, w, best))
          || !room_for (c, s, q, w))
        continue;
      if (!room_on_wanted_rack (&c->workers[w], s)
          && room_waits_for_rack (c, s))
        continue;
      best = w;
    }
  return best;
}

/* As choose_worker, and counts the tasks that are placed elsewhere so that
   tasks do not slow each other down. */
static int
choose_worker_apart (cell_t *c, const cstep_t *s, const cell_queue_t *q,
                     int rack, int avoid)
{
  int w = choose_worker (c, s, q, rack, avoid);

  if (w < 0 || !c->pairs || !pairs_concern (c->pairs, s->run_class, c->now))
    return w;
  c->pairs_ignored = 1;
  c->counters.placements_changed += choose_worker (c, s, q, rack, avoid) != w;
  c->pairs_ignored = 0;
  return w;
}

/* Whether the task waits and no run of it by an earlier owner can still be in
   progress. */
static int
may_start (const cell_t *c, const ctask_t *t)
{
  return t->state == CT_WAITING
         && (!t->inherited || c->census_complete
             || FAULT (FAULT_CELL_NO_CENSUS));
}

/* The number of a task's next run, higher than those of runs that an earlier
   owner may have started and of which this owner knows nothing. */
static uint32_t
next_run (const ctask_t *t)
{
  return t->run + (t->inherited ? UNSEEN_RUNS_MAX : 0) + 1;
}

/* Whether the team's cap allows one task of the step, or the whole gang, while
   nothing else of the team runs. */
static int
fits_cap (cell_t *c, const cstep_t *s)
{
  const gl_res_t need = cstep_need (s);

  return share_cap_fits (&c->conf.teams, cstep_job (c, s)->team, &need,
                         s->def->gang ? (int)s->def->count : 1);
}

/* Whether the room that is left of the team's cap is kept for a gang of it. */
static int
team_is_held (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);

  return c->shares.on && share_is_held (&c->shares, &c->conf.teams, j->team);
}

static void
place_tasks (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  for (uint32_t i = 0; i < s->def->count && s->nwaiting; i++)
    {
      ctask_t *t = &s->tasks[i];
      int w;

      if (!may_start (c, t) || crash_holds (c, s, i))
        continue;
      if (flow_is_behind (c))
        {
          c->counters.starts_held++;
          return;
        }
      if (c->turn_left <= 0)
        return;
      if (!cstep_cap_room (c, s, 1) || team_is_held (c, s))
        {
          s->capped = 1;
          return;
        }
      w = choose_worker_apart (c, s, q, -1, t->failed_worker);
      if (w < 0 && (!q->advised || s->ntickets))
        {
          cstep_note_short (c, s);
          return;
        }
      if (w < 0)
        return;
      if (ctask_bind (c, s, i, w, 1))
        return;
      s->short_since = 0;
      s->starved = 0;
      c->turn_left--;
      t->run = next_run (t);
      cworker_start (c, s, i, consult_ticket (s, w));
    }
}

/* Whether the workers that the gang may use have room for all its tasks
   together; @rack is -1 for any rack. */
static int
has_gang_room (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
               int rack)
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

/* Bind all tasks of a gang to workers, one by one.  If one of them finds no
   worker, the others are unbound again.  Returns 1 if all are bound. */
static int
bind_gang (cell_t *c, cstep_t *s, const cell_queue_t *q, int rack)
{
  cjob_t *j = cstep_job (c, s);
  gl_ms_t idle_since = j->idle_since;
  uint32_t n;

  if (!has_gang_room (c, s, q, rack))
    return 0;
  for (n = 0; n < s->def->count; n++)
    {
      int w = choose_worker_apart (c, s, q, rack, s->tasks[n].failed_worker);

      if (w < 0 || ctask_bind (c, s, n, w, 1))
        break;
    }
  if (n == s->def->count)
    return 1;
  while (n-- > 0)
    {
      s->nwaiting++;
      ctask_unbind (c, s, n);
    }
  j->idle_since = idle_since;
  return 0;
}

/* Start the gang if its workers have room for all of it, on one rack if it
   asks for that and has not waited too long.  All members get the same run
   number and resume from the same checkpoint. */
static void
place_gang (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  uint32_t run = 0;
  char checkpoint[sizeof s->tasks->checkpoint] = "";
  int bound = 0;

  if (s->nwaiting < s->def->count || flow_is_behind (c)
      || crash_holds (c, s, 0))
    return;
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      if (!may_start (c, &s->tasks[i]))
        return;
      if (next_run (&s->tasks[i]) > run)
        run = next_run (&s->tasks[i]);
      if (s->tasks[i].checkpoint[0])
        cell_strcpy (checkpoint, s->tasks[i].checkpoint);
    }
  if (cstep_cap_room (c, s, (int)s->def->count) < (int)s->def->count)
    {
      const cjob_t *j = cstep_job (c, s);

      s->capped = 1;
      if (!shares_reserve (&c->shares, j->team))
        c->shares.v[j->team + 1].held |= fits_cap (c, s);
      return;
    }
  for (int r = 0; s->def->same_rack && r < c->nracks && !bound; r++)
    bound = bind_gang (c, s, q, r);
  if (!bound && (!s->def->same_rack || !room_waits_for_rack (c, s)))
    bound = bind_gang (c, s, q, -1);
  if (!bound)
    {
      /* A gang of an advised queue without tickets was not tried. */
      if (!q->advised || s->ntickets)
        cstep_note_short (c, s);
      return;
    }
  s->short_since = 0;
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      s->tasks[i].run = run;
      cell_strcpy (s->tasks[i].checkpoint, checkpoint);
      reserve_drop (c, s);
      cworker_start (c, s, i, consult_ticket (s, s->tasks[i].worker));
    }
}

/* ---- planning pass ---- */

/* Whether a task of the step, or the whole gang, could start if there were
   room.  Until the census is complete this may be false, and consultations for
   such a step would waste the advisor's time. */
static int
may_start_any (const cell_t *c, const cstep_t *s)
{
  uint32_t n = 0;

  if (c->census_complete)
    return 1;
  for (uint32_t i = 0; i < s->def->count; i++)
    n += (uint32_t)may_start (c, &s->tasks[i]);
  return s->def->gang ? n == s->def->count : n > 0;
}

void
cstep_note_short (const cell_t *c, cstep_t *s)
{
  if (!s->short_since)
    s->short_since = c->now;
}

static void
plan_step (cell_t *c, cstep_t *s)
{
  cjob_t *j = cstep_job (c, s);
  const cell_queue_t *q = plan_queue (c, j);

  if (!q || j->next_phase >= GL_PHASE_COMPLETED || !may_start_any (c, s))
    return;
  if (q->advised)
    consult_drop_expired (c, s);
  if (q->advised && s->consults_in_flight && !s->ntickets)
    return;
  if (j->durable)
    {
      if (s->def->gang)
        place_gang (c, s, q);
      else
        place_tasks (c, s, q);
    }
  /* A job that is not durable yet cannot use tickets: it is consulted for only
     while it has none. */
  if (q->advised && s->nwaiting && (j->durable || !s->ntickets) && !s->capped
      && c->turn_left > 0 && !flow_is_behind (c))
    consult_step (c, s, q);
}

/* The leases of a worker that does not answer end at a known time, and its
   tasks wait from then on: the advisor is consulted for their steps early
   enough for tickets to be there by that time. */
static void
consult_before_leases_end (cell_t *c)
{
  c->scans_left = SCANS_BY_TURN;
  for (int i = 0; i < c->nworkers; i++)
    {
      const cworker_t *w = &c->workers[i];

      for (int k = 0; w->silent && !w->dead && k < w->ntasks; k++)
        {
          cstep_t *s = pool_get (&c->steps, w->tasks[k].step);
          cjob_t *j = cstep_job (c, s);
          const cell_queue_t *q = plan_queue (c, j);

          if (q && q->advised && !s->nwaiting && !s->def->gang && j->durable
              && j->next_phase < GL_PHASE_COMPLETED)
            consult_ahead (c, s, q, census_lease_remaining (c, w));
        }
    }
}

/* Workers that the step may use, regardless of room. */
static int
count_allowed (const cell_t *c, const cstep_t *s, const cell_queue_t *q)
{
  int n = 0;

  for (int i = 0; i < c->nworkers; i++)
    n += (!q->advised || consult_verdict (s, i) == 1)
         && room_when_empty (c, s, q, i);
  return n;
}

/* What the step waits for. */
static const char *
why_waiting (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);

  if (!q)
    return "queue_unknown";
  if (!j->durable)
    return "not_written";
  if (!may_start_any (c, s))
    return "census";
  if (s->capped)
    return "team_cap";
  if (q->advised && s->consults_in_flight)
    return "advisor";
  if (!count_allowed (c, s, q))
    return "no_worker";
  return q->advised && !s->ntickets ? "ticket" : "room";
}

/* Log the reason for a step that waits although nothing of its job runs;
   returns 1 if a line was written. */
static int
log_idle (cell_t *c, cstep_t *s)
{
  const cjob_t *j = cstep_job (c, s);

  if (!s->nwaiting || j->nbound || j->next_phase >= GL_PHASE_COMPLETED
      || c->now < s->ready_at + IDLE_LOG_MS
      || c->now < s->idle_logged_at + IDLE_LOG_MS)
    return 0;
  s->idle_logged_at = c->now;
  cell_log (c,
            "step_waits id=%s iteration=%u step=%u waiting=%u age_ms=%llu "
            "inherited=%d why=%s",
            j->id, s->iteration, s->index, s->nwaiting,
            (unsigned long long)(c->now - s->ready_at), j->inherited,
            why_waiting (c, s));
  return 1;
}

/* The step's priority; CELL_PRIORITIES if its queue is not known or has a
   priority outside the range. */
static int
priority_of (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);

  return q && q->priority >= 0 && q->priority < CELL_PRIORITIES
             ? q->priority
             : CELL_PRIORITIES;
}

/* Compute the step's lateness for this pass.  A step that becomes later is
   served after others; the log line says why it waits. */
static void
update_lateness (cell_t *c, cstep_t *s)
{
  int lateness = due_lateness (c, s);
  const cjob_t *j = cstep_job (c, s);

  if (lateness > s->lateness)
    cell_log (c,
              "step_late id=%s iteration=%u step=%u waiting=%u lateness=%d "
              "age_ms=%llu",
              j->id, s->iteration, s->index, s->nwaiting, lateness,
              (unsigned long long)(c->now - j->arrived_at));
  s->lateness = lateness;
}

/* Remove the steps without waiting tasks from the list of waiting steps. */
static void
drop_placed_steps (cell_t *c)
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

/* The step that was put off in this pass and whose last search was longest
   ago, or NULL. */
static cstep_t *
first_put_off (cell_t *c)
{
  cstep_t *first = NULL;

  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      if (s && s->put_off && (!first || s->searched_at < first->searched_at))
        first = s;
    }
  return first;
}

/* Search for the steps whose turn it is; returns 1 if some are left. */
static int
serve_put_off (cell_t *c)
{
  cstep_t *s = NULL;

  c->scans_left += SCANS_BY_TURN;
  for (int i = 0; i < SCANS_BY_TURN && (s = first_put_off (c)); i++)
    {
      s->put_off = 0;
      plan_step (c, s);
    }
  return s != NULL;
}

/* Serve the waiting steps by priority, lateness and age. */
static void
plan_by_age (cell_t *c, unsigned int priorities_present)
{
  for (int p = 0; p <= CELL_PRIORITIES; p++)
    for (int late = 0;
         priorities_present & 1u << p && late <= DUE_LATENESS_MAX; late++)
      for (size_t i = 0; i < c->waiting.n; i++)
        {
          cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

          if (s && s->nwaiting && s->lateness == late
              && priority_of (c, s) == p)
            plan_step (c, s);
        }
}

/* Serve the waiting steps in the order of cellshare.c; -1 without memory. */
static int
plan_by_share (cell_t *c)
{
  cturn_t *v = calloc (c->waiting.n + 1, sizeof *v);
  size_t n = 0;
  cturns_t turns;
  cturn_t *turn;
  int again = 0;

  if (!v)
    return -1;
  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);
      const cjob_t *j = cstep_job (c, s);

      if (s->nwaiting)
        v[n++] = (cturn_t){
          priority_of (c, s), j->beyond, s->lateness, j->team, 0, i, s
        };
    }
  if (turns_begin (&turns, &c->conf.teams, v, n))
    return -1;
  while ((turn = turns_next (&turns, &c->shares, &c->conf.teams, again)))
    {
      cstep_t *s = turn->item;

      again = 0;
      if (!s->nwaiting)
        continue;
      c->turn_left = TASKS_PER_TURN;
      plan_step (c, s);
      again = c->turn_left <= 0 && s->nwaiting;
      /* Otherwise the team with the smallest share would take all searches of
         a pass for its own steps, which have no tickets yet. */
      if (s->consults_in_flight && !shares_reserve (&c->shares, turn->team))
        {
          const gl_res_t need = cstep_need (s);

          csum_add (&c->shares.v[turn->team + 1].planned, &need, s->nwaiting);
        }
    }
  c->turn_left = INT_MAX;
  shares_clear_planned (&c->shares);
  turns_end (&turns);
  return 0;
}

/* Whether the step waits for room: there has been none for a while, or it
   waits for much longer than the advisor takes. */
static int
waits_for_room (cell_t *c, const cstep_t *s, const cell_queue_t *q)
{
  double consult_ms = q->advised ? due_consult_ms (q) : 0;

  if (s->short_since)
    return c->now >= s->short_since + SHORT_OF_ROOM_MS;
  return q->advised
         && (double)(c->now - s->ready_at)
                > CONSULTS_WITHOUT_ROOM * consult_ms + SHORT_OF_ROOM_MS;
}

/* Keep what the pass has shown of the teams: which wait for their caps, and of
   which priorities work waits for room.  In a cell of which half is free, what
   waits for room needs much at once, or workers of a kind, so that refusing
   other work would not help it. */
static void
note_shares (cell_t *c)
{
  cshares_t *sh = &c->shares;

  sh->short_of_room = 0;
  for (int i = 0; i < sh->n; i++)
    sh->v[i].capped = 0;
  for (size_t i = 0; i < c->waiting.n; i++)
    {
      const cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);
      const cjob_t *j = s ? cstep_job (c, s) : NULL;
      const cell_queue_t *q = s ? plan_queue (c, j) : NULL;

      if (!q || !s->nwaiting || !j->durable
          || j->next_phase >= GL_PHASE_COMPLETED)
        continue;
      if (s->capped && !shares_reserve (sh, j->team))
        sh->v[j->team + 1].capped |= fits_cap (c, s);
      else if (may_start_any (c, s) && waits_for_room (c, s, q))
        sh->short_of_room |= 1u << priority_of (c, s);
    }
  if (!shares_half_taken (sh))
    sh->short_of_room = 0;
  for (int i = 0; i < sh->n; i++)
    if (share_note_pass (sh, &c->conf.teams, i - 1, c->now))
      cell_log (c,
                "team_state team=%s at_cap=%d over_rate=%d cpus=%lld "
                "memory_mb=%lld refused=%llu",
                i ? c->conf.teams.v[i - 1].name : "-", sh->v[i].capped,
                sh->v[i].over, (long long)sh->v[i].used.cpus_m / 1000,
                (long long)sh->v[i].used.memory_mb,
                (unsigned long long)sh->v[i].refused);
  sh->noted_at = c->now;
}

int
plan_admits (cell_t *c, int team, const cell_queue_t *q, int *beyond,
             uint32_t *retry_ms)
{
  cshares_t *sh = &c->shares;
  int p = q->priority >= 0 && q->priority < CELL_PRIORITIES ? q->priority
                                                            : CELL_PRIORITIES;

  *beyond = 0;
  if (!sh->on || share_take_token (sh, &c->conf.teams, team, c->now))
    return 1;
  *beyond = 1;
  if (!(sh->short_of_room & ((2u << p) - 1))
      && !(sh->v[team + 1].capped_since
           && c->now >= sh->v[team + 1].capped_since + SHORT_OF_ROOM_MS))
    return 1;
  sh->v[team + 1].refused++;
  *retry_ms = share_retry_ms (sh, &c->conf.teams, team);
  plan_wake (c);
  return 0;
}

void
plan_run (cell_t *c)
{
  gl_ms_t next;
  unsigned int priorities_present = 0;
  int idle_lines = 0;
  int some_put_off;

  if (!c->plan_due || c->role != CR_OWNER || c->releasing)
    return;
  next = c->planned_at + PASS_INTERVAL_MIN_MS + c->waiting.n / STEPS_PER_MS;
  if (c->now < next)
    {
      timer_arm_before (&c->timers, c->plan_timer, next);
      return;
    }
  c->plan_due = 0;
  c->planned_at = c->now;
  drop_placed_steps (c);
  census_count_hidden (c);
  reserve_pass (c);
  crash_plan_begin (c);
  c->scans_left = SCANS_PER_PASS - SCANS_BY_TURN;
  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      s->put_off = 0;
      s->capped = 0;
      update_lateness (c, s);
      due_update_starved (c, s);
      priorities_present |= 1u << priority_of (c, s);
    }
  c->turn_left = INT_MAX;
  if (!c->shares.on || plan_by_share (c))
    plan_by_age (c, priorities_present);
  for (size_t i = 0; i < c->waiting.n && idle_lines < IDLE_LINES_PER_PASS; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      if (s)
        idle_lines += log_idle (c, s);
    }
  some_put_off = serve_put_off (c);
  if (c->shares.on)
    note_shares (c);
  consult_before_leases_end (c);
  poll_note_waiting (c);
  timer_arm_before (&c->timers, c->plan_timer,
                    c->now + (some_put_off ? PUT_OFF_TICK_MS : TICK_MS));
  if (c->waiting.n && flow_next_start (c) > c->now)
    timer_arm_before (&c->timers, c->plan_timer, flow_next_start (c));
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
  c->nconsults = 0;
  for (int i = 0; i < c->nvms; i++)
    c->vms[i].busy_ms = 0;
  c->waiting.n = 0;
  c->to_fail.n = 0;
  c->ncrashes = 0;
  shares_reset (&c->shares);
}
