#include "app/admission_watch.h"

#include <spdlog/spdlog.h>

namespace inference_router::app {

namespace {

constexpr double kSayMs = 1'000;

}  // namespace

AdmissionWatch::AdmissionWatch(Server& server, admission::AdmissionController* gate)
    : server_(server), gate_(gate) {
  if (gate_ != nullptr)
    tick();
}

AdmissionWatch::~AdmissionWatch() {
  server_.timers.cancel(next_);
}

void AdmissionWatch::tick() {
  std::string reasons;
  for (std::size_t i = 1; i < admission::kReasons; ++i) {
    const auto reason = static_cast<admission::Reason>(i);
    const std::uint64_t all = gate_->refused(reason);
    if (all == said_[i])
      continue;
    reasons += std::string(" ") + admission::nameOf(reason) + "=" + std::to_string(all - said_[i]);
    said_[i] = all;
  }
  if (!reasons.empty()) {
    const auto top = gate_->mostRefused();
    spdlog::warn("admission refused{} open={} unknown={} most={}", reasons, gate_->open(),
                 gate_->unknown(), top.empty() ? "-" : top.front().address);
  }
  const admission::Level now = server_.descriptorBudget.level(server_.clock.nowMs());
  if (now != level_)
    spdlog::warn("descriptors are {} now, {} of {} held", admission::nameOf(now),
                 server_.descriptorBudget.total(), server_.descriptorBudget.shares().limit);
  level_ = now;
  next_ = server_.timers.add(server_.clock.nowMs() + kSayMs, [this] { tick(); });
}

std::string AdmissionWatch::report() {
  if (gate_ == nullptr)
    return "";
  const auto line = [](const std::string& name, std::uint64_t value) {
    return name + " " + std::to_string(value) + "\n";
  };
  const auto labelled = [&](const char* name, const char* label, const std::string& of,
                            std::uint64_t value) {
    return line(std::string(name) + "{" + label + "=\"" + of + "\"}", value);
  };
  std::string text = line("admission_open", gate_->open()) +
                     line("admission_open_unknown", gate_->unknown()) +
                     line("admission_addresses", gate_->addresses()) +
                     line("admission_admitted_total", gate_->admitted()) +
                     line("admission_gave_way_total", gate_->evicted());
  for (std::size_t i = 1; i < admission::kReasons; ++i) {
    const auto reason = static_cast<admission::Reason>(i);
    text += labelled("admission_refused_total", "reason", admission::nameOf(reason),
                     gate_->refused(reason));
  }
  for (const auto& [address, count] : gate_->mostRefused())
    text += labelled("admission_refused_most", "address", address, count);
  for (std::size_t i = 0; i < admission::DescriptorBudget::kAccounts; ++i) {
    const auto account = static_cast<admission::Account>(i);
    text += labelled("descriptors_held", "account", admission::nameOf(account),
                     server_.descriptorBudget.held(account));
    text += labelled("descriptors_most", "account", admission::nameOf(account),
                     server_.descriptorBudget.shares().max[i]);
  }
  const admission::Level level = server_.descriptorBudget.level(server_.clock.nowMs());
  return text + "descriptors_level{is=\"" + admission::nameOf(level) + "\"} 1\n";
}

}  // namespace inference_router::app
