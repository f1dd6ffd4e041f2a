/*
 * cell.h -- the cell: a scheduler for jobs of steps on workers that it
 * reaches by calls
 *
 * Each VM of the cell runs one reducer.  It takes events together with the
 * present time, changes its state and lists effects; it does no I/O and reads
 * no clock.  One VM owns the cell and drives all workers.  The other VMs
 * stand by: they forward callers' requests to the owner and let it send
 * consultations through their connections to the advisor.
 *
 * The advisor is a service of the platform that approves workers for a step
 * and issues the tickets with which they accept its tasks.
 *
 * Times are milliseconds of the monotonic clock unless a field says "wall".
 */
#ifndef GL_CELL_H
#define GL_CELL_H

#include "gentianlatch.h"
#include "gl_cell.h"
#include "metrics.h"
#include "team.h"

/** CELL_NAME_SIZE - bytes of the longest name of a worker, VM, queue or task,
    with its terminating NUL */
#define CELL_NAME_SIZE 128
/** CELL_KEY_SIZE - bytes of the longest key of the store, with its terminating
    NUL */
#define CELL_KEY_SIZE 201
/** CELL_LABELS_MAX - labels of a worker that are kept; further ones are
    ignored */
#define CELL_LABELS_MAX 4
/** CELL_TXN_KEYS_MAX - most checks, and most writes, of one transaction */
#define CELL_TXN_KEYS_MAX 32

/**
 * struct cell_incarnation_t - one life of a worker, from a start to its end
 * @id: names the worker; after a restart it may have the same id or another
 * one
 * @started_at: when it started, by the worker's wall clock, in ms since the
 *   epoch; 0 if the platform does not say
 */
typedef struct
{
  char id[CELL_NAME_SIZE];
  uint64_t started_at;
} cell_incarnation_t;

/**
 * struct cell_worker_t - what a worker's registration says
 * @self: the incarnation that registers
 * @addr: "IP:port" to which calls go
 * @domain: its failure domain
 * @service: which queues it serves; see struct cell_queue_t
 * @labels: the first is its kind, the second its rack
 * @capacity: resources of the whole worker
 * @leaving: it takes no new tasks
 * @leaves_in_ms: least time until it is gone, when @leaving
 */
typedef struct
{
  cell_incarnation_t self;
  char addr[64];
  char domain[32];
  char service[64];
  char labels[CELL_LABELS_MAX][32];
  int nlabels;
  gl_res_t capacity;
  int leaving;
  uint32_t leaves_in_ms;
} cell_worker_t;

/**
 * struct cell_queue_t - a queue of the configuration
 * @name: its name, to which jobs refer
 * @host, @prefix: requests for this host and path prefix belong to the queue
 * @service: its tasks run on workers that register under this service
 * @priority: 0 is served first
 * @max_attempts: failed runs of one task after which its job fails; 0 for no
 *   limit
 * @due_factor, @due_offset_ms: a job is due @due_factor times its critical
 *   path plus @due_offset_ms after its arrival; a factor of 0 sets no due time
 * @advised: tasks run only on workers that the advisor has approved
 * @consult_base_ms, @consult_per_worker_ms: time that the advisor takes for a
 *   consultation, and for each worker that it names
 * @ticket_valid_ms: how long a ticket is valid
 * @allow_anonymous: callers of it need no key of a team
 * @conf_version: version of the configuration that says this
 * @removed: the queue has left the configuration and takes no new jobs
 */
typedef struct
{
  char name[CELL_NAME_SIZE];
  char host[CELL_NAME_SIZE];
  char prefix[CELL_NAME_SIZE];
  char service[64];
  int priority;
  uint32_t max_attempts;
  double due_factor;
  double due_offset_ms;
  int advised;
  double consult_base_ms;
  double consult_per_worker_ms;
  uint32_t ticket_valid_ms;
  int allow_anonymous;
  uint64_t conf_version;
  int removed;
} cell_queue_t;

/**
 * struct cell_conf_t - the configuration in force; a higher @version replaces
 * a lower one
 * @teams: the teams; those that have left the configuration stay, as removed
 * @value, @len: its bytes as the store holds them, for other VMs; NULL if they
 *   are not known
 */
