/*
 * inifile.c -- table-driven reading and checking of INI files
 */
#include "inifile.h"

#include <errno.h>
#include <ini.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpd.h"

static int
is_name (const char *v)
{
  size_t n = strlen (v);

  return n && strspn (v, "abcdefghijklmnopqrstuvwxyz0123456789-") == n;
}

/* Whether @v fits the member and has the syntax of its kind. */
static int
is_valid_text (const field_t *f, const char *v)
{
  struct sockaddr_in sa;

  if (strlen (v) >= f->size)
    return 0;
  if (f->kind == KIND_NAME)
    return is_name (v);
  if (f->kind == KIND_ADDR)
    return !split_addr (v, &sa);
  return !strncmp (v, "http://", 7) && !split_addr (v + 7, &sa);
}

/* Sets the error text; returns 0, which reports an error to inih. */
static int
reject (const inifile_t *p, const field_t *f, const char *v, const char *why)
{
  snprintf (p->err, SETTINGS_ERROR_LEN, "[%s] %s = %.60s: %s", f->section,
            f->key, v, why);
  return 0;
}

static int
set_number (const inifile_t *p, const field_t *f, char *member, const char *v)
{
  char *end;
  double n;

  errno = 0;
  n = f->kind == KIND_REAL ? strtod (v, &end) : (double)strtol (v, &end, 10);
  if (errno || end == v || *end || n < f->low || n > f->high)
    {
      char why[48];

      snprintf (why, sizeof why, "not in %d to %d", f->low, f->high);
      return reject (p, f, v, why);
    }
  if (f->kind == KIND_REAL)
    *(double *)(void *)member = n;
  else
    *(int *)(void *)member = (int)n;
  return 1;
}

static int
set_field (const inifile_t *p, const field_t *f, const char *v)
{
  char *member = (char *)p->target + f->offset;

  if (f->kind == KIND_INT || f->kind == KIND_REAL)
    return set_number (p, f, member, v);
  if (f->kind == KIND_FLAG)
    {
      if (strcmp (v, "true") && strcmp (v, "false"))
        return reject (p, f, v, "neither true nor false");
      *(int *)(void *)member = !strcmp (v, "true");
      return 1;
    }
  if (f->kind == KIND_SWITCH)
    {
      if (strcmp (v, "on") && strcmp (v, "off"))
        return reject (p, f, v, "neither on nor off");
      *(int *)(void *)member = !strcmp (v, "on");
      return 1;
    }
  if (!is_valid_text (f, v))
    return reject (p, f, v, "refused");
  strcpy (member, v);
  return 1;
}

/* Handler for ini_parse: applies one setting; returns 1, or 0 with the reason
   in p->err. */
static int
set_value (void *ctx, const char *section, const char *key, const char *v)
{
  inifile_t *p = ctx;

  for (size_t i = 0; i < p->nfields; i++)
    if (!strcmp (p->fields[i].section, section)
        && !strcmp (p->fields[i].key, key))
      return set_field (p, &p->fields[i], v);
  if (p->on_other)
    {
      int rc = p->on_other (p->target, section, key, v, p->err);
      if (rc || *p->err)
        return rc;
    }
  snprintf (p->err, SETTINGS_ERROR_LEN, "[%.40s] %.40s: unknown setting",
            section, key);
  return 0;
}

gl_code_t
inifile_load (inifile_t *f, const char *path)
{
  size_t n;
  int line;

  *f->err = 0;
  for (size_t i = 0; i < f->nfields; i++)
    if (f->fields[i].kind == KIND_INT || f->fields[i].kind == KIND_FLAG
        || f->fields[i].kind == KIND_SWITCH)
      *(int *)(void *)((char *)f->target + f->fields[i].offset)
          = f->fields[i].default_value;
    else if (f->fields[i].kind == KIND_REAL)
      *(double *)(void *)((char *)f->target + f->fields[i].offset)
          = f->fields[i].default_value;
  line = ini_parse (path, set_value, f);
  if (line < 0)
    {
      snprintf (f->err, SETTINGS_ERROR_LEN, "cannot read %.120s", path);
      return GL_INVALID;
    }
  if (!line)
    return GL_OK;
  n = strlen (f->err);
  snprintf (f->err + n, SETTINGS_ERROR_LEN - n, "%s (line %d)",
            n ? "" : "syntax error", line);
  return GL_INVALID;
}
