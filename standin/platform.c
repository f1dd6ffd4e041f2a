/*
 * platform.c -- stand-in for the platform: key-value service and VM list
 *
 * Serves the requests that src/storehttp.c and src/listhttp.c describe.  It
 * can listen on several addresses, each with a name, so that a fault can be
 * limited to one of them:
 *
 *   POST /fault?kind=K&via=NAME&ms=N   fault for N ms; without via, on all
 *     lose   writes take effect, but get no response
 *     down   calls are refused
 *     cut    calls get no response and have no effect
 *     stall  calls are served when the fault ends
 *   POST /vms/DOMAIN   add VMs to a domain's list, or replace those of the
 *                      same name
 *   GET /stats         counts of calls
 *
 * Like the platform, it accepts values up to 1 MB, and WRITES_PER_S writes
 * and READS_PER_S reads per second; it refuses what exceeds this.
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

#define WRITES_PER_S 600
#define READS_PER_S 2000
#define DELAYED_MAX 1024
/* Interval at which delayed calls are checked, microseconds. */
#define TICK_US 5000
#define LISTENERS_MAX 16
/* Time after which a call that a fault leaves without its response is answered
   with 504, milliseconds. */
#define NO_RESPONSE_MS 6000

/**
 * struct listener_t - an address that it listens on, and its faults
 * @name: selects it in /fault
 * @lose_until, @down_until, @cut_until, @stall_until: end of each kind of
 *   fault, clock_ms
 */
typedef struct
{
  char name[32];
  httpd_t *server;
  gl_ms_t lose_until;
  gl_ms_t down_until;
  gl_ms_t cut_until;
  gl_ms_t stall_until;
} listener_t;

/**
 * struct delayed_t - a call that is answered later
 * @key, @index: it waits until the key's index differs from @index; "" if it
 *   waits for the time only
 * @until: when the wait ends at the latest, clock_ms
 * @serve_later: serve the call then; else the answer is 304 if it has a key,
 *   504 if not
 * @listener: where it arrived
 */
typedef struct
{
  httpd_call_t *call;
  char key[96];
  uint64_t index;
  gl_ms_t until;
  int serve_later;
  listener_t *listener;
} delayed_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static kv_t kv;
static listener_t listeners[LISTENERS_MAX];
static int nlisteners;
static delayed_t delayed[DELAYED_MAX];
static int ndelayed;
/* Writes and reads in the current second of clock_ms. */
static gl_ms_t current_second;
static int writes;
static int reads;
static unsigned long long total_gets;
static unsigned long long total_puts;
static unsigned long long total_waits;
static unsigned long long total_refused;

static void serve (listener_t *listener, httpd_call_t *call);

