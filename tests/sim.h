/* sim.h -- one domain in virtual time: two schedulers, a store, workers and
   the network between them, all faulty on demand, watched by an oracle */
#ifndef SIM_H
#define SIM_H

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "oracle.h"

extern "C"
{
#include "codec.h"
#include "conf.h"
#include "fault.h"
#include "gentianlatch.h"
#include "kvcore.h"
#include "wcore.h"
}

enum class Fault
{
  KillSched,
  PauseSched,
  StoreDown,
  StoreSlow,
  LoseAnswers,
  CutStore,
  CutWorker,
  CutWorkerBack,
  KillWorker,
  PauseWorker,
  ListLag,
  SlowNet,
  StopSched,
  Count
};

class Sim
{
public:
  explicit Sim (uint64_t seed, int workers = 5);
  ~Sim ();
  Sim (const Sim &) = delete;
  Sim &operator= (const Sim &) = delete;

  void run (uint64_t ms);
  /* Submit a job; the shape and class come from @arg. */
  void submit (uint64_t arg);
  void submit_spec (uint64_t id, gl_class_t cls, uint32_t tasks, gl_res_t need,
                    uint32_t runtime_s, uint32_t max_attempts,
                    const char *team);
  void cancel (uint64_t arg);
  void cordon (uint64_t arg);
  void fault (Fault f, uint64_t arg, uint64_t ms);
  void reconfigure (uint64_t revision);
  /* End every fault and wait until all finite work is done. */
  bool settle ();
  void heal ();
  std::string job_text (uint64_t id);
  uint64_t unsettled ();
  const std::string &
  violation () const
  {
    return oracle.violation;
  }
  int active () const;

  Oracle oracle;
  uint64_t steps = 0;
  uint64_t now = 1000;
  uint64_t store_calls = 0;
  std::function<void (const std::string &)> trace;

  struct Sched
  {
    gl_sched_t *s = nullptr;
    uint64_t life = 0;
    uint64_t paused_until = 0;
    double rate = 1;
    uint64_t offset = 0;
  };
  std::vector<Sched> scheds;
  std::vector<wcore_t> workers;

private:
  struct Event
  {
    uint64_t at;
    uint64_t order;
    std::function<void ()> fn;
    bool
    operator<(const Event &o) const
    {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  struct Held
  {
    bool on = false;
    gl_wcall_t call{};
    uint64_t until = 0;
    std::function<void (gl_wreply_t *)> answer;
  };
  void at (uint64_t when, std::function<void ()> fn);
  uint64_t sched_clock (int i) const;
  uint64_t worker_clock (int w) const;
  uint64_t delay ();
  uint64_t draw (uint64_t n);
  void boot_sched (int i);
  void feed (int i, const gl_event_t &ev);
  void carry_out (int i, gl_effects_t &fx);
  void send_store (int i, gl_effect_t &e);
  using StoreAnswer
      = std::function<void (gl_store_status_t, uint64_t, const std::string &)>;
  void run_store (int i, gl_fx_kind_t kind, std::string key, uint64_t index,
                  std::string data, StoreAnswer answer);
  void answer_store (int i, uint64_t life, uint32_t tag,
                     gl_store_status_t status, uint64_t index,
                     std::string data);
  void send_worker (int i, gl_effect_t &e);
  void at_worker (int i, uint64_t life, uint32_t w, uint32_t call,
                  std::string data, bool twin);
  void answer_worker (int i, uint64_t life, uint32_t w, uint32_t call,
                      gl_call_status_t st, std::string data);
  void release_held (int w);
  void list_vms (int i);
  void tick_workers ();
  void check ();
  void plan (const wcore_t *w, const gl_start_t *s, uint64_t *run_ms,
             gl_outcome_t *will);
  static void plan_cb (void *ctx, const wcore_t *w, const gl_start_t *s,
                       uint64_t *run_ms, gl_outcome_t *will);

  std::mt19937_64 rng;
  kv_t kv{};
  std::priority_queue<Event> events;
  uint64_t next_order = 0;
  uint64_t next_token = 1;
  uint64_t next_boot = 1;
  uint64_t revision = 1;
  uint64_t store_down_until = 0;
  uint64_t store_slow_until = 0;
  uint64_t lose_until = 0;
  uint64_t slow_net_until = 0;
  uint64_t list_lag_until = 0;
  std::vector<uint64_t> cut_store;
  std::vector<std::vector<uint64_t> > cut_to;
  std::vector<std::vector<uint64_t> > cut_back;
  std::vector<uint64_t> wpaused_until;
  std::vector<uint64_t> wdown_until;
  std::vector<double> wrate;
  std::vector<std::vector<Held> > held;
  std::vector<gl_vm_t> vms;
  uint64_t next_job = 1;
  bool healing = false;
};

#endif
