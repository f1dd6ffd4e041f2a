/*
 * cell.h -- the cell: jobs of steps on workers that are reached by calls
 *
 * A cell is one reducer a VM.  It takes events with the present time,
 * changes its state and lists effects; it does no I/O and reads no clock.
 * One VM owns the cell and drives all workers; the others forward callers'
 * requests to it, lend it their line to the advisor, and stand by.
 *
 * Times are milliseconds of the monotonic clock unless a field says "wall".
 */
#ifndef GL_CELL_H
#define GL_CELL_H

#include "gentianlatch.h"
#include "gl_cell.h"
#include "metrics.h"

/** CELL_NAME - longest name of a worker, VM, queue or key, with its end */
#define CELL_NAME 128
#define CELL_LABELS 4
/** CELL_PUTS - most keys that one transaction names */
#define CELL_PUTS 32

/**
 * struct cell_worker_t - what a worker says of itself
 * @labels: its kind and its rack, in the order of its own list
 * @leaving: it takes no new tasks
 * @leaves_ms: least time until it is gone, when leaving
 */
typedef struct
{
  char id[CELL_NAME];
  char addr[64];
  char domain[32];
  char service[64];
  char labels[CELL_LABELS][32];
  int nlabels;
  gl_res_t total;
  int leaving;
  uint32_t leaves_ms;
} cell_worker_t;

/**
 * struct cell_queue_t - a queue of the configuration
 * @attempts: failed runs of a task after which its job has failed
 * @stretch, @aim_ms: a job is due after @stretch times its work and @aim_ms
 * @advised: only workers that the advisor names may run its steps
 * @decide_ms, @each_ms: cost of a consultation, and of each worker named
 * @valid_ms: how long a ticket lasts
 * @dropped: it takes no new jobs
 */
typedef struct
{
  char name[CELL_NAME];
  char host[CELL_NAME];
  char prefix[CELL_NAME];
  char service[64];
  int priority;
  uint32_t attempts;
  double stretch;
  double aim_ms;
  int advised;
  double decide_ms;
  double each_ms;
  uint32_t valid_ms;
  int dropped;
} cell_queue_t;

/** struct cell_conf_t - the configuration that the cell acts by */
typedef struct
{
  uint64_t version;
  cell_queue_t *queues;
  int nqueues;
} cell_conf_t;

/** struct cell_bounds_t - figures of the site, milliseconds */
typedef struct
{
  uint32_t worker_lease_max;
  uint32_t stop_max;
  uint32_t kept;
  uint32_t writes_per_s; /* of the store, for all VMs together */
  uint32_t cpu_m;        /* this VM's share of a core, in thousandths */
} cell_bounds_t;

/** struct cell_run_t - a row of what a worker runs */
typedef struct
{
  char task[CELL_NAME];
  uint32_t run;
  char saved[64];
  int percent;
  int figure;
} cell_run_t;

typedef enum
{
  CELL_HOW_DONE = 0,
  CELL_HOW_FAILED,
  CELL_HOW_STOPPED,
  CELL_HOW_LAPSED,
  CELL_HOW_BROKEN,
  CELL_HOW_ALONE,
  CELL_HOW_UNKNOWN
} cell_how_t;

/** struct cell_end_t - a row of what has ended on a worker */
typedef struct
{
  uint64_t number;
  char task[CELL_NAME];
  uint32_t run;
  cell_how_t how;
  char saved[64];
} cell_end_t;

/**
 * enum cell_wcode_t - outcome of a call to a worker
 * @CELL_W_OK: done
 * @CELL_W_FENCED: a later owner has called it
 * @CELL_W_OLD: the run is not above one that ended there
 * @CELL_W_LATE: its instant had passed
 * @CELL_W_ROOM: no room
 * @CELL_W_TICKET: the ticket does not hold
 * @CELL_W_REFUSED: not done, for another reason
 * @CELL_W_REBORN: another lifetime answered
 * @CELL_W_UNKNOWN: no answer; it may have been done, or be done later
 */
typedef enum
{
  CELL_W_OK = 0,
  CELL_W_FENCED,
  CELL_W_OLD,
  CELL_W_LATE,
  CELL_W_ROOM,
  CELL_W_TICKET,
  CELL_W_REFUSED,
  CELL_W_REBORN,
  CELL_W_UNKNOWN
} cell_wcode_t;

/** struct cell_item_t - a key of the store as it stands; revision 0: absent */
typedef struct
{
  char key[CELL_NAME];
  char *value;
  size_t len;
  uint64_t revision;
} cell_item_t;

/* ---- events ---- */

typedef enum
{
  CELL_EV_TICK = 0,
  CELL_EV_MEMBER,
  CELL_EV_MEMBERS_SYNC,
  CELL_EV_WORKER,
  CELL_EV_WORKERS_SYNC,
  CELL_EV_CONF,
  CELL_EV_WROTE,
  CELL_EV_PAGE,
  CELL_EV_READ,
  CELL_EV_LEASE,
  CELL_EV_WCALL,
  CELL_EV_COUNSEL,
  CELL_EV_ASK,
  CELL_EV_TOLD,
  CELL_EV_BEACON,
  CELL_EV_PEER_DOWN,
  CELL_EV_STOP
} cell_evkind_t;

/** enum cell_wop_t - what is asked of a worker */
typedef enum
{
  CELL_OP_START = 0,
  CELL_OP_STOP,
  CELL_OP_HOLD
} cell_wop_t;

