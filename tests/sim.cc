/* sim.cc -- simulation of one domain in virtual time; see sim.h */
#include "sim.h"

#include <cstring>
#include <memory>

static const char *const team_names[] = { "gait", "alerts" };
static const uint64_t STORE_TIMEOUT_MS = 1000;
static const uint64_t SIM_LEASE_MS = 3000;
static const uint64_t SIM_WORKER_LEASE_MS = 20000;
static const uint64_t SIM_GRACE_MS = 30000;
static const uint64_t SIM_LONG_POLL_MS = 5000;
/* Largest deviation of a clock's rate from 1. */
static const double DRIFT_MAX = 400e-6;

/* ---- set-up and clocks ---- */

Sim::Sim (uint64_t seed, int nworkers) : rng (seed)
{
  scheds.resize (2);
  workers.resize ((size_t)nworkers);
  cut_store.assign (2, 0);
  cut_to_worker.assign (2, std::vector<uint64_t> (workers.size (), 0));
  cut_from_worker = cut_to_worker;
  worker_paused_until.assign (workers.size (), 0);
  worker_down_until.assign (workers.size (), 0);
  worker_rate.assign (workers.size (), 1);
  long_polls.assign (workers.size (), std::vector<LongPoll> (2));
  for (size_t w = 0; w < workers.size (); w++)
    {
      wcore_t &c = workers[w];
      memset (&c, 0, sizeof c);
      snprintf (c.name, sizeof c.name, "w%zu", w);
      c.total = { 16000, 65536, w % 2 ? 4 : 0 };
      c.plan = choose_outcome_cb;
      c.ctx = this;
      wcore_boot (&c, ++next_boot * 1000003);
      oracle.total[c.name] = c.total;
      worker_rate[w]
          = 1 + DRIFT_MAX * ((double)random_below (2001) / 1000 - 1);
      gl_vm_t vm{};
      snprintf (vm.name, sizeof vm.name, "w%zu", w);
      strcpy (vm.role, "worker");
      strcpy (vm.domain, "d1");
      snprintf (vm.rack, sizeof vm.rack, "r%zu", w / 2);
      snprintf (vm.addr, sizeof vm.addr, "%zu", w);
      vms.push_back (vm);
    }
  for (auto t : team_names)
    oracle.team_quota[t] = { 60000, 200000, 8 };
  for (int i = 0; i < 2; i++)
    {
      scheds[(size_t)i].rate
          = 1 + DRIFT_MAX * ((double)random_below (2001) / 1000 - 1);
      scheds[(size_t)i].offset = random_below (100000);
      restart_sched (i);
    }
}

Sim::~Sim ()
{
  for (auto &s : scheds)
    gl_sched_free (s.s);
  for (auto &w : long_polls)
    for (auto &h : w)
      if (h.open)
        codec_free ((xdrproc_t)xdr_gl_wcall_t, &h.call);
  kv_destroy (&kv);
}

uint64_t
Sim::random_below (uint64_t n)
{
  return n ? rng () % n : 0;
}

void
Sim::at (uint64_t when, std::function<void ()> fn)
{
  events.push ({ when < now ? now : when, next_sequence++, std::move (fn) });
}

uint64_t
Sim::sched_clock (int i) const
{
  const Sched &s = scheds[(size_t)i];
  return s.offset + (uint64_t)((double)now * s.rate);
}

uint64_t
Sim::worker_clock (int w) const
{
  return 500 + (uint64_t)((double)now * worker_rate[(size_t)w]);
}

uint64_t
Sim::delay ()
{
  uint64_t d = 1 + random_below (3);
  if (now < slow_net_until)
    d += random_below (3000);
  return d;
}

