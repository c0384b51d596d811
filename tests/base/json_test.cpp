#include <catch2/catch.hpp>

#include <limits>
#include <variant>

#include "base/json.hpp"
#include "base/key_hash.hpp"
#include "base/result.hpp"

namespace {

struct inner {
    std::uint64_t wide = 0;
    std::chrono::milliseconds delay{};
};

struct outer {
    std::vector<inner> list;
    std::optional<std::string> text;
    std::map<std::string, std::int32_t> counts;
    std::variant<inner> either;
};

} // namespace

template <>
struct lovagetack::base::fields_of<inner> {
    static constexpr std::string_view name = "inner";
    static constexpr auto list = std::make_tuple(make_field("wide", &inner::wide), make_field("delay", &inner::delay));
};

template <>
struct lovagetack::base::fields_of<outer> {
    static constexpr std::string_view name = "outer";
    static constexpr auto list =
        std::make_tuple(make_field("list", &outer::list), make_field("text", &outer::text),
                        make_field("counts", &outer::counts), make_field("either", &outer::either));
};

namespace lovagetack::base {

// Guards against hashes losing bits in a recorded trace, where JSON numbers hold only 53 of them.
TEST_CASE("64-bit numbers and nested values survive JSON") {
    outer before;
    before.list = {{std::numeric_limits<std::uint64_t>::max(), std::chrono::milliseconds(7)}};
    before.text = "value";
    before.counts = {{"a", -1}};
    before.either = inner{3, std::chrono::milliseconds(4)};

    outer after;
    REQUIRE(from_json_text(to_json_text(before), after));

    REQUIRE(after.list.size() == 1);
    CHECK(after.list[0].wide == std::numeric_limits<std::uint64_t>::max());
    CHECK(after.list[0].delay == std::chrono::milliseconds(7));
    CHECK(after.text == "value");
    CHECK(after.counts == before.counts);
    CHECK(std::get<inner>(after.either).wide == 3);
}

// Guards against a newer peer's message being refused by an older instance.
TEST_CASE("unknown and absent fields are tolerated") {
    inner value{5, std::chrono::milliseconds(1)};
    REQUIRE(from_json_text(std::string(R"({"unknown":1,"wide":"9"})"), value));
    CHECK(value.wide == 9);
    CHECK(value.delay == std::chrono::milliseconds(1));
    CHECK_FALSE(from_json_text(std::string("[1]"), value));
}

// Guards against a change of the hash, which would move every key at once.
TEST_CASE("the key hash is XXH64 with seed 0") {
    CHECK(key_hash("") == 0xef46db3751d8e999ULL);
}

result<int> half(int value) {
    if (value % 2 != 0) {
        return failure(result_code::usage, "odd");
    }
    return value / 2;
}

result<int> quarter(int value) {
    BOOST_OUTCOME_TRY(first, half(value));
    return half(first);
}

// Guards against an error being lost between two fallible calls.
TEST_CASE("errors propagate through BOOST_OUTCOME_TRY") {
    CHECK(quarter(8).value() == 2);
    CHECK(quarter(6).error().code == result_code::usage);
}

} // namespace lovagetack::base
