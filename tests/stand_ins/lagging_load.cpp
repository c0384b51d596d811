#include "stand_ins/lagging_load.hpp"

namespace lovagetack::stand_ins {

void lagging_load::add_state(base::boot_time now, std::chrono::milliseconds lag, const load_state& state) {
    entries_.push_back({now, state});
    while (entries_.size() > 1 && entries_[1].at + lag <= now) {
        entries_.pop_front();
    }
}

load_state lagging_load::at(base::boot_time now, std::chrono::milliseconds lag) const {
    load_state state = entries_.empty() ? load_state{} : entries_.front().state;
    for (const auto& past : entries_) {
        if (past.at + lag <= now) {
            state = past.state;
        }
    }
    return state;
}

} // namespace lovagetack::stand_ins
