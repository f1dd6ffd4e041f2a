/*
 * journal.c -- the log of a domain in the key-value service
 *
 * Commit n lives under the key log/(n mod RING_SLOTS).  Slots are only ever
 * overwritten by compare-and-swap against the index that the writer knows,
 * never deleted.  A new owner reads up to the last commit n and must first
 * write commit n + 1 itself, the takeover.  From then on a former owner's
 * write of n + 1 fails: either its index is out of date, or it reads the
 * slot first and finds a later epoch.  So a former owner cannot commit, and
 * it needs no clock to be stopped.
 *
 * While one commit is being written the next one gathers records (group
 * commit).  Gates hold back what a record permits until it is written: the
 * answer to an operator, the start of a task, the acknowledgement that lets
 * a worker forget an ended one.
 *
 * A lost answer is settled by reading the slot: our own commit there means
 * success; the former content means it can be written again, unchanged and
 * against the same index, so that at most one of the two writes lands.
 */
#include "schedint.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Pause before an operation that failed is repeated. */
#define REDO_MS 200

static uint32_t
slot_of (uint64_t seq)
{
  return (uint32_t)(seq % RING_SLOTS);
}

static void
slot_key (char *key, size_t size, uint64_t seq)
{
  snprintf (key, size, "log/%u", slot_of (seq));
}

/* ---- pending records and gates ---- */

static int
grow (void **v, size_t n, size_t *cap, size_t size)
{
  void *q;
  size_t want;

  if (n < *cap)
    return 0;
  want = *cap ? 2 * *cap : 64;
  q = realloc (*v, want * size);
  if (!q)
    return -1;
  *v = q;
  *cap = want;
  return 0;
}

void
journal_add (gl_sched_t *s, const gl_rec_t *rec)
{
  recs_t *r = &s->log.pending;

  /* A record that cannot be kept would break every promise at once. */
  if (grow ((void **)&r->v, r->n, &r->cap, sizeof *r->v))
    abort ();
  r->v[r->n++] = *rec;
  timer_arm_before (&s->timers, s->t_commit,
                    s->log.last_cut + s->opts.commit_gap > s->now
                        ? s->log.last_cut + s->opts.commit_gap
                        : s->now);
}

static void
gates_add (gates_t *g, const gate_t *gate)
{
  if (grow ((void **)&g->v, g->n, &g->cap, sizeof *g->v))
    abort ();
  g->v[g->n++] = *gate;
}

static void
pass_gate (gl_sched_t *s, const gate_t *g)
{
  task_t *t;

  switch (g->kind)
    {
    case GATE_TOKEN:
      sched_answer (s, g->token, GL_OK, g->job, 0, NULL);
      if (FAULT (FAULT_ANSWER_TWICE))
        sched_answer (s, g->token, GL_OK, g->job, 0, NULL);
      break;
    case GATE_START:
      t = task_at (s, g->task);
      if (t && t->attempt == g->attempt && t->state == TASK_ASSIGNED)
        {
          t->state = TASK_STARTING;
          worker_wake (s, t->worker);
        }
      break;
    case GATE_ACK:
      if (g->seq > s->workers[g->worker].ack_seq
          && s->workers[g->worker].boot == g->job)
        s->workers[g->worker].ack_seq = g->seq;
      break;
    }
}

void
journal_gate (gl_sched_t *s, const gate_t *gate)
{
  gate_t g = *gate;

  if (g.kind == GATE_ACK)
    g.job = s->workers[g.worker].boot;
  g.since = s->now;
  g.after = s->log.pending.n;
  if (s->log.pending.n)
    gates_add (&s->log.gates, &g);
  else if (s->log.data)
    gates_add (&s->log.flying, &g);
  else
    pass_gate (s, &g);
}

int
journal_idle (const gl_sched_t *s)
{
  return !s->log.pending.n && !s->log.data;
}

int
journal_full (const gl_sched_t *s)
{
  return s->log.pending.n > PENDING_MAX;
}

int
journal_stuck (const gl_sched_t *s)
{
  return s->log.data && s->now > s->log.since + TOKEN_MS / 2;
}

static void
expire_gates (gl_sched_t *s, gates_t *g)
{
  for (size_t i = 0; i < g->n; i++)
    if (g->v[i].kind == GATE_TOKEN && g->v[i].token
        && s->now >= g->v[i].since + TOKEN_MS)
      {
        sched_answer (s, g->v[i].token, GL_UNKNOWN, g->v[i].job,
                      RETRY_STORE_MS, "written or not: ask again");
        g->v[i].token = 0;
      }
}

