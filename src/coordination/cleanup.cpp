#include "coordination/cleanup.h"

#include "coordination/plan.h"
#include "coordination/presence.h"

namespace inference_router::coordination {

std::optional<Step> Cleanup::next(const View& view, std::uint64_t, double nowMs) {
  // Who did not look for a while, as a holder that was stopped, knows nothing of what has happened
  // since.
  if (nowMs - lookedMs_ > config_.goneMs / 2)
    seen_.forget([](const std::string&) { return true; });
  lookedMs_ = nowMs;
  seen_.forget([&](const std::string& key) { return view.docs.count(key) == 0; });
  for (const auto& [key, doc] : view.docs) {
    const bool node = key.rfind(kNodePrefix, 0) == 0;
    bool ended = false;
    if (key == kPlanKey) {
      const auto plan = Plan::parse(doc.value);
      ended = plan && plan->over();
    }
    if (!node && !ended)
      continue;
    if (seen_.forMs(key, doc.revision, nowMs) < (node ? config_.goneMs : config_.planMs))
      continue;
    return Step{"removing " + key, {{key, doc.revision, std::nullopt}}};
  }
  return std::nullopt;
}

}  // namespace inference_router::coordination
