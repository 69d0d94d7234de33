// The form in which leases are kept, and back; nothing if a text is none of this form.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coordination/lease_rules.h"

namespace inference_router::coordination {

std::string textOf(const LeaseRecord& record);
std::optional<LeaseRecord> recordOf(std::string_view text);
std::string textOf(const LeaseCell& cell);
std::optional<LeaseCell> cellOf(std::string_view text);

}  // namespace inference_router::coordination
