/* cellint.h -- private state of the cell, shared by its modules */
#ifndef GL_CELLINT_H
#define GL_CELLINT_H

#include "cell.h"

#include <gsl/gsl_rng.h>

#include "fault.h"
#include "metrics.h"
#include "names.h"
#include "pool.h"
#include "timer.h"

/* Lease of a worker; long enough that a change of owners and most outages of
   the store fit in. */
#define CELL_WORKER_LEASE_MS 4000
/* Two percent, the bound on how slowly a worker's clock may run. */
#define CELL_SLOW_CLOCK 0.98
/* An owner that has not heard from the store for this long stops renewing
   leases, which bounds what a successor must wait for. */
#define CELL_RENEW_ALONE_MS 5000
/* An owner confirms its tenure when no write has for so long. */
#define CELL_CONFIRM_MS 400
/* A worker keeps the answer to a look back for so long; the platform's bound
   is 2000.  Progress is seen this often at least. */
#define CELL_LOOK_MS 900
/* Grace for an answer beyond what the worker may hold it back. */
#define CELL_ANSWER_MS 500
/* A start or stop without an answer is taken as unknown after this. */
#define CELL_ORDER_MS 300
/* Facts of running jobs are written so long after they became known, and a
   worker that lists ends which are not written yet is looked at again only
   then, since it would answer at once. */
#define CELL_PROGRESS_MS 60
#define CELL_UNWRITTEN_MS 150
/* Transactions in flight at once. */
#define CELL_FLIGHTS 4
/* A transaction without an answer is taken as unknown after this, or after
   so many times the usual time, at least CELL_TXN_MIN_MS. */
#define CELL_TXN_MS 1500
#define CELL_TXN_MIN_MS 250
#define CELL_TXN_TIMES 6
/* Lease of this VM's keys in the store, and how often it is renewed. */
#define CELL_VM_LEASE_MS 1200
#define CELL_VM_KEEP_MS 350
/* Period of the owner's beacon, and the silence that makes it doubtful. */
#define CELL_BEACON_MS 250
#define CELL_BEACON_LOST_MS 700
/* How long the owner's key may be missing although its beacons come. */
#define CELL_KEY_LOST_MS 2500
/* An owner without an answer from the store for this long, while a standby
   has one, hands over. */
#define CELL_OWNER_STORE_MS 700
/* An owner is left in place for this long although it seems to be without the
   store: it may be busy with the census, which a successor would begin anew.
 */
#define CELL_TENURE_MIN_MS 3000
/* A standby's own contact with the store must have lasted this long, and the
   refusal of the owner's address must be no older. */
#define CELL_CONTACT_MS 400
/* A VM that has lost a claim, or the cell, does not claim again so soon. */
#define CELL_CLAIM_AGAIN_MS 1500
/* The store counts as away after this long without an answer. */
#define CELL_STORE_AWAY_MS 300
/* Retry time told to callers while there is no owner or no store. */
#define CELL_RETRY_MS 1000
#define CELL_RETRY_MAX_MS 3000
/* A caller's request without an owner is refused after this. */
#define CELL_OWNERLESS_MS 1500
/* VMs of a cell, queues of which figures are kept, and workers that one
   consultation names, at most. */
#define CELL_VMS 128
#define CELL_QUEUES 128
#define CELL_NAMED 128
/* Reservations that may share a worker. */
#define CELL_HOLDS 8
/* Time kept back from a caller's deadline for the answer's way. */
#define CELL_ANSWER_SLACK_MS 60

typedef enum
{
  CT_WAITING = 0,
  CT_STARTING,
  CT_RUNNING,
  CT_UNSURE,
  CT_STOPPING,
  CT_DONE
} ctstate_t;

/**
 * struct ctask_t - one task
 * @inherited: it may run somewhere on a start by an earlier owner
 * @fact: something of it is durable or has to be
 * @run: number of its last start
 * @failures, @failed: runs that have failed, and how many
 * @worker, @pos: worker that holds it and place in that worker's list; -1
 * @sent: when the order in force was sent
 * @fenced: last call made before a stop of its run was taken, 0 if none was
 * @row_at: the look that listed it last
 * @expect_end: when its run is expected to end
 * @moved_at: when its run was last seen to have made progress
 * @failed_on: worker on which a run of it failed, -1 for none
 */
