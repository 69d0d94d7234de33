#include "app/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <stdexcept>

namespace inference_router::app {

namespace {

using boost::system::error_code;

/// One connection: connect, write the line, read until the endpoint closes.
class AdminCall {
 public:
  AdminCall(boost::asio::io_context& io, const std::string& line)
      : socket_(io), request_(line + "\n") {}

  void start(const net::Endpoint& endpoint) {
    socket_.async_connect(endpoint, [this](const error_code& error) {
      if (!failed(error))
        write();
    });
  }

  const error_code& error() const { return error_; }
  /// Whether the whole answer has come.
  bool complete() const { return closed_ && !answer_.empty(); }
  const std::string& answer() const { return answer_; }

 private:
  bool failed(const error_code& error) {
    error_ = error;
    return static_cast<bool>(error);
  }
  void write() {
    boost::asio::async_write(socket_, boost::asio::buffer(request_),
                             [this](const error_code& error, std::size_t) {
                               if (!failed(error))
                                 read();
                             });
  }
  void read() {
    boost::asio::async_read(socket_, boost::asio::dynamic_buffer(answer_),
                            [this](const error_code& error, std::size_t) {
                              closed_ = error == boost::asio::error::eof;
                              if (!closed_)
                                error_ = error;
                            });
  }

  boost::asio::ip::tcp::socket socket_;
  std::string request_, answer_;
  bool closed_ = false;
  error_code error_;
};

}  // namespace

std::string callAdmin(const net::Endpoint& endpoint, const std::string& line, double timeoutMs) {
  boost::asio::io_context io;
  AdminCall call(io, line);
  call.start(endpoint);
  io.run_for(std::chrono::milliseconds(static_cast<long>(timeoutMs)));
  const std::string address = net::textOf(endpoint);
  if (call.error())
    throw std::runtime_error("the door at " + address +
                             " cannot be used: " + call.error().message());
  if (!call.complete())
    throw std::runtime_error("the door at " + address + " does not answer");
  return call.answer();
}

}  // namespace inference_router::app
