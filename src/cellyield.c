/*
 * cellyield.c -- which VMs leave the cell to stronger ones, and when
 *
 * The owner does most of the work of the cell, and VMs may differ by a factor
 * of five in processor.  Standbys with less processor leave a claim to the
 * stronger ones for a moment, but when these cannot claim just then, since
 * they were cut off from the store, a weak VM becomes the owner.  It may need
 * more processor than it has for the load: it polls workers and answers
 * callers late, and nothing else ends that.
 *
 * An owner therefore releases the cell once a VM of at least twice its
 * processor has said for some time that it could take over.  The cell moves to
 * stronger VMs only, so it cannot go back and forth between two of them.  VMs
 * of equal strength never hand it over in this way.
 */
#include "cellyield.h"

#include <string.h>

/* A VM with a smaller share of a core than another one leaves a claim to it
   for this long, and one with less than half as much processor longer.  A
   stronger VM that has just come back to the store may claim only 0.4 s later,
   and an owner without the processor for the load costs callers more than the
   wait. */
#define WEAKER_VM_DELAY_MS 250
#define MUCH_WEAKER_VM_DELAY_MS 700
/* A hand-over costs 0.2 s, so the successor has to be much stronger. */
#define STRENGTH_FACTOR 2
/* The successor must have been ready for this long, which is several
   heartbeats. */
#define READY_MS 600
/* An answer to a heartbeat counts for this long. */
#define ANSWER_VALID_MS 700
/* The successor's store must have answered it within this time. */
#define STORE_AGE_MAX_MS 700
/* After the decision, writes may take this long to settle. */
#define SETTLE_MS 200

gl_ms_t
yield_claim_delay_ms (const cvm_t *vms, int nvms, const char *former,
                      uint32_t cpu_m)
{
  uint32_t strongest = 0;

  for (int i = 0; i < nvms; i++)
    {
      const cvm_t *v = &vms[i];

      if (v->registered && !v->stopping && v->cpu_m > strongest
          && (!former || strcmp (v->vm, former)))
        strongest = v->cpu_m;
    }
  if (strongest <= cpu_m)
    return 0;
  return strongest > STRENGTH_FACTOR * cpu_m ? MUCH_WEAKER_VM_DELAY_MS
                                             : WEAKER_VM_DELAY_MS;
}

void
yield_reset (cyield_t *y)
{
  y->successor = -1;
  y->ready_since = 0;
  y->decided_at = 0;
}

static int
is_ready (const cvm_t *v, const char *self, uint32_t cpu_m, gl_ms_t now)
{
  return v->registered && !v->stopping && v->may_claim
         && v->cpu_m >= STRENGTH_FACTOR * cpu_m && strcmp (v->vm, self)
         && now <= v->answered_at + ANSWER_VALID_MS
         && v->store_age_ms < STORE_AGE_MAX_MS;
}

static int
find_successor (const cvm_t *vms, int nvms, const char *self, uint32_t cpu_m,
                gl_ms_t now)
{
  for (int i = 0; i < nvms; i++)
    if (is_ready (&vms[i], self, cpu_m, now))
      return i;
  return -1;
}

int
yield_is_due (cyield_t *y, const cvm_t *vms, int nvms, const char *self,
              uint32_t cpu_m, int idle, gl_ms_t now)
{
  if (!cpu_m)
    return 0;
  if (y->successor < 0 || y->successor >= nvms
      || !is_ready (&vms[y->successor], self, cpu_m, now))
    {
      y->successor = find_successor (vms, nvms, self, cpu_m, now);
      y->ready_since = now;
      y->decided_at = 0;
    }
  if (y->successor < 0 || now < y->ready_since + READY_MS)
    return 0;
  if (!y->decided_at)
    y->decided_at = now;
  return idle || now >= y->decided_at + SETTLE_MS;
}
