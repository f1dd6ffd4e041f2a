/*
 * scheduler.c -- the scheduler daemon: I/O around the reducer
 *
 * Only the control thread calls the reducer.  The other threads (HTTP client,
 * HTTP server, RPC server, configuration) turn results and requests into
 * items and post these to the control thread's queue.
 */
#include <ck_pr.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ask.h"
#include "codec.h"
#include "daemon.h"
#include "httpd.h"
#include "listwatch.h"
#include "logs.h"
#include "platform.h"
#include "rpcd.h"

/* How long a server thread waits for the control thread's answer,
   milliseconds; longer than the reducer's COMMIT_WAIT_MAX_MS. */
#define REQUEST_TIMEOUT_MS 3500
/* How long the end of the process waits until operators' requests are
   answered, milliseconds. */
#define DRAIN_MS 1000
/* Interval at which it looks for them, microseconds. */
#define DRAIN_STEP_US 5000

typedef enum
{
  ITEM_STORE,
  ITEM_WORKER,
  ITEM_VMS,
  ITEM_CONF,
  ITEM_SUBMIT,
  ITEM_CANCEL,
  ITEM_CORDON,
  ITEM_VIEW,
  ITEM_METRICS,
  ITEM_STOP
} item_kind_t;

/**
 * struct item_t - an event or request on its way to the control thread
 * @ev: the event; its pointers refer to the members below.  ITEM_VIEW has
 *   its job id, and ITEM_VIEW and ITEM_METRICS their token, in ev.u.submit.
 * @data: value read from the key-value service
 * @reply: a worker's answer
 * @vms, @index: the platform's list, and its store index
 * @name: worker to cordon, or view to return
 * @reply_slot: where the answer goes, NULL if nobody waits
 */
typedef struct
{
  item_kind_t kind;
  gl_event_t ev;
  char *data;
  gl_wreply_t reply;
  gl_vm_t *vms;
  gl_conf_t *conf;
  gl_jobspec_t spec;
  uint64_t index;
  char name[128];
  reply_slot_t *reply_slot;
} item_t;

/**
 * struct daemon_t - the daemon
 * @list: watch of the platform's list of VMs
 * @pull: thread that fetches the configuration and reports the status
 * @epoch, @active: as gl_sched_active gave them last; the configuration
 *   thread reads them too
 * @open_calls: operators' requests that wait for the control thread
 * @ending: the control thread will take no more of them
 */
typedef struct
{
  settings_t settings;
  loop_t *loop;
  gl_sched_t *sched;
  httpc_t *http;
  store_t store;
  listwatch_t list;
  worker_client_t workers;
  httpd_t *metrics;
  rpcd_t *rpc;
  conf_pull_t *pull;
  uint64_t epoch;
  unsigned int active;
  unsigned int open_calls;
  unsigned int ending;
} daemon_t;

/* ---- items ---- */

static item_t *
item_new (item_kind_t kind)
{
  item_t *it = calloc (1, sizeof *it);

  if (it)
    it->kind = kind;
  return it;
}

static void
item_free (item_t *it)
{
  free (it->data);
  codec_free ((xdrproc_t)xdr_gl_wreply_t, &it->reply);
  codec_free ((xdrproc_t)xdr_gl_jobspec_t, &it->spec);
  free (it->vms);
  conf_free (it->conf);
  free (it);
}

/* Post an item, waiting while the queue is full: the reducer relies on
   exactly one result per call. */
static void
post_item (daemon_t *d, item_t *it)
{
  loop_must_post (d->loop, it);
}

static char *
copy_terminated (const char *data, size_t len)
{
  char *c = malloc (len + 1);

  if (!c)
    abort ();
  memcpy (c, data, len);
  c[len] = 0;
  return c;
}

/* ---- results of calls ---- */

static void
on_store_result (void *ctx, uint32_t tag, gl_store_status_t status,
                 uint64_t index, const char *data, size_t len)
{
  item_t *it = item_new (ITEM_STORE);

  if (!it)
    abort ();
  it->ev.kind = GL_EV_STORE;
  it->ev.u.store.tag = tag;
  it->ev.u.store.status = status;
  it->ev.u.store.index = index;
  if (data)
    it->data = copy_terminated (data, len);
  it->ev.u.store.data = it->data;
  it->ev.u.store.len = len;
  post_item (ctx, it);
}

