/*
 * platform.c -- stand-in for the platform: key-value service and VM list
 *
 * Serves what src/storehttp.c and src/listhttp.c describe.  It may listen
 * on several addresses, each with a name, so that one of them can be cut:
 *
 *   POST /fault?kind=K&via=NAME&ms=N
 *     lose   writes take effect, their answers do not come
 *     down   calls are refused
 *     cut    calls get no answer and have no effect
 *     stall  calls are answered when the time is over
 *   POST /vms/DOMAIN   add or replace entries of a list, by name
 *   GET /stats         calls so far
 *
 * Limits of the brief: values up to 1 MB, WRITES_MAX and READS_MAX calls a
 * second; more are refused.
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
#include "kvcore.h"
#include "loop.h"

#define WRITES_MAX 600
#define READS_MAX 2000
#define HELD_MAX 1024
#define TICK_US 5000
#define GATES_MAX 16
/* What a call without an answer waits before the connection is dropped. */
#define SILENT_MS 6000

typedef struct
{
  char name[32];
  httpd_t *server;
  gl_ms_t lose_until;
  gl_ms_t down_until;
  gl_ms_t cut_until;
  gl_ms_t stall_until;
} gate_t;

/* A call that waits: for a key to change, or for a time. */
typedef struct
{
  httpd_call_t *call;
  char key[96];
  uint64_t index;
  gl_ms_t until;
  int resume;
  gate_t *gate;
} held_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static kv_t kv;
static gate_t gates[GATES_MAX];
static int ngates;
static held_t held[HELD_MAX];
static int nheld;
static gl_ms_t second;
static int writes;
static int reads;
static unsigned long long total_gets;
static unsigned long long total_puts;
static unsigned long long total_waits;
static unsigned long long total_refused;

static void serve (gate_t *g, httpd_call_t *call);

static void
hold (gate_t *g, httpd_call_t *call, const char *key, uint64_t index,
      gl_ms_t until, int resume)
{
  held_t *h;

  if (nheld == HELD_MAX)
    {
      httpd_text (call, 503, "held\n");
      return;
    }
  h = &held[nheld++];
  h->call = call;
  snprintf (h->key, sizeof h->key, "%s", key);
  h->index = index;
  h->until = until;
  h->resume = resume;
  h->gate = g;
}

static void
reply_entry (httpd_call_t *call, const kv_entry_t *e)
{
  char *copy = malloc (e->len + 1);

  memcpy (copy, e->data, e->len);
  httpd_add_header (call, "ETag: \"%llu\"", (unsigned long long)e->index);
  httpd_reply (call, 200, "application/octet-stream", copy, e->len);
}

static uint64_t
tag_of (const char *v)
{
  return v ? strtoull (*v == '"' ? v + 1 : v, NULL, 10) : 0;
}

static int
over_rate (int *count, int max)
{
  gl_ms_t now = clock_ms () / 1000;

  if (now != second)
    {
      second = now;
      writes = 0;
      reads = 0;
    }
  return ++*count > max;
}

static void
refuse (httpd_call_t *call, int status)
{
  total_refused++;
  httpd_add_header (call, "Not-Run: 1");
  httpd_text (call, status, "refused\n");
}

static void
get_key (gate_t *g, httpd_call_t *call, const char *key)
{
  const char *prefer = httpd_header (call, "Prefer");
  uint64_t index = tag_of (httpd_header (call, "If-None-Match"));
  kv_entry_t *e;

  if (over_rate (&reads, READS_MAX))
    {
      refuse (call, 429);
      return;
    }
  total_gets++;
  e = kv_get (&kv, key, clock_ms ());
  if (prefer && (e ? e->index : 0) == index && !strncmp (prefer, "wait=", 5))
    {
      total_waits++;
      hold (g, call, key, index,
            clock_ms () + strtoull (prefer + 5, NULL, 10) * 1000, 0);
    }
  else if (e)
    reply_entry (call, e);
  else
    httpd_text (call, 404, "absent\n");
}

static void
put_key (gate_t *g, httpd_call_t *call, const char *key)
{
  const char *ttl = httpd_query (call, "ttl");
  gl_ms_t now = clock_ms ();
  uint64_t index;

  if (call->len > KV_VALUE_MAX)
    {
      refuse (call, 413);
      return;
    }
  if (over_rate (&writes, WRITES_MAX))
    {
      refuse (call, 429);
      return;
    }
  total_puts++;
  index = kv_cas (&kv, key, tag_of (httpd_header (call, "If-Match")),
                  call->body ? call->body : "", call->len,
                  ttl ? now + strtoull (ttl, NULL, 10) * 1000 : 0, now);
  if (now < g->lose_until)
    hold (g, call, "", 0, now + SILENT_MS, 0);
  else if (!index)
    httpd_text (call, 412, "conflict\n");
  else
    {
      httpd_add_header (call, "ETag: \"%llu\"", (unsigned long long)index);
      httpd_reply (call, 200, NULL, NULL, 0);
    }
}

/* ---- VM lists ---- */

