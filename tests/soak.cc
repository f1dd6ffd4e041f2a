/*
 * soak.cc -- the platform of a fault soak: real processes of gl-cell on
 * loopback, everything around them in this one
 *
 * An incident on users' machines was never seen on the members' bench, so
 * this test plays the platform itself: store, advisor, workers, callers and
 * whoever stops and kills VMs.  tests/soak.sh starts the VMs, each in a loop
 * that starts it again, and writes their process ids; this program starts
 * none and signals only those.  Faults are drawn from a seed.  What callers,
 * workers and the store see is held against the rules; a breach is printed
 * with its time and job, and the exit status is 1.
 *
 * Each VM has ports of its own for store and advisor, so that both know which
 * VM calls although all share one address.
 */
#include "soakhttp.h"

#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

extern "C"
{
#include <nettle/base64.h>
}

#include <algorithm>
#include <chrono>
#include <deque>
#include <fstream>
#include <list>
#include <numeric>
#include <random>
#include <set>
#include <utility>
#include <vector>

/* Bounds of the rules, in milliseconds; the settings in soak.sh are the
   same. */
const ms_t CONTACT_MS = 3000;
const ms_t IDLE_MS = 3000;
const ms_t CALM_BEFORE_MS = 4000;
const ms_t GRACE_MS = 6000;
const ms_t LOSS_SLACK_MS = 200;
/* A request waits this long at most when there is no owner. */
const ms_t NO_OWNER_MS = 1500;
const ms_t CONFIG_MS = 2000;
const ms_t CANCEL_MS = 3000;
const ms_t VISIBLE_MS = 3000;
const ms_t FINISH_MS = 14000;
const ms_t LEASE_MAX_MS = 6000;
const ms_t STOP_MAX_MS = 900;
const ms_t GANG_WAIT_MS = 3000;
const ms_t HEARTBEAT_MS = 1500;
const ms_t DEADLINE_MS = 3000;
/* Lateness of an answer that is still taken for in time. */
const ms_t ANSWER_SLACK_MS = 500;
/* Longest time to the end of every job; none lasts half of it. */
const ms_t END_MS = 40000;
const ms_t HISTORY_MS = 20000;
const ms_t STORE_MS = 3;
const ms_t TICKET_MS = 2500;
const ms_t TICK_MS = 20;
/* A tick that is later than this was held up; the platform itself stood. */
const ms_t HELD_UP_MS = 250;
/* A job has at most this many tries, so that short outages refuse some. */
const int TRIES_MAX = 6;
/* Share of seeds with an outage of the store beside the other faults, of seeds
   with short ones beside planned stops, and of those stops. */
const int OUTAGE_PERCENT = 60;
/* Longest first phase, of planned stops; it takes half of a shorter run. */
const ms_t STOPS_MS = 16000;
/* Connections to each VM that callers keep until its process has gone, and
   longest time between two requests on one of them. */
const int HELD_CHANNELS = 24;
const ms_t HELD_GAP_MS = 5000;
/* Share of workers that the advisor approves for a step, in percent. */
const int APPROVED_PERCENT = 70;
/* Share of writes that a store forgets that is planted to do so. */
const int FORGOTTEN_PERCENT = 20;
const int WORKER_CPU = 16000;
const int WORKER_MB = 32768;

/* ---- the run ---- */

int nvms = 6, nworkers = 12, base_port = 19000;
ms_t seconds = 40;
uint64_t seed = 1;
std::string dir = "run-soak";
/* A fault of the platform that a check must notice, "" for none.  "forgets":
   the store confirms some writes and forgets them; "obey": workers refuse no
   order; "omits": they do not list what runs; "double": they register twice
   their room; "rejects": the advisor approves no worker. */
std::string plant;
/* The schedule of faults has a generator of its own, @plan_rng, and so has
   each fault, so that a seed gives the same faults at the same times however
   the run goes.  The stops of several VMs are drawn by @stops_rng, so that the
   other faults of a seed do not depend on them. */
std::mt19937_64 rng, plan_rng, stops_rng;
std::mt19937_64 *source = &rng;
FILE *schedule;
int violations;
ms_t traffic_end, last_fault;

typedef std::unique_ptr<json_t, void (*) (json_t *)> json_ref;

json_ref
own (json_t *o)
{
  return json_ref (o, [] (json_t *p) { json_decref (p); });
}

json_ref
parse (const message_t &m)
{
  return own (json_loadb (m.body.data (), m.body.size (), 0, nullptr));
}

std::string
dump (json_t *o)
{
  char *text = json_dumps (o, JSON_COMPACT);
  std::string s = text ? text : "";

  free (text);
  json_decref (o);
  return s;
}

int64_t
number (const json_t *o, const char *key)
{
  const json_t *v = json_object_get (o, key);

  return json_is_number (v) ? (int64_t)json_number_value (v) : 0;
}

std::string
text (const json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));

  return s ? s : "";
}

int64_t
draw (int64_t low, int64_t high)
{
  return low + (int64_t)((*source) () % (uint64_t)(high - low + 1));
}

bool
chance (int percent)
{
  return draw (1, 100) <= percent;
}

std::string
format (const char *fmt, ...)
{
  char buf[1200];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (buf, sizeof buf, fmt, ap);
  va_end (ap);
  return buf;
}

void
note (const std::string &line)
{
  struct timespec t;
  struct tm tm;

  clock_gettime (CLOCK_REALTIME, &t);
  gmtime_r (&t.tv_sec, &tm);
  fprintf (schedule, "%02d:%02d:%02d.%03ld +%.3f %s\n", tm.tm_hour, tm.tm_min,
           tm.tm_sec, t.tv_nsec / 1000000, now () / 1000.0, line.c_str ());
  fflush (schedule);
}

void
violation (const char *rule, const std::string &why)
{
  violations++;
  note (format ("VIOLATION %s %s", rule, why.c_str ()));
  printf ("VIOLATION %s +%.3f %s (seed %llu)\n", rule, now () / 1000.0,
          why.c_str (), (unsigned long long)seed);
  fflush (stdout);
}

/* ---- calm ---- */

struct trouble_t
{
  ms_t from, until;
  bool planned;
};
std::vector<trouble_t> troubles;

/* Take note of a fault from now on for @span. */
void
fault (bool planned, ms_t span, const std::string &what)
{
  troubles.push_back ({ now (), now () + span, planned });
  last_fault = std::max (last_fault, now () + span);
  note (format ("%s %s for=%lldms", planned ? "planned" : "fault",
                what.c_str (), (long long)span));
}

/* No unplanned fault, or with @strict none at all, since @from. */
bool
calm_since (ms_t from, bool strict = false)
{
  for (const trouble_t &t : troubles)
    if (t.until >= from && (strict || !t.planned))
      return false;
  return true;
}

/* ---- jobs, as they are ---- */

struct task_t
{
  int active = 0;
  bool done = false, ever_done = false, acked = false;
  ms_t done_at = 0, started_at = -1;
  std::set<int> failed;
};

struct step_t
{
  int count, cpu, mem;
  ms_t ms;
  bool gang;
  std::vector<int> before;
  std::vector<task_t> tasks;
};

struct job_t
{
  std::string id, spec, kind;
  int queue;
  std::vector<step_t> steps;
  int fail_percent = 0;
  int tries = 0, tries_max = 1, refusals = 0;
  bool given_up = false, refused = false, started = false;
  ms_t accepted = 0, cancel_sent = 0, cancelled = 0, ended = 0;
  std::string state;
  int running = 0;
  ms_t idle_since = 0, room_slots = 0;
  bool idle_told = false;
};
std::map<std::string, std::shared_ptr<job_t> > jobs;

struct queue_t
{
  const char *name, *prefix;
  int priority, attempts;
  double decision_ms, per_worker_ms;
};
const queue_t QUEUES[] = { { "urgent", "/quick/", 0, 4, 10, 0.15 },
                           { "batch", "/batch/", 2, 4, 72, 1.0 },
                           { "gangs", "/gangs/", 1, 4, 570, 8.1 },
                           { "flaky", "/flaky/", 2, 2, 72, 1.0 } };
const char HOST[] = "cell.example";
const char SERVICE[] = "runners";

bool
step_done (const step_t &s, bool task_t::*flag)
{
  for (const task_t &t : s.tasks)
    if (!(t.*flag))
      return false;
  return true;
}

bool
step_ready (const job_t &j, const step_t &s, bool task_t::*flag)
{
  for (int b : s.before)
    if (!step_done (j.steps[b], flag))
      return false;
  return true;
}

/* Task name ID.K.STEP.INDEX; the job, or null if there is none such. */
std::shared_ptr<job_t>
find_task (const std::string &name, int *step, int *index)
{
  int k = 0, n = 0;
  auto j = jobs.find (name.substr (0, 16));

  if (j == jobs.end ()
      || sscanf (name.c_str () + 16, ".%d.%d.%d%n", &k, step, index, &n) != 3
      || name[16 + (size_t)n] || k || *step < 0 || *index < 0
      || *step >= (int)j->second->steps.size ()
      || *index >= j->second->steps[*step].count)
    return nullptr;
  return j->second;
}

