/*
 * journal.c -- the log of a domain in the key-value service
 *
 * Commit n is stored under the key log/(n mod RING_SLOTS).  A slot is never
 * deleted, only overwritten by compare-and-swap against the index that the
 * writer knows.  A new owner reads the log up to its last commit n and then
 * has to write commit n + 1, the takeover, before anything else.  From then
 * on a former owner's write of n + 1 fails: either the index that it knows
 * is out of date, or it reads the slot first and finds a later epoch.  So a
 * former owner is kept from committing without reliance on any clock.
 *
 * While a commit is being written, records are collected for the next one
 * (group commit).  An action that is permitted only once a record is written
 * is deferred until then: the answer to an operator, the start of a task,
 * the acknowledgement that lets a worker forget an ended one.
 *
 * If the answer to a write is lost, the slot is read.  If it holds our
 * commit, the write has succeeded.  If it holds its former content, the same
 * commit is written again against the same index, so that at most one of the
 * two writes takes effect.
 */
#include "schedint.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Delay before a failed operation is repeated, milliseconds. */
#define STORE_RETRY_MS 200

/* Slot of the log ring that holds commit @seq. */
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

/* ---- pending records and deferred actions ---- */

/* Make room for one element of @size bytes after the first @n of the array
   @v.  Returns 0, or -1 out of memory. */
static int
array_grow (void **v, size_t n, size_t *cap, size_t size)
{
  void *grown;
  size_t new_cap;

  if (n < *cap)
    return 0;
  new_cap = *cap ? 2 * *cap : 64;
  grown = realloc (*v, new_cap * size);
  if (!grown)
    return -1;
  *v = grown;
  *cap = new_cap;
  return 0;
}

void
journal_append (gl_sched_t *s, const gl_rec_t *rec)
{
  rec_list_t *r = &s->journal.pending;

  /* The tables hold the change already, so its record must not be lost:
     a successor would load a different state. */
  if (array_grow ((void **)&r->v, r->n, &r->cap, sizeof *r->v))
    abort ();
  r->v[r->n++] = *rec;
  timer_arm_before (&s->timers, s->t_commit,
                    s->journal.commit_started + s->opts.commit_gap > s->now
                        ? s->journal.commit_started + s->opts.commit_gap
                        : s->now);
}

static void
deferred_add (deferred_list_t *list, const deferred_t *action)
{
  if (array_grow ((void **)&list->v, list->n, &list->cap, sizeof *list->v))
    abort ();
  list->v[list->n++] = *action;
}

static void
deferred_run (gl_sched_t *s, const deferred_t *action)
{
  task_t *t;

  switch (action->kind)
    {
    case DEFER_ANSWER:
      sched_answer (s, action->token, GL_OK, action->job_or_boot, 0, NULL);
      if (FAULT (FAULT_ANSWER_TWICE))
        sched_answer (s, action->token, GL_OK, action->job_or_boot, 0, NULL);
      break;
    case DEFER_START:
      t = task_get (s, action->task);
      if (t && t->attempt == action->attempt && t->state == TASK_ASSIGNED)
        {
          t->state = TASK_STARTING;
          worker_wake (s, t->worker);
        }
      break;
    case DEFER_ACK:
      if (action->seq > s->workers[action->worker].ack_seq
          && s->workers[action->worker].boot == action->job_or_boot)
        s->workers[action->worker].ack_seq = action->seq;
      break;
    }
}

