#include <catch2/catch.hpp>

#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/json.hpp"
#include "platform/fake_http_server.hpp"
#include "routing/limits.hpp"
#include "store.hpp"

namespace lovagetack::operators_platform {
namespace {

using platform::fake_answer;
using platform::fake_request;

QJsonObject row(const char* table, const char* key, const QByteArray& value, int version) {
    return {{"table", table},
            {"part", ""},
            {"key", key},
            {"value", QString::fromLatin1(value.toBase64())},
            {"ver", version}};
}

fake_answer rows(const QJsonArray& rows, int version) {
    return {200, QJsonDocument(QJsonObject{{"rows", rows}, {"has_more", false}, {"ver", version}, {"now_ms", 5000}})
                     .toJson(QJsonDocument::Compact)};
}

fake_answer in_era(int era, fake_answer answer) {
    answer.fields = "Store-Era: " + QByteArray::number(era) + "\r\n";
    return answer;
}

const QByteArray server_value = R"({"address": "10.128.0.9:8080", "born": 5,
    "info": {"service": "s1", "zone": "mahebourg", "slots": 2}, "status": {"state": "ready"}})";

/// A store client, a fake store whose answers the test scripts, and the events that the client reports.
struct fixture {
    fixture() {
        server = std::make_unique<platform::fake_http_server>(
            [this](const fake_request& request) { return on_request(request); });
        gateway::settings settings;
        settings.instance = model::instance_id("one");
        settings.data_centre = model::data_centre_id("mahebourg");
        settings.store = server->address();
        client = std::make_unique<store>(settings, [this](const routing::event& event) { events.push_back(event); });
    }

    template <class Event>
    std::vector<Event> all() const {
        std::vector<Event> found;
        for (const auto& event : events) {
            if (const auto* match = std::get_if<Event>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    platform::application application;
    std::function<std::optional<fake_answer>(const fake_request&)> on_request;
    std::unique_ptr<platform::fake_http_server> server;
    std::vector<routing::event> events;
    std::unique_ptr<store> client;
};

} // namespace

TEST_CASE("a table is read completely and then followed, and a row never returns to an older version") {
    fixture test;
    int feed_calls = 0;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        if (!request.path.contains("table=servers")) {
            return request.path.contains("rows-feed") ? std::nullopt : std::optional(rows({}, 5));
        }
        if (request.path.contains("rows-get")) {
            // The first copy is older than the change that follows. The second is read after the history was lost.
            return feed_calls < 2 ? rows({row("servers", "i-1", server_value, 5)}, 5)
                                  : rows({row("servers", "i-2", server_value, 9)}, 9);
        }
        ++feed_calls;
        if (feed_calls == 1) {
            return rows({row("servers", "i-2", server_value, 7)}, 7);
        }
        if (feed_calls == 2) {
            return fake_answer{410, "{}"};
        }
        return std::nullopt;
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return feed_calls >= 3; }));
    REQUIRE(test.all<routing::registry_complete>().size() == 2);
    const auto updated = test.all<routing::backend_server_updated>();
    REQUIRE(updated.size() == 3);
    REQUIRE(updated[0].server.id.value() == "i-1");
    REQUIRE(updated[1].server.id.value() == "i-2");
    const auto removed = test.all<routing::backend_server_removed>();
    REQUIRE(removed.size() == 1);
    REQUIRE(removed[0].id.value() == "i-1");
}

