/// Non-blocking calls on sockets. Each repeats what a signal has interrupted, goes on after a short
/// transfer, and tells apart by type what the caller has to tell apart: a socket that is not ready,
/// a peer that has ended, a connection that is broken, and a machine that lacks resources for the
/// moment.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <span>
#include <string_view>

namespace inference_router::net {

/// Before a call that failed for lack of this machine's resources is tried again.
inline constexpr double kResourceRetryMs = 5;

enum class IoStatus {
  kDone,         ///< bytes were moved
  kWouldBlock,   ///< none can be moved before the socket is ready again
  kEnded,        ///< the peer has ended its sending
  kNoResources,  ///< this machine lacks memory or buffers; the same call may succeed later
  kFailed,       ///< the connection is broken
};

struct [[nodiscard]] IoResult {
  IoStatus status = IoStatus::kFailed;
  std::size_t bytes = 0;  ///< that were moved, whatever the status is
  int error = 0;          ///< errno of a failure
};

/// Whether an error is one of this machine, which proves that nothing was sent and says nothing of
/// the peer.
bool isLocalFault(int error);
bool isLocalFault(const boost::system::error_code& error);

/// Copies bytes that have come without taking them out of the socket.
IoResult peek(int descriptor, std::span<char> into);
/// Takes bytes that have come, as many as one call gives.
IoResult receive(int descriptor, std::span<char> into);
/// Takes out and drops exactly so many bytes that are known to have come; fewer only with another
/// status.
IoResult discard(int descriptor, std::size_t bytes);
/// Sends both parts in order until all is out or the socket takes no more. The status is kDone only
/// if all is.
IoResult sendAvailable(int descriptor, std::string_view first, std::string_view second = {});
/// Whether the peer has ended its sending or the connection is broken, whatever stands unread
/// before the end.
bool hasPeerClosed(int descriptor);

enum class AcceptStatus {
  kAccepted,
  kNoneWaiting,
  kAborted,        ///< the one in front has gone; others may wait behind it
  kNoDescriptors,  ///< of this process or system; who waits stays in the queue
  kNoResources,    ///< memory, buffers or anything else that may pass; who waits stays in the queue
};

struct [[nodiscard]] AcceptResult {
  AcceptStatus status = AcceptStatus::kNoneWaiting;
  int descriptor = -1;  ///< the caller's to close
};

/// Takes the connection in front of a listening socket's queue.
AcceptResult acceptNext(int listeningDescriptor);

/// Makes a socket of a descriptor. Closes the descriptor if that fails.
boost::system::error_code assign(boost::asio::ip::tcp::socket& socket,
                                 const boost::asio::ip::tcp& protocol,
                                 int descriptor);

}  // namespace inference_router::net
