/*
 * cellhealth.c -- workers that fail, hang or are slow, from their own record
 *
 * The loads that this answers: workers that fail whatever they start while
 * they look healthy; tasks that stand still; workers that take several times
 * as long.  A worker whose runs fail for several jobs in a row is spared for
 * a while, longer each time.  A run without progress is stopped, so that it
 * can go on elsewhere.  How long runs take is compared with their estimates,
 * relative to what is usual in the cell, since estimates may all be off.
 */
#include "cellint.h"

/* Jobs in a row whose runs fail before a worker is spared; a single job may
   fail wherever it runs. */
#define FAILS_SPARED 2
#define SPARED_MS 1500
#define SPARED_MAX_MS 12000
/* A run without progress for this long stands still. */
#define STALL_MS 1300
/* Weights of one run in a worker's and in the cell's usual length. */
#define SLOW_WEIGHT 0.15
#define USUAL_WEIGHT 0.01
/* Ratios beyond these bounds tell of the estimate, not of the worker. */
#define RATIO_MIN 0.1
#define RATIO_MAX 10.0
/* Bounds of the ranks: as usual, slower, far slower. */
#define RANK_SLOWER 1.25
#define RANK_SLOW 1.8

static void
spare (cell_t *c, cworker_t *w, const char *why)
{
  gl_ms_t span = (gl_ms_t)SPARED_MS << w->backoff;

  if (span >= SPARED_MAX_MS)
    span = SPARED_MAX_MS;
  else
    w->backoff++;
  w->avoid_until = c->now + span;
  cell_log (c, "worker_spared id=%s why=%s ms=%llu", w->info.id, why,
            (unsigned long long)span);
}

static void
learn_length (cell_t *c, cworker_t *w, const cstep_t *s, gl_ms_t took)
{
  double ratio
      = (double)took / (s->def->estimate_ms ? s->def->estimate_ms : 1);

  if (!s->def->estimate_ms || ratio < RATIO_MIN || ratio > RATIO_MAX)
    return;
  if (c->usual_ratio <= 0)
    c->usual_ratio = ratio;
  c->usual_ratio += USUAL_WEIGHT * (ratio - c->usual_ratio);
  if (w->slowness <= 0)
    w->slowness = 1;
  w->slowness += SLOW_WEIGHT * (ratio / c->usual_ratio - w->slowness);
}

void
health_run_ended (cell_t *c, cworker_t *w, const cstep_t *s, const ctask_t *t,
                  cell_outcome_t how)
{
  if (how == CELL_RUN_DONE)
    {
      w->failed_jobs = 0;
      w->backoff = 0;
      if (t->sent_at && c->now > t->sent_at)
        learn_length (c, w, s, c->now - t->sent_at);
      return;
    }
  if (how != CELL_RUN_FAILED || s->job == w->last_failed_job)
    return;
  w->last_failed_job = s->job;
  if (++w->failed_jobs >= FAILS_SPARED)
    spare (c, w, "failing");
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
  cell_log (c, "task_stalled worker=%s percent=%d still_ms=%llu", w->info.id,
            percent, (unsigned long long)(c->now - t->progress_at));
  spare (c, w, "stalled");
  t->progress_at = c->now;
  return 1;
}

int
health_speed_class (const cworker_t *w)
{
  return w->slowness > RANK_SLOW ? 2 : w->slowness > RANK_SLOWER ? 1 : 0;
}
