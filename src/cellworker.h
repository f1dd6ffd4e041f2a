/* cellworker.h -- what the owner of a cell knows of one incarnation of a
 * worker */
#ifndef GL_CELLWORKER_H
#define GL_CELLWORKER_H

#include "cell.h"
#include "cellpace.h"
#include "cellpair.h"
#include "pool.h"

/* Most reservations on one worker. */
#define CELL_RESERVATIONS_MAX 8

/**
 * struct creservation_t - room reserved for tasks of a gang on one worker
 * @step: handle of the gang's step
 * @worker: index of the worker
 * @ntasks: tasks of the gang for which room is reserved
 * @shadow_time: when the gang is expected to start
 * @order: place of the gang among those that wait, from 1
 * @need: resources of one task
 */
typedef struct
{
  handle_t step;
  int worker;
  int ntasks;
  gl_ms_t shadow_time;
  int order;
  gl_res_t need;
} creservation_t;

/** struct ctask_handle_t - a task, by the handle of its step and its number in
    the step */
typedef struct
{
  handle_t step;
  uint32_t index;
} ctask_handle_t;

/* Most runs that are kept of a worker given up by its lease, see cellcrash.c.
 */
#define CELL_LAPSED_RUNS_MAX 8

/** struct clapsed_run_t - a run that may have crashed a worker which was given
    up by its lease */
typedef struct
{
  ctask_handle_t task;
  uint32_t run;
} clapsed_run_t;

/**
 * struct cunacked_t - an end that is not acknowledged to its worker yet
 * @seq: number of the end in the worker's reports
 * @job, @version: the end is acknowledged once the job's task records are in
 *   the store at this version
 */
typedef struct
{
  uint64_t seq;
  handle_t job;
  uint64_t version;
} cunacked_t;

/** struct ccrash_t - a crash under a run that may fail its job, after @since
   and noted at @at */
typedef struct
{
  ctask_handle_t task;
  uint32_t run;
  int sole;
  gl_ms_t since;
  gl_ms_t at;
} ccrash_t;

/* The members of struct cworker_owned_t. */
#define CWORKER_OWNED_MEMBERS                                                 \
  uint64_t epoch;                                                             \
  int enrolled;                                                               \
  uint64_t record_revision;                                                   \
  int heard;                                                                  \
  int accounted;                                                              \
  int dead;                                                                   \
  int silent;                                                                 \
  gl_ms_t lease_over_at;                                                      \
  gl_ms_t restarted_at;                                                       \
  uint64_t lease_sent;                                                        \
  gl_ms_t lease_sent_at;                                                      \
  uint64_t taken_seq;                                                         \
  uint64_t ack_cursor;                                                        \
  size_t nunacked;                                                            \
  uint64_t poll_tag;                                                          \
  int orphans;                                                                \
  uint32_t missed_polls;                                                      \
  int suspect;

/**
 * struct cworker_owned_t - what this owner knows of one incarnation, which
 *   begins anew with each ownership
 * @epoch: number of its fencing token among those of the ownership, from 0;
 *   higher than those of its id's former incarnations
 * @enrolled: its record is in the store, so that a successor will know it, and
 *   is not being removed
 * @record_revision: revision of that record as far as it is known, 0 if there
 *   is none
 * @heard: it has answered a poll with its fencing token, so it refuses what
 *   was sent to former incarnations or by earlier owners
 * @accounted: this owner knows what runs there, from its report or because
 *   its leases have ended
 * @dead: this incarnation counts as over, and nothing of it runs: it has
 *   restarted, or its leases have ended
 * @silent: its last poll got no answer
 * @lease_over_at: when its leases were found to have ended, 0 if not
 * @restarted_at: when another incarnation was first found at its address, 0 if
 *   none was
 * @lease_sent, @lease_sent_at: latest end of a lease that was sent to it, in
 *   its own clock, and when it was first sent; 0 if none was
 * @taken_seq, @ack_cursor: number of the last end taken from its reports, and
 *   of the last end that it may forget
 * @nunacked: number of ends in between
 * @poll_tag: tag of the poll in flight, 0 for none
 * @orphans: runs in its last report that this owner does not know; they take
 *   room
 * @missed_polls: polls in a row without an answer
 * @suspect: it may be gone: no task is started there until it has answered
 */
