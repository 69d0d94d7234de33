/// Callbacks that must not reach an object that has been destroyed meanwhile.
#pragma once

#include <memory>
#include <utility>

namespace inference_router::app {

/// The last member of an object that gives callbacks with `this` to others: they do nothing once
/// the object is destroyed. Belongs to one thread.
class Lifetime {
 public:
  /// The same callback, called only as long as this object lives. Its result must be void.
  template <class Callback>
  auto guard(Callback callback) const {
    return [token = std::weak_ptr<const bool>(token_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!token.expired())
        callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<const bool> token_ = std::make_shared<const bool>(true);
};

}  // namespace inference_router::app
