#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <QJsonObject>

#include "base/fields.hpp"
#include "stand_ins/delayed_calls.hpp"
#include "stand_ins/http_server.hpp"
#include "stand_ins/platform_store.hpp"

namespace lovagetack::stand_ins {

/// Totals since the start of the process, without control calls.
struct platform_counters {
    std::int64_t row_reads = 0;
    std::int64_t list_reads = 0;
    std::int64_t transactions = 0;
    std::int64_t conflicts = 0;
    std::int64_t lost_answers = 0;
    std::int64_t refused = 0;
    std::int64_t object_reads = 0;
    std::int64_t object_writes = 0;
    std::int64_t instance_reads = 0;
};

/// Simulates the platform's table service, object store and list of instances at one HTTP address, with control calls:
///
/// - `POST /control` `{"mode":"up|down|slow|lose-answers|refuse-writes","delay_ms":n,"count":n}`. down: connections are
///   accepted and closed; slow: requests take effect at once and are answered after delay_ms; lose-answers: the next
///   count transactions take effect and their connections are closed without an answer, then the mode is up again;
///   refuse-writes: transactions and object writes are answered 503 and have no effect.
/// - `PUT|DELETE /control/instances/<name>`: one entry of the list of instances; the body is the entry.
/// - `GET /control/history[?after=N]`: transactions in order, as `{"total":n,"transactions":[transaction_record...]}`.
/// - `GET /control/counters`: platform_counters.
class platform_server {
public:
    platform_server();

    [[nodiscard]] base::result<model::address> listen(const model::address& address) { return http_.listen(address); }

private:
    enum class mode : std::uint8_t { up, down, slow, lose_answers, refuse_writes };

    void handle(const exchange_pointer& exchange);
    void serve(const exchange_pointer& exchange);
    void respond(const exchange_pointer& exchange, const http_response& response);

    void read_rows(const exchange_pointer& exchange, std::string_view path);
    void transact(const exchange_pointer& exchange);
    void serve_object(const exchange_pointer& exchange, const std::string& name);
    void read_instances(const exchange_pointer& exchange);

    void control(const exchange_pointer& exchange, std::string_view path);
    void change_mode(const exchange_pointer& exchange);
    void change_instance(const exchange_pointer& exchange, const std::string& name);
    void read_history(const exchange_pointer& exchange);

    [[nodiscard]] bool lose_answer();

    platform_store store_;
    platform_counters counters_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, QJsonObject> instances_;
    mode mode_ = mode::up;
    std::chrono::milliseconds delay_{0};
    std::int64_t answers_to_lose_ = 0;
    delayed_calls delayed_;
    http_server http_;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::platform_counters> {
    static constexpr std::string_view name = "platform_counters";
    static constexpr auto list =
        std::make_tuple(make_field("row_reads", &stand_ins::platform_counters::row_reads),
                        make_field("list_reads", &stand_ins::platform_counters::list_reads),
                        make_field("transactions", &stand_ins::platform_counters::transactions),
                        make_field("conflicts", &stand_ins::platform_counters::conflicts),
                        make_field("lost_answers", &stand_ins::platform_counters::lost_answers),
                        make_field("refused", &stand_ins::platform_counters::refused),
                        make_field("object_reads", &stand_ins::platform_counters::object_reads),
                        make_field("object_writes", &stand_ins::platform_counters::object_writes),
                        make_field("instance_reads", &stand_ins::platform_counters::instance_reads));
};
