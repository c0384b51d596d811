#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/reduce.hpp"

namespace lovagetack::membership {

/// Several reducers with an in-memory message queue in simulated time. All choices come from one seed.
class network {
public:
    using names = std::vector<std::string>;
    using time = base::boot_time;

    struct instance {
        std::unique_ptr<membership::state> state;
        bool paused = false;
        bool killed = false;
        time next_tick;
        std::map<std::string, model::fact_version> versions;
        std::vector<model::member> members;
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
        std::vector<model::timeline_entry> timeline;
    };

    explicit network(std::uint64_t seed) : random_(seed) {}

    /// Starts an instance and removes an earlier incarnation of that name.
    instance& start(const std::string& name, const std::string& data_centre, std::uint64_t incarnation = 1,
                    const limits& limits = {}) {
        model::member self;
        self.id = model::instance_id(name);
        self.data_centre = model::data_centre_id(data_centre);
        self.incarnation = model::incarnation(incarnation);
        self.peer_address = address_of(name);
        self.caller_address = {"10.0.0.1", 8080};
        self.admin_address = {"10.0.0.1", 8081};
        instance& added = nodes[name];
        added = instance{};
        added.state = std::make_unique<membership::state>(self, seeds, limits);
        added.next_tick = now + std::chrono::microseconds(random_() % 20000);
        return added;
    }

    /// data_centres times count instances named d<i>-<j>, the first ones being seeds.
    void start_data_centres(int data_centres, int count) {
        for (int data_centre = 0; data_centre < data_centres; ++data_centre) {
            seeds.push_back(address_of("d" + std::to_string(data_centre) + "-0"));
        }
        for (int data_centre = 0; data_centre < data_centres; ++data_centre) {
            for (int index = 0; index < count; ++index) {
                const std::string data_centre_name = "d" + std::to_string(data_centre);
                start(data_centre_name + "-" + std::to_string(index), data_centre_name);
            }
        }
        for (auto& [name, node] : nodes) {
            dispatch(name, service_started{});
        }
    }

    void dispatch(const std::string& name, const event& happened) {
        instance& target = nodes.at(name);
        if (target.killed) {
            return;
        }
        for (const auto& produced : reduce(*target.state, now, random_(), happened)) {
            execute(name, target, produced);
        }
    }

    void run_for(std::chrono::microseconds duration) {
        const time end = now + duration;
        while (now < end) {
            now += std::chrono::milliseconds(1);
            deliver();
            for (auto& [name, node] : nodes) {
                if (!node.killed && !node.paused && node.next_tick <= now) {
                    node.next_tick = now + std::chrono::milliseconds(20);
                    dispatch(name, model::tick{});
                }
            }
        }
    }

    [[nodiscard]] model::member_state state_at(const std::string& observer, const std::string& name) const {
        for (const auto& member : nodes.at(observer).members) {
            if (member.id.value() == name) {
                return member.state;
            }
        }
        return model::member_state::left;
    }

    /// True when all running instances have the same facts and members.
    [[nodiscard]] bool converged() const {
        const instance* first = nullptr;
        for (const auto& [name, node] : nodes) {
            if (node.killed) {
                continue;
            }
            if (first == nullptr) {
                first = &node;
            }
            if (node.state->digest() != first->state->digest() || node.members != first->members) {
                return false;
            }
        }
        return true;
    }

    /// True when every running instance sees every running instance as live.
    [[nodiscard]] bool all_live() const {
        for (const auto& [observer, node] : nodes) {
            for (const auto& [name, other] : nodes) {
                if (!node.killed && !other.killed && state_at(observer, name) != model::member_state::live) {
                    return false;
                }
            }
        }
        return true;
    }

    static model::address address_of(const std::string& name) { return {"10.0.0." + name, 7000}; }

    time now{std::chrono::seconds(100)};
    std::map<std::string, instance> nodes;
    std::vector<model::address> seeds;
    /// In percent.
    unsigned loss = 0;
    unsigned duplicates = 0;
    /// Longest random delay added to 1 ms; above the tick interval messages overtake each other.
    std::chrono::microseconds jitter = std::chrono::milliseconds(2);
    /// True for messages from the first to the second instance that do not arrive.
    std::function<bool(const std::string&, const std::string&)> blocked = [](const auto&, const auto&) {
        return false;
    };
    /// Number of stored facts that were replaced by one that was not newer, over all instances.
    int version_regressions = 0;

private:
    struct envelope {
        std::string to;
        model::peer_message content;
    };

    void execute(const std::string& name, instance& from, const effect& produced) {
        if (const auto* const outgoing = std::get_if<model::send_peer_message>(&produced)) {
            ++from.sent;
            from.sent_bytes += estimated_bytes(outgoing->body);
            transmit(name, from, *outgoing);
        } else if (const auto* const learned = std::get_if<model::fact_learned>(&produced)) {
            const auto key = std::to_string(static_cast<int>(learned->fact.kind)) + "/" + learned->fact.name;
            const auto found = from.versions.find(key);
            if (found != from.versions.end() && !is_newer(learned->fact.version, found->second)) {
                ++version_regressions;
            }
            from.versions[key] = learned->fact.version;
        } else if (const auto* const changed = std::get_if<model::members_changed>(&produced)) {
            from.members = changed->members;
        } else if (const auto* const entry = std::get_if<model::timeline_entry>(&produced)) {
            from.timeline.push_back(*entry);
        }
    }

    void transmit(const std::string& name, const instance& from, const model::send_peer_message& outgoing) {
        const std::string to = outgoing.to_address.host.substr(std::string("10.0.0.").size());
        const auto& self = from.state->self();
        const unsigned copies = random_() % 100 < duplicates ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if (random_() % 100 < loss || blocked(name, to)) {
                continue;
            }
            const auto delay =
                std::chrono::microseconds(1000 + random_() % static_cast<std::uint64_t>(jitter.count() + 1));
            queue_.emplace(now + delay, envelope{to, {self.id, self.incarnation, self.peer_address, outgoing.body}});
        }
    }

    void deliver() {
        std::vector<envelope> deferred;
        while (!queue_.empty() && queue_.begin()->first <= now) {
            const envelope next = queue_.begin()->second;
            queue_.erase(queue_.begin());
            const auto found = nodes.find(next.to);
            if (found == nodes.end() || found->second.killed) {
                continue;
            }
            if (found->second.paused) {
                // A paused process reads these from its socket when it resumes.
                deferred.push_back(next);
                continue;
            }
            dispatch(next.to, next.content);
        }
        for (auto& message : deferred) {
            queue_.emplace(now + std::chrono::milliseconds(1), std::move(message));
        }
    }

    /// Estimated bytes on the wire: 45 for the envelope, then the body; 60 together without the entries of the body.
    static std::size_t estimated_bytes(const model::peer_message_body& body) {
        std::size_t size = 60;
        if (const auto* const facts = std::get_if<model::facts>(&body)) {
            for (const auto& fact : facts->list) {
                size += fact.name.size() + fact.value.size() + 16;
            }
        }
        if (const auto* const sync = std::get_if<model::sync_request>(&body)) {
            for (const auto& summary : sync->known) {
                size += summary.name.name.size() + 16;
            }
        }
        return size;
    }

    std::mt19937_64 random_;
    std::multimap<time, envelope> queue_;
};

} // namespace lovagetack::membership
