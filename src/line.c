/*
 * line.c -- this VM's line to the advisor
 *
 * The advisor serves one consultation of a VM at a time, in the order of
 * their arrival.  Holding the others back here keeps urgent ones from
 * waiting behind long ones that have not begun.
 */
#include "line.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"

int
consult_queue_add (consult_queue_t *l, uint64_t tag, gl_consult_t *consult,
                   gl_ms_t by)
{
  if (l->n == l->cap)
    {
      size_t cap = l->cap ? 2 * l->cap : 16;
      consult_entry_t *v = realloc (l->v, cap * sizeof *v);

      if (!v)
        return -1;
      l->v = v;
      l->cap = cap;
    }
  l->v[l->n].tag = tag;
  l->v[l->n].priority = consult->priority;
  l->v[l->n].by = by;
  l->v[l->n].consult = *consult;
  memset (consult, 0, sizeof *consult);
  l->n++;
  return 0;
}

static void
drop (consult_queue_t *l, size_t i)
{
  codec_free ((xdrproc_t)xdr_gl_consult_t, &l->v[i].consult);
  memmove (&l->v[i], &l->v[i + 1], (l->n - i - 1) * sizeof *l->v);
  l->n--;
}

const consult_entry_t *
consult_queue_next (consult_queue_t *l, gl_ms_t now,
                    void (*late) (void *ctx, uint64_t tag), void *ctx)
{
  size_t best = 0;

  if (l->busy)
    return NULL;
  for (size_t i = l->n; i-- > 0;)
    if (l->v[i].by <= now)
      {
        uint64_t tag = l->v[i].tag;

        drop (l, i);
        late (ctx, tag);
      }
  if (!l->n)
    return NULL;
  for (size_t i = 1; i < l->n; i++)
    if (l->v[i].priority < l->v[best].priority)
      best = i;
  l->busy = 1;
  l->out = l->v[best].tag;
  return &l->v[best];
}

void
consult_queue_finish (consult_queue_t *l, uint64_t tag)
{
  if (!l->busy || l->out != tag)
    return;
  l->busy = 0;
  for (size_t i = 0; i < l->n; i++)
    if (l->v[i].tag == tag)
      {
        drop (l, i);
        return;
      }
}

void
consult_queue_free (consult_queue_t *l)
{
  while (l->n)
    drop (l, l->n - 1);
  free (l->v);
  memset (l, 0, sizeof *l);
}
