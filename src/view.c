/*
 * view.c -- state of a scheduler: JSON views for operators, metrics as text
 */
#include "schedint.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Most jobs in one list; further jobs are left out. */
#define LIST_MAX 2000

/* Names in the views, indexed by gl_class_t, task_state_t, gl_outcome_t,
   role_t and worker_state_t. */
static const char *const class_names[JOB_CLASSES]
    = { "urgent", "service", "gang", "batch" };
static const char *const task_state_names[]
    = { "waiting", "assigned", "starting", "running", "stopping", "ended" };
static const char *const outcome_names[]
    = { "ok", "failed", "stopped", "lost", "expired", "not_run" };
static const char *const role_names[]
    = { "standby", "claiming", "loading", "taking", "active", "stopped" };
static const char *const worker_state_names[] = { "new", "ready", "silent" };

/* State of a job as a word; for a finished job, how it ended. */
static const char *
job_state (const job_t *j)
{
  if (j->finished)
    return j->reason;
  if (j->canceled)
    return "canceling";
  return j->waiting ? (j->live ? "partly_waiting" : "waiting") : "running";
}

static json_t *
res_json (const gl_res_t *r)
{
  return json_pack ("{s:i,s:i,s:i}", "cpus_m", r->cpus_m, "memory_mb",
                    r->memory_mb, "accels", r->accels);
}

static json_t *
job_json (gl_sched_t *s, const job_t *j)
{
  return json_pack ("{s:I,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:o,s:s}", "id",
                    (json_int_t)j->id, "name", j->name, "team",
                    s->teams[j->team].name, "class", class_names[j->cls],
                    "state", job_state (j), "tasks", (int)j->ntasks, "waiting",
                    (int)j->waiting, "live", (int)j->live, "ended",
                    (int)j->ended, "failed", (int)j->failed, "need",
                    res_json (&j->need), "domain", s->domain);
}

static json_t *
task_json (gl_sched_t *s, const task_t *t, uint32_t index)
{
  json_t *o
      = json_pack ("{s:i,s:s,s:i,s:I}", "index", (int)index, "state",
                   task_state_names[t->state], "attempt", (int)t->attempt,
                   "since_ms", (json_int_t)(s->now - t->since));

  if (t->worker >= 0)
    json_object_set_new (o, "worker",
                         json_string (s->workers[t->worker].name));
  if (t->state == TASK_ENDED)
    json_object_set_new (o, "outcome",
                         json_string (outcome_names[t->outcome]));
  if (t->used_cpus_m)
    json_object_set_new (o, "used_cpus_m", json_integer (t->used_cpus_m));
  return o;
}

static json_t *
view_job (gl_sched_t *s, uint64_t id)
{
  job_t *j = pool_get (&s->jobs, job_find (s, id));
  json_t *o;
  json_t *tasks;

  if (!j)
    return NULL;
  o = job_json (s, j);
  tasks = json_array ();
  for (uint32_t i = 0; i < j->ntasks; i++)
    json_array_append_new (tasks, task_json (s, &j->tasks[i], i));
  json_object_set_new (o, "task_list", tasks);
  if (j->waiting)
    json_object_set_new (o, "why", json_string (j->reason));
  json_object_set_new (o, "age_ms",
                       json_integer ((json_int_t)(s->now - j->submitted)));
  return o;
}

static json_t *
view_jobs (gl_sched_t *s)
{
  json_t *a = json_array ();
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&s->jobs, &pos)) && json_array_size (a) < LIST_MAX)
    json_array_append_new (a, job_json (s, pool_get (&s->jobs, h)));
  return a;
}

static json_t *
view_workers (gl_sched_t *s)
{
  json_t *a = json_array ();

  for (int i = 0; i < s->nworkers; i++)
    {
      worker_t *w = &s->workers[i];

      json_array_append_new (
          a,
          json_pack ("{s:s,s:s,s:s,s:b,s:b,s:b,s:b,s:i,s:o,s:o}", "name",
                     w->name, "rack", w->rack, "state",
                     worker_state_names[w->state], "listed", (int)w->listed,
                     "leaving", (int)w->leaving, "cordoned", (int)w->cordoned,
                     "probation", w->probation_until > s->now, "tasks",
                     w->ntasks, "total", res_json (&s->place.w[i].total),
                     "used", res_json (&s->place.w[i].used)));
    }
  return a;
}

