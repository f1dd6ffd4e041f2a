/* kvcore.h -- a key-value table with compare-and-swap, for stand-ins */
#ifndef KVCORE_H
#define KVCORE_H

#include <stddef.h>
#include <stdint.h>

/* The platform's limit on one value, bytes. */
#define KV_VALUE_MAX 1048576

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
 * @index: index given to the last write; only rises
 */
typedef struct
{
  kv_entry_t *v;
  size_t n;
  size_t cap;
  uint64_t index;
} kv_t;

/** kv_get - the entry, or NULL; entries past their time are gone */
kv_entry_t *kv_get (kv_t *kv, const char *key, uint64_t now);
/**
 * kv_cas - write @data if the key's index is @index (0: if absent)
 * @expires: instant at which the entry goes away, 0 for never
 *
 * Returns the new index, or 0 when the comparison failed.
 */
uint64_t kv_cas (kv_t *kv, const char *key, uint64_t index, const char *data,
                 size_t len, uint64_t expires, uint64_t now);
/** kv_done - release the table */
void kv_done (kv_t *kv);

#endif