void
journal_expire (gl_sched_t *s)
{
  expire_gates (s, &s->log.gates);
  expire_gates (s, &s->log.flying);
}

static void
drop_gates (gl_sched_t *s, gates_t *g)
{
  for (size_t i = 0; i < g->n; i++)
    if (g->v[i].kind == GATE_TOKEN)
      sched_answer (s, g->v[i].token, GL_UNKNOWN, g->v[i].job, RETRY_OWNER_MS,
                    "the owner has changed: ask again");
  g->n = 0;
}

static void
drop_recs (recs_t *r)
{
  for (size_t i = 0; i < r->n; i++)
    codec_free ((xdrproc_t)xdr_gl_rec_t, &r->v[i]);
  r->n = 0;
}

void
journal_reset (gl_sched_t *s)
{
  log_t *l = &s->log;

  drop_recs (&l->pending);
  drop_gates (s, &l->gates);
  drop_gates (s, &l->flying);
  free (l->data);
  l->data = NULL;
  l->op_out = 0;
  l->seq = 0;
  l->base_seq = 0;
  l->base_index = 0;
  l->base_slot = 0;
  l->base_chunks = 0;
  l->base_bytes = 0;
  l->base_fenced = 0;
  l->bytes_since_snap = 0;
  memset (l->index, 0, sizeof l->index);
  memset (l->absent, 0, sizeof l->absent);
}

/* ---- writing ---- */

static void
read_slot (gl_sched_t *s, uint64_t seq)
{
  char key[32];

  slot_key (key, sizeof key, seq);
  s->log.op_out = 1;
  store_get (s, OP_LOG_GET, key);
}

static void
write_slot (gl_sched_t *s)
{
  log_t *l = &s->log;
  uint32_t slot = slot_of (l->seq + 1);
  char *copy;
  char key[32];

  if (!l->index[slot] && !l->absent[slot])
    {
      read_slot (s, l->seq + 1);
      return;
    }
  copy = malloc (l->len);
  if (!copy)
    return;
  memcpy (copy, l->data, l->len);
  slot_key (key, sizeof key, l->seq + 1);
  l->op_out = 1;
  store_cas (s, OP_LOG_CAS, key, l->index[slot], copy, l->len);
}

static int
same_assign (const gl_rec_t *a, const gl_rec_t *b)
{
  return a->kind == GL_REC_ASSIGN && b->kind == GL_REC_ASSIGN
         && a->gl_rec_t_u.assign.task.job == b->gl_rec_t_u.assign.task.job;
}

/* How many pending records the next commit takes. */
static size_t
commit_size (const recs_t *r)
{
  size_t n = r->n < COMMIT_RECORDS ? r->n : COMMIT_RECORDS;

  while (n < r->n && same_assign (&r->v[n - 1], &r->v[n]))
    n++;
  return n;
}

static void
shift_recs (recs_t *r, size_t n)
{
  for (size_t i = 0; i < n; i++)
    codec_free ((xdrproc_t)xdr_gl_rec_t, &r->v[i]);
  memmove (r->v, r->v + n, (r->n - n) * sizeof *r->v);
  r->n -= n;
}

/* Gates of the first @n records go with them. */
static void
shift_gates (log_t *l, size_t n)
{
  size_t kept = 0;

  l->flying.n = 0;
  for (size_t i = 0; i < l->gates.n; i++)
    if (l->gates.v[i].after <= n)
      gates_add (&l->flying, &l->gates.v[i]);
    else
      {
        l->gates.v[kept] = l->gates.v[i];
        l->gates.v[kept++].after -= n;
      }
  l->gates.n = kept;
}

static void
cut (gl_sched_t *s)
{
  log_t *l = &s->log;
  gl_batch_t b = { 0 };
  size_t n = commit_size (&l->pending);

  b.epoch = s->epoch;
  b.seq = l->seq + 1;
  b.recs.recs_len = (u_int)n;
  b.recs.recs_val = l->pending.v;
  l->data = codec_encode ((xdrproc_t)xdr_gl_batch_t, &b, &l->len);
  if (!l->data)
    abort ();
  shift_recs (&l->pending, n);
  shift_gates (l, n);
  l->last_cut = s->now;
  l->since = s->now;
  /* Memory is ahead of the log while records are left over. */
  if (s->role == ROLE_ACTIVE && !l->pending.n)
    snap_due (s, l->seq + 1);
  write_slot (s);
}