void
Sim::restart_sched (int i)
{
  Sched &s = scheds[(size_t)i];
  char node[16];
  gl_sched_opts_t o{};

  snprintf (node, sizeof node, "vm%d", i);
  o.node = node;
  o.domain = "d1";
  o.rpc = "127.0.0.1:1";
  o.seed = (unsigned long)random_below (1 << 30) + 1;
  o.lease = SIM_LEASE_MS;
  o.worker_lease = SIM_WORKER_LEASE_MS;
  o.long_poll_ms = SIM_LONG_POLL_MS;
  o.grace = SIM_GRACE_MS;
  gl_sched_free (s.s);
  s.s = gl_sched_new (&o, sched_clock (i));
  s.incarnation++;
  s.paused_until = 0;
  send_vm_list (i);
  gl_conf_t c;
  char err[CONF_ERROR_LEN];
  conf_parse (&c,
              "[policy]\nageing_s=60\n[team gait]\ncpus=60\nmemory_gb=195\n"
              "accels=8\n[team alerts]\ncpus=60\nmemory_gb=195\naccels=8\n",
              NULL, err);
  c.revision = revision;
  gl_event_t ev{};
  ev.kind = GL_EV_CONF;
  ev.u.conf = &c;
  step_sched (i, ev);
  conf_destroy (&c);
}

void
Sim::send_vm_list (int i)
{
  std::vector<gl_vm_t> list = vms;
  gl_event_t ev{};

  if (now < list_lag_until && !faults_ended)
    list.erase (list.begin () + (long)random_below (list.size ()));
  ev.kind = GL_EV_VMS;
  ev.u.vms.vms = list.data ();
  ev.u.vms.n = list.size ();
  step_sched (i, ev);
}

void
Sim::step_sched (int i, const gl_event_t &ev)
{
  Sched &s = scheds[(size_t)i];
  gl_effects_t fx{};

  if (!s.s)
    return;
  steps++;
  gl_sched_step (s.s, &ev, sched_clock (i), &fx);
  /* A pause may begin between a decision and the sending of its effects. */
  if (now < s.paused_until)
    {
      std::shared_ptr<gl_effects_t> kept (new gl_effects_t (fx),
                                          [] (gl_effects_t *p) {
                                            gl_effects_free (p);
                                            delete p;
                                          });
      uint64_t incarnation = s.incarnation;
      at (s.paused_until, [this, i, kept, incarnation] {
        if (scheds[(size_t)i].incarnation == incarnation)
          run_effects (i, *kept);
      });
      return;
    }
  run_effects (i, fx);
  gl_effects_free (&fx);
}

void
Sim::run_effects (int i, gl_effects_t &fx)
{
  Sched &s = scheds[(size_t)i];

  for (size_t k = 0; k < fx.n; k++)
    {
      gl_effect_t &e = fx.v[k];
      switch (e.kind)
        {
        case GL_FX_STORE_GET:
        case GL_FX_STORE_CAS:
          send_store (i, e);
          break;
        case GL_FX_WORKER:
          send_worker (i, e);
          break;
        case GL_FX_ANSWER:
          oracle.on_answer (e.u.answer.token, e.u.answer.code, e.u.answer.job);
          break;
        case GL_FX_LOG:
          if (trace)
            trace (std::to_string (now) + " vm" + std::to_string (i) + ": "
                   + e.u.log);
          break;
        case GL_FX_STOPPED:
          {
            uint64_t incarnation = s.incarnation;
            at (now + restart_ms, [this, i, incarnation] {
              if (scheds[(size_t)i].incarnation == incarnation)
                restart_sched (i);
            });
            break;
          }
        }
    }
}

/* ---- store ---- */

