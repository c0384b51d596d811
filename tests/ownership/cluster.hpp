#pragma once

#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/json.hpp"
#include "ownership/fakes.hpp"
#include "ownership/reduce.hpp"

namespace lovagetack::testing {

using namespace std::chrono_literals;

/// Disturbances of messages, in percent of the messages.
struct message_faults {
    unsigned lost = 0;
    unsigned repeated = 0;
    /// Delayed by up to 400 ms, which also reorders them.
    unsigned delayed = 0;
};

/// The ownership reducers of some instances with fake backend servers and one fake store, driven by an event queue in
/// simulated time. All random numbers come from the seed.
class cluster {
public:
    struct node {
        ownership::state state;
        model::member member;
        base::boot_time paused_until;
        bool dead = false;
        std::vector<std::pair<ownership::event, std::uint64_t>> deferred_events;
        std::map<model::fact_name, model::fact> facts;
        std::map<std::string, int> entries;
        /// Processor time spent in the reducer, for benchmarks.
        std::chrono::nanoseconds spent = std::chrono::nanoseconds(0);
    };

    struct plan {
        std::vector<std::string> data_centres = {"a", "b"};
        int instances = 3;
        int servers = 4;
        std::uint64_t seed = 1;
        bool checks_grants = true;
        int initial_ranges = 16;
        ownership::limits limits = {};
    };

    explicit cluster(plan wanted) : plan_(std::move(wanted)), random_(plan_.seed) {
        build_deployment();
        for (const auto& data_centre : plan_.data_centres) {
            for (int index = 0; index < plan_.instances; ++index) {
                add_node(model::data_centre_id(data_centre), data_centre + std::to_string(index));
            }
        }
        for (auto& [id, each] : nodes) {
            deliver(id, model::deployment_changed{deployment});
            schedule_tick(id, microseconds(draw(20000)));
        }
        send_members();
        schedule(200ms, [this] { exchange_facts(); });
    }

    /// Runs until the simulated time has advanced; `check` is called after every step.
    void run(std::chrono::microseconds time) {
        const auto end = now + time;
        while (!queue_.empty() && queue_.top().at <= end) {
            const auto next = queue_.top();
            queue_.pop();
            now = next.at;
            next.action();
            if (check) {
                check();
            }
        }
        now = end;
    }

    void pause(node& paused, std::chrono::microseconds time) {
        paused.paused_until = now + time;
        schedule(time, [this, &paused] { resume(paused); });
        schedule(600ms, [this] { send_members(); });
    }

    void kill(node& killed) {
        killed.dead = true;
        schedule(600ms, [this] { send_members(); });
    }

    void set_states(std::vector<model::service_state> states) {
        for (auto& [id, each] : nodes) {
            deliver(id, model::service_states_changed{states});
        }
    }

    /// The instance that is controller now; null when there is none.
    node* controller(const std::string& data_centre) {
        for (auto& [id, each] : nodes) {
            const bool here = each.member.data_centre.value() == data_centre;
            if (here && runs(each) && ownership::is_controller(each.state, now)) {
                return &each;
            }
        }
        return nullptr;
    }

    /// The backend servers that would execute a request for the hash now.
    std::vector<fake_backend_server*> executing(std::uint64_t hash) {
        std::vector<fake_backend_server*> result;
        for (auto& [id, server] : servers) {
            if (server.would_execute(hash, now)) {
                result.push_back(&server);
            }
        }
        return result;
    }

    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }
    [[nodiscard]] bool runs(const node& each) const { return !each.dead && now >= each.paused_until; }

    /// Delivers an event from outside, for example a fact that a test creates.
    void deliver(const model::instance_id& id, const ownership::event& event) {
        auto& to = nodes.at(id);
        if (to.dead) {
            return;
        }
        const auto number = random_();
        if (!runs(to)) {
            to.deferred_events.emplace_back(event, number);
            return;
        }
        apply(to, event, number);
    }