/* ---- store ---- */

struct item_t
{
  std::string value;
  uint64_t revision, created, lease;
};
struct change_t
{
  std::string key;
  item_t item;
  bool deleted;
  ms_t at;
};
struct lease_t
{
  ms_t ttl, until;
};
struct watch_t
{
  uint64_t channel, after;
  std::string prefix;
  ms_t until;
};
enum store_mode_t
{
  STORE_SERVES,
  STORE_REFUSES,
  STORE_SILENT,
  STORE_SLOW,
  STORE_LOSES,
  STORE_LATE
};
const char *const STORE_MODES[]
    = { "serves", "refuses", "silent", "slow", "loses answers", "late" };

std::map<std::string, item_t> items;
std::deque<change_t> history;
std::map<uint64_t, lease_t> leases;
std::list<watch_t> watches;
uint64_t revision = 100, forgotten = 100, last_lease = 7000;
int last_writer = -1;

struct impaired_t
{
  store_mode_t mode = STORE_SERVES;
  ms_t until = 0;
};
std::vector<impaired_t> store_for;
bool store_down;

json_t *
item_json (const std::string &key, const item_t &i)
{
  return json_pack ("{s:s,s:s#,s:I,s:I,s:I}", "key", key.c_str (), "value",
                    i.value.data (), (int)i.value.size (), "revision",
                    (json_int_t)i.revision, "created", (json_int_t)i.created,
                    "lease", (json_int_t)i.lease);
}

/* Events of @prefix after @rev; null if there are none. */
json_t *
events_after (const std::string &prefix, uint64_t rev)
{
  json_t *list = nullptr;

  auto from = std::lower_bound (
      history.begin (), history.end (), rev + 1,
      [] (const change_t &c, uint64_t r) { return c.item.revision < r; });
  for (; from != history.end (); from++)
    if (from->key.compare (0, prefix.size (), prefix) == 0)
      {
        if (!list)
          list = json_array ();
        json_array_append_new (
            list, from->deleted ? json_pack (
                      "{s:s,s:I,s:b}", "key", from->key.c_str (), "revision",
                      (json_int_t)from->item.revision, "deleted", 1)
                                : item_json (from->key, from->item));
      }
  return list;
}

std::string
events_body (json_t *list)
{
  return dump (json_pack ("{s:o,s:I}", "events", list ? list : json_array (),
                          "currentRev", (json_int_t)revision));
}

void
wake_watches ()
{
  for (auto w = watches.begin (); w != watches.end ();)
    {
      json_t *list = events_after (w->prefix, w->after);
      if (list || now () >= w->until)
        {
          answer (w->channel, 200, events_body (list), STORE_MS);
          w = watches.erase (w);
        }
      else
        w++;
    }
}

void
put (const std::string &key, const std::string &value, uint64_t lease)
{
  item_t &i = items[key];

  i = { value, revision, i.created ? i.created : revision, lease };
  history.push_back ({ key, i, false, now () });
}

void
remove_key (const std::string &key)
{
  if (items.erase (key))
    history.push_back ({ key, { "", revision, 0, 0 }, true, now () });
}

void
end_lease (uint64_t lease)
{
  std::vector<std::string> keys;

  leases.erase (lease);
  for (auto &i : items)
    if (i.second.lease == lease)
      keys.push_back (i.first);
  if (!keys.empty ())
    revision++;
  for (auto &k : keys)
    remove_key (k);
}

/* Write by the platform itself: @json is encoded. */
void
put_json (const std::string &key, const std::string &json)
{
  std::string out (BASE64_ENCODE_RAW_LENGTH (json.size ()), 0);

  base64_encode_raw (out.data (), json.size (), (const uint8_t *)json.data ());
  revision++;
  put (key, out, 0);
  wake_watches ();
}

int
transact (const json_t *o, std::string *body)
{
  size_t i;
  json_t *v;
  bool holds = true;

  json_array_foreach (json_object_get (o, "expectedRevision"), i, v)
  {
    auto it = items.find (text (v, "key"));
    uint64_t have = it == items.end () ? 0 : it->second.revision;
    holds = holds && have == (uint64_t)number (v, "revision");
  }
  if (!holds)
    {
      json_t *list = json_array ();
      json_array_foreach (json_object_get (o, "expectedRevision"), i, v)
      {
        auto it = items.find (text (v, "key"));
        if (it != items.end ())
          json_array_append_new (list, item_json (it->first, it->second));
      }
      *body = dump (json_pack ("{s:o}", "items", list));
      return 412;
    }
  json_array_foreach (json_object_get (o, "puts"), i, v)
  {
    std::string key = text (v, "key");
    if (number (v, "lease") && !leases.count ((uint64_t)number (v, "lease")))
      return 404;
    if (key.compare (0, 3, "op/") == 0 || key.compare (0, 8, "servers/") == 0)
      return 403;
  }
  revision++;
  if (plant != "forgets" || !chance (FORGOTTEN_PERCENT))
    json_array_foreach (json_object_get (o, "puts"), i, v) put (
        text (v, "key"), text (v, "value"), (uint64_t)number (v, "lease"));
  json_array_foreach (json_object_get (o, "remove"), i, v)
      remove_key (json_string_value (v) ? json_string_value (v) : "");
  *body = format ("{\"revision\":%llu}", (unsigned long long)revision);
  return 200;
}

const size_t PAGE_ITEMS = 500;
const size_t PAGE_BYTES = 1000000;

std::string
range (const std::string &prefix, const std::string &from)
{
  json_t *list = json_array ();
  size_t bytes = 0;
  bool more = false;
  auto i
      = from.empty () ? items.lower_bound (prefix) : items.upper_bound (from);

  for (;
       i != items.end () && i->first.compare (0, prefix.size (), prefix) == 0;
       i++)
    {
      more = json_array_size (list) == PAGE_ITEMS || bytes > PAGE_BYTES;
      if (more)
        break;
      bytes += i->second.value.size ();
      json_array_append_new (list, item_json (i->first, i->second));
    }
  return dump (json_pack ("{s:o,s:b,s:I}", "items", list, "hasMore", more,
                          "currentRev", (json_int_t)revision));
}

/* Carry out a call; the status, 0 if the answer comes later. */
int
store_execute (int vm, uint64_t channel, const message_t &m, std::string *body)
{
  std::string path = m.path ();
  json_ref o = parse (m);

  *body = "{}";
  if (path == "/kv-txn")
    {
      int status = transact (o.get (), body);
      if (status == 200
          && json_array_size (json_object_get (o.get (), "puts")))
        last_writer = vm;
      wake_watches ();
      return status;
    }
  if (path == "/kv-range")
    *body = range (m.query ("prefix"), m.query ("after"));
  else if (path == "/kv-key")
    {
      auto i = items.find (m.query ("key"));
      if (i == items.end ())
        return 404;
      *body = dump (item_json (i->first, i->second));
    }
  else if (path == "/kv-watch")
    {
      uint64_t from = strtoull (m.query ("after").c_str (), nullptr, 10);
      if (from < forgotten)
        return 410;
      watches.push_back ({ channel, from, m.query ("prefix"),
                           now () + atoi (m.query ("waitMs").c_str ()) });
      wake_watches ();
      return 0;
    }
  else if (path == "/kv-lease")
    {
      ms_t ttl = std::max<ms_t> (number (o.get (), "ttlMs"), 1000);
      leases[++last_lease] = { ttl, now () + ttl };
      *body = format ("{\"lease\":%llu,\"ttlMs\":%lld}",
                      (unsigned long long)last_lease, (long long)ttl);
    }
  else if (path.compare (0, 9, "/kv-keep/") == 0)
    {
      auto l = leases.find (strtoull (path.c_str () + 9, nullptr, 10));
      if (l == leases.end ())
        return 404;
      l->second.until = now () + l->second.ttl;
      *body = format ("{\"ttlMs\":%lld}", (long long)l->second.ttl);
    }
  else if (path.compare (0, 14, "/kv-lease-end/") == 0)
    {
      end_lease (strtoull (path.c_str () + 14, nullptr, 10));
      wake_watches ();
    }
  else
    return 400;
  return 200;
}

void
store_request (int vm, uint64_t channel, message_t &m)
{
  store_mode_t mode
      = now () < store_for[vm].until ? store_for[vm].mode : STORE_SERVES;
  std::string body;

  if (mode == STORE_REFUSES)
    {
      answer (channel, 503, "{}", STORE_MS);
      return;
    }
  if (mode == STORE_SILENT)
    {
      channel_deafen (channel);
      return;
    }
  if (mode == STORE_LATE && m.path () == "/kv-txn" && chance (50))
    {
      channel_deafen (channel);
      after (draw (500, 4000), [=] {
        std::string b;
        store_execute (vm, channel, m, &b);
      });
      return;
    }
  int status = store_execute (vm, channel, m, &body);
  if (mode == STORE_LOSES && m.path () != "/kv-watch" && chance (30))
    channel_deafen (channel);
  else if (status)
    answer (channel, status, body,
            mode == STORE_SLOW ? draw (200, 600) : STORE_MS);
}

