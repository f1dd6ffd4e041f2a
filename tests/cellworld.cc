/* cellworld.cc -- the world around the cell, in virtual time */
#include "cellworld.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <memory>

extern "C"
{
#include "codec.h"
}

static const gl_ms_t STORE_MS = 4;
static const gl_ms_t NET_MS = 1;
static const gl_ms_t TICK_MS = 5;
/* One end is the whole gang's; the other members go a little later. */
static const gl_ms_t LINGER_MS = 60;
static const gl_ms_t TICKET_MS = 1500;

gl_step_t
world_step (int count, int cpus_m, bool gang, std::vector<int> after)
{
  /* Steps are copied about, so what they refer to is kept. */
  static std::deque<std::vector<u_int> > kept;
  gl_step_t s{};

  kept.emplace_back (after.begin (), after.end ());
  s.count = (u_int)count;
  s.need = { cpus_m, 1024, 0 };
  s.estimate_ms = 500;
  s.gang = gang;
  s.label = s.rack = s.image = (char *)"";
  s.predecessors.predecessors_len = (u_int)after.size ();
  s.predecessors.predecessors_val = kept.back ().data ();
  return s;
}

uint64_t
World::random ()
{
  rng_ = rng_ * 6364136223846793005ull + 1442695040888963407ull;
  return rng_ >> 33;
}

World::World (int nvms, int nworkers, uint64_t seed, bool advised)
    : advised_ (advised), rng_ (seed * 2 + 1)
{
  for (int i = 0; i < nvms; i++)
    {
      Vm v;
      v.name = "vm" + std::to_string (i);
      v.alive = false;
      vms.push_back (v);
    }
  for (int i = 0; i < nworkers; i++)
    add_worker (-1);
  for (int i = 0; i < nvms; i++)
    start_vm (i);
}

World::~World ()
{
  for (Vm &v : vms)
    cell_free (v.cell);
}

void
World::later (gl_ms_t ms, Fn fn)
{
  due_.push ({ now + ms, order_++, fn });
}

void
World::break_promise (const std::string &what)
{
  broken.push_back (std::to_string (now) + " " + what);
}

int
World::vm_at (const std::string &addr) const
{
  for (size_t i = 0; i < vms.size (); i++)
    if (vms[i].name == addr)
      return (int)i;
  return -1;
}

int
World::owner () const
{
  for (size_t i = 0; i < vms.size (); i++)
    if (vms[i].alive && cell_is_owner (vms[i].cell))
      return (int)i;
  return -1;
}

/* ---- VMs ---- */

void
World::start_vm (int i)
{
  Vm &v = vms[(size_t)i];
  cell_limits_t b{};

  if (v.alive)
    return;
  b.worker_lease_max_ms = 10000;
  b.stop_max_ms = 200;
  b.writes_per_s = 400;
  b.retention_ms = 120000;
  v.cell = cell_new (v.name.c_str (), v.name.c_str (), "a", &b, random ());
  v.alive = true;
  v.frozen = false;
  v.lease = 0;
  v.life++;
  sync (i);
}

void
World::kill_vm (int i)
{
  Vm &v = vms[(size_t)i];

  if (!v.alive)
    return;
  cell_free (v.cell);
  v.cell = nullptr;
  v.alive = false;
  v.life++;
  for (size_t o = 0; o < vms.size (); o++)
    if (vms[o].alive && !vms[o].frozen)
      {
        cell_event_t ev{};
        ev.kind = CELL_EV_PEER_DOWN;
        ev.peer_addr = v.name.c_str ();
        step ((int)o, ev);
      }
}

void
World::freeze_vm (int i, bool frozen)
{
  vms[(size_t)i].frozen = frozen;
}

void
World::stop_vm (int i)
{
  cell_event_t ev{};

  ev.kind = CELL_EV_STOP;
  if (vms[(size_t)i].alive)
    step (i, ev);
}

void
World::give_conf (int i, uint64_t version)
{
  cell_conf_t *conf = (cell_conf_t *)calloc (1, sizeof *conf);
  cell_event_t ev{};

  conf->version = version;
  conf->queues = (cell_queue_t *)calloc (2, sizeof *conf->queues);
  for (int q = 0; q < 2; q++)
    {
      const char *name = q ? "batch" : "urgent";
      cell_queue_t *p = &conf->queues[conf->nqueues];

      if (!queues.count (name))
        continue;
      conf->nqueues++;
      snprintf (p->name, sizeof p->name, "%s", name);
      snprintf (p->host, sizeof p->host, "h");
      snprintf (p->prefix, sizeof p->prefix, "/%s/", p->name);
      snprintf (p->service, sizeof p->service, "svc");
      p->priority = q;
      p->max_attempts = (uint32_t)attempts;
      p->due_factor = 2;
      p->due_offset_ms = 1000;
      p->advised = advised_;
      p->consult_base_ms = q ? decide_ms : 10;
      p->consult_per_worker_ms = 0.5;
      p->ticket_valid_ms = (uint32_t)TICKET_MS;
    }
  ev.kind = CELL_EV_CONF;
  ev.conf = conf;
  step (i, ev);
}

