#include "routing/deployment.hpp"

#include <algorithm>

namespace lovagetack::routing::testing {
namespace {

constexpr auto store_delay = 4ms;
constexpr auto network_delay = 1ms;
constexpr auto tick_period = 20ms;
constexpr auto call_timeout = 1100ms;
constexpr auto grant_timeout = 450ms;
constexpr auto work_time = 60ms;
constexpr auto restart_registration = 30ms;
const std::array<std::string, 3> data_centres{"north", "south", "west"};

std::size_t index(int number) {
    return static_cast<std::size_t>(number);
}

configuration service_configuration() {
    configuration result;
    result.version = 1;
    service_settings service;
    service.name = keyed_service;
    service.divided_by_key = true;
    service.cold_rate = 6;
    result.services[keyed_service] = service;
    return result;
}

} // namespace

deployment::deployment(int instances, int servers, std::uint64_t seed) : random_(seed) {
    for (int number = 0; number < servers; ++number) {
        fake_server server;
        server.registration.id = model::backend_server_id("server-" + std::to_string(number));
        server.registration.service = keyed_service;
        server.registration.address = {"10.0.0." + std::to_string(number + 1), 80};
        server.registration.data_centre = model::data_centre_id(data_centres.at(index(number) % data_centres.size()));
        server.registration.born = 1000 + static_cast<std::uint64_t>(number);
        server.registration.slots = 2;
        servers_.push_back(std::move(server));
    }
    instances_.resize(index(instances));
    for (int number = 0; number < instances; ++number) {
        restart(number);
    }
}

void deployment::at(std::chrono::microseconds delay, std::function<void()> function) {
    items_.push({now_ + delay, ++sequence_, std::move(function)});
}

void deployment::run_for(std::chrono::microseconds time) {
    const auto end = now_ + time;
    while (!items_.empty() && items_.top().at <= end) {
        const auto next = items_.top();
        items_.pop();
        now_ = next.at;
        next.function();
    }
    now_ = end;
}

void deployment::deliver(int instance, int life, std::chrono::microseconds delay, const event& event) {
    at(delay, [this, instance, life, event] {
        auto& target = instances_[index(instance)];
        if (!target.runs || target.life != life) {
            return;
        }
        if (target.frozen_until > now_) {
            deliver(instance, life, target.frozen_until - now_, event);
            return;
        }
        apply(instance, event);
    });
}

void deployment::apply(int instance, const event& event) {
    for (const auto& effect : reduce(*instances_[index(instance)].state, now_, event)) {
        std::visit([this, instance](const auto& body) { execute(instance, body); }, effect);
    }
}

void deployment::tick(int instance, int life) {
    at(tick_period, [this, instance, life] {
        auto& target = instances_[index(instance)];
        if (!target.runs || target.life != life) {
            return;
        }
        if (target.frozen_until <= now_) {
            apply(instance, ticked{});
        }
        tick(instance, life);
    });
}

void deployment::restart(int instance) {
    auto& target = instances_[index(instance)];
    target.runs = true;
    target.frozen_until = {};
    const int life = ++target.life;
    const auto name = "instance-" + std::to_string(instance);
    const auto incarnation = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    target.state = std::make_unique<routing::state>(
        identity{model::instance_id(name), model::data_centre_id(data_centres.at(index(instance) % 3)), incarnation},
        random_());
    at(restart_registration, [this, instance, life] {
        if (instances_[index(instance)].life == life) {
            introduce(instance);
        }
    });
    tick(instance, life);
}

void deployment::introduce(int instance) {
    auto& target = instances_[index(instance)];
    if (store_down_ || !target.reaches_store) {
        at(200ms, [this, instance, life = target.life] {
            if (instances_[index(instance)].life == life) {
                introduce(instance);
            }
        });
        return;
    }
    deliver(instance, target.life, store_delay, configuration_learned{service_configuration()});
    deliver(instance, target.life, store_delay, evacuations_learned{evacuated_});
    for (const auto& server : servers_) {
        if (server.up) {
            deliver(instance, target.life, store_delay, backend_server_learned{server.registration});
        }
    }
    deliver(instance, target.life, store_delay, registry_complete{});
    if (assignment_version_ > 0) {
        deliver(instance, target.life, store_delay,
                assignment_learned{keyed_service, assignment_version_, assignment_});
    }
    deliver(instance, target.life, store_delay, assignments_complete{});
    const auto& self = target.state->self;
    for (const auto& other : instances_) {
        if (other.state) {
            deliver(instance, target.life, store_delay,
                    instance_learned{other.state->self.instance,
                                     {other.state->self.data_centre, other.state->self.incarnation, {}}});
        }
    }
    announce(instance_learned{self.instance, {self.data_centre, self.incarnation, {}}});
}

void deployment::announce(const event& event) {
    for (int number = 0; number < instances(); ++number) {
        auto& target = instances_[index(number)];
        if (target.runs && target.reaches_store && !store_down_) {
            deliver(number, target.life, store_delay + network_delay, event);
        } else if (target.runs) {
            // Learned when the store answers again.
            at(300ms, [this, number, life = target.life, event] {
                if (instances_[index(number)].life == life && instances_[index(number)].reaches_store && !store_down_) {
                    deliver(number, life, store_delay, event);
                }
            });
        }
    }
}

void deployment::kill(int instance) {
    instances_[index(instance)].runs = false;
}

void deployment::freeze(int instance, std::chrono::microseconds time) {
    instances_[index(instance)].frozen_until = now_ + time;
}

void deployment::cut_from_store(int instance, bool cut) {
    auto& target = instances_[index(instance)];
    target.reaches_store = !cut;
    if (!cut && target.runs) {
        introduce(instance);
    }
}

void deployment::lose_answers(double share, bool late) {
    lost_answers_ = share;
    late_writes_ = late;
}

void deployment::crash_server(int server) {
    auto& target = servers_[index(server)];
    target.up = false;
    const auto id = target.registration.id;
    // The registry drops it after some missed reports.
    at(2600ms, [this, server, id] {
        if (!servers_[index(server)].up) {
            announce(backend_server_removed{id});
        }
    });
}

void deployment::drain_server(int server) {
    auto& target = servers_[index(server)];
    target.registration.draining = true;
    announce(backend_server_learned{target.registration});
}

void deployment::revive_server(int server) {
    auto& target = servers_[index(server)];
    target.up = true;
    target.registration.born = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    target.registration.draining = false;
    std::fill(target.seen.begin(), target.seen.end(), 0);
    std::fill(target.until.begin(), target.until.end(), base::boot_time());
    announce(backend_server_learned{target.registration});
}

void deployment::evacuate(const std::string& data_centre, bool on) {
    if (on) {
        evacuated_.insert(model::data_centre_id(data_centre));
    } else {
        evacuated_.erase(model::data_centre_id(data_centre));
    }
    announce(evacuations_learned{evacuated_});
}

void deployment::request_key(std::uint32_t key) {
    for (auto& instance : instances_) {
        if (instance.runs && instance.state) {
            auto& service = instance.state->services[keyed_service];
            service.samples.emplace_back(now_, key);
            if (service.samples.size() > key_samples) {
                service.samples.pop_front();
            }
        }
    }
}

int deployment::keeper() const {
    for (std::size_t number = 0; number < instances_.size(); ++number) {
        const auto& instance = instances_[number];
        if (instance.runs && instance.frozen_until <= now_ && instance.state &&
            instance.state->keeper.phase == keeper_phase::holding) {
            return static_cast<int>(number);
        }
    }
    return -1;
}

std::vector<std::string> deployment::holders(std::uint32_t key) const {
    std::vector<std::string> found;
    for (const auto& server : servers_) {
        if (server.up && server.until[key] > now_) {
            found.push_back(server.registration.id.value());
        }
    }
    return found;
}

double deployment::held_share() const {
    std::size_t held = 0;
    for (std::uint32_t key = 0; key < key_count; ++key) {
        held += holders(key).empty() ? 0 : 1;
    }
    return static_cast<double>(held) / key_count;
}

void deployment::execute(int instance, const send_load& effect) {
    for (int number = 0; number < instances(); ++number) {
        const auto& target = instances_[index(number)];
        if (number != instance && target.state &&
            std::find(effect.receivers.begin(), effect.receivers.end(), target.state->self.instance) !=
                effect.receivers.end()) {
            deliver(number, target.life, network_delay, effect.load);
        }
    }
}

void deployment::execute(int instance, const send_change& effect) {
    constexpr double lost_datagrams = 0.2;
    for (int number = 0; number < instances(); ++number) {
        if (number != instance && chance() >= lost_datagrams) {
            deliver(number, instances_[index(number)].life, network_delay, effect.change);
        }
    }
}

fake_server* deployment::find(const model::address& address) {
    const auto found = std::find_if(servers_.begin(), servers_.end(), [&address](const fake_server& server) {
        return server.registration.address == address;
    });
    return found == servers_.end() ? nullptr : &*found;
}

void deployment::note(std::uint32_t first, std::uint32_t last, std::uint64_t fence, const std::string& text) {
    actions_.push_back({now_, first, last, text + " token " + std::to_string(fence)});
}

void deployment::note_violation(std::uint32_t key, const std::string& text) {
    constexpr std::size_t most_violations = 3;
    if (violations_.size() >= most_violations) {
        return;
    }
    auto line = "key " + std::to_string(key) + ": " + text + " at " + std::to_string(now_.time_since_epoch().count());
    for (const auto& action : actions_) {
        if (action.first <= key && key <= action.last && now_ - action.at < 6s) {
            line += "\n    " + std::to_string((action.at - now_).count() / 1000) + " ms: " + action.text;
        }
    }
    violations_.push_back(line);
}

grant_outcome deployment::carry_out(fake_server& server, const grant_range& effect) {
    for (std::uint32_t key = effect.first; key <= effect.last; ++key) {
        if (server.seen[key] > effect.fence) {
            return grant_outcome::superseded;
        }
    }
    note(effect.first, effect.last, effect.fence, "grant taken by " + server.registration.id.value());
    const auto end = now_ + std::chrono::microseconds(
                                static_cast<std::int64_t>(static_cast<double>(effect.hold.count()) * 1000 * 1.02));
    for (std::uint32_t key = effect.first; key <= effect.last; ++key) {
        const bool renewed = server.until[key] > now_;
        for (const auto& other : servers_) {
            if (&other == &server || !other.up) {
                continue;
            }
            if (other.until[key] > now_) {
                note_violation(key, "held by " + other.registration.id.value() + " and granted to " +
                                        server.registration.id.value());
            }
            if (!renewed && other.seen[key] >= effect.fence) {
                note_violation(key, "token " + std::to_string(effect.fence) + " is not above that of " +
                                        other.registration.id.value());
            }
        }
        server.seen[key] = effect.fence;
        server.until[key] = std::max(server.until[key], end);
    }
    return grant_outcome::accepted;
}

void deployment::execute(int instance, const grant_range& effect) {
    const int life = instances_[index(instance)].life;
    const auto sent_at = now_;
    const grant_ended ended{effect.service, effect.server, effect.first, effect.fence, grant_outcome::unanswered,
                            sent_at};
    note(effect.first, effect.last, effect.fence,
         "instance " + std::to_string(instance) + " grants to " + effect.server.value());
    if (chance() < late_grants_) {
        at(2s + std::chrono::milliseconds(random_() % 4000), [this, effect, arrived = now_ + network_delay] {
            auto* const server = find(effect.address);
            // Its time counts from the arrival.
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(arrived + effect.hold - now_);
            if (server != nullptr && server->up && left.count() > 0) {
                auto late = effect;
                late.hold = left;
                carry_out(*server, late);
            }
        });
        deliver(instance, life, grant_timeout, ended);
        return;
    }
    at(network_delay, [this, instance, life, effect, ended] {
        auto* const server = find(effect.address);
        auto answer = ended;
        if (server == nullptr || !server->up) {
            answer.outcome = grant_outcome::unanswered;
            deliver(instance, life, grant_timeout, answer);
            return;
        }
        answer.outcome = server->registration.id == effect.server ? carry_out(*server, effect) : grant_outcome::refused;
        deliver(instance, life, network_delay, answer);
    });
}

void deployment::execute(int instance, const release_range& effect) {
    const int life = instances_[index(instance)].life;
    at(network_delay, [this, instance, life, effect] {
        release_ended answer{effect.service, effect.range_first, effect.range_fence, false, {}};
        auto* const server = find(effect.address);
        if (server == nullptr || !server->up) {
            deliver(instance, life, 2500ms, answer);
            return;
        }
        answer.released = true;
        answer.handover = "h";
        at(work_time, [this, instance, life, effect, answer] {
            auto* const holder = find(effect.address);
            note(effect.first, effect.last, effect.fence, "release done by " + effect.server.value());
            for (std::uint32_t key = effect.first; key <= effect.last; ++key) {
                holder->until[key] = std::min(holder->until[key], now_);
            }
            deliver(instance, life, network_delay, answer);
        });
    });
}

std::int64_t deployment::store_time() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count() - 50000;
}

