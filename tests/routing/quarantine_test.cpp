#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "routing/reduce.hpp"
#include "routing/samples.hpp"

namespace lovagetack::routing::testing {
namespace {

using namespace std::chrono_literals;

const model::service_id book{"book"};

constexpr auto message_delay = 2ms;
constexpr auto store_delay = 30ms;
constexpr auto work_time = 60ms;
/// When the registry drops a server that has ended without a word.
constexpr auto silence_time = 2600ms;
constexpr request_fingerprint deadly = 666;

/// Instances, a store and backend servers in simulated time. A server ends when it begins to run a deadly request.
class play {
public:
    struct network {
        bool uses_dispatchers = false;
        /// Share of the messages between instances that get lost.
        double lost_messages = 0;
        /// The first collector that gets a strike is lost with it, and stays in the table of instances.
        bool loses_collector = false;
        std::uint64_t seed = 1;
    };

    play(int instances, int servers) : play(instances, servers, network{}) {}

    play(int instances, int servers, const network& network) : network_(network), random_(network.seed) {
        for (int number = 0; number < servers; ++number) {
            start_server();
        }
        for (int number = 0; number < instances; ++number) {
            start_instance();
        }
    }

    std::size_t start_instance() {
        const model::instance_id name("instance-" + std::to_string(states_.size()));
        states_.push_back(std::make_unique<state>(identity{name, model::data_centre_id("north"), 1}, random_()));
        const auto number = states_.size() - 1;
        states_[number]->uses_dispatchers = network_.uses_dispatchers;
        configuration configuration;
        configuration.version = 1;
        configuration.services[book] = {book, "/health", 100, 6.0, 3000ms, false};
        configuration.routes = {route_to("/get/", request_kind::idempotent, book),
                                route_to("/pay/", request_kind::non_idempotent, book)};
        process(number, configuration_updated{configuration});
        for (const auto& [id, server] : servers_) {
            process(number, backend_server_updated{server});
        }
        process(number, registry_complete{});
        for (const auto request : rows_) {
            process(number, quarantine_learned{request});
        }
        process(number, assignments_complete{});
        for (std::size_t other = 0; other < states_.size(); ++other) {
            const instance_record record{model::data_centre_id("north"), 1, {}, 0, own_protocol};
            process(number, instance_updated{states_[other]->self.instance, record});
            process(other, instance_updated{name, record});
        }
        return number;
    }

    void start_server() {
        auto server = server_of("server-" + std::to_string(++last_server_), book);
        server.born = static_cast<std::uint64_t>(last_server_);
        servers_[server.id] = server;
        for (std::size_t number = 0; number < states_.size(); ++number) {
            process(number, backend_server_updated{server});
        }
    }

    void end_server(const model::backend_server_id& server) {
        if (servers_.erase(server) == 0) {
            return;
        }
        ended_at_.push_back(now_);
        for (const auto& attempt : std::exchange(attempts_[server], {})) {
            end_attempt(attempt, attempt_outcome::connection_lost, 0);
        }
        after(silence_time, [this, server] {
            for (std::size_t number = 0; number < states_.size(); ++number) {
                process(number, backend_server_removed{server});
            }
        });
        after(4000ms, [this] { start_server(); });
    }

    /// Servers begin to run deadly requests after this time, and end then.
    void queue_deadly_requests(std::chrono::microseconds time) { deadly_delay_ = time; }
    /// How long callers of deadly requests stay.
    void let_callers_leave(std::chrono::microseconds time) { caller_patience_ = time; }
    /// The deadline of callers of deadly requests.
    void limit_deadly_requests(std::chrono::milliseconds deadline) { deadly_deadline_ = deadline; }

