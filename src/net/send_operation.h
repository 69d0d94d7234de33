/// One message on its way to a socket, written whole however little each call takes.
///
/// Asio's own write waits for the edge of a socket that has room again. After a short write the
/// socket still has room, so that no edge comes. This one goes on until the socket takes no more
/// and only then waits.
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

  /// Begins to send both parts in order. The socket and the bytes stay alive until done is called,
  /// once and never from within this call; what done captures lives as long.
  static std::shared_ptr<SendOperation> start(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
                                              std::string_view first,
                                              std::string_view second,
                                              Done done);

  /// Ends the operation where it stands. It still succeeds if its last byte is out. The error says
  /// what it waited for: operation_aborted for room in the socket, else the lack of this machine's
  /// resources.
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
  Done done_;  // none once it is on its way to be called
  boost::asio::steady_timer retryTimer_;
  boost::system::error_code pendingError_;
};

}  // namespace inference_router::net