// Guards against an odd entry of another writer that ends the process or keeps the entries beside and after it unknown.
TEST_CASE("an odd entry of the registry hides no other entry, and following goes on") {
    constexpr int depth = 100'000;
    const auto with = [](const char* part, const char* replacement) {
        auto value = server_value;
        return value.replace(part, replacement);
    };
    const QJsonArray odd_rows{row("servers", "i-20", QByteArray(depth, '[') + QByteArray(depth, ']'), 4),
                              row("servers", "i-21", with("\"slots\": 2", "\"slots\": 4294967296"), 4),
                              row("servers", "i-22", with("\"slots\": 2", "\"slots\": 1e300"), 4),
                              row("servers", "i-23", with(":8080", ":65536"), 4),
                              row("servers", "i-24", with(":8080", ":-1"), 4),
                              row("servers", "i-25", with("\"born\": 5", "\"born\": 1e300"), 4),
                              row("servers", "i-26", with("\"ready\"", "\"ready\", \"seq\": 1e300"), 4),
                              row("servers", "i-27", with("\"ready\"", "\"ready\", \"cold_remaining_ms\": 1e300"), 4),
                              QJsonValue(7),
                              QJsonObject{{"key", 7}, {"value", QJsonArray()}, {"ver", "x"}}};
    const auto among_odd_rows = [&odd_rows](const char* first, const char* last, int version) {
        QJsonArray all{row("servers", first, server_value, version)};
        for (const auto& item : odd_rows) {
            auto odd = item.toObject();
            odd.insert("ver", version);
            all.append(item.isObject() ? QJsonValue(odd) : QJsonValue(item));
        }
        all.append(row("servers", last, server_value, version));
        return rows(all, version);
    };
    fixture test;
    int feed_calls = 0;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        if (!request.path.contains("table=servers")) {
            return request.path.contains("rows-feed") ? std::nullopt : std::optional(rows({}, 5));
        }
        if (request.path.contains("rows-get")) {
            return among_odd_rows("i-1", "i-3", 5);
        }
        ++feed_calls;
        switch (feed_calls) {
        case 1:
            return among_odd_rows("i-4", "i-6", 7);
        case 2:
            // The real server writes its entry again.
            return rows({row("servers", "i-26", server_value, 9)}, 9);
        default:
            return std::nullopt;
        }
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return feed_calls >= 3; }));
    std::vector<std::string> updated;
    for (const auto& event : test.all<routing::backend_server_updated>()) {
        updated.push_back(event.server.id.value());
    }
    REQUIRE(updated == std::vector<std::string>{"i-1", "i-3", "i-4", "i-6", "i-26"});
}

// Guards against following a store from a version that it does not have any more, or that it has given out again.
TEST_CASE("a table is read again when the store has come back from a copy") {
    const bool number_was_given_again = GENERATE(false, true);
    fixture test;
    int feed_calls = 0;
    std::vector<QString> followed;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        const int era = feed_calls == 0 ? 1 : 2;
        if (request.path.contains("rows-tx")) {
            return in_era(era, {200, R"({"ver": 1, "now_ms": 1})"});
        }
        if (!request.path.contains("table=servers")) {
            return request.path.contains("rows-feed") ? std::nullopt : std::optional(in_era(era, rows({}, 5)));
        }
        if (request.path.contains("rows-get")) {
            return era == 1
                       ? in_era(
                             1,
                             rows({row("servers", "i-1", server_value, 5), row("servers", "i-2", server_value, 8)}, 8))
                       : in_era(2, rows({row("servers", "i-1", server_value, 5)}, 6));
        }
        ++feed_calls;
        followed.push_back(request.path);
        switch (feed_calls) {
        case 1:
            return number_was_given_again ? in_era(2, rows({row("servers", "i-4", server_value, 9)}, 9))
                                          : in_era(2, {410, "{}"});
        case 2:
            return in_era(2, rows({row("servers", "i-3", server_value, 7)}, 7));
        default:
            return std::nullopt;
        }
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return feed_calls >= 3; }));
    REQUIRE(followed[1].contains("after=6&"));
    REQUIRE(followed[2].contains("after=7&"));
    const auto removed = test.all<routing::backend_server_removed>();
    REQUIRE(removed.size() == 1);
    REQUIRE(removed[0].id.value() == "i-2");
    REQUIRE(test.all<routing::backend_server_updated>().back().server.id.value() == "i-3");
    const auto eras = test.all<routing::store_era_seen>();
    REQUIRE(eras.size() == 2);
    REQUIRE(eras.back().era == 1);
}

// Guards against a configuration that is read only when the call that waits for it ends, seconds after a restoration.
TEST_CASE("all tables are read again as soon as one answer shows a new era") {
    fixture test;
    bool restored = false;
    base::boot_time restored_at;
    base::boot_time read_at;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        const int era = restored ? 2 : 1;
        if (request.path.contains("rows-tx")) {
            return in_era(era, {200, R"({"ver": 1, "now_ms": 1})"});
        }
        if (request.path.contains("rows-get")) {
            if (restored && request.path.contains("table=op&")) {
                read_at = base::boot_clock::now();
            }
            return in_era(era, rows({}, restored ? 50 : 100));
        }
        if (restored || !request.path.contains("table=servers")) {
            return std::nullopt;
        }
        restored = true;
        restored_at = base::boot_clock::now();
        return in_era(2, {410, "{}"});
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return read_at != base::boot_time(); }));
    REQUIRE(read_at - restored_at < std::chrono::milliseconds(1000));
}

