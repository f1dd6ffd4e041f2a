/*
 * celld.c -- a VM of the cell
 *
 * The control thread runs the reducer, the RPCs between VMs and this VM's
 * line to the advisor.  HTTP towards callers and the platform runs on
 * threads of its own, which post what arrived.
 */
#include "celld.h"

#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "codec.h"
#include "line.h"
#include "logs.h"
#include "metrics.h"
#include "pool.h"
#include "rpcmux.h"

/* Procedures between VMs. */
#define PROC_ASK 1
#define PROC_CONSULT 2
#define PROC_BEACON 3
/* Bound on a beacon's answer. */
#define BEACON_MS 400
/* Log lines are written this often, in batches. */
#define FLUSH_MS 100
/* A peer's request is answered within this. */
#define PEER_WAIT_MS 2500
/* Tags of asks, apart from those of the reducer's calls. */
#define ASK_TAG (1ull << 48)

/** struct post_t - an item of the control thread's queue */
typedef struct
{
  cell_event_t ev;
  void (*release) (void *own);
  void *own;
  void (*fn) (void *arg);
  void *arg;
} post_t;

/** struct asked_t - where the answer to a request goes */
typedef struct
{
  celld_reply_fn_t answer;
  void *ctx;
  rpcmux_caller_t from;
} asked_t;

/** struct consulted_t - a consultation on this VM's line; @remote: for a
    peer, else for our own reducer under @tag */
typedef struct
{
  int remote;
  rpcmux_caller_t from;
  uint64_t tag;
} consulted_t;

struct celld
{
  cellset_t set;
  celld_platform_t platform;
  loop_t *loop;
  cell_t *cell;
  rpcmux_t *rpc;
  consult_queue_t line;
  pool_t asks;
  pool_t consults;
  unsigned int ready;
  unsigned int owner;
  gl_ms_t flushed;
};

static void step (celld_t *d, cell_event_t *ev);

cell_t *
celld_cell (celld_t *d)
{
  return d->cell;
}

int
celld_ready (celld_t *d)
{
  return (int)ck_pr_load_uint (&d->ready);
}

int
celld_is_owner (celld_t *d)
{
  return (int)ck_pr_load_uint (&d->owner);
}

static uint64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* ---- posts ---- */

void
celld_post_event (celld_t *d, const cell_event_t *ev,
                  void (*release) (void *own), void *own)
{
  post_t *p = calloc (1, sizeof *p);

  if (!p)
    {
      if (release)
        release (own);
      return;
    }
  p->ev = *ev;
  p->release = release;
  p->own = own;
  loop_must_post (d->loop, p);
}

void
celld_post_call (celld_t *d, void (*fn) (void *arg), void *arg)
{
  post_t *p = calloc (1, sizeof *p);

  if (!p)
    return;
  p->fn = fn;
  p->arg = arg;
  loop_must_post (d->loop, p);
}

/* ---- the advisor's line ---- */

static void
consult_ended (celld_t *d, uint64_t tag, const gl_consult_reply_t *counsel)
{
  consulted_t *k = pool_get (&d->consults, (handle_t)tag);
  consulted_t is;

  if (!k)
    return;
  is = *k;
  pool_del (&d->consults, (handle_t)tag);
  if (is.remote)
    {
      gl_consult_reply_t none = { .code = GL_RETRY };

      rpcmux_reply (d->rpc, is.from, (xdrproc_t)xdr_gl_consult_reply_t,
                    counsel ? counsel : &none);
    }
  else
    {
      cell_event_t ev = { .kind = CELL_EV_CONSULT_REPLY,
                          .tag = is.tag,
                          .consult_reply = counsel };
      step (d, &ev);
    }
}

static void
consult_late (void *ctx, uint64_t tag)
{
  consult_ended (ctx, tag, NULL);
}

static void
advance_line (celld_t *d)
{
  gl_ms_t now = clock_ms ();
  const consult_entry_t *a
      = consult_queue_next (&d->line, now, consult_late, d);

  if (a)
    d->platform.consult (d->platform.ctx, a->tag, &a->consult,
                         a->deadline - now);
}

