/// One router's participation in shared state: evaluates the digest and the router's own part,
/// which the caller reads from the store, and decides what to write there next. Combines budgets,
/// usage, observations and connectivity; the caller does the I/O. Times are milliseconds of the
/// caller's monotonic clock, unless named unixMs.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store.h"
#include "shared/config.h"
#include "shared/document_format.h"
#include "shared/documents.h"
#include "shared/remote_health.h"

namespace inference_router::shared {

/// The state of one router. Not thread-safe.
class SharedNode {
 public:
  /// Counters since the start.
  struct Stats {
    std::uint64_t reports = 0, conflicts = 0, evicted = 0, digests = 0, rollbacks = 0,
                  undecodable = 0;
    std::map<std::string, std::uint64_t> denied;  ///< by the name of the denial
  };

  /// newIncarnation: returns a number that no incarnation has used before.
  SharedNode(SharedConfig config,
             std::string name,
             std::function<std::uint64_t()> newIncarnation,
             double nowMs);

  /// Applies changed settings at run time.
  void reconfigure(SharedConfig config);

  // ---- Input from requests ----
  /// Reserves tokens of a tenant's budget for one request.
  TokenBudgets::Answer reserve(const std::string& tenant, std::uint64_t tokens, double nowMs);
  /// How a request ended, and its tokens.
  struct RequestUsage {
    enum class Outcome : std::uint8_t { kServed, kRefused, kFailed } outcome = Outcome::kFailed;
    std::uint64_t promptTokens = 0, answerTokens = 0;  ///< served: as the instance counted them
    std::uint64_t requestedTokens = 0;                 ///< upper bound of the request
  };
  /// Settles the reservation and counts the usage.
  void settleRequest(const std::string& tenant,
                     const std::string& requestClass,
                     const Reservation& reservation,
                     const RequestUsage& usage,
                     double nowMs);
  LocalObservations& observations() { return observations_; }

  // ---- Input from the store ----
  /// The keys of the documents that this router has to read.
  std::vector<std::string> keys() const;
  /// Evaluates documents that were read; a key that is missing means that the document does not
  /// exist. readBegunMs: when the read was issued.
  void onRead(const std::map<std::string, coordination::Document>& documents,
              double readBegunMs,
              double nowMs);

  /// The report to write, if one is due; nothing while a write is in flight.
  std::optional<coordination::Write> nextReport(double unixMs, double nowMs);
  /// While draining, no new requests are admitted, so reports return all unused loans.
  void setDraining(bool draining) {
    draining_ = draining;
    nextMs_ = 0;
  }
  /// Evaluates the result of the write that nextReport() returned.
  void onWritten(const coordination::CommitResponse& response, double nowMs);

  // ---- Decisions and state ----
  std::map<std::string, Availability> availabilities(
      const std::map<std::string, KnownInstance>& instances,
      double nowMs) const;
  /// The number of live routers in the last digest; at least one.
  std::size_t nodes() const { return std::max<std::size_t>(1, nodes_.size()); }
  ConnectivityState connectivityState(double nowMs);
  double silenceMs(double nowMs) const { return connectivity_.silenceMs(nowMs); }
  double periodEndsMs() const { return digest_ ? digest_->periodEndsMs : 0; }

  const Origin& self() const { return self_; }
  const std::optional<Digest>& digest() const { return digest_; }
  const TokenBudgets& budgets() const { return budgets_; }
  const UsageTable& usage() const { return usage_; }
  const Stats& stats() const { return stats_; }
  const SharedConfig& config() const { return config_; }
  /// The last error in the contents of the store, for operators; empty if there is none.
  const std::string& lastError() const { return lastError_; }

 private:
  void readDigest(const coordination::Document& document, double nowMs);
  void readOwn(const coordination::Document* document, double nowMs);
  void restartAfterEviction(std::uint64_t lastSequence, std::uint64_t period, double nowMs);
  void onReportAccepted(std::uint64_t sequence, double nowMs);
  void recordDecodeError(DecodeError error, const std::string& what, std::uint64_t revision);
  double reportIntervalMs() const;

  SharedConfig config_;
  std::function<std::uint64_t()> newIncarnation_;
  Origin self_;
  Connectivity connectivity_;
  TokenBudgets budgets_;
  LocalObservations observations_;
  UsageTable usage_;  // of this incarnation
  std::optional<Digest> digest_;
  std::uint64_t digestRevision_ = 0, undecodableRevision_ = 0;
  std::uint64_t digestSequenceSeen_ = 0;
  std::vector<std::string> nodes_;

  // A report whose write was started and which the store may have accepted.
  struct PendingReport {
    std::uint64_t sequence = 0, period = 0;
    std::map<std::string, Spend> spends;
    UsageTable usage;
    double writeBegunMs = 0;
  };
  // The last accepted report, followed by those whose result is unknown.
  std::deque<PendingReport> pendingReports_;
  std::uint64_t revision_ = 0, sequence_ = 0;
  bool ownPartKnown_ = false, writing_ = false, draining_ = false;
  double nextMs_ = 0, lastWriteMs_ = 0;
  // Of an evicted incarnation of this router; reported until the lender has refunded it.
  std::optional<FinalUsage> finalUsage_;
  std::string lastError_;
  Stats stats_;
};

}  // namespace inference_router::shared