void
store_tick (ms_t span)
{
  std::vector<uint64_t> over;

  for (auto &l : leases)
    {
      if (store_down)
        l.second.until += span;
      if (now () >= l.second.until)
        over.push_back (l.first);
    }
  for (uint64_t l : over)
    end_lease (l);
  while (!history.empty () && history.front ().at < now () - HISTORY_MS)
    {
      forgotten = history.front ().item.revision;
      history.pop_front ();
    }
  wake_watches ();
}

/* ---- workers ---- */

struct run_t
{
  std::shared_ptr<job_t> job;
  int step, index, run;
  ms_t began, ends;
  const char *how;
  bool stopping;

  int
  percent () const
  {
    return began ? (int)(100 * (now () - began) / (ends - began + 1)) : 0;
  }
};
struct end_t
{
  int n;
  std::string task;
  int run;
  const char *how;
  bool lapsed;
};
struct poll_t
{
  uint64_t channel;
  int64_t ack;
  ms_t until;
};
typedef std::pair<std::string, int> run_key_t;

struct worker_t
{
  int index = 0, port = 0;
  int life = 0; /* number of its incarnation */
  std::string id;
  double rate = 1;
  ms_t epoch = 0, born = 0;
  int64_t started = 0; /* wall clock, ms since the epoch */
  int64_t fence = 0;
  ms_t lease = 0;
  std::map<run_key_t, run_t> runs;
  std::deque<end_t> ends;
  int last_end = 0;
  std::map<std::string, int> highest;
  std::list<poll_t> polls;
  int cpu = 0, mem = 0;
  bool up = true;
  bool written = false; /* the registration of this life */
  ms_t silent_until = 0, late_until = 0;
  ms_t beat_at = 0, registered_until = 0;
  std::string entry;
  server_t server;
  std::set<uint64_t> open;

  ms_t
  clock () const
  {
    return epoch + (ms_t)((double)(now () - born) * rate);
  }
  bool
  reached () const
  {
    return up && now () >= silent_until;
  }
};
const ms_t FOR_GOOD = INT64_MAX / 2;
std::vector<std::unique_ptr<worker_t> > workers;

/** struct gang_t - the members of one run of a gang that are present */
struct gang_t
{
  std::vector<std::pair<worker_t *, run_key_t> > members;
  bool begun = false;
};
std::map<std::string, gang_t> gangs;

std::string
gang_name (const run_t &r)
{
  return format ("%s.%d.%d", r.job->id.c_str (), r.step, r.run);
}

bool
approved (const std::string &step, const std::string &worker)
{
  return (int)(std::hash<std::string>{}(step + "/" + worker) % 100)
         < APPROVED_PERCENT;
}

std::string
step_name (const job_t &j, int step)
{
  return format ("%s.0.%d", j.id.c_str (), step);
}

void run_over (worker_t &w, run_key_t key, const char *how, bool listed);

void
answer_poll (worker_t &w, uint64_t channel, int64_t ack)
{
  json_t *running = json_array ();
  json_t *finished = json_array ();

  for (auto &r : w.runs)
    if (plant != "omits")
      json_array_append_new (
          running, json_pack ("[s,i,s,i,i]", r.first.first.c_str (),
                              r.first.second, "", r.second.percent (), 0));
  for (auto &e : w.ends)
    if (e.n > ack && json_array_size (finished) < 500)
      json_array_append_new (
          finished,
          json_pack ("[i,s,i,s,s]", e.n, e.task.c_str (), e.run, e.how, ""));
  answer (
      channel, 200,
      dump (json_pack ("{s:I,s:I,s:o,s:o}", "timestampMs",
                       (json_int_t)w.clock (), "born", (json_int_t)w.started,
                       "running", running, "finished", finished)),
      1);
}

void
list_end (worker_t &w, const run_key_t &key, const char *how)
{
  w.ends.push_back ({ ++w.last_end, key.first, key.second, how, false });
  for (auto &p : w.polls)
    answer_poll (w, p.channel, p.ack);
  w.polls.clear ();
}

/* A run has ended @how; with @listed the worker lives and lists it. */
void
run_over (worker_t &w, run_key_t key, const char *how, bool listed)
{
  auto i = w.runs.find (key);

  if (i == w.runs.end ())
    return;
  run_t r = i->second;
  step_t &s = r.job->steps[r.step];
  task_t &t = s.tasks[r.index];
  w.runs.erase (i);
  w.cpu -= s.cpu;
  w.mem -= s.mem;
  t.active--;
  r.job->running--;
  if (listed)
    {
      if (!strcmp (how, "done"))
        {
          t.ever_done = true;
          t.done = w.reached ();
          t.done_at = now ();
        }
      if (!strcmp (how, "failed"))
        t.failed.insert (r.run);
      if (!strcmp (how, "alone") && !r.job->cancel_sent
          && calm_since (now () - GANG_WAIT_MS - CONTACT_MS, true))
        violation ("gang", "alone " + key.first);
      int &high = w.highest[key.first];
      high = std::max (high, key.second);
      list_end (w, key, how);
    }
  if (!s.gang)
    return;
  gang_t gang = gangs[gang_name (r)];
  if (gang.begun)
    {
      gangs.erase (gang_name (r));
      bool done = !strcmp (how, "done");
      for (auto &m : gang.members)
        run_over (*m.first, m.second, done ? "done" : "broken", m.first->up);
    }
  else
    std::erase_if (gangs[gang_name (r)].members,
                   [&] (auto &m) { return m.first == &w && m.second == key; });
}

/* All that runs on @w ends. */
void
end_all (worker_t &w, const char *how, bool listed)
{
  while (!w.runs.empty ())
    run_over (w, w.runs.begin ()->first, how, listed);
}

/* The ends that @w has listed and nobody has taken note of are lost. */
void
lose_ends (worker_t &w)
{
  int step, index;

  for (auto &e : w.ends)
    if (auto j = find_task (e.task, &step, &index))
      if (!strcmp (e.how, "done") && !j->steps[step].tasks[index].acked)
        j->steps[step].tasks[index].done = false;
  w.ends.clear ();
}

std::string
worker_refuses (worker_t &w, const json_t *o, const std::string &task, int run,
                job_t *j, int step)
{
  ms_t until
      = std::min<ms_t> (number (o, "deadlineMs"), w.clock () + LEASE_MAX_MS);

  if (number (o, "deadlineMs") <= w.clock ())
    return "late";
  w.lease = std::max (w.lease, until);
  if (w.highest.count (task) && run <= w.highest[task])
    return "old";
  std::string ticket = text (o, "ticket");
  size_t dash = ticket.rfind ('-');
  if (!j || dash == std::string::npos
      || ticket.substr (0, dash) != step_name (*j, step) + "-" + w.id
      || atoll (ticket.c_str () + dash + 1) < now ())
    return "ticket";
  return "";
}

void
begin_run (worker_t &w, std::shared_ptr<job_t> j, int step, int index, int run,
           const std::string &task, const std::string &spec)
{
  step_t &s = j->steps[step];
  task_t &t = s.tasks[index];
  run_t r = { j, step, index, run, 0, 0, "done", false };
  auto bad = [&] (const char *rule, const char *why) {
    violation (rule, format ("%s task=%s run=%d worker=%s", why, task.c_str (),
                             run, w.id.c_str ()));
  };

  if (t.active)
    bad ("twice", "runs elsewhere");
  if (t.acked)
    bad ("twice", "started after its end was taken note of");
  if (!step_ready (*j, s, &task_t::ever_done))
    bad ("order", "started too early");
  if (spec != j->spec)
    bad ("unasked", "another spec");
  if (j->refused)
    bad ("refused", "started though all tries were refused");
  if (j->cancelled && now () > j->cancelled + CANCEL_MS
      && calm_since (now () - CANCEL_MS - CONTACT_MS))
    bad ("unasked", "started after its cancel");
  w.cpu += s.cpu;
  w.mem += s.mem;
  if (w.cpu > WORKER_CPU || w.mem > WORKER_MB)
    bad ("limit", format ("worker over its room cpu=%d", w.cpu).c_str ());
  t.active++;
  t.started_at = now ();
  j->running++;
  j->started = true;
  ms_t span = s.ms * draw (80, 120) / 100;
  if (chance (j->fail_percent))
    {
      r.how = "failed";
      span /= 2;
    }
  r.began = now ();
  r.ends = now () + span;
  run_key_t key (task, run);
  w.runs[key] = r;
  if (!s.gang)
    return;
  /* A member waits for the others; with the last one all are at work. */
  gang_t &g = gangs[gang_name (r)];
  g.members.push_back ({ &w, key });
  g.begun = (int)g.members.size () == s.count;
  for (auto &m : g.members)
    {
      run_t &of = m.first->runs[m.second];
      if (g.begun && !of.stopping)
        of = { j, step, of.index, run, r.began, r.ends, r.how, false };
    }
  if (!g.begun)
    w.runs[key]
        = { j, step, index, run, 0, now () + GANG_WAIT_MS, "alone", false };
}

