/*
 * snap.c -- snapshots of a domain in the key-value service
 *
 * A snapshot holds the state after one commit, so that the slots of the log
 * up to that commit may be overwritten.  It is encoded at a moment when
 * memory holds exactly that state, usually as the commit is encoded, and
 * written in chunks after the commit itself.  Snapshots alternate between
 * two sets of chunk keys; the base record names the set in force and is
 * written last.  Every chunk carries its writer's epoch, and a writer reads a
 * chunk before it replaces it.  So a former owner finds a later epoch, or its
 * compare-and-swap is refused, and it can never damage the set that its
 * successor uses.
 *
 * The takeover commit in the log does not keep a former owner from writing
 * the base record.  So before its first chunk an owner fences the base
 * record: it writes the record again with the content found there, but with
 * its own epoch.  Only after this does it know which set is not in use.
 */
#include "schedint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Delay before a failed operation is repeated while loading, milliseconds. */
#define LOAD_RETRY_MS 400

void
snap_reset (gl_sched_t *s)
{
  free (s->snap.data);
  s->snap.data = NULL;
  s->snap.len = 0;
  s->snap.chunk = 0;
  s->snap.chunks = 0;
  s->snap.writing = 0;
  s->snap.loading = 0;
  s->snap.op_pending = 0;
}

static void
chunk_key (char *key, size_t size, uint32_t set, uint32_t chunk)
{
  snprintf (key, size, "snap/%u/%u", set, chunk);
}

/* ---- encoding ---- */

static void
fill_task (const task_t *t, gl_snap_task_t *out)
{
  out->state = t->state == TASK_WAITING ? GL_SNAP_WAITING
               : t->state == TASK_ENDED ? GL_SNAP_ENDED
                                        : GL_SNAP_ASSIGNED;
  out->attempt = t->attempt;
  out->outcome = t->outcome;
  out->worker = t->worker;
  out->boot = t->boot;
}

static int
fill_job (gl_sched_t *s, const job_t *j, gl_snap_job_t *out)
{
  out->job = j->id;
  out->spec.name = (char *)j->name;
  out->spec.team = s->teams[j->team].name;
  out->spec.cls = (gl_class_t)j->cls;
  out->spec.tasks = j->ntasks;
  out->spec.need = j->need;
  out->spec.runtime_s = j->runtime_s;
  out->spec.max_attempts = j->max_attempts;
  out->canceled = j->canceled;
  out->tasks.tasks_val = calloc (j->ntasks, sizeof (gl_snap_task_t));
  if (!out->tasks.tasks_val)
    return -1;
  out->tasks.tasks_len = j->ntasks;
  for (uint32_t i = 0; i < j->ntasks; i++)
    fill_task (&j->tasks[i], &out->tasks.tasks_val[i]);
  return 0;
}

static int
by_accept_order (const void *a, const void *b)
{
  const job_t *const *x = a;
  const job_t *const *y = b;

  return (*x)->accept_order < (*y)->accept_order
             ? -1
             : (*x)->accept_order > (*y)->accept_order;
}

/* The present state as an encoded gl_snapshot_t with commit number @seq, with
   the jobs in order of acceptance; NULL out of memory. */