// Guards against a large table that a busy instance never receives, since each read ends after the same short time.
TEST_CASE("a read goes on for as long as its answer arrives") {
    fixture test;
    int reads = 0;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        reads += request.path.contains("rows-get") && request.path.contains("table=servers") ? 1 : 0;
        return std::nullopt;
    };
    test.client->start({});
    REQUIRE(platform::wait_until([&] { return reads == 1; }));
    const auto body = rows({row("servers", "i-1", server_value, 5)}, 5).body;
    test.server->send_to_all("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n");
    constexpr int pieces = 5;
    for (int piece = 0; piece < pieces; ++piece) {
        const auto pause_begun = base::boot_clock::now();
        (void)platform::wait_until(
            [&] { return base::boot_clock::now() - pause_begun > std::chrono::milliseconds(500); });
        const auto length = body.size() / pieces + 1;
        test.server->send_to_all(body.mid(piece * length, length));
    }
    REQUIRE(platform::wait_until([&] { return !test.all<routing::backend_server_updated>().empty(); }));
    REQUIRE(reads == 1);
}

// Operators count on an instance again three seconds after its connections have gone silent.
TEST_CASE("a read without an answer is repeated in time, however often it has failed") {
    fixture test;
    std::vector<base::boot_time> reads;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-get") && request.path.contains("table=servers")) {
            reads.push_back(base::boot_clock::now());
        }
        return std::nullopt;
    };
    test.client->start({});
    REQUIRE(platform::wait_until([&] { return reads.size() >= 5; }));
    REQUIRE(reads[4] - reads[3] < std::chrono::milliseconds(3000));
}

// Operators count on an instance again three seconds after its connections have gone silent.
TEST_CASE("a change is known in time although the call that waits for it has gone silent") {
    const bool leaving_server = GENERATE(false, true);
    const QByteArray table = leaving_server ? "table=servers&" : "table=op&";
    fixture test;
    base::boot_time silent_since;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        if (request.path.contains("rows-get")) {
            return rows({}, 5);
        }
        if (!request.path.contains(table)) {
            return std::nullopt;
        }
        const bool is_held = !request.path.contains("wait_ms=200") && !request.path.endsWith("wait_ms=0");
        if (silent_since == base::boot_time() && !is_held) {
            return rows({}, 5);
        }
        if (silent_since == base::boot_time()) {
            silent_since = base::boot_clock::now();
            return std::nullopt;
        }
        return leaving_server ? rows({row("servers", "i-1", server_value, 9)}, 9)
                              : rows({row("op", "evacuate/mahebourg", "{}", 9)}, 9);
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] {
        return !test.all<routing::backend_server_updated>().empty() ||
               !test.all<routing::evacuations_updated>().empty();
    }));
    REQUIRE(base::boot_clock::now() - silent_since < std::chrono::milliseconds(3000));
}

// Guards against an instance that asks for a missed change in vain while its own call has gone silent.
TEST_CASE("a read of missed changes does not wait for a call that the store holds") {
    fixture test;
    int held_calls = 0;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        if (request.path.contains("rows-get")) {
            return rows({}, 5);
        }
        if (!request.path.contains("table=op&")) {
            return std::nullopt;
        }
        if (!request.path.contains("wait_ms=200")) {
            ++held_calls;
            return std::nullopt;
        }
        return held_calls == 0 ? rows({}, 5) : rows({row("op", "evacuate/mahebourg", "{}", 9)}, 9);
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return held_calls == 1; }));
    const auto asked_at = base::boot_clock::now();
    test.client->execute(routing::catch_up{routing::followed_table::operators});
    REQUIRE(platform::wait_until([&] { return !test.all<routing::evacuations_updated>().empty(); }));
    REQUIRE(base::boot_clock::now() - asked_at < std::chrono::milliseconds(500));
}

TEST_CASE("an instance writes its record again when a restored store has lost it") {
    fixture test;
    int writes = 0;
    int feed_calls = 0;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        const int era = feed_calls == 0 ? 1 : 2;
        if (request.path.contains("rows-tx")) {
            ++writes;
            return in_era(era, {200, R"({"ver": 1, "now_ms": 1})"});
        }
        if (!request.path.contains("table=lovagetack")) {
            return request.path.contains("rows-feed") ? std::nullopt : std::optional(in_era(era, rows({}, 5)));
        }
        if (request.path.contains("rows-get")) {
            return era == 1 ? in_era(1, rows({row("lovagetack", "instance/one", "{}", 8)}, 8)) : in_era(2, rows({}, 6));
        }
        ++feed_calls;
        return feed_calls == 1 ? std::optional(in_era(2, {410, "{}"})) : std::nullopt;
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return feed_calls >= 2 && writes >= 2; }));
}