static void
consult_here (celld_t *d, gl_consult_t *consult, gl_ms_t timeout,
              const consulted_t *is)
{
  handle_t h = pool_add (&d->consults);
  consulted_t *k = pool_get (&d->consults, h);

  if (!k)
    return;
  *k = *is;
  if (consult_queue_add (&d->line, h, consult, clock_ms () + timeout))
    consult_ended (d, h, NULL);
  advance_line (d);
}

/* The platform's answer to what the line had out. */
static void
take_counsel (celld_t *d, const cell_event_t *ev)
{
  consult_queue_finish (&d->line, ev->tag);
  consult_ended (d, ev->tag, ev->consult_reply);
  advance_line (d);
}

/* ---- requests ---- */

void
celld_request (celld_t *d, const gl_request_t *ask, gl_ms_t wait,
               celld_reply_fn_t answer, void *ctx)
{
  handle_t h = pool_add (&d->asks);
  asked_t *a = pool_get (&d->asks, h);
  cell_event_t ev = { .kind = CELL_EV_REQUEST, .request = ask };
  gl_reply_t none = { GL_RETRY, 1000, GL_PHASE_PENDING, "out of memory" };

  if (!a)
    {
      answer (ctx, &none);
      return;
    }
  a->answer = answer;
  a->ctx = ctx;
  ev.tag = ASK_TAG | h;
  ev.deadline = clock_ms () + wait;
  step (d, &ev);
}

static void
tell (celld_t *d, const cell_effect_t *e)
{
  asked_t *a = pool_get (&d->asks, (handle_t)(e->tag & ~ASK_TAG));
  asked_t is;

  if (!a)
    return;
  is = *a;
  pool_del (&d->asks, (handle_t)(e->tag & ~ASK_TAG));
  if (is.answer)
    is.answer (is.ctx, &e->reply);
  else
    rpcmux_reply (d->rpc, is.from, (xdrproc_t)xdr_gl_reply_t, &e->reply);
}

/* ---- peers ---- */

static void
peer_asks (celld_t *d, rpcmux_caller_t from, const char *data, size_t len)
{
  gl_request_t ask;
  handle_t h;
  asked_t *a;
  cell_event_t ev
      = { .kind = CELL_EV_REQUEST, .request = &ask, .from_peer = 1 };

  memset (&ask, 0, sizeof ask);
  if (codec_decode ((xdrproc_t)xdr_gl_request_t, &ask, data, len))
    {
      rpcmux_reply (d->rpc, from, NULL, NULL);
      return;
    }
  h = pool_add (&d->asks);
  a = pool_get (&d->asks, h);
  if (a)
    {
      a->from = from;
      ev.tag = ASK_TAG | h;
      ev.deadline = clock_ms () + PEER_WAIT_MS;
      step (d, &ev);
    }
  codec_free ((xdrproc_t)xdr_gl_request_t, &ask);
}

static void
peer_consults (celld_t *d, rpcmux_caller_t from, const char *data, size_t len)
{
  consulted_t is = { 1, from, 0 };
  gl_consult_t consult;

  memset (&consult, 0, sizeof consult);
  if (codec_decode ((xdrproc_t)xdr_gl_consult_t, &consult, data, len))
    {
      rpcmux_reply (d->rpc, from, NULL, NULL);
      return;
    }
  consult_here (d, &consult, PEER_WAIT_MS, &is);
  codec_free ((xdrproc_t)xdr_gl_consult_t, &consult);
}

static void
peer_beacon (celld_t *d, rpcmux_caller_t from, const char *data, size_t len)
{
  gl_heartbeat_t beacon;
  cell_event_t ev = { .kind = CELL_EV_HEARTBEAT, .heartbeat = &beacon };

  memset (&beacon, 0, sizeof beacon);
  if (codec_decode ((xdrproc_t)xdr_gl_heartbeat_t, &beacon, data, len))
    return;
  rpcmux_set_peer_addr (d->rpc, from, beacon.addr);
  step (d, &ev);
  codec_free ((xdrproc_t)xdr_gl_heartbeat_t, &beacon);
}

