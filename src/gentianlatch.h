/*
 * gentianlatch.h -- public interface of the gentianlatch library
 *
 * gentianlatch decides which task runs on which worker and which upstream
 * serves which request.  The decisions are made by reducers: objects that
 * take one event at a time together with the present time, change their
 * state, and put what is to be done into a list of effects.  A reducer does
 * no I/O, reads no clock and never blocks; the caller carries out the
 * effects and feeds their results back as events.  The daemons, the tests,
 * the fuzzers and the benchmarks all drive the same reducers.
 *
 * Units: times are milliseconds of one monotonic clock (gl_ms_t), CPUs are
 * thousandths, memory is MiB, accelerators are whole devices.
 *
 * A reducer is not thread safe: one thread drives it.
 *
 * Functions that can fail return a gl_status_t.  Values below zero are
 * errors; an error leaves the state as it was.
 */
#ifndef GENTIANLATCH_H
#define GENTIANLATCH_H

#include <stddef.h>
#include <stdint.h>

#include "gl_rec.h"

#define GL_VERSION_STRING "0.1.0"

/** typedef gl_ms_t - an instant or a span, in milliseconds */
typedef uint64_t gl_ms_t;

/**
 * enum gl_code_t - outcome of a call or of an operator's request
 * @GL_OK: done; for a submission: accepted and written
 * @GL_RETRY: not done, nothing was changed; come back later
 * @GL_INVALID: the request is malformed
 * @GL_INFEASIBLE: no worker of the domain could ever satisfy it
 * @GL_NOT_FOUND: no such job, worker or team
 * @GL_NOT_OWNER: this scheduler does not own the domain
 * @GL_UNKNOWN: it may or may not have been done; ask again with the same id
 * @GL_NOMEM: out of memory
 * @GL_CONFLICT: someone else changed it first
 */
typedef enum
{
  GL_OK = 0,
  GL_RETRY = -1,
  GL_INVALID = -2,
  GL_INFEASIBLE = -3,
  GL_NOT_FOUND = -4,
  GL_NOT_OWNER = -5,
  GL_UNKNOWN = -6,
  GL_NOMEM = -7,
  GL_CONFLICT = -8
} gl_code_t;

/** gl_code_name - stable lower-case name of a gl_code_t, for JSON and logs */
const char *gl_code_name (gl_code_t code);

/**
 * enum gl_store_status_t - outcome of a call to the key-value service
 * @GL_ST_OK: done
 * @GL_ST_CONFLICT: compare-and-swap found another index; nothing written
 * @GL_ST_ABSENT: the key does not exist
 * @GL_ST_REFUSED: certainly not done (not sent, or refused as overloaded)
 * @GL_ST_UNKNOWN: the answer was lost; the write may have taken effect
 */
typedef enum
{
  GL_ST_OK = 0,
  GL_ST_CONFLICT,
  GL_ST_ABSENT,
  GL_ST_REFUSED,
  GL_ST_UNKNOWN
} gl_store_status_t;

/** enum gl_vm_state_t - what the platform's list says of a VM */
typedef enum
{
  GL_VM_LIVE = 0,
  GL_VM_LEAVING = 1
} gl_vm_state_t;

/**
 * struct gl_vm_t - one entry of the platform's list of VMs
 * @name: unique name
 * @role: "worker" or "upstream"
 * @service: service that an upstream offers
 * @domain: failure domain
 * @rack: rack within the domain
 * @addr: URL prefix under which it is reached
 * @state: live or leaving
 */
typedef struct
{
  char name[64];
  char role[12];
  char service[32];
  char domain[32];
  char rack[32];
  char addr[96];
  gl_vm_state_t state;
} gl_vm_t;

struct gl_conf;

/* ---- scheduler events ---- */

typedef enum
{
  GL_EV_TICK = 0,
  GL_EV_STORE,
  GL_EV_SUBMIT,
  GL_EV_CANCEL,
  GL_EV_CORDON,
  GL_EV_VMS,
  GL_EV_WORKER,
  GL_EV_CONF,
  GL_EV_STOP
} gl_ev_kind_t;

/** enum gl_call_status_t - outcome of a call to a worker */
typedef enum
{
  GL_CALL_ANSWERED = 0,
  GL_CALL_NOT_SENT,
  GL_CALL_UNKNOWN
} gl_call_status_t;

/**
 * struct gl_event_t - one event for a scheduler
 *
 * Pointers are borrowed for the length of the call.
 */
typedef struct
{
  gl_ev_kind_t kind;
  union
  {
    struct
    {
      uint32_t tag;
      gl_store_status_t status;
      uint64_t index;
      const char *data;
      size_t len;
    } store;
    struct
    {
      uint64_t token;
      uint64_t job;
      const gl_jobspec_t *spec;
    } submit;
    struct
    {
      uint64_t token;
      uint64_t job;
    } cancel;
    struct
    {
      uint64_t token;
      const char *worker;
      int on;
    } cordon;
    struct
    {
      const gl_vm_t *vms;
      size_t n;
    } vms;
    struct
    {
      uint32_t worker;
      uint32_t call;
      gl_call_status_t status;
      const gl_wreply_t *reply;
    } worker;
    const struct gl_conf *conf;
  } u;
} gl_event_t;