static char *
encode_state (gl_sched_t *s, uint64_t seq, size_t *len)
{
  gl_snapshot_t sn = { 0 };
  job_t **order = calloc (s->jobs.count + 1, sizeof *order);
  char *data = NULL;
  size_t pos = 0;
  size_t n = 0;
  handle_t h;

  sn.workers.workers_val
      = calloc ((size_t)s->nworkers + 1, sizeof (gl_snap_worker_t));
  sn.jobs.jobs_val = calloc (s->jobs.count + 1, sizeof (gl_snap_job_t));
  if (!order || !sn.workers.workers_val || !sn.jobs.jobs_val)
    goto done;
  for (int i = 0; i < s->nworkers; i++)
    {
      sn.workers.workers_val[i].name = s->workers[i].name;
      sn.workers.workers_val[i].cordoned = s->workers[i].cordoned;
    }
  while ((h = pool_next (&s->jobs, &pos)))
    order[n++] = pool_get (&s->jobs, h);
  qsort (order, n, sizeof *order, by_accept_order);
  for (size_t i = 0; i < n; i++)
    {
      if (fill_job (s, order[i], &sn.jobs.jobs_val[i]))
        goto done;
      sn.jobs.jobs_len++;
    }
  sn.workers.workers_len = (u_int)s->nworkers;
  sn.epoch = s->epoch;
  sn.seq = seq;
  data = codec_encode ((xdrproc_t)xdr_gl_snapshot_t, &sn, len);

done:
  for (u_int i = 0; sn.jobs.jobs_val && i < sn.jobs.jobs_len; i++)
    free (sn.jobs.jobs_val[i].tasks.tasks_val);
  free (sn.jobs.jobs_val);
  free (sn.workers.workers_val);
  free (order);
  return data;
}

/* ---- writing ---- */

/* Start a snapshot of the present state, which must be the state after
   commit @seq. */
static void
start_snapshot (gl_sched_t *s, uint64_t seq)
{
  s->snap.data = encode_state (s, seq, &s->snap.len);
  if (!s->snap.data)
    return;
  s->snap.writing = 1;
  s->snap.seq = seq;
  s->snap.chunk = 0;
  s->snap.chunks = (uint32_t)((s->snap.len + CHUNK_BYTES - 1) / CHUNK_BYTES);
  s->snap.last_len = s->snap.len;
  s->journal.bytes_since_snap = 0;
}

void
snap_start_if_due (gl_sched_t *s, uint64_t seq)
{
  journal_t *jn = &s->journal;
  size_t limit = 2 * s->snap.last_len;

  if (s->snap.writing)
    return;
  if (limit < SNAP_LOG_BYTES)
    limit = SNAP_LOG_BYTES;
  if (jn->bytes_since_snap >= limit
      || seq - jn->base_seq >= RING_SLOTS - RING_SPARE)
    start_snapshot (s, seq);
}

static void
write_base (gl_sched_t *s, const gl_base_t *base)
{
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_base_t, base, &len);

  if (!data)
    return;
  s->snap.op_pending = 1;
  store_cas (s, OP_BASE_CAS, "base", s->journal.base_index, data, len);
}

/* Write the base record again with our epoch, its other content unchanged. */
static void
fence_base (gl_sched_t *s)
{
  const journal_t *jn = &s->journal;
  gl_base_t base = { s->epoch, jn->base_seq, jn->base_set, jn->base_chunks,
                     jn->base_bytes };

  write_base (s, &base);
}

/* All chunks are written: make the base record name the new snapshot. */
static void
switch_base (gl_sched_t *s)
{
  gl_base_t base = { s->epoch, s->snap.seq, s->snap.chunk_set, s->snap.chunks,
                     (u_int)s->snap.len };

  write_base (s, &base);
}

void
snap_write_next (gl_sched_t *s)
{
  char key[32];

  if (!s->snap.writing || s->snap.op_pending || s->journal.seq < s->snap.seq)
    return;
  if (!s->journal.base_fenced)
    {
      fence_base (s);
      return;
    }
  s->snap.chunk_set = 1 - s->journal.base_set;
  if (s->snap.chunk == s->snap.chunks)
    {
      switch_base (s);
      return;
    }
  chunk_key (key, sizeof key, s->snap.chunk_set, s->snap.chunk);
  s->snap.op_pending = 1;
  store_get (s, OP_CHUNK_GET, key);
}

