/// The JSON encoding of stored leases. Parsing returns nothing if the text is not valid.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/lease_rules.h"

namespace inference_router::coordination {

std::string serialize(const LeaseRecord& record);
std::optional<LeaseRecord> parseLeaseRecord(std::string_view text);
std::string serialize(const LeaseCell& cell);
std::optional<LeaseCell> parseLeaseCell(std::string_view text);

}  // namespace inference_router::coordination