void
Sim::send_store (int i, gl_effect_t &e)
{
  uint64_t incarnation = scheds[(size_t)i].incarnation;
  std::string key = e.u.store.key;
  std::string data (e.data ? e.data : "", e.len);
  uint32_t tag = e.u.store.tag;
  uint64_t index = e.u.store.index;
  gl_fx_kind_t kind = e.kind;
  uint64_t d = delay ();
  /* Every operation ends with exactly one event. */
  auto unanswered = std::make_shared<bool> (true);
  auto answer = [=, this] (gl_store_status_t st, uint64_t found_index,
                           const std::string &out) {
    if (*unanswered)
      answer_store (i, incarnation, tag, st, found_index, out);
    *unanswered = false;
  };

  store_calls++;
  if (now < cut_store[(size_t)i])
    {
      /* The request is lost: a definite failure, or no answer. */
      bool definite = random_below (2);
      at (now + (definite ? 1 : STORE_TIMEOUT_MS),
          [=] { answer (definite ? GL_ST_REFUSED : GL_ST_UNKNOWN, 0, ""); });
      return;
    }
  if (now < store_slow_until)
    d += random_below (2500);
  at (now + d, [=, this] { run_store (i, kind, key, index, data, answer); });
  at (now + STORE_TIMEOUT_MS, [=] { answer (GL_ST_UNKNOWN, 0, ""); });
}

void
Sim::run_store (int i, gl_fx_kind_t kind, std::string key, uint64_t index,
                std::string data, StoreAnswer answer)
{
  gl_store_status_t st = GL_ST_OK;
  uint64_t found_index = 0;
  std::string out;

  if (now < store_down_until)
    {
      bool definite = random_below (2);
      at (now + (definite ? 1 : STORE_TIMEOUT_MS / 2),
          [=] { answer (definite ? GL_ST_REFUSED : GL_ST_UNKNOWN, 0, ""); });
      return;
    }
  if (kind == GL_FX_STORE_GET)
    {
      kv_entry_t *e = kv_get (&kv, key.c_str (), 0);
      st = e ? GL_ST_OK : GL_ST_ABSENT;
      if (e)
        {
          found_index = e->index;
          out.assign (e->data, e->len);
        }
    }
  else
    {
      found_index = kv_cas (&kv, key.c_str (), index, data.data (),
                            data.size (), 0, 0);
      st = found_index ? GL_ST_OK : GL_ST_CONFLICT;
      gl_commit_t commit{};
      if (found_index && key.find ("/log/") != std::string::npos
          && !codec_decode ((xdrproc_t)xdr_gl_commit_t, &commit, data.data (),
                            data.size ()))
        {
          if (trace)
            trace (std::to_string (now) + " vm" + std::to_string (i)
                   + ": commit " + std::to_string (commit.seq) + " epoch "
                   + std::to_string (commit.epoch) + " records "
                   + std::to_string (commit.recs.recs_len));
          oracle.on_commit (commit);
          codec_free ((xdrproc_t)xdr_gl_commit_t, &commit);
        }
    }
  if (trace && getenv ("GL_TRACE_STORE"))
    trace (std::to_string (now) + " vm" + std::to_string (i) + ": "
           + (kind == GL_FX_STORE_GET ? "get " : "cas ") + key + " index "
           + std::to_string (index) + " -> " + std::to_string (st) + " "
           + std::to_string (found_index));
  /* The answer is lost, but the write has taken effect. */
  if (now < cut_store[(size_t)i]
      || (now < lose_answers_until && random_below (2)))
    at (now + STORE_TIMEOUT_MS / 2, [=] { answer (GL_ST_UNKNOWN, 0, ""); });
  else
    at (now + delay (), [=] { answer (st, found_index, out); });
}

void
Sim::answer_store (int i, uint64_t incarnation, uint32_t tag,
                   gl_store_status_t status, uint64_t index, std::string data)
{
  Sched &s = scheds[(size_t)i];
  gl_event_t ev{};

  if (s.incarnation != incarnation || !s.s)
    return;
  if (now < s.paused_until)
    {
      at (s.paused_until, [=, this] {
        answer_store (i, incarnation, tag, status, index, data);
      });
      return;
    }
  ev.kind = GL_EV_STORE;
  ev.u.store.tag = tag;
  ev.u.store.status = status;
  ev.u.store.index = index;
  ev.u.store.data = data.data ();
  ev.u.store.len = data.size ();
  step_sched (i, ev);
}

/* ---- workers ---- */

