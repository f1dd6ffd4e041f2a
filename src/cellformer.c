/*
 * cellformer.c -- former owners, and how long their leases can last
 *
 * A new owner has to know for how long earlier owners may go on renewing the
 * leases of workers.  An owner that was succeeded renews them for at most
 * CELL_RENEW_GRACE_MS longer, until it notices, and CELL_RENEW_OUTAGE_MS if it
 * may not know the VM that has the store; one that released the cell
 * renews none; and neither does one whose process has ended, or has lost the
 * cell and noticed. Both show in the same way: each process writes a random
 * number to the store, and takes another one when it loses the cell.
 *
 * Every VM keeps the owners since the last one that completed its census, with
 * the time at which each was succeeded, so that these spans do not begin anew
 * with every owner.  A VM that does not know all of them, because it was
 * started later, counts from its own claim.
 */
#include "cellint.h"

#include <stdio.h>
#include <string.h>

#include "codec.h"

/* How long the owner of @generation may go on renewing leases when it is
   succeeded now.  If it knows this VM, it renews none for longer than
   CELL_RENEW_GRACE_MS without hearing that the store is away here, too, and
   from now on this VM does not say so, see cell_store_age_ms. */
static gl_ms_t
grace_ms (const cell_t *c, uint64_t generation)
{
  return c->known_by == generation
                 && c->now - c->known_at < CELL_RENEW_OUTAGE_MS
             ? CELL_RENEW_GRACE_MS
             : CELL_RENEW_OUTAGE_MS;
}

/* Whether no owner can have been between the two generations, of which @before
   is 0 for none.  Owners of older versions have one token each. */
static int
follows (uint64_t generation, uint64_t before)
{
  return generation == before + CELL_TOKENS || generation == before + 1;
}

void
former_claimed (cell_t *c, const gl_claim_t *claim, uint64_t revision)
{
  cformer_t *last = c->nformers ? &c->formers[c->nformers - 1] : NULL;
  cformer_t *f;

  if (last && claim->generation <= last->generation)
    return;
  if (last && !follows (claim->generation, last->generation))
    c->nformers = 0; /* an owner between them is not known */
  else if (last && last->process == c->process && c->role != CR_OWNER)
    last->renews_until = c->now; /* an own claim that got no answer */
  else if (last
           && last->renews_until > c->now + grace_ms (c, last->generation))
    last->renews_until = c->now + grace_ms (c, last->generation);
  if (c->nformers == CELL_FORMERS_MAX)
    memmove (c->formers, c->formers + 1,
             (size_t)--c->nformers * sizeof *c->formers);
  f = &c->formers[c->nformers++];
  f->generation = claim->generation;
  f->process = claim->process;
  f->claim_revision = revision;
  f->renews_until = TIMER_NEVER;
  cell_strcpy (f->addr, claim->addr);
  /* This process runs at that address now. */
  if (!strcmp (f->addr, c->addr) && f->process != c->process)
    f->renews_until = c->now;
}

void
former_released (cell_t *c, uint64_t generation)
{
  for (int i = 0; i < c->nformers; i++)
    if (c->formers[i].generation == generation
        && c->formers[i].renews_until > c->now)
      c->formers[i].renews_until = c->now;
}

int
former_process_seen (cell_t *c, const gl_process_t *process, uint64_t revision)
{
  int ended = 0;

  for (int i = 0; i < c->nformers; i++)
    {
      cformer_t *f = &c->formers[i];

      if (strcmp (f->addr, process->addr) || f->process == process->process
          || revision < f->claim_revision || f->renews_until <= c->now)
        continue;
      f->renews_until = c->now;
      ended++;
    }
  return ended;
}

void
former_census_complete (cell_t *c, uint64_t generation)
{
  int n = 0;

  while (n < c->nformers && c->formers[n].generation < generation)
    n++;
  c->nformers -= n;
  memmove (c->formers, c->formers + n,
           (size_t)c->nformers * sizeof *c->formers);
}

gl_ms_t
former_lease_ms (const cell_t *c)
{
  gl_ms_t renews_until = c->now;

  if (!c->nformers
      || (c->census_generation
              ? c->formers[0].generation > c->census_generation
              : !follows (c->formers[0].generation, 0)))
    renews_until += CELL_RENEW_OUTAGE_MS;
  else
    for (int i = 0; i < c->nformers; i++)
      if (c->formers[i].generation < c->generation
          && c->formers[i].renews_until > renews_until)
        renews_until = c->formers[i].renews_until;
  return (gl_ms_t)((double)(renews_until - c->now + CELL_WORKER_LEASE_MS)
                   / CELL_CLOCK_RATE_MIN);
}

/* The key of a claim.  They are listed in the order of generations. */
void
former_claim_key (uint64_t generation, char key[CELL_KEY_SIZE])
{
  snprintf (key, CELL_KEY_SIZE, "%s%016llx", KEY_CLAIM,
            (unsigned long long)generation);
}

void
former_claim_changed (cell_t *c, const cell_item_t *item)
{
  gl_claim_t claim;

  memset (&claim, 0, sizeof claim);
  if (codec_decode ((xdrproc_t)xdr_gl_claim_t, &claim, item->value, item->len))
    {
      cell_log (c, "claim_unreadable revision=%llu",
                (unsigned long long)item->revision);
      return;
    }
  former_claimed (c, &claim, item->revision);
  codec_free ((xdrproc_t)xdr_gl_claim_t, &claim);
}