void
World::configure (uint64_t version, const std::set<std::string> &names)
{
  if (version > conf_version)
    {
      conf_version = version;
      queues = names;
    }
  for (size_t i = 0; i < vms.size (); i++)
    if (vms[i].alive && !vms[i].frozen && !vms[i].store_cut)
      give_conf ((int)i, version);
}

void
World::leave (int w, uint32_t left_ms)
{
  workers[(size_t)w].info.leaving = 1;
  workers[(size_t)w].info.leaves_in_ms = left_ms;
  for (size_t i = 0; i < vms.size (); i++)
    if (vms[i].alive && !vms[i].frozen && !vms[i].store_cut)
      report_worker ((int)i, w);
}

void
World::sync (int i)
{
  uint64_t life = vms[(size_t)i].life;

  later (STORE_MS, [=, this] {
    Vm &v = vms[(size_t)i];
    cell_event_t ev{};

    if (!v.alive || v.life != life)
      return;
    if (v.frozen || v.store_cut || store_mode != StoreMode::fine)
      {
        later (100, [=, this] {
          if (vms[(size_t)i].alive && vms[(size_t)i].life == life)
            sync (i);
        });
        return;
      }
    give_conf (i, conf_version);
    for (auto &it : items_)
      if (it.first.rfind ("gl/m/", 0) == 0)
        report (i, it.first, false);
    ev = {};
    ev.kind = CELL_EV_MEMBERS_SYNCED;
    step (i, ev);
    for (size_t w = 0; w < workers.size (); w++)
      report_worker (i, (int)w);
    ev = {};
    ev.kind = CELL_EV_WORKERS_SYNCED;
    step (i, ev);
  });
}

void
World::step (int i, cell_event_t &ev)
{
  Vm &v = vms[(size_t)i];
  cell_effects_t fx{};
  uint64_t life = v.life;

  ev.wall = 1000000 + now;
  cell_step (v.cell, &ev, now, &fx);
  for (size_t k = 0; k < fx.n; k++)
    if (vms[(size_t)i].life == life)
      carry_out (i, fx.v[k]);
  cell_effects_done (&fx);
}

void
World::carry_out (int i, cell_effect_t &e)
{
  switch (e.kind)
    {
    case CELL_FX_TXN:
      txn (i, e.tag, *e.txn);
      break;
    case CELL_FX_PAGE:
      page (i, e.tag, e.key, e.after_key);
      break;
    case CELL_FX_READ:
      read (i, e.tag, e.key);
      break;
    case CELL_FX_LEASE:
      lease (i, e.tag, e.timeout);
      break;
    case CELL_FX_WCALL:
      order (i, *e.wcall);
      break;
    case CELL_FX_CONSULT:
      consult (i, e.tag, *e.consult);
      break;
    case CELL_FX_REPLY:
      tell (i, e);
      break;
    case CELL_FX_FORWARD:
      forward (i, e);
      break;
    case CELL_FX_HEARTBEAT:
      {
        int to = vm_at (e.key);
        if (to < 0 || !vms[(size_t)to].alive || vms[(size_t)to].frozen)
          break;
        size_t len;
        char *data
            = codec_encode ((xdrproc_t)xdr_gl_heartbeat_t, e.heartbeat, &len);
        std::string copy (data, len);
        free (data);
        later (NET_MS, [=, this] {
          gl_heartbeat_t b{};
          cell_event_t ev{};
          if (!vms[(size_t)to].alive || vms[(size_t)to].frozen
              || codec_decode ((xdrproc_t)xdr_gl_heartbeat_t, &b, copy.data (),
                               copy.size ()))
            return;
          ev.kind = CELL_EV_HEARTBEAT;
          ev.heartbeat = &b;
          step (to, ev);
          codec_free ((xdrproc_t)xdr_gl_heartbeat_t, &b);
        });
        break;
      }
    case CELL_FX_LOG:
      log.push_back (std::to_string (now) + " " + vms[(size_t)i].name + " "
                     + (e.log_line ? e.log_line : ""));
      if (getenv ("GL_TRACE"))
        printf ("%s\n", log.back ().c_str ());
      break;
    }
}

/* ---- the store ---- */

void
World::report (int i, const std::string &key, bool gone)
{
  cell_event_t ev{};
  cell_item_t item{};
  std::string value = gone ? "" : items_[key].value;

  snprintf (item.key, sizeof item.key, "%s", key.c_str ());
  item.value = value.data ();
  item.len = value.size ();
  item.revision = gone ? revision_ : items_[key].revision;
  ev.kind = CELL_EV_MEMBER;
  ev.items = &item;
  ev.nitems = 1;
  ev.removed = gone;
  step (i, ev);
}

/* A VM that the store does not reach hears of it once it does. */
void
World::notify (size_t i, const std::string &key, uint64_t life)
{
  if (!vms[i].alive || vms[i].life != life)
    return;
  if (vms[i].frozen || vms[i].store_cut)
    later (200, [=, this] { notify (i, key, life); });
  else
    report ((int)i, key, !items_.count (key));
}

