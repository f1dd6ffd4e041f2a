/* place.h -- index of workers by free resources, and best fit over it */
#ifndef GL_PLACE_H
#define GL_PLACE_H

#include "gentianlatch.h"

/* Buckets of the index, see place.c: by free CPUs, by free memory, and
   groups by accelerators. */
#define PLACE_CPU_BUCKETS 64
#define PLACE_MEM_BUCKETS 16
#define PLACE_GROUPS 3

/**
 * struct place_worker_t - one worker in the index
 * @total: capacity as the worker reports it
 * @used: resources allocated and not yet released
 * @rack: number of its rack
 * @usable: new tasks may be placed on it
 * @reserved: lowest level of a query that may use it; 0 is open to all
 * @linked: it is in the list of its bucket; only usable workers are
 * @group, @cpu_bucket, @mem_bucket: the bucket whose list it is in
 * @prev, @next: neighbours in that list, -1 for none
 */
typedef struct
{
  gl_res_t total;
  gl_res_t used;
  int rack;
  unsigned char usable;
  unsigned char reserved;
  unsigned char linked;
  unsigned char group;
  unsigned char cpu_bucket;
  unsigned char mem_bucket;
  int prev;
  int next;
} place_worker_t;

/**
 * struct place_t - the index
 * @w: workers, @n of them, room for @cap
 * @head: first worker in the list of each bucket, -1 for none
 * @cpu_bitmap: per group, the CPU buckets that hold any worker
 * @mem_bitmap: per group and CPU bucket, the memory buckets that hold any
 *   worker
 * @sum_cpus, @sum_memory, @sum_accels: capacity of all workers together, in
 *   the units of gl_res_t
 * @probes: workers that searches have examined since place_init
 */
typedef struct
{
  place_worker_t *w;
  int n;
  int cap;
  int head[PLACE_GROUPS][PLACE_CPU_BUCKETS][PLACE_MEM_BUCKETS];
  uint64_t cpu_bitmap[PLACE_GROUPS];
  uint16_t mem_bitmap[PLACE_GROUPS][PLACE_CPU_BUCKETS];
  int64_t sum_cpus;
  int64_t sum_memory;
  int64_t sum_accels;
  uint64_t probes;
} place_t;

/**
 * struct place_query_t - criteria of a search for a worker
 * @need: resources of one task
 * @rack_count: tasks of the same job per rack, or NULL to pack the tasks
 *   instead of spreading them over racks
 * @nracks: length of rack_count
 * @tasks_on_worker: returns the number of tasks of the same job on a worker;
 *   called with @ctx; NULL not to spread over workers
 * @level: workers reserved up to this level may be used
 * @avoid: worker that must not be chosen, -1 for none
 */
typedef struct
{
  gl_res_t need;
  const uint16_t *rack_count;
  int nracks;
  int (*tasks_on_worker) (void *ctx, int worker);
  void *ctx;
  int level;
  int avoid;
} place_query_t;

/** place_init - initialize an empty index */
void place_init (place_t *p);
/** place_destroy - free the workers and empty the index */
void place_destroy (place_t *p);
/** place_add - add an unusable worker without capacity; returns its index,
    -1 out of memory */
int place_add (place_t *p);
/** place_set - set capacity, rack and usability of worker @i */
void place_set (place_t *p, int i, const gl_res_t *total, int rack,
                int usable);
/** place_allocate - allocate resources of worker @i; 0, or -1 if they do not
    fit */
int place_allocate (place_t *p, int i, const gl_res_t *r);
/**
 * place_allocate_unchecked - count resources of worker @i that the journal
 * records as allocated; the worker's capacity may not be known yet
 */
void place_allocate_unchecked (place_t *p, int i, const gl_res_t *r);
/** place_release - return allocated resources of worker @i */
void place_release (place_t *p, int i, const gl_res_t *r);
/** place_find - index of the best worker for @query, -1 for none */
int place_find (place_t *p, const place_query_t *query);
/** place_first_fit - lowest-numbered worker that fits, -1 for none; a
    baseline for comparison */
int place_first_fit (place_t *p, const place_query_t *query);
/** place_random_fit - first worker that fits from @from on, wrapping around,
    -1 for none; a baseline for comparison */
int place_random_fit (place_t *p, const place_query_t *query, int from);
/** place_fits - 1 if @need fits within @room */
int place_fits (const gl_res_t *need, const gl_res_t *room);
/** place_count_fitting - how many tasks of @need fit within @room together;
    @need must ask for CPUs */
int place_count_fitting (const gl_res_t *need, const gl_res_t *room);
/** place_free_resources - resources of worker @i that are not allocated;
    negative where more is allocated than it has */
gl_res_t place_free_resources (const place_t *p, int i);

#endif
