/*
 * cellsave.c -- writes jobs, task records and results to the store
 *
 * Keys of a job:
 *   gl/j/ID   its specification, from its acceptance to its end
 *   gl/p/ID   its task records, once there are some, until its end; further
 *             keys if it has many tasks, see cellrecord.c
 *   gl/d/ID   its result, from its end on
 *
 * One transaction writes several jobs, and a job is in one transaction at a
 * time, so that its writes keep their order.  A transaction that the store
 * refuses for what it holds is not sent again: its writes are sent one by one,
 * and the one that is refused alone is tried again after growing pauses. Every
 * transaction checks the ownership record; see cellown.c.
 *
 * A transaction without an answer may be carried out seconds later, if its
 * conditions still hold.  So that it cannot undo a newer write, task records
 * are written only over the revision that this owner knows, and for the first
 * time only while the specification is there.  A conflict tells the present
 * revision; earlier transactions that expected another one can no longer be
 * carried out.  Results are not checked: a job has one result, and writing it
 * twice changes nothing.
 *
 * When a transaction is overdue, the store may be silent.  Until it answers
 * again, new jobs are not written: their outcome would stay unknown, while a
 * job that was never sent can be refused as "not run".  A check of the
 * ownership then probes the store.  Once the store answers a later call,
 * overdue transactions count as unanswered and are written again.
 *
 * The specification is written only if neither it nor a result exists under
 * the id, so an id names one job whichever owner a caller reaches.  When the
 * answer to that write is lost, it is sent again; if the specification exists
 * then, the first write is taken to have made it.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Weight of one transaction in the average duration, and the factor by which
   a lost answer raises the average. */
#define TXN_AVG_WEIGHT 0.2
#define TXN_LOST_FACTOR 1.5
/* Share of the store's write rate that this module uses; the rest is left for
   leases, claims and enrolment. */
#define WRITE_SHARE 0.8
/* Unused budget is kept for this many seconds of that rate. */
#define WRITE_BURST_S 0.25
/* Time between two transactions, so that one takes what several callers wait
   for; the first after a quiet time is sent at once, and so is a full one. */
#define TXN_SPACING_MS 25
/* Urgent jobs that fill a transaction. */
#define FULL_TXN_JOBS 8
/* A transaction without an answer is overdue after this many times the usual
   duration, and not before this time. */
#define OVERDUE_FACTOR 5
#define OVERDUE_MIN_MS 40
/* Period of the checks while the store may be silent. */
#define DOUBT_TICK_MS 50
/* Bytes of a transaction, and of each check and write in it beside the value.
 */
#define TXN_BYTES 300
#define ENTRY_BYTES 60
/* Task records wait longer while the link is behind, by this many times its
   backlog: one write then takes more of them. */
#define SAVE_DELAY_FACTOR 4
/* Pause when the budget is used up. */
#define BUDGET_WAIT_MS 5
/* Bytes of values after which nothing more is added to a transaction. */
#define TXN_VALUES_MAX 262144
/* Pause after the first refusal of a write for what it holds, and the longest
   one. */
#define REFUSED_PAUSE_MS 250
#define REFUSED_PAUSE_MAX_MS 32000
/* Most checks and writes that one job adds to a transaction: a specification
   has two checks and a write, task records the same, a result a write and two
   removals. */
#define JOB_ENTRIES_MAX 3
/* A new job whose specification the store refuses for this long is refused. */
#define CREATE_GIVE_UP_MS 500

static csave_kind_t
next_save_kind (const cjob_t *j)
{
  if (!j->durable)
    return SAVE_CREATE;
  return j->next_phase >= GL_PHASE_COMPLETED ? SAVE_RESULT : SAVE_PROGRESS;
}

/* Specifications and results are written without delay, since callers wait for
   them. */
static int
is_urgent (const cjob_t *j)
{
  return next_save_kind (j) != SAVE_PROGRESS;
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
  for (size_t i = 0; i < c->dirty.n; i++)
    {
      const cjob_t *j = pool_get (&c->jobs, c->dirty.v[i]);

      /* A successor may do no better with a write that the store refuses. */
      if (j && !j->refusals)
        return 0;
    }
  return 1;
}