    exchange_id request(std::size_t instance, request_fingerprint fingerprint, const std::string& path = "/get/1") {
        request_arrived event;
        event.exchange = ++last_exchange_;
        event.request = "id-" + std::to_string(last_exchange_);
        event.host = "host";
        event.path = path;
        event.deadline = fingerprint == deadly ? deadly_deadline_ : 2000ms;
        event.arrived = now_;
        event.fingerprint = fingerprint;
        process(instance, event);
        if (fingerprint == deadly && caller_patience_.count() > 0) {
            after(caller_patience_, [this, instance, exchange = event.exchange] {
                process(instance, caller_left{exchange, "closed_by_caller"});
            });
        }
        return last_exchange_;
    }

    void run_for(std::chrono::microseconds time) {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += 10ms;
            while (!calls_.empty() && calls_.begin()->first <= now_) {
                const auto function = std::move(calls_.begin()->second);
                calls_.erase(calls_.begin());
                function();
            }
            for (std::size_t number = 0; number < states_.size(); ++number) {
                process(number, ticked{});
            }
        }
    }

    /// Requests of callers that repeat a deadly one, and of others, at instances in turn.
    void send_deadly_requests(std::chrono::milliseconds time, const std::string& path) {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            const auto turn = static_cast<std::size_t>(passed / 100ms);
            request(turn * 7 % states_.size(), deadly, path);
            request(turn * 5 % states_.size(), 100000 + turn);
            request(turn * 3 % states_.size(), 200000 + turn);
            run_for(100ms);
        }
    }

    /// Sends of the request later than the given time after it has ended the third server.
    [[nodiscard]] std::size_t sends_after_third_end(request_fingerprint fingerprint, std::chrono::microseconds time) {
        if (ended_at_.size() < 3) {
            return 0;
        }
        const auto from = ended_at_[2] + time;
        const auto& times = sent_at_[fingerprint];
        return static_cast<std::size_t>(
            std::count_if(times.begin(), times.end(), [from](base::boot_time at) { return at > from; }));
    }

    [[nodiscard]] std::size_t ended_servers() const { return ended_at_.size(); }
    [[nodiscard]] std::size_t sends(request_fingerprint fingerprint) { return sent_at_[fingerprint].size(); }
    [[nodiscard]] const std::set<request_fingerprint>& rows() const { return rows_; }
    [[nodiscard]] const std::map<exchange_id, answer_caller>& answers() const { return answers_; }
    [[nodiscard]] std::size_t writes() const { return writes_; }
    [[nodiscard]] model::backend_server_id any_server() const { return servers_.begin()->first; }

private:
    struct sent_attempt {
        std::size_t instance = 0;
        send_request request;
    };

    void after(std::chrono::microseconds delay, std::function<void()> function) {
        calls_.emplace(now_ + delay, std::move(function));
    }

    void process(std::size_t instance, const event& event) {
        if (lost_instance_ == instance) {
            return;
        }
        for (const auto& effect : reduce(*states_[instance], now_, event)) {
            std::visit([this, instance](const auto& body) { execute(instance, body); }, effect);
        }
    }

    template <class Effect>
    void execute(std::size_t /*instance*/, const Effect& /*effect*/) {}

    void execute(std::size_t instance, const send_request& effect) {
        const auto fingerprint = states_[instance]->exchanges.at(effect.exchange).request.fingerprint;
        sent_at_[fingerprint].push_back(now_);
        const sent_attempt attempt{instance, effect};
        if (!servers_.contains(effect.server)) {
            after(message_delay, [this, attempt] { end_attempt(attempt, attempt_outcome::not_connected, 0); });
            return;
        }
        process_later(instance, attempt_sent{effect.exchange, effect.attempt});
        attempts_[effect.server].push_back(attempt);
        if (fingerprint == deadly) {
            after(deadly_delay_, [this, server = effect.server] { end_server(server); });
            return;
        }
        after(work_time, [this, attempt] {
            auto& running = attempts_[attempt.request.server];
            const auto erased = std::erase_if(
                running, [&attempt](const auto& item) { return item.request.exchange == attempt.request.exchange; });
            if (erased > 0) {
                end_attempt(attempt, attempt_outcome::delivered, 200);
            }
        });
    }