typedef struct
{
  unsigned char state;
  unsigned char inherited;
  unsigned char fact;
  unsigned char percent;
  uint32_t run;
  uint32_t failures[GL_FAILURES_MAX];
  uint32_t failed;
  int worker;
  int pos;
  gl_ms_t sent;
  uint64_t fenced;
  uint64_t row_at;
  gl_ms_t expect_end;
  gl_ms_t moved_at;
  int failed_on;
  char saved[64];
} ctask_t;

/** struct cpass_t - a ticket for a step on one life of a worker */
typedef struct
{
  int worker;
  gl_ms_t until;
  char ticket[48];
} cpass_t;

/**
 * struct chold_t - room set aside for tasks of a gang on one worker
 * @shadow: when the gang is expected to begin
 * @turn: its place in the order of gangs
 */
typedef struct
{
  handle_t step;
  int worker;
  int n;
  gl_ms_t shadow;
  int turn;
  gl_res_t need;
} chold_t;

/**
 * struct cstep_t - one step in one turn of a job
 * @rank: of due_rank, in this pass of planning
 * @ready: its predecessors are done and its time has come
 * @since: when it became ready
 * @verdicts: what the advisor said of each worker
 * @asked: consultations that are out
 * @surveyed: number of workers when a survey was made, 0 before
 * @scarce: what was approved cannot hold it, or not soon
 * @holds: room set aside for it, for a start at @shadow
 * @hold_turn: its place in the order of gangs, from 1; 0 before it has one
 */
typedef struct
{
  handle_t self;
  handle_t job;
  uint32_t turn;
  uint32_t index;
  const gl_step_t *def;
  ctask_t *tasks;
  uint32_t ndone;
  uint32_t nwaiting;
  int rank;
  int ready;
  int started;
  int listed;
  gl_ms_t since;
  unsigned char *verdicts;
  int nverdicts;
  cpass_t *passes;
  int npasses;
  int asked;
  gl_ms_t ask_after;
  int surveyed;
  int scarce;
  chold_t *holds;
  int nholds;
  int hold_turn;
  gl_ms_t held_told;
  gl_ms_t shadow;
} cstep_t;

typedef struct
{
  handle_t *v;
  size_t n;
  size_t cap;
} handles_t;

typedef struct
{
  uint64_t *v;
  size_t n;
  size_t cap;
} tags_t;

/**
 * struct cjob_t - one job
 * @phase: what callers may be told; it follows the store
 * @want: phase that is being written
 * @durable: its key is written
 * @inherited: an earlier owner may have started tasks of it
 * @unsure: a write of its key may have taken effect unseen
 * @version, @written: facts known, and facts in the store
 * @saving: a transaction with it is in flight
 * @waiters: requests to answer once it is durable
 * @enders: requests to answer once its end is durable
 */
typedef struct
{
  handle_t self;
  char id[20];
  gl_work_t work;
  int queue;
  gl_phase_t phase;
  gl_phase_t want;
  int durable;
  int inherited;
  int unsure;
  int begun;
  int live;
  int saving;
  int queued;
  uint64_t version;
  uint64_t written;
  gl_ms_t arrived;
  double *tails;   /* estimates along the longest chain from each step on */
  double chain_ms; /* the longest of them */
  gl_ms_t dirty_at;
  gl_ms_t ended_at;
  uint32_t turns_made;
  handles_t steps;
  tags_t waiters;
  tags_t enders;
} cjob_t;

typedef struct
{
  handle_t step;
  uint32_t index;
} ctref_t;

/** struct cendgate_t - an end that may be forgotten once it is written */
typedef struct
{
  uint64_t number;
  handle_t job;
  uint64_t version;
} cendgate_t;

/**
 * struct cworker_t - one life of a worker
 * @heard: it has answered this owner
 * @enrolled: its key is in the store, so that a successor will know it
 * @gone: this life is over, nothing of it runs
 * @over_at: when its leases were found to have ended, 0 if not
 * @lost_at: instant by which every lease that it can hold has ended, when
 *   it is silent and this owner has never heard it
 * @clock, @clock_at: its clock in an answer, and when that arrived
 * @lease: latest instant of its clock that was sent to it
 * @seen, @cursor: ends taken, and ends that are durable
 * @look: tag of the look that is out
 * @glance: the next look does not wait
 * @doubted: an order got no answer; a look is out to see whether it is there
 * @fails, @fail_job: jobs in a row whose runs failed, and the last of them
 * @slow: how long its runs take against those of others
 * @strays: runs in its last answer that nobody asked for; they hold room
 */
