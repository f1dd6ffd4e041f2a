/*
 * change.c -- one operator's change of the configuration record
 *
 * Read, change, write by compare-and-swap.  Every change carries a number of
 * its own into the record's history.  After a lost answer, or a comparison
 * that failed after one, the record is read again: our number in its history
 * means that the change took effect, whoever has changed the record since.
 * Only when it is missing may the change be made again on top of theirs; a
 * change that was made twice could undo what another operator was told was
 * accepted in between.
 *
 * The history is bounded.  If so many changes came since that ours may have
 * left it, the outcome is unknown, and that is said.
 */
#include "change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"

#define TRIES_MAX 8
/* Well under the length of the history. */
#define FORGET_AFTER 24

void
change_free (change_t *c)
{
  free (c->record);
  c->record = NULL;
}

static change_op_t
done (change_t *c, gl_code_t code, const char *why)
{
  c->code = code;
  if (why)
    snprintf (c->err, sizeof c->err, "%s", why);
  return CHANGE_DONE;
}

/* The change may have taken effect, and cannot be looked up. */
static change_op_t
unknown (change_t *c)
{
  return done (c, GL_UNKNOWN, "written or not: look before trying again");
}

/* Make the change on the record that was read. */
static change_op_t
make (change_t *c, conf_doc_t *doc)
{
  gl_code_t rc;

  if (c->expect != CHANGE_ANY && doc->revision != c->expect)
    {
      snprintf (c->err, sizeof c->err, "revision is %llu by now",
                (unsigned long long)doc->revision);
      return done (c, GL_CONFLICT, NULL);
    }
  rc = conf_doc_change (doc, c->site, c->text, c->author, c->id, c->err);
  if (rc)
    return done (c, rc, NULL);
  c->revision = doc->revision;
  if (c->check)
    return done (c, GL_OK, NULL);
  if (++c->tries > TRIES_MAX)
    return c->unsure ? unknown (c)
                     : done (c, GL_CONFLICT, "others keep changing it");
  free (c->record);
  c->record = conf_doc_text (doc);
  if (!c->record)
    return done (c, GL_NOMEM, "out of memory");
  c->sent = 1;
  return CHANGE_PUT;
}

static change_op_t
took_record (change_t *c, gl_store_status_t status, uint64_t index,
             const char *data, size_t len)
{
  conf_doc_t doc = { 0 };
  uint64_t made;
  change_op_t next;

  if (status != GL_ST_OK && status != GL_ST_ABSENT)
    return c->unsure
               ? unknown (c)
               : done (c, GL_RETRY, "the key-value service does not answer");
  c->index = status == GL_ST_OK ? index : 0;
  if (conf_doc_load (&doc, data, status == GL_ST_OK ? len : 0))
    return done (c, GL_RETRY, "the configuration record cannot be read");
  made = c->sent && !FAULT (FAULT_CHANGE_TWICE)
             ? conf_doc_revision_of (&doc, c->id)
             : 0;
  if (made)
    {
      c->revision = made;
      next = done (c, GL_OK, NULL);
    }
  else if (c->unsure && doc.revision >= c->revision + FORGET_AFTER)
    next = unknown (c);
  else if (c->unsure && c->index == c->unsure_index)
    {
      /* The lost write may still arrive; ours against the same index can
         only take its place. */
      next = make (c, &doc);
    }
  else
    {
      /* The record has moved on without the lost write, which can no longer
         take effect. */
      c->unsure = 0;
      next = make (c, &doc);
    }
  conf_doc_free (&doc);
  return next;
}

static change_op_t
took_write (change_t *c, gl_store_status_t status)
{
  switch (status)
    {
    case GL_ST_OK:
      return done (c, GL_OK, NULL);
    case GL_ST_REFUSED:
      return c->unsure
                 ? CHANGE_GET
                 : done (c, GL_RETRY, "the key-value service refuses writes");
    case GL_ST_UNKNOWN:
      if (FAULT (FAULT_CHANGE_UNSURE_IS_DONE))
        return done (c, GL_OK, NULL);
      c->unsure = 1;
      c->unsure_index = c->index;
      return CHANGE_GET;
    default:
      return CHANGE_GET;
    }
}

change_op_t
change_took (change_t *c, change_op_t op, gl_store_status_t status,
             uint64_t index, const char *data, size_t len)
{
  if (op == CHANGE_GET)
    return took_record (c, status, index, data, len);
  return took_write (c, status);
}
