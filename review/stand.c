/*
 * stand.c -- stands in for what surrounds the cell on the members' platform:
 * the store, the workers, the operator and the callers; it follows PROTOCOL
 *
 *   stand ports N    print N free ports of the loopback address
 *   stand RECORD     read commands from standard input, one a line, and write
 *                    what was sent, answered and run to the file RECORD:
 *
 *   store PORT             serve the store there
 *   vms PORT...            callers send to these ports, in turn
 *   put KEY JSON           write an entry as the operator or another writer
 *   worker PORT CPU MB     a worker; they are numbered from 0
 *   crash N MS             worker N loses power, and starts again MS later
 * with another id job ID PREFIX JSON     a caller submits the job, then asks
 * for its state until it has ended ask ID PREFIX          a caller asks for
 * the job's state once
 *
 * What a task does stands in its spec: "done MS", "fail MS"; with "saves"
 * after it, its ends carry a checkpoint.
 */
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <arpa/inet.h>
#include <jansson.h>
#include <nettle/base64.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HOST "queue.example"
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 10000
#define VALUE_BYTES 1048576
#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000
#define DEADLINE_MS 3000
#define ASK_MS 500
#define TICK_MS 10
#define ENDS_LISTED 500
#define VMS_MAX 16
#define WORKERS_MAX 64

typedef long long ms_t;

static struct event_base *base;
static FILE *record;
static struct timespec began;

static ms_t
now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (t.tv_sec - began.tv_sec) * 1000LL
         + (t.tv_nsec - began.tv_nsec) / 1000000;
}

static void __attribute__ ((format (printf, 1, 2))) note (const char *fmt, ...)
{
  va_list ap;

  fprintf (record, "%.3f ", (double)now () / 1000);
  va_start (ap, fmt);
  vfprintf (record, fmt, ap);
  va_end (ap);
  fputc ('\n', record);
  fflush (record);
}

/* Memory is not checked for: the program lives for two minutes. */
static void *
grow (void *v, size_t n, size_t size)
{
  return n & (n - 1) ? v : realloc (v, (n ? 2 * n : 1) * size);
}

static const char *
text (const json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));

  return s ? s : "";
}

static ms_t
number (const json_t *o, const char *key)
{
  return (ms_t)json_number_value (json_object_get (o, key));
}

/* Answer with @o, which is taken over. */
static void
answer (struct evhttp_request *r, int status, json_t *o)
{
  struct evbuffer *out = evbuffer_new ();
  char *s = o ? json_dumps (o, JSON_COMPACT) : NULL;

  evhttp_add_header (evhttp_request_get_output_headers (r), "Content-Type",
                     "application/json");
  evbuffer_add_printf (out, "%s", s ? s : "{}");
  evhttp_send_reply (r, status, "-", out);
  evbuffer_free (out);
  free (s);
  json_decref (o);
}

static json_t *
body_of (struct evhttp_request *r)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (r);
  size_t n = evbuffer_get_length (in);
  json_t *o = json_loadb (n ? (char *)evbuffer_pullup (in, -1) : "", n, 0, 0);

  return o ? o : json_object ();
}

/* ---- store ---- */

typedef struct
{
  char *key;
  char *value;
  unsigned long long revision, created, lease;
  int deleted;
} item_t;

typedef struct
{
  unsigned long long id;
  ms_t ttl, until;
} lease_t;

typedef struct watch
{
  struct watch *next;
  struct evhttp_request *req;
  char prefix[256];
  unsigned long long after;
  ms_t until;
} watch_t;

static item_t *items, *history;
static size_t nitems, nhistory;
static lease_t *leases;
static size_t nleases;
static watch_t *watches;
static unsigned long long revision = 100;

