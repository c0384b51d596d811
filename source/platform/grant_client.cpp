#include "platform/grant_client.hpp"

#include <algorithm>
#include <utility>

#include "base/boot_time.hpp"

namespace lovagetack::platform {
namespace {

std::chrono::microseconds now() {
    return base::boot_clock::now().time_since_epoch();
}

} // namespace

grant_client::grant_client(const grant_limits& limits, handler on_answer)
    : limits_(limits), on_answer_(std::move(on_answer)) {
    refusal_timer_.setSingleShot(true);
    QObject::connect(&refusal_timer_, &QTimer::timeout, &refusal_timer_, [this] {
        for (const auto& refused : std::exchange(refused_, {})) {
            on_answer_(refused);
        }
    });
}

grant_connection* grant_client::free_connection(backend_server_connections& connections) {
    // Prefers an open connection; a closed one is opened again before another one is added.
    grant_connection* closed = nullptr;
    for (const auto& connection : connections.list) {
        if (connection->busy()) {
            continue;
        }
        if (connection->connected()) {
            return connection.get();
        }
        closed = connection.get();
    }
    if (closed == nullptr && connections.list.size() < limits_.connections) {
        connections.list.push_back(std::make_unique<grant_connection>(connections.address, limits_.answer_bytes));
        closed = connections.list.back().get();
    }
    connections_opened_ += closed != nullptr ? 1 : 0;
    return closed;
}

void grant_client::execute(const ownership::send_grant_poll& poll) {
    auto& connections = backend_servers_[poll.backend_server];
    auto report = [this, backend_server = poll.backend_server,
                   number = poll.poll](std::optional<model::grant_answer> answer) {
        on_answer_({backend_server, number, std::move(answer)});
    };
    if (connections.address != poll.address) {
        const bool busy = std::any_of(connections.list.begin(), connections.list.end(),
                                      [](const auto& connection) { return connection->busy(); });
        if (!busy) {
            connections.list.clear();
            connections.address = poll.address;
        }
    }
    connections.last_used = now();
    grant_connection* connection = connections.address == poll.address ? free_connection(connections) : nullptr;
    if (connection == nullptr) {
        refused_.push_back({poll.backend_server, poll.poll, std::nullopt});
        refusal_timer_.start(0);
        return;
    }
    connection->post(poll.body, limits_.timeout, std::move(report));
}

void grant_client::close_unused(std::chrono::milliseconds unused_for) {
    const auto oldest = now() - unused_for;
    std::erase_if(backend_servers_, [&](const auto& entry) {
        const auto& connections = entry.second;
        return connections.last_used < oldest &&
               std::none_of(connections.list.begin(), connections.list.end(),
                            [](const auto& connection) { return connection->busy(); });
    });
}

} // namespace lovagetack::platform
