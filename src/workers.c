/*
 * workers.c -- calls to workers, their leases, and their reports
 *
 * A worker may run tasks until an instant of its own clock that each call
 * carries.  The scheduler derives that instant from the worker's last
 * answer: when the answer arrived, the worker's clock had reached at least
 * the value in it, so the worker reaches "clock + (end - arrival)" no later
 * than the scheduler's clock reaches "end", up to drift.  A call that is
 * delayed on its way cannot extend the lease, as it could if it carried a
 * length of time.  So the latest end ever granted bounds everything that the
 * worker may still run, whether or not it has acknowledged the call.
 *
 * At most two calls to a worker are outstanding: a long poll, which it holds
 * open until an attempt changes or the time given in the call is over and
 * which also renews its lease, and a command with starts and stops.  After a
 * failed call only handshakes are sent.  A handshake makes the worker adopt
 * the epoch, grants no lease, and returns its full list of tasks, with which
 * the tables are brought into line:
 *
 *   assigned under another boot          lost, that process is gone
 *   listed as running                    running
 *   listed as ended                      ended
 *   confirmed before and not listed now  lost
 *   start sent, not listed               sent again: same boot, never ran
 *   listed, but not in the tables        an orphan, stopped
 *
 * Once a worker has been silent past the end of every lease that it can
 * hold, its tasks are lost and may be placed again.  A lease that an earlier
 * owner granted is bounded by the time of the takeover plus that owner's
 * grace time, until the worker has acknowledged a lease of this epoch.
 */
#include "schedint.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Times are in milliseconds. */

/* Timeout of a handshake or command; added to the time for which a
   long poll may be held open. */
#define CALL_TIMEOUT_MS 1500
/* Delay between handshakes, doubled after each failure. */
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 5000
/* Delay before starts and stops that were answered are sent again if they
   are still pending. */
#define CMD_RESEND_MS 250
/* Values of worker_t.command_state: nothing to send, something to send
   again, something new to send. */
#define CMD_NONE 0
#define CMD_RESEND 1
#define CMD_NEW 2
/* Period of the sweep in which workers_poll serves every worker. */
#define SWEEP_MS 200
/* Most starts in one command, and most stops beside those of orphans. */
#define STARTS_PER_CALL 64
/* Most orphans of one worker that one command stops; further ones are stopped
   after the next handshake has listed them. */
#define ORPHANS_MAX 256
/* Failed attempts of different jobs in a row that put a worker on
   probation. */
#define PROBATION_FAILED_JOBS 3
/* Length of the first probation, doubled for each further one. */
#define PROBATION_MS 30000
#define PROBATION_MAX_MS 1800000
/* Most workers on probation, in percent; above that the workers are not
   likely to be the cause of the failures. */
#define PROBATION_MAX_PERCENT 30

int
worker_find (const gl_sched_t *s, const char *name)
{
  for (int i = 0; i < s->nworkers; i++)
    if (!strcmp (s->workers[i].name, name))
      return i;
  return -1;
}

/* Index of a rack, added when new; the last index stands for all racks
   beyond RACKS_MAX. */
static int
rack_index (gl_sched_t *s, const char *rack)
{
  for (int i = 0; i < s->nracks; i++)
    if (!strcmp (s->racks[i], rack))
      return i;
  if (s->nracks == RACKS_MAX)
    return RACKS_MAX - 1;
  strncpy (s->racks[s->nracks], rack, sizeof s->racks[0] - 1);
  return s->nracks++;
}

int
worker_add (gl_sched_t *s, const char *name)
{
  int i = worker_find (s, name);
  worker_t *w;
  int *dirty;

  if (i >= 0)
    return i;
  if (s->nworkers == s->capworkers)
    {
      int cap = s->capworkers ? 2 * s->capworkers : 64;
      w = realloc (s->workers, (size_t)cap * sizeof *w);
      if (!w)
        return -1;
      s->workers = w;
      s->capworkers = cap;
    }
  dirty = realloc (s->dirty, (size_t)(s->nworkers + 1) * sizeof *dirty);
  if (!dirty)
    return -1;
  s->dirty = dirty;
  if (place_add (&s->place) < 0)
    return -1;
  w = &s->workers[s->nworkers];
  memset (w, 0, sizeof *w);
  strncpy (w->name, name, sizeof w->name - 1);
  return s->nworkers++;
}

