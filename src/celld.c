/*
 * celld.c -- daemon of a VM of the cell
 *
 * The control thread runs the reducer, the RPCs between VMs, and the queue of
 * consultations that this VM sends to the advisor one at a time; see line.h.
 * HTTP with callers and with the platform runs on other threads, which post
 * events to the control thread.
 */
#include "celld.h"

#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>
#include <zlib.h>

#include "codec.h"
#include "line.h"
#include "logs.h"
#include "metrics.h"
#include "pool.h"
#include "rpcmux.h"

/* RPC procedures between VMs. */
#define PROC_REQUEST 1
#define PROC_CONSULT 2
#define PROC_HEARTBEAT 3
#define PROC_CONFIG 4
#define HEARTBEAT_TIMEOUT_MS 400
/* Period at which batched log lines are written. */
#define LOG_FLUSH_MS 100
/* Time within which a request or consultation of a peer is answered. */
#define PEER_TIMEOUT_MS 2500
/* Part of the machine's memory for buffers of connections of other VMs, and
   its lower bound. */
#define PEER_MEMORY_PART 16
#define PEER_MEMORY_MIN (8u << 20)
/* Set in the tags of requests, to tell them from the reducer's own tags. */
#define REQUEST_TAG (1ull << 48)

/**
 * struct post_t - an item of the control thread's queue
 * @ev: the event, when @fn is NULL
 * @release, @owned: memory that the event refers to, and the function, or
 *   NULL, that frees it once the event has been handled
 * @fn, @arg: a function to call instead of handling an event
 */
typedef struct
{
  cell_event_t ev;
  void (*release) (void *owned);
  void *owned;
  void (*fn) (void *arg);
  void *arg;
} post_t;

/**
 * struct pending_request_t - where the answer to a request goes
 * @reply_fn, @ctx: function of the local caller, or NULL
 * @from: the peer that forwarded it, when there is no local caller
 */
typedef struct
{
  celld_reply_fn_t reply_fn;
  void *ctx;
  rpcmux_caller_t from;
} pending_request_t;

/** struct pending_consult_t - a consultation queued on this VM; when @remote,
    the answer goes to the peer @from, else to our own reducer with @tag */
typedef struct
{
  int remote;
  rpcmux_caller_t from;
  uint64_t tag;
} pending_consult_t;

/**
 * struct celld - the daemon's state
 * @settings, @platform: as given to celld_new and celld_run
 * @consult_queue: consultations that wait for the advisor or are in flight
 * @requests, @consults: requests and consultations that have no answer yet
 * @packed: the configuration as it is sent to other VMs, made when the first
 *   of them asks for it; its data is NULL before
 * @ready, @is_owner, @stop_stage, @open_requests: copies of the reducer's
 *   state, read by any thread
 * its deadline: when a process that stops ends at the latest
 * @flushed_at: when log lines were last written
 */
struct celld
{
  cellset_t settings;
  celld_platform_t platform;
  loop_t *loop;
  cell_t *cell;
  rpcmux_t *rpc;
  consult_queue_t consult_queue;
  pool_t requests;
  pool_t consults;
  gl_config_reply_t packed;
  unsigned int ready;
  unsigned int is_owner;
  unsigned int stop_stage;
  unsigned int open_requests;
  gl_ms_t stop_ends_at;
  gl_ms_t flushed_at;
};

static void handle_event (celld_t *d, cell_event_t *ev);

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
  return (int)ck_pr_load_uint (&d->is_owner);
}

cell_stop_stage_t
celld_stop_stage (celld_t *d)
{
  return (cell_stop_stage_t)ck_pr_load_uint (&d->stop_stage);
}

unsigned int
celld_open_requests (celld_t *d)
{
  return ck_pr_load_uint (&d->open_requests);
}

static uint64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* ---- items for the control thread ---- */

void
celld_post_event (celld_t *d, const cell_event_t *ev,
                  void (*release) (void *owned), void *owned)
{
  post_t *p = calloc (1, sizeof *p);

  if (!p)
    {
      if (release)
        release (owned);
      return;
    }
  p->ev = *ev;
  p->release = release;
  p->owned = owned;
  loop_must_post (d->loop, p);
}

int
celld_post_call (celld_t *d, void (*fn) (void *arg), void *arg)
{
  post_t *p = calloc (1, sizeof *p);

  if (!p)
    return -1;
  p->fn = fn;
  p->arg = arg;
  loop_must_post (d->loop, p);
  return 0;
}

/* ---- consultations ---- */