/* Write the next chunk, whose key has the store index @index, 0 if absent. */
static void
write_chunk (gl_sched_t *s, uint64_t index)
{
  gl_chunk_t chunk = { 0 };
  size_t at = (size_t)s->snap.chunk * CHUNK_BYTES;
  size_t len;
  char key[32];
  char *data;

  chunk.epoch = s->epoch;
  chunk.seq = s->snap.seq;
  chunk.data.data_val = s->snap.data + at;
  chunk.data.data_len
      = (u_int)(s->snap.len - at < CHUNK_BYTES ? s->snap.len - at
                                               : CHUNK_BYTES);
  data = codec_encode ((xdrproc_t)xdr_gl_chunk_t, &chunk, &len);
  if (!data)
    return;
  chunk_key (key, sizeof key, s->snap.chunk_set, s->snap.chunk);
  s->snap.op_pending = 1;
  s->counters.snapshot_bytes += len;
  store_cas (s, OP_CHUNK_CAS, key, index, data, len);
}

/* The key of the next chunk was read before it is replaced. */
static void
old_chunk_read (gl_sched_t *s, const gl_event_t *ev)
{
  gl_chunk_t chunk = { 0 };
  uint64_t index = ev->u.store.index;

  if (ev->u.store.status == GL_ST_ABSENT)
    {
      write_chunk (s, 0);
      return;
    }
  if (ev->u.store.status != GL_ST_OK)
    return;
  if (codec_decode ((xdrproc_t)xdr_gl_chunk_t, &chunk, ev->u.store.data,
                    ev->u.store.len))
    {
      write_chunk (s, index);
      return;
    }
  if (chunk.epoch > s->epoch)
    lease_lost (s, "a snapshot chunk has a later epoch");
  else if (chunk.epoch == s->epoch && chunk.seq == s->snap.seq)
    {
      s->snap.chunk++;
      snap_write_next (s);
    }
  else
    write_chunk (s, index);
  codec_free ((xdrproc_t)xdr_gl_chunk_t, &chunk);
}

/* The base record now names the new snapshot. */
static void
base_switched (gl_sched_t *s)
{
  journal_t *jn = &s->journal;

  jn->base_seq = s->snap.seq;
  jn->base_set = s->snap.chunk_set;
  jn->base_chunks = s->snap.chunks;
  jn->base_bytes = (uint32_t)s->snap.len;
  s->counters.snapshots++;
  snap_reset (s);
  /* While loading, a snapshot is written only if the ring is full and the
     takeover commit needs room. */
  if (s->role == ROLE_LOADING)
    journal_take_over (s);
}

/* A write of the base record is known to have taken effect. */
static void
base_written (gl_sched_t *s, uint64_t index)
{
  s->journal.base_index = index;
  if (s->journal.base_fenced)
    {
      base_switched (s);
      return;
    }
  s->journal.base_fenced = 1;
  snap_write_next (s);
}

/* Whether the base record @base is the one that we tried to write last. */
static int
is_our_write (const gl_sched_t *s, const gl_base_t *base)
{
  return base->epoch == s->epoch
         && base->seq
                == (s->journal.base_fenced ? s->snap.seq
                                           : s->journal.base_seq);
}

/* Take the snapshot in force from a base record that was read. */
static void
adopt_base (gl_sched_t *s, const gl_base_t *base)
{
  journal_t *jn = &s->journal;

  jn->base_seq = base->seq;
  jn->base_set = base->chunk_set;
  jn->base_chunks = base->chunks;
  jn->base_bytes = base->bytes;
}

/* The base record was read because the outcome of our write is not known or
   the write conflicted. */
static void
base_reread (gl_sched_t *s, const gl_event_t *ev)
{
  gl_base_t base = { 0 };

  if (ev->u.store.status == GL_ST_ABSENT)
    {
      s->journal.base_index = 0;
      return;
    }
  if (ev->u.store.status != GL_ST_OK
      || codec_decode ((xdrproc_t)xdr_gl_base_t, &base, ev->u.store.data,
                       ev->u.store.len))
    return;
  if (base.epoch > s->epoch)
    lease_lost (s, "the base record has a later epoch");
  else if (is_our_write (s, &base))
    base_written (s, ev->u.store.index);
  else
    {
      s->journal.base_index = ev->u.store.index;
      if (!s->journal.base_fenced)
        adopt_base (s, &base);
    }
}

