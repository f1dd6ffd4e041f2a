/* fuzz_conf.cc -- operators who change the configuration record at the same
   time, in a store that loses replies and delays writes */
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <string>

extern "C"
{
#include "change.h"
#include "fault.h"
#include "kvcore.h"
}

#ifdef GL_TEST_FAULTS
fault_t fault_on = FAULT_NONE;
#endif

/**
 * struct Step - one step of a script
 * @who: the operator that acts
 * @outcome: outcome of its store operation, see World::advance; 9 delivers a
 *   delayed write instead, if there is one
 * @arg: chooses the content of a new change, or the delayed write to deliver
 */
struct Step
{
  int who;
  int outcome;
  uint32_t arg;
};

static std::ostream &
operator<< (std::ostream &os, const Step &s)
{
  return os << s.who << "," << s.outcome << "," << s.arg;
}

static const int OPERATORS = 4;

/* One operator: the change, the configuration text that it sets, whether the
   change is in progress, and the operation that it needs next. */
struct Operator
{
  change_t c{};
  std::string text;
  bool busy = false;
  change_op_t op = CHANGE_GET;
};

/* A write that was sent and has not reached the store yet. */
struct DelayedWrite
{
  uint64_t index;
  std::string record;
};

/**
 * class World - the store, the operators and the oracle
 * @violation: the first violation that was found, "" for none
 * @steps: store operations so far
 * @accepted: number of changes that were answered as accepted
 * @revision: revision of the record in the store
 * @written: how often each change, by its number, took effect
 * @refused: numbers of the changes that were answered as refused
 */
class World
{
public:
  ~World ()
  {
    for (auto &o : ops)
      change_free (&o.c);
    kv_destroy (&kv);
  }
  void run (const Step &s);
  void finish ();
  std::string violation;
  uint64_t steps = 0;
  int accepted = 0;

private:
  void start_change (Operator &o, uint32_t arg);
  void advance (Operator &o, int outcome);
  bool write (uint64_t index, const std::string &record);
  void check_answer (Operator &o);
  void
  violate (const std::string &w)
  {
    if (violation.empty ())
      violation = w;
  }

  kv_t kv{};
  Operator ops[OPERATORS];
  std::vector<DelayedWrite> delayed;
  uint64_t revision = 0;
  uint64_t next_id = 1;
  std::map<uint64_t, int> written;
  std::set<uint64_t> refused;
  std::map<std::string, std::string> parts;
};

void
World::start_change (Operator &o, uint32_t arg)
{
  static const char *const sites[] = { NULL, "manila", "brittany" };

  change_free (&o.c);
  o.c = change_t{};
  o.text = "[policy]\nageing_s = " + std::to_string (arg % 100) + "\n";
  o.c.site = sites[arg % 3];
  o.c.text = o.text.c_str ();
  o.c.author = "op";
  o.c.expected_revision = (arg >> 8) % 3 ? CHANGE_ANY_REVISION : revision;
  o.c.id = next_id++;
  o.busy = true;
  o.op = CHANGE_GET;
}

/* Write the record if its index is @index, and check that its revision follows
   the last one and that each change takes effect at most once. */
bool
World::write (uint64_t index, const std::string &record)
{
  conf_doc_t d;

  if (!kv_cas (&kv, CONF_KEY, index, record.data (), record.size (), 0, 0))
    return false;
  if (conf_doc_load (&d, record.data (), record.size ()))
    {
      violate ("an unreadable record was written");
      return true;
    }
  if (d.revision != revision + 1)
    violate ("revision " + std::to_string (d.revision) + " after "
             + std::to_string (revision));
  revision = d.revision;
  for (uint64_t id = 1; id < next_id; id++)
    if (conf_doc_revision_of (&d, id) == d.revision && ++written[id] > 1)
      violate ("a change took effect twice");
  for (auto id : refused)
    if (written.count (id))
      violate ("a change took effect after it was refused");
  conf_doc_free (&d);
  return true;
}

/* The change has ended: check that the answer to the operator is true. */
void
World::check_answer (Operator &o)
{
  o.busy = false;
  if (o.c.code == GL_OK)
    {
      accepted++;
      if (!written.count (o.c.id))
        violate ("a change was accepted that is not written");
    }
  else if (o.c.code != GL_UNKNOWN)
    {
      refused.insert (o.c.id);
      if (written.count (o.c.id))
        violate (std::string ("a change was refused that is written: ")
                 + o.c.err);
    }
}

/* One store operation.  @outcome 0: it is refused.  1: its reply is lost.  2:
   a write is delayed and its reply lost.  Other: it is replied to. */
