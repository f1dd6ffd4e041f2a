/* listwatch.h -- keep a daemon's list of VMs up to date */
#ifndef GL_LISTWATCH_H
#define GL_LISTWATCH_H

#include "platform.h"

/**
 * struct listwatch_t - the waiting call for one domain's list
 *
 * Used by the control thread alone; the answer reaches it as a posted item.
 */
typedef struct
{
  vmlist_t source;
  const char *domain;
  uint64_t index;
  gl_ms_t due;
  int in_flight;
} listwatch_t;

/** listwatch_due - when listwatch_poll has something to do */
gl_ms_t listwatch_due (const listwatch_t *w);
/** listwatch_poll - ask if it is due; @done is called with the answer */
void listwatch_poll (listwatch_t *w, vmlist_done_t done, void *ctx);
/** listwatch_answered - the answer is here; @has_list says that it holds a
 * list */
void listwatch_answered (listwatch_t *w, uint64_t index, int has_list);

/** vmlist_copy - a copy that free releases, or NULL for none */
gl_vm_t *vmlist_copy (const gl_vm_t *vms, size_t n);

#endif
