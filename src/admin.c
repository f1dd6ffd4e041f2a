/*
 * admin.c -- the administration daemon: operators' API and configuration
 *
 * Operators' requests go to the active scheduler of the domain concerned.
 * The configuration record is watched in the key-value service by this
 * daemon alone on its VM; the VM's other daemons, and the other VMs' when
 * they are cut off, ask it over RPC.  A record seen anywhere is adopted if
 * its revision is higher than the one held, never otherwise.
 */
#include <ck_pr.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "change.h"
#include "codec.h"
#include "daemon.h"
#include "httpd.h"
#include "logs.h"
#include "platform.h"
#include "rpcc.h"
#include "rpcd.h"

#define BODY_MAX 262144
#define CONNECTIONS_MAX 64
#define WATCH_MS 20000
#define GOSSIP_MS 2000
#define RPC_MS 1000
#define SUBMIT_MS 4000
#define LOCALS_MAX 8
/* A daemon that has not asked for this long counts as gone. */
#define LOCAL_STALE_MS 5000
#define NODES_MAX 64
#define NODES_FRESH_MS 500
#define DRAIN_MS 5000

typedef struct
{
  gl_status_t status;
  gl_ms_t heard;
} local_t;

typedef struct
{
  settings_t settings;
  httpc_t *http;
  store_t store;
  httpd_t *server;
  rpcd_t *rpc;
  unsigned int quit;
  int pipe[2];
  pthread_mutex_t lock;
  conf_doc_t doc;
  char *text;
  gl_ms_t adopted_at;
  local_t locals[LOCALS_MAX];
  int nlocals;
  gl_status_t nodes[NODES_MAX];
  int nnodes;
  gl_ms_t nodes_at;
  uint64_t rpc_bytes;
} admin_t;

/* ---- statuses ---- */

static void
status_copy (gl_status_t *to, const gl_status_t *from)
{
  xdr_free ((xdrproc_t)xdr_gl_status_t, (void *)to);
  *to = *from;
  to->node = strdup (from->node);
  to->domain = strdup (from->domain);
  to->role = strdup (from->role);
  to->rpc = strdup (from->rpc);
}

static void
own_status (admin_t *a, gl_status_t *s)
{
  memset (s, 0, sizeof *s);
  daemon_status (s, &a->settings, "admin");
  free (s->rpc);
  s->rpc = strdup (a->settings.admin_rpc);
  s->revision = a->doc.revision;
  s->net_bytes = httpc_bytes (a->http) + a->rpc_bytes;
}

static void
hear (admin_t *a, const gl_status_t *s)
{
  int i = 0;

  if (strcmp (s->node, a->settings.node))
    return;
  while (i < a->nlocals && strcmp (a->locals[i].status.role, s->role))
    i++;
  if (i == LOCALS_MAX)
    return;
  if (i == a->nlocals)
    a->nlocals++;
  status_copy (&a->locals[i].status, s);
  a->locals[i].heard = clock_ms ();
}

/* ---- configuration ---- */

/* Adopt a record if it is later than ours. */
static void
adopt (admin_t *a, const char *text, size_t len)
{
  conf_doc_t doc = { 0 };

  if (conf_doc_load (&doc, text, len))
    return;
  pthread_mutex_lock (&a->lock);
  if (doc.revision > a->doc.revision)
    {
      conf_doc_free (&a->doc);
      a->doc = doc;
      free (a->text);
      a->text = strndup (text, len);
      a->adopted_at = clock_ms ();
      log_info ("configuration revision %llu",
                (unsigned long long)doc.revision);
    }
  else
    conf_doc_free (&doc);
  pthread_mutex_unlock (&a->lock);
}

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  int done;
  gl_store_status_t status;
  uint64_t index;
  char *data;
  size_t len;
} wait_t;

static void
store_done (void *ctx, uint32_t tag, gl_store_status_t status, uint64_t index,
            const char *data, size_t len)
{
  wait_t *w = ctx;

  (void)tag;
  pthread_mutex_lock (&w->lock);
  w->status = status;
  w->index = index;
  w->data = data ? strndup (data, len) : NULL;
  w->len = data ? len : 0;
  w->done = 1;
  pthread_cond_signal (&w->cond);
  pthread_mutex_unlock (&w->lock);
}

