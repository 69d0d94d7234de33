// Reads a JSON configuration and names what is wrong by its path in the file, as in
// "coordination.store.path is missing".
#pragma once

#include <cmath>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

namespace inference_router::core {

class ConfigReader {
 public:
  // The value has to live as long as this.
  explicit ConfigReader(const nlohmann::json& value, std::string path = "")
      : value_(&value), path_(std::move(path)) {}

  const std::string& path() const { return path_; }
  const nlohmann::json& json() const { return *value_; }
  bool has(const std::string& name) const { return value_->is_object() && value_->contains(name); }

  // What has to be there. Throws std::invalid_argument, as all that follows.
  ConfigReader at(const std::string& name) const {
    if (!value_->is_object())
      fail("is not an object");
    if (!value_->contains(name))
      throw std::invalid_argument(under(name) + " is missing");
    return ConfigReader((*value_)[name], under(name));
  }
  ConfigReader at(std::size_t index) const {
    return ConfigReader((*value_)[index], path_ + "[" + std::to_string(index) + "]");
  }
  // The entries of a list, each as ConfigReader.
  std::vector<ConfigReader> list() const {
    if (!value_->is_array())
      fail("is not a list");
    std::vector<ConfigReader> entries;
    for (std::size_t i = 0; i < value_->size(); ++i)
      entries.push_back(at(i));
    return entries;
  }
  const ConfigReader& object() const {
    if (!value_->is_object())
      fail("is not an object");
    return *this;
  }

  template <class What>
  What as() const {
    try {
      if constexpr (std::is_same_v<What, std::string>) {
        if (!value_->is_string())
          fail("is not a text");
      } else if constexpr (std::is_same_v<What, bool>) {
        if (!value_->is_boolean())
          fail("is not true or false");
      } else if constexpr (std::is_unsigned_v<What>) {
        if (!value_->is_number_unsigned())
          fail("is not a whole number of 0 or more");
        if (value_->get<std::uint64_t>() > std::numeric_limits<What>::max())
          fail("is too large");
      } else {
        if (!value_->is_number())
          fail("is not a number");
      }
      return value_->get<What>();
    } catch (const nlohmann::json::exception& fault) {
      fail(fault.what());
    }
  }
  template <class What>
  What value(const std::string& name, What otherwise) const {
    return has(name) ? at(name).as<What>() : otherwise;
  }
  // A time or share above 0, or from 0.
  double above0(const std::string& name, double otherwise) const {
    const double number = value(name, otherwise);
    if (!(number > 0) || !std::isfinite(number))
      at(name).fail("is not above 0");
    return number;
  }

  // Names that are not known are most often misspelt.
  void only(std::initializer_list<const char*> names) const {
    object();
    for (const auto& [name, inner] : value_->items()) {
      bool known = false;
      for (const char* one : names)
        known = known || name == one;
      if (!known)
        throw std::invalid_argument(under(name) + " is not known here");
    }
  }

  [[noreturn]] void fail(const std::string& what) const {
    throw std::invalid_argument((path_.empty() ? "the file" : path_) + " " + what);
  }
  // Runs what reads this value by itself, and puts the path before its complaint.
  template <class Read>
  auto read(const Read& with) const -> decltype(with(std::string())) {
    const auto text = as<std::string>();
    try {
      return with(text);
    } catch (const std::invalid_argument& fault) {
      throw std::invalid_argument(path_ + ": " + fault.what());
    }
  }

 private:
  std::string under(const std::string& name) const {
    return path_.empty() ? name : path_ + "." + name;
  }

  const nlohmann::json* value_;
  std::string path_;
};

}  // namespace inference_router::core
