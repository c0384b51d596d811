#include <catch2/catch.hpp>

#include "base/json.hpp"
#include "configuration/effect.hpp"
#include "configuration/event.hpp"
#include "membership/effect.hpp"
#include "membership/event.hpp"
#include "model/assignment.hpp"
#include "model/load_report.hpp"
#include "ownership/effect.hpp"
#include "ownership/event.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"

namespace lovagetack {
namespace {

template <class... Alternatives>
void check_round_trip(const std::variant<Alternatives...>*) {
    const auto check = [](auto alternative) {
        std::variant<Alternatives...> before = alternative;
        std::variant<Alternatives...> after;
        REQUIRE(base::from_json_text(base::to_json_text(before), after));
        CHECK(before == after);
    };
    (check(Alternatives{}), ...);
}

// Guards against an event that cannot be read back from a recorded trace.
TEST_CASE("every event of every module can be written and read") {
    check_round_trip(static_cast<requests::event*>(nullptr));
    check_round_trip(static_cast<ownership::event*>(nullptr));
    check_round_trip(static_cast<membership::event*>(nullptr));
    check_round_trip(static_cast<configuration::event*>(nullptr));
}

// Guards against an effect without a field table, which the time line could not show.
TEST_CASE("every effect of every module can be written and read") {
    check_round_trip(static_cast<requests::effect*>(nullptr));
    check_round_trip(static_cast<ownership::effect*>(nullptr));
    check_round_trip(static_cast<membership::effect*>(nullptr));
    check_round_trip(static_cast<configuration::effect*>(nullptr));
}

} // namespace
} // namespace lovagetack
