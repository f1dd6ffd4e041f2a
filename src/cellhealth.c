/*
 * cellhealth.c -- detects workers that fail, stall or are slow by their runs
 *
 * Some workers fail every task although they answer calls, some tasks stall,
 * and some workers take several times as long as others.
 *
 * A worker whose runs fail for several jobs in a row is avoided for a while,
 * twice as long each time, until a run there succeeds.  A run without
 * progress is stopped, so that it can go on elsewhere.  A worker's slowness is
 * the duration of its runs over their estimates, relative to the average of
 * this ratio in the cell, since all estimates may be wrong by some factor.
 */
#include "cellint.h"

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

void
health_run_ended (cell_t *c, cworker_t *w, const cstep_t *s, const ctask_t *t,
                  cell_outcome_t outcome)
{
  if (outcome == CELL_RUN_DONE)
    {
      w->failed_jobs = 0;
      w->backoff = 0;
      if (!t->inherited && c->now > t->sent_at)
        learn_duration (c, w, s, c->now - t->sent_at);
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
health_speed_class (const cworker_t *w)
{
  return w->slowness > VERY_SLOW_FROM ? 2 : w->slowness > SLOW_FROM ? 1 : 0;
}
