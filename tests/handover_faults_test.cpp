// Streams that pass from one process to another while system calls fail: at any moment just one has
// each.
#include <cerrno>

#include "net/descriptor_transfer.h"
#include "support/faults.h"
#include "support/network_fixture.h"
#include "support/temporary_directory.h"

namespace inference_router {
namespace {

using system_call_faults::Call;

struct TransferStage : NetworkFixture {
  TemporaryDirectory folder;
  std::vector<net::ReceivedMessage> received;
  net::DescriptorReceiver receiver{
      io, folder.path, "receiver",
      [this](net::ReceivedMessage message) { received.push_back(std::move(message)); }};
  net::DescriptorSender sender{folder.path, "receiver"};
};

// The sender of a stream continues to serve it until the receiver has acknowledged it.
TEST(HandOverUnderFaults, HandledMessagesAreThoseAcknowledgedToTheSender) {
  for (const int error : {EINTR, ENOBUFS, ENOMEM, EAGAIN}) {
    SCOPED_TRACE(error);
    TransferStage stage;
    ASSERT_EQ(stage.sender.send("stream", {}), net::DescriptorSender::Result::kSent);
    {
      const Faults faults({{.call = Call::kSend, .error = error, .every = error == EINTR ? 2 : 1}});
      for (int i = 0; i < 50; ++i)
        stage.io.poll();
    }
    std::size_t acknowledged = 0;
    const bool settled = stage.until([&] {
      acknowledged += stage.sender.takeAcknowledged();
      return acknowledged > 0 || !stage.sender.isOpen();
    });
    EXPECT_TRUE(settled);
    EXPECT_EQ(stage.received.size(), acknowledged);
  }
}

}  // namespace
}  // namespace inference_router
