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
journal_append (gl_sched_t *s, const gl_rec_t *rec)
{
  rec_list_t *r = &s->journal.pending;

  /* A record that cannot be kept would break every promise at once. */
  if (grow ((void **)&r->v, r->n, &r->cap, sizeof *r->v))
    abort ();
  r->v[r->n++] = *rec;
  timer_arm_before (&s->timers, s->t_commit,
                    s->journal.commit_started + s->opts.commit_gap > s->now
                        ? s->journal.commit_started + s->opts.commit_gap
                        : s->now);
}

static void
gates_add (deferred_list_t *g, const deferred_t *gate)
{
  if (grow ((void **)&g->v, g->n, &g->cap, sizeof *g->v))
    abort ();
  g->v[g->n++] = *gate;
}

static void
pass_gate (gl_sched_t *s, const deferred_t *g)
{
  task_t *t;

  switch (g->kind)
    {
    case DEFER_ANSWER:
      sched_answer (s, g->token, GL_OK, g->job, 0, NULL);
      if (FAULT (FAULT_ANSWER_TWICE))
        sched_answer (s, g->token, GL_OK, g->job, 0, NULL);
      break;
    case DEFER_START:
      t = task_get (s, g->task);
      if (t && t->attempt == g->attempt && t->state == TASK_ASSIGNED)
        {
          t->state = TASK_STARTING;
          worker_wake (s, t->worker);
        }
      break;
    case DEFER_ACK:
      if (g->seq > s->workers[g->worker].ack_seq
          && s->workers[g->worker].boot == g->job)
        s->workers[g->worker].ack_seq = g->seq;
      break;
    }
}

void
journal_defer (gl_sched_t *s, const deferred_t *gate)
{
  deferred_t g = *gate;

  if (g.kind == DEFER_ACK)
    g.job = s->workers[g.worker].boot;
  g.since = s->now;
  g.records_needed = s->journal.pending.n;
  if (s->journal.pending.n)
    gates_add (&s->journal.deferred, &g);
  else if (s->journal.inflight)
    gates_add (&s->journal.inflight_deferred, &g);
  else
    pass_gate (s, &g);
}

int
journal_idle (const gl_sched_t *s)
{
  return !s->journal.pending.n && !s->journal.inflight;
}

int
journal_full (const gl_sched_t *s)
{
  return s->journal.pending.n > PENDING_RECORDS_MAX;
}

int
journal_stalled (const gl_sched_t *s)
{
  return s->journal.inflight
         && s->now > s->journal.inflight_since + COMMIT_WAIT_MAX_MS / 2;
}

static void
expire_gates (gl_sched_t *s, deferred_list_t *g)
{
  for (size_t i = 0; i < g->n; i++)
    if (g->v[i].kind == DEFER_ANSWER && g->v[i].token
        && s->now >= g->v[i].since + COMMIT_WAIT_MAX_MS)
      {
        sched_answer (s, g->v[i].token, GL_UNKNOWN, g->v[i].job,
                      RETRY_STORE_MS, "written or not: ask again");
        g->v[i].token = 0;
      }
}

void
journal_expire_answers (gl_sched_t *s)
{
  expire_gates (s, &s->journal.deferred);
  expire_gates (s, &s->journal.inflight_deferred);
}

static void
drop_gates (gl_sched_t *s, deferred_list_t *g)
{
  for (size_t i = 0; i < g->n; i++)
    if (g->v[i].kind == DEFER_ANSWER)
      sched_answer (s, g->v[i].token, GL_UNKNOWN, g->v[i].job,
                    RETRY_NOT_OWNER_MS, "the owner has changed: ask again");
  g->n = 0;
}

static void
drop_recs (rec_list_t *r)
{
  for (size_t i = 0; i < r->n; i++)
    codec_free ((xdrproc_t)xdr_gl_rec_t, &r->v[i]);
  r->n = 0;
}

void
journal_reset (gl_sched_t *s)
{
  journal_t *l = &s->journal;

  drop_recs (&l->pending);
  drop_gates (s, &l->deferred);
  drop_gates (s, &l->inflight_deferred);
  free (l->inflight);
  l->inflight = NULL;
  l->op_pending = 0;
  l->seq = 0;
  l->base_seq = 0;
  l->base_index = 0;
  l->base_set = 0;
  l->base_chunks = 0;
  l->base_bytes = 0;
  l->base_fenced = 0;
  l->bytes_since_snap = 0;
  memset (l->slot_index, 0, sizeof l->slot_index);
  memset (l->slot_absent, 0, sizeof l->slot_absent);
}

