/*
 * cellconsult.c -- what to ask the advisor, when, and through which VM
 *
 * The advisor serves one consultation at a time for each VM, so its time is
 * the scarce resource.  A consultation goes through the VM whose earlier ones
 * will be served first.  A long one is sent only while another VM is left
 * without a long one, for urgent consultations, unless there is no other VM.
 *
 * For a queue whose consultations are cheap, a consultation names workers that
 * have room now, as many as the learned share of approvals makes necessary.
 * For a queue whose consultations are costly, the first ones of a step are a
 * survey: they name workers that are large enough for it, busy or not, with
 * several times the room that it needs, since verdicts stay valid.  A survey
 * is divided among idle VMs, and each step names other workers, so that the
 * gangs of a burst do not all wait for the same ones.  Later consultations
 * renew the tickets for workers on which the gang has reserved room, and for
 * the others that were approved, since room may come free there first; a
 * starved gang whose reserved room does not come free, or that has none, asks
 * for workers that have room now.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A ticket is not used in the last part of its validity. */
#define TICKET_MARGIN_MS 60
/* Share of named workers that is assumed to be approved, for a queue without
   any answer so far. */
#define APPROVAL_SHARE_INITIAL 0.5
/* Weight of one answer in the learned share of approvals. */
#define APPROVAL_SHARE_WEIGHT 0.1
/* A consultation is to give this many times the approved room that the step
   needs. */
#define APPROVAL_SURPLUS 1.3
/* Fewest workers that a consultation names, as far as they have room, and the
   most. */
#define NAMED_WORKERS_MIN 6
#define NAMED_WORKERS_MAX 100
/* Consultations that take the advisor longer than this are long. */
#define LONG_CONSULT_MS 300
/* Consultations are costly if their base time is at least this long. */
#define COSTLY_MS 200
/* A step is surveyed again when the workers that are new since its survey are
   more than this share of those that were known then. */
#define NEW_WORKERS_SHARE 0.25
/* A survey is to find room for this many times the step's tasks. */
#define SURVEY_ROOM_FACTOR 4.0
/* Most consultations of one survey, and the fewest workers that each of them
   names if there is more than one. */
#define SURVEY_PARTS_MAX 4
#define SURVEY_PART_MIN 20
/* A ticket must be valid for this long after the time at which room is
   expected. */
#define TICKET_SPARE_MS 300
/* Tickets are renewed this much earlier than the expected time of room
   requires. */
#define TICKET_RENEW_EARLY_MS 100
/* Timeout of a consultation, beyond the time that the advisor takes for it and
   for earlier ones through the same VM. */
#define CONSULT_GRACE_MS 600
/* Bytes of a consultation on its way to a VM, and for each worker named. */
#define CONSULT_BYTES 160
#define NAMED_BYTES 18
/* After a failed consultation, the step is not consulted for, and the VM that
   it went through is not used, for this long. */
#define CONSULT_RETRY_MS 40
#define VM_AVOID_MS 500
/* Delay before a step tries again when no VM, or no worker to name, was
   found. */
#define NO_VM_RETRY_MS 8
#define NO_WORKER_RETRY_MS 25
/* A VM is used only if its earlier consultations take the advisor at most this
   long, for an urgent consultation (priority 0) and for others. */
#define VM_BUSY_URGENT_MAX_MS 60
#define VM_BUSY_MAX_MS 10

/* A starved gang waits this long for room that it has reserved. */
#define RESERVED_WAIT_MS 2000

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

/* ---- workers to name ---- */

int
consult_verdict (const cstep_t *s, int worker)
{
  return worker < s->nverdicts ? s->verdicts[worker] : 0;
}

/**
 * struct candidate_t - a worker that a consultation may name
 * @room: tasks of the step for which it has room now
 * @approved: the advisor has approved it before
 * @sort_key: 1 if the room is not reserved for other steps; in a survey, a
 *   random number
 */
typedef struct
{
  int worker;
  int room;
  int approved;
  int sort_key;
} candidate_t;

/* Workers with room now first, each group in random order. */
static int
survey_cmp (const void *a, const void *b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;

  if (!x->room != !y->room)
    return !x->room - !y->room;
  return x->sort_key < y->sort_key ? -1 : x->sort_key > y->sort_key;
}

static int
candidate_cmp (const void *a, const void *b)
{
  const candidate_t *x = a;
  const candidate_t *y = b;

  if (x->approved != y->approved)
    return y->approved - x->approved;
  if (x->sort_key != y->sort_key)
    return y->sort_key - x->sort_key;
  return y->room - x->room;
}

