/*
 * cellconsult.c -- what to ask the advisor, when, and from which VM
 *
 * The advisor serves one consultation at a time for each VM, so its lines
 * are the scarce resource.  A consultation goes to the VM whose line is free
 * soonest; long ones leave one line to urgent questions.
 *
 * Where a consultation is cheap it names workers that have room now, as many
 * as the learned share of approvals makes necessary.  Where it is dear, the
 * first ones of a step are a survey: they name workers that could ever run
 * it, several times the room that it needs, since verdicts last.  A survey is
 * dealt out over idle lines, and each step names other workers, so that the
 * gangs of a burst do not all wait for the same ones.  Later consultations
 * renew the tickets of workers on which room is held.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A ticket is not used in its last moments. */
#define TICKET_MARGIN_MS 60
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
/* A queue is dear to consult about if one decision takes this long. */
#define DEAR_MS 200
/* Share of new workers that makes another survey worth while. */
#define NEW_SHARE 0.25
/* A survey is to find room for so many times the step's tasks. */
#define SURVEY_TIMES 4.0
/* Consultations that a survey is dealt out to at most, and the fewest workers
   that each of them names. */
#define SURVEY_LINES 4
#define SURVEY_PART 20
/* A ticket must last this long beyond the time at which room is expected. */
#define TICKET_SPARE_MS 300
/* Tickets are renewed so much sooner than the estimate of room demands. */
#define RENEW_EARLY_MS 100
/* Grace for an answer beyond the advisor's own time. */
#define CONSULT_GRACE_MS 600
/* Pause after a failed consultation, and of the VM that it went through. */
#define CONSULT_AGAIN_MS 40
#define VM_SHY_MS 500
/* Pause before a step looks again for a line, or for workers to name. */
#define LINE_WAIT_MS 8
#define NOTHING_WAIT_MS 25
/* Time that a line may be busy ahead of an urgent and another question. */
#define LINE_URGENT_MS 60
#define LINE_OTHER_MS 10

/* ---- tickets ---- */

void
consult_drop_expired (const cell_t *c, cstep_t *s)
{
  int n = 0;

  for (int i = 0; i < s->ntickets; i++)
    if (s->tickets[i].expires_at > c->now
        && !c->workers[s->tickets[i].worker].dead)
      s->tickets[n++] = s->tickets[i];
  s->ntickets = n;
}

const char *
consult_ticket (const cstep_t *s, int worker)
{
  for (int i = 0; i < s->ntickets; i++)
    if (s->tickets[i].worker == worker)
      return s->tickets[i].ticket;
  return NULL;
}

/* ---- whom to name ---- */

int
consult_verdict (const cstep_t *s, int worker)
{
  return worker < s->nverdicts ? s->verdicts[worker] : 0;
}

typedef struct
{
  int worker;
  int room;
  int approved;
  int clear;
} candidate_t;

/* Room now before none; @clear holds a random number. */
static int
survey_cmp (const void *a, const void *b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;

  if (!x->room != !y->room)
    return !x->room - !y->room;
  return x->clear < y->clear ? -1 : x->clear > y->clear;
}

static int
candidate_cmp (const void *a, const void *b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;

  if (x->approved != y->approved)
    return y->approved - x->approved;
  if (x->clear != y->clear)
    return y->clear - x->clear;
  return y->room - x->room;
}

/* Workers worth naming: room now, not refused before, no ticket yet. */
static int
candidates (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
            candidate_t *out)
{
  unsigned char *ticketed = calloc ((size_t)c->nworkers + 1, 1);
  int n = 0;

  if (!ticketed)
    return 0;
  for (int i = 0; i < s->ntickets; i++)
    ticketed[s->tickets[i].worker] = 1;
  for (int i = 0; i < c->nworkers; i++)
    {
      int room;

      if (ticketed[i] || consult_verdict (s, i) == 2)
        continue;
      room = room_for (c, s, q, i);
      if (room
          && (room_on_wanted_rack (&c->workers[i], s)
              || !room_waits_for_rack (c, s)))
        out[n++] = (candidate_t){ i, room, consult_verdict (s, i) == 1,
                                  room_is_unreserved (c, s, i) };
    }
  free (ticketed);
  qsort (out, (size_t)n, sizeof *out, candidate_cmp);
  return n;
}

