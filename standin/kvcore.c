/*
 * kvcore.c -- in-memory key-value table with compare-and-swap, for stand-ins
 * and tests
 *
 * Look-ups scan the array, which is fast enough for the few hundred keys of a
 * test.
 */
#include "kvcore.h"

#include <stdlib.h>
#include <string.h>

static kv_entry_t *
find (kv_t *kv, const char *key)
{
  for (size_t i = 0; i < kv->count; i++)
    if (!strcmp (kv->entries[i].key, key))
      return &kv->entries[i];
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
append_entry (kv_t *kv, const char *key)
{
  kv_entry_t *e;

  if (kv->count == kv->capacity)
    {
      size_t capacity = kv->capacity ? 2 * kv->capacity : 64;
      e = realloc (kv->entries, capacity * sizeof *e);
      if (!e)
        return NULL;
      kv->entries = e;
      kv->capacity = capacity;
    }
  e = &kv->entries[kv->count++];
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
    e = append_entry (kv, key);
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
kv_destroy (kv_t *kv)
{
  for (size_t i = 0; i < kv->count; i++)
    free (kv->entries[i].data);
  free (kv->entries);
  memset (kv, 0, sizeof *kv);
}
