#include <gtest/gtest.h>

#include <sstream>

#include "base64.h"
#include "host.h"
#include "message_codec.h"

namespace inference_router::routing::wire {
namespace {

const char* const kSetup =
    "ENLIST\t7\tcontract.askWithinMs=10000\tcontract.coldFrom=0.3\tcontract.coldMs=10000\t"
    "contract.drainGraceMs=1000\tcontract.fallMs=3000\tcontract.graceToAnswerMs=8\tcontract."
    "overloadFactor="
    "3\t"
    "discovery=push\tfamilyInfo.ahead=true\tfamilyInfo.aimUsPer1000PromptTokens=40000.0\t"
    "familyInfo.dutyByKind=read,write\tfamilyInfo.memoryTokens=200000,100000\tfamilyInfo.releaseMs="
    "500\t"
    "familyInfo.resume=false\tfamilyInfo.tokenAimMs=60\tfamilyInfo.writersRead=false\tgrades.count="
    "1\t"
    "grades.0.effect=idempotent\tgrades.0.goalTimeMs=1000\tgrades.0.hardLimitMs=6000\tgrades.0."
    "lateShare=0."
    "3\t"
    "grades.0.name=ask\tgrades.0.stream=true\tgrades.0.worth=1\tkinds=reader,writer\tlimits.cancel="
    "true\t"
    "limits.dialTimeoutMs=250\tlimits.maxAttempts=4\tlimits.maxRetryAfterMs=2000\tlimits.peers="
    "false\t"
    "limits.probing=false\tlimits.retryAfter=true\tlimits.secondCopies=false\tme=0\tmyZone="
    "z\torgs="
    "\tpeersTotal=1\t"
    "report.how=off\ttickMs=2\tunheardOf=1\tzones=z\n";

const char* const kList =
    "UPDATE\t1\tfull\t2\nITEM\t10.0.0.1:1\tz\treader\t0\tactive\t1\t-\nITEM\t10.0.0.2:"
    "1\tz\twriter\t0\tactive\t1\t0\n";

const char* const kArrival = "ARRIVAL\tq/1\task\t-\ts1\t6000.0\t-\t-\t900\t0\t256\t0\n";

std::string batch(const std::string& body, int number = 1) {
  return "BEGIN_BATCH\t1000.25\t" + std::to_string(number) + "\n" + body + "EOF_BATCH\n";
}

std::string play(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  Host().run(in, out);
  return out.str();
}

std::string complaint(const std::string& input) {
  try {
    play(input);
  } catch (const Malformed& fault) {
    return fault.what();
  }
  return "";
}

TEST(Host, AnEmptyBatchIsAnsweredWithItsNumber) {
  EXPECT_EQ(play(batch("", 12)), "OK\t12\n");
}

TEST(Host, PlaysARequestForTheInstanceNamed) {
  const std::string reply = play(batch(std::string("FOR\tnode-3\n") + kSetup + kList + kArrival));
  EXPECT_NE(reply.find("ON_BEHALF\tnode-3\n"), std::string::npos);
  EXPECT_NE(reply.find("ISSUE\tq/1\t10.0.0.1:1\t"), std::string::npos);
  EXPECT_NE(reply.find("SET_ASIDE\tq/1\t10.0.0.2:1\n"), std::string::npos);
}

TEST(Host, KeepsInstancesApart) {
  const std::string reply = play(
      batch(std::string("FOR\tnode-0\n") + kSetup + kList + "FOR\tnode-1\n" + kSetup + kArrival));
  EXPECT_EQ(reply.find("ISSUE"), std::string::npos);
}

TEST(Host, AKilledInstanceStartsWithNothing) {
  const std::string reply =
      play(batch(std::string("FOR\tnode-0\n") + kSetup + kList + "EXIT\n" + kSetup + kArrival));
  EXPECT_EQ(reply.find("ISSUE"), std::string::npos);
}

TEST(Malformed, NamesTheLineAndTheField) {
  const std::string head = batch("");
  EXPECT_NE(complaint("BEGIN_BATCH\tsoon\t1\n").find("line 1 (BEGIN_BATCH), field 1"),
            std::string::npos);
  EXPECT_NE(complaint(head + "HELLO\n").find("line 3"), std::string::npos);
}

TEST(Malformed, AWrongNumberOfPartsIsNamed) {
  const std::string text = complaint(batch(std::string("FOR\tn\n") + kSetup + "BELL\t1\t2\n"));
  EXPECT_NE(text.find("line 4 (BELL)"), std::string::npos);
  EXPECT_NE(text.find("expected 1 fields, found 2"), std::string::npos);
}

TEST(Malformed, AMissingSettingIsNamed) {
  EXPECT_NE(complaint(batch("FOR\tn\nENLIST\t7\tkinds=a\n")).find("is missing"), std::string::npos);
}

TEST(Malformed, ANumberThatNoSettingMayHaveIsNamed) {
  const auto with = [](const std::string& was, const std::string& is) {
    std::string setup = kSetup;
    setup.replace(setup.find(was), was.size(), is);
    return complaint(batch("FOR\tn\n" + setup));
  };
  EXPECT_EQ(with("coldMs=10000", "coldMs=10000"), "");
  EXPECT_NE(with("coldMs=10000", "coldMs=-1").find("contract.coldMs is below 0"),
            std::string::npos);
  EXPECT_NE(with("memoryTokens=200000", "memoryTokens=-5").find("memoryTokens is below 0"),
            std::string::npos);
  EXPECT_NE(with("fallMs=3000", "fallMs=1e300").find("contract.fallMs is too large"),
            std::string::npos);
  EXPECT_NE(with("maxAttempts=4", "maxAttempts=1e10").find("limits.maxAttempts is too large"),
            std::string::npos);
  EXPECT_NE(with("grades.count=1", "grades.count=1e300").find("grades.count is too large"),
            std::string::npos);
}

TEST(Malformed, UnknownMessagesAndInstancesAreNamed) {
  EXPECT_NE(
      complaint(batch(std::string("FOR\tn\n") + kSetup + "GREETING\n")).find("unknown message"),
      std::string::npos);
  EXPECT_NE(complaint(batch("FOR\tn\nBELL\t1\n")).find("not running"), std::string::npos);
  EXPECT_NE(complaint(batch("BELL\t1\n")).find("before any FOR"), std::string::npos);
}

TEST(Malformed, InputThatEndsInsideABatchIsAnError) {
  EXPECT_NE(complaint("BEGIN_BATCH\t1\t1\n").find("ended inside batch"), std::string::npos);
}

TEST(Codec, ReadsOutcomesAndReports) {
  Vocabulary names;
  names.x0Meaning = "share_of_memory_that_is_held";
  const std::string text = "ENDED\tq\t2\te:1\tread\t18.5\t0\t640\tactive:3,waiting:1,x0:0.25,new:1";
  const auto ended = std::get<AttemptEnded>(parseEvent(Line(text, 1), names));
  EXPECT_EQ(ended.outcome, AttemptOutcome::kPrefilled);
  EXPECT_EQ(ended.attempt, 2);
  EXPECT_EQ(ended.took, Duration(18500));
  EXPECT_EQ(ended.cachedTokens, 640);
  EXPECT_FALSE(ended.concluded);
  ASSERT_TRUE(ended.report.has_value());
  EXPECT_EQ(ended.report->inFlight, 3);
  EXPECT_EQ(ended.report->memoryShare, 0.25);
  EXPECT_FALSE(ended.report->tokensWaiting.has_value());
}

TEST(Codec, AMissingStateIsToldFromAFullInstance) {
  const auto full =
      std::get<AttemptEnded>(parseEvent(Line("ENDED\tq\t0\te\tturned_away\t1\t0\t-\t-", 1), {}));
  const auto gone =
      std::get<AttemptEnded>(parseEvent(Line("ENDED\tq\t0\te\tturned_away\t1\t0\t1\t-", 1), {}));
  EXPECT_FALSE(full.kvCacheLost);
  EXPECT_TRUE(gone.kvCacheLost);
}

TEST(Codec, WritesEveryAction) {
  EXPECT_EQ(formatAction(DispatchAttempt{{"q"}, {"e:1"}, Time(Duration(8492250))}),
            "ISSUE\tq\te:1\t8492.250");
  EXPECT_EQ(formatAction(RejectRequest{{"q"}, {}}), "PUSH_BACK\tq\t-");
  EXPECT_EQ(formatAction(RejectRequest{{"q"}, Duration(1500)}), "PUSH_BACK\tq\t1.500");
  EXPECT_EQ(formatAction(FailRequest{{"q"}}), "END_FAILED\tq");
  EXPECT_EQ(formatAction(CancelAttempt{{"q"}, 1}), "DROP_ATTEMPT\tq\t1");
  EXPECT_EQ(formatAction(ReleaseState{{"q"}}), "RELEASE\tq");
  EXPECT_EQ(formatAction(MigrateStream{{"q"}}), "REASSIGN\tq");
  EXPECT_EQ(formatAction(SendHealthCheck{{"e"}}), "HEALTH_CHECK\te");
  EXPECT_EQ(formatAction(SendGossip{"hi 7"}), "BROADCAST_TO\t*\taGkgNw==");
  EXPECT_EQ(formatAction(SubscribeEndpoints{}), "LISTEN\t1");
  EXPECT_EQ(formatAction(FetchEndpoints{}), "RESOLVE");
  EXPECT_EQ(formatAction(LogMessage{"a\tb\nc"}), "JOURNAL_LINE\ta b c");
  EXPECT_EQ(formatAction(SetTimer{77, Duration(500000)}), "SET_ALARM\t77\t500.000");
}

TEST(Codec, Base64GoesBothWays) {
  const Line line("X\t-", 1);
  for (const std::string& bytes : {std::string(), std::string("a"), std::string("ab"),
                                   std::string("abc"), std::string("\0\xff\x10", 3)}) {
    EXPECT_EQ(decodeBase64(encodeBase64(bytes), line, 1), bytes);
  }
  EXPECT_THROW(decodeBase64("a", line, 1), Malformed);
  EXPECT_THROW(decodeBase64("a!==", line, 1), Malformed);
}

}  // namespace
}  // namespace inference_router::routing::wire
