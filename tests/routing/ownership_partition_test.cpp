#include <catch2/catch.hpp>

#include "routing/deployment.hpp"

namespace lovagetack::routing::testing {
namespace {

/// Seeds of the random faults, and the end of the seeds of a sequence. Under the sanitizers a seed takes many times as
/// long.
#ifdef __SANITIZE_ADDRESS__
constexpr int last_seed = 3;
constexpr int last_large_seed = 1;
constexpr int last_late_write_seed = 3;
constexpr int end_of_seeds(int /*usual*/) {
    return 2;
}
#else
constexpr int last_seed = 240;
constexpr int last_large_seed = 60;
constexpr int last_late_write_seed = 300;
constexpr int end_of_seeds(int usual) {
    return usual;
}
#endif

/// Faults that begin and end independently, so that partitions, shutdowns and late grants overlap.
class overlapping_faults {
public:
    overlapping_faults(deployment& deployment, std::uint64_t seed, bool restores_store = false)
        : deployment_(deployment), random_(seed * 104729), kinds_(restores_store ? 17 : 14) {}

    void play() {
        deployment_.run_for(4s);
        for (int fault = 0; fault < 24; ++fault) {
            begin_one();
            for (int request = 0; request < 60; ++request) {
                deployment_.request_key(30000 + below(300));
            }
            deployment_.run_for(std::chrono::milliseconds(50 + below(1500)));
        }
    }

private:
    std::uint32_t below(std::uint32_t limit) { return static_cast<std::uint32_t>(random_() % limit); }
    bool one_in(std::uint32_t count) { return below(count) == 0; }
    /// The keeper as often as any instance.
    int some_instance() {
        const int instance = static_cast<int>(below(static_cast<std::uint32_t>(deployment_.instances())));
        return one_in(2) && deployment_.keeper() >= 0 ? deployment_.keeper() : instance;
    }
    int some_server() { return static_cast<int>(below(static_cast<std::uint32_t>(deployment_.servers()))); }

    void begin_one() {
        const int instance = some_instance();
        switch (below(kinds_)) {
        case 0:
            deployment_.kill(instance);
            break;
        case 1:
        case 2:
            deployment_.restart(instance);
            break;
        case 3:
            deployment_.shut_down(instance, 2600ms);
            break;
        case 4:
            deployment_.freeze(instance, std::chrono::milliseconds(500 + below(4000)));
            break;
        case 5:
            deployment_.set_store_cut(instance, !one_in(3));
            break;
        case 6:
            deployment_.set_isolated(instance, !one_in(3));
            break;
        case 7:
            deployment_.set_data_centre_cut(static_cast<int>(below(3)), !one_in(2));
            break;
        case 8:
            deployment_.set_store_down(one_in(3));
            break;
        case 9:
            deployment_.lose_answers(one_in(2) ? 0.3 : 0.0, one_in(2));
            break;
        case 10:
            deployment_.delay_grants(one_in(2) ? 0.3 : 0.0, 450ms);
            deployment_.delay_connections(one_in(2) ? 0.3 : 0.0);
            break;
        case 11:
            deployment_.drain_server(some_server());
            break;
        case 12:
            deployment_.crash_server(some_server());
            break;
        case 13:
            deployment_.restart_server(some_server());
            break;
        default:
            deployment_.set_store_down(false);
            deployment_.restore_store(std::chrono::milliseconds(below(12000)));
            break;
        }
    }