static void
wait_done (wait_t *w)
{
  pthread_mutex_lock (&w->lock);
  while (!w->done)
    pthread_cond_wait (&w->cond, &w->lock);
  pthread_mutex_unlock (&w->lock);
}

/* Read the record; with @index not 0, wait for another one. */
static gl_store_status_t
read_record (admin_t *a, uint64_t index, wait_t *w)
{
  *w = (wait_t){ .lock = PTHREAD_MUTEX_INITIALIZER,
                 .cond = PTHREAD_COND_INITIALIZER };
  a->store.get (a->store.ctx, CONF_KEY, index, WATCH_MS, 0, store_done, w);
  wait_done (w);
  if (w->status == GL_ST_OK)
    adopt (a, w->data ? w->data : "", w->len);
  return w->status;
}

static void
nap (admin_t *a, gl_ms_t span)
{
  for (gl_ms_t t = 0; t < span && !ck_pr_load_uint (&a->quit); t += 50)
    usleep (50000);
}

static void *
watch (void *ctx)
{
  admin_t *a = ctx;
  uint64_t index = 0;

  while (!ck_pr_load_uint (&a->quit))
    {
      wait_t w;
      gl_ms_t began = clock_ms ();

      if (read_record (a, index, &w) == GL_ST_OK)
        index = w.index;
      free (w.data);
      if (clock_ms () < began + 100)
        nap (a, 500);
    }
  return NULL;
}

/* Ask one peer at a time, so that a cut from the service is bridged. */
static void *
gossip (void *ctx)
{
  admin_t *a = ctx;
  const settings_t *s = &a->settings;
  unsigned int next = (unsigned int)getpid ();
  rpcc_t r = { 0 };

  while (!ck_pr_load_uint (&a->quit))
    {
      gl_conf_ask_t in = { 0 };
      gl_conf_tell_t out = { 0 };

      nap (a, GOSSIP_MS);
      if (!s->npeers)
        continue;
      pthread_mutex_lock (&a->lock);
      in.have = a->doc.revision;
      own_status (a, &in.from);
      pthread_mutex_unlock (&a->lock);
      if (!rpcc_call (&r, s->peers[next++ % (unsigned int)s->npeers], GL_CONF,
                      (xdrproc_t)xdr_gl_conf_ask_t, &in,
                      (xdrproc_t)xdr_gl_conf_tell_t, &out, RPC_MS)
          && out.text && *out.text)
        adopt (a, out.text, strlen (out.text));
      xdr_free ((xdrproc_t)xdr_gl_conf_ask_t, (void *)&in);
      xdr_free ((xdrproc_t)xdr_gl_conf_tell_t, (void *)&out);
      a->rpc_bytes = r.bytes;
      /* Each round goes to another peer. */
      rpcc_close (&r);
    }
  rpcc_close (&r);
  return NULL;
}

/* ---- RPC for daemons and peers ---- */

static int
rpc_conf (void *ctx, const void *in, void *out)
{
  admin_t *a = ctx;
  const gl_conf_ask_t *q = in;
  gl_conf_tell_t *t = out;

  pthread_mutex_lock (&a->lock);
  hear (a, &q->from);
  t->revision = a->doc.revision;
  t->text = strdup (a->text && q->have < a->doc.revision ? a->text : "");
  pthread_mutex_unlock (&a->lock);
  return 0;
}

static int
rpc_nodes (void *ctx, const void *in, void *out)
{
  admin_t *a = ctx;
  gl_nodes_tell_t *t = out;

  (void)in;
  t->nodes.nodes_val = calloc (LOCALS_MAX + 1, sizeof (gl_status_t));
  if (!t->nodes.nodes_val)
    return -1;
  pthread_mutex_lock (&a->lock);
  own_status (a, &t->nodes.nodes_val[t->nodes.nodes_len++]);
  for (int i = 0; i < a->nlocals; i++)
    if (clock_ms () < a->locals[i].heard + LOCAL_STALE_MS)
      status_copy (&t->nodes.nodes_val[t->nodes.nodes_len++],
                   &a->locals[i].status);
  pthread_mutex_unlock (&a->lock);
  return 0;
}

static bool_t
xdr_nothing (XDR *x, ...)
{
  (void)x;
  return TRUE;
}

