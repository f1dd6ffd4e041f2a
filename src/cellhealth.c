/*
 * cellhealth.c -- detects workers that fail, stall or are slow by their runs
 *
 * Some workers fail every task although they answer calls, some tasks stall,
 * and some workers take several times as long as others.
 *
 * A worker whose runs fail for several jobs in a row is avoided for a while,
 * twice as long each time, until a run there succeeds.  A run without
 * progress is stopped, so that it can go on elsewhere.  Progress is reported
 * in whole percents or larger steps, so how long a run may stand depends on
 * the time that a step takes: by the changes of its progress so far, or by
 * those of other tasks of its step, or by its estimate.  It may stand the
 * longer the more work a stop would lose.  A task that is stopped again
 * elsewhere gets more time with each run: the worker is not the cause.
 *
 * A worker's speed comes from its runs compared with others of the same step;
 * see cellpace.c.  Where there is nothing to compare, since steps have one
 * task or are gangs, of which one end is taken, it comes from the duration of
 * its runs over their estimates, relative to the average of this ratio in the
 * cell, since all estimates may be wrong by some factor.
 */
#include "cellint.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A worker is avoided when runs of this many different jobs have failed there
   in a row; a single job may fail on any worker. */
#define AVOID_FAILED_JOBS 2
/* First and longest span for which a worker is avoided. */
#define AVOID_MS 1500
#define AVOID_MAX_MS 12000
/* A run without progress for this long has stalled at the earliest. */
#define STALL_MS 1300
/* A run may stand for the time of this many of its steps, and of this many
   while its own pace is not known: estimates are off by factors. */
#define STALL_STEPS 2
#define STALL_STEPS_GUESSED 10
/* Shortest time, in ms, that a percent is taken to need. */
#define PERCENT_MIN_MS 10
/* Part of the time that a stop would lose for which a run may stand. */
#define STALL_RISK_SHARE 0.1
/* By how much a run may stand longer than the one before that was stopped, and
   stops from which on it is not more. */
#define STALL_GROWTH 4
#define STALLS_MAX 16
/* Other tasks of its step that a run is compared with. */
#define STALL_SIBLINGS 16
/* Weights of one run in a worker's slowness and in the cell's average. */
#define SLOWNESS_WEIGHT 0.15
#define USUAL_RATIO_WEIGHT 0.01
/* Ratios of duration to estimate outside of these bounds are ignored: the
   estimate is wrong then. */
#define RATIO_MIN 0.1
#define RATIO_MAX 10.0
/* Slowness from which on a worker is of speed class 1, and 2. */
#define SLOW_FROM 1.25
#define VERY_SLOW_FROM 1.8
/* Compared runs from which on estimates are not used for speeds. */
#define COMPARED_MIN 30
/* A run is not compared if its end is not known to this part of its time: most
   ends are reported with the next poll, up to a second late. */
#define END_ERROR_MAX 0.2
/* The speed of most workers is computed again after this time. */
#define CENTER_INTERVAL_MS 1000

static void
avoid_worker (cell_t *c, cworker_t *w, const char *why)
{
  gl_ms_t span = (gl_ms_t)AVOID_MS << w->backoff;

  if (span >= AVOID_MAX_MS)
    span = AVOID_MAX_MS;
  else
    w->backoff++;
  w->avoid_until = c->now + span;
  cell_log (c, "worker_avoided id=%s why=%s ms=%llu", w->info.self.id, why,
            (unsigned long long)span);
}

static void
learn_duration (cell_t *c, cworker_t *w, const cstep_t *s, gl_ms_t took)
{
  double ratio
      = (double)took / (s->def->estimate_ms ? s->def->estimate_ms : 1);

  if (!s->def->estimate_ms || ratio < RATIO_MIN || ratio > RATIO_MAX)
    return;
  if (c->usual_ratio <= 0)
    c->usual_ratio = ratio;
  c->usual_ratio += USUAL_RATIO_WEIGHT * (ratio - c->usual_ratio);
  if (w->slowness <= 0)
    w->slowness = 1;
  w->slowness += SLOWNESS_WEIGHT * (ratio / c->usual_ratio - w->slowness);
}

/* Compute the speed of most workers. */
static void
center_speeds (cell_t *c)
{
  double *v;
  size_t n = 0;

  if (c->now < c->pace_centered_at + CENTER_INTERVAL_MS)
    return;
  c->pace_centered_at = c->now;
  v = calloc ((size_t)c->nworkers + 1, sizeof *v);
  if (!v)
    return;
  for (int i = 0; i < c->nworkers; i++)
    if (!c->workers[i].dead && pace_known (&c->workers[i].pace, c->now))
      v[n++] = c->workers[i].pace.log_slowness;
  pace_set_center (&c->pace, v, n);
  free (v);
}

/* Time of the task's run that has ended, or so far; 0 if it is not to be
   compared. */
