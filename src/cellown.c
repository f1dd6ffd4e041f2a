/*
 * cellown.c -- which VM owns the cell
 *
 * The ownership record in the store names the owner and counts generations.
 * It is changed by compare-and-swap only.  Every transaction of an owner
 * checks the record's revision, so a former owner cannot write, and workers
 * refuse calls of former owners by their fencing tokens, which are the
 * CELL_TOKENS numbers up to the generation.  Safety rests on these two checks
 * alone; the rules below for when a standby claims the cell only affect how
 * soon it has an owner again.
 *
 * A standby claims the cell
 *   - when the owner has released it,
 *   - when the owner's address refuses connections,
 *   - when the owner's leased key is gone and no heartbeat has arrived for a
 *     while,
 *   - when that key stays away although heartbeats arrive: the owner cannot
 *     write to the store, or
 *   - when the owner's heartbeats say that the store does not answer it.
 *
 * The winner loads workers, jobs and task records from the store, and then
 * takes a census of the workers; see cellcensus.c.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Keys of the store: the latest generation whose owner completed its census,
   and what an owner that releases the cell leaves to its successor. */
#define KEY_CENSUS "gl/m/settled"
#define KEY_HANDOVER "gl/m/handover"
/* Standbys wait a random part of this before they claim, so that most see the
   first claim succeed and make none. */
#define CLAIM_JITTER_MS 60
#define CLAIM_TIMEOUT_MS 1500
/* Short enough that a release is repeated before the process ends. */
#define RELEASE_TIMEOUT_MS 400
/* The tag of a heartbeat is the time at which it is sent times this, plus the
   index of the VM. */
#define HEARTBEAT_TAG_VMS 65536
/* Bytes of a heartbeat and its acknowledgement. */
#define HEARTBEAT_BYTES 196
/* Pause before a release that was refused, or got no answer, is sent again. */
#define RELEASE_RETRY_MS 100
#define TICK_MS 50
/* Heartbeats are still sent to a VM whose key has gone, for this long: it may
   have lost only the store. */
#define GONE_VM_HEARTBEAT_MS 30000
/* A VM whose key has gone may have registered again without notice to an owner
   that is cut off, for this long after the last heartbeat to it. */
#define GONE_VM_MAY_CLAIM_MS (GONE_VM_HEARTBEAT_MS + 2 * CELL_RENEW_OUTAGE_MS)
#define PAGE_TIMEOUT_MS 500
/* No consultation goes through a VM for this long after it refused a
   connection. */
#define PEER_AVOID_MS 1000

/* Prefixes that a new owner reads, in this order: workers, jobs, and the task
   records of jobs. */
static const char *const load_order[] = { "gl/w/", "gl/j/", "gl/p/", NULL };

static void load_begin (cell_t *c);

/* ---- keys below gl/m/ ---- */

static void
apply_ownership_record (cell_t *c, const cell_item_t *item)
{
  gl_ownership_t record;
  int new_generation;

  memset (&record, 0, sizeof record);
  if (item->revision <= c->ownership_rev)
    return;
  if (codec_decode ((xdrproc_t)xdr_gl_ownership_t, &record, item->value,
                    item->len))
    {
      cell_log (c, "ownership_unreadable revision=%llu",
                (unsigned long long)item->revision);
      return;
    }
  new_generation = record.generation != c->ownership.generation;
  codec_free ((xdrproc_t)xdr_gl_ownership_t, &c->ownership);
  c->ownership = record;
  c->ownership_rev = item->revision;
  c->ownership_known = 1;
  if (record.released)
    former_released (c, record.generation);
  if (!new_generation)
    return;
  c->owner_refused_at = 0;
  c->owner_storeless_at = 0;
  c->owner_since = c->now;
  c->heartbeat_at = c->now;
  c->owner_key_lost_at = c->now;
  if ((c->role == CR_OWNER || c->role == CR_LOADING)
      && record.generation > c->generation)
    own_step_down (c, "another owner");
  cell_log (c, "owner_is vm=%s generation=%llu revision=%llu", record.vm,
            (unsigned long long)record.generation,
            (unsigned long long)item->revision);
  request_owner_changed (c);
}

