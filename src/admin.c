/*
 * admin.c -- the administration daemon: the operators' API
 *
 * Requests about jobs and workers are forwarded by RPC to the active
 * scheduler of the domain concerned; changes of the configuration are made in
 * the configuration record (record.c).  Each HTTP connection has a thread of
 * its own, so a handler may block; every call that a handler makes has a
 * timeout, which a stop shortens, so that the request is answered before the
 * process ends.
 */
#include <ck_pr.h>
#include <jansson.h>
#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "adminint.h"
#include "budget.h"
#include "codec.h"
#include "logs.h"

/* Longest body of an operator's request, bytes. */
#define BODY_MAX 262144
#define CONNECTIONS_MAX 64
/* Bytes of parsed JSON for one of its text: an empty object of 2 characters
   and a comma takes about 250. */
#define PARSED_BYTES 96
/* Arenas of the heap.  With one for each connection's thread, each would keep
   the memory of the largest request that it has had. */
#define ARENAS_MAX 2
/* Timeout of one RPC to a scheduler, milliseconds. */
#define SCHED_RPC_TIMEOUT_MS 4000
/* How long a stop waits for open requests, milliseconds. */
#define DRAIN_MAX_MS 5000
/* Before that, time to send the answers, milliseconds. */
#define ANSWER_MARGIN_MS 500
/* A call that a stop would leave less time is not made, milliseconds. */
#define RPC_TIMEOUT_MIN_MS 20

/* ---- calls to schedulers ---- */

gl_ms_t
admin_rpc_timeout (const admin_t *a, gl_ms_t timeout)
{
  uint64_t end = ck_pr_load_64 (&a->stop_answer_at);
  gl_ms_t now = clock_ms ();

  if (!end)
    return timeout;
  if (now + RPC_TIMEOUT_MIN_MS > end)
    return 0;
  return end - now < timeout ? end - now : timeout;
}

/* Whether a stop leaves no time for another call. */
static int
no_time_left (const admin_t *a)
{
  return !admin_rpc_timeout (a, SCHED_RPC_TIMEOUT_MS);
}

/* Call a scheduler as rpcc_call does; GL_RETRY if a stop leaves no time. */
static gl_code_t
sched_call (const admin_t *a, const owner_t *o, rpcproc_t proc,
            xdrproc_t in_proc, const void *in, xdrproc_t out_proc, void *out)
{
  gl_ms_t timeout = admin_rpc_timeout (a, SCHED_RPC_TIMEOUT_MS);
  rpcc_t r = { 0 };
  gl_code_t rc;

  if (!timeout)
    return GL_RETRY;
  rc = rpcc_call (&r, o->rpc, proc, in_proc, in, out_proc, out, timeout);
  rpcc_close (&r);
  return rc;
}

/* The view @what of the domain's scheduler, see gl_sched_view; NULL if it
   does not answer or has none. */
static json_t *
fetch_view (const admin_t *a, const owner_t *o, const char *what, uint64_t job)
{
  gl_view_ask_t in = { (char *)what, job };
  gl_view_reply_t out = { 0 };
  json_t *j = NULL;

  if (!sched_call (a, o, GL_VIEW, (xdrproc_t)xdr_gl_view_ask_t, &in,
                   (xdrproc_t)xdr_gl_view_reply_t, &out)
      && !out.status)
    j = json_loads (out.json, 0, NULL);
  xdr_free ((xdrproc_t)xdr_gl_view_reply_t, (void *)&out);
  return j;
}

/* Index of the owner whose domain has the job, -1 for none; stores its view of
   the job in *@view. */