void
World::changed (const std::string &key, bool gone)
{
  (void)gone;
  if (key.rfind ("gl/m/", 0) != 0)
    return;
  for (size_t i = 0; i < vms.size (); i++)
    {
      uint64_t life = vms[i].life;

      later (STORE_MS, [=, this] { notify (i, key, life); });
    }
}

/* Whether the answer of this call comes; done says whether it took effect. */
static bool
answers (StoreMode m, uint64_t dice)
{
  return m != StoreMode::loses || dice % 3;
}

void
World::txn (int i, uint64_t tag, const cell_txn_t &x)
{
  struct Put
  {
    std::string key, value;
    bool leased, remove;
  };
  std::vector<std::pair<std::string, uint64_t> > checks;
  std::vector<Put> puts;
  uint64_t life = vms[(size_t)i].life;
  uint64_t lease = vms[(size_t)i].lease;

  if (x.nchecks + x.nputs > CELL_TXN_KEYS_MAX)
    break_promise ("a transaction with too many entries");
  for (int k = 0; k < x.nchecks; k++)
    checks.push_back ({ x.checks[k].key, x.checks[k].revision });
  for (int k = 0; k < x.nputs; k++)
    puts.push_back (
        { x.puts[k].key,
          x.puts[k].value ? std::string (x.puts[k].value, x.puts[k].len) : "",
          x.puts[k].leased != 0, !x.puts[k].value });
  later (STORE_MS, [=, this] {
    cell_event_t ev{};
    std::vector<cell_item_t> items;
    std::vector<std::string> values;
    bool cut = vms[(size_t)i].store_cut;
    bool refused = store_mode == StoreMode::down;
    bool lost = cut || store_mode == StoreMode::silent;
    bool conflict = false;

    ev.kind = CELL_EV_TXN_DONE;
    ev.tag = tag;
    if (!refused && !lost)
      {
        for (auto &c : checks)
          conflict |= (items_.count (c.first) ? items_[c.first].revision : 0)
                      != c.second;
        for (auto &p : puts)
          refused |= p.leased && !leases_.count (lease);
      }
    if (!refused && !lost && !conflict)
      {
        revision_++;
        for (auto &p : puts)
          if (p.remove)
            {
              if (items_.erase (p.key))
                changed (p.key, true);
            }
          else
            {
              items_[p.key] = { p.value, revision_, p.leased ? lease : 0 };
              changed (p.key, false);
            }
        ev.revision = revision_;
        lost = !answers (store_mode, random ());
      }
    ev.status = refused    ? GL_ST_REFUSED
                : lost     ? GL_ST_UNKNOWN
                : conflict ? GL_ST_CONFLICT
                           : GL_ST_OK;
    if (conflict)
      {
        values.reserve (checks.size ());
        for (auto &c : checks)
          {
            cell_item_t it{};
            snprintf (it.key, sizeof it.key, "%s", c.first.c_str ());
            if (items_.count (c.first))
              {
                values.push_back (items_[c.first].value);
                it.value = values.back ().data ();
                it.len = values.back ().size ();
                it.revision = items_[c.first].revision;
              }
            items.push_back (it);
          }
        ev.items = items.data ();
        ev.nitems = (int)items.size ();
      }
    auto deliver = [=, this] (cell_event_t e) {
      if (vms[(size_t)i].alive && vms[(size_t)i].life == life)
        step (i, e);
    };
    if (vms[(size_t)i].frozen || lost)
      {
        cell_event_t e = ev;
        if (vms[(size_t)i].frozen && !lost)
          e.status = GL_ST_UNKNOWN;
        e.items = nullptr;
        e.nitems = 0;
        later (400, [=] { deliver (e); });
        return;
      }
    deliver (ev);
  });
}

void
World::page (int i, uint64_t tag, const std::string &prefix,
             const std::string &after)
{
  uint64_t life = vms[(size_t)i].life;

  later (STORE_MS, [=, this] {
    cell_event_t ev{};
    std::vector<cell_item_t> items;
    std::vector<std::string> values;

    if (!vms[(size_t)i].alive || vms[(size_t)i].life != life)
      return;
    ev.kind = CELL_EV_PAGE;
    ev.tag = tag;
    ev.status = store_mode == StoreMode::fine && !vms[(size_t)i].store_cut
                    ? GL_ST_OK
                    : GL_ST_REFUSED;
    values.reserve (8);
    if (ev.status == GL_ST_OK)
      for (auto it = items_.lower_bound (after.empty () ? prefix : after);
           it != items_.end () && it->first.rfind (prefix, 0) == 0; ++it)
        {
          cell_item_t o{};
          if (it->first == after)
            continue;
          if (items.size () == 8)
            {
              ev.more = 1;
              break;
            }
          snprintf (o.key, sizeof o.key, "%s", it->first.c_str ());
          values.push_back (it->second.value);
          o.value = values.back ().data ();
          o.len = values.back ().size ();
          o.revision = it->second.revision;
          items.push_back (o);
        }
    ev.items = items.data ();
    ev.nitems = (int)items.size ();
    if (ev.status != GL_ST_OK)
      {
        cell_event_t e = ev;
        later (100, [=, this] {
          cell_event_t f = e;
          if (vms[(size_t)i].alive && vms[(size_t)i].life == life)
            step (i, f);
        });
        return;
      }
    step (i, ev);
  });
}