static json_t *
view_queues (gl_sched_t *s)
{
  json_t *a = json_array ();

  for (int i = 0; i < s->nteams; i++)
    {
      team_t *t = &s->teams[i];
      json_t *o = json_pack ("{s:s,s:b,s:o,s:o,s:f}", "team", t->name, "known",
                             t->configured, "quota", res_json (&t->quota),
                             "used", res_json (&t->used), "dominant_share",
                             team_dominant_share (s, t) / 1e6);
      for (int c = 0; c < JOB_CLASSES; c++)
        json_object_set_new (o, class_names[c], json_integer (t->queued[c]));
      json_array_append_new (a, o);
    }
  return a;
}

/* Fraction of @total that is in use; 0 if @total is 0. */
static double
used_fraction (int64_t used, int64_t total)
{
  return total > 0 ? (double)used / (double)total : 0;
}

static json_t *
view_summary (gl_sched_t *s)
{
  int64_t cpus = 0;
  int64_t memory = 0;
  int64_t accels = 0;
  uint32_t waiting = 0;

  for (int i = 0; i < s->place.n; i++)
    {
      cpus += s->place.w[i].used.cpus_m;
      memory += s->place.w[i].used.memory_mb;
      accels += s->place.w[i].used.accels;
    }
  for (int i = 0; i < s->nteams; i++)
    for (int c = 0; c < JOB_CLASSES; c++)
      waiting += s->teams[i].queued[c];
  return json_pack (
      "{s:s,s:s,s:s,s:I,s:b,s:I,s:I,s:i,s:i,s:f,s:f,s:f,s:I,s:I,s:I}",
      "domain", s->domain, "node", s->node, "role", role_names[s->role],
      "epoch", (json_int_t)s->epoch, "may_start", lease_held (s), "commits",
      (json_int_t)s->journal.seq, "jobs", (json_int_t)s->jobs.count, "workers",
      s->nworkers, "jobs_waiting", (int)waiting, "cpus_used",
      used_fraction (cpus, s->place.sum_cpus), "memory_used",
      used_fraction (memory, s->place.sum_memory), "accels_used",
      used_fraction (accels, s->place.sum_accels), "free_cpus_m",
      (json_int_t)(s->place.sum_cpus - cpus), "free_memory_mb",
      (json_int_t)(s->place.sum_memory - memory), "free_accels",
      (json_int_t)(s->place.sum_accels - accels));
}

static json_t *
view_waits (gl_sched_t *s)
{
  json_t *o = json_object ();

  for (int c = 0; c < JOB_CLASSES; c++)
    json_object_set_new (
        o, class_names[c],
        json_pack ("{s:I,s:f,s:f}", "count", (json_int_t)s->wait_class[c].n,
                   "p50_ms", hist_quantile (&s->wait_class[c], 0.5), "p99_ms",
                   hist_quantile (&s->wait_class[c], 0.99)));
  return o;
}

char *
gl_sched_view (gl_sched_t *s, const char *what, uint64_t job, gl_ms_t now)
{
  json_t *j = NULL;
  char *text;

  s->now = now;
  if (!strcmp (what, "jobs"))
    j = view_jobs (s);
  else if (!strcmp (what, "job"))
    j = view_job (s, job);
  else if (!strcmp (what, "workers"))
    j = view_workers (s);
  else if (!strcmp (what, "queues"))
    j = view_queues (s);
  else if (!strcmp (what, "summary"))
    j = view_summary (s);
  else if (!strcmp (what, "waits"))
    j = view_waits (s);
  if (!j)
    return NULL;
  text = json_dumps (j, JSON_COMPACT);
  json_decref (j);
  return text;
}

char *
gl_sched_metrics (gl_sched_t *s)
{
  text_t t = { 0 };

#define X(name, help)                                                         \
  text_add (&t, "# HELP gl_sched_%s %s\ngl_sched_%s{domain=\"%s\"} %llu\n",   \
            #name, help, #name, s->domain,                                    \
            (unsigned long long)s->counters.name);
  COUNTERS (X)
#undef X
  for (int c = 0; c < JOB_CLASSES; c++)
    hist_print (&t, "gl_sched_wait_ms", "class", class_names[c],
                &s->wait_class[c]);
  for (int i = 0; i < s->nteams; i++)
    hist_print (&t, "gl_sched_wait_ms", "team", s->teams[i].name,
                &s->teams[i].wait);
  hist_print (&t, "gl_sched_commit_ms", "domain", s->domain, &s->commit_time);
  hist_print (&t, "gl_sched_takeover_ms", "domain", s->domain,
              &s->takeover_time);
  return t.s;
}