static const rpcd_proc_t procs[RPCD_PROCS] = {
  [GL_CONF]
  = { (xdrproc_t)xdr_gl_conf_ask_t, sizeof (gl_conf_ask_t),
      (xdrproc_t)xdr_gl_conf_tell_t, sizeof (gl_conf_tell_t), rpc_conf },
  [GL_NODES] = { xdr_nothing, 0, (xdrproc_t)xdr_gl_nodes_tell_t,
                 sizeof (gl_nodes_tell_t), rpc_nodes },
};

/* ---- the other VMs ---- */

static void
add_nodes (admin_t *a, const gl_nodes_tell_t *t)
{
  for (u_int i = 0; i < t->nodes.nodes_len && a->nnodes < NODES_MAX; i++)
    {
      memset (&a->nodes[a->nnodes], 0, sizeof a->nodes[0]);
      status_copy (&a->nodes[a->nnodes++], &t->nodes.nodes_val[i]);
    }
}

static pthread_mutex_t nodes_lock = PTHREAD_MUTEX_INITIALIZER;

/* Ask every VM for its daemons, unless that was done just now. */
static void
refresh_nodes (admin_t *a)
{
  gl_nodes_tell_t t;

  if (a->nnodes && clock_ms () < a->nodes_at + NODES_FRESH_MS)
    return;
  for (int i = 0; i < a->nnodes; i++)
    xdr_free ((xdrproc_t)xdr_gl_status_t, (void *)&a->nodes[i]);
  a->nnodes = 0;
  memset (&t, 0, sizeof t);
  if (!rpc_nodes (a, NULL, &t))
    add_nodes (a, &t);
  xdr_free ((xdrproc_t)xdr_gl_nodes_tell_t, (void *)&t);
  for (int p = 0; p < a->settings.npeers; p++)
    {
      rpcc_t r = { 0 };

      memset (&t, 0, sizeof t);
      if (!rpcc_call (&r, a->settings.peers[p], GL_NODES, xdr_nothing, NULL,
                      (xdrproc_t)xdr_gl_nodes_tell_t, &t, RPC_MS / 2))
        add_nodes (a, &t);
      xdr_free ((xdrproc_t)xdr_gl_nodes_tell_t, (void *)&t);
      rpcc_close (&r);
    }
  a->nodes_at = clock_ms ();
}

/**
 * struct owner_t - the active scheduler of a domain
 */
typedef struct
{
  char domain[32];
  char rpc[64];
  char node[64];
  uint64_t epoch;
} owner_t;

/* The active schedulers, one a domain, the highest epoch winning. */
static int
list_owners (admin_t *a, owner_t *out, int max)
{
  int n = 0;

  pthread_mutex_lock (&nodes_lock);
  refresh_nodes (a);
  for (int i = 0; i < a->nnodes; i++)
    {
      gl_status_t *s = &a->nodes[i];
      int k = 0;

      if (!s->active)
        continue;
      while (k < n && strcmp (out[k].domain, s->domain))
        k++;
      if (k == max || (k < n && out[k].epoch > s->epoch))
        continue;
      snprintf (out[k].domain, sizeof out[k].domain, "%s", s->domain);
      snprintf (out[k].rpc, sizeof out[k].rpc, "%s", s->rpc);
      snprintf (out[k].node, sizeof out[k].node, "%s", s->node);
      out[k].epoch = s->epoch;
      if (k == n)
        n++;
    }
  pthread_mutex_unlock (&nodes_lock);
  return n;
}

static json_t *
nodes_json (admin_t *a)
{
  json_t *out = json_array ();

  pthread_mutex_lock (&nodes_lock);
  refresh_nodes (a);
  for (int i = 0; i < a->nnodes; i++)
    {
      gl_status_t *s = &a->nodes[i];

      json_array_append_new (
          out,
          json_pack ("{s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:i,s:i,s:I}", "node",
                     s->node, "domain", s->domain, "role", s->role, "address",
                     s->rpc, "revision", (json_int_t)s->revision, "epoch",
                     (json_int_t)s->epoch, "active", s->active, "cpu_permille",
                     (int)s->cpu_permille, "rss_kb", (int)s->rss_kb,
                     "net_bytes", (json_int_t)s->net_bytes));
    }
  pthread_mutex_unlock (&nodes_lock);
  return out;
}

/* ---- calls to schedulers ---- */

