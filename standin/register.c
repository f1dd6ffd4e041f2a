/*
 * register.c -- adds a stand-in's VMs to the platform's VM list
 */
#include "register.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "httpc.h"

/* Attempts, RETRY_US microseconds apart: the platform may start later. */
#define ATTEMPTS_MAX 50
#define RETRY_US 100000

int
register_vms (const char *platform, const char *domain, json_t *list)
{
  httpc_t *client = httpc_new (0);
  char *body = json_dumps (list, JSON_COMPACT);
  char url[160];
  httpc_request_t r = { .method = "POST",
                        .url = url,
                        .body = body,
                        .len = strlen (body),
                        .timeout = 1000 };
  int rc = -1;

  snprintf (url, sizeof url, "%s/vms/%s", platform, domain);
  for (int i = 0; rc && i < ATTEMPTS_MAX; i++)
    {
      httpc_result_t res = { 0 };

      rc = httpc_perform (client, &r, &res);
      free (res.body);
      if (rc)
        usleep (RETRY_US);
    }
  free (body);
  httpc_free (client);
  return rc;
}
