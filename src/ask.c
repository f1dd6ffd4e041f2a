/*
 * ask.c -- reply slot for a request from another thread to the control thread
 */
#include "ask.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

reply_slot_t *
reply_slot_new (void)
{
  reply_slot_t *slot = calloc (1, sizeof *slot);
  pthread_condattr_t attr;

  if (!slot)
    return NULL;
  pthread_mutex_init (&slot->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&slot->cond, &attr);
  pthread_condattr_destroy (&attr);
  slot->refs = 2;
  return slot;
}

void
reply_slot_release (reply_slot_t *slot)
{
  int last;

  pthread_mutex_lock (&slot->lock);
  last = --slot->refs == 0;
  pthread_mutex_unlock (&slot->lock);
  if (!last)
    return;
  pthread_mutex_destroy (&slot->lock);
  pthread_cond_destroy (&slot->cond);
  free (slot->text);
  free (slot);
}

void
reply_slot_complete (reply_slot_t *slot, gl_code_t code, uint64_t job,
                     gl_ms_t retry_after, const char *reason, char *text)
{
  pthread_mutex_lock (&slot->lock);
  slot->code = code;
  slot->job = job;
  slot->retry_after = retry_after;
  snprintf (slot->reason, sizeof slot->reason, "%s", reason ? reason : "");
  slot->text = text;
  slot->done = 1;
  pthread_cond_signal (&slot->cond);
  pthread_mutex_unlock (&slot->lock);
  reply_slot_release (slot);
}

int
reply_slot_wait (reply_slot_t *slot, gl_ms_t timeout)
{
  struct timespec t;
  int rc = 0;

  clock_gettime (CLOCK_MONOTONIC, &t);
  t.tv_sec += (time_t)(timeout / 1000);
  t.tv_nsec += (long)(timeout % 1000) * 1000000;
  if (t.tv_nsec >= 1000000000)
    {
      t.tv_sec++;
      t.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&slot->lock);
  while (!slot->done && rc != ETIMEDOUT)
    rc = pthread_cond_timedwait (&slot->cond, &slot->lock, &t);
  rc = slot->done ? 0 : -1;
  pthread_mutex_unlock (&slot->lock);
  return rc;
}
