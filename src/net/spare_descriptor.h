/// A reserve descriptor that is held only to be released when no other descriptor is free.
#pragma once

namespace inference_router::net {

class SpareDescriptor {
 public:
  SpareDescriptor() { acquire(); }
  ~SpareDescriptor() { release(); }
  SpareDescriptor(const SpareDescriptor&) = delete;
  SpareDescriptor& operator=(const SpareDescriptor&) = delete;

  bool isHeld() const { return descriptor_ >= 0; }
  /// Opens the descriptor again; false if that is not possible now.
  bool acquire();
  void release();

 private:
  int descriptor_ = -1;
};

}  // namespace inference_router::net
