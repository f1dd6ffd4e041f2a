/*
 * cellenrol.c -- records of the workers on which tasks may be running
 *
 * A worker is enrolled, that is, its record is written to the store, before
 * any task is started on it.  The record is removed when nothing can run there
 * any more, because the worker has restarted or all its leases have ended,
 * even if it is still registered: a new owner waits for every worker that has
 * a record.  The workers' own registrations do not tell a new owner where
 * tasks may be running, since a registration may lapse while the worker runs
 * on.
 *
 * A worker whose record is being removed is not used any more, and neither is
 * one whose removal got no answer, until the record has been written again.
 *
 * Every change checks the record's revision: a transaction without an answer
 * may be carried out seconds later, and must not undo a newer change.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Each worker adds a check and a write to a transaction, which has the check
   of the ownership besides. */
#define WORKERS_PER_TXN ((CELL_TXN_KEYS_MAX - 1) / 2)
/* Older versions put only this many bytes of an id into the record's key. */
#define OLD_KEY_ID_BYTES 100
/* Pause after a transaction that failed. */
#define RETRY_PAUSE_MS 100

/* Append to the record of @len bytes; older versions read only what comes
   before it.  Takes @record over; NULL without memory. */
static char *
append_part (char *record, size_t *len, xdrproc_t proc, const void *part)
{
  if (!record || !codec_append (proc, part, &record, len))
    return record;
  free (record);
  return NULL;
}

static char *
encode_record (const cell_t *c, const cworker_t *w, size_t *len)
{
  const cell_worker_t *info = &w->info;
  char *labels[CELL_LABELS_MAX];
  gl_worker_record_t record = { (char *)info->self.id,
                                (char *)info->addr,
                                (char *)info->domain,
                                (char *)info->service,
                                { (u_int)info->nlabels, labels },
                                info->capacity };
  gl_worker_start_t start
      = { info->self.started_at, census_foreign_wall (c, w) };
  gl_worker_token_t token = { incarnation_token (c, w) };
  char *value;

  for (int i = 0; i < info->nlabels; i++)
    labels[i] = (char *)info->labels[i];
  value = codec_encode ((xdrproc_t)xdr_gl_worker_record_t, &record, len);
  if (!info->self.started_at)
    return value;
  value = append_part (value, len, (xdrproc_t)xdr_gl_worker_start_t, &start);
  return append_part (value, len, (xdrproc_t)xdr_gl_worker_token_t, &token);
}

/* Each incarnation has a record of its own. */
static void
record_key (const cworker_t *w, char key[CELL_KEY_SIZE])
{
  int len = w->record_cut ? OLD_KEY_ID_BYTES : CELL_NAME_SIZE;

  if (w->record_start)
    snprintf (key, CELL_KEY_SIZE, "gl/w/%.*s/%llu", len, w->info.self.id,
              (unsigned long long)w->record_start);
  else
    snprintf (key, CELL_KEY_SIZE, "gl/w/%.*s", len, w->info.self.id);
}

/* What follows the record; all 0 if nothing does, as in an older version.
 * @is_bound: no call to a former incarnation can lengthen the leases. */
static gl_worker_start_t
recorded_start (const cell_item_t *item, gl_worker_record_t *record,
                int *is_bound)
{
  const gl_worker_start_t none = { 0, 0 };
  size_t at = xdr_sizeof ((xdrproc_t)xdr_gl_worker_record_t, record);
  gl_worker_start_t start = { 0, 0 };
  gl_worker_token_t token;

  *is_bound = 1;
  if (at >= item->len
      || codec_decode ((xdrproc_t)xdr_gl_worker_start_t, &start,
                       item->value + at, item->len - at))
    return none;
  at += xdr_sizeof ((xdrproc_t)xdr_gl_worker_start_t, &start);
  *is_bound = at < item->len
              && !codec_decode ((xdrproc_t)xdr_gl_worker_token_t, &token,
                                item->value + at, item->len - at);
  return start;
}

