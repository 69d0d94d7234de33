/// Non-blocking socket calls. They repeat calls that a signal interrupted, continue after short
/// transfers, and report typed results: a socket that is not ready, a peer that has closed, a
/// broken connection, or a temporary lack of resources on this machine.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <span>
#include <string_view>

namespace inference_router::net {

/// Delay before a call that failed for lack of resources on this machine is retried.
inline constexpr double kResourceRetryMs = 5;

enum class IoStatus {
  kDone,         ///< bytes were moved
  kWouldBlock,   ///< no byte can be moved before the socket is ready again
  kEnded,        ///< the peer has shut down sending
  kNoResources,  ///< this machine lacks memory or buffers; the same call may succeed later
  kFailed,       ///< the connection is broken
};

struct [[nodiscard]] IoResult {
  IoStatus status = IoStatus::kFailed;
  std::size_t bytes = 0;  ///< bytes that were moved, whatever the status is
  int error = 0;          ///< errno of a failure
};

/// Whether the error is a fault of this machine. Such an error proves that the failed call sent
/// nothing, and says nothing about the peer.
bool isLocalFault(int error);
bool isLocalFault(const boost::system::error_code& error);

/// Copies received bytes without removing them from the socket.
IoResult peek(int descriptor, std::span<char> into);
/// Reads the received bytes that one call returns.
IoResult receive(int descriptor, std::span<char> into);
/// Reads and discards this many bytes, which are known to have been received. Fewer are discarded
/// only if the status is not kDone.
IoResult discard(int descriptor, std::size_t bytes);
/// Sends both parts in order until the socket would block. The status is kDone only if everything
/// was sent.
IoResult sendAvailable(int descriptor, std::string_view first, std::string_view second = {});
/// Whether the peer has shut down sending or the connection is broken, even if unread bytes precede
/// the end.
bool hasPeerClosed(int descriptor);
/// Whether a connection waits in the accept queue.
bool hasWaitingConnection(int listeningDescriptor);

enum class AcceptStatus {
  kAccepted,
  kNoneWaiting,
  kAborted,        ///< the first connection was aborted; others may wait behind it
  kNoDescriptors,  ///< process or system limit; the connection stays in the queue
  kNoResources,  ///< temporary lack of memory, buffers or others; the connection stays in the queue
};

struct [[nodiscard]] AcceptResult {
  AcceptStatus status = AcceptStatus::kNoneWaiting;
  int descriptor = -1;  ///< owned by the caller
};

/// Accepts the first connection of a listening socket's queue.
AcceptResult acceptNext(int listeningDescriptor);

/// Assigns a descriptor to a socket object. Closes the descriptor if that fails.
boost::system::error_code assign(boost::asio::ip::tcp::socket& socket,
                                 const boost::asio::ip::tcp& protocol,
                                 int descriptor);

}  // namespace inference_router::net