static void
serve (void *ctx, rpcmux_caller_t from, uint32_t proc, const char *data,
       size_t len)
{
  celld_t *d = ctx;

  if (proc == PROC_ASK)
    peer_asks (d, from, data, len);
  else if (proc == PROC_CONSULT)
    peer_consults (d, from, data, len);
  else if (proc == PROC_BEACON)
    {
      peer_beacon (d, from, data, len);
      rpcmux_reply (d->rpc, from, (xdrproc_t)(void (*) (void))xdr_void, NULL);
    }
  else
    rpcmux_reply (d->rpc, from, NULL, NULL);
}

static void
told (celld_t *d, uint64_t tag, gl_code_t sent, const char *data, size_t len)
{
  gl_reply_t t;
  cell_event_t ev = {
    .kind = CELL_EV_FORWARD_REPLY, .tag = tag, .call_code = sent, .reply = &t
  };

  memset (&t, 0, sizeof t);
  if (sent == GL_OK && codec_decode ((xdrproc_t)xdr_gl_reply_t, &t, data, len))
    ev.call_code = GL_UNKNOWN;
  step (d, &ev);
  if (ev.call_code == GL_OK)
    codec_free ((xdrproc_t)xdr_gl_reply_t, &t);
}

static void
counselled (celld_t *d, uint64_t tag, gl_code_t sent, const char *data,
            size_t len)
{
  gl_consult_reply_t c;
  cell_event_t ev = { .kind = CELL_EV_CONSULT_REPLY, .tag = tag };

  memset (&c, 0, sizeof c);
  if (sent == GL_OK
      && !codec_decode ((xdrproc_t)xdr_gl_consult_reply_t, &c, data, len))
    ev.consult_reply = &c;
  step (d, &ev);
  if (ev.consult_reply)
    codec_free ((xdrproc_t)xdr_gl_consult_reply_t, &c);
}

static void
call_done (void *ctx, uint64_t tag, uint32_t proc, gl_code_t sent,
           const char *data, size_t len)
{
  celld_t *d = ctx;

  if (proc == PROC_ASK)
    told (d, tag, sent, data, len);
  else if (proc == PROC_CONSULT)
    counselled (d, tag, sent, data, len);
}

static void
peer_down (void *ctx, const char *addr)
{
  cell_event_t ev = { .kind = CELL_EV_PEER_DOWN, .peer_addr = addr };

  step (ctx, &ev);
}

/* ---- effects ---- */

static void
consult (celld_t *d, cell_effect_t *e)
{
  consulted_t is = { 0, { 0, 0 }, e->tag };

  if (!strcmp (e->key, d->set.rpc))
    consult_here (d, e->consult, e->timeout, &is);
  else
    rpcmux_call (d->rpc, e->key, PROC_CONSULT, (xdrproc_t)xdr_gl_consult_t,
                 e->consult, e->timeout, e->tag);
}

static void
carry_out (celld_t *d, cell_effect_t *e)
{
  celld_platform_t *p = &d->platform;

  switch (e->kind)
    {
    case CELL_FX_TXN:
      p->txn (p->ctx, e->tag, e->txn, e->timeout);
      break;
    case CELL_FX_PAGE:
      p->page (p->ctx, e->tag, e->key, e->after_key, e->timeout);
      break;
    case CELL_FX_READ:
      p->read (p->ctx, e->tag, e->key, e->timeout);
      break;
    case CELL_FX_LEASE:
      p->lease (p->ctx, e->tag, e->timeout);
      break;
    case CELL_FX_WCALL:
      p->call_worker (p->ctx, e->wcall);
      break;
    case CELL_FX_CONSULT:
      consult (d, e);
      break;
    case CELL_FX_REPLY:
      tell (d, e);
      break;
    case CELL_FX_FORWARD:
      rpcmux_call (d->rpc, e->key, PROC_ASK, (xdrproc_t)xdr_gl_request_t,
                   e->request, e->timeout, e->tag);
      break;
    case CELL_FX_HEARTBEAT:
      rpcmux_call (d->rpc, e->key, PROC_BEACON, (xdrproc_t)xdr_gl_heartbeat_t,
                   e->heartbeat, BEACON_MS, 0);
      break;
    case CELL_FX_LOG:
      if (e->log_line)
        log_info ("%s", e->log_line);
      break;
    }
}

