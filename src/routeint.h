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

#define URGENCIES 3
#define INSTANCES_MAX 1024
#define SERVICES_MAX 64
#define REQUESTS_MAX 20000

/* Sendings of one request at most. */
#define TRIES_MAX 3
/* Pause before a request is sent again after a lost answer. */
#define RESEND_MIN_MS 10
#define RESEND_MAX_MS 200
/* Health checks of the own domain's instances, each after half to one and a
   half of this; an instance that answered since then needs none. */
#define HEALTH_MS 1600
#define PROBE_MIN_MS 250
#define PROBE_MAX_MS 10000
/* A refusal for lack of slots keeps an instance out for this long. */
#define FULL_MS 50
/* An instance that took back its leaving must be healthy for this long. */
#define RETURN_MS 30000
/* Slots of a foreign domain's instance that one router may use. */
#define SPILL_SLOTS 1
/* Retries that may be saved up, in hundredths. */
#define BUDGET_CAP 1000
/* Time to come back that is told when nothing better is known. */
#define RETRY_MS 1000
#define EXPIRE_MS 20

typedef enum
{
  INST_OK = 0,
  INST_SUSPECT,
  INST_LEAVING
} inst_state_t;

/**
 * struct instance_t - one upstream instance
 * @share: requests that this router may have there at once
 * @open: requests that it has there
 * @limit: slow start after trouble; at most @share
 * @took: smoothed time of an answer, milliseconds
 * @left_at: first word of its leaving
 */
typedef struct
{
  char name[64];
  char addr[96];
  int service;
  int own;
  int listed;
  int list_leaving;
  inst_state_t state;
  int share;
  int open;
  int limit;
  double took;
  int probing;
  gl_ms_t probe_at;
  gl_ms_t probe_wait;
  gl_ms_t full_until;
  gl_ms_t left_at;
  gl_ms_t answered_at;
  gl_ms_t healthy_since;
} instance_t;

typedef enum
{
  REQ_CLAIM_CAS = 0,
  REQ_CLAIM_GET,
  REQ_QUEUED,
  REQ_SENT,
  REQ_PAUSED
} req_state_t;

/** struct request_t - one caller's request */
typedef struct
{
  uint64_t token;
  req_state_t state;
  int service;
  gl_urgency_t urgency;
  int repeatable;
  int claimed;
  int claim_tries;
  uint64_t claim_index;
  char key[96];
  char mark[64];
  gl_ms_t arrived;
  gl_ms_t sent_at;
  gl_ms_t deadline;
  gl_ms_t paused_until;
  uint32_t attempt;
  int tries;
  int sent_once;
  int last_instance;
  int instance;
  handle_t prev;
  handle_t next;
} request_t;

/** struct queue_t - waiting requests of one service and urgency */
typedef struct
{
  handle_t head;
  handle_t tail;
  int n;
} queue_t;

typedef struct
{
  char name[32];
  queue_t queues[URGENCIES];
  int turn;
  hist_t took;
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
  X (not_run, "ended as not run after trying")                                \
  X (no_budget, "not sent again for lack of retry budget")                    \
  X (claims, "claims of idempotency keys")                                    \
  X (claim_limit, "keyed requests given up for the rate of claims")           \
  X (claim_taken, "requests whose key was taken before")                      \
  X (probes, "health checks and probes")                                      \
  X (suspected, "instances that failed a probe")                              \
  X (left, "instances seen leaving")                                          \
  X (retired, "times old connections were retired")

typedef struct
{
#define X(name, help) uint64_t name;
  ROUTE_COUNTERS (X)
#undef X
} route_counters_t;

struct gl_router
{
  char node[64];
  char domain[32];
  int entries;
  int number;
  int slots;
  gsl_rng *rng;
  gl_ms_t now;
  gl_route_effects_t *fx;
  timer_service_t timers;
  int t_expire;
  int t_probe;
  gl_conf_t conf;
  instance_t *inst;
  int ninst;
  service_t services[SERVICES_MAX];
  int nservices;
  pool_t requests;
  handle_t paused;
  int budget[URGENCIES];
  double claim_tokens;
  gl_ms_t claim_filled;
  int list_known;
  int stopping;
  int stopped;
  uint64_t marks;
  route_counters_t c;
  hist_t wait[URGENCIES];
};

/* route.c */

/** rfx_add - a zeroed effect, or NULL when out of memory */
gl_route_effect_t *rfx_add (gl_router_t *r, gl_route_fx_kind_t kind);
/** request_error - the request's final answer, an error; forgets it */
void request_error (gl_router_t *r, handle_t h, int status, const char *code,
                    int not_run, gl_ms_t retry);
/** request_ready - admitted and claimed: queue it for an instance */
void request_ready (gl_router_t *r, handle_t h);
/** route_serve - send what can be sent for a service */
void route_serve (gl_router_t *r, int service);
/** route_jitter - a random span below @span */
gl_ms_t route_jitter (gl_router_t *r, gl_ms_t span);

/* upstream.c */

/** upstreams_listed - the platform's list has arrived */
void upstreams_listed (gl_router_t *r, const gl_vm_t *vms, size_t n);
/** upstream_choose - the best instance with a free slot, or -1 */
int upstream_choose (gl_router_t *r, int service, int avoid);
/** upstream_took - a whole answer came after @ms */
void upstream_took (gl_router_t *r, int i, gl_ms_t ms);
/** upstream_refused - it did not run a request */
void upstream_refused (gl_router_t *r, int i, int leaving,
                       gl_ms_t retry_after);
/** upstream_doubt - a sending to it failed; probe before blaming it */
void upstream_doubt (gl_router_t *r, int i);
/** upstream_probed - a probe has ended */
void upstream_probed (gl_router_t *r, int i, int healthy, int leaving);
/** upstreams_probe - timer: health checks and probes that are due */
void upstreams_probe (void *ctx, gl_ms_t now);
/** upstream_slots - slots of a service's usable instances, and their pace */
int upstream_slots (const gl_router_t *r, int service, double *took);

/* claim.c */

/** claim_begin - claim the request's key before its first sending */
void claim_begin (gl_router_t *r, handle_t h);
/** claim_answered - an operation on the claim has ended */
void claim_answered (gl_router_t *r, const gl_route_event_t *ev);
/** claim_release - the request was not run: let its key be used again */
void claim_release (gl_router_t *r, const request_t *q);

#endif
