/// Stops new connections to a listening socket without losing those that are being established.
#pragma once

namespace inference_router::net {

/// Makes the kernel drop further connection attempts. Handshakes in progress complete, and the
/// accept queue is unchanged.
void dropNewHandshakes(int listeningDescriptor);

}  // namespace inference_router::net
