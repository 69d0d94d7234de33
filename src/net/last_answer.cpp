#include "net/last_answer.h"

#include <array>

#include "net/socket_calls.h"

namespace inference_router::net {

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr int kMaxReads = 16;

}  // namespace

bool sendLastAnswer(int descriptor, std::string_view answer) {
  const bool complete = sendAvailable(descriptor, answer).status == IoStatus::kDone;
  std::array<char, kReadSize> dropped;
  for (int i = 0; i < kMaxReads; ++i)
    if (receive(descriptor, dropped).status != IoStatus::kDone)
      break;
  return complete;
}

}  // namespace inference_router::net