void
stop_run (worker_t &w, const std::string &task, int run)
{
  auto i = w.runs.find (run_key_t (task, run));
  int &high = w.highest[task];

  high = std::max (high, run);
  if (i == w.runs.end () || i->second.stopping)
    return;
  i->second.stopping = true;
  i->second.how = "stopped";
  i->second.ends = std::min (i->second.ends, now () + draw (0, STOP_MAX_MS));
}

void
acknowledge (worker_t &w, int64_t ack)
{
  while (!w.ends.empty () && w.ends.front ().n <= ack)
    {
      end_t e = w.ends.front ();
      int step, index;
      auto j = find_task (e.task, &step, &index);
      w.ends.pop_front ();
      if (!j || strcmp (e.how, "done") || e.lapsed)
        continue;
      task_t &t = j->steps[step].tasks[index];
      t.acked = t.done = true;
      if (t.started_at > t.done_at)
        violation ("twice",
                   "started between its end and the note of it " + e.task);
    }
}

/* Carry out a call; the answer, or an empty status for one that waits. */
void
worker_execute (worker_t &w, int life, uint64_t channel, const message_t &m)
{
  json_ref o = parse (m);
  std::string task = text (o.get (), "task"), reason;
  int run = (int)number (o.get (), "run"), step = 0, index = 0;
  int64_t ack = number (o.get (), "ackCursor");

  if (!w.up || w.life != life)
    return;
  if (m.header ("x-expected-instance") != w.id)
    {
      answer (channel, 421, "{}", 1);
      return;
    }
  if (number (o.get (), "fencingToken") < w.fence && plant != "obey")
    reason = "fence";
  else
    {
      w.fence = number (o.get (), "fencingToken");
      if (m.second == "/hold")
        {
          if (number (o.get (), "deadlineMs") > w.clock ())
            w.lease = std::max (
                w.lease, std::min<ms_t> (number (o.get (), "deadlineMs"),
                                         w.clock () + LEASE_MAX_MS));
          acknowledge (w, ack);
          ms_t wait = number (o.get (), "waitMs");
          if (wait && w.ends.empty ())
            w.polls.push_back ({ channel, ack, now () + wait });
          else
            answer_poll (w, channel, ack);
          return;
        }
      auto j = find_task (task, &step, &index);
      if (!j)
        violation ("unasked", "order for " + task);
      else if (m.second == "/run-stop")
        stop_run (w, task, run);
      else if (!w.runs.count (run_key_t (task, run)))
        {
          reason = worker_refuses (w, o.get (), task, run, j.get (), step);
          if (plant == "obey")
            reason = "";
          if (reason.empty ())
            begin_run (w, j, step, index, run, task, text (o.get (), "spec"));
        }
    }
  std::string body = format (
      "{\"timestampMs\":%lld%s}", (long long)w.clock (),
      reason.empty () ? "" : (",\"reason\":\"" + reason + "\"").c_str ());
  answer (channel, reason.empty () ? 200 : 409, body, 1);
}

void
worker_request (worker_t &w, uint64_t channel, message_t &m)
{
  int life = w.life;
  worker_t *p = &w;

  if (!w.reached ())
    channel_deafen (channel);
  else if (now () < w.late_until && chance (40))
    {
      channel_deafen (channel);
      after (draw (500, 4000), [=] { worker_execute (*p, life, channel, m); });
    }
  else
    worker_execute (w, life, channel, m);
}

void
worker_register (worker_t &w)
{
  if (now () < w.beat_at || !w.reached () || store_down)
    return;
  w.beat_at = now () + HEARTBEAT_MS;
  w.registered_until = now () + 3 * HEARTBEAT_MS;
  if (!items.count ("servers/" + w.id) || !w.written)
    put_json ("servers/" + w.id, w.entry);
  w.written = true;
}

/* A new life of @w, under the id of the one before if @returns: nothing of
   that one is left. */
void
worker_birth (worker_t &w, bool returns)
{
  w.life++;
  w.started = std::chrono::duration_cast<std::chrono::milliseconds> (
                  std::chrono::system_clock::now ().time_since_epoch ())
                  .count ();
  if (!returns)
    w.id = format ("i-%08llx", (unsigned long long)(rng () & 0xffffffff));
  w.rate = 1 - (double)draw (0, 20) / 1000;
  w.epoch = draw (1000, 900000);
  w.born = now ();
  w.fence = w.lease = w.beat_at = 0;
  w.last_end = 0;
  w.highest.clear ();
  w.up = true;
  w.written = false;
  w.entry = format (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"born\":%lld,"
      "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
      "\"labels\":[\"a\",\"r%d-%d\"],\"sequence\":1}",
      SERVICE, w.port, w.index % 3, (long long)w.started,
      (plant == "double" ? 2 : 1) * WORKER_CPU, WORKER_MB, w.index % 3,
      w.index / 3);
  if (!w.server.open (
          w.port,
          [&w] (uint64_t c, message_t &m) { worker_request (w, c, m); },
          [&w] (uint64_t c) { w.open.insert (c); }))
    note (format ("worker %d cannot listen on %d", w.index, w.port));
}

/* The process of @w ends; @back: after this time it has a new life, under its
   id if @returns. */
void
worker_crash (worker_t &w, ms_t back, bool returns = false)
{
  std::string old = "servers/" + w.id;
  ms_t lapse = w.registered_until;

  w.up = false;
  w.server.close ();
  channels_fail (w.open, true);
  w.polls.clear ();
  end_all (w, "lost", false);
  lose_ends (w);
  after (std::max<ms_t> (lapse - now (), 1), [&w, old, life = w.life] {
    /* The next life has written it since. */
    if (w.life != life && w.written && old == "servers/" + w.id)
      return;
    revision++;
    remove_key (old);
  });
  w.registered_until = 0;
  if (back)
    after (back, [&w, returns] { worker_birth (w, returns); });
}

void
worker_tick (worker_t &w)
{
  if (!w.up)
    return;
  worker_register (w);
  if (w.registered_until && now () >= w.registered_until && !store_down)
    {
      revision++;
      remove_key ("servers/" + w.id);
      w.registered_until = 0;
    }
  if (w.clock () >= w.lease)
    {
      for (auto &e : w.ends)
        e.lapsed = true;
      end_all (w, "lapsed", true);
    }
  std::vector<std::pair<run_key_t, const char *> > over;
  for (auto &r : w.runs)
    if (now () >= r.second.ends)
      over.push_back ({ r.first, r.second.how });
  for (auto &r : over)
    run_over (w, r.first, r.second, true);
  for (auto p = w.polls.begin (); p != w.polls.end ();)
    if (now () >= p->until)
      {
        answer_poll (w, p->channel, p->ack);
        p = w.polls.erase (p);
      }
    else
      p++;
}

/* ---- VMs ---- */

struct vm_t
{
  int index = 0, zone = 0, port = 0;
  pid_t pid = 0;
  pid_t termed = 0, killed = 0;
  ms_t disturbed = 0, term_at = -FOR_GOOD;
  /* Time from the start of the next process to SIGTERM; 0 for none. */
  ms_t again = 0;
  int misses = 2;
  bool advising = false;
  std::deque<std::pair<uint64_t, message_t> > advice;
  server_t store, advisor;
  std::set<uint64_t> open;

  bool
  stopping () const
  {
    return pid && termed == pid;
  }
  bool
  in_touch (ms_t since) const
  {
    return pid && disturbed + CONTACT_MS <= since
           && store_for[index].until + CONTACT_MS <= since;
  }
};
std::vector<std::unique_ptr<vm_t> > vms;
/* When last no VM served, and for how long in the whole run. */
ms_t none_served_at = -FOR_GOOD, none_served_ms;

/* Each VM has been in a planned stop, or has had no process, since @since. */
bool
none_serves (ms_t since)
{
  for (auto &v : vms)
    if (v->term_at > since || (v->pid && !v->stopping ()))
      return false;
  return true;
}

void vm_term (vm_t &v);

/* The process id in the VM's file, 0 if none runs. */
pid_t
read_pid (const vm_t &v)
{
  std::ifstream f (format ("%s/vm%d.pid", dir.c_str (), v.index));
  pid_t pid = 0;

  f >> pid;
  return pid;
}

/* Signal the VM's process if it is still the one that is known. */
bool
vm_signal (vm_t &v, int sig)
{
  return v.pid && read_pid (v) == v.pid && !kill (v.pid, sig);
}

/* How a process ended that is there no more. */
void
vm_ended (vm_t &v)
{
  std::ifstream f (format ("%s/vm%d.ends", dir.c_str (), v.index));
  pid_t pid;
  int status, last = -1;

  while (f >> pid >> status)
    if (pid == v.pid)
      last = status;
  note (format ("vm%d pid=%d ended status=%d", v.index, v.pid, last));
  if (!(last == 0 && v.termed == v.pid) && v.killed != v.pid)
    violation ("process",
               format ("vm%d ended by itself, status %d", v.index, last));
}

void
vm_tick (vm_t &v)
{
  pid_t pid = read_pid (v);

  if (pid == v.pid)
    return;
  if (v.pid)
    vm_ended (v);
  v.pid = pid;
  v.disturbed = now ();
  if (!pid)
    return;
  note (format ("vm%d pid=%d started", v.index, pid));
  if (v.again)
    after (std::exchange (v.again, 0), [&v, pid] {
      if (v.pid == pid)
        vm_term (v);
    });
}

