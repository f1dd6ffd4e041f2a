/* settings.h -- a VM's own settings, one INI file for all its daemons */
#ifndef GL_SETTINGS_H
#define GL_SETTINGS_H

#include "inifile.h"

#define PEERS_MAX 64

/**
 * struct settings_t - what a VM's daemons are told
 * @peers: addresses of the administration RPC of every other VM
 * @entries: entry daemons of this domain, and this one's number among them
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
  int lease_ms;
  int renew_ms;
  int worker_lease_ms;
  int hold_ms;
  int commit_gap_ms;
  int grace_ms;
  int drift_ppm;
} settings_t;

/** settings_load - read and check @path; GL_INVALID with a reason in @err */
gl_code_t settings_load (settings_t *s, const char *path, char *err);

#endif
