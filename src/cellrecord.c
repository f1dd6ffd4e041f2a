/*
 * cellrecord.c -- records of a job's tasks, in values of bounded length
 *
 * The tasks of a job are numbered through all its iterations and steps.  The
 * records of CELL_CHUNK_TASKS tasks in a row are one value of the store, a
 * chunk, so that no value grows with the job:
 *
 *   gl/p/ID     the first chunk
 *   gl/p/ID/N   chunk N, from 1 on
 *
 * A chunk is written when a record in it has changed.  Those of a gang may be
 * in several chunks, of which a successor finds some written and others not; a
 * gang with one member done is done.
 *
 * Older versions wrote all records of a job into the first key.  That key is
 * written only when every other chunk of which it has records is in the store.
 *
 * With its result, the first key of a job is removed.  The others follow, and
 * so do those that an owner finds without a job: no specification exists then,
 * which each removal checks.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Tests make chunks smaller, so that small jobs have several. */
#ifdef GL_TEST_FAULTS
unsigned int cell_chunk_tasks = CELL_CHUNK_TASKS;
#define CHUNK_TASKS cell_chunk_tasks
#else
#define CHUNK_TASKS CELL_CHUNK_TASKS
#endif
/* Each key adds a check and a write to a transaction, which has the check of
   the ownership besides. */
#define REMOVALS_PER_TXN ((CELL_TXN_KEYS_MAX - 1) / 2)

/* ---- chunks ---- */

static size_t
chunk_of (const cstep_t *s, uint32_t index)
{
  return (size_t)((s->first_task + index) / CHUNK_TASKS);
}

int
records_add_tasks (cjob_t *j, uint32_t count)
{
  size_t n = (size_t)((j->ntasks + count + CHUNK_TASKS - 1) / CHUNK_TASKS);
  cchunk_t *v;

  if (n > j->nchunks)
    {
      v = realloc (j->chunks, n * sizeof *v);
      if (!v)
        return -1;
      memset (v + j->nchunks, 0, (n - j->nchunks) * sizeof *v);
      j->chunks = v;
      j->nchunks = n;
    }
  j->ntasks += count;
  return 0;
}

void
records_range (const cstep_t *s, size_t chunk, uint32_t *from, uint32_t *to)
{
  uint64_t first = (uint64_t)chunk * CHUNK_TASKS;
  uint64_t end = first + CHUNK_TASKS;
  uint64_t step_end = s->first_task + s->def->count;

  *from = first > s->first_task ? (uint32_t)(first - s->first_task) : 0;
  *to = (uint32_t)((end < step_end ? end : step_end) - s->first_task);
  if (first >= step_end || end <= s->first_task)
    *from = *to = 0;
}

void
records_changed (cell_t *c, const cstep_t *s, uint32_t index)
{
  cjob_t *j = cstep_job (c, s);

  j->chunks[chunk_of (s, index)].version = j->version;
}

static int
is_written (const cchunk_t *k)
{
  return k->version <= k->written;
}

int
records_are_written (const cjob_t *j)
{
  for (size_t i = 0; i < j->nchunks; i++)
    if (!is_written (&j->chunks[i]))
      return 0;
  return 1;
}

int
records_next (const cjob_t *j, size_t from, size_t *chunk)
{
  int old = 0;

  for (size_t i = 0; i < j->nchunks; i++)
    old |= j->chunks[i].in_first_key;
  for (size_t i = from; i < j->nchunks; i++)
    if (!is_written (&j->chunks[i]) && (i || !old))
      {
        *chunk = i;
        return 1;
      }
  return 0;
}

void
records_written (cjob_t *j, size_t chunk, uint64_t version, uint64_t revision)
{
  cchunk_t *k = &j->chunks[chunk];

  k->written = version;
  k->revision = revision;
  k->in_first_key = 0;
  j->written_version = j->version;
  if (FAULT (FAULT_CELL_CHUNK_FORGOTTEN))
    return;
  for (size_t i = 0; i < j->nchunks; i++)
    if (!is_written (&j->chunks[i])
        && j->chunks[i].written < j->written_version)
      j->written_version = j->chunks[i].written;
}

