/* oracle.cc -- what was written, granted, started and answered; see oracle.h
 */
#include "oracle.h"

#include <algorithm>

void
Oracle::violate (const std::string &what)
{
  if (violation.empty ())
    violation = what;
}

static void
add (gl_res_t &a, const gl_res_t &b, int sign)
{
  a.cpus_m += sign * b.cpus_m;
  a.memory_mb += sign * b.memory_mb;
  a.accels += sign * b.accels;
}

static bool
within (const gl_res_t &a, const gl_res_t &b)
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
  if (j.live.count (a.task.index))
    return violate ("task assigned while an earlier attempt may run");
  if (j.ended.count (a.task.index))
    return violate ("ended task assigned");
  if (j.attempt[a.task.index] >= a.task.attempt)
    return violate ("attempt number used twice");
  j.attempt[a.task.index] = a.task.attempt;
  j.live[a.task.index] = a.worker;
  add (granted[a.worker], j.spec.need, 1);
  add (team_used[j.team], j.spec.need, 1);
  if (total.count (a.worker) && !within (granted[a.worker], total[a.worker]))
    violate (std::string ("worker granted past its capacity: ") + a.worker);
  if (!within (team_used[j.team], team_quota[j.team]))
    violate ("team granted past its quota share: " + j.team);
  if (j.spec.cls == GL_CLASS_GANG)
    gangs[a.task.job]++;
}

void
Oracle::end (const gl_rec_end_t &e)
{
  auto it = jobs.find (e.task.job);
  if (it == jobs.end () || !it->second.live.count (e.task.index))
    return violate ("end of a task that was not assigned");
  Job &j = it->second;
  add (granted[j.live[e.task.index]], j.spec.need, -1);
  add (team_used[j.team], j.spec.need, -1);
  j.live.erase (e.task.index);
  if ((e.outcome == GL_OUT_OK
       || (e.outcome != GL_OUT_NOT_RUN
           && e.task.attempt >= j.spec.max_attempts))
      && j.spec.cls != GL_CLASS_SERVICE)
    j.ended.insert (e.task.index);
}

void
Oracle::written (const gl_commit_t &b)
{
  std::map<uint64_t, int> gangs;

  if (b.seq != seq + 1)
    violate ("commit out of order");
  seq = b.seq;
  for (u_int i = 0; i < b.recs.recs_len; i++)
    {
      const gl_rec_t &r = b.recs.recs_val[i];
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
        violate ("gang assigned in part: " + std::to_string (g.second) + " of "
                 + std::to_string (j.spec.tasks) + ", "
                 + std::to_string (j.live.size ()) + " live after the commit");
    }
}

void
Oracle::answered (uint64_t token, gl_code_t code, uint64_t job)
{
  if (++answers[token] > 1)
    violate ("a request was answered twice");
  if (code == GL_OK && job && !jobs.count (job))
    violate ("told accepted before it was written");
  if (code == GL_OK && job)
    accepted[job] = token;
}

void
Oracle::started (const std::vector<wcore_t> &workers,
                 const std::vector<bool> &paused,
                 const std::vector<uint64_t> &clocks)
{
  std::map<std::pair<uint64_t, uint32_t>, size_t> where;

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
          auto ins = where.emplace (key, w);
          if (!ins.second)
            violate ("task runs in two places: job "
                     + std::to_string (t.ref.job) + " index "
                     + std::to_string (t.ref.index));
        }
    }
}

/* Whether all workers together, empty, could hold a gang or one task. */
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
