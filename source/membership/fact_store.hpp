#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "membership/limits.hpp"
#include "model/fact.hpp"
#include "model/peer_message.hpp"

namespace lovagetack::membership {

/// True when a replaces b.
[[nodiscard]] bool is_newer(const model::fact_version& a, const model::fact_version& b);

/// All facts known to an instance, at most one per kind and name. Only a newer fact replaces a stored one.
class fact_store {
public:
    enum class outcome : std::uint8_t { stored, not_newer, refused };

    explicit fact_store(const limits& limits) : limits_(limits) {}

    /// digested says whether the fact counts in the digest. All instances must pass the same value for equal facts, or
    /// their digests differ.
    outcome put(const model::fact& fact, bool digested);
    void erase(model::fact_kind kind, const std::string& name);

    /// The fact, or null.
    [[nodiscard]] const model::fact* find(model::fact_kind kind, const std::string& name) const;
    void for_each(model::fact_kind kind, const std::function<void(const model::fact&)>& visit) const;

    /// Sum of a hash of name and version of every digested fact; equal facts give equal digests in any order.
    [[nodiscard]] std::uint64_t digest() const { return digest_; }
    [[nodiscard]] std::size_t size() const { return facts_.size(); }
    /// Bytes of names and values.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

    /// Names and versions of all facts except load reports, which are replaced within seconds.
    [[nodiscard]] std::vector<model::fact_summary> summaries() const;
    /// Facts that are absent from the list or older in it.
    [[nodiscard]] std::vector<model::fact> newer_than(const std::vector<model::fact_summary>& known) const;
    /// True when the list has a fact that is absent here or a newer version of one.
    [[nodiscard]] bool is_behind(const std::vector<model::fact_summary>& known) const;

private:
    struct entry {
        model::fact fact;
        bool digested = false;
    };
    struct name_order {
        bool operator()(const model::fact_name& a, const model::fact_name& b) const {
            return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
        }
    };

    [[nodiscard]] bool has_room_for(const model::fact& fact, const entry* replaced) const;

    const limits& limits_;
    std::map<model::fact_name, entry, name_order> facts_;
    std::uint64_t digest_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace lovagetack::membership
