/* register.h -- adds a stand-in's VMs to the platform's VM list */
#ifndef REGISTER_H
#define REGISTER_H

#include <jansson.h>

/**
 * register_vms - add VMs to the list of a domain; blocks, with retries
 * @platform: URL of the platform's stand-in, without a slash at its end
 * @list: JSON array of VMs, as src/listhttp.c describes them
 *
 * Returns 0 once the platform has responded, whatever the status, else -1.
 */
int register_vms (const char *platform, const char *domain, json_t *list);

#endif
