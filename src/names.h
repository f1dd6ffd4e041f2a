/* names.h -- numbers found by name */
#ifndef GL_NAMES_H
#define GL_NAMES_H

#include <ck_ht.h>
#include <stdint.h>

/** struct names_t - table from a name to a number above 0 */
typedef struct
{
  ck_ht_t ht;
} names_t;

/** names_init - an empty table; -1 without memory */
int names_init (names_t *n);
void names_done (names_t *n);
/** names_put - @name must stay where it is while it is in the table */
int names_put (names_t *n, const char *name, uintptr_t value);
/** names_get - its number, or 0 */
uintptr_t names_get (names_t *n, const char *name);
void names_del (names_t *n, const char *name);

#endif
