/*
 * cellmember.c -- this VM's keys in the store, and those of the other VMs
 *
 * Every VM has a lease in the store, which it renews, and under it a key with
 * its address and one with the number of its process.  The owner has one more
 * key under its lease.
 */
#include "cellint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec.h"

/* Add a VM; returns its index plus 1, or 0 without memory.  The name table
   points to the names inside the elements, which move when the table grows. */
static uintptr_t
vm_new (cell_t *c, const char *name)
{
  int moves = c->nvms == c->capvms;
  int failed;
  cvm_t *v;

  for (int i = 0; moves && i < c->nvms; i++)
    names_del (&c->vm_names, c->vms[i].vm);
  failed = array_reserve (&c->vms, &c->capvms, c->nvms, sizeof *v);
  for (int i = 0; moves && i < c->nvms; i++)
    failed |= names_put (&c->vm_names, c->vms[i].vm, (uintptr_t)i + 1);
  if (!failed)
    {
      v = &c->vms[c->nvms];
      memset (v, 0, sizeof *v);
      cell_strcpy (v->vm, name);
      failed = names_put (&c->vm_names, v->vm, (uintptr_t)c->nvms + 1);
    }
  if (failed)
    {
      cell_log (c, "vm_not_added vm=%s why=memory", name);
      return 0;
    }
  return (uintptr_t)++c->nvms;
}

/* The state begins at @used in the key's value; a VM of an older version gives
   none. */
static void
decode_state (cell_t *c, const cell_item_t *item, size_t used,
              gl_vmstate_t *state)
{
  memset (state, 0, sizeof *state);
  if (item->len > used
      && codec_decode ((xdrproc_t)xdr_gl_vmstate_t, state, item->value + used,
                       item->len - used))
    {
      memset (state, 0, sizeof *state);
      cell_log (c, "vm_state_unreadable key=%s", item->key);
    }
}

void
member_vm_changed (cell_t *c, const cell_item_t *item, int removed)
{
  const char *name = item->key + strlen (KEY_VM);
  uintptr_t i = names_get (&c->vm_names, name);
  gl_vminfo_t info;
  gl_vmstate_t state;
  cvm_t *v;

  if (strlen (name) >= CELL_NAME_SIZE)
    {
      cell_log (c, "vm_unreadable key=%s", item->key);
      return;
    }
  if (removed)
    {
      if (i && c->vms[i - 1].registered)
        {
          c->vms[i - 1].registered = 0;
          c->vms[i - 1].unregistered_at = c->now;
        }
      if (!strcmp (name, c->vm))
        {
          c->keys_lost = 1;
          c->known_by = 0;
        }
      return;
    }
  memset (&info, 0, sizeof info);
  if (codec_decode ((xdrproc_t)xdr_gl_vminfo_t, &info, item->value, item->len))
    {
      cell_log (c, "vm_unreadable key=%s", item->key);
      return;
    }
  if (!i)
    i = vm_new (c, name);
  if (i)
    {
      v = &c->vms[i - 1];
      cell_strcpy (v->addr, info.addr);
      cell_strcpy (v->domain, info.domain);
      v->cpu_m = info.cpu_m;
      v->avoid_until = 0;
      decode_state (c, item, xdr_sizeof ((xdrproc_t)xdr_gl_vminfo_t, &info),
                    &state);
      stop_vm_changed (c, v, &state);
      v->registered = 1;
      /* A write of this VM's process before may have come late. */
      if (!strcmp (name, c->vm) && state.stopping && !c->stop.stopping)
        c->keys_lost = 1;
    }
  codec_free ((xdrproc_t)xdr_gl_vminfo_t, &info);
}

void
member_process_changed (cell_t *c, const cell_item_t *item)
{
  gl_process_t process;

  memset (&process, 0, sizeof process);
  if (codec_decode ((xdrproc_t)xdr_gl_process_t, &process, item->value,
                    item->len))
    {
      cell_log (c, "process_unreadable key=%s", item->key);
      return;
    }
  if (former_process_seen (c, &process, item->revision)
      && (c->role == CR_OWNER || c->role == CR_LOADING))
    {
      cell_log (c, "former_owner_ended addr=%s leases_end_in_ms=%llu",
                process.addr, (unsigned long long)former_lease_ms (c));
      census_shorten (c, former_lease_ms (c));
    }
  codec_free ((xdrproc_t)xdr_gl_process_t, &process);
}

/* ---- this VM's lease ---- */

void
member_renew_lease (cell_t *c)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_LEASE);

  if (!e)
    return;
  c->lease_tag = e->tag = cell_new_tag (c);
  c->lease_requested_at = c->now;
  e->timeout = CELL_VM_LEASE_MS;
}

