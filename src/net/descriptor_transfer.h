/// Passes messages with file descriptors from one process to another of the same user, over a Unix
/// socket that keeps message boundaries. Nothing here blocks. All objects belong to the thread that
/// runs the io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/file_descriptor.h"

namespace inference_router::net {

/// One message with the descriptors that came with it.
struct ReceivedMessage {
  std::string bytes;
  std::vector<FileDescriptor> descriptors;
};

/// Listens on a Unix socket in a folder and acknowledges every message before its handler sees it.
class DescriptorReceiver {
 public:
  /// Stays under what a Unix socket takes at once.
  static constexpr std::size_t kMaxMessageBytes = 160UL * 1024;
  using MessageHandler = std::function<void(ReceivedMessage)>;

  /// Listens under this name in the folder. Check isOpen(): if the socket cannot be made there,
  /// nobody can send anything here, and nothing else happens.
  DescriptorReceiver(boost::asio::io_context& io,
                     std::string folder,
                     std::string name,
                     MessageHandler onMessage);
  ~DescriptorReceiver();
  DescriptorReceiver(const DescriptorReceiver&) = delete;
  DescriptorReceiver& operator=(const DescriptorReceiver&) = delete;

  bool isOpen() const { return listener_.is_open(); }

 private:
  class Peer;

  void listen();
  void accept();
  void acceptOne();
  void retryAcceptLater();
  std::string socketPath() const { return folder_ + "/" + name_; }

  boost::asio::io_context& io_;
  std::string folder_, name_;
  MessageHandler onMessage_;
  boost::asio::posix::stream_descriptor listener_;
  boost::asio::steady_timer acceptRetryTimer_;
  std::list<std::shared_ptr<Peer>> peers_;
};

/// The sending side of one connection to a DescriptorReceiver.
class DescriptorSender {
 public:
  enum class Result {
    kSent,
    kFull,    ///< the receiver is behind: the same message may be sent later
    kBroken,  ///< the connection or the message cannot be used
  };

  /// Connects at once. Check isOpen().
  DescriptorSender(const std::string& folder, const std::string& name);
  bool isOpen() const { return static_cast<bool>(socket_); }

  /// The receiver gets copies of the descriptors; the caller keeps its own.
  Result send(const std::string& bytes, const std::vector<int>& descriptors);
  /// The number of messages, in the order in which they were sent, that were acknowledged since the
  /// last call. If the sender is not open afterwards, the receiver has ended, and no message beyond
  /// these was handled.
  std::size_t takeAcknowledged();

 private:
  FileDescriptor socket_;
};

}  // namespace inference_router::net
