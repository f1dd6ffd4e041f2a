/*
 * cellpair.c -- which classes of tasks slow each other down on one worker
 *
 * Tasks that share a worker may compete for what no request names: caches,
 * memory bandwidth, a disk.  For each ordered pair of classes, the run times
 * of the first over what was expected are averaged twice, beside runs of the
 * second and apart from them, each run weighted by the share of its time that
 * it spent so.  The difference of the two means is the slowdown.  The
 * difference, and not the mean beside alone, since what is expected is learned
 * from the same runs, and since a third class on the worker is there in both.
 *
 * A pair interferes once the slowdown less ERRORS_MIN standard errors is above
 * SLOWDOWN_MIN.  It stays so until the slowdown itself is below that, or until
 * what is known of it has decayed: tasks that are kept apart give no more
 * observations, and the interference may have ended.  See
 * docs/design/interference.md.
 */
#include "cellpair.h"

#include <math.h>
#include <string.h>

#define HALF_LIFE_MS 60000.0
/* Observations beside and apart that an interfering pair needs. */
#define OBSERVATIONS_MIN 12
#define ERRORS_MIN 2
#define SLOWDOWN_MIN 1.1
/* Runs of the first class in a row after which that must hold, since it is
   tested after each of them: without this, by chance, 5 of 20 minutes of 7
   classes with run times that vary by half had such a pair. */
#define PASSES_MIN 12
/* Decayed weight of the observations beside each other below which nothing is
   known of a pair: 12 runs that were together for half of their time have 6,
   and are forgotten after two minutes. */
#define WEIGHT_MIN 1.5
/* Run times count as at most this many times what was expected, or as its
   inverse, since some runs take several times as long for no such reason. */
#define RATIO_MAX 2.0

void
beside_add (beside_t *s, int class_no, gl_ms_t from, gl_ms_t to,
            gl_ms_t part_from, gl_ms_t part_to)
{
  float share;
  int i;

  if (part_from < from)
    part_from = from;
  if (part_to > to)
    part_to = to;
  if (!class_no || part_to <= part_from)
    return;
  share = (float)(part_to - part_from) / (float)(to - from);
  for (i = 0; i < s->n && s->class_no[i] != class_no; i++)
    ;
  if (i == PAIR_BESIDE_MAX)
    return;
  if (i == s->n)
    {
      s->n++;
      s->class_no[i] = (short)class_no;
      s->share[i] = 0;
    }
  s->share[i] = fminf (s->share[i] + share, 1);
}

void
beside_add_past (beside_t *s, const pair_past_t *p, gl_ms_t from, gl_ms_t to)
{
  for (int i = 0; i < PAIR_PAST_MAX; i++)
    beside_add (s, p->class_no[i], from, to, p->from[i], p->to[i]);
}

void
pair_note_past (pair_past_t *p, int class_no, gl_ms_t from, gl_ms_t to)
{
  p->class_no[p->next] = class_no;
  p->from[p->next] = from;
  p->to[p->next] = to;
  p->next = (p->next + 1) % PAIR_PAST_MAX;
}

static void
sum_add (pair_sum_t *s, double value, double weight, double kept)
{
  s->w = s->w * kept + weight;
  s->w2 = s->w2 * kept * kept + weight * weight;
  s->x = s->x * kept + weight * value;
  s->x2 = s->x2 * kept + weight * value * value;
}

/* Number of observations of full weight that are worth as much. */
static double
sum_count (const pair_sum_t *s)
{
  return s->w2 > 0 ? s->w * s->w / s->w2 : 0;
}

/* Square of the standard error of the mean. */
static double
sum_error2 (const pair_sum_t *s)
{
  double n = sum_count (s);
  double mean = s->x / s->w;

  return fmax (s->x2 / s->w - mean * mean, 0) / (n - 1);
}

static void
list_interfering (pairs_t *p)
{
  p->ninterfering = 0;
  for (int i = 0; i < p->n; i++)
    if (p->v[i].interferes)
      p->interfering[p->ninterfering++] = i;
}