void
Sim::send_worker (int i, gl_effect_t &e)
{
  uint64_t incarnation = scheds[(size_t)i].incarnation;
  uint32_t w = e.u.worker.worker;
  uint32_t call = e.u.worker.call;
  uint64_t timeout = e.u.worker.timeout;
  std::string data (e.data, e.len);
  size_t target = (size_t)atoi (e.u.worker.addr);

  if (sched_clock (i) >= e.u.worker.send_before)
    {
      at (now + 1, [=, this] {
        answer_worker (i, incarnation, w, call, GL_CALL_NOT_SENT, "");
      });
      return;
    }
  at (now + timeout, [=, this] {
    answer_worker (i, incarnation, w, call, GL_CALL_UNKNOWN, "");
  });
  if (now < cut_to_worker[(size_t)i][target])
    return;
  uint32_t target_number = (uint32_t)target;
  auto deliver = [=, this] (bool duplicate) {
    deliver_to_worker (i, incarnation, target_number | (w << 16), call, data,
                       duplicate);
  };
  at (now + delay (), [=] { deliver (false); });
  /* A duplicate may arrive late, as after a retransmission by a proxy. */
  if (now < slow_net_until && random_below (3) == 0)
    at (now + 500 + random_below (8000), [=] { deliver (true); });
}

void
Sim::deliver_to_worker (int i, uint64_t incarnation,
                        uint32_t target_and_worker, uint32_t call,
                        std::string data, bool duplicate)
{
  uint32_t target = target_and_worker & 0xffff;
  uint32_t w = target_and_worker >> 16;
  wcore_t &c = workers[target];
  gl_wcall_t msg{};
  gl_wreply_t reply{};

  if (now < worker_down_until[target])
    return;
  if (now < worker_paused_until[target])
    {
      at (worker_paused_until[target] + 1, [=, this] {
        deliver_to_worker (i, incarnation, target_and_worker, call, data,
                           duplicate);
      });
      return;
    }
  if (codec_decode ((xdrproc_t)xdr_gl_wcall_t, &msg, data.data (),
                    data.size ()))
    return;
  auto answer = [=, this] (gl_wreply_t *r) {
    size_t len;
    char *text = codec_encode ((xdrproc_t)xdr_gl_wreply_t, r, &len);
    std::string out (text, len);
    free (text);
    if (!duplicate && now >= cut_from_worker[(size_t)i][target])
      at (now + delay (), [=, this] {
        answer_worker (i, incarnation, w, call, GL_CALL_ANSWERED, out);
      });
  };
  wcore_call (&c, worker_clock ((int)target), &msg, &reply);
  check_running ();
  LongPoll &h = long_polls[target][(size_t)i];
  if (msg.hold_ms && reply.status == GL_W_OK
      && !wcore_has_changes (&c, msg.seen_seq) && !duplicate)
    {
      if (h.open)
        codec_free ((xdrproc_t)xdr_gl_wcall_t, &h.call);
      h.open = true;
      h.call = msg;
      h.until = now + msg.hold_ms;
      h.answer = answer;
      codec_free ((xdrproc_t)xdr_gl_wreply_t, &reply);
      at (h.until, [this, target] { answer_long_polls ((int)target); });
    }
  else
    {
      answer (&reply);
      codec_free ((xdrproc_t)xdr_gl_wreply_t, &reply);
      codec_free ((xdrproc_t)xdr_gl_wcall_t, &msg);
    }
  answer_long_polls ((int)target);
}

void
Sim::answer_long_polls (int w)
{
  wcore_t &c = workers[(size_t)w];

  if (now < worker_paused_until[(size_t)w]
      || now < worker_down_until[(size_t)w])
    return;
  for (auto &h : long_polls[(size_t)w])
    {
      gl_wreply_t r{};
      if (!h.open
          || (now < h.until && !wcore_has_changes (&c, h.call.seen_seq)))
        continue;
      h.open = false;
      if (h.call.epoch == c.epoch)
        {
          wcore_changes_reply (&c, worker_clock (w), &h.call, &r);
          h.answer (&r);
          codec_free ((xdrproc_t)xdr_gl_wreply_t, &r);
        }
      codec_free ((xdrproc_t)xdr_gl_wcall_t, &h.call);
    }
}

