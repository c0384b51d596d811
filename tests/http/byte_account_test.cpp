#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "http/body_pace.hpp"
#include "http/byte_account.hpp"
#include "http/stored_body.hpp"

namespace lovagetack::http {
namespace {

constexpr std::uint64_t mebibyte = std::uint64_t(1024) * 1024;
constexpr std::uint64_t largest_body = 64 * mebibyte;

} // namespace

// Guards against a crowd of large bodies that leaves no room for anybody else.
TEST_CASE("large holders cannot take the reserve, and small ones can") {
    byte_account account({10 * mebibyte, 2 * mebibyte});
    byte_charge large(account);
    byte_charge other(account);
    byte_charge small(account);
    REQUIRE(large.resize(7 * mebibyte));
    CHECK_FALSE(other.resize(2 * mebibyte));
    CHECK(other.bytes() == 0);
    CHECK(other.resize(mebibyte));
    CHECK_FALSE(large.resize(large.bytes() + 1));
    CHECK(small.resize(byte_account::small_bytes));
    CHECK_FALSE(small.resize(byte_account::small_bytes + 1));
    CHECK(account.held() == 8 * mebibyte + byte_account::small_bytes);
}

// Guards against small requests that are many enough to exceed the total, and against bytes that are never returned.
TEST_CASE("all holders and buffers together stay within the total, and what ends gives its bytes back") {
    byte_account account({2 * mebibyte, mebibyte});
    account.set_buffered(mebibyte);
    std::vector<std::unique_ptr<byte_charge>> charges;
    bool fits = true;
    while (fits) {
        charges.push_back(std::make_unique<byte_charge>(account));
        fits = charges.back()->resize(byte_account::small_bytes);
    }
    CHECK(account.held() <= 2 * mebibyte);
    CHECK(account.is_scarce());
    charges.clear();
    account.set_buffered(0);
    CHECK(account.held() == 0);
    CHECK_FALSE(account.is_scarce());
}

TEST_CASE("a machine of 160 MiB has room for a body of the full legal size, an unknown one for any") {
    byte_account account(limits_for_memory(160 * mebibyte));
    byte_charge body(account);
    CHECK(body.resize(largest_body + byte_account::small_bytes));
    CHECK(limits_for_memory(120 * mebibyte).total < 80 * mebibyte);
    CHECK(limits_for_memory(mebibyte).total > byte_account::small_bytes);
    byte_account unknown(limits_for_memory(0));
    byte_charge anything(unknown);
    CHECK(anything.resize(std::uint64_t(1) << 40));
    CHECK_FALSE(unknown.is_scarce());
}

// Guards against bytes that are lost or doubled where parts meet, and against parts that depend on how a body arrived.
TEST_CASE("a stored body has the same parts however it arrives") {
    std::string text(3 * stored_body::part_bytes + 5, ' ');
    for (std::size_t at = 0; at < text.size(); ++at) {
        text[at] = static_cast<char>('a' + at % 23);
    }
    const auto piece = GENERATE(std::size_t(1), std::size_t(1000), stored_body::part_bytes, std::size_t(1) << 20);
    stored_body body;
    for (std::size_t at = 0; at < text.size(); at += piece) {
        REQUIRE(body.append(std::string_view(text).substr(at, piece)));
    }
    REQUIRE(body.size() == text.size());
    REQUIRE(body.parts() == 4);
    std::string joined;
    for (std::size_t number = 0; number < body.parts(); ++number) {
        CHECK(body.part(number).size() == (number < 3 ? stored_body::part_bytes : 5));
        joined += body.part(number);
    }
    CHECK(joined == text);
    body.release();
    CHECK(body.parts() == 1);
    CHECK(stored_body().part(0).empty());
}

// Guards against refusals of callers that merely have a slow link.
TEST_CASE("a body is slow if nothing arrives for a while or the average is below the least pace") {
    const auto begun = std::chrono::steady_clock::time_point(std::chrono::hours(1));
    const auto now = begun + 10 * pace_time;
    const auto total = least_pace * 10 * pace_time.count();
    CHECK_FALSE(is_slow({begun, begun, 0}, begun + pace_time / 2));
    CHECK_FALSE(is_slow({begun, now, total}, now));
    CHECK(is_slow({begun, now, total - 1}, now));
    CHECK(is_slow({begun, now - pace_time, 1000 * total}, now));
}

} // namespace lovagetack::http
