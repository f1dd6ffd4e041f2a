/*
 * wcore.c -- model of a worker of the platform, for stand-ins and tests
 *
 * Each call first ends tasks whose lease has expired, so a call that was
 * delayed past the end of the lease cannot extend it.
 */
#include "wcore.h"

#include <stdlib.h>
#include <string.h>

void
wcore_boot (wcore_t *w, uint64_t boot)
{
  w->boot = boot;
  w->epoch = 0;
  w->lease_epoch = 0;
  w->not_after = 0;
  w->last_call = 0;
  w->seq = 0;
  w->ntasks = 0;
  memset (&w->used, 0, sizeof w->used);
}

static void
add_used (wcore_t *w, const gl_res_t *r, int sign)
{
  w->used.cpus_m += sign * r->cpus_m;
  w->used.memory_mb += sign * r->memory_mb;
  w->used.accels += sign * r->accels;
}

static void
end_task (wcore_t *w, wtask_t *t, gl_outcome_t outcome)
{
  add_used (w, &t->need, -1);
  t->state = GL_WT_ENDED;
  t->outcome = outcome;
  t->seq = ++w->seq;
}

void
wcore_tick (wcore_t *w, uint64_t clock)
{
  for (int i = 0; i < w->ntasks; i++)
    {
      wtask_t *t = &w->tasks[i];

      if (t->state != GL_WT_RUNNING)
        continue;
      if (clock >= w->not_after)
        end_task (w, t, GL_OUT_EXPIRED);
      else if (t->end_at && clock >= t->end_at)
        end_task (w, t, t->planned_outcome);
    }
}

static wtask_t *
find_attempt (wcore_t *w, const gl_taskref_t *r)
{
  for (int i = 0; i < w->ntasks; i++)
    if (w->tasks[i].ref.job == r->job && w->tasks[i].ref.index == r->index
        && w->tasks[i].ref.attempt == r->attempt)
      return &w->tasks[i];
  return NULL;
}

const wtask_t *
wcore_find_running (const wcore_t *w, uint64_t job, uint32_t index)
{
  for (int i = 0; i < w->ntasks; i++)
    if (w->tasks[i].ref.job == job && w->tasks[i].ref.index == index
        && w->tasks[i].state == GL_WT_RUNNING)
      return &w->tasks[i];
  return NULL;
}

/* Drop attempts that have ended and whose end is acknowledged. */
static void
drop_acknowledged (wcore_t *w, uint64_t ack_seq)
{
  int n = 0;

  for (int i = 0; i < w->ntasks; i++)
    if (w->tasks[i].state == GL_WT_RUNNING || w->tasks[i].seq > ack_seq)
      w->tasks[n++] = w->tasks[i];
  w->ntasks = n;
}

static wtask_t *
add_attempt (wcore_t *w, const gl_taskref_t *r)
{
  wtask_t *t;

  if (w->ntasks == WCORE_TASKS_MAX)
    return NULL;
  t = &w->tasks[w->ntasks++];
  memset (t, 0, sizeof *t);
  t->ref = *r;
  t->seq = ++w->seq;
  return t;
}

static int
is_overfilled (const wcore_t *w)
{
  return w->used.cpus_m > w->total.cpus_m
         || w->used.memory_mb > w->total.memory_mb
         || w->used.accels > w->total.accels;
}

/* Start an attempt unless it is known already; returns -1 if refused. */
static int
start_attempt (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
               const gl_start_t *s)
{
  uint64_t run_ms = 0;
  wtask_t *t = find_attempt (w, &s->task);

  if (t)
    return 0;
  if (clock >= call->not_after || !(t = add_attempt (w, &s->task)))
    {
      w->refused++;
      return -1;
    }
  t->need = s->need;
  t->state = GL_WT_RUNNING;
  t->started = clock;
  t->planned_outcome = GL_OUT_OK;
  w->plan (w->ctx, w, s, &run_ms, &t->planned_outcome);
  t->end_at = run_ms ? clock + run_ms : 0;
  add_used (w, &s->need, 1);
  w->starts++;
  w->overfilled += is_overfilled (w);
  return 0;
}

