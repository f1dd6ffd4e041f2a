/* place.h -- index of workers by free resources, and best fit over it */
#ifndef GL_PLACE_H
#define GL_PLACE_H

#include "gentianlatch.h"

#define PLACE_CPU_BUCKETS 64
#define PLACE_MEM_BUCKETS 16
#define PLACE_GROUPS 3

/**
 * struct place_worker_t - what placement knows of one worker
 * @total: capacity as the worker reports it
 * @used: granted and not yet proved free
 * @rack: number of its rack
 * @usable: new tasks may be placed on it
 * @reserved: level that a search needs to use it; 0 is open to all
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
  unsigned char cpu;
  unsigned char mem;
  int prev;
  int next;
} place_worker_t;

typedef struct
{
  place_worker_t *w;
  int n;
  int cap;
  int head[PLACE_GROUPS][PLACE_CPU_BUCKETS][PLACE_MEM_BUCKETS];
  uint64_t cpu_map[PLACE_GROUPS];
  uint16_t mem_map[PLACE_GROUPS][PLACE_CPU_BUCKETS];
  int64_t sum_cpus;
  int64_t sum_memory;
  int64_t sum_accels;
  uint64_t probes;
} place_t;

/**
 * struct place_query_t - what a search looks for
 * @need: resources of one task
 * @rack_count: tasks of the same job per rack, or NULL when spread is moot
 * @nracks: length of rack_count
 * @tasks_on_worker: tasks of the same job on a worker, or NULL; called with
 * @ctx
 * @level: reserved workers up to this level may be used
 * @avoid: worker not to choose again, -1 for none
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

/** place_init - an empty index */
void place_init (place_t *p);
/** place_done - release it */
void place_done (place_t *p);
/** place_add - a new unusable worker without capacity; -1 out of memory */
int place_add (place_t *p);
/** place_set - set capacity, rack and usability of worker @i */
void place_set (place_t *p, int i, const gl_res_t *total, int rack,
                int usable);
/** place_allocate - grant resources of worker @i; -1 if they do not fit */
int place_allocate (place_t *p, int i, const gl_res_t *r);
/**
 * place_allocate_unchecked - count resources that a journal says are granted,
 * on a worker whose capacity may not be known yet
 */
void place_allocate_unchecked (place_t *p, int i, const gl_res_t *r);
/** place_release - return resources of worker @i */
void place_release (place_t *p, int i, const gl_res_t *r);
/** place_find - the best worker for @want, or -1 */
int place_find (place_t *p, const place_query_t *want);
/** place_first_fit - lowest-numbered worker that fits, a baseline */
int place_first_fit (place_t *p, const place_query_t *want);
/** place_random_fit - the first that fits from worker @from on, a baseline */
int place_random_fit (place_t *p, const place_query_t *want, int from);
/** place_fits - whether @need fits within @room */
int place_fits (const gl_res_t *need, const gl_res_t *room);
/** place_count_fitting - how many tasks of @need fit within @room */
int place_count_fitting (const gl_res_t *need, const gl_res_t *room);
/** place_free_resources - free resources of worker @i */
gl_res_t place_free_resources (const place_t *p, int i);

#endif
