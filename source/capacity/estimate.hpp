#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "base/boot_time.hpp"

namespace lovagetack::capacity {

/// One good answer of a backend server.
struct answer {
    /// Duration of the work at the server's usual speed, without the caller's reading of the answer.
    std::chrono::microseconds work{0};
    /// When the request was sent.
    base::boot_time sent;
    /// Requests in progress at the server, this one included, and the slots that it has registered.
    std::int32_t in_progress = 1;
    std::int32_t slots = 1;
    /// False for a server that has just started or is cold: its times do not last.
    bool warm = true;
};

/// What one backend server takes well, learned from its answers: the time of a request, and the requests in progress
/// above which one more costs more than it gives. Without answers it ages back to what is registered.
class estimate {
public:
    /// Updates the plain moving average only.
    void average(std::chrono::microseconds observed, std::int32_t observations, std::chrono::microseconds assumed);
    /// Learns from an answer. `assumed` is the time of a server without answers.
    void learn(base::boot_time now, const answer& answer, std::chrono::microseconds assumed);
    /// Learns from the mean of `observations` times that another instance has reported.
    void learn_reported(base::boot_time now, std::chrono::microseconds observed, std::int32_t observations,
                        std::chrono::microseconds assumed);

    [[nodiscard]] bool known() const { return known_; }
    /// Moving average of the last times, whatever their age.
    [[nodiscard]] std::chrono::microseconds recent() const { return in_microseconds(recent_); }
    /// Time of one request now. `assumed` is what a server without answers is expected to take.
    [[nodiscard]] std::chrono::microseconds time(base::boot_time now, std::chrono::microseconds assumed) const;
    /// Requests that the server takes well at once: 1 to `slots`.
    [[nodiscard]] std::int32_t limit(base::boot_time now, std::int32_t slots) const;
    /// Factor by which a request takes longer with `in_progress` requests at the server than with few; nothing if the
    /// answers show none.
    [[nodiscard]] std::optional<double> slowdown(base::boot_time now, std::int32_t in_progress,
                                                 std::int32_t slots) const;
    /// Time since the last answer or report.
    [[nodiscard]] std::chrono::microseconds age(base::boot_time now) const { return now - learned_at_; }

private:
    /// Answers with similar numbers of requests in progress.
    struct band {
        float mean = 0;
        float variance = 0;
        std::uint32_t answers = 0;
        base::boot_time at;
    };

    [[nodiscard]] static std::chrono::microseconds in_microseconds(double time) {
        return std::chrono::microseconds(static_cast<std::int64_t>(time));
    }
    void learn_time(base::boot_time now, double observed, std::int32_t observations, bool warm, double assumed);
    void learn_band(base::boot_time now, const answer& answer);
    /// Lowers the limit if a fuller band has less throughput than another.
    void lower_limit(base::boot_time now, std::int32_t slots);
    /// Lowers the limit for a moment, so that a server that is slow and always full shows how it is with fewer
    /// requests.
    void try_fewer(base::boot_time now, std::int32_t slots, double assumed);
    /// The band of a number of requests in progress, and the most requests in progress of a band.
    [[nodiscard]] static std::int32_t band_of(std::int32_t in_progress, std::int32_t slots);
    [[nodiscard]] static std::int32_t most_of(std::int32_t band, std::int32_t slots);
    [[nodiscard]] bool is_evidence(const band& band, base::boot_time now, std::chrono::microseconds age) const;
    /// Whether a request in `fuller` takes longer than `ratio` times one in `reference`, beyond the noise.
    [[nodiscard]] static bool exceeds(const band& fuller, const band& reference, double ratio);

    bool known_ = false;
    double recent_ = 0;
    double usual_ = 0;
    std::int32_t answers_ = 0;
    base::boot_time learned_at_;
    base::boot_time answered_at_;
    /// Requests in progress are counted in this many bands at most: more would have too few answers each.
    static constexpr std::int32_t most_bands = 4;
    std::array<band, most_bands> bands_;
    /// The limit in bands when it was last lowered; 0 if it never was.
    std::int32_t lowered_to_ = 0;
    base::boot_time lowered_at_;
    /// How long the lowered limit is kept before it rises.
    std::chrono::microseconds kept_{0};
    base::boot_time next_trial_;
};

} // namespace lovagetack::capacity
