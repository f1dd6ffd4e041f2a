/* team.h -- teams of the configuration, their keys, caps and weights */
#ifndef GL_TEAM_H
#define GL_TEAM_H

#include <stddef.h>
#include <stdint.h>

#include "gentianlatch.h"

/** TEAM_NAME_SIZE - bytes of the longest name of a team or key, with its
    terminating NUL */
#define TEAM_NAME_SIZE 128

/**
 * struct team_t - a team
 * @priority: of two teams that wait, the one with the lower value goes first
 * @weight: its share when all is full, and the jobs a second within its rate;
 *   above 0
 * @cap: most resources that its tasks may have together; 0 for no limit
 * @removed: it has left the configuration
 */
typedef struct
{
  char name[TEAM_NAME_SIZE];
  int priority;
  double weight;
  gl_res_t cap;
  int removed;
} team_t;

/**
 * struct team_key_t - a key with which callers name their team
 * @key: padded with zeros, so that comparisons always cover the whole array
 * @team: index of its team; of two teams with the same key, the first
 * @other_team: index of a later team that has the same key, -1 for none
 */
typedef struct
{
  char key[TEAM_NAME_SIZE];
  int team;
  int other_team;
} team_key_t;

/** struct team_slot_t - entry of the table of keys: the keyed hash of a key
    and its index plus 1, 0 for an empty entry */
typedef struct
{
  uint64_t hash;
  uint32_t key;
} team_slot_t;

/**
 * struct teams_t - the teams of a configuration
 * @configured: the configuration has teams, so that callers need a key
 * @slots, @nslots: table of the keys by their hashes, made by teams_index_keys
 * @seed: of the hashes
 */
typedef struct
{
  int configured;
  team_t *v;
  int n;
  team_key_t *keys;
  int nkeys;
  int capkeys;
  team_slot_t *slots;
  size_t nslots;
  uint64_t seed;
} teams_t;

/** teams_destroy - free the tables */
void teams_destroy (teams_t *t);
/** teams_add - add a team of weight 1 without a cap, unless there is one with
    this name; returns its index, or -1 without memory */
int teams_add (teams_t *t, const char *name);
/** teams_add_key - add a key of the team with index @team; -1 without memory,
    or if the key is too long */
int teams_add_key (teams_t *t, const char *key, int team);
/**
 * teams_index_keys - make the table in which teams_find_key looks keys up
 * @seed: a random number that callers cannot know
 *
 * Of keys that occur twice, the later ones are dropped; a key of another team
 * is noted in team_key_t.other_team.  Returns -1 without memory.
 */
int teams_index_keys (teams_t *t, uint64_t seed);
/** teams_find - index of the team with this name, or -1 */
int teams_find (const teams_t *t, const char *name);
/** teams_find_key - index of the team that has the key, or -1.  The time that
    it takes does not depend on how much of a key matches. */
int teams_find_key (const teams_t *t, const char *key);
/**
 * teams_merge - take over the teams and the keys of a newer configuration
 * @from: the newer teams; emptied
 *
 * Teams keep their indices, and those that @from lacks are marked as removed.
 * Returns -1 without memory, and then changes nothing.
 */
int teams_merge (teams_t *t, teams_t *from);

#endif