/* ---- scheduler effects ---- */

typedef enum
{
  GL_FX_STORE_GET = 0,
  GL_FX_STORE_CAS,
  GL_FX_WORKER,
  GL_FX_ANSWER,
  GL_FX_LOG,
  GL_FX_STOPPED
} gl_fx_kind_t;

/**
 * struct gl_effect_t - one thing that a scheduler wants done
 *
 * GL_FX_STORE_GET, GL_FX_STORE_CAS: call the key-value service and report
 * with the same tag.  index 0 in a CAS means "only if absent".
 * GL_FX_WORKER: send the encoded gl_wcall_t to addr, but not at or after
 * send_before; report with the same worker and call numbers.
 * GL_FX_ANSWER: final answer to the request with that token.
 * GL_FX_LOG: a change of state worth a line.
 * GL_FX_STOPPED: a requested stop is complete.
 */
typedef struct
{
  gl_fx_kind_t kind;
  union
  {
    struct
    {
      uint32_t tag;
      char key[96];
      uint64_t index;
    } store;
    struct
    {
      uint32_t worker;
      uint32_t call;
      char addr[96];
      gl_ms_t timeout;
      gl_ms_t send_before;
    } worker;
    struct
    {
      uint64_t token;
      gl_code_t code;
      uint64_t job;
      gl_ms_t retry;
      const char *reason;
    } answer;
    char log[160];
  } u;
  char *data;
  size_t len;
} gl_effect_t;

/** struct gl_effects_t - growable list of effects */
typedef struct
{
  gl_effect_t *v;
  size_t n;
  size_t cap;
} gl_effects_t;

/** gl_effects_clear - free the payloads and empty the list */
void gl_effects_clear (gl_effects_t *fx);
/** gl_effects_free - release the list itself as well */
void gl_effects_free (gl_effects_t *fx);

/* ---- scheduler ---- */

/**
 * enum gl_policy_t - how workers are chosen; all but the first are baselines
 * @GL_POLICY_FULL: best fit, spreading, reservation, backfill, eviction
 * @GL_POLICY_FIRST_FIT: the lowest-numbered worker that fits
 * @GL_POLICY_RANDOM_FIT: any worker that fits
 * @GL_POLICY_NO_RESERVATION: the full policy without its reservation
 */
typedef enum
{
  GL_POLICY_FULL = 0,
  GL_POLICY_FIRST_FIT,
  GL_POLICY_RANDOM_FIT,
  GL_POLICY_NO_RESERVATION
} gl_policy_t;

/**
 * struct gl_sched_opts_t - what a scheduler is told at its start
 * @node: name of this VM, unique among the candidates of the domain
 * @domain: failure domain it stands for
 * @rpc: address that operators' calls are forwarded to
 * @seed: seed of its random numbers
 * @lease: length of the owner lease
 * @renew: period of its renewal
 * @worker_lease: length of a worker's lease
 * @hold: how long a worker may hold an idle call open
 * @commit_gap: shortest time between two commits
 * @grace: how long worker leases are renewed without the store
 * @drift_ppm: bound on clock drift, parts per million
 * @policy: how workers are chosen
 *
 * Zero in a time takes the default named in schedint.h.
 */
typedef struct
{
  const char *node;
  const char *domain;
  const char *rpc;
  unsigned long seed;
  gl_ms_t lease;
  gl_ms_t renew;
  gl_ms_t worker_lease;
  gl_ms_t hold;
  gl_ms_t commit_gap;
  gl_ms_t grace;
  unsigned int drift_ppm;
  gl_policy_t policy;
} gl_sched_opts_t;

typedef struct gl_sched gl_sched_t;

/** gl_sched_new - a standby scheduler, or NULL when out of memory */
gl_sched_t *gl_sched_new (const gl_sched_opts_t *opts, gl_ms_t now);
/** gl_sched_free - release it with all its state */
void gl_sched_free (gl_sched_t *s);
/** gl_sched_step - take one event at time @now, append effects to @fx */
void gl_sched_step (gl_sched_t *s, const gl_event_t *ev, gl_ms_t now,
                    gl_effects_t *fx);
/** gl_sched_due - when the next GL_EV_TICK is wanted */
gl_ms_t gl_sched_due (const gl_sched_t *s);
/** gl_sched_active - 1 while it owns the domain, and its epoch */
int gl_sched_active (const gl_sched_t *s, uint64_t *epoch);
/**
 * gl_sched_view - malloc'd JSON text about its state, or NULL
 * @what: "jobs", "job", "workers", "queues", "summary" or "waits"
 * @job: the job's id for "job"
 */
char *gl_sched_view (gl_sched_t *s, const char *what, uint64_t job,
                     gl_ms_t now);
/**
 * gl_sched_metrics - malloc'd text of all counters and histograms, in the
 * line format that common metric collectors read
 */
char *gl_sched_metrics (gl_sched_t *s);

/* ---- router: callers' requests to upstreams ---- */

