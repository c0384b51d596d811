#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fixture.hpp"

namespace lovagetack::requests::testing {

/// Carries out effects with random outcomes and checks the invariants of requests after each event.
class fake_shell {
public:
    explicit fake_shell(std::uint64_t seed) : random_(seed) {
        tested.checks_grants = seed % 2 == 0;
        tested.deploy(servers);
        apply(model::members_changed{members(false)});
        move_routes();
        renew_leases();
    }

    void run(int steps) {
        for (int step = 0; step < steps; ++step) {
            tested.now += std::chrono::microseconds(pick(3000));
            random_step();
        }
    }

    /// Completes all attempts and store calls, and advances time beyond all deadlines.
    void finish_all() {
        apply(model::members_changed{members(false)});
        apply(model::service_states_changed{});
        for (int step = 0; step < 4000; ++step) {
            tested.now += 20ms;
            apply(model::tick{});
            reply_to_store(true);
            while (!attempts_.empty()) {
                end_attempt(attempts_.begin()->first, attempt_outcome::completed);
            }
        }
    }

    fixture tested;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t completed = 0;
    std::size_t left = 0;
    std::size_t started = 0;
    std::set<std::int32_t> codes;

private:
    static constexpr std::int32_t servers = 3;

    struct running_attempt {
        start_attempt effect;
        bool sending = false;
        bool answering = false;
    };

    /// State of one request as the test tracks it.
    struct known_request {
        bool idempotent = false;
        /// Service, key and idempotency key of its claim; empty without one.
        std::string claim;
        bool may_have_run = false;
        bool over = false;
    };

    std::uint64_t pick(std::uint64_t below) { return random_() % below; }

    std::vector<model::member> members(bool other) {
        std::vector<model::member> made;
        for (const auto& id : {self_id, other_id}) {
            model::member member;
            member.id = id;
            member.data_centre = east;
            member.state = id == self_id || other ? model::member_state::live : model::member_state::unreachable;
            made.push_back(member);
        }
        return made;
    }

    void move_routes() {
        model::service_routes routes{board, {}};
        constexpr std::uint64_t half = 1ULL << 63U;
        for (const auto first : {std::uint64_t(0), half}) {
            if (pick(6) != 0) {
                fence_ += 1;
                const auto owner = fixture::id(board, static_cast<int>(pick(servers)));
                routes.ranges.push_back({first, first + (half - 1), owner, {model::epoch(1), fence_}});
            }
        }
        apply(model::routes_changed{{routes}});
    }

    void renew_leases() {
        model::home_leases_changed leases;
        for (const auto& service : {board, store}) {
            for (int number = 0; number < servers; ++number) {
                leases.leases.push_back({fixture::id(service, number), tested.now.time_since_epoch() + 500ms});
            }
        }
        apply(leases);
    }

    void new_request() {
        caller_request made;
        made.service = pick(2) == 0 ? board : store;
        made.idempotent = pick(2) == 0;
        made.idempotency_key = pick(3) == 0 ? "key-" + std::to_string(pick(200)) : "";
        made.deadline = std::chrono::milliseconds(5 + pick(2000));
        made.relayed_by = model::instance_id(pick(5) == 0 ? "instance-c" : "");
        made.relay_target = fixture::id(made.service, static_cast<int>(pick(servers)));
        requests += 1;
        made.exchange = exchange_id(requests);
        made.key = made.service == board ? std::to_string(pick(1000)) : "";
        requests_[made.exchange].idempotent = made.idempotent;
        if (!made.idempotent && !made.idempotency_key.empty()) {
            requests_[made.exchange].claim = made.service.value() + "/" + made.key + "/" + made.idempotency_key;
        }
        apply(made);
    }

    model::attempt_id any_attempt() {
        auto found = attempts_.begin();
        std::advance(found, static_cast<std::ptrdiff_t>(pick(attempts_.size())));
        return found->first;
    }