/* Effects may lead to further events at once, each with its own list. */
static void
step (celld_t *d, cell_event_t *ev)
{
  cell_effects_t fx = { 0 };

  ev->wall = wall_ms ();
  cell_step (d->cell, ev, clock_ms (), &fx);
  for (size_t i = 0; i < fx.n; i++)
    carry_out (d, &fx.v[i]);
  cell_effects_done (&fx);
  ck_pr_store_uint (&d->ready, (unsigned int)cell_ready (d->cell));
  ck_pr_store_uint (&d->owner, (unsigned int)cell_is_owner (d->cell));
}

/* ---- the control thread ---- */

static void
take (void *ctx, void *item)
{
  celld_t *d = ctx;
  post_t *p = item;

  if (p->fn)
    p->fn (p->arg);
  else if (p->ev.kind == CELL_EV_CONSULT_REPLY)
    take_counsel (d, &p->ev);
  else
    step (d, &p->ev);
  if (p->release)
    p->release (p->own);
  free (p);
}

static void
tick (void *ctx)
{
  celld_t *d = ctx;
  cell_event_t ev = { .kind = CELL_EV_TICK };

  rpcmux_tick (d->rpc);
  step (d, &ev);
  if (clock_ms () >= d->flushed + FLUSH_MS)
    {
      d->flushed = clock_ms ();
      logs_flush ();
    }
}

static gl_ms_t
due (void *ctx)
{
  celld_t *d = ctx;
  gl_ms_t a = cell_next_tick (d->cell);
  gl_ms_t b = rpcmux_due (d->rpc);

  return a < b ? a : b;
}

void
celld_run (celld_t *d, const celld_platform_t *platform)
{
  loop_handlers_t part = { take, tick, due, d };

  d->platform = *platform;
  loop_run (d->loop, &part);
}

static void
stop_here (void *arg)
{
  cell_event_t ev = { .kind = CELL_EV_STOP };

  step (arg, &ev);
}

void
celld_stop (celld_t *d)
{
  celld_post_call (d, stop_here, d);
}

static void
quit_here (void *arg)
{
  celld_t *d = arg;

  loop_quit (d->loop);
}

void
celld_quit (celld_t *d)
{
  celld_post_call (d, quit_here, d);
}

char *
celld_metrics (celld_t *d)
{
  text_t t = { 0 };

  cell_metrics (d->cell, &t);
  text_add (&t, "line_waiting %zu\nlog_lines_dropped %lu\n", d->line.n,
            logs_dropped ());
  return t.s;
}

celld_t *
celld_new (const cellset_t *set)
{
  celld_t *d = calloc (1, sizeof *d);
  rpcmux_hooks_t hooks = { call_done, serve, peer_down, d };
  cell_limits_t bounds;

  if (!d)
    return NULL;
  d->set = *set;
  cellset_limits (set, &bounds);
  pool_init (&d->asks, sizeof (asked_t));
  pool_init (&d->consults, sizeof (consulted_t));
  d->loop = loop_new ();
  d->cell
      = cell_new (set->name, set->rpc, set->domain, &bounds,
                  wall_ms () ^ XXH3_64bits (set->name, strlen (set->name)));
  if (!d->loop || !d->cell)
    goto fail;
  d->rpc = rpcmux_new (d->loop, set->rpc, &hooks);
  if (!d->rpc)
    goto fail;
  return d;

fail:
  cell_free (d->cell);
  if (d->loop)
    loop_free (d->loop);
  free (d);
  return NULL;
}

void
celld_free (celld_t *d)
{
  rpcmux_free (d->rpc);
  cell_free (d->cell);
  consult_queue_free (&d->line);
  pool_done (&d->asks);
  pool_done (&d->consults);
  loop_free (d->loop);
  free (d);
}
