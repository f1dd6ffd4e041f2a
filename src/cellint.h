/* cellint.h -- private state of the cell, shared by its modules */
#ifndef GL_CELLINT_H
#define GL_CELLINT_H

#include "cell.h"

#include <gsl/gsl_rng.h>

#include "cellcount.h"
#include "cellpair.h"
#include "cellratio.h"
#include "cellrecord.h"
#include "cellshare.h"
#include "cellvm.h"
#include "cellworker.h"
#include "cellyield.h"
#include "fault.h"
#include "metrics.h"
#include "names.h"
#include "pool.h"
#include "timer.h"

/* Lease of a worker; long enough to outlast a change of owners and most
   outages of the store. */
#define CELL_WORKER_LEASE_MS 4000
/* Lowest rate of a worker's clock relative to this VM's: a worker's clock is
   at most two percent slow. */
#define CELL_CLOCK_RATE_MIN 0.98
/* Longest time that such a lease lasts. */
#define CELL_LEASE_LASTS_MS                                                   \
  ((gl_ms_t)(CELL_WORKER_LEASE_MS / CELL_CLOCK_RATE_MIN))
/* Fencing tokens of an ownership: the last ones up to its generation. */
#define CELL_TOKENS (1ull << 20)
/* How late calls to a worker that has not been heard are taken to be. */
#define CELL_LATE_CALL_MS 5000
/* An owner renews workers' leases, and starts tasks, for this long after the
   store last confirmed its ownership.  A successor has to wait for such leases
   to end. */
#define CELL_RENEW_GRACE_MS 1600
/* The same while every other VM says that the store does not answer it either,
   so that none can have claimed the cell: accepted work goes on through an
   outage of the store.  A successor that the owner may not know has to wait
   for this time. */
#define CELL_RENEW_OUTAGE_MS 5000
/* What a VM says of its store is valid for this long from when it was asked,
   which is more than two heartbeats and well below CELL_RENEW_GRACE_MS. */
#define CELL_STORE_WORD_MS 600
/* An owner whose ownership no transaction has confirmed for this long sends
   one that only checks it.  Also the timeout of that transaction. */
#define CELL_CONFIRM_MS 400
/* How long a worker may delay its answer to a poll, and so the longest time
   between two reports of progress; the platform allows up to 2000. */
#define CELL_POLL_WAIT_MS 900
/* The same for a poll that is due although no end that matters is near. */
#define CELL_POLL_SHORT_WAIT_MS 100
/* The same while nothing runs on the worker. */
#define CELL_POLL_IDLE_WAIT_MS 1900
/* Time for the answer to arrive, beyond that delay. */
#define CELL_POLL_GRACE_MS 500
/* Timeout of a start, a stop and a poll that is not to be delayed; the outcome
   is unknown then. */
#define CELL_CALL_TIMEOUT_MS 300
/* New task records of a running job wait this long, so that one write takes
   several of them. */
#define CELL_SAVE_DELAY_MS 60
/* A worker that lists ends which are not in the store yet is polled again
   only after this time: it would answer at once. */
#define CELL_UNSAVED_POLL_MS 150
/* Pause after a transaction that was refused or got no answer. */
#define CELL_STORE_RETRY_MS 60
/* Transactions of cellsave.c that may be in flight at once. */
#define CELL_SAVE_TXNS_MAX 12
/* Timeout of a transaction, after which its outcome is unknown.  For those of
   cellsave.c it is CELL_TXN_TIMEOUT_FACTOR times the usual duration, within
   these bounds. */
#define CELL_TXN_TIMEOUT_MAX_MS 1500
#define CELL_TXN_TIMEOUT_MIN_MS 250
#define CELL_TXN_TIMEOUT_FACTOR 6
/* Length and renewal period of the lease on this VM's keys in the store. */
#define CELL_VM_LEASE_MS 1200
#define CELL_VM_RENEW_MS 350
/* Period of the owner's heartbeats. */
#define CELL_HEARTBEAT_MS 250
/* Standbys may claim the cell after this long without a heartbeat, once the
   owner's key is gone as well.  What a heartbeat says of the owner's store is
   valid for as long. */
#define CELL_HEARTBEAT_LOST_MS 700
/* Standbys may claim the cell when the owner's key has been gone for this
   long, even if heartbeats arrive.  A VM without heartbeats for this long is
   not ready for requests. */
