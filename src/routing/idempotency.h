// Decides whether a request that may already have been executed can be sent again.
//
// An idempotent request may be repeated at any instance. A deduplicated request carries an
// idempotency key: instances within the deduplication scope discard repeats for a limited time. Any
// other request must be executed at most once. All functions are pure.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Time until which the request may be sent again: Time::max() if no attempt can have been executed
/// or repeats are harmless, `now` if it must not be repeated.
Time repeatsAllowedUntil(const ClassSettings& cls, const RequestRecord& request, Time now);

/// Whether the effect of the class allows to send the request to the instance now. Once an attempt
/// of a deduplicated request may have been executed, all further ones must stay within the
/// deduplication scope of that first attempt.
bool effectAllowsDispatch(const ClassSettings& cls,
                          const RequestRecord& request,
                          const Instance& instance,
                          Time now);

/// Whether the request may be rejected. A rejection tells the client that a retry is harmless.
bool mayReject(const ClassSettings& cls, const RequestRecord& request, Time now);

}  // namespace inference_router::routing