typedef struct
{
  uint64_t version;
  cell_queue_t *queues;
  int nqueues;
  teams_t teams;
  char *value;
  size_t len;
} cell_conf_t;

/** CELL_WHY_RATE - reason of a GL_RETRY for a submission beyond its team's
   rate; other reasons are of the cell */
#define CELL_WHY_RATE "the team is over its rate"

/** cell_conf_free - free a configuration; NULL is ignored */
void cell_conf_free (cell_conf_t *conf);

/**
 * struct cell_limits_t - limits and rates of the site
 * @worker_lease_max_ms: longest lease that a worker accepts
 * @stop_max_ms: longest time that a worker takes to stop a run
 * @retention_ms: how long the result of an ended job can be queried
 * @writes_per_s: transactions that the store takes from all VMs together
 * @cpu_m: this VM's share of a core, in thousandths
 * @link_kbps: rate of this VM's link in kilobits per second, 0 if not known
 * @interference: keep tasks apart that slow each other down, see cellpair.c
 */
typedef struct
{
  uint32_t worker_lease_max_ms;
  uint32_t stop_max_ms;
  uint32_t retention_ms;
  uint32_t writes_per_s;
  uint32_t cpu_m;
  uint32_t link_kbps;
  int interference;
} cell_limits_t;

/**
 * struct cell_run_t - a run that a worker reports as running
 * @task: name of the task, see ctask_name
 * @run: number of the run; it grows with each start of the task
 * @checkpoint: name of its last checkpoint, "" for none
 * @percent: progress, 0 to 100
 * @figure: the last number of the worker's report, which the cell does not
 *   use
 */
typedef struct
{
  char task[CELL_NAME_SIZE];
  uint32_t run;
  char checkpoint[64];
  int percent;
  int figure;
} cell_run_t;

/**
 * enum cell_outcome_t - how a run ended
 * @CELL_RUN_DONE: successfully
 * @CELL_RUN_FAILED: the task failed; only this counts as a failed attempt
 * @CELL_RUN_STOPPED: by a stop call
 * @CELL_RUN_LAPSED: the worker's lease ended
 * @CELL_RUN_BROKEN: another member of its gang ended without success
 * @CELL_RUN_ALONE: the other members of its gang did not start
 * @CELL_RUN_UNKNOWN: the worker gave an outcome that is not known here
 */
typedef enum
{
  CELL_RUN_DONE = 0,
  CELL_RUN_FAILED,
  CELL_RUN_STOPPED,
  CELL_RUN_LAPSED,
  CELL_RUN_BROKEN,
  CELL_RUN_ALONE,
  CELL_RUN_UNKNOWN
} cell_outcome_t;

/**
 * struct cell_end_t - a run that a worker reports as ended
 * @seq: number of the end; it grows with each end on this worker
 * @task, @run: the task and the number of its run
 * @checkpoint: name of the run's last checkpoint, "" for none
 */
typedef struct
{
  uint64_t seq;
  char task[CELL_NAME_SIZE];
  uint32_t run;
  cell_outcome_t outcome;
  char checkpoint[64];
} cell_end_t;

/**
 * enum cell_wstatus_t - outcome of a call to a worker
 * @CELL_W_OK: done
 * @CELL_W_FENCED: refused, a later owner has called the worker
 * @CELL_W_STALE_RUN: refused, a run with this number or a higher one has
 *   ended there
 * @CELL_W_EXPIRED: refused, the requested lease had already ended
 * @CELL_W_NO_ROOM: refused, too few resources are free
 * @CELL_W_BAD_TICKET: refused, the ticket is not valid
 * @CELL_W_REFUSED: certainly not done, for another reason
 * @CELL_W_RESTARTED: another incarnation of the worker answered
 * @CELL_W_UNKNOWN: no answer; it may have been done, or be done later
 */
typedef enum
{
  CELL_W_OK = 0,
  CELL_W_FENCED,
  CELL_W_STALE_RUN,
  CELL_W_EXPIRED,
  CELL_W_NO_ROOM,
  CELL_W_BAD_TICKET,
  CELL_W_REFUSED,
  CELL_W_RESTARTED,
  CELL_W_UNKNOWN
} cell_wstatus_t;