#define CELL_OWNER_KEY_LOST_MS 2500
/* Standbys may claim the cell from an owner that says in its heartbeats that
   the store has not answered it for this long, if their own lease was renewed
   within the same span. */
#define CELL_OWNER_STORE_LOST_MS 700
/* Standbys do not claim from such an owner for this long after it took over:
   it may be busy with the census of the workers, which a successor would start
   again. */
#define CELL_OWNER_MIN_MS 3000
/* A standby claims the cell from another owner only when its own lease has
   been held for this long.  A refused connection to the owner counts as
   evidence for as long. */
#define CELL_STORE_CONTACT_MS 400
/* A VM that has lost the ownership makes no claim for this long, and for twice
   as long after it released the cell.  After a lost claim it waits a random
   part of a quarter of this. */
#define CELL_CLAIM_BACKOFF_MS 1500
/* The store counts as down when calls fail and none has succeeded for this
   long. */
#define CELL_STORE_DOWN_MS 300
/* Retry time in refusals while there is no owner or no store, and the longest
   one during an outage of the store, without its random part. */
#define CELL_RETRY_MS 1000
#define CELL_RETRY_MAX_MS 3000
/* A VM is isolated when neither the store nor a VM of another failure domain
   has answered it for this long.  Longer than a lease renewal through a store
   that answers slowly, and than two heartbeats. */
#define CELL_ISOLATED_MS 600
/* No request is forwarded to an owner that has sent no heartbeat for this
   long: its outcome could stay unknown. */
#define CELL_FORWARD_SILENCE_MS 400
/* A VM that has heard no heartbeat for this long, although the owner's key is
   there, cannot reach the owner: it is not ready for requests. */
#define CELL_OWNER_UNREACHABLE_MS 1500
/* VMs that are told to stop at the same time learn of it within this span. */
#define CELL_STOP_SPREAD_MS 150
/* A request that no owner can have received is refused after this long. */
#define CELL_NO_OWNER_MS 1500
/* Keys of the store that several modules use: the ownership record, the
   owner's key, and the beginnings of the keys of claims, processes and VMs. */
#define KEY_OWNERSHIP "gl/m/tenure"
#define KEY_OWNER "gl/m/owner"
#define KEY_CLAIM "gl/m/claim/"
#define KEY_PROCESS "gl/m/process/"
#define KEY_VM "gl/m/vm/"
/* Table sizes: queues whose counts are kept, workers named in one
   consultation. */
#define CELL_QUEUES_MAX 128
#define CELL_CONSULT_WORKERS_MAX 128
/* A request is answered this long before its deadline, so that the answer
   arrives in time. */
#define CELL_REPLY_MARGIN_MS 60

/**
 * enum ctask_state_t - state of a task
 * @CT_WAITING: bound to no worker
 * @CT_STARTING: a start has been sent
 * @CT_RUNNING: the worker has confirmed the run
 * @CT_UNKNOWN: the start got no answer; a stop has been sent
 * @CT_STOPPING: a stop has been sent; the task still takes room on its worker
 * @CT_DONE: ended successfully; a gang member, or a later run than the one
 * that ended, may still be bound to its worker
 */
typedef enum
{
  CT_WAITING = 0,
  CT_STARTING,
  CT_RUNNING,
  CT_UNKNOWN,
  CT_STOPPING,
  CT_DONE
} ctask_state_t;

