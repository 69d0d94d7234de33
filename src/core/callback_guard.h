/// Drops an object's asynchronous callbacks once the object is destroyed.
#pragma once

#include <memory>
#include <utility>

namespace inference_router::core {

/// Held as a member by the object that registers the callbacks. The wrapped callbacks may be copied
/// and destroyed on any thread, but must be called on the thread that destroys the object.
class CallbackGuard {
 public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  /// Returns a callback that does nothing once this guard is destroyed.
  template <class Callback>
  auto wrap(Callback callback) const {
    return [alive = std::weak_ptr<const Token>(token_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!alive.expired())
        callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  struct Token {};
  std::shared_ptr<const Token> token_ = std::make_shared<const Token>();
};

}  // namespace inference_router::core
