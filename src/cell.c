/*
 * cell.c -- the cell's reducer: dispatches events to the modules
 *
 * Each module changes its own part of the state.  Planning and writing follow
 * once at the end of each event, and cover what all modules have changed.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How old the counts of waiting jobs may be that a VM other than the owner
   gives. */
#define COUNTS_VALID_MS 2000

#include "codec.h"

cell_t *
cell_new (const char *vm, const char *addr, const char *domain,
          const cell_limits_t *limits, uint64_t seed)
{
  cell_t *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  c->rng = gsl_rng_alloc (gsl_rng_taus2);
  c->pairs = limits->interference ? calloc (1, sizeof *c->pairs) : NULL;
  if (!c->rng || (limits->interference && !c->pairs)
      || names_init (&c->vm_names) || names_init (&c->worker_names)
      || names_init (&c->job_names))
    {
      cell_free (c);
      return NULL;
    }
  gsl_rng_set (c->rng, seed);
  c->process = cell_random (c);
  cell_strcpy (c->vm, vm);
  cell_strcpy (c->addr, addr);
  cell_strcpy (c->domain, domain);
  c->limits = *limits;
  pool_init (&c->jobs, sizeof (cjob_t));
  pool_init (&c->steps, sizeof (cstep_t));
  c->own_timer = timer_subscribe (&c->timers, own_tick, c);
  c->worker_timer = timer_subscribe (&c->timers, cworkers_tick, c);
  c->poll_timer = timer_subscribe (&c->timers, cworkers_poll_tick, c);
  c->save_timer = timer_subscribe (&c->timers, save_tick, c);
  c->plan_timer = timer_subscribe (&c->timers, plan_tick, c);
  c->request_timer = timer_subscribe (&c->timers, request_tick, c);
  c->end_wait_timer = timer_subscribe (&c->timers, request_end_wait_tick, c);
  c->job_timer = timer_subscribe (&c->timers, cjobs_tick, c);
  timer_arm (&c->timers, c->own_timer, 0);
  timer_arm (&c->timers, c->worker_timer, 0);
  timer_arm (&c->timers, c->request_timer, 0);
  timer_arm (&c->timers, c->job_timer, 0);
  return c;
}

void
cell_free (cell_t *c)
{
  size_t pos = 0;
  handle_t h;

  if (!c)
    return;
  while ((h = pool_next (&c->jobs, &pos)))
    cjob_free (c, pool_get (&c->jobs, h));
  for (int i = 0; i < c->nworkers; i++)
    {
      free (c->workers[i].tasks);
      free (c->workers[i].unacked);
    }
  for (size_t i = 0; i < c->nrequests; i++)
    codec_free ((xdrproc_t)xdr_gl_request_t, &c->requests[i].body);
  codec_free ((xdrproc_t)xdr_gl_ownership_t, &c->ownership);
  codec_free ((xdrproc_t)xdr_gl_handover_t, &c->handover);
  ratios_destroy (&c->ratios);
  hist_destroy (&c->accept_time);
  hist_destroy (&c->txn_time);
  hist_destroy (&c->takeover_time);
  hist_destroy (&c->census_time);
  for (int i = 0; i < CSPAN_COUNT; i++)
    hist_destroy (&c->end_spans[i]);
  for (int i = 0; i < CELL_PRIORITIES; i++)
    {
      hist_destroy (&c->start_time[i]);
      hist_destroy (&c->total_time[i]);
    }
  free (c->pairs);
  free (c->removals);
  free (c->requests);
  free (c->workers);
  free (c->vms);
  free (c->consults);
  free (c->racks);
  free (c->approval_share);
  free (c->conf.queues);
  free (c->conf.value);
  teams_destroy (&c->conf.teams);
  shares_destroy (&c->shares);
  free (c->dirty.v);
  free (c->waiting.v);
  free (c->to_fail.v);
  free (c->crashes);
  pool_destroy (&c->jobs);
  pool_destroy (&c->steps);
  names_destroy (&c->vm_names);
  names_destroy (&c->worker_names);
  names_destroy (&c->job_names);
  if (c->rng)
    gsl_rng_free (c->rng);
  free (c);
}

/* ---- configuration ---- */

void
cell_conf_free (cell_conf_t *conf)
{
  if (!conf)
    return;
  free (conf->queues);
  free (conf->value);
  teams_destroy (&conf->teams);
  free (conf);
}