static void
on_worker_result (void *ctx, uint32_t worker, uint32_t call,
                  gl_call_status_t status, const gl_wreply_t *reply)
{
  item_t *it = item_new (ITEM_WORKER);
  char *copy;
  size_t len;

  if (!it)
    abort ();
  it->ev.kind = GL_EV_WORKER;
  it->ev.u.worker.worker = worker;
  it->ev.u.worker.call = call;
  it->ev.u.worker.status = status;
  it->ev.u.worker.reply = &it->reply;
  if (reply)
    {
      copy = codec_encode ((xdrproc_t)xdr_gl_wreply_t, reply, &len);
      if (!copy
          || codec_decode ((xdrproc_t)xdr_gl_wreply_t, &it->reply, copy, len))
        it->ev.u.worker.status = GL_CALL_UNKNOWN;
      free (copy);
    }
  post_item (ctx, it);
}

static void
on_vm_list (void *ctx, uint64_t index, const gl_vm_t *vms, size_t n)
{
  item_t *it = item_new (ITEM_VMS);

  if (!it)
    abort ();
  it->ev.kind = GL_EV_VMS;
  it->index = index;
  it->vms = vmlist_copy (vms, n);
  it->ev.u.vms.vms = it->vms;
  it->ev.u.vms.n = n;
  post_item (ctx, it);
}

static void
on_conf (void *ctx, gl_conf_t *conf)
{
  item_t *it = item_new (ITEM_CONF);

  if (!it)
    abort ();
  it->conf = conf;
  it->ev.kind = GL_EV_CONF;
  it->ev.u.conf = conf;
  post_item (ctx, it);
}

static void
on_stop_signal (void *ctx)
{
  item_t *it = item_new (ITEM_STOP);

  if (!it)
    abort ();
  it->ev.kind = GL_EV_STOP;
  post_item (ctx, it);
}

static void
fill_status (void *ctx, gl_status_t *s)
{
  daemon_t *d = ctx;

  daemon_status (s, &d->settings, "scheduler");
  free (s->rpc);
  s->rpc = strdup (d->settings.scheduler_rpc);
  s->epoch = ck_pr_load_64 (&d->epoch);
  s->active = (int)ck_pr_load_uint (&d->active);
  s->net_bytes = httpc_bytes (d->http);
}

/* ---- effects ---- */

static void
answer_request (const gl_effect_t *e)
{
  reply_slot_t *a = (reply_slot_t *)(uintptr_t)e->u.answer.token;

  reply_slot_complete (a, e->u.answer.code, e->u.answer.job,
                       e->u.answer.retry_after, e->u.answer.reason, NULL);
}

static void
run_effect (daemon_t *d, gl_effect_t *e)
{
  switch (e->kind)
    {
    case GL_FX_STORE_GET:
      d->store.get (d->store.ctx, e->u.store.key, 0, 0, e->u.store.tag,
                    on_store_result, d);
      break;
    case GL_FX_STORE_CAS:
      d->store.cas (d->store.ctx, e->u.store.key, e->u.store.index, e->data,
                    e->len, 0, e->u.store.tag, on_store_result, d);
      break;
    case GL_FX_WORKER:
      d->workers.call (d->workers.ctx, e->u.worker.addr, e->data, e->len,
                       e->u.worker.timeout, e->u.worker.send_before,
                       e->u.worker.worker, e->u.worker.call, on_worker_result,
                       d);
      break;
    case GL_FX_ANSWER:
      answer_request (e);
      break;
    case GL_FX_LOG:
      log_info ("%s", e->u.log);
      break;
    case GL_FX_STOPPED:
      loop_quit (d->loop);
      break;
    }
}

static void
step (daemon_t *d, const gl_event_t *ev)
{
  gl_effects_t fx = { 0 };
  uint64_t epoch = 0;
  int active;
  int changed;

  gl_sched_step (d->sched, ev, clock_ms (), &fx);
  for (size_t i = 0; i < fx.n; i++)
    run_effect (d, &fx.v[i]);
  gl_effects_free (&fx);
  active = gl_sched_active (d->sched, &epoch);
  changed = (unsigned int)active != ck_pr_load_uint (&d->active);
  ck_pr_store_64 (&d->epoch, epoch);
  ck_pr_store_uint (&d->active, (unsigned int)active);
  /* Report the change of role at once: operators' requests are routed to the
     owner by the status that it reports. */
  if (d->pull && changed)
    conf_pull_now (d->pull);
}

/* ---- control thread ---- */

static void
handle_vm_list (daemon_t *d, item_t *it)
{
  listwatch_answered (&d->list, it->index, it->vms != NULL);
  if (it->vms)
    step (d, &it->ev);
}

static void
handle_view (daemon_t *d, item_t *it)
{
  char *text = it->kind == ITEM_METRICS
                   ? gl_sched_metrics (d->sched)
                   : gl_sched_view (d->sched, it->name, it->ev.u.submit.job,
                                    clock_ms ());

  reply_slot_complete (it->reply_slot, text ? GL_OK : GL_NOT_FOUND, 0, 0, "",
                       text);
}

