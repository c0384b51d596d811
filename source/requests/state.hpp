#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/boot_time.hpp"
#include "model/deployment.hpp"
#include "model/ids.hpp"
#include "model/member.hpp"
#include "model/service_state.hpp"
#include "requests/claim_ledger.hpp"
#include "requests/exchange.hpp"
#include "requests/server_record.hpp"
#include "requests/service_record.hpp"

namespace lovagetack::requests {

/// Identity of this instance.
struct identity {
    model::instance_id instance;
    model::data_centre_id data_centre;
    model::incarnation incarnation;
};

/// A slot that stays taken after its attempt was cancelled.
struct held_slot {
    model::backend_server_id backend_server;
    base::boot_time release_at;
};

/// State of the decision module for requests. Only reduce() changes it.
struct state {
    explicit state(identity id) : self(std::move(id)) {}

    identity self;
    bool shutting_down = false;

    std::map<model::service_id, service_record> services;
    std::map<model::backend_server_id, server_record> servers;
    std::map<model::instance_id, model::member> members;
    /// Instances that can be home, per data centre.
    std::map<model::data_centre_id, std::vector<model::instance_id>> live;
    /// Subjects (instances, backend servers, data centres) that operators took out of service, by kind and name.
    std::set<std::pair<model::subject_kind, std::string>> out_of_service;
    std::unordered_map<model::backend_server_id, base::boot_time> leases;
    std::map<model::service_id, model::service_routes> routes;

    std::unordered_map<exchange_id, exchange> exchanges;
    std::set<std::tuple<base::boot_time, exchange_id, timer_kind>> timers;
    std::map<model::attempt_id, held_slot> held_slots;
    std::uint64_t last_attempt = 0;

    /// Backend servers whose queues run_scheduled_queues() processes at the end of the present call.
    std::vector<model::backend_server_id> scheduled_queues;
    /// Backend servers with queued requests. Each tick checks them again, since ramp rates and home leases depend on
    /// time.
    std::set<model::backend_server_id> queued_servers;
    /// Backend servers whose home this instance became less than new_home_time ago.
    std::set<model::backend_server_id> new_homes;

    claim_ledger claims;
    base::boot_time reported_at;
    base::boot_time medians_at;
    std::uint64_t report_sequence = 0;
};

/// Measures of one backend server for the status page.
struct server_view {
    model::backend_server_id id;
    model::service_id service;
    model::instance_id home;
    std::int32_t outstanding = 0;
    std::int32_t queued = 0;
    std::int32_t relayed = 0;
    /// Requests per second that the ramp allows; 0 without limit.
    std::int32_t ramp_rate = 0;
    /// Slots that requests may take at present.
    std::int32_t usable_slots = 0;
    bool straggler = false;
    bool takes_new_work = false;
    std::chrono::microseconds median_latency = std::chrono::microseconds(0);
};

/// Home instance of a backend server; empty when unknown or when its data centre has no live instance.
[[nodiscard]] model::instance_id home_of(const state& state, const model::backend_server_id& id);

/// Number of outstanding and queued requests at this instance, for the header lovagetack-queue of relay answers.
[[nodiscard]] std::int32_t queue_at_home(const state& state, const model::backend_server_id& id);

/// All configured backend servers, sorted by id.
[[nodiscard]] std::vector<server_view> backend_servers(const state& state, base::boot_time now);

/// Number of requests that are not finished yet.
[[nodiscard]] std::size_t requests_in_flight(const state& state);

} // namespace lovagetack::requests
