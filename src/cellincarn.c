/*
 * cellincarn.c -- incarnations of workers, told apart
 *
 * A worker that restarts may keep its id.  It knows nothing of before then:
 * its clock, the numbers of its ends and what it refuses begin anew.  So an
 * incarnation is an id together with a start, and each one has an entry of its
 * own in the table of workers: nothing that is known of one is ever used for
 * another.  The entries of one id form a ring; one of them is the current one.
 *
 * Which one that is follows from two sources.  A registration may be older
 * than what is known, as its watch may lag: only a later start makes another
 * incarnation the current one.  An answer is newer than what was known when
 * its call was sent, so it decides whichever start is the later, since a
 * worker's wall clock may step back.
 *
 * A start of 0 is not known.  Who says none is taken for the incarnation that
 * it was expected to be, and an entry without a start takes the first one that
 * it hears, unless it has answered without one.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

/* ---- entries ---- */

static int
index_of (const cell_t *c, const cworker_t *w)
{
  return (int)(w - c->workers);
}

cworker_t *
incarnation_next (cell_t *c, const cworker_t *w)
{
  return &c->workers[w->next_incarnation];
}

cworker_t *
incarnation_current (cell_t *c, const char *id)
{
  uintptr_t i = names_get (&c->worker_names, id);

  return i ? &c->workers[i - 1] : NULL;
}

/* The highest epoch among the entries of the same id as @w, @w apart; -1 if
   there are no others. */
static int64_t
highest_epoch (cell_t *c, const cworker_t *w)
{
  int64_t highest = -1;

  for (const cworker_t *o = incarnation_next (c, w); o != w;
       o = incarnation_next (c, o))
    if ((int64_t)o->epoch > highest)
      highest = (int64_t)o->epoch;
  return highest;
}

uint64_t
incarnation_token (const cell_t *c, const cworker_t *w)
{
  uint64_t first = c->generation - (CELL_TOKENS - 1);

  return FAULT (FAULT_CELL_TOKENS_SHARED) ? first : first + w->epoch;
}

int
incarnation_outdated (cell_t *c, const cworker_t *w, const cell_wcall_t *k)
{
  return k->fencing_token < incarnation_token (c, w)
         || highest_epoch (c, w) > (int64_t)w->epoch;
}

void
incarnation_raise_token (cell_t *c, cworker_t *w)
{
  int64_t highest = highest_epoch (c, w);

  if ((int64_t)w->epoch > highest)
    return;
  w->epoch = (uint64_t)highest + 1;
  w->heard = 0;
  w->poll_tag = 0;
  w->poll_at = c->now;
}

/* The entry of this start among those of the same id as @w, or NULL. */
static cworker_t *
find_start (cell_t *c, cworker_t *w, uint64_t started_at)
{
  cworker_t *o = w;

  do
    {
      if (o->info.self.started_at == started_at)
        return o;
      o = incarnation_next (c, o);
    }
  while (o != w);
  return NULL;
}

/* Make @w the current entry of its id; -1 without memory. */
static int
set_current (cell_t *c, cworker_t *w)
{
  /* The name table points to the id inside the entry. */
  names_del (&c->worker_names, w->info.self.id);
  return names_put (&c->worker_names, w->info.self.id,
                    (uintptr_t)index_of (c, w) + 1);
}

/* Make room for another entry; -1 without memory. */
static int
reserve_entry (cell_t *c)
{
  int cap = c->capworkers ? 2 * c->capworkers : 64;
  cworker_t *old = c->workers;
  cworker_t *v;

  if (c->nworkers < c->capworkers)
    return 0;
  v = calloc ((size_t)cap, sizeof *v);
  if (!v)
    return -1;
  if (c->nworkers)
    memcpy (v, old, (size_t)c->nworkers * sizeof *v);
  c->workers = v;
  c->capworkers = cap;
  /* The name table points to the ids inside the entries, which have moved. */
  for (int i = 0; i < c->nworkers; i++)
    if (names_get (&c->worker_names, old[i].info.self.id) == (uintptr_t)i + 1)
      set_current (c, &v[i]);
  free (old);
  return 0;
}

