#include "integration/wait_for.hpp"

#include <stdexcept>
#include <thread>

#include "base/boot_time.hpp"

namespace lovagetack::harness {

namespace {

constexpr std::chrono::milliseconds poll_interval(5);

} // namespace

void wait_for(const std::function<bool()>& condition, const std::string& description) {
    const auto limit = base::boot_clock::now() + hung_after;
    while (!condition()) {
        if (base::boot_clock::now() >= limit) {
            throw std::runtime_error("hung: " + description);
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace lovagetack::harness
