/// Sends messages with file descriptors from one process to another of the same user, over a Unix
/// socket that preserves message boundaries. Nothing here blocks. All objects are confined to the
/// thread that runs the io_context.
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

/// One message with its descriptors.
struct ReceivedMessage {
  std::string bytes;
  std::vector<FileDescriptor> descriptors;
};

/// Listens on a Unix socket in a folder. Acknowledges every message before it calls the handler.
class DescriptorReceiver {
 public:
  /// Below the largest message that a Unix socket accepts.
  static constexpr std::size_t kMaxMessageBytes = 160UL * 1024;
  using MessageHandler = std::function<void(ReceivedMessage)>;

  /// Listens under this name in the folder. If the socket cannot be created, isOpen() is false and
  /// no messages are received.
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
    kFull,    ///< the receiver has not read earlier messages: the same message may be sent later
    kBroken,  ///< the connection or the message cannot be used
  };

  /// Connects at once; isOpen() is false if that fails.
  DescriptorSender(const std::string& folder, const std::string& name);
  bool isOpen() const { return static_cast<bool>(socket_); }

  /// Sends duplicates of the descriptors; the caller keeps its own.
  Result send(const std::string& bytes, const std::vector<int>& descriptors);
  /// Returns how many further messages were acknowledged since the last call, in the order of
  /// sending. If the sender is not open afterwards, the receiver has exited, and no later message
  /// was handled.
  std::size_t takeAcknowledged();

 private:
  FileDescriptor socket_;
};

}  // namespace inference_router::net
