/*
 * entry.c -- the entry daemon: HTTP for callers around the router
 *
 *   /SERVICE/PATH   carried to an instance of SERVICE as /PATH
 *   /-/healthz      200, or 503 once a stop was asked for
 *   /-/metrics      counters and histograms
 *   /-/instances    what the router knows of its instances
 *
 * Request headers: Priority (RFC 9218; u=0..1 urgent, u=2..4 normal, u=5..7
 * bulk), Idempotency-Key, Deadline-Ms.  GET, HEAD, PUT and DELETE without a
 * key are repeatable, all else is not.
 */
#include <ck_pr.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ask.h"
#include "daemon.h"
#include "httpd.h"
#include "listwatch.h"
#include "logs.h"
#include "platform.h"

/* Longest request and answer bodies carried, bytes. */
#define REQUEST_MAX 8388608
#define ANSWER_MAX 8388608
#define CONNECTIONS_MAX 2000
#define HTTP_THREADS 2
/* Connections to one instance address, of the about 60 it takes from all. */
#define CONNS_PER_HOST 16
/* An idempotency key is remembered for a day. */
#define CLAIM_TTL_S 86400
#define KEY_MAX 64
#define DRAIN_MS 5000

typedef enum
{
  ITEM_REQUEST,
  ITEM_TRIED,
  ITEM_PROBED,
  ITEM_CLAIM,
  ITEM_VMS,
  ITEM_CONF,
  ITEM_VIEW,
  ITEM_METRICS,
  ITEM_STOP
} item_kind_t;

typedef struct
{
  item_kind_t kind;
  gl_route_event_t ev;
  httpd_call_t *call;
  char *data;
  size_t len;
  int status;
  char type[64];
  gl_vm_t *vms;
  uint64_t index;
  gl_conf_t *conf;
  char service[64];
  char key[KEY_MAX + 1];
  ask_t *ask;
} item_t;

typedef struct
{
  settings_t settings;
  loop_t *loop;
  gl_router_t *router;
  httpc_t *upstreams;
  httpc_t *http;
  store_t store;
  listwatch_t list;
  httpd_t *server;
  conf_pull_t *pull;
  gl_ms_t stop_at;
  unsigned int stopping;
  item_t *current;
} daemon_t;

static item_t *
item_new (item_kind_t kind)
{
  item_t *it = calloc (1, sizeof *it);

  if (!it)
    abort ();
  it->kind = kind;
  return it;
}

static void
item_free (item_t *it)
{
  free (it->data);
  free (it->vms);
  conf_free (it->conf);
  free (it);
}

static void
post (daemon_t *d, item_t *it)
{
  loop_must_post (d->loop, it);
}

/* ---- results ---- */

typedef struct
{
  daemon_t *d;
  uint32_t request;
  uint32_t attempt;
} sending_t;

static gl_send_result_t
try_of (const httpc_result_t *res)
{
  if (res->outcome == HTTPC_NOT_SENT)
    return GL_SEND_NOT_SENT;
  if (res->outcome == HTTPC_UNKNOWN)
    return GL_SEND_UNKNOWN;
  return res->status == 503 && res->not_run ? GL_SEND_REFUSED
                                            : GL_SEND_ANSWERED;
}

static void
sending_done (void *ctx, httpc_result_t *res)
{
  sending_t *s = ctx;
  item_t *it = item_new (ITEM_TRIED);

  it->ev.kind = GL_ROUTE_EV_SEND_DONE;
  it->ev.u.send_done.request = s->request;
  it->ev.u.send_done.attempt = s->attempt;
  it->ev.u.send_done.result = try_of (res);
  it->ev.u.send_done.leaving
      = res->body && strstr (res->body, "leaving") != NULL;
  it->ev.u.send_done.retry_after = (gl_ms_t)res->retry_after_s * 1000;
  it->status = res->status;
  memcpy (it->type, res->content_type, sizeof it->type);
  it->data = res->body;
  it->len = res->len;
  res->body = NULL;
  post (s->d, it);
  free (s);
}