static double
compared_ms (const cell_t *c, const ctask_t *t)
{
  if (t->state == CT_DONE || t->ran_ms)
    return t->ran_ms;
  return (t->state == CT_STARTING || t->state == CT_RUNNING) && t->run == 1
             ? (double)(c->now - t->sent_at)
             : 0;
}

/* Compare the runs among PACE_RUNS_MAX tasks of the step, with the task number
   @index among them, and observe the speeds of their workers. */
static void
compare_runs (cell_t *c, cstep_t *s, uint32_t index)
{
  ctask_t *tasks[PACE_RUNS_MAX];
  pace_run_t runs[PACE_RUNS_MAX];
  uint32_t first = index - index % PACE_RUNS_MAX;
  int n = 0;

  for (uint32_t i = first; i < s->def->count && i < first + PACE_RUNS_MAX; i++)
    {
      ctask_t *t = &s->tasks[i];
      double ms = compared_ms (c, t);
      int worker = t->ran_ms ? t->ran_on : t->worker;

      if (ms <= 0)
        continue;
      tasks[n] = t;
      runs[n++]
          = (pace_run_t){ log (ms),
                          pace_log_slowness (&c->workers[worker].pace, c->now),
                          t->ran_ms != 0 };
    }
  for (int i = 0; i < n; i++)
    {
      double reference;

      if (!runs[i].ended || tasks[i]->compared
          || !pace_reference (runs, n, i, &reference))
        continue;
      tasks[i]->compared = 1;
      pace_observe (&c->pace, &c->workers[tasks[i]->ran_on].pace,
                    runs[i].log_ms - reference, c->now);
      if (c->pairs)
        pairs_observe (c->pairs, s->run_class, &tasks[i]->beside,
                       runs[i].log_ms - runs[i].log_slowness - reference,
                       c->now);
    }
  center_speeds (c);
}

/* Note the classes that ran beside the task's run, which took until now. */
static void
note_beside (const cell_t *c, const cworker_t *w, ctask_t *t)
{
  t->beside.n = 0;
  beside_add_past (&t->beside, &w->past, t->sent_at, c->now);
  for (int i = 0; i < w->ntasks; i++)
    {
      const cstep_t *s = pool_get (&c->steps, w->tasks[i].step);
      const ctask_t *o = &s->tasks[w->tasks[i].index];

      if (o != t)
        beside_add (&t->beside, s->run_class, t->sent_at, c->now, o->sent_at,
                    c->now);
    }
}

/* Note how long the run has taken; the end came between two lists of the
   worker.  Later runs of a task may have begun at a checkpoint. */
static void
note_run_time (cell_t *c, const cworker_t *w, const cstep_t *s, ctask_t *t)
{
  gl_ms_t from = w->ends_after > t->sent_at ? w->ends_after : t->sent_at;
  double error = (double)(c->now - from) / 2;
  double took = fmax ((double)(c->now - t->sent_at) - error, 1);
  double slowness = pace_slowness (&c->pace, &w->pace, c->now);
  double usual = ratio_get (&c->ratios, s->run_class, RATIO_MEDIAN) * slowness
                 * s->def->estimate_ms;

  if (t->run != 1)
    return;
  if (s->def->estimate_ms)
    ratio_add (&c->ratios, s->run_class,
               took / s->def->estimate_ms / slowness);
  if (error > END_ERROR_MAX * took)
    return;
  t->ran_ms = (uint32_t)took;
  t->ran_on = (int)(w - c->workers);
  if (!c->pairs)
    return;
  note_beside (c, w, t);
  /* Other runs are compared within their step. */
  if ((s->def->count == 1 || s->def->gang) && usual > 0)
    pairs_observe (c->pairs, s->run_class, &t->beside, log (took / usual),
                   c->now);
}

void
health_run_ended (cell_t *c, cworker_t *w, cstep_t *s, ctask_t *t,
                  cell_outcome_t outcome)
{
  if (outcome == CELL_RUN_DONE)
    {
      w->failed_jobs = 0;
      w->backoff = 0;
      if (!t->inherited && c->now > t->sent_at)
        {
          learn_duration (c, w, s, c->now - t->sent_at);
          note_run_time (c, w, s, t);
          if (s->def->count > 1 && !s->def->gang && t->ran_ms)
            compare_runs (c, s, (uint32_t)(t - s->tasks));
        }
      return;
    }
  if (outcome != CELL_RUN_FAILED || s->job == w->last_failed_job)
    return;
  w->last_failed_job = s->job;
  if (++w->failed_jobs >= AVOID_FAILED_JOBS)
    avoid_worker (c, w, "failing");
}

/* Time, in ms, that one percent of the task took in its last run; 0 if not
   known. */
static double
own_percent_ms (const ctask_t *t)
{
  if (!t->pace_at || t->percent <= t->pace_from)
    return 0;
  return (double)(t->progress_at - t->pace_at) / (t->percent - t->pace_from);
}

