/* fuzz_route.cc -- stateful fuzzing of the router

   Three entries, their upstream instances and the key-value service that
   holds claims are simulated in virtual time.  Random scripts send requests
   and inject faults; World records what each instance ran and how each
   caller was answered, and reports the first violation. */
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
/* Requests that an instance runs at once. */
static const int SLOTS = 8;
static const uint64_t STORE_TIMEOUT_MS = 500;
/* Time until the VM list shows that an instance is leaving. */
static const uint64_t LIST_LAG_MS = 1500;
/* Time after which a leaving instance must get no new request. */
static const uint64_t LEAVE_BOUND_MS = 3000;
static const int RETRY_PERCENT = 10;
/* An entry that stops is ended this long after it closed its listener. */
static const uint64_t STOP_MS = 8000;

/* The simulated entries, instances and key-value service, and the checks. */
class World
{
public:
  explicit World (uint64_t seed);
  ~World ();
  World (const World &) = delete;
  World &operator= (const World &) = delete;
  void apply_step (const Step &s);
  void settle ();

  /* The first violation, empty for none. */
  std::string violation;
  /* Events that routers processed. */
  uint64_t steps = 0;
  /* Complete responses that callers got. */
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
  /* incarnation counts starts, so that results of effects from before a
     restart are dropped.  open holds the tokens of unanswered requests.
     requests, resent and revision are those since the start; resent counts
     sends after one whose outcome was unknown. */
  struct Entry
  {
    gl_router_t *r = nullptr;
    uint64_t incarnation = 0;
    bool stopping = false;
    std::set<uint64_t> open;
    uint64_t requests = 0, resent = 0, revision = 0;
  };
  /* busy: requests running.  Until dead_until the instance does not respond,
     until slow_until it takes longer, until drop_until its responses may be
     cut.  leaving_since is 0 before it begins to leave. */
  struct Instance
  {
    int busy = 0;
    uint64_t leaving_since = 0;
    uint64_t dead_until = 0, slow_until = 0, drop_until = 0;
  };
  /* runs: times that an instance ran it.  complete holds the attempts whose
     complete response was reported to the router. */
  struct Request
  {
    std::string key;
    bool repeatable = false;
    int entry = 0;
    int answers = 0;
    int runs = 0;
    bool reported_not_run = false;
    std::set<uint32_t> complete;
    bool entry_restarted = false;
    bool last_send_unknown = false;
  };

  void
  violate (const std::string &w)
  {
    if (violation.empty ())
      violation = w;
  }
  void
  schedule (uint64_t when, std::function<void ()> fn)
  {
    events.push ({ when, order++, std::move (fn) });
  }
  uint64_t
  random_below (uint64_t n)
  {
    return n ? rng () % n : 0;
  }
  void boot (int e);
  void step_router (int e, const gl_route_event_t &ev, uint64_t token = 0,
                    uint32_t attempt = 0);
  void run_effect (int e, gl_route_effect_t &x, uint64_t token,
                   uint32_t attempt);
  void run_send (int e, gl_route_effect_t &x);
  void arrive (int e, uint64_t incarnation, gl_route_effect_t x);
  void report_send (int e, uint64_t incarnation, gl_route_effect_t x,
                    gl_send_result_t res, bool leaving, bool complete);
  void run_probe (int e, gl_route_effect_t &x);
  void run_claim (int e, gl_route_effect_t &x);
  void post_vm_list (int e, bool with_lag);
  void post_conf (int e, uint64_t revision);
  void post_request (uint32_t arg);
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
  uint64_t store_down_until = 0, replies_lost_until = 0;
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
  kv_destroy (&kv);
}

/* Start an entry, or restart it and lose its open requests. */
void
World::boot (int e)
{
  char node[16];
  gl_router_opts_t o{};
  Entry &en = entries[e];

  snprintf (node, sizeof node, "e%d.%llu", e,
            (unsigned long long)en.incarnation);
  o.node = node;
  o.domain = "d1";
  o.entries = ENTRIES;
  o.entry_number = e;
  o.slots = SLOTS;
  o.seed = random_below (1u << 30) + 1;
  gl_router_free (en.r);
  en.r = gl_router_new (&o, now);
  en.incarnation++;
  en.stopping = false;
  en.requests = en.resent = en.revision = 0;
  for (auto t : en.open)
    requests[t].entry_restarted = true;
  en.open.clear ();
  post_vm_list (e, false);
  post_conf (e, revision);
}

