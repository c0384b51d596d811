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

/// Body type of the parser: bytes are appended to a string that the reader of the message empties again and again.
/// Unlike Beast's string_body it reserves nothing for a declared length, which a caller could make arbitrarily large.
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
    /// The header is complete, or body bytes were taken.
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

    /// Starts a new message. For the answer to HEAD, skip_body tells that none follows the header.
    void reset(bool skip_body = false) {
        parser_.emplace();
        parser_->header_limit(header_limit);
        // Beast 1.74 takes boost::none for a limit of 0 where a length is declared. Bodies are counted by the caller.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->skip(skip_body);
        header_bytes_ = 0;
        waits_for_chunk_header_ = false;
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

    /// Takes body bytes from the input and appends them to body().
    read_step read_body(boost::beast::flat_buffer& input) {
        // Beast 1.74 asserts that a last chunk which it sees for the second time has at least 5 bytes.
        const std::size_t least = waits_for_chunk_header_ ? 5 : 1;
        if (input.size() < least) {
            return read_step::need_more;
        }
        boost::beast::error_code error;
        const auto used = parser_->put(input.data(), error);
        input.consume(used);
        if (error && error != boost::beast::http::error::need_more) {
            return read_step::malformed;
        }
        waits_for_chunk_header_ = error && !parser_->is_done();
        if (waits_for_chunk_header_ && input.size() > header_limit) {
            return read_step::malformed;
        }
        return used > 0 ? read_step::progress : read_step::need_more;
    }

    /// The connection ended; true when that is the proper end of this message.
    bool finish_at_end() {
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

    /// Bytes of a header, and of a chunk's header or the trailer.
    static constexpr std::uint32_t header_limit = 16U * 1024U;

private:
    std::optional<parser_type> parser_;
    std::size_t header_bytes_ = 0;
    bool waits_for_chunk_header_ = false;
};

} // namespace lovagetack::http
