/*
 * sched.c -- entry point of the scheduler's reducer
 *
 * A reducer serves one domain.  It is a standby until it has claimed the
 * domain's owner record (lease.c), loaded the snapshot and the log, and
 * written a takeover commit (journal.c, snap.c).  From then on it accepts
 * jobs, places tasks (policy.c) and calls workers (workers.c).  An effect
 * that others may rely on is deferred until the commit that records its
 * cause is written.
 */
#include "schedint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Most that one task may ask for: thousandths of a CPU, MiB, devices. */
#define NEED_CPUS_MAX 1024000
#define NEED_MEMORY_MAX 16777216
#define NEED_ACCELS_MAX 1024
/* Most attempts that a job may ask for. */
#define ATTEMPTS_MAX 1000
/* How long a planned stop waits for commits and for the release of the
   owner record, milliseconds. */
#define STOP_MS 10000

/* ---- creation and destruction ---- */

static void *
ht_malloc (size_t size)
{
  return malloc (size);
}

static void
ht_free (void *p, size_t size, bool defer)
{
  (void)size;
  (void)defer;
  free (p);
}

static struct ck_malloc ht_allocator
    = { .malloc = ht_malloc, .free = ht_free };

static void
set_default (gl_ms_t *v, gl_ms_t value)
{
  if (!*v)
    *v = value;
}

static void
set_options (gl_sched_t *s, const gl_sched_opts_t *opts)
{
  s->opts = *opts;
  set_default (&s->opts.lease, DEFAULT_LEASE_MS);
  set_default (&s->opts.renew, DEFAULT_RENEW_MS);
  set_default (&s->opts.worker_lease, DEFAULT_WORKER_LEASE_MS);
  set_default (&s->opts.long_poll_ms, DEFAULT_LONG_POLL_MS);
  set_default (&s->opts.commit_gap, DEFAULT_COMMIT_GAP_MS);
  set_default (&s->opts.grace, DEFAULT_GRACE_MS);
  if (!s->opts.drift_ppm)
    s->opts.drift_ppm = DEFAULT_DRIFT_PPM;
  snprintf (s->node, sizeof s->node, "%s", opts->node);
  snprintf (s->domain, sizeof s->domain, "%s", opts->domain);
  snprintf (s->rpc, sizeof s->rpc, "%s", opts->rpc);
}

gl_sched_t *
gl_sched_new (const gl_sched_opts_t *opts, gl_ms_t now)
{
  gl_sched_t *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  set_options (s, opts);
  s->now = now;
  s->fit_version = 1;
  conf_init (&s->conf);
  pool_init (&s->jobs, sizeof (job_t));
  place_init (&s->place);
  s->rng = gsl_rng_alloc (gsl_rng_taus2);
  if (!s->rng
      || !ck_ht_init (&s->job_by_id, CK_HT_MODE_DIRECT, NULL, &ht_allocator,
                      1024, opts->seed))
    goto fail;
  gsl_rng_set (s->rng, opts->seed);
  s->lease.nonce = ((uint64_t)gsl_rng_get (s->rng) << 20) + 1;
  s->t_lease = timer_subscribe (&s->timers, lease_poll, s);
  s->t_commit = timer_subscribe (&s->timers, journal_flush, s);
  s->t_workers = timer_subscribe (&s->timers, workers_poll, s);
  s->t_pass = timer_subscribe (&s->timers, policy_pass, s);
  s->t_age = timer_subscribe (&s->timers, policy_age, s);
  timer_arm (&s->timers, s->t_lease, now + jitter (s, s->opts.renew));
  return s;

fail:
  if (s->rng)
    gsl_rng_free (s->rng);
  free (s);
  return NULL;
}

void
gl_sched_free (gl_sched_t *s)
{
  gl_effects_t fx = { 0 };

  if (!s)
    return;
  /* cppcheck-suppress autoVariables */
  s->fx = &fx;
  journal_reset (s);
  free (s->journal.pending.v);
  free (s->journal.deferred.v);
  free (s->journal.inflight_deferred.v);
  snap_reset (s);
  jobs_clear (s);
  pool_destroy (&s->jobs);
  ck_ht_destroy (&s->job_by_id);
  for (int i = 0; i < s->nworkers; i++)
    {
      free (s->workers[i].tasks);
      free (s->workers[i].orphans);
    }
  free (s->workers);
  for (int i = 0; i < s->nteams; i++)
    hist_destroy (&s->teams[i].wait);
  free (s->teams);
  free (s->ranked);
  free (s->dirty);
  for (int i = 0; i < JOB_CLASSES; i++)
    hist_destroy (&s->wait_class[i]);
  hist_destroy (&s->commit_time);
  hist_destroy (&s->takeover_time);
  conf_destroy (&s->conf);
  place_destroy (&s->place);
  gsl_rng_free (s->rng);
  gl_effects_free (&fx);
  free (s);
}

gl_ms_t
gl_sched_due (const gl_sched_t *s)
{
  return timer_next (&s->timers);
}

