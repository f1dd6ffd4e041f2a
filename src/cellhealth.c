/*
 * cellhealth.c -- detects workers that fail, stall or are slow by their runs
 *
 * Some workers fail every task although they answer calls, some tasks stall,
 * and some workers take several times as long as others.
 *
 * A worker whose runs fail for several jobs in a row is avoided for a while,
 * twice as long each time, until a run there succeeds.  A run without
 * progress is stopped, so that it can go on elsewhere.
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

/* A worker is avoided when runs of this many different jobs have failed there
   in a row; a single job may fail on any worker. */
#define AVOID_FAILED_JOBS 2
/* First and longest span for which a worker is avoided. */
#define AVOID_MS 1500
#define AVOID_MAX_MS 12000
/* A run without progress for this long has stalled. */
#define STALL_MS 1300
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

int
health_stalled (cell_t *c, cworker_t *w, const cstep_t *s, ctask_t *t,
                int percent)
{
  if (percent != t->percent || !t->progress_at)
    {
      t->progress_at = c->now;
      return 0;
    }
  if (t->state != CT_RUNNING || s->def->long_running || s->def->best_effort
      || percent >= 100 || c->now - t->progress_at < STALL_MS)
    return 0;
  cell_log (c, "task_stalled worker=%s percent=%d stalled_ms=%llu",
            w->info.self.id, percent,
            (unsigned long long)(c->now - t->progress_at));
  avoid_worker (c, w, "stalled");
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
