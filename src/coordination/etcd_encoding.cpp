#include "coordination/etcd_encoding.h"

#include <boost/beast/core/detail/base64.hpp>
#include <charconv>

namespace inference_router::coordination::etcd {

using nlohmann::json;

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::size_t kBytesOfGroup = 3;  // that four characters encode

json condition(const std::string& key,
               const char* target,
               const char* field,
               const std::string& value) {
  return {{"key", encodeBase64(key)}, {"target", target}, {"result", "EQUAL"}, {field, value}};
}

}  // namespace

std::string encodeBase64(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

// The decoder writes one or two bytes more than decoded_size() says if the last group has no
// padding.
std::string decodeBase64(const std::string& text) {
  std::string bytes(base64::decoded_size(text.size()) + kBytesOfGroup, '\0');
  bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
  return bytes;
}

std::string numberText(const json& object, const char* field) {
  const auto it = object.find(field);
  if (it == object.end())
    return "0";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::uint64_t number(const json& object, const char* field) {
  return parseNumber(numberText(object, field));
}

std::uint64_t parseNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

json createdAt(const std::string& key, const std::string& revision) {
  return condition(key, "CREATE", "create_revision", revision);
}

json modifiedAt(const std::string& key, const std::string& revision) {
  return condition(key, "MOD", "mod_revision", revision);
}

json valueEquals(const std::string& key, const std::string& value) {
  return condition(key, "VALUE", "value", encodeBase64(value));
}

json putRequest(const std::string& key, const std::string& value, const std::string& lease) {
  const json put{{"key", encodeBase64(key)}, {"value", encodeBase64(value)}, {"lease", lease}};
  return {{"request_put", put}};
}

json rangeRequest(const std::string& key) {
  return {{"request_range", {{"key", encodeBase64(key)}}}};
}

json deleteRequest(const std::string& key) {
  return {{"request_delete_range", {{"key", encodeBase64(key)}}}};
}

bool succeeded(const json& transaction) {
  return transaction.value("succeeded", false);
}

json firstKeyValue(const json& transaction, std::size_t response) {
  const auto responses = transaction.find("responses");
  if (responses == transaction.end() || responses->size() <= response)
    return nullptr;
  const json& range = (*responses)[response].value("response_range", json::object());
  const auto keyValues = range.find("kvs");
  if (keyValues == range.end() || keyValues->empty())
    return nullptr;
  return keyValues->front();
}

std::string valueOf(const json& keyValue) {
  return keyValue.is_null() ? "" : decodeBase64(keyValue.value("value", ""));
}

}  // namespace inference_router::coordination::etcd
