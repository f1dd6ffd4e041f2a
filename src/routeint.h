/* routeint.h -- private state of the router, shared by its modules */
#ifndef GL_ROUTEINT_H
#define GL_ROUTEINT_H

#include "gentianlatch.h"

#include <gsl/gsl_rng.h>

#include "conf.h"
#include "fault.h"
#include "metrics.h"
#include "pool.h"
#include "timer.h"

/* Number of values of gl_urgency_t. */
#define URGENCIES 3
/* Most instances and services known, and requests open at once. */
#define INSTANCES_MAX 1024
#define SERVICES_MAX 64
#define REQUESTS_MAX 20000

/* How often one request is sent at most. */
#define SENDS_MAX 3
/* Delay before a request is sent again after a lost response.  The base is
   doubled for each send so far, the first included, up to the maximum, and
   jittered to between half and one and a half of that. */
#define RESEND_BACKOFF_MS 10
#define RESEND_BACKOFF_MAX_MS 200
/* Interval between health checks of an instance of the own domain, jittered
   to between half and one and a half of it.  An instance that has given a
   complete response within half an interval is not checked. */
#define HEALTH_CHECK_MS 1600
/* Interval between probes of a failed instance, doubled after each failure
   while it is below the maximum, and jittered to between half and one and a
   half of it. */
#define PROBE_BACKOFF_MIN_MS 250
#define PROBE_BACKOFF_MAX_MS 10000
/* How long an instance that refused a request for lack of slots gets none,
   unless its refusal gives a time. */
#define FULL_BACKOFF_MS 50
/* How long an instance that was leaving, and no longer is, must be healthy
   before it is used again. */
#define REINSTATE_MS 30000
/* Slots of another domain's instance that one router may use. */
#define SPILLOVER_SLOTS 1
/* Upper bound of a class's retry budget, in hundredths of a retry. */
#define RETRY_BUDGET_MAX 1000
/* Delay after which a caller is told to retry, unless a better estimate is
   known. */
#define RETRY_AFTER_MS 1000
/* Every request is answered this long after the listener was closed, at the
   latest; entry.c sends the answers before it ends the process. */
#define STOP_ANSWER_MS 7000
/* Interval of the sweep that ends requests which cannot be served in time. */
#define SWEEP_MS 20

/**
 * enum inst_state_t - state of an upstream instance
 * @INST_OK: gets requests
 * @INST_SUSPECT: failed its last probe; gets none until a probe succeeds
 * @INST_LEAVING: reported as leaving; gets none
 */
typedef enum
{
  INST_OK = 0,
  INST_SUSPECT,
  INST_LEAVING
} inst_state_t;

/**
 * struct instance_t - one upstream instance
 * @name, @addr: from the VM list
 * @service: index into the router's services
 * @same_domain: it is in the router's own domain
 * @listed: it is in the latest VM list
 * @listed_leaving: the latest VM list that holds it says that it is leaving
 * @share: requests that this router may have open there at once
 * @open: requests that this router has open there
 * @limit: present bound on @open; 1 after a failure, then raised by one with
 * each complete response up to @share
 * @latency_ms: moving average of the response time, 0 before the first
 * response
 * @probe_in_flight: a probe was sent and has not ended
 * @probe_at: time of the next probe
 * @probe_backoff: interval to the next probe after a failed one
 * @retry_at: it refused a request and gets none before this time
 * @leaving_since: time of the first report that it is leaving
 * @answered_at: time of the latest complete response
 * @healthy_since: first successful probe since the latest failed one or
 * report of leaving, 0 for none; kept up only while the state is leaving
 */
typedef struct
{
  char name[64];
  char addr[96];
  int service;
  int same_domain;
  int listed;
  int listed_leaving;
  inst_state_t state;
  int share;
  int open;
  int limit;
  double latency_ms;
  int probe_in_flight;
  gl_ms_t probe_at;
  gl_ms_t probe_backoff;
  gl_ms_t retry_at;
  gl_ms_t leaving_since;
  gl_ms_t answered_at;
  gl_ms_t healthy_since;
} instance_t;

