#include <catch2/catch.hpp>

#include <QJsonArray>

#include "base/key_hash.hpp"
#include "cli/configuration_store.hpp"
#include "cli/status_page.hpp"
#include "cli/timeline_page.hpp"

namespace lovagetack::cli {
namespace {

telemetry::stamped_entry entry(std::uint64_t stamp, const std::string& instance, const std::string& name,
                               std::vector<model::timeline_field> fields = {}) {
    return {stamp, instance, {name, std::move(fields)}};
}

} // namespace

// Guards against an effect that is listed before its cause.
TEST_CASE("entries of several instances are merged by stamp") {
    std::vector<telemetry::stamped_entry> entries = {
        entry(3'000'000, "east-1", "third"), entry(1'000'000, "west-1", "first"), entry(2'000'000, "east-1", "second")};
    sort_causally(entries);
    const auto text = timeline_text(entries);
    CHECK(text.find("first") < text.find("second"));
    CHECK(text.find("second") < text.find("third"));
    CHECK(text.find("1970-01-01T00:00:01.000000Z instance=west-1 event=first") == 0);
}

// Guards against a grant of a key's range missing from the key's time line.
TEST_CASE("a key's filter keeps the events of its ranges") {
    const auto hash = base::key_hash("cart-7");
    const auto range = [](std::uint64_t first, std::uint64_t last) {
        return entry(1, "a", "range_activated", {{"first", std::to_string(first)}, {"last", std::to_string(last)}});
    };
    CHECK(matches_filter(range(hash - 1, hash + 1), "cart-7", ""));
    CHECK_FALSE(matches_filter(range(hash + 1, hash + 2), "cart-7", ""));
    CHECK(matches_filter(entry(1, "a", "request_finished", {{"key", "cart-7"}, {"request", "r1"}}), "cart-7", "r1"));
    CHECK_FALSE(
        matches_filter(entry(1, "a", "request_finished", {{"key", "cart-7"}, {"request", "r1"}}), "cart-7", "r2"));
}

// Guards against a caller's key that ends the script element and injects markup into the operators' page.
TEST_CASE("values cannot leave the script of the page") {
    const auto page = timeline_html({entry(1, "a", "request_finished", {{"key", "</script><b>"}})});
    CHECK(page.find("</script><b>") == std::string::npos);
    CHECK(page.find("<\\/script><b>") != std::string::npos);
}

// Guards against operators who cannot see what the other side changed.
TEST_CASE("a conflict shows both sides") {
    const stored_configuration in_force{4, "a: 1\nb: 2\n", {{"east", "x: 1\n"}}};
    const stored_configuration pushed{4, "a: 1\nb: 3\n", {{"east", "x: 2\n"}}};
    const auto text = describe_conflict(3, in_force, pushed);
    CHECK(text.find("edited from version 3, but version 4 is in force") != std::string::npos);
    CHECK(text.find("< base: b: 2\n") != std::string::npos);
    CHECK(text.find("> base: b: 3\n") != std::string::npos);
    CHECK(text.find("< overlay.east: x: 1\n") != std::string::npos);
    CHECK(text.find("> overlay.east: x: 2\n") != std::string::npos);
    CHECK(text.find("a: 1") == std::string::npos);
}

// Guards against a lagging instance that the status page does not show.
TEST_CASE("the status page lists members with their versions") {
    const QJsonObject member{{"instance", "east-1"},
                             {"data_centre", "east"},
                             {"state", "live"},
                             {"configuration_version", 3},
                             {"lags", true}};
    const auto text =
        status_text({{"instance", "east-2"}, {"members", QJsonArray{member}}, {"restrictions", QJsonArray{"no push"}}});
    CHECK(text.find("east-1    east         live   3                      yes") != std::string::npos);
    CHECK(text.find("restricted: no push") != std::string::npos);
}

} // namespace lovagetack::cli
