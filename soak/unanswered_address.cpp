#include "unanswered_address.h"

namespace inference_router::soak {

namespace {

// A queue of length 0 holds one connection.
constexpr int kQueueLength = 0;
constexpr int kFillers = 2;

}  // namespace

UnansweredAddress::UnansweredAddress(boost::asio::io_context& io, const net::Endpoint& address)
    : acceptor_(io, address.protocol()) {
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kQueueLength);
  for (int i = 0; i < kFillers; ++i) {
    auto& filler = fillers_.emplace_back(io, address.protocol());
    filler.async_connect(address, [](const boost::system::error_code&) {});
  }
}

}  // namespace inference_router::soak
