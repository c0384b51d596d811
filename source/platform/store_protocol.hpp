#pragma once

#include <optional>

#include <QByteArray>
#include <QString>

#include "membership/event.hpp"
#include "model/store.hpp"

/// Paths and bodies of the platform's HTTP protocol. Numbers are JSON numbers here, unlike in base::to_json.
namespace lovagetack::platform {

[[nodiscard]] QString path_of(const model::store_read& read);
[[nodiscard]] QByteArray body_of(const model::store_transaction& transaction);

/// The reply to a read. status is the HTTP status, 0 without an answer.
[[nodiscard]] model::store_reply read_reply(const model::store_read& read, int status, const QByteArray& body);

/// The reply to a transaction. status is the HTTP status, 0 without an answer.
[[nodiscard]] model::store_reply read_reply(const model::store_transaction& transaction, int status,
                                            const QByteArray& body);

/// Nothing when the body is not a list of instances. Entries without a valid address are left out.
[[nodiscard]] std::optional<membership::instances_listed> read_instances(int status, const QByteArray& body);

} // namespace lovagetack::platform