int
gl_sched_active (const gl_sched_t *s, uint64_t *epoch)
{
  if (epoch)
    *epoch = s->epoch;
  return s->role == ROLE_ACTIVE;
}

/* ---- operators' requests ---- */

/* Whether requests are accepted now; if not, answers this one. */
static int
accepts_request (gl_sched_t *s, uint64_t token, uint64_t job)
{
  if (s->role != ROLE_ACTIVE || s->stopping)
    sched_answer (s, token, GL_NOT_OWNER, job, RETRY_NOT_OWNER_MS,
                  "this scheduler does not own the domain");
  else if (!lease_held (s) || journal_stalled (s))
    sched_answer (s, token, GL_RETRY, job, RETRY_STORE_MS,
                  "the key-value service does not answer");
  else if (journal_full (s))
    sched_answer (s, token, GL_RETRY, job, RETRY_NOT_OWNER_MS,
                  "too many requests at once");
  else
    return 1;
  return 0;
}

/* Why the submission is malformed, NULL if it is not. */
static const char *
spec_error (const gl_jobspec_t *spec)
{
  if (!spec->name || !*spec->name || !spec->team || !*spec->team)
    return "name and team are needed";
  if (spec->cls < GL_CLASS_URGENT || spec->cls > GL_CLASS_BATCH)
    return "unknown class";
  if (spec->tasks < 1 || spec->tasks > GL_TASKS_MAX)
    return "tasks is not in 1 to 4096";
  if (spec->need.cpus_m < 1 || spec->need.cpus_m > NEED_CPUS_MAX)
    return "cpus_m is not in 1 to 1024000";
  if (spec->need.memory_mb < 0 || spec->need.memory_mb > NEED_MEMORY_MAX)
    return "memory_mb is not in 0 to 16777216";
  if (spec->need.accels < 0 || spec->need.accels > NEED_ACCELS_MAX)
    return "accels is not in 0 to 1024";
  if (spec->max_attempts < 1 || spec->max_attempts > ATTEMPTS_MAX)
    return "max_attempts is not in 1 to 1000";
  return NULL;
}

/* Answer with success once all records appended so far are committed. */
static void
answer_after_commit (gl_sched_t *s, uint64_t token, uint64_t job)
{
  deferred_t action
      = { .kind = DEFER_ANSWER, .token = token, .job_or_boot = job };

  if (FAULT (FAULT_ANSWER_BEFORE_COMMIT))
    sched_answer (s, token, GL_OK, job, 0, NULL);
  else
    journal_defer (s, &action);
}

static void
accept_job (gl_sched_t *s, const gl_event_t *ev)
{
  const gl_jobspec_t *spec = ev->u.submit.spec;
  gl_rec_t rec = { .kind = GL_REC_ACCEPT };

  if (!job_new (s, ev->u.submit.job, spec))
    {
      sched_answer (s, ev->u.submit.token, GL_RETRY, ev->u.submit.job,
                    RETRY_FULL_MS, "out of memory");
      return;
    }
  rec.gl_rec_t_u.accept.job = ev->u.submit.job;
  rec.gl_rec_t_u.accept.spec = *spec;
  rec.gl_rec_t_u.accept.spec.name = strdup (spec->name);
  rec.gl_rec_t_u.accept.spec.team = strdup (spec->team);
  journal_append (s, &rec);
  answer_after_commit (s, ev->u.submit.token, ev->u.submit.job);
  s->counters.accepted++;
  policy_schedule_pass (s);
}

static void
on_submit (gl_sched_t *s, const gl_event_t *ev)
{
  uint64_t token = ev->u.submit.token;
  uint64_t id = ev->u.submit.job;
  const char *reason;

  if (!accepts_request (s, token, id))
    return;
  reason = id && id < INT64_MAX ? spec_error (ev->u.submit.spec)
                                : "bad job number";
  if (reason)
    {
      s->counters.refused++;
      sched_answer (s, token, GL_INVALID, id, 0, reason);
      return;
    }
  if (job_find (s, id))
    {
      /* A repeated submission: the job is accepted once, and every request
         gets an answer. */
      answer_after_commit (s, token, id);
      return;
    }
  reason = policy_infeasible_reason (s, ev->u.submit.spec);
  if (reason)
    {
      s->counters.refused++;
      sched_answer (s, token, GL_INFEASIBLE, id, 0, reason);
      return;
    }
  if (s->jobs.count >= JOBS_MAX)
    {
      sched_answer (s, token, GL_RETRY, id, RETRY_FULL_MS,
                    "the domain's queue is full");
      return;
    }
  accept_job (s, ev);
}

static void
on_cancel (gl_sched_t *s, const gl_event_t *ev)
{
  gl_rec_t rec = { .kind = GL_REC_CANCEL };
  handle_t h;

  if (!accepts_request (s, ev->u.cancel.token, ev->u.cancel.job))
    return;
  h = job_find (s, ev->u.cancel.job);
  if (!h)
    {
      sched_answer (s, ev->u.cancel.token, GL_NOT_FOUND, ev->u.cancel.job, 0,
                    "no such job");
      return;
    }
  rec.gl_rec_t_u.cancel.job = ev->u.cancel.job;
  journal_append (s, &rec);
  answer_after_commit (s, ev->u.cancel.token, ev->u.cancel.job);
  job_cancel (s, h);
  policy_schedule_pass (s);
}

