/* cellset.h -- settings of a VM of the cell */
#ifndef GL_CELLSET_H
#define GL_CELLSET_H

#include "cell.h"
#include "inifile.h"

/**
 * struct cellset_t - what a VM of the cell is told
 * @requests, @ready: where callers and the platform's probe arrive
 * @rpc: where the other VMs call; @metrics: where figures are read
 * @store, @advisor: the platform's services, "IP:port"
 * @cpu_share: this VM's share of a core
 * @drain_ms: time from SIGTERM to the end of the process
 * @bounds: figures of the site
 */
typedef struct
{
  char name[64];
  char domain[64];
  char requests[64];
  char ready[64];
  char rpc[64];
  char metrics[64];
  char store[64];
  char advisor[64];
  int writes_per_s;
  double cpu_share;
  double drain_s;
  int worker_lease_max;
  int stop_max;
  int kept_s;
  int ttl_min;
} cellset_t;

/** cellset_load - read and check @path; GL_INVALID with a reason in @err */
gl_code_t cellset_load (cellset_t *s, const char *path, char *err);
/** cellset_bounds - the figures that the cell's reducer needs */
void cellset_bounds (const cellset_t *s, cell_bounds_t *b);

#endif