void
World::read (int i, uint64_t tag, const std::string &key)
{
  uint64_t life = vms[(size_t)i].life;

  later (STORE_MS, [=, this] {
    cell_event_t ev{};
    cell_item_t item{};

    if (!vms[(size_t)i].alive || vms[(size_t)i].life != life)
      return;
    ev.kind = CELL_EV_READ;
    ev.tag = tag;
    ev.status = store_mode != StoreMode::fine || vms[(size_t)i].store_cut
                    ? GL_ST_REFUSED
                : items_.count (key) ? GL_ST_OK
                                     : GL_ST_ABSENT;
    std::string value = items_.count (key) ? items_[key].value : "";
    item.value = value.data ();
    item.len = value.size ();
    item.revision = 1;
    ev.items = &item;
    ev.nitems = 1;
    step (i, ev);
  });
}

void
World::lease (int i, uint64_t tag, gl_ms_t ttl)
{
  uint64_t life = vms[(size_t)i].life;

  later (STORE_MS, [=, this] {
    cell_event_t ev{};
    Vm &v = vms[(size_t)i];

    if (!v.alive || v.life != life)
      return;
    ev.kind = CELL_EV_LEASE;
    ev.tag = tag;
    ev.status = GL_ST_REFUSED;
    if (store_mode != StoreMode::down && store_mode != StoreMode::silent
        && !v.store_cut && !v.frozen)
      {
        ev.status = GL_ST_OK;
        if (!leases_.count (v.lease))
          {
            v.lease = ++next_lease_;
            ev.revision = 1;
          }
        leases_[v.lease] = { ttl, now + ttl };
      }
    step (i, ev);
  });
}

void
World::end_leases ()
{
  for (auto it = leases_.begin (); it != leases_.end ();)
    {
      if (it->second.ends > now || store_mode != StoreMode::fine)
        {
          ++it;
          continue;
        }
      uint64_t id = it->first;
      it = leases_.erase (it);
      for (auto k = items_.begin (); k != items_.end ();)
        if (k->second.lease == id)
          {
            std::string key = k->first;
            k = items_.erase (k);
            revision_++;
            changed (key, true);
          }
        else
          ++k;
    }
}

/* ---- workers ---- */

void
World::add_worker (int like)
{
  Worker w;
  cell_worker_t &f = w.info;

  snprintf (f.id, sizeof f.id, "w%d", lives_++);
  snprintf (f.addr, sizeof f.addr, "%s",
            like >= 0 ? workers[(size_t)like].info.addr : f.id);
  snprintf (f.domain, sizeof f.domain, "a");
  snprintf (f.service, sizeof f.service, "svc");
  snprintf (f.labels[0], sizeof f.labels[0], "kind");
  snprintf (f.labels[1], sizeof f.labels[1], "r%d", lives_ / 4);
  f.nlabels = 2;
  f.capacity = { 8000, 32768, 0 };
  workers.push_back (w);
  for (size_t i = 0; i < vms.size (); i++)
    if (vms[i].alive && !vms[i].frozen && !vms[i].store_cut)
      report_worker ((int)i, (int)workers.size () - 1);
}

void
World::report_worker (int i, int w)
{
  cell_event_t ev{};

  if (!workers[(size_t)w].alive && workers[(size_t)w].listed)
    workers[(size_t)w].listed = false;
  ev.kind = CELL_EV_WORKER;
  ev.worker = &workers[(size_t)w].info;
  ev.removed = !workers[(size_t)w].listed;
  step (i, ev);
}

void
World::set_listed (int w, bool listed)
{
  workers[(size_t)w].listed = listed && workers[(size_t)w].alive;
  for (size_t i = 0; i < vms.size (); i++)
    if (vms[i].alive && !vms[i].frozen && !vms[i].store_cut)
      report_worker ((int)i, w);
}

void
World::crash_worker (int i)
{
  if (!workers[(size_t)i].alive)
    return;
  workers[(size_t)i].alive = false;
  workers[(size_t)i].running.clear ();
  add_worker (i);
  set_listed (i, false);
}

void
World::end_run (Worker &w, const std::string &task, cell_outcome_t how)
{
  auto it = w.running.find (task);

  if (it == w.running.end ())
    return;
  if (how == CELL_RUN_FAILED)
    failed_[task].insert (it->second.run);
  w.ends.push_back ({ ++w.ends_made, task, it->second.run, how });
  w.fenced[task] = std::max (w.fenced[task], it->second.run);
  w.running.erase (it);
  auto waiting = w.waiting;
  w.waiting.clear ();
  for (auto &fn : waiting)
    later (0, fn);
}

static std::string
step_of (const std::string &task)
{
  return task.substr (0, task.rfind ('.') + 1);
}

/* How many members of the gang run; @last is when the last one began. */
int
World::members (const std::string &task, uint32_t run, gl_ms_t *last)
{
  int n = 0;

  *last = 0;
  for (Worker &w : workers)
    for (auto &r : w.running)
      if (w.alive && r.second.run == run
          && step_of (r.first) == step_of (task))
        {
          n++;
          *last = std::max (*last, r.second.began);
        }
  return n;
}