typedef struct
{
  daemon_t *d;
  uint32_t instance;
} probe_t;

static void
probe_done (void *ctx, httpc_result_t *res)
{
  probe_t *p = ctx;
  item_t *it = item_new (ITEM_PROBED);
  int whole = res->outcome == HTTPC_COMPLETE;

  it->ev.kind = GL_ROUTE_EV_PROBE_DONE;
  it->ev.u.probe_done.instance = p->instance;
  it->ev.u.probe_done.healthy = whole && res->status == 200;
  it->ev.u.probe_done.leaving = whole && res->status == 503;
  post (p->d, it);
  free (p);
}

static void
claim_done (void *ctx, uint32_t tag, gl_store_status_t status, uint64_t index,
            const char *data, size_t len)
{
  item_t *it;

  if (!tag)
    return;
  it = item_new (ITEM_CLAIM);
  it->ev.kind = GL_ROUTE_EV_CLAIM_DONE;
  it->ev.u.claim.request = tag;
  it->ev.u.claim.status = status;
  it->ev.u.claim.index = index;
  if (data && len)
    {
      it->data = malloc (len);
      if (!it->data)
        abort ();
      memcpy (it->data, data, len);
    }
  it->ev.u.claim.data = it->data;
  it->ev.u.claim.len = it->data ? len : 0;
  post (ctx, it);
}

static void
list_done (void *ctx, uint64_t index, const gl_vm_t *vms, size_t n)
{
  item_t *it = item_new (ITEM_VMS);

  it->ev.kind = GL_ROUTE_EV_VMS;
  it->index = index;
  it->vms = vmlist_copy (vms, n);
  it->ev.u.vms.vms = it->vms;
  it->ev.u.vms.n = n;
  post (ctx, it);
}

static void
conf_take (void *ctx, gl_conf_t *conf)
{
  item_t *it = item_new (ITEM_CONF);

  it->conf = conf;
  it->ev.kind = GL_ROUTE_EV_CONF;
  it->ev.u.conf = conf;
  post (ctx, it);
}

static void
stop_asked (void *ctx)
{
  daemon_t *d = ctx;
  item_t *it = item_new (ITEM_STOP);

  ck_pr_store_uint (&d->stopping, 1);
  post (d, it);
}

static void
status_fill (void *ctx, gl_status_t *s)
{
  daemon_t *d = ctx;

  daemon_status (s, &d->settings, "entry");
  free (s->rpc);
  s->rpc = strdup (d->settings.entry_http);
  s->net_bytes = httpc_bytes (d->http);
}

/* ---- effects ---- */

static void
send_request (daemon_t *d, const gl_route_effect_t *e)
{
  httpd_call_t *call = (httpd_call_t *)(uintptr_t)e->token;
  const char *rest = strchr (call->path + 1, '/');
  const char *type = httpd_header (call, "Content-Type");
  char url[2300];
  char h_type[128];
  char h_key[128];
  char h_deadline[64];
  const char *headers[] = { h_deadline, NULL, NULL, NULL };
  int n = 1;
  sending_t *s = malloc (sizeof *s);
  httpc_request_t r = { .method = call->method,
                        .url = url,
                        .headers = headers,
                        .body = call->body,
                        .len = call->len,
                        .timeout = e->timeout,
                        .at_most_once = e->once,
                        .max_body = ANSWER_MAX,
                        .done = sending_done,
                        .ctx = s };

  if (!s)
    abort ();
  s->d = d;
  s->request = e->request;
  s->attempt = e->attempt;
  snprintf (url, sizeof url, "%s%.2000s", e->addr, rest ? rest : "/");
  snprintf (h_deadline, sizeof h_deadline, "Deadline-Ms: %llu",
            (unsigned long long)e->timeout);
  if (type)
    {
      snprintf (h_type, sizeof h_type, "Content-Type: %.100s", type);
      headers[n++] = h_type;
    }
  if (e->key[0])
    {
      snprintf (h_key, sizeof h_key, "Idempotency-Key: %s",
                strrchr (e->key, '/') + 1);
      headers[n++] = h_key;
    }
  if (httpc_send (d->upstreams, &r))
    {
      httpc_result_t res = { .outcome = HTTPC_NOT_SENT };
      sending_done (s, &res);
    }
}

