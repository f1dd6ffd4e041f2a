/*
 * cellplan.c -- which waiting task goes where, and what to ask the advisor
 *
 * Waiting steps are served by priority, then by age.  A step of an advised
 * queue may only use workers for which it holds a ticket.  The advisor
 * serves one consultation at a time for each VM, so its lines are the scarce
 * resource: a consultation names only workers that have room now, as many as
 * the learned share of approvals makes necessary, and goes to the VM whose
 * line is free soonest.  Long consultations leave one line to urgent ones.
 *
 * Tasks go to the fullest worker that fits, so that wide tasks find room.
 * Room for urgent work is kept on every worker.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Least time between two passes. */
#define PLAN_GAP_MS 3
#define TICK_MS 100
/* A ticket is not used in its last moments. */
#define TICKET_MARGIN_MS 60
/* Share of a worker's processors that only the first priority may use. */
#define URGENT_SHARE 0.1
/* Share of approvals assumed of a queue before any answer. */
#define SHARE_FIRST 0.5
/* Weight of one answer in the learned share. */
#define SHARE_WEIGHT 0.1
/* More approvals are sought than are needed by this factor. */
#define SURPLUS 1.3
/* Workers named at least, when so many have room. */
#define NAMED_MIN 6
#define NAMED_MAX 100
/* A consultation of this length is a long one. */
#define LONG_MS 300
/* Grace for an answer beyond the advisor's own time. */
#define CONSULT_GRACE_MS 600
/* Pause after a failed consultation, and of the VM that it went through. */
#define CONSULT_AGAIN_MS 40
#define VM_SHY_MS 500
/* Time that a line may be busy ahead of an urgent and another question. */
#define LINE_URGENT_MS 60
#define LINE_OTHER_MS 10
/* Gangs that want one rack, and tasks that want a rack, wait this long for
   it, in parts of their estimate. */
#define RACK_PATIENCE 1.0

void
plan_wake (cell_t *c)
{
  c->plan_due = 1;
}

static const cell_queue_t *
queue_of (const cell_t *c, const cjob_t *j)
{
  return j->queue >= 0 ? &c->conf.queues[j->queue] : NULL;
}

/* ---- room ---- */

static int
has_label (const cworker_t *w, const char *label)
{
  if (!label || !label[0])
    return 1;
  for (int i = 0; i < w->info.nlabels; i++)
    if (!strcmp (w->info.labels[i], label))
      return 1;
  return 0;
}

static int
on_worker (const cell_t *c, const cstep_t *s, int worker)
{
  const cworker_t *w = &c->workers[worker];
  int n = 0;

  for (int i = 0; i < w->ntasks; i++)
    n += w->tasks[i].step == s->self;
  return n;
}

/* How many tasks of the step the worker can take now. */
static int
room_for (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int worker)
{
  const cworker_t *w = &c->workers[worker];
  const gl_res_t *need = &s->def->need;
  gl_res_t free = { w->info.total.cpus_m - w->used.cpus_m,
                    w->info.total.memory_mb - w->used.memory_mb,
                    w->info.total.accels - w->used.accels };
  int n = (int)s->def->count;

  if (!cworker_usable (c, w) || strcmp (w->info.service, q->service)
      || !has_label (w, s->def->label))
    return 0;
  if (q->priority > 0)
    free.cpus_m -= (int)(w->info.total.cpus_m * URGENT_SHARE);
  if (need->cpus_m > 0 && !s->def->filler && free.cpus_m / need->cpus_m < n)
    n = free.cpus_m / need->cpus_m;
  if (need->memory_mb > 0 && free.memory_mb / need->memory_mb < n)
    n = free.memory_mb / need->memory_mb;
  if (need->accels > 0 && free.accels / need->accels < n)
    n = free.accels / need->accels;
  if (s->def->per_worker && n > 0)
    {
      int left = (int)s->def->per_worker - on_worker (c, s, worker);

      n = left < n ? left : n;
    }
  return n > 0 ? n : 0;
}

static int
is_near (const cworker_t *w, const cstep_t *s)
{
  return !s->def->rack || !s->def->rack[0] || has_label (w, s->def->rack);
}

/* Whether it should go on waiting for a worker on its rack. */
static int
is_patient (const cell_t *c, const cstep_t *s)
{
  return (double)(c->now - s->since) < RACK_PATIENCE * s->def->estimate_ms;
}

/* ---- tickets ---- */

static void
drop_stale (const cell_t *c, cstep_t *s)
{
  int n = 0;

  for (int i = 0; i < s->npasses; i++)
    if (s->passes[i].until > c->now && !c->workers[s->passes[i].worker].gone)
      s->passes[n++] = s->passes[i];
  s->npasses = n;
}

