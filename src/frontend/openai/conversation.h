/// Derives the attributes that the routing library decides by from a conversation in the chat
/// format.
///
/// - Tokens: estimated as the bytes of content divided by four, rounded up; roles and framing are
/// not
///   counted. No tokenizer is available, and the sizes are only compared, not billed.
/// - Prefix: the first message, if its role is system or developer, as conversations share it. It
/// is
///   identified by a hash of its content. Without such a message there is no prefix.
/// - Session: a hash of the tenant, of `user` if the client sends it, and of all messages up to and
///   including the first user message. Every later turn repeats these messages, so all turns of a
///   conversation have the same session. Two conversations of a tenant that begin with identical
///   messages share a session, which does no harm: their common messages can be found cached.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace inference_router::frontend {

/// The routing attributes of a conversation.
struct ConversationTraits {
  std::string session;
  std::string prefix;  ///< empty: none
  double promptTokens = 0;
  double prefixTokens = 0;
};

/// Derives the attributes. messages: an array that readChatRequest() has accepted.
ConversationTraits traitsOf(const nlohmann::json& messages,
                            const std::string& tenant,
                            const std::string& user);

}  // namespace inference_router::frontend
