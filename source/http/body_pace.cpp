#include "http/body_pace.hpp"

namespace lovagetack::http {

bool is_slow(const body_progress& progress, std::chrono::steady_clock::time_point now) {
    if (now - progress.begun < pace_time) {
        return false;
    }
    if (now - progress.last_received >= pace_time) {
        return true;
    }
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(now - progress.begun);
    return progress.bytes * 1000 < least_pace * static_cast<std::uint64_t>(time.count());
}

} // namespace lovagetack::http
