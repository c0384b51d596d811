#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "model/peer_message.hpp"

namespace lovagetack::peers {

/// Version of the protocol between instances that is written to each message. Receivers accept every version and ignore
/// what they do not know.
inline constexpr std::uint32_t protocol_version = 1;

enum class decode_status : std::uint8_t {
    ok = 0,
    /// Not a message, or one without a sender.
    malformed = 1,
    /// A valid message with a body of a newer protocol version.
    unknown_body = 2,
};

/// Serialises a message to protobuf.
[[nodiscard]] std::string encode(const model::peer_message& message);

/// Parses the output of encode; message is only valid with status ok. Facts of unknown kinds keep their kind number
/// up to 255, the range of model::fact_kind; facts with higher numbers are left out.
[[nodiscard]] decode_status decode(std::string_view bytes, model::peer_message& message);

} // namespace lovagetack::peers