/* ---- loading ---- */

void
snap_load (gl_sched_t *s)
{
  s->snap.loading = 1;
  s->snap.op_pending = 1;
  s->snap.chunk = 0;
  store_get (s, OP_BASE_GET, "base");
}

void
snap_resume (gl_sched_t *s)
{
  char key[32];

  if (s->snap.writing)
    {
      snap_write_next (s);
      timer_arm_before (&s->timers, s->t_commit, s->now + LOAD_RETRY_MS);
    }
  else if (!s->snap.loading)
    journal_read_next (s);
  else if (s->snap.op_pending)
    return;
  else if (!s->snap.chunk && !s->snap.chunks)
    snap_load (s);
  else
    {
      chunk_key (key, sizeof key, s->journal.base_set, s->snap.chunk);
      s->snap.op_pending = 1;
      store_get (s, OP_CHUNK_GET, key);
    }
}

/* The snapshot is loaded, or there is none: go on with the log. */
static void
loading_done (gl_sched_t *s)
{
  snap_reset (s);
  journal_read_next (s);
}

/* The base record was read while loading. */
static void
load_base_read (gl_sched_t *s, const gl_event_t *ev)
{
  journal_t *jn = &s->journal;
  gl_base_t base = { 0 };

  s->snap.chunks = 0;
  if (ev->u.store.status == GL_ST_ABSENT)
    {
      jn->base_index = 0;
      jn->base_set = 0;
      loading_done (s);
      return;
    }
  if (ev->u.store.status != GL_ST_OK)
    return;
  if (codec_decode ((xdrproc_t)xdr_gl_base_t, &base, ev->u.store.data,
                    ev->u.store.len)
      || base.chunks > CHUNKS_MAX || base.chunk_set > 1)
    {
      lease_lost (s, "the base record cannot be read");
      return;
    }
  if (base.epoch > s->epoch)
    {
      /* Commits that a later owner's snapshot covers are not read, so the
         check of their epoch in the log would not find them. */
      lease_lost (s, "the base record has a later epoch");
      return;
    }
  jn->base_index = ev->u.store.index;
  adopt_base (s, &base);
  s->snap.chunks = base.chunks;
  if (base.chunks)
    snap_resume (s);
  else
    loading_done (s);
}

static void
restore_task (gl_sched_t *s, task_handle_t ref, const gl_snap_task_t *in,
              const int *workers, u_int nworkers)
{
  job_t *j = pool_get (&s->jobs, ref.job);
  task_t *t = &j->tasks[ref.index];

  t->attempt = in->attempt;
  t->outcome = (unsigned char)in->outcome;
  if (in->state == GL_SNAP_ENDED)
    {
      t->state = TASK_ENDED;
      j->waiting--;
      j->ended++;
      j->failed += in->outcome != GL_OUT_OK;
    }
  else if (in->state == GL_SNAP_ASSIGNED && in->worker >= 0
           && (u_int)in->worker < nworkers
           && !task_bind (s, ref, workers[in->worker], 1))
    {
      t->attempt = in->attempt;
      t->boot = in->boot;
      t->inherited = 1;
      t->state = TASK_STARTING;
    }
}

static void
restore_job (gl_sched_t *s, const gl_snap_job_t *in, const int *workers,
             u_int nworkers)
{
  handle_t h = job_new (s, in->job, &in->spec);
  job_t *j = pool_get (&s->jobs, h);

  if (!j)
    return;
  for (u_int i = 0; i < in->tasks.tasks_len && i < j->ntasks; i++)
    restore_task (s, (task_handle_t){ h, i }, &in->tasks.tasks_val[i], workers,
                  nworkers);
  j->canceled = in->canceled != 0;
  j->gang_failed = j->cls == GL_CLASS_GANG && j->failed && !j->canceled;
  job_update_queue (s, h);
  job_check_finished (s, h);
}

