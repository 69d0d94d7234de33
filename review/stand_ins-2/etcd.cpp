// Stand-in for etcd with one member: the calls of the v3 API that a conductor makes, in the JSON of the gateway.
//   etcd PORT ANSWER_MS      each answer takes ANSWER_MS; a change is carried out before it
#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

using nlohmann::json;

namespace {

constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encoded(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k <= bytes.size() ? kAlphabet[group >> (18 - 6 * k) & 63] : '=';
  }
  return text;
}

std::string decoded(const std::string& text) {
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto at = std::string(kAlphabet).find(c);
    if (at == std::string::npos)
      break;
    group = group << 6 | static_cast<unsigned>(at);
    if ((bits += 6) >= 8)
      bytes += static_cast<char>(group >> (bits -= 8) & 255);
  }
  return bytes;
}

std::uint64_t number(const json& object, const char* field) {
  if (!object.contains(field))
    return 0;
  return object[field].is_string() ? std::stoull(object[field].get<std::string>()) : object[field].get<std::uint64_t>();
}

std::string bytes(const json& object, const char* field) {
  return decoded(object.value(field, ""));
}

double nowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

struct Key {
  std::string value;
  std::uint64_t created = 0, modified = 0, version = 0, lease = 0;
};
struct Lease {
  double ttlMs = 0, untilMs = 0;
};

class Etcd {
 public:
  json execute(const std::string& path, const json& body) {
    const std::lock_guard lock(mutex_);
    expire();
    if (path == "/v3/kv/range")
      return range(body);
    if (path == "/v3/kv/txn")
      return transaction(body);
    if (path == "/v3/lease/grant") {
      const std::uint64_t id = 7000000000ULL + ++granted_;
      const double ttlMs = static_cast<double>(number(body, "TTL")) * 1000;
      leases_[id] = {ttlMs, nowMs() + ttlMs};
      return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(number(body, "TTL"))}};
    }
    const std::uint64_t id = number(body, "ID");
    const auto lease = leases_.find(id);
    if (path == "/v3/lease/keepalive") {
      json result{{"header", header()}, {"ID", std::to_string(id)}};
      if (lease != leases_.end()) {
        lease->second.untilMs = nowMs() + lease->second.ttlMs;
        result["TTL"] = std::to_string(static_cast<long>(lease->second.ttlMs / 1000));
      }
      return {{"result", result}};
    }
    if (path == "/v3/lease/timetolive") {
      const long left = lease == leases_.end() ? -1 : static_cast<long>((lease->second.untilMs - nowMs()) / 1000);
      return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(left)}};
    }
    if (path == "/v3/lease/revoke" && lease != leases_.end()) {
      end(lease);
      return {{"header", header()}};
    }
    return {{"error", "not found"}, {"code", 5}, {"message", "not found"}};
  }

 private:
  json header() const {
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision_)}, {"raft_term", "2"}};
  }
  std::map<std::uint64_t, Lease>::iterator end(std::map<std::uint64_t, Lease>::iterator lease) {
    if (std::erase_if(keys_, [&](const auto& key) { return key.second.lease == lease->first; }) > 0)
      ++revision_;
    return leases_.erase(lease);
  }
  void expire() {
    for (auto it = leases_.begin(); it != leases_.end();)
      it = nowMs() < it->second.untilMs ? std::next(it) : end(it);
  }
  json range(const json& request) const {
    const std::string begin = bytes(request, "key"), rangeEnd = bytes(request, "range_end");
    const auto end = rangeEnd.empty() ? keys_.upper_bound(begin) : keys_.lower_bound(rangeEnd);
    json found = json::array();
    for (auto it = keys_.lower_bound(begin); it != end; ++it)
      found.push_back({{"key", encoded(it->first)},
                       {"value", encoded(it->second.value)},
                       {"create_revision", std::to_string(it->second.created)},
                       {"mod_revision", std::to_string(it->second.modified)},
                       {"version", std::to_string(it->second.version)},
                       {"lease", std::to_string(it->second.lease)}});
    json response{{"header", header()}};
    if (!found.empty()) {
      response["count"] = std::to_string(found.size());
      response["kvs"] = std::move(found);
    }
    return response;
  }
  bool isMet(const json& compare) const {
    const auto it = keys_.find(bytes(compare, "key"));
    const Key key = it == keys_.end() ? Key{} : it->second;
    const std::string target = compare.value("target", "VERSION");
    if (target == "CREATE")
      return key.created == number(compare, "create_revision");
    if (target == "MOD")
      return key.modified == number(compare, "mod_revision");
    if (target == "VERSION")
      return key.version == number(compare, "version");
    return it != keys_.end() && key.value == bytes(compare, "value");
  }
  json transaction(const json& request) {
    bool met = true;
    for (const json& compare : request.value("compare", json::array()))
      met = met && isMet(compare);
    const json operations = request.value(met ? "success" : "failure", json::array());
    for (const json& operation : operations)
      if (const auto lease = operation.contains("request_put") ? number(operation["request_put"], "lease") : 0;
          lease != 0 && leases_.count(lease) == 0)
        return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
    for (const json& operation : operations)
      if (!operation.contains("request_range")) {
        ++revision_;
        break;
      }
    json responses = json::array();
    for (const json& operation : operations) {
      if (operation.contains("request_range")) {
        responses.push_back({{"response_range", range(operation["request_range"])}});
      } else if (operation.contains("request_put")) {
        const json& put = operation["request_put"];
        Key& key = keys_[bytes(put, "key")];
        key.value = bytes(put, "value");
        key.lease = number(put, "lease");
        key.modified = revision_;
        if (key.version++ == 0)
          key.created = revision_;
        responses.push_back({{"response_put", {{"header", header()}}}});
      } else {
        keys_.erase(bytes(operation["request_delete_range"], "key"));
        responses.push_back({{"response_delete_range", {{"header", header()}}}});
      }
    }
    json response{{"header", header()}, {"responses", responses}};
    if (met)
      response["succeeded"] = true;
    return response;
  }

  std::mutex mutex_;
  std::map<std::string, Key> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1, granted_ = 0;
};

void serve(int fd, Etcd& etcd, double answerMs) {
  std::string buffer;
  char part[65536];
  for (;;) {
    const std::size_t head = buffer.find("\r\n\r\n");
    std::size_t size = 0;
    if (head != std::string::npos) {
      const std::size_t at = buffer.find("Content-Length: ");
      size = at < head ? std::strtoul(buffer.c_str() + at + 16, nullptr, 10) : 0;
    }
    if (head == std::string::npos || buffer.size() < head + 4 + size) {
      const ssize_t n = ::recv(fd, part, sizeof part, 0);
      if (n <= 0)
        break;
      buffer.append(part, static_cast<std::size_t>(n));
      continue;
    }
    const std::size_t path = buffer.find(' ') + 1;
    const json body = json::parse(buffer.substr(head + 4, size), nullptr, false);
    const json response = etcd.execute(buffer.substr(path, buffer.find(' ', path) - path), body);
    buffer.erase(0, head + 4 + size);
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(answerMs * 1000)));
    const std::string text = response.dump();
    const std::string answer = std::string("HTTP/1.1 ") + (response.contains("error") ? "404 Not Found" : "200 OK") +
                               "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                               "\r\n\r\n" + text;
    if (::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(answer.size()))
      break;
  }
  ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 3)
    return 2;
  static Etcd etcd;
  const double answerMs = std::atof(argv[2]);
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(argv[1])));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 64) != 0)
    return 2;
  for (;;) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([fd, answerMs] { serve(fd, etcd, answerMs); }).detach();
  }
}
