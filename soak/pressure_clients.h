/// Clients that try the limits of one router: large, endless, slow, many or abandoned requests,
/// again and again. They run on a thread of their own, so that they load no other party of the
/// emulator.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "net/endpoint.h"

namespace inference_router::soak {

enum class PressureKind {
  kPartialBody,       ///< most of a large body, then silence
  kSlowBody,          ///< a large body in small pieces
  kPartialHead,       ///< most of a head with thousands of fields, then silence
  kManyFields,        ///< a complete head with thousands of fields
  kFullBody,          ///< one large request
  kPipelinedBodies,   ///< three large requests at once
  kSlowReader,        ///< one small request, whose answer is read slowly
  kFlood,             ///< small requests with new names each, without waiting for answers
  kInvalidFlood,      ///< the same with requests that are not valid
  kEndlessChunkLine,  ///< a chunk size line without an end
  kEndlessTrailer,    ///< trailer fields without an end
  kDepart,            ///< many requests at once, and a close without reading
  kReturn,            ///< closes while its request runs, and sends the same request again
  kCount,
};
const char* nameOf(PressureKind kind);
/// Throws std::invalid_argument if no kind has this name.
PressureKind pressureKindNamed(const std::string& name);

/// Whether a request is of such a client, and of which router.
bool isPressureId(const std::string& id);
int routerOfPressureId(const std::string& id);

/// Some clients of one kind.
struct PressureGroup {
  PressureKind kind = PressureKind::kFullBody;
  int router = 0;
  int connections = 0;
  double atMs = 0;
  double forMs = 0;
};

/// What became of one request whose client left. Times are of core::SystemClock.
struct DepartedRequest {
  double sentMs = 0;
  std::optional<double> closedMs;  ///< none: the client sent it once more and stayed
};

/// One group in action. The destructor stops it.
class PressureClients {
 public:
  PressureClients(const PressureGroup& group, net::Endpoint to, std::uint64_t seed);
  ~PressureClients();
  PressureClients(const PressureClients&) = delete;
  PressureClients& operator=(const PressureClients&) = delete;

  /// Closes all connections and ends the thread. Further calls do nothing.
  void stop();
  /// The requests of clients that leave, by id. Valid after stop().
  const std::map<std::string, DepartedRequest>& departed() const { return departed_; }

 private:
  class Client;

  void run();
  std::string nextId();

  PressureGroup group_;
  net::Endpoint to_;
  std::uint64_t seed_;
  std::uint64_t sentRequests_ = 0;
  std::map<std::string, DepartedRequest> departed_;
  boost::asio::io_context io_;
  std::vector<std::shared_ptr<Client>> clients_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace inference_router::soak
