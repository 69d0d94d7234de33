// Tests of the queries on a request record and its attempts.
#include "routing/request_record.h"

#include <gtest/gtest.h>

#include "routing/instance.h"

namespace inference_router::routing {
namespace {

AttemptRecord attemptAt(Instance& instance, bool decodes) {
  return {&instance, Time{}, decodes, 0, false};
}

TEST(RequestRecord, HasAnAttemptInFlightOnlyWhileTheLastOneIs) {
  Instance instance;
  RequestRecord request;
  EXPECT_FALSE(request.hasAttemptInFlight());
  request.attempts.push_back(attemptAt(instance, false));
  EXPECT_TRUE(request.hasAttemptInFlight());
  request.attempts.back().inFlight = false;
  EXPECT_FALSE(request.hasAttemptInFlight());
  request.attempts.push_back(attemptAt(instance, true));
  EXPECT_TRUE(request.hasAttemptInFlight());
}

TEST(RequestRecord, ReturnsTheFirstDecodeAttemptNotProvedUnexecuted) {
  Instance instance;
  RequestRecord request;
  request.attempts = {attemptAt(instance, false), attemptAt(instance, true),
                      attemptAt(instance, true)};
  EXPECT_EQ(request.possiblyExecutedAttempt(), &request.attempts[1]);
  request.attempts[1].provedNotExecuted = true;
  EXPECT_EQ(request.possiblyExecutedAttempt(), &request.attempts[2]);
  request.attempts[2].provedNotExecuted = true;
  EXPECT_EQ(request.possiblyExecutedAttempt(), nullptr);
}

TEST(RequestRecord, FindsAttemptsByNumber) {
  Instance instance;
  RequestRecord request;
  request.attempts = {attemptAt(instance, false), attemptAt(instance, true)};
  EXPECT_EQ(request.attempt(1), &request.attempts[1]);
  EXPECT_EQ(request.attempt(2), nullptr);
  EXPECT_EQ(request.attempt(-1), nullptr);
}

TEST(RequestRecord, RefersToEachOfItsInstances) {
  Instance reservation;
  Instance prefillInstance;
  Instance affinityInstance;
  Instance reservedOn;
  Instance attempted;
  Instance unrelated;
  RequestRecord request;
  request.reservation = &reservation;
  request.prefillInstance = &prefillInstance;
  request.affinityInstance = &affinityInstance;
  request.reservedOn = &reservedOn;
  request.attempts.push_back(attemptAt(attempted, true));
  for (const Instance* instance :
       {&reservation, &prefillInstance, &affinityInstance, &reservedOn, &attempted})
    EXPECT_TRUE(request.refersTo(*instance));
  EXPECT_FALSE(request.refersTo(unrelated));
}

}  // namespace
}  // namespace inference_router::routing
