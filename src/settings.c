/*
 * settings.c -- settings of the scheduler's daemons on a VM, from an INI file
 */
#include "settings.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "httpd.h"

/* Rows of the table: a text; an integer with its range and default. */
#define TEXT(section, key, kind, member)                                      \
  {                                                                           \
    section, key, kind, offsetof (settings_t, member),                        \
        sizeof ((settings_t *)0)->member, 0, 0, 0                             \
  }
#define INT(section, key, member, low, high, default_value)                   \
  {                                                                           \
    section, key, KIND_INT, offsetof (settings_t, member), sizeof (int), low, \
        high, default_value                                                   \
  }

static const field_t fields[] = {
  TEXT ("node", "name", KIND_NAME, node),
  TEXT ("node", "domain", KIND_NAME, domain),
  TEXT ("node", "site", KIND_NAME, site),
  TEXT ("platform", "url", KIND_URL, platform),
  TEXT ("admin", "http", KIND_ADDR, admin_http),
  TEXT ("admin", "rpc", KIND_ADDR, admin_rpc),
  INT ("admin", "memory_mb", admin_memory_mb, 16, 1048576, 64),
  TEXT ("entry", "http", KIND_ADDR, entry_http),
  INT ("entry", "entries", entries, 1, 64, 1),
  INT ("entry", "number", entry_number, 0, 63, 0),
  INT ("entry", "slots", slots, 1, 1024, 8),
  INT ("entry", "linger_ms", linger_ms, 0, 60000, 2000),
  INT ("entry", "memory_mb", entry_memory_mb, 32, 1048576, 128),
  INT ("entry", "connections", entry_connections, 16, 100000, 2000),
  INT ("entry", "header_ms", entry_header_ms, 100, 600000, 10000),
  INT ("entry", "body_ms", entry_body_ms, 100, 600000, 10000),
  INT ("entry", "reply_ms", entry_reply_ms, 100, 600000, 10000),
  INT ("entry", "client_bytes_per_s", entry_bytes_per_s, 1, 1000000000, 65536),
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

/* Adds a peer for each setting in [peers]: the value is its address, the key
   may be any name. */
static int
add_peer (void *target, const char *section, const char *key, const char *v,
          char *err)
{
  settings_t *s = target;
  struct sockaddr_in sa;

  if (strcmp (section, "peers"))
    return 0;
  if (split_addr (v, &sa) || s->npeers == PEERS_MAX)
    {
      snprintf (err, SETTINGS_ERROR_LEN, "[peers] %.40s = %.60s: refused", key,
                v);
      return 0;
    }
  snprintf (s->peers[s->npeers++], sizeof s->peers[0], "%s", v);
  return 1;
}

/* Checks that no required setting is missing and that settings which depend on
   each other agree. */
static gl_code_t
check_complete (const settings_t *s, char *err)
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
  inifile_t f = { fields, NFIELDS, s, add_peer, err };
  gl_code_t rc;

  memset (s, 0, sizeof *s);
  rc = inifile_load (&f, path);
  return rc ? rc : check_complete (s, err);
}
