/// Refuses new connections to a listening socket without losing those on their way.
#pragma once

namespace inference_router::net {

/// Has the kernel drop further attempts to connect. Handshakes in progress go on, and what stands
/// in the accept queue stays there.
void dropNewHandshakes(int listeningDescriptor);

}  // namespace inference_router::net
