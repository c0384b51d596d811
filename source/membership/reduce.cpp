#include "membership/reduce.hpp"

#include "membership/step.hpp"

namespace lovagetack::membership {

effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& happened) {
    if (state.is_superseded()) {
        return {};
    }
    step step(state, now, random);
    std::visit([&](const auto& body) { step.on(body); }, happened);
    return step.finish();
}

} // namespace lovagetack::membership
