/// Messages of the simulator's protocol to events of the decision module, and actions back.
/// Translates only; every decision is the module's.
#pragma once

#include <string>

#include "inference_router/router.h"
#include "line.h"
#include "settings_parser.h"

namespace inference_router::routing::wire {

/// The head of an endpoint list; its entries follow on lines of their own. Throws Malformed, as all
/// that parse here.
EndpointListUpdate parseListHead(const Line& line);
EndpointRecord parseItem(const Line& line, const Vocabulary& names);
/// Any other event. Names of classes, tenants and zones have to be among the settings'; a kind of
/// instance that is not gets an index past the last.
Event parseEvent(const Line& line, const Vocabulary& names);

/// One line without its end.
std::string formatAction(const Action& action);

}  // namespace inference_router::routing::wire
