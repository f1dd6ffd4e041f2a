/* oracle.h -- checks what the scheduler does against its guarantees */
#ifndef ORACLE_H
#define ORACLE_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "gentianlatch.h"
#include "wcore.h"
}

/*
 * The oracle sees only commits, answers to requests, and the tasks that run
 * on the workers, never the schedulers' own state.  It keeps the first
 * violation.
 */
class Oracle
{
public:
  /* Note a violation, unless there has been one already. */
  void violate (const std::string &what);
  /* A commit has been written to the store. */
  void on_commit (const gl_commit_t &commit);
  /* A request has been answered. */
  void on_answer (uint64_t token, gl_code_t code, uint64_t job);
  /* Check that no worker is overfilled and that no task runs on two workers;
     @clocks are the workers' clocks. */
  void check_workers (const std::vector<wcore_t> &workers,
                      const std::vector<bool> &paused,
                      const std::vector<uint64_t> &clocks);

  /* @assigned: task index to worker; @ended: tasks that must not run again;
     @attempt: last attempt number by task index. */
  struct Job
  {
    gl_jobspec_t spec{};
    std::string team;
    std::map<uint32_t, std::string> assigned;
    std::set<uint32_t> ended;
    std::map<uint32_t, uint32_t> attempt;
    bool canceled = false;
  };
  /* Whether all workers together, if empty, could hold one task of the job, or
     the whole gang. */
  bool feasible (const Job &j) const;
  std::map<uint64_t, Job> jobs;
  /* By worker: capacity, and resources of assigned tasks. */
  std::map<std::string, gl_res_t> total;
  std::map<std::string, gl_res_t> granted;
  /* By team, within this domain. */
  std::map<std::string, gl_res_t> team_used;
  std::map<std::string, gl_res_t> team_quota;
  /* Answers by request token; accepted jobs with their last token. */
  std::map<uint64_t, int> answers;
  std::map<uint64_t, uint64_t> accepted;
  /* Number of the last commit. */
  uint64_t seq = 0;
  std::string violation;

private:
  void assign (const gl_rec_assign_t &a, std::map<uint64_t, int> &gangs);
  void end (const gl_rec_end_t &e);
};

#endif