/* Replaces the configuration by a newer one. */
static void
apply_conf (cell_t *c, cell_conf_t *conf)
{
  int nteams = conf->teams.n;
  int added;

  if (conf->version <= c->conf.version && !FAULT (FAULT_CELL_CONF_REVERTS))
    {
      cell_conf_free (conf);
      return;
    }
  /* Before all else: without the keys, none of it may come into force. */
  if (teams_merge (&c->conf.teams, &conf->teams))
    {
      cell_log (c, "config_refused version=%llu why=memory",
                (unsigned long long)conf->version);
      cell_conf_free (conf);
      return;
    }
  added = queues_merge (c, conf);
  cell_log (c, "config version=%llu previous=%llu queues=%d added=%d teams=%d",
            (unsigned long long)conf->version,
            (unsigned long long)c->conf.version, conf->nqueues, added, nteams);
  c->conf.version = conf->version;
  free (c->conf.value);
  c->conf.value = conf->value;
  c->conf.len = conf->len;
  conf->value = NULL;
  conf_applied (c);
  cjobs_recount_shares (c);
  cell_conf_free (conf);
  plan_wake (c);
}

/* The longest matching prefix wins. */
const cell_queue_t *
cell_find_queue (const cell_t *c, const char *host, const char *path,
                 const char **rest)
{
  const cell_queue_t *best = NULL;
  size_t len = 0;

  for (int i = 0; i < c->conf.nqueues; i++)
    {
      const cell_queue_t *q = &c->conf.queues[i];
      size_t n = strlen (q->prefix);

      if (q->removed || strcmp (q->host, host) || strncmp (path, q->prefix, n)
          || (best && n <= len))
        continue;
      best = q;
      len = n;
    }
  if (best)
    *rest = path + len;
  return best;
}

/* Whether this VM knows how many jobs wait. */
static int
counts_known (const cell_t *c)
{
  return c->role == CR_OWNER
         || (c->owner_queues_at
             && c->now <= c->owner_queues_at + COUNTS_VALID_MS);
}

int64_t
cell_jobs_waiting (const cell_t *c, const char *queue)
{
  if (c->role == CR_OWNER)
    {
      cqueue_count_t v[CELL_QUEUES_MAX];
      int n = cjobs_waiting (c, v);

      for (int i = 0; i < n; i++)
        if (!strcmp (v[i].queue, queue))
          return v[i].waiting;
      return 0;
    }
  if (!counts_known (c))
    return -1;
  for (int i = 0; i < c->nowner_queues; i++)
    if (!strcmp (c->owner_queues[i].queue, queue))
      return c->owner_queues[i].waiting;
  return c->nowner_queues < CELL_QUEUES_MAX ? 0 : -1;
}

int
cell_is_owner (const cell_t *c)
{
  return c->role == CR_OWNER;
}

/* ---- events ---- */

static void
dispatch (cell_t *c, const cell_event_t *ev)
{
  switch (ev->kind)
    {
    case CELL_EV_TICK:
      break;
    case CELL_EV_MEMBER:
      own_key_changed (c, ev);
      break;
    case CELL_EV_MEMBERS_SYNCED:
      own_members_synced (c);
      break;
    case CELL_EV_WORKER:
      cworker_registration (c, ev);
      break;
    case CELL_EV_WORKERS_SYNCED:
      cworkers_synced (c, ev);
      break;
    case CELL_EV_CONF:
      apply_conf (c, ev->conf);
      break;
    case CELL_EV_CONF_CONFIRMED:
      conf_confirmed (c);
      break;
    case CELL_EV_CONF_FETCHED:
      conf_fetched (c, ev);
      break;
    case CELL_EV_TXN_DONE:
      own_txn_result (c, ev);
      break;
    case CELL_EV_PAGE:
      own_load_page (c, ev);
      break;
    case CELL_EV_READ:
      request_result_read (c, ev);
      break;
    case CELL_EV_LEASE:
      member_lease_result (c, ev);
      break;
    case CELL_EV_WCALL:
      cworker_answer (c, ev);
      break;
    case CELL_EV_CONSULT_REPLY:
      consult_answer (c, ev);
      break;
    case CELL_EV_REQUEST:
      request_receive (c, ev);
      break;
    case CELL_EV_FORWARD_REPLY:
      request_forward_reply (c, ev);
      break;
    case CELL_EV_HEARTBEAT:
      own_heartbeat (c, ev);
      break;
    case CELL_EV_HEARTBEAT_ACK:
      own_heartbeat_ack (c, ev);
      break;
    case CELL_EV_PEER_DOWN:
      own_peer_down (c, ev->peer_addr);
      break;
    case CELL_EV_STOP:
      own_stop (c, ev);
      break;
    case CELL_EV_END:
      requests_give_up (c);
      break;
    }
}

void
cell_step (cell_t *c, const cell_event_t *ev, gl_ms_t now, cell_effects_t *fx)
{
  reach_note_time (c, now);
  c->now = now;
  c->fx = fx;
  if (ev->wall)
    c->wall = ev->wall;
  timer_run (&c->timers, now);
  dispatch (c, ev);
  plan_run (c);
  save_flush (c);
  c->fx = NULL;
}

gl_ms_t
cell_next_tick (const cell_t *c)
{
  return timer_next (&c->timers);
}