static void
on_item (void *ctx, void *item)
{
  daemon_t *d = ctx;
  item_t *it = item;

  switch (it->kind)
    {
    case ITEM_VMS:
      handle_vm_list (d, it);
      break;
    case ITEM_VIEW:
    case ITEM_METRICS:
      handle_view (d, it);
      break;
    default:
      step (d, &it->ev);
    }
  item_free (it);
}

static void
on_tick (void *ctx)
{
  daemon_t *d = ctx;
  gl_event_t ev = { .kind = GL_EV_TICK };

  listwatch_poll (&d->list, on_vm_list, d);
  if (gl_sched_due (d->sched) <= clock_ms ())
    step (d, &ev);
}

static gl_ms_t
next_due (void *ctx)
{
  daemon_t *d = ctx;
  gl_ms_t t = gl_sched_due (d->sched);

  if (listwatch_due (&d->list) < t)
    t = listwatch_due (&d->list);
  return t;
}

/* ---- operators' calls ---- */

/* Post a request to the control thread and wait for its answer; the caller
   releases it with reply_slot_release. */
static reply_slot_t *
call_control_thread (daemon_t *d, item_t *it)
{
  reply_slot_t *a = reply_slot_new ();

  if (!a || !it)
    abort ();
  it->reply_slot = a;
  /* The token is the first member of every request in the union. */
  it->ev.u.submit.token = (uint64_t)(uintptr_t)a;
  ck_pr_inc_uint (&d->open_calls);
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&d->ending) || loop_post (d->loop, it))
    {
      reply_slot_release (a);
      item_free (it);
      a->code = GL_RETRY;
      a->retry_after = 1000;
    }
  else if (reply_slot_wait (a, REQUEST_TIMEOUT_MS))
    {
      a->code = GL_UNKNOWN;
      a->retry_after = 1000;
    }
  ck_pr_dec_uint (&d->open_calls);
  return a;
}

static void
reply_with_answer (reply_slot_t *a, gl_answer_t *out)
{
  out->status = a->code;
  out->job = a->job;
  out->retry_ms = (u_int)a->retry_after;
  out->reason = strdup (a->reason);
  reply_slot_release (a);
}

static int
rpc_submit (void *ctx, const void *in, void *out)
{
  const gl_submit_t *s = in;
  item_t *it = item_new (ITEM_SUBMIT);
  gl_answer_t *o = out;

  if (!it)
    return -1;
  if (codec_decode ((xdrproc_t)xdr_gl_jobspec_t, &it->spec, s->spec.spec_val,
                    s->spec.spec_len))
    {
      item_free (it);
      o->status = GL_INVALID;
      o->reason = strdup ("the job cannot be decoded");
      return 0;
    }
  it->ev.kind = GL_EV_SUBMIT;
  it->ev.u.submit.job = s->job;
  it->ev.u.submit.spec = &it->spec;
  reply_with_answer (call_control_thread (ctx, it), o);
  return 0;
}

static int
rpc_cancel (void *ctx, const void *in, void *out)
{
  const gl_cancel_t *c = in;
  item_t *it = item_new (ITEM_CANCEL);

  if (!it)
    return -1;
  it->ev.kind = GL_EV_CANCEL;
  it->ev.u.cancel.job = c->job;
  reply_with_answer (call_control_thread (ctx, it), out);
  return 0;
}

static int
rpc_cordon (void *ctx, const void *in, void *out)
{
  const gl_cordon_t *c = in;
  item_t *it = item_new (ITEM_CORDON);

  if (!it)
    return -1;
  snprintf (it->name, sizeof it->name, "%s", c->worker);
  it->ev.kind = GL_EV_CORDON;
  it->ev.u.cordon.worker = it->name;
  it->ev.u.cordon.on = c->on;
  reply_with_answer (call_control_thread (ctx, it), out);
  return 0;
}

static int
rpc_view (void *ctx, const void *in, void *out)
{
  const gl_view_ask_t *v = in;
  gl_view_reply_t *o = out;
  item_t *it = item_new (ITEM_VIEW);
  reply_slot_t *a;

  if (!it)
    return -1;
  snprintf (it->name, sizeof it->name, "%s", v->what);
  it->ev.u.submit.job = v->job;
  a = call_control_thread (ctx, it);
  o->status = a->code;
  o->json = strdup (a->text ? a->text : "");
  reply_slot_release (a);
  return 0;
}

