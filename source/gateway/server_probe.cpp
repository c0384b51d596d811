#include "gateway/server_probe.hpp"

#include <utility>

namespace lovagetack::gateway {

server_probe::server_probe(http::connection_pool& pool, done_function done) : pool_(pool), done_(std::move(done)) {}

server_probe::~server_probe() {
    pool_.forget(*this);
}

void server_probe::begin() {
    pool_.acquire(*this, true);
}

void server_probe::connection_ready(const std::shared_ptr<http::client_connection>& connection) {
    pool_.release(connection);
    done_(routing::probe_outcome::connected);
}

void server_probe::connection_failed() {
    done_(pool_.refuses_connections() ? routing::probe_outcome::refused : routing::probe_outcome::unanswered);
}

} // namespace lovagetack::gateway