static const char *
ticket_for (const cstep_t *s, int worker)
{
  for (int i = 0; i < s->npasses; i++)
    if (s->passes[i].worker == worker)
      return s->passes[i].ticket;
  return NULL;
}

/* ---- placing ---- */

static int
better (const cell_t *c, const cstep_t *s, int a, int b)
{
  const cworker_t *x = &c->workers[a];
  const cworker_t *y = &c->workers[b];
  int near = is_near (x, s) - is_near (y, s);

  if (near)
    return near > 0;
  return x->info.total.cpus_m - x->used.cpus_m
         < y->info.total.cpus_m - y->used.cpus_m;
}

/* The best worker with room for one more task; @rack -1 for any rack. */
static int
choose (const cell_t *c, const cstep_t *s, const cell_queue_t *q, int rack)
{
  int n = q->advised ? s->npasses : c->nworkers;
  int best = -1;

  for (int i = 0; i < n; i++)
    {
      int w = q->advised ? s->passes[i].worker : i;

      if ((rack >= 0 && c->workers[w].rack != rack)
          || (best >= 0 && !better (c, s, w, best)) || !room_for (c, s, q, w))
        continue;
      if (!is_near (&c->workers[w], s) && is_patient (c, s))
        continue;
      best = w;
    }
  return best;
}

static int
may_start (const cell_t *c, const ctask_t *t)
{
  return t->state == CT_WAITING && (!t->inherited || c->census_whole);
}

/* Runs of an earlier owner that nobody has seen have lower numbers. */
static void
next_run (const cell_t *c, ctask_t *t)
{
  if (t->inherited)
    t->run += 100;
  t->run++;
  (void)c;
}

static void
place_singles (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  for (uint32_t i = 0; i < s->def->count && s->nwaiting; i++)
    {
      ctask_t *t = &s->tasks[i];
      int w;

      if (!may_start (c, t))
        continue;
      w = choose (c, s, q, -1);
      if (w < 0)
        return;
      next_run (c, t);
      if (ctask_bind (c, s, i, w))
        return;
      cworker_start (c, s, i, ticket_for (s, w));
    }
}

/* Workers for all tasks of a gang, bound one by one as they are chosen;
   all are given back when one finds none. */
static int
bind_gang (cell_t *c, cstep_t *s, const cell_queue_t *q, int rack)
{
  uint32_t n;

  for (n = 0; n < s->def->count; n++)
    {
      int w = choose (c, s, q, rack);

      if (w < 0 || ctask_bind (c, s, n, w))
        break;
    }
  if (n == s->def->count)
    return 1;
  while (n-- > 0)
    {
      s->nwaiting++;
      ctask_unbind (c, s, n);
    }
  return 0;
}

static void
place_gang (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  uint32_t run = 0;
  char saved[sizeof s->tasks->saved] = "";
  int bound = 0;

  if (s->nwaiting < s->def->count)
    return;
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      if (!may_start (c, &s->tasks[i]))
        return;
      next_run (c, &s->tasks[i]);
      if (s->tasks[i].run > run)
        run = s->tasks[i].run;
      if (s->tasks[i].saved[0])
        cell_set (saved, s->tasks[i].saved);
    }
  for (int r = 0; s->def->one_rack && r < c->nracks && !bound; r++)
    bound = bind_gang (c, s, q, r);
  if (!bound && (!s->def->one_rack || !is_patient (c, s)))
    bound = bind_gang (c, s, q, -1);
  for (uint32_t i = 0; i < s->def->count; i++)
    {
      s->tasks[i].run = bound ? run : s->tasks[i].run - 1;
      if (!bound)
        continue;
      cell_set (s->tasks[i].saved, saved);
      cworker_start (c, s, i, ticket_for (s, s->tasks[i].worker));
    }
}

/* ---- consulting ---- */

static int
verdict (const cstep_t *s, int worker)
{
  return worker < s->nverdicts ? s->verdicts[worker] : 0;
}

typedef struct
{
  int worker;
  int room;
  int approved;
} candidate_t;

static int
candidate_cmp (const void *a, const void *b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;

  if (x->approved != y->approved)
    return y->approved - x->approved;
  return y->room - x->room;
}

/* Workers worth naming: room now, not refused before, no ticket yet. */
static int
candidates (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
            candidate_t *out)
{
  int n = 0;

  for (int i = 0; i < c->nworkers; i++)
    {
      int room;

      if (verdict (s, i) == 2 || ticket_for (s, i))
        continue;
      room = room_for (c, s, q, i);
      if (room && (is_near (&c->workers[i], s) || !is_patient (c, s)))
        out[n++] = (candidate_t){ i, room, verdict (s, i) == 1 };
    }
  qsort (out, (size_t)n, sizeof *out, candidate_cmp);
  return n;
}