void
Sim::answer_worker (int i, uint64_t incarnation, uint32_t w, uint32_t call,
                    gl_call_status_t st, std::string data)
{
  Sched &s = scheds[(size_t)i];
  gl_wreply_t r{};
  gl_event_t ev{};

  if (s.incarnation != incarnation || !s.s)
    return;
  if (now < s.paused_until)
    {
      at (s.paused_until,
          [=, this] { answer_worker (i, incarnation, w, call, st, data); });
      return;
    }
  ev.kind = GL_EV_WORKER;
  ev.u.worker.worker = w;
  ev.u.worker.call = call;
  ev.u.worker.status = st;
  ev.u.worker.reply = &r;
  if (st == GL_CALL_ANSWERED
      && codec_decode ((xdrproc_t)xdr_gl_wreply_t, &r, data.data (),
                       data.size ()))
    ev.u.worker.status = GL_CALL_UNKNOWN;
  step_sched (i, ev);
  if (st == GL_CALL_ANSWERED)
    codec_free ((xdrproc_t)xdr_gl_wreply_t, &r);
}

void
Sim::choose_outcome_cb (void *ctx, const wcore_t *w, const gl_start_t *s,
                        uint64_t *run_ms, gl_outcome_t *planned_outcome)
{
  ((Sim *)ctx)->choose_outcome (w, s, run_ms, planned_outcome);
}

/* Attempts run between 50 ms and about twice the declared time, since declared
   times are often far off; services run on.  One attempt in ten fails. */
void
Sim::choose_outcome (const wcore_t *w, const gl_start_t *s, uint64_t *run_ms,
                     gl_outcome_t *planned_outcome)
{
  (void)w;
  *run_ms = s->runtime_s ? 50 + random_below (s->runtime_s * 2000) : 0;
  *planned_outcome = random_below (10) ? GL_OUT_OK : GL_OUT_FAILED;
}

void
Sim::tick_workers ()
{
  for (size_t w = 0; w < workers.size (); w++)
    {
      if (now < worker_paused_until[w] || now < worker_down_until[w])
        continue;
      wcore_tick (&workers[w], worker_clock ((int)w));
      answer_long_polls ((int)w);
    }
}

void
Sim::check_running ()
{
  std::vector<bool> paused;
  std::vector<uint64_t> clocks;

  for (size_t w = 0; w < workers.size (); w++)
    {
      paused.push_back (now < worker_paused_until[w]
                        || now < worker_down_until[w]);
      clocks.push_back (worker_clock ((int)w));
    }
  oracle.check_workers (workers, paused, clocks);
}

/* ---- time ---- */

void
Sim::run (uint64_t ms)
{
  uint64_t end = now + ms;

  while (violation ().empty ())
    {
      uint64_t next = end;
      int next_sched = -1;

      if (!events.empty () && events.top ().at < next)
        next = events.top ().at;
      for (int i = 0; i < 2; i++)
        {
          Sched &s = scheds[(size_t)i];
          if (!s.s)
            continue;
          gl_ms_t due = gl_sched_due (s.s);
          if (due == UINT64_MAX)
            continue;
          uint64_t t = due <= s.offset
                           ? now
                           : (uint64_t)((double)(due - s.offset) / s.rate) + 1;
          if (t < now)
            t = now;
          if (t < s.paused_until)
            t = s.paused_until;
          if (t < next)
            {
              next = t;
              next_sched = i;
            }
        }
      if (next >= end)
        break;
      now = next;
      tick_workers ();
      if (next_sched >= 0)
        {
          gl_event_t ev{};
          ev.kind = GL_EV_TICK;
          step_sched (next_sched, ev);
          /* The conversion of clocks rounds down: make sure that time passes
             the timer. */
          if (gl_sched_due (scheds[(size_t)next_sched].s)
              <= sched_clock (next_sched))
            now++;
        }
      else if (!events.empty ())
        {
          auto fn = events.top ().fn;
          events.pop ();
          fn ();
        }
    }
  now = end > now ? end : now;
  check_running ();
}

