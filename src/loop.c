/*
 * loop.c -- the control thread: one queue of events, one clock
 *
 * Traffic threads post pointers into a Concurrency Kit ring with many
 * producers and one consumer.  The consumer announces that it is about to
 * sleep, looks at the ring once more, and only then waits; a producer that
 * sees the announcement wakes it.  With the fences in between, one of the
 * two always notices the other.  Sockets of the control thread itself are
 * waited for in the same place.
 */
#include "loop.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "handover.h"

/* Longest sleep, so that a clock that was stopped is noticed. */
#define SLEEP_MAX_MS 1000
#define LOOP_SLOTS 8192
/* Descriptors served between two looks at the queue. */
#define FDS_A_ROUND 32
#define WATCH_MAX 4096
/* Pause of a thread that found the queue full. */
#define POST_AGAIN_US 1000

/**
 * struct loop - the queue
 * @fd: event descriptor that wakes the control thread
 * @epoll: what the control thread waits on
 * @watch: who serves a descriptor, by its number
 * @asleep: the control thread waits, so a post must wake it
 * @owner: the control thread, once loop_run has begun
 * @backlog: items that the control thread posted to itself
 */
typedef struct
{
  loop_fd_fn_t fn;
  void *ctx;
} watch_t;

struct loop
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[LOOP_SLOTS];
  int fd;
  int epoll;
  watch_t watch[WATCH_MAX];
  int watched;
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
  struct epoll_event ev = { .events = EPOLLIN };

  if (!l)
    return NULL;
  ck_ring_init (&l->ring, LOOP_SLOTS);
  l->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  l->epoll = epoll_create1 (EPOLL_CLOEXEC);
  ev.data.fd = l->fd;
  if (l->fd < 0 || l->epoll < 0
      || epoll_ctl (l->epoll, EPOLL_CTL_ADD, l->fd, &ev))
    {
      if (l->fd >= 0)
        close (l->fd);
      if (l->epoll >= 0)
        close (l->epoll);
      free (l);
      return NULL;
    }
  return l;
}

int
loop_watch (loop_t *l, int fd, uint32_t events, loop_fd_fn_t fn, void *ctx)
{
  struct epoll_event ev = { .events = events, .data.fd = fd };
  watch_t *w;
  int op;

  if (fd < 0 || fd >= WATCH_MAX)
    return -1;
  w = &l->watch[fd];
  op = !events ? EPOLL_CTL_DEL : w->fn ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  l->watched += (op == EPOLL_CTL_ADD) - (op == EPOLL_CTL_DEL && w->fn);
  w->fn = events ? fn : NULL;
  w->ctx = ctx;
  return epoll_ctl (l->epoll, op, fd, &ev);
}

void
loop_free (loop_t *l)
{
  close (l->fd);
  close (l->epoll);
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
drain (loop_t *l, const loop_handlers_t *part)
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
loop_drain (loop_t *l, const loop_handlers_t *part)
{
  while (drain (l, part))
    continue;
}

static void
serve_fds (loop_t *l, int span)
{
  struct epoll_event ev[FDS_A_ROUND];
  int n = epoll_wait (l->epoll, ev, FDS_A_ROUND, span);
  uint64_t count;

  ck_pr_store_uint (&l->asleep, 0);
  for (int i = 0; i < n; i++)
    {
      int fd = ev[i].data.fd;

      if (fd == l->fd)
        {
          if (read (fd, &count, sizeof count) < 0)
            continue;
        }
      else if (l->watch[fd].fn)
        l->watch[fd].fn (l->watch[fd].ctx, fd, ev[i].events);
    }
}

static void
wait_for_work (loop_t *l, gl_ms_t due)
{
  gl_ms_t now = clock_ms ();
  gl_ms_t span = due > now ? due - now : 0;

  if (span > SLEEP_MAX_MS)
    span = SLEEP_MAX_MS;
  ck_pr_store_uint (&l->asleep, 1);
  ck_pr_fence_memory ();
  serve_fds (l, ck_ring_size (&l->ring) ? 0 : (int)span);
}

void
loop_run (loop_t *l, const loop_handlers_t *part)
{
  l->owner = pthread_self ();
  l->owned = 1;
  while (!l->quit)
    {
      int n = drain (l, part);

      if (part->due (part->ctx) <= clock_ms ())
        {
          part->tick (part->ctx);
          n++;
        }
      if (!n)
        wait_for_work (l, part->due (part->ctx));
      else if (l->watched)
        serve_fds (l, 0);
    }
}