void
World::post_conf (int e, uint64_t rev)
{
  gl_conf_t c;
  gl_route_event_t ev{};

  conf_init (&c);
  c.revision = rev;
  c.retry_percent = RETRY_PERCENT;
  /* Every third revision allows longer than a stop may take. */
  c.deadline_ms = rev % 3 ? 4000 : 20000;
  c.first_byte_ms = rev % 3 ? 1500 : 15000;
  c.queue_len = 30;
  c.claims_per_s = 20;
  ev.kind = GL_ROUTE_EV_CONF;
  ev.u.conf = &c;
  step_router (e, ev);
  char *v = gl_router_view (entries[e].r, now);
  uint64_t in_force = strtoull (strstr (v, "\"revision\":") + 11, NULL, 10);
  free (v);
  if (in_force < entries[e].revision)
    violate ("configuration revision fell");
  entries[e].revision = in_force;
}

/* Give the entry the VM list.  With with_lag, the list shows an instance as
   leaving only LIST_LAG_MS after it began to leave. */
void
World::post_vm_list (int e, bool with_lag)
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
  step_router (e, ev);
}

void
World::step_router (int e, const gl_route_event_t &ev, uint64_t token,
                    uint32_t attempt)
{
  gl_route_effects_t fx{};

  steps++;
  gl_router_step (entries[e].r, &ev, now, &fx);
  for (size_t i = 0; i < fx.n; i++)
    run_effect (e, fx.v[i], token, attempt);
  free (fx.v);
}

void
World::run_effect (int e, gl_route_effect_t &x, uint64_t token,
                   uint32_t attempt)
{
  Entry &en = entries[e];

  switch (x.kind)
    {
    case GL_ROUTE_FX_SEND:
      run_send (e, x);
      break;
    case GL_ROUTE_FX_PROBE:
      run_probe (e, x);
      break;
    case GL_ROUTE_FX_CLAIM_GET:
    case GL_ROUTE_FX_CLAIM_CAS:
      run_claim (e, x);
      break;
    case GL_ROUTE_FX_REPLY:
      {
        Request &q = requests[x.token];
        if (++q.answers > 1)
          violate ("a request was answered twice");
        if (x.token != token || !q.complete.count (attempt))
          violate ("a caller got a response that is incomplete or another's");
        en.open.erase (x.token);
        passed++;
        break;
      }
    case GL_ROUTE_FX_ERROR:
      {
        Request &q = requests[x.token];
        if (++q.answers > 1)
          violate ("a request was answered twice");
        q.reported_not_run = x.not_run;
        if (x.not_run && q.runs)
          violate ("a request that ran was answered \"not run\"");
        if ((x.status == 503 || x.status == 504) && !x.retry_after)
          violate ("a 503 or 504 answer has no retry time");
        if (!strcmp (x.code, "stopping") && x.not_run != (x.status == 503))
          violate ("a stop's answer is not 503 and \"not run\", or 504");
        en.open.erase (x.token);
        break;
      }
    case GL_ROUTE_FX_STOPPED:
      if (!en.open.empty ())
        violate ("a planned stop left a request unanswered");
      break;
    default:
      break;
    }
}

/* ---- upstreams ---- */

void
World::run_send (int e, gl_route_effect_t &x)
{
  uint64_t incarnation = entries[e].incarnation;
  gl_route_effect_t copy = x;
  Instance &n = inst[atoi (x.addr)];

  /* Only a send after one whose outcome is unknown costs retry budget. */
  if (requests[x.token].last_send_unknown)
    entries[e].resent++;
  requests[x.token].last_send_unknown = false;
  if (n.leaving_since && now > n.leaving_since + LEAVE_BOUND_MS)
    violate ("a leaving instance got a request after LEAVE_BOUND_MS");
  if (x.token % 61 == 7)
    {
      schedule (now + 1, [=, this] {
        report_send (e, incarnation, copy, GL_SEND_NO_ROOM, false, false);
      });
      return;
    }
  if (now < n.dead_until && random_below (2))
    {
      schedule (now + 5, [=, this] {
        report_send (e, incarnation, copy, GL_SEND_NOT_SENT, false, false);
      });
      return;
    }
  schedule (now + 1 + random_below (3),
            [=, this] { arrive (e, incarnation, copy); });
}

