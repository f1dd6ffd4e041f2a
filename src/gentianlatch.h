/*
 * gentianlatch.h -- public interface of the gentianlatch library
 *
 * The library assigns tasks to workers (gl_sched_t) and callers' requests to
 * upstream instances (gl_router_t).  Both are reducers: an object takes one
 * event and the present time, changes its state, and appends to a list the
 * effects that its caller has to carry out.  A reducer does no I/O, reads no
 * clock and never blocks; the results of effects come back as events.  The
 * daemons, the tests, the fuzzers and the benchmarks all drive the same
 * reducers.
 *
 * Units: times are milliseconds of one monotonic clock (gl_ms_t), CPUs are
 * thousandths, memory is MiB, accelerators are whole devices.
 *
 * A reducer is not thread safe: one thread at a time may call it.
 *
 * Strings and arrays in events are borrowed for the length of the call.
 */
#ifndef GENTIANLATCH_H
#define GENTIANLATCH_H

#include <stddef.h>
#include <stdint.h>

#include "gl_rec.h"

#define GL_VERSION_STRING "0.1.0"

/** typedef gl_ms_t - a point in time or a duration, in milliseconds */
typedef uint64_t gl_ms_t;

/**
 * enum gl_code_t - outcome of a call or of an operator's request; values
 * below zero are errors
 * @GL_OK: done; for a submission, the job is accepted and written
 * @GL_RETRY: not done, nothing was changed; may be retried later
 * @GL_INVALID: the request is malformed
 * @GL_INFEASIBLE: the job can never run in this domain: its team is unknown,
 * or it needs more than the team's quota share or than the workers can hold
 * @GL_NOT_FOUND: no such job, worker or team
 * @GL_NOT_OWNER: this scheduler does not own the domain
 * @GL_UNKNOWN: it may or may not have been done; retry with the same id
 * @GL_NOMEM: out of memory
 * @GL_CONFLICT: a concurrent change was written first
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

/** gl_code_name - stable lower-case name of a gl_code_t, for JSON and logs;
    "error" for an unknown value */
const char *gl_code_name (gl_code_t code);

/**
 * enum gl_store_status_t - outcome of a call to the key-value service
 * @GL_ST_OK: done
 * @GL_ST_CONFLICT: the key's index differs from the one that the
 * compare-and-swap gave; nothing written
 * @GL_ST_ABSENT: the key does not exist
 * @GL_ST_REFUSED: not done for certain: not sent, or refused for overload
 * @GL_ST_UNKNOWN: no reply arrived; a write may have taken effect
 * @GL_ST_INVALID: not done for certain, and refused for what it holds; the
 *   same call would be refused again
 */
typedef enum
{
  GL_ST_OK = 0,
  GL_ST_CONFLICT,
  GL_ST_ABSENT,
  GL_ST_REFUSED,
  GL_ST_UNKNOWN,
  GL_ST_INVALID
} gl_store_status_t;

/**
 * enum gl_vm_state_t - state of a VM in the platform's list
 * @GL_VM_LIVE: in service
 * @GL_VM_LEAVING: about to be removed; takes no new work
 */
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
 * @addr: prefix of the URLs that reach it
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

/**
 * enum gl_ev_kind_t - kind of a scheduler event
 * @GL_EV_TICK: the time that gl_sched_due gave has come
 * @GL_EV_STORE: a call to the key-value service has ended
 * @GL_EV_SUBMIT: an operator submits a job
 * @GL_EV_CANCEL: an operator cancels a job
 * @GL_EV_CORDON: an operator closes a worker to new tasks, or reopens it
 * @GL_EV_VMS: the platform's list of VMs has arrived
 * @GL_EV_WORKER: a call to a worker has ended
 * @GL_EV_CONF: a configuration has arrived
 * @GL_EV_STOP: the process is asked to stop
 */
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

/**
 * enum gl_call_status_t - outcome of a call to a worker
 * @GL_CALL_ANSWERED: the worker replied
 * @GL_CALL_NOT_SENT: nothing was sent
 * @GL_CALL_UNKNOWN: sent, but no reply arrived; it may have been executed
 */
typedef enum
{
  GL_CALL_ANSWERED = 0,
  GL_CALL_NOT_SENT,
  GL_CALL_UNKNOWN
} gl_call_status_t;

