#include "net/spare_descriptor.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace inference_router::net {

bool SpareDescriptor::acquire() {
  if (!isHeld())
    descriptor_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  return isHeld();
}

void SpareDescriptor::release() {
  if (isHeld())
    ::close(std::exchange(descriptor_, -1));
}

}  // namespace inference_router::net