    void step_attempt() {
        if (attempts_.empty()) {
            return;
        }
        const auto id = any_attempt();
        auto& attempt = attempts_.at(id);
        const bool silent = id.value() % 20 == 0;
        if (silent && attempt.sending) {
            return;
        }
        if (!attempt.sending && pick(4) != 0) {
            attempt.sending = true;
            apply(attempt_sending{attempt.effect.exchange, id});
            return;
        }
        if (attempt.sending && !attempt.answering && pick(2) == 0) {
            attempt.answering = true;
            apply(attempt_answering{attempt.effect.exchange, id, 200});
            return;
        }
        end_attempt(id, random_outcome(attempt));
    }

    attempt_outcome random_outcome(const running_attempt& attempt) {
        if (attempt.answering) {
            return pick(10) == 0 ? attempt_outcome::cut_short : attempt_outcome::completed;
        }
        if (!attempt.sending) {
            return attempt_outcome::connect_failed;
        }
        return pick(3) != 0 ? attempt_outcome::completed : static_cast<attempt_outcome>(pick(8));
    }

    void end_attempt(model::attempt_id id, attempt_outcome outcome) {
        const auto attempt = attempts_.at(id);
        attempts_.erase(id);
        attempt_ended ended;
        ended.exchange = attempt.effect.exchange;
        ended.attempt = id;
        ended.outcome = outcome;
        ended.bytes_sent = attempt.sending;
        ended.can_resend = pick(8) != 0;
        ended.reused_connection = pick(2) == 0;
        ended.status = outcome == attempt_outcome::completed ? 200 : 0;
        if (outcome == attempt_outcome::refused) {
            ended.status = pick(2) == 0 ? 503 : 421;
        }
        auto& request = requests_.at(ended.exchange);
        const bool ran = attempt.sending && outcome != attempt_outcome::refused;
        if (ran) {
            record_run(request, attempt);
        }
        if (outcome == attempt_outcome::completed) {
            REQUIRE_FALSE(request.over);
            request.over = true;
            completed += 1;
        }
        apply(ended);
    }

    void record_run(known_request& request, const running_attempt& attempt) {
        request.may_have_run = true;
        if (attempt.effect.relay_to.empty() && !request.claim.empty()) {
            claims_run_.insert(request.claim);
        }
    }

    void close_caller() {
        const auto id = exchange_id(requests == 0 ? 0 : 1 + pick(requests));
        const auto found = requests_.find(id);
        if (found == requests_.end() || found->second.over) {
            return;
        }
        found->second.over = true;
        left += 1;
        apply(caller_left{id});
    }

    void reply_to_store(bool reachable) {
        const auto transactions = std::move(transactions_);
        transactions_.clear();
        const auto reads = std::move(reads_);
        reads_.clear();
        for (const auto& transaction : transactions) {
            commit(transaction, reachable);
        }
        for (const auto& read : reads) {
            model::store_reply reply;
            reply.operation = read.operation;
            reply.status = reachable || pick(4) != 0 ? model::store_status::done : model::store_status::unknown;
            if (rows_.contains(read.key)) {
                reply.rows.push_back(rows_.at(read.key));
            }
            apply(reply);
        }
    }

    void commit(const model::store_transaction& transaction, bool reachable) {
        model::store_reply reply;
        reply.operation = transaction.operation;
        const bool lost = !reachable && pick(4) == 0;
        const bool holds =
            std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                        [&](const auto& condition) { return version_of(condition.key) == condition.version; });
        reply.status = holds ? model::store_status::done : model::store_status::conflict;
        if (holds && !(lost && pick(2) == 0)) {
            for (const auto& write : transaction.writes) {
                reply.versions.push_back(store_row(write));
            }
        }
        if (lost) {
            reply.status = model::store_status::unknown;
            reply.versions.clear();
        }
        apply(reply);
    }

    std::uint64_t version_of(const std::string& key) const { return rows_.contains(key) ? rows_.at(key).version : 0; }

    std::uint64_t store_row(const model::row_write& write) {
        row_version_ += 1;
        if (write.value) {
            rows_[write.key] = {write.table, write.key, row_version_, *write.value};
        } else {
            rows_.erase(write.key);
        }
        return row_version_;
    }