// Guards against two keepers: a write of the former era would find the version that it expects, given out again.
TEST_CASE("each era of the store has a lease of its own") {
    fixture test;
    QJsonArray written;
    QStringList keys_written;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            const auto body = QJsonDocument::fromJson(request.body).object();
            written.append(body.value("expect").toArray().at(0));
            for (const auto& put : body.value("puts").toArray()) {
                keys_written.append(put.toObject().value("key").toString());
            }
            return in_era(3, {200, R"({"ver": 13, "now_ms": 777})"});
        }
        return in_era(3, rows({row("lovagetack-lease", "keeper", R"({"holder":"two","until":900})", 4)}, 12));
    };
    test.client->execute(routing::read_lease{});
    REQUIRE(platform::wait_until([&] { return !test.all<routing::lease_read>().empty(); }));
    const auto read = test.all<routing::lease_read>().front();
    REQUIRE_FALSE(read.lease);
    REQUIRE(read.store_was_restored);
    REQUIRE(read.version == routing::store_version(2, 0).ordered());
    routing::write_rows effect;
    effect.expected_lease_version = read.version;
    test.client->execute(effect);
    REQUIRE(platform::wait_until([&] { return !test.all<routing::rows_written>().empty(); }));
    REQUIRE(test.all<routing::rows_written>().front().version == routing::store_version(2, 13).ordered());
    REQUIRE(written.at(0).toObject().value("key").toString() == "keeper/2");
    REQUIRE(written.at(0).toObject().value("ver").toInt() == 0);
    // A late write of a former era expects the version, or the absence, that the copy has.
    REQUIRE(keys_written == QStringList{"keeper/2", "keeper/1", "keeper"});
}

// Guards against a configuration that stays unknown for seconds after an outage: a call that waits long and was sent
// while the store was silent is never answered.
TEST_CASE("calls for changes are short after a failure until the store answers again") {
    fixture test;
    std::vector<QString> waits;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        if (!request.path.contains("rows-feed")) {
            return rows({}, 5);
        }
        if (!request.path.contains("table=op")) {
            return std::nullopt;
        }
        waits.push_back(request.path.mid(request.path.indexOf("wait_ms=") + 8));
        switch (waits.size()) {
        case 1:
        case 2:
            return fake_answer{503, "{}"};
        case 3:
            return rows({}, 6);
        default:
            return std::nullopt;
        }
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return waits.size() >= 4; }));
    REQUIRE(waits[0].toInt() == routing::small_deployment_wait.count());
    REQUIRE(waits[1].toInt() <= 200);
    REQUIRE(waits[2].toInt() <= 200);
    REQUIRE(waits[3] == waits[0]);
}

// Guards against a store that counts as lost, and its registry as incomplete, when it cuts the calls that it holds.
TEST_CASE("calls that are cut after a long wait are no outage of the store") {
    fixture test;
    int calls = 0;
    bool cut = false;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        if (request.path.contains("rows-get")) {
            return rows({}, 5);
        }
        calls += cut ? 1 : 0;
        return cut ? std::optional(rows({}, 5)) : std::nullopt;
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    const auto begun_at = base::boot_clock::now();
    REQUIRE(platform::wait_until([&] { return base::boot_clock::now() - begun_at > std::chrono::milliseconds(1300); }));
    cut = true;
    test.server->close_all();
    REQUIRE(platform::wait_until([&] { return calls >= 6; }));
    REQUIRE(test.all<routing::store_reachability_changed>().empty());
}

TEST_CASE("a store that fails calls for a while is lost until it answers again") {
    const bool refuses = GENERATE(false, true);
    fixture test;
    bool down = false;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (down) {
            return refuses ? std::optional(fake_answer{503, "{}"}) : std::nullopt;
        }
        if (request.path.contains("rows-tx")) {
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        return rows({}, 5);
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return test.all<routing::assignments_complete>().size() == 1; }));
    const auto changes = [&] { return test.all<routing::store_reachability_changed>(); };
    down = true;
    const auto down_at = base::boot_clock::now();
    REQUIRE(platform::wait_until([&] { return changes().size() == 1; }));
    REQUIRE_FALSE(changes().front().reachable);
    REQUIRE(base::boot_clock::now() - down_at < std::chrono::milliseconds(4000));
    down = false;
    REQUIRE(platform::wait_until([&] { return changes().size() == 2; }));
    REQUIRE(changes().back().reachable);
}

