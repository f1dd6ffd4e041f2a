/*
 * cellfx.c -- the cell's list of effects, and its growable arrays
 */
#include "cellint.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

cell_effect_t *
cell_add_effect (cell_t *c, cell_fxkind_t kind)
{
  cell_effects_t *fx = c->fx;

  if (fx->n == fx->cap)
    {
      size_t cap = fx->cap ? 2 * fx->cap : 32;
      cell_effect_t *v = realloc (fx->v, cap * sizeof *v);

      if (!v)
        return NULL;
      fx->v = v;
      fx->cap = cap;
    }
  memset (&fx->v[fx->n], 0, sizeof *fx->v);
  fx->v[fx->n].kind = kind;
  return &fx->v[fx->n++];
}

static void
effect_free (cell_effect_t *e)
{
  if (e->txn)
    {
      for (int i = 0; i < e->txn->nputs; i++)
        free (e->txn->puts[i].value);
      free (e->txn);
    }
  if (e->wcall)
    free ((char *)e->wcall->payload);
  free (e->wcall);
  if (e->consult)
    codec_free ((xdrproc_t)xdr_gl_consult_t, e->consult);
  free (e->consult);
  if (e->request)
    codec_free ((xdrproc_t)xdr_gl_request_t, e->request);
  free (e->request);
  if (e->heartbeat)
    codec_free ((xdrproc_t)xdr_gl_heartbeat_t, e->heartbeat);
  free (e->heartbeat);
  free (e->reply.reason);
  free (e->log_line);
}

void
cell_effects_destroy (cell_effects_t *fx)
{
  for (size_t i = 0; i < fx->n; i++)
    effect_free (&fx->v[i]);
  free (fx->v);
  memset (fx, 0, sizeof *fx);
}

long long
cell_age_ms (const cell_t *c, gl_ms_t at)
{
  return at ? (long long)(c->now - at) : -1;
}

void
cell_log (cell_t *c, const char *fmt, ...)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_LOG);
  va_list ap;

  if (!e)
    return;
  va_start (ap, fmt);
  if (vasprintf (&e->log_line, fmt, ap) < 0)
    e->log_line = NULL;
  va_end (ap);
}

uint64_t
cell_random (const cell_t *c)
{
  return (uint64_t)gsl_rng_get (c->rng) << 32 | (uint64_t)gsl_rng_get (c->rng);
}

uint64_t
cell_new_tag (cell_t *c)
{
  return ++c->next_tag;
}

int
handles_add (handles_t *h, handle_t v)
{
  if (h->n == h->cap)
    {
      size_t cap = h->cap ? 2 * h->cap : 8;
      handle_t *p = realloc (h->v, cap * sizeof *p);

      if (!p)
        return -1;
      h->v = p;
      h->cap = cap;
    }
  h->v[h->n++] = v;
  return 0;
}

int
tags_add (tags_t *t, uint64_t v)
{
  if (t->n == t->cap)
    {
      size_t cap = t->cap ? 2 * t->cap : 2;
      uint64_t *p = realloc (t->v, cap * sizeof *p);

      if (!p)
        return -1;
      t->v = p;
      t->cap = cap;
    }
  t->v[t->n++] = v;
  return 0;
}