static void
merge (json_t *list, json_t *add)
{
  size_t i;
  size_t k;
  json_t *vm;
  json_t *old;

  json_array_foreach (add, i, vm)
  {
    const char *name = json_string_value (json_object_get (vm, "name"));
    int found = 0;

    json_array_foreach (
        list, k,
        old) if (name
                 && !strcmp (
                     name, json_string_value (json_object_get (old, "name"))))
    {
      json_array_set (list, k, vm);
      found = 1;
    }
    if (!found)
      json_array_append (list, vm);
  }
}

static void
add_list (const char *domain, json_t *add)
{
  char key[96];
  kv_entry_t *e;
  json_t *list;
  char *text;

  snprintf (key, sizeof key, "vms/%s", domain);
  e = kv_get (&kv, key, 0);
  list = e ? json_loadb (e->data, e->len, 0, NULL) : json_array ();
  merge (list, add);
  text = json_dumps (list, JSON_COMPACT);
  kv_cas (&kv, key, e ? e->index : 0, text, strlen (text), 0, 0);
  free (text);
  json_decref (list);
}

static void
post_list (httpd_call_t *call, const char *domain)
{
  json_t *add = json_loadb (call->body ? call->body : "", call->len, 0, NULL);

  if (!json_is_array (add))
    {
      httpd_text (call, 400, "not a list\n");
      return;
    }
  add_list (domain, add);
  add_list ("all", add);
  json_decref (add);
  httpd_text (call, 200, "ok\n");
}

/* ---- faults ---- */

static void
post_fault (httpd_call_t *call)
{
  const char *kind = httpd_query (call, "kind");
  const char *via = httpd_query (call, "via");
  const char *ms = httpd_query (call, "ms");
  gl_ms_t until = clock_ms () + (ms ? strtoull (ms, NULL, 10) : 0);

  for (int i = 0; i < ngates; i++)
    {
      gate_t *g = &gates[i];

      if (via && strcmp (via, g->name))
        continue;
      if (!strcmp (kind ? kind : "", "lose"))
        g->lose_until = until;
      else if (!strcmp (kind ? kind : "", "down"))
        g->down_until = until;
      else if (!strcmp (kind ? kind : "", "cut"))
        g->cut_until = until;
      else if (!strcmp (kind ? kind : "", "stall"))
        g->stall_until = until;
    }
  httpd_text (call, 200, "ok\n");
}

static void
serve (gate_t *g, httpd_call_t *call)
{
  gl_ms_t now = clock_ms ();
  int get = !strcmp (call->method, "GET");

  if (!strcmp (call->path, "/fault"))
    post_fault (call);
  else if (!strcmp (call->path, "/stats"))
    httpd_text (call, 200,
                "{\"gets\":%llu,\"puts\":%llu,\"waits\":%llu,"
                "\"refused\":%llu}\n",
                total_gets, total_puts, total_waits, total_refused);
  else if (now < g->cut_until)
    hold (g, call, "", 0, now + SILENT_MS, 0);
  else if (now < g->stall_until)
    hold (g, call, "", 0, g->stall_until, 1);
  else if (now < g->down_until)
    refuse (call, 503);
  else if (!strncmp (call->path, "/kv/", 4) && get)
    get_key (g, call, call->path + 4);
  else if (!strncmp (call->path, "/kv/", 4))
    put_key (g, call, call->path + 4);
  else if (!strncmp (call->path, "/vms/", 5) && get)
    get_key (g, call, call->path + 1);
  else if (!strncmp (call->path, "/vms/", 5))
    post_list (call, call->path + 5);
  else
    httpd_text (call, 404, "no such thing\n");
}

static void
take (void *ctx, httpd_call_t *call)
{
  pthread_mutex_lock (&lock);
  serve (ctx, call);
  pthread_mutex_unlock (&lock);
}

/* Answer held calls whose time or news has come. */
static void
release (void)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < nheld; i++)
    {
      held_t h = held[i];
      kv_entry_t *e = h.key[0] ? kv_get (&kv, h.key, now) : NULL;
      int news = e && e->index != h.index;

      /* A cut also silences calls that wait. */
      if (news && now < h.gate->cut_until)
        news = 0;
      if (now < h.until && !news)
        continue;
      held[i--] = held[--nheld];
      if (h.resume)
        serve (h.gate, h.call);
      else if (news)
        reply_entry (h.call, e);
      else
        httpd_text (h.call, h.key[0] ? 304 : 504, "\n");
    }
}

static int
listen_on (const char *arg)
{
  gate_t *g = &gates[ngates];
  const char *eq = strchr (arg, '=');

  if (!eq || ngates == GATES_MAX)
    return -1;
  snprintf (g->name, sizeof g->name, "%.*s", (int)(eq - arg), arg);
  g->server = httpd_new (eq + 1, 2 * KV_VALUE_MAX, 1000, 1, take, g);
  if (!g->server)
    return -1;
  ngates++;
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct option longs[]
      = { { "listen", required_argument, NULL, 'l' }, { NULL, 0, NULL, 0 } };
  int c;

  signal (SIGPIPE, SIG_IGN);
  while ((c = getopt_long (argc, argv, "l:", longs, NULL)) >= 0)
    if (c != 'l' || listen_on (optarg))
      {
        fprintf (stderr, "usage: %s --listen NAME=IP:PORT ...\n", argv[0]);
        return 2;
      }
  for (;;)
    {
      usleep (TICK_US);
      pthread_mutex_lock (&lock);
      release ();
      pthread_mutex_unlock (&lock);
    }
}