/* The index of the worker's rack in c->racks; without memory for it, racks
   that are not in it count as number 0. */
static int
rack_number (cell_t *c, const cell_worker_t *info)
{
  const char *rack = info->nlabels > 1 ? info->labels[1] : "";

  for (int i = 0; i < c->nracks; i++)
    if (!strcmp (c->racks[i], rack))
      return i;
  if (array_reserve (&c->racks, &c->capracks, c->nracks, sizeof *c->racks))
    return 0;
  cell_strcpy (c->racks[c->nracks], rack);
  return c->nracks++;
}

cworker_t *
incarnation_add (cell_t *c, const cell_worker_t *info)
{
  cworker_t *current;
  cworker_t *w;

  if (reserve_entry (c))
    return NULL;
  current = incarnation_current (c, info->self.id);
  w = &c->workers[c->nworkers];
  memset (w, 0, sizeof *w);
  w->info = *info;
  w->rack = rack_number (c, info);
  w->added_at = c->now;
  w->next_incarnation = current ? current->next_incarnation : c->nworkers;
  if (!current && set_current (c, w))
    return NULL;
  if (current)
    current->next_incarnation = c->nworkers;
  c->nworkers++;
  w->epoch = (uint64_t)(highest_epoch (c, w) + 1);
  return w;
}

/* ---- sources ---- */

/* Whether the entry, without a start, may be that of any incarnation. */
static int
takes_start (const cworker_t *w)
{
  return !w->info.self.started_at && !w->clock;
}

cworker_t *
incarnation_recorded (cell_t *c, const cell_worker_t *info)
{
  cworker_t *w = incarnation_current (c, info->self.id);
  cworker_t *found = w ? find_start (c, w, info->self.started_at) : NULL;

  if (!w || (!found && info->self.started_at && !takes_start (w)))
    {
      found = incarnation_add (c, info);
      if (found && w && found->info.self.started_at > w->info.self.started_at)
        set_current (c, found);
      return found;
    }
  if (found || !info->self.started_at)
    return found ? found : w;
  w->info.self.started_at = info->self.started_at;
  return w;
}

cworker_t *
incarnation_registered (cell_t *c, const cell_worker_t *info)
{
  cworker_t *w = incarnation_current (c, info->self.id);
  cworker_t *added;

  if (!w || !info->self.started_at
      || info->self.started_at == w->info.self.started_at)
    return w ? w : incarnation_add (c, info);
  if (takes_start (w))
    {
      w->info.self.started_at = info->self.started_at;
      return w;
    }
  if (info->self.started_at < w->info.self.started_at
      || find_start (c, w, info->self.started_at))
    return NULL;
  added = incarnation_add (c, info);
  if (added)
    set_current (c, added);
  return added;
}

int
incarnation_is_later (const cworker_t *w, const cworker_t *by, gl_ms_t sent_at)
{
  return w->added_at >= sent_at
         && w->info.self.started_at > by->info.self.started_at;
}

cworker_t *
incarnation_answered (cell_t *c, cworker_t *w, uint64_t started_at,
                      gl_ms_t sent_at)
{
  int asked = index_of (c, w);
  cell_worker_t info = w->info;
  cworker_t *found;

  if (!started_at || started_at == w->info.self.started_at)
    return w;
  found = find_start (c, w, started_at);
  if (!found && takes_start (w))
    {
      w->info.self.started_at = started_at;
      return w;
    }
  if (!found)
    {
      info.self.started_at = started_at;
      info.leaving = 0;
      info.leaves_in_ms = 0;
      found = incarnation_add (c, &info);
      if (!found)
        return NULL;
      /* The registration in the store is that of the former one, so is the
         room in @info: it is not used before it has registered. */
      found->unregistered_at = 0;
      cworker_unregister (c, &c->workers[asked]);
      found->capacity_at = c->workers[asked].capacity_at;
      c->workers[asked].unregistered_at = c->now;
    }
  if (found->replaced)
    return NULL;
  w = incarnation_current (c, info.self.id);
  if (!incarnation_is_later (w, found, sent_at))
    set_current (c, found);
  return found;
}