static int
ring_full (const gl_sched_t *s)
{
  return s->log.seq + 1 - s->log.base_seq >= RING_SLOTS;
}

void
journal_flush (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;
  log_t *l = &s->log;

  if (l->op_out)
    return;
  if (s->role == ROLE_LOADING)
    snap_resume (s);
  if (s->role != ROLE_ACTIVE && s->role != ROLE_TAKING)
    return;
  if (l->data)
    {
      write_slot (s);
      return;
    }
  if (!l->pending.n)
    return;
  if (ring_full (s))
    {
      snap_push (s);
      timer_arm (&s->timers, s->t_commit, now + REDO_MS);
      return;
    }
  cut (s);
}

static void
redo_later (gl_sched_t *s)
{
  timer_arm (&s->timers, s->t_commit,
             s->now + REDO_MS / 2 + jitter (s, REDO_MS));
}

static void
committed (gl_sched_t *s, uint64_t index)
{
  log_t *l = &s->log;
  gates_t g = l->flying;

  l->seq++;
  l->index[slot_of (l->seq)] = index;
  l->absent[slot_of (l->seq)] = 0;
  l->bytes_since_snap += l->len;
  s->c.commits++;
  s->c.commit_bytes += l->len;
  hist_add (&s->commit_time, (double)(s->now - l->since));
  free (l->data);
  l->data = NULL;
  memset (&l->flying, 0, sizeof l->flying);
  if (s->role == ROLE_TAKING)
    {
      snap_due (s, l->seq);
      lease_taken (s);
    }
  for (size_t i = 0; i < g.n; i++)
    pass_gate (s, &g.v[i]);
  free (g.v);
  snap_push (s);
  if (l->pending.n)
    timer_arm_before (&s->timers, s->t_commit,
                      l->last_cut + s->opts.commit_gap > s->now
                          ? l->last_cut + s->opts.commit_gap
                          : s->now);
}

/* ---- reading ---- */

/* The slot of the commit in flight was read, after doubt or for its index. */
static void
judge_slot (gl_sched_t *s, const gl_event_t *ev, const gl_batch_t *b)
{
  log_t *l = &s->log;
  uint32_t slot = slot_of (l->seq + 1);

  if (b && b->epoch == s->epoch && b->seq == l->seq + 1)
    {
      committed (s, ev->u.store.index);
      return;
    }
  if (b && b->epoch > s->epoch)
    {
      lease_lost (s, "the log goes on at a later epoch");
      return;
    }
  if (b && b->seq == l->seq + 1)
    {
      /* The former owner's last commit came before our takeover. */
      assert (s->role == ROLE_TAKING || FAULT (FAULT_FORGET_FENCE));
      free (l->data);
      l->data = NULL;
      s->role = ROLE_LOADING;
      read_slot (s, l->seq + 1);
      return;
    }
  l->index[slot] = b ? ev->u.store.index : 0;
  l->absent[slot] = !b;
  write_slot (s);
}

void
journal_read_on (gl_sched_t *s)
{
  read_slot (s, s->log.seq + 1);
}

void
journal_take_over (gl_sched_t *s)
{
  gl_rec_t rec = { .kind = GL_REC_TAKEOVER };

  s->role = ROLE_TAKING;
  rec.gl_rec_t_u.takeover.node = strdup (s->node);
  journal_add (s, &rec);
  cut (s);
}

/* The next slot was read while loading. */
static void
load_slot (gl_sched_t *s, const gl_event_t *ev, const gl_batch_t *b)
{
  log_t *l = &s->log;
  uint32_t slot = slot_of (l->seq + 1);

  l->index[slot] = b ? ev->u.store.index : 0;
  l->absent[slot] = !b;
  if (b && b->epoch > s->epoch)
    {
      lease_lost (s, "the log goes on at a later epoch");
      return;
    }
  if (b && b->seq > l->seq + 1)
    {
      /* The ring has been written over since the snapshot was read. */
      journal_load (s);
      return;
    }
  if (!b || b->seq < l->seq + 1)
    {
      /* The former owner cannot commit past a full ring either, so the log
         stands still until the snapshot has made room. */
      if (ring_full (s))
        snap_due (s, l->seq);
      else
        journal_take_over (s);
      if (s->snap.busy)
        snap_resume (s);
      return;
    }
  for (u_int i = 0; i < b->recs.recs_len; i++)
    journal_apply (s, &b->recs.recs_val[i]);
  l->seq++;
  l->bytes_since_snap += ev->u.store.len;
  read_slot (s, l->seq + 1);
}

