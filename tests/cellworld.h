/* cellworld.h -- VMs, store, workers and advisor around the cell, in virtual
   time, with faults on command and an oracle that sees only what the workers
   and the callers see */
#ifndef CELLWORLD_H
#define CELLWORLD_H

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "cell.h"
}

enum class StoreMode
{
  fine,
  down,   /* refuses everything */
  silent, /* takes nothing, answers nothing */
  loses   /* does it and does not answer */
};

struct Run
{
  uint32_t run = 0;
  gl_ms_t began = 0;
  gl_ms_t ends = 0;
  bool fails = false;
  int gang = 0;          /* members, 0 for a task of its own */
  bool together = false; /* all members have been there */
  gl_ms_t lingers = 0;   /* its gang is done; it goes at this moment */
  gl_res_t need{};
};

struct End
{
  uint64_t number;
  std::string task;
  uint32_t run;
  cell_outcome_t how;
  bool lapsed = false; /* the lease has ended since */
};

struct Worker
{
  cell_worker_t info{};
  bool alive = true;
  bool reachable = true;
  bool listed = true;
  bool loses_answers = false; /* orders are carried out, not answered */
  int late_ms = 0;            /* orders are carried out so late, unanswered */
  bool fails_all = false;
  bool hangs = false;
  int slow = 1; /* runs take so many times as long */
  gl_ms_t stop_ms = 100;
  uint64_t token = 0;
  gl_ms_t lease = 0;
  uint64_t ends_made = 0;
  std::map<std::string, Run> running;
  std::map<std::string, uint32_t> fenced;
  std::vector<End> ends;
  std::vector<std::function<void ()> > waiting;
};

struct Vm
{
  std::string name;
  cell_t *cell = nullptr;
  bool alive = true;
  bool frozen = false;
  bool store_cut = false;
  std::set<std::string> cut_from; /* workers that it does not reach */
  uint64_t lease = 0;
  uint64_t life = 0;
};

/* What the callers know of a job. */
struct JobSeen
{
  std::vector<int> widths;
  std::vector<std::vector<int> > after;
  std::vector<gl_res_t> needs;
  std::vector<int> gangs;
  bool accepted = false;
  bool maybe = false;
  int refusals = 0;
  int attempts_made = 0;
  bool cancel_sent = false;
  bool cancelled = false;
  gl_ms_t cancelled_at = 0;
  std::string shown;
};

class World
{
public:
  World (int vms, int workers, uint64_t seed, bool advised = false);
  ~World ();

  /* Go on for so many milliseconds. */
  void run (gl_ms_t ms);
  void submit (const std::string &id, const std::string &queue,
               const std::vector<gl_step_t> &steps, int vm = -1);
  void cancel (const std::string &id);
  /* Asks a live VM; the answer is in jobs[id].shown. */
  void ask (const std::string &id);
  void kill_vm (int vm);
  void start_vm (int vm);
  void freeze_vm (int vm, bool frozen);
  void stop_vm (int vm);
  void crash_worker (int w);
  void add_worker (int like);
  void set_listed (int w, bool listed);
  /* The worker says that it will be gone after so long. */
  void leave (int w, uint32_t left_ms);
  /* The configuration with these queues, as far as it is a newer one. */
  void configure (uint64_t version, const std::set<std::string> &names);
  int owner () const;
  /* Heal everything and wait; every accepted job must come to its end. */
  void settle (gl_ms_t ms);

  StoreMode store_mode = StoreMode::fine;
  std::vector<Vm> vms;
  std::vector<Worker> workers;
  std::map<std::string, JobSeen> jobs;
  std::vector<std::string> broken; /* promises that were broken */
  std::set<std::string> poison;    /* tasks that always fail */
  int advisor_fails = 0;           /* so many consultations get no answer */
  double decide_ms = 10;
  int approves_in = 0; /* one life in so many is approved; 0: three in four */
  gl_ms_t now = 1000;
  int luck = 12; /* one run in so many fails by itself; 0 for none */
  gl_ms_t work_ms = 500;
  int attempts = 3;
  std::vector<std::string> log;
  uint64_t conf_version = 1;
  std::set<std::string> queues{ "urgent", "batch" };
  uint64_t starts = 0;

private:
  struct Item
  {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Lease
  {
    gl_ms_t ttl;
    gl_ms_t ends;
  };
  typedef std::function<void ()> Fn;
  struct Due
  {
    gl_ms_t at;
    uint64_t order;
    Fn fn;
    bool
    operator<(const Due &o) const
    {
      return at != o.at ? at > o.at : order > o.order;
    }
  };

  void later (gl_ms_t ms, Fn fn);
  void step (int vm, cell_event_t &ev);
  void carry_out (int vm, cell_effect_t &e);
  void txn (int vm, uint64_t tag, const cell_txn_t &x);
  void page (int vm, uint64_t tag, const std::string &prefix,
             const std::string &after);
  void read (int vm, uint64_t tag, const std::string &key);
  void lease (int vm, uint64_t tag, gl_ms_t ttl);
  void order (int vm, const cell_wcall_t &call);
  void consult (int vm, uint64_t tag, const gl_consult_t &c);
  void forward (int vm, cell_effect_t &e);
  void tell (int vm, const cell_effect_t &e);
  void notify (size_t i, const std::string &key, uint64_t life);
  void changed (const std::string &key, bool gone);
  void report (int vm, const std::string &key, bool gone);
  void report_worker (int vm, int w);
  void sync (int vm);
  void give_conf (int vm, uint64_t version);
  void end_leases ();
  void end_runs (Worker &w);
  int members (const std::string &task, uint32_t run, gl_ms_t *last);
  void end_member (Worker &w, const std::string &task);
  void end_gang (const std::string &task, uint32_t run, bool fails);
  void end_run (Worker &w, const std::string &task, cell_outcome_t how);
  void do_start (Worker &w, const cell_wcall_t &k, bool late,
                 cell_wstatus_t &code);
  void do_stop (Worker &w, const cell_wcall_t &k);
  void check_start (Worker &w, const std::string &task, const Run &r,
                    bool late);
  void break_promise (const std::string &what);
  bool approves (const std::string &step, const std::string &worker) const;
  int vm_at (const std::string &addr) const;

  std::priority_queue<Due> due_;
  uint64_t order_ = 0;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 0;
  uint64_t next_ask_ = 0;
  int lives_ = 0;
  bool advised_;
  std::map<std::string, Item> items_;
  std::map<uint64_t, Lease> leases_;
  std::map<uint64_t, std::function<void (const gl_reply_t &)> > asks_;
  std::set<std::string> done_acked_;
  std::map<std::string, std::set<uint32_t> > failed_acked_;
  std::map<std::string, std::set<int> > done_;
  std::map<std::string, std::set<uint32_t> > failed_;
  bool failed_enough (const std::string &id) const;
  uint64_t rng_;
  uint64_t random ();
};

gl_step_t world_step (int count, int cpus_m, bool gang = false,
                      std::vector<int> after = {});

#endif