int
Sim::active () const
{
  uint64_t best_epoch = 0;
  int owner = -1;
  for (int i = 0; i < 2; i++)
    {
      uint64_t epoch;
      if (scheds[(size_t)i].s && gl_sched_active (scheds[(size_t)i].s, &epoch)
          && epoch > best_epoch)
        {
          best_epoch = epoch;
          owner = i;
        }
    }
  return owner;
}

/* ---- operators ---- */

void
Sim::submit_spec (uint64_t id, gl_class_t cls, uint32_t tasks, gl_res_t need,
                  uint32_t runtime_s, uint32_t max_attempts, const char *team)
{
  char name[32];
  gl_jobspec_t p{};
  gl_event_t ev{};

  snprintf (name, sizeof name, "job%llu", (unsigned long long)id);
  p.name = name;
  p.team = (char *)team;
  p.cls = cls;
  p.tasks = tasks;
  p.need = need;
  p.runtime_s = runtime_s;
  p.max_attempts = max_attempts;
  ev.kind = GL_EV_SUBMIT;
  ev.u.submit.token = next_token++;
  ev.u.submit.job = id;
  ev.u.submit.spec = &p;
  for (int i = 0; i < 2; i++)
    if (gl_sched_active (scheds[(size_t)i].s, NULL)
        && now >= scheds[(size_t)i].paused_until)
      {
        ev.u.submit.token = next_token++;
        step_sched (i, ev);
      }
}

void
Sim::submit (uint64_t arg)
{
  gl_class_t cls = (gl_class_t)(arg % 4);
  uint32_t tasks
      = cls == GL_CLASS_GANG ? 2 + (arg >> 2) % 4 : 1 + (arg >> 2) % 3;
  gl_res_t need
      = { 1000 + (int)((arg >> 5) % 8) * 1000,
          1024 * (1 + (int)((arg >> 8) % 16)), (arg >> 12) % 5 == 0 ? 1 : 0 };
  uint32_t runtime = cls == GL_CLASS_SERVICE ? 0 : 1 + (arg >> 15) % 20;

  submit_spec (next_job++, cls, tasks, need, runtime, 8,
               team_names[(arg >> 20) % 2]);
}

void
Sim::cancel (uint64_t arg)
{
  gl_event_t ev{};

  ev.kind = GL_EV_CANCEL;
  ev.u.cancel.job = 1 + arg % next_job;
  for (int i = 0; i < 2; i++)
    if (gl_sched_active (scheds[(size_t)i].s, NULL)
        && now >= scheds[(size_t)i].paused_until)
      {
        ev.u.cancel.token = next_token++;
        step_sched (i, ev);
      }
}

void
Sim::cordon (uint64_t arg)
{
  gl_event_t ev{};

  ev.kind = GL_EV_CORDON;
  ev.u.cordon.worker = workers[arg % workers.size ()].name;
  ev.u.cordon.on = (arg >> 4) % 2;
  for (int i = 0; i < 2; i++)
    if (gl_sched_active (scheds[(size_t)i].s, NULL)
        && now >= scheds[(size_t)i].paused_until)
      {
        ev.u.cordon.token = next_token++;
        step_sched (i, ev);
      }
}