/* Index of the first item that is not before the key. */
static size_t
item_at (const char *key)
{
  size_t low = 0, high = nitems;

  while (low < high)
    {
      size_t mid = (low + high) / 2;

      if (strcmp (items[mid].key, key) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

static item_t *
item_find (const char *key)
{
  size_t i = item_at (key);

  return i < nitems && !strcmp (items[i].key, key) ? &items[i] : NULL;
}

static void
remember (const item_t *i, int deleted)
{
  item_t *h;

  history = grow (history, nhistory, sizeof *history);
  h = &history[nhistory++];
  *h = *i;
  h->key = strdup (i->key);
  h->value = strdup (deleted ? "" : i->value);
  h->revision = revision;
  h->deleted = deleted;
}

static void
store_put (const char *key, const char *value, unsigned long long lease)
{
  item_t *i = item_find (key);

  if (!i)
    {
      size_t at = item_at (key);

      items = grow (items, nitems, sizeof *items);
      memmove (items + at + 1, items + at, (nitems++ - at) * sizeof *items);
      i = &items[at];
      *i = (item_t){ .key = strdup (key), .created = revision };
    }
  free (i->value);
  i->value = strdup (value);
  i->revision = revision;
  i->lease = lease;
  remember (i, 0);
}

static void
store_remove (const char *key)
{
  item_t *i = item_find (key);

  if (!i)
    return;
  remember (i, 1);
  free (i->key);
  free (i->value);
  memmove (i, i + 1, (size_t)(items + --nitems - i) * sizeof *i);
}

static json_t *
item_json (const item_t *i)
{
  if (i->deleted)
    return json_pack ("{s:s,s:I,s:b}", "key", i->key, "revision",
                      (json_int_t)i->revision, "deleted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:I}", "key", i->key, "value", i->value,
                    "revision", (json_int_t)i->revision, "created",
                    (json_int_t)i->created, "lease", (json_int_t)i->lease);
}

/* Answer the watches that have an event, or whose time is over. */
static void
serve_watches (void)
{
  for (watch_t **at = &watches, *w; (w = *at);)
    {
      json_t *list = json_array ();
      size_t i = nhistory;

      while (i && history[i - 1].revision > w->after)
        i--;
      for (; i < nhistory; i++)
        if (!strncmp (history[i].key, w->prefix, strlen (w->prefix)))
          json_array_append_new (list, item_json (&history[i]));
      if (!json_array_size (list) && now () < w->until)
        {
          json_decref (list);
          at = &w->next;
          continue;
        }
      answer (w->req, 200,
              json_pack ("{s:o,s:I}", "events", list, "currentRev",
                         (json_int_t)revision));
      *at = w->next;
      free (w);
    }
}

static lease_t *
lease_find (unsigned long long id)
{
  for (size_t i = 0; i < nleases; i++)
    if (leases[i].id == id && leases[i].until > now ())
      return &leases[i];
  return NULL;
}

static void
store_txn (struct evhttp_request *r, const json_t *o)
{
  const json_t *checks = json_object_get (o, "expectedRevision"), *v;
  json_t *list = json_array ();
  int holds = 1, status = 200;
  size_t k;

  json_array_foreach (checks, k, v)
  {
    const item_t *i = item_find (text (v, "key"));

    holds
        &= (i ? i->revision : 0) == (unsigned long long)number (v, "revision");
    if (i)
      json_array_append_new (list, item_json (i));
  }
  if (!holds)
    {
      answer (r, 412, json_pack ("{s:o}", "items", list));
      return;
    }
  json_decref (list);
  json_array_foreach (json_object_get (o, "puts"), k, v)
  {
    if (number (v, "lease")
        && !lease_find ((unsigned long long)number (v, "lease")))
      status = 404;
    if (strlen (text (v, "value")) / 4 * 3 > VALUE_BYTES)
      {
        note ("store refuses key=%s base64_bytes=%zu", text (v, "key"),
              strlen (text (v, "value")));
        status = 400;
      }
  }
  if (status != 200)
    {
      answer (r, status, NULL);
      return;
    }
  revision++;
  json_array_foreach (json_object_get (o, "puts"), k, v)
      store_put (text (v, "key"), text (v, "value"),
                 (unsigned long long)number (v, "lease"));
  json_array_foreach (json_object_get (o, "remove"), k, v)
      store_remove (json_string_value (v));
  answer (r, 200, json_pack ("{s:I}", "revision", (json_int_t)revision));
  serve_watches ();
}

static void
store_range (struct evhttp_request *r, const char *prefix, const char *after)
{
  json_t *list = json_array ();
  size_t i = item_at (after ? after : prefix), bytes = 0;

  if (after && i < nitems && !strcmp (items[i].key, after))
    i++;
  for (; i < nitems && !strncmp (items[i].key, prefix, strlen (prefix))
         && json_array_size (list) < PAGE_ITEMS && bytes < PAGE_BYTES;
       i++)
    {
      bytes += strlen (items[i].value);
      json_array_append_new (list, item_json (&items[i]));
    }
  answer (r, 200,
          json_pack ("{s:o,s:b,s:I}", "items", list, "hasMore",
                     i < nitems
                         && !strncmp (items[i].key, prefix, strlen (prefix)),
                     "currentRev", (json_int_t)revision));
}

static void
store_lease (struct evhttp_request *r, ms_t ttl)
{
  lease_t *l;

  leases = grow (leases, nleases, sizeof *leases);
  l = &leases[nleases++];
  *l = (lease_t){ 7000 + nleases, ttl, now () + ttl };
  answer (r, 200,
          json_pack ("{s:I,s:I}", "lease", (json_int_t)l->id, "ttlMs",
                     (json_int_t)ttl));
}

static void
on_store (struct evhttp_request *r, void *ctx)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (r));
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (r));
  struct evkeyvalq q;
  json_t *o = body_of (r);
  const char *prefix;

  (void)ctx;
  evhttp_parse_query_str (query ? query : "", &q);
  prefix = evhttp_find_header (&q, "prefix");
  if (!strcmp (path, "/kv-txn"))
    store_txn (r, o);
  else if (!strcmp (path, "/kv-range") && prefix)
    store_range (r, prefix, evhttp_find_header (&q, "after"));
  else if (!strcmp (path, "/kv-key"))
    {
      const char *key = evhttp_find_header (&q, "key");
      const item_t *i = item_find (key ? key : "");

      answer (r, i ? 200 : 404, i ? item_json (i) : NULL);
    }
  else if (!strcmp (path, "/kv-watch") && prefix)
    {
      const char *after = evhttp_find_header (&q, "after");
      const char *wait = evhttp_find_header (&q, "waitMs");
      watch_t *w = calloc (1, sizeof *w);

      w->req = r;
      snprintf (w->prefix, sizeof w->prefix, "%s", prefix);
      w->after = after ? strtoull (after, NULL, 10) : 0;
      w->until = now () + (wait ? atoll (wait) : 0);
      w->next = watches;
      watches = w;
      serve_watches ();
    }
  else if (!strcmp (path, "/kv-lease"))
    store_lease (r, number (o, "ttlMs"));
  else if (!strncmp (path, "/kv-keep/", 9))
    {
      lease_t *l = lease_find (strtoull (path + 9, NULL, 10));

      if (l)
        l->until = now () + l->ttl;
      answer (r, l ? 200 : 404, NULL);
    }
  else
    answer (r, 400, NULL);
  evhttp_clear_headers (&q);
  json_decref (o);
}

