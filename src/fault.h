/* fault.h -- deliberate faults, compiled into the test build only */
#ifndef GL_FAULT_H
#define GL_FAULT_H

/**
 * enum fault_t - one way to break a promise on purpose
 *
 * The fuzzers switch one on and must then report a violation; docs/PROOF.md
 * lists what each one breaks and how many steps its discovery took.
 */
typedef enum
{
  FAULT_NONE = 0,
  FAULT_START_BEFORE_COMMIT,
  FAULT_ANSWER_BEFORE_COMMIT,
  FAULT_SKIP_BOOT_CHECK,
  FAULT_NO_RUN_OUT,
  FAULT_NO_INHERITED_BOUND,
  FAULT_FREE_TWICE,
  FAULT_OVERFILL,
  FAULT_GANG_PARTIAL,
  FAULT_IGNORE_QUOTA,
  FAULT_FORGET_FENCE,
  FAULT_RESEND_SENT,
  FAULT_NO_CLAIM,
  FAULT_PARTIAL_AS_WHOLE,
  FAULT_IGNORE_LEAVING,
  FAULT_REVISION_FALLS,
  FAULT_ANSWER_TWICE,
  FAULT_CUT_ON_STOP,
  FAULT_CHANGE_TWICE,
  FAULT_CHANGE_UNSURE_IS_DONE,
  FAULT_CELL_FORGET_EARLY,
  FAULT_CELL_NO_CENSUS,
  FAULT_CELL_STRAYS_FREE,
  FAULT_CELL_ACCEPT_EARLY,
  FAULT_CELL_FAILURE_TWICE,
  FAULT_CELL_NO_FENCE,
  FAULT_COUNT
} fault_t;

#ifdef GL_TEST_FAULTS
extern fault_t fault_on;
#define FAULT(f) (fault_on == (f))
#else
#define FAULT(f) 0
#endif

#endif
