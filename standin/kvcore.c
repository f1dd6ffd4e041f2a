/*
 * kvcore.c -- a key-value table with compare-and-swap, for stand-ins
 *
 * A linear table is enough for the few hundred keys of a test.
 */
#include "kvcore.h"

#include <stdlib.h>
#include <string.h>

static kv_entry_t *
find (kv_t *kv, const char *key)
{
  for (size_t i = 0; i < kv->n; i++)
    if (!strcmp (kv->v[i].key, key))
      return &kv->v[i];
  return NULL;
}

kv_entry_t *
kv_get (kv_t *kv, const char *key, uint64_t now)
{
  kv_entry_t *e = find (kv, key);

  if (!e || !e->data || (e->expires && e->expires <= now))
    return NULL;
  return e;
}

static kv_entry_t *
add (kv_t *kv, const char *key)
{
  kv_entry_t *e;

  if (kv->n == kv->cap)
    {
      size_t cap = kv->cap ? 2 * kv->cap : 64;
      e = realloc (kv->v, cap * sizeof *e);
      if (!e)
        return NULL;
      kv->v = e;
      kv->cap = cap;
    }
  e = &kv->v[kv->n++];
  memset (e, 0, sizeof *e);
  strncpy (e->key, key, sizeof e->key - 1);
  return e;
}

uint64_t
kv_cas (kv_t *kv, const char *key, uint64_t index, const char *data,
        size_t len, uint64_t expires, uint64_t now)
{
  kv_entry_t *e = kv_get (kv, key, now);
  char *copy;

  if (index != (e ? e->index : 0))
    return 0;
  if (!e)
    e = find (kv, key);
  if (!e)
    e = add (kv, key);
  copy = malloc (len ? len : 1);
  if (!e || !copy)
    {
      free (copy);
      return 0;
    }
  if (len)
    memcpy (copy, data, len);
  free (e->data);
  e->data = copy;
  e->len = len;
  e->expires = expires;
  e->index = ++kv->index;
  return e->index;
}

void
kv_done (kv_t *kv)
{
  for (size_t i = 0; i < kv->n; i++)
    free (kv->v[i].data);
  free (kv->v);
  memset (kv, 0, sizeof *kv);
}