void
own_key_changed (cell_t *c, const cell_event_t *ev)
{
  const cell_item_t *item = ev->items;

  if (!strcmp (item->key, KEY_OWNERSHIP) && !ev->removed)
    apply_ownership_record (c, item);
  else if (!strcmp (item->key, KEY_CENSUS) && !ev->removed && item->value)
    {
      c->census_generation = strtoull (item->value, NULL, 10);
      former_census_complete (c, c->census_generation);
    }
  else if (!strncmp (item->key, KEY_CLAIM, strlen (KEY_CLAIM)) && !ev->removed)
    former_claim_changed (c, item);
  else if (!strncmp (item->key, KEY_PROCESS, strlen (KEY_PROCESS))
           && !ev->removed)
    member_process_changed (c, item);
  else if (!strcmp (item->key, KEY_HANDOVER) && !ev->removed)
    census_learn_handover (c, item);
  else if (!strcmp (item->key, KEY_OWNER))
    {
      if (c->owner_key_present && ev->removed)
        c->owner_key_lost_at = c->now;
      c->owner_key_present = !ev->removed;
      if (ev->removed && c->role == CR_OWNER)
        c->keys_lost = 1;
    }
  else if (!strncmp (item->key, KEY_VM, strlen (KEY_VM)))
    member_vm_changed (c, item, ev->removed);
}

void
own_members_synced (cell_t *c)
{
  if (!c->members_synced)
    c->owner_key_lost_at = c->now;
  c->members_synced = 1;
}

/* ---- claims ---- */

void
own_add_fence (const cell_t *c, cell_txn_t *txn)
{
  cell_item_t *i = &txn->checks[txn->nchecks++];

  if (FAULT (FAULT_CELL_NO_FENCE) && c->role == CR_OWNER)
    {
      txn->nchecks--;
      return;
    }
  cell_strcpy (i->key, KEY_OWNERSHIP);
  i->revision = c->ownership_rev;
}

const cell_item_t *
own_conflicting_item (const cell_event_t *ev, const char *key)
{
  for (int i = 0; i < ev->nitems; i++)
    if (!strcmp (ev->items[i].key, key) && ev->items[i].revision)
      return &ev->items[i];
  return NULL;
}

int
own_fence_failed (const cell_t *c, const cell_event_t *ev)
{
  const cell_item_t *item = own_conflicting_item (ev, KEY_OWNERSHIP);

  return item && item->revision != c->ownership_rev;
}

static int
write_ownership (cell_t *c, uint64_t generation, int released, uint64_t *tag)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_TXN);
  gl_ownership_t record = { generation, c->vm, c->addr, released };
  gl_claim_t claim = { generation, c->process, c->addr };
  cell_put_t *p;

  if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
    return -1;
  *tag = e->tag = cell_new_tag (c);
  e->timeout = released ? RELEASE_TIMEOUT_MS : CLAIM_TIMEOUT_MS;
  own_add_fence (c, e->txn);
  p = &e->txn->puts[e->txn->nputs++];
  cell_strcpy (p->key, KEY_OWNERSHIP);
  p->value = codec_encode ((xdrproc_t)xdr_gl_ownership_t, &record, &p->len);
  p = &e->txn->puts[e->txn->nputs++];
  cell_strcpy (p->key, KEY_OWNER);
  if (released)
    {
      p = &e->txn->puts[e->txn->nputs++];
      cell_strcpy (p->key, KEY_HANDOVER);
      p->value = census_handover (c, &p->len);
      return 0;
    }
  p->value = strdup (c->vm);
  p->len = strlen (c->vm);
  p->leased = 1;
  p = &e->txn->puts[e->txn->nputs++];
  former_claim_key (generation, p->key);
  p->value = codec_encode ((xdrproc_t)xdr_gl_claim_t, &claim, &p->len);
  return 0;
}

/* The reason to claim the cell now, or NULL. */
static const char *
why_claim (const cell_t *c)
{
  gl_ms_t silent_ms = c->now - c->heartbeat_at;

  if (!c->ownership_known)
    return "first";
  if (c->ownership.released)
    return "released";
  if (!strcmp (c->ownership.vm, c->vm))
    return "restarted";
  if (c->now - c->lease_held_since < CELL_STORE_CONTACT_MS)
    return NULL;
  if (c->owner_refused_at
      && c->now - c->owner_refused_at < CELL_STORE_CONTACT_MS
      && silent_ms > CELL_HEARTBEAT_MS)
    return "refused";
  if (c->owner_storeless_at
      && c->now - c->owner_storeless_at < CELL_HEARTBEAT_LOST_MS
      && c->now - c->owner_since > CELL_OWNER_MIN_MS
      && c->now - c->lease_renewed_at < CELL_OWNER_STORE_LOST_MS)
    return "owner_without_store";
  if (c->owner_key_present)
    return NULL;
  if (silent_ms > CELL_HEARTBEAT_LOST_MS)
    return "silent";
  if (c->now - c->owner_key_lost_at > CELL_OWNER_KEY_LOST_MS)
    return "cannot_write";
  return NULL;
}

