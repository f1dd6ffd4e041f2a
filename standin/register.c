/*
 * register.c -- put a stand-in's VMs on the platform's list
 */
#include "register.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "httpc.h"

#define TRIES 50

int
register_vms (const char *platform, const char *domain, json_t *list)
{
  httpc_t *c = httpc_new (0);
  char *text = json_dumps (list, JSON_COMPACT);
  char url[160];
  httpc_request_t r = { .method = "POST",
                        .url = url,
                        .body = text,
                        .len = strlen (text),
                        .timeout = 1000 };
  int rc = -1;

  snprintf (url, sizeof url, "%s/vms/%s", platform, domain);
  for (int i = 0; rc && i < TRIES; i++)
    {
      httpc_result_t res = { 0 };

      rc = httpc_perform (c, &r, &res);
      free (res.body);
      if (rc)
        usleep (100000);
    }
  free (text);
  httpc_free (c);
  return rc;
}