/**
 * struct cell_item_t - a key of the store with its value, or a check on a key
 * @value, @len: the value and its length in bytes; a check has none
 * @revision: revision that last wrote the key; in a check, the revision that
 *   the key must still have; 0: the key is absent
 */
typedef struct
{
  char key[CELL_KEY_SIZE];
  char *value;
  size_t len;
  uint64_t revision;
} cell_item_t;

/* ---- events ---- */

/**
 * enum cell_evkind_t - kind of an event
 * @CELL_EV_TICK: a timer may be due
 * @CELL_EV_MEMBER: a key below gl/m/ has changed: the ownership record, the
 *   owner's key, or a VM's
 * @CELL_EV_MEMBERS_SYNCED: all keys below gl/m/ have been reported once
 * @CELL_EV_WORKER: a worker's registration has changed
 * @CELL_EV_WORKERS_SYNCED: all registrations that were in the store at
 *   @asked_at have been reported; delivered again with each answer of their
 *   watch
 * @CELL_EV_CONF: a configuration
 * @CELL_EV_CONF_CONFIRMED: the store has confirmed that no configuration is
 *   newer than those reported
 * @CELL_EV_CONF_FETCHED: result of CELL_FX_FETCH_CONF; the configuration, if
 *   there was one, has been reported before
 * @CELL_EV_TXN_DONE: result of CELL_FX_TXN
 * @CELL_EV_PAGE: result of CELL_FX_PAGE
 * @CELL_EV_READ: result of CELL_FX_READ
 * @CELL_EV_LEASE: result of CELL_FX_LEASE
 * @CELL_EV_WCALL: result of CELL_FX_WCALL
 * @CELL_EV_CONSULT_REPLY: result of CELL_FX_CONSULT
 * @CELL_EV_REQUEST: a request, from a caller or forwarded by another VM
 * @CELL_EV_FORWARD_REPLY: result of CELL_FX_FORWARD
 * @CELL_EV_HEARTBEAT: a heartbeat of the owner
 * @CELL_EV_HEARTBEAT_ACK: a VM has answered a heartbeat, result of
 *   CELL_FX_HEARTBEAT
 * @CELL_EV_PEER_DOWN: a VM's address refused a connection
 * @CELL_EV_STOP: the planned stop of this VM begins
 * @CELL_EV_END: the process ends now
 */
typedef enum
{
  CELL_EV_TICK = 0,
  CELL_EV_MEMBER,
  CELL_EV_MEMBERS_SYNCED,
  CELL_EV_WORKER,
  CELL_EV_WORKERS_SYNCED,
  CELL_EV_CONF,
  CELL_EV_CONF_CONFIRMED,
  CELL_EV_CONF_FETCHED,
  CELL_EV_TXN_DONE,
  CELL_EV_PAGE,
  CELL_EV_READ,
  CELL_EV_LEASE,
  CELL_EV_WCALL,
  CELL_EV_CONSULT_REPLY,
  CELL_EV_REQUEST,
  CELL_EV_FORWARD_REPLY,
  CELL_EV_HEARTBEAT,
  CELL_EV_HEARTBEAT_ACK,
  CELL_EV_PEER_DOWN,
  CELL_EV_STOP,
  CELL_EV_END
} cell_evkind_t;

/**
 * enum cell_wop_t - operation of a call to a worker
 * @CELL_OP_START: start a run
 * @CELL_OP_STOP: stop a run, and refuse starts of the task up to its number
 * @CELL_OP_POLL: renew the lease and list what runs and what has ended
 */
typedef enum
{
  CELL_OP_START = 0,
  CELL_OP_STOP,
  CELL_OP_POLL
} cell_wop_t;