static void
end_leases (void)
{
  for (size_t i = 0; i < nleases; i++)
    if (leases[i].ttl && leases[i].until <= now ())
      {
        revision++;
        for (size_t k = nitems; k-- > 0;)
          if (items[k].lease == leases[i].id)
            {
              char *key = strdup (items[k].key);

              store_remove (key);
              free (key);
            }
        leases[i].ttl = 0;
      }
}

/* Write an entry as it comes, not encoded. */
static void
write_entry (const char *key, const char *data)
{
  char *value = calloc (1, BASE64_ENCODE_RAW_LENGTH (strlen (data)) + 1);

  base64_encode_raw (value, strlen (data), (const uint8_t *)data);
  revision++;
  store_put (key, value, 0);
  free (value);
  serve_watches ();
}

/* ---- workers ---- */

typedef struct
{
  char task[64];
  int run;
  ms_t from, ends;
  char how[16];
  int saves;
} run_t;

typedef struct
{
  int n;
  char task[64];
  int run;
  char how[16];
  int saves;
} end_t;

typedef struct
{
  struct evhttp_request *req;
  ms_t until;
} poll_t;

typedef struct
{
  char task[64];
  int run;
} highest_t;

typedef struct
{
  int index, port, cpu, mem, life, weak;
  char id[32];
  struct evhttp *http;
  int dark;
  ms_t born_at, back_at, gone_at, fence, lease, acked;
  char gone_key[64];
  run_t *runs;
  size_t nruns;
  end_t *ends;
  size_t nends;
  int last_end;
  highest_t *highest;
  size_t nhighest;
  poll_t *polls;
  size_t npolls;
} worker_t;