void deployment::execute(int instance, const read_lease& /*effect*/) {
    const auto& target = instances_[index(instance)];
    lease_read answer;
    answer.asked_at = now_;
    if (store_down_ || !target.reaches_store) {
        deliver(instance, target.life, call_timeout, answer);
        return;
    }
    at(store_delay / 2, [this, instance, life = target.life, answer]() mutable {
        answer.answered = true;
        answer.version = lease_version_;
        answer.store_time = store_time();
        if (lease_version_ > 0) {
            answer.lease = lease_;
        }
        deliver(instance, life, store_delay / 2, answer);
    });
}

void deployment::execute(int instance, const read_assignments& /*effect*/) {
    const auto& target = instances_[index(instance)];
    if (store_down_ || !target.reaches_store) {
        deliver(instance, target.life, call_timeout, assignments_read{false});
        return;
    }
    at(store_delay / 2, [this, instance, life = target.life] {
        if (assignment_version_ > 0) {
            deliver(instance, life, store_delay / 2,
                    assignment_learned{keyed_service, assignment_version_, assignment_});
        }
        deliver(instance, life, store_delay / 2, assignments_read{true});
    });
}

void deployment::execute(int instance, const refresh_assignments& /*effect*/) {
    const auto& target = instances_[index(instance)];
    if (store_down_ || !target.reaches_store || assignment_version_ == 0) {
        return;
    }
    at(store_delay / 2, [this, instance, life = target.life] {
        deliver(instance, life, store_delay / 2, assignment_learned{keyed_service, assignment_version_, assignment_});
    });
}

