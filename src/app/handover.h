/// The hand-over of open streams from a process that ends to the one that replaces it, both ways.
/// Only where both run beside each other on one machine.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "app/handed_stream.h"
#include "app/server.h"
#include "net/descriptor_transfer.h"

namespace inference_router::app {

/// Sends the streams of this process to its successor, and takes over those of its predecessor.
/// Belongs to the thread of the server's loop.
class Handover {
 public:
  Handover(Server& server, frontend::Front& front, net::Listener& listener)
      : server_(server), front_(front), listener_(listener) {}

  /// From now on every stream that is open, or opens, goes to the process that receives under this
  /// name in the folder. Further calls do nothing while that process can be reached.
  void begin(const std::string& folder, const std::string& receiverName);
  /// The number of streams that were sent and that the other process has not acknowledged. They are
  /// resumed here if it ends.
  std::size_t unacknowledged() const { return unacknowledged_.size(); }
  /// Whether the other process is there and acknowledges what is sent to it.
  bool receiverTakesStreams() const;
  /// Takes over a stream from another process. One that cannot be resumed is closed, so that its
  /// client asks for the rest.
  void receive(net::ReceivedMessage message);

 private:
  struct SentStream {
    net::ReceivedMessage message;  // with duplicates of the descriptors
    double sentMs;
  };

  void tick();
  void sendStream(core::RequestKey key);
  bool sendToSuccessor(net::ReceivedMessage message);
  void readAcknowledgements();
  void resumeUnacknowledged();
  void resume(HandedStream stream,
              net::FileDescriptor& clientSocket,
              net::FileDescriptor& instanceSocket);

  Server& server_;
  frontend::Front& front_;
  net::Listener& listener_;
  std::unique_ptr<net::DescriptorSender> successor_;
  std::deque<SentStream> unacknowledged_;
  bool warned_ = false;  // that the other process takes no streams
  core::Timer timer_;
};

}  // namespace inference_router::app
