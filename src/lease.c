/*
 * lease.c -- the owner lease of the domain
 *
 * One record per domain in the key-value service names the owner and its
 * epoch.  The owner renews it by compare-and-swap; its lease counts from the
 * time at which it sent the last successful renewal.  A candidate compares
 * no clocks: it counts from the time at which it first saw the record's
 * present content, and claims the record with the next epoch once that
 * content has not changed for the length of the lease plus the drift margin.
 * The owner's lease began no later than the candidate's count, so it has
 * ended by then.  The record is never deleted; a planned stop marks it as
 * released, and the next candidate need not wait.
 *
 * The service's own leases are not used: the service's clock would decide
 * when they end, and neither owner nor candidate can observe that moment.
 */
#include "schedint.h"

#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Values of gl_owner_t.released. */
#define NOT_RELEASED 0
/* The next owner need not wait for the owner lease to end. */
#define RELEASED 1
/* In addition, no worker lease older than this owner's own is in force. */
#define RELEASED_CLEAN 2

/* Values of owner_lease_t.releasing: a release is to be sent; it has been
   sent. */
#define RELEASE_REQUESTED 1
#define RELEASE_SENT 2

int
lease_held (const gl_sched_t *s)
{
  if (s->role != ROLE_ACTIVE)
    return 0;
  return s->now < s->lease.end;
}

int
lease_may_renew_workers (const gl_sched_t *s)
{
  return s->role == ROLE_ACTIVE && s->now < s->lease.end + s->opts.grace
         && !s->lease.releasing;
}

static void
read_owner_record (gl_sched_t *s)
{
  s->lease.op_pending = 1;
  store_get (s, OP_OWNER_GET, "owner");
}

static void
write_owner_record (gl_sched_t *s, uint64_t epoch, int released)
{
  gl_owner_t o = { 0 };
  char *data;
  size_t len;

  s->lease.nonce++;
  o.epoch = epoch;
  o.renewals = s->lease.nonce;
  o.node = s->node;
  o.rpc = s->rpc;
  o.released = released;
  data = codec_encode ((xdrproc_t)xdr_gl_owner_t, &o, &len);
  if (!data)
    return;
  s->lease.op_pending = 1;
  s->lease.write_sent = s->now;
  store_cas (s, OP_OWNER_CAS, "owner", s->lease.index, data, len);
}

static void
claim_domain (gl_sched_t *s)
{
  s->role = ROLE_CLAIMING;
  s->lease.write_unknown = 0;
  s->lease.clean_handover
      = !s->lease.rec_epoch || s->lease.rec_released == RELEASED_CLEAN;
  s->epoch = s->lease.rec_epoch + 1;
  write_owner_record (s, s->epoch, NOT_RELEASED);
}

/* Whether there is no owner, or its lease has certainly ended. */
static int
is_claimable (const gl_sched_t *s)
{
  const owner_lease_t *l = &s->lease;
  gl_ms_t wait = s->opts.lease + drift_margin (s, s->opts.lease);

  if (!l->known)
    return 0;
  return l->rec_released || !l->rec_epoch || s->now >= l->first_seen + wait;
}

/* Whether the record read is the last one that this process sent. */
static int
is_own_write (const gl_sched_t *s)
{
  const owner_lease_t *l = &s->lease;

  return l->rec_epoch == s->epoch && l->rec_renewals == l->nonce;
}

void
lease_lost (gl_sched_t *s, const char *why)
{
  if (s->role == ROLE_ACTIVE)
    {
      s->counters.deposed++;
      sched_log (s, "no longer owner of %s at epoch %llu: %s", s->domain,
                 (unsigned long long)s->epoch, why);
    }
  /* Results of operations that are still outstanding are ignored. */
  s->generation++;
  s->lease.op_pending = 0;
  s->lease.end = 0;
  s->lease.known = 0;
  s->role = s->stopping ? ROLE_STOPPED : ROLE_STANDBY;
  journal_reset (s);
  snap_reset (s);
  policy_drop_reservation (s);
  jobs_clear (s);
  workers_reset (s);
  if (s->stopping)
    fx_add (s->fx, GL_FX_STOPPED);
  else
    timer_arm_before (&s->timers, s->t_lease,
                      s->now + s->opts.renew + jitter (s, s->opts.renew));
}

/* Tasks that were loaded as assigned count as running until their worker
   reports otherwise or its leases expire. */
void
lease_takeover_done (gl_sched_t *s)
{
  gl_ms_t span = s->opts.worker_lease;
  size_t pos = 0;
  handle_t h;

  /* An earlier owner may have gone on renewing worker leases for the grace
     time after its own lease ended. */
  if (!s->lease.clean_handover)
    span += s->opts.grace;
  span += drift_margin (s, span);
  for (int i = 0; i < s->nworkers; i++)
    s->workers[i].prior_lease_end = s->now + span;
  s->role = ROLE_ACTIVE;
  s->counters.takeovers++;
  hist_add (&s->takeover_time, (double)(s->now - s->takeover_start));
  while ((h = pool_next (&s->jobs, &pos)))
    {
      job_t *j = pool_get (&s->jobs, h);

      /* Stop jobs that the earlier owner was stopping, and gangs that run
         only in part. */
      if (j->canceled || j->gang_failed
          || (j->cls == GL_CLASS_GANG && j->live && j->waiting))
        for (uint32_t i = 0; i < j->ntasks; i++)
          task_stop (s, (task_handle_t){ h, i });
    }
  sched_log (s, "owner of %s at epoch %llu, commit %llu, %zu jobs", s->domain,
             (unsigned long long)s->epoch, (unsigned long long)s->journal.seq,
             s->jobs.count);
  timer_arm_before (&s->timers, s->t_workers, s->now);
  timer_arm_before (&s->timers, s->t_age, s->now);
  policy_schedule_pass (s);
}

