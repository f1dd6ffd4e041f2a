/*
 * workers.c -- calls to workers, their leases, and what they report
 *
 * A worker may run tasks until an instant of its own clock that each call
 * carries.  The scheduler derives that instant from the worker's last
 * answer: the clock in the answer was at most the worker's clock when the
 * answer arrived, so "clock + (end - arrival)" is reached no later than
 * "end" on the scheduler's clock.  An instant, unlike a length, cannot be
 * stretched by a call that was delayed on its way; so the latest end ever
 * granted bounds everything the worker may still run, acknowledged or not.
 *
 * Two calls at most are out to a worker: one that it holds open until it
 * has news or the hold time is over, which also renews its lease, and one
 * that carries starts and stops.  After any failure only greetings are
 * sent; a greeting adopts the epoch, grants nothing, and brings the whole
 * list of tasks, against which the tables are then settled:
 *
 *   assigned under another boot          lost, the old process is gone
 *   listed as running                    running
 *   listed as ended                      ended
 *   running before and not listed now    lost
 *   start sent, not listed               sent again: same boot, never ran
 *   listed, but not in the tables        stopped
 *
 * A worker that stays silent past every lease it can hold has run out: its
 * tasks are lost and may be placed again.  A lease that an earlier owner
 * granted is bounded by the takeover plus that owner's grace, until the
 * worker has acknowledged the present epoch.
 */
#include "schedint.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

#define CALL_TIMEOUT_MS 1500
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 5000
/* Pause before starts and stops that the worker has heard are repeated. */
#define CMD_AGAIN_MS 250
/* Values of ncmd: nothing to send, something to repeat, something new. */
#define CMD_NONE 0
#define CMD_AGAIN 1
#define CMD_NEW 2
/* Period at which every worker is looked at. */
#define SWEEP_MS 200
#define STARTS_A_CALL 64
#define STRAYS_MAX 256
/* Failed attempts of different jobs in a row that put a worker on probation,
   and the share of workers, in percent, past which the cause is elsewhere. */
#define PROBATION_FAILS 3
#define PROBATION_MS 30000
#define PROBATION_MAX_MS 1800000
#define PROBATION_SHARE 30

int
worker_find (const gl_sched_t *s, const char *name)
{
  for (int i = 0; i < s->nworkers; i++)
    if (!strcmp (s->workers[i].name, name))
      return i;
  return -1;
}

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

/* Have one worker looked at in the next poll. */
static void
touch (gl_sched_t *s, int i)
{
  if (!s->workers[i].dirty)
    {
      s->workers[i].dirty = 1;
      s->dirty[s->ndirty++] = i;
    }
  timer_arm_before (&s->timers, s->t_workers, s->now);
}

/* Have all workers looked at in the next poll. */
static void
touch_all (gl_sched_t *s)
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
  touch (s, i);
}

/* ---- the platform's list ---- */

static void
move_rack (gl_sched_t *s, int i, int rack)
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

static void
list_one (gl_sched_t *s, const gl_vm_t *vm)
{
  int i = worker_add (s, vm->name);
  worker_t *w;
  int moved;

  if (i < 0)
    return;
  w = &s->workers[i];
  moved = strcmp (w->addr, vm->addr) != 0;
  w->listed = 1;
  w->leaving = vm->state == GL_VM_LEAVING;
  memcpy (w->addr, vm->addr, sizeof w->addr);
  if (strcmp (w->rack, vm->rack))
    {
      memcpy (w->rack, vm->rack, sizeof w->rack);
      move_rack (s, i, rack_index (s, w->rack));
    }
  if (moved)
    w->retry_at = s->now;
}

/* Services on a leaving worker move; finite work runs to its end. */
static void
drain (gl_sched_t *s, int i)
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
      list_one (s, &vms[k]);
  for (int i = 0; i < s->nworkers; i++)
    {
      worker_update_usable (s, i);
      if (s->role == ROLE_ACTIVE && s->workers[i].leaving)
        drain (s, i);
    }
  touch_all (s);
}

/* ---- calls out ---- */

static uint64_t
not_after (const worker_t *w, gl_ms_t end)
{
  return w->clock + (end - w->clock_at);
}

static void
send_call (gl_sched_t *s, int i, worker_call_t *lane, gl_wcall_t *call,
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
  lane->id = s->last_call;
  lane->sent = s->now;
  lane->has_lease = call->boot != 0;
  s->counters.worker_calls++;
  s->counters.worker_bytes += e->len;
}

/* Latest instant, on our clock, at which a renewal may still be sent. */
static gl_ms_t
renew_until (const gl_sched_t *s)
{
  return s->lease.end + s->opts.grace;
}

static void
grant (gl_sched_t *s, worker_t *w, gl_wcall_t *call)
{
  gl_ms_t end = s->now + s->opts.worker_lease;

  call->boot = w->boot;
  call->not_after = not_after (w, end);
  end += drift_margin (s, end - w->clock_at);
  if (end > w->lease_end)
    w->lease_end = end;
}

