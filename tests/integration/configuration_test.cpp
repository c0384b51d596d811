#include <catch2/catch.hpp>

#include <algorithm>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

namespace {

constexpr int exit_conflict = 5;

std::int64_t version_in(const harness::command_result& pushed) {
    static const std::string label = "accepted version=";
    const auto found = pushed.output.find(label);
    return found == std::string::npos ? -1 : std::stoll(pushed.output.substr(found + label.size()));
}

void wait_for_version(const harness::cluster& cluster, std::int64_t version) {
    for (const auto& instance : cluster.instance_names()) {
        harness::wait_for([&] { return cluster.configuration_version(instance) >= version; },
                          instance + " to have version " + std::to_string(version));
    }
}

bool is_push(const stand_ins::transaction_record& transaction) {
    return transaction.applied &&
           std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [](const auto& write) { return write.table == "configuration" && write.key == "version"; });
}

std::size_t pushes_in(const std::vector<stand_ins::transaction_record>& history) {
    return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), is_push));
}

} // namespace

// Guards against a push that silently overwrites another operator's, and against an accepted version that reverts.
TEST_CASE("one of two racing pushes wins and stays in force", "[configuration]") {
    const auto cluster = harness::cluster_builder().build().value();
    const auto from = cluster->configuration_version(cluster->instance_names().front());
    auto one = cluster->start_push(cluster->base_file() + "# pushed by one\n", {"--from", std::to_string(from)});
    auto two = cluster->start_push(cluster->base_file() + "# pushed by two\n", {"--from", std::to_string(from)});
    harness::command_result first{one.wait(), one.log()};
    harness::command_result second{two.wait(), two.log()};
    if (first.status != 0) {
        std::swap(first, second);
    }
    INFO(first.output << second.output);
    REQUIRE(first.status == 0);
    CHECK(second.status == exit_conflict);
    CHECK(second.output.find("pushed by one") != std::string::npos);
    CHECK(second.output.find("pushed by two") != std::string::npos);
    const auto version = version_in(first);
    CHECK(version > from);
    wait_for_version(*cluster, version);

    for (const auto& instance : cluster->instance_names()) {
        cluster->instance(instance).terminate();
        CHECK(cluster->instance(instance).wait() == 0);
        cluster->start_instance(instance);
        cluster->wait_until_serving(instance);
        CHECK(cluster->configuration_version(instance) == version);
    }
    for (const auto& instance : cluster->instance_names()) {
        cluster->instance(instance).kill();
    }
    for (const auto& instance : cluster->instance_names()) {
        cluster->start_instance(instance);
    }
    cluster->wait_until_serving();
    for (const auto& instance : cluster->instance_names()) {
        CHECK(cluster->configuration_version(instance) == version);
    }
    CHECK(harness::faults_in({}, cluster->executions()) == "");
}

// Guards against a push whose lost answer makes it happen twice, or not although it was acknowledged.
TEST_CASE("a push whose answer is lost takes effect once", "[configuration]") {
    const auto cluster = harness::cluster_builder().build().value();
    const auto from = cluster->configuration_version(cluster->instance_names().front());
    const auto before = pushes_in(cluster->history());
    cluster->order_platform(R"({"mode":"lose-answers","count":20})");
    const auto pushed = cluster->push(cluster->base_file() + "# changed\n", {"--from", std::to_string(from)});
    INFO(pushed.output);
    const auto history = cluster->history();
    CHECK(pushes_in(history) == before + 1);
    CHECK(std::any_of(history.begin(), history.end(),
                      [](const auto& transaction) { return is_push(transaction) && transaction.answer_lost; }));
    cluster->order_platform(R"({"mode":"up"})");
    constexpr int exit_unconfirmed = 4;
    CHECK((pushed.status == 0 || pushed.status == exit_unconfirmed));
    wait_for_version(*cluster, from + 1);
    const auto shown = cluster->run({"config", "show", "--platform", cluster->platform_address()});
    CHECK(shown.output.find("# changed") != std::string::npos);
}
