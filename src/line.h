/* line.h -- this VM's queue of consultations of the advisor */
#ifndef GL_LINE_H
#define GL_LINE_H

#include "cell.h"

/**
 * struct consult_entry_t - a consultation that is queued or in flight
 * @tag: identifies it to the caller
 * @priority: lower is more urgent
 * @deadline: in ms; a consultation still queued then is dropped
 * @consult: the request
 */
typedef struct
{
  uint64_t tag;
  uint32_t priority;
  gl_ms_t deadline;
  gl_consult_t consult;
} consult_entry_t;

/**
 * struct consult_queue_t - the queue; zero it before the first use
 * @v, @n: entries in order of arrival, the one in flight included
 * @cap: entries allocated
 * @busy: a consultation is in flight
 * @in_flight: its tag, valid while @busy
 */
typedef struct
{
  consult_entry_t *v;
  size_t n;
  size_t cap;
  int busy;
  uint64_t in_flight;
} consult_queue_t;

/**
 * consult_queue_add - queue a consultation
 * @consult: its contents move into the queue; zeroed afterwards
 * @deadline: in ms, by clock_ms
 *
 * Returns 0, or -1 when out of memory, and then @consult is unchanged.
 */
int consult_queue_add (consult_queue_t *q, uint64_t tag, gl_consult_t *consult,
                       gl_ms_t deadline);
/**
 * consult_queue_next - choose the consultation to send now
 * @expired: called with the tag of each consultation whose deadline has
 * passed, after it was dropped
 *
 * Returns the most urgent entry, the oldest of equal ones, which is in flight
 * until consult_queue_finish; NULL when one is in flight already or none is
 * queued.
 */
const consult_entry_t *
consult_queue_next (consult_queue_t *q, gl_ms_t now,
                    void (*expired) (void *ctx, uint64_t tag), void *ctx);
/** consult_queue_finish - the consultation in flight has ended; another @tag
    changes nothing */
void consult_queue_finish (consult_queue_t *q, uint64_t tag);
/** consult_queue_free - free all entries and the queue's memory */
void consult_queue_free (consult_queue_t *q);

#endif
