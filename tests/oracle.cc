/* oracle.cc -- checks what the scheduler does; see oracle.h */
#include "oracle.h"

#include <algorithm>

void
Oracle::violate (const std::string &what)
{
  if (violation.empty ())
    violation = what;
}

static void
add_res (gl_res_t &a, const gl_res_t &b, int sign)
{
  a.cpus_m += sign * b.cpus_m;
  a.memory_mb += sign * b.memory_mb;
  a.accels += sign * b.accels;
}

static bool
fits (const gl_res_t &a, const gl_res_t &b)
{
  return a.cpus_m <= b.cpus_m && a.memory_mb <= b.memory_mb
         && a.accels <= b.accels;
}

void
Oracle::assign (const gl_rec_assign_t &a, std::map<uint64_t, int> &gangs)
{
  auto it = jobs.find (a.task.job);
  if (it == jobs.end ())
    return violate ("assignment of a job that was never accepted");
  Job &j = it->second;
  if (j.assigned.count (a.task.index))
    return violate ("task assigned while an earlier attempt may run");
  if (j.ended.count (a.task.index))
    return violate ("ended task assigned");
  if (j.attempt[a.task.index] >= a.task.attempt)
    return violate ("attempt number used twice");
  j.attempt[a.task.index] = a.task.attempt;
  j.assigned[a.task.index] = a.worker;
  add_res (granted[a.worker], j.spec.need, 1);
  add_res (team_used[j.team], j.spec.need, 1);
  if (total.count (a.worker) && !fits (granted[a.worker], total[a.worker]))
    violate (std::string ("tasks assigned beyond a worker's capacity: ")
             + a.worker);
  if (!fits (team_used[j.team], team_quota[j.team]))
    violate ("tasks assigned beyond a team's quota share: " + j.team);
  if (j.spec.cls == GL_CLASS_GANG)
    gangs[a.task.job]++;
}

void
Oracle::end (const gl_rec_end_t &e)
{
  auto it = jobs.find (e.task.job);
  if (it == jobs.end () || !it->second.assigned.count (e.task.index))
    return violate ("end of a task that was not assigned");
  Job &j = it->second;
  add_res (granted[j.assigned[e.task.index]], j.spec.need, -1);
  add_res (team_used[j.team], j.spec.need, -1);
  j.assigned.erase (e.task.index);
  if ((e.outcome == GL_OUT_OK
       || (e.outcome != GL_OUT_NOT_RUN
           && e.task.attempt >= j.spec.max_attempts))
      && j.spec.cls != GL_CLASS_SERVICE)
    j.ended.insert (e.task.index);
}

void
Oracle::on_commit (const gl_commit_t &commit)
{
  std::map<uint64_t, int> gangs;

  if (commit.seq != seq + 1)
    violate ("commit out of order");
  seq = commit.seq;
  for (u_int i = 0; i < commit.recs.recs_len; i++)
    {
      const gl_rec_t &r = commit.recs.recs_val[i];
      switch (r.kind)
        {
        case GL_REC_ACCEPT:
          {
            Job &j = jobs[r.gl_rec_t_u.accept.job];
            j.spec = r.gl_rec_t_u.accept.spec;
            j.team = r.gl_rec_t_u.accept.spec.team;
            j.spec.name = j.spec.team = nullptr;
            break;
          }
        case GL_REC_ASSIGN:
          assign (r.gl_rec_t_u.assign, gangs);
          break;
        case GL_REC_END:
          end (r.gl_rec_t_u.end);
          break;
        case GL_REC_CANCEL:
          jobs[r.gl_rec_t_u.cancel.job].canceled = true;
          break;
        default:
          break;
        }
    }
  for (auto &g : gangs)
    {
      Job &j = jobs[g.first];
      if ((size_t)g.second + j.ended.size () < j.spec.tasks)
        violate ("gang assigned only in part: " + std::to_string (g.second)
                 + " of " + std::to_string (j.spec.tasks) + ", "
                 + std::to_string (j.assigned.size ())
                 + " assigned after the commit");
    }
}

void
Oracle::on_answer (uint64_t token, gl_code_t code, uint64_t job)
{
  if (++answers[token] > 1)
    violate ("a request was answered twice");
  if (code == GL_OK && job && !jobs.count (job))
    violate ("job confirmed as accepted before its commit was written");
  if (code == GL_OK && job)
    accepted[job] = token;
}

void
Oracle::check_workers (const std::vector<wcore_t> &workers,
                       const std::vector<bool> &paused,
                       const std::vector<uint64_t> &clocks)
{
  std::map<std::pair<uint64_t, uint32_t>, size_t> running;

  for (size_t w = 0; w < workers.size (); w++)
    {
      if (workers[w].overfilled)
        violate (std::string ("worker overfilled: ") + workers[w].name);
      for (int i = 0; i < workers[w].ntasks; i++)
        {
          const wtask_t &t = workers[w].tasks[i];
          if (t.state != GL_WT_RUNNING || paused[w]
              || clocks[w] >= workers[w].not_after
              || (t.end_at && clocks[w] >= t.end_at))
            continue;
          auto key = std::make_pair (t.ref.job, t.ref.index);
          auto ins = running.emplace (key, w);
          if (!ins.second)
            violate ("task runs on two workers: job "
                     + std::to_string (t.ref.job) + " index "
                     + std::to_string (t.ref.index));
        }
    }
}

bool
Oracle::feasible (const Job &j) const
{
  uint32_t fit = 0;

  for (auto &t : total)
    {
      const gl_res_t &n = j.spec.need;
      int k = t.second.cpus_m / n.cpus_m;
      if (n.memory_mb)
        k = std::min (k, t.second.memory_mb / n.memory_mb);
      if (n.accels)
        k = std::min (k, t.second.accels / n.accels);
      fit += (uint32_t)k;
    }
  return fit >= (j.spec.cls == GL_CLASS_GANG ? j.spec.tasks : 1);
}
