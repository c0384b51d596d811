#include <catch2/catch.hpp>

#include "accounts/credential.hpp"
#include "routing/accounts/counting.hpp"
#include "routing/accounts/limits.hpp"
#include "routing/accounts/token_bucket.hpp"
#include "routing/deployment.hpp"
#include "routing/lease_row.hpp"
#include "routing/samples.hpp"

namespace lovagetack::routing::testing {
namespace {

/// Requests of several accounts, at random times and at instances that are chosen unevenly.
class demand {
public:
    demand(deployment& deployment, std::uint64_t seed) : deployment_(deployment), random_(seed * 7919) {}

    /// Requests of the account per second, at the instances from `first` to `last`.
    struct stream {
        std::string account;
        double rate = 0;
        int first = 0;
        int last = 0;
        /// Distance between the instances; 3 for those of one data centre.
        int every = 1;
    };
    void set(std::vector<stream> streams) { streams_ = std::move(streams); }

    void run_for(std::chrono::milliseconds time) {
        constexpr auto period = 10ms;
        for (auto left = time; left > 0ms; left -= period) {
            for (const auto& stream : streams_) {
                for (double expected = stream.rate * 0.01; expected > 0; expected -= 1) {
                    if (fraction() < expected) {
                        deployment_.request(choose(stream), stream.account);
                    }
                }
            }
            deployment_.run_for(period);
        }
    }

private:
    double fraction() { return static_cast<double>(random_() % 100000) / 100000.0; }
    /// The square favours the first instances: callers are not spread evenly.
    int choose(const stream& stream) {
        const int count = (stream.last - stream.first) / stream.every + 1;
        return stream.first + stream.every * static_cast<int>(fraction() * fraction() * count);
    }

    deployment& deployment_;
    std::mt19937_64 random_;
    std::vector<stream> streams_;
};

std::string text_of(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += line + '\n';
    }
    return text;
}

/// One of the faults of the operators' platform, or the end of some.
void begin_fault(deployment& deployment, std::mt19937_64& random) {
    const auto below = [&random](std::uint64_t limit) { return static_cast<int>(random() % limit); };
    const int any = below(static_cast<std::uint64_t>(deployment.instances()));
    const int instance = below(2) == 0 && deployment.keeper() >= 0 ? deployment.keeper() : any;
    switch (below(12)) {
    case 0:
        deployment.kill(instance);
        break;
    case 1:
    case 2:
        deployment.restart(instance);
        break;
    case 3:
        deployment.shut_down(instance, 2600ms);
        break;
    case 4:
    case 5:
        deployment.freeze(instance, std::chrono::milliseconds(300 + below(8000)));
        break;
    case 6:
        deployment.set_isolated(instance, below(3) != 0);
        break;
    case 7:
        deployment.set_data_centre_cut(below(3), below(2) == 0);
        break;
    case 8:
        deployment.set_store_down(below(3) == 0);
        break;
    case 9:
        deployment.set_store_cut(instance, below(3) != 0);
        break;
    case 10:
        deployment.lose_messages(below(2) == 0 ? 0.3 : 0.02);
        break;
    default:
        deployment.restore_store(std::chrono::milliseconds(below(3000)));
        break;
    }
}

void play_faults(int instances, std::uint64_t seed) {
    deployment deployment(instances, 3, seed);
    std::mt19937_64 random(seed * 104729);
    deployment.set_accounts({{"large", {90, 20}}, {"small", {4, 4}}, {"hot", {30, 3}}});
    demand demand(deployment, seed);
    const int last = instances - 1;
    demand.set({{"large", 200, 0, last}, {"small", 6, 0, last}, {"hot", 90, 0, last}});
    demand.run_for(3s);
    for (int fault = 0; fault < 20; ++fault) {
        begin_fault(deployment, random);
        if (random() % 8 == 0) {
            // Lowered limits are to hold from the next window on, so they are only raised here.
            deployment.set_accounts({{"small", {4 + static_cast<double>(fault) / 10, 4}}});
        }
        // Some faults last until roles have other holders.
        demand.run_for(std::chrono::milliseconds(100 + random() % (random() % 3 == 0 ? 18000 : 3000)));
    }
    INFO("seed " << seed << ", instances " << instances << '\n' << text_of(deployment.violations()));
    CHECK(deployment.violations().empty());
    CHECK(deployment.account("large").served > 0);
}

} // namespace