static void
on_cordon (gl_sched_t *s, const gl_event_t *ev)
{
  gl_rec_t rec = { .kind = GL_REC_CORDON };
  int i;

  if (!accepts_request (s, ev->u.cordon.token, 0))
    return;
  i = worker_find (s, ev->u.cordon.worker);
  if (i < 0)
    {
      sched_answer (s, ev->u.cordon.token, GL_NOT_FOUND, 0, 0,
                    "no such worker");
      return;
    }
  rec.gl_rec_t_u.cordon.worker = strdup (ev->u.cordon.worker);
  rec.gl_rec_t_u.cordon.on = ev->u.cordon.on;
  journal_append (s, &rec);
  answer_after_commit (s, ev->u.cordon.token, 0);
  s->workers[i].cordoned = ev->u.cordon.on != 0;
  worker_update_usable (s, i);
}

/* ---- other events ---- */

static void
on_store (gl_sched_t *s, const gl_event_t *ev)
{
  store_op_t op = (store_op_t)(ev->u.store.tag & 0xff);

  if (ev->u.store.tag >> 8 != (s->generation & 0xffffff))
    return;
  if (ev->u.store.status == GL_ST_UNKNOWN)
    s->counters.store_unsure++;
  switch (op)
    {
    case OP_OWNER_GET:
    case OP_OWNER_CAS:
      lease_store_done (s, op, ev);
      break;
    case OP_LOG_GET:
    case OP_LOG_CAS:
      journal_store_done (s, op, ev);
      break;
    default:
      snap_store_done (s, op, ev);
    }
}

static void
on_conf (gl_sched_t *s, const gl_conf_t *c)
{
  conf_team_t *teams;

  /* A configuration older than the one in force is ignored. */
  if (c->revision < s->conf.revision && !FAULT (FAULT_REVISION_FALLS))
    return;
  teams = calloc (c->nteams + 1, sizeof *teams);
  if (!teams)
    return;
  if (c->nteams)
    memcpy (teams, c->teams, c->nteams * sizeof *teams);
  conf_destroy (&s->conf);
  s->conf = *c;
  s->conf.teams = teams;
  for (int i = 0; i < s->nteams; i++)
    {
      s->teams[i].configured = 0;
      memset (&s->teams[i].quota, 0, sizeof (gl_res_t));
    }
  for (size_t i = 0; i < c->nteams; i++)
    {
      int t = team_index (s, c->teams[i].name);
      if (t < 0)
        continue;
      s->teams[t].configured = 1;
      s->teams[t].quota = c->teams[i].quota;
    }
  fit_reset (s);
  policy_schedule_pass (s);
}

static void
on_stop (gl_sched_t *s)
{
  if (s->stopping)
    return;
  s->stopping = 1;
  s->stop_deadline = s->now + STOP_MS;
  if (s->role != ROLE_ACTIVE)
    {
      s->role = ROLE_STOPPED;
      fx_add (s->fx, GL_FX_STOPPED);
    }
}

/* Release the domain once all records are committed; give up at
   stop_deadline. */
static void
advance_stop (gl_sched_t *s)
{
  if (!s->stopping || s->role == ROLE_STOPPED)
    return;
  if (s->now >= s->stop_deadline)
    {
      s->role = ROLE_STOPPED;
      fx_add (s->fx, GL_FX_STOPPED);
    }
  else if (journal_idle (s))
    lease_release (s);
  else
    timer_arm_before (&s->timers, s->t_commit, s->now + 1);
}

static int
is_operator_request (const gl_event_t *ev)
{
  return ev->kind == GL_EV_SUBMIT || ev->kind == GL_EV_CANCEL
         || ev->kind == GL_EV_CORDON;
}

void
gl_sched_step (gl_sched_t *s, const gl_event_t *ev, gl_ms_t now,
               gl_effects_t *fx)
{
  s->now = now;
  s->fx = fx;
  /* After a stop only operators' requests are answered, with a refusal. */
  if (s->role == ROLE_STOPPED && !is_operator_request (ev))
    return;
  switch (ev->kind)
    {
    case GL_EV_TICK:
      break;
    case GL_EV_STORE:
      on_store (s, ev);
      break;
    case GL_EV_SUBMIT:
      on_submit (s, ev);
      break;
    case GL_EV_CANCEL:
      on_cancel (s, ev);
      break;
    case GL_EV_CORDON:
      on_cordon (s, ev);
      break;
    case GL_EV_VMS:
      workers_take_list (s, ev->u.vms.vms, ev->u.vms.n);
      break;
    case GL_EV_WORKER:
      worker_call_done (s, ev);
      break;
    case GL_EV_CONF:
      on_conf (s, ev->u.conf);
      break;
    case GL_EV_STOP:
      on_stop (s);
      break;
    }
  timer_run (&s->timers, now);
  journal_expire_answers (s);
  advance_stop (s);
  s->fx = NULL;
}