/* ---- writing ---- */

static void
read_slot (gl_sched_t *s, uint64_t seq)
{
  char key[32];

  slot_key (key, sizeof key, seq);
  s->journal.op_pending = 1;
  store_get (s, OP_LOG_GET, key);
}

static void
write_slot (gl_sched_t *s)
{
  journal_t *l = &s->journal;
  uint32_t slot = slot_of (l->seq + 1);
  char *copy;
  char key[32];

  if (!l->slot_index[slot] && !l->slot_absent[slot])
    {
      read_slot (s, l->seq + 1);
      return;
    }
  copy = malloc (l->inflight_len);
  if (!copy)
    return;
  memcpy (copy, l->inflight, l->inflight_len);
  slot_key (key, sizeof key, l->seq + 1);
  l->op_pending = 1;
  store_cas (s, OP_LOG_CAS, key, l->slot_index[slot], copy, l->inflight_len);
}

static int
same_assign (const gl_rec_t *a, const gl_rec_t *b)
{
  return a->kind == GL_REC_ASSIGN && b->kind == GL_REC_ASSIGN
         && a->gl_rec_t_u.assign.task.job == b->gl_rec_t_u.assign.task.job;
}

/* How many pending records the next commit takes. */
static size_t
commit_size (const rec_list_t *r)
{
  size_t n = r->n < COMMIT_RECORDS_MAX ? r->n : COMMIT_RECORDS_MAX;

  while (n < r->n && same_assign (&r->v[n - 1], &r->v[n]))
    n++;
  return n;
}

static void
shift_recs (rec_list_t *r, size_t n)
{
  for (size_t i = 0; i < n; i++)
    codec_free ((xdrproc_t)xdr_gl_rec_t, &r->v[i]);
  memmove (r->v, r->v + n, (r->n - n) * sizeof *r->v);
  r->n -= n;
}

/* Gates of the first @n records go with them. */
static void
shift_gates (journal_t *l, size_t n)
{
  size_t kept = 0;

  l->inflight_deferred.n = 0;
  for (size_t i = 0; i < l->deferred.n; i++)
    if (l->deferred.v[i].records_needed <= n)
      gates_add (&l->inflight_deferred, &l->deferred.v[i]);
    else
      {
        l->deferred.v[kept] = l->deferred.v[i];
        l->deferred.v[kept++].records_needed -= n;
      }
  l->deferred.n = kept;
}

static void
cut (gl_sched_t *s)
{
  journal_t *l = &s->journal;
  gl_commit_t b = { 0 };
  size_t n = commit_size (&l->pending);

  b.epoch = s->epoch;
  b.seq = l->seq + 1;
  b.recs.recs_len = (u_int)n;
  b.recs.recs_val = l->pending.v;
  l->inflight
      = codec_encode ((xdrproc_t)xdr_gl_commit_t, &b, &l->inflight_len);
  if (!l->inflight)
    abort ();
  shift_recs (&l->pending, n);
  shift_gates (l, n);
  l->commit_started = s->now;
  l->inflight_since = s->now;
  /* Memory is ahead of the log while records are left over. */
  if (s->role == ROLE_ACTIVE && !l->pending.n)
    snap_start_if_due (s, l->seq + 1);
  write_slot (s);
}

static int
ring_full (const gl_sched_t *s)
{
  return s->journal.seq + 1 - s->journal.base_seq >= RING_SLOTS;
}

