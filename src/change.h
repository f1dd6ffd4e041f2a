/* change.h -- one operator's change of the configuration record */
#ifndef GL_CHANGE_H
#define GL_CHANGE_H

#include "conf.h"

/** CHANGE_ANY_REVISION - change the record whatever its revision is */
#define CHANGE_ANY_REVISION UINT64_MAX

/**
 * enum change_op_t - what a change needs next
 * @CHANGE_GET: read the record
 * @CHANGE_PUT: write change_t.record by compare-and-swap against
 *   change_t.index
 * @CHANGE_DONE: nothing; the outcome is in change_t
 */
typedef enum
{
  CHANGE_GET = 0,
  CHANGE_PUT,
  CHANGE_DONE
} change_op_t;

/**
 * struct change_t - a change in progress
 * @site: overlay to replace, NULL for the base
 * @text: its new INI text
 * @author: name of the operator; @site, @text and @author are borrowed
 * @expected_revision: revision that the record must have, or
 *   CHANGE_ANY_REVISION
 * @check_only: check the change and write nothing
 * @id: number unique to this change
 * @index, @record: for CHANGE_PUT: store index that the record must have, 0
 *   if it must be absent, and text to write
 * @sent: CHANGE_PUT has been returned at least once
 * @write_unknown: the reply to a write was lost, and that write may still
 *   take effect
 * @unknown_index: store index that the last such write gave
 * @attempts: times that the change has been prepared for writing
 * @code, @revision, @err: for CHANGE_DONE: outcome, revision that the change
 *   made or would make, and reason of a refusal
 */
typedef struct
{
  const char *site;
  const char *text;
  const char *author;
  uint64_t expected_revision;
  int check_only;
  uint64_t id;
  uint64_t index;
  char *record;
  int sent;
  int write_unknown;
  uint64_t unknown_index;
  int attempts;
  gl_code_t code;
  uint64_t revision;
  char err[CONF_ERROR_LEN];
} change_t;

/**
 * change_store_done - process the result of operation @op, return the next one
 * @status, @index: outcome and store index of the record
 * @data, @len: the record, if @op is a CHANGE_GET that found one
 *
 * A change starts with CHANGE_GET.
 */
change_op_t change_store_done (change_t *c, change_op_t op,
                               gl_store_status_t status, uint64_t index,
                               const char *data, size_t len);
/** change_free - free the record text; not the change itself */
void change_free (change_t *c);

#endif