    void execute(std::size_t /*instance*/, const cancel_attempt& effect) {
        for (auto& [server, running] : attempts_) {
            std::erase_if(running, [&effect](const auto& item) { return item.request.exchange == effect.exchange; });
        }
    }

    void execute(std::size_t instance, const probe_server& effect) {
        const auto outcome = servers_.contains(effect.server) ? probe_outcome::connected : probe_outcome::refused;
        process_later(instance, server_probed{effect.server, outcome});
    }

    void execute(std::size_t /*instance*/, const send_strike& effect) {
        if (network_.loses_collector && !lost_instance_) {
            lost_instance_ = number_of(effect.receiver);
        }
        deliver(effect.receiver, effect.strike);
    }

    void execute(std::size_t /*instance*/, const send_slot_request& effect) {
        deliver(effect.receiver, effect.request);
    }
    void execute(std::size_t /*instance*/, const send_slot_answer& effect) { deliver(effect.receiver, effect.answer); }
    void execute(std::size_t /*instance*/, const send_slot_release& effect) {
        deliver(effect.receiver, effect.release);
    }
    void execute(std::size_t /*instance*/, const send_allowance_message& /*effect*/) {}
    void execute(std::size_t /*instance*/, const send_slot_report& effect) { deliver(effect.receiver, effect.report); }

    void execute(std::size_t /*instance*/, const send_objection& effect) { deliver(effect.receiver, effect.objection); }

    void execute(std::size_t /*instance*/, const write_quarantine& effect) {
        ++writes_;
        rows_.insert(effect.request);
        for (std::size_t number = 0; number < states_.size(); ++number) {
            after(store_delay,
                  [this, number, request = effect.request] { process(number, quarantine_learned{request}); });
        }
    }

    void execute(std::size_t /*instance*/, const lift_quarantine& effect) {
        rows_.erase(effect.request);
        for (std::size_t number = 0; number < states_.size(); ++number) {
            after(store_delay,
                  [this, number, request = effect.request] { process(number, quarantine_removed{request}); });
        }
    }

    void execute(std::size_t /*instance*/, const answer_caller& effect) { answers_[effect.exchange] = effect; }

    void process_later(std::size_t instance, const event& event) {
        after(message_delay, [this, instance, event] { process(instance, event); });
    }

    [[nodiscard]] std::size_t number_of(const model::instance_id& instance) const {
        const auto found = std::find_if(states_.begin(), states_.end(),
                                        [&instance](const auto& state) { return state->self.instance == instance; });
        return static_cast<std::size_t>(found - states_.begin());
    }

    void deliver(const model::instance_id& receiver, const event& event) {
        const bool is_lost = static_cast<double>(random_() % 100000) / 100000.0 < network_.lost_messages;
        const auto number = number_of(receiver);
        if (!is_lost && number < states_.size()) {
            process_later(number, event);
        }
    }

    void end_attempt(const sent_attempt& attempt, attempt_outcome outcome, int status) {
        process_later(attempt.instance,
                      attempt_ended{attempt.request.exchange, attempt.request.attempt, outcome, status, false, {}});
    }

    network network_;
    std::mt19937_64 random_;
    std::optional<std::size_t> lost_instance_;
    base::boot_time now_{std::chrono::seconds(100)};
    std::multimap<base::boot_time, std::function<void()>> calls_;
    std::vector<std::unique_ptr<state>> states_;
    std::map<model::backend_server_id, backend_server> servers_;
    std::map<model::backend_server_id, std::vector<sent_attempt>> attempts_;
    std::map<request_fingerprint, std::vector<base::boot_time>> sent_at_;
    std::map<exchange_id, answer_caller> answers_;
    std::set<request_fingerprint> rows_;
    std::vector<base::boot_time> ended_at_;
    std::size_t writes_ = 0;
    std::chrono::microseconds deadly_delay_ = message_delay;
    std::chrono::microseconds caller_patience_{0};
    std::chrono::milliseconds deadly_deadline_{2000};
    exchange_id last_exchange_ = 0;
    int last_server_ = 0;
};