/**
 * struct ctask_t - one task
 * @state: enum ctask_state_t
 * @inherited: it may be running somewhere, started by an earlier owner
 * @has_record: its task record is in the store or has to be written
 * @percent: progress of its run, 0 to 100
 * @run: number of its latest run, 0 before the first
 * @ended_run: the last run of which an end was taken, 0 for none
 * @failures: failed runs
 * @failed_runs, @nfailed_runs: numbers of the last of them
 * @unnamed_run: highest number of the others, 0 if there are none
 * @surplus: another run than the one that is bound to a worker has ended well
 *   and decided the task; the bound one is stopped, and takes room until it is
 *   gone
 * @worker, @worker_pos: index of the worker that it is bound to, -1 for none,
 *   and its place in that worker's task list
 * @sent_at: when the latest start or stop was sent
 * @stop_tag: tag of the last call made before its stop was confirmed, 0 if
 *   none was; a poll with a later tag shows whether the run was there
 * @start_tag: tag of the last call made before its start was confirmed, 0 if
 * it was not
 * @listed_tag: tag of the last poll that listed it as running, 0 for none
 * @expected_end: expected end of its run, from the estimate at first and then
 *   from its progress
 * @progress_at: when its progress last changed, 0 before the first report
 * @pace_from, @pace_at: its progress at the first change of it in this run,
 *   and when that was; 0 before
 * @stood: a report has shown the same progress as the one before
 * @grain: largest change of its progress that was seen after it had stood
 * @stalls: runs of it that were stopped since they made no progress
 * @checkpoint_at: when its checkpoint last changed in this run, 0 if it did
 * not
 * @failed_worker: index of the worker on which a run of it failed last, -1 for
 *   none
 * @seen_at: when its run was first known to have begun, 0 before
 * @survived: the run has survived its start, or never began; see cellcrash.c
 * @crashes, @sole_crashes, @crashed_run: runs since one survived under which
 *   workers crashed, those that must be the cause, and the last of them
 * @checkpoint: name of its last checkpoint, "" for none
 * @ran_ms, @ran_on: time and worker of its first run, if that ended well and
 * is to be compared with other runs of the step; 0 if not
 * @compared: that run has been compared
 * @beside: what ran beside it, where interference is observed
 */
typedef struct
{
  unsigned char state;
  unsigned char inherited;
  unsigned char has_record;
  unsigned char percent;
  unsigned char surplus;
  uint32_t run;
  uint32_t ended_run;
  uint32_t failures;
  uint32_t failed_runs[GL_FAILURES_MAX];
  uint32_t nfailed_runs;
  uint32_t unnamed_run;
  int worker;
  int worker_pos;
  gl_ms_t sent_at;
  uint64_t start_tag;
  uint64_t stop_tag;
  uint64_t listed_tag;
  gl_ms_t expected_end;
  gl_ms_t progress_at;
  unsigned char pace_from;
  unsigned char stood;
  unsigned char grain;
  unsigned char stalls;
  gl_ms_t pace_at;
  gl_ms_t checkpoint_at;
  int failed_worker;
  gl_ms_t seen_at;
  unsigned char survived;
  uint32_t crashes;
  uint32_t sole_crashes;
  uint32_t crashed_run;
  char checkpoint[64];
  uint32_t ran_ms;
  int ran_on;
  unsigned char compared;
  beside_t beside;
} ctask_t;

/** struct cticket_t - a ticket for the tasks of a step on the worker with
    index @worker; it is not used from @expires_at on */
typedef struct
{
  int worker;
  gl_ms_t expires_at;
  char ticket[48];
} cticket_t;

/**
 * struct cstep_t - a step in one iteration of a job
 * @self, @job: its own handle and its job's
 * @iteration: number of the iteration, from 0
 * @index: its number in the job, from 0
 * @def: its definition in the job's specification
 * @first_task: tasks of the job in earlier iterations and steps
 * @tasks: its tasks, def->count of them
 * @ndone, @nwaiting: how many tasks are done, and how many wait (CT_WAITING)
 * @lateness: due_lateness in the present planning pass
 * @starved, @starved_checked_at: it may use reserved room, see celldue.c, and
 *   when that was last checked
 * @ready, @ready_at: its predecessors are done, and since when
 * @started: a worker has confirmed a start of a task of it
 * @in_waiting: it is in the list of steps that wait for workers
 * @verdicts, @nverdicts: by worker index, see consult_verdict; workers from
 *   @nverdicts on have none
 * @tickets, @ntickets: its tickets, at most one for each worker
 * @consults_in_flight, @consult_after: number of consultations without an
 *   answer so far, and the earliest time for another
 * @searched_at: when workers were last searched for a consultation, 0 if never
 * @put_off: in the present planning pass, no search was left for it
 * @short_since: since when the workers that it may use have had no room for
 * it, 0 if they had when it was last tried
 * @capped: in the present planning pass, its team's cap kept it from starting
 * @surveyed_workers: workers that were known when it was last surveyed, 0
 *   before its first survey
 * @approved_scarce: the approved workers have no room for it, or only late
 * @reservations, @nreservations: room reserved for it
 * @shadow_time: when it can start on that room, 0 without a reservation
 * @reserve_order: its place among the waiting gangs, from 1; 0 for none
 * @wait_logged_at: when its wait as a gang was last logged
 * @idle_logged_at: when it was last logged that nothing of its job runs
 * @run_class: class of its tasks, see cellratio.c; 0 if not known
 */
