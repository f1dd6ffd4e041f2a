/*
 * change.c -- one operator's change of the configuration record
 *
 * The record is read, changed and written by compare-and-swap.  Each change
 * has a number of its own, which is kept in the record's history.  After a
 * lost reply, or a conflict that follows one, the record is read again: if
 * its history holds our number, the change has taken effect, even if other
 * operators have changed the record since.  Only if the number is missing may
 * the change be made again, on top of theirs; a change that is made twice
 * could undo another operator's change that was accepted in between.
 *
 * The history is bounded.  If so many changes have followed that ours may
 * have left it, the outcome is unknown, and the operator is told so.
 */
#include "change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"

/* Most attempts to write a change while others keep changing the record. */
#define ATTEMPTS_MAX 8
/* After this many revisions the history may no longer hold our change.  Well
   under the length of the history, HISTORY_MAX in conf.c. */
#define HISTORY_TRUSTED 24

void
change_free (change_t *c)
{
  free (c->record);
  c->record = NULL;
}

/* End the change with @code; @why is the reason of a refusal, or NULL to keep
   c->err. */
static change_op_t
done (change_t *c, gl_code_t code, const char *why)
{
  c->code = code;
  if (why)
    snprintf (c->err, sizeof c->err, "%s", why);
  return CHANGE_DONE;
}

/* End the change as unknown: whether it has taken effect cannot be
   determined. */
static change_op_t
unknown (change_t *c)
{
  return done (c, GL_UNKNOWN, "written or not: look before trying again");
}

/* Apply the change to the record @doc that was read and prepare the write. */
static change_op_t
apply_change (change_t *c, conf_doc_t *doc)
{
  gl_code_t rc;

  if (c->expected_revision != CHANGE_ANY_REVISION
      && doc->revision != c->expected_revision)
    {
      snprintf (c->err, sizeof c->err, "revision is %llu by now",
                (unsigned long long)doc->revision);
      return done (c, GL_CONFLICT, NULL);
    }
  rc = conf_doc_change (doc, c->site, c->text, c->author, c->id, c->err);
  if (rc)
    return done (c, rc, NULL);
  c->revision = doc->revision;
  if (c->check_only)
    return done (c, GL_OK, NULL);
  if (++c->attempts > ATTEMPTS_MAX)
    return c->write_unknown ? unknown (c)
                            : done (c, GL_CONFLICT, "others keep changing it");
  free (c->record);
  c->record = conf_doc_text (doc);
  if (!c->record)
    return done (c, GL_NOMEM, "out of memory");
  c->sent = 1;
  return CHANGE_PUT;
}

/* Process the result of a CHANGE_GET. */
static change_op_t
record_read (change_t *c, gl_store_status_t status, uint64_t index,
             const char *data, size_t len)
{
  conf_doc_t doc = { 0 };
  uint64_t revision_made;
  change_op_t next;

  if (status != GL_ST_OK && status != GL_ST_ABSENT)
    return c->write_unknown
               ? unknown (c)
               : done (c, GL_RETRY, "the key-value service does not answer");
  c->index = status == GL_ST_OK ? index : 0;
  if (conf_doc_load (&doc, data, status == GL_ST_OK ? len : 0))
    return done (c, GL_RETRY, "the configuration record cannot be read");
  revision_made = c->sent && !FAULT (FAULT_CHANGE_TWICE)
                      ? conf_doc_revision_of (&doc, c->id)
                      : 0;
  if (revision_made)
    {
      c->revision = revision_made;
      next = done (c, GL_OK, NULL);
    }
  else if (c->write_unknown && doc.revision >= c->revision + HISTORY_TRUSTED)
    next = unknown (c);
  else if (c->write_unknown && c->index == c->unknown_index)
    {
      /* The unknown write may still arrive; of two writes against the same
         index, only one takes effect. */
      next = apply_change (c, &doc);
    }
  else
    {
      /* The record has changed without the unknown write, which therefore
         can no longer take effect. */
      c->write_unknown = 0;
      next = apply_change (c, &doc);
    }
  conf_doc_free (&doc);
  return next;
}

/* Process the result of a CHANGE_PUT. */
static change_op_t
record_written (change_t *c, gl_store_status_t status)
{
  switch (status)
    {
    case GL_ST_OK:
      return done (c, GL_OK, NULL);
    case GL_ST_REFUSED:
      return c->write_unknown
                 ? CHANGE_GET
                 : done (c, GL_RETRY, "the key-value service refuses writes");
    case GL_ST_UNKNOWN:
      if (FAULT (FAULT_CHANGE_UNSURE_IS_DONE))
        return done (c, GL_OK, NULL);
      c->write_unknown = 1;
      c->unknown_index = c->index;
      return CHANGE_GET;
    default:
      return CHANGE_GET;
    }
}

change_op_t
change_store_done (change_t *c, change_op_t op, gl_store_status_t status,
                   uint64_t index, const char *data, size_t len)
{
  if (op == CHANGE_GET)
    return record_read (c, status, index, data, len);
  return record_written (c, status);
}
