#include "routing/deployment.hpp"

#include <algorithm>

#include "accounts/credential.hpp"
#include "routing/samples.hpp"
#include "routing/store_version.hpp"

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
    scheduled_calls_.push({now_ + delay, ++sequence_, std::move(function)});
}

void deployment::run_for(std::chrono::microseconds time) {
    const auto end = now_ + time;
    while (!scheduled_calls_.empty() && scheduled_calls_.top().at <= end) {
        const auto next = scheduled_calls_.top();
        scheduled_calls_.pop();
        now_ = next.at;
        next.function();
    }
    now_ = end;
}

void deployment::deliver(int instance, int start_number, std::chrono::microseconds delay, const event& event) {
    at(delay, [this, instance, start_number, event] {
        auto& target = instances_[index(instance)];
        if (!target.runs || target.start_number != start_number) {
            return;
        }
        if (target.frozen_until > now_) {
            deliver(instance, start_number, target.frozen_until - now_, event);
            return;
        }
        process_event(instance, event);
    });
}

void deployment::process_event(int instance, const event& event) {
    for (const auto& effect : reduce(*instances_[index(instance)].state, now_, event)) {
        std::visit([this, instance](const auto& body) { execute(instance, body); }, effect);
    }
}

void deployment::tick(int instance, int start_number) {
    at(tick_period, [this, instance, start_number] {
        auto& target = instances_[index(instance)];
        if (!target.runs || target.start_number != start_number) {
            return;
        }
        if (target.frozen_until <= now_) {
            process_event(instance, ticked{});
        }
        tick(instance, start_number);
    });
}

void deployment::restart(int instance) {
    auto& target = instances_[index(instance)];
    target.runs = true;
    target.frozen_until = {};
    const int start_number = ++target.start_number;
    const auto name = "instance-" + std::to_string(instance);
    const auto incarnation = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    target.state = std::make_unique<routing::state>(
        identity{model::instance_id(name), model::data_centre_id(data_centres.at(index(instance) % 3)), incarnation},
        random_());
    // Requests of client accounts are to show the work of the counters only.
    target.state->uses_dispatchers = accounts_.empty();
    at(restart_registration, [this, instance, start_number] {
        if (instances_[index(instance)].start_number == start_number) {
            deliver_initial_state(instance);
        }
    });
    tick(instance, start_number);
}

void deployment::deliver_initial_state(int instance) {
    auto& target = instances_[index(instance)];
    if (!store_reached_by(instance)) {
        at(200ms, [this, instance, start_number = target.start_number] {
            if (instances_[index(instance)].start_number == start_number) {
                deliver_initial_state(instance);
            }
        });
        return;
    }
    deliver(instance, target.start_number, store_delay, store_era_seen{era_});
    deliver(instance, target.start_number, store_delay, configuration_updated{current_configuration()});
    for (const auto& server : unkeyed_servers()) {
        deliver(instance, target.start_number, store_delay, backend_server_updated{server});
    }
    deliver(instance, target.start_number, store_delay, evacuations_updated{evacuated_});
    for (const auto& server : servers_) {
        if (server.up) {
            deliver(instance, target.start_number, store_delay, backend_server_updated{server.registration});
        }
    }
    deliver(instance, target.start_number, store_delay, registry_complete{});
    if (store_.assignment_version > 0) {
        deliver(instance, target.start_number, store_delay,
                assignment_learned{keyed_service, store_.assignment_version, store_.assignment});
    }
    deliver(instance, target.start_number, store_delay, assignments_complete{});
    const auto& self = target.state->self;
    for (const auto& other : instances_) {
        if (other.state) {
            deliver(
                instance, target.start_number, store_delay,
                instance_updated{other.state->self.instance,
                                 {other.state->self.data_centre, other.state->self.incarnation, {}, 0, own_protocol}});
        }
    }
    deliver_to_all(instance_updated{self.instance, {self.data_centre, self.incarnation, {}, 0, own_protocol}});
}

