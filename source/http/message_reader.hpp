#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace lovagetack::http {

/// Body type of the parser: bytes are appended to a string that the user of the message clears after each part.
/// Unlike Beast's string_body it reserves no memory for a declared length, which a caller could make arbitrarily large.
struct streamed_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& body) : body_(body) {}

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) { error = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char*>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            error = {};
            return size;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

enum class read_step : std::uint8_t {
    /// More bytes must be received first.
    need_more = 0,
    /// The header is complete, or body bytes were consumed.
    progress = 1,
    too_large = 2,
    malformed = 3,
};

/// Reads one message at a time from a buffer of received bytes.
template <bool is_request>
class message_reader {
public:
    using parser_type = boost::beast::http::parser<is_request, streamed_body>;
    using message_type = boost::beast::http::message<is_request, streamed_body>;

    message_reader() { reset(); }

    /// Starts a new message. `skip_body` is set for the answer to a HEAD request, which has no body after the header.
    void reset(bool skip_body = false) {
        parser_.emplace();
        parser_->header_limit(header_limit);
        // Beast 1.74 treats boost::none as a limit of 0 if a length is declared, so the limit is the largest number.
        // The users of this class count the body bytes.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->skip(skip_body);
        header_bytes_ = 0;
        awaiting_chunk_header_ = false;
    }

    read_step read_header(boost::beast::flat_buffer& input) {
        if (input.size() == 0) {
            return read_step::need_more;
        }
        boost::beast::error_code error;
        const auto used = parser_->put(input.data(), error);
        input.consume(used);
        header_bytes_ += used;
        if (error == boost::beast::http::error::header_limit) {
            return read_step::too_large;
        }
        if (error && error != boost::beast::http::error::need_more) {
            return read_step::malformed;
        }
        const bool complete = parser_->is_header_done();
        if (header_bytes_ + (complete ? 0 : input.size()) > header_limit) {
            return read_step::too_large;
        }
        if (!complete) {
            return read_step::need_more;
        }
        parser_->eager(true);
        return read_step::progress;
    }

    /// Consumes body bytes of the input and appends them to body().
    read_step read_body(boost::beast::flat_buffer& input) {
        // Beast 1.74 asserts that a last chunk has at least 5 bytes when it is parsed for the second time.
        const std::size_t minimum_bytes = awaiting_chunk_header_ ? 5 : 1;
        if (input.size() < minimum_bytes) {
            return read_step::need_more;
        }
        boost::beast::error_code error;
        const auto used = parser_->put(input.data(), error);
        input.consume(used);
        if (error && error != boost::beast::http::error::need_more) {
            return read_step::malformed;
        }
        awaiting_chunk_header_ = error && !parser_->is_done();
        if (awaiting_chunk_header_ && input.size() > header_limit) {
            return read_step::malformed;
        }
        return used > 0 ? read_step::progress : read_step::need_more;
    }

    /// Called when the connection has ended; returns whether the message is complete.
    bool finish_at_eof() {
        if (!parser_->got_some()) {
            return false;
        }
        boost::beast::error_code error;
        parser_->put_eof(error);
        return !error && parser_->is_done();
    }

    [[nodiscard]] bool header_done() const { return parser_->is_header_done(); }
    [[nodiscard]] bool complete() const { return parser_->is_done(); }
    [[nodiscard]] bool keep_alive() const { return parser_->keep_alive(); }
    [[nodiscard]] bool chunked() const { return parser_->chunked(); }
    [[nodiscard]] const message_type& message() const { return parser_->get(); }
    [[nodiscard]] std::string& body() { return parser_->get().body(); }

    /// Limit in bytes on a header, and on a chunk header or the trailer.
    static constexpr std::uint32_t header_limit = 16U * 1024U;

private:
    std::optional<parser_type> parser_;
    std::size_t header_bytes_ = 0;
    bool awaiting_chunk_header_ = false;
};

} // namespace lovagetack::http