void
worker_update_usable (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];
  int usable = w->state == WORKER_READY && w->listed && !w->leaving
               && !w->cordoned && w->probation_until <= s->now;

  place_set (&s->place, i, &w->total, s->place.w[i].rack, usable);
  if (usable)
    {
      fit_capacity_gained (s, i, NULL);
      policy_schedule_pass (s);
    }
}

/* Have workers_poll serve one worker as soon as possible. */
static void
poll_soon (gl_sched_t *s, int i)
{
  if (!s->workers[i].dirty)
    {
      s->workers[i].dirty = 1;
      s->dirty[s->ndirty++] = i;
    }
  timer_arm_before (&s->timers, s->t_workers, s->now);
}

/* Have workers_poll serve all workers as soon as possible. */
static void
poll_all_soon (gl_sched_t *s)
{
  s->next_sweep = s->now;
  timer_arm_before (&s->timers, s->t_workers, s->now);
}

void
worker_wake (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];

  w->command_state = CMD_NEW;
  if (w->state == WORKER_READY)
    w->retry_at = s->now;
  poll_soon (s, i);
}

/* ---- the platform's list ---- */

/* The worker is in another rack: move the rack counts of its tasks. */
static void
set_rack (gl_sched_t *s, int i, int rack)
{
  worker_t *w = &s->workers[i];

  for (int k = 0; k < w->ntasks; k++)
    {
      job_t *j = pool_get (&s->jobs, w->tasks[k].job);

      j->rack_count[s->place.w[i].rack]--;
      j->rack_count[rack]++;
    }
  s->place.w[i].rack = rack;
}

/* Take one worker of the platform's list, new or known. */
static void
update_listed_worker (gl_sched_t *s, const gl_vm_t *vm)
{
  int i = worker_add (s, vm->name);
  worker_t *w;
  int addr_changed;

  if (i < 0)
    return;
  w = &s->workers[i];
  addr_changed = strcmp (w->addr, vm->addr) != 0;
  w->listed = 1;
  w->leaving = vm->state == GL_VM_LEAVING;
  memcpy (w->addr, vm->addr, sizeof w->addr);
  if (strcmp (w->rack, vm->rack))
    {
      memcpy (w->rack, vm->rack, sizeof w->rack);
      set_rack (s, i, rack_index (s, w->rack));
    }
  if (addr_changed)
    w->retry_at = s->now;
}

/* Stop the service tasks of a leaving worker, which are then placed
   elsewhere; other tasks run to their end. */
static void
drain_services (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];

  for (int k = 0; k < w->ntasks; k++)
    {
      job_t *j = pool_get (&s->jobs, w->tasks[k].job);
      if (j->cls == GL_CLASS_SERVICE)
        task_stop (s, w->tasks[k]);
    }
}

void
workers_take_list (gl_sched_t *s, const gl_vm_t *vms, size_t n)
{
  for (int i = 0; i < s->nworkers; i++)
    s->workers[i].listed = 0;
  for (size_t k = 0; k < n; k++)
    if (!strcmp (vms[k].role, "worker") && !strcmp (vms[k].domain, s->domain))
      update_listed_worker (s, &vms[k]);
  for (int i = 0; i < s->nworkers; i++)
    {
      worker_update_usable (s, i);
      if (s->role == ROLE_ACTIVE && s->workers[i].leaving)
        drain_services (s, i);
    }
  poll_all_soon (s);
}

/* ---- sending calls ---- */

/* Instant of the worker's clock that it reaches no later than our clock
   reaches @end, up to drift. */
static uint64_t
to_worker_clock (const worker_t *w, gl_ms_t end)
{
  return w->clock + (end - w->clock_at);
}

/* Complete @call and send it, but not at or after @send_before; @outstanding
   is where it is noted. */
