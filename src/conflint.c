/*
 * conflint.c -- checks a configuration before it comes into force
 *
 * A configuration that can be read may still hold entries without effect.  The
 * checks follow what the cell does: of queues with the same host and prefix
 * the first takes all requests, tickets are not used in the last part of their
 * validity, and a team may not start a task that is larger than its cap.
 */
#include "conflint.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Queues have priorities from 0 to one less than this; others go last. */
#define PRIORITIES 8
/* Validity of a ticket that is too short for a start, in ms: the part in which
   it is not used, and the time of a call. */
#define TICKET_MIN_MS 100

/** struct lint_t - where findings go, and the entry that is checked */
typedef struct
{
  lint_fn_t fn;
  void *ctx;
  char place[CELL_NAME_SIZE + 16];
} lint_t;

static void report (lint_t *l, lint_level_t level, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
report (lint_t *l, lint_level_t level, const char *fmt, ...)
{
  char text[512];
  va_list args;

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  l->fn (l->ctx, level, l->place, text);
}

static void
set_place (lint_t *l, const char *kind, const char *name)
{
  snprintf (l->place, sizeof l->place, "%s %s", kind, name);
}

/* ---- queues ---- */

static const cell_queue_t *
find_queue (const cell_conf_t *conf, const char *name)
{
  for (int i = 0; i < conf->nqueues; i++)
    if (!strcmp (conf->queues[i].name, name))
      return &conf->queues[i];
  return NULL;
}

/* An earlier queue that takes all requests of queue @i, or NULL. */
static const cell_queue_t *
find_hiding (const cell_conf_t *conf, int i)
{
  const cell_queue_t *q = &conf->queues[i];

  for (int k = 0; k < i; k++)
    if (!strcmp (conf->queues[k].host, q->host)
        && !strcmp (conf->queues[k].prefix, q->prefix))
      return &conf->queues[k];
  return NULL;
}

static int
is_listed (const char *name, const char *const *names, int n)
{
  for (int i = 0; i < n; i++)
    if (!strcmp (names[i], name))
      return 1;
  return 0;
}

static void
check_advice (lint_t *l, const cell_queue_t *q)
{
  if (!q->advised)
    return;
  if (q->ticket_valid_ms < TICKET_MIN_MS)
    report (l, LINT_ERROR,
            "tickets are valid for %u ms, too short for a start",
            q->ticket_valid_ms);
  if (q->due_factor > 0 && q->due_offset_ms < q->consult_base_ms)
    report (l, LINT_WARNING,
            "the latency target of %g ms is shorter than the advisor's "
            "decision of %g ms",
            q->due_offset_ms, q->consult_base_ms);
}

static void
check_queue (lint_t *l, const cell_conf_t *conf, int i,
             const char *const *services, int nservices)
{
  const cell_queue_t *q = &conf->queues[i];
  const cell_queue_t *hiding = find_hiding (conf, i);

  set_place (l, "queue", q->name);
  if (find_queue (conf, q->name) != q)
    report (l, LINT_ERROR, "another queue has this name");
  if (hiding)
    report (l, LINT_ERROR,
            "never matches: queue %s has the same host and prefix",
            hiding->name);
  if (q->prefix[0] != '/')
    report (l, LINT_ERROR, "never matches: the prefix does not begin with /");
  if (!q->host[0])
    report (l, LINT_ERROR, "never matches: the host is empty");
  if (!is_listed (q->service, services, nservices))
    report (l, LINT_ERROR, "service %s is not listed, so no worker serves it",
            q->service);
  if (q->priority < 0 || q->priority >= PRIORITIES)
    report (l, LINT_WARNING, "priority %d is outside 0 to %d and goes last",
            q->priority, PRIORITIES - 1);
  if (q->allow_anonymous && !conf->teams.configured)
    report (l, LINT_WARNING,
            "anonymous callers are allowed, but no caller needs a key");
  check_advice (l, q);
}

/* ---- teams ---- */

static int
count_keys (const teams_t *t, int team)
{
  int n = 0;

  for (int i = 0; i < t->nkeys; i++)
    n += t->keys[i].team == team;
  return n;
}

static void
check_team (lint_t *l, const teams_t *t, int i, const gl_res_t *task)
{
  const team_t *v = &t->v[i];

  set_place (l, "team", v->name);
  if (!count_keys (t, i))
    report (l, LINT_WARNING, "has no key of its own, so it has no callers");
  for (int k = 0; k < t->nkeys; k++)
    if (t->keys[k].other_team == i)
      report (l, LINT_ERROR, "has a key that belongs to team %s",
              t->v[t->keys[k].team].name);
  if ((v->cap.cpus_m && v->cap.cpus_m < task->cpus_m)
      || (v->cap.memory_mb && v->cap.memory_mb < task->memory_mb)
      || (v->cap.accels && v->cap.accels < task->accels))
    report (l, LINT_ERROR, "its cap is below one task of usual size");
}

static void
check_teams (lint_t *l, const cell_conf_t *conf, const gl_res_t *task)
{
  int anonymous = 0;

  for (int i = 0; i < conf->nqueues; i++)
    anonymous |= conf->queues[i].allow_anonymous;
  set_place (l, "teams", "");
  l->place[strlen ("teams")] = 0;
  if (conf->teams.configured && !conf->teams.nkeys && !anonymous)
    report (l, LINT_ERROR, "no team has a key, so every caller is refused");
  for (int i = 0; i < conf->teams.n; i++)
    check_team (l, &conf->teams, i, task);
}

void
conflint_check (const cell_conf_t *conf, const char *const *services,
                int nservices, const gl_res_t *task, lint_fn_t fn, void *ctx)
{
  lint_t l = { .fn = fn, .ctx = ctx };

  for (int i = 0; i < conf->nqueues; i++)
    check_queue (&l, conf, i, services, nservices);
  check_teams (&l, conf, task);
}

/* ---- differences ---- */

static void
compare_text (lint_t *l, const char *what, const char *a, const char *b)
{
  if (strcmp (a, b))
    report (l, LINT_DIFFERENCE, "%s %s, was %s", what, b, a);
}

static void
compare_number (lint_t *l, const char *what, double a, double b)
{
  if (a < b || a > b)
    report (l, LINT_DIFFERENCE, "%s %.10g, was %.10g", what, b, a);
}

static void
compare_queue (lint_t *l, const cell_queue_t *a, const cell_queue_t *b)
{
  compare_text (l, "host", a->host, b->host);
  compare_text (l, "prefix", a->prefix, b->prefix);
  compare_text (l, "service", a->service, b->service);
  compare_number (l, "priority", a->priority, b->priority);
  compare_number (l, "attempts", a->max_attempts, b->max_attempts);
  compare_number (l, "due factor", a->due_factor, b->due_factor);
  compare_number (l, "latency target", a->due_offset_ms, b->due_offset_ms);
  compare_number (l, "advised", a->advised, b->advised);
  compare_number (l, "advisor's decision", a->consult_base_ms,
                  b->consult_base_ms);
  compare_number (l, "advisor's time for a worker", a->consult_per_worker_ms,
                  b->consult_per_worker_ms);
  compare_number (l, "ticket validity", a->ticket_valid_ms,
                  b->ticket_valid_ms);
  compare_number (l, "anonymous callers", a->allow_anonymous,
                  b->allow_anonymous);
}

/* How many keys of team @i of @t team @other of @in has not. */
static int
count_missing_keys (const teams_t *t, int i, const teams_t *in, int other)
{
  int n = 0;

  for (int k = 0; k < t->nkeys; k++)
    n += t->keys[k].team == i
         && (other < 0 || teams_find_key (in, t->keys[k].key) != other);
  return n;
}

static void
compare_team (lint_t *l, const teams_t *a, int i, const teams_t *b, int k)
{
  int added = count_missing_keys (b, k, a, i);
  int gone = count_missing_keys (a, i, b, k);

  compare_number (l, "priority", a->v[i].priority, b->v[k].priority);
  compare_number (l, "weight", a->v[i].weight, b->v[k].weight);
  compare_number (l, "cap in thousandths of a processor", a->v[i].cap.cpus_m,
                  b->v[k].cap.cpus_m);
  compare_number (l, "cap in MB of memory", a->v[i].cap.memory_mb,
                  b->v[k].cap.memory_mb);
  compare_number (l, "cap in accelerators", a->v[i].cap.accels,
                  b->v[k].cap.accels);
  if (added || gone)
    report (l, LINT_DIFFERENCE, "%d keys added, %d removed", added, gone);
}

static void
compare_teams (lint_t *l, const teams_t *a, const teams_t *b)
{
  if (a->configured != b->configured)
    {
      snprintf (l->place, sizeof l->place, "teams");
      report (l, LINT_DIFFERENCE, "callers %s a key",
              b->configured ? "now need" : "no longer need");
    }
  for (int i = 0; i < b->n; i++)
    {
      int was = teams_find (a, b->v[i].name);

      set_place (l, "team", b->v[i].name);
      if (was < 0)
        report (l, LINT_DIFFERENCE, "added");
      else
        compare_team (l, a, was, b, i);
    }
  for (int i = 0; i < a->n; i++)
    if (teams_find (b, a->v[i].name) < 0)
      {
        set_place (l, "team", a->v[i].name);
        report (l, LINT_DIFFERENCE, "removed");
      }
}

void
conflint_compare (const cell_conf_t *in_force, const cell_conf_t *conf,
                  lint_fn_t fn, void *ctx)
{
  lint_t l = { .fn = fn, .ctx = ctx };

  snprintf (l.place, sizeof l.place, "version");
  if (conf->version <= in_force->version)
    report (&l, LINT_ERROR,
            "%llu is not above %llu, which is in force, so it is ignored",
            (unsigned long long)conf->version,
            (unsigned long long)in_force->version);
  for (int i = 0; i < conf->nqueues; i++)
    {
      const cell_queue_t *q = &conf->queues[i];
      const cell_queue_t *was = find_queue (in_force, q->name);

      set_place (&l, "queue", q->name);
      if (was)
        compare_queue (&l, was, q);
      else
        report (&l, LINT_DIFFERENCE, "added");
    }
  for (int i = 0; i < in_force->nqueues; i++)
    if (!find_queue (conf, in_force->queues[i].name))
      {
        set_place (&l, "queue", in_force->queues[i].name);
        report (&l, LINT_DIFFERENCE, "removed");
      }
  compare_teams (&l, &in_force->teams, &conf->teams);
}
