/// A descriptor that is held for nothing but to be given up when the system has no other left.
#pragma once

namespace inference_router::net {

class SpareDescriptor {
 public:
  SpareDescriptor() { acquire(); }
  ~SpareDescriptor() { release(); }
  SpareDescriptor(const SpareDescriptor&) = delete;
  SpareDescriptor& operator=(const SpareDescriptor&) = delete;

  bool isHeld() const { return descriptor_ >= 0; }
  /// Takes it again; false if that cannot be done at this moment.
  bool acquire();
  void release();

 private:
  int descriptor_ = -1;
};

}  // namespace inference_router::net
