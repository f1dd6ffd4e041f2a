/* handover.h -- annotations for ThreadSanitizer: pointers passed through a
   ring buffer */
#ifndef GL_HANDOVER_H
#define GL_HANDOVER_H

/* Concurrency Kit orders memory accesses with inline assembly, which the
   sanitizer cannot see; without these annotations it reports a data race for
   every item passed between threads.  The sender calls HANDOVER_OUT on an
   item before it enqueues it, the receiver HANDOVER_IN after dequeueing. */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *p);
void __tsan_release (void *p);
#define HANDOVER_OUT(p) __tsan_release (p)
#define HANDOVER_IN(p) __tsan_acquire (p)
#else
#define HANDOVER_OUT(p) ((void)0)
#define HANDOVER_IN(p) ((void)0)
#endif

#endif