/* @reply is NULL when the advisor gave none. */
static void
answer_consult (celld_t *d, const pending_consult_t *entry,
                const gl_consult_reply_t *reply)
{
  gl_consult_reply_t none = { .code = GL_RETRY };
  cell_event_t ev = { .kind = CELL_EV_CONSULT_REPLY,
                      .tag = entry->tag,
                      .consult_reply = reply };

  if (entry->remote)
    rpcmux_reply (d->rpc, entry->from, (xdrproc_t)xdr_gl_consult_reply_t,
                  reply ? reply : &none);
  else
    handle_event (d, &ev);
}

static void
finish_consult (celld_t *d, uint64_t tag, const gl_consult_reply_t *reply)
{
  pending_consult_t *k = pool_get (&d->consults, (handle_t)tag);
  pending_consult_t entry;

  if (!k)
    return;
  entry = *k;
  pool_del (&d->consults, (handle_t)tag);
  answer_consult (d, &entry, reply);
}

static void
consult_timed_out (void *ctx, uint64_t tag)
{
  finish_consult (ctx, tag, NULL);
}

static void
send_next_consult (celld_t *d)
{
  gl_ms_t now = clock_ms ();
  const consult_entry_t *a
      = consult_queue_next (&d->consult_queue, now, consult_timed_out, d);

  if (a)
    d->platform.consult (d->platform.ctx, a->tag, &a->consult,
                         a->deadline - now);
}

static void
queue_consult (celld_t *d, gl_consult_t *consult, gl_ms_t timeout,
               const pending_consult_t *entry)
{
  handle_t h = pool_add (&d->consults);
  pending_consult_t *k = pool_get (&d->consults, h);

  if (!k)
    {
      log_error ("consult_dropped why=memory remote=%d", entry->remote);
      answer_consult (d, entry, NULL);
      return;
    }
  *k = *entry;
  if (consult_queue_add (&d->consult_queue, h, consult, clock_ms () + timeout))
    finish_consult (d, h, NULL);
  send_next_consult (d);
}

/* The advisor's answer to the consultation in flight. */
static void
on_advisor_reply (celld_t *d, const cell_event_t *ev)
{
  consult_queue_finish (&d->consult_queue, ev->tag);
  finish_consult (d, ev->tag, ev->consult_reply);
  send_next_consult (d);
}

/* ---- requests ---- */

/* The answer to a request for which there is no memory; nothing was done. */
static gl_reply_t no_memory
    = { GL_RETRY, 1000, GL_PHASE_PENDING, "out of memory" };

void
celld_request (celld_t *d, const gl_request_t *request, gl_ms_t wait,
               celld_reply_fn_t reply_fn, void *ctx)
{
  handle_t h = pool_add (&d->requests);
  pending_request_t *a = pool_get (&d->requests, h);
  cell_event_t ev = { .kind = CELL_EV_REQUEST, .request = request };

  if (!a)
    {
      reply_fn (ctx, &no_memory);
      return;
    }
  a->reply_fn = reply_fn;
  a->ctx = ctx;
  ev.tag = REQUEST_TAG | h;
  ev.deadline = clock_ms () + wait;
  handle_event (d, &ev);
}

static void
send_reply (celld_t *d, const cell_effect_t *e)
{
  pending_request_t *a
      = pool_get (&d->requests, (handle_t)(e->tag & ~REQUEST_TAG));
  pending_request_t entry;

  if (!a)
    return;
  entry = *a;
  pool_del (&d->requests, (handle_t)(e->tag & ~REQUEST_TAG));
  if (entry.reply_fn)
    entry.reply_fn (entry.ctx, &e->reply);
  else
    rpcmux_reply (d->rpc, entry.from, (xdrproc_t)xdr_gl_reply_t, &e->reply);
}

/* ---- peers ---- */

/* Requests of VMs of older versions have no team. */
static int
decode_request (gl_request_t *request, const char *data, size_t len)
{
  gl_old_request_t old;

  memset (request, 0, sizeof *request);
  if (!codec_decode ((xdrproc_t)xdr_gl_request_t, request, data, len))
    return 0;
  memset (request, 0, sizeof *request);
  memset (&old, 0, sizeof old);
  if (codec_decode ((xdrproc_t)xdr_gl_old_request_t, &old, data, len))
    return -1;
  request->verb = old.verb;
  request->id = old.id;
  request->job = old.job;
  request->team = strdup ("");
  if (request->team)
    return 0;
  codec_free ((xdrproc_t)xdr_gl_old_request_t, &old);
  return -1;
}

