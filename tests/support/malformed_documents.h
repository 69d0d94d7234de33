// Draws malformed variants of valid documents from a seed: values of other types, missing and added
// members, extreme numbers, deep nesting, and damaged bytes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace inference_router {

// Far deeper than the stack of a thread allows to recurse.
inline constexpr std::size_t kStackBreakingDepth = 120'000;
// Deeper than the limit, and shallow enough for the library's own recursion.
inline constexpr std::size_t kDepthOverTheLimit = 300;

inline std::string nestedLists(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

inline std::string nestedObjects(std::size_t depth) {
  std::string text;
  for (std::size_t i = 0; i < depth; ++i)
    text += R"({"a":)";
  return text + "0" + std::string(depth, '}');
}

// The texts that are nested most deeply, as a whole or within an object that begins well.
inline std::vector<std::string> deepTexts(const std::string& objectBegin) {
  const std::string lists = nestedLists(kStackBreakingDepth);
  const std::string objects = nestedObjects(kStackBreakingDepth / 4);
  std::vector<std::string> texts{lists, objects, std::string(kStackBreakingDepth, '[')};
  for (const std::string& value : {lists, objects})
    texts.push_back(objectBegin + value + "}");
  return texts;
}

class MalformedDocuments {
 public:
  explicit MalformedDocuments(std::uint32_t seed) : random_(seed) {}

  // Replaces, removes, adds or copies values at random places.
  nlohmann::json variantOf(nlohmann::json document) {
    for (std::size_t changes = 1 + pick(3); changes > 0; --changes)
      change(randomValueOf(document));
    return document;
  }

  // Flips, cuts, doubles or inserts bytes.
  std::string damaged(std::string text) {
    for (std::size_t changes = 1 + pick(4); changes > 0 && !text.empty(); --changes) {
      const std::size_t at = pick(text.size());
      switch (pick(5)) {
        case 0:
          text[at] = static_cast<char>(pick(256));
          break;
        case 1:
          text.resize(at);
          break;
        case 2:
          text.insert(at, text.substr(pick(text.size())));
          break;
        case 3:
          text.insert(at, 1, "[]{}\",:\\\n\0"[pick(10)]);
          break;
        default:
          text.erase(at, 1 + pick(8));
      }
    }
    return text;
  }

  std::size_t pick(std::size_t count) { return random_() % count; }

 private:
  using json = nlohmann::json;

  json& randomValueOf(json& value) {
    if (!value.is_structured() || value.empty() || pick(4) == 0)
      return value;
    auto element = value.begin();
    std::advance(element, static_cast<std::ptrdiff_t>(pick(value.size())));
    return randomValueOf(*element);
  }

  void change(json& value) {
    const std::size_t kind = pick(4);
    if (kind == 0 && value.is_object() && !value.empty()) {
      auto member = value.begin();
      std::advance(member, static_cast<std::ptrdiff_t>(pick(value.size())));
      value.erase(member);
    } else if (kind == 1 && value.is_array() && !value.empty()) {
      value.push_back(json(value.front()));
    } else {
      value = oddValue();
    }
  }

  const json& oddValue() {
    static const std::vector<json> values{nullptr,
                                          true,
                                          0,
                                          -1,
                                          1,
                                          0.5,
                                          1e300,
                                          -1e300,
                                          INT64_MIN,
                                          UINT64_MAX,
                                          "",
                                          "x",
                                          "0",
                                          "\xff\xfe not UTF-8",
                                          std::string(3'000, 'y'),
                                          json::array(),
                                          json::object(),
                                          json::array({nullptr, 7, "z", json::object()}),
                                          json{{"index", nullptr}, {"id", 4}},
                                          nested(200),
                                          nested(kDepthOverTheLimit)};
    return values[pick(values.size())];
  }

  static json nested(std::size_t depth) {
    json value = 0;
    for (std::size_t i = 0; i < depth; ++i) {
      json outer = i % 2 == 0 ? json::array() : json::object();
      if (outer.is_array())
        outer.push_back(std::move(value));
      else
        outer["a"] = std::move(value);
      value = std::move(outer);
    }
    return value;
  }

  std::mt19937 random_;
};

// Also for values that are not UTF-8.
inline std::string textOf(const nlohmann::json& document) {
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
}

}  // namespace inference_router
