// The network code while system calls fail, are interrupted or move only a part, as Linux documents them.
#include <fcntl.h>

#include <array>
#include <cerrno>

#include "../soak/system_call_faults.h"
#include "net/listener.h"
#include "net/pool.h"
#include "support/stage.h"

namespace dahliastall::net {
namespace {

using system_call_faults::Call;
using system_call_faults::Rule;

// Faults end with their test.
struct Faults {
  explicit Faults(std::vector<Rule> rules) { system_call_faults::install(std::move(rules)); }
  ~Faults() { system_call_faults::clear(); }
  static bool happened() { return system_call_faults::hits() > 0; }
};

const std::string kRequest =
    messageText("POST /v1/chat HTTP/1.1", {{"Host", "x"}}, "{\"content\":\"hello\"}");

int countOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) ++count;
  return count;
}

// A listener whose handler answers each request at once.
struct Door : Stage {
  Door() {
    box.script = [](StandInBox&, StandInBox::Taken& taken) { taken.connection->answer(200, {}, "whole"); };
  }
  std::unique_ptr<RawPeer> client() {
    auto peer = std::make_unique<RawPeer>(io);
    peer->connect(box.address());
    return peer;
  }
  bool answered(RawPeer& peer, int times = 1) {
    return until([&] {
      peer.ended();
      return countOf(peer.seen, "whole") >= times;
    });
  }
  StandInBox box{io, clock, deadlines};
};

// ---- Requests ----------------------------------------------------------------------------------------

// What is read twice is run twice.
TEST(RequestUnderFaults, IsTakenOnceWhileReadsAreInterruptedOrShort) {
  for (const int error : {EINTR, 0}) {
    SCOPED_TRACE(error);
    Door door;
    const auto client = door.client();
    const Faults faults({{.call = Call::kReceive, .error = error, .every = 2}});
    client->write(kRequest);
    ASSERT_TRUE(door.answered(*client));
    for (int i = 0; i < 20; ++i) door.io.poll();
    ASSERT_FALSE(client->ended()) << client->seen;
    ASSERT_EQ(door.box.chats(), 1);
    client->write(kRequest);
    ASSERT_TRUE(door.answered(*client, 2));
    EXPECT_EQ(door.box.chats(), 2);
    EXPECT_EQ(countOf(client->seen, "HTTP/1.1"), 2);
    EXPECT_TRUE(Faults::happened());
  }
}

// ---- The listener ------------------------------------------------------------------------------------

TEST(ListenerUnderFaults, WhoStandsInTheQueueAsTheDoorClosesIsServed) {
  for (const int error : {ENOBUFS, ENOMEM, ECONNABORTED, EPROTO}) {
    SCOPED_TRACE(error);
    Stage stage;
    StandInBox handler(stage.io, stage.clock, stage.deadlines);
    handler.script = [](StandInBox&, StandInBox::Taken& taken) {
      taken.connection->answer(200, {}, "whole");
    };
    core::Counters counters;
    Listener listener(stage.io, anyPort(), 100, handler, stage.clock, stage.deadlines, counters);
    RawPeer client(stage.io);
    bool done = false;
    listener.drain(100, [&] { done = true; });
    const Faults faults({{.call = Call::kAccept, .error = error}});
    client.connect(listener.address());
    client.write(kRequest);
    stage.pass(99);
    stage.pass(1);
    system_call_faults::clear();
    const bool served = stage.until([&] {
      stage.pass(1);
      return client.ended() || countOf(client.seen, "whole") == 1;
    });
    EXPECT_TRUE(served);
    EXPECT_EQ(countOf(client.seen, "whole"), 1) << "the listener closed over a client in its queue";
  }
}

// ---- Calls to instances ------------------------------------------------------------------------------

struct Calls : Stage {
  RawPeer peer{io};
  Pool pool{io, clock, deadlines, counters, {2, 250, 18'000, 1 << 20}};
  std::shared_ptr<Reply> reply = std::make_shared<Reply>();
  void call() { pool.call(peer.address(), headText("GET / HTTP/1.1", {{"Host", "x"}}), nullptr, reply); }
};

// Nothing went to the instance, and nothing is known of it.
TEST(CallUnderFaults, AFaultOfThisMachineIsNoneOfTheInstance) {
  const std::array kFaults{Rule{.call = Call::kConnect, .error = EADDRNOTAVAIL},
                           Rule{.call = Call::kConnect, .error = ENETUNREACH},
                           Rule{.call = Call::kSocket, .error = ENOBUFS},
                           Rule{.call = Call::kSocket, .error = EMFILE}};
  for (const Rule& rule : kFaults) {
    SCOPED_TRACE(rule.error);
    Calls passing;
    {
      const Faults faults({rule});
      passing.call();
      passing.until([&] { return Faults::happened(); });
      for (int i = 0; i < 5; ++i) passing.io.poll();
    }
    EXPECT_TRUE(passing.until([&] {
      passing.pass(1);
      return passing.reply->over || passing.reply->wasWritten;
    }));
    EXPECT_TRUE(passing.reply->wasWritten) << "a fault that passes within the dial's time ended the call";

    Calls lasting;
    const Faults faults({rule});
    lasting.call();
    EXPECT_TRUE(lasting.until([&] {
      lasting.pass(10);
      return lasting.reply->over;
    }));
    EXPECT_EQ(lasting.reply->failure, CallFailure::kWithdrawn);
    EXPECT_EQ(lasting.pool.size(), 0U);
  }
}

}  // namespace
}  // namespace dahliastall::net