void
enrol_load (cell_t *c, const cell_item_t *item)
{
  gl_worker_record_t record;
  cell_worker_t info;
  gl_worker_start_t start;
  char key[CELL_KEY_SIZE];
  cworker_t *w;
  int known = c->nworkers;
  int is_bound;

  memset (&record, 0, sizeof record);
  memset (&info, 0, sizeof info);
  if (codec_decode ((xdrproc_t)xdr_gl_worker_record_t, &record, item->value,
                    item->len))
    {
      cell_log (c, "worker_record_unreadable key=%s", item->key);
      return;
    }
  cell_strcpy (info.self.id, record.id);
  cell_strcpy (info.addr, record.addr);
  cell_strcpy (info.domain, record.domain);
  cell_strcpy (info.service, record.service);
  while (info.nlabels < (int)record.labels.labels_len
         && info.nlabels < CELL_LABELS_MAX)
    {
      cell_strcpy (info.labels[info.nlabels],
                   record.labels.labels_val[info.nlabels]);
      info.nlabels++;
    }
  start = recorded_start (item, &record, &is_bound);
  info.self.started_at = start.started_at;
  /* The capacity in the record may be larger than what the worker has now.  It
     takes no tasks until its registration tells its capacity. */
  w = incarnation_recorded (c, &info);
  if (w && c->nworkers > known)
    {
      cworker_expect (c, w);
      w->unregistered_at = c->now;
    }
  if (w)
    {
      w->enrolled = 1;
      cworker_note_capacity (w, &record.capacity);
      w->record_revision = item->revision;
      w->record_start = info.self.started_at;
      w->record_cut = 0;
      record_key (w, key);
      w->record_cut = strcmp (key, item->key) != 0;
      census_learn_foreign (c, w, start.foreign_until);
      if (!is_bound)
        census_open_foreign (c, w);
    }
  codec_free ((xdrproc_t)xdr_gl_worker_record_t, &record);
}

/* Until the worker is heard, calls to its former incarnations may give it
   leases. */
static int
is_bounded (cell_t *c, const cworker_t *w)
{
  return w->heard || incarnation_next (c, w) == w;
}

/* Whether a successor would not know that tasks may run on the incarnation. */
static int
is_hidden (const cworker_t *w)
{
  return !w->dead && !w->enrolled && (w->ntasks || w->orphans || !w->heard);
}

/* 1 if the record has to be written, -1 if it has to be removed, else 0.  That
   of a former incarnation stands for the present one until that has its own.
 */
static int
needed_change (cell_t *c, const cworker_t *w)
{
  if (!w->dead && !w->enrolled && (w->registered || is_hidden (w))
      && is_bounded (c, w))
    return 1;
  return w->dead && w->record_revision
                 && !(w->replaced
                      && is_hidden (incarnation_current (c, w->info.self.id)))
             ? -1
             : 0;
}

void
enrol_update (cell_t *c)
{
  cell_effect_t *e = NULL;

  if (c->enrol_tag || c->now < c->enrol_after)
    return;
  c->nenrolling = 0;
  for (int i = 0; i < c->nworkers && c->nenrolling < WORKERS_PER_TXN; i++)
    {
      cworker_t *w = &c->workers[i];
      cell_item_t *check;
      cell_put_t *p;
      int change = needed_change (c, w);

      if (!change)
        continue;
      if (!e)
        {
          e = cell_add_effect (c, CELL_FX_TXN);
          if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
            return;
          own_add_fence (c, e->txn);
          e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
          c->enrol_tag = e->tag = cell_new_tag (c);
        }
      if (!w->record_revision)
        {
          w->record_start = w->info.self.started_at;
          w->record_cut = 0;
        }
      p = &e->txn->puts[e->txn->nputs++];
      record_key (w, p->key);
      check = &e->txn->checks[e->txn->nchecks++];
      cell_strcpy (check->key, p->key);
      check->revision = w->record_revision;
      if (change > 0)
        p->value = encode_record (c, w, &p->len);
      else
        w->enrolled = 0;
      c->enrol_removes[c->nenrolling] = change < 0;
      c->enrolling[c->nenrolling++] = i;
    }
}

/* A record has another revision than expected: an earlier transaction without
   an answer was carried out.  The next one expects the present revision. */
static void
adopt_revisions (cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < c->nenrolling; i++)
    {
      cworker_t *w = &c->workers[c->enrolling[i]];
      const cell_item_t *item;
      char key[CELL_KEY_SIZE];

      record_key (w, key);
      item = own_conflicting_item (ev, key);
      w->record_revision = item ? item->revision : 0;
    }
}

int
enrol_txn_result (cell_t *c, const cell_event_t *ev)
{
  if (!c->enrol_tag || ev->tag != c->enrol_tag)
    return 0;
  c->enrol_tag = 0;
  if (ev->status == GL_ST_CONFLICT && own_fence_failed (c, ev))
    {
      own_step_down (c, "fenced by the store");
      return 1;
    }
  if (ev->status == GL_ST_CONFLICT)
    {
      adopt_revisions (c, ev);
      return 1;
    }
  if (ev->status != GL_ST_OK)
    {
      c->enrol_after = c->now + RETRY_PAUSE_MS;
      return 1;
    }
  for (int i = 0; i < c->nenrolling; i++)
    {
      cworker_t *w = &c->workers[c->enrolling[i]];

      w->enrolled = !c->enrol_removes[i];
      w->record_revision = w->enrolled ? ev->revision : 0;
    }
  plan_wake (c);
  return 1;
}