/* Fill @out with the workers that have room now, were not refused before and
   have no ticket yet; returns how many there are.  Approved ones come first,
   then those whose room is not reserved for other steps, then those with more
   room. */
static int
list_candidates (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
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
  return q->consult_base_ms >= COSTLY_MS;
}

/* Three times what the advisor takes for a consultation that names twice the
   fewest workers of a survey's part. */
gl_ms_t
consult_survey_wait (const cell_queue_t *q)
{
  return (gl_ms_t)(3
                   * (q->consult_base_ms
                      + 2 * SURVEY_PART_MIN * q->consult_per_worker_ms));
}

/* A step of a costly queue is surveyed first of all, again when the approved
   workers are too few or have no room for long, and when many workers are new.
 */
static int
needs_survey (const cell_t *c, const cstep_t *s, const cell_queue_t *q)
{
  return consult_is_costly (q)
         && (!s->surveyed_workers || s->approved_scarce
             || c->nworkers - s->surveyed_workers
                    > s->surveyed_workers * NEW_WORKERS_SHARE);
}

/* Fill @out with the workers that have not been named for the step yet, those
   with room now first, in random order so that each step names others.
   Returns how many there are; @mean_room is the number of tasks that one of
   them could take on average if it were empty. */
static int
list_unconsulted (cell_t *c, const cstep_t *s, const cell_queue_t *q,
                  candidate_t *out, double *mean_room)
{
  double sum = 0;
  int n = 0;

  for (int i = 0; i < c->nworkers; i++)
    {
      int room_empty
          = consult_verdict (s, i) ? 0 : room_when_empty (c, s, q, i);
      int room;

      if (!room_empty)
        continue;
      room = c->workers[i].nreservations ? 0 : room_for (c, s, q, i);
      sum += room_empty;
      out[n++] = (candidate_t){ i, room, 0,
                                (int)gsl_rng_uniform_int (c->rng, RAND_MAX) };
    }
  *mean_room = n ? sum / n : 0;
  qsort (out, (size_t)n, sizeof *out, survey_cmp);
  return n;
}

/* When the step's ticket for the worker expires, 0 if it has none. */
static gl_ms_t
ticket_expiry (const cstep_t *s, int worker)
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
  gl_ms_t answer_at;

  if (!q->advised || ticket_expiry (s, worker) > when)
    return when;
  answer_at = c->now
              + (gl_ms_t)(q->consult_base_ms
                          + SURVEY_PART_MIN * q->consult_per_worker_ms);
  return answer_at > when ? answer_at : when;
}

/* Add the other workers that are approved for the gang to the @n in @out, as
   far as their tickets expire before @start_at: if room comes free there
   first, the gang need not wait for those that it has reserved.  Returns how
   many there are. */
static int
add_approved (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
              candidate_t *out, int n, gl_ms_t start_at)
{
  int nreserved = n;

  for (int i = 0; i < c->nworkers && n < NAMED_WORKERS_MAX; i++)
    {
      int listed = consult_verdict (s, i) != 1
                   || ticket_expiry (s, i) >= start_at + TICKET_SPARE_MS
                   || !room_when_empty (c, s, q, i);

      for (int k = 0; k < nreserved && !listed; k++)
        listed = out[k].worker == i;
      if (!listed)
        out[n++] = (candidate_t){ i, 1, 1, 1 };
    }
  return n;
}

/* Fill @out with the workers that the gang has reserved and whose tickets
   would expire before it can start; returns how many there are.  There are
   none while the answer would come more than TICKET_RENEW_EARLY_MS before the
   expected start. */
static int
list_reserved (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
               candidate_t *out)
{
  gl_ms_t answer_at
      = c->now
        + (gl_ms_t)(q->consult_base_ms
                    + s->nreservations * q->consult_per_worker_ms);
  gl_ms_t start_at = s->shadow_time > answer_at ? s->shadow_time : answer_at;
  int n = 0;

  if (!s->nreservations || s->shadow_time > answer_at + TICKET_RENEW_EARLY_MS)
    return 0;
  for (int i = 0; i < s->nreservations && n < NAMED_WORKERS_MAX; i++)
    if (ticket_expiry (s, s->reservations[i].worker)
        < start_at + TICKET_SPARE_MS)
      out[n++] = (candidate_t){ s->reservations[i].worker, 1, 1, 1 };
  return n ? add_approved (c, s, q, out, n, start_at) : 0;
}