void
records_key (const char *id, size_t chunk, char key[CELL_KEY_SIZE])
{
  if (chunk)
    snprintf (key, CELL_KEY_SIZE, "gl/p/%s/%zu", id, chunk);
  else
    snprintf (key, CELL_KEY_SIZE, "gl/p/%s", id);
}

/* Returns -1 if the key names no chunk. */
static int
parse_key (const char *key, char id[CELL_JOB_ID_SIZE], size_t *chunk)
{
  const char *s = key + strlen ("gl/p/");
  size_t len = strcspn (s, "/");
  char *end;

  if (len >= CELL_JOB_ID_SIZE)
    return -1;
  memcpy (id, s, len);
  id[len] = 0;
  *chunk = 0;
  if (!s[len])
    return 0;
  *chunk = strtoul (s + len + 1, &end, 10);
  return *end || !*chunk ? -1 : 0;
}

/* ---- encoding ---- */

static void
fill_record (const cstep_t *s, uint32_t index, gl_task_record_t *r)
{
  ctask_t *t = &s->tasks[index];

  r->iteration = s->iteration;
  r->step = s->index;
  r->index = index;
  /* A successor is to take the surplus run for an unknown one. */
  r->run = t->surplus ? 0 : t->run;
  r->failed_runs.failed_runs_len = t->nfailed_runs;
  r->failed_runs.failed_runs_val = t->failed_runs;
  r->done = t->state == CT_DONE;
  r->checkpoint = t->checkpoint;
}

int
records_encode (cell_t *c, const cjob_t *j, size_t chunk, char **value,
                size_t *len)
{
  /* The records point into the tasks. */
  gl_task_record_t records[CELL_CHUNK_TASKS];
  gl_failure_record_t failures[CELL_CHUNK_TASKS];
  gl_progress_t p = { { 0, records } };
  gl_failures_t f = { { 0, failures } };

  for (size_t i = 0; i < j->steps.n; i++)
    {
      const cstep_t *s = pool_get (&c->steps, j->steps.v[i]);
      uint32_t from = 0;
      uint32_t to = 0;

      if (s)
        records_range (s, chunk, &from, &to);
      for (uint32_t k = from; k < to; k++)
        {
          const ctask_t *t = &s->tasks[k];

          if (t->has_record)
            fill_record (s, k, &records[p.tasks.tasks_len++]);
          if (t->unnamed_run)
            failures[f.tasks.tasks_len++]
                = (gl_failure_record_t){ s->iteration, s->index, k,
                                         t->failures, t->unnamed_run };
        }
    }
  *value = codec_encode ((xdrproc_t)xdr_gl_progress_t, &p, len);
  if (!*value || crash_encode (c, j, chunk, f.tasks.tasks_len > 0, value, len))
    return -1;
  return f.tasks.tasks_len
             ? codec_append ((xdrproc_t)xdr_gl_failures_t, &f, value, len)
             : 0;
}

/* ---- loading ---- */

void
records_found (cjob_t *j, const cstep_t *s, uint32_t index, size_t chunk)
{
  cchunk_t *k = &j->chunks[chunk_of (s, index)];

  if (chunk_of (s, index) == chunk || k->revision)
    return;
  k->in_first_key = 1;
  k->version = j->version;
}

/* Take over the counts of failures that the task records do not name. */
static void
restore_failures (cell_t *c, cjob_t *j, const char *data, size_t len)
{
  gl_failures_t f;

  memset (&f, 0, sizeof f);
  if (codec_decode ((xdrproc_t)xdr_gl_failures_t, &f, data, len))
    {
      cell_log (c, "failure_records_unreadable id=%s", j->id);
      return;
    }
  for (u_int i = 0; i < f.tasks.tasks_len; i++)
    {
      const gl_failure_record_t *r = &f.tasks.tasks_val[i];
      char name[CELL_NAME_SIZE];
      cstep_t *s;
      uint32_t index;
      ctask_t *t;

      snprintf (name, sizeof name, "%s.%u.%u.%u", j->id, r->iteration, r->step,
                r->index);
      t = ctask_find (c, name, &s, &index);
      if (!t)
        continue;
      t->failures = r->failures;
      t->unnamed_run = r->unnamed_run;
    }
  codec_free ((xdrproc_t)xdr_gl_failures_t, &f);
}