/**
 * struct gl_event_t - one event for a scheduler
 *
 * store: @tag is that of the effect; @index is the key's modification index;
 * @data and @len are the value read.
 * submit, cancel, cordon: @token identifies the request and comes back in
 * GL_FX_ANSWER; 0 asks for no answer.  @job is the job's id, @spec the job,
 * @worker the worker's name; @on is 1 to close the worker to new tasks and 0
 * to open it again.
 * vms: the whole list, @n entries.
 * worker: @worker and @call are those of the effect; @reply is valid with
 * GL_CALL_ANSWERED only.
 * conf: the configuration.
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

/** enum gl_fx_kind_t - kind of a scheduler effect, see gl_effect_t */
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
 * struct gl_effect_t - one action that the scheduler's caller carries out
 * @data, @len: malloc'd payload: the value to write, or the call to send
 *
 * GL_FX_STORE_GET, GL_FX_STORE_CAS: call the key-value service and report
 * the result as GL_EV_STORE with the same tag.  An index of 0 in a
 * compare-and-swap means "only if the key is absent".
 * GL_FX_WORKER: send the encoded gl_wcall_t to @addr and wait up to @timeout
 * for the reply, but do not send at or after the time @send_before; report
 * the result as GL_EV_WORKER with the same worker and call numbers.
 * GL_FX_ANSWER: final answer to the operator's request @token about @job.
 * @retry_after, if not 0, is the delay after which the request may be
 * retried; @reason is a static text for the operator or NULL.
 * GL_FX_LOG: write @log to the log.
 * GL_FX_STOPPED: the stop that GL_EV_STOP asked for is complete.
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
      gl_ms_t retry_after;
      const char *reason;
    } answer;
    char log[160];
  } u;
  char *data;
  size_t len;
} gl_effect_t;

/** struct gl_effects_t - growable list of effects; all zero is empty */
typedef struct
{
  gl_effect_t *v;
  size_t n;
  size_t cap;
} gl_effects_t;

/** gl_effects_clear - free the payloads and empty the list, keep its space */
void gl_effects_clear (gl_effects_t *fx);
/** gl_effects_free - free the payloads and the list */
void gl_effects_free (gl_effects_t *fx);

/* ---- scheduler ---- */

/**
 * enum gl_policy_t - how workers are chosen; all but the first are baselines
 * for comparison
 * @GL_POLICY_FULL: best fit, spreading, reservation, backfill, preemption
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
 * struct gl_sched_opts_t - parameters of a scheduler
 * @node: name of this VM, unique among the schedulers of the domain
 * @domain: failure domain that it schedules
 * @rpc: address that operators' calls are forwarded to while it owns the
 * domain
 * @seed: seed of its random number generator
 * @lease: duration of the owner lease
 * @renew: interval at which the owner lease is renewed
 * @worker_lease: duration of a worker's lease
 * @long_poll_ms: how long a worker may keep a long poll open, milliseconds
 * @commit_gap: shortest interval between two commits
 * @grace: how long worker leases are renewed after the owner lease has ended
 * because the key-value service is unreachable
 * @drift_ppm: bound on a clock's rate error, parts per million
 * @policy: how workers are chosen
 *
 * A duration or interval of 0 takes the default defined in schedint.h.
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
  gl_ms_t long_poll_ms;
  gl_ms_t commit_gap;
  gl_ms_t grace;
  unsigned int drift_ppm;
  gl_policy_t policy;
} gl_sched_opts_t;

typedef struct gl_sched gl_sched_t;

/** gl_sched_new - create a scheduler, on standby; NULL when out of memory */
gl_sched_t *gl_sched_new (const gl_sched_opts_t *opts, gl_ms_t now);
/** gl_sched_free - free a scheduler and all its state */
void gl_sched_free (gl_sched_t *s);
/** gl_sched_step - process one event at time @now, append effects to @fx */
void gl_sched_step (gl_sched_t *s, const gl_event_t *ev, gl_ms_t now,
                    gl_effects_t *fx);
/** gl_sched_due - time at which the next GL_EV_TICK is due, UINT64_MAX if none
    is */
gl_ms_t gl_sched_due (const gl_sched_t *s);
/** gl_sched_active - 1 while it owns the domain, else 0; stores its epoch in
    @epoch unless that is NULL */
