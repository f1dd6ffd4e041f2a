/*
 * cellshare.c -- caps of teams, and the order in which their steps are served
 *
 * The owner counts, for each team, the resources of all tasks that are bound
 * to a worker in any state: starts in flight and without an answer, runs on
 * silent workers, and runs that are being stopped.  No task is bound for a
 * start that would bring its team above its cap.
 *
 * A new owner does not know what runs.  Until its census is complete, the
 * team's tasks that an earlier owner may have started count as well, but at
 * most with the capacity of the workers that are not accounted for: nothing
 * else can hide a run.  An orphaned run may belong to any team, so all room
 * beside the known tasks of its worker counts against every team.
 *
 * Steps are served by the priority of their queue, jobs within their team's
 * rate first, then by lateness, by the team's priority, by the team's weighted
 * dominant share (Ghodsi et al. 2011, DRF), and by age.  All but the share are
 * fixed during a pass and sorted once.  Within a class of equal keys, a heap
 * of the teams gives the one with the smallest share; only the share of the
 * team that was served last can have changed.
 *
 * Each team has a token bucket, filled at its weight in jobs a second and one
 * second deep.  A job beyond that is accepted and served after those within
 * it, and refused while work of its priority or a higher one waits for room.
 */
#include "cellshare.h"

#include <stdlib.h>
#include <string.h>

#include "fault.h"
#include "pool.h"

/* Bounds on the retry time in a refusal for the team's rate. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 5000
/* Time between two log lines on the state of a team. */
#define LOG_INTERVAL_MS 1000

void
csum_add (csum_t *sum, const gl_res_t *r, int64_t n)
{
  sum->cpus_m += n * r->cpus_m;
  sum->memory_mb += n * r->memory_mb;
  sum->accels += n * r->accels;
}

void
shares_destroy (cshares_t *sh)
{
  free (sh->v);
  memset (sh, 0, sizeof *sh);
}

int
shares_reserve (cshares_t *sh, int team)
{
  /* array_reserve makes room for one more entry, and clears it. */
  while (sh->n < team + 2)
    {
      if (array_reserve (&sh->v, &sh->cap, sh->n, sizeof *sh->v))
        return -1;
      sh->n++;
    }
  return 0;
}

void
shares_clear_used (cshares_t *sh)
{
  for (int i = 0; i < sh->n; i++)
    memset (&sh->v[i].used, 0, sizeof sh->v[i].used);
}

void
shares_clear_census (cshares_t *sh)
{
  memset (&sh->hidden, 0, sizeof sh->hidden);
  memset (&sh->orphaned, 0, sizeof sh->orphaned);
  memset (&sh->total, 0, sizeof sh->total);
  memset (&sh->taken, 0, sizeof sh->taken);
  for (int i = 0; i < sh->n; i++)
    {
      memset (&sh->v[i].unlocated, 0, sizeof sh->v[i].unlocated);
      sh->v[i].held = 0;
    }
}

void
shares_clear_planned (cshares_t *sh)
{
  for (int i = 0; i < sh->n; i++)
    memset (&sh->v[i].planned, 0, sizeof sh->v[i].planned);
}

void
share_bound (cshares_t *sh, int team, const gl_res_t *need)
{
  csum_add (&sh->v[team + 1].used, need, 1);
}

void
share_unbound (cshares_t *sh, int team, const gl_res_t *need)
{
  csum_add (&sh->v[team + 1].used, need, -1);
}

void
share_unlocated (cshares_t *sh, int team, const gl_res_t *need)
{
  if (!shares_reserve (sh, team) && !FAULT (FAULT_CELL_CAP_UNLOCATED))
    csum_add (&sh->v[team + 1].unlocated, need, 1);
}

/* How many tasks, at most @max, that need @need each fit below @limit beside
   what is known as @used and what may be @unlocated, @hidden or @orphaned. */
static int
fitting (int limit, int need, int64_t used, int64_t unlocated, int64_t hidden,
         int64_t orphaned, int max)
{
  int64_t room;

  if (limit <= 0 || need <= 0)
    return max;
  room = limit - used - (unlocated < hidden ? unlocated : hidden) - orphaned;
  if (room < need)
    return 0;
  return room / need < max ? (int)(room / need) : max;
}

static int
is_configured (const teams_t *teams, int team)
{
  return team >= 0 && team < teams->n && !teams->v[team].removed;
}

/* The team's cap, or NULL if it has none. */
static const gl_res_t *
cap_of (const teams_t *teams, int team)
{
  return is_configured (teams, team) ? &teams->v[team].cap : NULL;
}