static double
share_of (const cell_t *c, const cjob_t *j)
{
  double p = j->queue < CELL_NAME ? c->share[j->queue] : 0;

  return p > 0 ? p : SHARE_FIRST;
}

static int
names_needed (const cell_t *c, const cstep_t *s, const cjob_t *j,
              const candidate_t *v, int n)
{
  double want = s->nwaiting * SURPLUS;
  double have = 0;
  int k = 0;

  while (k < n && k < NAMED_MAX && (have < want || k < NAMED_MIN))
    {
      double room
          = v[k].room < (int)s->nwaiting ? v[k].room : (int)s->nwaiting;

      have += room * (v[k].approved ? 1 : share_of (c, j));
      k++;
    }
  return k;
}

static cconsult_t *
free_consult (cell_t *c)
{
  for (int i = 0; i < CELL_CONSULTS; i++)
    if (!c->consults[i].tag)
      return &c->consults[i];
  return NULL;
}

/* The VM whose line is free soonest, or -1 when none is free soon enough. */
static int
choose_line (const cell_t *c, int priority, double cost)
{
  double limit = priority == 0 ? LINE_URGENT_MS : LINE_OTHER_MS;
  int best = -1;
  int idle = 0;

  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (!v->listed || c->now < v->shy_until)
        continue;
      if (v->busy_ms <= LINE_URGENT_MS)
        idle++;
      if (v->busy_ms <= limit
          && (best < 0 || v->busy_ms < c->vms[best].busy_ms))
        best = i;
    }
  if (cost > LONG_MS && idle < 2)
    return -1;
  return best;
}

static void
send_consult (cell_t *c, cstep_t *s, const cell_queue_t *q,
              const candidate_t *v, int n, int vm, double cost)
{
  cconsult_t *k = free_consult (c);
  cell_effect_t *e = k ? cell_fx (c, CELL_FX_CONSULT) : NULL;
  const cjob_t *j = cstep_job (c, s);
  char name[CELL_NAME];

  if (!e || !(e->consult = calloc (1, sizeof *e->consult)))
    return;
  memset (k, 0, sizeof *k);
  k->tag = e->tag = cell_tag (c);
  k->step = s->self;
  k->vm = vm;
  k->cost = cost;
  k->sent = c->now;
  cell_set (e->key, c->vms[vm].addr);
  e->timeout = (gl_ms_t)(cost + c->vms[vm].busy_ms) + CONSULT_GRACE_MS;
  snprintf (name, sizeof name, "%s.%u.%u", j->id, s->turn, s->index);
  e->consult->priority = (u_int)q->priority;
  e->consult->step = strdup (name);
  e->consult->workers.workers_val
      = calloc ((size_t)n, sizeof *e->consult->workers.workers_val);
  for (int i = 0; i < n && e->consult->workers.workers_val; i++)
    {
      k->workers[k->nworkers++] = v[i].worker;
      e->consult->workers.workers_val[e->consult->workers.workers_len++]
          = strdup (c->workers[v[i].worker].info.id);
    }
  s->asked = k->tag;
  c->vms[vm].busy_ms += cost;
  c->c.consults++;
  c->c.consulted += (uint64_t)n;
}

static void
consult (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  candidate_t *v;
  double cost;
  int n;
  int vm;

  if (s->asked || c->now < s->ask_after)
    return;
  v = calloc ((size_t)c->nworkers + 1, sizeof *v);
  if (!v)
    return;
  n = candidates (c, s, q, v);
  n = names_needed (c, s, cstep_job (c, s), v, n);
  cost = q->decide_ms + n * q->each_ms;
  vm = n ? choose_line (c, q->priority, cost) : -1;
  if (vm >= 0)
    send_consult (c, s, q, v, n, vm, cost);
  free (v);
}

static void
learn (cell_t *c, const cjob_t *j, const cconsult_t *k, u_int approved)
{
  double *p;

  if (j->queue < 0 || j->queue >= CELL_NAME || !k->nworkers)
    return;
  p = &c->share[j->queue];
  if (*p <= 0)
    *p = SHARE_FIRST;
  *p += SHARE_WEIGHT * ((double)approved / k->nworkers - *p);
  if (*p < 0.05)
    *p = 0.05;
}

static int
grow_verdicts (cstep_t *s, int n)
{
  unsigned char *v;

  if (n <= s->nverdicts)
    return 0;
  v = realloc (s->verdicts, (size_t)n);
  if (!v)
    return -1;
  memset (v + s->nverdicts, 0, (size_t)(n - s->nverdicts));
  s->verdicts = v;
  s->nverdicts = n;
  return 0;
}