write_outcome deployment::commit(const write_rows& effect, std::uint64_t& version) {
    if (effect.expected_lease_version != lease_version_) {
        return write_outcome::conflict;
    }
    ++writes_;
    version = ++version_;
    lease_version_ = version;
    lease_ = effect.lease;
    for (const auto& [service, changed] : effect.assignments) {
        assignment_ = changed;
        assignment_version_ = version;
        announce(assignment_learned{service, version, changed});
    }
    return write_outcome::written;
}

void deployment::execute(int instance, const write_rows& effect) {
    const auto& target = instances_[index(instance)];
    rows_written answer;
    answer.asked_at = now_;
    const int life = target.life;
    if (store_down_ || !target.reaches_store) {
        deliver(instance, life, call_timeout, answer);
        return;
    }
    if (chance() < lost_answers_) {
        const auto delay = late_writes_ ? std::chrono::milliseconds(1000 + random_() % 5000) : store_delay / 2;
        at(delay, [this, effect] {
            std::uint64_t version = 0;
            (void)commit(effect, version);
        });
        deliver(instance, life, call_timeout, answer);
        return;
    }
    at(store_delay / 2, [this, instance, life, effect, answer]() mutable {
        answer.outcome = commit(effect, answer.version);
        answer.store_time = store_time();
        deliver(instance, life, store_delay / 2, answer);
    });
}

} // namespace lovagetack::routing::testing
