/*
 * cellset.c -- settings of a VM of the cell
 */
#include "cellset.h"

#include <stdio.h>
#include <string.h>
#include <sys/sysinfo.h>

/* Highest value of memory_mb, and the one if the system reports none. */
#define MEMORY_MB_MAX 1048576
#define MEMORY_MB_UNKNOWN 256

/* Rows of the table: section and key in the file, the member that takes the
   value, and for numbers the bounds and the default. */
#define TEXT(section, key, kind, member)                                      \
  {                                                                           \
    section, key, kind, offsetof (cellset_t, member),                         \
        sizeof ((cellset_t *)0)->member, 0, 0, 0                              \
  }
#define INT(section, key, member, low, high, default_value)                   \
  {                                                                           \
    section, key, KIND_INT, offsetof (cellset_t, member), sizeof (int), low,  \
        high, default_value                                                   \
  }
#define REAL(section, key, member, low, high, default_value)                  \
  {                                                                           \
    section, key, KIND_REAL, offsetof (cellset_t, member), sizeof (double),   \
        low, high, default_value                                              \
  }

#define SWITCH(section, key, member)                                          \
  {                                                                           \
    section, key, KIND_SWITCH, offsetof (cellset_t, member), sizeof (int), 0, \
        0, 0                                                                  \
  }

static const field_t fields[] = {
  TEXT ("vm", "name", KIND_NAME, name),
  TEXT ("vm", "domain", KIND_NAME, domain),
  REAL ("vm", "cpu_share", cpu_share, 0, 1024, 1),
  REAL ("vm", "link_mbps", link_mbps, 0, 1000000, 0),
  INT ("vm", "memory_mb", memory_mb, 0, MEMORY_MB_MAX, 0),
  INT ("listen", "connections", connections, 0, 1000000, 0),
  INT ("listen", "body_memory_mb", body_memory_mb, 0, 1048576, 0),
  INT ("listen", "header_ms", header_ms, 100, 600000, 5000),
  INT ("listen", "body_ms", body_ms, 100, 600000, 5000),
  INT ("listen", "reply_ms", reply_ms, 100, 600000, 10000),
  INT ("listen", "client_bytes_per_s", client_bytes_per_s, 1, 1000000000,
       8192),
  INT ("listen", "peer_connections", peer_connections, 1, 500,
       CELLSET_PEER_CONNECTIONS),
  INT ("listen", "peer_memory_mb", peer_memory_mb, 0, 1048576, 0),
  INT ("listen", "peer_record_ms", peer_record_ms, 100, 600000,
       CELLSET_PEER_RECORD_MS),
  TEXT ("listen", "requests", KIND_ADDR, requests),
  TEXT ("listen", "ready", KIND_ADDR, ready),
  TEXT ("listen", "rpc", KIND_ADDR, rpc),
  TEXT ("listen", "metrics", KIND_ADDR, metrics),
  TEXT ("platform", "store", KIND_ADDR, store),
  TEXT ("platform", "advisor", KIND_ADDR, advisor),
  INT ("platform", "writes_per_s", writes_per_s, 1, 1000000, 400),
  INT ("platform", "lease_min_ms", store_lease_min_ms, 1, 600000, 1000),
  REAL ("stop", "drain_s", drain_s, 0, 600, 6),
  INT ("workers", "lease_max_ms", worker_lease_max_ms, 500, 600000, 10000),
  INT ("workers", "stop_max_ms", stop_max_ms, 0, 60000, 1000),
  SWITCH ("plan", "interference", interference),
  INT ("jobs", "kept_s", retention_s, 1, 86400, 120),
};

/* The memory that the system reports, in MB. */
static int
system_memory_mb (void)
{
  struct sysinfo s;
  unsigned long long mb;

  if (sysinfo (&s))
    return MEMORY_MB_UNKNOWN;
  mb = (unsigned long long)s.totalram * s.mem_unit >> 20;
  return mb < MEMORY_MB_MAX ? (int)mb : MEMORY_MB_MAX;
}

static gl_code_t
check_required (const cellset_t *s, char *err)
{
  const char *why = NULL;

  if (!s->name[0] || !s->domain[0])
    why = "[vm] name and domain are needed";
  else if (!s->requests[0] || !s->ready[0] || !s->rpc[0])
    why = "[listen] requests, ready and rpc are needed";
  else if (!s->store[0])
    why = "[platform] store is needed";
  if (!why)
    return GL_OK;
  snprintf (err, SETTINGS_ERROR_LEN, "%s", why);
  return GL_INVALID;
}

gl_code_t
cellset_load (cellset_t *s, const char *path, char *err)
{
  inifile_t f = { fields, sizeof fields / sizeof *fields, s, NULL, err };
  gl_code_t rc;

  memset (s, 0, sizeof *s);
  rc = inifile_load (&f, path);
  if (!s->memory_mb)
    s->memory_mb = system_memory_mb ();
  return rc ? rc : check_required (s, err);
}

void
cellset_limits (const cellset_t *s, cell_limits_t *limits)
{
  memset (limits, 0, sizeof *limits);
  limits->worker_lease_max_ms = (uint32_t)s->worker_lease_max_ms;
  limits->stop_max_ms = (uint32_t)s->stop_max_ms;
  /* Kept for 30 s longer, since callers may ask until the last moment. */
  limits->retention_ms = (uint32_t)s->retention_s * 1000 + 30000;
  limits->writes_per_s = (uint32_t)s->writes_per_s;
  limits->interference = s->interference;
  limits->cpu_m = (uint32_t)(s->cpu_share * 1000);
  limits->link_kbps = (uint32_t)(s->link_mbps * 1000);
}
