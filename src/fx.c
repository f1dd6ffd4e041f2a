/*
 * fx.c -- the list of scheduler effects, and helpers that append to it
 */
#include "schedint.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *
gl_code_name (gl_code_t code)
{
  static const char *const names[]
      = { "ok",        "retry",   "invalid",       "infeasible", "not_found",
          "not_owner", "unknown", "out_of_memory", "conflict" };
  int i = -code;

  if (i < 0 || i >= (int)(sizeof names / sizeof *names))
    return "error";
  return names[i];
}

gl_effect_t *
fx_add (gl_effects_t *fx, gl_fx_kind_t kind)
{
  gl_effect_t *e;

  if (fx->n == fx->cap)
    {
      size_t cap = fx->cap ? 2 * fx->cap : 32;
      gl_effect_t *v = realloc (fx->v, cap * sizeof *v);
      if (!v)
        return NULL;
      fx->v = v;
      fx->cap = cap;
    }
  e = &fx->v[fx->n++];
  memset (e, 0, sizeof *e);
  e->kind = kind;
  return e;
}

void
gl_effects_clear (gl_effects_t *fx)
{
  for (size_t i = 0; i < fx->n; i++)
    free (fx->v[i].data);
  fx->n = 0;
}

void
gl_effects_free (gl_effects_t *fx)
{
  gl_effects_clear (fx);
  free (fx->v);
  memset (fx, 0, sizeof *fx);
}

void
sched_log (gl_sched_t *s, const char *fmt, ...)
{
  gl_effect_t *e = fx_add (s->fx, GL_FX_LOG);
  va_list ap;

  if (!e)
    return;
  va_start (ap, fmt);
  vsnprintf (e->u.log, sizeof e->u.log, fmt, ap);
  va_end (ap);
}

void
sched_answer (gl_sched_t *s, uint64_t token, gl_code_t code, uint64_t job,
              gl_ms_t retry_after, const char *reason)
{
  gl_effect_t *e;

  if (!token)
    return;
  e = fx_add (s->fx, GL_FX_ANSWER);
  if (!e)
    return;
  e->u.answer.token = token;
  e->u.answer.code = code;
  e->u.answer.job = job;
  e->u.answer.retry_after = retry_after;
  e->u.answer.reason = reason;
  if (retry_after)
    s->counters.told_retry++;
}

static gl_effect_t *
store_fx (gl_sched_t *s, gl_fx_kind_t kind, store_op_t op, const char *key)
{
  gl_effect_t *e = fx_add (s->fx, kind);

  if (!e)
    return NULL;
  s->counters.store_calls++;
  /* Results whose generation is no longer the current one are ignored. */
  e->u.store.tag = (s->generation << 8) | (uint32_t)op;
  snprintf (e->u.store.key, sizeof e->u.store.key, "gl/%s/%s", s->domain, key);
  return e;
}

void
store_get (gl_sched_t *s, store_op_t op, const char *key)
{
  store_fx (s, GL_FX_STORE_GET, op, key);
}

void
store_cas (gl_sched_t *s, store_op_t op, const char *key, uint64_t index,
           char *data, size_t len)
{
  gl_effect_t *e = store_fx (s, GL_FX_STORE_CAS, op, key);

  if (!e)
    {
      free (data);
      return;
    }
  e->u.store.index = index;
  e->data = data;
  e->len = len;
}

gl_ms_t
drift_margin (const gl_sched_t *s, gl_ms_t span)
{
  /* drift_ppm bounds the rate error of one clock; two clocks may diverge at
     twice that rate. */
  return LEASE_MARGIN_MS + 1 + span * s->opts.drift_ppm * 2 / 1000000;
}

gl_ms_t
jitter (gl_sched_t *s, gl_ms_t span)
{
  return span ? gsl_rng_uniform_int (s->rng, span) : 0;
}
