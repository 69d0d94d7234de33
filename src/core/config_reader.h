/// Reads a JSON configuration. Errors name the faulty value by its path in the file, as in
/// "coordination.store.path is missing".
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace inference_router::core {

/// An unusable configuration: the path of the faulty value and the reason.
class ConfigError : public std::invalid_argument {
 public:
  /// The message is the path, the separator and the reason; an empty path reads "the file".
  ConfigError(std::string path, std::string reason, const std::string& separator = " ")
      : std::invalid_argument((path.empty() ? "the file" : path) + separator + reason),
        path_(std::move(path)),
        reason_(std::move(reason)) {}

  const std::string& path() const { return path_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string path_;
  std::string reason_;
};

/// One value of a configuration and its path. Does not own the value, which has to outlive the
/// reader. All functions that read throw ConfigError if the value is not of the expected form.
class ConfigReader {
 public:
  explicit ConfigReader(const nlohmann::json& value, std::string path = "")
      : value_(&value), path_(std::move(path)) {}

  const std::string& path() const { return path_; }
  const nlohmann::json& json() const { return *value_; }
  bool has(const std::string& name) const { return value_->is_object() && value_->contains(name); }

  /// A required member.
  ConfigReader at(const std::string& name) const {
    object();
    if (!value_->contains(name))
      throw ConfigError(pathOf(name), "is missing");
    return ConfigReader((*value_)[name], pathOf(name));
  }
  /// An element of an array. The index is not checked.
  ConfigReader at(std::size_t index) const {
    return ConfigReader((*value_)[index], path_ + "[" + std::to_string(index) + "]");
  }
  /// The elements of this value, which has to be an array.
  std::vector<ConfigReader> list() const {
    if (!value_->is_array())
      fail("is not a list");
    std::vector<ConfigReader> elements;
    for (std::size_t index = 0; index < value_->size(); ++index)
      elements.push_back(at(index));
    return elements;
  }
  /// This value, which has to be an object.
  const ConfigReader& object() const {
    if (!value_->is_object())
      fail("is not an object");
    return *this;
  }

  /// This value as a string, bool or number.
  template <class Value>
  Value as() const {
    try {
      checkType<Value>();
      return value_->get<Value>();
    } catch (const nlohmann::json::exception& error) {
      fail(error.what());
    }
  }
  /// An optional member, or the default if it is missing.
  template <class Value>
  Value value(const std::string& name, Value defaultValue) const {
    return has(name) ? at(name).as<Value>() : defaultValue;
  }
  /// An optional member that has to be finite and above 0, or the default if it is missing.
  double above0(const std::string& name, double defaultValue) const {
    const double number = value(name, defaultValue);
    if (!(number > 0) || !std::isfinite(number))
      at(name).fail("is not above 0");
    return number;
  }

  /// Rejects members with any other name, which are usually misspelt.
  void only(std::initializer_list<const char*> names) const {
    object();
    for (const auto& [name, member] : value_->items())
      if (std::find(names.begin(), names.end(), name) == names.end())
        throw ConfigError(pathOf(name), "is not known here");
  }

  /// Throws a ConfigError for this value.
  [[noreturn]] void fail(const std::string& reason) const { throw ConfigError(path_, reason); }
  /// Parses this string with a function that throws std::invalid_argument, and adds the path to its
  /// message.
  template <class Parse>
  auto read(const Parse& parse) const -> decltype(parse(std::string())) {
    const auto text = as<std::string>();
    try {
      return parse(text);
    } catch (const std::invalid_argument& error) {
      throw ConfigError(path_, error.what(), ": ");
    }
  }

 private:
  template <class Value>
  void checkType() const {
    if constexpr (std::is_same_v<Value, std::string>) {
      if (!value_->is_string())
        fail("is not a text");
    } else if constexpr (std::is_same_v<Value, bool>) {
      if (!value_->is_boolean())
        fail("is not true or false");
    } else if constexpr (std::is_unsigned_v<Value>) {
      if (!value_->is_number_unsigned())
        fail("is not a whole number of 0 or more");
      if (value_->get<std::uint64_t>() > std::numeric_limits<Value>::max())
        fail("is too large");
    } else {
      if (!value_->is_number())
        fail("is not a number");
    }
  }
  std::string pathOf(const std::string& member) const {
    return path_.empty() ? member : path_ + "." + member;
  }

  const nlohmann::json* value_;
  std::string path_;
};

}  // namespace inference_router::core
