/*
 * metrics.c -- text buffer and histograms for the metrics page
 *
 * A histogram is one of the GNU Scientific Library with 16 bins per decade
 * from 0.1 ms, so the error of a quantile is below 16 percent, at the cost of
 * 130 doubles per histogram.  The bins are allocated with the first sample,
 * since most teams never use most classes.
 */
#include "metrics.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define BINS_PER_DECADE 16
#define DECADES 8
/* One more for durations below the lowest edge. */
#define BINS (BINS_PER_DECADE * DECADES + 1)
#define LOWEST_EDGE_MS 0.1

void
text_add (text_t *t, const char *fmt, ...)
{
  for (;;)
    {
      va_list ap;
      int n;
      size_t room = t->cap - t->len;

      va_start (ap, fmt);
      n = vsnprintf (t->s ? t->s + t->len : NULL, room, fmt, ap);
      va_end (ap);
      if (n < 0)
        return;
      if ((size_t)n < room)
        {
          t->len += (size_t)n;
          return;
        }
      size_t cap = (t->cap + (size_t)n + 1) * 2;
      char *s = realloc (t->s, cap);
      if (!s)
        return;
      t->s = s;
      t->cap = cap;
    }
}

/* 0, or -1 when out of memory. */
static int
hist_alloc (hist_t *h)
{
  double edges[BINS + 1];

  edges[0] = 0;
  for (int i = 1; i <= BINS; i++)
    edges[i] = LOWEST_EDGE_MS * pow (10, (i - 1) / (double)BINS_PER_DECADE);
  h->h = gsl_histogram_alloc (BINS);
  if (!h->h)
    return -1;
  gsl_histogram_set_ranges (h->h, edges, BINS + 1);
  return 0;
}

void
hist_add (hist_t *h, double ms)
{
  if (!h->h && hist_alloc (h))
    return;
  if (ms >= gsl_histogram_max (h->h))
    ms = gsl_histogram_max (h->h) * 0.99;
  gsl_histogram_increment (h->h, ms);
  h->n++;
  h->sum += ms;
}

double
hist_quantile (const hist_t *h, double q)
{
  double count = 0;
  double lower = 0;
  double upper = 0;

  if (!h->n)
    return 0;
  for (size_t i = 0; i < BINS; i++)
    {
      gsl_histogram_get_range (h->h, i, &lower, &upper);
      count += gsl_histogram_get (h->h, i);
      if (count >= q * (double)h->n)
        break;
    }
  return upper;
}

void
hist_destroy (hist_t *h)
{
  if (h->h)
    gsl_histogram_free (h->h);
  h->h = NULL;
  h->n = 0;
  h->sum = 0;
}

void
hist_print (text_t *t, const char *name, const char *label, const char *value,
            const hist_t *h)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };

  if (!h->n)
    return;
  for (size_t i = 0; i < sizeof quantiles / sizeof *quantiles; i++)
    text_add (t, "%s{%s=\"%s\",quantile=\"%g\"} %g\n", name, label, value,
              quantiles[i], hist_quantile (h, quantiles[i]));
  text_add (t, "%s_sum{%s=\"%s\"} %g\n", name, label, value, h->sum);
  text_add (t, "%s_count{%s=\"%s\"} %llu\n", name, label, value,
            (unsigned long long)h->n);
}