static worker_t workers[WORKERS_MAX];
static int nworkers;

static ms_t
worker_clock (const worker_t *w)
{
  return now () - w->born_at + 1000;
}

static json_t *
lists (worker_t *w)
{
  json_t *running = json_array (), *finished = json_array ();

  for (size_t i = 0; i < w->nruns; i++)
    {
      const run_t *r = &w->runs[i];
      ms_t percent = 100 * (now () - r->from) / (r->ends - r->from + 1);

      json_array_append_new (
          running,
          json_pack ("[s,i,s,i,i]", r->task, r->run, "", (int)percent, 1000));
    }
  for (size_t i = 0; i < w->nends && i < ENDS_LISTED; i++)
    json_array_append_new (
        finished, json_pack ("[i,s,i,s,s]", w->ends[i].n, w->ends[i].task,
                             w->ends[i].run, w->ends[i].how,
                             w->ends[i].saves ? "00000bb87a21d94b" : ""));
  return json_pack ("{s:I,s:o,s:o}", "timestampMs",
                    (json_int_t)worker_clock (w), "running", running,
                    "finished", finished);
}

static void
answer_polls (worker_t *w, int all)
{
  for (size_t i = w->npolls; i-- > 0;)
    if (all || now () >= w->polls[i].until)
      {
        answer (w->polls[i].req, 200, lists (w));
        w->polls[i] = w->polls[--w->npolls];
      }
}

static highest_t *
highest_of (worker_t *w, const char *task)
{
  for (size_t i = 0; i < w->nhighest; i++)
    if (!strcmp (w->highest[i].task, task))
      return &w->highest[i];
  w->highest = grow (w->highest, w->nhighest, sizeof *w->highest);
  snprintf (w->highest[w->nhighest].task, 64, "%s", task);
  w->highest[w->nhighest].run = 0;
  return &w->highest[w->nhighest++];
}

static void
end_run (worker_t *w, size_t i, const char *how)
{
  run_t r = w->runs[i];
  char outcome[sizeof r.how];
  end_t *e;

  /* @how may be a member of the run. */
  snprintf (outcome, sizeof outcome, "%s", how);
  w->runs[i] = w->runs[--w->nruns];
  w->ends = grow (w->ends, w->nends, sizeof *w->ends);
  e = &w->ends[w->nends++];
  *e = (end_t){ ++w->last_end, "", r.run, "", r.saves };
  memcpy (e->task, r.task, sizeof e->task);
  snprintf (e->how, sizeof e->how, "%s", outcome);
  if (highest_of (w, r.task)->run < r.run)
    highest_of (w, r.task)->run = r.run;
  note ("worker%d end n=%d task=%s run=%d how=%s", w->index, e->n, r.task,
        r.run, outcome);
}

static const char *
start_run (worker_t *w, const json_t *o)
{
  const char *task = text (o, "task");
  int run = (int)number (o, "run");
  ms_t until = number (o, "deadlineMs"), span = 1000;
  run_t *r;

  for (size_t i = 0; i < w->nruns; i++)
    if (!strcmp (w->runs[i].task, task) && w->runs[i].run == run)
      return NULL;
  if (until <= worker_clock (w))
    return "late";
  if (until > worker_clock (w) + HOLD_MAX_MS)
    until = worker_clock (w) + HOLD_MAX_MS;
  if (w->lease < until)
    w->lease = until;
  if (highest_of (w, task)->run >= run)
    return "old";
  w->runs = grow (w->runs, w->nruns, sizeof *w->runs);
  r = &w->runs[w->nruns++];
  *r = (run_t){ .run = run, .from = now () };
  snprintf (r->task, sizeof r->task, "%s", task);
  if (sscanf (text (o, "spec"), "%*s %lld", &span) != 1)
    span = 1000;
  r->ends = now () + span;
  snprintf (r->how, sizeof r->how, "%s",
            strncmp (text (o, "spec"), "fail", 4) ? "done" : "failed");
  r->saves = strstr (text (o, "spec"), "saves") != NULL;
  note ("worker%d start task=%s run=%d spec=\"%s\"", w->index, task, run,
        text (o, "spec"));
  return NULL;
}

