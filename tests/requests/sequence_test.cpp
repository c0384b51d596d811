#include "fake_shell.hpp"

namespace lovagetack::requests::testing {
namespace {

// Guards against exceeded slots, a resent non-idempotent request and a wrong outcome "not run" (all checked by the fake
// shell after each event), a request that does not end exactly once, and state left over from finished requests.
TEST_CASE("invariants hold over long random sequences of events") {
    const auto seed = GENERATE(range(1, 9));
    CAPTURE(seed);
    fake_shell shell(static_cast<std::uint64_t>(seed));
    shell.run(20'000);
    shell.finish_all();

    CHECK(shell.requests > 4000);
    CHECK(shell.answered + shell.completed + shell.left == shell.requests);
    // Checks that the sequence reached retries, completed requests and a variety of errors.
    CHECK(shell.completed > shell.requests / 10);
    CHECK(shell.started > shell.completed);
    CHECK(shell.codes.size() >= 8);

    const auto& state = shell.tested.state;
    CHECK(requests_in_flight(state) == 0);
    CHECK(state.timers.empty());
    CHECK(state.held_slots.empty());
    CHECK(state.queued_servers.empty());
    CHECK(state.claims.rows.empty());
    CHECK(state.claims.waiting.empty());
    CHECK(state.claims.changes.empty());
    CHECK(state.claims.transactions.empty());
    CHECK(state.claims.reads.empty());
    CHECK(state.claims.deletions.empty());
    for (const auto& [id, service] : state.services) {
        CHECK(service.waiting.empty());
    }
    for (const auto& [id, server] : state.servers) {
        CHECK(server.outstanding == 0);
        CHECK(server.held_slots == 0);
        CHECK(server.relayed == 0);
        CHECK(server.queue.empty());
        CHECK(server.unanswered.empty());
    }
}

} // namespace
} // namespace lovagetack::requests::testing