/* The last write of the record has taken effect: the lease counts from the
   time at which it was sent. */
static void
write_succeeded (gl_sched_t *s)
{
  owner_lease_t *l = &s->lease;

  l->write_unknown = 0;
  l->end = l->write_sent + s->opts.lease;
  if (s->role == ROLE_CLAIMING)
    {
      s->role = ROLE_LOADING;
      s->takeover_start = s->now;
      journal_load (s);
    }
}

/* Remember the record that was read, and since when it is unchanged. */
static void
remember_record (gl_sched_t *s, const gl_event_t *ev)
{
  owner_lease_t *l = &s->lease;
  gl_owner_t o = { 0 };

  if (ev->u.store.status == GL_ST_ABSENT)
    {
      if (!l->known || l->index)
        l->first_seen = s->now;
      l->index = 0;
      l->rec_epoch = 0;
      l->rec_released = 0;
      l->known = 1;
      return;
    }
  if (codec_decode ((xdrproc_t)xdr_gl_owner_t, &o, ev->u.store.data,
                    ev->u.store.len))
    {
      sched_log (s, "owner record of %s cannot be decoded", s->domain);
      l->known = 0;
      return;
    }
  if (!l->known || l->index != ev->u.store.index)
    l->first_seen = s->now;
  l->index = ev->u.store.index;
  l->rec_epoch = o.epoch;
  l->rec_renewals = o.renewals;
  l->rec_released = o.released;
  l->known = 1;
  codec_free ((xdrproc_t)xdr_gl_owner_t, &o);
}

/* The record was read while this process owns the domain or claims it. */
static void
check_ownership (gl_sched_t *s)
{
  owner_lease_t *l = &s->lease;

  if (!l->known)
    return;
  if (is_own_write (s))
    write_succeeded (s);
  else if (s->role == ROLE_CLAIMING)
    s->role = ROLE_STANDBY;
  else if (l->rec_epoch > s->epoch)
    lease_lost (s, "a later epoch is written");
  /* Otherwise the last renewal was not written; the next one follows. */
  l->write_unknown = 0;
}

static void
on_record_read (gl_sched_t *s, const gl_event_t *ev)
{
  gl_store_status_t st = ev->u.store.status;

  if (st != GL_ST_OK && st != GL_ST_ABSENT)
    return;
  remember_record (s, ev);
  if (s->role != ROLE_STANDBY)
    check_ownership (s);
  else if (is_claimable (s) && !s->stopping)
    claim_domain (s);
}

static void
release_done (gl_sched_t *s)
{
  s->role = ROLE_STOPPED;
  sched_log (s, "released %s at epoch %llu", s->domain,
             (unsigned long long)s->epoch);
  fx_add (s->fx, GL_FX_STOPPED);
}

static void
on_record_written (gl_sched_t *s, const gl_event_t *ev)
{
  owner_lease_t *l = &s->lease;

  switch (ev->u.store.status)
    {
    case GL_ST_OK:
      l->index = ev->u.store.index;
      l->rec_epoch = s->epoch;
      l->rec_renewals = l->nonce;
      l->first_seen = s->now;
      if (l->releasing == RELEASE_SENT)
        release_done (s);
      else
        write_succeeded (s);
      break;
    case GL_ST_REFUSED:
      if (s->role == ROLE_CLAIMING)
        s->role = ROLE_STANDBY;
      break;
    default:
      /* Answer lost, or the index has changed: read the record to see. */
      l->write_unknown = 1;
      read_owner_record (s);
    }
}

void
lease_store_done (gl_sched_t *s, store_op_t op, const gl_event_t *ev)
{
  s->lease.op_pending = 0;
  if (op == OP_OWNER_GET)
    on_record_read (s, ev);
  else
    on_record_written (s, ev);
}

static void
send_release (gl_sched_t *s)
{
  s->lease.releasing = RELEASE_SENT;
  write_owner_record (s, s->epoch,
                      workers_leases_settled (s) ? RELEASED_CLEAN : RELEASED);
}

void
lease_release (gl_sched_t *s)
{
  if (s->lease.releasing)
    return;
  s->lease.releasing = RELEASE_REQUESTED;
  if (!s->lease.op_pending)
    send_release (s);
}

void
lease_poll (void *ctx, gl_ms_t now)
{
  gl_sched_t *s = ctx;
  owner_lease_t *l = &s->lease;

  if (s->role == ROLE_STOPPED)
    return;
  timer_arm (&s->timers, s->t_lease,
             now + s->opts.renew * 3 / 4 + jitter (s, s->opts.renew / 4));
  if (l->op_pending)
    return;
  if (s->role == ROLE_STANDBY || l->write_unknown)
    read_owner_record (s);
  else if (l->releasing)
    send_release (s);
  else
    write_owner_record (s, s->epoch, NOT_RELEASED);
}
