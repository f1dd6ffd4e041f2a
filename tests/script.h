/* script.h -- random and recorded scripts of test steps for the fuzzers */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <fstream>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <vector>

/* One step: an operation number of the fuzzer, its argument, and the virtual
   time in ms that passes after it. */
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

/* A step with a kind below KINDS and a gap below GAP ms.  RapidCheck narrows
   ranges at small sizes; the fixed size keeps all of each range. */
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

/* A script of up to STEPS steps. */
inline rc::Gen<std::vector<Step> >
gen_script (int steps, int kinds, int gap)
{
  return rc::gen::resize (
      steps, rc::gen::container<std::vector<Step> > (gen_step (kinds, gap)));
}

/* Seed of the random choices of the simulated environment. */
inline rc::Gen<uint64_t>
gen_world_seed ()
{
  return rc::gen::resize (rc::kNominalSize,
                          rc::gen::inRange<uint64_t> (0, 1000000));
}

/* Integer in the environment variable NAME, or FALLBACK when it is unset. */
inline int
env_int (const char *name, int fallback)
{
  const char *v = getenv (name);
  return v ? atoi (v) : fallback;
}

/* Read a script from a file: a line "world SEED", then lines
   "kind,argument,gap". Other lines are ignored; false when the file cannot be
   opened. */
inline bool
read_script (const char *path, std::vector<Step> *script, uint64_t *world_seed)
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
        *world_seed = w;
      else if (sscanf (line, "%d,%u,%d", &s.kind, &s.arg, &s.gap) == 3)
        script->push_back (s);
    }
  fclose (f);
  return true;
}

/* Whether KNOWN-RED.txt has this line, indented by two spaces. */
inline bool
is_known_red (const std::string &entry)
{
  std::ifstream in ("KNOWN-RED.txt");

  for (std::string line; std::getline (in, line);)
    if (line == "  " + entry)
      return true;
  return false;
}

/* Paths of the files in a directory, sorted. */
inline std::vector<std::string>
scripts_in (const char *dir)
{
  std::vector<std::string> v;

  for (auto &f : std::filesystem::directory_iterator (dir))
    v.push_back (f.path ().string ());
  std::sort (v.begin (), v.end ());
  return v;
}

#endif