int
cell_may_claim (const cell_t *c)
{
  return c->role == CR_STANDBY && stop_may_claim (c) && c->members_synced
         && c->workers_synced && c->lease_held && c->conf.version
         && c->now >= c->claim_not_before;
}

static void
try_claim (cell_t *c)
{
  const char *why;

  if (!cell_may_claim (c))
    return;
  why = why_claim (c);
  if (!why)
    {
      c->claim_at = 0;
      return;
    }
  if (!c->claim_at)
    c->claim_at = c->now + gsl_rng_uniform_int (c->rng, CLAIM_JITTER_MS);
  /* Stronger VMs may have registered since the claim became due. */
  if (c->now < c->claim_at
                   + yield_claim_delay_ms (c->vms, c->nvms, c->ownership.vm,
                                           c->limits.cpu_m))
    return;
  c->claim_at = 0;
  c->generation = c->ownership.generation + CELL_TOKENS;
  cell_log (c, "claim why=%s generation=%llu silent_ms=%llu", why,
            (unsigned long long)c->generation,
            (unsigned long long)(c->now - c->heartbeat_at));
  c->claim_sent_at = c->now;
  /* The claim may be reported by the watch before it is answered. */
  c->handed_over = c->ownership_known && c->ownership.released
                   && c->handover.generation == c->ownership.generation;
  if (!write_ownership (c, c->generation, 0, &c->claim_tag))
    c->role = CR_CLAIMING;
}

static void
claim_won (cell_t *c, uint64_t revision)
{
  gl_claim_t claim = { c->generation, c->process, c->addr };

  former_claimed (c, &claim, revision);
  codec_free ((xdrproc_t)xdr_gl_ownership_t, &c->ownership);
  c->ownership.generation = c->generation;
  c->ownership.vm = strdup (c->vm);
  c->ownership.addr = strdup (c->addr);
  c->ownership.released = 0;
  c->ownership_rev = revision;
  c->ownership_known = 1;
  c->role = CR_LOADING;
  yield_reset (&c->yield);
  c->takeover_at = c->now;
  c->confirmed_at = c->claim_sent_at;
  c->store_answered_at = c->now;
  c->counters.takeovers++;
  cell_log (c, "claimed generation=%llu revision=%llu",
            (unsigned long long)c->generation, (unsigned long long)revision);
  cworkers_take_over (c, c->handed_over ? CELL_LEASE_LASTS_MS
                                        : former_lease_ms (c));
  load_begin (c);
}

/* Confirms the ownership by a transaction without writes.  Workers' leases are
   renewed only for a while after the last confirmation, and other transactions
   may be too rare to provide it. */
static void
send_confirm (cell_t *c)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_TXN);

  if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
    return;
  c->confirm_tag = e->tag = cell_new_tag (c);
  c->confirm_sent_at = c->now;
  e->timeout = CELL_CONFIRM_MS + flow_backlog (c);
  own_add_fence (c, e->txn);
}

void
own_confirm_now (cell_t *c)
{
  if (c->role == CR_OWNER && !c->confirm_tag)
    send_confirm (c);
}

static void
confirm_result (cell_t *c, const cell_event_t *ev)
{
  c->confirm_tag = 0;
  if (ev->status == GL_ST_OK)
    {
      c->store_failures = 0;
      own_confirmed (c, c->confirm_sent_at);
      save_store_answered (c, c->confirm_sent_at);
    }
  else if (ev->status == GL_ST_CONFLICT && c->role == CR_OWNER)
    own_step_down (c, "fenced by the store");
  else
    {
      c->store_failures++;
      request_end_wait_tick (c, c->now);
    }
}

void
own_confirmed (cell_t *c, gl_ms_t sent)
{
  if (sent > c->confirmed_at)
    c->confirmed_at = sent;
}

/* Whether the owner sends heartbeats to the VM, if not prevented. */
static int
gets_heartbeats (const cell_t *c, const cvm_t *v)
{
  return (v->registered || c->now <= v->unregistered_at + GONE_VM_HEARTBEAT_MS)
         && strcmp (v->vm, c->vm);
}