void
journal_defer (gl_sched_t *s, const deferred_t *action)
{
  deferred_t d = *action;

  if (d.kind == DEFER_ACK)
    d.job_or_boot = s->workers[d.worker].boot;
  d.since = s->now;
  d.records_needed = s->journal.pending.n;
  if (s->journal.pending.n)
    deferred_add (&s->journal.deferred, &d);
  else if (s->journal.inflight)
    deferred_add (&s->journal.inflight_deferred, &d);
  else
    deferred_run (s, &d);
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

/* Answer GL_UNKNOWN to requests that have waited too long for their commit. */
static void
expire_answers (gl_sched_t *s, deferred_list_t *list)
{
  for (size_t i = 0; i < list->n; i++)
    if (list->v[i].kind == DEFER_ANSWER && list->v[i].token
        && s->now >= list->v[i].since + COMMIT_WAIT_MAX_MS)
      {
        sched_answer (s, list->v[i].token, GL_UNKNOWN, list->v[i].job_or_boot,
                      RETRY_STORE_MS, "written or not: ask again");
        list->v[i].token = 0;
      }
}

void
journal_expire_answers (gl_sched_t *s)
{
  expire_answers (s, &s->journal.deferred);
  expire_answers (s, &s->journal.inflight_deferred);
}

/* Drop deferred actions; answer GL_UNKNOWN to requests among them. */
static void
drop_deferred (gl_sched_t *s, deferred_list_t *list)
{
  for (size_t i = 0; i < list->n; i++)
    if (list->v[i].kind == DEFER_ANSWER)
      sched_answer (s, list->v[i].token, GL_UNKNOWN, list->v[i].job_or_boot,
                    RETRY_NOT_OWNER_MS, "the owner has changed: ask again");
  list->n = 0;
}

static void
drop_records (rec_list_t *r)
{
  for (size_t i = 0; i < r->n; i++)
    codec_free ((xdrproc_t)xdr_gl_rec_t, &r->v[i]);
  r->n = 0;
}

void
journal_reset (gl_sched_t *s)
{
  journal_t *jn = &s->journal;

  drop_records (&jn->pending);
  drop_deferred (s, &jn->deferred);
  drop_deferred (s, &jn->inflight_deferred);
  free (jn->inflight);
  jn->inflight = NULL;
  jn->op_pending = 0;
  jn->seq = 0;
  jn->base_seq = 0;
  jn->base_index = 0;
  jn->base_set = 0;
  jn->base_chunks = 0;
  jn->base_bytes = 0;
  jn->base_fenced = 0;
  jn->bytes_since_snap = 0;
  memset (jn->slot_index, 0, sizeof jn->slot_index);
  memset (jn->slot_absent, 0, sizeof jn->slot_absent);
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

/* Write the commit in flight; if the index of its slot is not known, read the
   slot first. */
static void
write_slot (gl_sched_t *s)
{
  journal_t *jn = &s->journal;
  uint32_t slot = slot_of (jn->seq + 1);
  char *copy;
  char key[32];

  if (!jn->slot_index[slot] && !jn->slot_absent[slot])
    {
      read_slot (s, jn->seq + 1);
      return;
    }
  copy = malloc (jn->inflight_len);
  if (!copy)
    return;
  memcpy (copy, jn->inflight, jn->inflight_len);
  slot_key (key, sizeof key, jn->seq + 1);
  jn->op_pending = 1;
  store_cas (s, OP_LOG_CAS, key, jn->slot_index[slot], copy, jn->inflight_len);
}

static int
same_job_assigned (const gl_rec_t *a, const gl_rec_t *b)
{
  return a->kind == GL_REC_ASSIGN && b->kind == GL_REC_ASSIGN
         && a->gl_rec_t_u.assign.task.job == b->gl_rec_t_u.assign.task.job;
}

/* Number of pending records that the next commit takes.  Successive
   assignments of one job are not split, since a gang must be assigned as a
   whole. */
static size_t
commit_length (const rec_list_t *r)
{
  size_t n = r->n < COMMIT_RECORDS_MAX ? r->n : COMMIT_RECORDS_MAX;

  while (n < r->n && same_job_assigned (&r->v[n - 1], &r->v[n]))
    n++;
  return n;
}

static void
remove_records (rec_list_t *r, size_t n)
{
  for (size_t i = 0; i < n; i++)
    codec_free ((xdrproc_t)xdr_gl_rec_t, &r->v[i]);
  memmove (r->v, r->v + n, (r->n - n) * sizeof *r->v);
  r->n -= n;
}

/* The first @n pending records are in the commit in flight: move the actions
   that need no further records to those that wait for this commit. */
static void
move_deferred (journal_t *jn, size_t n)
{
  size_t kept = 0;

  jn->inflight_deferred.n = 0;
  for (size_t i = 0; i < jn->deferred.n; i++)
    if (jn->deferred.v[i].records_needed <= n)
      deferred_add (&jn->inflight_deferred, &jn->deferred.v[i]);
    else
      {
        jn->deferred.v[kept] = jn->deferred.v[i];
        jn->deferred.v[kept++].records_needed -= n;
      }
  jn->deferred.n = kept;
}

/* Encode the next commit and write it. */
static void
start_commit (gl_sched_t *s)
{
  journal_t *jn = &s->journal;
  gl_commit_t commit = { 0 };
  size_t n = commit_length (&jn->pending);

  commit.epoch = s->epoch;
  commit.seq = jn->seq + 1;
  commit.recs.recs_len = (u_int)n;
  commit.recs.recs_val = jn->pending.v;
  jn->inflight
      = codec_encode ((xdrproc_t)xdr_gl_commit_t, &commit, &jn->inflight_len);
  if (!jn->inflight)
    abort ();
  remove_records (&jn->pending, n);
  move_deferred (jn, n);
  jn->commit_started = s->now;
  jn->inflight_since = s->now;
  /* With records left over, memory holds more than this commit, and a
     snapshot would not be the state of any one commit. */
  if (s->role == ROLE_ACTIVE && !jn->pending.n)
    snap_start_if_due (s, jn->seq + 1);
  write_slot (s);
}

/* Whether the commits since the snapshot in force fill the ring, so that the
   next one has to wait for a newer snapshot. */
static int
ring_full (const gl_sched_t *s)
{
  return s->journal.seq + 1 - s->journal.base_seq >= RING_SLOTS;
}

void
journal_flush (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;
  journal_t *jn = &s->journal;

  if (jn->op_pending)
    return;
  if (s->role == ROLE_LOADING)
    snap_resume (s);
  if (s->role != ROLE_ACTIVE && s->role != ROLE_TAKEOVER)
    return;
  if (jn->inflight)
    {
      write_slot (s);
      return;
    }
  if (!jn->pending.n)
    return;
  if (ring_full (s))
    {
      snap_write_next (s);
      timer_arm (&s->timers, s->t_commit, now + STORE_RETRY_MS);
      return;
    }
  start_commit (s);
}

/* Retry the operation on the log after a random delay. */
static void
retry_later (gl_sched_t *s)
{
  timer_arm (&s->timers, s->t_commit,
             s->now + STORE_RETRY_MS / 2 + jitter (s, STORE_RETRY_MS));
}

/* The commit in flight is written; @index is the slot's new store index. */
static void
commit_done (gl_sched_t *s, uint64_t index)
{
  journal_t *jn = &s->journal;
  deferred_list_t done = jn->inflight_deferred;

  jn->seq++;
  jn->slot_index[slot_of (jn->seq)] = index;
  jn->slot_absent[slot_of (jn->seq)] = 0;
  jn->bytes_since_snap += jn->inflight_len;
  s->counters.commits++;
  s->counters.commit_bytes += jn->inflight_len;
  hist_add (&s->commit_time, (double)(s->now - jn->inflight_since));
  free (jn->inflight);
  jn->inflight = NULL;
  memset (&jn->inflight_deferred, 0, sizeof jn->inflight_deferred);
  if (s->role == ROLE_TAKEOVER)
    {
      snap_start_if_due (s, jn->seq);
      lease_takeover_done (s);
    }
  for (size_t i = 0; i < done.n; i++)
    deferred_run (s, &done.v[i]);
  free (done.v);
  snap_write_next (s);
  if (jn->pending.n)
    timer_arm_before (&s->timers, s->t_commit,
                      jn->commit_started + s->opts.commit_gap > s->now
                          ? jn->commit_started + s->opts.commit_gap
                          : s->now);
}

/* ---- reading ---- */

/* The slot of the commit in flight was read, because the outcome of its
   write or the slot's index is not known; @commit is NULL if the slot is
   absent. */
static void
inflight_slot_read (gl_sched_t *s, const gl_event_t *ev,
                    const gl_commit_t *commit)
{
  journal_t *jn = &s->journal;
  uint32_t slot = slot_of (jn->seq + 1);

  if (commit && commit->epoch == s->epoch && commit->seq == jn->seq + 1)
    {
      commit_done (s, ev->u.store.index);
      return;
    }
  if (commit && commit->epoch > s->epoch)
    {
      lease_lost (s, "the log holds a commit of a later epoch");
      return;
    }
  if (commit && commit->seq == jn->seq + 1)
    {
      /* A former owner has written this commit before our takeover commit:
         load it first. */
      assert (s->role == ROLE_TAKEOVER || FAULT (FAULT_FORGET_FENCE));
      free (jn->inflight);
      jn->inflight = NULL;
      s->role = ROLE_LOADING;
      read_slot (s, jn->seq + 1);
      return;
    }
  jn->slot_index[slot] = commit ? ev->u.store.index : 0;
  jn->slot_absent[slot] = !commit;
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
  start_commit (s);
}

/* The slot of the next commit was read while loading; @commit is NULL if the
   slot is absent. */
static void
load_slot_read (gl_sched_t *s, const gl_event_t *ev, const gl_commit_t *commit)
{
  journal_t *jn = &s->journal;
  uint32_t slot = slot_of (jn->seq + 1);

  jn->slot_index[slot] = commit ? ev->u.store.index : 0;
  jn->slot_absent[slot] = !commit;
  if (commit && commit->epoch > s->epoch)
    {
      lease_lost (s, "the log holds a commit of a later epoch");
      return;
    }
  if (commit && commit->seq > jn->seq + 1)
    {
      /* The ring has wrapped around since the snapshot was read, so commits
         are missing: read a newer snapshot. */
      journal_load (s);
      return;
    }
  if (!commit || commit->seq < jn->seq + 1)
    {
      /* The log ends here.  If the ring is full, a former owner cannot
         commit either, so the log stays as it is until our snapshot has made
         room. */
      if (ring_full (s))
        snap_start_if_due (s, jn->seq);
      else
        journal_take_over (s);
      if (s->snap.writing)
        snap_resume (s);
      return;
    }
  for (u_int i = 0; i < commit->recs.recs_len; i++)
    journal_apply (s, &commit->recs.recs_val[i]);
  jn->seq++;
  jn->bytes_since_snap += ev->u.store.len;
  read_slot (s, jn->seq + 1);
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

/* Take the result of read_slot. */
static void
slot_get_done (gl_sched_t *s, const gl_event_t *ev)
{
  gl_commit_t commit = { 0 };
  int found = ev->u.store.status == GL_ST_OK;

  if (!found && ev->u.store.status != GL_ST_ABSENT)
    {
      retry_later (s);
      return;
    }
  if (found
      && codec_decode ((xdrproc_t)xdr_gl_commit_t, &commit, ev->u.store.data,
                       ev->u.store.len))
    {
      sched_log (s, "log of %s: commit %llu cannot be decoded", s->domain,
                 (unsigned long long)s->journal.seq + 1);
      lease_lost (s, "the log cannot be read");
      return;
    }
  if (s->role == ROLE_LOADING)
    load_slot_read (s, ev, found ? &commit : NULL);
  else
    inflight_slot_read (s, ev, found ? &commit : NULL);
  if (found)
    codec_free ((xdrproc_t)xdr_gl_commit_t, &commit);
}

void
journal_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev)
{
  journal_t *jn = &s->journal;

  jn->op_pending = 0;
  if (op == OP_LOG_GET)
    {
      slot_get_done (s, ev);
      return;
    }
  if (!jn->inflight)
    return;
  switch (ev->u.store.status)
    {
    case GL_ST_OK:
      commit_done (s, ev->u.store.index);
      break;
    case GL_ST_REFUSED:
      retry_later (s);
      break;
    default:
      if (ev->u.store.status == GL_ST_UNKNOWN)
        s->counters.store_unsure++;
      jn->slot_index[slot_of (jn->seq + 1)] = 0;
      jn->slot_absent[slot_of (jn->seq + 1)] = 0;
      if (FAULT (FAULT_FORGET_FENCE) && ev->u.store.status == GL_ST_CONFLICT)
        commit_done (s, ev->u.store.index);
      else
        read_slot (s, jn->seq + 1);
    }
}

/* ---- applying loaded records ---- */

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