    deployment& deployment_;
    std::mt19937_64 random_;
    std::uint32_t kinds_;
};

void require_single_ownership(const deployment& deployment) {
    for (const auto& text : deployment.violations()) {
        UNSCOPED_INFO(text);
    }
    REQUIRE(deployment.violations().empty());
}

/// A keeper that is cut off with its data centre goes on renewing grants there while its successor ends.
void check_cut_off_holder(std::uint64_t seed, void (*end_successor)(deployment&, int)) {
    INFO("seed " << seed);
    deployment deployment(9, 8, seed);
    deployment.run_for(5s);
    const int cut_off = deployment.keeper();
    deployment.set_data_centre_cut(cut_off % 3, true);
    const auto is_successor = [&](int instance) {
        return instance != cut_off && deployment.state_of(instance).keeper.phase == keeper_phase::holding;
    };
    int successor = 0;
    for (int step = 0; !is_successor(successor); ++step) {
        REQUIRE(step < deployment.instances() * 50);
        successor = step % deployment.instances();
        deployment.run_for(10ms);
    }
    end_successor(deployment, successor);
    deployment.run_for(14s);
    require_single_ownership(deployment);
}

} // namespace

TEST_CASE("a keeper that replaces a restarted one waits for the renewals of the one before it") {
    const auto seed = GENERATE(range(1, end_of_seeds(20)));
    check_cut_off_holder(static_cast<std::uint64_t>(seed),
                         [](deployment& deployment, int successor) { deployment.restart(successor); });
}

TEST_CASE("a keeper that replaces a stopped one waits for the renewals of the one before it") {
    const auto seed = GENERATE(range(1, end_of_seeds(20)));
    check_cut_off_holder(static_cast<std::uint64_t>(seed),
                         [](deployment& deployment, int successor) { deployment.shut_down(successor, 2600ms); });
}

TEST_CASE("keys move after the hold time of a grant that waited for its connection") {
    const int instances = GENERATE(9, 24);
    const auto seed = GENERATE(range(1, end_of_seeds(20)));
    INFO("seed " << seed);
    deployment deployment(instances, 12, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    deployment.delay_connections(1.0);
    deployment.run_for(2s);
    const int data_centre = (deployment.keeper() + 1) % 3;
    for (int server = data_centre; server < deployment.servers(); server += 3) {
        deployment.drain_server(server);
    }
    // The releases do not reach the leaving servers, so their last grants have to end.
    deployment.run_for(6ms);
    deployment.set_data_centre_cut(data_centre, true);
    deployment.run_for(12s);
    require_single_ownership(deployment);
}

TEST_CASE("a write that is carried out late does not replace an owner that was granted its keys meanwhile") {
    const auto seed = GENERATE(range(1, last_late_write_seed + 1));
    INFO("seed " << seed);
    deployment deployment(9, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    deployment.crash_server(3);
    const auto new_owner = [&]() -> const key_range* {
        for (const auto& range : deployment.assignment().ranges) {
            if (range.leaving == model::backend_server_id("server-3")) {
                return &range;
            }
        }
        return nullptr;
    };
    for (int step = 0; new_owner() == nullptr; ++step) {
        REQUIRE(step < 400);
        deployment.run_for(10ms);
    }
    const auto data_centre = deployment.state_of(0).servers.at(new_owner()->owner).registration.data_centre.value();
    deployment.run_for(std::chrono::milliseconds(seed * 37 % 1600));
    deployment.lose_answers(1.0, true);
    deployment.evacuate(data_centre, true);
    deployment.run_for(100ms);
    deployment.evacuate(data_centre, false);
    deployment.run_for(seed % 2 == 0 ? 900ms : 2500ms);
    deployment.lose_answers(0, false);
    deployment.run_for(8s);
    require_single_ownership(deployment);
}

/// Makes all instances forget the record of one.
void forget_instance(deployment& deployment, int gone) {
    const auto id = deployment.state_of(gone).self.instance;
    for (int number = 0; number < deployment.instances(); ++number) {
        deployment.state_of(number).instances.erase(id);
    }
}

TEST_CASE("renewers get orders only once the lease tells the next keeper of them") {
    deployment deployment(17, 40, 1);
    deployment.kill(16);
    deployment.run_for(45ms);
    forget_instance(deployment, 16);
    deployment.run_for(5s);
    const auto& keeper = deployment.state_of(deployment.keeper()).keeper;
    REQUIRE(keeper.delegates.empty());
    deployment.restart(16);
    for (int step = 0; step < 200; ++step) {
        deployment.run_for(10ms);
        REQUIRE((keeper.delegates.empty() || keeper.lease.delegates));
    }
    REQUIRE_FALSE(keeper.delegates.empty());
}

TEST_CASE("the keeper of a deployment that becomes small renews the grants itself") {
    deployment deployment(17, 40, 2);
    deployment.run_for(5s);
    REQUIRE_FALSE(deployment.state_of(deployment.keeper()).keeper.delegates.empty());
    const int gone = deployment.keeper() == 0 ? 1 : 0;
    deployment.kill(gone);
    forget_instance(deployment, gone);
    for (int step = 0; step < 150; ++step) {
        deployment.run_for(100ms);
        REQUIRE(deployment.held_share() == 1.0);
    }
    require_single_ownership(deployment);
}

TEST_CASE("ownership stays single through partitions, shutdowns and late grants") {
    const auto seed = GENERATE(range(1, last_seed + 1));
    INFO("seed " << seed);
    deployment deployment(7, 9, static_cast<std::uint64_t>(seed));
    overlapping_faults(deployment, static_cast<std::uint64_t>(seed)).play();
    require_single_ownership(deployment);
}

TEST_CASE("ownership stays single through partitions, shutdowns and late grants of renewers") {
    const auto seed = GENERATE(range(1, last_large_seed + 1));
    INFO("seed " << seed);
    deployment deployment(20, 40, static_cast<std::uint64_t>(seed));
    overlapping_faults(deployment, static_cast<std::uint64_t>(seed)).play();
    require_single_ownership(deployment);
}

TEST_CASE("ownership stays single when the store comes back from a copy") {
    const auto seed = GENERATE(range(1, last_seed + 1));
    INFO("seed " << seed);
    deployment deployment(7, 9, static_cast<std::uint64_t>(seed));
    overlapping_faults(deployment, static_cast<std::uint64_t>(seed), true).play();
    require_single_ownership(deployment);
}

TEST_CASE("ownership stays single when the store of a large deployment comes back from a copy") {
    const auto seed = GENERATE(range(1, last_large_seed + 1));
    INFO("seed " << seed);
    deployment deployment(20, 40, static_cast<std::uint64_t>(seed));
    overlapping_faults(deployment, static_cast<std::uint64_t>(seed), true).play();
    require_single_ownership(deployment);
}

TEST_CASE("the keeper goes on when the store comes back from a copy that does not have its lease") {
    const int instances = GENERATE(9, 24);
    const auto seed = GENERATE(range(1, end_of_seeds(12)));
    INFO("seed " << seed);
    deployment deployment(instances, 12, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    deployment.kill(deployment.keeper());
    deployment.run_for(6s);
    const int keeper = deployment.keeper();
    const auto assignment = deployment.assignment();
    deployment.set_store_down(true);
    deployment.run_for(2s);
    deployment.set_store_down(false);
    deployment.restore_store(9s);
    for (int step = 0; step < 60; ++step) {
        deployment.run_for(100ms);
        REQUIRE(deployment.held_share() == 1.0);
    }
    REQUIRE(deployment.keeper() == keeper);
    REQUIRE(deployment.assignment().ranges == assignment.ranges);
    deployment.run_for(12s);
    deployment.drain_server(2);
    deployment.run_for(2s);
    REQUIRE(deployment.held_share() == 1.0);
    for (const auto& range : deployment.assignment().ranges) {
        REQUIRE(range.owner != model::backend_server_id("server-2"));
    }
    require_single_ownership(deployment);
}

TEST_CASE("an instance that starts after a restoration leaves the lease to the keeper before it") {
    const auto seed = GENERATE(range(1, end_of_seeds(20)));
    INFO("seed " << seed);
    deployment deployment(9, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    const int keeper = deployment.keeper();
    const int started = keeper == 0 ? 1 : 0;
    deployment.kill(started);
    deployment.set_store_down(true);
    deployment.run_for(1500ms);
    deployment.set_store_down(false);
    deployment.restore_store(3s);
    deployment.restart(started);
    for (int step = 0; step < 40; ++step) {
        deployment.run_for(100ms);
        REQUIRE(deployment.held_share() == 1.0);
    }
    REQUIRE(deployment.keeper() == keeper);
    require_single_ownership(deployment);
}

TEST_CASE("keys are served again after the keeper is lost together with what the store had") {
    const auto seed = GENERATE(range(1, end_of_seeds(12)));
    INFO("seed " << seed);
    deployment deployment(9, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    deployment.drain_server(3);
    deployment.run_for(2s);
    deployment.kill(deployment.keeper());
    deployment.restore_store(4s);
    deployment.run_for(18s);
    REQUIRE(deployment.held_share() == 1.0);
    require_single_ownership(deployment);
}

TEST_CASE("a keeper that began without knowing all grants does not rely on another one after a second restoration") {
    const auto seed = GENERATE(range(1, end_of_seeds(9)));
    INFO("seed " << seed);
    deployment deployment(3, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    const int keeper = deployment.keeper();
    const int successor = (keeper + 1) % 3;
    deployment.kill(successor);
    deployment.kill((keeper + 2) % 3);
    deployment.run_for(200ms);
    deployment.evacuate("north", true);
    deployment.run_for(7s);
    deployment.evacuate("north", false);
    deployment.run_for(100ms);
    // The successor knows only the copy, from before the evacuation moved keys.
    deployment.set_isolated(keeper, true);
    deployment.restore_store(8s);
    deployment.restart(successor);
    deployment.run_for(6s);
    // From a copy without the successor's lease, so that the first keeper goes on.
    deployment.restore_store(7s);
    deployment.set_isolated(successor, true);
    deployment.set_isolated(keeper, false);
    deployment.run_for(20s);
    require_single_ownership(deployment);
}

TEST_CASE("a late write from before a restoration does not replace the assignment") {
    const auto seed = GENERATE(range(1, end_of_seeds(41)));
    INFO("seed " << seed);
    deployment deployment(3, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    const int keeper = deployment.keeper();
    deployment.kill((keeper + 1) % 3);
    deployment.kill((keeper + 2) % 3);
    deployment.run_for(200ms);
    deployment.lose_answers(1.0, true);
    deployment.evacuate("west", true);
    deployment.run_for(300ms);
    deployment.lose_answers(0, false);
    deployment.evacuate("west", false);
    deployment.run_for(1300ms);
    deployment.restore_store(1500ms);
    deployment.run_for(200ms);
    deployment.evacuate("north", true);
    deployment.run_for(5s);
    deployment.evacuate("north", false);
    deployment.run_for(300ms);
    const auto known = deployment.state_of(keeper).services.at(keyed_service).assignment;
    REQUIRE(deployment.assignment().ranges == known.ranges);
    deployment.restart((keeper + 1) % 3);
    deployment.restart((keeper + 2) % 3);
    deployment.run_for(1s);
    deployment.set_isolated(keeper, true);
    deployment.run_for(12s);
    require_single_ownership(deployment);
}

TEST_CASE("keys stay served when an instance starts while the store is away") {
    const auto seed = GENERATE(range(1, end_of_seeds(21)));
    INFO("seed " << seed);
    deployment deployment(9, 8, static_cast<std::uint64_t>(seed));
    deployment.run_for(5s);
    const int started = (deployment.keeper() + 1) % 9;
    deployment.kill(started);
    deployment.run_for(1s);
    deployment.set_store_down(true);
    deployment.restart(started);
    deployment.run_for(std::chrono::milliseconds(500 + 137 * seed));
    deployment.set_store_down(false);
    deployment.restore_store(4s);
    for (int step = 0; step < 250; ++step) {
        deployment.run_for(100ms);
        REQUIRE(deployment.held_share() == 1.0);
    }
    require_single_ownership(deployment);
}

} // namespace lovagetack::routing::testing
