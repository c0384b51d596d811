#include "accounts/directory.hpp"

#include <utility>

namespace lovagetack::accounts {

directory::builder& directory::builder::add(client_account account, const std::vector<credential>& keys) {
    entries_.emplace_back(std::move(account), keys);
    return *this;
}

base::result<directory> directory::builder::build() {
    directory built;
    for (auto& [account, keys] : entries_) {
        const auto name = account.name;
        if (!built.accounts_.emplace(name, std::move(account)).second) {
            return base::failure(base::result_code::settings_invalid,
                                 "client account '" + name.value() + "': the name is given twice");
        }
        for (const auto& key : keys) {
            const auto [known, is_new] = built.keys_.emplace(key, name);
            if (!is_new && known->second != name) {
                return base::failure(base::result_code::settings_invalid, "client accounts '" + known->second.value() +
                                                                              "' and '" + name.value() +
                                                                              "' share a key");
            }
        }
    }
    entries_.clear();
    return built;
}

const client_account* directory::find(const credential& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : find(found->second);
}

const client_account* directory::find(const model::client_account_id& name) const {
    const auto found = accounts_.find(name);
    return found == accounts_.end() ? nullptr : &found->second;
}

identification identify(const directory& directory, const std::optional<credential>& shown, bool anonymous_route) {
    if (directory.empty()) {
        return {};
    }
    if (!shown) {
        return {!anonymous_route, nullptr};
    }
    const auto* const account = directory.find(*shown);
    return {account == nullptr, account};
}

} // namespace lovagetack::accounts
