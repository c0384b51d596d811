#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "base/boot_time.hpp"
#include "model/grant.hpp"
#include "model/ids.hpp"
#include "stand_ins/http_connection.hpp"

namespace lovagetack::stand_ins {

/// One request at a backend server, queued or executing.
struct backend_job {
    static constexpr std::size_t not_recorded = std::numeric_limits<std::size_t>::max();

    std::shared_ptr<http_exchange> exchange;
    std::string request_id;
    std::string service;
    std::string key;
    std::optional<model::fence> fence;
    std::optional<base::boot_time> deadline;
    bool overloaded = false;
    bool executing = false;
    /// Answered or dropped; a timer that fires later does nothing.
    bool over = false;
    /// The granted range under which it started.
    std::optional<model::granted_range> range;
    std::uint64_t lease_run = 0;
    std::size_t record = not_recorded;
};

using job_pointer = std::shared_ptr<backend_job>;

/// Reads the headers and the path of a request; now is the time that its deadline counts from.
[[nodiscard]] std::shared_ptr<backend_job> read_job(const std::shared_ptr<http_exchange>& exchange,
                                                    base::boot_time now);

/// The answer to a job that ran: a generated body for paths with /size/N or /cut/N, else a text that names the
/// server, the request id, the key and the length and hash of the body received.
[[nodiscard]] http_response answer_of(const backend_job& job, const std::string& server);

} // namespace lovagetack::stand_ins
