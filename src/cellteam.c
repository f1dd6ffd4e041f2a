/*
 * cellteam.c -- which team a job belongs to
 *
 * A job's team is named in the caller's request, and in the store behind the
 * job's specification and behind its result.  An owner may hear of a team that
 * is not in its configuration: it has left it, or this VM does not have the
 * newest one yet.  Such a team is kept as a removed one.
 */
#include "cellint.h"

#include <string.h>

#include "codec.h"

int
cjob_team (cell_t *c, const char *name)
{
  int known = teams_find (&c->conf.teams, name);
  int i = name[0] ? teams_add (&c->conf.teams, name) : -1;

  if (i >= 0 && known < 0)
    c->conf.teams.v[i].removed = 1;
  return i;
}

int
cjob_team_at (cell_t *c, const cell_item_t *item, size_t used)
{
  gl_team_t team;
  int i;

  memset (&team, 0, sizeof team);
  if (item->len <= used)
    return -1;
  if (codec_decode ((xdrproc_t)xdr_gl_team_t, &team, item->value + used,
                    item->len - used))
    {
      cell_log (c, "team_unreadable key=%s", item->key);
      return -1;
    }
  i = cjob_team (c, team.name);
  codec_free ((xdrproc_t)xdr_gl_team_t, &team);
  return i;
}

int
cjob_result_team (cell_t *c, const cell_item_t *item)
{
  gl_job_result_t none = { 0 };

  /* All results have the same length before the team. */
  return cjob_team_at (c, item,
                       xdr_sizeof ((xdrproc_t)xdr_gl_job_result_t, &none));
}