static json_t *
ask_view (const owner_t *o, const char *what, uint64_t job)
{
  rpcc_t r = { 0 };
  gl_view_ask_t in = { (char *)what, job };
  gl_view_tell_t out = { 0 };
  json_t *j = NULL;

  if (!rpcc_call (&r, o->rpc, GL_VIEW, (xdrproc_t)xdr_gl_view_ask_t, &in,
                  (xdrproc_t)xdr_gl_view_tell_t, &out, SUBMIT_MS)
      && !out.status)
    j = json_loads (out.json, 0, NULL);
  xdr_free ((xdrproc_t)xdr_gl_view_tell_t, (void *)&out);
  rpcc_close (&r);
  return j;
}

/* The domain that knows a job, -1 for none. */
static int
find_job (const owner_t *o, int n, uint64_t job, json_t **view)
{
  for (int i = 0; i < n; i++)
    {
      *view = ask_view (&o[i], "job", job);
      if (*view)
        return i;
    }
  return -1;
}

/* ---- HTTP ---- */

static void
reply_json (httpd_call_t *call, int status, json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT);

  json_decref (j);
  httpd_reply (call, status, "application/json", text,
               text ? strlen (text) : 0);
}

static void
reply_error (httpd_call_t *call, int status, const char *code,
             const char *reason, unsigned int retry_ms)
{
  if (retry_ms)
    httpd_extra (call, "Retry-After: %u", (retry_ms + 999) / 1000);
  reply_json (call, status,
              json_pack ("{s:s,s:s,s:i}", "error", code, "reason", reason,
                         "retry_ms", (int)retry_ms));
}

static int
http_status (gl_code_t code)
{
  switch (code)
    {
    case GL_OK:
      return 200;
    case GL_INVALID:
      return 400;
    case GL_INFEASIBLE:
      return 422;
    case GL_NOT_FOUND:
      return 404;
    case GL_CONFLICT:
      return 409;
    case GL_UNKNOWN:
      return 504;
    default:
      return 503;
    }
}

static void
reply_answer (httpd_call_t *call, gl_code_t rc, const gl_answer_t *ans,
              const owner_t *o)
{
  if (!rc && !ans->status)
    reply_json (call, 200,
                json_pack ("{s:s,s:I,s:s}", "status", "ok", "id",
                           (json_int_t)ans->job, "domain", o->domain));
  else if (rc)
    reply_error (call, rc == GL_RETRY ? 503 : 504, gl_code_name (rc),
                 "the scheduler did not answer", 2000);
  else
    reply_error (call, http_status (ans->status), gl_code_name (ans->status),
                 ans->reason, ans->retry_ms);
}

static int
class_of (const char *name, gl_class_t *out)
{
  static const char *const names[] = { "urgent", "service", "gang", "batch" };

  for (int i = 0; name && i < 4; i++)
    if (!strcmp (names[i], name))
      {
        *out = (gl_class_t)i;
        return 0;
      }
  return -1;
}

/* Take an integer member; -1 when it is there and is not one in range. */
static int
int_of (json_t *j, const char *key, int low, int high, int preset, int *out)
{
  json_t *v = json_object_get (j, key);

  *out = preset;
  if (!v)
    return 0;
  if (!json_is_integer (v) || json_integer_value (v) < low
      || json_integer_value (v) > high)
    return -1;
  *out = (int)json_integer_value (v);
  return 0;
}

/* Fill a job from its JSON text; NULL, or what is wrong with it. */
static const char *
parse_job (json_t *j, gl_jobspec_t *p)
{
  int tasks;
  int runtime;
  int attempts;

  p->name = (char *)json_string_value (json_object_get (j, "name"));
  p->team = (char *)json_string_value (json_object_get (j, "team"));
  if (!p->name || strlen (p->name) > GL_NAME_LEN || !p->team
      || strlen (p->team) > GL_NAME_LEN)
    return "name and team are needed, of up to 63 characters";
  if (class_of (json_string_value (json_object_get (j, "class")), &p->cls))
    return "class is not urgent, service, gang or batch";
  if (int_of (j, "tasks", 1, GL_TASKS_MAX, 1, &tasks))
    return "tasks is not in 1 to 4096";
  if (int_of (j, "cpus_m", 1, 1024000, 1000, &p->need.cpus_m))
    return "cpus_m is not in 1 to 1024000";
  if (int_of (j, "memory_mb", 0, 16777216, 1024, &p->need.memory_mb))
    return "memory_mb is not in 0 to 16777216";
  if (int_of (j, "accels", 0, 1024, 0, &p->need.accels))
    return "accels is not in 0 to 1024";
  if (int_of (j, "runtime_s", 0, 31536000, 0, &runtime))
    return "runtime_s is not in 0 to 31536000";
  if (int_of (j, "max_attempts", 1, 1000, 5, &attempts))
    return "max_attempts is not in 1 to 1000";
  p->tasks = (u_int)tasks;
  p->runtime_s = (u_int)runtime;
  p->max_attempts = (u_int)attempts;
  return NULL;
}

