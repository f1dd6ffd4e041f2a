/* listwatch.h -- keep a daemon's list of VMs up to date */
#ifndef GL_LISTWATCH_H
#define GL_LISTWATCH_H

#include "platform.h"

/**
 * struct listwatch_t - watch of one domain's list of VMs
 * @source: where the list comes from
 * @index: index of the last list received, 0 for none
 * @due: instant of the next request, if none is in flight
 * @in_flight: a request waits for its answer
 *
 * The control thread alone uses it.  The answer arrives on another thread,
 * whose callback posts it to the control thread.
 */
typedef struct
{
  vmlist_t source;
  const char *domain;
  uint64_t index;
  gl_ms_t due;
  int in_flight;
} listwatch_t;

/** listwatch_due - instant at which listwatch_poll is to be called next,
    UINT64_MAX while a request is in flight */
gl_ms_t listwatch_due (const listwatch_t *w);
/** listwatch_poll - send the next request if it is due; @done is called with
    the answer, on any thread */
void listwatch_poll (listwatch_t *w, vmlist_done_t done, void *ctx);
/** listwatch_answered - the answer has reached the control thread; @index is
    that of its list, if @has_list is not 0 */
void listwatch_answered (listwatch_t *w, uint64_t index, int has_list);

/** vmlist_copy - copy of @n elements, to be released with free; NULL if @vms
    is NULL; aborts without memory */
gl_vm_t *vmlist_copy (const gl_vm_t *vms, size_t n);

#endif