typedef struct
{
  cell_worker_t info;
  int rack;
  gl_res_t used;
  int listed;
  int enrolled;
  int heard;
  int gone;
  int silent;
  gl_ms_t over_at;
  gl_ms_t unlisted_at;
  gl_ms_t lost_at;
  gl_ms_t shy_until;
  uint64_t clock;
  gl_ms_t clock_at;
  uint64_t lease;
  uint64_t seen;
  uint64_t cursor;
  cendgate_t *gates;
  size_t ngates;
  size_t capgates;
  uint64_t look;
  int glance;
  gl_ms_t look_at;
  int strays;
  gl_ms_t strays_stopped;
  uint32_t misses;
  int doubted;
  uint32_t fails;
  handle_t fail_job;
  uint32_t spared;
  double slow;
  ctref_t *tasks;
  int ntasks;
  int captasks;
  chold_t holds[CELL_HOLDS];
  int nholds;
} cworker_t;

/** struct cvm_t - another VM of the cell */
typedef struct
{
  char vm[CELL_NAME];
  char addr[64];
  char domain[32];
  int listed;
  gl_ms_t unlisted_at;
  uint32_t cpu_m;
  double busy_ms;
  gl_ms_t shy_until;
} cvm_t;

typedef enum
{
  SAVE_CREATE = 0,
  SAVE_PROGRESS,
  SAVE_FINAL
} csavekind_t;

typedef struct
{
  handle_t job;
  csavekind_t kind;
  uint64_t version;
  gl_phase_t phase;
} csave_t;

/** struct cflight_t - a transaction in flight; tag 0: slot is free */
typedef struct
{
  uint64_t tag;
  gl_ms_t sent;
  csave_t v[CELL_PUTS];
  int n;
} cflight_t;

/** struct cconsult_t - a consultation in flight; tag 0: slot is free */
typedef struct
{
  uint64_t tag;
  handle_t step;
  int vm;
  double cost;
  int survey;
  gl_ms_t sent;
  int nworkers;
  int workers[CELL_NAMED];
} cconsult_t;

#define CELL_CONSULTS 64

/**
 * struct crequest_t - a caller's request that has no answer yet
 * @sent: 1 once an owner may have taken it
 */
typedef struct
{
  uint64_t tag;
  gl_ask_t ask;
  gl_ms_t arrived;
  gl_ms_t deadline;
  int forwarded;
  int sent;
  int out;
  gl_ms_t retry_at;
} crequest_t;

typedef enum
{
  CR_STANDBY = 0,
  CR_CLAIMING,
  CR_LOADING,
  CR_OWNER
} crole_t;

/** struct cqcount_t - waiting jobs of a queue, as the owner told */
typedef struct
{
  char queue[CELL_NAME];
  uint32_t waiting;
} cqcount_t;

#define CELL_COUNTERS(X)                                                      \
  X (accepted, "jobs accepted and written")                                   \
  X (refused, "submissions refused")                                          \
  X (completed, "jobs completed")                                             \
  X (failed, "jobs failed")                                                   \
  X (cancelled, "jobs cancelled")                                             \
  X (starts, "tasks started")                                                 \
  X (start_unsure, "starts without an answer")                                \
  X (start_refused, "starts refused by workers")                              \
  X (ends_done, "runs ended well")                                            \
  X (ends_failed, "runs that failed")                                         \
  X (ends_stopped, "runs stopped")                                            \
  X (ends_lost, "runs lost with their worker")                                \
  X (strays, "unknown runs stopped")                                          \
  X (looks, "looks at workers")                                               \
  X (looks_failed, "looks without an answer")                                 \
  X (txns, "transactions")                                                    \
  X (txns_failed, "transactions refused or unsure")                           \
  X (consults, "consultations")                                               \
  X (consulted, "workers named in consultations")                             \
  X (consults_failed, "consultations without an answer")                      \
  X (scans, "searches of all workers for room")                               \
  X (approved, "workers approved")                                            \
  X (forwards, "requests forwarded to the owner")                             \
  X (no_owner, "requests refused for want of an owner")                       \
  X (takeovers, "times this VM took the cell over")                           \
  X (deposed, "times this VM lost the cell")

typedef struct
{
#define X(name, help) uint64_t name;
  CELL_COUNTERS (X)
#undef X
} ccounters_t;

#define CELL_RACKS 256
#define CELL_PRIORITIES 8

