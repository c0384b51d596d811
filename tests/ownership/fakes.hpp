#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_time.hpp"
#include "model/deployment.hpp"
#include "model/grant.hpp"
#include "model/store.hpp"

namespace lovagetack::testing {

/// Rows with versions and conditional transactions, as in section 9 of the design.
struct fake_table_service {
    std::map<std::pair<std::string, std::string>, model::row> rows;
    bool up = true;
    std::uint64_t transactions = 0;

    [[nodiscard]] model::store_reply read(const model::store_read& call) const {
        model::store_reply reply{call.operation, model::store_status::done, {}, {}};
        for (const auto& [name, row] : rows) {
            if (name.first == call.table && (call.key.empty() || name.second == call.key)) {
                reply.rows.push_back(row);
            }
        }
        return reply;
    }

    model::store_reply apply(const model::store_transaction& call) {
        model::store_reply reply{call.operation, model::store_status::done, {}, {}};
        for (const auto& condition : call.conditions) {
            const auto found = rows.find({condition.table, condition.key});
            const auto version = found == rows.end() ? 0 : found->second.version;
            if (version != condition.version) {
                reply.status = model::store_status::conflict;
                return reply;
            }
        }
        ++transactions;
        for (const auto& write : call.writes) {
            auto& row = rows[{write.table, write.key}];
            row = {write.table, write.key, row.version + 1, write.value.value_or("")};
            reply.versions.push_back(row.version);
        }
        return reply;
    }
};

/// A backend server that checks grants: lease on its own clock, ranges and fences of the newest poll.
struct fake_backend_server {
    model::backend_server server;
    /// Its clock's rate against the simulated time.
    double rate = 1.0;
    std::chrono::microseconds clock_start = std::chrono::seconds(100);
    base::boot_time booted_at;
    std::uint64_t boots = 1;
    bool down = false;
    bool draining = false;
    /// Until this time the server keeps its state but answers and executes nothing.
    base::boot_time frozen_until;
    model::epoch epoch;
    std::uint64_t grant_version = 0;
    std::vector<model::granted_range> ranges;
    std::chrono::microseconds lease_end = std::chrono::microseconds(0);
    std::vector<model::range_activity> activity;

    [[nodiscard]] std::chrono::microseconds clock(base::boot_time now) const {
        const auto elapsed = static_cast<double>(now.time_since_epoch().count()) * rate;
        return clock_start + std::chrono::microseconds(static_cast<std::int64_t>(elapsed));
    }

    [[nodiscard]] std::string boot_id() const { return server.id.value() + "/" + std::to_string(boots); }
    [[nodiscard]] bool answers(base::boot_time now) const { return !down && now >= frozen_until; }

    void restart(base::boot_time now) {
        ++boots;
        booted_at = now;
        down = false;
        epoch = model::epoch(0);
        grant_version = 0;
        ranges.clear();
        lease_end = std::chrono::microseconds(0);
        activity.clear();
    }

    model::grant_answer answer_poll(const model::grant_poll& poll, base::boot_time now) {
        const bool accepted = poll.epoch >= epoch;
        const bool newer = poll.epoch > epoch || poll.grant_version >= grant_version;
        if (accepted && newer) {
            epoch = poll.epoch;
            grant_version = poll.grant_version;
            if (poll.lease_boot_id == boot_id() && poll.lease_from.count() > 0) {
                lease_end = std::max(lease_end, poll.lease_from + poll.lease_time);
            }
            if (poll.replace_ranges) {
                ranges = poll.ranges;
            }
        }
        model::grant_answer answer;
        answer.accepted = accepted;
        answer.clock = clock(now);
        answer.boot_id = boot_id();
        answer.uptime = std::chrono::duration_cast<std::chrono::microseconds>(now - booted_at);
        answer.epoch = epoch;
        answer.grant_version = grant_version;
        answer.ranges = ranges;
        answer.activity = activity;
        answer.draining = draining;
        return answer;
    }

    /// The fence under which a request for the hash would be executed now.
    [[nodiscard]] std::optional<model::fence> would_execute(std::uint64_t hash, base::boot_time now) const {
        if (!answers(now) || clock(now) >= lease_end) {
            return std::nullopt;
        }
        for (const auto& range : ranges) {
            if (range.first <= hash && hash <= range.last) {
                return range.fence;
            }
        }
        return std::nullopt;
    }
};

} // namespace lovagetack::testing
