#pragma once

#include <cstdint>

#include "base/result_code.hpp"
#include "requests/context.hpp"
#include "requests/exchange.hpp"
#include "requests/server_record.hpp"
#include "requests/service_record.hpp"

namespace lovagetack::requests {

enum class choice_kind : std::uint8_t { send, wait, refuse };

/// Target of a request, or the reason why it has none at present.
struct choice {
    choice_kind kind = choice_kind::wait;
    /// Set for send.
    server_record* server = nullptr;
    model::fence fence;
    /// Reason to wait or to refuse.
    base::result_code code = base::result_code::ok;
};

/// Chooses the backend server of a request: the active owner of its key, the target of the relaying instance, or the
/// better of two random ones.
[[nodiscard]] choice choose_target(context& ctx, service_record& service, const exchange& exchange);

/// The active range of the request's key, or null.
[[nodiscard]] const model::active_range* range_of(const service_record& service, const exchange& exchange);

/// True if the backend server answers much later than the others of its service, so that it gets fewer new requests.
[[nodiscard]] bool is_straggler(const server_record& server, const service_record& service, base::boot_time now);

} // namespace lovagetack::requests
