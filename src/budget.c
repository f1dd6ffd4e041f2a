/*
 * budget.c -- bound on the memory that clients make a process hold
 *
 * Limits of a request and of the number of connections leave their product
 * unbounded, which is more than a small machine has.  So each byte that is
 * held for a client is reserved here before it is allocated, and whoever gets
 * none is refused.  The count is one atomic number, since several servers and
 * threads share it.
 *
 * A process that once held a crowd's bodies keeps their memory in the heap
 * unless told otherwise.  Large blocks are mapped each by itself, and the heap
 * is trimmed when a quarter or less of the peak is left.
 */
#include "budget.h"

#include <ck_pr.h>
#include <malloc.h>
#include <stdint.h>
#include <stdlib.h>

/* Blocks of this size and above are mapped; the library's own bound rises with
   the blocks that are freed. */
#define MAP_BYTES (64 * 1024)
/* Peaks below this are not worth a trim. */
#define TRIM_MIN_BYTES (1024 * 1024)

/**
 * struct budget - a bound on bytes
 * @limit: most bytes held at once
 * @held: bytes held; accessed atomically
 * @peak: highest @held since the last trim; accessed atomically
 */
struct budget
{
  uint64_t limit;
  uint64_t held;
  uint64_t peak;
};

budget_t *
budget_new (size_t limit)
{
  budget_t *b = calloc (1, sizeof *b);

  if (!b)
    return NULL;
  b->limit = limit;
  mallopt (M_MMAP_THRESHOLD, MAP_BYTES);
  return b;
}

void
budget_free (budget_t *b)
{
  free (b);
}

int
budget_take (budget_t *b, size_t n)
{
  uint64_t held;

  if (!b)
    return 0;
  do
    {
      held = ck_pr_load_64 (&b->held);
      if (n > b->limit || held > b->limit - n)
        return -1;
    }
  while (!ck_pr_cas_64 (&b->held, held, held + n));
  if (held + n > ck_pr_load_64 (&b->peak))
    ck_pr_store_64 (&b->peak, held + n);
  return 0;
}

void
budget_give (budget_t *b, size_t n)
{
  if (b)
    ck_pr_sub_64 (&b->held, n);
}

size_t
budget_held (const budget_t *b)
{
  return b ? ck_pr_load_64 (&b->held) : 0;
}

size_t
budget_limit (const budget_t *b)
{
  return b ? b->limit : 0;
}

void
budget_trim (budget_t *b)
{
  uint64_t held = budget_held (b);

  if (!b || ck_pr_load_64 (&b->peak) < TRIM_MIN_BYTES
      || held > ck_pr_load_64 (&b->peak) / 4)
    return;
  ck_pr_store_64 (&b->peak, held);
  malloc_trim (0);
}