void
journal_flush (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;
  journal_t *l = &s->journal;

  if (l->op_pending)
    return;
  if (s->role == ROLE_LOADING)
    snap_resume (s);
  if (s->role != ROLE_ACTIVE && s->role != ROLE_TAKEOVER)
    return;
  if (l->inflight)
    {
      write_slot (s);
      return;
    }
  if (!l->pending.n)
    return;
  if (ring_full (s))
    {
      snap_write_next (s);
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
  journal_t *l = &s->journal;
  deferred_list_t g = l->inflight_deferred;

  l->seq++;
  l->slot_index[slot_of (l->seq)] = index;
  l->slot_absent[slot_of (l->seq)] = 0;
  l->bytes_since_snap += l->inflight_len;
  s->counters.commits++;
  s->counters.commit_bytes += l->inflight_len;
  hist_add (&s->commit_time, (double)(s->now - l->inflight_since));
  free (l->inflight);
  l->inflight = NULL;
  memset (&l->inflight_deferred, 0, sizeof l->inflight_deferred);
  if (s->role == ROLE_TAKEOVER)
    {
      snap_start_if_due (s, l->seq);
      lease_takeover_done (s);
    }
  for (size_t i = 0; i < g.n; i++)
    pass_gate (s, &g.v[i]);
  free (g.v);
  snap_write_next (s);
  if (l->pending.n)
    timer_arm_before (&s->timers, s->t_commit,
                      l->commit_started + s->opts.commit_gap > s->now
                          ? l->commit_started + s->opts.commit_gap
                          : s->now);
}

/* ---- reading ---- */

/* The slot of the commit in flight was read, after doubt or for its index. */
static void
judge_slot (gl_sched_t *s, const gl_event_t *ev, const gl_commit_t *b)
{
  journal_t *l = &s->journal;
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
      assert (s->role == ROLE_TAKEOVER || FAULT (FAULT_FORGET_FENCE));
      free (l->inflight);
      l->inflight = NULL;
      s->role = ROLE_LOADING;
      read_slot (s, l->seq + 1);
      return;
    }
  l->slot_index[slot] = b ? ev->u.store.index : 0;
  l->slot_absent[slot] = !b;
  write_slot (s);
}

void
journal_read_next (gl_sched_t *s)
{
  read_slot (s, s->journal.seq + 1);
}

void
journal_take_over (gl_sched_t *s)
{
  gl_rec_t rec = { .kind = GL_REC_TAKEOVER };

  s->role = ROLE_TAKEOVER;
  rec.gl_rec_t_u.takeover.node = strdup (s->node);
  journal_append (s, &rec);
  cut (s);
}

/* The next slot was read while loading. */
static void
load_slot (gl_sched_t *s, const gl_event_t *ev, const gl_commit_t *b)
{
  journal_t *l = &s->journal;
  uint32_t slot = slot_of (l->seq + 1);

  l->slot_index[slot] = b ? ev->u.store.index : 0;
  l->slot_absent[slot] = !b;
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
        snap_start_if_due (s, l->seq);
      else
        journal_take_over (s);
      if (s->snap.writing)
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
  s->lease.op_pending = 0;
  snap_load (s);
}

static void
slot_read (gl_sched_t *s, const gl_event_t *ev)
{
  gl_commit_t b = { 0 };
  int there = ev->u.store.status == GL_ST_OK;

  if (!there && ev->u.store.status != GL_ST_ABSENT)
    {
      redo_later (s);
      return;
    }
  if (there
      && codec_decode ((xdrproc_t)xdr_gl_commit_t, &b, ev->u.store.data,
                       ev->u.store.len))
    {
      sched_log (s, "log of %s unreadable at %llu", s->domain,
                 (unsigned long long)s->journal.seq + 1);
      lease_lost (s, "the log cannot be read");
      return;
    }
  if (s->role == ROLE_LOADING)
    load_slot (s, ev, there ? &b : NULL);
  else
    judge_slot (s, ev, there ? &b : NULL);
  if (there)
    codec_free ((xdrproc_t)xdr_gl_commit_t, &b);
}

void
journal_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev)
{
  journal_t *l = &s->journal;

  l->op_pending = 0;
  if (op == OP_LOG_GET)
    {
      slot_read (s, ev);
      return;
    }
  if (!l->inflight)
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
        s->counters.store_unsure++;
      l->slot_index[slot_of (l->seq + 1)] = 0;
      l->slot_absent[slot_of (l->seq + 1)] = 0;
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
  task_handle_t ref = { job_find (s, a->task.job), a->task.index };
  task_t *t = task_get (s, ref);
  int w = worker_add (s, a->worker);

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
  task_handle_t ref = { job_find (s, e->task.job), e->task.index };
  task_t *t = task_get (s, ref);

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
      w = worker_add (s, rec->gl_rec_t_u.cordon.worker);
      if (w >= 0)
        s->workers[w].cordoned = rec->gl_rec_t_u.cordon.on != 0;
      break;
    }
}
