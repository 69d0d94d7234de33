#include "host.h"

#include <istream>
#include <ostream>

namespace inference_router::routing::wire {

bool Host::readLine(std::istream& in, std::string& text) {
  if (!std::getline(in, text))
    return false;
  ++lineNumber_;
  if (!text.empty() && text.back() == '\r')
    text.pop_back();
  return true;
}

void Host::run(std::istream& in, std::ostream& out) {
  std::string text;
  while (readLine(in, text)) {
    if (text.empty())
      continue;
    const Line line(text, lineNumber_);
    if (line.name() != "BEGIN_BATCH")
      line.complain(0, "expected BEGIN_BATCH");
    line.expect(2);
    playBatch(in, out, line);
    out.flush();
  }
}

void Host::playBatch(std::istream& in, std::ostream& out, const Line& opening) {
  const Time now(opening.span(1));
  const std::string batch = std::to_string(opening.whole(2));
  std::string node;
  std::string announcedNode;
  std::string text;
  std::vector<Action> actions;
  for (;;) {
    if (!readLine(in, text))
      throw Malformed("the input ended inside batch " + batch);
    const Line line(text, lineNumber_);
    if (line.name() == "EOF_BATCH")
      break;
    if (line.name() == "FOR") {
      line.expect(1);
      node = line.required(1);
      continue;
    }
    actions.clear();
    playLine(in, line, node, now, actions);
    if (!actions.empty() && announcedNode != node)
      out << "ON_BEHALF\t" << node << '\n';
    if (!actions.empty())
      announcedNode = node;
    for (const Action& action : actions)
      out << formatAction(action) << '\n';
  }
  out << "OK\t" << batch << '\n';
}

void Host::playLine(std::istream& in,
                    const Line& line,
                    const std::string& node,
                    Time now,
                    std::vector<Action>& actions) {
  if (node.empty())
    line.complain(0, "an event before any FOR");
  if (line.name() == "ENLIST") {
    Setup setup = parseSetup(line);
    routers_[node] = {std::move(setup.names),
                      std::make_unique<Router>(setup.settings, line.whole(1))};
    return;
  }
  if (line.name() == "EXIT") {
    line.expect(0);
    routers_.erase(node);
    return;
  }
  const auto found = routers_.find(node);
  if (found == routers_.end())
    line.complain(0, "an event for " + node + ", which is not running");
  HostedRouter& hosted = found->second;
  const bool list = line.name() == "UPDATE";
  const Event event =
      list ? Event(readList(in, line, hosted.names)) : parseEvent(line, hosted.names);
  hosted.router->handle(now, event, actions);
}

EndpointListUpdate Host::readList(std::istream& in, const Line& head, const Vocabulary& names) {
  EndpointListUpdate update = parseListHead(head);
  std::string text;
  for (std::uint64_t left = head.whole(3); left > 0; --left) {
    if (!readLine(in, text))
      throw Malformed("the input ended inside a list");
    const Line line(text, lineNumber_);
    if (line.name() != "ITEM")
      line.complain(0, "expected ITEM");
    update.entries.push_back(parseItem(line, names));
  }
  return update;
}

}  // namespace inference_router::routing::wire