/// One instance with one backend server, and the outcomes that a test gives.
class lone_instance {
public:
    explicit lone_instance(std::uint64_t server_born = 7) {
        server_.born = server_born;
        const instance_record record{model::data_centre_id("north"), 1, {}, 0, own_protocol};
        process(instance_updated{state_.self.instance, record});
        configuration configuration;
        configuration.version = 1;
        configuration.services[book] = {book, "/health", 100, 6.0, 3000ms, false};
        configuration.routes = {route_to("/get/", request_kind::idempotent, book),
                                route_to("/pay/", request_kind::non_idempotent, book)};
        process(configuration_updated{configuration});
        process(backend_server_updated{server_});
        process(registry_complete{});
        process(assignments_complete{});
    }

    effects process(const event& event) {
        auto done = reduce(state_, now_, event);
        probes_ += static_cast<std::size_t>(std::count_if(
            done.begin(), done.end(), [](const auto& effect) { return std::holds_alternative<probe_server>(effect); }));
        return done;
    }

    [[nodiscard]] std::size_t probes() const { return probes_; }

    void run_for(std::chrono::microseconds time) {
        for (auto left = time; left > 0ms; left -= 10ms) {
            now_ += 10ms;
            process(ticked{});
        }
    }

    exchange_id request(request_fingerprint fingerprint, std::chrono::milliseconds deadline = 2000ms) {
        request_arrived event;
        event.exchange = ++last_exchange_;
        event.request = "id-" + std::to_string(last_exchange_);
        event.host = "host";
        event.path = "/pay/1";
        event.deadline = deadline;
        event.arrived = now_;
        event.fingerprint = fingerprint;
        process(event);
        return event.exchange;
    }

    /// A request that the server has begun to receive.
    exchange_id send(request_fingerprint fingerprint, std::chrono::milliseconds deadline = 2000ms) {
        const auto exchange = request(fingerprint, deadline);
        process(attempt_sent{exchange, state_.exchanges.at(exchange).attempt});
        return exchange;
    }

    effects end(exchange_id exchange, attempt_outcome outcome) {
        const auto attempt = state_.exchanges.at(exchange).attempt;
        return process(attempt_ended{exchange, attempt, outcome, 0, false, {}});
    }

    effects leave(exchange_id exchange) { return process(caller_left{exchange, "closed_by_caller"}); }

    void start_answer(exchange_id exchange) {
        process(answer_forwarding_started{exchange, state_.exchanges.at(exchange).attempt});
    }

    effects end_probe(probe_outcome outcome) { return process(server_probed{server_.id, outcome}); }

    void restart_server() {
        ++server_.born;
        ++server_.sequence;
        process(backend_server_updated{server_});
    }

    void announce_leaving() {
        server_.draining = true;
        ++server_.sequence;
        process(backend_server_updated{server_});
    }

    void remove_server() { process(backend_server_removed{server_.id}); }

    /// Starts of the server whose ends were counted for the request.
    [[nodiscard]] std::set<std::uint64_t> struck_runs(request_fingerprint fingerprint) const {
        std::set<std::uint64_t> runs;
        const auto found = state_.quarantine.struck.find(fingerprint);
        if (found != state_.quarantine.struck.end()) {
            for (const auto& [run, at] : found->second.runs) {
                runs.insert(run.second);
            }
        }
        return runs;
    }

private:
    base::boot_time now_{std::chrono::seconds(100)};
    state state_{identity{model::instance_id("one"), model::data_centre_id("north"), 1}, 5};
    backend_server server_ = server_of("server", book);
    exchange_id last_exchange_ = 0;
    std::size_t probes_ = 0;
};

std::chrono::nanoseconds processor_time() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