void
advise_next (vm_t &v)
{
  if (v.advising || v.advice.empty ())
    return;
  auto [channel, m] = v.advice.front ();
  v.advice.pop_front ();
  v.advising = true;
  json_ref o = parse (m);
  std::string step = text (o.get (), "step");
  json_t *list = json_array (), *w;
  size_t i;
  auto j = jobs.find (step.substr (0, 16));
  const queue_t &q = QUEUES[j == jobs.end () ? 0 : j->second->queue];
  const json_t *named = json_object_get (o.get (), "workers");
  ms_t span = (ms_t)(q.decision_ms
                     + q.per_worker_ms * (double)json_array_size (named));
  json_array_foreach (named, i, w)
  {
    std::string id = json_string_value (w) ? json_string_value (w) : "";
    /* The number in a ticket is the time of its end. */
    if (approved (step, id) && plant != "rejects")
      json_array_append_new (
          list, json_pack ("[s,s]", id.c_str (),
                           format ("%s-%s-%lld", step.c_str (), id.c_str (),
                                   (long long)(now () + span + TICKET_MS))
                               .c_str ()));
  }
  std::string body = dump (json_pack ("{s:o,s:I}", "approved", list,
                                      "validityMs", (json_int_t)TICKET_MS));
  uint64_t ch = channel;
  after (span, [&v, ch, body] {
    answer (ch, 200, body);
    v.advising = false;
    advise_next (v);
  });
}

void
vm_listen (vm_t &v)
{
  auto opened = [&v] (uint64_t c) { v.open.insert (c); };

  v.store.open (
      v.port + 4,
      [&v] (uint64_t c, message_t &m) { store_request (v.index, c, m); },
      opened);
  v.advisor.open (
      v.port + 5,
      [&v] (uint64_t c, message_t &m) {
        if (v.advice.size () >= 32)
          answer (c, 429, "{}");
        else
          v.advice.push_back ({ c, m });
        advise_next (v);
      },
      opened);
  if (!v.store.listener || !v.advisor.listener)
    note (format ("cannot listen for vm%d", v.index));
}

/* ---- callers ---- */

/** struct reply_t - the end of a request: @status 0 without a whole answer */
struct reply_t
{
  int status;
  message_t m;
};
typedef std::function<void (const reply_t &)> on_reply_t;

struct caller_t
{
  int zone = 0, vm = -1;
  bool held = false; /* Keeps its VM, and its connection open. */
  uint64_t channel = 0;
  uint64_t request = 0;
  ms_t sent = 0;
  std::string what{};
  on_reply_t done{};
};
std::vector<std::unique_ptr<caller_t> > callers, holders;
uint64_t last_request;
int requests_cut, requests_unanswered, requests_queued;
/* Requests sent as a whole and cut within LOSS_SLACK_MS. */
int requests_cut_soon;
/* Largest age of an answer 503 of a stopping VM. */
ms_t refusal_ms;

/* The VM to which the balancer sends a new channel of @zone. */
int
balance (int zone, int avoid)
{
  std::vector<int> all, in;

  for (int z = 0; z < 3 && in.empty (); z++)
    {
      all.clear ();
      for (auto &v : vms)
        if (v->zone == (zone + z) % 3)
          {
            all.push_back (v->index);
            if (v->misses < 2)
              in.push_back (v->index);
          }
      if (!in.empty () && in.size () * 2 < all.size ())
        in = all;
    }
  if (in.empty ())
    in = all;
  int pick = in[(size_t)draw (0, (int64_t)in.size () - 1)];
  if (pick == avoid)
    pick = in[(size_t)draw (0, (int64_t)in.size () - 1)];
  return pick;
}

void
caller_end (caller_t &c, reply_t r)
{
  on_reply_t done = std::move (c.done);

  c.request = 0;
  c.done = nullptr;
  if (done)
    done (r);
}

/* Hold the age of an answer 503 against the rules. */
void
check_refusal (const caller_t &c)
{
  ms_t age = now () - c.sent;

  if (vms[c.vm]->stopping ())
    refusal_ms = std::max (refusal_ms, age);
  if (none_serves (c.sent) && age > NO_OWNER_MS + ANSWER_SLACK_MS
      && calm_since (c.sent - CONTACT_MS))
    violation ("slow", format ("vm%d refused %s after %lld ms, no VM served",
                               c.vm, c.what.c_str (), (long long)age));
}

/* The channel has ended without a whole answer. */
void
caller_cut (caller_t &c)
{
  vm_t &v = *vms[c.vm];
  bool sent = channel_sent (c.channel);

  c.channel = 0;
  if (!c.request)
    return;
  requests_cut++;
  requests_cut_soon += sent && now () <= c.sent + LOSS_SLACK_MS;
  bool stop = v.term_at <= now () && now () <= v.term_at + GRACE_MS + 1000;
  bool undisturbed = v.disturbed + CONTACT_MS <= c.sent;
  if (now () > c.sent + LOSS_SLACK_MS && (stop || undisturbed)
      && calm_since (c.sent - CONTACT_MS))
    violation (stop ? "lost" : "cut",
               format ("vm%d ended %s without an answer, %lld ms after it was "
                       "sent, %lld ms after SIGTERM",
                       v.index, c.what.c_str (), (long long)(now () - c.sent),
                       stop ? (long long)(now () - v.term_at) : -1LL));
  caller_end (c, { 0, {} });
}

/* Connect to the caller's VM. */
void
caller_open (caller_t &c)
{
  caller_t *p = &c;

  c.channel = channel_open (
      vms[c.vm]->port,
      [p] (uint64_t id, message_t &m) {
        if (m.header ("connection") == "close")
          {
            channel_close (id);
            p->channel = 0;
          }
        if (p->request && m.second == "503")
          check_refusal (*p);
        if (p->request)
          caller_end (*p, { atoi (m.second.c_str ()), m });
      },
      [p] (uint64_t) { caller_cut (*p); });
}

void
caller_send (caller_t &c, const std::string &method, const std::string &path,
             const std::string &body, int avoid, on_reply_t done)
{
  caller_t *p = &c;

  if (c.channel && !c.held && (c.vm == avoid || chance (5)))
    {
      channel_close (c.channel);
      c.channel = 0;
    }
  c.request = ++last_request;
  c.sent = now ();
  c.what = method + " " + path;
  c.done = std::move (done);
  if (!c.channel)
    {
      c.vm = balance (c.zone, avoid);
      caller_open (c);
    }
  channel_write (c.channel,
                 method + " " + path + " HTTP/1.1\r\nHost: " + HOST
                     + "\r\nX-Deadline-Ms: " + std::to_string (DEADLINE_MS)
                     + "\r\n",
                 body);
  uint64_t request = c.request;
  after (DEADLINE_MS + ANSWER_SLACK_MS, [p, request] {
    if (p->request != request)
      return;
    requests_unanswered++;
    if (vms[p->vm]->in_touch (p->sent) && calm_since (p->sent - CONTACT_MS))
      violation ("unanswered",
                 format ("vm%d did not answer %s", p->vm, p->what.c_str ()));
    channel_close (p->channel);
    p->channel = 0;
    caller_end (*p, { 0, {} });
  });
}

/* Send by any idle caller; when all are busy, a little later. */
void
send (const std::string &method, const std::string &path,
      const std::string &body, int avoid,
      std::function<void (int vm, const reply_t &)> done)
{
  size_t n = callers.size (), first = (size_t)draw (0, (int64_t)n - 1);

  for (size_t i = 0; i < n; i++)
    {
      caller_t &c = *callers[(first + i) % n];
      if (c.request)
        continue;
      caller_send (c, method, path, body, avoid,
                   [&c, done] (const reply_t &r) { done (c.vm, r); });
      return;
    }
  requests_queued++;
  after (100, [=] { send (method, path, body, avoid, done); });
}

std::string
job_path (const job_t &j)
{
  return QUEUES[j.queue].prefix + j.id;
}

std::string
job_body (const job_t &j)
{
  json_t *steps = json_array ();

  for (const step_t &s : j.steps)
    {
      json_t *o
          = json_pack ("{s:i,s:i,s:i,s:I}", "count", s.count, "cpu", s.cpu,
                       "memMb", s.mem, "estimateMs", (json_int_t)s.ms);
      if (s.gang)
        json_object_set_new (o, "gang", json_true ());
      if (!s.before.empty ())
        {
          json_t *b = json_array ();
          for (int n : s.before)
            json_array_append_new (b, json_integer (n));
          json_object_set_new (o, "after", b);
        }
      json_array_append_new (steps, o);
    }
  return dump (
      json_pack ("{s:s,s:o}", "spec", j.spec.c_str (), "steps", steps));
}

/* A task of @j, or a gang, has failed as often as it may. */
bool
failed_for_good (const job_t &j)
{
  for (const step_t &s : j.steps)
    {
      std::set<int> runs;
      for (const task_t &t : s.tasks)
        {
          if ((int)t.failed.size () >= QUEUES[j.queue].attempts)
            return true;
          runs.insert (t.failed.begin (), t.failed.end ());
        }
      if (s.gang && (int)runs.size () >= QUEUES[j.queue].attempts)
        return true;
    }
  return false;
}

