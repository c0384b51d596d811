#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include <QNetworkAccessManager>
#include <QNetworkReply>

#include "membership/event.hpp"
#include "model/address.hpp"
#include "model/store.hpp"

/// Calls to the platform and to backend servers' control endpoints.
namespace lovagetack::platform {

/// Totals since the start.
struct store_counters {
    std::uint64_t calls = 0;
    std::uint64_t conflicts = 0;
    /// No answer in time, a broken connection, an answer with status 5xx or one that cannot be read.
    std::uint64_t unknown = 0;
};

/// Client of the platform's table service and of its list of instances. QNetworkAccessManager may send a call twice
/// when a persistent connection breaks, so every transaction must carry conditions that fail the second time.
class store_client {
public:
    using reply_handler = std::function<void(const model::store_reply&)>;
    using list_handler = std::function<void(const membership::instances_listed&)>;

    static constexpr std::chrono::milliseconds default_timeout = std::chrono::milliseconds(2000);

    /// on_list is called only for lists that could be read; a failed call is only counted as unknown.
    store_client(model::address platform, std::chrono::milliseconds timeout, reply_handler on_reply,
                 list_handler on_list);

    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    ~store_client();

    /// Reads one row by its key (version 0 when it is absent) or, with an empty key, all rows of the table.
    void execute(const model::store_read& read);

    /// Runs a transaction. The reply is done with the new versions, conflict with the versions found as rows without
    /// values, or unknown.
    void execute(const model::store_transaction& transaction);

    void list_instances();

    [[nodiscard]] const store_counters& counters() const { return counters_; }

private:
    [[nodiscard]] QNetworkRequest request(const QString& path) const;
    void start_timeout(QNetworkReply* reply) const;
    void finish(const model::store_reply& reply);

    model::address platform_;
    std::chrono::milliseconds timeout_;
    reply_handler on_reply_;
    list_handler on_list_;
    store_counters counters_;
    std::unique_ptr<QNetworkAccessManager> manager_;
};

} // namespace lovagetack::platform