void
journal_load (gl_sched_t *s)
{
  journal_reset (s);
  snap_reset (s);
  jobs_clear (s);
  workers_reset (s);
  s->generation++;
  s->lease.op_out = 0;
  snap_load (s);
}

static void
slot_read (gl_sched_t *s, const gl_event_t *ev)
{
  gl_batch_t b = { 0 };
  int there = ev->u.store.status == GL_ST_OK;

  if (!there && ev->u.store.status != GL_ST_ABSENT)
    {
      redo_later (s);
      return;
    }
  if (there
      && codec_decode ((xdrproc_t)xdr_gl_batch_t, &b, ev->u.store.data,
                       ev->u.store.len))
    {
      sched_log (s, "log of %s unreadable at %llu", s->domain,
                 (unsigned long long)s->log.seq + 1);
      lease_lost (s, "the log cannot be read");
      return;
    }
  if (s->role == ROLE_LOADING)
    load_slot (s, ev, there ? &b : NULL);
  else
    judge_slot (s, ev, there ? &b : NULL);
  if (there)
    codec_free ((xdrproc_t)xdr_gl_batch_t, &b);
}

void
journal_stored (gl_sched_t *s, store_op_t op, const gl_event_t *ev)
{
  log_t *l = &s->log;

  l->op_out = 0;
  if (op == OP_LOG_GET)
    {
      slot_read (s, ev);
      return;
    }
  if (!l->data)
    return;
  switch (ev->u.store.status)
    {
    case GL_ST_OK:
      committed (s, ev->u.store.index);
      break;
    case GL_ST_REFUSED:
      redo_later (s);
      break;
    default:
      if (ev->u.store.status == GL_ST_UNKNOWN)
        s->c.store_unsure++;
      l->index[slot_of (l->seq + 1)] = 0;
      l->absent[slot_of (l->seq + 1)] = 0;
      if (FAULT (FAULT_FORGET_FENCE) && ev->u.store.status == GL_ST_CONFLICT)
        committed (s, ev->u.store.index);
      else
        read_slot (s, l->seq + 1);
    }
}

/* ---- replay ---- */

static void
apply_assign (gl_sched_t *s, const gl_rec_assign_t *a)
{
  tref_t ref = { job_find (s, a->task.job), a->task.index };
  task_t *t = task_at (s, ref);
  int w = worker_enter (s, a->worker);

  if (!t || w < 0 || t->state != TASK_WAITING)
    return;
  if (task_bind (s, ref, w, 1))
    return;
  t->attempt = a->task.attempt;
  t->boot = a->boot;
  t->inherited = 1;
  t->state = TASK_STARTING;
}

static void
apply_end (gl_sched_t *s, const gl_rec_end_t *e)
{
  tref_t ref = { job_find (s, e->task.job), e->task.index };
  task_t *t = task_at (s, ref);

  if (t && t->worker >= 0 && t->attempt == e->task.attempt)
    task_end (s, ref, e->outcome);
}

static void
apply_cancel (gl_sched_t *s, uint64_t job)
{
  handle_t h = job_find (s, job);

  if (h)
    job_cancel (s, h);
}

void
journal_apply (gl_sched_t *s, const gl_rec_t *rec)
{
  int w;

  switch (rec->kind)
    {
    case GL_REC_TAKEOVER:
      break;
    case GL_REC_ACCEPT:
      if (!job_find (s, rec->gl_rec_t_u.accept.job))
        job_new (s, rec->gl_rec_t_u.accept.job, &rec->gl_rec_t_u.accept.spec);
      break;
    case GL_REC_ASSIGN:
      apply_assign (s, &rec->gl_rec_t_u.assign);
      break;
    case GL_REC_END:
      apply_end (s, &rec->gl_rec_t_u.end);
      break;
    case GL_REC_CANCEL:
      apply_cancel (s, rec->gl_rec_t_u.cancel.job);
      break;
    case GL_REC_CORDON:
      w = worker_enter (s, rec->gl_rec_t_u.cordon.worker);
      if (w >= 0)
        s->workers[w].cordoned = rec->gl_rec_t_u.cordon.on != 0;
      break;
    }
}