/**
 * struct cell_wcall_t - a call to a worker, together with its answer
 * @op: what the worker is to do
 * @worker, @worker_id: index and id of the worker; another incarnation does
 *   not carry the call out (CELL_W_RESTARTED)
 * @addr: "IP:port" of the worker
 * @tag: echoed with the answer
 * @generation: of the calling owner
 * @fencing_token: a worker that has seen a higher one refuses the call
 * @lease_until: renews the worker's lease up to this instant of its own
 *   clock; 0 leaves the lease as it is
 * @ack_cursor: the worker may forget ends up to this number
 * @wait_ms: the worker may delay its answer this long until a run ends
 * @timeout: span in ms; without an answer by then the outcome is
 *   CELL_W_UNKNOWN
 * @task, @run: the run to start or stop
 * @payload: the job's payload, for a start
 * @checkpoint: where the run resumes, "" for the beginning
 * @ticket: the advisor's ticket, "" for a queue without advice
 * @reconnect: use a new connection, since an earlier call got no answer
 * @sent_at: when the reducer listed the call
 * @status: outcome
 * @worker_clock: the worker's clock in its answer, 0 when it gave none
 * @worker_started_at: when the incarnation that answered started, as
 *   cell_worker_t.started_at
 * @runs, @ends: for a poll, what runs there, and the ends not yet forgotten
 */
typedef struct
{
  cell_wop_t op;
  int worker;
  char worker_id[CELL_NAME_SIZE];
  char addr[64];
  uint64_t tag;
  uint64_t generation;
  uint64_t fencing_token;
  uint64_t lease_until;
  uint64_t ack_cursor;
  uint32_t wait_ms;
  gl_ms_t timeout;
  char task[CELL_NAME_SIZE];
  uint32_t run;
  const char *payload;
  char checkpoint[64];
  char ticket[CELL_NAME_SIZE];
  int reconnect;
  gl_ms_t sent_at;

  cell_wstatus_t status;
  uint64_t worker_clock;
  uint64_t worker_started_at;
  cell_run_t *runs;
  int nruns;
  cell_end_t *ends;
  int nends;
} cell_wcall_t;

/**
 * struct cell_event_t - one event
 *
 * Pointers are borrowed for the call, except @conf.
 *
 * @status: outcome of a call to the store
 * @tag: of the effect whose result this is, or of the request; requests use
 *   tags of their own, apart from those that the reducer assigns
 * @revision: of a transaction, the revision that it wrote; of a lease, 1 if
 *   the store made a new one, to which no keys belong yet
 * @items, @nitems: keys of a page, present state of the keys that failed a
 *   transaction's checks, or the key that has changed
 * @removed: the key or the worker's registration is no longer there
 * @more: the page is not the last
 * @worker: of CELL_EV_WORKER, the registration
 * @conf: of CELL_EV_CONF; the reducer takes it over
 * @wcall: of CELL_EV_WCALL, the call with its answer
 * @consult_reply: the advisor's answer, NULL when there was none
 * @request: of CELL_EV_REQUEST
 * @from_peer: the request was forwarded by another VM and is not forwarded
 *   again
 * @deadline: instant by which the request must be answered; of CELL_EV_STOP,
 *   the instant at which the process ends at the latest
 * @call_code: outcome of forwarding; @reply is valid when it is GL_OK; of
 *   CELL_EV_CONF_FETCHED, of the fetch
 * @heartbeat: of CELL_EV_HEARTBEAT
 * @conf_version: of CELL_EV_HEARTBEAT and CELL_EV_HEARTBEAT_ACK, the version
 * of the configuration at the sender; 0 if it has none or did not say
 * @store_age_ms: of CELL_EV_HEARTBEAT_ACK, the time since the store answered
 *   that VM; 0 if it did not say
 * @may_claim: of CELL_EV_HEARTBEAT_ACK, that VM could take the cell over
 * @peer_addr: address that refused a connection
 * @wall: wall clock, milliseconds since the epoch; 0 when not known
 * @asked_at: of CELL_EV_WORKERS_SYNCED, when the store was asked
 * @resumed: of CELL_EV_WORKERS_SYNCED, the store did not answer before
 */
