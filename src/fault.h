/* fault.h -- deliberate faults, compiled into the test build only */
#ifndef GL_FAULT_H
#define GL_FAULT_H

/**
 * enum fault_t - a rule of the reducers that the test build can break
 *
 * The fuzzers switch one fault on and must then report a violation;
 * docs/PROOF.md lists how many steps that took.
 *
 * Scheduler:
 * @FAULT_START_BEFORE_COMMIT: starts a task before its assignment is committed
 * @FAULT_ANSWER_BEFORE_COMMIT: answers a request before it is committed
 * @FAULT_SKIP_BOOT_CHECK: takes tasks of a rebooted worker as still running
 * @FAULT_NO_RUN_OUT: does not wait for the leases of a silent worker to end
 * @FAULT_NO_INHERITED_BOUND: ignores leases that an earlier owner granted
 * @FAULT_FREE_TWICE: gives a task's resources back twice
 * @FAULT_OVERFILL: places tasks without regard to free resources
 * @FAULT_GANG_PARTIAL: starts a gang although not all members have room
 * @FAULT_IGNORE_QUOTA: ignores the teams' quotas
 * @FAULT_FORGET_FENCE: takes a conflicting commit as written
 * Entry:
 * @FAULT_RESEND_SENT: sends a request again that may have been carried out
 * @FAULT_NO_CLAIM: does not claim idempotency keys
 * @FAULT_PARTIAL_AS_WHOLE: passes an incomplete response on as complete
 * @FAULT_IGNORE_LEAVING: sends requests to instances that are leaving
 * Configuration and common rules:
 * @FAULT_REVISION_FALLS: lets an older configuration replace a newer one
 * @FAULT_ANSWER_TWICE: answers a request twice
 * @FAULT_CUT_ON_STOP: stops while requests are open
 * @FAULT_CHANGE_TWICE: makes a change again after a lost answer
 * @FAULT_CHANGE_UNSURE_IS_DONE: takes a change whose answer was lost as made
 * Cell:
 * @FAULT_CELL_FORGET_EARLY: lets workers forget ends that are not in the store
 * @FAULT_CELL_NO_CENSUS: starts inherited tasks before the census is complete
 * @FAULT_CELL_ORPHANS_FREE: places tasks on workers with orphaned runs
 * @FAULT_CELL_ACCEPT_EARLY: accepts a job before it is in the store
 * @FAULT_CELL_FAILURE_TWICE: counts one failed run more than once
 * @FAULT_CELL_NO_FENCE: writes as owner without checking the ownership
 * @FAULT_CELL_LATE_WRITE: writes task records without checking that no later
 *   ones are in the store
 * @FAULT_CELL_CHUNK_FORGOTTEN: takes all records of a job as written when one
 *   chunk of them is
 * @FAULT_CELL_RESTART_UNCONFIRMED: starts the tasks of a restarted worker anew
 *   without confirming the ownership
 * @FAULT_CELL_FOREIGN_LEASE: starts tasks on a worker that may hold a lease by
 *   the clock of its former incarnation
 * @FAULT_CELL_CAPACITY_OLD: starts tasks by capacities however old
 * @FAULT_CELL_UNSETTLED: counts the runs of a former incarnation as lost
 * before the present one has listed its runs
 * @FAULT_CELL_ACKS_UNPROVEN: acknowledges ends to a worker that may have
 *   restarted
 * @FAULT_CELL_TOKENS_SHARED: calls all incarnations of a worker with one
 *   fencing token
 * @FAULT_CELL_END_WAIT_LONG: lets a state query wait longer than its bound for
 *   the write of a job's end
 * @FAULT_CELL_END_EARLY: shows a job's end before it is in the store
 * @FAULT_CELL_CONF_REVERTS: takes an older configuration for a newer one
 * @FAULT_CELL_CONF_TRUSTED: serves keys however old the configuration is
 * @FAULT_CELL_TEAMS_MIXED: shows a team's jobs to other teams
 * @FAULT_CELL_NO_CAP: starts tasks beyond their team's cap
 * @FAULT_CELL_CAP_UNLOCATED: does not count tasks that an earlier owner may
 *   have started against their team's cap
 */
typedef enum
{
  FAULT_NONE = 0,
  FAULT_START_BEFORE_COMMIT,
  FAULT_ANSWER_BEFORE_COMMIT,
  FAULT_SKIP_BOOT_CHECK,
  FAULT_NO_RUN_OUT,
  FAULT_NO_INHERITED_BOUND,
  FAULT_FREE_TWICE,
  FAULT_OVERFILL,
  FAULT_GANG_PARTIAL,
  FAULT_IGNORE_QUOTA,
  FAULT_FORGET_FENCE,
  FAULT_RESEND_SENT,
  FAULT_NO_CLAIM,
  FAULT_PARTIAL_AS_WHOLE,
  FAULT_IGNORE_LEAVING,
  FAULT_REVISION_FALLS,
  FAULT_ANSWER_TWICE,
  FAULT_CUT_ON_STOP,
  FAULT_CHANGE_TWICE,
  FAULT_CHANGE_UNSURE_IS_DONE,
  FAULT_CELL_FORGET_EARLY,
  FAULT_CELL_NO_CENSUS,
  FAULT_CELL_ORPHANS_FREE,
  FAULT_CELL_ACCEPT_EARLY,
  FAULT_CELL_FAILURE_TWICE,
  FAULT_CELL_NO_FENCE,
  FAULT_CELL_LATE_WRITE,
  FAULT_CELL_CHUNK_FORGOTTEN,
  FAULT_CELL_RESTART_UNCONFIRMED,
  FAULT_CELL_FOREIGN_LEASE,
  FAULT_CELL_CAPACITY_OLD,
  FAULT_CELL_TOKENS_SHARED,
  FAULT_CELL_UNSETTLED,
  FAULT_CELL_ACKS_UNPROVEN,
  FAULT_CELL_END_WAIT_LONG,
  FAULT_CELL_END_EARLY,
  FAULT_CELL_TEAMS_MIXED,
  FAULT_CELL_CONF_REVERTS,
  FAULT_CELL_CONF_TRUSTED,
  FAULT_CELL_NO_CAP,
  FAULT_CELL_CAP_UNLOCATED,
  FAULT_COUNT
} fault_t;

#ifdef GL_TEST_FAULTS
extern fault_t fault_on;
#define FAULT(f) (fault_on == (f))
#else
#define FAULT(f) 0
#endif

#endif
