/*
 * workers.c -- stand-in for many workers of the platform in one process
 *
 *   POST /w/NAME/call          as src/workhttp.c describes
 *   POST /fault?worker=NAME&kind=kill|pause&ms=N
 *     kill    the worker loses its tasks and is down for N ms
 *     pause   the worker does nothing for N ms, then continues
 *   GET  /truth                tasks running, starts, calls, share of CPUs in
 *                              use, and violations: starts that overfilled a
 *                              worker, starts of a task that runs elsewhere
 *
 * As one process holds all workers, it notices at once when a task is started
 * on two of them.  A task runs for about its declared time, or until it is
 * stopped if none is declared; a task whose name begins with "fail" fails.
 */
#include <getopt.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "codec.h"
#include "httpd.h"
#include "loop.h"
#include "register.h"
#include "wcore.h"

#define WORKERS_MAX 1024
#define DELAYED_MAX 4096
/* Interval of the workers' clock, microseconds. */
#define TICK_US 10000

/**
 * struct worker_t - one worker
 * @down_until, @paused_until: end of its faults, clock_ms
 */
typedef struct
{
  wcore_t core;
  gl_ms_t down_until;
  gl_ms_t paused_until;
} worker_t;

/**
 * struct delayed_t - a call that is answered later
 * @w: worker whose long poll it is; NULL for a call to a paused worker, which
 *   is served at @until
 * @msg: the long poll
 * @until: when it is answered at the latest, clock_ms
 */
typedef struct
{
  httpd_call_t *call;
  worker_t *w;
  gl_wcall_t msg;
  gl_ms_t until;
} delayed_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static worker_t *workers[WORKERS_MAX];
static int nworkers;
static delayed_t delayed[DELAYED_MAX];
static int ndelayed;
/* Boot number given last.  Starts from the clock, so that a restart of this
   process does not use a number again. */
static uint64_t last_boot;
/* Starts of a task that was running on another worker under its lease. */
static unsigned long long doubled_tasks;
static unsigned long long calls;
static const char *platform;
static const char *listen_addr;

static void
plan_attempt (void *ctx, const wcore_t *w, const gl_start_t *s,
              uint64_t *run_ms, gl_outcome_t *planned_outcome)
{
  (void)ctx;
  for (int i = 0; i < nworkers; i++)
    if (&workers[i]->core != w
        && wcore_find_running (&workers[i]->core, s->task.job, s->task.index)
        && clock_ms () < workers[i]->core.not_after)
      doubled_tasks++;
  /* 0.5 to 1.5 times the declared run time. */
  *run_ms = s->runtime_s
                ? s->runtime_s * (500 + (s->task.job + s->task.index) % 1000)
                : 0;
  if (!strncmp (s->name, "fail", 4))
    {
      *run_ms = 200;
      *planned_outcome = GL_OUT_FAILED;
    }
}

static worker_t *
find (const char *name, size_t n)
{
  for (int i = 0; i < nworkers; i++)
    if (!strncmp (workers[i]->core.name, name, n) && !workers[i]->core.name[n])
      return workers[i];
  return NULL;
}

static void
send_reply (httpd_call_t *call, gl_wreply_t *r)
{
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_wreply_t, r, &len);

  httpd_reply (call, 200, "application/octet-stream", data, len);
  codec_free ((xdrproc_t)xdr_gl_wreply_t, r);
}

static void
delay_call (httpd_call_t *call, worker_t *w, const gl_wcall_t *msg,
            gl_ms_t until)
{
  if (ndelayed == DELAYED_MAX)
    {
      httpd_text (call, 503, "held\n");
      return;
    }
  delayed[ndelayed++] = (delayed_t){ call, w, *msg, until };
}

static void
on_call (httpd_call_t *call, worker_t *w)
{
  gl_wcall_t msg = { 0 };
  gl_wreply_t r = { 0 };

  calls++;
  if (codec_decode ((xdrproc_t)xdr_gl_wcall_t, &msg, call->body, call->len))
    {
      httpd_text (call, 400, "not a call\n");
      return;
    }
  wcore_call (&w->core, clock_ms (), &msg, &r);
  if (msg.hold_ms && r.status == GL_W_OK
      && !wcore_has_changes (&w->core, msg.seen_seq))
    {
      codec_free ((xdrproc_t)xdr_gl_wreply_t, &r);
      delay_call (call, w, &msg, clock_ms () + msg.hold_ms);
      return;
    }
  send_reply (call, &r);
  codec_free ((xdrproc_t)xdr_gl_wcall_t, &msg);
}

static void
send_counts (httpd_call_t *call)
{
  unsigned long long overfilled = 0;
  unsigned long long starts = 0;
  int running = 0;
  int64_t used = 0;
  int64_t total = 0;

  for (int i = 0; i < nworkers; i++)
    {
      wcore_t *c = &workers[i]->core;

      overfilled += c->overfilled;
      starts += c->starts;
      used += c->used.cpus_m;
      total += c->total.cpus_m;
      for (int k = 0; k < c->ntasks; k++)
        running += c->tasks[k].state == GL_WT_RUNNING;
    }
  httpd_text (call, 200,
              "{\"running\":%d,\"starts\":%llu,\"overfilled\":%llu,"
              "\"doubled\":%llu,\"cpus_used\":%.3f,\"calls\":%llu}\n",
              running, starts, overfilled, doubled_tasks,
              total ? (double)used / (double)total : 0, calls);
}