TEST_CASE("a token bucket issues its depth at once and then its rate") {
    const base::boot_time start(100s);
    token_bucket bucket(start);
    CHECK(bucket.take(start, 2, 5, 3) == 0);
    CHECK(bucket.wait(2) == 500ms);
    CHECK(bucket.take(start + 1s, 2, 5, 9) == 2);
    CHECK(bucket.take(start + 60s, 2, 5, 9) == 5);
    // A lowered depth is in force at once, and a clock that stands still issues nothing.
    CHECK(bucket.take(start + 120s, 2, 1, 9) == 1);
    CHECK(bucket.take(start + 120s, 2, 5, 9) == 0);
}

// Guards against tokens of two counters for one slice, which would add up.
TEST_CASE("a counter issues tokens only while it is permitted, and starts empty") {
    state state({model::instance_id("one"), model::data_centre_id("north"), 5}, 1);
    const model::client_account_id name("acme");
    accounts::directory::builder builder;
    builder.add({name, std::nullopt, {10, 20}}, {});
    state.configuration.accounts = builder.build().value();
    base::boot_time now(100s);
    counter_roles message{model::instance_id("two"), 9, 1, 2, {{1, group_of(name), state.self.instance, 5}}, 0, {}, {}};
    const auto receive = [&] { (void)reduce(state, now, allowance_message_received{message}); };
    const auto issue = [&](std::uint32_t count) {
        step step{state, now, {}};
        return issue_tokens(step, 1, name, count);
    };
    receive();
    CHECK_FALSE(issue(1).counts);
    message.receiver_incarnation = 5;
    message.reported_at = now;
    message.valid_for = counter_permit;
    receive();
    CHECK(issue(1).counts);
    CHECK(issue(1).granted == 0);
    CHECK(issue(1).wait == 200ms);
    now += 5s;
    CHECK(issue(99).granted == 11);
    now += 2s;
    CHECK_FALSE(issue(1).counts);
    message.reported_at = now;
    receive();
    CHECK(issue(1).granted == 0);

    SECTION("a permit for an earlier run does not count") {
        now += counter_permit + 1ms;
        message.reported_at = now;
        message.receiver_incarnation = 4;
        receive();
        CHECK_FALSE(issue(1).counts);
    }
    SECTION("orders of an earlier keeper are ignored") {
        now += counter_permit + 1ms;
        message.term = 8;
        message.reported_at = now;
        receive();
        CHECK_FALSE(issue(1).counts);
    }
    SECTION("a role that the keeper takes away is given up") {
        message.sequence = 2;
        message.roles.front().holder = model::instance_id("three");
        receive();
        CHECK_FALSE(issue(1).counts);
    }
}

