/*
 * loop.c -- the control thread: one queue of events, one clock
 *
 * Traffic threads post pointers into a Concurrency Kit ring with many
 * producers and one consumer.  The consumer announces that it is about to
 * sleep, looks at the ring once more, and only then waits; a producer that
 * sees the announcement wakes it.  With the fences in between, one of the
 * two always notices the other.
 */
#include "loop.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "handover.h"

/* Longest sleep, so that a clock that was stopped is noticed. */
#define SLEEP_MAX_MS 1000
#define LOOP_SLOTS 8192
/* Pause of a thread that found the queue full. */
#define POST_AGAIN_US 1000

/**
 * struct loop - the queue
 * @fd: event descriptor that wakes the control thread
 * @asleep: the control thread waits, so a post must wake it
 * @owner: the control thread, once loop_run has begun
 * @backlog: items that the control thread posted to itself
 */
struct loop
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[LOOP_SLOTS];
  int fd;
  unsigned int asleep;
  int quit;
  pthread_t owner;
  int owned;
  void **backlog;
  size_t nbacklog;
  size_t capbacklog;
};

gl_ms_t
clock_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (gl_ms_t)t.tv_sec * 1000 + (gl_ms_t)t.tv_nsec / 1000000;
}

loop_t *
loop_new (void)
{
  loop_t *l = calloc (1, sizeof *l);

  if (!l)
    return NULL;
  ck_ring_init (&l->ring, LOOP_SLOTS);
  l->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (l->fd < 0)
    {
      free (l);
      return NULL;
    }
  return l;
}

void
loop_free (loop_t *l)
{
  close (l->fd);
  free (l->backlog);
  free (l);
}

int
loop_post (loop_t *l, void *item)
{
  uint64_t one = 1;

  HANDOVER_OUT (item);
  if (!ck_ring_enqueue_mpsc (&l->ring, l->slots, item))
    return -1;
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (&l->asleep)
      && write (l->fd, &one, sizeof one) != sizeof one)
    return 0;
  return 0;
}

static void
keep (loop_t *l, void *item)
{
  if (l->nbacklog == l->capbacklog)
    {
      size_t cap = l->capbacklog ? 2 * l->capbacklog : 64;
      void **v = realloc (l->backlog, cap * sizeof *v);

      /* A lost result would break the reducer's count of operations. */
      if (!v)
        abort ();
      l->backlog = v;
      l->capbacklog = cap;
    }
  l->backlog[l->nbacklog++] = item;
}

void
loop_must_post (loop_t *l, void *item)
{
  if (l->owned && pthread_equal (l->owner, pthread_self ()))
    {
      keep (l, item);
      return;
    }
  while (loop_post (l, item))
    usleep (POST_AGAIN_US);
}

void
loop_quit (loop_t *l)
{
  l->quit = 1;
}

static int
drain (loop_t *l, const loop_part_t *part)
{
  void *item;
  int n = 0;

  while (n < 256 && ck_ring_dequeue_mpsc (&l->ring, l->slots, &item))
    {
      HANDOVER_IN (item);
      part->take (part->ctx, item);
      n++;
    }
  for (; n < 256 && l->nbacklog; n++)
    part->take (part->ctx, l->backlog[--l->nbacklog]);
  return n;
}

void
loop_drain (loop_t *l, const loop_part_t *part)
{
  while (drain (l, part))
    continue;
}

static void
wait_for_work (loop_t *l, gl_ms_t due)
{
  struct pollfd p = { .fd = l->fd, .events = POLLIN };
  gl_ms_t now = clock_ms ();
  gl_ms_t span = due > now ? due - now : 0;
  uint64_t count;

  if (span > SLEEP_MAX_MS)
    span = SLEEP_MAX_MS;
  ck_pr_store_uint (&l->asleep, 1);
  ck_pr_fence_memory ();
  if (!ck_ring_size (&l->ring))
    poll (&p, 1, (int)span);
  ck_pr_store_uint (&l->asleep, 0);
  if (read (l->fd, &count, sizeof count) < 0)
    return;
}

void
loop_run (loop_t *l, const loop_part_t *part)
{
  l->owner = pthread_self ();
  l->owned = 1;
  while (!l->quit)
    {
      if (drain (l, part))
        continue;
      if (part->due (part->ctx) <= clock_ms ())
        part->tick (part->ctx);
      else
        wait_for_work (l, part->due (part->ctx));
    }
}
