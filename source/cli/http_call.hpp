#pragma once

#include <string>
#include <utility>
#include <vector>

#include <QByteArray>

#include "base/result.hpp"
#include "model/address.hpp"

namespace lovagetack::cli {

struct http_answer {
    int status = 0;
    QByteArray body;
};

/// Name and value of a header field.
using header_field = std::pair<std::string, std::string>;

/// Blocking calls of the command line tools to an instance's operators' address or the platform, with a limit of 10 s.
/// A call may be sent twice, so it must be safe to repeat. Fails with peer_unreachable.
[[nodiscard]] base::result<http_answer> http_get(const model::address& address, const std::string& path_and_query,
                                                 const std::vector<header_field>& fields = {});
[[nodiscard]] base::result<http_answer> http_post(const model::address& address, const std::string& path,
                                                  const QByteArray& body);

/// Percent-encodes a query value.
[[nodiscard]] std::string encode_query(const std::string& value);

} // namespace lovagetack::cli