static void
serve_request (celld_t *d, rpcmux_caller_t from, const char *data, size_t len)
{
  gl_request_t request;
  handle_t h;
  pending_request_t *a;
  cell_event_t ev
      = { .kind = CELL_EV_REQUEST, .request = &request, .from_peer = 1 };

  if (decode_request (&request, data, len))
    {
      rpcmux_reply (d->rpc, from, NULL, NULL);
      return;
    }
  h = pool_add (&d->requests);
  a = pool_get (&d->requests, h);
  if (a)
    {
      a->from = from;
      ev.tag = REQUEST_TAG | h;
      ev.deadline = clock_ms () + PEER_TIMEOUT_MS;
      handle_event (d, &ev);
    }
  else
    rpcmux_reply (d->rpc, from, (xdrproc_t)xdr_gl_reply_t, &no_memory);
  codec_free ((xdrproc_t)xdr_gl_request_t, &request);
}

static void
serve_consult (celld_t *d, rpcmux_caller_t from, const char *data, size_t len)
{
  pending_consult_t entry = { 1, from, 0 };
  gl_consult_t consult;

  memset (&consult, 0, sizeof consult);
  if (codec_decode ((xdrproc_t)xdr_gl_consult_t, &consult, data, len))
    {
      rpcmux_reply (d->rpc, from, NULL, NULL);
      return;
    }
  queue_consult (d, &consult, PEER_TIMEOUT_MS, &entry);
  codec_free ((xdrproc_t)xdr_gl_consult_t, &consult);
}

/* Heartbeats of VMs of older versions have no version of the configuration. */
static int
decode_heartbeat (gl_versioned_heartbeat_t *hb, const char *data, size_t len)
{
  memset (hb, 0, sizeof *hb);
  if (!codec_decode ((xdrproc_t)xdr_gl_versioned_heartbeat_t, hb, data, len))
    return 0;
  memset (hb, 0, sizeof *hb);
  return codec_decode ((xdrproc_t)xdr_gl_heartbeat_t, &hb->heartbeat, data,
                       len);
}

static void
serve_heartbeat (celld_t *d, rpcmux_caller_t from, const char *data,
                 size_t len)
{
  gl_versioned_heartbeat_t hb;
  gl_versioned_ack_t reply;
  cell_event_t ev = { .kind = CELL_EV_HEARTBEAT, .heartbeat = &hb.heartbeat };

  if (decode_heartbeat (&hb, data, len))
    return;
  ev.conf_version = hb.conf_version;
  rpcmux_set_peer_addr (d->rpc, from, hb.heartbeat.addr);
  handle_event (d, &ev);
  reply.ack.store_age_ms
      = cell_store_age_ms (d->cell, hb.heartbeat.generation);
  reply.ack.may_claim = cell_may_claim (d->cell);
  reply.conf_version = cell_conf_version (d->cell);
  codec_free ((xdrproc_t)xdr_gl_versioned_heartbeat_t, &hb);
  rpcmux_reply (d->rpc, from, (xdrproc_t)xdr_gl_versioned_ack_t, &reply);
}

/* ---- configuration for other VMs, and from them ---- */

/* Compresses the configuration in force, unless that was done before; -1 if it
   cannot be sent.  Uncompressed, one of 500 kB would occupy a link of 10
   Mbit/s for 0.4 s, and heartbeats would be late.  Its entries are similar to
   each other, except for names and keys. */
static int
pack_conf (celld_t *d)
{
  const cell_conf_t *conf = cell_conf (d->cell);
  gl_config_reply_t *p = &d->packed;
  uLongf len = compressBound (conf->len);
  char *data;

  if (p->data.data_val && p->conf_version == conf->version)
    return 0;
  codec_free ((xdrproc_t)xdr_gl_config_reply_t, p);
  memset (p, 0, sizeof *p);
  if (!conf->value || conf->len > GL_CONFIG_MAX || !(data = malloc (len)))
    return -1;
  if (compress2 ((Bytef *)data, &len, (const Bytef *)conf->value, conf->len,
                 Z_BEST_SPEED)
          != Z_OK
      || len > GL_CONFIG_SENT_MAX)
    {
      free (data);
      return -1;
    }
  p->conf_version = conf->version;
  p->length = (u_int)conf->len;
  p->data.data_val = data;
  p->data.data_len = (u_int)len;
  return 0;
}