// Guards against tokens that are saved up: the bound allows for those of 0.4 s only.
TEST_CASE("tokens that come late or are not used in time admit no request") {
    state state({model::instance_id("one"), model::data_centre_id("north"), 5}, 1);
    const model::client_account_id name("acme");
    base::boot_time now(100s);
    configuration configuration;
    configuration.version = 1;
    service_settings service;
    service.name = account_service;
    configuration.services[account_service] = service;
    configuration.routes = {route_to("/", request_kind::idempotent, account_service)};
    accounts::directory::builder builder;
    builder.add({name, std::nullopt, {10, 20}}, {accounts::credential_of("key")});
    configuration.accounts = builder.build().value();
    (void)reduce(state, now, configuration_updated{configuration});
    auto server = server_of("book-0", account_service);
    server.slots = 100;
    (void)reduce(state, now, backend_server_updated{server});
    const counter_role role{0, group_of(name), model::instance_id("two"), 7};
    (void)reduce(state, now, allowance_message_received{counter_roles{role.holder, 9, 1, 1, {role}, 0, {}, {}}});
    exchange_id last = 0;
    std::uint64_t ask = 0;
    std::size_t sent = 0;
    std::vector<int> statuses;
    const auto process = [&](const event& event) {
        for (const auto& effect : reduce(state, now, event)) {
            if (const auto* const message = std::get_if<send_allowance_message>(&effect)) {
                ask = std::get<token_request>(message->message).ask;
            } else if (const auto* const answer = std::get_if<answer_caller>(&effect)) {
                statuses.push_back(answer->status);
                CHECK(answer->retry_after > 0ms);
            }
            sent += std::holds_alternative<send_request>(effect) ? 1 : 0;
        }
    };
    const auto request = [&] {
        request_arrived event;
        event.exchange = ++last;
        event.host = "host";
        event.path = "/";
        event.arrived = now;
        event.credential = accounts::credential_of("key");
        process(event);
    };
    const auto answer = [&](std::uint32_t granted, std::chrono::milliseconds wait) {
        process(allowance_message_received{token_answer{ask, 5, true, granted, wait}});
    };
    request();
    CHECK(sent == 0);

    SECTION("tokens that come in time admit requests until 0.4 s after they were asked for") {
        answer(2, 0ms);
        CHECK(sent == 1);
        now += token_life + 1ms;
        request();
        CHECK(sent == 1);
        answer(1, 0ms);
        CHECK(sent == 2);
    }
    SECTION("the token of a request that was refused without being sent serves the next one") {
        (void)reduce(state, now, backend_server_removed{server.id});
        answer(1, 0ms);
        CHECK(statuses == std::vector{503});
        (void)reduce(state, now, backend_server_updated{server});
        request();
        CHECK(sent == 1);
        request();
        CHECK(sent == 1);
    }
    SECTION("tokens that come late are not used") {
        now += token_life + 1ms;
        answer(2, 0ms);
        CHECK(sent == 0);
    }
    SECTION("an answer to another run of the instance is not used") {
        process(allowance_message_received{token_answer{ask, 4, true, 1, {}}});
        CHECK(sent == 0);
    }
    SECTION("without tokens the request is refused, and the next ones without a message") {
        answer(0, 800ms);
        CHECK(statuses == std::vector{429});
        ask = 0;
        now += 790ms;
        request();
        CHECK(statuses == std::vector{429, 429});
        CHECK(ask == 0);
        now += 20ms;
        request();
        CHECK(ask != 0);
        CHECK(statuses.size() == 2);
    }
    SECTION("without an answer the request is refused in time") {
        for (auto left = longest_allowance_wait; left > 0ms; left -= 10ms) {
            CHECK(statuses.empty());
            now += 10ms;
            process(ticked{});
        }
        CHECK(statuses == std::vector{503});
        CHECK(state.refused.at(base::result_code::request_allowance_unknown) == 1);
    }
}

// Guards against a second counter beside one that is cut off, and against a permit without an end.
TEST_CASE("an allowance holds on both sides of a long cut") {
    deployment deployment(12, 3, 14);
    deployment.set_accounts({{"acme", {90, 10}}});
    demand demand(deployment, 6);
    demand.run_for(5s);
    demand.set({{"acme", 300, 0, 11}});
    demand.run_for(5s);
    SECTION("of a data centre") {
        deployment.set_data_centre_cut(GENERATE(0, 1, 2), true);
    }
    SECTION("of the store") {
        deployment.set_store_down(true);
    }
    SECTION("of the keeper") {
        deployment.set_isolated(deployment.keeper(), true);
    }
    demand.run_for(40s);
    CHECK(deployment.violations().empty());
    deployment.set_store_down(false);
    for (int number = 0; number < 12; ++number) {
        deployment.set_isolated(number, false);
        deployment.set_data_centre_cut(number % 3, false);
    }
    demand.run_for(12s);
    const auto before = deployment.account("acme").served;
    demand.run_for(10s);
    CHECK(static_cast<double>(deployment.account("acme").served - before) >= 0.9 * 90 * 10);
    CHECK(deployment.violations().empty());
}

