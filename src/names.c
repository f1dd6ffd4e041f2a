/*
 * names.c -- hash table from names to integers
 *
 * Wraps Concurrency Kit's hash table of byte strings, hashed with XXH3.  Keys
 * are not copied: a name is usually a member of the element that it maps to.
 */
#include "names.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Initial capacity; the table grows. */
#define INITIAL_CAPACITY 1024

static void *
table_alloc (size_t n)
{
  return malloc (n);
}

static void
table_free (void *p, size_t n, bool defer)
{
  (void)n;
  (void)defer;
  free (p);
}

static struct ck_malloc allocator
    = { .malloc = table_alloc, .free = table_free };

static void
hash_bytes (ck_ht_hash_t *h, const void *key, size_t len, uint64_t seed)
{
  h->value = XXH3_64bits_withSeed (key, len, seed);
}

int
names_init (names_t *n)
{
  return ck_ht_init (&n->ht, CK_HT_MODE_BYTESTRING, hash_bytes, &allocator,
                     INITIAL_CAPACITY, 1)
             ? 0
             : -1;
}

void
names_destroy (names_t *n)
{
  ck_ht_destroy (&n->ht);
}

int
names_put (names_t *n, const char *name, uintptr_t value)
{
  ck_ht_hash_t h;
  ck_ht_entry_t e;
  uint16_t len = (uint16_t)strlen (name);

  ck_ht_hash (&h, &n->ht, name, len);
  ck_ht_entry_set (&e, h, name, len, (void *)value);
  return ck_ht_put_spmc (&n->ht, h, &e) ? 0 : -1;
}

uintptr_t
names_get (names_t *n, const char *name)
{
  ck_ht_hash_t h;
  ck_ht_entry_t e;
  uint16_t len = (uint16_t)strlen (name);

  ck_ht_hash (&h, &n->ht, name, len);
  ck_ht_entry_key_set (&e, name, len);
  if (!ck_ht_get_spmc (&n->ht, h, &e))
    return 0;
  return (uintptr_t)ck_ht_entry_value (&e);
}

void
names_del (names_t *n, const char *name)
{
  ck_ht_hash_t h;
  ck_ht_entry_t e;
  uint16_t len = (uint16_t)strlen (name);

  ck_ht_hash (&h, &n->ht, name, len);
  ck_ht_entry_key_set (&e, name, len);
  ck_ht_remove_spmc (&n->ht, h, &e);
}
