/*
 * cellsave.c -- what must last: jobs, facts and ends, in grouped transactions
 *
 * A job has a key of its own from its acceptance to its end, a key with the
 * facts of its tasks once there are some, and afterwards a small key with
 * how it ended.  Several jobs share a transaction; each is in one flight at
 * a time, so its writes keep their order.  Every transaction is fenced by
 * the tenure.
 *
 * A job's key is written under the condition that neither it nor the key of
 * its end exists, so an id names one job whichever owner a caller reaches.
 * After a lost answer the same write is sent again: if the condition fails
 * and the key holds our own bytes, it had taken effect.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Weight of one answer in the usual time, and its growth by a lost one. */
#define TXN_WEIGHT 0.2
#define TXN_BACKOFF 1.5
/* Part of the store's write rate that an owner uses, and for how long it may
   be used at once; the rest is for leases, claims and enrolment. */
#define WRITE_PART 0.8
#define BURST_S 0.25
#define BUDGET_WAIT_MS 5
/* Pause after a transaction that was refused or lost. */
#define AGAIN_MS 60
/* Store entries that the largest item of a job needs. */
#define ENTRIES_MAX 3
/* A create that is refused for this long is given up. */
#define CREATE_REFUSED_MS 500

static csave_kind_t
due_kind (const cjob_t *j)
{
  if (!j->durable)
    return SAVE_CREATE;
  return j->next_phase >= GL_PHASE_COMPLETED ? SAVE_RESULT : SAVE_PROGRESS;
}

static int
is_urgent (const cjob_t *j)
{
  return due_kind (j) != SAVE_PROGRESS;
}

void
save_job (cell_t *c, cjob_t *j, int at_once)
{
  if (j->phase >= GL_PHASE_COMPLETED)
    return;
  if (!j->in_dirty)
    {
      if (handles_add (&c->dirty, j->self))
        return;
      j->in_dirty = 1;
      j->dirty_at = c->now;
    }
  timer_arm_before (&c->timers, c->save_timer,
                    at_once || is_urgent (j) ? c->now
                                             : c->now + CELL_SAVE_DELAY_MS);
}

int
save_store_down (const cell_t *c)
{
  return c->store_failures
         && c->now > c->store_answered_at + CELL_STORE_DOWN_MS;
}

int
save_idle (const cell_t *c)
{
  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (c->save_txns[i].tag)
      return 0;
  return !c->dirty.n;
}

void
save_reset (cell_t *c)
{
  memset (c->save_txns, 0, sizeof c->save_txns);
  c->dirty.n = 0;
  timer_arm (&c->timers, c->save_timer, TIMER_NEVER);
}

/* ---- composing ---- */

static void
add_check (cell_txn_t *x, const char *kind, const char *id)
{
  cell_item_t *i = &x->checks[x->nchecks++];

  snprintf (i->key, sizeof i->key, "gl/%s/%s", kind, id);
  i->revision = 0;
}

static cell_put_t *
add_put (cell_txn_t *x, const char *kind, const char *id)
{
  cell_put_t *p = &x->puts[x->nputs++];

  snprintf (p->key, sizeof p->key, "gl/%s/%s", kind, id);
  return p;
}

static int
add_create (cell_txn_t *x, const cjob_t *j)
{
  cell_put_t *p;

  add_check (x, "j", j->id);
  add_check (x, "d", j->id);
  p = add_put (x, "j", j->id);
  p->value = codec_encode ((xdrproc_t)xdr_gl_cell_job_t, &j->spec, &p->len);
  return p->value ? 0 : -1;
}

static int
add_progress (cell_t *c, cell_txn_t *x, cjob_t *j)
{
  cell_put_t *p = add_put (x, "p", j->id);
  gl_progress_t facts;

  cjob_records (c, j, &facts);
  p->value = codec_encode ((xdrproc_t)xdr_gl_progress_t, &facts, &p->len);
  codec_free ((xdrproc_t)xdr_gl_progress_t, &facts);
  return p->value ? 0 : -1;
}

static int
add_final (cell_t *c, cell_txn_t *x, const cjob_t *j)
{
  gl_job_result_t f = { j->next_phase, c->wall };
  cell_put_t *p = add_put (x, "d", j->id);

  p->value = codec_encode ((xdrproc_t)xdr_gl_job_result_t, &f, &p->len);
  add_put (x, "j", j->id);
  add_put (x, "p", j->id);
  return p->value ? 0 : -1;
}

static int
add_job (cell_t *c, cell_txn_t *x, csave_txn_t *f, cjob_t *j)
{
  csave_t *s = &f->saves[f->nsaves];
  int rc;

  s->job = j->self;
  s->kind = due_kind (j);
  s->version = j->version;
  s->phase = j->next_phase;
  if (s->kind == SAVE_CREATE)
    rc = add_create (x, j);
  else if (s->kind == SAVE_RESULT)
    rc = add_final (c, x, j);
  else
    rc = add_progress (c, x, j);
  if (rc)
    return -1;
  f->nsaves++;
  j->saving = 1;
  j->in_dirty = 0;
  return 0;
}