/* ---- metrics ---- */

/* Jobs that wait, by queue; the queues that are left out have none. */
static void
print_waiting (const cell_t *c, text_t *t)
{
  cqueue_count_t own[CELL_QUEUES_MAX];
  const cqueue_count_t *v = c->owner_queues;
  int n = c->nowner_queues;
  int known = counts_known (c);

  if (c->role == CR_OWNER)
    {
      v = own;
      n = cjobs_waiting (c, own);
    }
  for (int i = 0; known && i < n; i++)
    text_add (t, "cell_jobs_waiting{queue=\"%s\"} %u\n", v[i].queue,
              v[i].waiting);
  text_add (t, "cell_jobs_waiting_known %d\n", known);
}

/* What the first SHARE_METRICS_MAX teams have and wait for. */
static void
print_teams (const cell_t *c, text_t *t)
{
  uint32_t waiting[SHARE_METRICS_MAX] = { 0 };
  size_t pos = 0;
  handle_t h;

  if (c->role != CR_OWNER || !c->shares.on)
    return;
  while ((h = pool_next (&c->jobs, &pos)))
    {
      const cjob_t *j = pool_get (&c->jobs, h);

      if (j->durable && !j->begun && j->next_phase < GL_PHASE_COMPLETED
          && j->team + 1 < SHARE_METRICS_MAX)
        waiting[j->team + 1]++;
    }
  for (int i = 0; i < c->shares.n && i < SHARE_METRICS_MAX; i++)
    {
      const cshare_t *s = &c->shares.v[i];
      const char *name = i ? c->conf.teams.v[i - 1].name : "";

      text_add (t, "cell_team_jobs_waiting{team=\"%s\"} %u\n", name,
                waiting[i]);
      text_add (t, "cell_team_cpus{team=\"%s\"} %.3f\n", name,
                (double)s->used.cpus_m / 1000);
      text_add (t, "cell_team_refused{team=\"%s\"} %llu\n", name,
                (unsigned long long)s->refused);
      text_add (t, "cell_team_share{team=\"%s\"} %.4f\n", name,
                share_dominant (&c->shares, i - 1));
      text_add (t, "cell_team_at_cap_s{team=\"%s\"} %.3f\n", name,
                (double)s->capped_ms / 1000);
    }
}

static int
count_registered (const cell_t *c)
{
  int n = 0;

  for (int i = 0; i < c->nworkers; i++)
    n += c->workers[i].registered;
  return n;
}

void
cell_metrics (const cell_t *c, text_t *t)
{
  static const char *const spans[]
      = { "end_to_poll", "poll_to_write", "write_to_answer" };
  char label[16];

#define X(name, help)                                                         \
  text_add (t, "cell_%s %llu\n", #name, (unsigned long long)c->counters.name);
  CELL_COUNTERS (X)
#undef X
  text_add (t, "cell_owner %d\ncell_generation %llu\ncell_jobs %zu\n",
            c->role == CR_OWNER, (unsigned long long)c->ownership.generation,
            c->jobs.count);
  text_add (t, "cell_steps_waiting %zu\ncell_requests_open %zu\n",
            c->waiting.n, c->nrequests);
  print_waiting (c, t);
  conf_metrics (c, t);
  print_teams (c, t);
  text_add (t, "cell_reserved_cpus %lld\ncell_usable_cpus %lld\n",
            (long long)c->reserved_cpus_m / 1000,
            (long long)c->usable_cpus_m / 1000);
  text_add (t, "cell_workers_registered %d\n", count_registered (c));
  text_add (t, "cell_stopping %d\ncell_vms_staying %d\n", c->stop.stopping,
            stop_count_staying (c));
  text_add (t, "cell_census_complete %d\ncell_workers_unaccounted %d\n",
            c->role == CR_OWNER && c->census_complete, c->unaccounted);
  if (c->pairs)
    text_add (t, "cell_pairs_known %d\ncell_pairs_apart %d\n", c->pairs->n,
              pairs_count_interfering (c->pairs, c->now));
  hist_print (t, "cell_accept_ms", "kind", "submit", &c->accept_time);
  hist_print (t, "cell_transaction_ms", "kind", "write", &c->txn_time);
  hist_print (t, "cell_takeover_ms", "kind", "load", &c->takeover_time);
  hist_print (t, "cell_census_ms", "kind", "complete", &c->census_time);
  for (int i = 0; i < CSPAN_COUNT; i++)
    hist_print (t, "cell_end_ms", "span", spans[i], &c->end_spans[i]);
  for (int i = 0; i < CELL_PRIORITIES; i++)
    {
      snprintf (label, sizeof label, "%d", i);
      hist_print (t, "cell_first_start_ms", "priority", label,
                  &c->start_time[i]);
      hist_print (t, "cell_whole_ms", "priority", label, &c->total_time[i]);
    }
}
