/*
 * cellqueue.c -- the queues that jobs belong to
 *
 * Jobs refer to queues by index, so a queue keeps its index.  One that is no
 * longer in the configuration stays, as a removed one: it takes no new jobs,
 * and its jobs are carried to their end.
 *
 * An owner whose process is younger than the removal has not seen the queue in
 * any configuration.  It learns of it from the specifications of its jobs,
 * which keep what the configuration said at their acceptance.  The
 * configuration in force goes first; of several specifications, the one with
 * the highest version does.
 */
#include "cellint.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"

static cell_queue_t *
queue_named (const cell_t *c, const char *name)
{
  for (int i = 0; i < c->conf.nqueues; i++)
    if (!strcmp (c->conf.queues[i].name, name))
      return &c->conf.queues[i];
  return NULL;
}

/* Looks up the queue of jobs that were loaded before their queue was known. */
static void
resolve_queues (cell_t *c)
{
  size_t pos = 0;
  handle_t h;

  while ((h = pool_next (&c->jobs, &pos)))
    {
      cjob_t *j = pool_get (&c->jobs, h);
      const cell_queue_t *q
          = j->queue < 0 ? queue_named (c, j->spec.queue) : NULL;

      if (q)
        j->queue = (int)(q - c->conf.queues);
    }
}

/* Returns -1 without memory. */
static int
queue_add (cell_t *c, const cell_queue_t *q)
{
  cell_queue_t *v
      = realloc (c->conf.queues, (size_t)(c->conf.nqueues + 1) * sizeof *v);

  if (!v)
    return -1;
  c->conf.queues = v;
  v[c->conf.nqueues++] = *q;
  return 0;
}

int
queues_merge (cell_t *c, const cell_conf_t *conf)
{
  int added = 0;

  for (int i = 0; i < c->conf.nqueues; i++)
    c->conf.queues[i].removed = 1;
  for (int i = 0; i < conf->nqueues; i++)
    {
      cell_queue_t *q = queue_named (c, conf->queues[i].name);

      conf->queues[i].conf_version = conf->version;
      if (q)
        *q = conf->queues[i];
      else if (queue_add (c, &conf->queues[i]))
        break;
      else
        added++;
    }
  resolve_queues (c);
  return added;
}

/* ---- in the store ---- */

int
queue_append (const cell_t *c, const cjob_t *j, cell_put_t *p)
{
  const cell_queue_t *q = plan_queue (c, j);
  gl_team_t team = { j->team >= 0 ? c->conf.teams.v[j->team].name : "" };
  gl_job_queue_t kept;

  if (codec_append ((xdrproc_t)xdr_gl_team_t, &team, &p->value, &p->len))
    return -1;
  if (!q)
    return 0;
  kept = (gl_job_queue_t){
    q->conf_version,   (char *)q->service, q->priority,
    q->max_attempts,   q->due_factor,      q->due_offset_ms,
    q->advised,        q->consult_base_ms, q->consult_per_worker_ms,
    q->ticket_valid_ms
  };
  return codec_append ((xdrproc_t)xdr_gl_job_queue_t, &kept, &p->value,
                       &p->len);
}

static void
learn_queue (cell_t *c, const char *name, const gl_job_queue_t *kept)
{
  cell_queue_t *known = queue_named (c, name);
  cell_queue_t q = { .priority = kept->priority,
                     .max_attempts = kept->max_attempts,
                     .due_factor = kept->due_factor,
                     .due_offset_ms = kept->due_offset_ms,
                     .advised = kept->advised,
                     .consult_base_ms = kept->consult_base_ms,
                     .consult_per_worker_ms = kept->consult_per_worker_ms,
                     .ticket_valid_ms = kept->ticket_valid_ms,
                     .conf_version = kept->conf_version,
                     .removed = 1 };

  if (known && (!known->removed || known->conf_version >= kept->conf_version))
    return;
  cell_strcpy (q.name, name);
  cell_strcpy (q.service, kept->service);
  if (known)
    *known = q;
  else if (queue_add (c, &q))
    return;
  resolve_queues (c);
  cell_log (c, "queue_restored name=%s service=%s version=%llu", q.name,
            q.service, (unsigned long long)q.conf_version);
}

void
queue_restore (cell_t *c, cjob_t *j, const cell_item_t *item, size_t used)
{
  gl_team_t team;
  gl_job_queue_t kept;

  memset (&team, 0, sizeof team);
  memset (&kept, 0, sizeof kept);
  /* Owners of older versions wrote no queue, and the team only if there is
     one. */
  if (item->len <= used
      || codec_decode ((xdrproc_t)xdr_gl_team_t, &team, item->value + used,
                       item->len - used))
    return;
  used += xdr_sizeof ((xdrproc_t)xdr_gl_team_t, &team);
  codec_free ((xdrproc_t)xdr_gl_team_t, &team);
  if (item->len <= used)
    return;
  if (codec_decode ((xdrproc_t)xdr_gl_job_queue_t, &kept, item->value + used,
                    item->len - used))
    {
      cell_log (c, "queue_unreadable id=%s", j->id);
      return;
    }
  learn_queue (c, j->spec.queue, &kept);
  codec_free ((xdrproc_t)xdr_gl_job_queue_t, &kept);
}