/* Whether some VM may reach the store, and so may claim the cell. */
static int
some_vm_can_claim (const cell_t *c)
{
  for (int i = 0; i < c->nvms; i++)
    {
      const cvm_t *v = &c->vms[i];

      if (strcmp (v->vm, c->vm)
          && (v->registered
              || c->now <= v->unregistered_at + GONE_VM_MAY_CLAIM_MS)
          && (c->now > v->asked_at + CELL_STORE_WORD_MS
              || v->store_age_ms < CELL_OWNER_STORE_LOST_MS))
        return 1;
    }
  return 0;
}

int
own_may_renew (const cell_t *c)
{
  gl_ms_t age_ms = c->now - c->confirmed_at;

  return age_ms < CELL_RENEW_GRACE_MS
         || (age_ms < CELL_RENEW_OUTAGE_MS && !some_vm_can_claim (c));
}

uint32_t
cell_store_age_ms (const cell_t *c, uint64_t generation)
{
  gl_ms_t age_ms = c->now - c->store_answered_at;

  /* This VM counts on the short time of an owner that was succeeded. */
  if (!c->members_synced || c->ownership.generation > generation)
    return 0;
  return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

/* A claim may be delivered twice; the second copy then conflicts with the
   first.  Returns the revision that our own claim got, or 0 if the conflict is
   with another VM's. */
static uint64_t
find_own_claim (const cell_t *c, const cell_event_t *ev)
{
  gl_ownership_t record;
  uint64_t revision = 0;

  for (int i = 0; i < ev->nitems; i++)
    {
      const cell_item_t *item = &ev->items[i];

      memset (&record, 0, sizeof record);
      if (strcmp (item->key, KEY_OWNERSHIP) || !item->value
          || codec_decode ((xdrproc_t)xdr_gl_ownership_t, &record, item->value,
                           item->len))
        continue;
      if (record.generation == c->generation && !record.released
          && !strcmp (record.vm, c->vm) && item->revision > c->ownership_rev)
        revision = item->revision;
      codec_free ((xdrproc_t)xdr_gl_ownership_t, &record);
    }
  return revision;
}

/* While a release has not been carried out, this VM's key keeps others from
   claiming the cell, so it is sent again until its outcome is known.  After a
   refusal the owner goes on in the meantime; once a release got no answer it
   does not, since that one may still be carried out. */
static void
release_result (cell_t *c, gl_store_status_t status)
{
  c->release_tag = 0;
  cell_log (c, "released status=%d", status);
  if (status == GL_ST_OK || status == GL_ST_CONFLICT)
    {
      c->counters.yields += !c->stop.stopping;
      own_step_down (c, "released");
      c->claim_not_before = c->now + 2 * CELL_CLAIM_BACKOFF_MS;
      return;
    }
  c->release_after = c->now + RELEASE_RETRY_MS;
  c->release_unanswered |= status == GL_ST_UNKNOWN;
  if (!c->release_unanswered)
    c->releasing = 0;
}

void
own_txn_result (cell_t *c, const cell_event_t *ev)
{
  uint64_t revision = 0;

  if (ev->status == GL_ST_OK)
    c->store_answered_at = c->now;
  if (ev->tag == c->confirm_tag && c->confirm_tag)
    {
      confirm_result (c, ev);
      return;
    }
  if (member_txn_result (c, ev) || save_txn_result (c, ev)
      || enrol_txn_result (c, ev) || records_txn_result (c, ev))
    return;
  if (ev->tag == c->release_tag && c->release_tag)
    {
      release_result (c, ev->status);
      return;
    }
  if (ev->tag != c->claim_tag || c->role != CR_CLAIMING)
    return;
  c->claim_tag = 0;
  if (ev->status == GL_ST_OK || (revision = find_own_claim (c, ev)))
    {
      claim_won (c, revision ? revision : ev->revision);
      return;
    }
  c->role = CR_STANDBY;
  c->claim_not_before
      = c->now + gsl_rng_uniform_int (c->rng, CELL_CLAIM_BACKOFF_MS / 4) + 50;
  cell_log (c, "claim_lost generation=%llu status=%d",
            (unsigned long long)c->generation, ev->status);
  for (int i = 0; i < ev->nitems; i++)
    if (!strcmp (ev->items[i].key, KEY_OWNERSHIP) && ev->items[i].value)
      apply_ownership_record (c, &ev->items[i]);
}

/* ---- taking over ---- */

static void
request_page (cell_t *c, const char *after)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_PAGE);

  if (!e)
    return;
  c->load_tag = e->tag = cell_new_tag (c);
  e->timeout = PAGE_TIMEOUT_MS;
  cell_strcpy (e->key, c->load_prefix);
  cell_strcpy (e->after_key, after);
}

