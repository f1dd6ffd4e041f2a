/*
 * conf.c -- the operators' configuration: base, overlays, checks
 *
 * One record holds the base and all overlays under a single revision number.
 * So one compare-and-swap decides between operators who make changes at the
 * same time, and no process ever sees half of a change.  The same check runs
 * where a change is accepted and where it is put in force, so a record that
 * was accepted is never refused later.
 */
#include "conf.h"

#include <errno.h>
#include <ini.h>
#include <jansson.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Changes that the record's history keeps; the oldest is dropped first. */
#define HISTORY_MAX 32
/* Prefix of the sections that set a team's quota. */
#define TEAM_PREFIX "team "
/* Largest quotas, in the units of the settings, so that neither they nor sums
   with a need overflow the int members of gl_res_t. */
#define QUOTA_CPUS_MAX 100000
#define QUOTA_MEMORY_GB_MAX 1000000
#define QUOTA_ACCELS_MAX 100000

/**
 * struct conf_field_t - a setting that is a number
 * @offset: of the int in gl_conf_t
 * @low, @high: range of its values
 * @default_value: default value
 */
typedef struct
{
  const char *section;
  const char *key;
  size_t offset;
  int low;
  int high;
  int default_value;
} conf_field_t;

static const conf_field_t fields[] = {
  { "policy", "ageing_s", offsetof (gl_conf_t, ageing_s), 1, 86400, 300 },
  { "policy", "backfill", offsetof (gl_conf_t, backfill), 0, 1, 1 },
  { "policy", "preempt", offsetof (gl_conf_t, preempt), 0, 1, 1 },
  { "policy", "domains", offsetof (gl_conf_t, domains), 1, 64, 1 },
  { "requests", "retry_percent", offsetof (gl_conf_t, retry_percent), 0, 100,
    10 },
  { "requests", "queue_len", offsetof (gl_conf_t, queue_len), 0, 100000, 200 },
  { "requests", "deadline_ms", offsetof (gl_conf_t, deadline_ms), 10, 600000,
    10000 },
  { "requests", "first_byte_ms", offsetof (gl_conf_t, first_byte_ms), 10,
    600000, 8000 },
  { "requests", "claims_per_s", offsetof (gl_conf_t, claims_per_s), 1, 1000,
    25 },
};
#define NFIELDS (sizeof fields / sizeof *fields)

static int *
field_ptr (gl_conf_t *c, const conf_field_t *f)
{
  return (int *)((char *)c + f->offset);
}

void
conf_init (gl_conf_t *c)
{
  memset (c, 0, sizeof *c);
  for (size_t i = 0; i < NFIELDS; i++)
    *field_ptr (c, &fields[i]) = fields[i].default_value;
}

void
conf_destroy (gl_conf_t *c)
{
  free (c->teams);
  c->teams = NULL;
  c->nteams = 0;
}

void
conf_free (gl_conf_t *c)
{
  if (!c)
    return;
  conf_destroy (c);
  free (c);
}

/**
 * struct parse_t - context of set_value
 * @c: configuration that receives the settings
 * @err: CONF_ERROR_LEN bytes for the reason of a refusal
 */
typedef struct
{
  gl_conf_t *c;
  char *err;
} parse_t;

/* Parse a decimal number from @low to @high; 0, or -1 if @text is not one. */
static int
parse_int (const char *text, int low, int high, int *out)
{
  char *end;
  long v;

  errno = 0;
  v = strtol (text, &end, 10);
  if (errno || end == text || *end || v < low || v > high)
    return -1;
  *out = (int)v;
  return 0;
}

/* The team, added when new; NULL if there are too many or memory is out. */
static conf_team_t *
find_or_add_team (gl_conf_t *c, const char *name)
{
  conf_team_t *t;

  for (size_t i = 0; i < c->nteams; i++)
    if (!strcmp (c->teams[i].name, name))
      return &c->teams[i];
  if (c->nteams == CONF_TEAMS_MAX)
    return NULL;
  t = realloc (c->teams, (c->nteams + 1) * sizeof *t);
  if (!t)
    return NULL;
  c->teams = t;
  t = &c->teams[c->nteams++];
  memset (t, 0, sizeof *t);
  memcpy (t->name, name, strlen (name));
  return t;
}

