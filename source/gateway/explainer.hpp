#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/boot_time.hpp"
#include "gateway/ports.hpp"
#include "routing/state.hpp"

namespace lovagetack::gateway {

/// Tells operators, as JSON, where a request would go now, and why. Nothing is sent and nothing changes.
class explainer {
public:
    /// `state` has to outlive this object.
    explicit explainer(const routing::state& state) : state_(state) {}

    /// Nothing if the last explanation was made so lately that callers would wait for this one.
    [[nodiscard]] std::optional<std::string> explain_request(const caller_header& request, base::boot_time now);
    /// The same for a request for a slot, if this instance is the dispatcher that would get it. `query` has the form
    /// that explain_request names. An empty text if it has another one.
    [[nodiscard]] std::optional<std::string> explain_slot(std::string_view query, base::boot_time now);

    /// Explanations since the process started.
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    [[nodiscard]] bool may_explain(base::boot_time now);

    const routing::state& state_;
    std::optional<base::boot_time> last_at_;
    std::uint64_t count_ = 0;
};

} // namespace lovagetack::gateway
