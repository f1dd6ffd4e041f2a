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
 * @planned: resources of its steps that have been served in the present order
 *   without a start: gangs for which reservations are made, and steps for
 * which the advisor is being consulted
 * @held: in the present planning pass, a gang that fits its cap waits for that
 * @tokens, @filled_at: its token bucket: jobs that it may still submit within
 *   its rate, and when that was computed; 0: the bucket is full
 * @over: its last submission was beyond its rate, and there is no token since
 * @capped, @capped_since: its cap kept a step from starting in the last
 * planning pass, and since when that is so
 * @capped_ms: time for which that was so, up to the last pass
 * @refused: submissions refused for its rate
 * @logged_at, @logged_capped, @logged_over: when its state was last logged,
 * and that state
 */
typedef struct
{
  csum_t used;
  csum_t unlocated;
  csum_t planned;
  int held;
  double tokens;
  gl_ms_t filled_at;
  int over;
  int capped;
  gl_ms_t capped_since;
  gl_ms_t capped_ms;
  uint64_t refused;
  gl_ms_t logged_at;
  int logged_capped;
  int logged_over;
} cshare_t;

/**
 * struct cshares_t - all teams
 * @on: teams are configured, and what they use is counted
 * @v, @n, @cap: by the team's index plus 1; the first is for jobs without a
 *   team
 * @hidden: capacity of the workers of which it is not known what runs there
 * @orphaned: room on the workers with orphaned runs that no known task uses
 * @total, @taken: capacity of the workers that take tasks, and what is used of
 *   it
 * @short_of_room: for each priority, by its bit, whether work of it waited for
 *   room in the last planning pass
 * @noted_at: when the last planning pass was
 */
typedef struct
{
  int on;
  cshare_t *v;
  int n;
  int cap;
  csum_t hidden;
  csum_t orphaned;
  csum_t total;
  csum_t taken;
  unsigned int short_of_room;
  gl_ms_t noted_at;
} cshares_t;

/**
 * struct cturn_t - a step that waits
 * @priority, @beyond, @lateness, @team: what it is ordered by: priority of its
 *   queue; its job is beyond its team's rate; as due_lateness; index of its
 *   team, -1 for none
 * @team_priority: set by turns_begin
 * @pos: its place among all that wait, by age
 * @item: the step
 */
typedef struct
{
  int priority;
  int beyond;
  int lateness;
  int team;
  int team_priority;
  size_t pos;
  void *item;
} cturn_t;

/** struct crun_t - turns of one team in a class of the order, from @next to
    @end; @share is the team's weighted share when it was last served */
typedef struct
{
  double share;
  int team;
  size_t next;
  size_t end;
} crun_t;

/**
 * struct cturns_t - the order in which steps are served
 * @v, @n: the steps, sorted by class, team and age
 * @at: where the next class begins
 * @runs, @nruns: the teams of the present class, as a heap by share
 */
typedef struct
{
  cturn_t *v;
  size_t n;
  size_t at;
  crun_t *runs;
  int nruns;
} cturns_t;

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
/** shares_clear_census - before a planning pass: nothing is hidden, orphaned
   or unlocated, and no worker takes tasks */
void shares_clear_census (cshares_t *sh);
/** shares_clear_planned - nothing is planned for any team */
void shares_clear_planned (cshares_t *sh);
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

/** SHARE_METRICS_MAX - teams in the metrics, jobs without a team included */
#define SHARE_METRICS_MAX 128

/** share_dominant - the team's largest share of a resource of the cell */
double share_dominant (const cshares_t *sh, int team);
/** share_weighted - the same, over its weight */
double share_weighted (const cshares_t *sh, const teams_t *teams, int team);
/** share_is_held - 1 if the team uses half of its cap, and one of its gangs
    waits for the rest of it */
int share_is_held (const cshares_t *sh, const teams_t *teams, int team);

/** shares_half_taken - 1 if half of the cell's processors or memory is in use
 */
int shares_half_taken (const cshares_t *sh);
/** shares_reset - the ownership is lost: buckets are full, and no team waits
 */
void shares_reset (cshares_t *sh);
/** share_take_token - 1 if the team submits a job within its rate, which takes
   a token */
int share_take_token (cshares_t *sh, const teams_t *teams, int team,
                      gl_ms_t now);
/** share_retry_ms - time until the team has a token, within the bounds for
    refusals */
uint32_t share_retry_ms (const cshares_t *sh, const teams_t *teams, int team);
/** share_note_pass - after a planning pass: keep the team's times, and tell by
    the result whether its state is to be logged: it has changed, and was not
    logged in the last second */
int share_note_pass (cshares_t *sh, const teams_t *teams, int team,
                     gl_ms_t now);

/** turns_begin - put the steps @v in order; @v is taken over and sorted; -1
    without memory */
int turns_begin (cturns_t *t, const teams_t *teams, cturn_t *v, size_t n);
/** turns_next - the step to be served next, NULL after the last one; the
   shares may have changed since the one before; with @again, that one comes
   back unless another team's turn comes first */
cturn_t *turns_next (cturns_t *t, const cshares_t *sh, const teams_t *teams,
                     int again);
/** turns_end - free the tables */
void turns_end (cturns_t *t);

#endif