bool has_probe(const effects& effects) {
    return std::any_of(effects.begin(), effects.end(),
                       [](const auto& effect) { return std::holds_alternative<probe_server>(effect); });
}

} // namespace

TEST_CASE("a request under which servers end reaches few servers, and no other request is quarantined") {
    const auto instances = GENERATE(1, 5, 40);
    const auto* const path = GENERATE("/get/1", "/pay/1");
    CAPTURE(instances, path);
    play play(instances, 30);
    play.send_deadly_requests(20s, path);
    CHECK(play.ended_servers() >= 3);
    CHECK(play.ended_servers() <= 5);
    CHECK(play.sends_after_third_end(deadly, 3s) == 0);
    CHECK(play.rows() == std::set<request_fingerprint>{deadly});
    const auto last = play.request(0, deadly, path);
    REQUIRE(play.answers().contains(last));
    CHECK(play.answers().at(last).status == 503);
    CHECK(play.answers().at(last).code == base::result_code::request_quarantined);
    CHECK(play.answers().at(last).retry_after >= 1s);
}

// Guards against a quarantine that hangs on one instance or on single messages. The rule allows three sends more.
TEST_CASE("a deadly request of a large deployment is quarantined although a collector and messages are lost") {
    const double lost = GENERATE(0.01, 0.2);
    const auto period = GENERATE(100ms, 2000ms);
    const std::uint64_t seed = GENERATE(range(1, 11));
    CAPTURE(lost, period.count(), seed);
    play::network network;
    network.uses_dispatchers = true;
    network.lost_messages = lost;
    network.loses_collector = true;
    network.seed = seed;
    play play(24, 32, network);
    const std::size_t turns = period == 100ms ? 200 : 25;
    for (std::size_t turn = 0; turn < turns; ++turn) {
        play.request(turn * 7 % 24, deadly, "/pay/1");
        play.request(turn * 5 % 24, 100000 + turn);
        play.request(turn * 11 % 24, 200000 + turn);
        play.run_for(period);
    }
    CHECK(play.ended_servers() >= 3);
    CHECK(play.sends_after_third_end(deadly, 3s) <= 3);
    CHECK(play.rows() == std::set<request_fingerprint>{deadly});
}

// Guards against requests that end servers after their callers have left or their time has passed.
TEST_CASE("a request under which servers end is quarantined although no caller waits for it") {
    const bool others = GENERATE(false, true);
    const bool have_left = GENERATE(true, false);
    CAPTURE(others, have_left);
    play play(5, 30);
    play.queue_deadly_requests(300ms);
    if (have_left) {
        play.let_callers_leave(200ms);
    } else {
        play.limit_deadly_requests(200ms);
    }
    for (std::size_t turn = 0; turn < 50; ++turn) {
        // Rare enough that no other copy is under work when a server ends.
        play.request(turn % 5, deadly, "/pay/1");
        if (others) {
            play.request((turn + 1) % 5, 100000 + turn);
        }
        play.run_for(400ms);
    }
    CHECK(play.ended_servers() >= 3);
    CHECK(play.sends_after_third_end(deadly, 3s) == 0);
    CHECK(play.rows() == std::set<request_fingerprint>{deadly});
}

TEST_CASE("an instance that starts after the quarantine refuses the request") {
    play play(5, 30);
    play.send_deadly_requests(5s, "/get/1");
    const auto ended = play.ended_servers();
    const auto late = play.start_instance();
    play.request(late, deadly);
    play.run_for(1s);
    CHECK(play.ended_servers() == ended);
}

// Guards against a quarantine of what many callers ask for: it is under work wherever a server ends.
TEST_CASE("a request that ends well elsewhere is let back in") {
    constexpr request_fingerprint popular = 7;
    play play(5, 30);
    for (int turn = 0; turn < 200; ++turn) {
        for (std::size_t instance = 0; instance < 5; ++instance) {
            play.request(instance, popular);
        }
        if (turn % 10 == 0) {
            play.end_server(play.any_server());
        }
        play.run_for(100ms);
    }
    play.run_for(500ms);
    CHECK(play.rows().empty());
    const auto sends = play.sends(popular);
    play.request(0, popular);
    CHECK(play.sends(popular) == sends + 1);
}

