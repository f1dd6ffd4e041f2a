/*
 * drive.c -- drives one scheduler in virtual time, with a store and workers
 * that always answer
 *
 * Calls to workers and their replies are encoded, so that the bytes counted
 * are those that the daemons would send.
 */
#include "drive.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "codec.h"
#include "conf.h"

/* Kinds of drive_event_t: the result of a call to the store, the arrival of a
   call at a worker, the arrival of its reply, and the time at which a worker
   has to end an attempt or answer a long poll. */
#define EV_STORE 1
#define EV_CALL 2
#define EV_REPLY 3
#define EV_WAKE 4

static void step (drive_t *d, const gl_event_t *ev);

/* ---- queue of events ---- */

static int
before (const drive_event_t *a, const drive_event_t *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
push (drive_t *d, drive_event_t e)
{
  size_t i = d->heap_len++;

  if (d->heap_len > d->heap_cap)
    {
      d->heap_cap = d->heap_cap ? 2 * d->heap_cap : 1024;
      d->heap = realloc (d->heap, d->heap_cap * sizeof *d->heap);
      if (!d->heap)
        abort ();
    }
  e.sequence = ++d->last_sequence;
  while (i && before (&e, &d->heap[(i - 1) / 2]))
    {
      d->heap[i] = d->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  d->heap[i] = e;
}

static drive_event_t
pop (drive_t *d)
{
  drive_event_t top = d->heap[0];
  drive_event_t last = d->heap[--d->heap_len];
  size_t i = 0;

  for (;;)
    {
      size_t c = 2 * i + 1;
      if (c >= d->heap_len)
        break;
      if (c + 1 < d->heap_len && before (&d->heap[c + 1], &d->heap[c]))
        c++;
      if (before (&last, &d->heap[c]))
        break;
      d->heap[i] = d->heap[c];
      i = c;
    }
  d->heap[i] = last;
  return top;
}

/* ---- the store ---- */

static void
call_store (drive_t *d, gl_effect_t *e)
{
  drive_event_t ev = { .at = d->now + DRIVE_STORE_DELAY_MS,
                       .kind = EV_STORE,
                       .id = e->u.store.tag };

  if (d->store_down)
    {
      d->store_gets++;
      ev.status = GL_ST_REFUSED;
    }
  else if (e->kind == GL_FX_STORE_GET)
    {
      kv_entry_t *k = kv_get (&d->kv, e->u.store.key, 0);

      d->store_gets++;
      ev.status = k ? GL_ST_OK : GL_ST_ABSENT;
      if (k)
        {
          ev.index = k->index;
          ev.len = k->len;
          ev.data = malloc (k->len + 1);
          memcpy (ev.data, k->data, k->len);
        }
      d->store_bytes += strlen (e->u.store.key) + ev.len;
    }
  else
    {
      d->store_puts++;
      d->store_bytes += strlen (e->u.store.key) + e->len;
      ev.index = kv_cas (&d->kv, e->u.store.key, e->u.store.index, e->data,
                         e->len, 0, 0);
      ev.status = ev.index ? GL_ST_OK : GL_ST_CONFLICT;
    }
  push (d, ev);
}

/* ---- workers ---- */

static void
send_reply (drive_t *d, uint32_t w, uint32_t call, gl_wreply_t *r)
{
  drive_event_t ev = {
    .at = d->now + DRIVE_NET_DELAY_MS, .kind = EV_REPLY, .id = w, .call = call
  };

  ev.data = codec_encode ((xdrproc_t)xdr_gl_wreply_t, r, &ev.len);
  d->worker_bytes += ev.len;
  codec_free ((xdrproc_t)xdr_gl_wreply_t, r);
  push (d, ev);
}

/* Answer the worker's long poll if it is due or an attempt has changed. */
static void
answer_long_poll (drive_t *d, uint32_t w)
{
  drive_long_poll_t *h = &d->long_polls[w];
  gl_wreply_t r = { 0 };
  gl_wcall_t call = { 0 };

  if (!h->open
      || (d->now < h->until
          && !wcore_has_changes (d->workers[w], h->seen_seq)))
    return;
  h->open = 0;
  call.seen_seq = h->seen_seq;
  wcore_changes_reply (d->workers[w], d->now, &call, &r);
  send_reply (d, w, h->call, &r);
}

/* Schedule an EV_WAKE event for the worker's next end of an attempt. */
static void
schedule_wake (drive_t *d, uint32_t w)
{
  const wcore_t *c = d->workers[w];
  gl_ms_t next = UINT64_MAX;

  for (int i = 0; i < c->ntasks; i++)
    if (c->tasks[i].state == GL_WT_RUNNING && c->tasks[i].end_at
        && c->tasks[i].end_at < next)
      next = c->tasks[i].end_at;
  if (next == UINT64_MAX || next == d->wake_at[w])
    return;
  d->wake_at[w] = next;
  push (d, (drive_event_t){ .at = next, .kind = EV_WAKE, .id = w });
}

static void
on_call (drive_t *d, const drive_event_t *ev)
{
  wcore_t *c = d->workers[ev->id];
  drive_long_poll_t *h = &d->long_polls[ev->id];
  gl_wcall_t call = { 0 };
  gl_wreply_t r = { 0 };

  if (codec_decode ((xdrproc_t)xdr_gl_wcall_t, &call, ev->data, ev->len))
    abort ();
  wcore_call (c, d->now, &call, &r);
  if (call.hold_ms && r.status == GL_W_OK
      && !wcore_has_changes (c, call.seen_seq))
    {
      *h = (drive_long_poll_t){ 1, ev->call, d->now + call.hold_ms,
                                call.seen_seq, call.epoch };
      codec_free ((xdrproc_t)xdr_gl_wreply_t, &r);
      push (d,
            (drive_event_t){ .at = h->until, .kind = EV_WAKE, .id = ev->id });
    }
  else
    send_reply (d, ev->id, ev->call, &r);
  codec_free ((xdrproc_t)xdr_gl_wcall_t, &call);
  answer_long_poll (d, ev->id);
  schedule_wake (d, ev->id);
}

static void
on_reply (drive_t *d, const drive_event_t *e)
{
  gl_wreply_t r = { 0 };
  gl_event_t ev = { .kind = GL_EV_WORKER };

  if (codec_decode ((xdrproc_t)xdr_gl_wreply_t, &r, e->data, e->len))
    abort ();
  ev.u.worker.worker = e->id;
  ev.u.worker.call = e->call;
  ev.u.worker.status = GL_CALL_ANSWERED;
  ev.u.worker.reply = &r;
  step (d, &ev);
  codec_free ((xdrproc_t)xdr_gl_wreply_t, &r);
}

static void
on_wake (drive_t *d, uint32_t w)
{
  wcore_tick (d->workers[w], d->now);
  answer_long_poll (d, w);
  d->wake_at[w] = 0;
  schedule_wake (d, w);
}

static void
plan_attempt (void *ctx, const wcore_t *w, const gl_start_t *s,
              uint64_t *run_ms, gl_outcome_t *planned_outcome)
{
  drive_t *d = ctx;

  *run_ms = d->run_time (d->ctx, s);
  *planned_outcome
      = d->fails && d->fails (d->ctx, w->name, s) ? GL_OUT_FAILED : GL_OUT_OK;
}

/* ---- steps of the scheduler ---- */

static void
run_effect (drive_t *d, gl_effect_t *e)
{
  switch (e->kind)
    {
    case GL_FX_STORE_GET:
    case GL_FX_STORE_CAS:
      call_store (d, e);
      break;
    case GL_FX_WORKER:
      d->worker_calls++;
      d->worker_bytes += e->len;
      push (d, (drive_event_t){ .at = d->now + DRIVE_NET_DELAY_MS,
                                .kind = EV_CALL,
                                .id = (uint32_t)atoi (e->u.worker.addr),
                                .call = e->u.worker.call,
                                .data = e->data,
                                .len = e->len });
      e->data = NULL;
      break;
    case GL_FX_ANSWER:
      if (e->u.answer.code == GL_OK)
        d->accepted++;
      else
        d->refused++;
      break;
    default:
      break;
    }
}

static uint64_t
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (uint64_t)t.tv_sec * 1000000000ULL + (uint64_t)t.tv_nsec;
}

static void
step (drive_t *d, const gl_event_t *ev)
{
  gl_effects_t fx = { 0 };
  uint64_t start_ns = d->on_step ? now_ns () : 0;

  gl_sched_step (d->s, ev, d->now, &fx);
  if (d->on_step)
    d->on_step (d->ctx, ev, now_ns () - start_ns);
  for (size_t i = 0; i < fx.n; i++)
    run_effect (d, &fx.v[i]);
  gl_effects_free (&fx);
}

static void
process_event (drive_t *d, drive_event_t *e)
{
  gl_event_t ev = { .kind = GL_EV_STORE };

  switch (e->kind)
    {
    case EV_STORE:
      ev.u.store.tag = e->id;
      ev.u.store.status = (gl_store_status_t)e->status;
      ev.u.store.index = e->index;
      ev.u.store.data = e->data;
      ev.u.store.len = e->len;
      step (d, &ev);
      break;
    case EV_CALL:
      on_call (d, e);
      break;
    case EV_REPLY:
      on_reply (d, e);
      break;
    default:
      on_wake (d, e->id);
    }
  free (e->data);
}

void
drive_run_until (drive_t *d, gl_ms_t when)
{
  for (;;)
    {
      gl_ms_t due = gl_sched_due (d->s);
      gl_ms_t next = d->heap_len ? d->heap[0].at : UINT64_MAX;
      gl_event_t ev = { .kind = GL_EV_TICK };

      if (due > when && next > when)
        break;
      if (next <= due)
        {
          drive_event_t e = pop (d);
          if (e.at > d->now)
            d->now = e.at;
          process_event (d, &e);
        }
      else
        {
          if (due > d->now)
            d->now = due;
          step (d, &ev);
          /* A timer that stays due must not stop virtual time. */
          if (gl_sched_due (d->s) <= d->now)
            d->now++;
        }
    }
  if (when > d->now)
    d->now = when;
}

void
drive_submit (drive_t *d, uint64_t id, gl_class_t cls, int team,
              uint32_t tasks, gl_res_t need, uint32_t runtime_s)
{
  char name[32];
  char team_name[16];
  gl_jobspec_t p = { 0 };
  gl_event_t ev = { .kind = GL_EV_SUBMIT };

  snprintf (name, sizeof name, "j%llu", (unsigned long long)id);
  snprintf (team_name, sizeof team_name, "t%d", team);
  p.name = name;
  p.team = team_name;
  p.cls = cls;
  p.tasks = tasks;
  p.need = need;
  p.runtime_s = runtime_s;
  p.max_attempts = 5;
  ev.u.submit.token = id;
  ev.u.submit.job = id;
  ev.u.submit.spec = &p;
  step (d, &ev);
}

int
drive_running_tasks (const drive_t *d)
{
  int n = 0;

  for (int w = 0; w < d->nworkers; w++)
    for (int i = 0; i < d->workers[w]->ntasks; i++)
      n += d->workers[w]->tasks[i].state == GL_WT_RUNNING;
  return n;
}

/* ---- creation and release ---- */

/* Send the scheduler a configuration whose quotas are too large to limit
   anything. */
static void
configure (drive_t *d, int teams)
{
  size_t size = (size_t)teams * 96 + 256;
  char *text = malloc (size);
  size_t n = (size_t)snprintf (text, size, "[policy]\nageing_s = 300\n");
  char err[CONF_ERROR_LEN];
  gl_conf_t c;
  gl_event_t ev = { .kind = GL_EV_CONF, .u.conf = &c };

  for (int i = 0; i < teams; i++)
    n += (size_t)snprintf (
        text + n, size - n,
        "[team t%d]\ncpus = 99999\nmemory_gb = 999999\naccels = 99999\n", i);
  if (conf_parse (&c, text, NULL, err))
    {
      fprintf (stderr, "drive: %s\n", err);
      abort ();
    }
  c.revision = 1;
  step (d, &ev);
  conf_destroy (&c);
  free (text);
}

/* Create the workers and send the scheduler the list of their VMs.  A worker's
   address is its number, from which run_effect finds it. */
static void
create_workers (drive_t *d, const drive_worker_group_t *groups, int ngroups)
{
  gl_vm_t *vms = calloc ((size_t)d->nworkers + 1, sizeof *vms);
  gl_event_t ev = { .kind = GL_EV_VMS };
  int k = 0;

  for (int g = 0; g < ngroups; g++)
    for (int i = 0; i < groups[g].count; i++, k++)
      {
        wcore_t *c = calloc (1, sizeof *c);

        snprintf (c->name, sizeof c->name, "w%d", k);
        c->total = groups[g].total;
        c->plan = plan_attempt;
        c->ctx = d;
        wcore_boot (c, (uint64_t)k + 1);
        d->workers[k] = c;
        snprintf (vms[k].name, sizeof vms[k].name, "w%d", k);
        snprintf (vms[k].role, sizeof vms[k].role, "worker");
        snprintf (vms[k].domain, sizeof vms[k].domain, "d1");
        snprintf (vms[k].rack, sizeof vms[k].rack, "r%d",
                  k / groups[g].per_rack);
        snprintf (vms[k].addr, sizeof vms[k].addr, "%d", k);
      }
  ev.u.vms.vms = vms;
  ev.u.vms.n = (size_t)d->nworkers;
  step (d, &ev);
  free (vms);
}

drive_t *
drive_new (const drive_worker_group_t *groups, int ngroups, int teams,
           gl_policy_t policy, drive_run_time_fn_t run_time, void *ctx)
{
  drive_t *d = calloc (1, sizeof *d);
  gl_sched_opts_t o = { .node = "vm0",
                        .domain = "d1",
                        .rpc = "127.0.0.1:1",
                        .seed = 1,
                        .policy = policy };

  if (!d)
    abort ();
  for (int g = 0; g < ngroups; g++)
    d->nworkers += groups[g].count;
  d->workers = calloc ((size_t)d->nworkers, sizeof *d->workers);
  d->long_polls = calloc ((size_t)d->nworkers, sizeof *d->long_polls);
  d->wake_at = calloc ((size_t)d->nworkers, sizeof *d->wake_at);
  d->run_time = run_time;
  d->ctx = ctx;
  d->now = 1000;
  d->s = gl_sched_new (&o, d->now);
  if (!d->workers || !d->long_polls || !d->wake_at || !d->s)
    abort ();
  configure (d, teams);
  create_workers (d, groups, ngroups);
  drive_run_until (d, d->now + 10000);
  if (!gl_sched_active (d->s, NULL))
    abort ();
  return d;
}

void
drive_free (drive_t *d)
{
  gl_sched_free (d->s);
  for (int i = 0; i < d->nworkers; i++)
    free (d->workers[i]);
  while (d->heap_len)
    free (pop (d).data);
  free (d->workers);
  free (d->long_polls);
  free (d->wake_at);
  free (d->heap);
  kv_destroy (&d->kv);
  free (d);
}
