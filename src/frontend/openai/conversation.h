/// The one place where a conversation in the chat format becomes what the module decides by.
///
/// - Tokens: a token counts as four bytes of content, rounded up; roles and framing count nothing.
///   No tokenizer is at hand, and the module needs sizes to compare, not to bill.
/// - Prefix: the opening that conversations share is the first message, if its role is system or
///   developer. Its name is a hash of its content. Without such a message there is none.
/// - Session: a hash of the tenant, of `user` where the client gives it, and of all messages up to
///   the first one of the user. Each later turn repeats them, so that all turns of a conversation
///   have one session. Two conversations of a tenant that open with the very same words share a
///   session, which costs nothing: what they share can be found cached.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace inference_router::frontend {

struct ConversationTraits {
  std::string session;
  std::string prefix;  ///< empty: none
  double promptTokens = 0;
  double prefixTokens = 0;
};

/// messages: an array that readChatRequest() has accepted.
ConversationTraits traitsOf(const nlohmann::json& messages,
                            const std::string& tenant,
                            const std::string& user);

}  // namespace inference_router::frontend