/* Nothing is left of it that has to be written. */
static int
is_clean (const cjob_t *j)
{
  return j->phase >= GL_PHASE_COMPLETED
         || (j->durable && j->next_phase < GL_PHASE_COMPLETED
             && j->written_version == j->version);
}

static csave_txn_t *
free_flight (cell_t *c)
{
  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (!c->save_txns[i].tag)
      return &c->save_txns[i];
  return NULL;
}

/* Move what is due from the dirty list into a transaction. */
static void
gather (cell_t *c, cell_txn_t *x, csave_txn_t *f)
{
  size_t kept = 0;

  for (size_t i = 0; i < c->dirty.n; i++)
    {
      cjob_t *j = pool_get (&c->jobs, c->dirty.v[i]);
      int full = x->nchecks + x->nputs + ENTRIES_MAX > CELL_TXN_KEYS_MAX;

      if (!j)
        continue;
      if (is_clean (j))
        {
          j->in_dirty = 0;
          continue;
        }
      if (j->saving || full || add_job (c, x, f, j))
        c->dirty.v[kept++] = c->dirty.v[i];
    }
  c->dirty.n = kept;
}

static int
any_due (cell_t *c)
{
  gl_ms_t next = TIMER_NEVER;

  for (size_t i = 0; i < c->dirty.n; i++)
    {
      cjob_t *j = pool_get (&c->jobs, c->dirty.v[i]);
      gl_ms_t due;

      if (!j || j->saving)
        continue;
      due = is_urgent (j) ? j->dirty_at : j->dirty_at + CELL_SAVE_DELAY_MS;
      if (due <= c->now || c->stopping)
        return 1;
      if (due < next)
        next = due;
    }
  if (next != TIMER_NEVER)
    timer_arm_before (&c->timers, c->save_timer, next);
  return 0;
}

/* How long an answer may take: a multiple of what is usual now. */
static gl_ms_t
patience (const cell_t *c)
{
  double ms = c->usual_txn_ms * CELL_TXN_TIMEOUT_FACTOR;

  if (ms < CELL_TXN_TIMEOUT_MIN_MS)
    return CELL_TXN_TIMEOUT_MIN_MS;
  return ms > CELL_TXN_TIMEOUT_MAX_MS ? CELL_TXN_TIMEOUT_MAX_MS : (gl_ms_t)ms;
}

/* The store's rate is for all; grouped writes take a part of it. */
static void
earn (cell_t *c)
{
  double most = c->limits.writes_per_s * WRITE_PART;

  c->write_budget += most * (double)(c->now - c->budget_at) / 1000;
  if (c->write_budget > most * BURST_S)
    c->write_budget = most * BURST_S;
  c->budget_at = c->now;
}

void
save_flush (cell_t *c)
{
  csave_txn_t *f;

  if (c->role != CR_OWNER || c->now < c->save_after)
    return;
  earn (c);
  while (any_due (c) && (f = free_flight (c)))
    {
      if (c->write_budget < 1)
        {
          timer_arm_before (&c->timers, c->save_timer,
                            c->now + BUDGET_WAIT_MS);
          return;
        }
      c->write_budget--;
      cell_effect_t *e = cell_add_effect (c, CELL_FX_TXN);

      if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
        return;
      memset (f, 0, sizeof *f);
      own_add_fence (c, e->txn);
      gather (c, e->txn, f);
      e->timeout = patience (c);
      f->tag = e->tag = cell_new_tag (c);
      f->sent_at = c->now;
      c->counters.txns++;
      if (!f->nsaves)
        {
          f->tag = 0;
          free (e->txn);
          c->fx->n--;
          return;
        }
    }
}

void
save_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  if (now < c->save_after)
    timer_arm (&c->timers, c->save_timer, c->save_after);
  save_flush (c);
}

/* ---- results ---- */

static void
mark_accepted (cell_t *c, cjob_t *j)
{
  j->durable = 1;
  j->maybe_written = 0;
  c->counters.accepted++;
  hist_add (&c->accept_time, (double)(c->now - j->arrived_at));
  cell_log (c, "job_accepted id=%s queue=%s steps=%u ms=%llu", j->id,
            j->spec.queue, j->spec.steps.steps_len,
            (unsigned long long)(c->now - j->arrived_at));
  for (size_t i = 0; i < j->accept_waiters.n; i++)
    cell_reply (c, j->accept_waiters.v[i], GL_OK, 0, j->phase, NULL);
  j->accept_waiters.n = 0;
  if (j->next_phase < GL_PHASE_COMPLETED)
    cjob_ready_steps (c, j);
}

static void
saved (cell_t *c, const csave_t *s)
{
  cjob_t *j = pool_get (&c->jobs, s->job);

  if (!j)
    return;
  j->saving = 0;
  if (s->kind == SAVE_CREATE)
    mark_accepted (c, j);
  else
    j->written_version = s->version;
  if (s->kind == SAVE_RESULT)
    {
      j->written_version = j->version;
      cjob_end_written (c, j, s->phase);
    }
  else if (!is_clean (j))
    save_job (c, j, 0);
}