TEST_CASE("a quarantine is a row of the own table that is written, learned and removed") {
    fixture test;
    std::vector<QByteArray> written;
    int feed_calls = 0;
    constexpr routing::request_fingerprint request = 0xfedcba9876543210;
    test.on_request = [&](const fake_request& call) -> std::optional<fake_answer> {
        if (call.path.contains("rows-tx")) {
            written.push_back(call.body);
            return fake_answer{200, R"({"ver": 1, "now_ms": 1})"};
        }
        const bool own = call.path.contains("table=lovagetack&");
        if (call.path.contains("rows-get")) {
            return own ? rows({row("lovagetack", "quarantine/fedcba9876543210", "host/get/1", 4),
                               row("lovagetack", "quarantine/odd", "", 4)},
                              5)
                       : rows({}, 5);
        }
        if (!own || ++feed_calls > 1) {
            return std::nullopt;
        }
        auto removed = row("lovagetack", "quarantine/fedcba9876543210", "", 7);
        removed.insert("deleted", true);
        return rows({removed}, 7);
    };
    test.client->start({});
    test.client->execute(routing::follow_store{true, routing::small_deployment_wait});
    REQUIRE(platform::wait_until([&] { return !test.all<routing::quarantine_removed>().empty(); }));
    REQUIRE(test.all<routing::quarantine_learned>().size() == 1);
    CHECK(test.all<routing::quarantine_learned>().front().request == request);
    CHECK(test.all<routing::quarantine_removed>().front().request == request);
    written.clear();
    test.client->execute(routing::write_quarantine{request, "host/get/1"});
    test.client->execute(routing::lift_quarantine{request});
    REQUIRE(platform::wait_until([&] { return written.size() == 2; }));
    CHECK(std::count_if(written.begin(), written.end(), [](const QByteArray& body) {
              return body.contains(R"("puts":[{"key":"quarantine/fedcba9876543210")");
          }) == 1);
    CHECK(std::count_if(written.begin(), written.end(), [](const QByteArray& body) {
              return body.contains(R"("remove":[{"key":"quarantine/fedcba9876543210")");
          }) == 1);
}

TEST_CASE("each answer to a write, and a missing one, is reported with its outcome") {
    fixture test;
    int status = 200;
    bool server_answers = true;
    test.on_request = [&](const fake_request& request) -> std::optional<fake_answer> {
        if (!request.path.contains("rows-tx") || !server_answers) {
            return std::nullopt;
        }
        const auto body = QJsonDocument::fromJson(request.body).object();
        REQUIRE(body.value("expect").toArray().at(0).toObject().value("ver").toInt() == 12);
        REQUIRE(body.value("puts").toArray().size() == 2);
        return fake_answer{status, R"({"ver": 13, "now_ms": 777})"};
    };
    routing::write_rows effect;
    effect.expected_lease_version = 12;
    effect.lease.holder = model::instance_id("one");
    effect.assignments.emplace_back(model::service_id("s1"), routing::assignment());
    const std::vector<std::pair<int, routing::write_outcome>> expected = {{200, routing::write_outcome::written},
                                                                          {412, routing::write_outcome::conflict},
                                                                          {503, routing::write_outcome::refused},
                                                                          {429, routing::write_outcome::refused},
                                                                          {500, routing::write_outcome::unknown}};
    for (const auto& [next, outcome] : expected) {
        status = next;
        test.events.clear();
        test.client->execute(effect);
        REQUIRE(platform::wait_until([&] { return !test.all<routing::rows_written>().empty(); }));
        REQUIRE(test.all<routing::rows_written>().front().outcome == outcome);
    }
    server_answers = false;
    test.events.clear();
    test.client->execute(effect);
    REQUIRE(platform::wait_until([&] { return !test.all<routing::rows_written>().empty(); }));
    REQUIRE(test.all<routing::rows_written>().front().outcome == routing::write_outcome::unknown);
}

TEST_CASE("a lease is read together with the store's time") {
    fixture test;
    routing::keeper_lease lease;
    lease.holder = model::instance_id("two");
    lease.until = 123;
    test.on_request = [&](const fake_request& /*request*/) -> std::optional<fake_answer> {
        return rows({row("lovagetack-lease", "keeper", QByteArray::fromStdString(base::to_json_text(lease)), 44)}, 50);
    };
    test.client->execute(routing::read_lease{});
    REQUIRE(platform::wait_until([&] { return !test.all<routing::lease_read>().empty(); }));
    const auto read = test.all<routing::lease_read>().front();
    REQUIRE(read.answered);
    REQUIRE(read.version == 44);
    REQUIRE(read.lease->holder.value() == "two");
    REQUIRE(read.lease->until == 123);
    REQUIRE(read.store_time == 5000);
}

} // namespace lovagetack::operators_platform