typedef struct
{
  handle_t self;
  handle_t job;
  uint32_t iteration;
  uint32_t index;
  const gl_step_t *def;
  uint64_t first_task;
  ctask_t *tasks;
  uint32_t ndone;
  uint32_t nwaiting;
  int lateness;
  int starved;
  gl_ms_t starved_checked_at;
  int ready;
  int started;
  int in_waiting;
  gl_ms_t ready_at;
  unsigned char *verdicts;
  int nverdicts;
  cticket_t *tickets;
  int ntickets;
  int consults_in_flight;
  gl_ms_t consult_after;
  gl_ms_t searched_at;
  int put_off;
  gl_ms_t short_since;
  int capped;
  int surveyed_workers;
  int approved_scarce;
  creservation_t *reservations;
  int nreservations;
  int reserve_order;
  gl_ms_t wait_logged_at;
  gl_ms_t idle_logged_at;
  gl_ms_t shadow_time;
  int run_class;
} cstep_t;

/** struct handles_t - growable array of handles of jobs or steps */
typedef struct
{
  handle_t *v;
  size_t n;
  size_t cap;
} handles_t;

/** struct tags_t - growable array of tags of requests */
typedef struct
{
  uint64_t *v;
  size_t n;
  size_t cap;
} tags_t;

/**
 * struct cjob_t - one job
 * @self: its handle
 * @spec: the job as submitted
 * @queue: index of its queue, -1 while that is not known
 * @team: index of its team in the configuration, -1 for none
 * @beyond: it was submitted beyond its team's rate; known to this owner only
 * @phase: GL_PHASE_PENDING until its end is in the store, then that end; the
 *   running phase is derived from @begun
 * @next_phase: phase to be written
 * @durable: its key is in the store
 * @inherited: an earlier owner may have started tasks of it
 * @maybe_written: a write of its key got no answer and may have taken effect
 * @begun: a worker is known to have started a task of it; an order without an
 *   answer tells nothing
 * @nbound, @idle_since: how many of its tasks are bound to a worker, and since
 *   when there have been none
 * @nsuspects, @may_crash: tasks with crashes, and that one has sole crashes
 * @saving: writes of it in the transaction that is in flight
 * @alone: a transaction with it was refused for what it held, so its writes
 *   are sent one by one
 * @refusals, @write_after: refusals in a row of a write that was sent alone,
 *   and earliest time for the next one
 * @in_dirty, @dirty_at: it is in the list of jobs to write, and since when
 * @version, @written_version: version of its task records here, and up to
 *   which all changes are in the store
 * @spec_revision: revision in the store of its specification; 0 if absent, or
 *   not known yet
 * @ntasks: tasks of the iterations that exist
 * @chunks, @nchunks: their records, see cellrecord.c
 * @next_chunk: where the search for a chunk to write goes on
 * @arrived_at: when this owner received it; for a job loaded from the store,
 *   when an earlier owner accepted it, by the wall clock
 * @ended_at: when its end was written
 * @decided_at: when the end of a run that decided the job's end was reported,
 *   0 if none has
 * @end_shown: a state query has been answered with its end
 * @path_ms: for each step, the estimates along the longest chain that begins
 *   with it
 * @critical_path_ms: the longest of them
 * @iterations_made: iterations whose steps exist
 * @steps: all iterations' steps, in order
 * @accept_waiters: requests to answer once the job is durable
 * @end_waiters: requests to answer once its end is durable; some may have had
 *   their answer
 */
typedef struct
{
  handle_t self;
  char id[CELL_JOB_ID_SIZE];
  gl_cell_job_t spec;
  int queue;
  int team;
  int beyond;
  gl_phase_t phase;
  gl_phase_t next_phase;
  int durable;
  int inherited;
  int maybe_written;
  int begun;
  int nbound;
  gl_ms_t idle_since;
  int nsuspects;
  int may_crash;
  int saving;
  int alone;
  unsigned int refusals;
  gl_ms_t write_after;
  int in_dirty;
  uint64_t version;
  uint64_t written_version;
  uint64_t spec_revision;
  uint64_t ntasks;
  cchunk_t *chunks;
  size_t nchunks;
  size_t next_chunk;
  gl_ms_t arrived_at;
  double *path_ms;
  double critical_path_ms;
  gl_ms_t dirty_at;
  gl_ms_t ended_at;
  gl_ms_t decided_at;
  int end_shown;
  uint32_t iterations_made;
  handles_t steps;
  tags_t accept_waiters;
  tags_t end_waiters;
} cjob_t;