int
consult_is_costly (const cell_queue_t *q)
{
  return q->consult_base_ms >= DEAR_MS;
}

/* Three times the time of a part of a survey. */
gl_ms_t
consult_survey_wait (const cell_queue_t *q)
{
  return (gl_ms_t)(3
                   * (q->consult_base_ms
                      + 2 * SURVEY_PART * q->consult_per_worker_ms));
}

/* A step is surveyed for when it is new, when what was approved is too little
   or busy for long, and when many workers are new. */
static int
needs_survey (const cell_t *c, const cstep_t *s, const cell_queue_t *q)
{
  return consult_is_costly (q)
         && (!s->surveyed_workers || s->approved_scarce
             || c->nworkers - s->surveyed_workers
                    > s->surveyed_workers * NEW_SHARE);
}

/* Workers that were not named yet: those with room now first, else in an
   order that differs from step to step.  Also the tasks that they could take
   if they were empty, on average. */
static int
unasked (cell_t *c, const cstep_t *s, const cell_queue_t *q, candidate_t *out,
         double *each)
{
  double sum = 0;
  int n = 0;

  for (int i = 0; i < c->nworkers; i++)
    {
      int ever = consult_verdict (s, i) ? 0 : room_when_empty (c, s, q, i);
      int room;

      if (!ever)
        continue;
      room = c->workers[i].nreservations ? 0 : room_for (c, s, q, i);
      sum += ever;
      out[n++] = (candidate_t){ i, room, 0,
                                (int)gsl_rng_uniform_int (c->rng, RAND_MAX) };
    }
  *each = n ? sum / n : 0;
  qsort (out, (size_t)n, sizeof *out, survey_cmp);
  return n;
}

/* The end of the worker's ticket, 0 when it has none. */
static gl_ms_t
ticket_until (const cstep_t *s, int worker)
{
  for (int i = 0; i < s->ntickets; i++)
    if (s->tickets[i].worker == worker)
      return s->tickets[i].expires_at;
  return 0;
}

gl_ms_t
consult_earliest_start (const cell_t *c, const cstep_t *s,
                        const cell_queue_t *q, int worker, gl_ms_t when)
{
  gl_ms_t answer;

  if (!q->advised || ticket_until (s, worker) > when)
    return when;
  answer = c->now
           + (gl_ms_t)(q->consult_base_ms
                       + SURVEY_PART * q->consult_per_worker_ms);
  return answer > when ? answer : when;
}

/* Workers on which a gang's room is, or will be when the answer comes, and
   whose tickets would not last until then. */
static int
held (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
      candidate_t *out)
{
  gl_ms_t answer = c->now
                   + (gl_ms_t)(q->consult_base_ms
                               + s->nreservations * q->consult_per_worker_ms);
  gl_ms_t begin = s->shadow_time > answer ? s->shadow_time : answer;
  int n = 0;

  if (!s->nreservations || s->shadow_time > answer + RENEW_EARLY_MS)
    return 0;
  for (int i = 0; i < s->nreservations && n < NAMED_MAX; i++)
    if (ticket_until (s, s->reservations[i].worker) < begin + TICKET_SPARE_MS)
      out[n++] = (candidate_t){ s->reservations[i].worker, 1, 1, 1 };
  return n;
}

static double
share_of (const cell_t *c, const cjob_t *j)
{
  double p = j->queue < CELL_QUEUES_MAX ? c->approval_share[j->queue] : 0;

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
  for (int i = 0; i < CELL_CONSULTS_MAX; i++)
    if (!c->consults[i].tag)
      return &c->consults[i];
  return NULL;
}

static int
idle_lines (const cell_t *c)
{
  int n = 0;

  for (int i = 0; i < c->nvms; i++)
    n += c->vms[i].registered && c->now >= c->vms[i].avoid_until
         && c->vms[i].busy_ms <= LINE_URGENT_MS;
  return n;
}

