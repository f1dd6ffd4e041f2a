/* register.h -- put a stand-in's VMs on the platform's list */
#ifndef REGISTER_H
#define REGISTER_H

#include <jansson.h>

/** register_vms - add @list to the list of @domain; 0 when it was taken */
int register_vms (const char *platform, const char *domain, json_t *list);

#endif
