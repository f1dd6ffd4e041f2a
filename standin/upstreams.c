/*
 * upstreams.c -- stand-in for many upstream instances in one process
 *
 *   /u/NAME/healthz   200, or 503 while leaving
 *   /u/NAME/...       answered after --work-ms with the instance's name, the
 *                     path and the length of the body
 *   /u/NAME/bytes/N   the same with a response body of N bytes
 *   POST /fault?instance=NAME&kind=K&ms=N
 *     leave   refuses new requests for N ms; those in progress end normally
 *     dead    sends no response for N ms
 *     silent  sends no response on connections made before now
 *   GET /truth        counts of requests run and refused, of requests whose
 *                     idempotency key had been run before, and of requests
 *                     that arrived more than 3 s after the start of "leave"
 *
 * An instance runs SLOTS requests at once and refuses more, with a Not-Run
 * header.
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
#define DELAYED_MAX 8192
#define KEYS_MAX 65536
/* Longest response body that a request may ask for. */
#define BYTES_MAX 16777216
/* Interval at which delayed requests are checked, microseconds. */
#define TICK_US 1000
/* Time after which a request that a fault leaves without its response is
   answered with 504, milliseconds. */
#define NO_RESPONSE_MS 20000

/**
 * struct instance_t - one upstream instance
 * @slots, @busy: requests that it can run at once, and runs now
 * @leave_until, @leave_since: end and start of the fault "leave", clock_ms
 * @dead_until: end of the fault "dead", clock_ms
 * @silent_before: requests on connections made before this clock_ms get no
 *   response
 */
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

/**
 * struct delayed_t - a request that is answered at @until
 * @inst: the instance that runs it; NULL for a request that a fault leaves
 *   without its response
 */
typedef struct
{
  httpd_call_t *call;
  instance_t *inst;
  gl_ms_t until;
} delayed_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static instance_t instances[INSTANCES_MAX];
static int ninstances;
static delayed_t delayed[DELAYED_MAX];
static int ndelayed;
static char *keys[KEYS_MAX];
static int nkeys;
static unsigned long long runs;
static unsigned long long refusals;
static unsigned long long repeated_keys;
static unsigned long long late_requests;
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
delay_request (httpd_call_t *call, instance_t *inst, gl_ms_t until)
{
  if (ndelayed == DELAYED_MAX)
    {
      httpd_text (call, 503, "held\n");
      return;
    }
  delayed[ndelayed++] = (delayed_t){ call, inst, until };
}

/* Count a request whose key has been run before; else remember its key. */
static void
record_key (const char *key)
{
  for (int i = 0; i < nkeys; i++)
    if (!strcmp (keys[i], key))
      {
        repeated_keys++;
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
start_request (httpd_call_t *call, instance_t *inst)
{
  const char *key = httpd_header (call, "Idempotency-Key");
  gl_ms_t now = clock_ms ();

  if (now < inst->leave_until)
    {
      /* Entries have to stop sending to a leaving instance within 3 s. */
      late_requests += now > inst->leave_since + 3000;
      refuse (call, "leaving");
      return;
    }
  if (inst->busy == inst->slots)
    {
      refuse (call, "full");
      return;
    }
  inst->busy++;
  runs++;
  if (key)
    record_key (key);
  delay_request (call, inst, now + work_ms);
}

static void
send_counts (httpd_call_t *call)
{
  httpd_text (call, 200,
              "{\"runs\":%llu,\"refusals\":%llu,\"key_doubles\":%llu,"
              "\"late_after_leaving\":%llu}\n",
              runs, refusals, repeated_keys, late_requests);
}

static void
set_fault (httpd_call_t *call)
{
  const char *name = httpd_query (call, "instance");
  const char *kind = httpd_query (call, "kind");
  const char *ms = httpd_query (call, "ms");
  instance_t *inst = name ? find (name, strlen (name)) : NULL;
  gl_ms_t now = clock_ms ();
  gl_ms_t until = now + (ms ? strtoull (ms, NULL, 10) : 0);

  if (!inst || !kind)
    {
      httpd_text (call, 404, "no such instance\n");
      return;
    }
  if (!strcmp (kind, "leave"))
    {
      inst->leave_until = until;
      inst->leave_since = now;
    }
  else if (!strcmp (kind, "dead"))
    inst->dead_until = until;
  else if (!strcmp (kind, "silent"))
    inst->silent_before = now;
  httpd_text (call, 200, "ok\n");
}

static void
serve (httpd_call_t *call)
{
  const char *name = call->path + 3;
  const char *slash
      = strncmp (call->path, "/u/", 3) ? NULL : strchr (name, '/');
  instance_t *inst = slash ? find (name, (size_t)(slash - name)) : NULL;
  gl_ms_t now = clock_ms ();

  if (!strcmp (call->path, "/truth"))
    send_counts (call);
  else if (!strcmp (call->path, "/fault"))
    set_fault (call);
  else if (!inst)
    httpd_text (call, 404, "no such instance\n");
  else if (now < inst->dead_until
           || httpd_connected_at (call) < inst->silent_before)
    delay_request (call, NULL, now + NO_RESPONSE_MS);
  else if (!strcmp (slash, "/healthz"))
    httpd_text (call, now < inst->leave_until ? 503 : 200, "{\"health\":1}\n");
  else
    start_request (call, inst);
}

static void
on_request (void *ctx, httpd_call_t *call)
{
  (void)ctx;
  pthread_mutex_lock (&lock);
  serve (call);
  pthread_mutex_unlock (&lock);
}

/* Answer a request that has run. */
static void
send_result (httpd_call_t *call, const instance_t *inst)
{
  const char *bytes = strstr (call->path, "/bytes/");
  size_t n = bytes ? strtoul (bytes + 7, NULL, 10) : 0;
  char *body = n && n <= BYTES_MAX ? malloc (n) : NULL;

  if (body)
    httpd_reply (call, 200, "text/plain", memset (body, 'x', n), n);
  else
    httpd_text (call, 200,
                "{\"instance\":\"%s\",\"path\":\"%.200s\",\"bytes\":%zu}\n",
                inst->name, call->path, call->len);
}

/* Answer the delayed requests that are due. */
static void
answer_delayed (void)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < ndelayed; i++)
    {
      delayed_t d = delayed[i];

      if (now < d.until)
        continue;
      delayed[i--] = delayed[--ndelayed];
      if (!d.inst)
        {
          httpd_text (d.call, 504, "\n");
          continue;
        }
      d.inst->busy--;
      send_result (d.call, d.inst);
    }
}

/* Add the instances of "SERVICE,DOMAIN,COUNT,SLOTS" and register them with the
   platform.  Returns 0 on success. */
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
      instance_t *inst = &instances[ninstances];
      char addr[128];

      snprintf (inst->name, sizeof inst->name, "%.20s-u%d", domain,
                ninstances++);
      inst->slots = slots;
      snprintf (addr, sizeof addr, "http://%s/u/%s", listen_addr, inst->name);
      json_array_append_new (list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}",
                                              "name", inst->name, "role",
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
  if (!listen_addr
      || !httpd_new (listen_addr, 16777216, 4000, 1, on_request, NULL))
    goto usage;
  for (;;)
    {
      usleep (TICK_US);
      pthread_mutex_lock (&lock);
      answer_delayed ();
      pthread_mutex_unlock (&lock);
    }

usage:
  fprintf (stderr,
           "usage: %s --listen IP:PORT --platform URL [--work-ms N]\n"
           "  --group SERVICE,DOMAIN,COUNT,SLOTS ...\n",
           argv[0]);
  return 2;
}
