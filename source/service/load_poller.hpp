#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include <QNetworkAccessManager>

#include "model/deployment.hpp"
#include "requests/event.hpp"

namespace lovagetack::service {

/// Reads GET /lovagetack/load of the backend servers whose home is this instance: boot id, uptime and whether the
/// backend server is draining. The load figures in the answer are delayed and not used. QNetworkAccessManager may send
/// a request twice, which is harmless for a GET.
class load_poller {
public:
    using handler = std::function<void(const requests::backend_server_observed&)>;

    explicit load_poller(handler on_observation);

    void poll(const std::vector<model::backend_server>& servers);

private:
    static constexpr std::chrono::milliseconds timeout{400};

    void read(const model::backend_server_id& server, const QByteArray& body);

    handler on_observation_;
    std::unique_ptr<QNetworkAccessManager> manager_;
};

} // namespace lovagetack::service
