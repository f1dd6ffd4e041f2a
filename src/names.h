/* names.h -- hash table from names to integers */
#ifndef GL_NAMES_H
#define GL_NAMES_H

#include <ck_ht.h>
#include <stdint.h>

/** struct names_t - hash table from a string to an integer above 0 */
typedef struct
{
  ck_ht_t ht;
} names_t;

/** names_init - set up an empty table; 0, or -1 when out of memory */
int names_init (names_t *n);
/** names_destroy - free the table; the names are not freed */
void names_destroy (names_t *n);
/**
 * names_put - map @name, which must not be in the table, to @value
 *
 * The table keeps the pointer, so @name must stay valid and unchanged until it
 * is deleted.  Returns 0, or -1 when the name is there already or memory is
 * short.
 */
int names_put (names_t *n, const char *name, uintptr_t value);
/** names_get - value of @name, or 0 when it is not in the table */
uintptr_t names_get (names_t *n, const char *name);
/** names_del - remove @name; nothing happens when it is not in the table */
void names_del (names_t *n, const char *name);

#endif