static void
stop_run (worker_t *w, const char *task, int run)
{
  if (highest_of (w, task)->run < run)
    highest_of (w, task)->run = run;
  for (size_t i = w->nruns; i-- > 0;)
    if (!strcmp (w->runs[i].task, task) && w->runs[i].run <= run)
      end_run (w, i, "stopped");
  answer_polls (w, 1);
}

static void
acknowledge (worker_t *w, ms_t n)
{
  size_t k = 0;

  while (k < w->nends && w->ends[k].n <= n)
    k++;
  if (!k)
    return;
  note ("worker%d acknowledged n=%lld", w->index, n);
  w->nends -= k;
  memmove (w->ends, w->ends + k, w->nends * sizeof *w->ends);
  w->acked = n;
}

static void
hold (worker_t *w, struct evhttp_request *r, const json_t *o)
{
  ms_t until = number (o, "deadlineMs"), wait = number (o, "waitMs");

  if (until > worker_clock (w) + HOLD_MAX_MS)
    until = worker_clock (w) + HOLD_MAX_MS;
  if (w->lease < until)
    w->lease = until;
  acknowledge (w, number (o, "ackCursor"));
  if (!wait || w->nends)
    {
      answer (r, 200, lists (w));
      return;
    }
  w->polls = grow (w->polls, w->npolls, sizeof *w->polls);
  w->polls[w->npolls++] = (poll_t){ r, now () + wait };
}

/* Without power nothing answers, and channels hang until it is back. */
static void
crash (worker_t *w, ms_t ms)
{
  note ("worker%d crash id=%s runs=%zu", w->index, w->id, w->nruns);
  for (size_t i = 0; i < w->nruns; i++)
    note ("worker%d lost task=%s run=%d", w->index, w->runs[i].task,
          w->runs[i].run);
  w->dark = 1;
  w->nruns = 0;
  w->back_at = now () + ms;
  strcpy (w->gone_key, "servers/");
  strcat (w->gone_key, w->id);
  w->gone_at = now () + 3 * HEARTBEAT_MS;
}

static void
on_worker (struct evhttp_request *r, void *ctx)
{
  worker_t *w = ctx;
  const char *path = evhttp_request_get_uri (r);
  const char *id = evhttp_find_header (evhttp_request_get_input_headers (r),
                                       "X-Expected-Instance");
  json_t *o;
  const char *reason = NULL;

  if (w->dark)
    return;
  if (w->weak && !strcmp (path, "/run-start"))
    {
      crash (w, w->weak);
      return;
    }
  o = body_of (r);
  if (!id || strcmp (id, w->id))
    answer (r, 421, NULL);
  else if (number (o, "fencingToken") < w->fence)
    answer (r, 409,
            json_pack ("{s:I,s:s}", "timestampMs",
                       (json_int_t)worker_clock (w), "reason", "fence"));
  else
    {
      w->fence = number (o, "fencingToken");
      if (!strcmp (path, "/hold"))
        {
          hold (w, r, o);
          json_decref (o);
          return;
        }
      if (!strcmp (path, "/run-stop"))
        stop_run (w, text (o, "task"), (int)number (o, "run"));
      else
        reason = start_run (w, o);
      answer (r, reason ? 409 : 200,
              reason
                  ? json_pack ("{s:I,s:s}", "timestampMs",
                               (json_int_t)worker_clock (w), "reason", reason)
                  : json_pack ("{s:I}", "timestampMs",
                               (json_int_t)worker_clock (w)));
    }
  json_decref (o);
}