/* Decide whether the pair interferes. */
static void
pair_decide (pairs_t *p, pair_t *k, gl_ms_t now)
{
  int before = k->interferes;
  double error;

  if (sum_count (&k->beside) < OBSERVATIONS_MIN
      || sum_count (&k->apart) < OBSERVATIONS_MIN || k->beside.w < WEIGHT_MIN)
    return;
  k->log_slowdown = k->beside.x / k->beside.w - k->apart.x / k->apart.w;
  error = sqrt (sum_error2 (&k->beside) + sum_error2 (&k->apart));
  if (k->log_slowdown - ERRORS_MIN * error <= log (SLOWDOWN_MIN))
    k->passes = 0;
  else if (++k->passes >= PASSES_MIN)
    k->interferes = 1;
  if (k->log_slowdown < log (SLOWDOWN_MIN))
    k->interferes = 0;
  k->known_until
      = now + (gl_ms_t)(HALF_LIFE_MS * log2 (k->beside.w / WEIGHT_MIN));
  if (k->interferes != before)
    list_interfering (p);
}

static pair_t *
pair_find (pairs_t *p, int a, int b)
{
  for (int i = 0; i < p->n; i++)
    if (p->v[i].a == a && p->v[i].b == b)
      return &p->v[i];
  return NULL;
}

/* Add a pair; if there are too many, it replaces the one that was observed
   longest ago. */
static void
pair_add (pairs_t *p, int a, int b, gl_ms_t now)
{
  pair_t *k = &p->v[0];

  if (p->n < PAIRS_MAX)
    k = &p->v[p->n++];
  else
    for (int i = 1; i < p->n; i++)
      if (p->v[i].at < k->at)
        k = &p->v[i];
  memset (k, 0, sizeof *k);
  k->a = a;
  k->b = b;
  k->at = now;
  list_interfering (p);
}

void
pairs_observe (pairs_t *p, int class_no, const beside_t *s, double log_ratio,
               gl_ms_t now)
{
  double value = fmax (fmin (log_ratio, log (RATIO_MAX)), -log (RATIO_MAX));

  if (!class_no)
    return;
  for (int i = 0; i < s->n; i++)
    if (!pair_find (p, class_no, s->class_no[i]))
      pair_add (p, class_no, s->class_no[i], now);
  for (int i = 0; i < p->n; i++)
    {
      pair_t *k = &p->v[i];
      double kept;
      double share = 0;

      if (k->a != class_no)
        continue;
      for (int b = 0; b < s->n; b++)
        if (s->class_no[b] == k->b)
          share = s->share[b];
      kept = exp2 (-(double)(now - k->at) / HALF_LIFE_MS);
      k->at = now;
      sum_add (&k->beside, value, share, kept);
      sum_add (&k->apart, value, 1 - share, kept);
      pair_decide (p, k, now);
    }
}

int
pairs_concern (const pairs_t *p, int class_no, gl_ms_t now)
{
  for (int i = 0; i < p->ninterfering; i++)
    {
      const pair_t *k = &p->v[p->interfering[i]];

      if (now <= k->known_until && (k->a == class_no || k->b == class_no))
        return 1;
    }
  return 0;
}

double
pairs_slowdown (const pairs_t *p, int a, int b, gl_ms_t now)
{
  double sum = 0;

  for (int i = 0; i < p->ninterfering; i++)
    {
      const pair_t *k = &p->v[p->interfering[i]];

      if (now <= k->known_until
          && ((k->a == a && k->b == b) || (k->a == b && k->b == a)))
        sum += k->log_slowdown;
    }
  return sum;
}

int
pairs_count_interfering (const pairs_t *p, gl_ms_t now)
{
  int n = 0;

  for (int i = 0; i < p->ninterfering; i++)
    n += now <= p->v[p->interfering[i]].known_until;
  return n;
}
