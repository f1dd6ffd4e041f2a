/*
 * cellratio.c -- how long runs take, relative to their estimates
 *
 * Estimates are off by factors, and some runs take several times as long as
 * the others, so one average says little: a poll is to come at the usual end,
 * room is to be free at the reserved time in most cases.  For each class of
 * tasks, those of one queue and image, the distribution of run time over
 * estimate is kept as a histogram of the logarithm, with bins of ten percent.
 * An observation loses a part of its weight with each later one.
 */
#include "cellratio.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* The histogram goes from a fiftieth of the estimate to fifty times that;
   ratios beyond count as these. */
#define LOG_RATIO_MAX 4.0
#define BINS 80
/* Observations from which on a class is used. */
#define OBSERVATIONS_MIN 20
/* Weight that observations keep with each later one: half after 138. */
#define KEPT_SHARE 0.995

void
ratios_destroy (ratios_t *r)
{
  for (int i = 0; i < r->n; i++)
    if (r->v[i].log_ratios)
      gsl_histogram_free (r->v[i].log_ratios);
  r->n = 0;
}

int
ratio_class (ratios_t *r, int queue, const char *image)
{
  ratio_class_t *k;

  for (int i = 0; i < r->n; i++)
    if (r->v[i].queue == queue && !strcmp (r->v[i].image, image))
      return i + 1;
  if (r->n == RATIO_CLASSES_MAX || queue < 0
      || strlen (image) >= sizeof r->v[0].image)
    return 0;
  k = &r->v[r->n++];
  memset (k, 0, sizeof *k);
  k->queue = queue;
  snprintf (k->image, sizeof k->image, "%s", image);
  return r->n;
}

/* Quantile @q, from 0 to 1, of the class. */
static double
quantile (const ratio_class_t *k, double q)
{
  double below = 0;

  for (size_t i = 0; i < BINS; i++)
    {
      double in_bin = gsl_histogram_get (k->log_ratios, i);
      double lower;
      double upper;

      if (in_bin > 0 && below + in_bin >= q * k->weight)
        {
          gsl_histogram_get_range (k->log_ratios, i, &lower, &upper);
          return exp (lower
                      + (upper - lower) * (q * k->weight - below) / in_bin);
        }
      below += in_bin;
    }
  return exp (LOG_RATIO_MAX);
}

void
ratio_add (ratios_t *r, int class_no, double ratio)
{
  ratio_class_t *k = class_no ? &r->v[class_no - 1] : NULL;
  double log_ratio;

  if (!k || ratio <= 0)
    return;
  if (!k->log_ratios)
    {
      k->log_ratios = gsl_histogram_alloc (BINS);
      if (!k->log_ratios)
        return;
      gsl_histogram_set_ranges_uniform (k->log_ratios, -LOG_RATIO_MAX,
                                        LOG_RATIO_MAX);
    }
  log_ratio = fmin (fmax (log (ratio), -LOG_RATIO_MAX), LOG_RATIO_MAX - 1e-6);
  gsl_histogram_scale (k->log_ratios, KEPT_SHARE);
  gsl_histogram_increment (k->log_ratios, log_ratio);
  k->n++;
  k->weight = k->weight * KEPT_SHARE + 1;
  k->sum = k->sum * KEPT_SHARE + exp (log_ratio);
  if (k->n < OBSERVATIONS_MIN)
    return;
  k->stats[RATIO_MEDIAN] = quantile (k, 0.5);
  k->stats[RATIO_HIGH] = quantile (k, 0.9);
  k->stats[RATIO_MEAN] = k->sum / k->weight;
}

/* The planner asks for each step and worker, so that nothing is computed here.
 */
double
ratio_get (const ratios_t *r, int class_no, ratio_stat_t stat)
{
  return class_no ? r->v[class_no - 1].stats[stat] : 0;
}
