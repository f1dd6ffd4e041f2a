/*
 * cellpace.c -- how fast workers are, by comparing runs of one step
 *
 * The ratio of run time to estimate says little about a worker where estimates
 * are off by a factor that differs by job.  Tasks of one step have the same
 * error, so their run times are compared with each other instead.
 *
 * The reference of a run is the median of the step's other runs, each divided
 * by the slowness of its worker.  Runs that have not ended count as longer
 * than their time so far; a reference from the ended runs alone would be too
 * short, since the shortest end first.  The logarithm of run time over
 * reference is one observation of the worker's slowness.  A worker's slowness
 * is the median of its latest observations, so that single runs of several
 * times the usual length do not matter.  Observations lose half of their
 * weight in HALF_LIFE_MS.
 *
 * All observations are relative, so that a common factor of all workers is
 * not determined.  It is kept from drifting by correcting references a little
 * less than fully, and classes are relative to the median worker.
 *
 * The classes allow for the error of the median, computed from the spread of
 * all observations: where all workers are equally fast and run times vary,
 * none is to be preferred.
 */
#include "cellpace.h"

#include <math.h>
#include <stdlib.h>

#include <gsl/gsl_statistics_double.h>

#define HALF_LIFE_MS 60000.0
/* Total weight of its observations from which on a worker's speed is known. */
#define WEIGHT_MIN 1.8
/* Spread of observations before any is known, that of run times which vary by
   a third, and the lowest one. */
#define NOISE_FIRST 0.2
#define NOISE_MIN 0.03
/* Change of the spread by one observation. */
#define NOISE_STEP 0.02
/* Standard error of a median of n values, by their median deviation: 1.2533 *
   1.4826 / sqrt (n) for a normal distribution. */
#define MEDIAN_ERROR 1.86
/* Standard errors by which a worker must be beyond the limit of a class. */
#define ERRORS_MIN 1.5
/* Slowness beyond which a worker is of class 1, or -1 for the inverse, and of
   class 2. */
#define CLASS_FROM 1.2
#define VERY_SLOW_FROM 1.8
/* Part of a worker's slowness by which its runs are corrected in references,
   and the weight of observations from which on half of that is corrected. */
#define CORRECTION 0.98
#define CORRECTED_WEIGHT 0.5

static int
double_cmp (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

int
pace_reference (const pace_run_t *runs, int n, int skip, double *out)
{
  double ended[PACE_RUNS_MAX];
  int others = n - 1;
  int nended = 0;

  for (int i = 0; i < n; i++)
    if (i != skip && runs[i].ended)
      ended[nended++] = runs[i].log_ms - runs[i].log_slowness;
  if (others < 1 || nended <= others / 2)
    return 0;
  qsort (ended, (size_t)nended, sizeof *ended, double_cmp);
  for (int i = 0; i < n; i++)
    if (i != skip && !runs[i].ended
        && runs[i].log_ms - runs[i].log_slowness < ended[others / 2])
      return 0;
  *out = (ended[(others - 1) / 2] + ended[others / 2]) / 2;
  return 1;
}

/** struct weighted_t - an observation with its weight */
typedef struct
{
  double value;
  double weight;
} weighted_t;

/* The value comes first in it. */
static int
weighted_cmp (const void *a, const void *b)
{
  return double_cmp (a, b);
}

static double
decay (gl_ms_t age)
{
  return exp2 (-(double)age / HALF_LIFE_MS);
}

static gl_ms_t
last_seen (const pace_t *w)
{
  return w->seen_at[(w->next + PACE_KEPT - 1) % PACE_KEPT];
}

/* Compute the weighted median of the worker's observations. */
static void
update_median (pace_t *w, gl_ms_t now)
{
  weighted_t v[PACE_KEPT];
  double below = 0;
  int i;

  w->weight = 0;
  for (i = 0; i < w->n; i++)
    {
      v[i].value = w->seen[i];
      v[i].weight = decay (now - w->seen_at[i]);
      w->weight += v[i].weight;
    }
  qsort (v, (size_t)w->n, sizeof *v, weighted_cmp);
  for (i = 0; i < w->n - 1; i++)
    {
      below += v[i].weight;
      if (below >= w->weight / 2)
        break;
    }
  /* Halfway between the two middle ones of an even number. */
  w->log_slowness = i + 1 < w->n && below <= w->weight * 0.5001
                        ? (v[i].value + v[i + 1].value) / 2
                        : v[i].value;
}

void
pace_observe (pace_cell_t *p, pace_t *w, double value, gl_ms_t now)
{
  if (p->noise <= 0)
    p->noise = NOISE_FIRST;
  if (w->n > 1)
    p->noise *= fabs (value - w->log_slowness) > p->noise ? 1 + NOISE_STEP
                                                          : 1 - NOISE_STEP;
  if (p->noise < NOISE_MIN)
    p->noise = NOISE_MIN;
  p->n++;
  w->seen[w->next] = value;
  w->seen_at[w->next] = now;
  w->next = (w->next + 1) % PACE_KEPT;
  if (w->n < PACE_KEPT)
    w->n++;
  update_median (w, now);
  w->known_until
      = w->weight < WEIGHT_MIN
            ? 0
            : now + (gl_ms_t)(HALF_LIFE_MS * log2 (w->weight / WEIGHT_MIN));
}

double
pace_log_slowness (const pace_t *w, gl_ms_t now)
{
  double weight;

  if (!w->n)
    return 0;
  weight = w->weight * decay (now - last_seen (w));
  return CORRECTION * w->log_slowness * weight / (weight + CORRECTED_WEIGHT);
}

int
pace_known (const pace_t *w, gl_ms_t now)
{
  return now <= w->known_until;
}

void
pace_set_center (pace_cell_t *p, double *v, size_t n)
{
  if (!n)
    return;
  qsort (v, n, sizeof *v, double_cmp);
  p->center = gsl_stats_median_from_sorted_data (v, 1, n);
}

int
pace_class (const pace_cell_t *p, const pace_t *w, gl_ms_t now)
{
  double slowness = w->log_slowness - p->center;
  double margin;

  if (!w->n || !pace_known (w, now))
    return 0;
  margin = ERRORS_MIN * MEDIAN_ERROR * p->noise / sqrt (w->weight);
  if (slowness > 0)
    return slowness - margin > log (VERY_SLOW_FROM) ? 2
           : slowness - margin > log (CLASS_FROM)   ? 1
                                                    : 0;
  return slowness + margin < -log (CLASS_FROM) ? -1 : 0;
}

double
pace_slowness (const pace_cell_t *p, const pace_t *w, gl_ms_t now)
{
  return pace_class (p, w, now) ? exp (w->log_slowness - p->center) : 1;
}