void
check_state (job_t &j, const std::string &state, int vm)
{
  bool done = true;

  for (const step_t &s : j.steps)
    done = done && step_done (s, &task_t::ever_done);
  j.state = state;
  if (state == "completed" && !done)
    violation ("mixed", j.id + " is shown as completed and is not");
  if ((state == "failed" && !failed_for_good (j))
      || (state == "cancelled" && !j.cancel_sent))
    violation ("lost", format ("%s is shown as %s without cause by vm%d",
                               j.id.c_str (), state.c_str (), vm));
  if (state == "completed" || state == "failed" || state == "cancelled")
    j.ended = now ();
}

void
poll_state (std::shared_ptr<job_t> j)
{
  send ("GET", job_path (*j), "", -1, [j] (int vm, const reply_t &r) {
    if (r.status == 200)
      {
        json_ref o = parse (r.m);
        check_state (*j, text (o.get (), "state"), vm);
      }
    else if (r.status == 410 && !j->cancel_sent
             && now () > j->accepted + VISIBLE_MS
             && vms[vm]->in_touch (now ()))
      violation ("lost", format ("%s is 410 on vm%d", j->id.c_str (), vm));
    if (!j->ended)
      after (draw (600, 1400), [j] { poll_state (j); });
  });
}

void
cancel (std::shared_ptr<job_t> j)
{
  j->cancel_sent = now ();
  send ("DELETE", job_path (*j), "", -1, [j] (int, const reply_t &r) {
    if (r.status == 200 || r.status == 410)
      j->cancelled = now ();
    else if (!j->ended)
      after (500, [j] { cancel (j); });
  });
}

void
submit (std::shared_ptr<job_t> j, int avoid)
{
  j->tries++;
  send (
      "POST", job_path (*j), job_body (*j), avoid,
      [j] (int vm, const reply_t &r) {
        if (j->accepted)
          return;
        if (r.status / 100 == 2)
          {
            j->accepted = now ();
            poll_state (j);
            if (chance (4))
              after (draw (300, 2000), [j] { cancel (j); });
            if (chance (3))
              after (draw (500, 3000), [j] { submit (j, -1); });
            return;
          }
        bool refused = r.status == 503 || r.status == 429;
        j->refusals += refused;
        if (r.status == 404)
          violation ("config",
                     format ("vm%d has no queue for %s", vm, j->id.c_str ()));
        if (j->tries < j->tries_max)
          {
            ms_t wait = 1000 * atoi (r.m.header ("retry-after").c_str ());
            after (refused && wait ? wait + draw (0, 300) : draw (50, 500),
                   [j, vm] { submit (j, vm); });
            return;
          }
        j->given_up = true;
        j->refused = j->refusals == j->tries;
        if (j->refused && j->started)
          violation ("refused", j->id + " ran though all tries were refused");
      });
}

/* Keep a connection to one VM open until its process has gone, and send a
   request on it now and then. */
void
hold (caller_t &c)
{
  vm_t &v = *vms[c.vm];
  auto j = jobs.lower_bound (format ("%016llx", (unsigned long long)rng ()));

  if (c.channel && !c.request && j != jobs.end ())
    caller_send (c, "GET", job_path (*j->second), "", -1, nullptr);
  else if (!c.channel && v.pid && !v.stopping ())
    caller_open (c);
  after (draw (10, c.channel ? HELD_GAP_MS : 300), [&c] { hold (c); });
}

std::shared_ptr<job_t>
new_job (int queue)
{
  auto j = std::make_shared<job_t> ();

  j->id = format ("%016llx", (unsigned long long)rng ());
  j->queue = queue;
  j->kind = QUEUES[queue].name;
  j->spec = format ("%s %llx", j->kind.c_str (), (unsigned long long)rng ());
  if (queue == 0)
    j->steps.push_back ({ 2, 1400, 256, 1000, false, {}, {} });
  else if (queue == 2)
    j->steps.push_back (
        { (int)draw (2, std::max (2, std::min (8, nworkers / 4))),
          (int)draw (2, 8) * 1000,
          1024,
          draw (1500, 3000),
          true,
          {},
          {} });
  else
    for (int i = 0, n = (int)draw (1, 3); i < n; i++)
      j->steps.push_back ({ (int)draw (1, 10),
                            (int)draw (4, 20) * 100,
                            512,
                            draw (500, 2000),
                            false,
                            i ? std::vector<int>{ i - 1 } : std::vector<int>{},
                            {} });
  j->tries_max = (int)draw (1, TRIES_MAX);
  j->fail_percent = queue == 3 ? 40 : 1;
  for (step_t &s : j->steps)
    s.tasks.resize ((size_t)s.count);
  jobs[j->id] = j;
  return j;
}

/* Jobs a second and worker, in thousandths, by queue. */
const int RATES[] = { 600, 90, 25, 10 };

void
arrivals (int queue)
{
  if (now () >= traffic_end)
    return;
  submit (new_job (queue), -1);
  double mean = 1e6 / RATES[queue] / nworkers;
  after ((ms_t)std::exponential_distribution<> (1 / mean) (rng),
         [queue] { arrivals (queue); });
}

/* ---- the check for idle jobs ---- */

/* Room for tasks of @s on workers that could take one, counted in tasks. */
int
room (const job_t &j, int step)
{
  const step_t &s = j.steps[step];
  std::string name = step_name (j, step);
  int slots = 0;

  for (auto &w : workers)
    if (w->reached () && w->registered_until && approved (name, w->id))
      slots += std::max (0, std::min ((WORKER_CPU - w->cpu) / s.cpu,
                                      (WORKER_MB - w->mem) / s.mem));
  return slots;
}

/* The step of which a task could run and has room twice over, -1 if none. */
int
startable (const job_t &j)
{
  for (int i = 0; i < (int)j.steps.size (); i++)
    {
      const step_t &s = j.steps[i];
      if (!step_done (s, &task_t::done) && step_ready (j, s, &task_t::done)
          && room (j, i) >= 2 * (s.gang ? s.count : 1))
        return i;
    }
  return -1;
}

void
check_idle (job_t &j)
{
  int step;

  if (!j.accepted || j.ended || j.cancel_sent || j.running
      || failed_for_good (j) || (step = startable (j)) < 0)
    {
      if (j.idle_told)
        note (format ("idle over job=%s after=%lldms", j.id.c_str (),
                      (long long)(now () - j.idle_since)));
      j.idle_since = 0;
      j.idle_told = false;
      return;
    }
  if (!j.idle_since)
    j.idle_since = now ();
  if (j.idle_told || now () - j.idle_since < IDLE_MS
      || (now () < last_fault + FINISH_MS
          && !calm_since (now () - IDLE_MS - CALM_BEFORE_MS)))
    return;
  j.idle_told = true;
  violation ("idle",
             format ("job=%s kind=%s step=%d nothing runs since +%.3f, room "
                     "for %d, accepted +%.3f, started=%d",
                     j.id.c_str (), j.kind.c_str (), step,
                     j.idle_since / 1000.0, room (j, step),
                     j.accepted / 1000.0, j.started));
}

/* ---- faults ---- */

vm_t &
any_vm ()
{
  return *vms[(size_t)draw (0, nvms - 1)];
}

/* Signal the VM's process as a fault that lasts @span; false if none runs. */
bool
vm_fault (vm_t &v, int sig, const char *name, ms_t span = 0)
{
  if (!vm_signal (v, sig))
    return false;
  v.disturbed = now () + span;
  if (sig == SIGKILL)
    v.killed = v.pid;
  fault (sig == SIGTERM, span,
         format ("%s vm%d%s", name, v.index,
                 last_writer == v.index ? " (owner)" : ""));
  return true;
}

void
vm_term (vm_t &v)
{
  pid_t pid = v.pid;

  if (v.termed == pid || !vm_fault (v, SIGTERM, "SIGTERM"))
    return;
  v.termed = pid;
  v.term_at = now ();
  after (GRACE_MS, [&v, pid] {
    if (v.pid == pid && vm_signal (v, SIGKILL))
      {
        v.killed = pid;
        note (format ("SIGKILL vm%d after its grace", v.index));
      }
  });
}

/* Stop all VMs in turn, @gap apart. */
void
roll (ms_t gap)
{
  int first = (int)draw (0, nvms - 1);

  for (int i = 0; i < nvms; i++)
    after (1 + i * gap, [=] { vm_term (*vms[(size_t)((first + i) % nvms)]); });
}

void
vm_freeze (vm_t &v, ms_t span)
{
  pid_t pid = v.pid;

  if (vm_fault (v, SIGSTOP, "SIGSTOP", span))
    after (span, [&v, pid] {
      if (v.pid == pid)
        vm_signal (v, SIGCONT);
    });
}

worker_t &
live_worker ()
{
  for (int i = 0; i < 50; i++)
    {
      worker_t &w = *workers[(size_t)draw (0, nworkers - 1)];
      if (w.reached ())
        return w;
    }
  return *workers[0];
}

/* A worker says nothing for @span, FOR_GOOD or less; @runs: what it runs
   goes on. */