/**
 * enum csave_kind_t - what is written of a job
 * @SAVE_CREATE: its specification, on acceptance
 * @SAVE_PROGRESS: the records of its tasks
 * @SAVE_RESULT: its result; the other keys are removed
 */
typedef enum
{
  SAVE_CREATE = 0,
  SAVE_PROGRESS,
  SAVE_RESULT
} csave_kind_t;

/** struct csave_t - a write of a job in a transaction; @version and @phase are
    those that it writes, @chunk is that of SAVE_PROGRESS */
typedef struct
{
  handle_t job;
  csave_kind_t kind;
  size_t chunk;
  uint64_t version;
  gl_phase_t phase;
} csave_t;

/** struct csave_txn_t - a transaction in flight, with the writes in it; @tag
   0: the slot is free; @leaves_at: when it will have left this VM's link */
typedef struct
{
  uint64_t tag;
  gl_ms_t sent_at;
  gl_ms_t leaves_at;
  csave_t saves[CELL_TXN_KEYS_MAX];
  int nsaves;
} csave_txn_t;

/**
 * struct cconsult_t - a consultation in flight
 * @step: handle of the step for which it is
 * @vm: index of the VM through which it goes
 * @cost_ms: time that the advisor takes for it
 * @survey: it belongs to a survey, see cellconsult.c
 * @workers: indices of the workers named
 */
typedef struct
{
  uint64_t tag;
  handle_t step;
  int vm;
  double cost_ms;
  int survey;
  gl_ms_t sent_at;
  int nworkers;
  int workers[CELL_CONSULT_WORKERS_MAX];
} cconsult_t;

/**
 * struct crequest_t - a caller's request that has no answer yet
 * @tag, @body: tag of the event that brought it, and a copy of the request
 * @deadline: instant by which it must be answered
 * @from_peer: another VM forwarded it
 * @maybe_taken: an owner may have carried it out
 * @dispatched: it is being served here, or forwarded and not answered yet
 * @retry_at: when to try again to reach an owner
 * @end_wait_until: the query waits for the write of the job's end until then;
 *   0 if it does not
 * @known_phase: the answer if that write does not come in time
 */
typedef struct
{
  uint64_t tag;
  gl_request_t body;
  gl_ms_t arrived_at;
  gl_ms_t deadline;
  int from_peer;
  int maybe_taken;
  int dispatched;
  gl_ms_t retry_at;
  gl_ms_t end_wait_until;
  gl_phase_t known_phase;
} crequest_t;

/**
 * enum crole_t - this VM's part in the cell
 * @CR_STANDBY: another VM owns the cell, or none
 * @CR_CLAIMING: a claim has been sent to the store
 * @CR_LOADING: owns the cell and reads its state
 * @CR_OWNER: owns the cell and schedules
 */
typedef enum
{
  CR_STANDBY = 0,
  CR_CLAIMING,
  CR_LOADING,
  CR_OWNER
} crole_t;

/* Most former owners that are kept. */
#define CELL_FORMERS_MAX 32

/**
 * struct cformer_t - an owner of the cell, see cellformer.c
 * @process, @addr: its process, and the address that it runs at
 * @claim_revision: revision of its claim in the store
 * @renews_until: it renews no lease of a worker from then on; TIMER_NEVER for
 *   the present owner
 */
typedef struct
{
  uint64_t generation;
  uint64_t process;
  char addr[64];
  uint64_t claim_revision;
  gl_ms_t renews_until;
} cformer_t;

/* Most VMs to which this VM sends its configuration at once. */
#define CELL_CONF_SENDS_MAX 4