/* Whether @name is allowed for a team or a site. */
static int
valid_name (const char *name)
{
  size_t n = strlen (name);

  return n > 0 && n < sizeof ((conf_team_t *)0)->name
         && strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == n;
}

/* Apply one setting of a team; returns 1, or 0 with the reason in p->err. */
static int
set_team (parse_t *p, const char *team, const char *key, const char *value)
{
  conf_team_t *t;
  int v;

  if (!valid_name (team))
    {
      snprintf (p->err, CONF_ERROR_LEN, "bad team name \"%.40s\"", team);
      return 0;
    }
  t = find_or_add_team (p->c, team);
  if (!t)
    {
      snprintf (p->err, CONF_ERROR_LEN, "more than %d teams", CONF_TEAMS_MAX);
      return 0;
    }
  if (!strcmp (key, "cpus") && !parse_int (value, 0, QUOTA_CPUS_MAX, &v))
    t->quota.cpus_m = v * 1000;
  else if (!strcmp (key, "memory_gb")
           && !parse_int (value, 0, QUOTA_MEMORY_GB_MAX, &v))
    t->quota.memory_mb = v * 1024;
  else if (!strcmp (key, "accels")
           && !parse_int (value, 0, QUOTA_ACCELS_MAX, &v))
    t->quota.accels = v;
  else
    {
      snprintf (p->err, CONF_ERROR_LEN, "[team %.40s] %.40s = %.40s: refused",
                team, key, value);
      return 0;
    }
  return 1;
}

/* Handler for ini_parse_string: apply one setting; returns 1, or 0 with the
   reason in p->err. */
static int
set_value (void *ctx, const char *section, const char *key, const char *value)
{
  parse_t *p = ctx;

  if (!strncmp (section, TEAM_PREFIX, strlen (TEAM_PREFIX)))
    return set_team (p, section + strlen (TEAM_PREFIX), key, value);
  for (size_t i = 0; i < NFIELDS; i++)
    {
      const conf_field_t *f = &fields[i];

      if (strcmp (f->section, section) || strcmp (f->key, key))
        continue;
      if (!parse_int (value, f->low, f->high, field_ptr (p->c, f)))
        return 1;
      snprintf (p->err, CONF_ERROR_LEN, "[%s] %s = %.40s: not in %d to %d",
                section, key, value, f->low, f->high);
      return 0;
    }
  snprintf (p->err, CONF_ERROR_LEN, "[%.40s] %.40s: unknown setting", section,
            key);
  return 0;
}

/* The INI parser ignores what follows the closing bracket of a section
   header.  Returns the number of the first line with text there, 0 for
   none. */
static int
text_after_section (const char *text)
{
  for (int line = 1; text && *text; line++)
    {
      const char *end = strchr (text, '\n');
      const char *close = *text == '[' ? strchr (text, ']') : NULL;
      size_t len = end ? (size_t)(end - text) : strlen (text);

      if (close && close < text + len
          && strspn (close + 1, " \t\r") + 1 < (size_t)(text + len - close))
        return line;
      text = end ? end + 1 : NULL;
    }
  return 0;
}

/* Parse the base or one overlay into p->c; GL_OK, or GL_INVALID with the
   reason and the line in p->err. */
static gl_code_t
parse_part (parse_t *p, const char *text)
{
  int line = text_after_section (text);

  if (!line)
    line = ini_parse_string (text, set_value, p);

  if (!line)
    return GL_OK;
  if (!*p->err)
    snprintf (p->err, CONF_ERROR_LEN, "syntax error");
  size_t n = strlen (p->err);
  snprintf (p->err + n, CONF_ERROR_LEN - n, " (line %d)", line);
  return GL_INVALID;
}

gl_code_t
conf_parse (gl_conf_t *c, const char *base, const char *overlay, char *err)
{
  parse_t p = { c, err };

  conf_init (c);
  *err = 0;
  if (parse_part (&p, base) || (overlay && parse_part (&p, overlay)))
    {
      conf_destroy (c);
      conf_init (c);
      return GL_INVALID;
    }
  return GL_OK;
}

/* ---- the configuration record ---- */

