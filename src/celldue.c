/*
 * celldue.c -- which waiting steps can still end in time
 *
 * The load that this answers: bursts of large jobs on a cell that is nearly
 * full.  Served in the order of their age, every job waits as long as the
 * backlog is, and all of them are late.  So, within a priority, steps whose
 * job can still end in time go first, then those that are late, then those
 * that are later than anybody waits for; each in the order of their age.
 */
#include "cellint.h"

#include <stdlib.h>

/* A job that takes so many times its due span is of no use any more. */
#define USELESS_TIMES 3.0
/* Workers that one consultation is taken to name. */
#define NAMED 30

int
due_note (cjob_t *j)
{
  u_int n = j->work.steps.steps_len;

  j->tails = calloc ((size_t)n + 1, sizeof *j->tails);
  if (!j->tails)
    return -1;
  /* A step follows earlier ones only, so each tail is whole when it is met. */
  for (u_int i = n; i-- > 0;)
    {
      const gl_step_t *s = &j->work.steps.steps_val[i];

      j->tails[i] += s->estimate_ms;
      if (j->tails[i] > j->chain_ms)
        j->chain_ms = j->tails[i];
      for (u_int k = 0; k < s->after.after_len; k++)
        if (s->after.after_val[k] < i
            && j->tails[i] > j->tails[s->after.after_val[k]])
          j->tails[s->after.after_val[k]] = j->tails[i];
    }
  return 0;
}

int
due_rank (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);
  double asked = q && q->advised ? q->decide_ms + NAMED * q->each_ms : 0;
  double end;
  double span;

  /* Turns and lasting tasks are not measured by their job's age. */
  if (!q || q->stretch <= 0 || j->work.times || s->def->lasting)
    return 0;
  end = (double)(c->now - j->arrived) + j->tails[s->index];
  span = q->stretch * (j->chain_ms + asked) + q->aim_ms;
  return end <= span ? 0 : end <= USELESS_TIMES * span ? 1 : 2;
}
