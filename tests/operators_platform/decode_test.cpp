#include <catch2/catch.hpp>

#include "decode.hpp"

namespace lovagetack::operators_platform {
namespace {

const QByteArray settings_text = R"({"node": "front-mahebourg-1", "zone": "mahebourg", "ip": "10.1.0.34",
    "listen": {"front": "10.1.0.34:8548", "ready": "10.1.0.34:8542"}, "internal_ports": [7540, 7555],
    "limits": {"memory_mb": 260, "max_fds": 4100}, "heartbeat_ms": 870, "bounds": {"grace_s": 6},
    "provider": {"address": "10.200.1.7:8541"}, "a_new_field": true})";

const QByteArray configuration_text = R"({"version": "r7",
    "routes": [
      {"name": "a", "host": "h.example", "prefix": "/look/", "route_type": "safe", "timeout_ms": 1000,
       "target_latency_ms": 300, "priority": 2, "max_attempts": 2,
       "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]},
      {"name": "b", "host": "h.example", "prefix": "/look/at/", "route_type": "unsafe", "timeout_ms": 1200,
       "target_latency_ms": 400, "priority": 1, "service": "s2", "max_attempts": 2},
      {"name": "c", "host": "h.example", "prefix": "/new/", "route_type": "of-another-kind", "timeout_ms": 1200,
       "target_latency_ms": 400, "priority": 1, "service": "s2", "max_attempts": 2}],
    "services": [{"name": "s1", "health_path": "/health", "max_conns": 110, "cold_period_s": 3.0, "cold_per_s": 6.3,
                  "sharded": true}, {"name": "s2", "health_path": "/health", "max_conns": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

QByteArray registration(const QByteArray& status, const QByteArray& rest = R"(,"born": 1789)") {
    return R"({"address": "10.128.0.9:8080", "info": {"service": "s1", "version": "v1", "zone": "mahebourg", "slots": 2},
              "status": )" +
           status + rest + "}";
}

} // namespace

TEST_CASE("settings are decoded, and unknown fields are ignored") {
    const auto settings = decode_settings("local.json", settings_text);
    REQUIRE(settings);
    REQUIRE(settings.value().instance.value() == "front-mahebourg-1");
    REQUIRE(settings.value().callers == model::address{"10.1.0.34", 8548});
    REQUIRE(settings.value().store == model::address{"10.200.1.7", 8541});
    REQUIRE(settings.value().first_internal_port == 7540);
    REQUIRE(settings.value().grace == std::chrono::seconds(6));
    REQUIRE(settings.value().memory == 260UL * 1024 * 1024);
}

TEST_CASE("an error in the settings names the file, the field and the expected value") {
    auto broken = settings_text;
    broken.replace("10.1.0.34:8542", "10.1.0.34");
    const auto settings = decode_settings("local.json", broken);
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().message == "local.json: listen.ready: expected IP:PORT");
    REQUIRE_FALSE(decode_settings("local.json", "[]"));
}

TEST_CASE("a memory of the machine that is no size is an error, and a missing one is unknown") {
    auto text = settings_text;
    REQUIRE_FALSE(decode_settings("local.json", text.replace("\"memory_mb\": 260", "\"memory_mb\": -1")));
    REQUIRE_FALSE(decode_settings("local.json", text.replace("\"memory_mb\": -1", "\"memory_mb\": \"much\"")));
    const auto settings = decode_settings("local.json", text.replace("\"memory_mb\": \"much\", ", ""));
    REQUIRE(settings);
    REQUIRE(settings.value().memory == 0);
}

TEST_CASE("a configuration is decoded") {
    const auto decoded = decode_configuration(configuration_text);
    REQUIRE(decoded);
    const auto& configuration = decoded.value();
    REQUIRE(configuration.version == 7);
    REQUIRE(configuration.routes[0].kind == routing::request_kind::idempotent);
    REQUIRE(configuration.routes[0].targets.size() == 2);
    REQUIRE(configuration.routes[0].targets[1].weight == 10);
    REQUIRE(configuration.routes[1].kind == routing::request_kind::non_idempotent);
    REQUIRE(configuration.limits.body_bytes == 1000);
    REQUIRE(configuration.services.at(model::service_id("s1")).divided_by_key);
    REQUIRE(configuration.services.at(model::service_id("s1")).cold_rate == Approx(6.3));
}