static void
register_worker (worker_t *w)
{
  char key[64], value[512];

  snprintf (key, sizeof key, "servers/%s", w->id);
  snprintf (value, sizeof value,
            "{\"service\":\"runners\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"z%d\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{"
            "\"cpu\":%d,\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\",\"r%d\"],"
            "\"sequence\":1}",
            w->port, w->index % 3, w->cpu, w->mem, w->index);
  write_entry (key, value);
}

static void
begin_life (worker_t *w)
{
  snprintf (w->id, sizeof w->id, "i-%02d%06d", w->index, ++w->life);
  w->dark = 0;
  w->born_at = now ();
  w->fence = w->lease = w->last_end = 0;
  w->nruns = w->nends = w->nhighest = w->npolls = 0;
  w->http = evhttp_new (base);
  evhttp_set_gencb (w->http, on_worker, w);
  if (evhttp_bind_socket (w->http, "127.0.0.1", (unsigned short)w->port))
    note ("worker%d cannot listen", w->index);
  note ("worker%d up id=%s", w->index, w->id);
  register_worker (w);
}

static void
tick_worker (worker_t *w)
{
  if (w->gone_at && now () >= w->gone_at)
    {
      revision++;
      store_remove (w->gone_key);
      w->gone_at = 0;
    }
  if (w->dark && now () >= w->back_at)
    {
      evhttp_free (w->http);
      begin_life (w);
    }
  if (w->dark)
    return;
  for (size_t i = w->nruns; i-- > 0;)
    if (worker_clock (w) >= w->lease)
      end_run (w, i, "lapsed");
    else if (now () >= w->runs[i].ends)
      end_run (w, i, w->runs[i].how);
  answer_polls (w, w->nends != 0);
}

/* ---- callers ---- */

typedef struct
{
  char id[20];
  char *path, *body;
  int tries, accepted, ended, busy, once;
  ms_t next;
  char state[16];
} job_t;

static job_t *jobs[65536];
static size_t njobs;
static int vms[VMS_MAX];
static int nvms, turn, quiet;

typedef struct
{
  job_t *job;
  int vm;
  char method[8];
  struct evhttp_connection *conn;
} call_t;

static void
free_conn (evutil_socket_t fd, short what, void *ctx)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (ctx);
}

static void
on_reply (struct evhttp_request *r, void *ctx)
{
  static const struct timeval at_once = { 0, 0 };
  call_t *k = ctx;
  job_t *j = k->job;
  int status = r ? evhttp_request_get_response_code (r) : 0;
  json_t *o = status ? body_of (r) : json_object ();
  const char *state = text (o, "state");
  const char *after = status ? evhttp_find_header (
                          evhttp_request_get_input_headers (r), "Retry-After")
                             : NULL;

  if (strcmp (k->method, "GET") || status != 200 || j->once
      || strcmp (state, j->state))
    note ("caller %s %s vm%d -> %d %s", k->method, j->id, k->vm, status,
          state);
  j->busy = 0;
  j->next = now () + ASK_MS;
  if (!strcmp (k->method, "POST"))
    {
      j->accepted = status / 100 == 2;
      j->ended = status == 400 || status == 404;
      if (after)
        j->next = now () + atoll (after) * 1000;
    }
  else if (status == 200)
    {
      snprintf (j->state, sizeof j->state, "%s", state);
      j->ended = !strcmp (state, "completed") || !strcmp (state, "failed")
                 || !strcmp (state, "cancelled");
    }
  j->ended |= j->once;
  json_decref (o);
  event_base_once (base, -1, EV_TIMEOUT, free_conn, k->conn, &at_once);
  free (k);
}

static void
call_vm (job_t *j, const char *method)
{
  call_t *k = calloc (1, sizeof *k);
  struct evhttp_request *r = evhttp_request_new (on_reply, k);
  struct evkeyvalq *h = evhttp_request_get_output_headers (r);

  k->job = j;
  k->vm = turn++ % nvms;
  snprintf (k->method, sizeof k->method, "%s", method);
  k->conn = evhttp_connection_base_new (base, NULL, "127.0.0.1",
                                        (unsigned short)vms[k->vm]);
  evhttp_connection_set_timeout (k->conn, DEADLINE_MS / 1000 + 1);
  evhttp_add_header (h, "Host", HOST);
  evhttp_add_header (h, "X-Deadline-Ms", "3000");
  evhttp_add_header (h, "Connection", "close");
  if (!strcmp (method, "POST"))
    {
      evhttp_add_header (h, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (r), j->body,
                    strlen (j->body));
      note ("caller POST %s vm%d try=%d", j->id, k->vm, ++j->tries);
    }
  j->busy = 1;
  evhttp_make_request (
      k->conn, r, strcmp (method, "GET") ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
      j->path);
}

static void
add_job (const char *id, const char *prefix, const char *body)
{
  job_t *j = jobs[njobs++] = calloc (1, sizeof *j);

  snprintf (j->id, sizeof j->id, "%s", id);
  if (asprintf (&j->path, "%s%s", prefix, id) < 0)
    abort ();
  j->body = strdup (body);
  j->accepted = j->once = !body[0];
}