typedef struct
{
  cell_evkind_t kind;
  gl_store_status_t status;
  uint64_t tag;
  uint64_t revision;
  const cell_item_t *items;
  int nitems;
  int removed;
  int more;
  const cell_worker_t *worker;
  cell_conf_t *conf;
  const cell_wcall_t *wcall;
  const gl_consult_reply_t *consult_reply;
  const gl_request_t *request;
  int from_peer;
  gl_ms_t deadline;
  gl_code_t call_code;
  const gl_reply_t *reply;
  const gl_heartbeat_t *heartbeat;
  uint64_t conf_version;
  uint32_t store_age_ms;
  int may_claim;
  const char *peer_addr;
  uint64_t wall;
  gl_ms_t asked_at;
  int resumed;
} cell_event_t;

/* ---- effects ---- */

/**
 * enum cell_fxkind_t - kind of an effect
 * @CELL_FX_TXN: run a transaction
 * @CELL_FX_PAGE: read keys with a prefix, in order, behind a given key
 * @CELL_FX_READ: read one key
 * @CELL_FX_LEASE: renew the lease of this VM's keys, or make a new one
 * @CELL_FX_WCALL: call a worker
 * @CELL_FX_CONSULT: ask the advisor through the VM at @key
 * @CELL_FX_REPLY: answer a request
 * @CELL_FX_FORWARD: forward a request to the VM at @key
 * @CELL_FX_HEARTBEAT: send a heartbeat to the VM at @key, with the version of
 *   the configuration
 * @CELL_FX_FETCH_CONF: ask the VM at @key for its configuration
 * @CELL_FX_LOG: write a log line
 */
typedef enum
{
  CELL_FX_TXN = 0,
  CELL_FX_PAGE,
  CELL_FX_READ,
  CELL_FX_LEASE,
  CELL_FX_WCALL,
  CELL_FX_CONSULT,
  CELL_FX_REPLY,
  CELL_FX_FORWARD,
  CELL_FX_HEARTBEAT,
  CELL_FX_FETCH_CONF,
  CELL_FX_LOG
} cell_fxkind_t;

/**
 * struct cell_put_t - a write of a transaction
 * @value, @len: the new value and its length in bytes; NULL removes the key
 * @leased: the store removes the key when this VM's lease ends
 */
typedef struct
{
  char key[CELL_KEY_SIZE];
  char *value;
  size_t len;
  int leased;
} cell_put_t;

/** struct cell_txn_t - writes that are made all or not at all, and only if
    every check holds */
typedef struct
{
  cell_item_t checks[CELL_TXN_KEYS_MAX];
  int nchecks;
  cell_put_t puts[CELL_TXN_KEYS_MAX];
  int nputs;
} cell_txn_t;

/**
 * struct cell_effect_t - one action for the caller of cell_step to carry out
 * @tag: echoed with the result; of CELL_FX_REPLY, the request's tag
 * @key: key, prefix, or VM address
 * @after_key: the page begins behind this key
 * @timeout: span in ms after which the outcome counts as unknown; of
 *   CELL_FX_LEASE, the lease's length
 * @txn, @wcall, @consult, @reply, @request, @heartbeat: contents of the effect
 *   of that kind; all memory belongs to the list of effects
 * @log_line: text of a log line, NULL when there was no memory for it
 */
typedef struct
{
  cell_fxkind_t kind;
  uint64_t tag;
  char key[CELL_KEY_SIZE];
  char after_key[CELL_KEY_SIZE];
  gl_ms_t timeout;
  cell_txn_t *txn;
  cell_wcall_t *wcall;
  gl_consult_t *consult;
  gl_reply_t reply;
  gl_request_t *request;
  gl_heartbeat_t *heartbeat;
  char *log_line;
} cell_effect_t;

/** struct cell_effects_t - effects in the order in which to carry them out */
typedef struct
{
  cell_effect_t *v;
  size_t n;
  size_t cap;
} cell_effects_t;

/**
 * enum cell_stop_stage_t - how far the planned stop of a VM has got
 * @CELL_STOP_NONE: the VM is not stopping
 * @CELL_STOP_SERVING: it takes requests, on new connections too
 * @CELL_STOP_CLOSING: it takes no new connections
 * @CELL_STOP_DONE: it does not own the cell, and has answered every request;
 *   the process may end once the answers are sent
 */