/* The domain with the most room for the job, by the schedulers' summaries. */
static int
choose_domain (const owner_t *o, int n, const gl_jobspec_t *p)
{
  json_int_t best_room = -1;
  int best = -1;

  for (int i = 0; i < n; i++)
    {
      json_t *j = ask_view (&o[i], "summary", 0);
      json_int_t cpus
          = json_integer_value (json_object_get (j, "free_cpus_m"));
      json_int_t accels
          = json_integer_value (json_object_get (j, "free_accels"));
      json_int_t waiting
          = json_integer_value (json_object_get (j, "jobs_waiting"));
      json_int_t room = cpus - waiting * p->need.cpus_m;

      if (!j)
        continue;
      json_decref (j);
      if (accels < p->need.accels)
        room = 0;
      if (room < 0)
        room = 0;
      if (room > best_room)
        {
          best_room = room;
          best = i;
        }
    }
  return best;
}

static int
domain_index (const owner_t *o, int n, const char *domain)
{
  for (int i = 0; i < n; i++)
    if (!strcmp (o[i].domain, domain))
      return i;
  return -1;
}

static uint64_t
job_number (json_t *j)
{
  json_t *id = json_object_get (j, "id");
  struct
  {
    gl_ms_t now;
    pid_t pid;
    void *where;
  } salt = { clock_ms (), getpid (), j };

  if (json_is_integer (id) && json_integer_value (id) > 0)
    return (uint64_t)json_integer_value (id);
  /* 48 bits, exact in every JSON reader. */
  return (XXH3_64bits (&salt, sizeof salt) >> 16) + 1;
}

static void
submit (admin_t *a, httpd_call_t *call)
{
  json_t *j = json_loadb (call->body ? call->body : "", call->len, 0, NULL);
  const char *domain = json_string_value (json_object_get (j, "domain"));
  owner_t owners[16];
  gl_jobspec_t spec = { 0 };
  gl_submit_t in = { 0 };
  gl_answer_t out = { 0 };
  rpcc_t r = { 0 };
  const char *why = json_is_object (j) ? parse_job (j, &spec)
                                       : "the body is not a JSON object";
  size_t len = 0;
  json_t *known = NULL;
  gl_code_t rc;
  int n;
  int i;

  if (why)
    {
      reply_error (call, 400, "invalid", why, 0);
      goto done;
    }
  n = list_owners (a, owners, 16);
  in.job = job_number (j);
  i = json_object_get (j, "id") ? find_job (owners, n, in.job, &known) : -1;
  if (i < 0)
    i = domain ? domain_index (owners, n, domain)
               : choose_domain (owners, n, &spec);
  if (i < 0)
    {
      reply_error (call, 503, "not_owner",
                   domain ? "no active scheduler in that domain"
                          : "no active scheduler",
                   2000);
      goto done;
    }
  in.spec.spec_val = codec_encode ((xdrproc_t)xdr_gl_jobspec_t, &spec, &len);
  in.spec.spec_len = (u_int)len;
  rc = rpcc_call (&r, owners[i].rpc, GL_SUBMIT, (xdrproc_t)xdr_gl_submit_t,
                  &in, (xdrproc_t)xdr_gl_answer_t, &out, SUBMIT_MS);
  reply_answer (call, rc, &out, &owners[i]);

done:
  json_decref (known);
  free (in.spec.spec_val);
  xdr_free ((xdrproc_t)xdr_gl_answer_t, (void *)&out);
  rpcc_close (&r);
  json_decref (j);
}

