/*
 * team.c -- teams of the configuration, their keys, caps and weights
 *
 * Jobs refer to teams by index, so a team keeps its index for the life of the
 * process, also after it has left the configuration.
 *
 * Keys are looked up in a hash table with linear probing.  The hash is keyed
 * with a random seed and equal hashes are confirmed by a comparison that
 * always covers the whole key, so that the time of an answer tells a caller
 * nothing about the keys in the table.
 */
#include "team.h"

#include <nettle/memops.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void
teams_destroy (teams_t *t)
{
  free (t->v);
  free (t->keys);
  free (t->slots);
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
  if (strlen (key) >= sizeof t->keys->key)
    return -1;
  if (t->nkeys == t->capkeys)
    {
      int cap = t->capkeys ? 2 * t->capkeys : 64;
      team_key_t *v = realloc (t->keys, (size_t)cap * sizeof *v);

      if (!v)
        return -1;
      t->keys = v;
      t->capkeys = cap;
    }
  memset (&t->keys[t->nkeys], 0, sizeof *t->keys);
  memcpy (t->keys[t->nkeys].key, key, strlen (key));
  t->keys[t->nkeys].other_team = -1;
  t->keys[t->nkeys++].team = team;
  return 0;
}

static uint64_t
hash_key (const teams_t *t, const char key[TEAM_NAME_SIZE])
{
  return XXH3_64bits_withSeed (key, TEAM_NAME_SIZE, t->seed);
}

/* The entry of the key, or the empty one where it belongs. */
static team_slot_t *
find_slot (const teams_t *t, const char key[TEAM_NAME_SIZE])
{
  uint64_t hash = hash_key (t, key);
  size_t i = hash & (t->nslots - 1);

  for (; t->slots[i].key; i = (i + 1) & (t->nslots - 1))
    if (t->slots[i].hash == hash
        && memeql_sec (t->keys[t->slots[i].key - 1].key, key, TEAM_NAME_SIZE))
      break;
  return &t->slots[i];
}

int
teams_index_keys (teams_t *t, uint64_t seed)
{
  int n = t->nkeys;

  free (t->slots);
  t->seed = seed;
  /* At most half full, so that few entries are probed. */
  for (t->nslots = 8; t->nslots < 2 * (size_t)n;)
    t->nslots *= 2;
  t->slots = calloc (t->nslots, sizeof *t->slots);
  if (!t->slots)
    {
      t->nslots = 0;
      return -1;
    }
  t->nkeys = 0;
  for (int i = 0; i < n; i++)
    {
      team_slot_t *s = find_slot (t, t->keys[i].key);

      if (s->key)
        {
          team_key_t *first = &t->keys[s->key - 1];

          if (first->team != t->keys[i].team)
            first->other_team = t->keys[i].team;
          continue;
        }
      t->keys[t->nkeys++] = t->keys[i];
      s->hash = hash_key (t, t->keys[i].key);
      s->key = (uint32_t)t->nkeys;
    }
  return 0;
}

int
teams_find_key (const teams_t *t, const char *key)
{
  char padded[TEAM_NAME_SIZE] = { 0 };
  const team_slot_t *s;

  if (!t->nslots || strlen (key) >= sizeof padded)
    return -1;
  memcpy (padded, key, strlen (key));
  s = find_slot (t, padded);
  return s->key ? t->keys[s->key - 1].team : -1;
}

int
teams_merge (teams_t *t, teams_t *from)
{
  team_t *v = realloc (t->v, (size_t)(t->n + from->n + 1) * sizeof *v);
  int *at = calloc ((size_t)from->n + 1, sizeof *at);

  if (v)
    t->v = v;
  if (!v || !at)
    {
      free (at);
      return -1;
    }
  for (int i = 0; i < t->n; i++)
    v[i].removed = 1;
  for (int i = 0; i < from->n; i++)
    {
      at[i] = teams_find (t, from->v[i].name);
      if (at[i] < 0)
        at[i] = t->n++;
      v[at[i]] = from->v[i];
    }
  free (t->keys);
  free (t->slots);
  t->keys = from->keys;
  t->nkeys = from->nkeys;
  t->capkeys = from->capkeys;
  t->slots = from->slots;
  t->nslots = from->nslots;
  t->seed = from->seed;
  t->configured = from->configured;
  for (int i = 0; i < t->nkeys; i++)
    {
      t->keys[i].team = at[t->keys[i].team];
      if (t->keys[i].other_team >= 0)
        t->keys[i].other_team = at[t->keys[i].other_team];
    }
  from->keys = NULL;
  from->slots = NULL;
  free (at);
  teams_destroy (from);
  return 0;
}
