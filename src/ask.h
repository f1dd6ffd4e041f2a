/* ask.h -- a question from a traffic thread to the control thread */
#ifndef GL_ASK_H
#define GL_ASK_H

#include <pthread.h>

#include "gentianlatch.h"

/**
 * struct ask_t - the question's slot for an answer
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
  gl_ms_t retry;
  char reason[128];
  char *text;
} ask_t;

/** ask_new - a slot held twice; NULL when out of memory */
ask_t *ask_new (void);
/** ask_answer - give the answer and let go; takes over @text */
void ask_answer (ask_t *a, gl_code_t code, uint64_t job, gl_ms_t retry,
                 const char *reason, char *text);
/** ask_wait - wait for the answer up to @timeout; 0 when it came */
int ask_wait (ask_t *a, gl_ms_t timeout);
/** ask_drop - let go without an answer */
void ask_drop (ask_t *a);

#endif
