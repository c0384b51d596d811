#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/ids.hpp"
#include "routing/accounts/counter_role.hpp"

namespace lovagetack::routing {

/// Keys of a service divided by key are numbers below this.
constexpr std::uint32_t key_count = 65536;

/// Neighbouring keys with one owner.
struct key_range {
    /// Both inclusive.
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    model::backend_server_id owner;
    /// The run of the owner's server that holds the keys; a restarted server has another value.
    std::uint64_t owner_born = 0;
    /// Fencing token of the owner's grant.
    std::uint64_t fence = 0;
    /// While the range moves: the owner whose grant has to end first. Until then no server is sent requests for the
    /// range.
    model::backend_server_id leaving;
    std::uint64_t leaving_born = 0;
    std::uint64_t leaving_fence = 0;

    [[nodiscard]] bool moving() const { return !leaving.empty(); }
    [[nodiscard]] std::uint32_t width() const { return last - first + 1; }
    bool operator==(const key_range&) const = default;
};

/// Who owns which keys of one service; a row of the store.
struct assignment {
    /// The next fencing token to use; tokens are never used twice.
    std::uint64_t next_fence = 1;
    /// The instance that wrote it.
    model::instance_id keeper;
    /// Sorted; covers all keys.
    std::vector<key_range> ranges;
    /// The era of the store in which it was written.
    std::uint64_t era = 0;

    bool operator==(const assignment&) const = default;
};

/// The lease of the keeper, which assigns and grants keys; a row of the store.
struct keeper_lease {
    model::instance_id holder;
    std::uint64_t incarnation = 0;
    /// Times on the store's clock, in milliseconds. Until `until` the holder may change assignments.
    std::int64_t until = 0;
    /// Until this time the holder, an earlier one, or an instance on their orders may renew grants.
    std::int64_t renewals_until = 0;
    /// Until this time a holder before this one may renew grants, whatever becomes of this one.
    std::int64_t earlier_renewals_until = 0;
    /// Until this time servers may hold keys by grants that a restoration of the store has lost from the assignments.
    std::int64_t unrecorded_grants_until = 0;
    /// Other instances renew grants on the holder's orders, for up to renewer_permit after its end.
    bool delegates = false;
    /// Who may count the allowances of client accounts. Not among the fields below: lease_text adds it if it is not
    /// empty, so that the rows of deployments without limited accounts stay as they are.
    std::vector<counter_role> counters;
};

/// One instance of the deployment; a row of the store.
struct instance_record {
    model::data_centre_id data_centre;
    std::uint64_t incarnation = 0;
    /// Address for messages of the other instances.
    model::address address;
    /// Processor time that it may use, in thousandths of a core; 0 if not known.
    std::uint32_t processor = 0;
    /// Version of the protocol between instances that it follows; 0 for builds that do not say so.
    std::uint32_t protocol = 0;
};

/// The protocol version of this build, and the first ones whose instances follow orders of a keeper, pass changes of
/// the store's tables on, give out slots, count strikes, and count
/// the allowances of client accounts.
inline constexpr std::uint32_t own_protocol = 3;
inline constexpr std::uint32_t renewer_protocol = 1;
inline constexpr std::uint32_t reader_protocol = 1;
inline constexpr std::uint32_t dispatcher_protocol = 1;
inline constexpr std::uint32_t quarantine_protocol = 2;
inline constexpr std::uint32_t counter_protocol = 3;

/// The range of a key; null only if the assignment has no ranges.
[[nodiscard]] const key_range* find_range(const assignment& assignment, std::uint32_t key);

/// The ranges of `to` that `from` does not have.
[[nodiscard]] std::vector<key_range> new_ranges(const assignment& from, const assignment& to);

/// Replaces the ranges that the replacements cover; nothing if these do not cover whole ranges.
[[nodiscard]] std::optional<std::vector<key_range>> replace_ranges(const std::vector<key_range>& ranges,
                                                                   const std::vector<key_range>& replacements);

} // namespace lovagetack::routing

template <>
struct lovagetack::base::fields_of<lovagetack::routing::key_range> {
    static constexpr std::string_view name = "key_range";
    static constexpr auto list = std::make_tuple(
        make_field("first", &routing::key_range::first), make_field("last", &routing::key_range::last),
        make_field("owner", &routing::key_range::owner), make_field("born", &routing::key_range::owner_born),
        make_field("fence", &routing::key_range::fence), make_field("leaving", &routing::key_range::leaving),
        make_field("leaving_born", &routing::key_range::leaving_born),
        make_field("leaving_fence", &routing::key_range::leaving_fence));
};

template <>
struct lovagetack::base::fields_of<lovagetack::routing::assignment> {
    static constexpr std::string_view name = "assignment";
    static constexpr auto list = std::make_tuple(
        make_field("next_fence", &routing::assignment::next_fence), make_field("keeper", &routing::assignment::keeper),
        make_field("era", &routing::assignment::era), make_field("ranges", &routing::assignment::ranges));
};

template <>
struct lovagetack::base::fields_of<lovagetack::routing::keeper_lease> {
    static constexpr std::string_view name = "keeper_lease";
    static constexpr auto list =
        std::make_tuple(make_field("holder", &routing::keeper_lease::holder),
                        make_field("incarnation", &routing::keeper_lease::incarnation),
                        make_field("until", &routing::keeper_lease::until),
                        make_field("renewals_until", &routing::keeper_lease::renewals_until),
                        make_field("earlier_renewals_until", &routing::keeper_lease::earlier_renewals_until),
                        make_field("unrecorded_grants_until", &routing::keeper_lease::unrecorded_grants_until),
                        make_field("delegates", &routing::keeper_lease::delegates));
};

template <>
struct lovagetack::base::fields_of<lovagetack::routing::instance_record> {
    static constexpr std::string_view name = "instance_record";
    static constexpr auto list = std::make_tuple(make_field("data_centre", &routing::instance_record::data_centre),
                                                 make_field("incarnation", &routing::instance_record::incarnation),
                                                 make_field("address", &routing::instance_record::address),
                                                 make_field("processor", &routing::instance_record::processor),
                                                 make_field("protocol", &routing::instance_record::protocol));
};
