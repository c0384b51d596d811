#include "load/load_request.hpp"

#include <utility>

namespace lovagetack::load {

load_request::load_request(done_function done) : done_(std::move(done)) {}

load_request::~load_request() {
    if (connection_) {
        connection_->abort();
        pool_->release(connection_);
    } else if (pool_ != nullptr) {
        pool_->forget(*this);
    }
}

void load_request::send(http::connection_pool& pool, std::string text, clock::time_point planned) {
    pool_ = &pool;
    text_ = std::move(text);
    planned_ = planned;
    answer_ = {};
    pool.acquire(*this, false);
}

void load_request::check_time(clock::time_point now, std::chrono::milliseconds limit) {
    if (pool_ == nullptr || now - planned_ < limit) {
        return;
    }
    if (connection_) {
        connection_->abort();
    } else {
        pool_->forget(*this);
    }
    end(0);
}

void load_request::connection_ready(const std::shared_ptr<http::client_connection>& connection) {
    connection_ = connection;
    connection_->start(*this, false, text_);
    connection_->end_request();
}

void load_request::answer_started(const http::client_connection::answer& header, bool /*chunked*/, bool /*has_body*/) {
    answer_.status = static_cast<int>(header.result_int());
    const auto outcome = header.find("lovagetack-outcome");
    if (outcome != header.end()) {
        answer_.outcome = std::string(outcome->value());
    }
    const auto server = header.find("lovagetack-backend-server");
    if (server != header.end()) {
        answer_.backend_server = std::string(server->value());
    }
}

void load_request::end(int status) {
    answer_.status = status;
    answer_.latency = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - planned_);
    if (connection_) {
        pool_->release(connection_);
        connection_.reset();
    }
    pool_ = nullptr;
    done_(*this, answer_);
}

} // namespace lovagetack::load
