/// Files by descriptor: opened, read and written whole. Interrupted and short system calls are
/// continued.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"

namespace inference_router::app {

/// Opens a file with access for its owner alone; a symbolic link is not followed. Empty with errno
/// set if it cannot be opened.
net::FileDescriptor openFile(const std::string& path, int flags);
/// False if not everything could be written; a part may be in the file then.
[[nodiscard]] bool writeAll(int descriptor, std::string_view text);
/// So many bytes, or fewer if the file ends before; nothing if it cannot be read.
std::optional<std::string> readUpTo(int descriptor, std::size_t size);
/// Waits until what was written is on the storage. False if the system cannot say so.
[[nodiscard]] bool sync(int descriptor);

}  // namespace inference_router::app