static void
tick (evutil_socket_t fd, short what, void *ctx)
{
  (void)fd;
  (void)what;
  (void)ctx;
  end_leases ();
  for (int i = 0; i < nworkers; i++)
    tick_worker (&workers[i]);
  serve_watches ();
  for (size_t i = 0; i < njobs; i++)
    if (!jobs[i]->ended && !jobs[i]->busy && now () >= jobs[i]->next
        && (jobs[i]->accepted || !quiet))
      call_vm (jobs[i], jobs[i]->accepted ? "GET" : "POST");
}

/* ---- commands ---- */

static void
command (char *line)
{
  char *rest = line;
  const char *word = strsep (&rest, " ");
  const char *first = rest ? strsep (&rest, " ") : "";

  if (!strcmp (word, "store"))
    {
      struct evhttp *h = evhttp_new (base);

      evhttp_set_gencb (h, on_store, NULL);
      evhttp_set_allowed_methods (h, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                         | EVHTTP_REQ_DELETE);
      if (evhttp_bind_socket (h, "127.0.0.1", (unsigned short)atoi (first)))
        note ("store cannot listen");
    }
  else if (!strcmp (word, "vms"))
    for (; first && nvms < VMS_MAX; first = rest ? strsep (&rest, " ") : NULL)
      vms[nvms++] = atoi (first);
  else if (!strcmp (word, "put"))
    {
      note ("put %s", first);
      write_entry (first, rest ? rest : "");
    }
  else if (!strcmp (word, "worker") && nworkers < WORKERS_MAX)
    {
      worker_t *w = &workers[nworkers];

      w->index = nworkers++;
      w->port = atoi (first);
      w->cpu = atoi (strsep (&rest, " "));
      w->mem = atoi (rest);
      begin_life (w);
    }
  else if (!strcmp (word, "crash"))
    crash (&workers[atoi (first)], atoll (rest));
  else if (!strcmp (word, "quiet"))
    quiet = 1;
  else if (!strcmp (word, "weak"))
    workers[atoi (first)].weak = atoi (rest);
  else if (!strcmp (word, "job") || !strcmp (word, "ask"))
    {
      const char *prefix = strsep (&rest, " ");

      add_job (first, prefix, rest ? rest : "");
    }
  else
    note ("unknown command %s", word);
}

static void
on_command (evutil_socket_t fd, short what, void *ctx)
{
  static char buf[262144];
  static size_t len;
  ssize_t n = read (fd, buf + len, sizeof buf - len - 1);
  char *end;

  (void)what;
  (void)ctx;
  if (n <= 0)
    {
      event_base_loopbreak (base);
      return;
    }
  len += (size_t)n;
  buf[len] = 0;
  while ((end = strchr (buf, '\n')))
    {
      *end = 0;
      command (buf);
      len -= (size_t)(end + 1 - buf);
      memmove (buf, end + 1, len + 1);
    }
}

/* Ports below those that outgoing connections get, from a random one on. */
static int
print_ports (int n)
{
  struct timespec t;
  int port;

  clock_gettime (CLOCK_REALTIME, &t);
  port = 10000 + (int)((t.tv_nsec / 1000 + getpid () * 131) % 18000);
  for (; n > 0 && port < 32000; port++)
    {
      struct sockaddr_in a
          = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      if (fd >= 0 && !bind (fd, (struct sockaddr *)&a, sizeof a))
        {
          printf ("%d\n", port);
          n--;
        }
      close (fd);
    }
  return n ? 2 : 0;
}

int
main (int argc, char **argv)
{
  static const struct timeval span = { 0, TICK_MS * 1000 };

  if (argc == 3 && !strcmp (argv[1], "ports"))
    return print_ports (atoi (argv[2]));
  if (argc != 2 || !(record = fopen (argv[1], "a")))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  clock_gettime (CLOCK_MONOTONIC, &began);
  base = event_base_new ();
  event_add (event_new (base, 0, EV_READ | EV_PERSIST, on_command, NULL),
             NULL);
  event_add (event_new (base, -1, EV_PERSIST, tick, NULL), &span);
  event_base_dispatch (base);
  return 0;
}
