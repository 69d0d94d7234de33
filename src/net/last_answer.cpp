#include "net/last_answer.h"

#include <sys/socket.h>

#include <array>

namespace dahliastall::net {

namespace {

constexpr std::size_t kReadSize = 4096;
constexpr int kMostReads = 16;

}  // namespace

void sendLastAnswer(int descriptor, std::string_view answer) {
  [[maybe_unused]] const auto sent =
      ::send(descriptor, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  std::array<char, kReadSize> dropped;
  for (int i = 0; i < kMostReads; ++i)
    if (::recv(descriptor, dropped.data(), dropped.size(), MSG_DONTWAIT) <= 0) return;
}

}  // namespace dahliastall::net
