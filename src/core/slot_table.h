// A table of numbered slots. A key names slot and generation, so that a key kept too long finds
// nothing instead of whoever uses the slot now.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace inference_router::core {

struct SlotKey {
  std::uint32_t slot = UINT32_MAX;
  std::uint32_t generation = 0;
  bool operator==(const SlotKey&) const = default;
};

template <class Value>
class SlotTable {
 public:
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

  Value* find(SlotKey key) {
    if (key.slot >= entries_.size())
      return nullptr;
    Entry& entry = entries_[key.slot];
    return entry.value && entry.generation == key.generation ? &*entry.value : nullptr;
  }

  const Value* find(SlotKey key) const { return const_cast<SlotTable*>(this)->find(key); }

  bool remove(SlotKey key) {
    if (find(key) == nullptr)
      return false;
    entries_[key.slot].value.reset();
    ++entries_[key.slot].generation;
    free_.push_back(key.slot);
    return true;
  }

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
