/*
 * workers.c -- stand-in for many workers of the platform in one process
 *
 *   POST /w/NAME/call          as src/workhttp.c describes
 *   POST /fault?worker=NAME&kind=kill|pause&ms=N
 *   GET  /truth                what runs, and every broken promise
 *
 * Being one process, it sees at once when a task runs in two places.  A
 * task runs for about its declared time; one whose name begins with "fail"
 * fails, and one that declares none runs until it is stopped.
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
#define HELD_MAX 4096
#define TICK_US 10000

typedef struct
{
  wcore_t core;
  gl_ms_t down_until;
  gl_ms_t paused_until;
} worker_t;

typedef struct
{
  httpd_call_t *call;
  worker_t *w;
  gl_wcall_t msg;
  gl_ms_t until;
} held_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static worker_t *workers[WORKERS_MAX];
static int nworkers;
static held_t held[HELD_MAX];
static int nheld;
static uint64_t boots;
static unsigned long long doubled;
static unsigned long long calls;
static const char *platform;
static const char *listen_addr;

static void
plan (void *ctx, const wcore_t *w, const gl_start_t *s, uint64_t *run_ms,
      gl_outcome_t *will)
{
  (void)ctx;
  for (int i = 0; i < nworkers; i++)
    if (&workers[i]->core != w
        && wcore_runs (&workers[i]->core, s->task.job, s->task.index)
        && clock_ms () < workers[i]->core.not_after)
      doubled++;
  /* Between half and one and a half times what was declared. */
  *run_ms = s->runtime_s
                ? s->runtime_s * (500 + (s->task.job + s->task.index) % 1000)
                : 0;
  if (!strncmp (s->name, "fail", 4))
    {
      *run_ms = 200;
      *will = GL_OUT_FAILED;
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
reply (httpd_call_t *call, gl_wreply_t *r)
{
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_wreply_t, r, &len);

  httpd_reply (call, 200, "application/octet-stream", data, len);
  codec_free ((xdrproc_t)xdr_gl_wreply_t, r);
}

static void
hold (httpd_call_t *call, worker_t *w, const gl_wcall_t *msg, gl_ms_t until)
{
  if (nheld == HELD_MAX)
    {
      httpd_text (call, 503, "held\n");
      return;
    }
  held[nheld++] = (held_t){ call, w, *msg, until };
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
      && !wcore_news (&w->core, msg.seen_seq))
    {
      codec_free ((xdrproc_t)xdr_gl_wreply_t, &r);
      hold (call, w, &msg, clock_ms () + msg.hold_ms);
      return;
    }
  reply (call, &r);
  codec_free ((xdrproc_t)xdr_gl_wcall_t, &msg);
}

static void
truth (httpd_call_t *call)
{
  unsigned long long over = 0;
  unsigned long long starts = 0;
  int running = 0;
  int64_t used = 0;
  int64_t total = 0;

  for (int i = 0; i < nworkers; i++)
    {
      wcore_t *c = &workers[i]->core;

      over += c->overfilled;
      starts += c->starts;
      used += c->used.cpus_m;
      total += c->total.cpus_m;
      for (int k = 0; k < c->ntasks; k++)
        running += c->tasks[k].state == GL_WT_RUNNING;
    }
  httpd_text (call, 200,
              "{\"running\":%d,\"starts\":%llu,\"overfilled\":%llu,"
              "\"doubled\":%llu,\"cpus_used\":%.3f,\"calls\":%llu}\n",
              running, starts, over, doubled,
              total ? (double)used / (double)total : 0, calls);
}

static void
fault (httpd_call_t *call)
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
      wcore_boot (&w->core, ++boots);
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
    truth (call);
  else if (!strcmp (call->path, "/fault"))
    fault (call);
  else if (!w)
    httpd_text (call, 404, "no such worker\n");
  else if (clock_ms () < w->down_until)
    httpd_text (call, 502, "down\n");
  else if (clock_ms () < w->paused_until)
    hold (call, NULL, &none, w->paused_until);
  else
    on_call (call, w);
}

static void
take (void *ctx, httpd_call_t *call)
{
  (void)ctx;
  pthread_mutex_lock (&lock);
  serve (call);
  pthread_mutex_unlock (&lock);
}

static void
release (void)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < nheld; i++)
    {
      held_t h = held[i];
      gl_wreply_t r = { 0 };

      if (now < h.until
          && (!h.w || h.w->paused_until > now
              || !wcore_news (&h.w->core, h.msg.seen_seq)))
        continue;
      held[i--] = held[--nheld];
      if (!h.w)
        serve (h.call);
      else if (h.msg.epoch != h.w->core.epoch || now < h.w->down_until)
        httpd_text (h.call, 502, "gone\n");
      else
        {
          wcore_news_reply (&h.w->core, now, &h.msg, &r);
          reply (h.call, &r);
        }
      codec_free ((xdrproc_t)xdr_gl_wcall_t, &h.msg);
    }
}

static void
tick (void)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < nworkers; i++)
    if (now >= workers[i]->paused_until)
      wcore_tick (&workers[i]->core, now);
  release ();
}

/* "DOMAIN,COUNT,A_RACK,CPUS_M,MEMORY_MB,ACCELS" */
static int
add_group (const char *arg)
{
  char domain[32];
  int count;
  int rack;
  gl_res_t res;
  json_t *list = json_array ();
  int rc;

  if (sscanf (arg, "%31[^,],%d,%d,%d,%d,%d", domain, &count, &rack,
              &res.cpus_m, &res.memory_mb, &res.accels)
          != 6
      || count < 1 || rack < 1 || nworkers + count > WORKERS_MAX)
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
      w->core.plan = plan;
      wcore_boot (&w->core, ++boots);
      workers[nworkers++] = w;
      snprintf (addr, sizeof addr, "http://%s/w/%s", listen_addr,
                w->core.name);
      snprintf (rack_name, sizeof rack_name, "%.20s-r%d", domain, i / rack);
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
  boots = clock_ms () * 1000;
  while ((c = getopt_long (argc, argv, "l:p:g:", longs, NULL)) >= 0)
    {
      if (c == 'l')
        listen_addr = optarg;
      else if (c == 'p')
        platform = optarg;
      else if (c != 'g' || !platform || !listen_addr || add_group (optarg))
        goto usage;
    }
  if (!listen_addr || !httpd_new (listen_addr, 1048576, 4000, 1, take, NULL))
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
           "  --group DOMAIN,COUNT,A_RACK,CPUS_M,MEMORY_MB,ACCELS ...\n",
           argv[0]);
  return 2;
}
