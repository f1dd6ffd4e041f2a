/* metrics.h -- text buffer and histograms for the metrics page */
#ifndef GL_METRICS_H
#define GL_METRICS_H

#include <stddef.h>
#include <stdint.h>
#include <gsl/gsl_histogram.h>

/**
 * struct text_t - growable text buffer; zero it before the first use
 * @s: the text, with a terminating 0; NULL until something was added; malloc'd
 * @len: its bytes
 * @cap: bytes allocated
 */
typedef struct
{
  char *s;
  size_t len;
  size_t cap;
} text_t;

/** text_add - append formatted text; nothing is appended when out of memory */
void text_add (text_t *t, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * struct hist_t - histogram of durations in ms, with logarithmic bins; zero it
 * before the first use
 * @h: bins from 0.1 ms to about 3 hours, the lowest starting at 0; NULL until
 * the first sample
 * @n: number of samples
 * @sum: their sum in ms
 */
typedef struct
{
  gsl_histogram *h;
  uint64_t n;
  double sum;
} hist_t;

/** hist_add - add one duration in ms; one above the highest bin counts as 0.99
    times that bin's upper edge; dropped when out of memory */
void hist_add (hist_t *h, double ms);
/** hist_quantile - upper edge, in ms, of the bin that holds quantile @q, from
    0 to 1; 0 when there are no samples */
double hist_quantile (const hist_t *h, double q);
/** hist_destroy - free the bins and reset to no samples */
void hist_destroy (hist_t *h);
/** hist_print - append quantiles, sum and count of @h as metrics of @name with
    the label @label="@value"; nothing when there are no samples */
void hist_print (text_t *t, const char *name, const char *label,
                 const char *value, const hist_t *h);

#endif