static void
load_begin (cell_t *c)
{
  cell_strcpy (c->load_prefix, load_order[0]);
  request_page (c, "");
}

static void
load_job (cell_t *c, const cell_item_t *item)
{
  gl_cell_job_t spec;
  size_t used;
  cjob_t *j;

  memset (&spec, 0, sizeof spec);
  if (codec_decode ((xdrproc_t)xdr_gl_cell_job_t, &spec, item->value,
                    item->len))
    {
      cell_log (c, "job_unreadable key=%s", item->key);
      return;
    }
  if (cjob_find (c, spec.id))
    {
      codec_free ((xdrproc_t)xdr_gl_cell_job_t, &spec);
      return;
    }
  used = xdr_sizeof ((xdrproc_t)xdr_gl_cell_job_t, &spec);
  j = cjob_new (c, &spec);
  if (!j)
    return;
  j->team = cjob_team_at (c, item, used);
  queue_restore (c, j, item, used);
  j->durable = j->inherited = 1;
  j->spec_revision = item->revision;
  /* Its age counts from its acceptance by the earlier owner. */
  if (j->spec.accepted_ms < c->wall && c->wall - j->spec.accepted_ms < c->now)
    j->arrived_at = c->now - (c->wall - j->spec.accepted_ms);
}

static void
load_item (cell_t *c, int stage, const cell_item_t *item)
{
  if (stage == 0)
    enrol_load (c, item);
  else if (stage == 1)
    load_job (c, item);
  else
    records_load (c, item);
}

static void
load_done (cell_t *c)
{
  size_t pos = 0;
  handle_t h;

  c->role = CR_OWNER;
  c->stop.hand_over_at = 0;
  hist_add (&c->takeover_time, (double)(c->now - c->takeover_at));
  cjobs_complete_gangs (c);
  while ((h = pool_next (&c->jobs, &pos)))
    cjob_ready_steps (c, pool_get (&c->jobs, h));
  census_loaded (c);
  cell_log (c, "takeover_done jobs=%zu workers=%d load_ms=%llu unaccounted=%d",
            c->jobs.count, c->nworkers,
            (unsigned long long)(c->now - c->takeover_at), c->unaccounted);
  c->heartbeat_due = c->now;
  member_write_keys (c);
  plan_wake (c);
  request_owner_changed (c);
}

/* Key behind which the page after this one begins, NULL if there is none. */
static const char *
last_key (const cell_event_t *ev)
{
  for (int i = ev->nitems; i-- > 0;)
    if (ev->items[i].key[0])
      return ev->items[i].key;
  return NULL;
}

void
own_load_page (cell_t *c, const cell_event_t *ev)
{
  int stage = 0;

  if (ev->tag != c->load_tag || c->role != CR_LOADING)
    return;
  if (ev->status != GL_ST_OK || (ev->more && !last_key (ev)))
    {
      /* Read the prefix again from its start.  Workers and jobs that are known
         already are skipped, task records are restored again. */
      cell_log (c, "load_retry prefix=%s status=%d", c->load_prefix,
                ev->status);
      request_page (c, "");
      return;
    }
  while (strcmp (c->load_prefix, load_order[stage]))
    stage++;
  for (int i = 0; i < ev->nitems; i++)
    load_item (c, stage, &ev->items[i]);
  if (ev->more)
    request_page (c, last_key (ev));
  else if (load_order[stage + 1])
    {
      cell_strcpy (c->load_prefix, load_order[stage + 1]);
      request_page (c, "");
    }
  else
    load_done (c);
}

void
own_census_complete (cell_t *c)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_TXN);
  cell_put_t *p;

  if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
    return;
  e->tag = cell_new_tag (c);
  e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
  own_add_fence (c, e->txn);
  p = &e->txn->puts[e->txn->nputs++];
  cell_strcpy (p->key, KEY_CENSUS);
  if (asprintf (&p->value, "%llu", (unsigned long long)c->generation) < 0)
    p->value = NULL;
  p->len = p->value ? strlen (p->value) : 0;
  /* Claims that only the census before needed.  Others are removed by later
     owners. */
  for (int i = 0; i < c->nformers && e->txn->nputs < CELL_TXN_KEYS_MAX / 2;
       i++)
    if (c->formers[i].generation < c->generation)
      former_claim_key (c->formers[i].generation,
                        e->txn->puts[e->txn->nputs++].key);
}

