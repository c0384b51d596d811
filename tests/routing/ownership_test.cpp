#include <catch2/catch.hpp>

#include "routing/deployment.hpp"

namespace lovagetack::routing::testing {
namespace {

/// Seeds of the random faults. Under the sanitizers a seed takes many times as long.
#ifdef __SANITIZE_ADDRESS__
constexpr int last_seed = 8;
constexpr int last_large_seed = 2;
#else
constexpr int last_seed = 240;
constexpr int last_large_seed = 60;
#endif

void require_single_ownership(const deployment& deployment) {
    for (const auto& text : deployment.violations()) {
        UNSCOPED_INFO(text);
    }
    REQUIRE(deployment.violations().empty());
}

/// Fourteen random faults, then a complete restart of instances and servers.
void check_random_faults(deployment& deployment, std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919);
    deployment.run_for(4s);
    for (int fault = 0; fault < 14; ++fault) {
        const int instance = static_cast<int>(random() % static_cast<unsigned>(deployment.instances()));
        const int server = static_cast<int>(random() % static_cast<unsigned>(deployment.servers()));
        const int target = random() % 2 == 0 && deployment.keeper() >= 0 ? deployment.keeper() : instance;
        switch (random() % (deployment.instances() > 16 ? 11 : 10)) {
        case 0:
            deployment.kill(target);
            break;
        case 1:
            deployment.restart(target);
            break;
        case 2:
            deployment.freeze(target, std::chrono::milliseconds(500 + random() % 8000));
            break;
        case 3:
            deployment.set_store_cut(target, random() % 3 != 0);
            break;
        case 4:
            deployment.set_store_down(random() % 2 == 0);
            break;
        case 5:
            deployment.lose_answers(random() % 2 == 0 ? 0.4 : 0.0, random() % 2 == 0);
            break;
        case 6:
            deployment.delay_grants(random() % 2 == 0 ? 0.4 : 0.0);
            break;
        case 7:
            deployment.drain_server(server);
            break;
        case 8:
            deployment.crash_server(server);
            break;
        case 9:
            deployment.restart_server(server);
            break;
        case 10:
            deployment.lose_messages(random() % 2 == 0 ? 0.3 : 0.0);
            break;
        }
        for (int request = 0; request < 60; ++request) {
            deployment.request_key(30000 + random() % 300);
        }
        deployment.run_for(std::chrono::milliseconds(50 + random() % 2500));
    }
    require_single_ownership(deployment);
    deployment.lose_answers(0, false);
    deployment.delay_grants(0);
    deployment.lose_messages(0);
    deployment.set_store_down(false);
    for (int number = 0; number < deployment.instances(); ++number) {
        deployment.restart(number);
        deployment.set_store_cut(number, false);
    }
    for (int number = 0; number < deployment.servers(); ++number) {
        deployment.crash_server(number);
    }
    deployment.run_for(200ms);
    for (int number = 0; number < deployment.servers(); ++number) {
        deployment.restart_server(number);
    }
    deployment.run_for(16s);
    require_single_ownership(deployment);
    REQUIRE(deployment.held_share() == 1.0);
}

} // namespace

TEST_CASE("every key gets one owner after the start") {
    deployment deployment(9, 8, 1);
    deployment.run_for(3s);
    REQUIRE(deployment.keeper() >= 0);
    REQUIRE(deployment.held_share() == 1.0);
    REQUIRE(deployment.holders(0).size() == 1);
    require_single_ownership(deployment);
}