void
save_reset (cell_t *c)
{
  memset (c->save_txns, 0, sizeof c->save_txns);
  c->dirty.n = 0;
  timer_arm (&c->timers, c->save_timer, TIMER_NEVER);
}

/* ---- building transactions ---- */

static void
add_check (cell_txn_t *txn, const char *kind, const char *id,
           uint64_t revision)
{
  cell_item_t *i = &txn->checks[txn->nchecks++];

  snprintf (i->key, sizeof i->key, "gl/%s/%s", kind, id);
  i->revision = revision;
}

static cell_put_t *
add_put (cell_txn_t *txn, const char *kind, const char *id)
{
  cell_put_t *p = &txn->puts[txn->nputs++];

  snprintf (p->key, sizeof p->key, "gl/%s/%s", kind, id);
  return p;
}

/* Append the job's team, if it has one; -1 without memory. */
static int
append_team (const cell_t *c, const cjob_t *j, cell_put_t *p)
{
  gl_team_t team;

  if (j->team < 0)
    return 0;
  team.name = c->conf.teams.v[j->team].name;
  return codec_append ((xdrproc_t)xdr_gl_team_t, &team, &p->value, &p->len);
}

static int
add_create (const cell_t *c, cell_txn_t *txn, const cjob_t *j)
{
  cell_put_t *p;

  add_check (txn, "j", j->id, 0);
  add_check (txn, "d", j->id, 0);
  p = add_put (txn, "j", j->id);
  p->value = codec_encode ((xdrproc_t)xdr_gl_cell_job_t, &j->spec, &p->len);
  return p->value ? queue_append (c, j, p) : -1;
}

static int
add_progress (cell_t *c, cell_txn_t *txn, const cjob_t *j, size_t chunk,
              int checked)
{
  uint64_t revision = j->chunks[chunk].revision;
  cell_put_t *p = &txn->puts[txn->nputs++];
  cell_item_t *check;

  records_key (j->id, chunk, p->key);
  if (!FAULT (FAULT_CELL_LATE_WRITE))
    {
      if (!revision && !checked)
        add_check (txn, "j", j->id, j->spec_revision);
      check = &txn->checks[txn->nchecks++];
      records_key (j->id, chunk, check->key);
      check->revision = revision;
    }
  return records_encode (c, j, chunk, &p->value, &p->len);
}

static int
add_result (cell_t *c, cell_txn_t *txn, const cjob_t *j)
{
  gl_job_result_t result = { j->next_phase, c->wall };
  cell_put_t *p = add_put (txn, "d", j->id);

  p->value = codec_encode ((xdrproc_t)xdr_gl_job_result_t, &result, &p->len);
  add_put (txn, "j", j->id);
  add_put (txn, "p", j->id);
  return p->value ? append_team (c, j, p) : -1;
}

/* Add one write of the job, of its records that of @chunk; -1, with @txn
   unchanged, without memory.  @checked: @txn has the check on the job's
   specification. */
static int
add_write (cell_t *c, cell_txn_t *txn, csave_txn_t *slot, cjob_t *j,
           size_t chunk, int checked)
{
  csave_t *s = &slot->saves[slot->nsaves];
  int nchecks = txn->nchecks;
  int nputs = txn->nputs;
  int rc;

  s->job = j->self;
  s->kind = next_save_kind (j);
  s->chunk = chunk;
  s->version = j->version;
  s->phase = j->next_phase;
  if (s->kind == SAVE_CREATE)
    rc = add_create (c, txn, j);
  else if (s->kind == SAVE_RESULT)
    rc = add_result (c, txn, j);
  else
    rc = add_progress (c, txn, j, chunk, checked);
  if (rc)
    {
      /* A write without a value would remove the key. */
      while (txn->nputs > nputs)
        free (txn->puts[--txn->nputs].value);
      memset (&txn->puts[nputs], 0,
              (size_t)(CELL_TXN_KEYS_MAX - nputs) * sizeof *txn->puts);
      txn->nchecks = nchecks;
      return -1;
    }
  slot->nsaves++;
  j->saving++;
  j->in_dirty = 0;
  return 0;
}

static size_t
value_bytes (const cell_txn_t *txn)
{
  size_t n = 0;

  for (int i = 0; i < txn->nputs; i++)
    n += txn->puts[i].len;
  return n;
}