static void
send_call (gl_sched_t *s, int i, worker_call_t *outstanding, gl_wcall_t *call,
           gl_ms_t timeout, gl_ms_t send_before)
{
  worker_t *w = &s->workers[i];
  gl_effect_t *e = fx_add (s->fx, GL_FX_WORKER);

  if (!e)
    return;
  call->epoch = s->epoch;
  call->call = ++s->last_call;
  call->seen_seq = w->seen_seq;
  call->ack_seq = w->ack_seq;
  e->data = codec_encode ((xdrproc_t)xdr_gl_wcall_t, call, &e->len);
  e->u.worker.worker = (uint32_t)i;
  e->u.worker.call = s->last_call;
  e->u.worker.timeout = timeout;
  e->u.worker.send_before = send_before;
  memcpy (e->u.worker.addr, w->addr, sizeof w->addr);
  outstanding->id = s->last_call;
  outstanding->sent = s->now;
  outstanding->has_lease = call->boot != 0;
  s->counters.worker_calls++;
  s->counters.worker_bytes += e->len;
}

/* Time, on our clock, after which no lease may be renewed. */
static gl_ms_t
renewal_deadline (const gl_sched_t *s)
{
  return s->lease.end + s->opts.grace;
}

/* Put a lease into @call and note the latest time at which it can end. */
static void
grant_lease (gl_sched_t *s, worker_t *w, gl_wcall_t *call)
{
  gl_ms_t end = s->now + s->opts.worker_lease;

  call->boot = w->boot;
  call->not_after = to_worker_clock (w, end);
  end += drift_margin (s, end - w->clock_at);
  if (end > w->lease_end)
    w->lease_end = end;
}

static void
send_handshake (gl_sched_t *s, int i)
{
  gl_wcall_t call = { 0 };

  send_call (s, i, &s->workers[i].command, &call, CALL_TIMEOUT_MS,
             renewal_deadline (s));
}

static void
send_long_poll (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];
  gl_wcall_t call = { 0 };

  grant_lease (s, w, &call);
  /* The random part spreads the renewals of workers whose handshakes came
     at the same time. */
  call.hold_ms = (u_int)(s->opts.long_poll_ms * 3 / 4
                         + jitter (s, s->opts.long_poll_ms / 4));
  send_call (s, i, &w->long_poll, &call, call.hold_ms + CALL_TIMEOUT_MS,
             renewal_deadline (s));
}

static void
fill_start (gl_sched_t *s, task_handle_t ref, gl_start_t *st)
{
  job_t *j = pool_get (&s->jobs, ref.job);

  st->task.job = j->id;
  st->task.index = ref.index;
  st->task.attempt = j->tasks[ref.index].attempt;
  st->need = j->need;
  st->runtime_s = j->runtime_s;
  st->name = j->name;
}

static void
fill_stop (gl_sched_t *s, task_handle_t ref, gl_taskref_t *r)
{
  job_t *j = pool_get (&s->jobs, ref.job);

  r->job = j->id;
  r->index = ref.index;
  r->attempt = j->tasks[ref.index].attempt;
}

/* Send starts that are committed and not confirmed, and stops, also those
   of orphans.  Starts are sent only while the owner lease is held. */
static void
send_command (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];
  gl_start_t starts[STARTS_PER_CALL];
  gl_taskref_t stops[STARTS_PER_CALL + ORPHANS_MAX];
  gl_wcall_t call = { 0 };
  int state = CMD_NONE;

  for (int k = 0; k < w->ntasks; k++)
    {
      task_t *t = task_get (s, w->tasks[k]);
      int start = t->state == TASK_STARTING
                  || (FAULT (FAULT_START_BEFORE_COMMIT)
                      && t->state == TASK_ASSIGNED);

      if (start && !lease_held (s))
        state = CMD_RESEND;
      else if (start && call.starts.starts_len < STARTS_PER_CALL)
        fill_start (s, w->tasks[k], &starts[call.starts.starts_len++]);
      else if (t->state == TASK_STOPPING
               && call.stops.stops_len < STARTS_PER_CALL)
        fill_stop (s, w->tasks[k], &stops[call.stops.stops_len++]);
    }
  for (int k = 0; k < w->norphans; k++)
    stops[call.stops.stops_len++] = w->orphans[k];
  w->norphans = 0;
  w->command_state = state;
  if (!call.starts.starts_len && !call.stops.stops_len)
    {
      w->retry_at = s->now + RETRY_MIN_MS;
      return;
    }
  call.starts.starts_val = starts;
  call.stops.stops_val = stops;
  grant_lease (s, w, &call);
  send_call (s, i, &w->command, &call, CALL_TIMEOUT_MS,
             call.starts.starts_len ? s->lease.end : renewal_deadline (s));
}

