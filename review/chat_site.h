// A small site with the chat API: the operator's file of deploy/appliance.json on free ports, two
// boxes that answer in well-formed events, and clients.
#pragma once

#include "common.h"

namespace review {

inline std::string event(const std::string& json) {
  return "data: " + json + "\n\n";
}

/// A box: it answers a chat request with a stream of events, one every so often, and releases with
/// 204. events: of the answer to the request with this body, without the last ones.
class Box {
 public:
  using Events = std::function<std::vector<std::string>(const std::string& requestBody)>;
  Box(std::string name, Record& record, Events events, double intervalMs)
      : name_(std::move(name)),
        record_(record),
        events_(std::move(events)),
        intervalMs_(intervalMs),
        server_([this](int socket) { serve(socket); }) {}
  const Address& address() const { return server_.address; }

 private:
  void serve(int socket) {
    Reader reader(socket);
    while (const auto request = readRequest(reader, 60'000)) {
      const std::string method = request->word(0), target = request->word(1);
      if (method == "DELETE") {
        if (!sendAll(socket, "HTTP/1.1 204 No Content\r\n\r\n"))
          return;
        continue;
      }
      if (method != "POST" || target != "/v1/chat/completions") {
        if (!sendAll(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      record_.line(name_ + " runs request " + request->field("x-request-id") + " (" +
                   std::to_string(request->body.size()) + " bytes)");
      if (!answer(socket, request->body))
        return;
    }
  }
  bool answer(int socket, const std::string& body) {
    std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& json : events_(body)) {
      if (!sendAll(socket, head + chunk(event(json))))
        return false;
      head.clear();
      sleepMs(intervalMs_);
    }
    return sendAll(
        socket,
        chunk(event(R"({"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})")) +
            chunk(event(R"({"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":6}})")) +
            chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  }

  std::string name_;
  Record& record_;
  Events events_;
  double intervalMs_;
  Server server_;
};

inline std::string wordEvent(const std::string& text) {
  return R"({"choices":[{"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null}]})";
}

/// The operator's file: that of the project on other addresses, in the folder.
inline std::string writeOperatorFile(const Setting& setting,
                                     const std::string& folder,
                                     const Address& listen,
                                     const Address& door,
                                     const Address& box1,
                                     const Address& box2) {
  std::string text = readFile(setting.root + "/deploy/appliance.json");
  text = replaced(text, "127.0.0.1:8080", listen.text());
  text = replaced(text, "127.0.0.1:9100", door.text());
  text = replaced(text, "127.0.0.1:9001", box1.text());
  text = replaced(text, "127.0.0.1:9002", box2.text());
  text = replaced(text, "\"10.", "\"127.");  // ranges of the admission rules: loopback alone
  const std::string path = folder + "/operator.json";
  std::ofstream(path) << text;
  return path;
}

inline std::string chatRequest(const std::string& key, const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: site\r\nAuthorization: Bearer " + key +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string chatBody(const std::string& model,
                            const std::string& question,
                            bool stream,
                            const std::string& more = "") {
  return R"({"model":")" + model + R"(","max_tokens":64,"stream":)" + (stream ? "true" : "false") +
         R"(,"messages":[{"role":"user","content":")" + question + "\"}]" + more + "}";
}

/// A client: one request on a connection of its own.
class ChatClient {
 public:
  ChatClient(std::string name,
             const Address& router,
             Record& record,
             std::string key,
             std::string body)
      : thread_([this,
                 name = std::move(name),
                 router,
                 &record,
                 key = std::move(key),
                 body = std::move(body)] {
          const int socket = connectTo(router);
          if (socket < 0) {
            record.line(name + ": no connection");
            return;
          }
          const bool sent = sendAll(socket, chatRequest(key, body));
          record.line(name + " sent " + std::to_string(body.size()) + " bytes" +
                      (sent ? "" : ", not whole"));
          Reader reader(socket);
          answer = readAnswer(socket, reader, 12'000, [&] { begun = true; });
          record.line(name + ": " + answer.text() + " after " +
                      std::to_string(static_cast<long>(answer.tookMs)) + " ms, ends with " +
                      tail());
          ::close(socket);
        }) {}
  void wait() { thread_.join(); }
  /// Whether this client got exactly one final answer: served to the end, refused or failed.
  bool answered() const { return answer.complete; }

  Answer answer;
  std::atomic<bool> begun = false;

 private:
  std::string tail() const {
    std::string text =
        answer.body.substr(answer.body.size() - std::min<std::size_t>(answer.body.size(), 60));
    for (char& c : text)
      if (c == '\n' || c == '\r')
        c = ' ';
    return "'" + text + "'";
  }
  std::thread thread_;
};

}  // namespace review
