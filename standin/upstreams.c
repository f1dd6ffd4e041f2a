/*
 * upstreams.c -- stand-in for many upstream instances in one process
 *
 *   /u/NAME/healthz   200, or 503 while leaving
 *   /u/NAME/...       works for --work-ms, answers who served what
 *   POST /fault?instance=NAME&kind=K&ms=N
 *     leave   refuses as leaving, finishes what it has
 *     dead    answers nothing
 *     silent  answers nothing on connections made before now
 *   GET /truth        runs, refusals, keys that ran more than once
 *
 * An instance serves SLOTS requests at once and refuses more, unrun.
 */
#include <getopt.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "httpd.h"
#include "loop.h"
#include "register.h"

#define INSTANCES_MAX 512
#define HELD_MAX 8192
#define KEYS_MAX 65536
#define TICK_US 1000
#define SILENT_MS 20000

typedef struct
{
  char name[64];
  int slots;
  int busy;
  gl_ms_t leave_until;
  gl_ms_t leave_since;
  gl_ms_t dead_until;
  gl_ms_t silent_before;
} instance_t;

typedef struct
{
  httpd_call_t *call;
  instance_t *n;
  gl_ms_t until;
} held_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static instance_t instances[INSTANCES_MAX];
static int ninstances;
static held_t held[HELD_MAX];
static int nheld;
static char *keys[KEYS_MAX];
static int nkeys;
static unsigned long long runs;
static unsigned long long refusals;
static unsigned long long key_doubles;
static unsigned long long late;
static unsigned long long work_ms = 20;
static const char *platform;
static const char *listen_addr;

static instance_t *
find (const char *name, size_t n)
{
  for (int i = 0; i < ninstances; i++)
    if (!strncmp (instances[i].name, name, n) && !instances[i].name[n])
      return &instances[i];
  return NULL;
}

static void
hold (httpd_call_t *call, instance_t *n, gl_ms_t until)
{
  if (nheld == HELD_MAX)
    {
      httpd_text (call, 503, "held\n");
      return;
    }
  held[nheld++] = (held_t){ call, n, until };
}

static void
note_key (const char *key)
{
  for (int i = 0; i < nkeys; i++)
    if (!strcmp (keys[i], key))
      {
        key_doubles++;
        return;
      }
  if (nkeys < KEYS_MAX)
    keys[nkeys++] = strdup (key);
}

static void
refuse (httpd_call_t *call, const char *why)
{
  refusals++;
  httpd_add_header (call, "Not-Run: 1");
  httpd_text (call, 503, "{\"refused\":\"%s\"}\n", why);
}

static void
run (httpd_call_t *call, instance_t *n)
{
  const char *key = httpd_header (call, "Idempotency-Key");
  gl_ms_t now = clock_ms ();

  if (now < n->leave_until)
    {
      /* The bound on new work for a leaving instance, 3 s. */
      late += now > n->leave_since + 3000;
      refuse (call, "leaving");
      return;
    }
  if (n->busy == n->slots)
    {
      refuse (call, "full");
      return;
    }
  n->busy++;
  runs++;
  if (key)
    note_key (key);
  hold (call, n, now + work_ms);
}

static void
truth (httpd_call_t *call)
{
  httpd_text (call, 200,
              "{\"runs\":%llu,\"refusals\":%llu,\"key_doubles\":%llu,"
              "\"late_after_leaving\":%llu}\n",
              runs, refusals, key_doubles, late);
}

static void
fault (httpd_call_t *call)
{
  const char *name = httpd_query (call, "instance");
  const char *kind = httpd_query (call, "kind");
  const char *ms = httpd_query (call, "ms");
  instance_t *n = name ? find (name, strlen (name)) : NULL;
  gl_ms_t now = clock_ms ();
  gl_ms_t until = now + (ms ? strtoull (ms, NULL, 10) : 0);

  if (!n || !kind)
    {
      httpd_text (call, 404, "no such instance\n");
      return;
    }
  if (!strcmp (kind, "leave"))
    {
      n->leave_until = until;
      n->leave_since = now;
    }
  else if (!strcmp (kind, "dead"))
    n->dead_until = until;
  else if (!strcmp (kind, "silent"))
    n->silent_before = now;
  httpd_text (call, 200, "ok\n");
}

static void
serve (httpd_call_t *call)
{
  const char *name = call->path + 3;
  const char *slash
      = strncmp (call->path, "/u/", 3) ? NULL : strchr (name, '/');
  instance_t *n = slash ? find (name, (size_t)(slash - name)) : NULL;
  gl_ms_t now = clock_ms ();

  if (!strcmp (call->path, "/truth"))
    truth (call);
  else if (!strcmp (call->path, "/fault"))
    fault (call);
  else if (!n)
    httpd_text (call, 404, "no such instance\n");
  else if (now < n->dead_until || httpd_connected_at (call) < n->silent_before)
    hold (call, NULL, now + SILENT_MS);
  else if (!strcmp (slash, "/healthz"))
    httpd_text (call, now < n->leave_until ? 503 : 200, "{\"health\":1}\n");
  else
    run (call, n);
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

      if (now < h.until)
        continue;
      held[i--] = held[--nheld];
      if (!h.n)
        {
          httpd_text (h.call, 504, "\n");
          continue;
        }
      h.n->busy--;
      httpd_text (h.call, 200,
                  "{\"instance\":\"%s\",\"path\":\"%.200s\",\"bytes\":%zu}\n",
                  h.n->name, h.call->path, h.call->len);
    }
}

/* "SERVICE,DOMAIN,COUNT,SLOTS" */
static int
add_group (const char *arg)
{
  char service[32];
  char domain[32];
  int count;
  int slots;
  json_t *list = json_array ();
  int rc;

  if (sscanf (arg, "%31[^,],%31[^,],%d,%d", service, domain, &count, &slots)
          != 4
      || count < 1 || slots < 1 || ninstances + count > INSTANCES_MAX)
    return -1;
  for (int i = 0; i < count; i++)
    {
      instance_t *n = &instances[ninstances];
      char addr[128];

      snprintf (n->name, sizeof n->name, "%.20s-u%d", domain, ninstances++);
      n->slots = slots;
      snprintf (addr, sizeof addr, "http://%s/u/%s", listen_addr, n->name);
      json_array_append_new (list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}",
                                              "name", n->name, "role",
                                              "upstream", "service", service,
                                              "domain", domain, "rack", "r0",
                                              "addr", addr, "state", "live"));
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
          { "work-ms", required_argument, NULL, 'w' },
          { "group", required_argument, NULL, 'g' },
          { NULL, 0, NULL, 0 } };
  int c;

  signal (SIGPIPE, SIG_IGN);
  while ((c = getopt_long (argc, argv, "l:p:w:g:", longs, NULL)) >= 0)
    {
      if (c == 'l')
        listen_addr = optarg;
      else if (c == 'p')
        platform = optarg;
      else if (c == 'w')
        work_ms = strtoull (optarg, NULL, 10);
      else if (c != 'g' || !platform || !listen_addr || add_group (optarg))
        goto usage;
    }
  if (!listen_addr || !httpd_new (listen_addr, 16777216, 4000, 1, take, NULL))
    goto usage;
  for (;;)
    {
      usleep (TICK_US);
      pthread_mutex_lock (&lock);
      release ();
      pthread_mutex_unlock (&lock);
    }

usage:
  fprintf (stderr,
           "usage: %s --listen IP:PORT --platform URL [--work-ms N]\n"
           "  --group SERVICE,DOMAIN,COUNT,SLOTS ...\n",
           argv[0]);
  return 2;
}
