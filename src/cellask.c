/*
 * cellask.c -- callers' requests: submit, state, cancel
 *
 * Any VM takes a request, and forwards it to the owner.  When the owner gives
 * no answer or changes, the request is forwarded again.  This is safe, since
 * an id names one job and a repeated submission finds it.
 *
 * A submission that certainly was not carried out is refused with a time
 * after which to retry (GL_RETRY).  One that an owner may have carried out is
 * answered GL_UNKNOWN instead, because the caller must not take it as "not
 * run".
 *
 * A state query that finds the job's end decided but not yet in the store is
 * answered when the write has its answer: a caller that is told "running" asks
 * again only after its polling interval, which is many times as long as a
 * write.  The wait has a bound of a few usual write times, after which the
 * query is answered with what was known when it came.
 *
 * A team's job is answered to another team as if it did not exist, except that
 * its id cannot be used for another job.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

#define TICK_MS 50
/* Pause before a request is forwarded or served again. */
#define RETRY_PAUSE_MS 40
/* Timeout of a forwarded request. */
#define FORWARD_TIMEOUT_MS 2500
/* How long a request that an owner may have carried out waits for the answer,
   once nobody can own the cell. */
#define LAST_ANSWER_MS 200
/* A state query waits for the write of the job's end for this many times the
   usual duration of a write, within these bounds. */
#define END_WAIT_FACTOR 3
#define END_WAIT_MIN_MS 30
#define END_WAIT_MAX_MS 150
/* Most requests that are named in the log when the process ends. */
#define GIVEN_UP_LINES_MAX 64

static crequest_t *
find_request (cell_t *c, uint64_t tag)
{
  for (size_t i = 0; i < c->nrequests; i++)
    if (c->requests[i].tag == tag)
      return &c->requests[i];
  return NULL;
}

void
cell_reply (cell_t *c, uint64_t tag, gl_code_t code, uint32_t retry_ms,
            gl_phase_t phase, const char *reason)
{
  crequest_t *r = find_request (c, tag);
  cell_effect_t *e;

  if (!r)
    return;
  /* An earlier owner may have accepted the job, so it may run after all. */
  if (phase > GL_PHASE_CANCELLED)
    {
      cell_log (c, "phase_unknown id=%s phase=%u", r->body.id,
                (unsigned)phase);
      code = GL_UNKNOWN;
      phase = GL_PHASE_PENDING;
    }
  if (code == GL_RETRY && r->maybe_taken && r->body.verb == GL_VERB_SUBMIT)
    code = GL_UNKNOWN;
  e = cell_add_effect (c, CELL_FX_REPLY);
  /* Without memory it is answered at its deadline. */
  if (!e)
    return;
  e->tag = tag;
  e->reply.code = code;
  e->reply.retry_ms = retry_ms;
  e->reply.phase = phase;
  e->reply.reason = strdup (reason ? reason : "");
  if (code != GL_OK && !r->from_peer)
    cell_log (c, "answer id=%s verb=%d code=%s retry_ms=%u age_ms=%llu why=%s",
              r->body.id, r->body.verb, gl_code_name (code), retry_ms,
              (unsigned long long)(c->now - r->arrived_at),
              reason ? reason : "-");
  codec_free ((xdrproc_t)xdr_gl_request_t, &r->body);
  *r = c->requests[--c->nrequests];
}

size_t
cell_open_requests (const cell_t *c)
{
  return c->nrequests;
}

void
requests_give_up (cell_t *c)
{
  for (size_t i = 0; i < c->nrequests && i < GIVEN_UP_LINES_MAX; i++)
    {
      const crequest_t *r = &c->requests[i];

      cell_log (c,
                "given_up id=%s verb=%d age_ms=%llu from_peer=%d "
                "dispatched=%d maybe_taken=%d",
                r->body.id, r->body.verb,
                (unsigned long long)(c->now - r->arrived_at), r->from_peer,
                r->dispatched, r->maybe_taken);
    }
}

/* ---- requests at the owner ---- */