TEST_CASE("a quarantine ends after its time, and the next end of a server begins it again") {
    play play(3, 30);
    play.send_deadly_requests(2s, "/get/1");
    REQUIRE(play.rows().contains(deadly));
    const auto ended = play.ended_servers();
    play.run_for(quarantine_time + 20s);
    REQUIRE(play.rows().empty());
    play.send_deadly_requests(5s, "/get/1");
    CHECK(play.rows().contains(deadly));
    CHECK(play.ended_servers() <= ended + 2);
}

// Guards against callers that get 502 because many of them ask for the same when one server ends.
TEST_CASE("equal requests that were lost with one server are sent again") {
    play play(1, 2);
    for (int copy = 0; copy < 4; ++copy) {
        play.request(0, 7);
    }
    play.run_for(20ms);
    REQUIRE(play.sends(7) == 4);
    play.end_server(play.any_server());
    play.run_for(500ms);
    CHECK(play.answers().empty());
}

// Guards against a quarantine that ends because a collector has lost what it knew.
TEST_CASE("a collector without strikes does not end a quarantine because the request ended well before") {
    const auto known_strikes = GENERATE(0U, 1U, 2U);
    const base::boot_time now(100s);
    state state(identity{model::instance_id("one"), model::data_centre_id("north"), 1}, 5);
    auto effects = reduce(state, now, quarantine_learned{deadly});
    for (std::size_t number = 0; number < known_strikes; ++number) {
        const model::backend_server_id server("server-" + std::to_string(number));
        effects = reduce(state, now, request_strike{deadly, "host/get/1", server, 1});
    }
    effects = reduce(state, now + 1s, quarantine_objection{deadly, 20000ms});
    CHECK(std::none_of(effects.begin(), effects.end(),
                       [](const auto& effect) { return std::holds_alternative<lift_quarantine>(effect); }));
    effects = reduce(state, now + 2s, quarantine_objection{deadly, 0ms});
    CHECK(std::any_of(effects.begin(), effects.end(),
                      [](const auto& effect) { return std::holds_alternative<lift_quarantine>(effect); }));
}

// Guards against strikes for answers that got lost: the server lives, and is removed for another reason.
TEST_CASE("a server that accepts a connection has not ended under the request") {
    const model::backend_server_id server("s");
    const base::boot_time now(1s);
    state state(identity{model::instance_id("one"), model::data_centre_id("north"), 1}, 5);
    auto effects = reduce(state, now, backend_server_updated{server_of(server.value(), book)});
    state.quarantine.suspicions.push_back({deadly, "host/get/1", server, 7, now});
    effects = reduce(state, now, server_probed{server, probe_outcome::connected});
    effects = reduce(state, now, backend_server_removed{server});
    CHECK(state.quarantine.struck.empty());
    CHECK(!effects.empty());
}

// Guards against one end that is counted as the ends of two runs, or of none.
TEST_CASE("the end of a server counts for the run that got the request, whatever shows it first") {
    lone_instance instance;
    const auto exchange = instance.send(deadly);
    SECTION("the connection") {
        CHECK(has_probe(instance.end(exchange, attempt_outcome::connection_lost)));
        instance.restart_server();
    }
    SECTION("the registry") {
        instance.restart_server();
        instance.end(exchange, attempt_outcome::connection_lost);
    }
    SECTION("the registry, and then a probe that the new run accepts") {
        instance.restart_server();
        instance.end(exchange, attempt_outcome::connection_lost);
        instance.end_probe(probe_outcome::connected);
    }
    SECTION("the registry, and then a probe that is refused since the new run has ended too") {
        instance.restart_server();
        instance.end(exchange, attempt_outcome::connection_lost);
        instance.end_probe(probe_outcome::refused);
    }
    SECTION("the registry without a new run, and then a probe without an answer") {
        instance.remove_server();
        CHECK(has_probe(instance.end(exchange, attempt_outcome::connection_lost)));
        instance.end_probe(probe_outcome::unanswered);
    }
    CHECK(instance.struck_runs(deadly) == std::set<std::uint64_t>{7});
}

