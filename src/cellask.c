/*
 * cellask.c -- callers' requests: submit, state, cancel
 *
 * Any VM takes a request; the owner answers it.  A request is forwarded
 * again when its owner is gone: an id names one job, so a submission may be
 * repeated.  What certainly was not taken is refused with a time to come
 * back; what may have been taken gets no such answer.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

#define TICK_MS 50
/* Pause before a request is forwarded again. */
#define AGAIN_MS 40
/* Bound on a peer's answer. */
#define FORWARD_MS 2500

static crequest_t *
find (cell_t *c, uint64_t tag)
{
  for (size_t i = 0; i < c->nrequests; i++)
    if (c->requests[i].tag == tag)
      return &c->requests[i];
  return NULL;
}

void
cell_tell (cell_t *c, uint64_t tag, gl_code_t code, uint32_t retry_ms,
           gl_phase_t phase, const char *reason)
{
  crequest_t *r = find (c, tag);
  cell_effect_t *e;

  if (!r)
    return;
  /* An earlier owner may have taken it: "not run" would not be certain. */
  if (code == GL_RETRY && r->sent && r->ask.verb == GL_VERB_SUBMIT)
    code = GL_UNKNOWN;
  e = cell_fx (c, CELL_FX_TELL);
  if (e)
    {
      e->tag = tag;
      e->tell.code = code;
      e->tell.retry_ms = retry_ms;
      e->tell.phase = phase;
      e->tell.reason = strdup (reason ? reason : "");
    }
  if (code != GL_OK && !r->forwarded)
    cell_log (c, "answer id=%s verb=%d code=%s retry_ms=%u age_ms=%llu why=%s",
              r->ask.id, r->ask.verb, gl_code_name (code), retry_ms,
              (unsigned long long)(c->now - r->arrived),
              reason ? reason : "-");
  codec_free ((xdrproc_t)xdr_gl_ask_t, &r->ask);
  *r = c->requests[--c->nrequests];
}

/* ---- at the owner ---- */

static int
copy_ask (const gl_ask_t *from, gl_ask_t *to)
{
  size_t len;
  char *data = codec_encode ((xdrproc_t)xdr_gl_ask_t, from, &len);
  int rc = -1;

  memset (to, 0, sizeof *to);
  if (data)
    rc = codec_decode ((xdrproc_t)xdr_gl_ask_t, to, data, len);
  free (data);
  return rc;
}

static const char *
why_invalid (const cell_t *c, const gl_work_t *w)
{
  int known = 0;

  for (int i = 0; i < c->conf.nqueues; i++)
    known |= !strcmp (c->conf.queues[i].name, w->queue);
  if (!known)
    return "no such queue";
  if (!w->steps.steps_len || strlen (w->id) > 16)
    return "malformed";
  for (u_int i = 0; i < w->steps.steps_len; i++)
    {
      const gl_step_t *s = &w->steps.steps_val[i];

      if (!s->count || s->count > GL_STEP_TASKS_MAX)
        return "malformed step";
      for (u_int k = 0; k < s->after.after_len; k++)
        if (s->after.after_val[k] >= i)
          return "a step may only follow earlier ones";
    }
  return NULL;
}

/* An outage that has lasted for some time is likely to last as long again;
   callers come back spread over a second. */
static uint32_t
store_retry_ms (cell_t *c)
{
  gl_ms_t age = c->now - c->store_heard;

  if (age < CELL_RETRY_MS)
    age = CELL_RETRY_MS;
  if (age > CELL_RETRY_MAX_MS)
    age = CELL_RETRY_MAX_MS;
  return (uint32_t)age + (uint32_t)gsl_rng_uniform_int (c->rng, CELL_RETRY_MS);
}

