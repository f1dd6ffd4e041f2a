/*
 * ask.c -- a question from a traffic thread to the control thread
 */
#include "ask.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

reply_slot_t *
reply_slot_new (void)
{
  reply_slot_t *a = calloc (1, sizeof *a);
  pthread_condattr_t attr;

  if (!a)
    return NULL;
  pthread_mutex_init (&a->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&a->cond, &attr);
  pthread_condattr_destroy (&attr);
  a->refs = 2;
  return a;
}

void
reply_slot_release (reply_slot_t *a)
{
  int last;

  pthread_mutex_lock (&a->lock);
  last = --a->refs == 0;
  pthread_mutex_unlock (&a->lock);
  if (!last)
    return;
  pthread_mutex_destroy (&a->lock);
  pthread_cond_destroy (&a->cond);
  free (a->text);
  free (a);
}

void
reply_slot_complete (reply_slot_t *a, gl_code_t code, uint64_t job,
                     gl_ms_t retry_after, const char *reason, char *text)
{
  pthread_mutex_lock (&a->lock);
  a->code = code;
  a->job = job;
  a->retry_after = retry_after;
  snprintf (a->reason, sizeof a->reason, "%s", reason ? reason : "");
  a->text = text;
  a->done = 1;
  pthread_cond_signal (&a->cond);
  pthread_mutex_unlock (&a->lock);
  reply_slot_release (a);
}

int
reply_slot_wait (reply_slot_t *a, gl_ms_t timeout)
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
  pthread_mutex_lock (&a->lock);
  while (!a->done && rc != ETIMEDOUT)
    rc = pthread_cond_timedwait (&a->cond, &a->lock, &t);
  rc = a->done ? 0 : -1;
  pthread_mutex_unlock (&a->lock);
  return rc;
}