static int
copy_request (const gl_request_t *from, gl_request_t *to)
{
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_request_t, from, &len);
  int rc = -1;

  memset (to, 0, sizeof *to);
  if (data)
    rc = codec_decode ((xdrproc_t)xdr_gl_request_t, to, data, len);
  free (data);
  return rc;
}

/* What is wrong with a submitted job, or NULL. */
static const char *
find_invalid (const cell_t *c, const gl_cell_job_t *spec)
{
  int queue_found = 0;

  for (int i = 0; i < c->conf.nqueues; i++)
    queue_found |= !strcmp (c->conf.queues[i].name, spec->queue);
  if (!queue_found)
    return "no such queue";
  if (!spec->steps.steps_len || strlen (spec->id) > 16)
    return "malformed";
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      const gl_step_t *s = &spec->steps.steps_val[i];

      if (!s->count || s->count > GL_STEP_TASKS_MAX)
        return "malformed step";
      for (u_int k = 0; k < s->predecessors.predecessors_len; k++)
        if (s->predecessors.predecessors_val[k] >= i)
          return "a step may only follow earlier ones";
    }
  return NULL;
}

/* Retry time during an outage of the store: the age of the outage, since it is
   likely to last as long again, and a random part of CELL_RETRY_MS to spread
   the retries. */
static uint32_t
store_retry_ms (cell_t *c)
{
  gl_ms_t outage_ms = c->now - c->store_answered_at;

  if (outage_ms < CELL_RETRY_MS)
    outage_ms = CELL_RETRY_MS;
  if (outage_ms > CELL_RETRY_MAX_MS)
    outage_ms = CELL_RETRY_MAX_MS;
  return (uint32_t)outage_ms
         + (uint32_t)gsl_rng_uniform_int (c->rng, CELL_RETRY_MS);
}

/* Whether a job of the team with index @team, -1 for none, belongs to another
   team than the caller's.  A job without a team is every caller's: it may have
   been accepted before there were teams. */
static int
is_other_team (const cell_t *c, const crequest_t *r, int team)
{
  return team >= 0 && !FAULT (FAULT_CELL_TEAMS_MIXED)
         && strcmp (c->conf.teams.v[team].name, r->body.team) != 0;
}

static void
refuse_other_team (cell_t *c, const crequest_t *r)
{
  c->counters.other_team++;
  if (r->body.verb == GL_VERB_SUBMIT)
    cell_reply (c, r->tag, GL_INVALID, 0, 0, "the id is in use");
  else
    cell_reply (c, r->tag, GL_NOT_FOUND, 0, 0, "no such job");
}

void
request_answer_job (cell_t *c, uint64_t tag, const cjob_t *j)
{
  const crequest_t *r = find_request (c, tag);

  if (r && is_other_team (c, r, j->team))
    refuse_other_team (c, r);
  else
    cell_reply (c, tag, GL_OK, 0, j->phase, NULL);
}

static void
submit (cell_t *c, crequest_t *r)
{
  cjob_t *j = cjob_find (c, r->body.id);
  const char *why;
  gl_request_t copy = { 0 };
  int team;
  uint32_t retry_ms = CELL_RETRY_MS;

  if (j && j->durable)
    {
      request_answer_job (c, r->tag, j);
      return;
    }
  if (j)
    {
      tags_add (&j->accept_waiters, r->tag);
      return;
    }
  if (save_store_down (c))
    {
      c->counters.refused++;
      cell_reply (c, r->tag, GL_RETRY, store_retry_ms (c), 0,
                  "the store takes no writes");
      return;
    }
  why = r->body.job ? find_invalid (c, r->body.job) : "malformed";
  if (why)
    {
      cell_reply (c, r->tag, GL_INVALID, 0, 0, why);
      return;
    }
  /* The request keeps its own copy, to forward it if the owner changes. */
  team = cjob_team (c, r->body.team);
  if ((team >= 0 || !r->body.team[0]) && !copy_request (&r->body, &copy))
    j = cjob_new (c, copy.job);
  codec_free ((xdrproc_t)xdr_gl_request_t, &copy);
  if (!j)
    {
      cell_reply (c, r->tag, GL_RETRY, CELL_RETRY_MS, 0, "out of memory");
      return;
    }
  j->team = team;
  if (!plan_admits (c, j->team, plan_queue (c, j), &j->beyond, &retry_ms))
    {
      c->counters.refused++;
      cjob_free (c, j);
      cell_reply (c, r->tag, GL_RETRY, retry_ms, 0, CELL_WHY_RATE);
      return;
    }
  j->spec.accepted_ms = c->wall;
  tags_add (&j->accept_waiters, r->tag);
  if (FAULT (FAULT_CELL_ACCEPT_EARLY))
    cell_reply (c, r->tag, GL_OK, 0, j->phase, NULL);
  save_job (c, j, 1);
  /* The advisor may be consulted before the job is in the store; tasks start
     only after that. */
  cjob_ready_steps (c, j);
}