static int
is_full (const cell_txn_t *txn)
{
  return txn->nchecks + txn->nputs + JOB_ENTRIES_MAX > CELL_TXN_KEYS_MAX
         || value_bytes (txn) >= TXN_VALUES_MAX;
}

/* Add what of the job is to be written and has room; -1 if that is nothing. */
static int
add_job (cell_t *c, cell_txn_t *txn, csave_txn_t *slot, cjob_t *j)
{
  size_t chunk = 0;
  size_t from = j->next_chunk;
  int wrapped = 0;
  int added = 0;
  int checked = 0;

  if (j->alone && slot->nsaves)
    return -1;
  if (next_save_kind (j) != SAVE_PROGRESS)
    return add_write (c, txn, slot, j, 0, 0);
  /* Begin where the write before has ended, so that each chunk has its turn.
   */
  while (!is_full (txn) && !(j->alone && added))
    {
      if (!records_next (j, from, &chunk)
          || (wrapped && chunk >= j->next_chunk))
        {
          if (wrapped || !j->next_chunk)
            break;
          wrapped = 1;
          from = 0;
          continue;
        }
      if (add_write (c, txn, slot, j, chunk, checked))
        break;
      checked |= !j->chunks[chunk].revision;
      added++;
      from = chunk + 1;
    }
  j->next_chunk = from < j->nchunks ? from : 0;
  return added ? 0 : -1;
}

/* 1 if nothing of the job has to be written. */
static int
is_clean (const cjob_t *j)
{
  return j->phase >= GL_PHASE_COMPLETED
         || (j->durable && j->next_phase < GL_PHASE_COMPLETED
             && records_are_written (j));
}

static gl_ms_t
overdue_ms (const cell_t *c)
{
  double ms = c->usual_txn_ms * OVERDUE_FACTOR;

  return ms < OVERDUE_MIN_MS ? OVERDUE_MIN_MS : (gl_ms_t)ms;
}

/* Whether the store may be silent: the last call failed, or one is overdue. */
static int
is_store_doubtful (const cell_t *c)
{
  gl_ms_t span = overdue_ms (c);

  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (c->save_txns[i].tag && c->now >= c->save_txns[i].leaves_at + span)
      return 1;
  return c->store_failures > 0;
}

/* Whether no transaction with the job has ever been sent. */
static int
is_unsent (const cjob_t *j)
{
  return !j->durable && !j->maybe_written;
}

/* A free slot, or NULL.  While the store may be silent, there is one
   transaction in flight at most. */
static csave_txn_t *
free_txn_slot (cell_t *c)
{
  int doubtful = is_store_doubtful (c);
  csave_txn_t *slot = NULL;

  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (!c->save_txns[i].tag)
      slot = slot ? slot : &c->save_txns[i];
    else if (doubtful)
      return NULL;
  return slot;
}

/* Adds dirty jobs to the transaction until it is full; the others stay in the
   list, and so do unsent ones while the store may be silent. */
static void
fill_txn (cell_t *c, cell_txn_t *txn, csave_txn_t *slot)
{
  int doubtful = is_store_doubtful (c);
  int closed = 0;
  size_t kept = 0;

  for (size_t i = 0; i < c->dirty.n; i++)
    {
      cjob_t *j = pool_get (&c->jobs, c->dirty.v[i]);

      if (!j)
        continue;
      if (is_clean (j))
        {
          j->in_dirty = 0;
          continue;
        }
      if (j->saving || closed || is_full (txn) || (doubtful && is_unsent (j))
          || c->now < j->write_after || add_job (c, txn, slot, j))
        c->dirty.v[kept++] = c->dirty.v[i];
      else
        closed = j->alone;
    }
  c->dirty.n = kept;
}

/* 1 if a dirty job is due to be written now; else the timer is set for the
   first that will be. */
