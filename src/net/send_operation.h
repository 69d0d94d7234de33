/// Writes one message completely to a socket, even if single calls write only part of it.
///
/// After a short write, Asio's own write waits for an edge-triggered event. If the socket is still
/// writable, that event never comes. This operation writes until the socket would block, and only
/// then waits.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace inference_router::net {

class SendOperation final : public std::enable_shared_from_this<SendOperation> {
 public:
  using Done = std::function<void(const boost::system::error_code&)>;

  /// Starts to send both parts in order. The caller keeps the socket and the bytes alive until done
  /// is called; anything that done captures is kept alive as long. done is called once, and never
  /// from within this call.
  static std::shared_ptr<SendOperation> start(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                                              std::string_view first,
                                              std::string_view second,
                                              Done done);

  /// Ends the operation early. It still succeeds if its last byte has been written. Otherwise the
  /// error is operation_aborted if it waited for the socket, or the error of the resource that this
  /// machine lacked.
  void cancel();

 private:
  SendOperation(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                std::string_view first,
                std::string_view second,
                Done done);
  void proceed();
  void awaitWritable();
  void awaitResources(int error);
  void finish(const boost::system::error_code& error);

  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
  std::string_view first_;
  std::string_view second_;
  Done done_;  // empty once its call is posted
  boost::asio::steady_timer retryTimer_;
  boost::system::error_code pendingError_;
};

}  // namespace inference_router::net
