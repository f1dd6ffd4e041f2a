/* handover.h -- tell the thread sanitizer of pointers passed through a ring */
#ifndef GL_HANDOVER_H
#define GL_HANDOVER_H

/* Concurrency Kit orders memory in inline assembly, which the sanitizer does
   not see; without these two it reports every item that changes threads. */
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
