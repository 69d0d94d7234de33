// The platform as the protocol page has it: discovery, readers and writers, and clients, for one
// router that is told all in GW_CONFIG.
#pragma once

#include <set>

#include "common.h"

namespace review {

/// A member of discovery's list.
struct Member {
  std::string id, kind;
  Address address;
  int cell = 0;
  std::string phase = "active";
};

inline std::string listText(int revision,
                            bool complete,
                            const std::string& zone,
                            const std::vector<Member>& members) {
  std::string text = R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
                     (complete ? "true" : "false") + R"(,"members":[)";
  for (std::size_t i = 0; i < members.size(); ++i) {
    const Member& member = members[i];
    text += std::string(i > 0 ? "," : "") + R"({"id":")" + member.id + R"(","host_port":")" +
            member.address.text() + R"(","locality":")" + zone + R"(","flavor":")" + member.kind +
            R"(","cell":)" + std::to_string(member.cell) + R"(,"phase":")" + member.phase +
            R"(","size":1.0,"up_since_ms":0})";
  }
  return text + "]}";
}

/// Discovery's agent: the whole list, then an empty line every 2 s.
class DiscoveryAgent {
 public:
  DiscoveryAgent(std::string list)
      : list_(std::move(list)), server_([this](int socket) { serve(socket); }) {}
  const Address& address() const { return server_.address; }

 private:
  void serve(int socket) {
    Reader reader(socket);
    const auto request = readRequest(reader, 60'000);
    if (!request)
      return;
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!sendAll(socket, head + chunk(list_ + "\n")))
      return;
    while (sendAll(socket, chunk("\n")))
      sleepMs(2'000);
  }
  std::string list_;
  Server server_;
};

/// A platform's request.
struct Call {
  std::string id, cls, body;
  int budgetMs = 6'000;
  std::string text(const std::string& tenant,
                   const std::string& path = "/v1/chat/completions") const {
    return "POST " + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id +
           "\r\nX-Call-Class: " + cls + "\r\n" +
           (tenant.empty() ? "" : "X-Caller: " + tenant + "\r\n") + "X-Route-Hash: c" + id +
           "\r\nX-Budget-Ms: " + std::to_string(budgetMs) +
           "\r\nX-Call-Info: prompt_len=400,prefix_len=0,max_out=400\r\nContent-Type: "
           "application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

inline std::string platformEvent(const std::string& content, const char* finish) {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + content +
         R"("},"finish_reason":)" + finish + "}]}\n\n";
}

/// What an instance says to a request, chunk by chunk, with the time before each.
struct Part {
  double afterMs;
  std::string bytes;
};

/// An instance. It answers attempts by the function, releases with 204, places with 200.
class Instance {
 public:
  using Script = std::function<std::vector<Part>(const Message& request, const std::string& id)>;
  Instance(std::string name, Record& record, Script script)
      : name_(std::move(name)),
        record_(record),
        script_(std::move(script)),
        server_([this](int socket) { serve(socket); }) {}
  const Address& address() const { return server_.address; }

 private:
  void serve(int socket) {
    Reader reader(socket);
    while (const auto request = readRequest(reader, 120'000)) {
      const std::string method = request->word(0), target = request->word(1);
      std::vector<Part> parts;
      if (target.rfind("/bootstrap/rooms/", 0) == 0) {
        parts = {{0, method == "DELETE" ? "HTTP/1.1 204 No Content\r\n\r\n"
                                        : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
      } else if (request->field("x-call-id").empty()) {
        parts = {{0, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"}};
      } else {
        const std::string id = request->field("x-call-id");
        record_.line(name_ + " runs " + id);
        parts = script_(*request, id);
      }
      for (const Part& part : parts) {
        if (part.afterMs > 0)
          sleepMs(part.afterMs);
        if (!sendAll(socket, part.bytes))
          return;
      }
    }
  }
  std::string name_;
  Record& record_;
  Script script_;
  Server server_;
};

inline std::string readAnswerOfReader() {
  const std::string body = R"({"cached_tokens":0})";
  return "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string streamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
inline std::string streamEnd() {
  return chunk(R"(data: {"choices":[],"usage":{"prompt_tokens":400,"completion_tokens":40,)"
               R"("prompt_tokens_details":{"cached_tokens":0}}})"
               "\n\n") +
         chunk("data: [DONE]\n\n") + "0\r\n\r\n";
}

/// GW_CONFIG of the router, in the folder.
inline std::string writeConfig(const std::string& folder,
                               const Address& listen,
                               const Address& discovery,
                               const std::string& list,
                               const std::string& settings) {
  const std::string path = folder + "/config.json";
  std::ofstream(path) << R"({"name":"n0","listen":")" << listen.text() << R"(","discovery":")"
                      << discovery.text()
                      << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,)"
                      << R"("sockets":1024},"known":)" << list << R"(,"settings":)" << settings
                      << "}";
  return path;
}

/// The settings of a small deployment of teratai-minit, under the names of the wire page.
inline const char* const kTeratai = R"({
  "me":0,"peersTotal":1,"tickMs":2.0,"discovery":"push","domainType":"twostage",
  "zones":["kl-jalan-ampang"],"myZone":"kl-jalan-ampang","countedBy":"work","overShareWorth":1.0,
  "kinds":["prefill","decode-a"],
  "familyInfo":{"dutyByKind":["read","write"],"memoryTokens":[240000,150000],"ahead":true,
    "releaseMs":300.0,"resume":false,"writersRead":false,"tokenAimMs":[60.0,80.0,70.0],
    "aimUsPer1000PromptTokens":[40000.0,40000.0,40000.0],"moveFee":0.04},
  "grades":[
    {"name":"draft-item","effect":"idempotent","stream":true,"worth":3.0,"goalTimeMs":1200.0,
     "hardLimitMs":6000.0,"lateShare":0.2},
    {"name":"ask-transcript","effect":"idempotent","stream":true,"worth":3.0,"goalTimeMs":3000.0,
     "hardLimitMs":15000.0,"lateShare":0.2},
    {"name":"file-minutes","effect":"at_most_once","stream":true,"worth":2.0,"goalTimeMs":1500.0,
     "hardLimitMs":7500.0,"lateShare":0.1}],
  "orgs":[],
  "contract":{"askWithinMs":10000.0,"coldFrom":0.25,"coldMs":13000.0,"drainGraceMs":1000.0,
    "fallMs":1000.0,"graceToAnswerMs":8.0,"overloadFactor":2.5},
  "limits":{"cancel":true,"peers":false,"probing":true,"secondCopies":false,"retryAfter":true,
    "maxAttempts":4,"maxRetryAfterMs":1000.0,"dialTimeoutMs":250.0,"idleCloseMs":15000.0,
    "multiplex":32},
  "goal":{"whole":0.65,"worstWindow":0.15,"worstClass":0.2,"worstTenant":0.0},
  "report":{"how":"off"},"clients":{"marksRetry":true}})";

}  // namespace review
