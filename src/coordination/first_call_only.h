/// Limits a callback to its first call.
#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace inference_router::coordination {

/// Returns a copyable callback that passes on its first call and ignores all others, also those of
/// its copies.
template <class Argument>
std::function<void(Argument)> firstCallOnly(std::function<void(Argument)> callback) {
  const auto pending = std::make_shared<std::function<void(Argument)>>(std::move(callback));
  return [pending](Argument argument) {
    if (const auto first = std::exchange(*pending, nullptr))
      first(std::forward<Argument>(argument));
  };
}

}  // namespace inference_router::coordination