static void
serve_config (celld_t *d, rpcmux_caller_t from, const char *data, size_t len)
{
  gl_config_ask_t ask;
  gl_config_reply_t reply = { .code = GL_NOT_FOUND };

  memset (&ask, 0, sizeof ask);
  if (codec_decode ((xdrproc_t)xdr_gl_config_ask_t, &ask, data, len))
    {
      rpcmux_reply (d->rpc, from, NULL, NULL);
      return;
    }
  if (cell_conf_version (d->cell) > ask.conf_version && !pack_conf (d))
    {
      reply.code = GL_RETRY;
      if (cell_may_send_conf (d->cell, d->packed.data.data_len))
        {
          reply = d->packed;
          reply.code = GL_OK;
        }
    }
  rpcmux_reply (d->rpc, from, (xdrproc_t)xdr_gl_config_reply_t, &reply);
}

/* The configuration of a reply, NULL if it is not valid. */
static cell_conf_t *
unpack_conf (celld_t *d, const gl_config_reply_t *reply)
{
  uLongf len = reply->length;
  cell_conf_t *conf = NULL;
  char *value;

  if (reply->length > GL_CONFIG_MAX || !(value = malloc (len + 1)))
    return NULL;
  if (uncompress ((Bytef *)value, &len, (const Bytef *)reply->data.data_val,
                  reply->data.data_len)
      == Z_OK)
    {
      value[len] = 0;
      conf = d->platform.decode_conf (value, len);
    }
  free (value);
  return conf;
}

static void
config_done (celld_t *d, uint64_t tag, gl_code_t code, const char *data,
             size_t len)
{
  gl_config_reply_t reply;
  cell_event_t conf = { .kind = CELL_EV_CONF };
  cell_event_t ev
      = { .kind = CELL_EV_CONF_FETCHED, .tag = tag, .call_code = code };

  memset (&reply, 0, sizeof reply);
  if (code == GL_OK
      && codec_decode ((xdrproc_t)xdr_gl_config_reply_t, &reply, data, len))
    ev.call_code = GL_INVALID;
  else if (code == GL_OK)
    {
      ev.call_code = (gl_code_t)reply.code;
      if (reply.code == GL_OK && (conf.conf = unpack_conf (d, &reply)))
        handle_event (d, &conf);
      else if (reply.code == GL_OK)
        ev.call_code = GL_INVALID;
      codec_free ((xdrproc_t)xdr_gl_config_reply_t, &reply);
    }
  handle_event (d, &ev);
}

static void
serve_peer (void *ctx, rpcmux_caller_t from, uint32_t proc, const char *data,
            size_t len)
{
  celld_t *d = ctx;

  if (proc == PROC_REQUEST)
    serve_request (d, from, data, len);
  else if (proc == PROC_CONSULT)
    serve_consult (d, from, data, len);
  else if (proc == PROC_HEARTBEAT)
    serve_heartbeat (d, from, data, len);
  else if (proc == PROC_CONFIG)
    serve_config (d, from, data, len);
  else
    rpcmux_reply (d->rpc, from, NULL, NULL);
}

/* A reply that cannot be decoded leaves the outcome unknown. */
static void
forward_done (celld_t *d, uint64_t tag, gl_code_t code, const char *data,
              size_t len)
{
  gl_reply_t t;
  cell_event_t ev = {
    .kind = CELL_EV_FORWARD_REPLY, .tag = tag, .call_code = code, .reply = &t
  };

  memset (&t, 0, sizeof t);
  if (code == GL_OK && codec_decode ((xdrproc_t)xdr_gl_reply_t, &t, data, len))
    ev.call_code = GL_UNKNOWN;
  handle_event (d, &ev);
  if (ev.call_code == GL_OK)
    codec_free ((xdrproc_t)xdr_gl_reply_t, &t);
}

static void
consult_done (celld_t *d, uint64_t tag, gl_code_t code, const char *data,
              size_t len)
{
  gl_consult_reply_t c;
  cell_event_t ev = { .kind = CELL_EV_CONSULT_REPLY, .tag = tag };

  memset (&c, 0, sizeof c);
  if (code == GL_OK
      && !codec_decode ((xdrproc_t)xdr_gl_consult_reply_t, &c, data, len))
    ev.consult_reply = &c;
  handle_event (d, &ev);
  if (ev.consult_reply)
    codec_free ((xdrproc_t)xdr_gl_consult_reply_t, &c);
}

/* VMs of older versions do not say which configuration they have, and those of
   still older ones do not say whether they could claim the cell. */
