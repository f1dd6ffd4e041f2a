/* cellyield.h -- which VMs leave the cell to stronger ones, and when */
#ifndef GL_CELLYIELD_H
#define GL_CELLYIELD_H

#include "cellvm.h"

/**
 * struct cyield_t - what the owner knows of stronger VMs
 * @successor: index of a much stronger VM that could own the cell, -1 for none
 * @ready_since: since when there has been one
 * @decided_at: when it was decided to hand the cell over, 0 before
 */
typedef struct
{
  int successor;
  gl_ms_t ready_since;
  gl_ms_t decided_at;
} cyield_t;

/**
 * yield_claim_delay_ms - how long a standby leaves a claim to stronger VMs
 * @vms, @nvms: the VMs of the cell
 * @former: name of the VM that loses the cell, which does not count; may be
 *   NULL
 * @cpu_m: share of a core of this VM, in thousandths
 */
gl_ms_t yield_claim_delay_ms (const cvm_t *vms, int nvms, const char *former,
                              uint32_t cpu_m);
/** yield_reset - this VM has become the owner, or is no longer */
void yield_reset (cyield_t *y);
/**
 * yield_is_due - 1 if the owner is to hand the cell over to a stronger VM
 * @vms, @nvms: the VMs of the cell
 * @self: name of the owner
 * @cpu_m: its share of a core, in thousandths; 0 if not known
 * @idle: nothing waits to be written
 */
int yield_is_due (cyield_t *y, const cvm_t *vms, int nvms, const char *self,
                  uint32_t cpu_m, int idle, gl_ms_t now);

#endif