static void
submit (cell_t *c, crequest_t *r)
{
  cjob_t *j = job_named (c, r->ask.id);
  const char *why;
  gl_ask_t copy;

  if (j && j->durable)
    {
      cell_tell (c, r->tag, GL_OK, 0, j->phase, NULL);
      return;
    }
  if (j)
    {
      tags_add (&j->waiters, r->tag);
      return;
    }
  if (save_away (c))
    {
      c->c.refused++;
      cell_tell (c, r->tag, GL_RETRY, store_retry_ms (c), 0,
                 "the store takes no writes");
      return;
    }
  why = r->ask.work ? why_invalid (c, r->ask.work) : "malformed";
  if (why)
    {
      cell_tell (c, r->tag, GL_INVALID, 0, 0, why);
      return;
    }
  /* The request keeps its own, for the case that the owner changes. */
  j = copy_ask (&r->ask, &copy) ? NULL : cjob_new (c, copy.work);
  codec_free ((xdrproc_t)xdr_gl_ask_t, &copy);
  if (!j)
    {
      cell_tell (c, r->tag, GL_RETRY, CELL_RETRY_MS, 0, "out of memory");
      return;
    }
  j->work.accepted_ms = c->wall;
  tags_add (&j->waiters, r->tag);
  if (FAULT (FAULT_CELL_ACCEPT_EARLY))
    cell_tell (c, r->tag, GL_OK, 0, j->phase, NULL);
  save_job (c, j, 1);
  /* Consulting the advisor need not wait for the store; starting does. */
  cjob_open (c, j);
}

static void
read_final (cell_t *c, const crequest_t *r)
{
  cell_effect_t *e = cell_fx (c, CELL_FX_READ);

  if (!e)
    return;
  e->tag = r->tag;
  e->timeout = CELL_TXN_MS;
  snprintf (e->key, sizeof e->key, "gl/d/%s", r->ask.id);
}

static gl_phase_t
phase_of (const cjob_t *j)
{
  if (j->phase >= GL_PHASE_COMPLETED)
    return j->phase;
  return j->begun ? GL_PHASE_RUNNING : GL_PHASE_PENDING;
}

static void
state (cell_t *c, crequest_t *r)
{
  cjob_t *j = job_named (c, r->ask.id);

  if (j && j->durable)
    cell_tell (c, r->tag, GL_OK, 0, phase_of (j), NULL);
  else if (j)
    tags_add (&j->waiters, r->tag);
  else
    read_final (c, r);
}

static void
cancel (cell_t *c, crequest_t *r)
{
  cjob_t *j = job_named (c, r->ask.id);

  if (!j)
    {
      read_final (c, r);
      return;
    }
  if (j->phase >= GL_PHASE_COMPLETED)
    {
      cell_tell (c, r->tag, GL_OK, 0, j->phase, NULL);
      return;
    }
  cell_log (c, "cancel id=%s live=%d", j->id, j->live);
  tags_add (&j->enders, r->tag);
  cjob_finish (c, j, GL_PHASE_CANCELLED);
}

void
ask_read (cell_t *c, const cell_event_t *ev)
{
  crequest_t *r = find (c, ev->tag);
  gl_final_t f;

  if (!r)
    return;
  memset (&f, 0, sizeof f);
  if (ev->status == GL_ST_OK && ev->nitems
      && !codec_decode ((xdrproc_t)xdr_gl_final_t, &f, ev->items[0].value,
                        ev->items[0].len))
    cell_tell (c, r->tag, GL_OK, 0, f.phase, NULL);
  else if (ev->status == GL_ST_ABSENT)
    cell_tell (c, r->tag, GL_NOT_FOUND, 0, 0, "no such job");
  else
    cell_tell (c, r->tag, GL_RETRY, CELL_RETRY_MS, 0, "the store is away");
}

static void
serve (cell_t *c, crequest_t *r)
{
  r->out = 1;
  if (r->ask.verb == GL_VERB_SUBMIT)
    submit (c, r);
  else if (r->ask.verb == GL_VERB_STATE)
    state (c, r);
  else
    cancel (c, r);
}

/* ---- at the others ---- */

static void
forward (cell_t *c, crequest_t *r)
{
  cell_effect_t *e = cell_fx (c, CELL_FX_FORWARD);

  if (!e || !(e->ask = calloc (1, sizeof *e->ask))
      || copy_ask (&r->ask, e->ask))
    return;
  e->tag = r->tag;
  e->timeout = FORWARD_MS;
  cell_set (e->key, c->tenure.addr);
  r->out = 1;
  c->c.forwards++;
}

