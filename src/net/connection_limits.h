/// Limits of the memory that one connection uses, in the kernel and in this process.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "core/memory_budget.h"
#include "net/message.h"

namespace inference_router::net {

class ReadAheadAllowance;

/// Of a client's connection.
struct ConnectionLimits {
  /// Bytes of later requests that stay in the kernel while a request is answered; more are read
  /// ahead. At most one request of the maximum size.
  std::size_t maxUnreadBytes = kMaxHeadBytes + kMaxBodyBytes;
  /// Requested of the kernel; none: its own choice.
  std::optional<std::size_t> sendBufferBytes = std::nullopt;
  /// Charged with what the connection holds; null: nothing is charged.
  const core::MemoryBudget* memory = nullptr;
  /// Shared with the other connections of the listener; null: no limit beyond the connection's own.
  ReadAheadAllowance* readAhead = nullptr;
};

/// What the kernel holds for a pair of connections, without its own overhead.
struct SocketMemory {
  std::size_t clientUnreadBytes = 0;
  std::size_t clientSendBytes = 0;
  std::size_t instanceReceiveBytes = 0;
};

/// Sizes with which so many connections of clients, and as many to instances, fit into totalBytes,
/// unless the least sizes do not. The least receive buffer is the one that Linux begins with: with
/// smaller ones, a connection whose segments are as large as those on loopback stalls.
inline SocketMemory socketMemoryFor(std::size_t totalBytes, std::size_t connections) {
  constexpr std::size_t kMinUnitBytes = std::size_t{16} * 1024;
  constexpr std::size_t kMaxUnitBytes = std::size_t{128} * 1024;
  constexpr std::size_t kUnread = 2, kSend = 1, kReceive = 4;  // in units
  constexpr std::size_t kOverheadFactor = 2;
  constexpr std::size_t kUnits = kOverheadFactor * (kUnread + kSend + kReceive);
  const std::size_t share = totalBytes / std::max<std::size_t>(1, connections);
  const std::size_t unit = std::clamp(share / kUnits, kMinUnitBytes, kMaxUnitBytes);
  return {.clientUnreadBytes = kUnread * unit,
          .clientSendBytes = kSend * unit,
          .instanceReceiveBytes = kReceive * unit};
}

}  // namespace inference_router::net