int gl_sched_active (const gl_sched_t *s, uint64_t *epoch);
/**
 * gl_sched_view - state as malloc'd JSON text; NULL for an unknown @what or
 * job, or when out of memory
 * @what: "jobs", "job", "workers", "queues", "summary" or "waits"
 * @job: the job's id for "job"
 */
char *gl_sched_view (gl_sched_t *s, const char *what, uint64_t job,
                     gl_ms_t now);
/**
 * gl_sched_metrics - all counters and histograms as malloc'd text, in the
 * Prometheus text format
 */
char *gl_sched_metrics (gl_sched_t *s);

/* ---- router: callers' requests to upstreams ---- */

/**
 * enum gl_urgency_t - priority class of a request
 * @GL_REQ_URGENT: always sent before the other classes
 * @GL_REQ_NORMAL: the default
 * @GL_REQ_BULK: after the other classes, but often enough not to starve
 */
typedef enum
{
  GL_REQ_URGENT = 0,
  GL_REQ_NORMAL = 1,
  GL_REQ_BULK = 2
} gl_urgency_t;

/**
 * enum gl_send_result_t - result of sending a request to an upstream once
 * @GL_SEND_ANSWERED: a complete response arrived
 * @GL_SEND_NOT_SENT: nothing left this process
 * @GL_SEND_REFUSED: the upstream responded that it did not run the request
 * @GL_SEND_UNKNOWN: the request was sent, but no complete response arrived;
 * the upstream may have run it
 * @GL_SEND_NO_ROOM: nothing left this process, which has no memory for it
 * @GL_SEND_DROPPED: the upstream responded, but the response was too long or
 * this process had no memory for it
 */
typedef enum
{
  GL_SEND_ANSWERED = 0,
  GL_SEND_NOT_SENT,
  GL_SEND_REFUSED,
  GL_SEND_UNKNOWN,
  GL_SEND_NO_ROOM,
  GL_SEND_DROPPED
} gl_send_result_t;

/**
 * enum gl_route_ev_kind_t - kind of a router event
 * @GL_ROUTE_EV_TICK: the time that gl_router_due gave has come
 * @GL_ROUTE_EV_REQUEST: a caller's request has arrived
 * @GL_ROUTE_EV_SEND_DONE: a GL_ROUTE_FX_SEND has ended
 * @GL_ROUTE_EV_PROBE_DONE: a GL_ROUTE_FX_PROBE has ended
 * @GL_ROUTE_EV_CLAIM_DONE: a GL_ROUTE_FX_CLAIM_GET or GL_ROUTE_FX_CLAIM_CAS
 * has ended
 * @GL_ROUTE_EV_VMS: the platform's list of VMs has arrived
 * @GL_ROUTE_EV_CONF: a configuration has arrived
 * @GL_ROUTE_EV_STOP: the process is asked to stop
 */
typedef enum
{
  GL_ROUTE_EV_TICK = 0,
  GL_ROUTE_EV_REQUEST,
  GL_ROUTE_EV_SEND_DONE,
  GL_ROUTE_EV_PROBE_DONE,
  GL_ROUTE_EV_CLAIM_DONE,
  GL_ROUTE_EV_VMS,
  GL_ROUTE_EV_CONF,
  GL_ROUTE_EV_STOP
} gl_route_ev_kind_t;

/**
 * struct gl_route_event_t - one event for a router
 *
 * request: @token identifies the request and comes back in its effects;
 * @service is the name of the service that it is for; @key is the caller's
 * idempotency key, "" for none; @repeatable is 1 if running the request twice
 * does no harm; @deadline is a duration from now, 0 takes the configured one.
 * send_done: @request and @attempt are those of the effect; @leaving is 1 if
 * the upstream refused because it is leaving; @retry_after is the delay that
 * it asked for, 0 for none.
 * probe_done: @instance is that of the effect; @healthy is 1 if the instance
 * reported that it is in service, @leaving if it reported that it is leaving.
 * claim: @request is that of the effect; @index is the key's modification
 * index; @data and @len are the value read, for a get.
 * vms: the whole list, @n entries.
 * conf: the configuration.
 */
