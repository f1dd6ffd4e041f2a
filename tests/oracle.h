/* oracle.h -- the oracle of the scheduler's fuzzer */
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

/* The oracle: knows only what was written, granted, started and answered. */
class Oracle
{
public:
  void violate (const std::string &what);
  void written (const gl_commit_t &b);
  void answered (uint64_t token, gl_code_t code, uint64_t job);
  void started (const std::vector<wcore_t> &workers,
                const std::vector<bool> &paused,
                const std::vector<uint64_t> &clocks);

  struct Job
  {
    gl_jobspec_t spec{};
    std::string team;
    std::map<uint32_t, std::string> live;
    std::set<uint32_t> ended;
    std::map<uint32_t, uint32_t> attempt;
    bool canceled = false;
  };
  bool feasible (const Job &j) const;
  std::map<uint64_t, Job> jobs;
  std::map<std::string, gl_res_t> total;
  std::map<std::string, gl_res_t> granted;
  std::map<std::string, gl_res_t> team_used;
  std::map<std::string, gl_res_t> team_quota;
  std::map<uint64_t, int> answers;
  std::map<uint64_t, uint64_t> accepted;
  uint64_t seq = 0;
  std::string violation;

private:
  void assign (const gl_rec_assign_t &a, std::map<uint64_t, int> &gangs);
  void end (const gl_rec_end_t &e);
};

#endif