/* If the stop comes before the start, the attempt is added as ended, so that
   a start that arrives later has no effect. */
static void
stop_attempt (wcore_t *w, const gl_taskref_t *r)
{
  wtask_t *t = find_attempt (w, r);

  if (t && t->state == GL_WT_RUNNING)
    end_task (w, t, GL_OUT_STOPPED);
  else if (!t && (t = add_attempt (w, r)))
    {
      t->state = GL_WT_ENDED;
      t->outcome = GL_OUT_STOPPED;
    }
}

static void
add_to_reply (gl_wreply_t *reply, const wtask_t *t)
{
  gl_wtask_t *o = &reply->tasks.tasks_val[reply->tasks.tasks_len++];

  memset (o, 0, sizeof *o);
  o->task = t->ref;
  o->state = t->state;
  o->outcome = t->outcome;
  o->used_cpus_m = (u_int)t->need.cpus_m / 2;
  o->used_memory_mb = (u_int)t->need.memory_mb / 2;
}

static void
begin_reply (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
             gl_wreply_t *reply)
{
  memset (reply, 0, sizeof *reply);
  reply->epoch = w->epoch;
  reply->boot = w->boot;
  reply->clock = clock;
  reply->seq = w->seq;
  reply->total = w->total;
  reply->tasks.tasks_val = calloc (
      (size_t)w->ntasks + call->starts.starts_len + 1, sizeof (gl_wtask_t));
}

void
wcore_changes_reply (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
                     gl_wreply_t *reply)
{
  begin_reply (w, clock, call, reply);
  for (int i = 0; i < w->ntasks; i++)
    if (w->tasks[i].seq > call->seen_seq)
      add_to_reply (reply, &w->tasks[i]);
}

int
wcore_has_changes (const wcore_t *w, uint64_t seen_seq)
{
  return w->seq > seen_seq;
}

static void
take_lease (wcore_t *w, const gl_wcall_t *call)
{
  if (w->lease_epoch != call->epoch || call->not_after > w->not_after)
    w->not_after = call->not_after;
  w->lease_epoch = call->epoch;
}

/* Do the starts and stops of a call and report what changed.  Refused starts
   are reported too; only the first 256 starts can be. */
static void
run_call (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
          gl_wreply_t *reply)
{
  unsigned char refused[256] = { 0 };

  for (u_int i = 0; i < call->starts.starts_len; i++)
    if (start_attempt (w, clock, call, &call->starts.starts_val[i]) && i < 256)
      refused[i] = 1;
  for (u_int i = 0; i < call->stops.stops_len; i++)
    stop_attempt (w, &call->stops.stops_val[i]);
  wcore_changes_reply (w, clock, call, reply);
  for (u_int i = 0; i < call->starts.starts_len && i < 256; i++)
    if (refused[i])
      {
        wtask_t t = { 0 };
        t.ref = call->starts.starts_val[i].task;
        t.state = GL_WT_REFUSED;
        add_to_reply (reply, &t);
      }
}

void
wcore_call (wcore_t *w, uint64_t clock, const gl_wcall_t *call,
            gl_wreply_t *reply)
{
  int work = call->starts.starts_len || call->stops.stops_len;

  wcore_tick (w, clock);
  if (call->epoch > w->epoch)
    {
      w->epoch = call->epoch;
      w->last_call = 0;
    }
  if (call->epoch < w->epoch)
    {
      begin_reply (w, clock, call, reply);
      reply->status = GL_W_OLD_EPOCH;
    }
  else if (!call->boot)
    {
      gl_wcall_t all = *call;
      all.seen_seq = 0;
      wcore_changes_reply (w, clock, &all, reply);
      reply->full = 1;
    }
  else if (call->boot != w->boot)
    {
      begin_reply (w, clock, call, reply);
      reply->status = GL_W_OTHER_BOOT;
    }
  else if (work && call->call <= w->last_call)
    {
      begin_reply (w, clock, call, reply);
      reply->status = GL_W_STALE_CALL;
    }
  else
    {
      take_lease (w, call);
      drop_acknowledged (w, call->ack_seq);
      if (work)
        w->last_call = call->call;
      run_call (w, clock, call, reply);
    }
}