/** enum gl_urgency_t - class of a request */
typedef enum
{
  GL_REQ_URGENT = 0,
  GL_REQ_NORMAL = 1,
  GL_REQ_BULK = 2
} gl_urgency_t;

/**
 * enum gl_try_t - what became of one sending of a request
 * @GL_TRY_WHOLE: a whole answer arrived
 * @GL_TRY_NOT_SENT: nothing left this process
 * @GL_TRY_REFUSED: the upstream says that it did not run it
 * @GL_TRY_UNKNOWN: it was sent and no whole answer came
 */
typedef enum
{
  GL_TRY_WHOLE = 0,
  GL_TRY_NOT_SENT,
  GL_TRY_REFUSED,
  GL_TRY_UNKNOWN
} gl_try_t;

typedef enum
{
  GL_REV_TICK = 0,
  GL_REV_REQUEST,
  GL_REV_TRIED,
  GL_REV_PROBED,
  GL_REV_CLAIM,
  GL_REV_VMS,
  GL_REV_CONF,
  GL_REV_STOP
} gl_rev_kind_t;

/**
 * struct gl_rev_t - one event for a router
 *
 * request.deadline is a span from now; 0 takes the configured one.
 * request.key is the caller's idempotency key, "" for none.
 * tried.leaving says that the upstream refused because it is leaving.
 * claim.data is the record read, for a get.
 */
typedef struct
{
  gl_rev_kind_t kind;
  union
  {
    struct
    {
      uint64_t token;
      const char *service;
      const char *key;
      gl_urgency_t urgency;
      int repeatable;
      gl_ms_t deadline;
    } request;
    struct
    {
      uint32_t request;
      uint32_t attempt;
      gl_try_t result;
      int leaving;
      gl_ms_t retry_after;
    } tried;
    struct
    {
      uint32_t instance;
      int healthy;
      int leaving;
    } probed;
    struct
    {
      uint32_t request;
      gl_store_status_t status;
      uint64_t index;
      const char *data;
      size_t len;
    } claim;
    struct
    {
      const gl_vm_t *vms;
      size_t n;
    } vms;
    const struct gl_conf *conf;
  } u;
} gl_rev_t;

typedef enum
{
  GL_RFX_SEND = 0,
  GL_RFX_PROBE,
  GL_RFX_RETIRE,
  GL_RFX_CLAIM_GET,
  GL_RFX_CLAIM_CAS,
  GL_RFX_PASS,
  GL_RFX_ERROR,
  GL_RFX_LOG,
  GL_RFX_STOPPED
} gl_rfx_kind_t;

/**
 * struct gl_rfx_t - one thing that a router wants done
 *
 * GL_RFX_SEND: send the request of @token to @addr, giving up after
 * @timeout; report as tried with the same request and attempt numbers.  With
 * @once nothing below may send it a second time.
 * GL_RFX_PROBE: ask @addr for its health on a new connection.
 * GL_RFX_RETIRE: use no connection that was open before now.
 * GL_RFX_CLAIM_GET, GL_RFX_CLAIM_CAS: read or write the record @key; a
 * request of 0 asks for no report.
 * GL_RFX_PASS: the answer that was just reported is the final one.
 * GL_RFX_ERROR: final answer with HTTP status @status; @not_run promises
 * that no upstream has run it; @retry, if not 0, says when to come back.
 */
typedef struct
{
  gl_rfx_kind_t kind;
  uint64_t token;
  uint32_t request;
  uint32_t attempt;
  uint32_t instance;
  char addr[96];
  gl_ms_t timeout;
  int once;
  char key[96];
  uint64_t index;
  char value[64];
  int status;
  int not_run;
  gl_ms_t retry;
  const char *code;
  char log[128];
} gl_rfx_t;

typedef struct
{
  gl_rfx_t *v;
  size_t n;
  size_t cap;
} gl_rfxs_t;

/**
 * struct gl_router_opts_t - what a router is told at its start
 * @node: unique name of this process, used in claims
 * @domain: failure domain it stands in
 * @entries, @number: entry processes of the domain, and this one's number
 * @slots: requests that an instance serves at once
 * @seed: seed of its random numbers
 */
typedef struct
{
  const char *node;
  const char *domain;
  int entries;
  int number;
  int slots;
  unsigned long seed;
} gl_router_opts_t;

typedef struct gl_router gl_router_t;

/** gl_router_new - a router that knows no upstreams yet */
gl_router_t *gl_router_new (const gl_router_opts_t *opts, gl_ms_t now);
void gl_router_free (gl_router_t *r);
/** gl_router_step - take one event at time @now, append effects to @fx */
void gl_router_step (gl_router_t *r, const gl_rev_t *ev, gl_ms_t now,
                     gl_rfxs_t *fx);
/** gl_router_due - when the next GL_REV_TICK is wanted */
gl_ms_t gl_router_due (const gl_router_t *r);
/** gl_router_view - malloc'd JSON text about instances and queues */
char *gl_router_view (gl_router_t *r, gl_ms_t now);
/** gl_router_metrics - malloc'd text of all counters and histograms */
char *gl_router_metrics (gl_router_t *r);

#endif