/**
 * struct cell_wcall_t - a call to a worker, and with its answer
 * @worker, @life: index and id of the worker that is meant
 * @tag: echoed with the answer
 * @until: the lease is asked for up to this instant of the worker's clock,
 *   0 to leave it
 * @cursor: ends up to this number may be forgotten
 * @wait: the worker may keep the answer back this long for an end
 * @fresh: on a new connection, since an earlier call got no answer
 * @clock: the worker's clock in its answer, 0 when it gave none
 * @rows, @ends: what it runs and what has ended there, for a hold
 */
typedef struct
{
  cell_wop_t op;
  int worker;
  char life[CELL_NAME];
  char addr[64];
  uint64_t tag;
  uint64_t token;
  uint64_t until;
  uint64_t cursor;
  uint32_t wait;
  gl_ms_t timeout;
  char task[CELL_NAME];
  uint32_t run;
  const char *payload;
  char saved[64];
  char ticket[CELL_NAME];
  int fresh;
  gl_ms_t sent;

  cell_wcode_t code;
  uint64_t clock;
  cell_run_t *rows;
  int nrows;
  cell_end_t *ends;
  int nends;
} cell_wcall_t;

/**
 * struct cell_event_t - one event; pointers are borrowed for the call
 * @status: outcome of a call to the store
 * @tag: number of the call or request that the event belongs to
 * @item, @nitem: items of a page, of a conflict, or the one that changed
 * @gone: the key, worker or VM is no longer there
 * @more: the page is not the last
 * @retry: with CELL_EV_ASK, it came from another VM and is not forwarded
 */
typedef struct
{
  cell_evkind_t kind;
  gl_store_status_t status;
  uint64_t tag;
  uint64_t revision;
  const cell_item_t *items;
  int nitems;
  int gone;
  int more;
  const cell_worker_t *worker;
  cell_conf_t *conf;
  const cell_wcall_t *wcall;
  const gl_counsel_t *counsel;
  const gl_ask_t *ask;
  int forwarded;
  gl_ms_t deadline;
  gl_code_t sent;
  const gl_tell_t *tell;
  const gl_beacon_t *beacon;
  const char *vm;
  uint64_t wall;
} cell_event_t;

/* ---- effects ---- */

typedef enum
{
  CELL_FX_TXN = 0,
  CELL_FX_PAGE,
  CELL_FX_READ,
  CELL_FX_LEASE,
  CELL_FX_WCALL,
  CELL_FX_CONSULT,
  CELL_FX_TELL,
  CELL_FX_FORWARD,
  CELL_FX_BEACON,
  CELL_FX_LOG
} cell_fxkind_t;

/** struct cell_put_t - a write of a transaction; NULL @value removes */
typedef struct
{
  char key[CELL_NAME];
  char *value;
  size_t len;
  int leased;
} cell_put_t;

/** struct cell_txn_t - all or nothing, if every check still holds */
typedef struct
{
  cell_item_t checks[CELL_PUTS];
  int nchecks;
  cell_put_t puts[CELL_PUTS];
  int nputs;
} cell_txn_t;

/**
 * struct cell_effect_t - one thing to do
 * @tag: echoed with the result
 * @key: key, prefix, or VM address
 * @after: the page begins behind this key
 * @line: text of a log line
 */
typedef struct
{
  cell_fxkind_t kind;
  uint64_t tag;
  char key[CELL_NAME];
  char after[CELL_NAME];
  gl_ms_t timeout;
  cell_txn_t *txn;
  cell_wcall_t *wcall;
  gl_consult_t *consult;
  gl_tell_t tell;
  gl_ask_t *ask;
  gl_beacon_t *beacon;
  char *line;
} cell_effect_t;

/** struct cell_effects_t - effects in the order in which they are due */
typedef struct
{
  cell_effect_t *v;
  size_t n;
  size_t cap;
} cell_effects_t;

typedef struct cell cell_t;

/** cell_new - a cell on VM @vm, reached by its peers at @addr; NULL without
    memory */
cell_t *cell_new (const char *vm, const char *addr, const char *domain,
                  const cell_bounds_t *bounds, uint64_t seed);
void cell_free (cell_t *c);
/**
 * cell_step - take one event
 * @now: monotonic, never earlier than in the call before
 *
 * Effects are appended to @fx.  The cell takes over ev->conf.
 */
void cell_step (cell_t *c, const cell_event_t *ev, gl_ms_t now,
                cell_effects_t *fx);
/** cell_due - when CELL_EV_TICK is wanted next */
gl_ms_t cell_due (const cell_t *c);
/** cell_ready - 1 while callers' requests can be served */
int cell_ready (const cell_t *c);
/** cell_owner - 1 while this VM owns the cell */
int cell_owner (const cell_t *c);
/** cell_waiting - accepted jobs of @queue of which nothing has begun */
uint32_t cell_waiting (const cell_t *c, const char *queue);
/** cell_queue - the queue that takes requests for @host and @path, with the
    rest of the path in @rest; NULL when there is none */
const cell_queue_t *cell_queue (const cell_t *c, const char *host,
                                const char *path, const char **rest);
/** cell_configured - a configuration is in force */
int cell_configured (const cell_t *c);
/** cell_metrics - counters and histograms as text */
void cell_metrics (const cell_t *c, text_t *t);
/** cell_effects_done - release a list and what it holds */
void cell_effects_done (cell_effects_t *fx);

#endif