struct cell
{
  char vm[CELL_NAME];
  char addr[64];
  char domain[32];
  cell_bounds_t bounds;
  gsl_rng *rng;
  gl_ms_t now;
  uint64_t wall;
  cell_effects_t *fx;
  uint64_t next_tag;
  timer_service_t timers;
  int t_own;
  int t_work;
  int t_save;
  int t_plan;
  int t_ask;
  int t_jobs;

  crole_t role;
  int stopping;
  uint64_t generation;
  gl_tenure_t tenure;
  uint64_t tenure_rev;
  uint64_t settled;
  int tenure_known;
  int owner_key;
  gl_ms_t owner_key_gone;
  gl_ms_t beacon_at;
  gl_ms_t owner_refused;
  gl_ms_t owner_store_bad;
  gl_ms_t tenure_since;
  gl_ms_t claim_at;
  gl_ms_t claim_not_before;
  uint64_t claim_tag;
  uint64_t release_tag; /* while it is out, nothing is renewed or started */
  gl_ms_t lease_sent;
  uint64_t lease_tag;
  int leased;
  int keys_lost;
  gl_ms_t leased_at;
  gl_ms_t leased_since;
  gl_ms_t store_at; /* latest moment at which the tenure is known to stand */
  gl_ms_t store_heard;
  gl_ms_t claim_sent;
  uint64_t confirm_tag;
  gl_ms_t confirm_sent;
  gl_ms_t beacon_due;
  gl_ms_t took_over;
  int members_synced;
  int workers_synced;
  uint64_t load_tag;
  char load_prefix[8];

  cqcount_t heard[CELL_QUEUES];
  int nheard;

  cvm_t *vms;
  int nvms;
  names_t vm_names;
  cell_conf_t conf;

  cworker_t *workers;
  int nworkers;
  int capworkers;
  names_t worker_names;
  char racks[CELL_RACKS][32];
  int nracks;
  int unheard;
  int census_whole;
  gl_ms_t lost_bound;
  uint64_t enrol_tag;
  gl_ms_t enrol_after;
  int enrolling[CELL_PUTS];
  int nenrolling;

  pool_t jobs;
  pool_t steps;
  names_t job_names;
  handles_t waiting;
  int64_t held_cpus;
  gl_ms_t held_at; /* when room was last set aside */
  int64_t cpus;
  gl_ms_t cpus_at;
  double usual;
  int plan_due;
  gl_ms_t planned_at;
  int scans; /* searches of all workers that this pass may still make */
  double share[CELL_QUEUES];

  handles_t dirty;
  cflight_t flights[CELL_FLIGHTS];
  gl_ms_t save_after;
  double txn_ms;
  double write_budget;
  gl_ms_t earned_at;
  int store_bad;
  cconsult_t consults[CELL_CONSULTS];

  crequest_t *requests;
  size_t nrequests;
  size_t caprequests;

  ccounters_t c;
  hist_t accept_time;
  hist_t start_time[CELL_PRIORITIES];
  hist_t whole_time[CELL_PRIORITIES];
  hist_t txn_time;
  hist_t takeover_time;
};

/* cellfx.c */

