/* change.h -- one operator's change of the configuration record */
#ifndef GL_CHANGE_H
#define GL_CHANGE_H

#include "conf.h"

/** CHANGE_ANY - accept whatever revision is there */
#define CHANGE_ANY UINT64_MAX

/** enum change_op_t - what a change needs next */
typedef enum
{
  CHANGE_GET = 0,
  CHANGE_PUT,
  CHANGE_DONE
} change_op_t;

/**
 * struct change_t - a change on its way
 * @site: overlay to replace, NULL for the base; borrowed like text, author
 * @expect: revision that must be the present one, or CHANGE_ANY
 * @check: only check, write nothing
 * @id: number unique to this change
 * @index, @record: for CHANGE_PUT
 * @sent: a write of it has been sent
 * @unsure, @unsure_index: the answer to a write against that index was lost
 * @code, @revision, @err: for CHANGE_DONE
 */
typedef struct
{
  const char *site;
  const char *text;
  const char *author;
  uint64_t expect;
  int check;
  uint64_t id;
  uint64_t index;
  char *record;
  int sent;
  int unsure;
  uint64_t unsure_index;
  int tries;
  gl_code_t code;
  uint64_t revision;
  char err[CONF_ERROR_LEN];
} change_t;

/**
 * change_took - take the outcome of the last operation
 *
 * The first operation is CHANGE_GET.  @data and @len are the record, for a
 * get that found one.
 */
change_op_t change_took (change_t *c, change_op_t op, gl_store_status_t status,
                         uint64_t index, const char *data, size_t len);
/** change_free - release the record */
void change_free (change_t *c);

#endif
