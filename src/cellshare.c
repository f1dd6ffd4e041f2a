/*
 * cellshare.c -- caps of teams
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
 */
#include "cellshare.h"

#include <stdlib.h>
#include <string.h>

#include "fault.h"
#include "pool.h"

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
  int n = team + 2;

  if (n <= sh->n)
    return 0;
  if (array_reserve (&sh->v, &sh->cap, n, sizeof *sh->v))
    return -1;
  memset (sh->v + sh->n, 0, (size_t)(n - sh->n) * sizeof *sh->v);
  sh->n = n;
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
  for (int i = 0; i < sh->n; i++)
    memset (&sh->v[i].unlocated, 0, sizeof sh->v[i].unlocated);
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

/* The team's cap, or NULL if it has none. */
static const gl_res_t *
cap_of (const teams_t *teams, int team)
{
  return team >= 0 && team < teams->n && !teams->v[team].removed
             ? &teams->v[team].cap
             : NULL;
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