static void
one_job (admin_t *a, httpd_call_t *call, const char *rest)
{
  owner_t owners[16];
  int n = list_owners (a, owners, 16);
  uint64_t job = strtoull (rest, NULL, 10);
  json_t *view = NULL;
  int i = find_job (owners, n, job, &view);
  gl_cancel_t in = { job };
  gl_answer_t out = { 0 };
  rpcc_t r = { 0 };
  gl_code_t rc;

  if (i < 0)
    reply_error (call, n ? 404 : 503, n ? "not_found" : "not_owner",
                 n ? "no such job" : "no active scheduler", n ? 0 : 2000);
  else if (!strcmp (call->method, "DELETE"))
    {
      json_decref (view);
      rc = rpcc_call (&r, owners[i].rpc, GL_CANCEL, (xdrproc_t)xdr_gl_cancel_t,
                      &in, (xdrproc_t)xdr_gl_answer_t, &out, SUBMIT_MS);
      reply_answer (call, rc, &out, &owners[i]);
      xdr_free ((xdrproc_t)xdr_gl_answer_t, (void *)&out);
      rpcc_close (&r);
    }
  else
    reply_json (call, 200, view);
}

/* The same view of every domain, by domain. */
static void
all_domains (admin_t *a, httpd_call_t *call, const char *what)
{
  owner_t owners[16];
  int n = list_owners (a, owners, 16);
  json_t *out = json_object ();

  for (int i = 0; i < n; i++)
    {
      json_t *v = ask_view (&owners[i], what, 0);
      json_object_set_new (out, owners[i].domain, v ? v : json_null ());
    }
  reply_json (call, 200, out);
}

static void
cordon (admin_t *a, httpd_call_t *call, const char *worker)
{
  const char *on = httpd_query (call, "on");
  owner_t owners[16];
  int n = list_owners (a, owners, 16);
  gl_cordon_t in = { (char *)worker, on && !strcmp (on, "1") };

  if (strlen (worker) > 63 || !on || (strcmp (on, "0") && strcmp (on, "1")))
    {
      reply_error (call, 400, "invalid", "on is not 0 or 1", 0);
      return;
    }
  for (int i = 0; i < n; i++)
    {
      gl_answer_t out = { 0 };
      rpcc_t r = { 0 };
      gl_code_t rc = rpcc_call (&r, owners[i].rpc, GL_CORDON,
                                (xdrproc_t)xdr_gl_cordon_t, &in,
                                (xdrproc_t)xdr_gl_answer_t, &out, SUBMIT_MS);
      int found = rc || out.status != GL_NOT_FOUND;

      if (found)
        reply_answer (call, rc, &out, &owners[i]);
      xdr_free ((xdrproc_t)xdr_gl_answer_t, (void *)&out);
      rpcc_close (&r);
      if (found)
        return;
    }
  reply_error (call, 404, "not_found", "no such worker", 0);
}

static void
show_config (admin_t *a, httpd_call_t *call)
{
  json_t *j;

  pthread_mutex_lock (&a->lock);
  j = json_deep_copy (a->doc.json);
  pthread_mutex_unlock (&a->lock);
  reply_json (call, 200, j);
}

/* One write of the record. */
static gl_store_status_t
write_record (admin_t *a, uint64_t index, const char *record)
{
  wait_t w = { .lock = PTHREAD_MUTEX_INITIALIZER,
               .cond = PTHREAD_COND_INITIALIZER };

  a->store.cas (a->store.ctx, CONF_KEY, index, record, strlen (record), 0, 0,
                store_done, &w);
  wait_done (&w);
  free (w.data);
  if (w.status == GL_ST_OK)
    adopt (a, record, strlen (record));
  return w.status;
}

/* Carry a change out, one store operation after the other. */
static void
run_change (admin_t *a, change_t *c)
{
  change_op_t op = CHANGE_GET;

  while (op != CHANGE_DONE)
    {
      wait_t w = { 0 };
      gl_store_status_t st;

      if (op == CHANGE_PUT)
        st = write_record (a, c->index, c->record);
      else
        st = read_record (a, 0, &w);
      op = change_took (c, op, st, w.index, w.data ? w.data : "", w.len);
      free (w.data);
    }
  change_free (c);
}

static uint64_t
change_number (const change_t *c)
{
  struct
  {
    gl_ms_t now;
    pid_t pid;
    const void *where;
    const void *stack;
  } salt = { clock_ms (), getpid (), c->text, c };

  return (XXH3_64bits (&salt, sizeof salt) >> 16) + 1;
}

