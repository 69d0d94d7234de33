/// Exclusions of instances by operators: a last-writer-wins map, so that the maps of several
/// processes can be merged in any order and repeatedly. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace inference_router::fleet {

/// The latest decision on one instance; excluded is false after the instance was included again.
struct Exclusion {
  bool excluded = false;
  std::uint64_t version = 0;  ///< one higher than the version that its writer replaced
  std::uint64_t writer = 0;   ///< breaks ties between equal versions
  double updatedMs = 0;       ///< on the machine's monotonic clock

  bool supersedes(const Exclusion& other) const {
    return std::tie(version, writer) > std::tie(other.version, other.writer);
  }
  bool operator==(const Exclusion&) const = default;
};

/// The exclusions of all instances.
class Exclusions {
 public:
  /// The largest number of instances; a bound, so that a runaway script cannot fill the memory.
  static constexpr std::size_t kMaxEntries = 1024;
  static constexpr std::size_t kMaxIdBytes = 256;
  /// Of the text form; 160 bytes an entry, and 6 for each byte of an id, as if all were escaped.
  static constexpr std::size_t kMaxTextBytes = kMaxEntries * (6 * kMaxIdBytes + 160);

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

  /// Records a decision on an instance. Returns false if the map is full.
  bool set(const std::string& id, bool excluded, std::uint64_t writer, double nowMs);
  /// Merges the exclusions of another process. Returns the instances whose entry changed.
  std::vector<std::string> merge(const Exclusions& others);
  void forget(const std::string& id) { exclusions_.erase(id); }
  /// Limits all times to nowMs: the monotonic clock counted from another moment before the machine
  /// was rebooted.
  void boundTimes(double nowMs);

  /// Converts to the text form of the shared file, and back. parse() returns nothing if the text is
  /// not complete and valid.
  std::string serialize() const;
  static std::optional<Exclusions> parse(std::string_view text);

  bool operator==(const Exclusions&) const = default;

 private:
  std::map<std::string, Exclusion> exclusions_;
};

}  // namespace inference_router::fleet
