#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <QHttpServer>
#include <QJsonObject>

#include "base/result.hpp"
#include "model/address.hpp"
#include "model/service_state.hpp"

namespace lovagetack::service {

/// The operators' HTTP endpoint. Every handler answers at once, which is what QHttpServer can be trusted with.
class admin_server {
public:
    /// Where the pages come from.
    class source {
    public:
        source() = default;
        source(const source&) = delete;
        source& operator=(const source&) = delete;
        virtual ~source() = default;

        /// True while the balancer should send callers here.
        [[nodiscard]] virtual bool is_ready() const = 0;
        [[nodiscard]] virtual std::string metrics_text() = 0;
        [[nodiscard]] virtual QJsonObject status() const = 0;
        [[nodiscard]] virtual QJsonObject explain(const std::string& service, const std::string& key) const = 0;
        [[nodiscard]] virtual std::string timeline_text(std::uint64_t after) const = 0;
        virtual void order(const model::service_state& state) = 0;
    };

    /// The source must live longer.
    explicit admin_server(source& source);

    /// Fails with address_in_use.
    base::result<void> listen(const model::address& address);

private:
    void add_routes();
    QHttpServerResponse take_order(const QHttpServerRequest& request);

    source& source_;
    QHttpServer server_;
};

} // namespace lovagetack::service
