/* pool.h -- tables addressed by small handles */
#ifndef GL_POOL_H
#define GL_POOL_H

#include <stddef.h>
#include <stdint.h>

/** typedef handle_t - index into a table with its generation; 0 is none */
typedef uint32_t handle_t;

#define POOL_CHUNK 256
#define POOL_INDEX_BITS 20

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

/** pool_init - an empty table of elements of @size bytes */
void pool_init (pool_t *p, size_t size);
/** pool_done - release the table; elements are not visited */
void pool_done (pool_t *p);
/** pool_add - a zeroed element; 0 when out of memory */
handle_t pool_add (pool_t *p);
/** pool_get - the element, or NULL when the handle is stale */
void *pool_get (const pool_t *p, handle_t h);
/** pool_del - remove an element; its handle turns stale */
void pool_del (pool_t *p, handle_t h);
/** pool_next - first live handle at or after position *@pos, 0 at the end */
handle_t pool_next (const pool_t *p, size_t *pos);

#endif