/**
 * enum req_state_t - what a request waits for
 * @REQ_CLAIM_CAS: the write of its claim
 * @REQ_CLAIM_GET: the read of its claim
 * @REQ_QUEUED: a free slot of an instance
 * @REQ_SENT: an instance's response
 * @REQ_BACKOFF: the end of the delay before it is sent again
 */
typedef enum
{
  REQ_CLAIM_CAS = 0,
  REQ_CLAIM_GET,
  REQ_QUEUED,
  REQ_SENT,
  REQ_BACKOFF
} req_state_t;

/**
 * struct request_t - one caller's request
 * @token: the caller's identification of it
 * @service: index into the router's services
 * @repeatable: running it twice does no harm
 * @claimed: its idempotency key is claimed for it
 * @claim_reads: reads of the claim so far
 * @claim_index: modification index of the claim, 0 if absent
 * @key: key of the claim in the key-value service, empty for none
 * @claim_id: value of the claim, unique to this request
 * @arrived: time of arrival
 * @sent_at: time of the latest send
 * @deadline: time by which it must be answered
 * @resend_at: end of the delay in REQ_BACKOFF
 * @attempt: number of the latest send; results of earlier ones are ignored
 * @sends: number of sends so far
 * @may_have_run: the outcome of an earlier send is unknown
 * @last_instance: instance of the latest ended send, avoided for the next; -1
 * before
 * @instance: instance of the latest send, -1 before
 * @prev, @next: neighbours in its queue, 0 at an end
 */
typedef struct
{
  uint64_t token;
  req_state_t state;
  int service;
  gl_urgency_t urgency;
  int repeatable;
  int claimed;
  int claim_reads;
  uint64_t claim_index;
  char key[96];
  char claim_id[64];
  gl_ms_t arrived;
  gl_ms_t sent_at;
  gl_ms_t deadline;
  gl_ms_t resend_at;
  uint32_t attempt;
  int sends;
  int may_have_run;
  int last_instance;
  int instance;
  handle_t prev;
  handle_t next;
} request_t;

/** struct queue_t - queued requests of one service and urgency, linked by
    their handles */
typedef struct
{
  handle_t head;
  handle_t tail;
  int n;
} queue_t;

/**
 * struct service_t - one service that upstreams offer
 * @queues: queued requests by urgency
 * @normal_turns: turns given to normal requests since the last bulk request
 * @latency: time from arrival to answer, ms
 */
typedef struct
{
  char name[32];
  queue_t queues[URGENCIES];
  int normal_turns;
  hist_t latency;
} service_t;

#define ROUTE_COUNTERS(X)                                                     \
  X (requests, "requests taken")                                              \
  X (passed, "whole answers passed on")                                       \
  X (sent, "sendings to upstreams")                                           \
  X (resent, "sendings after the first")                                      \
  X (refused_overload, "given up at once: queue full or deadline too near")   \
  X (refused_stop, "given up at once: this process is stopping")              \
  X (refused_service, "no such service, or no instance of it")                \
  X (expired, "deadline passed before sending")                               \
  X (unknown, "sent and not answered, outcome unknown")                       \
  X (cut_by_stop, "given up when a stop had to end")                          \
  X (not_run, "ended as not run after trying")                                \
  X (no_budget, "not sent again for lack of retry budget")                    \
  X (no_room, "not sent for lack of memory")                                  \
  X (dropped, "answered, but too long or no memory for the answer")           \
  X (claims, "claims of idempotency keys")                                    \
  X (claim_limit, "keyed requests given up for the rate of claims")           \
  X (claim_taken, "requests whose key was taken before")                      \
  X (probes, "health checks and probes")                                      \
  X (suspected, "instances that failed a probe")                              \
  X (left, "instances seen leaving")                                          \
  X (retired, "times old connections were retired")

/** struct route_counters_t - the router's counters, as listed above */
typedef struct
{
#define X(name, help) uint64_t name;
  ROUTE_COUNTERS (X)
#undef X
} route_counters_t;

