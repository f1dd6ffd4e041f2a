/* sim.h -- simulation of one domain in virtual time: two schedulers, a store,
   workers and the network between them, with injected faults; an oracle
   checks what happens */
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

/* Faults to inject; their numbers are used in scripts.  KillSched restarts a
   scheduler, StopSched makes it stop as planned.  LoseAnswers loses half of
   the store's answers, CutStore all calls of one scheduler to the store.
   CutWorker loses calls to a worker, CutWorkerBack its answers.  ListLag
   leaves a worker out of the platform's list. */
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
  explicit Sim (uint64_t seed, int nworkers = 5);
  ~Sim ();
  Sim (const Sim &) = delete;
  Sim &operator= (const Sim &) = delete;

  /* Let @ms of virtual time pass. */
  void run (uint64_t ms);
  /* Submit a job; its class, size and run time come from @arg. */
  void submit (uint64_t arg);
  void submit_spec (uint64_t id, gl_class_t cls, uint32_t tasks, gl_res_t need,
                    uint32_t runtime_s, uint32_t max_attempts,
                    const char *team);
  void cancel (uint64_t arg);
  void cordon (uint64_t arg);
  /* Inject a fault for @ms; @arg chooses the scheduler and the worker. */
  void inject (Fault f, uint64_t arg, uint64_t ms);
  /* Send all schedulers a configuration with this revision. */
  void reconfigure (uint64_t new_revision);
  /* End every fault, cancel services and run until all jobs have ended;
     false, with a violation, if they do not within 20 minutes. */
  bool run_to_completion ();
  void end_faults ();
  /* The active scheduler's view of a job, "" if there is none. */
  std::string job_json (uint64_t id);
  /* Id of the first job that has not ended, 0 if all have. */
  uint64_t first_unfinished ();
  const std::string &
  violation () const
  {
    return oracle.violation;
  }
  /* Index of the active scheduler with the latest epoch, -1 for none. */
  int active () const;

  Oracle oracle;
  /* Steps of the schedulers. */
  uint64_t steps = 0;
  /* Virtual time, ms. */
  uint64_t now = 1000;
  uint64_t store_calls = 0;
  /* Time from the planned end of a scheduler to its next start, ms. */
  uint64_t restart_ms = 200;
  /* Called with each line of the trace, if set. */
  std::function<void (const std::string &)> trace;

  /* One scheduler; its clock reads offset + now * rate.  Events for an
     earlier incarnation are dropped. */
  struct Sched
  {
    gl_sched_t *s = nullptr;
    uint64_t incarnation = 0;
    uint64_t paused_until = 0;
    double rate = 1;
    uint64_t offset = 0;
  };
  std::vector<Sched> scheds;
  std::vector<wcore_t> workers;

private:
  /* Something to run at a time; @sequence orders events of the same time. */
  struct Event
  {
    uint64_t at;
    uint64_t sequence;
    std::function<void ()> fn;
    bool
    operator<(const Event &o) const
    {
      return at != o.at ? at > o.at : sequence > o.sequence;
    }
  };
  /* A long poll that a worker has not yet answered; @until: when it is
     answered at the latest. */
  struct LongPoll
  {
    bool open = false;
    gl_wcall_t call{};
    uint64_t until = 0;
    std::function<void (gl_wreply_t *)> answer;
  };
  /* Run @fn at time @when. */
  void at (uint64_t when, std::function<void ()> fn);
  uint64_t sched_clock (int i) const;
  uint64_t worker_clock (int w) const;
  uint64_t delay ();
  /* A random number from 0 to n - 1; 0 if n is 0. */
  uint64_t random_below (uint64_t n);
  void restart_sched (int i);
  void step_sched (int i, const gl_event_t &ev);
  void run_effects (int i, gl_effects_t &fx);
  void send_store (int i, gl_effect_t &e);
  using StoreAnswer
      = std::function<void (gl_store_status_t, uint64_t, const std::string &)>;
  void run_store (int i, gl_fx_kind_t kind, std::string key, uint64_t index,
                  std::string data, StoreAnswer answer);
  void answer_store (int i, uint64_t incarnation, uint32_t tag,
                     gl_store_status_t status, uint64_t index,
                     std::string data);
  void send_worker (int i, gl_effect_t &e);
  /* Deliver a call to a worker; a duplicate gets no answer.
     @target_and_worker: index of the worker, plus its number in the scheduler
     << 16. */
  void deliver_to_worker (int i, uint64_t incarnation,
                          uint32_t target_and_worker, uint32_t call,
                          std::string data, bool duplicate);
  void answer_worker (int i, uint64_t incarnation, uint32_t w, uint32_t call,
                      gl_call_status_t st, std::string data);
  /* Answer the long polls of a worker that are due or have something to
     report. */
  void answer_long_polls (int w);
  void send_vm_list (int i);
  void tick_workers ();
  /* Have the oracle check what runs on the workers. */
  void check_running ();
  void choose_outcome (const wcore_t *w, const gl_start_t *s, uint64_t *run_ms,
                       gl_outcome_t *planned_outcome);
  static void choose_outcome_cb (void *ctx, const wcore_t *w,
                                 const gl_start_t *s, uint64_t *run_ms,
                                 gl_outcome_t *planned_outcome);

  std::mt19937_64 rng;
  kv_t kv{};
  std::priority_queue<Event> events;
  uint64_t next_sequence = 0;
  uint64_t next_token = 1;
  uint64_t next_boot = 1;
  uint64_t revision = 1;
  /* Times at which injected faults end; the vectors are by scheduler, worker,
     or both. */
  uint64_t store_down_until = 0;
  uint64_t store_slow_until = 0;
  uint64_t lose_answers_until = 0;
  uint64_t slow_net_until = 0;
  uint64_t list_lag_until = 0;
  std::vector<uint64_t> cut_store;
  std::vector<std::vector<uint64_t> > cut_to_worker;
  std::vector<std::vector<uint64_t> > cut_from_worker;
  std::vector<uint64_t> worker_paused_until;
  std::vector<uint64_t> worker_down_until;
  std::vector<double> worker_rate;
  /* By worker and scheduler. */
  std::vector<std::vector<LongPoll> > long_polls;
  std::vector<gl_vm_t> vms;
  uint64_t next_job = 1;
  bool faults_ended = false;
};

#endif