/* The same from the estimate of the run on the worker. */
static double
usual_percent_ms (const cell_t *c, const cstep_t *s, const cworker_t *w)
{
  double ratio = c->usual_ratio > 0 ? c->usual_ratio : 1;

  return fmax (s->def->estimate_ms
                   * health_run_ratio (c, s, w, RATIO_HIGH, ratio) / 100,
               PERCENT_MIN_MS);
}

/* For how long the task may show no progress in its run on the worker. */
static double
stall_limit (const cell_t *c, const cstep_t *s, const cworker_t *w,
             const ctask_t *t)
{
  double ms = own_percent_ms (t);
  double steps = ms > 0 ? STALL_STEPS : STALL_STEPS_GUESSED;
  double grain = fmax (t->grain, 1);
  double unreported = 0;
  gl_ms_t kept_at
      = t->checkpoint_at > t->sent_at ? t->checkpoint_at : t->sent_at;

  if (ms <= 0)
    ms = usual_percent_ms (c, s, w);
  for (uint32_t i = 0; i < s->def->count && i < STALL_SIBLINGS; i++)
    {
      const ctask_t *o = &s->tasks[i];

      grain = fmax (grain, o->grain);
      if (steps > STALL_STEPS)
        ms = fmax (ms, own_percent_ms (o));
      /* It has ended without a report of progress. */
      if (o->state == CT_DONE && !o->pace_at && !t->pace_at)
        unreported = fmax (unreported, 2.0 * o->ran_ms);
    }
  ms *= steps * grain * pow (STALL_GROWTH, t->stalls);
  return fmax (
      fmax (STALL_MS, CELL_POLL_WAIT_MS + ms),
      fmax (unreported, STALL_RISK_SHARE * (double)(c->now - kept_at)));
}

/* Note the progress that the worker has listed; 0 if there is none. */
static int
note_progress (const cell_t *c, ctask_t *t, const cell_run_t *listed)
{
  int is_new = !t->progress_at || listed->percent != t->percent;

  if (listed->checkpoint[0] && strcmp (listed->checkpoint, t->checkpoint))
    {
      t->checkpoint_at = c->now;
      is_new = 1;
    }
  if (!is_new)
    {
      t->stood = 1;
      return 0;
    }
  if (t->progress_at && listed->percent > t->percent)
    {
      if (t->stood && listed->percent - t->percent > t->grain)
        t->grain = (unsigned char)(listed->percent - t->percent);
      if (!t->pace_at)
        {
          t->pace_at = c->now;
          t->pace_from = (unsigned char)listed->percent;
        }
    }
  if (listed->percent != t->percent)
    t->stood = 0;
  t->progress_at = c->now;
  return 1;
}

int
health_stalled (cell_t *c, cworker_t *w, const cstep_t *s, ctask_t *t,
                const cell_run_t *listed)
{
  gl_ms_t stood;

  if (note_progress (c, t, listed))
    return 0;
  stood = c->now - t->progress_at;
  if (t->state != CT_RUNNING || s->def->long_running || s->def->best_effort
      || listed->percent >= 100 || stood < STALL_MS
      || (double)stood < stall_limit (c, s, w, t))
    return 0;
  cell_log (c, "task_stalled worker=%s percent=%d stalled_ms=%llu stalls=%u",
            w->info.self.id, listed->percent, (unsigned long long)stood,
            t->stalls);
  if (!t->stalls)
    avoid_worker (c, w, "stalled");
  if (t->stalls < STALLS_MAX)
    t->stalls++;
  t->progress_at = c->now;
  return 1;
}

int
health_speed_class (const cell_t *c, const cworker_t *w)
{
  if (c->pace.n >= COMPARED_MIN)
    return pace_class (&c->pace, &w->pace, c->now);
  return w->slowness > VERY_SLOW_FROM ? 2 : w->slowness > SLOW_FROM ? 1 : 0;
}

double
health_run_ratio (const cell_t *c, const cstep_t *s, const cworker_t *w,
                  ratio_stat_t stat, double otherwise)
{
  double ratio = ratio_get (&c->ratios, s->run_class, stat);

  return ratio > 0 ? ratio * pace_slowness (&c->pace, &w->pace, c->now)
                   : otherwise;
}

double
health_interference (const cell_t *c, const cstep_t *s, const cworker_t *w)
{
  double sum = 0;

  if (!c->pairs || c->pairs_ignored
      || !pairs_concern (c->pairs, s->run_class, c->now))
    return 0;
  for (int i = 0; i < w->ntasks; i++)
    {
      const cstep_t *o = pool_get (&c->steps, w->tasks[i].step);

      sum += pairs_slowdown (c->pairs, s->run_class, o->run_class, c->now);
    }
  return sum;
}
