/* pool.h -- growable tables whose elements are addressed by handles */
#ifndef GL_POOL_H
#define GL_POOL_H

#include <stddef.h>
#include <stdint.h>

/** typedef handle_t - index of an element and generation of its slot; 0 refers
    to no element */
typedef uint32_t handle_t;

/* Elements in a chunk. */
#define POOL_CHUNK 256
/* Low bits of a handle that hold index + 1; the rest hold the generation. */
#define POOL_INDEX_BITS 20

/**
 * struct pool_t - a table of elements of one size
 * @size: bytes of an element
 * @chunks, @nchunks: the elements, POOL_CHUNK in a chunk
 * @gens: generation of each slot, never 0
 * @used: whether a slot holds an element
 * @free_list, @nfree: stack of the unused slots' indices
 * @count: number of elements
 */
typedef struct
{
  size_t size;
  char **chunks;
  size_t nchunks;
  uint16_t *gens;
  uint8_t *used;
  uint32_t *free_list;
  size_t nfree;
  size_t count;
} pool_t;

/** pool_init - set up an empty table of elements of @size bytes */
void pool_init (pool_t *p, size_t size);
/** pool_destroy - free the table, but nothing that its elements point to */
void pool_destroy (pool_t *p);
/** pool_add - add a zeroed element; returns its handle, or 0 when out of
    memory or when the table is full */
handle_t pool_add (pool_t *p);
/** pool_get - the element, or NULL when @h is 0 or its element was deleted */
void *pool_get (const pool_t *p, handle_t h);
/** pool_del - delete an element, which makes its handle stale; a stale @h
    changes nothing */
void pool_del (pool_t *p, handle_t h);
/** pool_next - handle of the first element at or after index *@pos, which is
    set to the index after it; 0 at the end.  Start with *@pos 0. */
handle_t pool_next (const pool_t *p, size_t *pos);

/**
 * array_reserve - make room for one more element in a growing array
 * @v: address of the array's pointer
 * @cap: elements that it has room for; doubled when @n reaches it
 * @n: elements in use
 * @size: of an element in bytes
 *
 * New elements are zero.  Elements may move.  Returns 0, or -1 without memory;
 * the array is unchanged then.
 */
int array_reserve (void *v, int *cap, int n, size_t size);

#endif
