/// The JSON encoding of etcd's v3 gateway: keys and values in base64, 64-bit numbers as strings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace inference_router::coordination::etcd {

std::string encodeBase64(const std::string& bytes);
std::string decodeBase64(const std::string& text);

/// Returns a number field as text; "0" if it is missing, since the gateway omits zeros.
std::string numberText(const nlohmann::json& object, const char* field);
std::uint64_t number(const nlohmann::json& object, const char* field);
/// Parses the decimal number at the start of a text; 0 if there is none.
std::uint64_t parseNumber(const std::string& text);

/// Conditions of a transaction.
nlohmann::json createdAt(const std::string& key, const std::string& revision);
nlohmann::json modifiedAt(const std::string& key, const std::string& revision);
nlohmann::json valueEquals(const std::string& key, const std::string& value);

/// Operations of a transaction. lease: the id of the etcd lease that the key is attached to.
nlohmann::json putRequest(const std::string& key,
                          const std::string& value,
                          const std::string& lease = "0");
nlohmann::json rangeRequest(const std::string& key);
nlohmann::json deleteRequest(const std::string& key);

/// Whether the transaction's conditions were met.
bool succeeded(const nlohmann::json& transaction);
/// Returns the first key-value pair in the transaction's response at this index; null if there is
/// none.
nlohmann::json firstKeyValue(const nlohmann::json& transaction, std::size_t response);
/// Returns the decoded value of a key-value pair; empty for null.
std::string valueOf(const nlohmann::json& keyValue);

}  // namespace inference_router::coordination::etcd