static void
delay_call (listener_t *listener, httpd_call_t *call, const char *key,
            uint64_t index, gl_ms_t until, int serve_later)
{
  delayed_t *d;

  if (ndelayed == DELAYED_MAX)
    {
      httpd_text (call, 503, "held\n");
      return;
    }
  d = &delayed[ndelayed++];
  d->call = call;
  snprintf (d->key, sizeof d->key, "%s", key);
  d->index = index;
  d->until = until;
  d->serve_later = serve_later;
  d->listener = listener;
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
parse_etag (const char *v)
{
  return v ? strtoull (*v == '"' ? v + 1 : v, NULL, 10) : 0;
}

/* Count a call; returns 1 if it is one too many in the current second. */
static int
exceeds_rate (int *count, int max_per_s)
{
  gl_ms_t now = clock_ms () / 1000;

  if (now != current_second)
    {
      current_second = now;
      writes = 0;
      reads = 0;
    }
  return ++*count > max_per_s;
}

/* The Not-Run header tells the caller that the call had no effect. */
static void
refuse (httpd_call_t *call, int status)
{
  total_refused++;
  httpd_add_header (call, "Not-Run: 1");
  httpd_text (call, status, "refused\n");
}

static void
get_key (listener_t *listener, httpd_call_t *call, const char *key)
{
  const char *prefer = httpd_header (call, "Prefer");
  uint64_t index = parse_etag (httpd_header (call, "If-None-Match"));
  kv_entry_t *e;

  if (exceeds_rate (&reads, READS_PER_S))
    {
      refuse (call, 429);
      return;
    }
  total_gets++;
  e = kv_get (&kv, key, clock_ms ());
  if (prefer && (e ? e->index : 0) == index && !strncmp (prefer, "wait=", 5))
    {
      total_waits++;
      delay_call (listener, call, key, index,
                  clock_ms () + strtoull (prefer + 5, NULL, 10) * 1000, 0);
    }
  else if (e)
    reply_entry (call, e);
  else
    httpd_text (call, 404, "absent\n");
}

static void
put_key (listener_t *listener, httpd_call_t *call, const char *key)
{
  const char *ttl = httpd_query (call, "ttl");
  gl_ms_t now = clock_ms ();
  uint64_t index;

  if (call->len > KV_VALUE_MAX)
    {
      refuse (call, 413);
      return;
    }
  if (exceeds_rate (&writes, WRITES_PER_S))
    {
      refuse (call, 429);
      return;
    }
  total_puts++;
  index = kv_cas (&kv, key, parse_etag (httpd_header (call, "If-Match")),
                  call->body ? call->body : "", call->len,
                  ttl ? now + strtoull (ttl, NULL, 10) * 1000 : 0, now);
  if (now < listener->lose_until)
    delay_call (listener, call, "", 0, now + NO_RESPONSE_MS, 0);
  else if (!index)
    httpd_text (call, 412, "conflict\n");
  else
    {
      httpd_add_header (call, "ETag: \"%llu\"", (unsigned long long)index);
      httpd_reply (call, 200, NULL, NULL, 0);
    }
}

/* ---- VM lists ---- */

/* Append the VMs of @add to @list, or replace those of the same name. */
static void
merge_vms (json_t *list, json_t *add)
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
add_to_list (const char *domain, json_t *add)
{
  char key[96];
  kv_entry_t *e;
  json_t *list;
  char *text;

  snprintf (key, sizeof key, "vms/%s", domain);
  e = kv_get (&kv, key, 0);
  list = e ? json_loadb (e->data, e->len, 0, NULL) : json_array ();
  merge_vms (list, add);
  text = json_dumps (list, JSON_COMPACT);
  kv_cas (&kv, key, e ? e->index : 0, text, strlen (text), 0, 0);
  free (text);
  json_decref (list);
}

/* Add VMs to the list of the domain and to that of all domains. */
static void
post_vms (httpd_call_t *call, const char *domain)
{
  json_t *add = json_loadb (call->body ? call->body : "", call->len, 0, NULL);

  if (!json_is_array (add))
    {
      httpd_text (call, 400, "not a list\n");
      return;
    }
  add_to_list (domain, add);
  add_to_list ("all", add);
  json_decref (add);
  httpd_text (call, 200, "ok\n");
}

/* ---- faults and dispatch ---- */

static void
set_fault (httpd_call_t *call)
{
  const char *kind = httpd_query (call, "kind");
  const char *via = httpd_query (call, "via");
  const char *ms = httpd_query (call, "ms");
  gl_ms_t until = clock_ms () + (ms ? strtoull (ms, NULL, 10) : 0);

  for (int i = 0; i < nlisteners; i++)
    {
      listener_t *listener = &listeners[i];

      if (via && strcmp (via, listener->name))
        continue;
      if (!strcmp (kind ? kind : "", "lose"))
        listener->lose_until = until;
      else if (!strcmp (kind ? kind : "", "down"))
        listener->down_until = until;
      else if (!strcmp (kind ? kind : "", "cut"))
        listener->cut_until = until;
      else if (!strcmp (kind ? kind : "", "stall"))
        listener->stall_until = until;
    }
  httpd_text (call, 200, "ok\n");
}

static void
serve (listener_t *listener, httpd_call_t *call)
{
  gl_ms_t now = clock_ms ();
  int get = !strcmp (call->method, "GET");

  if (!strcmp (call->path, "/fault"))
    set_fault (call);
  else if (!strcmp (call->path, "/stats"))
    httpd_text (call, 200,
                "{\"gets\":%llu,\"puts\":%llu,\"waits\":%llu,"
                "\"refused\":%llu}\n",
                total_gets, total_puts, total_waits, total_refused);
  else if (now < listener->cut_until)
    delay_call (listener, call, "", 0, now + NO_RESPONSE_MS, 0);
  else if (now < listener->stall_until)
    delay_call (listener, call, "", 0, listener->stall_until, 1);
  else if (now < listener->down_until)
    refuse (call, 503);
  else if (!strncmp (call->path, "/kv/", 4) && get)
    get_key (listener, call, call->path + 4);
  else if (!strncmp (call->path, "/kv/", 4))
    put_key (listener, call, call->path + 4);
  else if (!strncmp (call->path, "/vms/", 5) && get)
    get_key (listener, call, call->path + 1);
  else if (!strncmp (call->path, "/vms/", 5))
    post_vms (call, call->path + 5);
  else
    httpd_text (call, 404, "no such thing\n");
}

static void
on_request (void *ctx, httpd_call_t *call)
{
  pthread_mutex_lock (&lock);
  serve (ctx, call);
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
      kv_entry_t *e = d.key[0] ? kv_get (&kv, d.key, now) : NULL;
      int changed = e && e->index != d.index;

      /* During a cut, a change is not reported to the calls that wait. */
      if (changed && now < d.listener->cut_until)
        changed = 0;
      if (now < d.until && !changed)
        continue;
      delayed[i--] = delayed[--ndelayed];
      if (d.serve_later)
        serve (d.listener, d.call);
      else if (changed)
        reply_entry (d.call, e);
      else
        httpd_text (d.call, d.key[0] ? 304 : 504, "\n");
    }
}

/* Listen on "NAME=IP:PORT"; returns -1 on failure. */
static int
listen_on (const char *arg)
{
  listener_t *listener = &listeners[nlisteners];
  const char *eq = strchr (arg, '=');

  if (!eq || nlisteners == LISTENERS_MAX)
    return -1;
  snprintf (listener->name, sizeof listener->name, "%.*s", (int)(eq - arg),
            arg);
  listener->server
      = httpd_new (eq + 1, 2 * KV_VALUE_MAX, 1000, 1, on_request, listener);
  if (!listener->server)
    return -1;
  nlisteners++;
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
      answer_delayed ();
      pthread_mutex_unlock (&lock);
    }
}