static int
is_save_due (cell_t *c)
{
  gl_ms_t next = TIMER_NEVER;
  gl_ms_t spaced = c->txn_sent_at + TXN_SPACING_MS;
  int doubtful = is_store_doubtful (c);
  int urgent = 0;

  for (size_t i = 0; i < c->dirty.n; i++)
    {
      cjob_t *j = pool_get (&c->jobs, c->dirty.v[i]);
      gl_ms_t due;

      if (!j || j->saving || (doubtful && is_unsent (j)))
        continue;
      if (c->now < j->write_after)
        {
          next = j->write_after < next ? j->write_after : next;
          continue;
        }
      urgent += is_urgent (j);
      due = j->dirty_at;
      if (!is_urgent (j))
        due += CELL_SAVE_DELAY_MS + SAVE_DELAY_FACTOR * flow_backlog (c);
      if (due < spaced)
        due = spaced;
      if (due <= c->now || c->stop.stopping || urgent >= FULL_TXN_JOBS)
        return 1;
      if (due < next)
        next = due;
    }
  if (next != TIMER_NEVER)
    timer_arm_before (&c->timers, c->save_timer, next);
  return 0;
}

/* Timeout of the next transaction: a multiple of the average duration. */
static gl_ms_t
txn_timeout (const cell_t *c)
{
  double ms = c->usual_txn_ms * CELL_TXN_TIMEOUT_FACTOR;

  if (ms < CELL_TXN_TIMEOUT_MIN_MS)
    return CELL_TXN_TIMEOUT_MIN_MS;
  return ms > CELL_TXN_TIMEOUT_MAX_MS ? CELL_TXN_TIMEOUT_MAX_MS : (gl_ms_t)ms;
}

/* Bytes of the transaction as it is sent: values are base64 text. */
static size_t
txn_bytes (const cell_txn_t *txn)
{
  size_t n = TXN_BYTES + (size_t)txn->nchecks * ENTRY_BYTES;

  for (int i = 0; i < txn->nputs; i++)
    n += ENTRY_BYTES + txn->puts[i].len * 4 / 3;
  return n;
}

/* Adds what the elapsed time allows to the write budget. */
static void
refill_write_budget (cell_t *c)
{
  double rate = c->limits.writes_per_s * WRITE_SHARE;

  c->write_budget += rate * (double)(c->now - c->budget_at) / 1000;
  if (c->write_budget > rate * WRITE_BURST_S)
    c->write_budget = rate * WRITE_BURST_S;
  c->budget_at = c->now;
}

void
save_flush (cell_t *c)
{
  csave_txn_t *slot;

  if (c->role != CR_OWNER || c->now < c->save_after)
    return;
  refill_write_budget (c);
  while (is_save_due (c) && (slot = free_txn_slot (c)))
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
      memset (slot, 0, sizeof *slot);
      own_add_fence (c, e->txn);
      fill_txn (c, e->txn, slot);
      slot->tag = e->tag = cell_new_tag (c);
      slot->sent_at = c->txn_sent_at = c->now;
      slot->leaves_at = c->now + flow_send (c, txn_bytes (e->txn));
      e->timeout = txn_timeout (c) + (slot->leaves_at - c->now);
      timer_arm_before (&c->timers, c->save_timer, c->now + overdue_ms (c));
      c->counters.txns++;
      if (!slot->nsaves)
        {
          slot->tag = 0;
          free (e->txn);
          c->fx->n--;
          return;
        }
    }
}

static void refuse_unsent_jobs (cell_t *c);

/* Sets the timer for the transaction in flight that will be overdue first.
   The timer may have been due earlier than that when it was sent. */
static void
arm_overdue_check (cell_t *c)
{
  gl_ms_t span = overdue_ms (c);

  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (c->save_txns[i].tag && c->save_txns[i].leaves_at + span > c->now)
      timer_arm_before (&c->timers, c->save_timer,
                        c->save_txns[i].leaves_at + span);
}

void
save_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  if (c->role == CR_OWNER && is_store_doubtful (c))
    {
      own_confirm_now (c);
      if (save_store_down (c))
        refuse_unsent_jobs (c);
      timer_arm_before (&c->timers, c->save_timer, now + DOUBT_TICK_MS);
    }
  if (now < c->save_after)
    timer_arm (&c->timers, c->save_timer, c->save_after);
  save_flush (c);
  arm_overdue_check (c);
}

/* ---- results of transactions ---- */

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
    request_answer_job (c, j->accept_waiters.v[i], j);
  j->accept_waiters.n = 0;
  if (j->next_phase < GL_PHASE_COMPLETED)
    cjob_ready_steps (c, j);
}

