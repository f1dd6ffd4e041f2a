/* kvcore.h -- in-memory key-value table with compare-and-swap, for stand-ins
   and tests */
#ifndef KVCORE_H
#define KVCORE_H

#include <stddef.h>
#include <stdint.h>

/* Longest value that the platform's key-value service accepts, bytes. */
#define KV_VALUE_MAX 1048576

/**
 * struct kv_entry_t - a key and its value
 * @key: the key, cut to 95 bytes
 * @data, @len: the value
 * @index: modification index, that of the last write to the key
 * @expires: when the entry expires, ms on the caller's clock; 0 for never
 */
typedef struct
{
  char key[96];
  char *data;
  size_t len;
  uint64_t index;
  uint64_t expires;
} kv_entry_t;

/**
 * struct kv_t - the table
 * @entries, @count, @capacity: array of the entries, expired ones included
 * @index: modification index of the last write to any key; only increases
 */
typedef struct
{
  kv_entry_t *entries;
  size_t count;
  size_t capacity;
  uint64_t index;
} kv_t;

/** kv_get - the entry of @key, or NULL if it is absent or expired at @now; the
    pointer is valid until the next kv_cas */
kv_entry_t *kv_get (kv_t *kv, const char *key, uint64_t now);
/**
 * kv_cas - write a value if the key's modification index is @index
 * @index: expected index; 0 if the key must be absent
 * @data, @len: the value, which is copied
 * @expires: as in kv_entry_t
 *
 * Returns the new index, or 0 if the comparison failed or memory ran out.
 */
uint64_t kv_cas (kv_t *kv, const char *key, uint64_t index, const char *data,
                 size_t len, uint64_t expires, uint64_t now);
/** kv_destroy - free the entries and empty the table */
void kv_destroy (kv_t *kv);

#endif