/* Reads the result of a job that is not in memory; the request is answered by
   request_result_read. */
static void
read_result (cell_t *c, const crequest_t *r)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_READ);

  if (!e)
    return;
  e->tag = r->tag;
  e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
  snprintf (e->key, sizeof e->key, "gl/d/%s", r->body.id);
}

/* Another team's job has the id.  While that is not accepted, an earlier job
   of the caller's team may have ended under the id: its result decides. */
static void
answer_beside_other_team (cell_t *c, const crequest_t *r, const cjob_t *j)
{
  if (j->durable)
    refuse_other_team (c, r);
  else
    read_result (c, r);
}

static gl_phase_t
current_phase (const cjob_t *j)
{
  if (j->phase >= GL_PHASE_COMPLETED)
    return j->phase;
  if (FAULT (FAULT_CELL_END_EARLY) && j->next_phase >= GL_PHASE_COMPLETED)
    return j->next_phase;
  return j->begun ? GL_PHASE_RUNNING : GL_PHASE_PENDING;
}

/* ---- state queries that wait for the write of the job's end ---- */

static gl_ms_t
end_wait_ms (const cell_t *c)
{
  double ms = c->usual_txn_ms * END_WAIT_FACTOR;

  if (FAULT (FAULT_CELL_END_WAIT_LONG))
    return CELL_TXN_TIMEOUT_MAX_MS;
  if (ms < END_WAIT_MIN_MS)
    return END_WAIT_MIN_MS;
  return ms > END_WAIT_MAX_MS ? END_WAIT_MAX_MS : (gl_ms_t)ms;
}

/* When the query is to be answered although the end is not written. */
static gl_ms_t
end_wait_until (const cell_t *c, const crequest_t *r)
{
  gl_ms_t until = c->now + end_wait_ms (c);

  if (r->deadline < until + CELL_REPLY_MARGIN_MS)
    until = r->deadline > CELL_REPLY_MARGIN_MS
                ? r->deadline - CELL_REPLY_MARGIN_MS
                : 0;
  return until < stop_answers_until (c) ? until : stop_answers_until (c);
}

/* Calls of the store that fail make it count as away at a known instant. */
static void
arm_end_wait (cell_t *c, gl_ms_t until)
{
  gl_ms_t down_at = c->store_answered_at + CELL_STORE_DOWN_MS + 1;

  if (c->store_failures && down_at < until)
    until = down_at;
  timer_arm_before (&c->timers, c->end_wait_timer, until);
}

/* Keeps the query until the job's end is written; 0 if it is to be answered
   now. */
static int
wait_for_end (cell_t *c, crequest_t *r, cjob_t *j)
{
  gl_ms_t until = end_wait_until (c, r);

  if (j->phase >= GL_PHASE_COMPLETED || j->next_phase < GL_PHASE_COMPLETED
      || until <= c->now || save_store_down (c)
      || tags_add (&j->end_waiters, r->tag))
    return 0;
  r->end_wait_until = until;
  r->known_phase = current_phase (j);
  arm_end_wait (c, until);
  return 1;
}

