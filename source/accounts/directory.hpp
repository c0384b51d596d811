#pragma once

#include <map>
#include <optional>
#include <vector>

#include "accounts/client_account.hpp"
#include "accounts/credential.hpp"
#include "base/result.hpp"
#include "model/ids.hpp"

namespace lovagetack::accounts {

/// The client accounts of one version of the configuration and their keys.
class directory {
public:
    class builder {
    public:
        builder& add(client_account account, const std::vector<credential>& keys);
        /// Fails with settings_invalid if two accounts have one name or share a key.
        [[nodiscard]] base::result<directory> build();

    private:
        std::vector<std::pair<client_account, std::vector<credential>>> entries_;
    };

    /// Without accounts, requests need no key.
    [[nodiscard]] bool empty() const { return accounts_.empty(); }
    /// The account that a key belongs to; null if there is none.
    [[nodiscard]] const client_account* find(const credential& key) const;
    [[nodiscard]] const client_account* find(const model::client_account_id& name) const;
    [[nodiscard]] const std::map<model::client_account_id, client_account>& accounts() const { return accounts_; }

private:
    std::map<model::client_account_id, client_account> accounts_;
    std::map<credential, model::client_account_id> keys_;
};

/// Who a request is from.
struct identification {
    /// The request has to be refused.
    bool refused = false;
    /// Null for an anonymous request.
    const client_account* account = nullptr;
};

/// Identifies the sender of a request by the key that it shows. A key that no account has is refused on every route;
/// a request without one only where the route is not anonymous.
[[nodiscard]] identification identify(const directory& directory, const std::optional<credential>& shown,
                                      bool anonymous_route);

} // namespace lovagetack::accounts
