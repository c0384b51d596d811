#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

#include "base/fields.hpp"

namespace lovagetack::stand_ins {

enum class link_mode : std::uint8_t {
    pass,
    /// Closes open connections and refuses new ones.
    cut,
    /// Refuses new connections; open ones are forwarded.
    refuse,
    /// Forwards all bytes with a delay, in order.
    delay,
    /// One-way loss: bytes and the end of the connection towards the server are discarded.
    drop_to_server,
    drop_to_client,
};

/// The faults that a link applies to its traffic.
struct link_condition {
    link_mode mode = link_mode::pass;
    std::chrono::milliseconds delay{0};
    /// Maximum additional delay of each block of bytes, drawn from random.
    std::chrono::milliseconds jitter{0};
    std::mt19937_64 random;
};

/// Totals since the start of the proxy, except open.
struct link_counters {
    std::string name;
    std::string listen;
    std::string to;
    std::int64_t accepted = 0;
    std::int32_t open = 0;
    std::int64_t bytes_to_server = 0;
    std::int64_t bytes_to_client = 0;
    std::int64_t dropped_to_server = 0;
    std::int64_t dropped_to_client = 0;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::link_counters> {
    static constexpr std::string_view name = "link_counters";
    static constexpr auto list = std::make_tuple(
        make_field("name", &stand_ins::link_counters::name), make_field("listen", &stand_ins::link_counters::listen),
        make_field("to", &stand_ins::link_counters::to), make_field("accepted", &stand_ins::link_counters::accepted),
        make_field("open", &stand_ins::link_counters::open),
        make_field("bytes_to_server", &stand_ins::link_counters::bytes_to_server),
        make_field("bytes_to_client", &stand_ins::link_counters::bytes_to_client),
        make_field("dropped_to_server", &stand_ins::link_counters::dropped_to_server),
        make_field("dropped_to_client", &stand_ins::link_counters::dropped_to_client));
};
