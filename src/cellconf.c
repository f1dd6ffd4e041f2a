/*
 * cellconf.c -- the configuration in force on this VM, and callers' keys
 *
 * The VM that takes a caller's request finds the team of its key.  The owner
 * gets the team's name only, so that keys do not leave the VM, and so that an
 * owner with an older configuration serves a team that it does not know yet.
 */
#include "cellint.h"

int
cell_configured (const cell_t *c)
{
  return c->conf.version != 0;
}

uint64_t
cell_conf_version (const cell_t *c)
{
  return c->conf.version;
}

int
cell_has_teams (const cell_t *c)
{
  return c->conf.teams.configured;
}

cell_auth_t
cell_authenticate (cell_t *c, const cell_queue_t *q, const char *key,
                   const char **team)
{
  int at = -1;

  *team = "";
  if (!c->conf.teams.configured)
    return CELL_AUTH_OK;
  if (key)
    at = teams_find_key (&c->conf.teams, key);
  if (at >= 0)
    *team = c->conf.teams.v[at].name;
  if (at >= 0 || q->allow_anonymous)
    return CELL_AUTH_OK;
  if (key)
    c->counters.key_unknown++;
  else
    c->counters.key_missing++;
  return key ? CELL_AUTH_UNKNOWN : CELL_AUTH_MISSING;
}
