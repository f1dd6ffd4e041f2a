/* settings.h -- settings of the scheduler's daemons on a VM, from an INI file
 */
#ifndef GL_SETTINGS_H
#define GL_SETTINGS_H

#include "inifile.h"

#define PEERS_MAX 64

/**
 * struct settings_t - settings of a VM, one file for all its daemons
 * @node: name of this VM
 * @domain: failure domain of this VM
 * @site: site whose overlay of the configuration is in force
 * @platform: URL of the platform's service
 * @admin_http, @admin_rpc, @entry_http, @scheduler_rpc, @scheduler_http:
 * addresses that the daemons listen on, "IP:port"; "" when not set
 * @peers, @npeers: addresses of the administration RPC of the other VMs
 * @entries: number of entry daemons of this domain
 * @entry_number: number of this VM's among them, from 0
 * @slots: requests that an instance of a service serves at once
 * @linger_ms: how long a stopping entry daemon still accepts requests, so that
 * the load balancer has time to switch to other entries
 * @admin_memory_mb: memory that the administration daemon uses for requests
 * @entry_memory_mb: memory that the entry daemon uses for requests and answers
 * @entry_connections: most connections of callers
 * @entry_header_ms, @entry_body_ms, @entry_reply_ms, @entry_bytes_per_s: see
 * httpd_limits_t
 * @lease_ms: duration of the owner lease
 * @renew_ms: interval at which it is renewed
 * @worker_lease_ms: duration of a worker's lease
 * @hold_ms: how long a worker may keep a long poll open
 * @commit_gap_ms: shortest interval between two commits
 * @grace_ms: how long worker leases are renewed after the owner lease has
 * ended because the key-value service is unreachable
 * @drift_ppm: bound on a clock's rate error, parts per million
 *
 * docs/OPERATING.md lists every setting with its unit and range.
 */
typedef struct
{
  char node[64];
  char domain[32];
  char site[32];
  char platform[96];
  char admin_http[64];
  char admin_rpc[64];
  char entry_http[64];
  char scheduler_rpc[64];
  char scheduler_http[64];
  char peers[PEERS_MAX][64];
  int npeers;
  int entries;
  int entry_number;
  int slots;
  int linger_ms;
  int admin_memory_mb;
  int entry_memory_mb;
  int entry_connections;
  int entry_header_ms;
  int entry_body_ms;
  int entry_reply_ms;
  int entry_bytes_per_s;
  int lease_ms;
  int renew_ms;
  int worker_lease_ms;
  int hold_ms;
  int commit_gap_ms;
  int grace_ms;
  int drift_ppm;
} settings_t;

/** settings_load - read and check the file at @path; GL_OK, or GL_INVALID with
    a reason in @err, a buffer of SETTINGS_ERROR_LEN bytes */
gl_code_t settings_load (settings_t *s, const char *path, char *err);

#endif