/**
 * struct cconf_state_t - how current the configuration of this VM is
 * @confirmed_at: when the store, or an owner whom the store answers, last
 *   confirmed that it is the newest; 0 for never
 * @heard_at: when the owner, or at the owner another VM, last said that it has
 *   the same version; 0 for never
 * @behind_since: since when another VM is known to have a higher version; 0 if
 *   none is
 * @fetch_tag, @fetch_addr, @fetch_sent_at: fetch in flight, or 0; from whom,
 * and since when
 * @fetch_after: earliest time to ask the same VM again
 * @failure_logged_at: when a failed fetch was last logged
 * @age_logged: it has been logged that it was not confirmed for long
 * @sent_until: when this VM's link has sent the configuration to others
 */
typedef struct
{
  gl_ms_t confirmed_at;
  gl_ms_t heard_at;
  gl_ms_t behind_since;
  uint64_t fetch_tag;
  char fetch_addr[64];
  gl_ms_t fetch_sent_at;
  gl_ms_t fetch_after;
  gl_ms_t failure_logged_at;
  int age_logged;
  gl_ms_t sent_until[CELL_CONF_SENDS_MAX];
} cconf_state_t;

/** struct cqueue_count_t - jobs of a queue of which no task has started */
typedef struct
{
  char queue[CELL_NAME_SIZE];
  uint32_t waiting;
} cqueue_count_t;

/**
 * enum cspan_t - parts of the time from the end of the run that decides a
 * job's end to the answer that shows it
 * @CSPAN_POLL: from the end on the worker until it is reported here
 * @CSPAN_WRITE: until the job's end is in the store
 * @CSPAN_ANSWER: until a state query is answered with it
 */
typedef enum
{
  CSPAN_POLL = 0,
  CSPAN_WRITE,
  CSPAN_ANSWER,
  CSPAN_COUNT
} cspan_t;

/* Queues have the priorities 0 to CELL_PRIORITIES - 1; any other one is served
   after these. */
#define CELL_PRIORITIES 8