static void
job_saved (cell_t *c, const csave_t *s, uint64_t revision)
{
  cjob_t *j = pool_get (&c->jobs, s->job);

  if (!j)
    return;
  j->saving--;
  j->refusals = 0;
  j->write_after = 0;
  if (s->kind == SAVE_CREATE)
    {
      j->spec_revision = revision;
      mark_accepted (c, j);
    }
  if (s->kind == SAVE_PROGRESS)
    records_written (j, s->chunk, s->version, revision);
  if (s->kind == SAVE_RESULT)
    {
      j->written_version = j->version;
      cjob_end_written (c, j, s->phase);
    }
  else if (is_clean (j))
    j->alone = 0;
  else if (!j->saving)
    save_job (c, j, 0);
}

/* The present state of a job's key that was checked, or NULL if it is absent.
 */
static const cell_item_t *
conflicting_item (const cell_event_t *ev, const char *kind, const char *id)
{
  char key[CELL_KEY_SIZE];

  snprintf (key, sizeof key, "gl/%s/%s", kind, id);
  return own_conflicting_item (ev, key);
}

/* Expect the revisions that the job's keys have now: an earlier transaction
   without an answer was carried out. */
static void
adopt_revisions (cjob_t *j, size_t chunk, const cell_event_t *ev)
{
  char key[CELL_KEY_SIZE];
  const cell_item_t *item;

  records_key (j->id, chunk, key);
  item = own_conflicting_item (ev, key);
  j->chunks[chunk].revision = item ? item->revision : 0;
  item = conflicting_item (ev, "j", j->id);
  if (item)
    j->spec_revision = item->revision;
}

/* A specification was not written since its id is in use: by our own write
   whose answer was lost, by an earlier owner's, or by a job that has ended.
   Returns 1 if the store holds the job or its result. */
static int
resolve_create_conflict (cell_t *c, cjob_t *j, const cell_event_t *ev)
{
  const cell_item_t *item = conflicting_item (ev, "j", j->id);
  gl_job_result_t result;

  memset (&result, 0, sizeof result);
  if (item)
    {
      cell_log (c, "job_exists id=%s revision=%llu maybe_written=%d", j->id,
                (unsigned long long)item->revision, j->maybe_written);
      j->inherited = !j->maybe_written;
      j->spec_revision = item->revision;
      mark_accepted (c, j);
      return 1;
    }
  item = conflicting_item (ev, "d", j->id);
  if (!item
      || codec_decode ((xdrproc_t)xdr_gl_job_result_t, &result, item->value,
                       item->len))
    return 0;
  cell_log (c, "job_ended_before id=%s phase=%d", j->id, result.phase);
  j->durable = 1;
  j->phase = result.phase;
  j->next_phase = result.phase;
  j->ended_at = c->now;
  j->team = cjob_result_team (c, item);
  for (size_t i = 0; i < j->accept_waiters.n; i++)
    request_answer_job (c, j->accept_waiters.v[i], j);
  j->accept_waiters.n = 0;
  return 1;
}

static void
refuse_job (cell_t *c, cjob_t *j)
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
refuse_unsent_jobs (cell_t *c)
{
  for (size_t i = 0; i < c->dirty.n; i++)
    {
      cjob_t *j = pool_get (&c->jobs, c->dirty.v[i]);

      if (j && is_unsent (j) && !j->saving)
        refuse_job (c, j);
    }
}

/* Writes the job again, unless it is new and can be refused; @lost: the answer
   was lost, so the write may have taken effect. */
static void
retry_save (cell_t *c, const csave_t *s, int lost)
{
  cjob_t *j = pool_get (&c->jobs, s->job);

  if (!j)
    return;
  if (j->saving)
    j->saving--;
  requests_end_unwritten (c, j);
  if (s->kind == SAVE_CREATE && lost)
    j->maybe_written = 1;
  if (s->kind == SAVE_CREATE && !j->maybe_written
      && c->now - j->arrived_at > CREATE_GIVE_UP_MS)
    refuse_job (c, j);
  else
    save_job (c, j, 1);
}