static void
send_probe (daemon_t *d, const gl_route_effect_t *e)
{
  probe_t *p = malloc (sizeof *p);
  char url[128];
  httpc_request_t r = { .method = "GET",
                        .url = url,
                        .timeout = e->timeout,
                        .max_body = 4096,
                        .fresh_conn = 1,
                        .done = probe_done,
                        .ctx = p };

  if (!p)
    abort ();
  p->d = d;
  p->instance = e->instance;
  snprintf (url, sizeof url, "%s/healthz", e->addr);
  if (httpc_send (d->http, &r))
    {
      httpc_result_t res = { .outcome = HTTPC_NOT_SENT };
      probe_done (p, &res);
    }
}

static void
answer_error (const gl_route_effect_t *e)
{
  httpd_call_t *call = (httpd_call_t *)(uintptr_t)e->token;

  if (e->retry_after)
    httpd_add_header (call, "Retry-After: %llu",
                      (unsigned long long)(e->retry_after + 999) / 1000);
  if (e->not_run)
    httpd_add_header (call, "Not-Run: 1");
  httpd_text (call, e->status,
              "{\"error\":\"%s\",\"not_run\":%s,\"retry_ms\":%llu}\n", e->code,
              e->not_run ? "true" : "false",
              (unsigned long long)e->retry_after);
}

/* The answer that was just reported goes to its caller. */
static void
pass (daemon_t *d, const gl_route_effect_t *e)
{
  httpd_call_t *call = (httpd_call_t *)(uintptr_t)e->token;
  item_t *it = d->current;

  httpd_reply (call, it->status, it->type, it->data, it->len);
  it->data = NULL;
}

static void
carry_out (daemon_t *d, const gl_route_effect_t *e)
{
  switch (e->kind)
    {
    case GL_ROUTE_FX_SEND:
      send_request (d, e);
      break;
    case GL_ROUTE_FX_PROBE:
      send_probe (d, e);
      break;
    case GL_ROUTE_FX_RETIRE_CONNS:
      httpc_retire_conns (d->upstreams);
      break;
    case GL_ROUTE_FX_CLAIM_GET:
      d->store.get (d->store.ctx, e->key, 0, 0, e->request, claim_done, d);
      break;
    case GL_ROUTE_FX_CLAIM_CAS:
      d->store.cas (d->store.ctx, e->key, e->index, e->value,
                    strlen (e->value), CLAIM_TTL_S, e->request, claim_done, d);
      break;
    case GL_ROUTE_FX_REPLY:
      pass (d, e);
      break;
    case GL_ROUTE_FX_ERROR:
      answer_error (e);
      break;
    case GL_ROUTE_FX_LOG:
      log_info ("%s", e->log);
      break;
    case GL_ROUTE_FX_STOPPED:
      loop_quit (d->loop);
      break;
    }
}

static void
step (daemon_t *d, const gl_route_event_t *ev)
{
  gl_route_effects_t fx = { 0 };

  gl_router_step (d->router, ev, clock_ms (), &fx);
  for (size_t i = 0; i < fx.n; i++)
    carry_out (d, &fx.v[i]);
  free (fx.v);
}

/* ---- the control thread ---- */

static void
take_list (daemon_t *d, item_t *it)
{
  listwatch_answered (&d->list, it->index, it->vms != NULL);
  if (it->vms)
    step (d, &it->ev);
}

