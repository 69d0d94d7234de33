// What operators said of instances: a last-writer-wins map, so that what several processes have written can
// be merged in any order and as often as one likes. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dahliastall::fleet {

struct Exclusion {
  bool excluded = false;
  std::uint64_t version = 0;  // one more than the highest that its writer had seen of this instance
  std::uint64_t writer = 0;   // decides between two of the same version
  double updatedMs = 0;       // when it was said, by the machine's clock

  bool supersedes(const Exclusion& other) const {
    return std::tie(version, writer) > std::tie(other.version, other.writer);
  }
  bool operator==(const Exclusion&) const = default;
};

class Exclusions {
 public:
  // As many instances as there may be: an operator's mistake in a loop must not fill memory.
  static constexpr std::size_t kMaxEntries = 1024;
  static constexpr std::size_t kMaxIdBytes = 256;
  static constexpr std::size_t kMaxTextBytes =
      kMaxEntries * (6 * kMaxIdBytes + 160);  // each byte of an id escaped

  const Exclusion* find(const std::string& id) const {
    const auto it = exclusions_.find(id);
    return it == exclusions_.end() ? nullptr : &it->second;
  }
  bool excluded(const std::string& id) const {
    const Exclusion* exclusion = find(id);
    return exclusion != nullptr && exclusion->excluded;
  }
  std::size_t size() const { return exclusions_.size(); }
  const std::map<std::string, Exclusion>& all() const { return exclusions_; }

  // False if there is no room for another instance.
  bool set(const std::string& id, bool excluded, std::uint64_t writer, double nowMs);
  // The instances whose mark is another now.
  std::vector<std::string> merge(const Exclusions& others);
  void forget(const std::string& id) { exclusions_.erase(id); }

  // The form in which they are kept, and back; nothing if that is no whole text of this form.
  std::string text() const;
  static std::optional<Exclusions> parse(std::string_view text);

  bool operator==(const Exclusions&) const = default;

 private:
  std::map<std::string, Exclusion> exclusions_;
};

}  // namespace dahliastall::fleet