static void
send_greeting (gl_sched_t *s, int i)
{
  gl_wcall_t call = { 0 };

  send_call (s, i, &s->workers[i].command, &call, CALL_TIMEOUT_MS,
             renew_until (s));
}

static void
send_hold (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];
  gl_wcall_t call = { 0 };

  grant (s, w, &call);
  /* Spread, so that workers greeted together are not renewed together. */
  call.hold_ms = (u_int)(s->opts.hold * 3 / 4 + jitter (s, s->opts.hold / 4));
  send_call (s, i, &w->long_poll, &call, call.hold_ms + CALL_TIMEOUT_MS,
             renew_until (s));
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

/* Send what waits for this worker: starts to confirm, stops, strays. */
static void
send_cmd (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];
  gl_start_t starts[STARTS_A_CALL];
  gl_taskref_t stops[STARTS_A_CALL + STRAYS_MAX];
  gl_wcall_t call = { 0 };
  int more = CMD_NONE;

  for (int k = 0; k < w->ntasks; k++)
    {
      task_t *t = task_get (s, w->tasks[k]);
      int start = t->state == TASK_STARTING
                  || (FAULT (FAULT_START_BEFORE_COMMIT)
                      && t->state == TASK_ASSIGNED);

      if (start && !lease_held (s))
        more = CMD_AGAIN;
      else if (start && call.starts.starts_len < STARTS_A_CALL)
        fill_start (s, w->tasks[k], &starts[call.starts.starts_len++]);
      else if (t->state == TASK_STOPPING
               && call.stops.stops_len < STARTS_A_CALL)
        fill_stop (s, w->tasks[k], &stops[call.stops.stops_len++]);
    }
  for (int k = 0; k < w->nstrays; k++)
    stops[call.stops.stops_len++] = w->strays[k];
  w->nstrays = 0;
  w->command_state = more;
  if (!call.starts.starts_len && !call.stops.stops_len)
    {
      w->retry_at = s->now + RETRY_MIN_MS;
      return;
    }
  call.starts.starts_val = starts;
  call.stops.stops_val = stops;
  grant (s, w, &call);
  send_call (s, i, &w->command, &call, CALL_TIMEOUT_MS,
             call.starts.starts_len ? s->lease.end : renew_until (s));
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
      sched_log (s, "worker %s silent", w->name);
      worker_update_usable (s, i);
    }
  w->retry_at = s->now + w->backoff / 2 + jitter (s, w->backoff);
  if (w->backoff < RETRY_MAX_MS)
    w->backoff *= 2;
}

/* ---- running out ---- */

/* After this instant nothing that was granted before can be running. */
static gl_ms_t
bound (const gl_sched_t *s, const worker_t *w)
{
  if (FAULT (FAULT_NO_RUN_OUT))
    return 0;
  if (w->lease_acked || FAULT (FAULT_NO_INHERITED_BOUND))
    return w->lease_end;
  return w->lease_end > w->prior_lease_end ? w->lease_end : w->prior_lease_end;
}

static void
run_out (gl_sched_t *s, int i)
{
  worker_t *w = &s->workers[i];

  sched_log (s, "worker %s ran out, %d tasks lost", w->name, w->ntasks);
  while (w->ntasks)
    task_end_recorded (s, w->tasks[w->ntasks - 1], GL_OUT_LOST);
}

static void
poll_one (gl_sched_t *s, int i)
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
            send_greeting (s, i);
        }
      else
        {
          if (!w->long_poll.id)
            send_hold (s, i);
          if (!w->command.id && w->command_state && w->retry_at <= s->now)
            send_cmd (s, i);
        }
    }
  if (w->ntasks && w->state != WORKER_READY && bound (s, w) < s->now)
    run_out (s, i);
}

/* Workers with news are looked at at once, all others at each sweep, so
   that a start costs the same whatever the number of workers. */
void
workers_poll (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;

  if (s->role != ROLE_ACTIVE)
    return;
  for (int k = 0; k < s->ndirty; k++)
    {
      s->workers[s->dirty[k]].dirty = 0;
      poll_one (s, s->dirty[k]);
    }
  s->ndirty = 0;
  if (now >= s->next_sweep)
    {
      s->next_sweep = now + SWEEP_MS;
      for (int i = 0; i < s->nworkers; i++)
        poll_one (s, i);
    }
  timer_arm_before (&s->timers, s->t_workers, s->next_sweep);
}

/* ---- answers ---- */

static void
add_stray (gl_sched_t *s, int i, const gl_taskref_t *r)
{
  worker_t *w = &s->workers[i];

  if (!w->strays)
    w->strays = calloc (STRAYS_MAX, sizeof *w->strays);
  if (!w->strays || w->nstrays == STRAYS_MAX)
    return;
  w->strays[w->nstrays++] = *r;
  s->counters.strays++;
  worker_wake (s, i);
}

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

