// What operators are told of the requests, by class. Counted at the core's two gates and nowhere
// else, so that at every moment taken = ok + shed + errors + abandoned + handed over + open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace inference_router::core {

enum class Ending { kOk, kShed, kError, kAbandoned, kHandedOver };

struct ClassFigures {
  std::uint64_t taken = 0, ok = 0, shed = 0, errors = 0, abandoned = 0;
  std::uint64_t handedOver = 0;  // to the process that replaces this one
  std::uint64_t tries = 0;       // attempts whose last byte was written to a box
  std::uint64_t open = 0;        // taken, and not ended
};

class Figures {
 public:
  // Classes only ever get more: their numbers stay.
  void classes(std::size_t count) {
    if (count > byClass_.size())
      byClass_.resize(count);
  }
  const std::vector<ClassFigures>& byClass() const { return byClass_; }

  // A class that the settings do not name is counted nowhere.
  void taken(std::size_t cls) {
    if (cls >= byClass_.size())
      return;
    ++byClass_[cls].taken;
    ++byClass_[cls].open;
  }
  void tried(std::size_t cls) {
    if (cls < byClass_.size())
      ++byClass_[cls].tries;
  }
  void ended(std::size_t cls, Ending how) {
    if (cls >= byClass_.size())
      return;
    ClassFigures& figures = byClass_[cls];
    --figures.open;
    switch (how) {
      case Ending::kOk:
        ++figures.ok;
        break;
      case Ending::kShed:
        ++figures.shed;
        break;
      case Ending::kError:
        ++figures.errors;
        break;
      case Ending::kAbandoned:
        ++figures.abandoned;
        break;
      case Ending::kHandedOver:
        ++figures.handedOver;
        break;
    }
  }

 private:
  std::vector<ClassFigures> byClass_;
};

}  // namespace inference_router::core