TEST_CASE("keys of a crashed server are served again after its grant has expired") {
    deployment deployment(9, 8, 2);
    deployment.run_for(5s);
    deployment.crash_server(3);
    deployment.run_for(4500ms);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("keys of a leaving server move while it still serves") {
    deployment deployment(9, 8, 3);
    deployment.run_for(5s);
    deployment.drain_server(3);
    deployment.run_for(600ms);
    REQUIRE(deployment.held_share() == 1.0);
    for (const auto& range : deployment.assignment().ranges) {
        REQUIRE(range.owner != model::backend_server_id("server-3"));
    }
    require_single_ownership(deployment);
}

TEST_CASE("grants do not lapse when the keeper is lost") {
    deployment deployment(9, 8, 4);
    deployment.run_for(5s);
    deployment.kill(deployment.keeper());
    double least = 1.0;
    for (int step = 0; step < 40; ++step) {
        deployment.run_for(100ms);
        least = std::min(least, deployment.held_share());
    }
    REQUIRE(deployment.keeper() >= 0);
    REQUIRE(deployment.held_share() == 1.0);
    // Grants of some keys may expire briefly between the last renewal and the first one of the new keeper.
    REQUIRE(least > 0.0);
    require_single_ownership(deployment);
}

TEST_CASE("a keeper does not act on outdated state after a pause") {
    deployment deployment(9, 8, 5);
    deployment.run_for(5s);
    const int frozen = deployment.keeper();
    deployment.freeze(frozen, 6s);
    deployment.run_for(4s);
    REQUIRE(deployment.keeper() != frozen);
    deployment.crash_server(1);
    deployment.run_for(20s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("keys stay served while the store is down") {
    deployment deployment(9, 8, 6);
    deployment.run_for(5s);
    deployment.set_store_down(true);
    for (int step = 0; step < 80; ++step) {
        deployment.run_for(100ms);
        REQUIRE(deployment.held_share() == 1.0);
    }
    deployment.set_store_down(false);
    deployment.run_for(3s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("a keeper that is cut off from the store is replaced, and keys stay served") {
    deployment deployment(9, 8, 7);
    deployment.run_for(5s);
    const int cut_off = deployment.keeper();
    deployment.set_store_cut(cut_off, true);
    deployment.run_for(4s);
    REQUIRE(deployment.held_share() == 1.0);
    deployment.drain_server(2);
    deployment.run_for(8s);
    deployment.set_store_cut(cut_off, false);
    deployment.run_for(5s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("keys of a lost server do not wait for a former keeper that has stopped") {
    deployment deployment(9, 8, 11);
    deployment.run_for(5s);
    deployment.set_store_cut(deployment.keeper(), true);
    deployment.run_for(3500ms);
    deployment.crash_server(5);
    // The loss is detected within 1.6 s, and the last grant expires 2.6 s after it was sent.
    deployment.run_for(5s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("a server that starts again under its id gets keys with a higher token") {
    const auto seed = GENERATE(range(8, 20));
    INFO("seed " << seed);
    deployment deployment(9, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    deployment.crash_server(4);
    deployment.run_for(300ms);
    deployment.restart_server(4);
    // A renewal whose answer was lost in the crash may still arrive, so its hold time has to pass first.
    deployment.run_for(3s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("load on neighbouring keys is divided among servers") {
    deployment deployment(9, 16, 9);
    deployment.run_for(5s);
    std::mt19937 random(7);
    for (int step = 0; step < 60; ++step) {
        for (int request = 0; request < 7; ++request) {
            // About 40% of the requests are for 200 neighbouring keys.
            deployment.request_key(request < 3 ? 20000 + random() % 200 : random() % key_count);
        }
        deployment.run_for(50ms);
    }
    deployment.run_for(500ms);
    std::set<model::backend_server_id> owners;
    for (std::uint32_t key = 20000; key < 20200; ++key) {
        owners.insert(find_range(deployment.assignment(), key)->owner);
    }
    REQUIRE(owners.size() >= 4);
    require_single_ownership(deployment);
}

TEST_CASE("a finished move is written once") {
    // Guards against an assignment write with every renewal of a moved range.
    deployment deployment(3, 8, 10);
    deployment.run_for(5s);
    deployment.drain_server(2);
    deployment.run_for(1s);
    const auto before = deployment.writes();
    deployment.run_for(7s);
    // Only renewals of the lease, one per lease_renewal.
    REQUIRE(deployment.writes() - before <= 11);
}

TEST_CASE("ownership stays single through random faults") {
    const auto seed = GENERATE(range(1, last_seed + 1));
    INFO("seed " << seed);
    deployment deployment(7, 9, static_cast<std::uint64_t>(seed));
    check_random_faults(deployment, static_cast<std::uint64_t>(seed));
}

// The keeper of a large deployment leaves renewals to other instances: their orders and reports get lost or late, and
// they freeze, restart and lose their keeper.
TEST_CASE("ownership stays single through random faults while other instances renew the grants") {
    const auto seed = GENERATE(range(1, last_large_seed + 1));
    INFO("seed " << seed);
    deployment deployment(20, 40, static_cast<std::uint64_t>(seed));
    check_random_faults(deployment, static_cast<std::uint64_t>(seed));
}

TEST_CASE("the keeper of a large deployment leaves the renewals to other instances") {
    deployment deployment(24, 64, 30);
    deployment.run_for(5s);
    REQUIRE(deployment.held_share() == 1.0);
    const int keeper = deployment.keeper();
    std::vector<std::uint64_t> before;
    for (int instance = 0; instance < deployment.instances(); ++instance) {
        before.push_back(deployment.grants_sent_by(instance));
    }
    deployment.run_for(6s);
    const auto sent = [&](int instance) {
        return deployment.grants_sent_by(instance) - before[static_cast<std::size_t>(instance)];
    };
    REQUIRE(sent(keeper) == 0);
    std::uint64_t all = 0;
    for (int instance = 0; instance < deployment.instances(); ++instance) {
        // Each renewer has at most owners_per_renewer grants, renewed each renewal_period, and a few ticks of delay.
        REQUIRE(sent(instance) <= owners_per_renewer * 10);
        all += sent(instance);
    }
    REQUIRE(all >= std::uint64_t(64) * 9);
    require_single_ownership(deployment);
}

TEST_CASE("no key lapses when a renewer is lost, and its keys move as soon as its permit has ended") {
    deployment deployment(24, 48, 31);
    deployment.run_for(5s);
    const int keeper = deployment.keeper();
    const auto& delegates = deployment.state_of(keeper).keeper.delegates;
    REQUIRE(delegates.size() >= 3);
    const auto lost = delegates.begin()->first;
    for (int instance = 0; instance < deployment.instances(); ++instance) {
        if (deployment.state_of(instance).self.instance == lost) {
            deployment.kill(instance);
        }
    }
    for (int step = 0; step < 50; ++step) {
        deployment.run_for(100ms);
        REQUIRE(deployment.held_share() == 1.0);
    }
    require_single_ownership(deployment);
}

TEST_CASE("a frozen renewer does not renew after its permit has ended") {
    deployment deployment(24, 48, 32);
    deployment.run_for(5s);
    const int keeper = deployment.keeper();
    const auto frozen = deployment.state_of(keeper).keeper.delegates.begin()->first;
    for (int instance = 0; instance < deployment.instances(); ++instance) {
        if (deployment.state_of(instance).self.instance == frozen) {
            deployment.freeze(instance, 9s);
        }
    }
    deployment.run_for(1500ms);
    for (int server = 0; server < deployment.servers(); server += 3) {
        deployment.drain_server(server);
    }
    deployment.run_for(12s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

} // namespace lovagetack::routing::testing