void
records_load (cell_t *c, const cell_item_t *item)
{
  char id[CELL_JOB_ID_SIZE];
  gl_progress_t p;
  size_t chunk;
  size_t used;
  size_t crashes_len = 0;
  cjob_t *j;

  if (parse_key (item->key, id, &chunk))
    {
      cell_log (c, "progress_unreadable key=%s", item->key);
      return;
    }
  j = cjob_find (c, id);
  if (!j)
    {
      records_remove_later (c, id, chunk);
      return;
    }
  memset (&p, 0, sizeof p);
  if (codec_decode ((xdrproc_t)xdr_gl_progress_t, &p, item->value, item->len))
    {
      cell_log (c, "progress_unreadable key=%s", item->key);
      return;
    }
  j->version = 1;
  cjob_restore (c, j, &p, chunk);
  used = xdr_sizeof ((xdrproc_t)xdr_gl_progress_t, &p);
  if (item->len > used)
    crashes_len
        = crash_restore (c, j, chunk, item->value + used, item->len - used);
  used += crashes_len;
  if (crashes_len && item->len > used)
    restore_failures (c, j, item->value + used, item->len - used);
  codec_free ((xdrproc_t)xdr_gl_progress_t, &p);
  /* A chunk has no records of tasks that do not exist. */
  if (chunk >= j->nchunks)
    return;
  j->chunks[chunk].version = 1;
  records_written (j, chunk, 1, item->revision);
  if (!records_are_written (j))
    save_job (c, j, 0);
}

/* ---- removal ---- */

void
records_remove_later (cell_t *c, const char *id, size_t chunk)
{
  cremoval_t *r;

  if (array_reserve (&c->removals, &c->capremovals, c->nremovals, sizeof *r))
    return;
  r = &c->removals[c->nremovals++];
  cell_strcpy (r->id, id);
  r->chunk = chunk;
}

void
records_job_ended (cell_t *c, const cjob_t *j)
{
  for (size_t i = 1; i < j->nchunks; i++)
    /* A write without an answer may have made the key. */
    if (j->chunks[i].version)
      records_remove_later (c, j->id, i);
}

void
records_remove (cell_t *c)
{
  cell_effect_t *e;

  if (!c->nremovals || c->removal_tag || c->now < c->removal_after)
    return;
  e = cell_add_effect (c, CELL_FX_TXN);
  if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
    return;
  c->removal_tag = e->tag = cell_new_tag (c);
  e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
  own_add_fence (c, e->txn);
  for (c->nremoving = 0;
       c->nremoving < c->nremovals && c->nremoving < REMOVALS_PER_TXN;
       c->nremoving++)
    {
      const cremoval_t *r = &c->removals[c->nremoving];

      snprintf (e->txn->checks[e->txn->nchecks++].key, CELL_KEY_SIZE,
                "gl/j/%s", r->id);
      records_key (r->id, r->chunk, e->txn->puts[e->txn->nputs++].key);
    }
}

int
records_txn_result (cell_t *c, const cell_event_t *ev)
{
  if (!c->removal_tag || ev->tag != c->removal_tag)
    return 0;
  c->removal_tag = 0;
  if (ev->status == GL_ST_CONFLICT && own_fence_failed (c, ev))
    {
      own_step_down (c, "fenced by the store");
      return 1;
    }
  if (ev->status == GL_ST_CONFLICT)
    cell_log (c, "removal_dropped keys=%d first=%s", c->nremoving,
              c->removals[0].id);
  else if (ev->status != GL_ST_OK)
    {
      c->removal_after = c->now + CELL_STORE_RETRY_MS;
      return 1;
    }
  c->nremovals -= c->nremoving;
  memmove (c->removals, c->removals + c->nremoving,
           (size_t)c->nremovals * sizeof *c->removals);
  return 1;
}

void
records_reset (cell_t *c)
{
  c->nremovals = 0;
  c->removal_tag = 0;
  c->removal_after = 0;
}