static void
answer_known_phase (cell_t *c, const crequest_t *r)
{
  cell_reply (c, r->tag, GL_OK, 0, r->known_phase, NULL);
}

void
request_end_wait_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;
  gl_ms_t next = TIMER_NEVER;

  /* An answer replaces the request by the last one, so walk from the end. */
  for (size_t i = c->nrequests; i-- > 0;)
    {
      const crequest_t *r = &c->requests[i];

      if (!r->end_wait_until)
        continue;
      if (now >= r->end_wait_until || save_store_down (c))
        answer_known_phase (c, r);
      else if (r->end_wait_until < next)
        next = r->end_wait_until;
    }
  if (next != TIMER_NEVER)
    arm_end_wait (c, next);
}

/* A state query is about to be answered with the job's end. */
static void
note_end_shown (cell_t *c, cjob_t *j)
{
  if (j->decided_at && !j->end_shown)
    hist_add (&c->end_spans[CSPAN_ANSWER], (double)(c->now - j->ended_at));
  j->end_shown = 1;
}

void
requests_end_written (cell_t *c, cjob_t *j)
{
  for (size_t i = 0; i < j->end_waiters.n; i++)
    {
      const crequest_t *r = find_request (c, j->end_waiters.v[i]);

      if (r && r->body.verb == GL_VERB_STATE)
        note_end_shown (c, j);
      cell_reply (c, j->end_waiters.v[i], GL_OK, 0, j->phase, NULL);
    }
  j->end_waiters.n = 0;
}

void
requests_end_unwritten (cell_t *c, const cjob_t *j)
{
  for (size_t i = 0; i < j->end_waiters.n; i++)
    {
      const crequest_t *r = find_request (c, j->end_waiters.v[i]);

      if (r && r->end_wait_until)
        answer_known_phase (c, r);
    }
}

static void
answer_state (cell_t *c, crequest_t *r)
{
  cjob_t *j = cjob_find (c, r->body.id);

  if (j && is_other_team (c, r, j->team))
    {
      answer_beside_other_team (c, r, j);
      return;
    }
  if (j && j->durable && wait_for_end (c, r, j))
    return;
  if (j && j->phase >= GL_PHASE_COMPLETED)
    note_end_shown (c, j);
  if (j && j->durable)
    cell_reply (c, r->tag, GL_OK, 0, current_phase (j), NULL);
  else if (j)
    tags_add (&j->accept_waiters, r->tag);
  else
    read_result (c, r);
}

static void
cancel (cell_t *c, crequest_t *r)
{
  cjob_t *j = cjob_find (c, r->body.id);

  if (!j)
    {
      read_result (c, r);
      return;
    }
  if (is_other_team (c, r, j->team))
    {
      answer_beside_other_team (c, r, j);
      return;
    }
  if (j->phase >= GL_PHASE_COMPLETED)
    {
      cell_reply (c, r->tag, GL_OK, 0, j->phase, NULL);
      return;
    }
  cell_log (c, "cancel id=%s bound_tasks=%d", j->id, j->nbound);
  tags_add (&j->end_waiters, r->tag);
  cjob_finish (c, j, GL_PHASE_CANCELLED);
}

void
request_result_read (cell_t *c, const cell_event_t *ev)
{
  crequest_t *r = find_request (c, ev->tag);
  gl_job_result_t result;

  if (!r)
    return;
  memset (&result, 0, sizeof result);
  if (ev->status == GL_ST_OK && ev->nitems
      && !codec_decode ((xdrproc_t)xdr_gl_job_result_t, &result,
                        ev->items[0].value, ev->items[0].len))
    {
      if (is_other_team (c, r, cjob_result_team (c, &ev->items[0])))
        refuse_other_team (c, r);
      else
        cell_reply (c, r->tag, GL_OK, 0, result.phase, NULL);
    }
  else if (c->role != CR_OWNER)
    return;
  else if (ev->status == GL_ST_ABSENT
           && c->now >= c->confirmed_at + CELL_HEARTBEAT_LOST_MS)
    {
      /* A successor may have accepted the job meanwhile. */
      own_confirm_now (c);
      r->dispatched = 0;
      r->retry_at = c->now + RETRY_PAUSE_MS;
    }
  else if (ev->status == GL_ST_ABSENT)
    cell_reply (c, r->tag, GL_NOT_FOUND, 0, 0, "no such job");
  else
    cell_reply (c, r->tag, GL_RETRY, CELL_RETRY_MS, 0, "the store is away");
}