/**
 * struct gl_router - a router
 * @node, @domain, @entries, @entry_number, @slots: as in gl_router_opts_t
 * @now: time of the present event
 * @fx: list of effects of the present event, NULL between events
 * @t_sweep, @t_probe: timers of the sweep and of health checks and probes
 * @inst, @ninst: upstream instances; an index stays valid, none is removed
 * @requests: open requests, of request_t
 * @paused: unused
 * @retry_budget: tokens for resends by urgency, in hundredths of a retry
 * @claim_tokens: token bucket of claims
 * @claim_refilled_at: when the bucket was last refilled
 * @list_received: a VM list has arrived
 * @stopping, @stopped: a stop was requested; it is complete
 * @stop_answer_at: when the requests still open are answered in a stop
 * @claim_serial: number that makes claim_id unique, from a random start
 * @latency: time from arrival to answer by urgency, ms
 */
struct gl_router
{
  char node[64];
  char domain[32];
  int entries;
  int entry_number;
  int slots;
  gsl_rng *rng;
  gl_ms_t now;
  gl_route_effects_t *fx;
  timer_service_t timers;
  int t_sweep;
  int t_probe;
  gl_conf_t conf;
  instance_t *inst;
  int ninst;
  service_t services[SERVICES_MAX];
  int nservices;
  pool_t requests;
  handle_t paused;
  int retry_budget[URGENCIES];
  double claim_tokens;
  gl_ms_t claim_refilled_at;
  int list_received;
  int stopping;
  int stopped;
  gl_ms_t stop_answer_at;
  uint64_t claim_serial;
  route_counters_t c;
  hist_t latency[URGENCIES];
};

/* route.c */

/** effect_add - append a zeroed effect; NULL when out of memory */
gl_route_effect_t *effect_add (gl_router_t *r, gl_route_fx_kind_t kind);
/** request_error - answer the request with an error and free it */
void request_error (gl_router_t *r, handle_t h, int status, const char *code,
                    int not_run, gl_ms_t retry_after);
/** request_enqueue - queue an admitted request and send what can be sent */
void request_enqueue (gl_router_t *r, handle_t h);
/** route_dispatch - send a service's queued requests while slots are free */
void route_dispatch (gl_router_t *r, int service);
/** route_jitter - random duration below @span; 0 for a span of 0 */
gl_ms_t route_jitter (gl_router_t *r, gl_ms_t span);

/* upstream.c */

/** upstreams_update - apply a VM list of @n entries */
void upstreams_update (gl_router_t *r, const gl_vm_t *vms, size_t n);
/** upstream_choose - index of the best instance with a free slot, or -1;
    @avoid is chosen only if there is no other */
int upstream_choose (gl_router_t *r, int service, int avoid);
/** upstream_answered - instance @i gave a complete response after @ms */
void upstream_answered (gl_router_t *r, int i, gl_ms_t ms);
/** upstream_refused - instance @i refused a request without running it */
void upstream_refused (gl_router_t *r, int i, int leaving,
                       gl_ms_t retry_after);
/** upstream_send_failed - a send to instance @i failed: limit it to one
    request and probe it */
void upstream_send_failed (gl_router_t *r, int i);
/** upstream_probed - a probe of instance @i has ended */
void upstream_probed (gl_router_t *r, int i, int healthy, int leaving);
/** upstreams_check - timer function: send the probes that are due */
void upstreams_check (void *ctx, gl_ms_t now);
/** upstream_slots - number of slots of a service's usable instances; stores
    their mean latency, weighted by slots, in @latency_ms */
int upstream_slots (const gl_router_t *r, int service, double *latency_ms);

/* claim.c */

/** claim_begin - claim the request's idempotency key, then enqueue it */
void claim_begin (gl_router_t *r, handle_t h);
/** claim_done - process the result of a claim's read or write */
void claim_done (gl_router_t *r, const gl_route_event_t *ev);
/** claim_release - the request was not run: allow its key to be used again */
void claim_release (gl_router_t *r, const request_t *q);

#endif