void
World::advance (Operator &o, int outcome)
{
  gl_store_status_t st = GL_ST_OK;
  kv_entry_t *e = kv_get (&kv, CONF_KEY, 0);
  uint64_t index = e ? e->index : 0;
  std::string data = e ? std::string (e->data, e->len) : "";

  steps++;
  if (outcome == 0)
    st = GL_ST_REFUSED;
  else if (o.op == CHANGE_GET)
    st = outcome == 1 ? GL_ST_UNKNOWN : e ? GL_ST_OK : GL_ST_ABSENT;
  else if (outcome == 1)
    {
      /* The write takes effect, its reply is lost. */
      write (o.c.index, o.c.record);
      st = GL_ST_UNKNOWN;
    }
  else if (outcome == 2)
    {
      /* The write may take effect later. */
      delayed.push_back ({ o.c.index, o.c.record });
      st = GL_ST_UNKNOWN;
    }
  else
    st = write (o.c.index, o.c.record) ? GL_ST_OK : GL_ST_CONFLICT;
  o.op = change_store_done (&o.c, o.op, st, index, data.data (), data.size ());
  if (o.op == CHANGE_DONE)
    check_answer (o);
}

void
World::run (const Step &s)
{
  Operator &o = ops[s.who % OPERATORS];

  if (s.outcome == 9 && !delayed.empty ())
    {
      size_t k = s.arg % delayed.size ();
      DelayedWrite l = delayed[k];
      delayed.erase (delayed.begin () + (long)k);
      write (l.index, l.record);
    }
  else if (!o.busy)
    start_change (o, s.arg);
  else
    advance (o, s.outcome);
}

/* Deliver all delayed writes and complete all changes, without faults. */
void
World::finish ()
{
  for (auto &l : delayed)
    write (l.index, l.record);
  for (auto &o : ops)
    while (o.busy && violation.empty ())
      advance (o, 5);
}

static rc::Gen<Step>
gen_step ()
{
  return rc::gen::resize (
      rc::kNominalSize,
      rc::gen::build<Step> (
          rc::gen::set (&Step::who, rc::gen::inRange (0, OPERATORS)),
          rc::gen::set (&Step::outcome, rc::gen::inRange (0, 12)),
          rc::gen::set (&Step::arg, rc::gen::inRange<uint32_t> (0, 1 << 20))));
}

/* Run a script; returns the violation, "" for none. */
static std::string
run (const std::vector<Step> &script, uint64_t *steps, int *accepted)
{
  World w;

  for (auto &s : script)
    if (w.violation.empty ())
      w.run (s);
  if (w.violation.empty ())
    w.finish ();
  *steps += w.steps;
  *accepted += w.accepted;
  return w.violation;
}

TEST (FuzzConf, PromisesHold)
{
  const char *seed = getenv ("SEED");
  const char *cases = getenv ("CASES");
  uint64_t steps = 0;
  int accepted = 0;
  std::ostringstream os;
  rc::detail::TestParams params;

  params.seed = seed ? strtoull (seed, NULL, 10) : 1;
  params.maxSuccess = cases ? atoi (cases) : 3000;
  auto result = rc::detail::checkTestable (
      [&] {
        auto script = *rc::gen::resize (
            150, rc::gen::container<std::vector<Step> > (gen_step ()));
        std::string v = run (script, &steps, &accepted);
        if (!v.empty ())
          RC_FAIL (v);
      },
      rc::detail::TestMetadata (), params);
  if (!result.template is<rc::detail::SuccessResult> ())
    {
      rc::detail::printResultMessage (result, os);
      ADD_FAILURE () << "seed " << params.seed << "\n" << os.str ();
    }
  printf ("%llu steps, %d changes accepted\n", (unsigned long long)steps,
          accepted);
  EXPECT_GT (accepted, params.maxSuccess);
}

#ifdef GL_TEST_FAULTS
class FuzzConfFault : public testing::TestWithParam<fault_t>
{
};

TEST_P (FuzzConfFault, IsCaught)
{
  uint64_t steps = 0;
  int accepted = 0;
  std::string v;
  rc::Random random (3);

  fault_on = GetParam ();
  for (int i = 0; v.empty () && i < 500; i++)
    {
      auto gen = rc::gen::container<std::vector<Step> > (gen_step ());
      v = run (gen (random.split (), 150).value (), &steps, &accepted);
    }
  fault_on = FAULT_NONE;
  EXPECT_NE ("", v) << "fault " << GetParam () << " was not found";
  printf ("fault %d found after %llu steps: %s\n", (int)GetParam (),
          (unsigned long long)steps, v.c_str ());
}

INSTANTIATE_TEST_SUITE_P (All, FuzzConfFault,
                          testing::Values (FAULT_CHANGE_TWICE,
                                           FAULT_CHANGE_UNSURE_IS_DONE));
#endif
