// Hands the open streams of a process that ends to the one that replaces it, and takes them over
// there. Only where both run beside each other on one machine.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "app/server.h"
#include "net/descriptor_transfer.h"

namespace inference_router::app {

// The text form of a stream without its descriptors, and back; throws on what is none.
struct HandedStream {
  routing::Arrival arrival;
  routing::InstanceId instance;
  net::Endpoint address;
  upstream::HttpInstanceClient::TransferState instanceTransfer;
  net::ClientConnection::TransferState client;
};
std::string textOf(const HandedStream& stream);
HandedStream handedStreamOf(const std::string& text);

class Handover {
 public:
  Handover(Server& server, frontend::Front& front, net::Listener& listener)
      : server_(server), front_(front), listener_(listener) {}
  ~Handover();

  // From now on every stream that is open, or opens, goes to the process that receives under this
  // name.
  void begin(const std::string& folder, const std::string& name);
  // Streams that were handed over and that the other process has not taken yet: they come back if
  // it ends.
  std::size_t unheard() const { return sent_.size(); }
  // A stream from another process. One that cannot be taken over breaks, and its client asks for
  // the rest.
  void take(net::ReceivedMessage passed);

 private:
  void settle();
  void tick();
  void hand(core::RequestKey key);

  Server& server_;
  frontend::Front& front_;
  net::Listener& listener_;
  std::unique_ptr<net::DescriptorSender> to_;
  std::deque<net::ReceivedMessage> sent_;  // with descriptors of this process's own
  std::optional<core::TimerQueue::Key> next_;
};

}  // namespace inference_router::app
