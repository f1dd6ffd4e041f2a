/* soakfault.c -- the deliberate fault of the soak's faulty cell, by number in
   the environment */
#include "fault.h"

#include <stdlib.h>

fault_t fault_on;

__attribute__ ((constructor)) static void
read_fault (void)
{
  const char *s = getenv ("SOAK_FAULT");

  fault_on = s ? (fault_t)atoi (s) : FAULT_NONE;
}
