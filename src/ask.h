/* ask.h -- a question from a traffic thread to the control thread */
#ifndef GL_ASK_H
#define GL_ASK_H

#include <pthread.h>

#include "gentianlatch.h"

/**
 * struct reply_slot_t - the question's slot for an answer
 *
 * Held by the thread that waits and by the control thread; whoever lets go
 * last frees it, so a wait may end early without harm.
 */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  int refs;
  int done;
  gl_code_t code;
  uint64_t job;
  gl_ms_t retry_after;
  char reason[128];
  char *text;
} reply_slot_t;

/** reply_slot_new - a slot held twice; NULL when out of memory */
reply_slot_t *reply_slot_new (void);
/** reply_slot_complete - give the answer and let go; takes over @text */
void reply_slot_complete (reply_slot_t *a, gl_code_t code, uint64_t job,
                          gl_ms_t retry_after, const char *reason, char *text);
/** reply_slot_wait - wait for the answer up to @timeout; 0 when it came */
int reply_slot_wait (reply_slot_t *a, gl_ms_t timeout);
/** reply_slot_release - let go without an answer */
void reply_slot_release (reply_slot_t *a);

#endif
