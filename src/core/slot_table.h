/// A table of reusable slots. A key consists of a slot and its generation, so that a stale key
/// finds nothing rather than the slot's current value. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace inference_router::core {

/// Identifies one value of a SlotTable. A default-constructed key identifies none.
struct SlotKey {
  std::uint32_t slot = UINT32_MAX;
  std::uint32_t generation = 0;
  bool operator==(const SlotKey&) const = default;
};

/// Values by SlotKey. Pointers into the table are valid until the next add().
template <class Value>
class SlotTable {
 public:
  /// Stores a value in a free slot.
  SlotKey add(Value value) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(entries_.size()));
      entries_.emplace_back();
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    entries_[slot].value = std::move(value);
    return {slot, entries_[slot].generation};
  }

  /// The value, or null if it has been removed.
  Value* find(SlotKey key) {
    if (key.slot >= entries_.size())
      return nullptr;
    Entry& entry = entries_[key.slot];
    return entry.value && entry.generation == key.generation ? &*entry.value : nullptr;
  }

  const Value* find(SlotKey key) const { return const_cast<SlotTable*>(this)->find(key); }

  /// Destroys the value and frees its slot. False if there is no such value.
  bool remove(SlotKey key) {
    if (find(key) == nullptr)
      return false;
    entries_[key.slot].value.reset();
    ++entries_[key.slot].generation;
    free_.push_back(key.slot);
    return true;
  }

  /// How many values are stored.
  std::size_t size() const { return entries_.size() - free_.size(); }

 private:
  struct Entry {
    std::optional<Value> value;
    std::uint32_t generation = 1;
  };
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_;
};

}  // namespace inference_router::core
