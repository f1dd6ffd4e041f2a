/* cellratio.h -- distributions of run time over estimate, by class of tasks */
#ifndef GL_CELLRATIO_H
#define GL_CELLRATIO_H

#include <gsl/gsl_histogram.h>

/** RATIO_CLASSES_MAX - most classes that are kept */
#define RATIO_CLASSES_MAX 256

/**
 * struct ratio_class_t - tasks of one queue and image
 * @queue, @image: index of the queue, and the image, "" for none
 * @log_ratios: decayed histogram of the logarithm of run time over estimate;
 *   NULL until the first observation
 * @n: observations so far
 * @weight, @sum: their decayed number, and decayed sum of the ratios
 */
typedef struct
{
  int queue;
  char image[128];
  gsl_histogram *log_ratios;
  unsigned long n;
  double weight;
  double sum;
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
/** ratio_quantile - quantile @q, from 0 to 1, of a class; 0 without enough
    observations */
double ratio_quantile (const ratios_t *r, int class_no, double q);
/** ratio_mean - mean of a class; 0 without enough observations */
double ratio_mean (const ratios_t *r, int class_no);

#endif