void
worker_silent (ms_t span, bool runs)
{
  worker_t &w = live_worker ();
  int gone = 0;

  for (auto &o : workers)
    gone += !o->up || o->silent_until == FOR_GOOD;
  if (!w.reached () || (span == FOR_GOOD && gone * 4 >= nworkers))
    return;
  fault (false, span == FOR_GOOD ? 0 : span,
         format ("silent%s worker %d %s runs=%zu %s",
                 span == FOR_GOOD ? " for good" : "", w.index, w.id.c_str (),
                 w.runs.size (), runs ? "going on" : "ended"));
  w.silent_until = span == FOR_GOOD ? span : now () + span;
  channels_fail (w.open, false);
  w.polls.clear ();
  if (!runs)
    end_all (w, "lost", false);
  if (span == FOR_GOOD)
    lose_ends (w);
}

void
store_fault (store_mode_t mode, int vm, ms_t span)
{
  fault (false, span,
         format ("store %s for %s", STORE_MODES[mode],
                 vm < 0 ? "all" : format ("vm%d", vm).c_str ()));
  for (int i = 0; i < nvms; i++)
    if (vm < 0 || vm == i)
      store_for[(size_t)i] = { mode, now () + span };
  if (vm < 0 && (mode == STORE_REFUSES || mode == STORE_SILENT))
    {
      store_down = chance (60);
      after (span, [] { store_down = false; });
    }
}

/* Channels of a VM to the platform are reset, or fall silent. */
void
channel_fault (vm_t &v, bool reset)
{
  fault (false, 0,
         format ("channels of vm%d %s", v.index, reset ? "reset" : "deaf"));
  v.disturbed = now ();
  channels_fail (v.open, reset);
}

/* A third of the workers return under their ids within half a second. */
void
return_many ()
{
  ms_t away = draw (1, 3000);

  fault (false, 500, format ("return of a third of the workers"));
  for (auto &o : workers)
    if (o->index % 3 == 0 && o->reached ())
      worker_crash (*o, away + draw (0, 500), true);
}

void
unplanned ()
{
  int owner = last_writer < 0 ? 0 : last_writer;
  vm_t &v = chance (40) ? *vms[(size_t)owner] : any_vm ();
  worker_t &w = live_worker ();

  switch (draw (0, 10))
    {
    case 0:
    case 1:
      vm_fault (v, SIGKILL, "SIGKILL");
      break;
    case 2:
      vm_freeze (v, draw (1000, 5000));
      break;
    case 3:
      worker_silent (FOR_GOOD, chance (50));
      break;
    case 4:
      worker_silent (draw (500, 6000), true);
      /* Its runs go on, and the next owner has to learn of them. */
      if (chance (50))
        after (draw (50, 500), [dies = chance (50)] {
          vm_t &o = *vms[(size_t)std::max (last_writer, 0)];
          if (dies)
            vm_fault (o, SIGKILL, "SIGKILL");
          else
            vm_term (o);
        });
      break;
    case 5:
      if (w.reached ())
        {
          bool returns = chance (50);

          fault (false, 0,
                 format ("crash of worker %d %s%s", w.index, w.id.c_str (),
                         returns ? ", returns" : ""));
          worker_crash (w, draw (returns ? 1 : 500, 3000), returns);
        }
      break;
    case 10:
      return_many ();
      break;
    case 6:
      fault (false, 3000, format ("worker %d late", w.index));
      w.late_until = now () + 3000;
      break;
    case 7:
      store_fault ((store_mode_t)draw (STORE_REFUSES, STORE_LATE),
                   chance (50) ? -1 : v.index, draw (500, 5000));
      break;
    case 8:
      channel_fault (v, chance (50));
      break;
    default:
      if (vm_signal (v, SIGHUP))
        fault (true, 0, format ("SIGHUP vm%d", v.index));
    }
}

/* Stop several VMs within 0.5 s, the owner first, in the middle or last; with
   @all all of them, with @calm by nothing but planned stops. */
void
stop_several (bool all, bool calm)
{
  size_t n = (size_t)nvms;
  std::vector<int> list (n);
  std::vector<ms_t> at (n);
  ms_t gap = draw (500, 4000), cut = draw (1000, 5000);

  std::iota (list.begin (), list.end (), 0);
  std::shuffle (list.begin (), list.end (), *source);
  std::iter_swap (
      std::find (list.begin (), list.end (), std::max (last_writer, 0)),
      list.begin () + draw (0, 2) * (nvms - 1) / 2);
  for (ms_t &t : at)
    t = draw (1, 500);
  std::sort (at.begin (), at.end ());
  int64_t kind = all ? 0 : draw (0, 5);
  if (kind == 1) /* one is stopped later than the others, or cut off */
    at[n - 1] += gap;
  if (kind == 1 && !calm && chance (50))
    {
      store_fault (STORE_SILENT, list[n - 1], cut);
      channel_fault (*vms[(size_t)list[n - 1]], false);
      list.pop_back ();
    }
  if (kind == 2) /* two halves */
    for (size_t i = n / 2; i < n; i++)
      at[i] += gap;
  if (kind == 3) /* a zone */
    std::erase_if (list, [zone = draw (0, 2)] (int i) {
      return vms[(size_t)i]->zone != zone;
    });
  if (kind == 4) /* those that come back are stopped again */
    {
      list.resize ((size_t)draw (1, nvms));
      for (int i : list)
        vms[(size_t)i]->again = draw (300, 2500);
    }
  note (format ("stop of %zu VMs", list.size ()));
  for (size_t i = 0; i < list.size (); i++)
    after (at[i], [&v = *vms[(size_t)list[i]]] { vm_term (v); });
}

/* Let @fn happen @at milliseconds from now, with a generator of its own. */
void
plan (ms_t at, std::function<void ()> fn)
{
  uint64_t own = (*source) ();

  after (at, [own, fn] {
    std::mt19937_64 r (own);
    source = &r;
    fn ();
    source = &rng;
  });
}

/* A phase without faults but planned stops and workers lost at its start. */
void
phase_rolls (ms_t begin, ms_t end)
{
  for (int64_t i = draw (0, 2); i > 0; i--)
    plan (begin, [] { worker_silent (FOR_GOOD, chance (50)); });
  for (ms_t at = begin + draw (500, 3000); at < end - 1000;)
    {
      ms_t gap = draw (500, 2000);
      plan (at, [gap] { roll (gap); });
      at += nvms * gap + draw (0, 6000);
    }
}

void
phase_mixed (ms_t begin, ms_t end, ms_t least, ms_t most)
{
  for (ms_t at = begin + draw (100, least); at < end; at += draw (least, most))
    plan (at, unplanned);
  if (chance (50))
    plan (begin + draw (500, 4000), [] { roll (draw (500, 2000)); });
}

/* Planned stops of several VMs that follow each other and overlap, the first
   one of all VMs; with @calm no other fault. */
void
phase_stops (ms_t begin, ms_t end, bool calm)
{
  source = &stops_rng;
  bool outages = !calm && chance (OUTAGE_PERCENT), all = true;
  plan (begin, [] { note ("phase stops"); });
  for (ms_t at = begin + draw (100, 1000); at < end - 1000; all = false)
    {
      plan (at, [=] { stop_several (all, calm); });
      if (outages && chance (OUTAGE_PERCENT))
        plan (at + draw (0, 4000), [] {
          store_fault (chance (50) ? STORE_REFUSES : STORE_SILENT, -1,
                       draw (500, 2000));
        });
      at += chance (40) ? draw (300, 3000) : draw (5000, 9000);
    }
  source = &rng;
}

/* Draw the whole schedule of @span milliseconds, from now on: stops of several
   VMs first; only such stops in a quarter of the seeds, and such stops beside
   all other faults in half of them. */
void
plan_all (ms_t span)
{
  bool calm = seed % 4 == 0;
  ms_t first = std::min (STOPS_MS, span / 2);

  phase_stops (3000, calm ? span : first, true);
  if (seed % 4 >= 2)
    phase_stops (first, span, false);
  if (calm)
    return;
  source = &plan_rng;
  for (ms_t begin = first + 3000; begin + 2000 < span;)
    {
      ms_t end = std::min (span, begin + draw (14000, 22000));
      int64_t kind = draw (0, 9);
      const char *name = kind < 5   ? "rolls"
                         : kind < 8 ? "faults"
                                    : "faults close together";
      plan (begin, [name] { note (format ("phase %s", name)); });
      if (kind < 5)
        phase_rolls (begin, end);
      else if (kind < 8)
        phase_mixed (begin, end, 3000, 8000);
      else
        phase_mixed (begin, end, 300, 2500);
      begin = end;
    }
  if (chance (OUTAGE_PERCENT))
    {
      store_mode_t mode = chance (50) ? STORE_REFUSES : STORE_SILENT;
      ms_t outage = draw (3000, 6000);
      plan (first + draw (5000, std::max<ms_t> (5000, span - first - 8000)),
            [=] { store_fault (mode, -1, outage); });
    }
  source = &rng;
}

/* ---- operator ---- */

int config_version = 3;
bool extra_route;