static void
serve (cell_t *c, crequest_t *r)
{
  r->dispatched = 1;
  if (r->body.verb == GL_VERB_SUBMIT)
    submit (c, r);
  else if (r->body.verb == GL_VERB_STATE)
    answer_state (c, r);
  else
    cancel (c, r);
}

/* ---- requests at the other VMs ---- */

static void
forward (cell_t *c, crequest_t *r)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_FORWARD);

  if (!e || !(e->request = calloc (1, sizeof *e->request))
      || copy_request (&r->body, e->request))
    return;
  e->tag = r->tag;
  e->timeout = FORWARD_TIMEOUT_MS;
  cell_strcpy (e->key, c->ownership.addr);
  r->dispatched = 1;
  c->counters.forwards++;
}

/* Why nobody can serve the caller's request before its deadline, or NULL.
   While the store answers, a new owner may take over in time. */
static const char *
why_unserved (const cell_t *c)
{
  if (stop_nobody_can_own (c))
    return "all VMs are stopping";
  return reach_is_isolated (c) ? "neither owner nor store" : NULL;
}

/* 1 if the request is to be refused at once, because nobody can serve it.  A
   submission that an owner may have carried out is not refused. */
static int
cannot_be_served_soon (const cell_t *c, const crequest_t *r)
{
  /* Reading a state may be repeated anywhere, whoever has read it. */
  int is_repeatable = r->body.verb == GL_VERB_STATE;

  return c->role == CR_STANDBY && !r->from_peer && why_unserved (c)
         && (is_repeatable || (!r->maybe_taken && !r->dispatched));
}

static void
refuse_unserved (cell_t *c, const crequest_t *r)
{
  uint32_t retry_ms
      = stop_nobody_can_own (c) ? stop_retry_ms (c) : CELL_RETRY_MS;

  c->counters.no_owner++;
  cell_reply (c, r->tag, GL_RETRY, retry_ms, 0, why_unserved (c));
}

/* Serves the request if this VM owns the cell, else forwards or refuses it, or
   leaves it for the next tick. */
static void
route (cell_t *c, crequest_t *r)
{
  if (c->role == CR_OWNER)
    serve (c, r);
  else if (r->from_peer && c->role != CR_LOADING)
    cell_reply (c, r->tag, GL_NOT_OWNER, 0, 0, "not the owner");
  else if (cannot_be_served_soon (c, r))
    refuse_unserved (c, r);
  else if (c->role == CR_STANDBY && c->ownership_known
           && !c->ownership.released && strcmp (c->ownership.vm, c->vm)
           && !c->owner_refused_at && reach_owner_is_heard (c))
    forward (c, r);
}

/* Whether the request must be answered now: its caller's deadline is near, or
   the end of this process. */
static int
is_due (const cell_t *c, const crequest_t *r)
{
  return c->now + CELL_REPLY_MARGIN_MS >= r->deadline
         || c->now >= stop_answers_until (c);
}

static void
expire (cell_t *c, crequest_t *r)
{
  int maybe_done = r->maybe_taken || r->dispatched;
  int ending = c->now >= stop_answers_until (c);

  if (r->end_wait_until)
    {
      answer_known_phase (c, r);
      return;
    }
  if (r->body.verb == GL_VERB_SUBMIT && !maybe_done)
    {
      c->counters.no_owner++;
      cell_reply (c, r->tag, GL_RETRY,
                  ending && !stop_count_staying (c) ? stop_retry_ms (c)
                                                    : CELL_RETRY_MS,
                  0, ending ? "the process ends" : "no owner");
    }
  else
    cell_reply (c, r->tag, GL_UNKNOWN, 0, 0,
                ending ? "the process ends" : "no answer in time");
}

