#include "app/admission_watch.h"

#include <spdlog/spdlog.h>

namespace inference_router::app {

namespace {

constexpr double kLogIntervalMs = 1'000;

std::string counterLine(const std::string& name, std::uint64_t value) {
  return name + " " + std::to_string(value) + "\n";
}

std::string labelledLine(const char* name,
                         const char* label,
                         const std::string& labelValue,
                         std::uint64_t value) {
  return counterLine(std::string(name) + "{" + label + "=\"" + labelValue + "\"}", value);
}

}  // namespace

AdmissionWatch::AdmissionWatch(Server& server, admission::AdmissionController* controller)
    : server_(server), controller_(controller) {
  if (controller_ != nullptr)
    tick();
}

void AdmissionWatch::tick() {
  logRejections();
  logDescriptorLevel();
  timer_ = server_.timers.schedule(server_.clock.nowMs() + kLogIntervalMs, [this] { tick(); });
}

void AdmissionWatch::logRejections() {
  std::string reasons;
  for (std::size_t i = 1; i < admission::kReasons; ++i) {
    const auto reason = static_cast<admission::Reason>(i);
    const std::uint64_t total = controller_->refused(reason);
    if (total == logged_[i])
      continue;
    reasons +=
        std::string(" ") + admission::nameOf(reason) + "=" + std::to_string(total - logged_[i]);
    logged_[i] = total;
  }
  if (reasons.empty())
    return;
  const auto most = controller_->mostRefused();
  spdlog::warn("admission refused{} open={} unknown={} most={}", reasons, controller_->open(),
               controller_->unknown(), most.empty() ? "-" : most.front().address);
}

void AdmissionWatch::logDescriptorLevel() {
  const admission::Level level = server_.descriptorBudget.level(server_.clock.nowMs());
  if (level != loggedLevel_)
    spdlog::warn("descriptors are {} now, {} of {} held", admission::nameOf(level),
                 server_.descriptorBudget.total(), server_.descriptorBudget.shares().limit);
  loggedLevel_ = level;
}

std::string AdmissionWatch::report() {
  if (controller_ == nullptr)
    return "";
  const admission::Level level = server_.descriptorBudget.level(server_.clock.nowMs());
  return connectionCounters() + descriptorCounters() + "descriptors_level{is=\"" +
         admission::nameOf(level) + "\"} 1\n";
}

std::string AdmissionWatch::connectionCounters() const {
  std::string text = counterLine("admission_open", controller_->open()) +
                     counterLine("admission_open_unknown", controller_->unknown()) +
                     counterLine("admission_addresses", controller_->addresses()) +
                     counterLine("admission_admitted_total", controller_->admitted()) +
                     counterLine("admission_gave_way_total", controller_->evicted());
  for (std::size_t i = 1; i < admission::kReasons; ++i) {
    const auto reason = static_cast<admission::Reason>(i);
    text += labelledLine("admission_refused_total", "reason", admission::nameOf(reason),
                         controller_->refused(reason));
  }
  for (const auto& [address, count] : controller_->mostRefused())
    text += labelledLine("admission_refused_most", "address", address, count);
  return text;
}

std::string AdmissionWatch::descriptorCounters() const {
  const admission::DescriptorBudget& budget = server_.descriptorBudget;
  std::string text;
  for (std::size_t i = 0; i < admission::DescriptorBudget::kAccounts; ++i) {
    const auto account = static_cast<admission::Account>(i);
    const std::string name = admission::nameOf(account);
    text += labelledLine("descriptors_held", "account", name, budget.held(account));
    text += labelledLine("descriptors_most", "account", name, budget.shares().max[i]);
  }
  return text;
}

}  // namespace inference_router::app
