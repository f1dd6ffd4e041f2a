/*
 * pack.c -- example: the placement index used on its own
 *
 * Reads the needs of tasks from standard input, one per line as
 * "CPUS_M MEMORY_MB ACCELS", and prints the worker on which each is placed, or
 * that none has room.  There are four workers without accelerators and one
 * with eight, two to a rack.
 *
 *   printf '4000 8192 0\n1000 1024 1\n' | build/example-pack
 */
#include <stdio.h>

#include "place.h"

int
main (void)
{
  static const gl_res_t sizes[] = { { 16000, 65536, 0 },
                                    { 16000, 65536, 0 },
                                    { 16000, 65536, 0 },
                                    { 32000, 65536, 0 },
                                    { 32000, 131072, 8 } };
  place_t p;
  place_query_t want = { .avoid = -1 };

  place_init (&p);
  for (int i = 0; i < (int)(sizeof sizes / sizeof *sizes); i++)
    {
      if (place_add (&p) < 0)
        return 1;
      place_set (&p, i, &sizes[i], i / 2, 1);
    }
  while (scanf ("%d %d %d", &want.need.cpus_m, &want.need.memory_mb,
                &want.need.accels)
         == 3)
    {
      int w = place_find (&p, &want);

      if (w < 0 || place_allocate (&p, w, &want.need))
        puts ("no worker has room");
      else
        printf ("worker %d, %d thousandths of a CPU left\n", w,
                place_free_resources (&p, w).cpus_m);
    }
  place_destroy (&p);
  return 0;
}