    void random_step() {
        const auto kind = pick(100);
        if (kind < 25) {
            new_request();
        } else if (kind < 75) {
            step_attempt();
        } else if (kind < 84) {
            apply(model::tick{});
        } else if (kind < 88) {
            reply_to_store(false);
        } else if (kind < 90) {
            close_caller();
        } else {
            rare_step();
        }
    }

    void rare_step() {
        const auto service = pick(2) == 0 ? board : store;
        const auto server = fixture::id(service, static_cast<int>(pick(servers)));
        const auto kind = pick(40);
        if (kind < 12) {
            renew_leases();
        } else if (kind < 18) {
            move_routes();
        } else if (kind < 22) {
            apply(model::members_changed{members(pick(2) == 0)});
        } else if (kind < 26) {
            const auto availability = pick(3) == 0 ? model::availability::drained : model::availability::in_service;
            apply(model::service_states_changed{{{model::subject_kind::backend_server, server.value(), availability}}});
        } else if (kind < 32) {
            apply(connection_probed{server, pick(2) == 0});
        } else {
            const auto boot = "boot-" + std::to_string(pick(10) == 0 ? pick(3) : 0);
            apply(backend_server_observed{server, boot, pick(8) == 0, std::chrono::seconds(pick(60))});
        }
    }

    void apply(const event& received) {
        for (const auto& made : tested.apply(received)) {
            std::visit([&](const auto& effect) { carry_out(effect); }, made);
        }
        tested.seen.clear();
        check_slots();
    }

    void carry_out(const start_attempt& effect) {
        auto& request = requests_.at(effect.exchange);
        REQUIRE_FALSE(request.over);
        REQUIRE((request.idempotent || !request.may_have_run));
        // Relays are left out: their claims belong to the home instance, which is not part of the test.
        if (effect.relay_to.empty()) {
            REQUIRE_FALSE(claims_run_.contains(request.claim));
        }
        started += 1;
        attempts_[effect.attempt].effect = effect;
    }

    void carry_out(const cancel_attempt& effect) {
        const auto& attempt = attempts_.at(effect.attempt);
        auto& request = requests_.at(effect.exchange);
        if (attempt.sending) {
            record_run(request, attempt);
        }
        attempts_.erase(effect.attempt);
    }

    void carry_out(const answer_caller& effect) {
        auto& request = requests_.at(effect.exchange);
        REQUIRE_FALSE(request.over);
        request.over = true;
        answered += 1;
        codes.insert(effect.code);
        REQUIRE((effect.outcome != outcome::not_run || !request.may_have_run));
    }

    void carry_out(const request_finished& effect) {
        REQUIRE(requests_.at(effect.exchange).over);
        for (const auto& [id, attempt] : attempts_) {
            REQUIRE(attempt.effect.exchange != effect.exchange);
        }
    }

    void carry_out(const model::store_transaction& effect) { transactions_.push_back(effect); }
    void carry_out(const model::store_read& effect) { reads_.push_back(effect); }

    template <class Effect>
    void carry_out(const Effect& /*effect*/) {}

    void check_slots() const {
        std::map<model::backend_server_id, int> outstanding;
        for (const auto& [id, attempt] : attempts_) {
            if (attempt.effect.relay_to.empty()) {
                outstanding[attempt.effect.backend_server] += 1;
            }
        }
        for (const auto& [id, count] : outstanding) {
            REQUIRE(count <= 2);
        }
    }

    std::mt19937_64 random_;
    std::uint64_t fence_ = 0;
    std::uint64_t row_version_ = 0;
    std::map<exchange_id, known_request> requests_;
    std::map<model::attempt_id, running_attempt> attempts_;
    /// Claims whose requests may have run.
    std::set<std::string> claims_run_;
    std::map<std::string, model::row> rows_;
    std::vector<model::store_transaction> transactions_;
    std::vector<model::store_read> reads_;
};

} // namespace lovagetack::requests::testing