void
World::end_gang (const std::string &task, uint32_t run, bool fails)
{
  for (Worker &w : workers)
    {
      std::vector<std::string> names;

      for (auto &r : w.running)
        if (w.alive && r.second.run == run
            && step_of (r.first) == step_of (task))
          names.push_back (r.first);
      for (auto &n : names)
        {
          if (!fails)
            done_[n].insert ((int)run);
          if (!fails && n != task)
            {
              w.running[n].lingers = now + LINGER_MS;
              continue;
            }
          end_run (w, n,
                   !fails      ? CELL_RUN_DONE
                   : n == task ? CELL_RUN_FAILED
                               : CELL_RUN_BROKEN);
        }
    }
}

void
World::end_member (Worker &w, const std::string &task)
{
  Run &r = w.running[task];
  gl_ms_t last;
  bool all = members (task, r.run, &last) == r.gang;

  if (r.lingers)
    {
      if (now >= r.lingers)
        w.running.erase (task);
      return;
    }
  r.together |= all;
  if (!all && r.together)
    end_run (w, task, CELL_RUN_BROKEN);
  else if (!all && now - r.began > 3000)
    end_run (w, task, CELL_RUN_ALONE);
  else if (all && now >= last + (r.ends - r.began))
    end_gang (task, r.run, r.fails || poison.count (task));
}

void
World::end_runs (Worker &w)
{
  std::vector<std::string> names;

  if (!w.alive)
    return;
  if (now >= w.lease)
    for (End &e : w.ends)
      e.lapsed = true;
  for (auto &r : w.running)
    names.push_back (r.first);
  for (auto &n : names)
    if (!w.running.count (n))
      continue;
    else if (now >= w.lease)
      end_run (w, n, CELL_RUN_LAPSED);
    else if (w.running[n].gang)
      end_member (w, n);
    else if (now >= w.running[n].ends)
      {
        bool fails = w.running[n].fails || poison.count (n);
        if (!fails)
          done_[n].insert ((int)w.running[n].run);
        end_run (w, n, fails ? CELL_RUN_FAILED : CELL_RUN_DONE);
      }
}

void
World::check_start (Worker &w, const std::string &task, const Run &r,
                    bool late)
{
  std::string id = task.substr (0, task.find ('.'));
  int cpus = r.need.cpus_m;
  int memory = r.need.memory_mb;

  starts++;
  for (auto &o : w.running)
    {
      cpus += o.second.need.cpus_m;
      memory += o.second.need.memory_mb;
    }
  if (cpus > w.info.capacity.cpus_m || memory > w.info.capacity.memory_mb)
    break_promise ("limit " + task + " on " + w.info.id);
  for (auto &o : workers)
    if (o.alive && o.running.count (task) && &o != &w)
      break_promise ("twice " + task + " on " + w.info.id + " and "
                     + o.info.id);
  if (done_acked_.count (task))
    break_promise ("again after its end: " + task);
  if ((int)failed_acked_[task].size () >= attempts)
    break_promise ("budget " + task);
  if (!jobs.count (id))
    break_promise ("unasked " + task);
  else if (!late && jobs[id].cancelled && now > jobs[id].cancelled_at + 1000)
    break_promise ("started after its cancel " + task);
  else
    {
      int step = atoi (
          task.substr (task.find ('.', task.find ('.') + 1) + 1).c_str ());
      for (int p : jobs[id].after[(size_t)step])
        for (int k = 0; k < jobs[id].widths[(size_t)p]; k++)
          {
            std::string n
                = id + ".0." + std::to_string (p) + "." + std::to_string (k);
            if (!jobs[id].gangs[(size_t)p] && done_[n].empty ())
              break_promise ("order " + task + " before " + n);
          }
    }
}

void
World::do_start (Worker &w, const cell_wcall_t &k, bool late,
                 cell_wstatus_t &code)
{
  std::string task = k.task;
  std::string id = task.substr (0, task.find ('.'));
  Run r;

  if (k.fencing_token < w.token)
    code = CELL_W_FENCED;
  else if (k.lease_until <= now)
    code = CELL_W_EXPIRED;
  else if (w.running.count (task) && w.running[task].run == k.run)
    code = CELL_W_OK;
  else if (w.running.count (task) || k.run <= w.fenced[task])
    code = CELL_W_STALE_RUN;
  else if (advised_
           && !approves (task.substr (0, task.rfind ('.')), w.info.id))
    code = CELL_W_BAD_TICKET;
  else
    code = CELL_W_OK;
  w.token = std::max (w.token, k.fencing_token);
  if (code == CELL_W_STALE_RUN || code == CELL_W_OK)
    w.lease = std::max (w.lease, (gl_ms_t)k.lease_until);
  if (code != CELL_W_OK || w.running.count (task))
    return;
  int step
      = atoi (task.substr (task.find ('.', task.find ('.') + 1) + 1).c_str ());
  r.run = k.run;
  r.began = now;
  r.ends = now + (work_ms / 2 + random () % work_ms) * (gl_ms_t)w.slow
           + (w.hangs ? 1000000 : 0);
  r.fails = (luck && random () % (uint64_t)luck == 0) || w.fails_all;
  if (jobs.count (id))
    {
      r.need = jobs[id].needs[(size_t)step];
      r.gang
          = jobs[id].gangs[(size_t)step] ? jobs[id].widths[(size_t)step] : 0;
    }
  check_start (w, task, r, late);
  w.running[task] = r;
}