void
put_config ()
{
  json_t *routes = json_array ();

  for (const queue_t &q : QUEUES)
    json_array_append_new (
        routes,
        json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f,s:{s:f,s:f,"
                   "s:i}}",
                   "name", q.name, "host", HOST, "prefix", q.prefix, "kind",
                   "non_idempotent", "timeoutMs", 3000, "targetLatencyMs",
                   1000, "priority", q.priority, "service", SERVICE,
                   "maxAttempts", q.attempts, "stretch", 2.2, "advice",
                   "decisionMs", q.decision_ms, "perWorkerMs", q.per_worker_ms,
                   "validityMs", 2500));
  if (extra_route)
    json_array_append_new (
        routes,
        json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:f}", "name", "extra", "host",
                   HOST, "prefix", "/extra/", "service", SERVICE, "priority",
                   2, "maxAttempts", 2, "stretch", 2.0));
  config_version += (int)draw (1, 5);
  put_json (
      "op/config",
      dump (json_pack ("{s:i,s:o,s:[{s:s,s:s,s:i,s:b,s:b}]}", "version",
                       config_version, "routes", routes, "services", "name",
                       SERVICE, "healthPath", "/healthz", "maxConnections", 64,
                       "admissionCheck", 0, "spare", 0)));
}

/* Add or drop a route, and ask each VM 2 s later. */
void
change_config ()
{
  if (now () >= traffic_end)
    return;
  extra_route = !extra_route;
  put_config ();
  note (format ("config version=%d extra=%d", config_version, extra_route));
  int version = config_version;
  ms_t sent = now ();
  after (CONFIG_MS + 20, [version, sent] {
    for (auto &v : vms)
      {
        auto ask = std::make_shared<caller_t> ();
        int index = v->index;
        uint64_t c = channel_open (
            v->port,
            [=] (uint64_t id, message_t &m) {
              int want = extra_route ? 200 : 404;
              int got = atoi (m.second.c_str ());
              channel_close (id);
              if (version == config_version && (got == 200 || got == 404)
                  && got != want && vms[(size_t)index]->in_touch (sent)
                  && calm_since (sent - CONTACT_MS))
                violation ("config",
                           format ("vm%d answers %d, not %d, %lld ms after "
                                   "version %d",
                                   index, got, want,
                                   (long long)(now () - sent), version));
            },
            [] (uint64_t) {});
        if (c)
          channel_write (c,
                         std::string ("GET /extra/ HTTP/1.1\r\nHost: ") + HOST
                             + "\r\n",
                         "");
        after (DEADLINE_MS, [c] { channel_close (c); });
      }
  });
  after (draw (3000, 7000), change_config);
}

/* Ask each VM once a second whether it is ready. */
void
probe ()
{
  for (auto &v : vms)
    {
      vm_t *p = v.get ();
      auto open = std::make_shared<bool> (true);
      auto result = [p, open] (bool ready) {
        if (*open)
          p->misses = ready ? 0 : p->misses + 1;
        *open = false;
      };
      uint64_t c = channel_open (
          v->port + 1,
          [=] (uint64_t id, message_t &m) {
            channel_close (id);
            result (m.second == "200");
          },
          [=] (uint64_t) { result (false); });
      if (c)
        channel_write (c, "GET /readyz HTTP/1.1\r\nHost: probe\r\n", "");
      after (950, [=] {
        channel_close (c);
        result (false);
      });
    }
  after (1000, probe);
}

/* ---- the run ---- */

/* Whether a step of the job that is not done can never run: the advisor
   approves only workers that are silent for good. */
bool
is_unservable (const job_t &j)
{
  for (int i = 0; i < (int)j.steps.size (); i++)
    if (!step_done (j.steps[i], &task_t::done)
        && std::none_of (workers.begin (), workers.end (), [&] (auto &w) {
             return w->silent_until < FOR_GOOD
                    && approved (step_name (j, i), w->id);
           }))
      return true;
  return false;
}

int
unfinished ()
{
  int n = 0;

  for (auto &j : jobs)
    n += (j.second->accepted && !j.second->ended && !is_unservable (*j.second))
         || (!j.second->accepted && !j.second->given_up);
  return n;
}

void
finish ()
{
  int accepted = 0, completed = 0, failed = 0, cancelled = 0, refused = 0;
  int without_worker = 0;

  for (auto &p : jobs)
    {
      job_t &j = *p.second;
      bool left = j.accepted && !j.ended;

      accepted += j.accepted != 0;
      without_worker += left && is_unservable (j);
      completed += j.state == "completed";
      failed += j.state == "failed";
      cancelled += j.cancel_sent != 0;
      refused += j.refused;
      if (left && !is_unservable (j))
        violation ("unfinished",
                   format ("job=%s kind=%s state=%s running=%d", j.id.c_str (),
                           j.kind.c_str (), j.state.c_str (), j.running));
    }
  std::string line = format (
      "seed=%llu vms=%d workers=%d faults=%zu jobs=%zu accepted=%d "
      "completed=%d failed=%d cancelled=%d refused=%d cut=%d cut_soon=%d "
      "unanswered=%d queued=%d none_served_ms=%lld refused_after_ms=%lld "
      "without_worker=%d violations=%d",
      (unsigned long long)seed, nvms, nworkers, troubles.size (), jobs.size (),
      accepted, completed, failed, cancelled, refused, requests_cut,
      requests_cut_soon, requests_unanswered, requests_queued,
      (long long)none_served_ms, (long long)refusal_ms, without_worker,
      violations);
  note (line);
  printf ("%s\n", line.c_str ());
  fflush (stdout);
  fclose (schedule);
  _exit (violations ? 1 : 0);
}

bool
all_ready ()
{
  for (auto &v : vms)
    if (v->misses)
      return false;
  return true;
}

void
begin_traffic ()
{
  traffic_end = now () + seconds * 1000;
  note (format ("traffic begins, seed %llu", (unsigned long long)seed));
  for (int q = 0; q < 4; q++)
    arrivals (q);
  for (auto &c : holders)
    hold (*c);
  after (2000, change_config);
  plan_all (seconds * 1000);
}

void
tick ()
{
  static ms_t last, waited;
  ms_t span = now () - last;

  if (last && span > TICK_MS + HELD_UP_MS)
    fault (
        false, 0,
        format ("the soak itself was held up for %lld ms", (long long)span));
  last = now ();
  store_tick (span);
  for (auto &w : workers)
    worker_tick (*w);
  for (auto &v : vms)
    vm_tick (*v);
  if (traffic_end && none_serves (now ()))
    {
      none_served_at = now ();
      none_served_ms += span;
    }
  for (auto &j : jobs)
    check_idle (*j.second);
  if (!traffic_end && (all_ready () || ++waited * TICK_MS > 15000))
    begin_traffic ();
  if (traffic_end && now () > traffic_end
      && (!unfinished ()
          || now () > std::max (last_fault, traffic_end) + END_MS))
    finish ();
  after (TICK_MS, tick);
}

int
main (int argc, char **argv)
{
  const std::map<std::string, std::function<void (const char *)> > options
      = { { "--seconds", [] (const char *v) { seconds = atoi (v); } },
          { "--seed",
            [] (const char *v) { seed = strtoull (v, nullptr, 10); } },
          { "--vms", [] (const char *v) { nvms = atoi (v); } },
          { "--workers", [] (const char *v) { nworkers = atoi (v); } },
          { "--port", [] (const char *v) { base_port = atoi (v); } },
          { "--run", [] (const char *v) { dir = v; } },
          { "--plant", [] (const char *v) { plant = v; } } };
  for (int i = 1; i + 1 < argc; i += 2)
    if (auto o = options.find (argv[i]); o != options.end ())
      o->second (argv[i + 1]);
  signal (SIGPIPE, SIG_IGN);
  rng.seed (seed);
  plan_rng.seed (seed);
  stops_rng.seed (~seed);
  loop_base = event_base_new ();
  schedule = fopen ((dir + "/schedule.log").c_str (), "w");
  if (!schedule)
    return 2;
  store_for.resize ((size_t)nvms);
  for (int i = 0; i < nvms; i++)
    {
      vms.push_back (std::make_unique<vm_t> ());
      vms[(size_t)i]->index = i;
      vms[(size_t)i]->zone = i % 3;
      vms[(size_t)i]->port = base_port + i * 6;
      vm_listen (*vms[(size_t)i]);
    }
  for (int i = 0; i < nworkers; i++)
    {
      workers.push_back (std::make_unique<worker_t> ());
      workers[(size_t)i]->index = i;
      workers[(size_t)i]->port = base_port + nvms * 6 + i;
      worker_birth (*workers[(size_t)i], false);
    }
  for (int i = 0; i < std::max (60, nworkers * 4); i++)
    {
      callers.push_back (std::make_unique<caller_t> ());
      callers[(size_t)i]->zone = i % 3;
    }
  for (int i = 0; i < nvms * HELD_CHANNELS; i++)
    holders.push_back (
        std::make_unique<caller_t> (caller_t{ .vm = i % nvms, .held = true }));
  put_config ();
  probe ();
  tick ();
  event_base_dispatch (loop_base);
  return 2;
}