static const cell_item_t *
item_of (const cell_event_t *ev, const char *kind, const char *id)
{
  char key[CELL_NAME_SIZE];

  snprintf (key, sizeof key, "gl/%s/%s", kind, id);
  for (int i = 0; i < ev->nitems; i++)
    if (!strcmp (ev->items[i].key, key) && ev->items[i].revision)
      return &ev->items[i];
  return NULL;
}

/* The id is taken: by our own lost write, by an earlier owner's, or by a job
   that has ended. */
static int
settle_create (cell_t *c, cjob_t *j, const cell_event_t *ev)
{
  const cell_item_t *is = item_of (ev, "j", j->id);
  gl_job_result_t f;

  memset (&f, 0, sizeof f);
  if (is)
    {
      cell_log (c, "job_present id=%s revision=%llu unsure=%d", j->id,
                (unsigned long long)is->revision, j->maybe_written);
      j->inherited = !j->maybe_written;
      mark_accepted (c, j);
      return 1;
    }
  is = item_of (ev, "d", j->id);
  if (!is
      || codec_decode ((xdrproc_t)xdr_gl_job_result_t, &f, is->value, is->len))
    return 0;
  cell_log (c, "job_ended_before id=%s phase=%d", j->id, f.phase);
  j->durable = 1;
  j->phase = f.phase;
  j->next_phase = f.phase;
  j->ended_at = c->now;
  for (size_t i = 0; i < j->accept_waiters.n; i++)
    cell_reply (c, j->accept_waiters.v[i], GL_OK, 0, j->phase, NULL);
  j->accept_waiters.n = 0;
  return 1;
}

static void
give_up (cell_t *c, cjob_t *j)
{
  cell_log (c, "job_refused id=%s why=store age_ms=%llu", j->id,
            (unsigned long long)(c->now - j->arrived_at));
  c->counters.refused++;
  for (size_t i = 0; i < j->accept_waiters.n; i++)
    cell_reply (c, j->accept_waiters.v[i], GL_RETRY, CELL_RETRY_MS, 0,
                "the store takes no writes");
  cjob_free (c, j);
}

static void
put_back (cell_t *c, const csave_t *s, int unsure)
{
  cjob_t *j = pool_get (&c->jobs, s->job);

  if (!j)
    return;
  j->saving = 0;
  if (s->kind == SAVE_CREATE && unsure)
    j->maybe_written = 1;
  if (s->kind == SAVE_CREATE && !j->maybe_written
      && c->now - j->arrived_at > CREATE_REFUSED_MS)
    give_up (c, j);
  else
    save_job (c, j, 1);
}

/* 1 if the tenure has changed, so that we own nothing any more. */
static int
is_fenced (const cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < ev->nitems; i++)
    if (!strcmp (ev->items[i].key, "gl/m/tenure"))
      return ev->items[i].revision != c->ownership_rev;
  return 0;
}

static void
conflict (cell_t *c, const csave_txn_t *f, const cell_event_t *ev)
{
  if (is_fenced (c, ev))
    {
      own_step_down (c, "fenced by the store");
      return;
    }
  for (int i = 0; i < f->nsaves; i++)
    {
      cjob_t *j = pool_get (&c->jobs, f->saves[i].job);

      if (j && f->saves[i].kind == SAVE_CREATE && settle_create (c, j, ev))
        {
          j->saving = 0;
          if (!is_clean (j))
            save_job (c, j, 1);
        }
      else
        put_back (c, &f->saves[i], 0);
    }
}

static void
take_result (cell_t *c, const csave_txn_t *f, const cell_event_t *ev)
{
  hist_add (&c->txn_time, (double)(c->now - f->sent_at));
  if (ev->status == GL_ST_UNKNOWN)
    c->usual_txn_ms *= TXN_BACKOFF;
  else
    c->usual_txn_ms
        += TXN_WEIGHT * ((double)(c->now - f->sent_at) - c->usual_txn_ms);
  if (c->usual_txn_ms < 1)
    c->usual_txn_ms = 1;
  if (ev->status == GL_ST_OK)
    {
      c->store_failures = 0;
      own_confirmed (c, f->sent_at);
      for (int i = 0; i < f->nsaves; i++)
        saved (c, &f->saves[i]);
      cworkers_ack_saved (c);
      return;
    }
  if (ev->status == GL_ST_CONFLICT)
    {
      conflict (c, f, ev);
      return;
    }
  c->counters.txns_failed++;
  c->store_failures++;
  c->save_after = c->now + AGAIN_MS;
  cell_log (c, "txn_failed status=%d jobs=%d ms=%llu", ev->status, f->nsaves,
            (unsigned long long)(c->now - f->sent_at));
  for (int i = 0; i < f->nsaves; i++)
    put_back (c, &f->saves[i], ev->status == GL_ST_UNKNOWN);
  timer_arm_before (&c->timers, c->save_timer, c->save_after);
}

int
save_txn_result (cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (c->save_txns[i].tag == ev->tag)
      {
        csave_txn_t f = c->save_txns[i];

        c->save_txns[i].tag = 0;
        take_result (c, &f, ev);
        return 1;
      }
  return 0;
}
