#include "net/handshake_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace inference_router::net {

void dropNewHandshakes(int listeningDescriptor) {
  constexpr std::uint32_t kFlagsOffset = 13;  // in the TCP header
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kAck = 0x10;
  std::array<sock_filter, 5> program{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
  }};
  const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
  ::setsockopt(listeningDescriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

}  // namespace inference_router::net
