/*
 * loop.c -- event loop of the control thread: queue, descriptors, timer
 *
 * Other threads post pointers to a Concurrency Kit ring with many producers
 * and one consumer.  Before the control thread waits, it sets a flag, checks
 * the ring once more and only then calls epoll_wait; a producer that sees the
 * flag after it has posted writes to an event descriptor.  The memory fences
 * on both sides ensure that either the control thread sees the item or the
 * producer sees the flag, so no wake-up is lost.  The same epoll_wait serves
 * the sockets of the control thread.
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

/* Longest wait, so that the clock is read again soon after it was stopped, as
   while the VM is suspended. */
#define WAIT_MAX_MS 1000
/* Capacity in items of the queue; a power of two. */
#define QUEUE_SLOTS 8192
/* Items handled between two checks of the timer and of the descriptors. */
#define ITEMS_PER_ROUND 256
/* Descriptors served between two checks of the queue. */
#define FDS_PER_ROUND 32
/* Descriptors that can be watched are below this number. */
#define WATCHED_FD_MAX 4096
/* Pause before a thread that found the queue full tries again. */
#define POST_RETRY_US 1000

/** struct watch_t - callback of a watched descriptor; @fn NULL: not watched */
typedef struct
{
  loop_fd_fn_t fn;
  void *ctx;
} watch_t;

/**
 * struct loop - an event loop
 * @ring, @slots: the queue
 * @wake_fd: event descriptor that ends the control thread's wait
 * @epoll_fd: epoll instance that the control thread waits on
 * @watch: callbacks by descriptor number
 * @nwatched: number of watched descriptors
 * @waiting: the control thread is about to wait or waits, so a post must wake
 * it
 * @quit: loop_run is to return
 * @owner: the control thread; valid once @has_owner is set by loop_run
 * @backlog: items that the control thread posted itself; the last is handled
 * first
 */
struct loop
{
  ck_ring_t ring;
  ck_ring_buffer_t slots[QUEUE_SLOTS];
  int wake_fd;
  int epoll_fd;
  watch_t watch[WATCHED_FD_MAX];
  int nwatched;
  unsigned int waiting;
  int quit;
  pthread_t owner;
  int has_owner;
  void **backlog;
  size_t nbacklog;
  size_t capbacklog;
};

gl_ms_t
clock_ms (void)
{
  struct timespec t;

  /* It goes on while the machine is suspended, unlike CLOCK_MONOTONIC, as
     leases do. */
  clock_gettime (CLOCK_BOOTTIME, &t);
  return (gl_ms_t)t.tv_sec * 1000 + (gl_ms_t)t.tv_nsec / 1000000;
}

loop_t *
loop_new (void)
{
  loop_t *l = calloc (1, sizeof *l);
  struct epoll_event ev = { .events = EPOLLIN };

  if (!l)
    return NULL;
  ck_ring_init (&l->ring, QUEUE_SLOTS);
  l->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  l->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  ev.data.fd = l->wake_fd;
  if (l->wake_fd < 0 || l->epoll_fd < 0
      || epoll_ctl (l->epoll_fd, EPOLL_CTL_ADD, l->wake_fd, &ev))
    {
      if (l->wake_fd >= 0)
        close (l->wake_fd);
      if (l->epoll_fd >= 0)
        close (l->epoll_fd);
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

  if (fd < 0 || fd >= WATCHED_FD_MAX)
    return -1;
  w = &l->watch[fd];
  op = !events ? EPOLL_CTL_DEL : w->fn ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  l->nwatched += (op == EPOLL_CTL_ADD) - (op == EPOLL_CTL_DEL && w->fn);
  w->fn = events ? fn : NULL;
  w->ctx = ctx;
  return epoll_ctl (l->epoll_fd, op, fd, &ev);
}

void
loop_free (loop_t *l)
{
  close (l->wake_fd);
  close (l->epoll_fd);
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
  /* A failed write only delays the item until the wait's timeout. */
  if (ck_pr_load_uint (&l->waiting)
      && write (l->wake_fd, &one, sizeof one) != sizeof one)
    return 0;
  return 0;
}

static void
backlog_add (loop_t *l, void *item)
{
  if (l->nbacklog == l->capbacklog)
    {
      size_t cap = l->capbacklog ? 2 * l->capbacklog : 64;
      void **v = realloc (l->backlog, cap * sizeof *v);

      /* A lost result would leave the reducer's count of outstanding
         operations wrong. */
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
  if (l->has_owner && pthread_equal (l->owner, pthread_self ()))
    {
      backlog_add (l, item);
      return;
    }
  while (loop_post (l, item))
    usleep (POST_RETRY_US);
}

void
loop_quit (loop_t *l)
{
  l->quit = 1;
}

/* Handles at most ITEMS_PER_ROUND items; returns their number. */
static int
drain (loop_t *l, const loop_handlers_t *handlers)
{
  void *item;
  int n = 0;

  while (n < ITEMS_PER_ROUND
         && ck_ring_dequeue_mpsc (&l->ring, l->slots, &item))
    {
      HANDOVER_IN (item);
      handlers->on_item (handlers->ctx, item);
      n++;
    }
  for (; n < ITEMS_PER_ROUND && l->nbacklog; n++)
    handlers->on_item (handlers->ctx, l->backlog[--l->nbacklog]);
  return n;
}

void
loop_drain (loop_t *l, const loop_handlers_t *handlers)
{
  while (drain (l, handlers))
    continue;
}

/* Waits up to @timeout ms, then calls back for the descriptors that are
   ready. */
static void
serve_fds (loop_t *l, int timeout)
{
  struct epoll_event ev[FDS_PER_ROUND];
  int n = epoll_wait (l->epoll_fd, ev, FDS_PER_ROUND, timeout);
  uint64_t count;

  ck_pr_store_uint (&l->waiting, 0);
  for (int i = 0; i < n; i++)
    {
      int fd = ev[i].data.fd;

      if (fd == l->wake_fd)
        {
          if (read (fd, &count, sizeof count) < 0)
            continue;
        }
      /* An earlier callback of this round may have ended the watch. */
      else if (l->watch[fd].fn)
        l->watch[fd].fn (l->watch[fd].ctx, fd, ev[i].events);
    }
}

static void
wait_for_work (loop_t *l, gl_ms_t due)
{
  gl_ms_t now = clock_ms ();
  gl_ms_t timeout = due > now ? due - now : 0;

  if (timeout > WAIT_MAX_MS)
    timeout = WAIT_MAX_MS;
  ck_pr_store_uint (&l->waiting, 1);
  ck_pr_fence_memory ();
  serve_fds (l, ck_ring_size (&l->ring) ? 0 : (int)timeout);
}

void
loop_run (loop_t *l, const loop_handlers_t *handlers)
{
  l->owner = pthread_self ();
  l->has_owner = 1;
  while (!l->quit)
    {
      int n = drain (l, handlers);

      if (handlers->next_due (handlers->ctx) <= clock_ms ())
        {
          handlers->on_tick (handlers->ctx);
          n++;
        }
      if (!n)
        wait_for_work (l, handlers->next_due (handlers->ctx));
      else if (l->nwatched)
        serve_fds (l, 0);
    }
}
