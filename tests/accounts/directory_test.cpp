#include <catch2/catch.hpp>

#include "accounts/directory.hpp"

namespace lovagetack::accounts {
namespace {

client_account account_named(const std::string& name) {
    return {model::client_account_id(name), std::nullopt, {}};
}

directory two_accounts() {
    return directory::builder()
        .add(account_named("north"), {credential_of("first"), credential_of("second")})
        .add(account_named("south"), {credential_of("third")})
        .build()
        .value();
}

} // namespace

TEST_CASE("a request is identified by any key of its client account") {
    const auto accounts = two_accounts();
    CHECK(identify(accounts, credential_of("second"), false).account->name.value() == "north");
    CHECK(identify(accounts, credential_of("third"), false).account->name.value() == "south");
}

TEST_CASE("an unknown key is refused on every route, a missing one only where the route is not anonymous") {
    const auto accounts = two_accounts();
    const bool anonymous = GENERATE(true, false);
    CHECK(identify(accounts, credential_of("fourth"), anonymous).refused);
    CHECK(identify(accounts, std::nullopt, anonymous).refused == !anonymous);
    CHECK(identify(accounts, credential_of("first"), anonymous).account != nullptr);
}

TEST_CASE("without client accounts no key is looked at") {
    CHECK_FALSE(identify(directory(), credential_of("first"), false).refused);
    CHECK_FALSE(identify(directory(), std::nullopt, false).refused);
}

TEST_CASE("client accounts that share a name or a key are rejected, and the message shows no key") {
    const auto shared = directory::builder()
                            .add(account_named("north"), {credential_of("first")})
                            .add(account_named("south"), {credential_of("first")})
                            .build();
    REQUIRE_FALSE(shared);
    CHECK(shared.error().message == "client accounts 'north' and 'south' share a key");
    CHECK_FALSE(directory::builder().add(account_named("north"), {}).add(account_named("north"), {}).build());
}

TEST_CASE("a credential survives its text, and other texts are no credentials") {
    const auto credential = credential_of("first");
    CHECK(credential_from_text(to_text(credential)) == credential);
    CHECK_FALSE(credential_from_text(""));
    CHECK_FALSE(credential_from_text(to_text(credential) + "00"));
    CHECK_FALSE(credential_from_text(std::string(64, 'x')));
}

} // namespace lovagetack::accounts