TEST_CASE("requests of a route of unknown type are not repeated") {
    const auto decoded = decode_configuration(configuration_text);
    REQUIRE(decoded.value().routes[2].kind == routing::request_kind::non_idempotent);
}

TEST_CASE("the longest prefix of the host selects the route") {
    const auto configuration = decode_configuration(configuration_text).value();
    REQUIRE(routing::find_route(configuration, "h.example", "/look/at/2f?x=/new/")->name == "b");
    REQUIRE(routing::find_route(configuration, "h.example", "/look/2f")->name == "a");
    REQUIRE(routing::find_route(configuration, "h.example", "/loo") == nullptr);
    REQUIRE(routing::find_route(configuration, "other.example", "/look/2f") == nullptr);
}

TEST_CASE("a malformed or incomplete configuration is rejected") {
    REQUIRE_FALSE(decode_configuration("{\"version\": \"r7\", \"rou"));
    REQUIRE_FALSE(decode_configuration(R"({"version": 7, "routes": []})"));
    REQUIRE_FALSE(decode_configuration(R"({"version": "r8", "routes": [{"name": "a", "prefix": "/a/"}]})"));
}

namespace {

const QByteArray configuration_with_accounts = R"({"version": "r9", "routes": [], "services": [],
    "tenants": [{"name": "north", "api_keys": ["first", "second"], "priority": 1, "rate_per_s": 24.5, "burst": 30},
                {"name": "south", "api_keys": ["third"]}]})";

} // namespace

TEST_CASE("client accounts are decoded, and no allowance means no limit") {
    const auto accounts = decode_configuration(configuration_with_accounts).value().accounts;
    const auto* const north = accounts.find(accounts::credential_of("second"));
    REQUIRE(north != nullptr);
    CHECK(north->name.value() == "north");
    CHECK(north->priority == 1);
    CHECK(north->allowance == accounts::allowance{24.5, 30});
    const auto* const south = accounts.find(accounts::credential_of("third"));
    REQUIRE(south != nullptr);
    CHECK_FALSE(south->allowance.is_limited());
    CHECK_FALSE(south->priority);
}

// Guards against keys of client accounts that travel between instances or stay in their copies of the store's rows.
TEST_CASE("a configuration without keys decodes to the same client accounts") {
    const auto kept = without_keys(configuration_with_accounts);
    for (const char* const key : {"first", "second", "third", "api_keys\""}) {
        CHECK_FALSE(kept.contains(key));
    }
    const auto accounts = decode_configuration(kept).value().accounts;
    CHECK(accounts.accounts() == decode_configuration(configuration_with_accounts).value().accounts.accounts());
    CHECK(accounts.find(accounts::credential_of("first"))->name.value() == "north");
    CHECK(without_keys(kept) == kept);
    CHECK(without_keys(configuration_text) == configuration_text);
    CHECK(without_keys("{\"api_keys\"") == QByteArray("{}"));
}

TEST_CASE("a configuration in which client accounts share a key is rejected") {
    auto shared = configuration_with_accounts;
    shared.replace("third", "first");
    CHECK_FALSE(decode_configuration(shared));
    CHECK_FALSE(decode_configuration(without_keys(shared)));
}

TEST_CASE("a registration is decoded") {
    const auto server =
        decode_registration("i-1", registration(R"({"state": "ready", "seq": 4, "cold_remaining_ms": 20})"));
    REQUIRE(server);
    REQUIRE(server->id.value() == "i-1");
    REQUIRE(server->born == 1789);
    REQUIRE(server->slots == 2);
    REQUIRE_FALSE(server->draining);
    REQUIRE(server->cold_time_left == std::chrono::milliseconds(20));
    REQUIRE(decode_registration("i-1", registration(R"({"state": "draining"})"))->draining);
}

