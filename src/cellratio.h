/* cellratio.h -- distributions of run time over estimate, by class of tasks */
#ifndef GL_CELLRATIO_H
#define GL_CELLRATIO_H

#include <gsl/gsl_histogram.h>

/** RATIO_CLASSES_MAX - most classes that are kept */
#define RATIO_CLASSES_MAX 256

/**
 * enum ratio_stat_t - a statistic of a distribution
 * @RATIO_MEDIAN: half of the runs take longer
 * @RATIO_HIGH: the 0.9 quantile
 * @RATIO_MEAN: the mean
 * @RATIO_STATS: how many there are
 */
typedef enum
{
  RATIO_MEDIAN = 0,
  RATIO_HIGH,
  RATIO_MEAN,
  RATIO_STATS
} ratio_stat_t;

/**
 * struct ratio_class_t - tasks of one queue and image
 * @queue, @image: index of the queue, and the image, "" for none
 * @log_ratios: decayed histogram of the logarithm of run time over estimate;
 *   NULL until the first observation
 * @n: observations so far
 * @weight, @sum: their decayed number, and decayed sum of the ratios
 * @stats: the statistics, by enum ratio_stat_t; 0 without enough observations
 */
typedef struct
{
  int queue;
  char image[128];
  gsl_histogram *log_ratios;
  unsigned long n;
  double weight;
  double sum;
  double stats[RATIO_STATS];
} ratio_class_t;

/** struct ratios_t - the classes; zero it before the first use */
typedef struct
{
  ratio_class_t v[RATIO_CLASSES_MAX];
  int n;
} ratios_t;

/** ratios_destroy - free the histograms */
void ratios_destroy (ratios_t *r);
/** ratio_class - number of the class from 1, added if it is new; 0 if there
   are too many, or the queue is not known (-1) */
int ratio_class (ratios_t *r, int queue, const char *image);
/** ratio_add - take one observation of a class; dropped when out of memory,
   and if @class_no is 0 */
void ratio_add (ratios_t *r, int class_no, double ratio);
/** ratio_get - a statistic of a class; 0 without enough observations */
double ratio_get (const ratios_t *r, int class_no, ratio_stat_t stat);

#endif
