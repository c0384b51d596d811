#include "service/side_request.hpp"

#include <utility>

namespace lovagetack::service {

side_request::side_request(http::connection_pool& pool, std::string text, done_function done)
    : pool_(pool), text_(std::move(text)), done_(std::move(done)) {}

side_request::~side_request() {
    pool_.forget(*this);
    if (connection_) {
        connection_->abort();
        pool_.release(connection_);
    }
}

void side_request::connection_ready(const std::shared_ptr<http::client_connection>& connection) {
    connection_ = connection;
    connection_->start(*this, false, text_);
    connection_->end_request();
}

void side_request::check_time(http::client_connection::clock::time_point now) {
    if (now - since_ > time_limit) {
        end(false);
    }
}

void side_request::end(bool answered) {
    pool_.forget(*this);
    if (connection_) {
        const auto connection = std::exchange(connection_, nullptr);
        if (!answered) {
            connection->abort();
        }
        pool_.release(connection);
    }
    if (done_) {
        std::exchange(done_, nullptr)(*this, answered);
    }
}

} // namespace lovagetack::service