static void
add_pass (cell_t *c, cstep_t *s, const gl_ticket_t *ticket, uint32_t valid_ms)
{
  cworker_t *w = worker_named (c, ticket->worker);
  cpass_t *v;
  int i = w ? (int)(w - c->workers) : -1;

  if (i < 0 || valid_ms <= TICKET_MARGIN_MS
      || strlen (ticket->ticket) >= sizeof v->ticket)
    return;
  s->verdicts[i] = 1;
  v = realloc (s->passes, (size_t)(s->npasses + 1) * sizeof *v);
  if (!v)
    return;
  s->passes = v;
  v[s->npasses].worker = i;
  v[s->npasses].until = c->now + valid_ms - TICKET_MARGIN_MS;
  cell_set (v[s->npasses].ticket, ticket->ticket);
  s->npasses++;
  c->c.approved++;
}

static void
take_counsel (cell_t *c, const cconsult_t *k, const gl_counsel_t *counsel)
{
  cstep_t *s = pool_get (&c->steps, k->step);
  cjob_t *j = s ? cstep_job (c, s) : NULL;
  cvm_t *vm = &c->vms[k->vm];

  vm->busy_ms -= k->cost;
  if (vm->busy_ms < 0)
    vm->busy_ms = 0;
  plan_wake (c);
  if (!s)
    return;
  s->asked = 0;
  if (!counsel || counsel->code != GL_OK)
    {
      c->c.consults_failed++;
      s->ask_after = c->now + CONSULT_AGAIN_MS;
      vm->shy_until = c->now + VM_SHY_MS;
      cell_log (c, "consult_failed id=%s step=%u vm=%s ms=%llu", j->id,
                s->index, vm->vm, (unsigned long long)(c->now - k->sent));
      return;
    }
  cell_log (c, "counsel id=%s turn=%u step=%u named=%d approved=%u vm=%s ms=%llu",
            j->id, s->turn, s->index, k->nworkers,
            counsel->tickets.tickets_len, vm->vm,
            (unsigned long long)(c->now - k->sent));
  learn (c, j, k, counsel->tickets.tickets_len);
  if (grow_verdicts (s, c->nworkers))
    return;
  for (int i = 0; i < k->nworkers; i++)
    s->verdicts[k->workers[i]] = 2;
  for (u_int i = 0; i < counsel->tickets.tickets_len; i++)
    add_pass (c, s, &counsel->tickets.tickets_val[i], counsel->valid_ms);
}

void
plan_counsel (cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < CELL_CONSULTS; i++)
    if (c->consults[i].tag == ev->tag && ev->tag)
      {
        cconsult_t k = c->consults[i];

        c->consults[i].tag = 0;
        take_counsel (c, &k, ev->counsel);
        return;
      }
}

/* ---- the pass ---- */

static void
plan_step (cell_t *c, cstep_t *s)
{
  cjob_t *j = cstep_job (c, s);
  const cell_queue_t *q = queue_of (c, j);

  if (!q || j->want >= GL_PHASE_COMPLETED)
    return;
  if (q->advised)
    drop_stale (c, s);
  if (j->durable)
    {
      if (s->def->gang)
        place_gang (c, s, q);
      else
        place_singles (c, s, q);
    }
  if (q->advised && s->nwaiting)
    consult (c, s, q);
}

static int
priority_of (const cell_t *c, const cstep_t *s)
{
  const cjob_t *j = pool_get (&c->jobs, s->job);
  const cell_queue_t *q = queue_of (c, j);

  return q ? q->priority : CELL_PRIORITIES;
}

static void
drop_done (cell_t *c)
{
  size_t n = 0;

  for (size_t i = 0; i < c->waiting.n; i++)
    {
      cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

      if (s && s->nwaiting)
        c->waiting.v[n++] = c->waiting.v[i];
      else if (s)
        s->listed = 0;
    }
  c->waiting.n = n;
}

void
plan_run (cell_t *c)
{
  if (!c->plan_due || c->role != CR_OWNER || c->release_tag)
    return;
  if (c->now < c->planned_at + PLAN_GAP_MS)
    {
      timer_arm_before (&c->timers, c->t_plan, c->planned_at + PLAN_GAP_MS);
      return;
    }
  c->plan_due = 0;
  c->planned_at = c->now;
  drop_done (c);
  for (int p = 0; p <= CELL_PRIORITIES; p++)
    for (size_t i = 0; i < c->waiting.n; i++)
      {
        cstep_t *s = pool_get (&c->steps, c->waiting.v[i]);

        if (s && s->nwaiting && priority_of (c, s) == p)
          plan_step (c, s);
      }
  timer_arm_before (&c->timers, c->t_plan, c->now + TICK_MS);
}

void
plan_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  (void)now;
  c->plan_due = 1;
}

void
plan_reset (cell_t *c)
{
  memset (c->consults, 0, sizeof c->consults);
  for (int i = 0; i < c->nvms; i++)
    c->vms[i].busy_ms = 0;
  c->waiting.n = 0;
}
