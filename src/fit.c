/*
 * fit.c -- shapes (resource vectors) that are known not to fit at present
 *
 * When a domain is almost full, most searches for a worker fail, and a failed
 * search is the costliest: it examines every worker with enough free CPUs.
 * So a shape that found no worker is marked as failed until some worker
 * gains room for it.  Only that worker can make it fit, so after a gain it is
 * enough to check each shape against the one worker that gained.
 *
 * After a gang did not fit, neither it nor a larger gang of the same shape is
 * tried again before some worker has gained room for one more task of the
 * shape.
 *
 * fit_version rises whenever a mark is cleared.  A queue whose jobs have all
 * failed is not tried again under the same version.
 */
#include "schedint.h"

static int
same_resources (const gl_res_t *a, const gl_res_t *b)
{
  return a->cpus_m == b->cpus_m && a->memory_mb == b->memory_mb
         && a->accels == b->accels;
}

int
fit_shape_index (gl_sched_t *s, const gl_res_t *need)
{
  for (int i = 0; i < s->nshapes; i++)
    if (same_resources (&s->shapes[i].need, need))
      return i;
  if (s->nshapes == SHAPES_MAX)
    return -1;
  s->shapes[s->nshapes].need = *need;
  s->shapes[s->nshapes].failed_level = -1;
  s->shapes[s->nshapes].gains = 1;
  return s->nshapes++;
}

int
fit_known_failed (const gl_sched_t *s, const job_t *j, int level)
{
  return j->shape >= 0 && level <= s->shapes[j->shape].failed_level;
}

void
fit_mark_failed (gl_sched_t *s, const job_t *j, int level)
{
  if (j->shape >= 0 && !s->tentative
      && level > s->shapes[j->shape].failed_level)
    s->shapes[j->shape].failed_level = level;
}

/* Whether more tasks of @need fit in the free resources @room than before
   @freed was returned; 1 if @freed is NULL. */
static int
fits_more (const gl_res_t *need, const gl_res_t *room, const gl_res_t *freed)
{
  gl_res_t before = *room;

  if (!freed)
    return 1;
  before.cpus_m -= freed->cpus_m;
  before.memory_mb -= freed->memory_mb;
  before.accels -= freed->accels;
  return place_count_fitting (need, room)
         > place_count_fitting (need, &before);
}

void
fit_capacity_gained (gl_sched_t *s, int worker, const gl_res_t *freed)
{
  gl_res_t room = place_free_resources (&s->place, worker);

  for (int i = 0; i < s->nshapes; i++)
    {
      shape_t *h = &s->shapes[i];

      if (!place_fits (&h->need, &room))
        continue;
      /* Raising gains clears the mark of a failed gang, which may be cleared
         already. */
      if (h->gang_tasks && h->gang_gains == h->gains
          && fits_more (&h->need, &room, freed))
        {
          h->gains++;
          s->fit_version++;
        }
      s->fit_version += h->failed_level >= 0;
      h->failed_level = -1;
    }
}

int
fit_gang_known_failed (const gl_sched_t *s, const job_t *j, int level)
{
  const shape_t *h;

  if (j->shape < 0)
    return 0;
  h = &s->shapes[j->shape];
  return h->gang_tasks && h->gang_gains == h->gains
         && j->waiting >= h->gang_tasks && level <= h->gang_level;
}

void
fit_gang_mark_failed (gl_sched_t *s, const job_t *j, int level)
{
  shape_t *h;

  if (j->shape < 0)
    return;
  h = &s->shapes[j->shape];
  if (h->gang_gains == h->gains && h->gang_tasks
      && (h->gang_tasks <= j->waiting || level < h->gang_level))
    return;
  h->gang_tasks = j->waiting;
  h->gang_gains = h->gains;
  h->gang_level = level;
}

void
fit_reset (gl_sched_t *s)
{
  for (int i = 0; i < s->nshapes; i++)
    {
      s->shapes[i].failed_level = -1;
      s->shapes[i].gains++;
    }
  s->fit_version++;
}
