// What one conductor saw of each box, and what the fleet makes of all sights together. A judgement rests on
// distinct witnesses; one that finds most boxes bad is taken to have a bad link of its own and is not heard.
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/store.h"

namespace dahliastall::shared {

enum class Trouble : std::uint8_t { kNone, kRefused, kSilent, kFailing, kSlow };
const char* nameOf(Trouble trouble);

// Evidence of one conductor on one box, faded to the moment at which it is said.
struct Sight {
  double good = 0, bad = 0;
  double badAgeMs = 0, goodAgeMs = 0;  // since the last of each, by the witness's own clock
  Trouble trouble = Trouble::kNone;    // of the last that was bad
};

struct SightTerms {
  double halfMs = 10'000;  // in which evidence loses half its say
  double badFrom = 1.5;  // evidence from which a witness says that a box is bad: two failures, a little faded
  double freshMs = 5'000;  // in which a conductor's own good answer goes before what others say
  double mostBad = 0.5;    // share of the boxes that a witness knows; who finds more of them bad is not heard
};

constexpr std::size_t kMostBoxes = coordination::kMostInstances;

// Leaves so many sights, those with most evidence, bad before good.
void keepMostTelling(std::map<std::string, Sight>& sights, std::size_t most);

// A conductor's own sights.
class Sights {
 public:
  explicit Sights(SightTerms terms = {}) : terms_(terms) {}

  void good(const std::string& box, double nowMs);
  void bad(const std::string& box, Trouble trouble, double nowMs);
  // What is not listed any more, or says nothing any more, is let go of.
  void tidy(const std::set<std::string>& listed, double nowMs);

  std::map<std::string, Sight> said(double nowMs) const;
  // Whether it answered lately, and nothing went wrong there since.
  bool recentlyHealthy(const std::string& box, double nowMs) const;

 private:
  struct One {
    double good = 0, bad = 0, atMs = 0;
    double goodMs = -1, badMs = -1;
    Trouble trouble = Trouble::kNone;
  };
  One& faded(const std::string& box, double nowMs);

  SightTerms terms_;
  std::map<std::string, One> all_;
};

// A sight that was said so long ago, as it counts now. Never grows.
Sight aged(const Sight& sight, double byMs, const SightTerms& terms);

enum class Word : std::uint8_t { kNothing, kGood, kBad };
Word wordOf(const Sight& sight, const SightTerms& terms);

// Whether this witness is heard at all: one that finds more than its share of the boxes that it knows bad,
// and at least two, more likely has a bad link of its own.
bool credible(const std::map<std::string, Sight>& sights, const SightTerms& terms);

// What all say of one box.
struct Judged {
  std::uint32_t bad = 0, good = 0;  // distinct witnesses
  bool out = false;                 // the fleet leaves it out
  Trouble trouble = Trouble::kNone;
  double evidence = 0;          // of the bad ones
  std::uint64_t sinceBeat = 0;  // of the digest at which it went out
  bool operator==(const Judged&) const = default;
};

struct JudgeTerms {
  std::uint32_t witnesses = 2;  // that it takes at least
  double fadesMs = 60'000;      // without anything bad seen after which a judgement ends by itself
};

// The next judgement on a box, from the last one and what credible witnesses say now.
Judged judge(const Judged& before, const std::vector<Sight>& heard, std::uint64_t beat,
             const SightTerms& sights, const JudgeTerms& terms);

}  // namespace dahliastall::shared