typedef enum
{
  CELL_STOP_NONE = 0,
  CELL_STOP_SERVING,
  CELL_STOP_CLOSING,
  CELL_STOP_DONE
} cell_stop_stage_t;

typedef struct cell cell_t;

/**
 * cell_new - make the reducer of one VM
 * @vm: name of the VM
 * @addr: "IP:port" at which the other VMs reach it
 * @domain: its failure domain
 * @limits: copied
 * @seed: of its random numbers
 *
 * Returns NULL when out of memory.
 */
cell_t *cell_new (const char *vm, const char *addr, const char *domain,
                  const cell_limits_t *limits, uint64_t seed);
void cell_free (cell_t *c);
/**
 * cell_step - handle one event and append its effects to @fx
 * @now: monotonic clock, never earlier than in the previous call
 *
 * The cell takes over ev->conf.
 */
void cell_step (cell_t *c, const cell_event_t *ev, gl_ms_t now,
                cell_effects_t *fx);
/** cell_next_tick - instant at which the next CELL_EV_TICK is due */
gl_ms_t cell_next_tick (const cell_t *c);
/** cell_ready - 1 while callers' requests can be served */
int cell_ready (const cell_t *c);
/** cell_stop_stage - how far the planned stop has got */
cell_stop_stage_t cell_stop_stage (const cell_t *c);
/** cell_open_requests - number of requests without an answer */
size_t cell_open_requests (const cell_t *c);
/** cell_store_age_ms - time since the store last answered this VM, as the
   owner of @generation is told; 0 if that owner must not take the store for
   away, since it was succeeded or this VM cannot know */
uint32_t cell_store_age_ms (const cell_t *c, uint64_t generation);
/** cell_may_claim - 1 if this VM could take the cell over now */
int cell_may_claim (const cell_t *c);
/** cell_is_owner - 1 while this VM owns the cell */
int cell_is_owner (const cell_t *c);
/** cell_jobs_waiting - accepted jobs of @queue of which no task is known to
    have started, -1 if this VM has not heard of them from the owner in time */
int64_t cell_jobs_waiting (const cell_t *c, const char *queue);
/** cell_find_queue - the queue that takes requests for @host and @path, with
    the rest of the path in @rest; NULL when there is none */
const cell_queue_t *cell_find_queue (const cell_t *c, const char *host,
                                     const char *path, const char **rest);
/**
 * enum cell_auth_t - whether a caller may use a queue
 * @CELL_AUTH_OK: yes
 * @CELL_AUTH_MISSING: the queue needs a key, and the caller has given none
 * @CELL_AUTH_UNKNOWN: the key belongs to no team
 * @CELL_AUTH_OUTDATED: not known, since the configuration may be outdated
 */
typedef enum
{
  CELL_AUTH_OK = 0,
  CELL_AUTH_MISSING,
  CELL_AUTH_UNKNOWN,
  CELL_AUTH_OUTDATED
} cell_auth_t;

/**
 * cell_authenticate - find the team of a caller of queue @q
 * @key: the caller's key, NULL if it has given none
 * @now: as of cell_step; later than the last event if this VM was frozen
 * @team: its team's name, "" for none; valid until the next event
 */
cell_auth_t cell_authenticate (cell_t *c, const cell_queue_t *q,
                               const char *key, gl_ms_t now,
                               const char **team);
/** cell_conf_version - version of the configuration in force, 0 for none */
uint64_t cell_conf_version (const cell_t *c);
/** cell_conf - the configuration in force; its queues and teams include
   removed ones */
const cell_conf_t *cell_conf (const cell_t *c);
/** cell_may_send_conf - 1 if this VM may send its configuration to another VM
    now, as a message of @len bytes, which is counted as sent; 0 while it sends
    others */
int cell_may_send_conf (cell_t *c, size_t len);
/** cell_configured - 1 once a configuration is in force */
int cell_configured (const cell_t *c);
/** cell_metrics - append counters and histograms to @t, as text */
void cell_metrics (const cell_t *c, text_t *t);
/** cell_effects_destroy - free a list and the memory of its effects */
void cell_effects_destroy (cell_effects_t *fx);

#endif
