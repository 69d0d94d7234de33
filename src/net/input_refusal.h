/// Error responses to input that is not a valid request.
#pragma once

#include <boost/system/error_code.hpp>
#include <optional>
#include <string_view>

namespace inference_router::net {

struct InputRefusal {
  unsigned status;
  std::string_view text;
};

/// The refusal for input that failed with this error; empty if the connection itself has ended or
/// failed.
std::optional<InputRefusal> refusalFor(const boost::system::error_code& error);

}  // namespace inference_router::net
