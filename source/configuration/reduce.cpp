#include "configuration/reduce.hpp"

namespace lovagetack::configuration {

std::vector<order_view> orders_of(const state& /*state*/) {
    return {};
}

effects reduce(state& state, base::boot_time now, std::uint64_t /*random*/, const event& event) {
    effects list;
    if (std::holds_alternative<model::tick>(event) && now >= state.next_read_at) {
        state.next_read_at = now + std::chrono::seconds(1);
        list.emplace_back(model::store_read{model::operation_id(++state.operations), "configuration", ""});
    }
    if (const auto* reply = std::get_if<model::store_reply>(&event)) {
        std::string base_text;
        std::string overlay_text;
        std::uint64_t version = 0;
        for (const auto& row : reply->rows) {
            if (row.key == "base") {
                base_text = row.value;
            } else if (row.key == "overlay." + state.data_centre.value()) {
                overlay_text = row.value;
            } else if (row.key == "version") {
                version = row.version;
            }
        }
        if (version > state.version) {
            auto parsed = state.parse(base_text, overlay_text, version);
            if (parsed) {
                state.version = version;
                list.emplace_back(model::deployment_changed{parsed.value()});
            }
        }
    }
    return list;
}

} // namespace lovagetack::configuration