static void
take (void *ctx, void *item)
{
  daemon_t *d = ctx;
  item_t *it = item;
  char *text;

  d->current = it;
  switch (it->kind)
    {
    case ITEM_VMS:
      take_list (d, it);
      break;
    case ITEM_VIEW:
    case ITEM_METRICS:
      text = it->kind == ITEM_VIEW ? gl_router_view (d->router, clock_ms ())
                                   : gl_router_metrics (d->router);
      ask_answer (it->ask, GL_OK, 0, 0, NULL, text);
      break;
    case ITEM_STOP:
      /* The balancer is told first and given time to turn elsewhere. */
      if (!d->stop_at)
        d->stop_at = clock_ms () + (gl_ms_t)d->settings.linger_ms;
      break;
    default:
      step (d, &it->ev);
    }
  d->current = NULL;
  item_free (it);
}

static void
tick (void *ctx)
{
  daemon_t *d = ctx;
  gl_route_event_t ev = { .kind = GL_ROUTE_EV_TICK };

  if (d->stop_at && d->stop_at <= clock_ms ())
    {
      d->stop_at = UINT64_MAX;
      httpd_quiesce (d->server);
      ev.kind = GL_ROUTE_EV_STOP;
      step (d, &ev);
      return;
    }
  listwatch_poll (&d->list, list_done, d);
  if (gl_router_due (d->router) <= clock_ms ())
    step (d, &ev);
}

static gl_ms_t
due (void *ctx)
{
  daemon_t *d = ctx;
  gl_ms_t t = gl_router_due (d->router);

  if (listwatch_due (&d->list) < t)
    t = listwatch_due (&d->list);
  if (d->stop_at && d->stop_at < t)
    t = d->stop_at;
  return t;
}

/* ---- callers ---- */

static void
own_path (daemon_t *d, httpd_call_t *call)
{
  item_t *it;
  ask_t *a;

  if (!strcmp (call->path, "/-/healthz"))
    {
      int stopping = (int)ck_pr_load_uint (&d->stopping);
      httpd_text (call, stopping ? 503 : 200, "{\"status\":\"%s\"}\n",
                  stopping ? "leaving" : "ok");
      return;
    }
  if (strcmp (call->path, "/-/metrics") && strcmp (call->path, "/-/instances"))
    {
      httpd_text (call, 404, "{\"error\":\"not_found\"}\n");
      return;
    }
  it = item_new (strcmp (call->path, "/-/metrics") ? ITEM_VIEW : ITEM_METRICS);
  a = it->ask = ask_new ();
  if (!a)
    abort ();
  post (d, it);
  if (!ask_wait (a, 2000) && a->text)
    httpd_reply (call, 200, "text/plain; version=0.0.4", strdup (a->text),
                 strlen (a->text));
  else
    httpd_text (call, 503, "{\"error\":\"retry\"}\n");
  ask_drop (a);
}

static gl_urgency_t
urgency_of (httpd_call_t *call)
{
  const char *v = httpd_header (call, "Priority");
  const char *u = v ? strstr (v, "u=") : NULL;

  if (!u || u[2] < '0' || u[2] > '7')
    return GL_REQ_NORMAL;
  return u[2] <= '1'   ? GL_REQ_URGENT
         : u[2] <= '4' ? GL_REQ_NORMAL
                       : GL_REQ_BULK;
}

static int
key_ok (const char *key)
{
  size_t n = strlen (key);

  return n && n <= KEY_MAX
         && strspn (key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                         "0123456789-_.")
                == n;
}

static int
method_repeats (const char *m)
{
  return !strcmp (m, "GET") || !strcmp (m, "HEAD") || !strcmp (m, "PUT")
         || !strcmp (m, "DELETE");
}

