/* cellpair.h -- which classes of tasks slow each other down on one worker */
#ifndef GL_CELLPAIR_H
#define GL_CELLPAIR_H

#include "gentianlatch.h"

/** PAIRS_MAX - most pairs that are kept */
#define PAIRS_MAX 256
/** PAIR_BESIDE_MAX - most classes that are noted beside one run */
#define PAIR_BESIDE_MAX 8
/** PAIR_PAST_MAX - latest ended runs that are kept of a worker */
#define PAIR_PAST_MAX 16

/** struct beside_t - classes that ran beside a run, and the share of its time
    that each of them did */
typedef struct
{
  int n;
  short class_no[PAIR_BESIDE_MAX];
  float share[PAIR_BESIDE_MAX];
} beside_t;

/** struct pair_past_t - the latest runs that have ended on a worker; zero it
    before the first use */
typedef struct
{
  int class_no[PAIR_PAST_MAX];
  gl_ms_t from[PAIR_PAST_MAX];
  gl_ms_t to[PAIR_PAST_MAX];
  int next;
} pair_past_t;

/**
 * struct pair_sum_t - decayed sums over observations
 * @w, @w2: of weights and of their squares
 * @x, @x2: of weighted values and of their weighted squares
 */
typedef struct
{
  double w;
  double w2;
  double x;
  double x2;
} pair_sum_t;

/**
 * struct pair_t - what runs of class @a take beside runs of class @b
 * @beside, @apart: logarithms of run time over what was expected, weighted by
 *   the share of the run beside @b, and by the rest
 * @at: time of the latest observation
 * @passes: observations in a row after which they took longer beside @b
 * @interferes: runs of @a take longer beside @b
 * @log_slowdown: by how much, as a logarithm
 * @known_until: when that is too old to be used
 */
typedef struct
{
  int a;
  int b;
  pair_sum_t beside;
  pair_sum_t apart;
  gl_ms_t at;
  int passes;
  int interferes;
  double log_slowdown;
  gl_ms_t known_until;
} pair_t;

/** struct pairs_t - the pairs, and the indices of those that interfere; zero
    it before the first use */
typedef struct
{
  pair_t v[PAIRS_MAX];
  int n;
  int interfering[PAIRS_MAX];
  int ninterfering;
} pairs_t;

/** beside_add - note that a class ran beside a run from @from to @to during
    this part of it; class 0 is ignored */
void beside_add (beside_t *s, int class_no, gl_ms_t from, gl_ms_t to,
                 gl_ms_t part_from, gl_ms_t part_to);
/** beside_add_past - the same for all ended runs of the worker */
void beside_add_past (beside_t *s, const pair_past_t *p, gl_ms_t from,
                      gl_ms_t to);
/** pair_note_past - note a run that has ended */
void pair_note_past (pair_past_t *p, int class_no, gl_ms_t from, gl_ms_t to);
/** pairs_observe - take a run of a class that took as long as was expected
    times the exponential of @log_ratio */
void pairs_observe (pairs_t *p, int class_no, const beside_t *s,
                    double log_ratio, gl_ms_t now);
/** pairs_concern - 1 if the class interferes with any */
int pairs_concern (const pairs_t *p, int class_no, gl_ms_t now);
/** pairs_slowdown - by how much runs of the two classes slow each other down,
    as a sum of logarithms; 0 if they don't */
double pairs_slowdown (const pairs_t *p, int a, int b, gl_ms_t now);
/** pairs_count_interfering - number of pairs that interfere, in either
    direction */
int pairs_count_interfering (const pairs_t *p, gl_ms_t now);

#endif