typedef struct
{
  gl_route_ev_kind_t kind;
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
      gl_send_result_t result;
      int leaving;
      gl_ms_t retry_after;
    } send_done;
    struct
    {
      uint32_t instance;
      int healthy;
      int leaving;
    } probe_done;
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
} gl_route_event_t;

/** enum gl_route_fx_kind_t - kind of a router effect, see gl_route_effect_t */
typedef enum
{
  GL_ROUTE_FX_SEND = 0,
  GL_ROUTE_FX_PROBE,
  GL_ROUTE_FX_RETIRE_CONNS,
  GL_ROUTE_FX_CLAIM_GET,
  GL_ROUTE_FX_CLAIM_CAS,
  GL_ROUTE_FX_REPLY,
  GL_ROUTE_FX_ERROR,
  GL_ROUTE_FX_LOG,
  GL_ROUTE_FX_STOPPED
} gl_route_fx_kind_t;

/**
 * struct gl_route_effect_t - one action that the router's caller carries out
 *
 * GL_ROUTE_FX_SEND: send the request @token to @addr and give up after
 * @timeout; report the result as GL_ROUTE_EV_SEND_DONE with the same request
 * and attempt numbers.  With @once, no lower layer may resend it.  @key names
 * the claim of a request with an idempotency key and is empty for others.
 * GL_ROUTE_FX_PROBE: check the health of @addr on a new connection; report
 * the result as GL_ROUTE_EV_PROBE_DONE with the same instance number.
 * GL_ROUTE_FX_RETIRE_CONNS: reuse no upstream connection opened before now.
 * GL_ROUTE_FX_CLAIM_GET, GL_ROUTE_FX_CLAIM_CAS: read the key @key of the
 * key-value service, or write @value to it if its index is @index (0: if it
 * is absent); report the result as GL_ROUTE_EV_CLAIM_DONE with the same
 * request number.  A request number of 0 asks for no report.
 * GL_ROUTE_FX_REPLY: give the upstream's response, which the present event
 * reported, to the caller of @token as the final answer.
 * GL_ROUTE_FX_ERROR: final answer to @token, with HTTP status @status and
 * error name @code; @not_run is 1 if no upstream has run the request or will
 * run it; @retry_after, if not 0, is the delay after which to retry.
 * GL_ROUTE_FX_LOG: write @log to the log.
 * GL_ROUTE_FX_STOPPED: the stop that GL_ROUTE_EV_STOP asked for is complete.
 */
typedef struct
{
  gl_route_fx_kind_t kind;
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
  gl_ms_t retry_after;
  const char *code;
  char log[128];
} gl_route_effect_t;

/**
 * struct gl_route_effects_t - growable list of effects
 *
 * All zero is an empty list; free (v) releases it.
 */
typedef struct
{
  gl_route_effect_t *v;
  size_t n;
  size_t cap;
} gl_route_effects_t;

/**
 * struct gl_router_opts_t - parameters of a router
 * @node: unique name of this process, used in claims
 * @domain: failure domain that it runs in
 * @entries: number of entry processes of the domain
 * @entry_number: number of this one, from 0
 * @slots: requests that an instance serves at once; 0 takes 8
 * @seed: seed of its random number generator
 */
typedef struct
{
  const char *node;
  const char *domain;
  int entries;
  int entry_number;
  int slots;
  unsigned long seed;
} gl_router_opts_t;

typedef struct gl_router gl_router_t;

/** gl_router_new - create a router that knows no upstreams yet; NULL when out
    of memory */
gl_router_t *gl_router_new (const gl_router_opts_t *opts, gl_ms_t now);
/** gl_router_free - free a router and all its state */
void gl_router_free (gl_router_t *r);
/** gl_router_step - process one event at time @now, append effects to @fx */
void gl_router_step (gl_router_t *r, const gl_route_event_t *ev, gl_ms_t now,
                     gl_route_effects_t *fx);
/** gl_router_due - time at which the next GL_ROUTE_EV_TICK is due, UINT64_MAX
    if none is */
gl_ms_t gl_router_due (const gl_router_t *r);
/** gl_router_view - instances and number of open requests as malloc'd JSON
    text */
char *gl_router_view (gl_router_t *r, gl_ms_t now);
/** gl_router_metrics - all counters and histograms as malloc'd text, in the
    Prometheus text format */
char *gl_router_metrics (gl_router_t *r);

#endif
