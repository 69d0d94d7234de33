// When a request that may have been executed may be sent again, by the effect of its class.
//
// An idempotent request may be repeated anywhere. A deduplicated one carries an idempotency key:
// instances within the scope of deduplication discard repeats for a limited time. Any other request
// is executed at most once. Pure functions.
#pragma once

#include "inference_router/settings.h"
#include "inference_router/types.h"
#include "routing/instance.h"
#include "routing/request_record.h"

namespace inference_router::routing {

/// Until when the request may be sent again: Time::max() if no attempt can have been executed or
/// repeats do no harm, `now` if it may not.
Time repeatsAllowedUntil(const ClassSettings& cls, const RequestRecord& request, Time now);

/// Whether the request may be sent to the instance now. All attempts of a deduplicated request that
/// may have been executed have to be within the scope of deduplication of the first of them.
bool effectAllowsDispatch(const ClassSettings& cls,
                          const RequestRecord& request,
                          const Instance& instance,
                          Time now);

/// Whether the client may be told that a repeat is harmless, which a rejection does.
bool mayReject(const ClassSettings& cls, const RequestRecord& request, Time now);

}  // namespace inference_router::routing
