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
    /// Answered or dropped; a timer that fires later has no effect.
    bool finished = false;
    /// The granted range that contained the key when the execution started.
    std::optional<model::granted_range> range;
    std::uint64_t lease_generation = 0;
    std::size_t record = not_recorded;
};

using job_pointer = std::shared_ptr<backend_job>;

/// Reads the headers and the path of a request. The deadline is the milliseconds of its header, added to now.
[[nodiscard]] std::shared_ptr<backend_job> read_job(const std::shared_ptr<http_exchange>& exchange,
                                                    base::boot_time now);

/// The answer to a completed job: a generated body of N bytes for paths with /size/N, a body cut off halfway for
/// /cut/N, else a text with the request id, the key, the server, the method, and the length and hash of the body
/// received.
[[nodiscard]] http_response answer_of(const backend_job& job, const std::string& server);

} // namespace lovagetack::stand_ins
