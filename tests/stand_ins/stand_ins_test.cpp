#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/boot_time.hpp"
#include "base/json.hpp"
#include "base/key_hash.hpp"
#include "integration/http_call.hpp"
#include "integration/process.hpp"
#include "integration/temporary_folder.hpp"
#include "model/grant.hpp"
#include "stand_ins/body_pattern.hpp"

namespace lovagetack::stand_ins {

namespace {

using harness::call_end;
using harness::http_get;
using harness::http_post;

const std::string any_port = "127.0.0.1:0";

QJsonObject json_of(const harness::http_result& result) {
    return QJsonDocument::fromJson(QByteArray::fromStdString(result.body)).object();
}

harness::process start(const harness::temporary_folder& folder, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), STAND_INS_PROGRAM);
    return {arguments[1], arguments, folder.path()};
}

harness::process start_backend(const harness::temporary_folder& folder, const std::string& settings) {
    return start(folder, {"backend", "--listen", any_port, "--name", "a", "--settings", settings});
}

model::grant_answer poll(const std::string& address, const model::grant_poll& body) {
    model::grant_answer answer;
    REQUIRE(base::from_json_text(http_post(address, "/lovagetack/grant", base::to_json_text(body)).body, answer));
    return answer;
}

/// Grants all keys of service s under fence 5.1, with a lease from the server's present clock.
model::grant_answer grant_all(const std::string& address, std::chrono::microseconds lease_time) {
    model::grant_poll body;
    body.epoch = model::epoch(5);
    const auto first = poll(address, body);
    body.lease_from = first.clock;
    body.lease_boot_id = first.boot_id;
    body.lease_time = lease_time;
    body.replace_ranges = true;
    body.ranges = {{model::service_id("s"), 0, UINT64_MAX, {model::epoch(5), 1}}};
    return poll(address, body);
}

harness::http_result request(const std::string& address, const std::string& fence) {
    harness::http_call call;
    call.address = address;
    call.method = "POST";
    call.target = "/s/k/x";
    call.headers = {{"lovagetack-key", "k"}, {"lovagetack-request-id", "r1"}, {"lovagetack-fence", fence}};
    return call.run();
}

std::string transaction(const std::string& key, int version, const std::string& value) {
    const QString text = QStringLiteral(R"({"conditions":[{"table":"t","key":"%1","version":%2}],)"
                                        R"("writes":[{"table":"t","key":"%1","value":"%3"}]})");
    return text.arg(QString::fromStdString(key)).arg(version).arg(QString::fromStdString(value)).toStdString();
}

} // namespace

// A stand-in that executed requests with an outdated fence would hide that a key had two owners.
TEST_CASE("a request with another fence or without a lease is refused as not run") {
    const harness::temporary_folder folder;
    auto backend = start_backend(folder, R"({"checks_grants":true})");
    const auto address = backend.listening(1)["a"];
    CHECK(request(address, "5.1").status == 421);

    grant_all(address, harness::hung_after);
    CHECK(request(address, "5.1").status == 200);
    for (const auto* fence : {"4.9", "5.0", "5.2", ""}) {
        const auto refused = request(address, fence);
        CHECK(refused.status == 421);
        CHECK(refused.header("lovagetack-outcome") == "not-run");
    }
    CHECK(json_of(http_get(address, "/control/executions")).value("total").toInt() == 1);
}

// A controller with an older epoch must not be able to grant, and grants must not remain after a restart.
TEST_CASE("an older epoch is refused, and a restart discards epoch and grants") {
    const harness::temporary_folder folder;
    auto backend = start_backend(folder, R"({"checks_grants":true})");
    const auto address = backend.listening(1)["a"];
    const auto granted = grant_all(address, harness::hung_after);
    model::grant_poll older;
    older.epoch = model::epoch(4);
    CHECK_FALSE(poll(address, older).accepted);

    http_post(address, "/control", R"({"restart":true})");
    const auto answer = poll(address, older);
    CHECK(answer.accepted);
    CHECK(answer.boot_id != granted.boot_id);
    CHECK(answer.ranges.empty());
    CHECK(request(address, "5.1").status == 421);
}

// A server that was paused must not use a lapsed lease when it resumes.
TEST_CASE("a lease lapses by the server's own clock while the server is paused") {
    const harness::temporary_folder folder;
    auto backend = start_backend(folder, R"({"checks_grants":true,"clock_offset_ms":-100000})");
    const auto address = backend.listening(1)["a"];
    grant_all(address, std::chrono::seconds(2));
    CHECK(poll(address, {}).clock < base::boot_clock::now().time_since_epoch() - std::chrono::seconds(99));
    backend.pause();
    const auto lapsed = base::boot_clock::now() + std::chrono::seconds(2);
    harness::wait_for([&] { return base::boot_clock::now() > lapsed; }, "end of the lease");
    backend.resume();
    const auto refused = request(address, "5.1");
    CHECK(refused.status == 421);
    CHECK(refused.body == "lease lapsed\n");
}