static void
heartbeat_done (celld_t *d, uint64_t tag, const char *data, size_t len)
{
  gl_versioned_ack_t reply = { { 0, 1 }, 0 };
  gl_heartbeat_ack_t *ack = &reply.ack;
  gl_old_heartbeat_ack_t old = { 0 };
  cell_event_t ev = { .kind = CELL_EV_HEARTBEAT_ACK, .tag = tag };

  if (codec_decode ((xdrproc_t)xdr_gl_versioned_ack_t, &reply, data, len))
    {
      reply.conf_version = 0;
      if (codec_decode ((xdrproc_t)xdr_gl_heartbeat_ack_t, ack, data, len))
        {
          ack->may_claim = 1;
          ack->store_age_ms
              = codec_decode ((xdrproc_t)xdr_gl_old_heartbeat_ack_t, &old,
                              data, len)
                    ? 0
                    : old.store_age_ms;
        }
    }
  ev.store_age_ms = ack->store_age_ms;
  ev.may_claim = ack->may_claim;
  ev.conf_version = reply.conf_version;
  handle_event (d, &ev);
}

static void
call_done (void *ctx, uint64_t tag, uint32_t proc, gl_code_t code,
           const char *data, size_t len)
{
  celld_t *d = ctx;

  if (proc == PROC_REQUEST)
    forward_done (d, tag, code, data, len);
  else if (proc == PROC_CONSULT)
    consult_done (d, tag, code, data, len);
  else if (proc == PROC_HEARTBEAT && code == GL_OK)
    heartbeat_done (d, tag, data, len);
  else if (proc == PROC_CONFIG)
    config_done (d, tag, code, data, len);
}

static void
peer_down (void *ctx, const char *addr)
{
  cell_event_t ev = { .kind = CELL_EV_PEER_DOWN, .peer_addr = addr };

  handle_event (ctx, &ev);
}

/* ---- effects ---- */

static void
run_consult_effect (celld_t *d, cell_effect_t *e)
{
  pending_consult_t entry = { 0, { 0, 0 }, e->tag };

  if (!strcmp (e->key, d->settings.rpc))
    queue_consult (d, e->consult, e->timeout, &entry);
  else
    rpcmux_call (d->rpc, e->key, PROC_CONSULT, (xdrproc_t)xdr_gl_consult_t,
                 e->consult, e->timeout, e->tag);
}

static void
send_heartbeat (celld_t *d, const cell_effect_t *e)
{
  gl_versioned_heartbeat_t hb = { *e->heartbeat, cell_conf_version (d->cell) };

  rpcmux_call (d->rpc, e->key, PROC_HEARTBEAT,
               (xdrproc_t)xdr_gl_versioned_heartbeat_t, &hb,
               HEARTBEAT_TIMEOUT_MS, e->tag);
}

static void
send_fetch (celld_t *d, const cell_effect_t *e)
{
  gl_config_ask_t ask = { cell_conf_version (d->cell) };

  rpcmux_call (d->rpc, e->key, PROC_CONFIG, (xdrproc_t)xdr_gl_config_ask_t,
               &ask, e->timeout, e->tag);
}

static void
run_effect (celld_t *d, cell_effect_t *e)
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
      run_consult_effect (d, e);
      break;
    case CELL_FX_REPLY:
      send_reply (d, e);
      break;
    case CELL_FX_FORWARD:
      rpcmux_call (d->rpc, e->key, PROC_REQUEST, (xdrproc_t)xdr_gl_request_t,
                   e->request, e->timeout, e->tag);
      break;
    case CELL_FX_HEARTBEAT:
      send_heartbeat (d, e);
      break;
    case CELL_FX_FETCH_CONF:
      send_fetch (d, e);
      break;
    case CELL_FX_LOG:
      if (e->log_line)
        log_info ("%s", e->log_line);
      break;
    }
}

/* Passes the event to the reducer and carries out its effects.  An effect may
   lead to another event at once, which has a list of its own. */
static void
handle_event (celld_t *d, cell_event_t *ev)
{
  cell_effects_t fx = { 0 };

  ev->wall = wall_ms ();
  cell_step (d->cell, ev, clock_ms (), &fx);
  for (size_t i = 0; i < fx.n; i++)
    run_effect (d, &fx.v[i]);
  cell_effects_destroy (&fx);
  ck_pr_store_uint (&d->ready, (unsigned int)cell_ready (d->cell));
  ck_pr_store_uint (&d->is_owner, (unsigned int)cell_is_owner (d->cell));
  ck_pr_store_uint (&d->stop_stage, (unsigned int)cell_stop_stage (d->cell));
  ck_pr_store_uint (&d->open_requests,
                    (unsigned int)cell_open_requests (d->cell));
}

