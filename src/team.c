/*
 * team.c -- teams of the configuration, their keys, caps and weights
 *
 * Jobs refer to teams by index, so a team keeps its index for the life of the
 * process, also after it has left the configuration.
 */
#include "team.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
teams_destroy (teams_t *t)
{
  free (t->v);
  free (t->keys);
  memset (t, 0, sizeof *t);
}

int
teams_find (const teams_t *t, const char *name)
{
  for (int i = 0; i < t->n; i++)
    if (!strcmp (t->v[i].name, name))
      return i;
  return -1;
}

int
teams_add (teams_t *t, const char *name)
{
  int i = teams_find (t, name);
  team_t *v;

  if (i >= 0)
    return i;
  v = realloc (t->v, (size_t)(t->n + 1) * sizeof *v);
  if (!v)
    return -1;
  t->v = v;
  memset (&v[t->n], 0, sizeof *v);
  snprintf (v[t->n].name, sizeof v->name, "%s", name);
  v[t->n].weight = 1;
  return t->n++;
}

int
teams_add_key (teams_t *t, const char *key, int team)
{
  team_key_t *v;

  if (strlen (key) >= sizeof v->key)
    return -1;
  v = realloc (t->keys, (size_t)(t->nkeys + 1) * sizeof *v);
  if (!v)
    return -1;
  t->keys = v;
  snprintf (v[t->nkeys].key, sizeof v->key, "%s", key);
  v[t->nkeys++].team = team;
  return 0;
}

int
teams_find_key (const teams_t *t, const char *key)
{
  for (int i = 0; i < t->nkeys; i++)
    if (!strcmp (t->keys[i].key, key))
      return t->keys[i].team;
  return -1;
}

int
teams_merge (teams_t *t, teams_t *from)
{
  int rc = 0;

  for (int i = 0; i < t->n; i++)
    t->v[i].removed = 1;
  t->configured = from->configured;
  t->nkeys = 0;
  for (int i = 0; i < from->n; i++)
    {
      int at = teams_add (t, from->v[i].name);

      if (at < 0)
        {
          rc = -1;
          continue;
        }
      t->v[at] = from->v[i];
      for (int k = 0; k < from->nkeys; k++)
        if (from->keys[k].team == i
            && teams_add_key (t, from->keys[k].key, at))
          rc = -1;
    }
  teams_destroy (from);
  return rc;
}
