#include "shared/tallies.h"

#include <algorithm>
#include <array>

namespace dahliastall::shared {

namespace {

constexpr std::array kFields{&Tally::served,       &Tally::refused,      &Tally::failed,
                             &Tally::promptTokens, &Tally::answerTokens, &Tally::refusedTokens,
                             &Tally::failedTokens};

}  // namespace

void Tally::add(const Tally& more) {
  for (const auto field : kFields) this->*field += more.*field;
}

bool Tally::covers(const Tally& other) const {
  return std::all_of(kFields.begin(), kFields.end(),
                     [&](const auto field) { return this->*field >= other.*field; });
}

void addTo(Tallies& to, const Tallies& more) {
  for (const auto& [key, tally] : more) to[key].add(tally);
}

Tallies beyond(const Tallies& now, const Tallies& before) {
  Tallies rest;
  for (const auto& [key, tally] : now) {
    const auto old = before.find(key);
    Tally left = tally;
    if (old != before.end())
      for (const auto field : kFields) left.*field -= std::min(left.*field, old->second.*field);
    if (left != Tally{}) rest[key] = left;
  }
  return rest;
}

void merge(Tallies& to, const Tallies& from) {
  for (const auto& [key, tally] : from) {
    Tally& mine = to[key];
    for (const auto field : kFields) mine.*field = std::max(mine.*field, tally.*field);
  }
}

bool grew(const Tallies& now, const Tallies& before) {
  return std::all_of(before.begin(), before.end(), [&](const auto& entry) {
    const auto it = now.find(entry.first);
    return it != now.end() && it->second.covers(entry.second);
  });
}

bool Counts::merge(const Origin& from, const Tallies& part) {
  Tallies& known = parts_[from];
  const bool forwards = grew(part, known);
  shared::merge(known, part);
  return forwards;
}

void Counts::fold(const Origin& from) {
  const auto it = parts_.find(from);
  if (it == parts_.end()) return;
  addTo(base_, it->second);
  parts_.erase(it);
}

Tallies Counts::total() const {
  Tallies all = base_;
  for (const auto& [from, part] : parts_) addTo(all, part);
  return all;
}

}  // namespace dahliastall::shared