/**
 * struct cell - the reducer's state
 * @vm, @addr, @domain, @limits: as given to cell_new
 * @now, @wall: time of the present event, monotonic and wall clock
 * @awake_since: since when this VM has run without a pause
 * @fx: list to which the effects of the present event are appended
 * @link_free_at: when this VM's link has sent what was given to it, in ms
 * @next_tag: the last tag that was assigned to a call
 * @own_timer etc.: timer subscriptions of the modules
 *
 * Ownership (cellown.c):
 * @role: this VM's part in the cell
 * @stop: this VM's planned stop
 * @yield: the VM to which an owner hands the cell over, see cellyield.c
 * @generation: of this VM's latest claim; the highest of its fencing tokens
 * @ownership, @ownership_rev, @ownership_known: the ownership record, its
 *   revision in the store, and whether one has been seen
 * @census_generation: latest generation whose owner completed its census
 * @process: number of this process; another one after it has lost the cell
 * @claim_revision: revision of the latest claim in the store, 0 if there is
 * none
 * @formers, @nformers: owners since @census_generation, oldest first
 * @handover: what the last owner that released the cell has left
 * @handed_over: this VM took over from that owner
 * @owner_key_present, @owner_key_lost_at: the owner's leased key exists, else
 *   since when it does not
 * @heartbeat_at: when the last heartbeat of the present owner arrived, or when
 *   the owner last changed
 * @owner_refused_at: when the owner's address refused a connection, 0 if it
 *   has not since
 * @owner_storeless_at: when a heartbeat last said that the owner is without
 *   the store, 0 if the last one did not
 * @owner_since: when this VM learned of the present owner
 * @claim_at, @claim_not_before: when to claim, 0 if no claim is due; earliest
 *   time for one
 * @claim_tag, @release_tag, @confirm_tag, @lease_tag, @keys_tag: calls in
 *   flight, or 0
 * @releasing, @release_unanswered, @release_after: the cell may be released
 *   already, so that no worker's lease is renewed and no task started; a
 *   release got no answer; earliest time to send the next one
 * @claim_sent_at, @confirm_sent_at, @lease_requested_at: when the latest of
 *   these calls were sent
 * @lease_held, @lease_held_since, @lease_renewed_at: the last renewal of the
 *   lease on this VM's keys succeeded, since when that is so, and when a
 *   renewal last succeeded
 * @keys_lost: a key of this VM has gone and must be written again
 * @known_by, @known_at: generation of the last owner whose heartbeat has
 *   arrived since this VM's key was written, 0 for none, and when that was:
 *   that owner knows this VM
 * @confirmed_at: latest time at which this VM is known to have owned the cell
 * @store_answered_at: when the store last carried out a call
 * @heartbeat_due: when the owner sends its next heartbeats
 * @takeover_at: when this VM last won the cell
 * @members_synced, @workers_synced: all keys below gl/m/, and all
 *   registrations, have been reported once
 * @registrations_at: when the store was asked for the registrations that are
 *   known
 * @registrations_since: since when it has answered without a failure
 * @capacities_at: every registered worker had the capacity that is known at
 *   this instant or later
 * @load_tag, @load_prefix: page in flight while loading
 * @owner_queues_at: when the owner's last heartbeat arrived, 0 if none has
 * @owner_queues, @nowner_queues: counts of waiting jobs from the owner's last
 *   heartbeat
 * @vms, @nvms, @vm_names: known VMs, and the index of each plus 1 by its name
 * @conf: the configuration; queues that it no longer has stay, as removed
 * @conf_state: how current it is
 *
 * Workers (cellwork.c, cellenrol.c):
 * @workers, @nworkers, @worker_names: known incarnations of workers, and the
 *   index of the current one of each id plus 1 by that; none is ever removed
 * @racks, @nracks: names of racks, by index
 * @unaccounted: number of workers of which it is not known yet what runs there
 * @census_complete: @unaccounted has been 0 since this VM took over
 * @census_logged_at: when it was last logged which workers it waits for
 * @lease_bound_ms: longest remaining lease under earlier owners
 * @enrol_tag, @enrol_after: transaction in flight, or 0; earliest time for
 *   another
 * @enrolling, @enrol_removes, @nenrolling: indices of the workers whose
 *   records it writes, or removes
 *
 * Jobs and planning:
 * @jobs, @steps: pools of cjob_t and cstep_t
 * @job_names: handles of jobs by id
 * @waiting: ready steps that wait for workers
 * @shares: what the tasks of each team use; kept only while teams are
 *   configured
 * @reserved_cpus_m, @reserved_at: processors reserved for gangs, in
 *   thousandths, and when reservations were last made
 * @usable_cpus_m, @usable_cpus_at: processors of all usable workers, in
 *   thousandths, and when they were counted
 * @usual_ratio: duration of runs over their estimates, average of the cell
 * @turn_left: tasks that the step that is being served may still start
 * @pace, @pace_centered_at: speeds of workers, see cellpace.c, and when that
 * of most workers was last computed
 * @ratios: run times over estimates, see cellratio.c
 * @pairs, @pairs_ignored: which classes of tasks slow each other down, NULL
 *   unless limits.interference is set, and that the planner is to pass this
 *   over
 * @room_wanted: a step that is not a gang waits for room
 * @plan_due, @planned_at: a planning pass is due; time of the last one
 * @nprobed, @nprobed_sole: suspect jobs, and those with may_crash, with runs
 *   that have not survived yet; as of this pass
 * @crashes, @ncrashes: crashes that may fail a job and are not judged yet
 * @to_fail: jobs to be failed for crashes of workers
 * @scans_left: searches of all workers that this pass may still make
 * @approval_share, @napproval_shares: learned share of named workers that the
 * advisor approves, by queue
 *
 * Writing (cellsave.c):
 * @dirty: jobs to write
 * @save_txns: transactions in flight
 * @save_after: earliest time for the next transaction
 * @txn_sent_at: when the last one was sent
 * @usual_txn_ms: average duration of transactions
 * @write_budget, @budget_at: transactions allowed now, and when that was
 *   computed
 * @store_failures: failed calls to the store since the last success
 * @removals, @nremovals: chunks to be removed, see cellrecord.c
 * @removal_tag, @nremoving, @removal_after: transaction in flight that removes
 *   the first @nremoving of them, or 0; earliest time for another
 *
 * Consultations and requests (cellconsult.c, cellask.c):
 * @consults, @nconsults: consultations in flight, in no order
 * @requests, @nrequests: requests that have no answer yet
 */
struct cell
{
  char vm[CELL_NAME_SIZE];
  char addr[64];
  char domain[32];
  cell_limits_t limits;
  gsl_rng *rng;
  gl_ms_t now;
  gl_ms_t awake_since;
  uint64_t wall;
  cell_effects_t *fx;
  double link_free_at;
  uint64_t next_tag;
  timer_service_t timers;
  int own_timer;
  int worker_timer;
  int poll_timer;
  int save_timer;
  int plan_timer;
  int request_timer;
  int end_wait_timer;
  int job_timer;