typedef struct
{
  CWORKER_OWNED_MEMBERS
} cworker_owned_t;

/**
 * struct cworker_t - one incarnation of a worker
 * @owned: see struct cworker_owned_t, the members of which are also members of
 *   this one
 * @info: its latest registration, or the record by an earlier owner without
 *   the capacity
 * @capacity_at: it had that capacity at this instant or later
 * @next_incarnation: index of another incarnation of the same id; they form a
 *   ring
 * @replaced: another incarnation of its id has answered since, so it is over
 * @settled: what the incarnation that replaced it had been sent to this one is
 *   bound to that one now
 * @rack: index of its rack in struct cell
 * @capacity_max: the largest capacity that it is known to have had
 * @used: resources of the tasks that are bound to it
 * @registered, @unregistered_at: its registration is in the store, else since
 *   when it is not
 * @record_start: the start in that record's key, 0 for none
 * @record_cut: that key has only the beginning of a long id
 * @lease_bound_at: instant by which every lease that it can hold from earlier
 *   owners has ended
 * @foreign_until: instant by which every lease has ended that calls to former
 *   incarnations can have given it, 0 for none
 * @foreign_open: until it is heard, such a call may give it another one
 * @avoid_until: no task is started there before this
 * @clock, @clock_at: its clock in its last answer, and when that arrived
 * @unacked: the ends that @nunacked counts, in order
 * @poll_now: its next poll is not to be delayed
 * @poll_at: when to poll it next
 * @orphans_stopped_at: when they were last sent stops
 * @unproven: a call got no answer since it last listed its runs, so it may
 * have restarted
 * @failed_jobs, @last_failed_job: different jobs in a row whose runs failed
 *   there, and the last of them
 * @backoff: exponent of the span for which it is avoided next
 * @slowness: duration of its runs over their estimates, relative to the
 *   cell's average; 0 if not known
 * @pace: its speed, from runs of one step compared with each other
 * @past: runs that have ended there, where interference is observed
 * @listed_at: when it last listed its runs and ends
 * @ends_after: the ends that it lists now came after this
 * @tasks, @ntasks: tasks that are bound to it, including members of gangs that
 *   are done but that it may still list as running
 * @probed_job: the suspect job that was last started there, 0 for none
 * @probe_polled: it was polled to learn whether that run has survived
 * @added_at: when it became known here
 * @crashed_at, @crashed_alone: when it was found restarted, 0 if it was not,
 * and that nothing was suspect of it
 * @lapsed_runs, @nlapsed_runs, @lapsed_sole, @lapsed_at: runs that it had not
 *   survived when it was given up by its lease, whether all were of one job,
 *   and when that was
 * @reservations, @nreservations: room reserved on it for gangs
 */
typedef struct
{
  union
  {
    cworker_owned_t owned;
    struct
    {
      CWORKER_OWNED_MEMBERS
    };
  };
  cell_worker_t info;
  gl_ms_t capacity_at;
  int next_incarnation;
  int replaced;
  int settled;
  int rack;
  gl_res_t capacity_max;
  gl_res_t used;
  int registered;
  uint64_t record_start;
  int record_cut;
  gl_ms_t unregistered_at;
  gl_ms_t lease_bound_at;
  gl_ms_t foreign_until;
  int foreign_open;
  gl_ms_t avoid_until;
  uint64_t clock;
  gl_ms_t clock_at;
  cunacked_t *unacked;
  size_t capunacked;
  int poll_now;
  gl_ms_t poll_at;
  gl_ms_t orphans_stopped_at;
  int unproven;
  uint32_t failed_jobs;
  handle_t last_failed_job;
  uint32_t backoff;
  double slowness;
  pace_t pace;
  pair_past_t past;
  gl_ms_t listed_at;
  gl_ms_t ends_after;
  ctask_handle_t *tasks;
  int ntasks;
  int captasks;
  handle_t probed_job;
  int probe_polled;
  gl_ms_t added_at;
  gl_ms_t crashed_at;
  int crashed_alone;
  clapsed_run_t lapsed_runs[CELL_LAPSED_RUNS_MAX];
  int nlapsed_runs;
  int lapsed_sole;
  gl_ms_t lapsed_at;
  creservation_t reservations[CELL_RESERVATIONS_MAX];
  int nreservations;
} cworker_t;

#endif