void
own_step_down (cell_t *c, const char *why)
{
  gl_process_t process = { cell_random (c), c->addr };
  size_t pos = 0;
  handle_t h;

  cell_log (c, "stepped_down why=%s generation=%llu", why,
            (unsigned long long)c->generation);
  c->counters.deposed++;
  c->role = CR_STANDBY;
  c->claim_not_before = c->now + CELL_CLAIM_BACKOFF_MS;
  c->confirm_tag = 0;
  c->release_tag = 0;
  c->releasing = 0;
  c->release_unanswered = 0;
  /* For all VMs, the process that owned the cell has ended. */
  c->process = process.process;
  c->keys_lost = 1;
  former_process_seen (c, &process, UINT64_MAX);

  save_reset (c);
  records_reset (c);
  plan_reset (c);
  while ((h = pool_next (&c->jobs, &pos)))
    cjob_free (c, pool_get (&c->jobs, h));
  cworkers_reset (c);
  request_owner_changed (c);
}

/* ---- heartbeats and timer ---- */

/* A VM that does not reach the store learns from a heartbeat who owns the
   cell.  It keeps the revision of the record that it last read, so a claim
   based on it would conflict. */
static void
learn_owner_from_heartbeat (cell_t *c, const gl_heartbeat_t *hb)
{
  codec_free ((xdrproc_t)xdr_gl_ownership_t, &c->ownership);
  c->ownership.generation = hb->generation;
  c->ownership.vm = strdup (hb->vm);
  c->ownership.addr = strdup (hb->addr);
  c->ownership.released = 0;
  c->ownership_known = 1;
  c->owner_since = c->now;
  cell_log (c, "owner_is vm=%s generation=%llu by=heartbeat", hb->vm,
            (unsigned long long)hb->generation);
  if ((c->role == CR_OWNER || c->role == CR_LOADING)
      && hb->generation > c->generation)
    own_step_down (c, "heartbeat of another owner");
  request_owner_changed (c);
}

void
own_heartbeat (cell_t *c, const cell_event_t *ev)
{
  if (ev->heartbeat->generation > c->ownership.generation)
    learn_owner_from_heartbeat (c, ev->heartbeat);
  if (ev->heartbeat->generation >= c->ownership.generation)
    {
      c->heartbeat_at = c->now;
      c->owner_refused_at = 0;
      if (!c->keys_lost && !c->keys_tag && c->lease_held)
        {
          c->known_by = ev->heartbeat->generation;
          c->known_at = c->now;
        }
      c->owner_storeless_at
          = ev->heartbeat->store_age_ms > CELL_OWNER_STORE_LOST_MS ? c->now
                                                                   : 0;
      c->nowner_queues = 0;
      c->owner_queues_at = c->now;
      for (u_int i = 0; i < ev->heartbeat->queues.queues_len
                        && c->nowner_queues < CELL_QUEUES_MAX;
           i++)
        {
          cqueue_count_t *q = &c->owner_queues[c->nowner_queues++];

          cell_strcpy (q->queue, ev->heartbeat->queues.queues_val[i].queue);
          q->waiting = ev->heartbeat->queues.queues_val[i].waiting;
        }
      conf_hear (c, ev->heartbeat->addr, ev->conf_version,
                 !c->owner_storeless_at, 1);
    }
}

/* What a VM says counts from when it was asked: an owner that was frozen reads
   answers long after. */
void
own_heartbeat_ack (cell_t *c, const cell_event_t *ev)
{
  uint64_t i = ev->tag % HEARTBEAT_TAG_VMS;
  cvm_t *v = i < (uint64_t)c->nvms ? &c->vms[i] : NULL;

  if (!v)
    return;
  v->answered_at = c->now;
  v->asked_at = ev->tag / HEARTBEAT_TAG_VMS;
  v->store_age_ms = ev->store_age_ms;
  v->may_claim = ev->may_claim;
  conf_hear (c, v->addr, ev->conf_version, 0,
             c->role == CR_OWNER && reach_is_outside (c, v));
}

