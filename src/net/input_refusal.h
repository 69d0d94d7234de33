/// The answers to input that is no request.
#pragma once

#include <boost/system/error_code.hpp>
#include <optional>
#include <string_view>

namespace inference_router::net {

struct InputRefusal {
  unsigned status;
  std::string_view text;
};

/// What a client is told whose input failed with this error; nothing if the connection itself has
/// ended or failed.
std::optional<InputRefusal> refusalFor(const boost::system::error_code& error);

}  // namespace inference_router::net