void
World::do_stop (Worker &w, const cell_wcall_t &k)
{
  std::string task = k.task;
  uint32_t run = k.run;
  std::string wid = w.info.id;

  if (k.fencing_token < w.token)
    return;
  w.token = k.fencing_token;
  w.fenced[task] = std::max (w.fenced[task], run);
  if (w.running.count (task) && w.running[task].run <= run)
    later (w.stop_ms, [=, this] {
      for (Worker &x : workers)
        if (x.alive && wid == x.info.id && x.running.count (task)
            && x.running[task].run <= run)
          end_run (x, task, CELL_RUN_STOPPED);
    });
}

void
World::order (int i, const cell_wcall_t &call)
{
  struct Copy
  {
    cell_wcall_t k;
    std::vector<cell_run_t> rows;
    std::vector<cell_end_t> ends;
    bool done = false;
  };
  auto c = std::make_shared<Copy> ();
  uint64_t life = vms[(size_t)i].life;
  auto answer = [=, this] {
    cell_event_t ev{};

    if (c->done || !vms[(size_t)i].alive || vms[(size_t)i].life != life)
      return;
    if (vms[(size_t)i].frozen)
      c->k.status = CELL_W_UNKNOWN;
    c->done = true;
    c->k.runs = c->rows.data ();
    c->k.nruns = (int)c->rows.size ();
    c->k.ends = c->ends.data ();
    c->k.nends = (int)c->ends.size ();
    ev.kind = CELL_EV_WCALL;
    ev.tag = c->k.tag;
    ev.wcall = &c->k;
    step (i, ev);
  };

  c->k = call;
  c->k.payload = nullptr;
  c->k.status = CELL_W_UNKNOWN;
  later (call.timeout, answer);
  auto find = [=, this] () -> Worker * {
    for (Worker &w : workers)
      if (w.alive && !strcmp (w.info.addr, c->k.addr)
          && !vms[(size_t)i].cut_from.count (w.info.addr))
        return &w;
    return nullptr;
  };
  auto look = [=, this] {
    Worker *w = find ();

    if (!w || !w->reachable || c->done || strcmp (w->info.id, c->k.worker_id))
      return;
    end_runs (*w);
    c->k.status = CELL_W_OK;
    c->k.worker_clock = now;
    for (auto &r : w->running)
      {
        cell_run_t row{};
        snprintf (row.task, sizeof row.task, "%s", r.first.c_str ());
        row.run = r.second.run;
        if (r.second.ends > r.second.began && !w->hangs)
          row.percent = (int)std::min<gl_ms_t> (
              99,
              (now - r.second.began) * 100 / (r.second.ends - r.second.began));
        c->rows.push_back (row);
      }
    for (auto &e : w->ends)
      {
        cell_end_t row{};
        row.seq = e.number;
        snprintf (row.task, sizeof row.task, "%s", e.task.c_str ());
        row.run = e.run;
        row.outcome = e.how;
        c->ends.push_back (row);
      }
    later (NET_MS, answer);
  };
  auto arrive = [=, this] (bool answered) {
    Worker *w = find ();

    if (!w || !w->reachable)
      return;
    if (strcmp (w->info.id, c->k.worker_id))
      {
        c->k.status = CELL_W_RESTARTED;
        later (NET_MS, answer);
        return;
      }
    end_runs (*w);
    if (c->k.op == CELL_OP_POLL)
      {
        if (c->k.fencing_token < w->token)
          {
            c->k.status = CELL_W_FENCED;
            later (NET_MS, answer);
            return;
          }
        w->token = c->k.fencing_token;
        w->lease = std::max (w->lease, (gl_ms_t)c->k.lease_until);
        for (auto &e : w->ends)
          if (e.number <= c->k.ack_cursor)
            {
              /* A lease that ended in between voids what was listed. */
              if (e.lapsed)
                continue;
              if (e.how == CELL_RUN_DONE)
                done_acked_.insert (e.task);
              if (e.how == CELL_RUN_FAILED)
                failed_acked_[e.task].insert (e.run);
            }
        w->ends.erase (std::remove_if (w->ends.begin (), w->ends.end (),
                                       [=] (const End &e) {
                                         return e.number <= c->k.ack_cursor;
                                       }),
                       w->ends.end ());
        if (c->k.wait_ms && w->ends.empty ())
          {
            w->waiting.push_back (look);
            later (c->k.wait_ms, look);
          }
        else
          look ();
        return;
      }
    cell_wstatus_t code = CELL_W_OK;
    if (c->k.op == CELL_OP_START)
      do_start (*w, c->k, !answered, code);
    else
      do_stop (*w, c->k);
    if (!answered || w->loses_answers)
      return;
    c->k.status = code;
    c->k.worker_clock = now;
    later (NET_MS, answer);
  };
  Worker *w = find ();
  int late = w && c->k.op != CELL_OP_POLL && w->late_ms && random () % 2
                 ? w->late_ms
                 : 0;
  later (NET_MS + (gl_ms_t)late, [=] { arrive (!late); });
}