/* Share of named workers that the advisor is expected to approve for the job's
   queue. */
static double
approval_share_of (const cell_t *c, const cjob_t *j)
{
  double p = j->queue >= 0 && j->queue < c->napproval_shares
                 ? c->approval_share[j->queue]
                 : 0;

  return p > 0 ? p : APPROVAL_SHARE_INITIAL;
}

/* How many of the @n candidates to name, so that those approved have room for
   the step's waiting tasks with a surplus. */
static int
count_to_name (const cell_t *c, const cstep_t *s, const cjob_t *j,
               const candidate_t *v, int n)
{
  double want = s->nwaiting * APPROVAL_SURPLUS;
  double have = 0;
  int k = 0;

  while (k < n && k < NAMED_WORKERS_MAX
         && (have < want || k < NAMED_WORKERS_MIN))
    {
      double room
          = v[k].room < (int)s->nwaiting ? v[k].room : (int)s->nwaiting;

      have += room * (v[k].approved ? 1 : approval_share_of (c, j));
      k++;
    }
  return k;
}

/* Whether consultations may go through the VM. */
static int
is_usable (const cell_t *c, const cvm_t *v)
{
  return v->registered && c->now >= v->avoid_until
         && stop_takes_consults (c, v);
}

static int
count_idle_vms (const cell_t *c)
{
  int n = 0;

  for (int i = 0; i < c->nvms; i++)
    n += is_usable (c, &c->vms[i])
         && c->vms[i].busy_ms <= VM_BUSY_URGENT_MAX_MS;
  return n;
}

/* How many VMs serve the cell, busy or not. */
static int
count_vms (const cell_t *c)
{
  int n = 0;

  for (int i = 0; i < c->nvms; i++)
    n += is_usable (c, &c->vms[i]);
  return n;
}

/* Whether a long consultation through VM @vm would leave no VM without one,
   although there are others. */
static int
takes_last_vm (const cell_t *c, int vm)
{
  for (int i = 0; i < c->nvms; i++)
    if (i != vm && is_usable (c, &c->vms[i])
        && c->vms[i].busy_ms <= LONG_CONSULT_MS)
      return 0;
  return count_vms (c) > 1;
}

/* The VM through which a consultation is served first, or -1 if every VM is
   too busy, or if the consultation is long and has to wait for the last VM
   without one; @cost is the time that the advisor takes for it, in ms. */
static int
choose_vm (const cell_t *c, int priority, double cost)
{
  double limit = priority == 0 ? VM_BUSY_URGENT_MAX_MS : VM_BUSY_MAX_MS;
  int best = -1;

  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (is_usable (c, v) && v->busy_ms <= limit
          && (best < 0 || v->busy_ms < c->vms[best].busy_ms))
        best = i;
    }
  return best >= 0 && cost > LONG_CONSULT_MS && takes_last_vm (c, best) ? -1
                                                                        : best;
}

/* Send a consultation through VM @vm that names the workers in @v.  Returns 0,
   or -1 without memory: the step has to be consulted for again then. */
static int
send_consult (cell_t *c, cstep_t *s, const cell_queue_t *q,
              const candidate_t *v, int n, int vm, int survey)
{
  double cost = q->consult_base_ms + n * q->consult_per_worker_ms;
  const cjob_t *j = cstep_job (c, s);
  char name[CELL_NAME_SIZE];
  cell_effect_t *e;
  cconsult_t *k;

  if (array_reserve (&c->consults, &c->capconsults, c->nconsults, sizeof *k)
      || !(e = cell_add_effect (c, CELL_FX_CONSULT))
      || !(e->consult = calloc (1, sizeof *e->consult)))
    {
      c->counters.consults_unsent++;
      cell_log (c, "consult_unsent id=%s step=%u why=memory", j->id, s->index);
      s->consult_after = c->now + CONSULT_RETRY_MS;
      return -1;
    }
  k = &c->consults[c->nconsults++];
  memset (k, 0, sizeof *k);
  k->tag = e->tag = cell_new_tag (c);
  k->step = s->self;
  k->vm = vm;
  k->cost_ms = cost;
  k->survey = survey;
  k->sent_at = c->now;
  cell_strcpy (e->key, c->vms[vm].addr);
  e->timeout = (gl_ms_t)(cost + c->vms[vm].busy_ms) + CONSULT_GRACE_MS
               + flow_send (c, CONSULT_BYTES + (size_t)n * NAMED_BYTES);
  snprintf (name, sizeof name, "%s.%u.%u", j->id, s->iteration, s->index);
  e->consult->priority = (u_int)q->priority;
  e->consult->step = strdup (name);
  e->consult->workers.workers_val
      = calloc ((size_t)n, sizeof *e->consult->workers.workers_val);
  for (int i = 0; i < n && e->consult->workers.workers_val; i++)
    {
      k->workers[k->nworkers++] = v[i].worker;
      e->consult->workers.workers_val[e->consult->workers.workers_len++]
          = strdup (c->workers[v[i].worker].info.self.id);
    }
  s->consults_in_flight++;
  c->vms[vm].busy_ms += cost;
  c->counters.consults++;
  c->counters.consulted += (uint64_t)n;
  return 0;
}