static void
restore_snapshot (gl_sched_t *s, const gl_snapshot_t *sn)
{
  int *workers = calloc (sn->workers.workers_len + 1, sizeof *workers);

  if (!workers)
    return;
  for (u_int i = 0; i < sn->workers.workers_len; i++)
    {
      workers[i] = worker_add (s, sn->workers.workers_val[i].name);
      s->workers[workers[i]].cordoned
          = sn->workers.workers_val[i].cordoned != 0;
    }
  for (u_int i = 0; i < sn->jobs.jobs_len; i++)
    restore_job (s, &sn->jobs.jobs_val[i], workers, sn->workers.workers_len);
  free (workers);
  s->journal.seq = sn->seq;
}

/* All chunks are read: decode them and fill the tables. */
static void
restore_from_chunks (gl_sched_t *s)
{
  gl_snapshot_t sn = { 0 };

  if (codec_decode ((xdrproc_t)xdr_gl_snapshot_t, &sn, s->snap.data,
                    s->snap.len))
    {
      lease_lost (s, "the snapshot cannot be read");
      return;
    }
  s->snap.last_len = s->snap.len;
  restore_snapshot (s, &sn);
  codec_free ((xdrproc_t)xdr_gl_snapshot_t, &sn);
  loading_done (s);
}

/* The next chunk was read while loading. */
static void
load_chunk_read (gl_sched_t *s, const gl_event_t *ev)
{
  gl_chunk_t chunk = { 0 };
  char *data;

  if (ev->u.store.status == GL_ST_REFUSED
      || ev->u.store.status == GL_ST_UNKNOWN)
    return;
  if (ev->u.store.status != GL_ST_OK
      || codec_decode ((xdrproc_t)xdr_gl_chunk_t, &chunk, ev->u.store.data,
                       ev->u.store.len))
    {
      lease_lost (s, "a snapshot chunk cannot be read");
      return;
    }
  if (chunk.seq != s->journal.base_seq)
    {
      /* A former owner has written a newer snapshot since the base record
         was read: begin again. */
      codec_free ((xdrproc_t)xdr_gl_chunk_t, &chunk);
      journal_load (s);
      return;
    }
  data = realloc (s->snap.data, s->snap.len + chunk.data.data_len + 1);
  if (data)
    {
      memcpy (data + s->snap.len, chunk.data.data_val, chunk.data.data_len);
      s->snap.data = data;
      s->snap.len += chunk.data.data_len;
      s->snap.chunk++;
    }
  codec_free ((xdrproc_t)xdr_gl_chunk_t, &chunk);
  if (s->snap.chunk == s->snap.chunks)
    restore_from_chunks (s);
  else
    snap_resume (s);
}

void
snap_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev)
{
  s->snap.op_pending = 0;
  if (s->snap.loading)
    {
      if (op == OP_BASE_GET)
        load_base_read (s, ev);
      else if (op == OP_CHUNK_GET)
        load_chunk_read (s, ev);
      if (s->role == ROLE_LOADING && s->snap.loading && !s->snap.op_pending)
        timer_arm_before (&s->timers, s->t_commit, s->now + LOAD_RETRY_MS);
      return;
    }
  if (!s->snap.writing)
    return;
  switch (op)
    {
    case OP_CHUNK_GET:
      old_chunk_read (s, ev);
      break;
    case OP_CHUNK_CAS:
      if (ev->u.store.status == GL_ST_OK)
        s->snap.chunk++;
      /* If the answer was lost but the chunk is written, the read that comes
         next finds it. */
      snap_write_next (s);
      break;
    case OP_BASE_CAS:
      if (ev->u.store.status == GL_ST_OK)
        base_written (s, ev->u.store.index);
      else if (ev->u.store.status != GL_ST_REFUSED)
        {
          s->snap.op_pending = 1;
          store_get (s, OP_BASE_GET, "base");
        }
      break;
    case OP_BASE_GET:
      base_reread (s, ev);
      break;
    default:
      break;
    }
}