void deployment::deliver_to_all(const event& event) {
    for (int number = 0; number < instances(); ++number) {
        auto& target = instances_[index(number)];
        if (target.runs && store_reached_by(number)) {
            deliver(number, target.start_number, store_delay + network_delay, event);
        } else if (target.runs) {
            // Delivered when the store answers again.
            at(300ms, [this, number, start_number = target.start_number, event] {
                if (instances_[index(number)].start_number == start_number && store_reached_by(number)) {
                    deliver(number, start_number, store_delay, event);
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

void deployment::set_store_cut(int instance, bool cut) {
    auto& target = instances_[index(instance)];
    target.reaches_store = !cut;
    if (!cut && target.runs) {
        deliver_initial_state(instance);
    }
}

void deployment::shut_down(int instance, std::chrono::microseconds grace) {
    const int start_number = instances_[index(instance)].start_number;
    deliver(instance, start_number, 0ms, shutdown_begun{});
    at(grace, [this, instance, start_number] {
        if (instances_[index(instance)].start_number == start_number) {
            kill(instance);
        }
    });
}

void deployment::set_isolated(int instance, bool isolated) {
    auto& target = instances_[index(instance)];
    target.isolated = isolated;
    if (!isolated && target.runs) {
        deliver_initial_state(instance);
    }
}

void deployment::set_data_centre_cut(int data_centre, bool cut) {
    const model::data_centre_id id(data_centres.at(index(data_centre)));
    if (cut) {
        cut_data_centres_.insert(id);
        return;
    }
    cut_data_centres_.erase(id);
    for (int number = 0; number < instances(); ++number) {
        if (instances_[index(number)].runs && instances_[index(number)].state->self.data_centre == id) {
            deliver_initial_state(number);
        }
    }
}

bool deployment::store_reached_by(int instance) const {
    const auto& target = instances_[index(instance)];
    return !store_down_ && target.reaches_store && !target.isolated &&
           !cut_data_centres_.contains(target.state->self.data_centre);
}

bool deployment::are_connected(int left, int right) const {
    const auto& one = instances_[index(left)];
    const auto& other = instances_[index(right)];
    const auto& from = one.state->self.data_centre;
    const auto& to = other.state->self.data_centre;
    const bool same_side = from == to || (!cut_data_centres_.contains(from) && !cut_data_centres_.contains(to));
    return same_side && !one.isolated && !other.isolated;
}

bool deployment::reaches_server(int instance, const fake_server& server) const {
    const auto& from = instances_[index(instance)].state->self.data_centre;
    const auto& to = server.registration.data_centre;
    return from == to || (!cut_data_centres_.contains(from) && !cut_data_centres_.contains(to));
}

void deployment::restore_store(std::chrono::microseconds age) {
    const auto newer = std::find_if(copies_.begin(), copies_.end(),
                                    [&](const store_content& copy) { return copy.written_at > now_ - age; });
    store_ = newer == copies_.begin() ? store_content{} : *std::prev(newer);
    copies_.erase(newer, copies_.end());
    ++era_;
    for (int number = 0; number < instances(); ++number) {
        if (!instances_[index(number)].runs || !store_reached_by(number)) {
            continue;
        }
        const std::chrono::milliseconds delay(5 + random_() % 400);
        const int start_number = instances_[index(number)].start_number;
        deliver(number, start_number, delay, store_era_seen{era_});
        if (store_.assignment_version > 0) {
            deliver(number, start_number, delay,
                    assignment_learned{keyed_service, store_.assignment_version, store_.assignment});
        }
    }
}

void deployment::lose_answers(double share, bool late) {
    lost_answer_share_ = share;
    late_writes_ = late;
}

void deployment::crash_server(int server) {
    auto& target = servers_[index(server)];
    target.up = false;
    const auto id = target.registration.id;
    // The registry removes the server after several missed reports.
    at(2600ms, [this, server, id] {
        if (!servers_[index(server)].up) {
            deliver_to_all(backend_server_removed{id});
        }
    });
}

void deployment::drain_server(int server) {
    auto& target = servers_[index(server)];
    target.registration.draining = true;
    deliver_to_all(backend_server_updated{target.registration});
}

void deployment::restart_server(int server) {
    auto& target = servers_[index(server)];
    target.up = true;
    target.registration.born = static_cast<std::uint64_t>(now_.time_since_epoch().count());
    target.registration.draining = false;
    std::fill(target.highest_fence.begin(), target.highest_fence.end(), 0);
    std::fill(target.held_until.begin(), target.held_until.end(), base::boot_time());
    deliver_to_all(backend_server_updated{target.registration});
}

void deployment::evacuate(const std::string& data_centre, bool on) {
    if (on) {
        evacuated_.insert(model::data_centre_id(data_centre));
    } else {
        evacuated_.erase(model::data_centre_id(data_centre));
    }
    deliver_to_all(evacuations_updated{evacuated_});
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
        if (server.up && server.held_until[key] > now_) {
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

configuration deployment::current_configuration() const {
    auto result = service_configuration();
    result.version = configuration_version_;
    if (accounts_.empty()) {
        return result;
    }
    service_settings service;
    service.name = account_service;
    result.services[account_service] = service;
    result.routes = {route_to("/", request_kind::non_idempotent, account_service)};
    accounts::directory::builder builder;
    for (const auto& [name, play] : accounts_) {
        builder.add({model::client_account_id(name), std::nullopt, play.allowance}, {accounts::credential_of(name)});
    }
    result.accounts = builder.build().value();
    return result;
}

std::vector<backend_server> deployment::unkeyed_servers() const {
    std::vector<backend_server> servers;
    for (const auto& place : data_centres) {
        auto server = server_of("book-" + place, account_service);
        server.data_centre = model::data_centre_id(place);
        server.slots = 100000;
        servers.push_back(std::move(server));
    }
    return accounts_.empty() ? std::vector<backend_server>() : servers;
}

void deployment::set_accounts(const std::map<std::string, accounts::allowance>& allowances) {
    for (const auto& [name, allowance] : allowances) {
        accounts_[name].allowance = allowance;
    }
    ++configuration_version_;
    for (auto& instance : instances_) {
        instance.state->uses_dispatchers = false;
    }
    for (const auto& server : unkeyed_servers()) {
        deliver_to_all(backend_server_updated{server});
    }
    deliver_to_all(configuration_updated{current_configuration()});
}

void deployment::request(int instance, const std::string& account) {
    const auto& target = instances_[index(instance)];
    if (!target.runs) {
        return;
    }
    request_arrived event;
    event.exchange = ++last_exchange_;
    event.request = std::to_string(last_exchange_);
    event.host = "host";
    event.path = "/";
    event.deadline = 2000ms;
    event.arrived = now_;
    event.credential = accounts::credential_of(account);
    account_requests_[event.exchange] = account;
    deliver(instance, target.start_number, 0ms, event);
}

keeper_lease deployment::lease() const {
    const auto row = store_.leases.find(era_);
    return row == store_.leases.end() ? keeper_lease() : row->second.lease;
}

void deployment::execute(int instance, const send_request& effect) {
    constexpr auto window = 5s;
    const auto found = account_requests_.find(effect.exchange);
    if (found == account_requests_.end()) {
        return;
    }
    auto& play = accounts_.at(found->second);
    ++play.served;
    play.window.push_back(now_);
    while (play.window.front() < now_ - window) {
        play.window.pop_front();
    }
    const double most = (play.allowance.rate * 5 + play.allowance.burst) * 1.1 + 20;
    if (static_cast<double>(play.window.size()) > most) {
        record_violation(0, "account " + found->second + " has " + std::to_string(play.window.size()) +
                                " requests in a window, allowed are " + std::to_string(most));
    }
    attempt_ended ended;
    ended.exchange = effect.exchange;
    ended.attempt = effect.attempt;
    ended.outcome = attempt_outcome::delivered;
    ended.status = 200;
    deliver(instance, instances_[index(instance)].start_number, work_time, ended);
}

void deployment::execute(int instance, const answer_caller& effect) {
    (void)instance;
    const auto found = account_requests_.find(effect.exchange);
    if (found == account_requests_.end()) {
        return;
    }
    auto& play = accounts_.at(found->second);
    ++(effect.status == 429 ? play.over_allowance : play.refused_otherwise);
}

void deployment::execute(int instance, const send_load& effect) {
    for (int number = 0; number < instances(); ++number) {
        const auto& target = instances_[index(number)];
        if (number != instance && target.state && are_connected(instance, number) &&
            std::find(effect.receivers.begin(), effect.receivers.end(), target.state->self.instance) !=
                effect.receivers.end()) {
            deliver(number, target.start_number, network_delay, effect.load);
        }
    }
}

void deployment::execute(int instance, const log_line& effect) {
    if (!effect.name.starts_with("keeper_")) {
        return;
    }
    auto text = "instance " + std::to_string(instance) + ' ' + effect.name;
    for (const auto& [name, value] : effect.fields) {
        text += ' ' + name + '=' + value;
    }
    actions_.push_back({now_, 0, key_count - 1, text});
}

void deployment::execute(int instance, const send_renewal_orders& effect) {
    for (const auto& order : effect.orders.orders) {
        record_action(order.first, order.last, order.fence,
                      "instance " + std::to_string(instance) + " orders " + effect.receiver.value() + ", term " +
                          std::to_string(effect.orders.term) + ", orders " + std::to_string(effect.orders.sequence) +
                          ", valid until " +
                          std::to_string((effect.orders.reported_at + effect.orders.valid_for - now_).count() / 1000));
    }
    deliver_message(instance, effect.receiver, effect.orders);
}

void deployment::execute(int instance, const send_renewal_report& effect) {
    for (const auto& status : effect.report.renewals) {
        record_action(status.order.first, status.order.last, status.order.fence,
                      effect.report.renewer.value() + " reports, orders " + std::to_string(effect.report.sequence));
    }
    deliver_message(instance, effect.receiver, effect.report);
}

void deployment::execute(int instance, const send_allowance_message& effect) {
    allowance_messages_ += effect.receivers.size();
    for (const auto& receiver : effect.receivers) {
        deliver_message(instance, receiver, allowance_message_received{effect.message});
    }
}

void deployment::deliver_message(int sender, const model::instance_id& receiver, const event& event) {
    for (int number = 0; number < instances(); ++number) {
        const auto& target = instances_[index(number)];
        if (number == sender || !target.state || target.state->self.instance != receiver ||
            !are_connected(sender, number) || random_fraction() < lost_message_share_) {
            continue;
        }
        const bool late = random_fraction() < lost_message_share_;
        const auto delay = late ? std::chrono::milliseconds(random_() % 3000) : network_delay;
        deliver(number, target.start_number, delay, event);
    }
}

void deployment::execute(int instance, const send_change& effect) {
    constexpr double lost_datagrams = 0.2;
    for (int number = 0; number < instances(); ++number) {
        if (number != instance && random_fraction() >= lost_datagrams && are_connected(instance, number)) {
            deliver(number, instances_[index(number)].start_number, network_delay, effect.change);
        }
    }
}

fake_server* deployment::find(const model::address& address) {
    const auto found = std::find_if(servers_.begin(), servers_.end(), [&address](const fake_server& server) {
        return server.registration.address == address;
    });
    return found == servers_.end() ? nullptr : &*found;
}

void deployment::record_action(std::uint32_t first, std::uint32_t last, std::uint64_t fence, const std::string& text) {
    actions_.push_back({now_, first, last, text + " token " + std::to_string(fence)});
}

void deployment::record_violation(std::uint32_t key, const std::string& text) {
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

grant_outcome deployment::apply_grant(fake_server& server, const grant_range& effect) {
    for (std::uint32_t key = effect.first; key <= effect.last; ++key) {
        if (server.highest_fence[key] > effect.fence) {
            return grant_outcome::superseded;
        }
    }
    record_action(effect.first, effect.last, effect.fence, "grant accepted by " + server.registration.id.value());
    const auto end = now_ + std::chrono::microseconds(
                                static_cast<std::int64_t>(static_cast<double>(effect.hold.count()) * 1000 * 1.02));
    for (std::uint32_t key = effect.first; key <= effect.last; ++key) {
        const bool renewed = server.held_until[key] > now_;
        for (const auto& other : servers_) {
            if (&other == &server || !other.up) {
                continue;
            }
            if (other.held_until[key] > now_) {
                record_violation(key, "held by " + other.registration.id.value() + " and granted to " +
                                          server.registration.id.value());
            }
            if (!renewed && other.highest_fence[key] >= effect.fence) {
                record_violation(key, "token " + std::to_string(effect.fence) + " is not above that of " +
                                          other.registration.id.value());
            }
        }
        server.highest_fence[key] = effect.fence;
        server.held_until[key] = std::max(server.held_until[key], end);
    }
    return grant_outcome::accepted;
}

void deployment::execute(int instance, const grant_range& effect) {
    const int start_number = instances_[index(instance)].start_number;
    ++instances_[index(instance)].grants_sent;
    const auto sent_at = now_;
    const grant_ended ended{
        effect.service, effect.server, effect.first, effect.last, effect.fence, grant_outcome::unanswered, sent_at};
    record_action(effect.first, effect.last, effect.fence,
                  "instance " + std::to_string(instance) + " grants to " + effect.server.value());
    if (random_fraction() < late_grant_share_) {
        at(shortest_grant_delay_ + std::chrono::milliseconds(random_() % 4000),
           [this, effect, instance, arrived = now_ + network_delay] {
               auto* const server = find(effect.address);
               if (server != nullptr && !reaches_server(instance, *server)) {
                   return;
               }
               // The grant's duration counts from its arrival at the server.
               const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(arrived + effect.hold - now_);
               if (server != nullptr && server->up && left.count() > 0) {
                   auto late = effect;
                   late.hold = left;
                   apply_grant(*server, late);
               }
           });
        deliver(instance, start_number, grant_timeout, ended);
        return;
    }
    std::chrono::milliseconds delay = network_delay;
    if (slow_connection_share_ > 0 && random_fraction() < slow_connection_share_) {
        delay += std::chrono::milliseconds(random_() % grant_timeout.count());
    }
    at(delay, [this, instance, start_number, effect, ended, delay] {
        auto* const server = find(effect.address);
        auto answer = ended;
        if (server == nullptr || !server->up || !reaches_server(instance, *server)) {
            answer.outcome = grant_outcome::unanswered;
            deliver(instance, start_number, grant_timeout - delay, answer);
            return;
        }
        answer.outcome =
            server->registration.id == effect.server ? apply_grant(*server, effect) : grant_outcome::refused;
        deliver(instance, start_number, network_delay, answer);
    });
}

void deployment::execute(int instance, const release_range& effect) {
    const int start_number = instances_[index(instance)].start_number;
    at(network_delay, [this, instance, start_number, effect] {
        release_ended answer{effect.service, effect.range_first, effect.range_fence, false, {}};
        auto* const server = find(effect.address);
        if (server == nullptr || !server->up || !reaches_server(instance, *server)) {
            deliver(instance, start_number, 2500ms, answer);
            return;
        }
        answer.released = true;
        answer.handover = "h";
        at(work_time, [this, instance, start_number, effect, answer] {
            auto* const holder = find(effect.address);
            record_action(effect.first, effect.last, effect.fence, "keys released by " + effect.server.value());
            for (std::uint32_t key = effect.first; key <= effect.last; ++key) {
                holder->held_until[key] = std::min(holder->held_until[key], now_);
            }
            deliver(instance, start_number, network_delay, answer);
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
    if (!store_reached_by(instance)) {
        deliver(instance, target.start_number, call_timeout, answer);
        return;
    }
    at(store_delay / 2, [this, instance, start_number = target.start_number, answer]() mutable {
        answer.answered = true;
        answer.store_time = store_time();
        answer.store_was_restored = era_ > 0;
        const auto row = store_.leases.find(era_);
        answer.version = store_version(era_, row == store_.leases.end() ? 0 : row->second.version).ordered();
        if (row != store_.leases.end()) {
            answer.lease = row->second.lease;
        }
        deliver(instance, start_number, store_delay / 2, answer);
    });
}

void deployment::execute(int instance, const read_assignments& /*effect*/) {
    const auto& target = instances_[index(instance)];
    if (!store_reached_by(instance)) {
        deliver(instance, target.start_number, call_timeout, assignments_read{false});
        return;
    }
    at(store_delay / 2, [this, instance, start_number = target.start_number] {
        if (store_.assignment_version > 0) {
            deliver(instance, start_number, store_delay / 2,
                    assignment_learned{keyed_service, store_.assignment_version, store_.assignment});
        }
        deliver(instance, start_number, store_delay / 2, assignments_read{true});
    });
}

void deployment::execute(int instance, const refresh_assignments& /*effect*/) {
    const auto& target = instances_[index(instance)];
    if (!store_reached_by(instance) || store_.assignment_version == 0) {
        return;
    }
    at(store_delay / 2, [this, instance, start_number = target.start_number] {
        deliver(instance, start_number, store_delay / 2,
                assignment_learned{keyed_service, store_.assignment_version, store_.assignment});
    });
}

write_outcome deployment::commit(const write_rows& effect, std::uint64_t& version) {
    const auto expected = store_version::from_ordered(effect.expected_lease_version);
    const auto row = store_.leases.find(expected.era());
    if (expected.number() != (row == store_.leases.end() ? 0 : row->second.version)) {
        return write_outcome::conflict;
    }
    ++writes_;
    ++store_.version;
    store_.written_at = now_;
    version = store_version(era_, store_.version).ordered();
    store_.leases[expected.era()] = {store_.version, effect.lease};
    for (auto era = expected.era(); expected.number() == 0 && era > 0; --era) {
        store_.leases[era - 1] = {store_.version, effect.lease};
    }
    for (const auto& [service, changed] : effect.assignments) {
        store_.assignment = changed;
        store_.assignment_version = store_version(changed.era, store_.version).ordered();
        deliver_to_all(assignment_learned{service, store_.assignment_version, changed});
    }
    copies_.push_back(store_);
    return write_outcome::written;
}

void deployment::execute(int instance, const write_rows& effect) {
    const auto& target = instances_[index(instance)];
    rows_written answer;
    answer.asked_at = now_;
    const int start_number = target.start_number;
    if (!store_reached_by(instance)) {
        deliver(instance, start_number, call_timeout, answer);
        return;
    }
    if (random_fraction() < lost_answer_share_) {
        const auto delay = late_writes_ ? std::chrono::milliseconds(1000 + random_() % 5000) : store_delay / 2;
        at(delay, [this, effect] {
            std::uint64_t version = 0;
            (void)commit(effect, version);
        });
        deliver(instance, start_number, call_timeout, answer);
        return;
    }
    at(store_delay / 2, [this, instance, start_number, effect, answer]() mutable {
        answer.outcome = commit(effect, answer.version);
        answer.store_time = store_time();
        deliver(instance, start_number, store_delay / 2, answer);
    });
}

} // namespace lovagetack::routing::testing
