/// An open stream on its way from one process of a router to the one that replaces it, and its
/// encoding. Both processes may be of different versions: fields are added, never renamed.
#pragma once

#include <string>

#include "inference_router/router.h"
#include "net/client_connection.h"
#include "net/endpoint.h"
#include "upstream/http_instance_client.h"

namespace inference_router::app {

/// The state of a stream. The descriptors within are not part of the encoding: they travel beside
/// it.
struct HandedStream {
  routing::Arrival arrival;
  routing::InstanceId instance;
  net::Endpoint address;  // of the instance
  upstream::HttpInstanceClient::TransferState instanceTransfer;
  net::ClientConnection::TransferState client;
};

/// MessagePack.
std::string encode(const HandedStream& stream);
/// Throws an exception derived from std::exception if the text is no such stream.
HandedStream decodeHandedStream(const std::string& text);

}  // namespace inference_router::app
