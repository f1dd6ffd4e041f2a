/* cellpace.h -- speeds of workers, from runs of one step compared with each
 * other */
#ifndef GL_CELLPACE_H
#define GL_CELLPACE_H

#include "gentianlatch.h"

/** PACE_RUNS_MAX - most runs of a step that are compared with each other */
#define PACE_RUNS_MAX 64
/** PACE_KEPT - latest observations that are kept of a worker */
#define PACE_KEPT 15

/**
 * struct pace_t - the speed of a worker; zero it before the first observation
 * @seen, @seen_at: the latest observations, the logarithm of the slowness, and
 *   when they were made
 * @n, @next: how many there are, and the place of the next one
 * @log_slowness: their weighted median
 * @weight: their total weight at the latest of them
 * @known_until: when they are too old to be used
 */
typedef struct
{
  double seen[PACE_KEPT];
  gl_ms_t seen_at[PACE_KEPT];
  int n;
  int next;
  double log_slowness;
  double weight;
  gl_ms_t known_until;
} pace_t;

/**
 * struct pace_cell_t - what is common to the workers of a cell; zero it before
 * the first observation
 * @noise: median deviation of an observation from its worker's @log_slowness
 * @center: median @log_slowness of the workers
 * @n: observations so far
 */
typedef struct
{
  double noise;
  double center;
  uint64_t n;
} pace_cell_t;

/** struct pace_run_t - a run of a step: the logarithms of its time, or so far
    while it has not @ended, and of its worker's slowness
    from pace_log_slowness */
typedef struct
{
  double log_ms;
  double log_slowness;
  int ended;
} pace_run_t;

/**
 * pace_reference - the logarithm of the time that a run of the step takes on a
 * worker of slowness 1, by all @n runs but number @skip
 *
 * Returns 0 while the median is not known, because too few runs have ended;
 * @n is at most PACE_RUNS_MAX.
 */
int pace_reference (const pace_run_t *runs, int n, int skip, double *out);
/** pace_observe - take one observation of a worker's slowness; @value is the
    logarithm of a run's time less that of the reference */
void pace_observe (pace_cell_t *p, pace_t *w, double value, gl_ms_t now);
/** pace_log_slowness - logarithm of the slowness by which the worker's runs
   are corrected in references: less than fully while little is known of it */
double pace_log_slowness (const pace_t *w, gl_ms_t now);
/** pace_known - 1 if there are enough recent observations of the worker */
int pace_known (const pace_t *w, gl_ms_t now);
/** pace_set_center - take the median of @v, the @log_slowness of the known
    workers, as that of the cell; changes the order of @v */
void pace_set_center (pace_cell_t *p, double *v, size_t n);
/** pace_class - -1 for a worker that is faster than most, 0 for one as fast as
    most or of which too little is known, 1 for a slower one, 2 for one far
    slower */
int pace_class (const pace_cell_t *p, const pace_t *w, gl_ms_t now);
/** pace_slowness - usual run time on the worker, relative to most workers; 1
    if its class is 0 */
double pace_slowness (const pace_cell_t *p, const pace_t *w, gl_ms_t now);

#endif