/* ---- the control thread ---- */

static void
on_item (void *ctx, void *item)
{
  celld_t *d = ctx;
  post_t *p = item;

  if (p->fn)
    p->fn (p->arg);
  else if (p->ev.kind == CELL_EV_CONSULT_REPLY)
    on_advisor_reply (d, &p->ev);
  else
    handle_event (d, &p->ev);
  if (p->release)
    p->release (p->owned);
  free (p);
}

static void
on_tick (void *ctx)
{
  celld_t *d = ctx;
  cell_event_t ev = { .kind = CELL_EV_TICK };

  rpcmux_tick (d->rpc);
  handle_event (d, &ev);
  if (clock_ms () >= d->flushed_at + LOG_FLUSH_MS)
    {
      d->flushed_at = clock_ms ();
      logs_flush ();
    }
}

static gl_ms_t
next_due (void *ctx)
{
  celld_t *d = ctx;
  gl_ms_t a = cell_next_tick (d->cell);
  gl_ms_t b = rpcmux_due (d->rpc);

  return a < b ? a : b;
}

void
celld_run (celld_t *d, const celld_platform_t *platform)
{
  loop_handlers_t part = { on_item, on_tick, next_due, d };

  d->platform = *platform;
  loop_run (d->loop, &part);
}

static void
do_stop (void *arg)
{
  celld_t *d = arg;
  cell_event_t ev = { .kind = CELL_EV_STOP, .deadline = d->stop_ends_at };

  handle_event (d, &ev);
}

void
celld_stop (celld_t *d, gl_ms_t ms)
{
  d->stop_ends_at = clock_ms () + ms;
  if (celld_post_call (d, do_stop, d))
    log_error ("stop_not_posted why=memory");
}

static void
do_quit (void *arg)
{
  celld_t *d = arg;
  cell_event_t ev = { .kind = CELL_EV_END };

  handle_event (d, &ev);
  loop_quit (d->loop);
}

void
celld_quit (celld_t *d)
{
  if (celld_post_call (d, do_quit, d))
    log_error ("quit_not_posted why=memory");
}

void
celld_metrics (celld_t *d, text_t *t)
{
  cell_metrics (d->cell, t);
  rpcmux_metrics (d->rpc, t);
  text_add (t, "line_waiting %zu\nlog_lines_dropped %lu\n", d->consult_queue.n,
            logs_dropped ());
}

/* Settings that were not loaded from a file are 0. */
static rpcmux_limits_t
peer_limits (const cellset_t *set)
{
  size_t part = ((size_t)set->memory_mb << 20) / PEER_MEMORY_PART;

  if (set->peer_memory_mb)
    part = (size_t)set->peer_memory_mb << 20;
  else if (part < PEER_MEMORY_MIN)
    part = PEER_MEMORY_MIN;
  return (rpcmux_limits_t){
    .accepted_max
    = set->peer_connections ? set->peer_connections : CELLSET_PEER_CONNECTIONS,
    .held_max = part,
    .record_ms = set->peer_record_ms ? (gl_ms_t)set->peer_record_ms
                                     : CELLSET_PEER_RECORD_MS,
  };
}

celld_t *
celld_new (const cellset_t *set)
{
  celld_t *d = calloc (1, sizeof *d);
  rpcmux_hooks_t hooks = { call_done, serve_peer, peer_down, d };
  rpcmux_limits_t peers = peer_limits (set);
  cell_limits_t limits;

  if (!d)
    return NULL;
  d->settings = *set;
  cellset_limits (set, &limits);
  pool_init (&d->requests, sizeof (pending_request_t));
  pool_init (&d->consults, sizeof (pending_consult_t));
  d->loop = loop_new ();
  d->cell
      = cell_new (set->name, set->rpc, set->domain, &limits,
                  wall_ms () ^ XXH3_64bits (set->name, strlen (set->name)));
  if (!d->loop || !d->cell)
    goto fail;
  d->rpc = rpcmux_new (d->loop, set->rpc, &peers, &hooks);
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
  consult_queue_free (&d->consult_queue);
  codec_free ((xdrproc_t)xdr_gl_config_reply_t, &d->packed);
  pool_destroy (&d->requests);
  pool_destroy (&d->consults);
  loop_free (d->loop);
  free (d);
}
