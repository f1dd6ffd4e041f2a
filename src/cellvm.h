/* cellvm.h -- the VMs of a cell, and the planned stop of this one */
#ifndef GL_CELLVM_H
#define GL_CELLVM_H

#include "cell.h"

/**
 * struct cvm_t - a VM of the cell, this one included
 * @vm: its name
 * @addr: "IP:port" at which the other VMs reach it
 * @registered, @unregistered_at: its key is in the store, else since when it
 *   is not
 * @cpu_m: its share of a core, in thousandths
 * @stopping, @stop_at, @stop_ends_at: it is in a planned stop, when this VM
 *   learned that, and when its process ends at the latest
 * @staying_since: since when it has been registered and not stopping
 * @may_claim: it said with its last answer that it could take the cell over
 * @answered_at: when it last answered a heartbeat of this VM
 * @asked_at, @store_age_ms: when the heartbeat was sent to which that was the
 *   answer, and the time since the store answered that VM, as it said then
 * @busy_ms: time that the advisor takes for all consultations in flight
 *   through it
 * @avoid_until: no consultation goes through it before this
 */
typedef struct
{
  char vm[CELL_NAME_SIZE];
  char addr[64];
  char domain[32];
  int registered;
  gl_ms_t unregistered_at;
  uint32_t cpu_m;
  int stopping;
  gl_ms_t stop_at;
  gl_ms_t stop_ends_at;
  gl_ms_t staying_since;
  int may_claim;
  gl_ms_t answered_at;
  gl_ms_t asked_at;
  uint32_t store_age_ms;
  double busy_ms;
  gl_ms_t avoid_until;
} cvm_t;

/** enum cstop_turn_t - when a VM ends that stops while no VM stays */
typedef enum
{
  CSTOP_UNDECIDED = 0,
  CSTOP_ENDS_FIRST,
  CSTOP_SERVES_ON
} cstop_turn_t;

/**
 * struct cstop_t - the planned stop of this VM
 * @stopping: it has begun
 * @began_at, @ends_at: when it began, and when the process ends at the latest
 * @closing: no new connections are taken any more
 * @turn: whether this VM ends first or serves on while no VM stays
 * @announce_tag: transaction in flight that tells the other VMs, or 0
 * @hand_over_at: when it was decided to release the cell, 0 before
 * @usual_ms: learned time from the beginning of a VM's stop until it is back,
 *   0 if not known
 */
typedef struct
{
  int stopping;
  gl_ms_t began_at;
  gl_ms_t ends_at;
  int closing;
  cstop_turn_t turn;
  uint64_t announce_tag;
  gl_ms_t hand_over_at;
  double usual_ms;
} cstop_t;

#endif
