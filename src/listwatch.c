/*
 * listwatch.c -- keep a daemon's list of VMs up to date
 *
 * One request at a time waits at the platform for a list with another index
 * than the last one received.  When it ends with a list, the next request
 * follows at once, otherwise after a pause.
 */
#include "listwatch.h"

#include <stdlib.h>
#include <string.h>

#include "loop.h"

/* How long the platform may wait for another list before it responds. */
#define WATCH_WAIT_MS 20000
/* Pause after a request that brought no list. */
#define RETRY_DELAY_MS 1000

gl_ms_t
listwatch_due (const listwatch_t *w)
{
  return w->in_flight ? UINT64_MAX : w->due;
}

void
listwatch_poll (listwatch_t *w, vmlist_done_t done, void *ctx)
{
  if (listwatch_due (w) > clock_ms ())
    return;
  w->in_flight = 1;
  w->source.watch (w->source.ctx, w->domain, w->index, WATCH_WAIT_MS, done,
                   ctx);
}

void
listwatch_answered (listwatch_t *w, uint64_t index, int has_list)
{
  w->in_flight = 0;
  w->due = clock_ms () + (has_list ? 0 : RETRY_DELAY_MS);
  if (has_list)
    w->index = index;
}

gl_vm_t *
vmlist_copy (const gl_vm_t *vms, size_t n)
{
  gl_vm_t *copy;

  if (!vms)
    return NULL;
  copy = calloc (n + 1, sizeof *copy);
  if (!copy)
    abort ();
  memcpy (copy, vms, n * sizeof *copy);
  return copy;
}
