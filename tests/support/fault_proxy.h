// A TCP proxy between one process and a server on the loopback interface, with injected faults:
// connections that are reset, bytes that are lost in one direction, and bytes that are held
// back.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "support/network_fixture.h"

namespace inference_router {

class FaultProxy {
 public:
  enum class Mode {
    kPass,
    kReset,          // resets all connections, new ones too
    kDropRequests,   // silently drops what the process sends
    kDropResponses,  // silently drops what the server sends
    kHoldRequests,   // holds what the process sends until release()
  };

  FaultProxy(boost::asio::io_context& io, net::Endpoint server)
      : io_(io), server_(std::move(server)), acceptor_(io, anyPort()) {
    accept();
  }
  ~FaultProxy() {
    for (const auto& tunnel : tunnels_)
      tunnel->close();
  }

  net::Endpoint address() const { return acceptor_.local_endpoint(); }
  Mode mode() const { return mode_; }
  void setMode(Mode mode) {
    mode_ = mode;
    if (mode == Mode::kReset)
      reset();
    if (mode == Mode::kPass)
      release();
  }
  void reset() {
    for (const auto& tunnel : tunnels_)
      tunnel->close();
    tunnels_.clear();
  }
  void release() {
    for (const auto& tunnel : tunnels_)
      tunnel->release();
  }
  // Called with what the process sends, before it is forwarded: true changes the mode to
  // kHoldRequests.
  std::function<bool(const std::string&)> holdWhen;

 private:
  struct Tunnel : std::enable_shared_from_this<Tunnel> {
    Tunnel(FaultProxy& owner, tcp::socket socket)
        : proxy(&owner), process(std::move(socket)), server(owner.io_) {}

    void start() {
      boost::system::error_code error;
      server.connect(proxy->server_, error);
      if (error)
        return close();
      forward(process, server, requestBuffer, /*isRequest=*/true);
      forward(server, process, responseBuffer, /*isRequest=*/false);
    }
    void forward(tcp::socket& from,
                 tcp::socket& to,
                 std::array<char, 16384>& buffer,
                 bool isRequest) {
      from.async_read_some(boost::asio::buffer(buffer),
                           [self = shared_from_this(), &from, &to, &buffer, isRequest](
                               const boost::system::error_code& error, std::size_t count) {
                             if (self->proxy == nullptr)
                               return;
                             if (error)
                               return self->close();
                             const std::string bytes(buffer.data(), count);
                             FaultProxy& owner = *self->proxy;
                             if (isRequest && owner.holdWhen && owner.holdWhen(bytes))
                               owner.mode_ = Mode::kHoldRequests;
                             const bool dropped = owner.mode_ == (isRequest ? Mode::kDropRequests
                                                                            : Mode::kDropResponses);
                             if (isRequest && owner.mode_ == Mode::kHoldRequests)
                               self->heldBytes += bytes;
                             else if (!dropped)
                               self->send(to, bytes);
                             if (self->proxy != nullptr)
                               self->forward(from, to, buffer, isRequest);
                           });
    }
    void send(tcp::socket& to, const std::string& bytes) {
      boost::system::error_code error;
      // Blocking: the data are small and both sides read at once.
      boost::asio::write(to, boost::asio::buffer(bytes), error);
      if (error)
        close();
    }
    void release() {
      if (!heldBytes.empty() && proxy != nullptr)
        send(server, std::exchange(heldBytes, ""));
    }
    void close() {
      proxy = nullptr;
      boost::system::error_code ignored;
      process.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      process.close(ignored);
      server.close(ignored);
    }

    FaultProxy* proxy;
    tcp::socket process, server;
    std::array<char, 16384> requestBuffer{}, responseBuffer{};
    std::string heldBytes;
  };

  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error)
        return;
      const auto tunnel = std::make_shared<Tunnel>(*this, std::move(socket));
      if (mode_ == Mode::kReset) {
        tunnel->close();
      } else {
        std::erase_if(tunnels_, [](const auto& tunnel) { return tunnel->proxy == nullptr; });
        tunnels_.push_back(tunnel);
        tunnel->start();
      }
      accept();
    });
  }

  boost::asio::io_context& io_;
  net::Endpoint server_;
  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<Tunnel>> tunnels_;
  Mode mode_ = Mode::kPass;
};

}  // namespace inference_router
