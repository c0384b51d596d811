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

/// The operators' HTTP endpoint. Handlers return their response synchronously; QHttpServer is reliable only for that.
class admin_server {
public:
    /// Provides the contents of the pages and receives the service states that operators set.
    class source {
    public:
        source() = default;
        source(const source&) = delete;
        source& operator=(const source&) = delete;
        virtual ~source() = default;

        /// True while a load balancer should send callers to this instance.
        [[nodiscard]] virtual bool is_ready() const = 0;
        [[nodiscard]] virtual std::string metrics_text() = 0;
        [[nodiscard]] virtual QJsonObject status() const = 0;
        [[nodiscard]] virtual QJsonObject explain(const std::string& service, const std::string& key) const = 0;
        [[nodiscard]] virtual std::string timeline_text(std::uint64_t after) const = 0;
        virtual void set_service_state(const model::service_state& state) = 0;
    };

    /// The source must outlive the server.
    explicit admin_server(source& source);

    /// Fails with address_in_use.
    base::result<void> listen(const model::address& address);

private:
    void add_routes();
    QHttpServerResponse handle_service_state(const QHttpServerRequest& request);

    source& source_;
    QHttpServer server_;
};

} // namespace lovagetack::service
