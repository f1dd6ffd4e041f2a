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
due_compute_paths (cjob_t *j)
{
  u_int n = j->spec.steps.steps_len;

  j->path_ms = calloc ((size_t)n + 1, sizeof *j->path_ms);
  if (!j->path_ms)
    return -1;
  /* A step follows earlier ones only, so each tail is whole when it is met. */
  for (u_int i = n; i-- > 0;)
    {
      const gl_step_t *s = &j->spec.steps.steps_val[i];

      j->path_ms[i] += s->estimate_ms;
      if (j->path_ms[i] > j->critical_path_ms)
        j->critical_path_ms = j->path_ms[i];
      for (u_int k = 0; k < s->predecessors.predecessors_len; k++)
        if (s->predecessors.predecessors_val[k] < i
            && j->path_ms[i] > j->path_ms[s->predecessors.predecessors_val[k]])
          j->path_ms[s->predecessors.predecessors_val[k]] = j->path_ms[i];
    }
  return 0;
}

int
due_lateness (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = plan_queue (c, j);
  double asked = q && q->advised
                     ? q->consult_base_ms + NAMED * q->consult_per_worker_ms
                     : 0;
  double end;
  double span;

  /* Turns and lasting tasks are not measured by their job's age. */
  if (!q || q->due_factor <= 0 || j->spec.repeat_count || s->def->long_running)
    return 0;
  end = (double)(c->now - j->arrived_at) + j->path_ms[s->index];
  span = q->due_factor * (j->critical_path_ms + asked) + q->due_offset_ms;
  return end <= span ? 0 : end <= USELESS_TIMES * span ? 1 : 2;
}