/* How many of @n workers a survey has to name, so that those approved have
   room for SURVEY_ROOM_FACTOR times the step's tasks. */
static int
survey_size (const cell_t *c, const cstep_t *s, double mean_room, int n)
{
  double share = approval_share_of (c, pool_get (&c->jobs, s->job));
  double want = SURVEY_ROOM_FACTOR * s->def->count / (mean_room * share);

  return want < n ? (int)want + 1 : n;
}

/* Survey the step by one consultation through each of several VMs, at most
   half of the idle ones, so that the next step finds idle VMs too.  A step
   that has been surveyed before waits until a third of the VMs are idle.
   Returns 0 if no survey is due now, 1 if one was sent or has to wait for a
   VM. */
static int
send_survey (cell_t *c, cstep_t *s, const cell_queue_t *q, candidate_t *v)
{
  double mean_room;
  int n = list_unconsulted (c, s, q, v, &mean_room);
  int parts = count_idle_vms (c) / 2;
  int part_size;
  int sent = 0;

  if (!n || (s->surveyed_workers && count_idle_vms (c) < count_vms (c) / 3))
    return 0;
  n = survey_size (c, s, mean_room, n);
  if (parts > SURVEY_PARTS_MAX)
    parts = SURVEY_PARTS_MAX;
  if (parts > n / SURVEY_PART_MIN)
    parts = n / SURVEY_PART_MIN;
  if (parts < 1)
    parts = 1;
  part_size = (n + parts - 1) / parts;
  if (part_size > NAMED_WORKERS_MAX)
    part_size = NAMED_WORKERS_MAX;
  for (; parts > 0 && n > 0; parts--)
    {
      int named = n < part_size ? n : part_size;
      int vm
          = choose_vm (c, q->priority,
                       q->consult_base_ms + named * q->consult_per_worker_ms);

      if (vm < 0 || send_consult (c, s, q, v + sent, named, vm, 1))
        break;
      sent += named;
      n -= named;
    }
  if (sent)
    {
      s->surveyed_workers = c->nworkers;
      s->approved_scarce = 0;
    }
  else
    s->consult_after = c->now + NO_VM_RETRY_MS;
  return 1;
}

/* Whether the gang asks for the workers that it has reserved rather than for
   workers that have room now.  The expected time of reserved room can move on
   again and again, when tasks there run longer than expected or others take
   the room, while there is room elsewhere. */
static int
waits_for_reserved (const cell_t *c, const cstep_t *s)
{
  return !s->starved
         || (s->nreservations && c->now < s->ready_at + RESERVED_WAIT_MS);
}

void
consult_step (cell_t *c, cstep_t *s, const cell_queue_t *q)
{
  candidate_t *v;
  int n;
  int vm;

  if (s->consults_in_flight || c->now < s->consult_after)
    return;
  /* Between surveys, a gang of a costly queue asks only for tickets for the
     workers that it has reserved, or for room now if it is starved. */
  if (consult_is_costly (q) && s->def->gang && !needs_survey (c, s, q)
      && !s->nreservations && !s->starved)
    return;
  if (choose_vm (c, q->priority, q->consult_base_ms) < 0)
    {
      s->consult_after = c->now + NO_VM_RETRY_MS;
      return;
    }
  if (c->scans_left <= 0)
    {
      s->put_off = 1;
      return;
    }
  s->searched_at = c->now;
  c->scans_left--;
  c->counters.scans++;
  v = calloc ((size_t)c->nworkers + 1, sizeof *v);
  if (!v)
    return;
  if (needs_survey (c, s, q) && send_survey (c, s, q, v))
    goto out;
  if (consult_is_costly (q) && s->def->gang && waits_for_reserved (c, s))
    n = list_reserved (c, s, q, v);
  else
    {
      n = list_candidates (c, s, q, v);
      n = count_to_name (c, s, cstep_job (c, s), v, n);
    }
  vm = n ? choose_vm (c, q->priority,
                      q->consult_base_ms + n * q->consult_per_worker_ms)
         : -1;
  if (!n)
    cstep_note_short (c, s);
  if (vm >= 0)
    send_consult (c, s, q, v, n, vm, 0);
  else
    s->consult_after = c->now + (n ? NO_VM_RETRY_MS : NO_WORKER_RETRY_MS);
out:
  free (v);
}

