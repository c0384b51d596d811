#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

#include "base/boot_time.hpp"
#include "base/fields.hpp"

namespace lovagetack::stand_ins {

/// Body of GET /lovagetack/load.
struct load_state {
    std::string boot_id;
    std::chrono::microseconds uptime{0};
    bool draining = false;
    std::int32_t slots = 0;
    std::int32_t in_flight = 0;
    std::int32_t queued = 0;
};

/// Past load states of a backend server, so that its load endpoint can return an outdated one.
class lagging_load {
public:
    /// Adds a state and drops the states older than lag, except the newest of these.
    void add_state(base::boot_time now, std::chrono::milliseconds lag, const load_state& state);
    /// The state at the time now - lag, or the oldest one stored.
    [[nodiscard]] load_state at(base::boot_time now, std::chrono::milliseconds lag) const;

private:
    struct entry {
        base::boot_time at;
        load_state state;
    };

    std::deque<entry> entries_;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::load_state> {
    static constexpr std::string_view name = "load_state";
    static constexpr auto list = std::make_tuple(
        make_field("boot_id", &stand_ins::load_state::boot_id), make_field("uptime", &stand_ins::load_state::uptime),
        make_field("draining", &stand_ins::load_state::draining), make_field("slots", &stand_ins::load_state::slots),
        make_field("in_flight", &stand_ins::load_state::in_flight),
        make_field("queued", &stand_ins::load_state::queued));
};
