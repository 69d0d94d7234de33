/// The admission rules in the operator's file.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "admission/address.h"

namespace inference_router::admission {

/// Validated rules; see docs/operators/connection-admission.md for their meaning.
struct Rules {
  /// A cap on the connections of all addresses of a range together.
  struct Network {
    Range range;
    std::size_t connections;
  };

  std::size_t total = 0;  ///< connections of all clients
  std::size_t perAddress = 0;
  int ipv6Prefix = 64;  ///< bits of an IPv6 address that identify a client
  std::vector<Network> networks;
  double perSecond = 0;     ///< refill of the token bucket of one address, in connects
  double burst = 0;         ///< capacity of the token bucket, in connects
  std::size_t reserve = 0;  ///< connections of the total for known clients only
  std::vector<Range> knownRanges;
  std::set<std::string> knownKeys;  ///< names of API keys
  std::size_t table = 4096;         ///< maximum number of addresses that are tracked

  /// Returns the address under which a client is counted.
  Address clientOf(const Address& address) const {
    return address.isV4() ? address : address.masked(ipv6Prefix);
  }
  /// Returns the range of known clients that contains the address; null if none does.
  const Range* knownRange(const Address& address) const;
};

/// An invalid field; the message begins with the field's path.
class RulesError : public std::invalid_argument {
 public:
  RulesError(const std::string& path, const std::string& problem)
      : std::invalid_argument(path + ": " + problem) {}
};

/// Parses the object `admission` of the operator's file. keyNames: the names of the file's API
/// keys; maxClients: the largest total that the descriptors allow. Throws RulesError.
Rules rulesOf(const nlohmann::json& admission,
              const std::set<std::string>& keyNames,
              std::size_t maxClients);

/// Explains to an operator which rules apply to an address, line by line.
std::string explain(const Rules& rules,
                    const Address& address,
                    const std::optional<std::string>& keyName);

}  // namespace inference_router::admission