int
share_room (const cshares_t *sh, const teams_t *teams, int team,
            const gl_res_t *need, int max)
{
  static const cshare_t none;
  const gl_res_t *cap = cap_of (teams, team);
  const cshare_t *s = team + 1 < sh->n ? &sh->v[team + 1] : &none;
  int n = max;

  if (!cap || FAULT (FAULT_CELL_NO_CAP))
    return max;
  n = fitting (cap->cpus_m, need->cpus_m, s->used.cpus_m, s->unlocated.cpus_m,
               sh->hidden.cpus_m, sh->orphaned.cpus_m, n);
  n = fitting (cap->memory_mb, need->memory_mb, s->used.memory_mb,
               s->unlocated.memory_mb, sh->hidden.memory_mb,
               sh->orphaned.memory_mb, n);
  return fitting (cap->accels, need->accels, s->used.accels,
                  s->unlocated.accels, sh->hidden.accels, sh->orphaned.accels,
                  n);
}

int
share_cap_fits (const teams_t *teams, int team, const gl_res_t *need, int n)
{
  const cshares_t none = { 0 };

  return share_room (&none, teams, team, need, n) >= n;
}

static double
weight_of (const teams_t *teams, int team)
{
  return is_configured (teams, team) && teams->v[team].weight > 0
             ? teams->v[team].weight
             : 1;
}

static double
part (int64_t used, int64_t total)
{
  return total > 0 ? (double)used / (double)total : 0;
}

double
share_dominant (const cshares_t *sh, int team)
{
  const cshare_t *s;
  double cpus;
  double memory;
  double accels;

  if (team + 1 >= sh->n)
    return 0;
  s = &sh->v[team + 1];
  cpus = part (s->used.cpus_m + s->planned.cpus_m, sh->total.cpus_m);
  memory
      = part (s->used.memory_mb + s->planned.memory_mb, sh->total.memory_mb);
  accels = part (s->used.accels + s->planned.accels, sh->total.accels);
  if (memory > cpus)
    cpus = memory;
  return accels > cpus ? accels : cpus;
}

double
share_weighted (const cshares_t *sh, const teams_t *teams, int team)
{
  return share_dominant (sh, team) / weight_of (teams, team);
}

int
share_is_held (const cshares_t *sh, const teams_t *teams, int team)
{
  const gl_res_t *cap = cap_of (teams, team);
  const cshare_t *s;

  if (!cap || team + 1 >= sh->n)
    return 0;
  s = &sh->v[team + 1];
  return s->held
         && ((cap->cpus_m > 0 && 2 * s->used.cpus_m >= cap->cpus_m)
             || (cap->memory_mb > 0 && 2 * s->used.memory_mb >= cap->memory_mb)
             || (cap->accels > 0 && 2 * s->used.accels >= cap->accels));
}

/* ---- rate ---- */

int
shares_half_taken (const cshares_t *sh)
{
  return 2 * sh->taken.cpus_m >= sh->total.cpus_m
         || 2 * sh->taken.memory_mb >= sh->total.memory_mb;
}

void
shares_reset (cshares_t *sh)
{
  for (int i = 0; i < sh->n; i++)
    {
      cshare_t *s = &sh->v[i];

      s->filled_at = 0;
      s->over = 0;
      s->capped = 0;
      s->capped_since = 0;
    }
  sh->short_of_room = 0;
  sh->noted_at = 0;
}

/* Add the tokens since the last time, to one second's at most. */
static void
fill_bucket (cshare_t *s, double weight, gl_ms_t now)
{
  double depth = weight > 1 ? weight : 1;

  if (!s->filled_at)
    s->tokens = depth;
  else
    s->tokens += weight * (double)(now - s->filled_at) / 1000;
  if (s->tokens > depth)
    s->tokens = depth;
  s->filled_at = now;
}

int
share_take_token (cshares_t *sh, const teams_t *teams, int team, gl_ms_t now)
{
  cshare_t *s;

  if (shares_reserve (sh, team))
    return 1;
  s = &sh->v[team + 1];
  fill_bucket (s, weight_of (teams, team), now);
  s->over = s->tokens < 1;
  if (s->over)
    return 0;
  s->tokens -= 1;
  return 1;
}

uint32_t
share_retry_ms (const cshares_t *sh, const teams_t *teams, int team)
{
  double ms = (1 - sh->v[team + 1].tokens) * 1000 / weight_of (teams, team);

  return ms < RETRY_MIN_MS   ? RETRY_MIN_MS
         : ms > RETRY_MAX_MS ? RETRY_MAX_MS
                             : (uint32_t)ms;
}