/* The VM whose line is free soonest, or -1 when none is free soon enough. */
static int
choose_line (const cell_t *c, int priority, double cost)
{
  double limit = priority == 0 ? LINE_URGENT_MS : LINE_OTHER_MS;
  int best = -1;

  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (v->registered && c->now >= v->avoid_until && v->busy_ms <= limit
          && (best < 0 || v->busy_ms < c->vms[best].busy_ms))
        best = i;
    }
  if (cost > LONG_MS && idle_lines (c) < 2)
    return -1;
  return best;
}

static void
send_consult (cell_t *c, cstep_t *s, const cell_queue_t *q,
              const candidate_t *v, int n, int vm, int survey)
{
  double cost = q->consult_base_ms + n * q->consult_per_worker_ms;
  cconsult_t *k = free_consult (c);
  cell_effect_t *e = k ? cell_add_effect (c, CELL_FX_CONSULT) : NULL;
  const cjob_t *j = cstep_job (c, s);
  char name[CELL_NAME_SIZE];

  if (!e || !(e->consult = calloc (1, sizeof *e->consult)))
    return;
  memset (k, 0, sizeof *k);
  k->tag = e->tag = cell_new_tag (c);
  k->step = s->self;
  k->vm = vm;
  k->cost_ms = cost;
  k->survey = survey;
  k->sent_at = c->now;
  cell_strcpy (e->key, c->vms[vm].addr);
  e->timeout = (gl_ms_t)(cost + c->vms[vm].busy_ms) + CONSULT_GRACE_MS;
  snprintf (name, sizeof name, "%s.%u.%u", j->id, s->iteration, s->index);
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
  s->consults_out++;
  c->vms[vm].busy_ms += cost;
  c->counters.consults++;
  c->counters.consulted += (uint64_t)n;
}

/* Names that give a survey enough approvals. */
static int
survey_names (const cell_t *c, const cstep_t *s, double each, int n)
{
  double share = share_of (c, pool_get (&c->jobs, s->job));
  double want = SURVEY_TIMES * s->def->count / (each * share);

  return want < n ? (int)want + 1 : n;
}

/* One consultation a line; lines are only shared out while others are idle
   for the next step. */
static int
survey (cell_t *c, cstep_t *s, const cell_queue_t *q, candidate_t *v)
{
  double each;
  int n = unasked (c, s, q, v, &each);
  int lines = idle_lines (c) / 2;
  int part;
  int sent = 0;

  if (!n || (s->surveyed_workers && idle_lines (c) < c->nvms / 3))
    return 0;
  n = survey_names (c, s, each, n);
  if (lines > SURVEY_LINES)
    lines = SURVEY_LINES;
  if (lines > n / SURVEY_PART)
    lines = n / SURVEY_PART;
  if (lines < 1)
    lines = 1;
  part = (n + lines - 1) / lines;
  if (part > NAMED_MAX)
    part = NAMED_MAX;
  for (; lines > 0 && n > 0; lines--)
    {
      int named = n < part ? n : part;
      int vm = choose_line (c, q->priority,
                            q->consult_base_ms
                                + named * q->consult_per_worker_ms);

      if (vm < 0)
        break;
      send_consult (c, s, q, v + sent, named, vm, 1);
      sent += named;
      n -= named;
    }
  if (sent)
    {
      s->surveyed_workers = c->nworkers;
      s->approved_scarce = 0;
    }
  else
    s->consult_after = c->now + LINE_WAIT_MS;
  return 1;
}

