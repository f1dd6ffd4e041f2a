/* cellrecord.h -- chunks of task records, see cellrecord.c */
#ifndef GL_CELLRECORD_H
#define GL_CELLRECORD_H

#include <stddef.h>
#include <stdint.h>

/* Tasks of a job whose records are one value of the store.  A record takes 160
   bytes at most, and one of a crash 20. */
#define CELL_CHUNK_TASKS 512
/* Bytes of a job's id, with its terminating NUL. */
#define CELL_JOB_ID_SIZE 20

/**
 * struct cchunk_t - the records of CELL_CHUNK_TASKS tasks
 * @revision: of its key in the store; 0 if absent, or not known yet
 * @version: version of the job's records at its last change
 * @written: that of the last write
 * @in_first_key: an older version has written its records into the job's first
 *   key
 */
typedef struct
{
  uint64_t revision;
  uint64_t version;
  uint64_t written;
  int in_first_key;
} cchunk_t;

/** struct cremoval_t - a chunk to be removed from the store */
typedef struct
{
  char id[CELL_JOB_ID_SIZE];
  size_t chunk;
} cremoval_t;

#endif