int
share_note_pass (cshares_t *sh, const teams_t *teams, int team, gl_ms_t now)
{
  cshare_t *s = &sh->v[team + 1];

  if (s->capped && s->capped_since && sh->noted_at)
    s->capped_ms += now - sh->noted_at;
  if (!s->capped)
    s->capped_since = 0;
  else if (!s->capped_since)
    s->capped_since = now;
  if (s->over)
    {
      fill_bucket (s, weight_of (teams, team), now);
      s->over = s->tokens < 1;
    }
  if ((s->capped == s->logged_capped && s->over == s->logged_over)
      || now < s->logged_at + LOG_INTERVAL_MS)
    return 0;
  s->logged_at = now;
  s->logged_capped = s->capped;
  s->logged_over = s->over;
  return 1;
}

/* ---- order ---- */

static int
class_cmp (const cturn_t *x, const cturn_t *y)
{
  if (x->priority != y->priority)
    return x->priority < y->priority ? -1 : 1;
  if (x->beyond != y->beyond)
    return x->beyond < y->beyond ? -1 : 1;
  if (x->lateness != y->lateness)
    return x->lateness < y->lateness ? -1 : 1;
  if (x->team_priority != y->team_priority)
    return x->team_priority < y->team_priority ? -1 : 1;
  return 0;
}

static int
turn_cmp (const void *a, const void *b)
{
  const cturn_t *x = a;
  const cturn_t *y = b;
  int diff = class_cmp (x, y);

  if (diff)
    return diff;
  if (x->team != y->team)
    return x->team < y->team ? -1 : 1;
  return x->pos < y->pos ? -1 : x->pos > y->pos;
}

/* Whether run @x is to be served before @y: of teams with equal shares, the
   one whose step has waited longer. */
static int
run_is_before (const cturns_t *t, const crun_t *x, const crun_t *y)
{
  if (x->share != y->share)
    return x->share < y->share;
  return t->v[x->next].pos < t->v[y->next].pos;
}

static void
sift_down (cturns_t *t, int i)
{
  for (;;)
    {
      int first = i;
      crun_t tmp;

      for (int k = 2 * i + 1; k <= 2 * i + 2 && k < t->nruns; k++)
        if (run_is_before (t, &t->runs[k], &t->runs[first]))
          first = k;
      if (first == i)
        return;
      tmp = t->runs[i];
      t->runs[i] = t->runs[first];
      t->runs[first] = tmp;
      i = first;
    }
}

/* Jobs without a team, or of one that has left the configuration, have the
   lowest priority of a configured team. */
int
turns_begin (cturns_t *t, const teams_t *teams, cturn_t *v, size_t n)
{
  int last = 0;

  memset (t, 0, sizeof *t);
  t->v = v;
  t->n = n;
  t->runs = calloc ((size_t)teams->n + 2, sizeof *t->runs);
  if (!t->runs)
    {
      turns_end (t);
      return -1;
    }
  for (int i = 0; i < teams->n; i++)
    if (!teams->v[i].removed && teams->v[i].priority > last)
      last = teams->v[i].priority;
  for (size_t i = 0; i < n; i++)
    v[i].team_priority = is_configured (teams, v[i].team)
                             ? teams->v[v[i].team].priority
                             : last;
  if (n)
    qsort (v, n, sizeof *v, turn_cmp);
  return 0;
}

/* Make the heap of the next class. */
static void
begin_class (cturns_t *t, const cshares_t *sh, const teams_t *teams)
{
  const cturn_t *first = &t->v[t->at];

  while (t->at < t->n && !class_cmp (first, &t->v[t->at]))
    {
      crun_t *r = &t->runs[t->nruns++];

      r->team = t->v[t->at].team;
      r->share = share_weighted (sh, teams, r->team);
      r->next = t->at;
      while (t->at < t->n && t->v[t->at].team == r->team
             && !class_cmp (first, &t->v[t->at]))
        t->at++;
      r->end = t->at;
    }
  for (int i = t->nruns / 2; i-- > 0;)
    sift_down (t, i);
}

cturn_t *
turns_next (cturns_t *t, const cshares_t *sh, const teams_t *teams, int again)
{
  /* The step that was served last is the first one of the heap's root. */
  if (t->nruns)
    {
      crun_t *r = &t->runs[0];

      r->next += !again;
      if (r->next == r->end)
        *r = t->runs[--t->nruns];
      else
        r->share = share_weighted (sh, teams, r->team);
      sift_down (t, 0);
    }
  if (!t->nruns && t->at < t->n)
    begin_class (t, sh, teams);
  return t->nruns ? &t->v[t->runs[0].next] : NULL;
}

void
turns_end (cturns_t *t)
{
  free (t->v);
  free (t->runs);
  memset (t, 0, sizeof *t);
}