/* Refuse a request that was not added. */
static void
refuse_without_memory (cell_t *c, uint64_t tag)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_REPLY);

  cell_log (c, "request_dropped why=memory answered=%d", e != NULL);
  if (!e)
    return;
  e->tag = tag;
  e->reply.code = GL_RETRY;
  e->reply.retry_ms = CELL_RETRY_MS;
  e->reply.reason = strdup ("out of memory");
}

void
request_receive (cell_t *c, const cell_event_t *ev)
{
  crequest_t *r;

  if (c->nrequests == c->caprequests)
    {
      size_t cap = c->caprequests ? 2 * c->caprequests : 64;
      crequest_t *v = realloc (c->requests, cap * sizeof *v);

      if (!v)
        {
          refuse_without_memory (c, ev->tag);
          return;
        }
      c->requests = v;
      c->caprequests = cap;
    }
  r = &c->requests[c->nrequests];
  memset (r, 0, sizeof *r);
  if (copy_request (ev->request, &r->body))
    {
      refuse_without_memory (c, ev->tag);
      return;
    }
  c->nrequests++;
  r->tag = ev->tag;
  r->arrived_at = c->now;
  r->deadline = ev->deadline;
  r->from_peer = ev->from_peer;
  /* What another VM has forwarded here by mistake it may forward again. */
  if (is_due (c, r) && !(r->from_peer && c->role == CR_STANDBY))
    expire (c, r);
  else
    route (c, r);
}

void
request_forward_reply (cell_t *c, const cell_event_t *ev)
{
  crequest_t *r = find_request (c, ev->tag);

  if (!r)
    return;
  if (ev->call_code == GL_OK && ev->reply->code != GL_NOT_OWNER
      && ev->reply->code != GL_UNKNOWN)
    {
      cell_reply (c, r->tag, ev->reply->code, ev->reply->retry_ms,
                  ev->reply->phase, ev->reply->reason);
      return;
    }
  r->dispatched = 0;
  r->maybe_taken
      |= ev->call_code == GL_UNKNOWN
         || (ev->call_code == GL_OK && ev->reply->code == GL_UNKNOWN);
  r->retry_at = c->now + RETRY_PAUSE_MS;
}

void
request_owner_changed (cell_t *c)
{
  /* An answer replaces the request by the last one, so walk from the end. */
  for (size_t i = c->nrequests; i-- > 0;)
    {
      crequest_t *r = &c->requests[i];

      if (r->end_wait_until)
        {
          answer_known_phase (c, r);
          continue;
        }
      /* The former owner may have carried it out. */
      if (r->dispatched)
        {
          r->maybe_taken = 1;
          r->retry_at = c->now;
        }
      r->dispatched = 0;
      if (r->from_peer && r->maybe_taken)
        cell_reply (c, r->tag, GL_UNKNOWN, 0, 0, "the owner has changed");
      else
        route (c, r);
    }
}

void
request_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  for (size_t i = c->nrequests; i-- > 0;)
    {
      crequest_t *r = &c->requests[i];

      if (is_due (c, r)
          || (!r->dispatched && !r->maybe_taken
              && now - r->arrived_at > CELL_NO_OWNER_MS))
        expire (c, r);
      else if (cannot_be_served_soon (c, r))
        refuse_unserved (c, r);
      else if (!r->from_peer && stop_nobody_can_own (c)
               && now >= r->retry_at + LAST_ANSWER_MS)
        cell_reply (c, r->tag, GL_UNKNOWN, 0, 0, why_unserved (c));
      else if (!r->dispatched && now >= r->retry_at)
        route (c, r);
    }
  timer_arm (&c->timers, c->request_timer, now + TICK_MS);
}