/* ---- advisor ---- */

bool
World::approves (const std::string &step, const std::string &worker) const
{
  /* One life in four is refused, so that gangs always find room. */
  size_t h = std::hash<std::string> () (step);

  if (approves_in)
    return std::hash<std::string> () (step + worker) % (size_t)approves_in
           == 0;
  return (size_t)atoi (worker.c_str () + 1) % 4 != h % 4;
}

void
World::consult (int i, uint64_t tag, const gl_consult_t &q)
{
  uint64_t life = vms[(size_t)i].life;
  std::string step_name = q.step;
  std::vector<std::string> names;

  for (u_int k = 0; k < q.workers.workers_len; k++)
    names.push_back (q.workers.workers_val[k]);
  bool fails = advisor_fails > 0;
  advisor_fails -= fails;
  later ((gl_ms_t)decide_ms + names.size () / 2, [=, this] {
    cell_event_t ev{};
    gl_consult_reply_t c{};
    std::vector<gl_ticket_t> rows;

    if (!vms[(size_t)i].alive || vms[(size_t)i].life != life)
      return;
    for (auto &n : names)
      if (approves (step_name, n))
        rows.push_back ({ (char *)n.c_str (), (char *)"t" });
    c.valid_ms = (u_int)TICKET_MS;
    c.tickets.tickets_len = (u_int)rows.size ();
    c.tickets.tickets_val = rows.data ();
    ev.kind = CELL_EV_CONSULT_REPLY;
    ev.tag = tag;
    ev.consult_reply = fails ? nullptr : &c;
    step (i, ev);
  });
}

/* ---- callers ---- */

void
World::forward (int i, cell_effect_t &e)
{
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_request_t, e.request, &len);
  std::string copy (data, len);
  uint64_t tag = e.tag;
  uint64_t life = vms[(size_t)i].life;
  int to = vm_at (e.key);
  auto back = std::make_shared<bool> (false);
  auto told = [=, this] (gl_code_t sent, const gl_reply_t *t) {
    cell_event_t ev{};

    if (*back || !vms[(size_t)i].alive || vms[(size_t)i].life != life)
      return;
    *back = true;
    ev.kind = CELL_EV_FORWARD_REPLY;
    ev.tag = tag;
    ev.call_code = sent;
    ev.reply = t;
    step (i, ev);
  };

  free (data);
  later (e.timeout, [=] { told (GL_UNKNOWN, nullptr); });
  later (NET_MS, [=, this] {
    gl_request_t ask{};
    cell_event_t ev{};

    if (to < 0 || !vms[(size_t)to].alive)
      {
        told (GL_RETRY, nullptr);
        return;
      }
    if (vms[(size_t)to].frozen
        || codec_decode ((xdrproc_t)xdr_gl_request_t, &ask, copy.data (),
                         copy.size ()))
      return;
    ev.kind = CELL_EV_REQUEST;
    ev.request = &ask;
    ev.from_peer = 1;
    ev.tag = ++next_ask_;
    ev.deadline = now + 2500;
    asks_[ev.tag] = [=, this] (const gl_reply_t &t) {
      gl_reply_t copy_of = t;
      std::string why = t.reason ? t.reason : "";
      later (NET_MS, [=] {
        gl_reply_t u = copy_of;
        u.reason = (char *)why.c_str ();
        told (GL_OK, &u);
      });
    };
    step (to, ev);
    codec_free ((xdrproc_t)xdr_gl_request_t, &ask);
  });
}

void
World::tell (int i, const cell_effect_t &e)
{
  auto it = asks_.find (e.tag);

  (void)i;
  if (it == asks_.end ())
    return;
  auto fn = it->second;
  asks_.erase (it);
  fn (e.reply);
}

void
World::submit (const std::string &id, const std::string &queue,
               const std::vector<gl_step_t> &steps, int vm)
{
  gl_cell_job_t work{};
  gl_request_t ask{};
  cell_event_t ev{};
  JobSeen &j = jobs[id];
  std::vector<gl_step_t> copy = steps;

  for (size_t k = 0; vm < 0 && k < vms.size (); k++)
    {
      size_t at = (random () + k) % vms.size ();
      if (vms[at].alive && !vms[at].frozen)
        vm = (int)at;
    }
  if (vm < 0 || !vms[(size_t)vm].alive || vms[(size_t)vm].frozen)
    return;
  if (j.widths.empty ())
    for (auto &s : steps)
      {
        j.widths.push_back ((int)s.count);
        j.needs.push_back (s.need);
        j.gangs.push_back (s.gang);
        j.after.push_back ({ s.predecessors.predecessors_val,
                             s.predecessors.predecessors_val
                                 + s.predecessors.predecessors_len });
      }
  j.attempts_made++;
  work.id = (char *)id.c_str ();
  work.queue = (char *)queue.c_str ();
  work.payload = (char *)"x";
  work.steps.steps_len = (u_int)copy.size ();
  work.steps.steps_val = copy.data ();
  ask.verb = GL_VERB_SUBMIT;
  ask.id = (char *)id.c_str ();
  ask.job = &work;
  ev.kind = CELL_EV_REQUEST;
  ev.request = &ask;
  ev.tag = ++next_ask_;
  ev.deadline = now + 3000;
  asks_[ev.tag] = [=, this] (const gl_reply_t &t) {
    JobSeen &k = jobs[id];
    if (t.code == GL_OK)
      k.accepted = true;
    else if (t.code == GL_RETRY)
      k.refusals++;
    else
      k.maybe = true;
  };
  step (vm, ev);
}

