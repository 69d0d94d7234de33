// Who may connect, as the operator's file says it.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admission/address.h"

namespace dahliastall::admission {

struct Rules {
  struct Network {
    Range range;
    std::size_t connections;
  };

  std::size_t total = 0;  // of all clients
  std::size_t perAddress = 0;
  int ipv6Prefix = 64;  // so much of an IPv6 address is one client
  std::vector<Network> networks;
  double perSecond = 0, burst = 0;  // connects of one address
  std::size_t reserve = 0;          // of the total, for known clients alone
  std::vector<Range> knownRanges;
  std::set<std::string> knownKeys;  // by their names
  std::size_t table = 4096;         // addresses remembered

  // The address as a client is counted by it.
  Address clientOf(const Address& address) const {
    return address.isV4() ? address : address.masked(ipv6Prefix);
  }
  const Range* knownRange(const Address& address) const;
};

// From the object `admission` of the operator's file. names: of the file's API keys; mostClients: what
// descriptors allow. Throws std::invalid_argument, whose text begins with the path of what is wrong.
Rules rulesOf(const nlohmann::json& admission, const std::set<std::string>& names, std::size_t mostClients);

// Which rules apply to whom, and why, line by line.
std::string explain(const Rules& rules, const Address& address, const std::optional<std::string>& keyName);

}  // namespace dahliastall::admission