static void
put_config (admin_t *a, httpd_call_t *call, const char *part)
{
  const char *author = httpd_header (call, "From");
  const char *expect = httpd_query (call, "revision");
  const char *check = httpd_query (call, "check");
  change_t c = { .site = strcmp (part, "base") ? part : NULL,
                 .text = call->body ? call->body : "",
                 .author = author ? author : "unknown",
                 .expect = expect ? strtoull (expect, NULL, 10) : CHANGE_ANY,
                 .check = check && !strcmp (check, "1") };

  c.id = change_number (&c);
  run_change (a, &c);
  if (c.code)
    reply_error (call, http_status (c.code), gl_code_name (c.code), c.err,
                 c.code == GL_RETRY ? 5000 : 0);
  else
    reply_json (call, 200,
                json_pack ("{s:s,s:I}", "status", c.check ? "checked" : "ok",
                           "revision", (json_int_t)c.revision));
}

static int
starts (const char *path, const char *prefix, const char **rest)
{
  size_t n = strlen (prefix);

  if (strncmp (path, prefix, n))
    return 0;
  *rest = path + n;
  return 1;
}

static void
get_call (admin_t *a, httpd_call_t *call)
{
  const char *rest;

  if (!strcmp (call->path, "/v1/nodes"))
    reply_json (call, 200, nodes_json (a));
  else if (!strcmp (call->path, "/v1/config"))
    show_config (a, call);
  else if (starts (call->path, "/v1/jobs/", &rest))
    one_job (a, call, rest);
  else if (!strcmp (call->path, "/v1/jobs")
           || !strcmp (call->path, "/v1/workers")
           || !strcmp (call->path, "/v1/queues")
           || !strcmp (call->path, "/v1/summary")
           || !strcmp (call->path, "/v1/waits"))
    all_domains (a, call, call->path + 4);
  else
    reply_error (call, 404, "not_found", "no such resource", 0);
}

static void
http_call (void *ctx, httpd_call_t *call)
{
  admin_t *a = ctx;
  const char *rest;

  if (!strcmp (call->method, "GET"))
    get_call (a, call);
  else if (!strcmp (call->method, "POST") && !strcmp (call->path, "/v1/jobs"))
    submit (a, call);
  else if (!strcmp (call->method, "DELETE")
           && starts (call->path, "/v1/jobs/", &rest))
    one_job (a, call, rest);
  else if (!strcmp (call->method, "POST")
           && starts (call->path, "/v1/cordon/", &rest))
    cordon (a, call, rest);
  else if (!strcmp (call->method, "PUT")
           && starts (call->path, "/v1/config/", &rest))
    put_config (a, call, rest);
  else
    reply_error (call, 405, "bad_method", "no such method here", 0);
}

/* ---- start and stop ---- */

static void
stop_asked (void *ctx)
{
  admin_t *a = ctx;

  ck_pr_store_uint (&a->quit, 1);
  if (write (a->pipe[1], "q", 1) != 1)
    _exit (1);
}

static int
start (admin_t *a)
{
  const settings_t *s = &a->settings;
  pthread_t t;

  if (!s->admin_http[0] || pipe (a->pipe) || daemon_signals (stop_asked, a)
      || pthread_mutex_init (&a->lock, NULL) || conf_doc_load (&a->doc, "", 0))
    return -1;
  a->http = httpc_new (0);
  if (!a->http || store_http (&a->store, a->http, s->platform))
    return -1;
  a->rpc = rpcd_new (s->admin_rpc, procs, a);
  a->server
      = httpd_new (s->admin_http, BODY_MAX, CONNECTIONS_MAX, 0, http_call, a);
  if (!a->rpc || !a->server)
    {
      log_error ("cannot listen on %s or %s", s->admin_rpc, s->admin_http);
      return -1;
    }
  if (pthread_create (&t, NULL, watch, a) || pthread_detach (t)
      || pthread_create (&t, NULL, gossip, a) || pthread_detach (t))
    return -1;
  return 0;
}

int
main (int argc, char **argv)
{
  static admin_t a;
  char c;
  int rc = daemon_options (argc, argv, "gl-admin", &a.settings);

  if (rc)
    return rc - 1;
  if (start (&a))
    {
      log_error ("cannot start");
      return 1;
    }
  log_info ("serving operators on %s", a.settings.admin_http);
  while (read (a.pipe[0], &c, 1) < 0)
    continue;
  httpd_quiesce (a.server);
  for (int i = 0; i < DRAIN_MS / 10 && httpd_open (a.server); i++)
    usleep (10000);
  log_info ("stopped");
  logs_close ();
  return 0;
}