// Guards against a change of rows and traffic where no account has an allowance.
TEST_CASE("a deployment without allowances sends no messages about them and keeps its lease's row") {
    deployment deployment(6, 3, 4);
    deployment.set_accounts({{"acme", {}}});
    demand demand(deployment, 1);
    demand.set({{"acme", 50, 0, 5}});
    demand.run_for(5s);
    CHECK(deployment.allowance_messages() == 0);
    CHECK(deployment.account("acme").over_allowance == 0);
    CHECK(deployment.account("acme").served > 200);
    CHECK(lease_text(deployment.lease(), false).find("counters") == std::string::npos);
}

// The operators' loss of worth for a request that is refused within its allowance.
TEST_CASE("fewer than one request in a hundred is refused at the usual demand") {
    const int instances = GENERATE(6, 62);
    deployment deployment(instances, 3, 11);
    std::map<std::string, accounts::allowance> accounts;
    std::vector<demand::stream> streams;
    for (int number = 0; number < 12; ++number) {
        const double usual = 3.0 + 4.0 * number;
        const auto name = "account-" + std::to_string(number);
        accounts[name] = {usual * 1.6, usual};
        streams.push_back({name, usual, 0, instances - 1});
    }
    deployment.set_accounts(accounts);
    demand demand(deployment, 3);
    demand.run_for(10s);
    demand.set(streams);
    demand.run_for(20s);
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    for (const auto& [name, allowance] : accounts) {
        served += deployment.account(name).served;
        refused += deployment.account(name).over_allowance + deployment.account(name).refused_otherwise;
    }
    INFO(served << " served, " << refused << " refused");
    CHECK(served > 4000);
    CHECK(refused * 100 < served);
    CHECK(deployment.violations().empty());
}

// Guards against shares that stay where the demand was.
TEST_CASE("an allowance is used when all demand moves to one data centre") {
    deployment deployment(12, 3, 12);
    deployment.set_accounts({{"acme", {30, 10}}});
    demand demand(deployment, 4);
    demand.set({{"acme", 45, 0, 9, 3}});
    demand.run_for(10s);
    demand.set({{"acme", 45, 1, 10, 3}});
    demand.run_for(1s);
    const auto before = deployment.account("acme").served;
    demand.run_for(10s);
    const auto used = static_cast<double>(deployment.account("acme").served - before);
    CHECK(used >= 0.9 * 30 * 10);
    CHECK(deployment.violations().empty());
}

// Guards against an account that takes what belongs to others.
TEST_CASE("an account that sends many times its usual does not lower what the others get") {
    deployment deployment(12, 3, 13);
    deployment.set_accounts({{"hot", {16, 10}}, {"calm", {16, 10}}});
    demand demand(deployment, 5);
    demand.run_for(10s);
    demand.set({{"hot", 75, 0, 11}, {"calm", 10, 0, 11}});
    demand.run_for(20s);
    const auto& calm = deployment.account("calm");
    INFO(calm.served << " served, " << calm.over_allowance << " over the allowance, " << calm.refused_otherwise);
    CHECK((calm.over_allowance + calm.refused_otherwise) * 100 < calm.served);
    CHECK(deployment.account("hot").over_allowance > 500);
    CHECK(deployment.violations().empty());
}

TEST_CASE("allowances hold under faults that overlap") {
    const int seed = GENERATE(range(1, 4));
    play_faults(20, static_cast<std::uint64_t>(seed));
}

TEST_CASE("allowances hold under faults of a large deployment") {
    play_faults(60, 1);
}

TEST_CASE("allowances hold under many sequences of faults", "[.allowance_seeds]") {
    const int seed = GENERATE(range(10, 60));
    play_faults(20, static_cast<std::uint64_t>(seed));
}

} // namespace lovagetack::routing::testing