/* A request arrives at its instance. */
void
World::arrive (int e, uint64_t incarnation, gl_route_effect_t x)
{
  Instance &n = inst[atoi (x.addr)];
  int i = atoi (x.addr);
  Request &q = requests[x.token];
  uint64_t work
      = 5 + random_below (60) + (now < n.slow_until ? random_below (3000) : 0);

  if (now < n.dead_until)
    {
      schedule (now + x.timeout, [=, this] {
        report_send (e, incarnation, x, GL_SEND_UNKNOWN, false, false);
      });
      return;
    }
  if (n.leaving_since || n.busy >= SLOTS)
    {
      bool leaving = n.leaving_since != 0;
      schedule (now + 1, [=, this] {
        report_send (e, incarnation, x, GL_SEND_REFUSED, leaving, false);
      });
      return;
    }
  n.busy++;
  q.runs++;
  if (!q.repeatable && q.runs > 1)
    violate ("a request that is not repeatable ran twice");
  if (!q.key.empty () && ++key_runs[q.key] > 1)
    violate ("an idempotency key ran twice");
  if (q.reported_not_run)
    violate ("a request ran after it was answered \"not run\"");
  schedule (now + work, [=, this] { inst[i].busy--; });
  /* A response may be cut or come after the timeout. */
  bool drop = now < n.drop_until && random_below (2);
  if (drop || work >= x.timeout)
    schedule (now + (drop ? work : x.timeout), [=, this] {
      report_send (e, incarnation, x, GL_SEND_UNKNOWN, false, false);
    });
  else
    schedule (now + work, [=, this] {
      bool dropped = x.token % 61 == 11;
      report_send (e, incarnation, x,
                   dropped ? GL_SEND_DROPPED : GL_SEND_ANSWERED, false,
                   !dropped);
    });
}

/* Report the result of a send to the entry. */
void
World::report_send (int e, uint64_t incarnation, gl_route_effect_t x,
                    gl_send_result_t res, bool leaving, bool complete)
{
  gl_route_event_t ev{};

  if (entries[e].incarnation != incarnation)
    return;
  if (complete)
    requests[x.token].complete.insert (x.attempt);
  requests[x.token].last_send_unknown = res == GL_SEND_UNKNOWN;
  ev.kind = GL_ROUTE_EV_SEND_DONE;
  ev.u.send_done.request = x.request;
  ev.u.send_done.attempt = x.attempt;
  ev.u.send_done.result = res;
  ev.u.send_done.leaving = leaving;
  step_router (e, ev, x.token, x.attempt);
}

void
World::run_probe (int e, gl_route_effect_t &x)
{
  uint64_t incarnation = entries[e].incarnation;
  uint32_t i = x.instance;
  Instance &n = inst[atoi (x.addr)];
  bool dead = now < n.dead_until;
  bool leaving = n.leaving_since != 0;

  schedule (now + (dead ? x.timeout : 2), [=, this] {
    gl_route_event_t ev{};
    if (entries[e].incarnation != incarnation)
      return;
    ev.kind = GL_ROUTE_EV_PROBE_DONE;
    ev.u.probe_done.instance = i;
    ev.u.probe_done.healthy = !dead && !leaving;
    ev.u.probe_done.leaving = !dead && leaving;
    step_router (e, ev);
  });
}

/* ---- claims ---- */

void
World::run_claim (int e, gl_route_effect_t &x)
{
  uint64_t incarnation = entries[e].incarnation;
  gl_route_effect_t copy = x;
  uint64_t d = 1 + random_below (3)
               + (now < replies_lost_until ? random_below (700) : 0);
  auto open = std::make_shared<bool> (true);
  auto answer
      = [=, this] (gl_store_status_t st, uint64_t index, std::string data) {
          gl_route_event_t ev{};
          bool first = *open;
          *open = false;
          if (!first || entries[e].incarnation != incarnation || !copy.request)
            return;
          ev.kind = GL_ROUTE_EV_CLAIM_DONE;
          ev.u.claim.request = copy.request;
          ev.u.claim.status = st;
          ev.u.claim.index = index;
          ev.u.claim.data = data.data ();
          ev.u.claim.len = data.size ();
          step_router (e, ev);
        };

  schedule (now + STORE_TIMEOUT_MS, [=] { answer (GL_ST_UNKNOWN, 0, ""); });
  schedule (now + d, [=, this] {
    if (now < store_down_until)
      {
        answer (random_below (2) ? GL_ST_REFUSED : GL_ST_UNKNOWN, 0, "");
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
    if (now < replies_lost_until && random_below (2))
      return;
    schedule (now + 1, [=] { answer (st, index, data); });
  });
}

/* ---- callers and operators ---- */

/* Send a caller's request; arg chooses entry, kind, key, urgency and
   deadline. */
void
World::post_request (uint32_t arg)
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
  step_router (e, ev);
}

