/* cellshare.h -- what the tasks of each team use, and the teams' caps */
#ifndef GL_CELLSHARE_H
#define GL_CELLSHARE_H

#include "gentianlatch.h"
#include "team.h"

/** struct csum_t - sum of resources of many tasks or workers */
typedef struct
{
  int64_t cpus_m;
  int64_t memory_mb;
  int64_t accels;
} csum_t;

/**
 * struct cshare_t - one team
 * @used: resources of its tasks that are bound to a worker
 * @unlocated: resources of its tasks that an earlier owner may have started
 *   and that have not been found yet, as of the present planning pass
 */
typedef struct
{
  csum_t used;
  csum_t unlocated;
} cshare_t;

/**
 * struct cshares_t - all teams
 * @on: teams are configured, and what they use is counted
 * @v, @n, @cap: by the team's index plus 1; the first is for jobs without a
 *   team
 * @hidden: capacity of the workers of which it is not known what runs there
 * @orphaned: room on the workers with orphaned runs that no known task uses
 */
typedef struct
{
  int on;
  cshare_t *v;
  int n;
  int cap;
  csum_t hidden;
  csum_t orphaned;
} cshares_t;

/** SHARE_UNKNOWN - capacity of a worker that has not told it; far above that
    of a cell, and far below where sums overflow */
#define SHARE_UNKNOWN ((int64_t)1 << 40)

/** csum_add - add @n times @r, which may be negative */
void csum_add (csum_t *sum, const gl_res_t *r, int64_t n);

/** shares_destroy - free the table */
void shares_destroy (cshares_t *sh);
/** shares_reserve - make room for the team with index @team; -1 without
    memory */
int shares_reserve (cshares_t *sh, int team);
/** shares_clear_used - no task is bound to a worker */
void shares_clear_used (cshares_t *sh);
/** shares_clear_census - nothing is hidden, orphaned or unlocated */
void shares_clear_census (cshares_t *sh);
/** share_bound, share_unbound - a task of the team that needs @need has been
    bound to a worker, or is no longer */
void share_bound (cshares_t *sh, int team, const gl_res_t *need);
void share_unbound (cshares_t *sh, int team, const gl_res_t *need);
/** share_unlocated - an earlier owner may have started a task of the team */
void share_unlocated (cshares_t *sh, int team, const gl_res_t *need);
/** share_room - how many tasks that need @need, at most @max, the team's cap
    allows to start now */
int share_room (const cshares_t *sh, const teams_t *teams, int team,
                const gl_res_t *need, int max);
/** share_cap_fits - 1 if the team's cap allows @n such tasks while it has no
    others */
int share_cap_fits (const teams_t *teams, int team, const gl_res_t *need,
                    int n);

#endif