/** cell_fx - a zeroed effect of @kind, or NULL when out of memory */
cell_effect_t *cell_fx (cell_t *c, cell_fxkind_t kind);
/** cell_log - one line: "event key=value ..." */
void cell_log (cell_t *c, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/** cell_tell - the final answer to request @tag */
void cell_tell (cell_t *c, uint64_t tag, gl_code_t code, uint32_t retry_ms,
                gl_phase_t phase, const char *reason);
/** cell_tag - a number for a call */
uint64_t cell_tag (cell_t *c);
int handles_add (handles_t *h, handle_t v);
int tags_add (tags_t *t, uint64_t v);
/** cell_set - copy @s into the fixed field @d, cut to fit */
#define cell_set(d, s) snprintf (d, sizeof (d), "%s", s)

/* cellown.c */

void own_member (cell_t *c, const cell_event_t *ev);
void own_synced (cell_t *c);
void own_lease (cell_t *c, const cell_event_t *ev);
void own_wrote (cell_t *c, const cell_event_t *ev);
void own_page (cell_t *c, const cell_event_t *ev);
void own_beacon (cell_t *c, const cell_event_t *ev);
void own_peer_down (cell_t *c, const char *addr);
void own_tick (void *ctx, gl_ms_t now);
void own_stop (cell_t *c);
/** own_stands - a write that was sent at @sent has passed the check */
void own_stands (cell_t *c, gl_ms_t sent);
/** own_settled - every worker has been heard or its leases have ended; tell
    a successor that no owner before this one need be waited for */
void own_settled (cell_t *c);
/** own_deposed - another VM owns the cell: forget its state */
void own_deposed (cell_t *c, const char *why);
/** own_check - the check that fences a transaction by our ownership */
void own_check (const cell_t *c, cell_txn_t *txn);

/* cellsave.c */

/** save_job - something of @j has to be written; at once when @now */
void save_job (cell_t *c, cjob_t *j, int at_once);
/** save_flush - send what is due */
void save_flush (cell_t *c);
void save_tick (void *ctx, gl_ms_t now);
/** save_wrote - 1 if the result was for a transaction of this module */
int save_wrote (cell_t *c, const cell_event_t *ev);
/** save_away - the store has answered nothing for a while, and the last call
    failed: what is new cannot be accepted now */
int save_away (const cell_t *c);
/** save_idle - nothing is dirty or in flight */
int save_idle (const cell_t *c);
void save_reset (cell_t *c);

/* celljob.c */

cjob_t *job_named (cell_t *c, const char *id);
/** jobs_waiting - accepted jobs of which nothing has begun, by queue; queues
    without any are left out; returns the number of rows */
int jobs_waiting (const cell_t *c, cqcount_t v[CELL_QUEUES]);
/** cjob_new - a job of @work, which is taken over; NULL without memory */
cjob_t *cjob_new (cell_t *c, gl_work_t *work);
void cjob_free (cell_t *c, cjob_t *j);
/** cjob_facts - what must be written of its tasks */
void cjob_facts (cell_t *c, cjob_t *j, gl_progress_t *p);
/** cjob_recall - take the facts of an earlier owner */
void cjob_recall (cell_t *c, cjob_t *j, const gl_progress_t *p);
/** cjob_open - make steps whose time has come ready */
void cjob_open (cell_t *c, cjob_t *j);
/** cjob_finish - it ends in @phase; its tasks are stopped */
void cjob_finish (cell_t *c, cjob_t *j, gl_phase_t phase);
/** cjob_written - its end is in the store */
void cjob_written (cell_t *c, cjob_t *j, gl_phase_t phase);
cjob_t *cstep_job (cell_t *c, const cstep_t *s);
/** ctask_name - ID.TURN.STEP.INDEX */
void ctask_name (const cell_t *c, const cstep_t *s, uint32_t index,
                 char out[CELL_NAME]);
/** ctask_find - the task of that name; NULL when it is not known */
ctask_t *ctask_find (cell_t *c, const char *name, cstep_t **step,
                     uint32_t *index);
/** ctask_failed - run @run is counted as a failure already */
int ctask_failed (const ctask_t *t, uint32_t run);
/** ctask_failed_before - an earlier run of it has failed; returns the job's
    version */
uint64_t ctask_failed_before (cell_t *c, cstep_t *s, uint32_t index,
                              uint32_t run);
/** ctask_bind - count it on a worker */
int ctask_bind (cell_t *c, cstep_t *s, uint32_t index, int worker);
/** ctask_unbind - it holds nothing there any more */
void ctask_unbind (cell_t *c, cstep_t *s, uint32_t index);
/** ctask_requeue - it waits again */
void ctask_requeue (cell_t *c, cstep_t *s, uint32_t index);
/** ctask_ended - run @run of it has ended so; returns the job's version */
uint64_t ctask_ended (cell_t *c, cstep_t *s, uint32_t index, uint32_t run,
                      cell_how_t how, const char *saved);
/** cstep_list - wait in the order of planning */
void cstep_list (cell_t *c, cstep_t *s);
/** cjobs_tick - timer: open turns that are due, forget old jobs */
void cjobs_tick (void *ctx, gl_ms_t now);

/* cellwork.c */

cworker_t *worker_named (cell_t *c, const char *id);
void cworker_info (cell_t *c, const cell_event_t *ev);
void cworkers_synced (cell_t *c);
void cworker_answer (cell_t *c, const cell_event_t *ev);
void cworkers_tick (void *ctx, gl_ms_t now);
/** cworkers_adopt - a new owner: all have to be heard anew; @alone: the
    former one may still renew leases for a while */
void cworkers_adopt (cell_t *c, int alone);
void cworkers_reset (cell_t *c);
/** cworker_look - look at the worker now, without a wait */
void cworker_look (cell_t *c, int worker);
/** cworkers_saved - facts were written: ends may be acknowledged */
void cworkers_saved (cell_t *c);
void cworker_start (cell_t *c, cstep_t *s, uint32_t index, const char *ticket);
void cworker_stop (cell_t *c, cstep_t *s, uint32_t index);
/** cworker_usable - new tasks may be started on it */
int cworker_usable (const cell_t *c, const cworker_t *w);

/** worker_join - a life that is not known yet; NULL without memory */
cworker_t *worker_join (cell_t *c, const cell_worker_t *info);

/* cellenrol.c */

/** enrol_new - write down workers that are new, forget those that are gone */
void enrol_new (cell_t *c);
/** enrol_load - a worker that an earlier owner has enrolled */
void enrol_load (cell_t *c, const cell_item_t *item);
/** enrol_wrote - 1 if the result was for an enrolment */
int enrol_wrote (cell_t *c, const cell_event_t *ev);

/* cellhealth.c */

/** health_ended - a run has ended so on the worker */
void health_ended (cell_t *c, cworker_t *w, const cstep_t *s, const ctask_t *t,
                   cell_how_t how);
/** health_stalled - 1 if the run stands still and should be stopped */
int health_stalled (cell_t *c, cworker_t *w, const cstep_t *s, ctask_t *t,
                    int percent);
/** health_rank - 0 for a worker as fast as most, more for slower ones */
int health_rank (const cworker_t *w);

/* cellroom.c */

/** room_for - how many tasks of the step the worker can take now */
int room_for (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
              int worker);
/** room_ever - how many it could take if it were empty */
int room_ever (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
               int worker);
int room_has_label (const cworker_t *w, const char *label);
/** room_is_clear - one more task of the step leaves alone what is held there
    for others */
int room_is_clear (const cell_t *c, const cstep_t *s, int worker);
/** room_is_near - its rack is the one that the step wants, or it wants none */
int room_is_near (const cworker_t *w, const cstep_t *s);
/** room_is_patient - it should go on waiting for the rack that it wants */
int room_is_patient (const cell_t *c, const cstep_t *s);

/* cellhold.c */

/** hold_pass - set room aside for all waiting gangs, the oldest first */
void hold_pass (cell_t *c);
/** hold_drop - give it back */
void hold_drop (cell_t *c, cstep_t *s);
/** hold_others - what is held there for other steps, as far as @s has to
    leave it alone */
gl_res_t hold_others (const cell_t *c, const cstep_t *s, int worker);

/* cellconsult.c */

/** consult_step - ask the advisor for what the step lacks */
void consult_step (cell_t *c, cstep_t *s, const cell_queue_t *q);
void consult_answer (cell_t *c, const cell_event_t *ev);
/** consult_ticket - a ticket of the step for the worker, or NULL */
const char *consult_ticket (const cstep_t *s, int worker);
/** consult_drop_stale - forget tickets that have run out */
void consult_drop_stale (const cell_t *c, cstep_t *s);
/** consult_verdict - 0 not asked, 1 approved, 2 refused */
int consult_verdict (const cstep_t *s, int worker);
/** consult_ready - when the worker's ticket, or one that is asked for now,
    lets a task of the step start that has room at @when */
gl_ms_t consult_ready (const cell_t *c, const cstep_t *s,
                       const cell_queue_t *q, int worker, gl_ms_t when);
/** consult_patience - longer waits for room are worth another survey */
gl_ms_t consult_patience (const cell_queue_t *q);
/** consult_is_dear - asking about one worker costs much already */
int consult_is_dear (const cell_queue_t *q);

/* celldue.c */

#define DUE_RANKS 2
/** due_note - note the estimates along the chains of a new job; -1 without
    memory */
int due_note (cjob_t *j);
/** due_rank - 0 while its job can still end in time, 1 while it is only late,
    2 beyond that */
int due_rank (const cell_t *c, const cstep_t *s);

/* cellplan.c */

/** plan_wake - plan at the end of this event */
void plan_wake (cell_t *c);
/** plan_queue - the job's queue, or NULL when it is not known here */
const cell_queue_t *plan_queue (const cell_t *c, const cjob_t *j);
void plan_run (cell_t *c);
void plan_tick (void *ctx, gl_ms_t now);
void plan_reset (cell_t *c);

/* cellask.c */

void ask_take (cell_t *c, const cell_event_t *ev);
void ask_told (cell_t *c, const cell_event_t *ev);
void ask_read (cell_t *c, const cell_event_t *ev);
void ask_tick (void *ctx, gl_ms_t now);
/** ask_owner_changed - requests may find an owner now */
void ask_owner_changed (cell_t *c);

#endif