TEST_CASE("the end of a server that states no start gives a strike") {
    lone_instance instance(0);
    instance.end(instance.send(deadly), attempt_outcome::connection_lost);
    SECTION("its port refuses connections") {
        instance.end_probe(probe_outcome::refused);
    }
    SECTION("the registry drops it") {
        instance.remove_server();
    }
    CHECK(instance.struck_runs(deadly) == std::set<std::uint64_t>{0});
}

TEST_CASE("a request that was cancelled at work has a strike when the end of its server becomes known") {
    lone_instance instance;
    const bool has_left = GENERATE(true, false);
    CAPTURE(has_left);
    const auto exchange = instance.send(deadly, 100ms);
    if (has_left) {
        instance.leave(exchange);
    }
    instance.run_for(200ms);
    CHECK(instance.struck_runs(deadly).empty());
    SECTION("the registry shows a new run") {
        instance.run_for(4s);
        instance.restart_server();
    }
    SECTION("the registry drops the server") {
        instance.run_for(4s);
        instance.remove_server();
    }
    SECTION("a later request is refused a connection") {
        CHECK(has_probe(instance.end(instance.send(5), attempt_outcome::not_connected)));
        instance.end_probe(probe_outcome::refused);
    }
    SECTION("another request loses its connection") {
        instance.end(instance.send(5), attempt_outcome::connection_lost);
        instance.end_probe(probe_outcome::refused);
    }
    CHECK(instance.struck_runs(deadly) == std::set<std::uint64_t>{7});
}

// Guards against a cost of each caller that leaves, and against strikes of requests that did no harm.
TEST_CASE("a cancelled request has no strike without the end of its server") {
    lone_instance instance;
    SECTION("the server lives") {
        CHECK(!has_probe(instance.leave(instance.send(deadly))));
        instance.run_for(suspicion_time + 20ms);
        instance.restart_server();
    }
    SECTION("the answer had begun") {
        const auto exchange = instance.send(deadly);
        instance.start_answer(exchange);
        instance.leave(exchange);
        instance.restart_server();
    }
    SECTION("the server had announced that it leaves") {
        instance.leave(instance.send(deadly));
        instance.announce_leaving();
        instance.remove_server();
    }
    SECTION("no other request was cancelled at the server that a connection is refused by") {
        CHECK(!has_probe(instance.end(instance.send(5), attempt_outcome::not_connected)));
    }
    CHECK(instance.struck_runs(deadly).empty());
}

// Guards against a quarantine of streams that three servers cut when they are shut down.
TEST_CASE("an answer that a leaving server cuts short gives no strike") {
    const bool has_left = GENERATE(false, true);
    CAPTURE(has_left);
    lone_instance instance;
    const auto exchange = instance.send(deadly);
    instance.start_answer(exchange);
    if (has_left) {
        // It has taken its entry out of the registry before it closes its connections.
        instance.remove_server();
    } else {
        instance.announce_leaving();
    }
    CHECK(!has_probe(instance.end(exchange, attempt_outcome::cut_short)));
    instance.end_probe(probe_outcome::refused);
    instance.remove_server();
    CHECK(instance.struck_runs(deadly).empty());
}

