/*
 * settings.c -- a VM's own settings, one INI file for all its daemons
 */
#include "settings.h"

#include <errno.h>
#include <ini.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpd.h"

typedef enum
{
  KIND_NAME,
  KIND_ADDR,
  KIND_URL,
  KIND_INT
} kind_t;

typedef struct
{
  const char *section;
  const char *key;
  kind_t kind;
  size_t offset;
  size_t size;
  int low;
  int high;
  int preset;
} field_t;

#define TEXT(section, key, kind, member)                                      \
  {                                                                           \
    section, key, kind, offsetof (settings_t, member),                        \
        sizeof ((settings_t *)0)->member, 0, 0, 0                             \
  }
#define INT(section, key, member, low, high, preset)                          \
  {                                                                           \
    section, key, KIND_INT, offsetof (settings_t, member), sizeof (int), low, \
        high, preset                                                          \
  }

static const field_t fields[] = {
  TEXT ("node", "name", KIND_NAME, node),
  TEXT ("node", "domain", KIND_NAME, domain),
  TEXT ("node", "site", KIND_NAME, site),
  TEXT ("platform", "url", KIND_URL, platform),
  TEXT ("admin", "http", KIND_ADDR, admin_http),
  TEXT ("admin", "rpc", KIND_ADDR, admin_rpc),
  TEXT ("entry", "http", KIND_ADDR, entry_http),
  INT ("entry", "entries", entries, 1, 64, 1),
  INT ("entry", "number", entry_number, 0, 63, 0),
  INT ("entry", "slots", slots, 1, 1024, 8),
  INT ("entry", "linger_ms", linger_ms, 0, 60000, 2000),
  TEXT ("scheduler", "rpc", KIND_ADDR, scheduler_rpc),
  TEXT ("scheduler", "http", KIND_ADDR, scheduler_http),
  INT ("scheduler", "lease_ms", lease_ms, 500, 60000, 1500),
  INT ("scheduler", "renew_ms", renew_ms, 100, 20000, 400),
  INT ("scheduler", "worker_lease_ms", worker_lease_ms, 2000, 600000, 60000),
  INT ("scheduler", "hold_ms", hold_ms, 500, 120000, 30000),
  INT ("scheduler", "commit_gap_ms", commit_gap_ms, 1, 1000, 50),
  INT ("scheduler", "grace_ms", grace_ms, 1000, 86400000, 3600000),
  INT ("scheduler", "drift_ppm", drift_ppm, 1, 10000, 500),
};
#define NFIELDS (sizeof fields / sizeof *fields)

typedef struct
{
  settings_t *s;
  char *err;
} parse_t;

static int
name_ok (const char *v)
{
  size_t n = strlen (v);

  return n && strspn (v, "abcdefghijklmnopqrstuvwxyz0123456789-") == n;
}

static int
text_ok (const field_t *f, const char *v)
{
  struct sockaddr_in sa;

  if (strlen (v) >= f->size)
    return 0;
  if (f->kind == KIND_NAME)
    return name_ok (v);
  if (f->kind == KIND_ADDR)
    return !split_addr (v, &sa);
  return !strncmp (v, "http://", 7) && !split_addr (v + 7, &sa);
}

static int
set_field (parse_t *p, const field_t *f, const char *v)
{
  char *at = (char *)p->s + f->offset;
  char *end;
  long n;

  if (f->kind != KIND_INT)
    {
      if (!text_ok (f, v))
        {
          snprintf (p->err, SETTINGS_ERROR_LEN, "[%s] %s = %.60s: refused",
                    f->section, f->key, v);
          return 0;
        }
      strcpy (at, v);
      return 1;
    }
  errno = 0;
  n = strtol (v, &end, 10);
  if (errno || end == v || *end || n < f->low || n > f->high)
    {
      snprintf (p->err, SETTINGS_ERROR_LEN, "[%s] %s = %.60s: not in %d to %d",
                f->section, f->key, v, f->low, f->high);
      return 0;
    }
  *(int *)(void *)at = (int)n;
  return 1;
}

static int
add_peer (parse_t *p, const char *key, const char *v)
{
  struct sockaddr_in sa;

  if (split_addr (v, &sa) || p->s->npeers == PEERS_MAX)
    {
      snprintf (p->err, SETTINGS_ERROR_LEN, "[peers] %.40s = %.60s: refused",
                key, v);
      return 0;
    }
  snprintf (p->s->peers[p->s->npeers++], sizeof p->s->peers[0], "%s", v);
  return 1;
}

static int
set_value (void *ctx, const char *section, const char *key, const char *v)
{
  parse_t *p = ctx;

  if (!strcmp (section, "peers"))
    return add_peer (p, key, v);
  for (size_t i = 0; i < NFIELDS; i++)
    if (!strcmp (fields[i].section, section) && !strcmp (fields[i].key, key))
      return set_field (p, &fields[i], v);
  snprintf (p->err, SETTINGS_ERROR_LEN, "[%.40s] %.40s: unknown setting",
            section, key);
  return 0;
}

static gl_code_t
check_whole (const settings_t *s, char *err)
{
  const char *why = NULL;

  if (!s->node[0] || !s->domain[0] || !s->site[0])
    why = "[node] name, domain and site are needed";
  else if (!s->platform[0])
    why = "[platform] url is needed";
  else if (!s->admin_rpc[0])
    why = "[admin] rpc is needed";
  else if (s->renew_ms * 3 > s->lease_ms)
    why = "[scheduler] renew_ms is more than a third of lease_ms";
  else if (s->hold_ms * 2 > s->worker_lease_ms)
    why = "[scheduler] hold_ms is more than half of worker_lease_ms";
  else if (s->entry_number >= s->entries)
    why = "[entry] number is not below entries";
  if (!why)
    return GL_OK;
  snprintf (err, SETTINGS_ERROR_LEN, "%s", why);
  return GL_INVALID;
}

gl_code_t
settings_load (settings_t *s, const char *path, char *err)
{
  parse_t p = { s, err };
  int line;

  memset (s, 0, sizeof *s);
  *err = 0;
  for (size_t i = 0; i < NFIELDS; i++)
    if (fields[i].kind == KIND_INT)
      *(int *)(void *)((char *)s + fields[i].offset) = fields[i].preset;
  line = ini_parse (path, set_value, &p);
  if (line < 0)
    {
      snprintf (err, SETTINGS_ERROR_LEN, "cannot read %.120s", path);
      return GL_INVALID;
    }
  if (line)
    {
      size_t n = strlen (err);
      snprintf (err + n, SETTINGS_ERROR_LEN - n, "%s (line %d)",
                n ? "" : "syntax error", line);
      return GL_INVALID;
    }
  return check_whole (s, err);
}