static void
call_failed (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];

  s->counters.worker_failed++;
  if (w->state == WORKER_READY)
    {
      w->state = WORKER_SILENT;
      w->backoff = RETRY_MIN_MS;
      sched_log (s, "worker %s silent: a call has failed", w->name);
      worker_update_usable (s, i);
    }
  w->retry_at = s->now + w->backoff / 2 + jitter (s, w->backoff);
  if (w->backoff < RETRY_MAX_MS)
    w->backoff *= 2;
}

/* ---- expiry of leases ---- */

/* Latest end, on our clock, of any lease that the worker can hold. */
static gl_ms_t
last_lease_end (const gl_sched_t *s, const worker_t *w)
{
  if (FAULT (FAULT_NO_RUN_OUT))
    return 0;
  if (w->lease_acked || FAULT (FAULT_NO_INHERITED_BOUND))
    return w->lease_end;
  return w->lease_end > w->prior_lease_end ? w->lease_end : w->prior_lease_end;
}

static void
expire_tasks (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];

  sched_log (s, "worker %s: leases expired, %d tasks lost", w->name,
             w->ntasks);
  while (w->ntasks)
    task_end_recorded (s, w->tasks[w->ntasks - 1], GL_OUT_LOST);
}

/* Send the calls that are due to one worker, and end its tasks if it is
   silent and its leases have expired. */
static void
poll_worker (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];

  if (w->probation_until && w->probation_until <= s->now)
    {
      w->probation_until = 0;
      worker_update_usable (s, i);
    }
  if (w->addr[0] && lease_may_renew_workers (s) && (w->listed || w->ntasks))
    {
      if (w->state != WORKER_READY)
        {
          if (!w->command.id && w->retry_at <= s->now)
            send_handshake (s, i);
        }
      else
        {
          if (!w->long_poll.id)
            send_long_poll (s, i);
          if (!w->command.id && w->command_state && w->retry_at <= s->now)
            send_command (s, i);
        }
    }
  if (w->ntasks && w->state != WORKER_READY && last_lease_end (s, w) < s->now)
    expire_tasks (s, i);
}

/* Serves the workers in the dirty list at once and all workers once per
   sweep, so that the cost of a start does not grow with the number of
   workers. */
void
workers_poll (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;

  if (s->role != ROLE_ACTIVE)
    return;
  for (int k = 0; k < s->ndirty; k++)
    {
      s->workers[s->dirty[k]].dirty = 0;
      poll_worker (s, s->dirty[k]);
    }
  s->ndirty = 0;
  if (now >= s->next_sweep)
    {
      s->next_sweep = now + SWEEP_MS;
      for (int i = 0; i < s->nworkers; i++)
        poll_worker (s, i);
    }
  timer_arm_before (&s->timers, s->t_workers, s->next_sweep);
}

/* ---- answers ---- */

/* Note an attempt that the tables do not assign to the worker; the next
   command stops it. */
static void
add_orphan (gl_sched_t *s, int i, const gl_taskref_t *r)
{
  worker_t *w = &s->workers[i];

  if (!w->orphans)
    w->orphans = calloc (ORPHANS_MAX, sizeof *w->orphans);
  if (!w->orphans || w->norphans == ORPHANS_MAX)
    return;
  w->orphans[w->norphans++] = *r;
  s->counters.strays++;
  worker_wake (s, i);
}

/* The worker has listed the attempt: it has started. */
static void
confirm_start (gl_sched_t *s, task_handle_t ref, task_t *t)
{
  job_t *j = pool_get (&s->jobs, ref.job);

  t->confirmed = 1;
  if (t->state != TASK_STARTING)
    return;
  t->state = TASK_RUNNING;
  t->since = s->now;
  s->counters.started++;
  if (t->attempt == 1 && !t->inherited)
    {
      double waited = (double)(s->now - j->submitted);
      hist_add (&s->wait_class[j->cls], waited);
      hist_add (&s->teams[j->team].wait, waited);
    }
}

