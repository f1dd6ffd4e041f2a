/*
 * pool.c -- growable tables whose elements are addressed by handles
 *
 * Elements live in chunks that are never moved, so a pointer stays valid until
 * its element is deleted.  A handle combines the element's index with the
 * generation of its slot, which changes when the element is deleted, so a
 * stale handle is not mistaken for the slot's next element.
 */
#include "pool.h"

#include <stdlib.h>
#include <string.h>

#define INDEX_MASK ((1u << POOL_INDEX_BITS) - 1)
#define GEN_MASK ((1u << (32 - POOL_INDEX_BITS)) - 1)

void
pool_init (pool_t *p, size_t size)
{
  memset (p, 0, sizeof *p);
  p->size = size;
}

void
pool_destroy (pool_t *p)
{
  for (size_t i = 0; i < p->nchunks; i++)
    free (p->chunks[i]);
  free (p->chunks);
  free (p->gens);
  free (p->used);
  free (p->free_list);
  pool_init (p, p->size);
}

static int
grow_array (void **v, size_t n, size_t size)
{
  void *q = realloc (*v, n * size);
  if (!q)
    return -1;
  *v = q;
  return 0;
}

/* Adds one chunk of unused slots; -1 when out of memory or when a further
   index would not fit into a handle. */
static int
pool_grow (pool_t *p)
{
  size_t old = p->nchunks * POOL_CHUNK;
  size_t all = old + POOL_CHUNK;
  char *chunk;

  if (all > INDEX_MASK)
    return -1;
  chunk = calloc (POOL_CHUNK, p->size);
  if (!chunk)
    return -1;
  if (grow_array ((void **)&p->chunks, p->nchunks + 1, sizeof *p->chunks)
      || grow_array ((void **)&p->gens, all, sizeof *p->gens)
      || grow_array ((void **)&p->used, all, 1)
      || grow_array ((void **)&p->free_list, all, sizeof *p->free_list))
    {
      free (chunk);
      return -1;
    }
  p->chunks[p->nchunks++] = chunk;
  for (size_t i = all; i-- > old;)
    {
      p->gens[i] = 1;
      p->used[i] = 0;
      p->free_list[p->nfree++] = (uint32_t)i;
    }
  return 0;
}

static void *
slot (const pool_t *p, size_t i)
{
  return p->chunks[i / POOL_CHUNK] + (i % POOL_CHUNK) * p->size;
}

static handle_t
handle_of (const pool_t *p, size_t i)
{
  return ((handle_t)p->gens[i] << POOL_INDEX_BITS) | (handle_t)(i + 1);
}

handle_t
pool_add (pool_t *p)
{
  size_t i;

  if (!p->nfree && pool_grow (p))
    return 0;
  i = p->free_list[--p->nfree];
  p->used[i] = 1;
  p->count++;
  memset (slot (p, i), 0, p->size);
  return handle_of (p, i);
}

void *
pool_get (const pool_t *p, handle_t h)
{
  size_t i = h & INDEX_MASK;

  if (!i || i > p->nchunks * POOL_CHUNK)
    return NULL;
  i--;
  if (!p->used[i] || p->gens[i] != h >> POOL_INDEX_BITS)
    return NULL;
  return slot (p, i);
}

void
pool_del (pool_t *p, handle_t h)
{
  size_t i = (h & INDEX_MASK) - 1;

  if (!pool_get (p, h))
    return;
  p->used[i] = 0;
  p->gens[i] = (uint16_t)((p->gens[i] + 1) & GEN_MASK);
  if (!p->gens[i])
    p->gens[i] = 1;
  p->free_list[p->nfree++] = (uint32_t)i;
  p->count--;
}

handle_t
pool_next (const pool_t *p, size_t *pos)
{
  for (; *pos < p->nchunks * POOL_CHUNK; (*pos)++)
    if (p->used[*pos])
      {
        handle_t h = handle_of (p, *pos);
        (*pos)++;
        return h;
      }
  return 0;
}

int
array_reserve (void *v, int *cap, int n, size_t size)
{
  void **array = v;
  int more = *cap ? 2 * *cap : 16;
  char *p;

  if (n < *cap)
    return 0;
  p = realloc (*array, (size_t)more * size);
  if (!p)
    return -1;
  memset (p + (size_t)*cap * size, 0, (size_t)(more - *cap) * size);
  *array = p;
  *cap = more;
  return 0;
}