// Guards against requests that end servers uncounted: a leaving server still runs what it has accepted, and requests
// for its keys.
TEST_CASE("other answers that are lost with a server give a strike") {
    lone_instance instance;
    const auto exchange = instance.send(deadly);
    SECTION("a leaving server ends without any answer") {
        instance.announce_leaving();
        CHECK(has_probe(instance.end(exchange, attempt_outcome::connection_lost)));
    }
    SECTION("a server that has not announced to leave cuts the answer short") {
        instance.start_answer(exchange);
        CHECK(has_probe(instance.end(exchange, attempt_outcome::cut_short)));
    }
    instance.end_probe(probe_outcome::refused);
    CHECK(instance.struck_runs(deadly) == std::set<std::uint64_t>{7});
}

// Guards against an answer to a request that is under work, whose caller would then get none from the server.
TEST_CASE("a quarantine refuses the requests that wait, and only these") {
    lone_instance instance;
    std::set<exchange_id> working;
    while (working.size() < 4) {
        working.insert(instance.send(deadly));
    }
    const std::set<exchange_id> waiting{instance.request(deadly), instance.request(deadly)};
    const auto other = instance.request(5);
    std::set<exchange_id> refused;
    for (const auto& effect : instance.process(quarantine_learned{deadly})) {
        CHECK(!std::holds_alternative<send_request>(effect));
        if (const auto* const answer = std::get_if<answer_caller>(&effect)) {
            CHECK(answer->code == base::result_code::request_quarantined);
            refused.insert(answer->exchange);
        }
    }
    CHECK(refused == waiting);
    std::set<exchange_id> sent;
    for (const auto exchange : working) {
        for (const auto& effect : instance.end(exchange, attempt_outcome::delivered)) {
            CHECK(!std::holds_alternative<answer_caller>(effect));
            if (const auto* const send = std::get_if<send_request>(&effect)) {
                sent.insert(send->exchange);
            }
        }
    }
    CHECK(sent == std::set<exchange_id>{other});
}

// Guards against a server that ends shortly after a probe that it has accepted.
TEST_CASE("a connection that is lost soon after a probe is followed by another probe") {
    lone_instance instance;
    CHECK(has_probe(instance.end(instance.send(5), attempt_outcome::connection_lost)));
    instance.run_for(200ms);
    const auto effects = instance.end(instance.send(deadly), attempt_outcome::connection_lost);
    CHECK(!has_probe(effects));
    instance.end_probe(probe_outcome::connected);
    const auto probes = instance.probes();
    instance.run_for(2s);
    CHECK(instance.probes() == probes + 1);
    instance.end_probe(probe_outcome::refused);
    CHECK(instance.struck_runs(deadly) == std::set<std::uint64_t>{7});
    CHECK(instance.struck_runs(5).empty());
}

// Guards against work of all instances for each request on each tick: the store may take no writes for long.
TEST_CASE("quarantines that are over cost little while their rows stay") {
    const base::boot_time begin(100s);
    state state(identity{model::instance_id("instance-0"), model::data_centre_id("north"), 1}, 5);
    for (int number = 0; number < 295; ++number) {
        const instance_record record{model::data_centre_id("north"), 1, {}, 0, own_protocol};
        std::ignore =
            reduce(state, begin, instance_updated{model::instance_id("instance-" + std::to_string(number)), record});
    }
    for (request_fingerprint request = 1; request <= 512; ++request) {
        std::ignore = reduce(state, begin, quarantine_learned{request});
    }
    auto now = begin + quarantine_time + 1s;
    std::size_t lifts = 0;
    const auto spend = [&](int ticks) {
        const auto before = processor_time();
        for (int tick = 0; tick < ticks; ++tick) {
            const auto effects = reduce(state, now, ticked{});
            lifts += static_cast<std::size_t>(std::count_if(effects.begin(), effects.end(), [](const auto& effect) {
                return std::holds_alternative<lift_quarantine>(effect);
            }));
            now += 20ms;
        }
        return processor_time() - before;
    };
    // The first tick ranks the instances for each request.
    const auto first = spend(1);
    const auto others = spend(100);
    CHECK(others < first * 10);
    CHECK(lifts > 0);
}

} // namespace lovagetack::routing::testing