    base::boot_time now = base::boot_time(1h);
    model::deployment deployment;
    fake_table_service store;
    std::map<model::backend_server_id, fake_backend_server> servers;
    std::map<model::instance_id, node> nodes;
    message_faults faults;
    /// The answer to this many percent of the transactions is lost after they took effect.
    unsigned lost_write_answers = 0;
    std::set<std::string> cut_off;
    std::function<void()> check;
    std::function<void()> after_transaction;

private:
    using microseconds = std::chrono::microseconds;

    struct scheduled {
        base::boot_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const scheduled& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void build_deployment() {
        deployment.version = 1;
        model::service service;
        service.id = model::service_id("board");
        service.divided_by_key = true;
        service.checks_grants = plan_.checks_grants;
        service.initial_ranges = plan_.initial_ranges;
        service.maximum_deadline = 1s;
        deployment.services.push_back(service);
        for (const auto& name : plan_.data_centres) {
            deployment.data_centres.emplace_back(name);
            for (int index = 0; index < plan_.servers; ++index) {
                model::backend_server server;
                server.id = model::backend_server_id(name + "-s" + std::to_string(index));
                server.service = service.id;
                server.data_centre = model::data_centre_id(name);
                deployment.backend_servers.push_back(server);
                fake_backend_server fake;
                fake.server = server;
                fake.rate = 0.9925 + static_cast<double>(draw(151)) / 10000.0;
                servers[server.id] = fake;
            }
        }
    }

    void add_node(model::data_centre_id data_centre, const std::string& name) {
        const model::instance_id id(name);
        model::member member;
        member.id = id;
        member.data_centre = data_centre;
        member.state = model::member_state::live;
        nodes.emplace(id,
                      node{{id, data_centre, model::incarnation(1), plan_.limits}, member, {}, false, {}, {}, {}, {}});
    }

    void schedule(microseconds after, std::function<void()> action) {
        queue_.push({now + after, next_order_++, std::move(action)});
    }

    void schedule_tick(const model::instance_id& id, microseconds after) {
        schedule(after, [this, id] {
            if (runs(nodes.at(id))) {
                deliver(id, model::tick{});
            }
            schedule_tick(id, 20ms);
        });
    }

    void resume(node& resumed) {
        if (!runs(resumed)) {
            return;
        }
        const auto events = std::move(resumed.deferred_events);
        resumed.deferred_events.clear();
        for (const auto& [event, number] : events) {
            apply(resumed, event, number);
        }
        send_members();
    }

    void send_members() {
        std::vector<model::member> members;
        for (auto& [id, each] : nodes) {
            members.push_back(each.member);
            members.back().state = runs(each) ? model::member_state::live : model::member_state::unreachable;
        }
        if (members == last_sent_members_) {
            return;
        }
        last_sent_members_ = members;
        for (auto& [id, each] : nodes) {
            deliver(id, model::members_changed{members});
        }
    }

    /// Sends a message over the simulated network: it is lost, or arrives once or twice after a delay.
    void transmit(std::function<void()> arrival) {
        if (draw(100) < faults.lost) {
            return;
        }
        const int copies = draw(100) < faults.repeated ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            auto delay = microseconds(200 + draw(800));
            if (draw(100) < faults.delayed) {
                delay += microseconds(draw(400000));
            }
            schedule(delay, arrival);
        }
    }

    [[nodiscard]] bool connected(const model::data_centre_id& from, const model::data_centre_id& to) const {
        return from == to || (!cut_off.contains(from.value()) && !cut_off.contains(to.value()));
    }

