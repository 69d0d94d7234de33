// One request of a bad client while four others are under way: a body within 256 KiB that nests
// lists deeply. With TROUBLE=0 a body of the same size that holds a long text.
#include <memory>

#include "../chat_site.h"

using namespace review;

namespace {

constexpr std::size_t kBodyBytes = 250'000;  // the pages allow 256 KiB
constexpr int kWords = 20;
constexpr double kWordIntervalMs = 150;  // an answer takes 3 s

std::string badBody(bool trouble) {
  const std::string begin = R"(,"metadata":{"a":)", end = "}";
  const std::size_t size =
      kBodyBytes - chatBody("member-questions", "Hi", false).size() - begin.size() - end.size();
  const std::string value = trouble ? std::string(size / 2, '[') + std::string(size / 2, ']')
                                    : "\"" + std::string(size - 2, 'x') + "\"";
  return chatBody("member-questions", "Hi", false, begin + value + end);
}

}  // namespace

int main(int argc, char** argv) {
  const Setting setting(argc, argv);
  Record record(setting.folder + "/record.txt");
  limitTime(record, 100'000);
  const Folder folder;
  const auto words = [](const std::string&) {
    return std::vector<std::string>(kWords, wordEvent("word "));
  };
  Box box1("box-1", record, words, kWordIntervalMs), box2("box-2", record, words, kWordIntervalMs);
  const Address listen = freeAddress(), door = freeAddress();
  const std::string file =
      writeOperatorFile(setting, folder.path, listen, door, box1.address(), box2.address());
  Router router(setting.root, folder.path);
  router.start(" --operator " + file, {});
  if (!becomesReady(listen, 10'000)) {
    record.line("the router does not become ready: " + router.lastLogLine());
    return 2;
  }
  std::vector<std::unique_ptr<ChatClient>> clients;
  for (int i = 1; i <= 4; ++i) {
    const bool change = i % 2 == 0;
    const std::string model = change ? "membership-changes" : "member-questions";
    clients.push_back(
        std::make_unique<ChatClient>("client " + std::to_string(i) + " (" + model + ")", listen,
                                     record, change ? "change-me-desk" : "change-me-app",
                                     chatBody(model, "Question " + std::to_string(i), i > 2)));
  }
  sleepMs(600);
  ChatClient bad("bad client", listen, record, "change-me-app", badBody(setting.trouble));
  bad.wait();
  sleepMs(300);
  const auto ended = router.ended();
  record.line(ended ? "the router has ended: " + *ended : "the router runs");
  int lost = 0;
  for (const auto& client : clients) {
    client->wait();
    lost += client->answered() ? 0 : 1;
  }
  const bool ready = !router.ended() && becomesReady(listen, 2'000);
  record.line("of 4 requests that the router had taken " + std::to_string(lost) +
              " got no final answer; the router " + (ready ? "is ready" : "is not there"));
  const bool broken = lost > 0 || !ready;
  record.line(broken ? "RULE BROKEN" : "the rule held");
  return broken ? 1 : 0;
}
