// Puts the events of a stream together to the one answer that a client without `stream` gets.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::frontend {

class Completion {
 public:
  void add(const nlohmann::json& chunk);
  std::string text() const;
  std::size_t size() const { return size_; }

 private:
  void addDelta(const nlohmann::json& delta);

  nlohmann::json head_ =
      nlohmann::json::object();  // id, created, model and whatever else stands at the top
  nlohmann::json message_ = {{"role", "assistant"}, {"content", nullptr}};
  nlohmann::json finish_, usage_;
  std::size_t size_ = 0;
};

}  // namespace inference_router::frontend