/* Apply what the worker reports about one attempt. */
static void
apply_task_report (gl_sched_t *s, int i, const gl_wtask_t *e, uint64_t boot)
{
  task_handle_t ref;
  task_t *t = task_find_attempt (s, &e->task, i, &ref);

  if (!t || t->boot != boot)
    {
      if (e->state == GL_WT_RUNNING)
        add_orphan (s, i, &e->task);
      return;
    }
  t->used_cpus_m = e->used_cpus_m;
  t->used_memory_mb = e->used_memory_mb;
  switch (e->state)
    {
    case GL_WT_RUNNING:
      confirm_start (s, ref, t);
      break;
    case GL_WT_ENDED:
      confirm_start (s, ref, t);
      task_end_recorded (s, ref, e->outcome);
      break;
    case GL_WT_REFUSED:
      if (!t->confirmed)
        task_end_recorded (s, ref, GL_OUT_NOT_RUN);
      break;
    }
}

static int
reply_lists (const gl_wreply_t *r, uint64_t job, uint32_t index,
             uint32_t attempt)
{
  for (u_int k = 0; k < r->tasks.tasks_len; k++)
    {
      const gl_taskref_t *t = &r->tasks.tasks_val[k].task;
      if (t->job == job && t->index == index && t->attempt == attempt)
        return 1;
    }
  return 0;
}

/* Bring the tables into line with the full list of a handshake, as in the
   table at the head of this file. */
static void
resync (gl_sched_t *s, int i, const gl_wreply_t *r)
{
  worker_t *w = &s->workers[i];

  for (int k = w->ntasks - 1; k >= 0; k--)
    {
      task_handle_t ref = w->tasks[k];
      job_t *j = pool_get (&s->jobs, ref.job);
      task_t *t = &j->tasks[ref.index];

      if ((t->boot != r->boot && !FAULT (FAULT_SKIP_BOOT_CHECK))
          || (t->confirmed && !reply_lists (r, j->id, ref.index, t->attempt)))
        task_end_recorded (s, ref, GL_OUT_LOST);
    }
  w->boot = r->boot;
  w->seen_seq = 0;
  w->ack_seq = 0;
  w->state = WORKER_READY;
  w->backoff = RETRY_MIN_MS;
  w->retry_at = s->now;
  /* Starts and stops that were outstanding are sent again if they are still
     pending. */
  w->command_state = CMD_RESEND;
}

/* Acknowledge events up to @seq once the records that came of them are
   committed; the worker may then forget them. */
static void
ack_after_commit (gl_sched_t *s, int i, uint64_t seq)
{
  deferred_t ack = { .kind = DEFER_ACK, .worker = i, .seq = seq };

  journal_defer (s, &ack);
}

static void
apply_reply (gl_sched_t *s, int i, const worker_call_t *call,
             const gl_wreply_t *r)
{
  worker_t *w = &s->workers[i];

  w->clock = r->clock;
  w->clock_at = s->now;
  if (call->has_lease)
    w->lease_acked = 1;
  if (r->full)
    resync (s, i, r);
  /* Reports of an answer that a later one has overtaken are out of date. */
  for (u_int k = 0; r->seq >= w->seen_seq && k < r->tasks.tasks_len; k++)
    apply_task_report (s, i, &r->tasks.tasks_val[k], r->boot);
  if (r->seq > w->seen_seq)
    {
      w->seen_seq = r->seq;
      ack_after_commit (s, i, r->seq);
    }
  if (r->full || memcmp (&w->total, &r->total, sizeof w->total))
    {
      w->total = r->total;
      worker_update_usable (s, i);
    }
}

static void
handle_reply (gl_sched_t *s, int i, const worker_call_t *call,
              const gl_wreply_t *r)
{
  worker_t *w = &s->workers[i];

  switch (r->status)
    {
    case GL_W_OK:
      if (!r->full && (w->state != WORKER_READY || r->boot != w->boot))
        break;
      apply_reply (s, i, call, r);
      break;
    case GL_W_OLD_EPOCH:
      /* Another process owns the domain: read the owner record now. */
      timer_arm_before (&s->timers, s->t_lease, s->now);
      call_failed (s, i);
      break;
    case GL_W_OTHER_BOOT:
      if (w->state == WORKER_READY)
        {
          w->state = WORKER_NEW;
          worker_update_usable (s, i);
        }
      w->retry_at = s->now;
      break;
    case GL_W_STALE_CALL:
      w->command_state = CMD_RESEND;
      break;
    }
}

