#include "core/document_reader.h"

#include <optional>
#include <utility>
#include <vector>

namespace inference_router::core {

using nlohmann::json;

namespace {

// Builds a document from the parser's events and stops the parser at the first limit exceeded.
// Stopping it also ends its recursion.
class DocumentBuilder final {
 public:
  explicit DocumentBuilder(const DocumentLimits& limits) : limits_(limits) {}

  json takeDocument() { return std::move(document_); }
  const std::optional<DocumentError>& error() const { return error_; }

  // ---- The parser's events, by the names that the library asks for; false stops the parser
  // NOLINTBEGIN(readability-identifier-naming)

  bool null() { return place(nullptr); }
  bool boolean(bool value) { return place(value); }
  bool number_integer(json::number_integer_t value) { return place(value); }
  bool number_unsigned(json::number_unsigned_t value) { return place(value); }
  bool number_float(json::number_float_t value, const json::string_t&) { return place(value); }
  bool string(json::string_t& value) { return place(std::move(value)); }
  bool binary(json::binary_t& value) { return place(std::move(value)); }
  bool start_object(std::size_t) { return open(json::value_t::object); }
  bool start_array(std::size_t) { return open(json::value_t::array); }
  bool end_object() { return close(); }
  bool end_array() { return close(); }
  bool key(json::string_t& name) {
    member_ = &containers_.back()->get_ref<json::object_t&>()[std::move(name)];
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const json::exception& error) {
    return stop(DocumentFault::kMalformed, error.what());
  }

  // NOLINTEND(readability-identifier-naming)

 private:
  bool place(json value) {
    if (!count())
      return false;
    add(std::move(value));
    return true;
  }

  bool open(json::value_t type) {
    if (containers_.size() >= limits_.maxDepth)
      return stop(DocumentFault::kTooDeep, "the document nests lists and objects more than " +
                                               std::to_string(limits_.maxDepth) + " levels deep");
    if (!count())
      return false;
    containers_.push_back(add(json(type)));
    return true;
  }

  bool close() {
    containers_.pop_back();
    return true;
  }

  bool count() {
    if (++values_ <= limits_.maxValues)
      return true;
    return stop(DocumentFault::kTooManyValues,
                "the document has more than " + std::to_string(limits_.maxValues) + " values");
  }

  // Elements of the innermost container stay in place while it is open: only the last one grows.
  json* add(json value) {
    if (containers_.empty()) {
      document_ = std::move(value);
      return &document_;
    }
    json& container = *containers_.back();
    if (container.is_array())
      return &container.get_ref<json::array_t&>().emplace_back(std::move(value));
    *member_ = std::move(value);
    return member_;
  }

  bool stop(DocumentFault fault, const std::string& reason) {
    error_.emplace(fault, reason);
    return false;
  }

  const DocumentLimits& limits_;
  json document_;
  std::vector<json*> containers_;  // those that are open, the innermost last
  json* member_ = nullptr;         // of the innermost object, if its value is next
  std::size_t values_ = 0;
  std::optional<DocumentError> error_;
};

json parse(std::string_view text, const DocumentLimits& limits, json::input_format_t format) {
  if (text.size() > limits.maxBytes)
    throw DocumentError(DocumentFault::kTooLarge,
                        "the document has more than " + std::to_string(limits.maxBytes) + " bytes");
  DocumentBuilder builder(limits);
  const bool complete = json::sax_parse(text.begin(), text.end(), &builder, format);
  if (builder.error())
    throw DocumentError(*builder.error());
  if (!complete)
    throw DocumentError(DocumentFault::kMalformed, "the document is not complete");
  return builder.takeDocument();
}

}  // namespace

json parseJson(std::string_view text, const DocumentLimits& limits) {
  return parse(text, limits, json::input_format_t::json);
}

json parseMessagePack(std::string_view bytes, const DocumentLimits& limits) {
  return parse(bytes, limits, json::input_format_t::msgpack);
}

}  // namespace inference_router::core
