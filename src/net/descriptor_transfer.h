// Passes messages with descriptors from one process to another of the same user: a Unix socket that
// keeps messages whole. Nothing here waits: what cannot be sent now is said to be so.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace inference_router::net {

// A descriptor that is closed unless it is taken.
class Descriptor {
 public:
  explicit Descriptor(int value = -1) : value_(value) {}
  ~Descriptor();
  Descriptor(Descriptor&& other) noexcept : value_(other.take()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  int get() const { return value_; }
  int take();
  explicit operator bool() const { return value_ >= 0; }

 private:
  int value_;
};

struct ReceivedMessage {
  std::string bytes;
  std::vector<Descriptor> descriptors;
};

class DescriptorReceiver {
 public:
  static constexpr std::size_t kLargest = 160 * 1024;  // under what a Unix socket takes at once
  using Take = std::function<void(ReceivedMessage)>;

  // Not open if the folder cannot hold such a socket; then nobody can pass anything here.
  DescriptorReceiver(boost::asio::io_context& io,
                     std::string folder,
                     const std::string& name,
                     Take take);
  ~DescriptorReceiver();
  bool isOpen() const { return listener_.is_open(); }

 private:
  class Peer;
  void accept();
  void acceptOne();

  boost::asio::io_context& io_;
  std::string folder_, name_;
  Take take_;
  boost::asio::posix::stream_descriptor listener_;
  boost::asio::steady_timer retry_;
  std::list<std::shared_ptr<Peer>> peers_;
};

class DescriptorSender {
 public:
  DescriptorSender(const std::string& folder, const std::string& name);
  bool isOpen() const { return static_cast<bool>(socket_); }

  enum class Result { kSent, kFull, kBroken };
  // The other process gets copies of the descriptors; they stay open here.
  Result send(const std::string& bytes, const std::vector<int>& descriptors);
  // How many more of those sent, in their order, the other process has taken. Not open afterwards:
  // it is gone, and what it has not taken by then nobody has.
  std::size_t taken();

 private:
  Descriptor socket_;
};

}  // namespace inference_router::net