static const rpcd_proc_t procs[RPCD_PROCS] = {
  [GL_SUBMIT]
  = { (xdrproc_t)xdr_gl_submit_t, sizeof (gl_submit_t),
      (xdrproc_t)xdr_gl_answer_t, sizeof (gl_answer_t), rpc_submit },
  [GL_CANCEL]
  = { (xdrproc_t)xdr_gl_cancel_t, sizeof (gl_cancel_t),
      (xdrproc_t)xdr_gl_answer_t, sizeof (gl_answer_t), rpc_cancel },
  [GL_CORDON]
  = { (xdrproc_t)xdr_gl_cordon_t, sizeof (gl_cordon_t),
      (xdrproc_t)xdr_gl_answer_t, sizeof (gl_answer_t), rpc_cordon },
  [GL_VIEW]
  = { (xdrproc_t)xdr_gl_view_ask_t, sizeof (gl_view_ask_t),
      (xdrproc_t)xdr_gl_view_reply_t, sizeof (gl_view_reply_t), rpc_view },
};

static void
on_http_request (void *ctx, httpd_call_t *call)
{
  reply_slot_t *a;

  if (strcmp (call->path, "/metrics"))
    {
      httpd_text (call, 404, "{\"error\":\"not_found\"}\n");
      return;
    }
  a = call_control_thread (ctx, item_new (ITEM_METRICS));
  if (a->text)
    httpd_reply (call, 200, "text/plain; version=0.0.4", strdup (a->text),
                 strlen (a->text));
  else
    httpd_text (call, 503, "{\"error\":\"retry\"}\n");
  reply_slot_release (a);
}

/* ---- start and stop ---- */

static gl_sched_t *
create_reducer (const settings_t *s)
{
  gl_sched_opts_t o = { 0 };

  o.node = s->node;
  o.domain = s->domain;
  o.rpc = s->scheduler_rpc;
  o.seed = (unsigned long)clock_ms () ^ ((unsigned long)getpid () << 20);
  o.lease = (gl_ms_t)s->lease_ms;
  o.renew = (gl_ms_t)s->renew_ms;
  o.worker_lease = (gl_ms_t)s->worker_lease_ms;
  o.long_poll_ms = (gl_ms_t)s->hold_ms;
  o.commit_gap = (gl_ms_t)s->commit_gap_ms;
  o.grace = (gl_ms_t)s->grace_ms;
  o.drift_ppm = (unsigned int)s->drift_ppm;
  return gl_sched_new (&o, clock_ms ());
}

static int
start (daemon_t *d)
{
  const settings_t *s = &d->settings;

  if (!s->scheduler_rpc[0] || !s->scheduler_http[0])
    {
      log_error ("[scheduler] rpc and http are needed");
      return -1;
    }
  d->loop = loop_new ();
  if (!d->loop || daemon_signals (on_stop_signal, d))
    return -1;
  d->sched = create_reducer (s);
  d->http = httpc_new (0);
  d->list.domain = s->domain;
  if (!d->sched || !d->http
      || store_http_init (&d->store, d->http, s->platform)
      || vmlist_http_init (&d->list.source, d->http, s->platform)
      || worker_client_http_init (&d->workers, d->http))
    return -1;
  d->metrics = httpd_new (s->scheduler_http, 1024, 16, 0, on_http_request, d);
  d->rpc = rpcd_new (s->scheduler_rpc, procs, d);
  if (!d->metrics || !d->rpc)
    {
      log_error ("cannot listen on %s or %s", s->scheduler_http,
                 s->scheduler_rpc);
      return -1;
    }
  d->pull = conf_pull_new (s, on_conf, fill_status, d);
  return d->pull ? 0 : -1;
}

/* Answer the operators' requests that are posted while the loop ends, and wait
   up to DRAIN_MS until all answers are sent and all connections for metrics
   have ended, since an open one may hold a request that is not read; returns
   the number of those that are left.  */
static unsigned int
drain_replies (daemon_t *d, const loop_handlers_t *handlers)
{
  gl_ms_t end = clock_ms () + DRAIN_MS;
  unsigned int open;

  ck_pr_store_uint (&d->ending, 1);
  ck_pr_fence_memory ();
  httpd_quiesce (d->metrics);
  do
    {
      loop_drain (d->loop, handlers);
      open = ck_pr_load_uint (&d->open_calls) + httpd_connections (d->metrics);
      if (open)
        usleep (DRAIN_STEP_US);
    }
  while (open && clock_ms () < end);
  /* Ends after the answer to the call that is being served; without an open
     call it waits for nothing. */
  if (!open)
    rpcd_free (d->rpc);
  return open;
}

int
main (int argc, char **argv)
{
  static daemon_t d;
  loop_handlers_t handlers = { on_item, on_tick, next_due, &d };
  unsigned int open_calls;
  int rc = daemon_options (argc, argv, "gl-scheduler", &d.settings);

  if (rc)
    return rc - 1;
  if (start (&d))
    {
      log_error ("cannot start");
      return 1;
    }
  log_info ("serving domain %s", d.settings.domain);
  loop_run (d.loop, &handlers);
  open_calls = drain_replies (&d, &handlers);
  log_info ("stopped, %u calls left", open_calls);
  logs_close ();
  return 0;
}