/* Add the key that names this process.  It is written only while the ownership
   has not changed since this process learned of it: a late write of an ended
   process must not look as if that ran after a later claim. */
static void
add_process_key (cell_t *c, cell_txn_t *txn)
{
  gl_process_t process = { c->process, c->addr };
  cell_put_t *p = &txn->puts[txn->nputs++];

  own_add_fence (c, txn);
  snprintf (p->key, sizeof p->key, "%s%s", KEY_PROCESS, c->vm);
  p->value = codec_encode ((xdrproc_t)xdr_gl_process_t, &process, &p->len);
  p->leased = 1;
}

/* Add the VM's own key: its description, and then its state. */
static void
add_vm_key (const cell_t *c, cell_txn_t *txn)
{
  gl_vminfo_t info
      = { (char *)c->vm, (char *)c->addr, (char *)c->domain, c->limits.cpu_m };
  gl_vmstate_t state = { c->stop.stopping, 0 };
  cell_put_t *p = &txn->puts[txn->nputs++];

  if (c->stop.stopping && c->stop.ends_at > c->now)
    state.ends_in_ms = (u_int)(c->stop.ends_at - c->now);
  snprintf (p->key, sizeof p->key, "%s%s", KEY_VM, c->vm);
  p->leased = 1;
  p->value = codec_encode ((xdrproc_t)xdr_gl_vminfo_t, &info, &p->len);
  if (p->value)
    codec_append ((xdrproc_t)xdr_gl_vmstate_t, &state, &p->value, &p->len);
}

void
member_announce_stop (cell_t *c)
{
  cell_effect_t *e = cell_add_effect (c, CELL_FX_TXN);

  /* Keys in flight do not tell of the stop and may be written after these. */
  c->keys_lost |= c->keys_tag != 0;
  if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
    {
      c->keys_lost = 1;
      return;
    }
  c->stop.announce_tag = e->tag = cell_new_tag (c);
  e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
  add_vm_key (c, e->txn);
}

int
member_txn_result (cell_t *c, const cell_event_t *ev)
{
  if (ev->tag == c->keys_tag && c->keys_tag)
    c->keys_tag = 0;
  else if (ev->tag == c->stop.announce_tag && c->stop.announce_tag)
    c->stop.announce_tag = 0;
  else
    return 0;
  /* They are written again after the next renewal of the lease. */
  c->keys_lost |= ev->status != GL_ST_OK;
  return 1;
}

/* Writes this VM's leased keys: the VM's own, and the owner's key if it owns
   the cell.  The ownership is known once all keys have been reported; until
   then, and after a conflict, the keys are written again after the next
   renewal of the lease. */
void
member_write_keys (cell_t *c)
{
  cell_effect_t *e;
  cell_put_t *p;

  e = cell_add_effect (c, CELL_FX_TXN);
  if (!e || !(e->txn = calloc (1, sizeof *e->txn)))
    return;
  c->keys_lost = !c->members_synced;
  c->keys_tag = e->tag = cell_new_tag (c);
  e->timeout = CELL_TXN_TIMEOUT_MAX_MS;
  add_vm_key (c, e->txn);
  if (c->members_synced)
    add_process_key (c, e->txn);
  if (c->role != CR_OWNER && c->role != CR_LOADING)
    return;
  p = &e->txn->puts[e->txn->nputs++];
  cell_strcpy (p->key, KEY_OWNER);
  p->value = strdup (c->vm);
  p->len = strlen (c->vm);
  p->leased = 1;
}

void
member_lease_result (cell_t *c, const cell_event_t *ev)
{
  int is_new;

  if (ev->tag != c->lease_tag)
    return;
  c->lease_tag = 0;
  if (ev->status == GL_ST_OK)
    {
      /* The revision is 1 when the lease is new, and so has no keys. */
      is_new = ev->revision == 1;
      if (is_new)
        c->known_by = 0;
      if (!c->lease_held)
        c->lease_held_since = c->now;
      if (!c->lease_held && c->lease_renewed_at)
        cell_log (c, "store_back outage_ms=%llu",
                  (unsigned long long)(c->now - c->lease_renewed_at));
      else if (!c->lease_held)
        cell_log (c, "store_found");
      c->lease_held = 1;
      c->lease_renewed_at = c->now;
      c->store_answered_at = c->now;
      if (is_new || c->keys_lost)
        member_write_keys (c);
      return;
    }
  if (c->lease_held)
    cell_log (c, "store_lost status=%d", ev->status);
  c->lease_held = 0;
}
