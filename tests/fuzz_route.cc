/* fuzz_route.cc -- stateful fuzzing of three entries, their upstreams and the
   store of claims, in virtual time, against an oracle of what was run */
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "script.h"

extern "C"
{
#include "conf.h"
#include "fault.h"
#include "gentianlatch.h"
#include "kvcore.h"
}

#ifdef GL_TEST_FAULTS
fault_t fault_on = FAULT_NONE;
#endif

static const int ENTRIES = 3;
static const int INSTANCES = 4;
static const int SLOTS = 8;
static const uint64_t STORE_TIMEOUT_MS = 500;
/* Lag of the list, and the bound on new work after it. */
static const uint64_t LIST_LAG_MS = 1500;
static const uint64_t LEAVE_BOUND_MS = 3000;
static const int RETRY_PERCENT = 10;

class World
{
public:
  explicit World (uint64_t seed);
  ~World ();
  World (const World &) = delete;
  World &operator= (const World &) = delete;
  void play (const Step &s);
  void settle ();

  std::string violation;
  uint64_t steps = 0;
  uint64_t passed = 0;

private:
  struct Event
  {
    uint64_t at, order;
    std::function<void ()> fn;
    bool
    operator<(const Event &o) const
    {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  struct Entry
  {
    gl_router_t *r = nullptr;
    uint64_t life = 0;
    bool stopping = false;
    std::set<uint64_t> open;
    uint64_t requests = 0, resent = 0, revision = 0;
  };
  struct Instance
  {
    int busy = 0;
    uint64_t leaving_since = 0;
    uint64_t dead_until = 0, slow_until = 0, drop_until = 0;
  };
  struct Request
  {
    std::string key;
    bool repeatable = false;
    int entry = 0;
    int answers = 0;
    int runs = 0;
    bool said_not_run = false;
    std::set<uint32_t> whole;
    bool lost = false;
    bool unknown = false;
  };

  void
  violate (const std::string &w)
  {
    if (violation.empty ())
      violation = w;
  }
  void
  at (uint64_t when, std::function<void ()> fn)
  {
    events.push ({ when, order++, std::move (fn) });
  }
  uint64_t
  draw (uint64_t n)
  {
    return n ? rng () % n : 0;
  }
  void boot (int e);
  void feed (int e, const gl_route_event_t &ev, uint64_t token = 0,
             uint32_t attempt = 0);
  void carry_out (int e, gl_route_effect_t &x, uint64_t token,
                  uint32_t attempt);
  void send (int e, gl_route_effect_t &x);
  void arrive (int e, uint64_t life, gl_route_effect_t x);
  void tell (int e, uint64_t life, gl_route_effect_t x, gl_send_result_t res,
             bool leaving, bool whole);
  void probe (int e, gl_route_effect_t &x);
  void claim (int e, gl_route_effect_t &x);
  void list (int e, bool with_lag);
  void configure (int e, uint64_t revision);
  void request (uint32_t arg);
  void run (uint64_t ms);
  void finish_checks ();

  std::mt19937_64 rng;
  uint64_t now = 1000, order = 0;
  std::priority_queue<Event> events;
  Entry entries[ENTRIES];
  Instance inst[INSTANCES];
  kv_t kv{};
  std::map<uint64_t, Request> requests;
  std::map<std::string, int> key_runs;
  uint64_t next_token = 1;
  uint64_t store_down_until = 0, lose_until = 0;
  uint64_t revision = 1;
};

World::World (uint64_t seed) : rng (seed)
{
  for (int e = 0; e < ENTRIES; e++)
    boot (e);
}

World::~World ()
{
  for (auto &e : entries)
    gl_router_free (e.r);
  kv_done (&kv);
}

void
World::boot (int e)
{
  char node[16];
  gl_router_opts_t o{};
  Entry &en = entries[e];

  snprintf (node, sizeof node, "e%d.%llu", e, (unsigned long long)en.life);
  o.node = node;
  o.domain = "d1";
  o.entries = ENTRIES;
  o.entry_number = e;
  o.slots = SLOTS;
  o.seed = draw (1u << 30) + 1;
  gl_router_free (en.r);
  en.r = gl_router_new (&o, now);
  en.life++;
  en.stopping = false;
  en.requests = en.resent = en.revision = 0;
  for (auto t : en.open)
    requests[t].lost = true;
  en.open.clear ();
  list (e, false);
  configure (e, revision);
}

void
World::configure (int e, uint64_t rev)
{
  gl_conf_t c;
  gl_route_event_t ev{};

  conf_init (&c);
  c.revision = rev;
  c.retry_percent = RETRY_PERCENT;
  c.deadline_ms = 4000;
  c.first_byte_ms = 1500;
  c.queue_len = 30;
  c.claims_per_s = 20;
  ev.kind = GL_ROUTE_EV_CONF;
  ev.u.conf = &c;
  feed (e, ev);
  char *v = gl_router_view (entries[e].r, now);
  uint64_t in_force = strtoull (strstr (v, "\"revision\":") + 11, NULL, 10);
  free (v);
  if (in_force < entries[e].revision)
    violate ("configuration revision fell");
  entries[e].revision = in_force;
}

void
World::list (int e, bool with_lag)
{
  std::vector<gl_vm_t> vms;
  gl_route_event_t ev{};

  for (int i = 0; i < INSTANCES; i++)
    {
      gl_vm_t v{};
      snprintf (v.name, sizeof v.name, "u%d", i);
      strcpy (v.role, "upstream");
      strcpy (v.service, "gait");
      strcpy (v.domain, i == 3 ? "d2" : "d1");
      snprintf (v.addr, sizeof v.addr, "%d", i);
      uint64_t since = inst[i].leaving_since;
      v.state = since && (!with_lag || now >= since + LIST_LAG_MS)
                    ? GL_VM_LEAVING
                    : GL_VM_LIVE;
      vms.push_back (v);
    }
  ev.kind = GL_ROUTE_EV_VMS;
  ev.u.vms.vms = vms.data ();
  ev.u.vms.n = vms.size ();
  feed (e, ev);
}

void
World::feed (int e, const gl_route_event_t &ev, uint64_t token,
             uint32_t attempt)
{
  gl_route_effects_t fx{};

  steps++;
  gl_router_step (entries[e].r, &ev, now, &fx);
  for (size_t i = 0; i < fx.n; i++)
    carry_out (e, fx.v[i], token, attempt);
  free (fx.v);
}

void
World::carry_out (int e, gl_route_effect_t &x, uint64_t token,
                  uint32_t attempt)
{
  Entry &en = entries[e];

  switch (x.kind)
    {
    case GL_ROUTE_FX_SEND:
      send (e, x);
      break;
    case GL_ROUTE_FX_PROBE:
      probe (e, x);
      break;
    case GL_ROUTE_FX_CLAIM_GET:
    case GL_ROUTE_FX_CLAIM_CAS:
      claim (e, x);
      break;
    case GL_ROUTE_FX_REPLY:
      {
        Request &q = requests[x.token];
        if (++q.answers > 1)
          violate ("a request was answered twice");
        if (x.token != token || !q.whole.count (attempt))
          violate ("an answer that is not its own and whole was passed on");
        en.open.erase (x.token);
        passed++;
        break;
      }
    case GL_ROUTE_FX_ERROR:
      {
        Request &q = requests[x.token];
        if (++q.answers > 1)
          violate ("a request was answered twice");
        q.said_not_run = x.not_run;
        if (x.not_run && q.runs)
          violate ("\"not run\" was said of a request that ran");
        if ((x.status == 503 || x.status == 504) && !x.retry_after)
          violate ("given up without a time to come back");
        en.open.erase (x.token);
        break;
      }
    case GL_ROUTE_FX_STOPPED:
      if (!en.open.empty ())
        violate ("a planned stop cut a request");
      break;
    default:
      break;
    }
}

/* ---- upstreams ---- */

void
World::send (int e, gl_route_effect_t &x)
{
  uint64_t life = entries[e].life;
  gl_route_effect_t copy = x;
  Instance &n = inst[atoi (x.addr)];

  /* Sendings after a refusal cost nothing; those after silence do. */
  if (requests[x.token].unknown)
    entries[e].resent++;
  requests[x.token].unknown = false;
  if (n.leaving_since && now > n.leaving_since + LEAVE_BOUND_MS)
    violate ("a leaving upstream got new work after its bound");
  if (now < n.dead_until && draw (2))
    {
      at (now + 5,
          [=, this] { tell (e, life, copy, GL_SEND_NOT_SENT, false, false); });
      return;
    }
  at (now + 1 + draw (3), [=, this] { arrive (e, life, copy); });
}

void
World::arrive (int e, uint64_t life, gl_route_effect_t x)
{
  Instance &n = inst[atoi (x.addr)];
  int i = atoi (x.addr);
  Request &q = requests[x.token];
  uint64_t work = 5 + draw (60) + (now < n.slow_until ? draw (3000) : 0);

  if (now < n.dead_until)
    {
      at (now + x.timeout,
          [=, this] { tell (e, life, x, GL_SEND_UNKNOWN, false, false); });
      return;
    }
  if (n.leaving_since || n.busy >= SLOTS)
    {
      bool leaving = n.leaving_since != 0;
      at (now + 1,
          [=, this] { tell (e, life, x, GL_SEND_REFUSED, leaving, false); });
      return;
    }
  n.busy++;
  q.runs++;
  if (!q.repeatable && q.runs > 1)
    violate ("a request that is not repeatable ran twice");
  if (!q.key.empty () && ++key_runs[q.key] > 1)
    violate ("an idempotency key ran twice");
  if (q.said_not_run)
    violate ("a request ran after \"not run\" was said");
  at (now + work, [=, this] { inst[i].busy--; });
  /* An answer may break off or be late. */
  bool drop = now < n.drop_until && draw (2);
  if (drop || work >= x.timeout)
    at (now + (drop ? work : x.timeout),
        [=, this] { tell (e, life, x, GL_SEND_UNKNOWN, false, false); });
  else
    at (now + work,
        [=, this] { tell (e, life, x, GL_SEND_ANSWERED, false, true); });
}

void
World::tell (int e, uint64_t life, gl_route_effect_t x, gl_send_result_t res,
             bool leaving, bool whole)
{
  gl_route_event_t ev{};

  if (entries[e].life != life)
    return;
  if (whole)
    requests[x.token].whole.insert (x.attempt);
  requests[x.token].unknown = res == GL_SEND_UNKNOWN;
  ev.kind = GL_ROUTE_EV_SEND_DONE;
  ev.u.send_done.request = x.request;
  ev.u.send_done.attempt = x.attempt;
  ev.u.send_done.result = res;
  ev.u.send_done.leaving = leaving;
  feed (e, ev, x.token, x.attempt);
}

void
World::probe (int e, gl_route_effect_t &x)
{
  uint64_t life = entries[e].life;
  uint32_t i = x.instance;
  Instance &n = inst[atoi (x.addr)];
  bool dead = now < n.dead_until;
  bool leaving = n.leaving_since != 0;

  at (now + (dead ? x.timeout : 2), [=, this] {
    gl_route_event_t ev{};
    if (entries[e].life != life)
      return;
    ev.kind = GL_ROUTE_EV_PROBE_DONE;
    ev.u.probe_done.instance = i;
    ev.u.probe_done.healthy = !dead && !leaving;
    ev.u.probe_done.leaving = !dead && leaving;
    feed (e, ev);
  });
}

/* ---- claims ---- */

void
World::claim (int e, gl_route_effect_t &x)
{
  uint64_t life = entries[e].life;
  gl_route_effect_t copy = x;
  uint64_t d = 1 + draw (3) + (now < lose_until ? draw (700) : 0);
  auto open = std::make_shared<bool> (true);
  auto answer
      = [=, this] (gl_store_status_t st, uint64_t index, std::string data) {
          gl_route_event_t ev{};
          bool first = *open;
          *open = false;
          if (!first || entries[e].life != life || !copy.request)
            return;
          ev.kind = GL_ROUTE_EV_CLAIM_DONE;
          ev.u.claim.request = copy.request;
          ev.u.claim.status = st;
          ev.u.claim.index = index;
          ev.u.claim.data = data.data ();
          ev.u.claim.len = data.size ();
          feed (e, ev);
        };

  at (now + STORE_TIMEOUT_MS, [=] { answer (GL_ST_UNKNOWN, 0, ""); });
  at (now + d, [=, this] {
    if (now < store_down_until)
      {
        answer (draw (2) ? GL_ST_REFUSED : GL_ST_UNKNOWN, 0, "");
        return;
      }
    gl_store_status_t st;
    uint64_t index;
    std::string data;
    if (copy.kind == GL_ROUTE_FX_CLAIM_CAS)
      {
        index = kv_cas (&kv, copy.key, copy.index, copy.value,
                        strlen (copy.value), 0, 0);
        st = index ? GL_ST_OK : GL_ST_CONFLICT;
      }
    else
      {
        kv_entry_t *k = kv_get (&kv, copy.key, 0);
        st = k ? GL_ST_OK : GL_ST_ABSENT;
        index = k ? k->index : 0;
        if (k)
          data.assign (k->data, k->len);
      }
    if (now < lose_until && draw (2))
      return;
    at (now + 1, [=] { answer (st, index, data); });
  });
}

/* ---- callers and operators ---- */

void
World::request (uint32_t arg)
{
  int e = (int)(arg % ENTRIES);
  uint64_t token = next_token++;
  Request &q = requests[token];
  gl_route_event_t ev{};
  uint32_t form = (arg >> 4) % 4;

  q.entry = e;
  q.repeatable = form < 2;
  if (form == 3)
    q.key = "k" + std::to_string ((arg >> 8) % 40);
  ev.kind = GL_ROUTE_EV_REQUEST;
  ev.u.request.token = token;
  ev.u.request.service = "gait";
  ev.u.request.key = q.key.c_str ();
  ev.u.request.urgency = (gl_urgency_t)((arg >> 16) % 3);
  ev.u.request.repeatable = q.repeatable;
  ev.u.request.deadline = (arg >> 18) % 2 ? 200 + (arg >> 10) % 4000 : 0;
  entries[e].open.insert (token);
  entries[e].requests++;
  feed (e, ev);
}

void
World::play (const Step &s)
{
  int e = (int)(s.arg % ENTRIES);
  Instance &n = inst[s.arg % INSTANCES];
  uint64_t ms = 100 + s.arg % 8000;

  switch (s.kind)
    {
    case 0:
      n.dead_until = now + ms;
      break;
    case 1:
      n.slow_until = now + ms;
      break;
    case 2:
      n.drop_until = now + ms;
      break;
    case 3:
      if (!n.leaving_since)
        {
          n.leaving_since = now;
          for (int k = 0; k < ENTRIES; k++)
            at (now + LIST_LAG_MS, [=, this] { list (k, true); });
        }
      break;
    case 4:
      store_down_until = now + ms;
      break;
    case 5:
      lose_until = now + ms;
      break;
    case 6:
      boot (e);
      break;
    case 7:
      {
        gl_route_event_t ev{};
        uint64_t life = entries[e].life;
        ev.kind = GL_ROUTE_EV_STOP;
        entries[e].stopping = true;
        feed (e, ev);
        at (now + 5000, [=, this] {
          if (entries[e].life == life)
            boot (e);
        });
        break;
      }
    case 8:
      configure (e, s.arg % 3 ? ++revision : revision > 1 ? revision - 1 : 1);
      break;
    default:
      /* Some callers come one by one, some in bursts. */
      for (uint32_t k = 0; k < (s.kind > 28 ? 40u : 3u); k++)
        request (s.arg + k * 2654435761u);
    }
  run ((uint64_t)s.gap);
}

void
World::run (uint64_t ms)
{
  uint64_t end = now + ms;

  while (violation.empty ())
    {
      uint64_t next = end;
      int who = -1;

      if (!events.empty () && events.top ().at < next)
        next = events.top ().at;
      for (int e = 0; e < ENTRIES; e++)
        {
          uint64_t due = gl_router_due (entries[e].r);
          if (due < now)
            due = now;
          if (due < next)
            {
              next = due;
              who = e;
            }
        }
      if (next >= end)
        break;
      now = next;
      if (who >= 0)
        {
          gl_route_event_t ev{};
          ev.kind = GL_ROUTE_EV_TICK;
          feed (who, ev);
          if (gl_router_due (entries[who].r) <= now)
            now++;
        }
      else
        {
          auto fn = events.top ().fn;
          events.pop ();
          fn ();
        }
    }
  now = end > now ? end : now;
}

void
World::finish_checks ()
{
  for (auto &r : requests)
    if (!r.second.answers && !r.second.lost)
      violate ("request " + std::to_string (r.first) + " got no answer");
  for (auto &e : entries)
    if (e.resent * 100 > e.requests * RETRY_PERCENT + 3 * 1000)
      violate ("more retries than the budget allows");
}

void
World::settle ()
{
  store_down_until = lose_until = 0;
  for (auto &n : inst)
    n.dead_until = n.slow_until = n.drop_until = 0;
  run (20000);
  finish_checks ();
}

/* ---- tests ---- */

static const int SCRIPT_STEPS = 100;
/* Kinds of steps, and the longest time between two. */
static const int KINDS = 32;
static const int GAP_MS = 800;

static uint64_t total_passed;

static std::string
play (const std::vector<Step> &script, uint64_t seed, uint64_t *steps)
{
  World w (seed);

  for (auto &s : script)
    if (w.violation.empty ())
      w.play (s);
  if (w.violation.empty ())
    w.settle ();
  *steps += w.steps;
  total_passed += w.passed;
  return w.violation;
}

TEST (FuzzRoute, PromisesHold)
{
  uint64_t steps = 0;
  std::ostringstream os;
  rc::detail::TestParams params;

  params.seed = (uint64_t)env_int ("SEED", 1);
  params.maxSuccess = env_int ("CASES", 1500);
  params.disableShrinking = getenv ("NO_SHRINK") != NULL;
  auto result = rc::detail::checkTestable (
      [&] {
        auto script = *rc::gen::resize (
            SCRIPT_STEPS,
            rc::gen::container<std::vector<Step> > (gen_step (KINDS, GAP_MS)));
        auto seed = *gen_world_seed ();
        std::string v = play (script, seed, &steps);
        if (!v.empty ())
          RC_FAIL (v);
      },
      rc::detail::TestMetadata (), params);
  if (!result.template is<rc::detail::SuccessResult> ())
    {
      rc::detail::printResultMessage (result, os);
      ADD_FAILURE () << "seed " << params.seed << "\n" << os.str ();
    }
  printf ("%llu reducer steps, %llu answers passed on\n",
          (unsigned long long)steps, (unsigned long long)total_passed);
  EXPECT_GT (total_passed, (uint64_t)params.maxSuccess);
}

#ifdef GL_TEST_FAULTS
class FuzzRouteFault : public testing::TestWithParam<fault_t>
{
};

TEST_P (FuzzRouteFault, IsCaught)
{
  uint64_t steps = 0;
  std::string v;
  rc::Random random (7);

  fault_on = GetParam ();
  for (int i = 0; v.empty () && i < 500; i++)
    {
      auto gen
          = rc::gen::container<std::vector<Step> > (gen_step (KINDS, GAP_MS));
      auto script = gen (random.split (), SCRIPT_STEPS).value ();
      v = play (script, (uint64_t)i, &steps);
    }
  fault_on = FAULT_NONE;
  EXPECT_NE ("", v) << "fault " << GetParam () << " was not found";
  printf ("fault %d found after %llu steps: %s\n", (int)GetParam (),
          (unsigned long long)steps, v.c_str ());
}

INSTANTIATE_TEST_SUITE_P (
    All, FuzzRouteFault,
    testing::Values (FAULT_RESEND_SENT, FAULT_NO_CLAIM, FAULT_PARTIAL_AS_WHOLE,
                     FAULT_IGNORE_LEAVING, FAULT_REVISION_FALLS,
                     FAULT_ANSWER_TWICE, FAULT_CUT_ON_STOP));
#endif
