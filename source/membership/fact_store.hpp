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

/// All facts known to an instance, at most one per name. A stored fact is only ever replaced by a newer one.
class fact_store {
public:
    enum class outcome : std::uint8_t { stored, not_newer, refused };

    explicit fact_store(const limits& limits) : limits_(limits) {}

    /// digested tells whether the fact counts in the digest, which all instances must answer alike for equal facts.
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

    /// Names and versions of everything but load reports, which are replaced within seconds anyway.
    [[nodiscard]] std::vector<model::fact_summary> summaries() const;
    /// Facts that are absent from the list or older in it.
    [[nodiscard]] std::vector<model::fact> newer_than(const std::vector<model::fact_summary>& known) const;
    /// The list has a fact that is absent or older here.
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
