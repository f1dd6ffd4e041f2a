/*
 * line.c -- this VM's queue of consultations of the advisor
 *
 * The advisor serves one consultation of a VM at a time, in order of arrival.
 * The queue therefore sends one at a time, so that an urgent consultation does
 * not wait at the advisor behind long ones that it has not begun.
 */
#include "line.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"

int
consult_queue_add (consult_queue_t *q, uint64_t tag, gl_consult_t *consult,
                   gl_ms_t deadline)
{
  if (q->n == q->cap)
    {
      size_t cap = q->cap ? 2 * q->cap : 16;
      consult_entry_t *v = realloc (q->v, cap * sizeof *v);

      if (!v)
        return -1;
      q->v = v;
      q->cap = cap;
    }
  q->v[q->n].tag = tag;
  q->v[q->n].priority = consult->priority;
  q->v[q->n].deadline = deadline;
  q->v[q->n].consult = *consult;
  memset (consult, 0, sizeof *consult);
  q->n++;
  return 0;
}

static void
remove_entry (consult_queue_t *q, size_t i)
{
  codec_free ((xdrproc_t)xdr_gl_consult_t, &q->v[i].consult);
  memmove (&q->v[i], &q->v[i + 1], (q->n - i - 1) * sizeof *q->v);
  q->n--;
}

const consult_entry_t *
consult_queue_next (consult_queue_t *q, gl_ms_t now,
                    void (*expired) (void *ctx, uint64_t tag), void *ctx)
{
  size_t best = 0;

  if (q->busy)
    return NULL;
  for (size_t i = q->n; i-- > 0;)
    if (q->v[i].deadline <= now)
      {
        uint64_t tag = q->v[i].tag;

        remove_entry (q, i);
        expired (ctx, tag);
      }
  if (!q->n)
    return NULL;
  for (size_t i = 1; i < q->n; i++)
    if (q->v[i].priority < q->v[best].priority)
      best = i;
  q->busy = 1;
  q->in_flight = q->v[best].tag;
  return &q->v[best];
}

void
consult_queue_finish (consult_queue_t *q, uint64_t tag)
{
  if (!q->busy || q->in_flight != tag)
    return;
  q->busy = 0;
  for (size_t i = 0; i < q->n; i++)
    if (q->v[i].tag == tag)
      {
        remove_entry (q, i);
        return;
      }
}

void
consult_queue_free (consult_queue_t *q)
{
  while (q->n)
    remove_entry (q, q->n - 1);
  free (q->v);
  memset (q, 0, sizeof *q);
}