void
worker_call_done (gl_sched_t *s, const gl_event_t *ev)
{
  int i = (int)ev->u.worker.worker;
  worker_t *w;
  worker_call_t call;

  if (s->role != ROLE_ACTIVE || i >= s->nworkers)
    return;
  w = &s->workers[i];
  if (w->long_poll.id == ev->u.worker.call && ev->u.worker.call)
    {
      call = w->long_poll;
      w->long_poll.id = 0;
    }
  else if (w->command.id == ev->u.worker.call && ev->u.worker.call)
    {
      call = w->command;
      w->command.id = 0;
      w->retry_at = s->now + (w->command_state == CMD_NEW ? 0 : CMD_RESEND_MS);
      w->command_state = CMD_RESEND;
    }
  else
    return;
  if (ev->u.worker.status == GL_CALL_ANSWERED)
    handle_reply (s, i, &call, ev->u.worker.reply);
  else
    call_failed (s, i);
  poll_soon (s, i);
}

void
workers_reset (gl_sched_t *s)
{
  for (int i = 0; i < s->nworkers; i++)
    {
      worker_t *w = &s->workers[i];

      w->state = WORKER_NEW;
      w->lease_acked = 0;
      w->boot = 0;
      w->lease_end = 0;
      w->prior_lease_end = 0;
      w->long_poll.id = 0;
      w->command.id = 0;
      w->norphans = 0;
      w->command_state = CMD_NONE;
      w->retry_at = s->now + jitter (s, RETRY_MIN_MS);
      w->backoff = RETRY_MIN_MS;
      w->cordoned = 0;
      w->failed_jobs = 0;
      w->probation_until = 0;
      w->ntasks = 0;
      w->dirty = 0;
      memset (&s->place.w[i].used, 0, sizeof (gl_res_t));
      worker_update_usable (s, i);
    }
  s->ndirty = 0;
  s->next_sweep = s->now;
}

int
workers_leases_settled (const gl_sched_t *s)
{
  for (int i = 0; i < s->nworkers; i++)
    if (s->workers[i].ntasks && !s->workers[i].lease_acked
        && s->workers[i].prior_lease_end >= s->now)
      return 0;
  return 1;
}

/* ---- probation ---- */

/* Whether one worker more on probation would exceed
   PROBATION_MAX_PERCENT; not with three workers or fewer. */
static int
many_on_probation (const gl_sched_t *s)
{
  int n = 0;

  for (int i = 0; i < s->nworkers; i++)
    n += s->workers[i].probation_until > s->now;
  return (n + 1) * 100 > s->nworkers * PROBATION_MAX_PERCENT
         && s->nworkers > 3;
}

void
worker_note_outcome (gl_sched_t *s, int i, uint64_t job, int failed)
{
  worker_t *w = &s->workers[i];
  gl_ms_t duration;

  if (!failed)
    {
      w->failed_jobs = 0;
      w->probations = 0;
      return;
    }
  /* Repeated failures of one job count once: its tasks may be at fault. */
  if (job == w->last_failed_job && w->failed_jobs)
    return;
  w->last_failed_job = job;
  if (++w->failed_jobs < PROBATION_FAILED_JOBS || many_on_probation (s))
    return;
  duration = (gl_ms_t)PROBATION_MS << (w->probations < 6 ? w->probations : 6);
  if (duration > PROBATION_MAX_MS)
    duration = PROBATION_MAX_MS;
  w->probations++;
  /* After this probation a single failure starts the next one. */
  w->failed_jobs = PROBATION_FAILED_JOBS - 1;
  w->probation_until = s->now + duration + jitter (s, duration / 4);
  s->counters.probations++;
  sched_log (s, "worker %s on probation for %llu ms", w->name,
             (unsigned long long)duration);
  worker_update_usable (s, i);
}
