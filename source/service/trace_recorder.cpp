#include "service/trace_recorder.hpp"

namespace lovagetack::service {

trace_recorder::trace_recorder(const std::string& file, const core::identity& identity) {
    if (file.empty()) {
        return;
    }
    file_.open(file, std::ios::trunc);
    file_ << core::identity_line(identity);
}

trace_recorder::~trace_recorder() {
    if (file_.is_open()) {
        file_ << core::digest_line(digest_);
    }
}

void trace_recorder::record(const core::event& event, const core::effects& effects) {
    if (!file_.is_open()) {
        return;
    }
    file_ << core::event_line(event);
    for (const auto& effect : effects) {
        digest_.add(effect);
    }
}

} // namespace lovagetack::service
