/* script.h -- random scripts of steps, shared by the fuzzers */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <cstdint>
#include <cstdlib>
#include <ostream>
#include <rapidcheck.h>
#include <vector>

/* One step: what, with which argument, and how long after it, ms. */
struct Step
{
  int kind;
  uint32_t arg;
  int gap;
};

inline std::ostream &
operator<< (std::ostream &os, const Step &s)
{
  return os << s.kind << "," << s.arg << "," << s.gap;
}

/* The library narrows ranges at small sizes; a step always has them all. */
inline rc::Gen<Step>
gen_step (int kinds, int gap)
{
  return rc::gen::resize (
      rc::kNominalSize,
      rc::gen::build<Step> (
          rc::gen::set (&Step::kind, rc::gen::inRange (0, kinds)),
          rc::gen::set (&Step::arg, rc::gen::inRange<uint32_t> (0, 1u << 24)),
          rc::gen::set (&Step::gap, rc::gen::inRange (0, gap))));
}

inline rc::Gen<std::vector<Step> >
gen_script (int steps, int kinds, int gap)
{
  return rc::gen::resize (
      steps, rc::gen::container<std::vector<Step> > (gen_step (kinds, gap)));
}

inline rc::Gen<uint64_t>
gen_world ()
{
  return rc::gen::resize (rc::kNominalSize,
                          rc::gen::inRange<uint64_t> (0, 1000000));
}

inline int
setting (const char *name, int preset)
{
  const char *v = getenv (name);
  return v ? atoi (v) : preset;
}

#endif