void
consult_step (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  candidate_t *v;
  int n;
  int vm;

  if (s->consults_out || c->now < s->consult_after || c->scans_left <= 0)
    return;
  if (consult_is_costly (q) && s->def->gang && !needs_survey (c, s, q)
      && !s->nreservations)
    return;
  c->scans_left--;
  c->counters.scans++;
  v = calloc ((size_t)c->nworkers + 1, sizeof *v);
  if (!v)
    return;
  if (needs_survey (c, s, q) && survey (c, s, q, v))
    goto out;
  if (consult_is_costly (q) && s->def->gang)
    n = held (c, s, q, v);
  else
    {
      n = candidates (c, s, q, v);
      n = names_needed (c, s, cstep_job (c, s), v, n);
    }
  vm = n ? choose_line (c, q->priority,
                        q->consult_base_ms + n * q->consult_per_worker_ms)
         : -1;
  if (vm >= 0)
    send_consult (c, s, q, v, n, vm, 0);
  else
    s->consult_after = c->now + (n ? LINE_WAIT_MS : NOTHING_WAIT_MS);
out:
  free (v);
}

static void
learn (cell_t *c, const cjob_t *j, const cconsult_t *k, u_int approved)
{
  double *p;

  if (j->queue < 0 || j->queue >= CELL_QUEUES_MAX || !k->nworkers)
    return;
  p = &c->approval_share[j->queue];
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
drop_pass (cstep_t *s, int worker)
{
  for (int i = 0; i < s->ntickets; i++)
    if (s->tickets[i].worker == worker)
      {
        s->tickets[i] = s->tickets[--s->ntickets];
        return;
      }
}

static void
add_pass (cell_t *c, cstep_t *s, const gl_ticket_t *ticket, uint32_t valid_ms)
{
  cworker_t *w = cworker_find (c, ticket->worker);
  cticket_t *v;
  int i = w ? (int)(w - c->workers) : -1;

  if (i < 0 || valid_ms <= TICKET_MARGIN_MS
      || strlen (ticket->ticket) >= sizeof v->ticket)
    return;
  s->verdicts[i] = 1;
  drop_pass (s, i);
  v = realloc (s->tickets, (size_t)(s->ntickets + 1) * sizeof *v);
  if (!v)
    return;
  s->tickets = v;
  v[s->ntickets].worker = i;
  v[s->ntickets].expires_at = c->now + valid_ms - TICKET_MARGIN_MS;
  cell_strcpy (v[s->ntickets].ticket, ticket->ticket);
  s->ntickets++;
  c->counters.approved++;
}

static void
take_counsel (cell_t *c, const cconsult_t *k,
              const gl_consult_reply_t *counsel)
{
  cstep_t *s = pool_get (&c->steps, k->step);
  cjob_t *j = s ? cstep_job (c, s) : NULL;
  cvm_t *vm = &c->vms[k->vm];

  vm->busy_ms -= k->cost_ms;
  if (vm->busy_ms < 0)
    vm->busy_ms = 0;
  plan_wake (c);
  if (!s)
    return;
  if (s->consults_out)
    s->consults_out--;
  if (!counsel || counsel->code != GL_OK)
    {
      c->counters.consults_failed++;
      if (k->survey)
        s->surveyed_workers = 0;
      s->consult_after = c->now + CONSULT_AGAIN_MS;
      vm->avoid_until = c->now + VM_SHY_MS;
      cell_log (c, "consult_failed id=%s step=%u vm=%s ms=%llu", j->id,
                s->index, vm->vm, (unsigned long long)(c->now - k->sent_at));
      return;
    }
  cell_log (
      c, "counsel id=%s turn=%u step=%u named=%d approved=%u vm=%s ms=%llu",
      j->id, s->iteration, s->index, k->nworkers, counsel->tickets.tickets_len,
      vm->vm, (unsigned long long)(c->now - k->sent_at));
  learn (c, j, k, counsel->tickets.tickets_len);
  if (grow_verdicts (s, c->nworkers))
    return;
  for (int i = 0; i < k->nworkers; i++)
    s->verdicts[k->workers[i]] = 2;
  for (u_int i = 0; i < counsel->tickets.tickets_len; i++)
    add_pass (c, s, &counsel->tickets.tickets_val[i], counsel->valid_ms);
}

void
consult_answer (cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < CELL_CONSULTS_MAX; i++)
    if (c->consults[i].tag == ev->tag && ev->tag)
      {
        cconsult_t k = c->consults[i];

        c->consults[i].tag = 0;
        take_counsel (c, &k, ev->consult_reply);
        return;
      }
}
