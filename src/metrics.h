/* metrics.h -- counters and histograms, printed as text */
#ifndef GL_METRICS_H
#define GL_METRICS_H

#include <stddef.h>
#include <stdint.h>
#include <gsl/gsl_histogram.h>

/** struct text_t - growable text buffer */
typedef struct
{
  char *s;
  size_t len;
  size_t cap;
} text_t;

/** text_add - append formatted text; a failed allocation drops it */
void text_add (text_t *t, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * struct hist_t - durations in milliseconds, logarithmic bins
 * @h: bins from 0.1 ms to about 3 hours; NULL until the first sample
 * @n: number of samples
 * @sum: their sum in milliseconds
 */
typedef struct
{
  gsl_histogram *h;
  uint64_t n;
  double sum;
} hist_t;

/** hist_add - record one duration in milliseconds */
void hist_add (hist_t *h, double ms);
/** hist_quantile - upper edge of the bin that holds quantile @q, in ms */
double hist_quantile (const hist_t *h, double q);
/** hist_done - release the bins */
void hist_done (hist_t *h);
/** hist_print - the summary lines of one histogram under @name{label="v"} */
void hist_print (text_t *t, const char *name, const char *label,
                 const char *value, const hist_t *h);

#endif