void
consult_ahead (cell_t *c, cstep_t *s, const cell_queue_t *q, gl_ms_t in_ms)
{
  double cost = q->consult_base_ms
                + NAMED_WORKERS_MIN * q->consult_per_worker_ms
                + TICKET_RENEW_EARLY_MS;

  consult_drop_expired (c, s);
  if (!s->ntickets && (double)in_ms <= cost)
    consult_step (c, s, q);
}

/* Update the queue's share of approvals from one answer.  It stays above a
   floor, since the size of a survey is divided by it. */
static void
learn_approval_share (cell_t *c, const cjob_t *j, const cconsult_t *k,
                      u_int approved)
{
  double *p;

  if (j->queue < 0 || !k->nworkers)
    return;
  while (c->napproval_shares <= j->queue)
    {
      if (array_reserve (&c->approval_share, &c->capapproval_shares,
                         c->napproval_shares, sizeof *c->approval_share))
        return;
      c->napproval_shares++;
    }
  p = &c->approval_share[j->queue];
  if (*p <= 0)
    *p = APPROVAL_SHARE_INITIAL;
  *p += APPROVAL_SHARE_WEIGHT * ((double)approved / k->nworkers - *p);
  if (*p < 0.05)
    *p = 0.05;
}

/* Make room for verdicts on @n workers; -1 without memory. */
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
drop_ticket (cstep_t *s, int worker)
{
  for (int i = 0; i < s->ntickets; i++)
    if (s->tickets[i].worker == worker)
      {
        s->tickets[i] = s->tickets[--s->ntickets];
        return;
      }
}

static void
add_ticket (cell_t *c, cstep_t *s, const gl_ticket_t *ticket,
            uint32_t valid_ms)
{
  cworker_t *w = incarnation_current (c, ticket->worker);
  cticket_t *v;
  int i = w ? (int)(w - c->workers) : -1;

  if (i < 0 || valid_ms <= TICKET_MARGIN_MS
      || strlen (ticket->ticket) >= sizeof v->ticket)
    return;
  s->verdicts[i] = 1;
  drop_ticket (s, i);
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
handle_reply (cell_t *c, const cconsult_t *k, const gl_consult_reply_t *reply)
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
  if (s->consults_in_flight)
    s->consults_in_flight--;
  if (!reply || reply->code != GL_OK)
    {
      c->counters.consults_failed++;
      if (k->survey)
        s->surveyed_workers = 0;
      s->consult_after = c->now + CONSULT_RETRY_MS;
      vm->avoid_until = c->now + VM_AVOID_MS;
      cell_log (c, "consult_failed id=%s step=%u vm=%s ms=%llu", j->id,
                s->index, vm->vm, (unsigned long long)(c->now - k->sent_at));
      return;
    }
  cell_log (c,
            "consult_reply id=%s iteration=%u step=%u named=%d approved=%u "
            "vm=%s ms=%llu",
            j->id, s->iteration, s->index, k->nworkers,
            reply->tickets.tickets_len, vm->vm,
            (unsigned long long)(c->now - k->sent_at));
  learn_approval_share (c, j, k, reply->tickets.tickets_len);
  if (grow_verdicts (s, c->nworkers))
    return;
  for (int i = 0; i < k->nworkers; i++)
    s->verdicts[k->workers[i]] = 2;
  for (u_int i = 0; i < reply->tickets.tickets_len; i++)
    add_ticket (c, s, &reply->tickets.tickets_val[i], reply->valid_ms);
}

void
consult_answer (cell_t *c, const cell_event_t *ev)
{
  for (int i = 0; i < c->nconsults; i++)
    if (c->consults[i].tag == ev->tag)
      {
        cconsult_t k = c->consults[i];

        c->consults[i] = c->consults[--c->nconsults];
        handle_reply (c, &k, ev->consult_reply);
        return;
      }
}

int
consults_since_before (const cell_t *c, gl_ms_t at)
{
  for (int i = 0; i < c->nconsults; i++)
    if (c->consults[i].sent_at < at)
      return 1;
  return 0;
}
