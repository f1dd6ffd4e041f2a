/* ask.h -- reply slot for a request from another thread to the control thread
 */
#ifndef GL_ASK_H
#define GL_ASK_H

#include <pthread.h>

#include "gentianlatch.h"

/**
 * struct reply_slot_t - the place for the reply to one request
 * @refs: references held; the requesting thread and the control thread have
 *   one each
 * @done: the reply has been given
 * @code, @job, @retry_after, @reason: the reply, as in gl_effect_t
 * @text: malloc'd text of the reply, or NULL
 *
 * The last release frees the slot, so the requesting thread may stop waiting
 * before the reply comes.
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

/** reply_slot_new - create a slot with two references; NULL out of memory */
reply_slot_t *reply_slot_new (void);
/** reply_slot_complete - give the reply and release one reference; takes
    ownership of @text; @reason may be NULL */
void reply_slot_complete (reply_slot_t *slot, gl_code_t code, uint64_t job,
                          gl_ms_t retry_after, const char *reason, char *text);
/** reply_slot_wait - wait for the reply for up to @timeout; 0, or -1 if it has
    not been given by then */
int reply_slot_wait (reply_slot_t *slot, gl_ms_t timeout);
/** reply_slot_release - release one reference */
void reply_slot_release (reply_slot_t *slot);

#endif
