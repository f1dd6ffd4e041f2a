/* script.h -- random scripts of steps, shared by the fuzzers */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <ostream>
#include <rapidcheck.h>
#include <string>
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
gen_world_seed ()
{
  return rc::gen::resize (rc::kNominalSize,
                          rc::gen::inRange<uint64_t> (0, 1000000));
}

inline int
env_int (const char *name, int preset)
{
  const char *v = getenv (name);
  return v ? atoi (v) : preset;
}

/* A script from a file: "world N", then lines "kind,argument,gap". */
inline bool
read_script (const char *path, std::vector<Step> *script, uint64_t *world)
{
  FILE *f = fopen (path, "r");
  char line[128];

  if (!f)
    return false;
  while (fgets (line, sizeof line, f))
    {
      Step s;
      unsigned long long w;
      if (sscanf (line, "world %llu", &w) == 1)
        *world = w;
      else if (sscanf (line, "%d,%u,%d", &s.kind, &s.arg, &s.gap) == 3)
        script->push_back (s);
    }
  fclose (f);
  return true;
}

/* The files of a folder, in order. */
inline std::vector<std::string>
scripts_in (const char *folder)
{
  std::vector<std::string> v;

  for (auto &f : std::filesystem::directory_iterator (folder))
    v.push_back (f.path ().string ());
  std::sort (v.begin (), v.end ());
  return v;
}

#endif