static void
set_fault (httpd_call_t *call)
{
  const char *name = httpd_query (call, "worker");
  const char *kind = httpd_query (call, "kind");
  const char *ms = httpd_query (call, "ms");
  worker_t *w = name ? find (name, strlen (name)) : NULL;
  gl_ms_t until = clock_ms () + (ms ? strtoull (ms, NULL, 10) : 0);

  if (!w || !kind)
    {
      httpd_text (call, 404, "no such worker\n");
      return;
    }
  if (!strcmp (kind, "kill"))
    {
      wcore_boot (&w->core, ++last_boot);
      w->down_until = until;
    }
  else
    w->paused_until = until;
  httpd_text (call, 200, "ok\n");
}

static void
serve (httpd_call_t *call)
{
  const char *name = call->path + 3;
  const char *slash
      = strncmp (call->path, "/w/", 3) ? NULL : strchr (name, '/');
  worker_t *w = slash ? find (name, (size_t)(slash - name)) : NULL;
  gl_wcall_t none = { 0 };

  if (!strcmp (call->path, "/truth"))
    send_counts (call);
  else if (!strcmp (call->path, "/fault"))
    set_fault (call);
  else if (!w)
    httpd_text (call, 404, "no such worker\n");
  else if (clock_ms () < w->down_until)
    httpd_text (call, 502, "down\n");
  else if (clock_ms () < w->paused_until)
    delay_call (call, NULL, &none, w->paused_until);
  else
    on_call (call, w);
}

static void
on_request (void *ctx, httpd_call_t *call)
{
  (void)ctx;
  pthread_mutex_lock (&lock);
  serve (call);
  pthread_mutex_unlock (&lock);
}

/* Answer or serve the delayed calls whose wait is over. */
static void
answer_delayed (void)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < ndelayed; i++)
    {
      delayed_t d = delayed[i];
      gl_wreply_t r = { 0 };

      if (now < d.until
          && (!d.w || d.w->paused_until > now
              || !wcore_has_changes (&d.w->core, d.msg.seen_seq)))
        continue;
      delayed[i--] = delayed[--ndelayed];
      if (!d.w)
        serve (d.call);
      else if (d.msg.epoch != d.w->core.epoch || now < d.w->down_until)
        httpd_text (d.call, 502, "gone\n");
      else
        {
          wcore_changes_reply (&d.w->core, now, &d.msg, &r);
          send_reply (d.call, &r);
        }
      codec_free ((xdrproc_t)xdr_gl_wcall_t, &d.msg);
    }
}

static void
tick (void)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < nworkers; i++)
    if (now >= workers[i]->paused_until)
      wcore_tick (&workers[i]->core, now);
  answer_delayed ();
}

/* Add the workers of "DOMAIN,COUNT,PER_RACK,CPUS_M,MEMORY_MB,ACCELS" and
   register them with the platform.  Returns 0 on success. */
static int
add_group (const char *arg)
{
  char domain[32];
  int count;
  int per_rack;
  gl_res_t res;
  json_t *list = json_array ();
  int rc;

  if (sscanf (arg, "%31[^,],%d,%d,%d,%d,%d", domain, &count, &per_rack,
              &res.cpus_m, &res.memory_mb, &res.accels)
          != 6
      || count < 1 || per_rack < 1 || nworkers + count > WORKERS_MAX)
    return -1;
  for (int i = 0; i < count; i++)
    {
      worker_t *w = calloc (1, sizeof *w);
      char addr[128];
      char rack_name[64];

      if (!w)
        return -1;
      snprintf (w->core.name, sizeof w->core.name, "%.20s-w%d", domain,
                nworkers);
      w->core.total = res;
      w->core.plan = plan_attempt;
      wcore_boot (&w->core, ++last_boot);
      workers[nworkers++] = w;
      snprintf (addr, sizeof addr, "http://%s/w/%s", listen_addr,
                w->core.name);
      snprintf (rack_name, sizeof rack_name, "%.20s-r%d", domain,
                i / per_rack);
      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", w->core.name,
                           "role", "worker", "domain", domain, "rack",
                           rack_name, "addr", addr, "state", "live"));
    }
  rc = register_vms (platform, domain, list);
  json_decref (list);
  return rc;
}

int
main (int argc, char **argv)
{
  static const struct option longs[]
      = { { "listen", required_argument, NULL, 'l' },
          { "platform", required_argument, NULL, 'p' },
          { "group", required_argument, NULL, 'g' },
          { NULL, 0, NULL, 0 } };
  int c;

  signal (SIGPIPE, SIG_IGN);
  last_boot = clock_ms () * 1000;
  while ((c = getopt_long (argc, argv, "l:p:g:", longs, NULL)) >= 0)
    {
      if (c == 'l')
        listen_addr = optarg;
      else if (c == 'p')
        platform = optarg;
      else if (c != 'g' || !platform || !listen_addr || add_group (optarg))
        goto usage;
    }
  if (!listen_addr
      || !httpd_new (listen_addr, 1048576, 4000, 1, on_request, NULL))
    goto usage;
  for (;;)
    {
      usleep (TICK_US);
      pthread_mutex_lock (&lock);
      tick ();
      pthread_mutex_unlock (&lock);
    }

usage:
  fprintf (stderr,
           "usage: %s --listen IP:PORT --platform URL\n"
           "  --group DOMAIN,COUNT,PER_RACK,CPUS_M,MEMORY_MB,ACCELS ...\n",
           argv[0]);
  return 2;
}
