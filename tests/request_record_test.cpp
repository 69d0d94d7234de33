// What the decision module remembers of a request: the queries on its attempts.
#include "routing/request_record.h"

#include <gtest/gtest.h>

namespace inference_router::routing {
struct Engine {};  // records only refer to instances

namespace {

AttemptRecord attemptAt(Engine& engine, bool writes) {
  return {&engine, Time{}, writes, 0, false};
}

TEST(RequestRecord, HasAnAttemptOutOnlyWhileTheLastOneIs) {
  Engine engine;
  RequestRecord request;
  EXPECT_FALSE(request.attemptOut());
  request.attempts.push_back(attemptAt(engine, false));
  EXPECT_TRUE(request.attemptOut());
  request.attempts.back().out = false;
  EXPECT_FALSE(request.attemptOut());
  request.attempts.push_back(attemptAt(engine, true));
  EXPECT_TRUE(request.attemptOut());
}

TEST(RequestRecord, TakesForRunTheFirstWriteThatIsNotKnownToBeHarmless) {
  Engine engine;
  RequestRecord request;
  request.attempts = {attemptAt(engine, false), attemptAt(engine, true), attemptAt(engine, true)};
  EXPECT_EQ(request.mayHaveRun(), &request.attempts[1]);
  request.attempts[1].harmless = true;
  EXPECT_EQ(request.mayHaveRun(), &request.attempts[2]);
  request.attempts[2].harmless = true;
  EXPECT_EQ(request.mayHaveRun(), nullptr);
}

TEST(RequestRecord, FindsAttemptsByNumberAndNoneBeyond) {
  Engine engine;
  RequestRecord request;
  request.attempts = {attemptAt(engine, false), attemptAt(engine, true)};
  EXPECT_EQ(request.attempt(1), &request.attempts[1]);
  EXPECT_EQ(request.attempt(2), nullptr);
  EXPECT_EQ(request.attempt(-1), nullptr);
}

TEST(RequestRecord, RefersToEachInstanceThatItNames) {
  Engine place;
  Engine reader;
  Engine home;
  Engine booked;
  Engine attempted;
  Engine stranger;
  RequestRecord request;
  request.place = &place;
  request.reader = &reader;
  request.home = &home;
  request.booked = &booked;
  request.attempts.push_back(attemptAt(attempted, true));
  for (const Engine* named : {&place, &reader, &home, &booked, &attempted})
    EXPECT_TRUE(request.refersTo(*named));
  EXPECT_FALSE(request.refersTo(stranger));
}

}  // namespace
}  // namespace inference_router::routing
