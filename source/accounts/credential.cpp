#include "accounts/credential.hpp"

#include <algorithm>

#include <QByteArray>
#include <QCryptographicHash>

namespace lovagetack::accounts {

credential credential_of(std::string_view key) {
    const auto digest = QCryptographicHash::hash(
        QByteArray::fromRawData(key.data(), static_cast<qsizetype>(key.size())), QCryptographicHash::Sha256);
    credential result;
    std::copy(digest.begin(), digest.end(), result.digest.begin());
    return result;
}

std::string to_text(const credential& credential) {
    const auto* const bytes = reinterpret_cast<const char*>(credential.digest.data());
    return QByteArray::fromRawData(bytes, static_cast<qsizetype>(credential.digest.size())).toHex().toStdString();
}

std::optional<credential> credential_from_text(std::string_view text) {
    credential result;
    const QByteArray given(text.data(), static_cast<qsizetype>(text.size()));
    const auto digest = QByteArray::fromHex(given);
    if (digest.size() != std::ssize(result.digest) || digest.toHex() != given) {
        return std::nullopt;
    }
    std::copy(digest.begin(), digest.end(), result.digest.begin());
    return result;
}

} // namespace lovagetack::accounts