  crole_t role;
  cstop_t stop;
  cyield_t yield;
  uint64_t generation;
  gl_ownership_t ownership;
  uint64_t ownership_rev;
  uint64_t census_generation;
  uint64_t process;
  cformer_t formers[CELL_FORMERS_MAX];
  int nformers;
  gl_handover_t handover;
  int handed_over;
  int ownership_known;
  int owner_key_present;
  gl_ms_t owner_key_lost_at;
  gl_ms_t heartbeat_at;
  gl_ms_t owner_refused_at;
  gl_ms_t owner_storeless_at;
  gl_ms_t owner_since;
  gl_ms_t claim_at;
  gl_ms_t claim_not_before;
  uint64_t claim_tag;
  uint64_t release_tag;
  int releasing;
  int release_unanswered;
  gl_ms_t release_after;
  gl_ms_t lease_requested_at;
  uint64_t lease_tag;
  uint64_t keys_tag;
  int lease_held;
  int keys_lost;
  uint64_t known_by;
  gl_ms_t known_at;
  gl_ms_t lease_renewed_at;
  gl_ms_t lease_held_since;
  gl_ms_t confirmed_at;
  gl_ms_t store_answered_at;
  gl_ms_t claim_sent_at;
  uint64_t confirm_tag;
  gl_ms_t confirm_sent_at;
  gl_ms_t heartbeat_due;
  gl_ms_t takeover_at;
  int members_synced;
  int workers_synced;
  gl_ms_t registrations_at;
  gl_ms_t registrations_since;
  gl_ms_t capacities_at;
  uint64_t load_tag;
  char load_prefix[8];

  cqueue_count_t owner_queues[CELL_QUEUES_MAX];
  int nowner_queues;
  gl_ms_t owner_queues_at;

  cvm_t *vms;
  int nvms;
  int capvms;
  names_t vm_names;
  cell_conf_t conf;
  cconf_state_t conf_state;

  cworker_t *workers;
  int nworkers;
  int capworkers;
  names_t worker_names;
  char (*racks)[32];
  int nracks;
  int capracks;
  int unaccounted;
  int census_complete;
  gl_ms_t census_logged_at;
  gl_ms_t lease_bound_ms;
  uint64_t enrol_tag;
  gl_ms_t enrol_after;
  int enrolling[CELL_TXN_KEYS_MAX];
  unsigned char enrol_removes[CELL_TXN_KEYS_MAX];
  int nenrolling;

  pool_t jobs;
  pool_t steps;
  names_t job_names;
  handles_t waiting;
  cshares_t shares;
  int64_t reserved_cpus_m;
  gl_ms_t reserved_at;
  int64_t usable_cpus_m;
  gl_ms_t usable_cpus_at;
  double usual_ratio;
  int turn_left;
  pace_cell_t pace;
  gl_ms_t pace_centered_at;
  ratios_t ratios;
  pairs_t *pairs;
  int pairs_ignored;
  int room_wanted;
  int plan_due;
  gl_ms_t planned_at;
  int nprobed;
  int nprobed_sole;
  ccrash_t *crashes;
  int ncrashes;
  int capcrashes;
  handles_t to_fail;
  int scans_left;
  double *approval_share;
  int napproval_shares;
  int capapproval_shares;

  handles_t dirty;
  csave_txn_t save_txns[CELL_SAVE_TXNS_MAX];
  gl_ms_t save_after;
  gl_ms_t txn_sent_at;
  double usual_txn_ms;
  double write_budget;
  gl_ms_t budget_at;
  int store_failures;
  cremoval_t *removals;
  int nremovals;
  int capremovals;
  uint64_t removal_tag;
  int nremoving;
  gl_ms_t removal_after;
  cconsult_t *consults;
  int nconsults;
  int capconsults;

  crequest_t *requests;
  size_t nrequests;
  size_t caprequests;

  ccounters_t counters;
  hist_t accept_time;
  hist_t start_time[CELL_PRIORITIES];
  hist_t total_time[CELL_PRIORITIES];
  hist_t end_spans[CSPAN_COUNT];
  hist_t txn_time;
  hist_t takeover_time;
  hist_t census_time;
};

#include "cellmods.h"

#endif