static void
http_call (void *ctx, httpd_call_t *call)
{
  daemon_t *d = ctx;
  const char *key = httpd_header (call, "Idempotency-Key");
  const char *deadline = httpd_header (call, "Deadline-Ms");
  const char *slash = strchr (call->path + 1, '/');
  size_t n = slash ? (size_t)(slash - call->path - 1) : 0;
  item_t *it;

  if (!strncmp (call->path, "/-/", 3))
    {
      own_path (d, call);
      return;
    }
  if (!n || n >= sizeof it->service || strlen (call->path) > 2000)
    {
      httpd_text (call, 404,
                  "{\"error\":\"no_such_service\","
                  "\"not_run\":true}\n");
      return;
    }
  if (key && !key_ok (key))
    {
      httpd_text (call, 400,
                  "{\"error\":\"bad_idempotency_key\","
                  "\"not_run\":true}\n");
      return;
    }
  it = item_new (ITEM_REQUEST);
  memcpy (it->service, call->path + 1, n);
  snprintf (it->key, sizeof it->key, "%s", key ? key : "");
  it->call = call;
  it->ev.kind = GL_ROUTE_EV_REQUEST;
  it->ev.u.request.token = (uint64_t)(uintptr_t)call;
  it->ev.u.request.service = it->service;
  it->ev.u.request.key = it->key;
  it->ev.u.request.urgency = urgency_of (call);
  it->ev.u.request.repeatable = !key && method_repeats (call->method);
  it->ev.u.request.deadline = deadline ? strtoull (deadline, NULL, 10) : 0;
  if (loop_post (d->loop, it))
    {
      item_free (it);
      httpd_add_header (call, "Retry-After: 1");
      httpd_add_header (call, "Not-Run: 1");
      httpd_text (call, 503, "{\"error\":\"overloaded\",\"not_run\":true}\n");
    }
}

/* ---- start and stop ---- */

static int
start (daemon_t *d)
{
  const settings_t *s = &d->settings;
  char node[96];
  gl_router_opts_t o = { 0 };

  if (!s->entry_http[0])
    {
      log_error ("[entry] http is needed");
      return -1;
    }
  d->loop = loop_new ();
  if (!d->loop || daemon_signals (stop_asked, d))
    return -1;
  snprintf (node, sizeof node, "%s.%d", s->node, (int)getpid ());
  o.node = node;
  o.domain = s->domain;
  o.entries = s->entries;
  o.entry_number = s->entry_number;
  o.slots = s->slots;
  o.seed = (unsigned long)clock_ms () ^ ((unsigned long)getpid () << 20);
  d->router = gl_router_new (&o, clock_ms ());
  d->upstreams = httpc_new (CONNS_PER_HOST * s->slots);
  d->http = httpc_new (0);
  d->list.domain = "all";
  if (!d->router || !d->upstreams || !d->http
      || store_http_init (&d->store, d->http, s->platform)
      || vmlist_http_init (&d->list.source, d->http, s->platform))
    return -1;
  d->pull = conf_pull_new (s, conf_take, status_fill, d);
  d->server = httpd_new (s->entry_http, REQUEST_MAX, CONNECTIONS_MAX,
                         HTTP_THREADS, http_call, d);
  if (!d->server)
    log_error ("cannot listen on %s", s->entry_http);
  return d->pull && d->server ? 0 : -1;
}

/* Answer what was posted while the loop ended; wait for answers to leave. */
static unsigned int
finish (daemon_t *d, const loop_handlers_t *part)
{
  gl_ms_t end = clock_ms () + DRAIN_MS;

  do
    {
      loop_drain (d->loop, part);
      usleep (10000);
    }
  while (httpd_open_requests (d->server) && clock_ms () < end);
  return httpd_open_requests (d->server);
}

int
main (int argc, char **argv)
{
  static daemon_t d;
  loop_handlers_t part = { take, tick, due, &d };
  unsigned int left;
  int rc = daemon_options (argc, argv, "gl-entry", &d.settings);

  if (rc)
    return rc - 1;
  if (start (&d))
    {
      log_error ("cannot start");
      return 1;
    }
  log_info ("serving callers on %s", d.settings.entry_http);
  loop_run (d.loop, &part);
  left = finish (&d, &part);
  log_info ("stopped, %u answers cut", left);
  logs_close ();
  return 0;
}