void
Sim::inject (Fault f, uint64_t arg, uint64_t ms)
{
  size_t i = arg % 2;
  size_t w = (arg >> 1) % workers.size ();

  switch (f)
    {
    case Fault::KillSched:
      restart_sched ((int)i);
      break;
    case Fault::PauseSched:
      scheds[i].paused_until = now + ms;
      break;
    case Fault::StopSched:
      {
        gl_event_t ev{};
        ev.kind = GL_EV_STOP;
        step_sched ((int)i, ev);
        break;
      }
    case Fault::StoreDown:
      store_down_until = now + ms;
      break;
    case Fault::StoreSlow:
      store_slow_until = now + ms;
      break;
    case Fault::LoseAnswers:
      lose_answers_until = now + ms;
      break;
    case Fault::CutStore:
      cut_store[i] = now + ms;
      break;
    case Fault::CutWorker:
      cut_to_worker[i][w] = now + ms;
      break;
    case Fault::CutWorkerBack:
      cut_from_worker[i][w] = now + ms;
      break;
    case Fault::KillWorker:
      worker_down_until[w] = now + ms;
      wcore_boot (&workers[w], ++next_boot * 1000003);
      for (auto &h : long_polls[w])
        if (h.open)
          {
            h.open = false;
            codec_free ((xdrproc_t)xdr_gl_wcall_t, &h.call);
          }
      break;
    case Fault::PauseWorker:
      worker_paused_until[w] = now + ms;
      break;
    case Fault::ListLag:
      list_lag_until = now + ms;
      send_vm_list ((int)i);
      break;
    case Fault::SlowNet:
      slow_net_until = now + ms;
      break;
    default:
      break;
    }
}

void
Sim::end_faults ()
{
  faults_ended = true;
  store_down_until = store_slow_until = lose_answers_until = slow_net_until
      = 0;
  cut_store.assign (2, 0);
  for (auto *cut : { &cut_to_worker, &cut_from_worker })
    for (auto &v : *cut)
      v.assign (workers.size (), 0);
  worker_paused_until.assign (workers.size (), 0);
  worker_down_until.assign (workers.size (), 0);
  for (auto &s : scheds)
    s.paused_until = 0;
}

std::string
Sim::job_json (uint64_t id)
{
  int i = active ();
  char *text = i < 0 ? NULL
                     : gl_sched_view (scheds[(size_t)i].s, "job", id,
                                      sched_clock (i));
  std::string t = text ? text : "";

  free (text);
  return t;
}

uint64_t
Sim::first_unfinished ()
{
  for (auto &j : oracle.jobs)
    {
      std::string t = job_json (j.first);
      bool done = t.find ("\"state\":\"finished\"") != std::string::npos
                  || t.find ("\"state\":\"failed\"") != std::string::npos
                  || t.find ("\"state\":\"canceled\"") != std::string::npos;
      /* Infeasible, but accepted before the workers were known: it waits. */
      if (!oracle.feasible (j.second)
          && t.find ("no present worker") != std::string::npos)
        done = true;
      if (!done)
        return j.first;
    }
  return 0;
}

bool
Sim::run_to_completion ()
{
  uint64_t left = 0;

  end_faults ();
  for (int round = 0; round < 240 && violation ().empty (); round++)
    {
      for (int i = 0; i < 2; i++)
        send_vm_list (i);
      /* With an argument below 16, cordon opens that worker again. */
      for (size_t w = 0; w < workers.size (); w++)
        cordon (w);
      for (auto &j : oracle.jobs)
        if (j.second.spec.cls == GL_CLASS_SERVICE && !j.second.canceled)
          cancel (j.first - 1);
      run (5000);
      left = first_unfinished ();
      if (!left && active () >= 0)
        return true;
    }
  if (violation ().empty ())
    oracle.violate ("accepted job " + std::to_string (left)
                    + " has not ended: " + job_json (left));
  return false;
}

void
Sim::reconfigure (uint64_t new_revision)
{
  gl_conf_t c;
  char err[CONF_ERROR_LEN];

  conf_parse (&c,
              "[team gait]\ncpus=60\nmemory_gb=195\naccels=8\n"
              "[team alerts]\ncpus=60\nmemory_gb=195\naccels=8\n",
              NULL, err);
  c.revision = new_revision;
  for (int i = 0; i < 2; i++)
    {
      gl_event_t ev{};
      ev.kind = GL_EV_CONF;
      ev.u.conf = &c;
      step_sched (i, ev);
    }
  conf_destroy (&c);
}