gl_code_t
conf_doc_load (conf_doc_t *d, const char *text, size_t len)
{
  json_t *j;
  json_t *rev;

  d->json = NULL;
  d->revision = 0;
  j = len ? json_loadb (text, len, 0, NULL)
          : json_pack ("{s:I,s:s,s:{},s:[]}", "revision", (json_int_t)0,
                       "base", "", "overlays", "history");
  rev = json_object_get (j, "revision");
  if (!json_is_integer (rev) || json_integer_value (rev) < 0
      || !json_is_string (json_object_get (j, "base"))
      || !json_is_object (json_object_get (j, "overlays"))
      || !json_is_array (json_object_get (j, "history")))
    {
      json_decref (j);
      return GL_INVALID;
    }
  d->json = j;
  d->revision = (uint64_t)json_integer_value (rev);
  return GL_OK;
}

void
conf_doc_free (conf_doc_t *d)
{
  json_decref (d->json);
  d->json = NULL;
}

char *
conf_doc_text (const conf_doc_t *d)
{
  return json_dumps (d->json, JSON_COMPACT | JSON_SORT_KEYS);
}

const char *
conf_doc_part (const conf_doc_t *d, const char *site)
{
  if (!site)
    return json_string_value (json_object_get (d->json, "base"));
  return json_string_value (
      json_object_get (json_object_get (d->json, "overlays"), site));
}

gl_code_t
conf_doc_in_force (const conf_doc_t *d, const char *site, gl_conf_t *c,
                   char *err)
{
  gl_code_t rc
      = conf_parse (c, conf_doc_part (d, NULL), conf_doc_part (d, site), err);

  c->revision = d->revision;
  return rc;
}

/* Check the base alone and with each overlay; GL_OK or GL_INVALID. */
static gl_code_t
check_all_sites (const conf_doc_t *d, char *err)
{
  json_t *overlays = json_object_get (d->json, "overlays");
  const char *site;
  json_t *text;
  gl_conf_t c = { 0 };
  gl_code_t rc = conf_doc_in_force (d, "", &c, err);

  conf_destroy (&c);
  if (rc)
    return rc;
  json_object_foreach (overlays, site, text)
  {
    rc = conf_doc_in_force (d, site, &c, err);
    conf_destroy (&c);
    if (rc)
      return rc;
  }
  return GL_OK;
}

static void
set_part (json_t *j, const char *site, const char *text)
{
  if (!site)
    json_object_set_new (j, "base", json_string (text));
  else
    json_object_set_new (json_object_get (j, "overlays"), site,
                         json_string (text));
}

static void
add_history (json_t *j, uint64_t revision, const char *site,
             const char *author, uint64_t change)
{
  json_t *history = json_object_get (j, "history");

  json_array_append_new (
      history, json_pack ("{s:I,s:s,s:s,s:I}", "revision",
                          (json_int_t)revision, "part", site ? site : "base",
                          "author", author, "change", (json_int_t)change));
  while (json_array_size (history) > HISTORY_MAX)
    json_array_remove (history, 0);
}

uint64_t
conf_doc_revision_of (const conf_doc_t *d, uint64_t change)
{
  json_t *h;
  size_t i;

  json_array_foreach (
      json_object_get (d->json, "history"), i,
      h) if ((uint64_t)json_integer_value (json_object_get (h, "change"))
             == change) return (uint64_t)
      json_integer_value (json_object_get (h, "revision"));
  return 0;
}

gl_code_t
conf_doc_change (conf_doc_t *d, const char *site, const char *text,
                 const char *author, uint64_t change, char *err)
{
  conf_doc_t next = { d->revision + 1, json_deep_copy (d->json) };
  gl_code_t rc;

  if (site && !valid_name (site))
    {
      snprintf (err, CONF_ERROR_LEN, "bad site name");
      rc = GL_INVALID;
      goto fail;
    }
  set_part (next.json, site, text);
  rc = check_all_sites (&next, err);
  if (rc)
    goto fail;
  json_object_set_new (next.json, "revision",
                       json_integer ((json_int_t)next.revision));
  add_history (next.json, next.revision, site, author, change);
  conf_doc_free (d);
  *d = next;
  return GL_OK;

fail:
  conf_doc_free (&next);
  return rc;
}
