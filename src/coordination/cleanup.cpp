#include "coordination/cleanup.h"

#include "coordination/plan.h"
#include "coordination/presence.h"

namespace inference_router::coordination {

std::optional<Step> Cleanup::next(const View& view, std::uint64_t, double nowMs) {
  // After a long gap between calls, for instance while the process was suspended, documents may
  // have changed unobserved, so earlier observations are discarded.
  if (nowMs - lastCallMs_ > config_.presenceTimeoutMs / 2)
    ages_.forgetIf([](const std::string&) { return true; });
  lastCallMs_ = nowMs;
  ages_.forgetIf([&](const std::string& key) { return view.documents.count(key) == 0; });
  for (const auto& [key, document] : view.documents) {
    const auto retention = retentionMs(key, document);
    if (!retention || ages_.unchangedMs(key, document.revision, nowMs) < *retention)
      continue;
    return Step{"removing " + key, {{key, document.revision, std::nullopt}}};
  }
  return std::nullopt;
}

/// How long the document may stay unchanged before it is removed; nothing if it is never removed.
std::optional<double> Cleanup::retentionMs(const std::string& key, const Document& document) const {
  if (isPresenceKey(key))
    return config_.presenceTimeoutMs;
  if (key != kPlanKey)
    return std::nullopt;
  const auto plan = Plan::parse(document.value);
  return plan && plan->finished() ? std::optional(config_.planRetentionMs) : std::nullopt;
}

}  // namespace inference_router::coordination
