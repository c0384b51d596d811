#include <catch2/catch.hpp>

#include "gateway/explainer.hpp"

namespace lovagetack::gateway {

using namespace std::chrono_literals;

// Guards callers against an operators' tool that copies the state of the decisions without a pause.
TEST_CASE("explanations keep a distance, and only those that are made count") {
    const routing::state state({model::instance_id("one"), model::data_centre_id("north"), 1}, 5);
    explainer explainer(state);
    const base::boot_time now(1000s);
    const auto page = explainer.explain_request({}, now);
    REQUIRE(page);
    CHECK(page->find("\"code\": \"instance_not_ready\"") != std::string::npos);
    CHECK(!explainer.explain_request({}, now + 499ms));
    CHECK(!explainer.explain_slot("service=a&group=0&priority=0&age_ms=0&patience_ms=0", now + 499ms));
    CHECK(explainer.explain_request({}, now + 500ms));
    CHECK(explainer.count() == 2);
}

TEST_CASE("a query for a slot needs a service and whole numbers") {
    const routing::state state({model::instance_id("one"), model::data_centre_id("north"), 1}, 5);
    explainer explainer(state);
    const base::boot_time now(1000s);
    for (const auto* const query : {"", "service=a", "group=0&priority=0&age_ms=0&patience_ms=0",
                                    "service=a&group=0&priority=0&age_ms=0&patience_ms=2.5"}) {
        INFO(query);
        CHECK(explainer.explain_slot(query, now) == std::string());
    }
    const auto page = explainer.explain_slot("service=a&group=0&priority=0&age_ms=0&patience_ms=0", now);
    REQUIRE(page);
    // An instance that does not know the registry does not answer as a dispatcher.
    CHECK(page->find("\"decision\": \"no_answer\"") != std::string::npos);
}

} // namespace lovagetack::gateway