static int
find_job (const admin_t *a, const owner_t *o, int n, uint64_t job,
          json_t **view)
{
  for (int i = 0; i < n; i++)
    {
      *view = fetch_view (a, &o[i], "job", job);
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
    httpd_add_header (call, "Retry-After: %u", (retry_ms + 999) / 1000);
  reply_json (call, status,
              json_pack ("{s:s,s:s,s:i}", "error", code, "reason", reason,
                         "retry_ms", (int)retry_ms));
}

/* Reply that a stop left no time to ask the schedulers. */
static void
reply_stopping (httpd_call_t *call)
{
  reply_error (call, 503, "retry", "this daemon is stopping", 2000);
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

/* Reply with the result of an RPC to the scheduler @o: the status @rc of the
   call and, if that is GL_OK, the scheduler's answer. */
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

/* Store the class named @name in *@out; 0, or -1 if there is none. */
static int
parse_class (const char *name, gl_class_t *out)
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

/* Store the integer member @key, or the default if it is absent, in *@out; 0,
   or -1 if it is no integer or out of range. */
static int
get_int (json_t *j, const char *key, int low, int high, int default_value,
         int *out)
{
  json_t *v = json_object_get (j, key);

  *out = default_value;
  if (!v)
    return 0;
  if (!json_is_integer (v) || json_integer_value (v) < low
      || json_integer_value (v) > high)
    return -1;
  *out = (int)json_integer_value (v);
  return 0;
}

/* Fill in @p from a job's JSON object; returns NULL, or what is wrong with
   it.  The strings of @p belong to @j. */
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
  if (parse_class (json_string_value (json_object_get (j, "class")), &p->cls))
    return "class is not urgent, service, gang or batch";
  if (get_int (j, "tasks", 1, GL_TASKS_MAX, 1, &tasks))
    return "tasks is not in 1 to 4096";
  if (get_int (j, "cpus_m", 1, 1024000, 1000, &p->need.cpus_m))
    return "cpus_m is not in 1 to 1024000";
  if (get_int (j, "memory_mb", 0, 16777216, 1024, &p->need.memory_mb))
    return "memory_mb is not in 0 to 16777216";
  if (get_int (j, "accels", 0, 1024, 0, &p->need.accels))
    return "accels is not in 0 to 1024";
  if (get_int (j, "runtime_s", 0, 31536000, 0, &runtime))
    return "runtime_s is not in 0 to 31536000";
  if (get_int (j, "max_attempts", 1, 1000, 5, &attempts))
    return "max_attempts is not in 1 to 1000";
  p->tasks = (u_int)tasks;
  p->runtime_s = (u_int)runtime;
  p->max_attempts = (u_int)attempts;
  return NULL;
}

/* Index of the owner whose domain has the most room for such tasks, -1 if none
   answers: the one with the most free CPUs, less the need of one task for
   each waiting job. */
static int
choose_domain (const admin_t *a, const owner_t *o, int n, const gl_res_t *need)
{
  json_int_t best_room = -1;
  int best = -1;

  for (int i = 0; i < n; i++)
    {
      json_t *j = fetch_view (a, &o[i], "summary", 0);
      json_int_t cpus
          = json_integer_value (json_object_get (j, "free_cpus_m"));
      json_int_t accels
          = json_integer_value (json_object_get (j, "free_accels"));
      json_int_t waiting
          = json_integer_value (json_object_get (j, "jobs_waiting"));
      json_int_t room = cpus - waiting * need->cpus_m;

      if (!j)
        continue;
      json_decref (j);
      if (accels < need->accels)
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

/* Index of the owner of @domain, -1 for none. */
static int
domain_index (const owner_t *o, int n, const char *domain)
{
  for (int i = 0; i < n; i++)
    if (!strcmp (o[i].domain, domain))
      return i;
  return -1;
}

/* The job number that the body gives, or a new one. */
static uint64_t
job_number (json_t *j)
{
  json_t *id = json_object_get (j, "id");
  struct
  {
    gl_ms_t now;
    pid_t pid;
    void *object;
  } salt = { clock_ms (), getpid (), j };

  if (json_is_integer (id) && json_integer_value (id) > 0)
    return (uint64_t)json_integer_value (id);
  /* 48 bits, which JSON readers that use doubles keep exactly. */
  return (XXH3_64bits (&salt, sizeof salt) >> 16) + 1;
}

/**
 * struct submission_t - an operator's job
 * @in: what the scheduler gets; @in.spec is encoded and malloc'd
 * @need: resources of one task
 * @domain: the domain that the operator names, or ""
 * @has_number: the operator gives the job's number
 */
typedef struct
{
  gl_submit_t in;
  gl_res_t need;
  char domain[GL_NAME_LEN + 1];
  int has_number;
} submission_t;

/* Decode the body into @s; returns NULL, or what is wrong with it.  No parsed
   JSON is left, since the calls that follow may take seconds. */
static const char *
decode_submission (const httpd_call_t *call, submission_t *s)
{
  json_t *j = json_loadb (call->body ? call->body : "", call->len, 0, NULL);
  const char *domain = json_string_value (json_object_get (j, "domain"));
  gl_jobspec_t spec = { 0 };
  const char *why = json_is_object (j) ? parse_job (j, &spec)
                                       : "the body is not a JSON object";
  size_t len = 0;

  if (!why)
    {
      snprintf (s->domain, sizeof s->domain, "%s", domain ? domain : "");
      s->need = spec.need;
      s->has_number = json_object_get (j, "id") != NULL;
      s->in.job = job_number (j);
      s->in.spec.spec_val
          = codec_encode ((xdrproc_t)xdr_gl_jobspec_t, &spec, &len);
      s->in.spec.spec_len = (u_int)len;
    }
  json_decref (j);
  return why;
}

static void
handle_submit (admin_t *a, httpd_call_t *call)
{
  owner_t owners[OWNERS_MAX];
  submission_t s = { 0 };
  gl_answer_t out = { 0 };
  size_t cost = call->len * PARSED_BYTES;
  json_t *existing = NULL;
  const char *why;
  gl_code_t rc;
  int n;
  int i;

  if (budget_take (a->budget, cost))
    {
      reply_error (call, 503, "retry", "too much at once", 1000);
      return;
    }
  why = decode_submission (call, &s);
  budget_give (a->budget, cost);
  if (why)
    {
      reply_error (call, 400, "invalid", why, 0);
      goto done;
    }
  n = nodes_owners (a, owners, OWNERS_MAX);
  /* A repeated submission goes to the domain that has the job already. */
  i = s.has_number ? find_job (a, owners, n, s.in.job, &existing) : -1;
  if (i < 0)
    i = s.domain[0] ? domain_index (owners, n, s.domain)
                    : choose_domain (a, owners, n, &s.need);
  if (i < 0 && no_time_left (a))
    {
      reply_stopping (call);
      goto done;
    }
  if (i < 0)
    {
      reply_error (call, 503, "not_owner",
                   s.domain[0] ? "no active scheduler in that domain"
                               : "no active scheduler",
                   2000);
      goto done;
    }
  rc = sched_call (a, &owners[i], GL_SUBMIT, (xdrproc_t)xdr_gl_submit_t, &s.in,
                   (xdrproc_t)xdr_gl_answer_t, &out);
  reply_answer (call, rc, &out, &owners[i]);

done:
  json_decref (existing);
  free (s.in.spec.spec_val);
  xdr_free ((xdrproc_t)xdr_gl_answer_t, (void *)&out);
}

/* GET or DELETE of /v1/jobs/ID. */
static void
handle_job (admin_t *a, httpd_call_t *call, const char *rest)
{
  owner_t owners[OWNERS_MAX];
  int n = nodes_owners (a, owners, OWNERS_MAX);
  uint64_t job = strtoull (rest, NULL, 10);
  json_t *view = NULL;
  int i = find_job (a, owners, n, job, &view);
  gl_cancel_t in = { job };
  gl_answer_t out = { 0 };
  gl_code_t rc;

  if (i < 0 && no_time_left (a))
    reply_stopping (call);
  else if (i < 0)
    reply_error (call, n ? 404 : 503, n ? "not_found" : "not_owner",
                 n ? "no such job" : "no active scheduler", n ? 0 : 2000);
  else if (!strcmp (call->method, "DELETE"))
    {
      json_decref (view);
      rc = sched_call (a, &owners[i], GL_CANCEL, (xdrproc_t)xdr_gl_cancel_t,
                       &in, (xdrproc_t)xdr_gl_answer_t, &out);
      reply_answer (call, rc, &out, &owners[i]);
      xdr_free ((xdrproc_t)xdr_gl_answer_t, (void *)&out);
    }
  else
    reply_json (call, 200, view);
}

/* Reply with the view @what of every domain, keyed by domain; null for a
   domain whose scheduler does not answer. */
static void
reply_all_domains (admin_t *a, httpd_call_t *call, const char *what)
{
  owner_t owners[OWNERS_MAX];
  int n = nodes_owners (a, owners, OWNERS_MAX);
  json_t *out = json_object ();

  for (int i = 0; i < n; i++)
    {
      json_t *v = fetch_view (a, &owners[i], what, 0);
      json_object_set_new (out, owners[i].domain, v ? v : json_null ());
    }
  reply_json (call, 200, out);
}

/* Call the schedulers one after the other until one knows the worker. */
static void
handle_cordon (admin_t *a, httpd_call_t *call, const char *worker)
{
  const char *on = httpd_query (call, "on");
  owner_t owners[OWNERS_MAX];
  int n = nodes_owners (a, owners, OWNERS_MAX);
  gl_cordon_t in = { (char *)worker, on && !strcmp (on, "1") };

  if (strlen (worker) > 63 || !on || (strcmp (on, "0") && strcmp (on, "1")))
    {
      reply_error (call, 400, "invalid", "on is not 0 or 1", 0);
      return;
    }
  for (int i = 0; i < n; i++)
    {
      gl_answer_t out = { 0 };
      gl_code_t rc
          = sched_call (a, &owners[i], GL_CORDON, (xdrproc_t)xdr_gl_cordon_t,
                        &in, (xdrproc_t)xdr_gl_answer_t, &out);
      int found = rc || out.status != GL_NOT_FOUND;

      if (found)
        reply_answer (call, rc, &out, &owners[i]);
      xdr_free ((xdrproc_t)xdr_gl_answer_t, (void *)&out);
      if (found)
        return;
    }
  reply_error (call, 404, "not_found", "no such worker", 0);
}

static void
handle_get_config (admin_t *a, httpd_call_t *call)
{
  json_t *j;

  pthread_mutex_lock (&a->lock);
  j = json_deep_copy (a->doc.json);
  pthread_mutex_unlock (&a->lock);
  reply_json (call, 200, j);
}

static void
handle_put_config (admin_t *a, httpd_call_t *call, const char *part)
{
  const char *author = httpd_header (call, "From");
  const char *expect = httpd_query (call, "revision");
  const char *check = httpd_query (call, "check");
  change_t c = { .site = strcmp (part, "base") ? part : NULL,
                 .text = call->body ? call->body : "",
                 .author = author ? author : "unknown",
                 .expected_revision
                 = expect ? strtoull (expect, NULL, 10) : CHANGE_ANY_REVISION,
                 .check_only = check && !strcmp (check, "1") };

  record_apply_change (a, &c);
  if (c.code)
    reply_error (call, http_status (c.code), gl_code_name (c.code), c.err,
                 c.code == GL_RETRY ? 5000 : 0);
  else
    reply_json (call, 200,
                json_pack ("{s:s,s:I}", "status",
                           c.check_only ? "checked" : "ok", "revision",
                           (json_int_t)c.revision));
}

/* 1 if @path begins with @prefix; stores what follows in *@rest. */
static int
has_prefix (const char *path, const char *prefix, const char **rest)
{
  size_t n = strlen (prefix);

  if (strncmp (path, prefix, n))
    return 0;
  *rest = path + n;
  return 1;
}

static void
handle_get (admin_t *a, httpd_call_t *call)
{
  const char *rest;

  if (!strcmp (call->path, "/v1/nodes"))
    reply_json (call, 200, nodes_json (a));
  else if (!strcmp (call->path, "/v1/config"))
    handle_get_config (a, call);
  else if (has_prefix (call->path, "/v1/jobs/", &rest))
    handle_job (a, call, rest);
  else if (!strcmp (call->path, "/v1/jobs")
           || !strcmp (call->path, "/v1/workers")
           || !strcmp (call->path, "/v1/queues")
           || !strcmp (call->path, "/v1/summary")
           || !strcmp (call->path, "/v1/waits"))
    reply_all_domains (a, call, call->path + 4);
  else
    reply_error (call, 404, "not_found", "no such resource", 0);
}

static void
on_http_request (void *ctx, httpd_call_t *call)
{
  admin_t *a = ctx;
  const char *rest;

  if (!strcmp (call->method, "GET"))
    handle_get (a, call);
  else if (!strcmp (call->method, "POST") && !strcmp (call->path, "/v1/jobs"))
    handle_submit (a, call);
  else if (!strcmp (call->method, "DELETE")
           && has_prefix (call->path, "/v1/jobs/", &rest))
    handle_job (a, call, rest);
  else if (!strcmp (call->method, "POST")
           && has_prefix (call->path, "/v1/cordon/", &rest))
    handle_cordon (a, call, rest);
  else if (!strcmp (call->method, "PUT")
           && has_prefix (call->path, "/v1/config/", &rest))
    handle_put_config (a, call, rest);
  else
    reply_error (call, 405, "bad_method", "no such method here", 0);
}

/* ---- start and stop ---- */

static void
on_stop_signal (void *ctx)
{
  admin_t *a = ctx;

  if (!ck_pr_load_64 (&a->stop_answer_at))
    ck_pr_store_64 (&a->stop_answer_at,
                    clock_ms () + DRAIN_MAX_MS - ANSWER_MARGIN_MS);
  ck_pr_store_uint (&a->stopping, 1);
  if (write (a->stop_pipe[1], "q", 1) != 1)
    _exit (1);
}

static int
start (admin_t *a)
{
  const settings_t *s = &a->settings;
  httpd_limits_t limits;

  if (!s->admin_http[0] || pipe (a->stop_pipe)
      || daemon_signals (on_stop_signal, a)
      || pthread_mutex_init (&a->lock, NULL))
    return -1;
  a->http = httpc_new (0);
  if (!a->http || store_http_init (&a->store, a->http, s->platform))
    return -1;
  if (record_start (a) || nodes_serve (a))
    {
      log_error ("cannot listen on %s", s->admin_rpc);
      return -1;
    }
  mallopt (M_ARENA_MAX, ARENAS_MAX);
  a->budget = budget_new ((size_t)s->admin_memory_mb << 20);
  httpd_limits_init (&limits, BODY_MAX, CONNECTIONS_MAX);
  limits.budget = a->budget;
  a->server = a->budget
                  ? httpd_open (s->admin_http, &limits, 0, on_http_request, a)
                  : NULL;
  if (!a->server)
    log_error ("cannot listen on %s", s->admin_http);
  return a->server ? 0 : -1;
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
  while (read (a.stop_pipe[0], &c, 1) < 0)
    continue;
  httpd_quiesce (a.server);
  while (httpd_connections (a.server)
         && clock_ms () < a.stop_answer_at + ANSWER_MARGIN_MS)
    usleep (10000);
  log_info ("stopped, %u answers cut", httpd_open_requests (a.server));
  logs_close ();
  return 0;
}