static void
take_entry (gl_sched_t *s, int i, const gl_wtask_t *e, uint64_t boot)
{
  task_handle_t ref;
  task_t *t = task_find_attempt (s, &e->task, i, &ref);

  if (!t || t->boot != boot)
    {
      if (e->state == GL_WT_RUNNING)
        add_stray (s, i, &e->task);
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
listed (const gl_wreply_t *r, uint64_t job, uint32_t index, uint32_t attempt)
{
  for (u_int k = 0; k < r->tasks.tasks_len; k++)
    {
      const gl_taskref_t *t = &r->tasks.tasks_val[k].task;
      if (t->job == job && t->index == index && t->attempt == attempt)
        return 1;
    }
  return 0;
}

/* Settle the tables against the whole list of a greeting; see above. */
static void
settle (gl_sched_t *s, int i, const gl_wreply_t *r)
{
  worker_t *w = &s->workers[i];

  for (int k = w->ntasks - 1; k >= 0; k--)
    {
      task_handle_t ref = w->tasks[k];
      job_t *j = pool_get (&s->jobs, ref.job);
      task_t *t = &j->tasks[ref.index];

      if ((t->boot != r->boot && !FAULT (FAULT_SKIP_BOOT_CHECK))
          || (t->confirmed && !listed (r, j->id, ref.index, t->attempt)))
        task_end_recorded (s, ref, GL_OUT_LOST);
    }
  w->boot = r->boot;
  w->seen_seq = 0;
  w->ack_seq = 0;
  w->state = WORKER_READY;
  w->backoff = RETRY_MIN_MS;
  w->retry_at = s->now;
  /* Whatever was out before the greeting has been settled by it. */
  w->command_state = CMD_AGAIN;
}

/* The worker may forget what it has told once that is written. */
static void
gate_ack (gl_sched_t *s, int i, uint64_t seq)
{
  deferred_t g = { .kind = DEFER_ACK, .worker = i, .seq = seq };

  journal_defer (s, &g);
}

static void
take_reply (gl_sched_t *s, int i, const worker_call_t *call,
            const gl_wreply_t *r)
{
  worker_t *w = &s->workers[i];

  w->clock = r->clock;
  w->clock_at = s->now;
  if (call->has_lease)
    w->lease_acked = 1;
  if (r->full)
    settle (s, i, r);
  /* An answer overtaken by a later one has nothing new to tell. */
  for (u_int k = 0; r->seq >= w->seen_seq && k < r->tasks.tasks_len; k++)
    take_entry (s, i, &r->tasks.tasks_val[k], r->boot);
  if (r->seq > w->seen_seq)
    {
      w->seen_seq = r->seq;
      gate_ack (s, i, r->seq);
    }
  if (r->full || memcmp (&w->total, &r->total, sizeof w->total))
    {
      w->total = r->total;
      worker_update_usable (s, i);
    }
}

static void
take_status (gl_sched_t *s, int i, const worker_call_t *call,
             const gl_wreply_t *r)
{
  worker_t *w = &s->workers[i];

  switch (r->status)
    {
    case GL_W_OK:
      if (!r->full && (w->state != WORKER_READY || r->boot != w->boot))
        break;
      take_reply (s, i, call, r);
      break;
    case GL_W_OLD_EPOCH:
      /* Someone else owns the domain; the record will tell. */
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
      w->command_state = CMD_AGAIN;
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
      w->retry_at = s->now + (w->command_state == CMD_NEW ? 0 : CMD_AGAIN_MS);
      w->command_state = CMD_AGAIN;
    }
  else
    return;
  if (ev->u.worker.status == GL_CALL_ANSWERED)
    take_status (s, i, &call, ev->u.worker.reply);
  else
    call_failed (s, i);
  touch (s, i);
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
      w->nstrays = 0;
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

/* ---- blame ---- */

static int
many_on_probation (const gl_sched_t *s)
{
  int n = 0;

  for (int i = 0; i < s->nworkers; i++)
    n += s->workers[i].probation_until > s->now;
  return (n + 1) * 100 > s->nworkers * PROBATION_SHARE && s->nworkers > 3;
}

void
worker_note_outcome (gl_sched_t *s, int i, uint64_t job, int failed)
{
  worker_t *w = &s->workers[i];
  gl_ms_t span;

  if (!failed)
    {
      w->failed_jobs = 0;
      w->probations = 0;
      return;
    }
  /* A job that always fails counts once, however often it is tried. */
  if (job == w->last_failed_job && w->failed_jobs)
    return;
  w->last_failed_job = job;
  if (++w->failed_jobs < PROBATION_FAILS || many_on_probation (s))
    return;
  span = (gl_ms_t)PROBATION_MS << (w->probations < 6 ? w->probations : 6);
  if (span > PROBATION_MAX_MS)
    span = PROBATION_MAX_MS;
  w->probations++;
  /* One more failure after the pause is enough to come back here. */
  w->failed_jobs = PROBATION_FAILS - 1;
  w->probation_until = s->now + span + jitter (s, span / 4);
  s->counters.probations++;
  sched_log (s, "worker %s on probation for %llu ms", w->name,
             (unsigned long long)span);
  worker_update_usable (s, i);
}