TEST_CASE("a registry entry that is malformed or has an unknown state is ignored") {
    REQUIRE_FALSE(decode_registration("i-1", "bytes"));
    REQUIRE_FALSE(decode_registration("i-1", registration(R"({"state": "resting"})")));
    REQUIRE_FALSE(decode_registration("i-1", registration("7")));
    REQUIRE_FALSE(decode_registration("i-1", registration(R"({"state": "ready"})", R"(,"born": "soon")")));
    REQUIRE_FALSE(decode_registration("i-1", registration(R"({"state": "ready"})", R"(,"born": 17.5)")));
    REQUIRE_FALSE(decode_registration("i-1", registration(R"({"state": "ready", "cold_remaining_ms": "long"})")));
    REQUIRE_FALSE(decode_registration("i-1", R"({"address": "nowhere", "info": {}, "status": {"state": "ready"}})"));
}

// Guards against an odd entry of another writer whose numbers overflow the types that hold them: slots that become zero
// or negative, and a cold time, a start or a count of writes that makes each later entry of the id look older.
TEST_CASE("a registry entry with a number out of range is ignored") {
    const auto with_slots = [](const QByteArray& slots) {
        auto text = registration(R"({"state": "ready"})");
        text.replace(R"("slots": 2)", R"("slots": )" + slots);
        return decode_registration("i-1", text);
    };
    for (const char* const slots :
         {"-1", "0", "0.5", "1000001", "2147483648", "4294967296", "4294967297", "1e300", "1e400"}) {
        CAPTURE(slots);
        CHECK_FALSE(with_slots(slots));
    }
    REQUIRE(with_slots("1000000")->slots == 1'000'000);
    for (const char* const cold : {"-1", "86400001", "9223372036854775808", "1e300", "-1e300"}) {
        CAPTURE(cold);
        CHECK_FALSE(decode_registration(
            "i-1", registration(QByteArray(R"({"state": "ready", "cold_remaining_ms": )") + cold + "}")));
    }
    for (const char* const number : {"-1", "9007199254740993", "18446744073709551616", "1e300"}) {
        CAPTURE(number);
        CHECK_FALSE(
            decode_registration("i-1", registration(QByteArray(R"({"state": "ready", "seq": )") + number + "}")));
        CHECK_FALSE(
            decode_registration("i-1", registration(R"({"state": "ready"})", QByteArray(R"(, "born": )") + number)));
    }
    CHECK_FALSE(decode_registration("i-1", registration(R"({"state": "ready", "seq": "4"})")));
    REQUIRE(decode_registration("i-1", registration(R"({"state": "ready", "seq": 9007199254740991})"))->sequence ==
            9007199254740991);
}

TEST_CASE("a registry entry with a port out of range is ignored") {
    for (const char* const port : {"-1", "0", "65536", "4294975376", "8080.5", "8080x", ""}) {
        CAPTURE(port);
        auto text = registration(R"({"state": "ready"})");
        text.replace(":8080", QByteArray(":") + port);
        CHECK_FALSE(decode_registration("i-1", text));
    }
}

// Guards against a process that ends because reading an entry exhausts its stack.
TEST_CASE("a registry entry that is nested deeply is ignored") {
    constexpr int depth = 100'000;
    const auto nested = QByteArray(depth, '[') + QByteArray(depth, ']');
    REQUIRE_FALSE(decode_registration("i-1", nested));
    REQUIRE_FALSE(decode_registration("i-1", QByteArray(depth, '[')));
    REQUIRE_FALSE(decode_registration("i-1", registration(R"({"state": "ready"})", R"(,"other": )" + nested)));
    QByteArray objects;
    for (int i = 0; i < depth; ++i) {
        objects.append(R"({"info":)");
    }
    REQUIRE_FALSE(decode_registration("i-1", objects));
}

} // namespace lovagetack::operators_platform
