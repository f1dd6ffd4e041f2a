/* cellset.h -- settings of a VM of the cell */
#ifndef GL_CELLSET_H
#define GL_CELLSET_H

#include "cell.h"
#include "inifile.h"

/* Defaults of settings that modules need without a file, too: 64 connections
   of the 512 are left for calls to peers; a record of 2 MB at 2 Mbit/s. */
#define CELLSET_PEER_CONNECTIONS 448
#define CELLSET_PEER_RECORD_MS 8000

/**
 * struct cellset_t - settings of one VM; addresses are "IP:port"
 * @name: this VM's name
 * @domain: its failure domain
 * @requests, @ready: where callers' requests and the readiness probe arrive
 * @rpc: where the other VMs call
 * @metrics: where metrics are read, "" for nowhere
 * @store, @advisor: services of the platform; without an advisor "" stands
 * @writes_per_s: transactions that the store takes from all VMs together
 * @cpu_share: this VM's share of a core
 * @link_mbps: rate of its link in megabits per second, 0 if not known
 * @memory_mb: memory of its machine, by default what the system reports
 * @connections: most connections of callers, 0 for what the memory allows
 * @body_memory_mb: memory for requests of callers, 0 for a quarter of the
 * machine's
 * @header_ms, @body_ms, @reply_ms, @client_bytes_per_s: how long a client may
 * take for a header, a body and the receipt of an answer, the latter two
 * longer by the time that the bytes take at the rate
 * @peer_connections: most connections of other VMs
 * @peer_memory_mb: memory for their buffers, 0 for a part of the machine's
 * @peer_record_ms: how long another VM may take for a message
 * @drain_s: time from SIGTERM to the end of the process
 * @worker_lease_max_ms: longest lease that a worker accepts
 * @stop_max_ms: longest time that a worker takes to stop a run
 * @retention_s: how long a result is kept after the end of its job
 * @store_lease_min_ms: shortest lease that the store grants
 * @interference: tasks that slow each other down are kept apart
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
  double link_mbps;
  int memory_mb;
  int connections;
  int body_memory_mb;
  int header_ms;
  int body_ms;
  int reply_ms;
  int client_bytes_per_s;
  int peer_connections;
  int peer_memory_mb;
  int peer_record_ms;
  double drain_s;
  int worker_lease_max_ms;
  int stop_max_ms;
  int retention_s;
  int store_lease_min_ms;
  int interference;
} cellset_t;

/** cellset_load - read and check the file @path; GL_INVALID with the reason in
    @err, which has SETTINGS_ERROR_LEN bytes */
gl_code_t cellset_load (cellset_t *s, const char *path, char *err);
/** cellset_limits - the settings that the reducer needs */
void cellset_limits (const cellset_t *s, cell_limits_t *limits);

#endif
