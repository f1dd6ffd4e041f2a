/*
 * cellenrol.c -- which workers an owner may start tasks on
 *
 * A worker is written down before anything is started on it, and its key is
 * removed when its life is over.  A registration may lapse while the worker
 * runs on, so a new owner could not tell from the registrations alone where
 * tasks may be running.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Pause after an enrolment that failed. */
#define ENROL_AGAIN_MS 100

static char *
encode_enrolled (const cell_worker_t *info, size_t *len)
{
  char *labels[CELL_LABELS];
  gl_enrolled_t e = { (char *)info->id,
                      (char *)info->addr,
                      (char *)info->domain,
                      (char *)info->service,
                      { (u_int)info->nlabels, labels },
                      info->total };

  for (int i = 0; i < info->nlabels; i++)
    labels[i] = (char *)info->labels[i];
  return codec_encode ((xdrproc_t)xdr_gl_enrolled_t, &e, len);
}

void
enrol_load (cell_t *c, const cell_item_t *item)
{
  gl_enrolled_t e;
  cell_worker_t info;
  cworker_t *w;

  memset (&e, 0, sizeof e);
  memset (&info, 0, sizeof info);
  if (codec_decode ((xdrproc_t)xdr_gl_enrolled_t, &e, item->value, item->len))
    {
      cell_log (c, "enrolled_unreadable key=%s", item->key);
      return;
    }
  w = worker_named (c, e.id);
  if (!w)
    {
      cell_set (info.id, e.id);
      cell_set (info.addr, e.addr);
      cell_set (info.domain, e.domain);
      cell_set (info.service, e.service);
      info.total = e.total;
      while (info.nlabels < (int)e.labels.labels_len
             && info.nlabels < CELL_LABELS)
        {
          cell_set (info.labels[info.nlabels],
                    e.labels.labels_val[info.nlabels]);
          info.nlabels++;
        }
      w = worker_join (c, &info);
      if (w)
        w->unlisted_at = c->now;
    }
  if (w)
    w->enrolled = 1;
  codec_free ((xdrproc_t)xdr_gl_enrolled_t, &e);
}

/* 1 to write its key, -1 to remove it, 0 for neither. */
static int
enrol_need (const cworker_t *w)
{
  if (w->listed && !w->gone && !w->enrolled)
    return 1;
  return w->enrolled && w->gone && !w->listed ? -1 : 0;
}

void
enrol_new (cell_t *c)
{
  cell_effect_t *e = NULL;

  if (c->enrol_tag || c->now < c->enrol_after)
    return;
  c->nenrolling = 0;
  for (int i = 0; i < c->nworkers && c->nenrolling < CELL_PUTS - 1; i++)
    {
      cworker_t *w = &c->workers[i];
      cell_put_t *p;
      int need = enrol_need (w);

      if (!need)
        continue;
      if (!e)
        {
          e = cell_fx (c, CELL_FX_TXN);
          if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
            return;
          own_check (c, e->txn);
          e->timeout = CELL_TXN_MS;
          c->enrol_tag = e->tag = cell_tag (c);
        }
      p = &e->txn->puts[e->txn->nputs++];
      snprintf (p->key, sizeof p->key, "gl/w/%.100s", w->info.id);
      if (need > 0)
        p->value = encode_enrolled (&w->info, &p->len);
      c->enrolling[c->nenrolling++] = i;
    }
}

int
enrol_wrote (cell_t *c, const cell_event_t *ev)
{
  if (!c->enrol_tag || ev->tag != c->enrol_tag)
    return 0;
  c->enrol_tag = 0;
  if (ev->status != GL_ST_OK)
    {
      c->enrol_after = c->now + ENROL_AGAIN_MS;
      return 1;
    }
  for (int i = 0; i < c->nenrolling; i++)
    {
      cworker_t *w = &c->workers[c->enrolling[i]];

      w->enrolled = !w->enrolled;
    }
  plan_wake (c);
  return 1;
}
