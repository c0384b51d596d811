#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace lovagetack::harness {

/// Time after which something that a test waits for counts as hung; no test asserts a shorter time.
constexpr std::chrono::seconds hung_after(60);

/// Polls until the condition holds; throws std::runtime_error with the description when it has not within hung_after.
void wait_for(const std::function<bool()>& condition, const std::string& description);

} // namespace lovagetack::harness