// The table service must not write part of a transaction whose conditions do not hold.
TEST_CASE("a transaction with a stale version conflicts and writes nothing") {
    const harness::temporary_folder folder;
    auto platform = start(folder, {"platform", "--listen", any_port});
    const auto address = platform.listening(1)["platform"];
    CHECK(http_post(address, "/v1/transactions", transaction("k", 0, "first")).status == 200);
    const auto conflict = http_post(address, "/v1/transactions", transaction("k", 0, "second"));
    CHECK(conflict.status == 409);
    const auto present = json_of(http_get(address, "/v1/rows/t/k"));
    CHECK(present.value("value").toString() == "first");
    CHECK(json_of(conflict).value("conflicts").toArray().at(0).toObject().value("version") == present.value("version"));
}

// Checks that the simulated fault happens: the answer is lost and the write takes effect.
TEST_CASE("a transaction whose answer is lost has taken effect") {
    const harness::temporary_folder folder;
    auto platform = start(folder, {"platform", "--listen", any_port});
    const auto address = platform.listening(1)["platform"];
    http_post(address, "/control", R"({"mode":"lose-answers","count":1})");
    CHECK(http_post(address, "/v1/transactions", transaction("k", 0, "kept")).end == call_end::closed);
    CHECK(json_of(http_get(address, "/v1/rows/t/k")).value("value").toString() == "kept");
    CHECK(http_post(address, "/v1/transactions", transaction("l", 0, "next")).status == 200);
    const auto history = json_of(http_get(address, "/control/history")).value("transactions").toArray();
    REQUIRE(history.size() == 2);
    CHECK(history.at(0).toObject().value("answer_lost").toBool());
    CHECK_FALSE(history.at(1).toObject().value("answer_lost").toBool());
}

// The proxy must lose bytes only in the given direction and must not change those that it forwards.
TEST_CASE("a link forwards complete bodies, loses bytes in one direction, and refuses connections when cut") {
    const harness::temporary_folder folder;
    auto backend = start_backend(folder, "{}");
    const auto server = backend.listening(1)["a"];
    auto proxy = start(folder, {"proxy", "--listen", any_port, "--to", server, "--name", "l", "--control", any_port});
    auto addresses = proxy.listening(2);
    const auto link = addresses["l"];
    const auto set_mode = [&](const std::string& mode) {
        const auto command = R"({"link":"l","mode":")" + mode + "\"}";
        REQUIRE(http_post(addresses["control"], "/control", command).status == 200);
    };
    const auto executions = [&] { return json_of(http_get(server, "/control/counters")).value("executions").toInt(); };
    constexpr std::uint64_t size = 3000001;
    CHECK(http_get(link, "/s/k/size/" + std::to_string(size)).body == body_pattern("", 0, size));
    CHECK(http_get(link, "/s/k/cut/100000").end == call_end::cut_short);
    REQUIRE(executions() == 2);

    harness::http_call lost;
    lost.address = link;
    lost.target = "/s/k/x";
    lost.limit = std::chrono::milliseconds(300);
    set_mode("drop-to-client");
    CHECK(lost.run().end == call_end::timed_out);
    harness::wait_for([&] { return executions() == 3; }, "the request to reach the server");
    set_mode("drop-to-server");
    CHECK(lost.run().end == call_end::timed_out);
    CHECK(executions() == 3);
    set_mode("cut");
    CHECK(http_get(link, "/s/k/x").end == call_end::refused);
    set_mode("pass");
    CHECK(http_get(link, "/s/k/x").status == 200);
}

// With a stand-in that never refused or failed work, tests of draining and ramps could not fail.
TEST_CASE("a draining or cold server refuses or fails work, and records it") {
    const harness::temporary_folder folder;
    auto backend = start_backend(folder, R"({"starts_cold":true,"cold_first_rate":0,"overload_delay_ms":0})");
    const auto address = backend.listening(1)["a"];
    CHECK(request(address, "").status == 500);
    const auto records = json_of(http_get(address, "/control/executions")).value("executions").toArray();
    CHECK(records.at(0).toObject().value("overloaded").toBool());
    http_post(address, "/control", R"({"draining":true})");
    const auto refused = request(address, "");
    CHECK(refused.status == 503);
    CHECK(refused.header("lovagetack-outcome") == "not-run");
    CHECK(poll(address, {}).draining);
}

} // namespace lovagetack::stand_ins