void
own_peer_down (cell_t *c, const char *addr)
{
  if (c->ownership_known && c->ownership.addr
      && !strcmp (addr, c->ownership.addr))
    c->owner_refused_at = c->now;
  for (int i = 0; i < c->nvms; i++)
    if (!strcmp (c->vms[i].addr, addr))
      c->vms[i].avoid_until = c->now + PEER_AVOID_MS;
}

static int
fill_heartbeat (cell_t *c, const cqueue_count_t *v, int n, gl_heartbeat_t *hb)
{
  hb->generation = c->generation;
  hb->store_age_ms = (u_int)(c->now - c->store_answered_at);
  hb->vm = strdup (c->vm);
  hb->addr = strdup (c->addr);
  hb->queues.queues_val = calloc ((size_t)n + 1, sizeof (gl_queue_count_t));
  if (!hb->vm || !hb->addr || !hb->queues.queues_val)
    return -1;
  for (int i = 0; i < n; i++)
    {
      gl_queue_count_t *q = &hb->queues.queues_val[hb->queues.queues_len++];

      q->queue = strdup (v[i].queue);
      q->waiting = v[i].waiting;
    }
  return 0;
}

static void
send_heartbeats (cell_t *c)
{
  cqueue_count_t v[CELL_QUEUES_MAX];
  int n = cjobs_waiting (c, v);
  int maybe_isolated = reach_may_be_isolated (c);

  c->heartbeat_due = c->now + CELL_HEARTBEAT_MS;
  for (int i = 0; i < c->nvms; i++)
    {
      cell_effect_t *e;

      /* See cellreach.c. */
      if (maybe_isolated && !strcmp (c->vms[i].domain, c->domain))
        continue;
      if (!gets_heartbeats (c, &c->vms[i]))
        continue;
      e = cell_add_effect (c, CELL_FX_HEARTBEAT);
      if (!e || !(e->heartbeat = calloc (1, sizeof *e->heartbeat))
          || fill_heartbeat (c, v, n, e->heartbeat))
        return;
      flow_send (c, HEARTBEAT_BYTES);
      cell_strcpy (e->key, c->vms[i].addr);
      e->tag = c->now * HEARTBEAT_TAG_VMS + (uint64_t)i;
    }
}

/* Whether an owner that is not stopping is to release the cell to a stronger
   VM.  Without the store nobody could take it over. */
static int
yield_release_due (cell_t *c)
{
  if (c->now > c->store_answered_at + CELL_CONFIRM_MS
      || !yield_is_due (&c->yield, c->vms, c->nvms, c->vm, c->limits.cpu_m,
                        save_idle (c), c->now))
    return 0;
  cell_log (c, "hand_over why=stronger_vm to=%s cpu_m=%u own_cpu_m=%u",
            c->vms[c->yield.successor].vm, c->vms[c->yield.successor].cpu_m,
            c->limits.cpu_m);
  return 1;
}

static void
try_release (cell_t *c)
{
  int stopping = c->stop.stopping || c->releasing;

  if (c->role == CR_OWNER && !c->release_tag && c->now >= c->release_after
      && (stopping ? stop_release_due (c) : yield_release_due (c))
      && !write_ownership (c, c->generation, 1, &c->release_tag))
    {
      if (!c->releasing)
        cell_log (c, "release generation=%llu idle=%d",
                  (unsigned long long)c->generation, save_idle (c));
      c->releasing = 1;
    }
}

void
own_stop (cell_t *c, const cell_event_t *ev)
{
  stop_begin (c, ev->deadline);
  member_announce_stop (c);
  if (c->heartbeat_due > c->now + CELL_STOP_SPREAD_MS)
    c->heartbeat_due = c->now + CELL_STOP_SPREAD_MS;
  try_release (c);
}

void
own_tick (void *ctx, gl_ms_t now)
{
  cell_t *c = ctx;

  if (!c->lease_tag && now >= c->lease_requested_at + CELL_VM_RENEW_MS)
    member_renew_lease (c);
  if (c->role == CR_OWNER && now >= c->heartbeat_due)
    send_heartbeats (c);
  if (c->role == CR_OWNER && !c->confirm_tag
      && now >= c->confirmed_at + CELL_CONFIRM_MS)
    send_confirm (c);
  try_release (c);
  try_claim (c);
  stop_update (c);
  conf_note_age (c);
  timer_arm (&c->timers, c->own_timer, now + TICK_MS);
}