    static std::chrono::nanoseconds processor_time() {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    void apply(node& to, const ownership::event& event, std::uint64_t number) {
        const auto before = processor_time();
        const auto effects = ownership::reduce(to.state, now, number, event);
        to.spent += processor_time() - before;
        for (const auto& effect : effects) {
            std::visit([&](const auto& body) { carry_out(to, body); }, effect);
        }
    }

    void carry_out(node& from, const ownership::send_grant_poll& poll) {
        const auto id = from.member.id;
        transmit([this, id, poll] {
            auto& server = servers.at(poll.backend_server);
            if (!server.answers(now)) {
                if (!server.down) {
                    // A frozen server receives the poll when it resumes.
                    schedule(server.frozen_until - now, [this, poll] {
                        auto& returned = servers.at(poll.backend_server);
                        if (returned.answers(now)) {
                            returned.answer_poll(poll.body, now);
                        }
                    });
                }
                return;
            }
            const auto answer = server.answer_poll(poll.body, now);
            transmit([this, id, poll, answer] {
                deliver(id, ownership::grant_answered{poll.backend_server, poll.poll, answer});
            });
        });
    }

    [[nodiscard]] bool reaches_store(const node& from) const {
        return store.up && !cut_off.contains(from.member.data_centre.value());
    }

    void reply(const model::instance_id& id, const model::store_reply& reply) {
        schedule(microseconds(1000 + draw(4000)), [this, id, reply] { deliver(id, reply); });
    }

    void carry_out(node& from, const model::store_read& call) {
        const auto id = from.member.id;
        schedule(microseconds(1000 + draw(4000)), [this, id, call] {
            const bool reached = reaches_store(nodes.at(id));
            reply(id, reached ? store.read(call) : model::store_reply{call.operation, {}, {}, {}});
        });
    }

    void carry_out(node& from, const model::store_transaction& call) {
        const auto id = from.member.id;
        schedule(microseconds(1000 + draw(4000)), [this, id, call] {
            model::store_reply outcome{call.operation, model::store_status::unknown, {}, {}};
            if (reaches_store(nodes.at(id))) {
                outcome = store.apply(call);
                if (after_transaction) {
                    after_transaction();
                }
            }
            if (draw(100) < lost_write_answers) {
                outcome = {call.operation, model::store_status::unknown, {}, {}};
            }
            reply(id, outcome);
        });
    }

    void carry_out(node& from, const model::publish_fact& publish) {
        store_fact(from, publish.fact);
        for (auto& [id, each] : nodes) {
            send_fact(from, id, publish.fact);
        }
    }

    void send_fact(const node& from, const model::instance_id& to, const model::fact& fact) {
        if (connected(from.member.data_centre, nodes.at(to).member.data_centre)) {
            transmit([this, to, fact] { store_fact(nodes.at(to), fact); });
        }
    }

    void store_fact(node& to, const model::fact& fact) {
        auto& known = to.facts[{fact.kind, fact.name}];
        if (fact.version > known.version) {
            known = fact;
            schedule(microseconds(0), [this, id = to.member.id, fact] { deliver(id, model::fact_learned{fact}); });
        }
    }

    /// Replaces the repair by digests: every 200 ms each running instance sends all its facts to an instance drawn at
    /// random.
    void exchange_facts() {
        for (auto& [id, each] : nodes) {
            const auto other = std::next(nodes.begin(), static_cast<std::ptrdiff_t>(draw(nodes.size())));
            if (!runs(each)) {
                continue;
            }
            for (const auto& [name, fact] : each.facts) {
                send_fact(each, other->first, fact);
            }
        }
        schedule(200ms, [this] { exchange_facts(); });
    }

    void carry_out(node& from, const model::send_peer_message& message) {
        const auto sender = from.member.id;
        if (!connected(from.member.data_centre, nodes.at(message.to).member.data_centre)) {
            return;
        }
        transmit([this, sender, message] {
            if (const auto* heartbeat = std::get_if<model::controller_heartbeat>(&message.body)) {
                deliver(message.to, ownership::controller_heard{sender, heartbeat->epoch});
            } else if (const auto* request = std::get_if<model::lease_request>(&message.body)) {
                deliver(message.to, ownership::lease_message{sender, {}, *request, std::nullopt});
            } else if (const auto* answer = std::get_if<model::lease_reply>(&message.body)) {
                deliver(message.to, ownership::lease_message{sender, {}, std::nullopt, *answer});
            }
        });
    }

    void carry_out(node&, const model::routes_changed&) {}
    void carry_out(node&, const model::home_leases_changed&) {}
    void carry_out(node& from, const model::timeline_entry& entry) { ++from.entries[entry.name]; }

    plan plan_;
    std::mt19937_64 random_;
    std::priority_queue<scheduled> queue_;
    std::uint64_t next_order_ = 0;
    std::vector<model::member> last_sent_members_;
};

} // namespace lovagetack::testing