void
World::cancel (const std::string &id)
{
  gl_request_t ask{};
  cell_event_t ev{};

  for (size_t k = 0; k < vms.size (); k++)
    {
      if (!vms[k].alive || vms[k].frozen)
        continue;
      ask.verb = GL_VERB_CANCEL;
      ask.id = (char *)id.c_str ();
      ev.kind = CELL_EV_REQUEST;
      ev.request = &ask;
      ev.tag = ++next_ask_;
      ev.deadline = now + 3000;
      asks_[ev.tag] = [=, this] (const gl_reply_t &t) {
        if (t.code == GL_OK && !jobs[id].cancelled)
          {
            jobs[id].cancelled = true;
            jobs[id].cancelled_at = now;
          }
      };
      jobs[id].cancel_sent = true;
      step ((int)k, ev);
      return;
    }
}

bool
World::failed_enough (const std::string &id) const
{
  for (auto &f : failed_)
    if (f.first.rfind (id, 0) == 0 && (int)f.second.size () >= attempts)
      return true;
  return false;
}

void
World::ask (const std::string &id)
{
  static const char *const names[]
      = { "pending", "running", "completed", "failed", "cancelled" };
  gl_request_t ask{};
  cell_event_t ev{};

  for (size_t k = 0; k < vms.size (); k++)
    {
      if (!vms[k].alive || vms[k].frozen)
        continue;
      ask.verb = GL_VERB_STATE;
      ask.id = (char *)id.c_str ();
      ev.kind = CELL_EV_REQUEST;
      ev.request = &ask;
      ev.tag = ++next_ask_;
      ev.deadline = now + 3000;
      asks_[ev.tag] = [=, this] (const gl_reply_t &t) {
        JobSeen &j = jobs[id];
        j.shown = t.code == GL_OK          ? names[t.phase]
                  : t.code == GL_NOT_FOUND ? "none"
                                           : "unknown";
        if (j.shown == "none" && j.accepted && !j.cancel_sent)
          break_promise ("lost " + id);
        if (j.shown == "failed" && !failed_enough (id))
          break_promise ("failed without cause: " + id);
        if (j.shown != "completed")
          return;
        for (size_t s = 0; s < j.widths.size (); s++)
          for (int n = 0; n < j.widths[s] && !j.gangs[s]; n++)
            if (done_[id + ".0." + std::to_string (s) + "."
                      + std::to_string (n)]
                    .empty ())
              break_promise ("completed without its tasks: " + id);
      };
      step ((int)k, ev);
      return;
    }
}

/* ---- time ---- */

void
World::run (gl_ms_t ms)
{
  gl_ms_t end = now + ms;

  while (now < end)
    {
      now++;
      end_leases ();
      for (Worker &w : workers)
        end_runs (w);
      while (!due_.empty () && due_.top ().at <= now)
        {
          Fn fn = due_.top ().fn;
          due_.pop ();
          fn ();
        }
      for (size_t i = 0; i < vms.size (); i++)
        if (vms[i].alive && !vms[i].frozen
            && cell_next_tick (vms[i].cell) <= now && now % TICK_MS == 0)
          {
            cell_event_t ev{};
            ev.kind = CELL_EV_TICK;
            step ((int)i, ev);
          }
    }
}

void
World::settle (gl_ms_t ms)
{
  store_mode = StoreMode::fine;
  for (Worker &w : workers)
    {
      w.reachable = true;
      w.loses_answers = false;
      w.late_ms = 0;
    }
  for (size_t i = 0; i < vms.size (); i++)
    {
      vms[i].frozen = false;
      vms[i].store_cut = false;
      start_vm ((int)i);
    }
  for (size_t w = 0; w < workers.size (); w++)
    set_listed ((int)w, true);
  run (ms);
  for (auto &j : jobs)
    if (j.second.accepted)
      ask (j.first);
  run (500);
  for (auto &j : jobs)
    if (j.second.accepted && !j.second.cancelled
        && !(j.second.cancel_sent && j.second.shown == "cancelled")
        && j.second.shown != "completed" && j.second.shown != "failed")
      break_promise ("not ended: " + j.first + " is " + j.second.shown);
  for (auto &j : jobs)
    if (j.second.attempts_made && j.second.refusals == j.second.attempts_made
        && !j.second.accepted && !j.second.maybe)
      for (auto &d : done_)
        if (d.first.rfind (j.first, 0) == 0)
          break_promise ("refused and run: " + j.first);
}