static void
handle_conflict (cell_t *c, const csave_txn_t *slot, const cell_event_t *ev)
{
  if (own_fence_failed (c, ev))
    {
      own_step_down (c, "fenced by the store");
      return;
    }
  for (int i = 0; i < slot->nsaves; i++)
    {
      cjob_t *j = pool_get (&c->jobs, slot->saves[i].job);

      if (j && slot->saves[i].kind == SAVE_CREATE
          && resolve_create_conflict (c, j, ev))
        {
          j->saving = 0;
          if (!is_clean (j))
            save_job (c, j, 1);
        }
      else
        {
          if (j && slot->saves[i].kind == SAVE_PROGRESS)
            adopt_revisions (j, slot->saves[i].chunk, ev);
          retry_save (c, &slot->saves[i], 0);
        }
    }
}

void
save_store_answered (cell_t *c, gl_ms_t sent)
{
  gl_ms_t span = overdue_ms (c);

  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    {
      csave_txn_t *slot = &c->save_txns[i];

      if (!slot->tag || slot->leaves_at + span > sent)
        continue;
      cell_log (c, "txn_overdue jobs=%d ms=%llu", slot->nsaves,
                (unsigned long long)(c->now - slot->sent_at));
      c->counters.txns_failed++;
      slot->tag = 0;
      for (int k = 0; k < slot->nsaves; k++)
        retry_save (c, &slot->saves[k], 1);
    }
}

/* The store has refused the transaction for what it holds: send its writes one
   by one, and the one that was refused alone after a pause. */
static void
handle_invalid (cell_t *c, const csave_txn_t *slot)
{
  gl_ms_t pause = REFUSED_PAUSE_MS;

  for (int i = 0; i < slot->nsaves; i++)
    {
      const csave_t *s = &slot->saves[i];
      cjob_t *j = pool_get (&c->jobs, s->job);

      if (j && slot->nsaves == 1)
        {
          for (unsigned int k = 0;
               k < j->refusals && pause < REFUSED_PAUSE_MAX_MS; k++)
            pause *= 2;
          j->refusals++;
          j->write_after = c->now + pause;
          c->counters.writes_invalid++;
          cell_log (c,
                    "write_invalid id=%s kind=%d chunk=%zu refusals=%u "
                    "retry_ms=%llu",
                    j->id, s->kind, s->chunk, j->refusals,
                    (unsigned long long)pause);
        }
      if (j)
        j->alone = 1;
      retry_save (c, s, 0);
    }
}

static void
handle_result (cell_t *c, const csave_txn_t *slot, const cell_event_t *ev)
{
  double ms
      = c->now > slot->leaves_at ? (double)(c->now - slot->leaves_at) : 1;

  hist_add (&c->txn_time, ms);
  if (ev->status == GL_ST_UNKNOWN)
    c->usual_txn_ms *= TXN_LOST_FACTOR;
  else
    c->usual_txn_ms += TXN_AVG_WEIGHT * (ms - c->usual_txn_ms);
  if (c->usual_txn_ms < 1)
    c->usual_txn_ms = 1;
  if (ev->status == GL_ST_OK)
    {
      c->store_failures = 0;
      own_confirmed (c, slot->sent_at);
      save_store_answered (c, slot->sent_at);
      for (int i = 0; i < slot->nsaves; i++)
        job_saved (c, &slot->saves[i], ev->revision);
      cworkers_ack_saved (c);
      return;
    }
  if (ev->status == GL_ST_CONFLICT)
    {
      handle_conflict (c, slot, ev);
      return;
    }
  c->counters.txns_failed++;
  if (ev->status == GL_ST_INVALID)
    {
      handle_invalid (c, slot);
      return;
    }
  c->store_failures++;
  c->save_after = c->now + CELL_STORE_RETRY_MS;
  cell_log (c, "txn_failed status=%d jobs=%d ms=%llu", ev->status,
            slot->nsaves, (unsigned long long)(c->now - slot->sent_at));
  for (int i = 0; i < slot->nsaves; i++)
    retry_save (c, &slot->saves[i], ev->status == GL_ST_UNKNOWN);
  request_end_wait_tick (c, c->now);
  timer_arm_before (&c->timers, c->save_timer, c->save_after);
}

int
save_txn_result (cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < CELL_SAVE_TXNS_MAX; i++)
    if (c->save_txns[i].tag == ev->tag)
      {
        csave_txn_t slot = c->save_txns[i];

        c->save_txns[i].tag = 0;
        handle_result (c, &slot, ev);
        return 1;
      }
  return 0;
}