/* Without an owner one may take over within the time that a request waits;
   without the store as well that cannot be expected. */
static int
is_hopeless (const cell_t *c, const crequest_t *r)
{
  return c->role == CR_STANDBY && r->ask.verb == GL_VERB_SUBMIT && !r->sent
         && !r->forwarded && c->leased_at && !c->leased
         && c->now - c->leased_at > CELL_RETRY_MS;
}

/* Whether the request can be brought to an owner now. */
static void
route (cell_t *c, crequest_t *r)
{
  if (c->role == CR_OWNER)
    serve (c, r);
  else if (r->forwarded && c->role != CR_LOADING)
    cell_tell (c, r->tag, GL_NOT_OWNER, 0, 0, "not the owner");
  else if (c->role == CR_STANDBY && c->tenure_known && !c->tenure.released
           && strcmp (c->tenure.vm, c->vm) && !c->owner_refused)
    forward (c, r);
  else if (is_hopeless (c, r))
    {
      c->c.no_owner++;
      cell_tell (c, r->tag, GL_RETRY, store_retry_ms (c), 0,
                 "neither owner nor store");
    }
}

void
ask_take (cell_t *c, const cell_event_t *ev)
{
  crequest_t *r;

  if (c->nrequests == c->caprequests)
    {
      size_t cap = c->caprequests ? 2 * c->caprequests : 64;
      crequest_t *v = realloc (c->requests, cap * sizeof *v);

      if (!v)
        return;
      c->requests = v;
      c->caprequests = cap;
    }
  r = &c->requests[c->nrequests];
  memset (r, 0, sizeof *r);
  if (copy_ask (ev->ask, &r->ask))
    return;
  c->nrequests++;
  r->tag = ev->tag;
  r->arrived = c->now;
  r->deadline = ev->deadline;
  r->forwarded = ev->forwarded;
  route (c, r);
}

void
ask_told (cell_t *c, const cell_event_t *ev)
{
  crequest_t *r = find (c, ev->tag);

  if (!r)
    return;
  if (ev->sent == GL_OK && ev->tell->code != GL_NOT_OWNER
      && ev->tell->code != GL_UNKNOWN)
    {
      cell_tell (c, r->tag, ev->tell->code, ev->tell->retry_ms,
                 ev->tell->phase, ev->tell->reason);
      return;
    }
  r->out = 0;
  r->sent |= ev->sent == GL_UNKNOWN
             || (ev->sent == GL_OK && ev->tell->code == GL_UNKNOWN);
  r->retry_at = c->now + AGAIN_MS;
}

void
ask_owner_changed (cell_t *c)
{
  /* Answers remove requests, so the table is walked from its end. */
  for (size_t i = c->nrequests; i-- > 0;)
    {
      crequest_t *r = &c->requests[i];

      /* A former owner may have written what it was asked to. */
      if (r->out)
        r->sent = 1;
      r->out = 0;
      if (r->forwarded && r->sent)
        cell_tell (c, r->tag, GL_UNKNOWN, 0, 0, "the owner has changed");
      else
        route (c, r);
    }
}

static void
expire (cell_t *c, crequest_t *r)
{
  int taken = r->sent || r->out;

  if (r->ask.verb == GL_VERB_SUBMIT && !taken)
    {
      c->c.no_owner++;
      cell_tell (c, r->tag, GL_RETRY, CELL_RETRY_MS, 0, "no owner");
    }
  else
    cell_tell (c, r->tag, GL_UNKNOWN, 0, 0, "no answer in time");
}

void
ask_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  for (size_t i = c->nrequests; i-- > 0;)
    {
      crequest_t *r = &c->requests[i];

      if (now + CELL_ANSWER_SLACK_MS >= r->deadline
          || (!r->out && !r->sent && now - r->arrived > CELL_OWNERLESS_MS))
        expire (c, r);
      else if (!r->out && now >= r->retry_at)
        route (c, r);
    }
  timer_arm (&c->timers, c->t_ask, now + TICK_MS);
}
