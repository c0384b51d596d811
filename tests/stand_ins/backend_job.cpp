#include "stand_ins/backend_job.hpp"

#include <charconv>
#include <chrono>
#include <string_view>

#include "base/key_hash.hpp"

namespace lovagetack::stand_ins {

namespace {

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end == text.data()) {
        return std::nullopt;
    }
    return number;
}

std::optional<model::fence> read_fence(std::string_view text) {
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto epoch = read_number(text.substr(0, dot));
    const auto sequence = read_number(text.substr(dot + 1));
    if (!epoch || !sequence) {
        return std::nullopt;
    }
    return model::fence{model::epoch(*epoch), *sequence};
}

/// The number after a path segment, for example 7 of "/size/" in "/maps/x/size/7".
std::optional<std::uint64_t> number_after(std::string_view path, std::string_view segment) {
    const auto found = path.rfind(segment);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    return read_number(path.substr(found + segment.size()));
}

} // namespace

std::shared_ptr<backend_job> read_job(const std::shared_ptr<http_exchange>& exchange, base::boot_time now) {
    const auto& request = exchange->request();
    auto job = std::make_shared<backend_job>();
    job->exchange = exchange;
    job->request_id = request.header("lovagetack-request-id");
    job->key = request.header("lovagetack-key");
    job->fence = read_fence(request.header("lovagetack-fence"));
    const auto path = request.path();
    job->service = path.substr(1, path.find('/', 1) - 1);
    if (const auto remaining = read_number(request.header("lovagetack-deadline-ms"))) {
        job->deadline = now + std::chrono::milliseconds(*remaining);
    }
    return job;
}

http_response answer_of(const backend_job& job, const std::string& server) {
    const auto& request = job.exchange->request();
    http_response response;
    response.headers.emplace_back("lovagetack-backend-server", server);
    response.headers.emplace_back("lovagetack-request-id", job.request_id);
    const auto path = request.path();
    if (const auto size = number_after(path, "/size/")) {
        response.content_type = "application/octet-stream";
        response.generated = generated_body{job.request_id, *size, *size};
        return response;
    }
    if (const auto size = number_after(path, "/cut/")) {
        response.content_type = "application/octet-stream";
        response.generated = generated_body{job.request_id, *size, *size / 2};
        return response;
    }
    response.body = "request " + job.request_id + "\nkey " + job.key + "\nserver " + server + "\nmethod " +
                    request.method + "\nbody " + std::to_string(request.body.size()) + ' ' +
                    std::to_string(base::key_hash(request.body)) + '\n';
    return response;
}

} // namespace lovagetack::stand_ins