void
World::apply_step (const Step &s)
{
  int e = (int)(s.arg % ENTRIES);
  Instance &n = inst[s.arg % INSTANCES];
  uint64_t ms = 100 + s.arg % 8000;

  switch (s.kind)
    {
    case 0: /* an instance stops responding */
      n.dead_until = now + ms;
      break;
    case 1: /* an instance is slow */
      n.slow_until = now + ms;
      break;
    case 2: /* an instance's responses are cut */
      n.drop_until = now + ms;
      break;
    case 3: /* an instance begins to leave */
      if (!n.leaving_since)
        {
          n.leaving_since = now;
          for (int k = 0; k < ENTRIES; k++)
            schedule (now + LIST_LAG_MS,
                      [=, this] { post_vm_list (k, true); });
        }
      break;
    case 4: /* the key-value service is unreachable */
      store_down_until = now + ms;
      break;
    case 5: /* replies of the key-value service are slow or lost */
      replies_lost_until = now + ms;
      break;
    case 6: /* an entry restarts */
      boot (e);
      break;
    case 7: /* an entry stops as planned and starts again */
      {
        gl_route_event_t ev{};
        uint64_t incarnation = entries[e].incarnation;
        ev.kind = GL_ROUTE_EV_STOP;
        entries[e].stopping = true;
        step_router (e, ev);
        schedule (now + STOP_MS, [=, this] {
          if (entries[e].incarnation != incarnation)
            return;
          if (!entries[e].open.empty ())
            violate ("a stopping entry was ended with open requests");
          boot (e);
        });
        break;
      }
    case 8: /* a configuration arrives, newer or older */
      post_conf (e, s.arg % 3 ? ++revision : revision > 1 ? revision - 1 : 1);
      break;
    default:
      /* Requests arrive, a few or a burst. */
      for (uint32_t k = 0; k < (s.kind > 28 ? 40u : 3u); k++)
        post_request (s.arg + k * 2654435761u);
    }
  run ((uint64_t)s.gap);
}

/* Advance virtual time by ms, running events and due ticks in order. */
void
World::run (uint64_t ms)
{
  uint64_t end = now + ms;

  while (violation.empty ())
    {
      uint64_t next = end;
      int ticking = -1;

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
              ticking = e;
            }
        }
      if (next >= end)
        break;
      now = next;
      if (ticking >= 0)
        {
          gl_route_event_t ev{};
          ev.kind = GL_ROUTE_EV_TICK;
          step_router (ticking, ev);
          /* A router that is still due must not stop the clock. */
          if (gl_router_due (entries[ticking].r) <= now)
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
    if (!r.second.answers && !r.second.entry_restarted)
      violate ("request " + std::to_string (r.first) + " got no answer");
  /* The slack is RETRY_BUDGET_MAX of routeint.h for each of the three
     classes. */
  for (auto &e : entries)
    if (e.resent * 100 > e.requests * RETRY_PERCENT + 3 * 1000)
      violate ("more retries than the budget allows");
}

/* End all faults, let open requests end, and check the final state. */
void
World::settle ()
{
  store_down_until = replies_lost_until = 0;
  for (auto &n : inst)
    n.dead_until = n.slow_until = n.drop_until = 0;
  run (40000);
  finish_checks ();
}

/* ---- tests ---- */

static const int SCRIPT_STEPS = 100;
/* Kinds of steps; those above 8 send requests. */
static const int KINDS = 32;
/* Longest time between two steps, milliseconds. */
static const int GAP_MS = 800;

/* Complete responses that callers got in all scripts. */
static uint64_t total_passed;

static std::string
run_script (const std::vector<Step> &script, uint64_t seed, uint64_t *steps)
{
  World w (seed);

  for (auto &s : script)
    if (w.violation.empty ())
      w.apply_step (s);
  if (w.violation.empty ())
    w.settle ();
  *steps += w.steps;
  total_passed += w.passed;
  return w.violation;
}

/* Requests whose deadline is after the entry's end wait for instances that do
   not respond, and behind them in the queue. */
TEST (Route, AnswersBeforeAStopEnds)
{
  std::vector<Step> script = { { 8, 1, 0 }, { 8, 1, 0 } };
  uint64_t steps = 0;

  for (uint32_t i = 0; i < INSTANCES; i++)
    script.push_back ({ 0, 8000 - INSTANCES + i, 0 });
  for (uint32_t i = 0; i < 4; i++)
    script.push_back ({ 31, i, 10 });
  for (uint32_t e = 0; e < ENTRIES; e++)
    script.push_back ({ 7, e, 10 });
  script.push_back ({ 8, 1, 9000 });
  EXPECT_EQ ("", run_script (script, 1, &steps));
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
        std::string v = run_script (script, seed, &steps);
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
      v = run_script (script, (uint64_t)i, &steps);
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
