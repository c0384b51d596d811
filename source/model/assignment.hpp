#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// Reason of the last change of a range's assignment. Stored as a number: values may only be added.
enum class change_reason : std::uint8_t {
    /// The row was written by a version that did not record it.
    not_known = 0,
    initial_assignment = 1,
    failover = 2,
    move = 3,
    hot_key = 4,
    balance = 5,
    drain = 6,
};

/// The owner of a range of key hashes and its successor when the owner is lost. Bounds are inclusive.
struct range_assignment {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    backend_server_id owner;
    model::fence owner_fence;
    /// Empty when the data centre has no other backend server.
    backend_server_id successor;
    model::fence successor_fence;
    /// The last change of the range, and the epoch of the controller that made it.
    change_reason reason = change_reason::not_known;
    epoch changed_in;

    bool operator==(const range_assignment&) const = default;
};

/// The ranges of one service whose home is one data centre; the value of the row
/// assignments/<service>.<data centre> and of the fact of the same name. Ranges are sorted by first.
struct assignment {
    service_id service;
    data_centre_id data_centre;
    std::vector<range_assignment> ranges;

    bool operator==(const assignment&) const = default;
};

/// The backend server that currently serves a range. It may be the successor before the row in the store names it as
/// owner.
struct active_range {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    backend_server_id owner;
    model::fence fence;

    bool operator==(const active_range&) const = default;
};

/// The ranges of one service that a controller has granted in its data centre; the value of the fact of kind activation
/// named <service>.<data centre>, version (epoch, sequence). Ranges are sorted by first.
struct activation {
    service_id service;
    data_centre_id data_centre;
    instance_id controller;
    std::vector<active_range> ranges;

    bool operator==(const activation&) const = default;
};

/// An epoch reserved in advance for a candidate controller.
struct epoch_reservation {
    instance_id candidate;
    model::epoch epoch;
    /// The epoch that the candidate wrote itself, before controllers moved the reservation above their own epoch. It is
    /// unique, so it tells which process of that name holds the reservation.
    model::epoch reserved;

    bool operator==(const epoch_reservation&) const = default;
};

/// Row controllers/<data centre>: the current controller and the epochs reserved in advance for candidates.
struct controller_record {
    model::epoch current_epoch;
    instance_id holder;
    /// The next epoch to be reserved.
    model::epoch next_epoch;
    std::vector<epoch_reservation> reservations;
    std::vector<backend_server_id> witnesses;

    bool operator==(const controller_record&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::range_assignment> {
    static constexpr std::string_view name = "range_assignment";
    static constexpr auto list = std::make_tuple(
        make_field("first", &model::range_assignment::first), make_field("last", &model::range_assignment::last),
        make_field("owner", &model::range_assignment::owner),
        make_field("owner_fence", &model::range_assignment::owner_fence),
        make_field("successor", &model::range_assignment::successor),
        make_field("successor_fence", &model::range_assignment::successor_fence),
        make_field("reason", &model::range_assignment::reason),
        make_field("changed_in", &model::range_assignment::changed_in));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::assignment> {
    static constexpr std::string_view name = "assignment";
    static constexpr auto list = std::make_tuple(make_field("service", &model::assignment::service),
                                                 make_field("data_centre", &model::assignment::data_centre),
                                                 make_field("ranges", &model::assignment::ranges));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::active_range> {
    static constexpr std::string_view name = "active_range";
    static constexpr auto list = std::make_tuple(
        make_field("first", &model::active_range::first), make_field("last", &model::active_range::last),
        make_field("owner", &model::active_range::owner), make_field("fence", &model::active_range::fence));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::activation> {
    static constexpr std::string_view name = "activation";
    static constexpr auto list = std::make_tuple(
        make_field("service", &model::activation::service), make_field("data_centre", &model::activation::data_centre),
        make_field("controller", &model::activation::controller), make_field("ranges", &model::activation::ranges));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::controller_record> {
    static constexpr std::string_view name = "controller_record";
    static constexpr auto list = std::make_tuple(make_field("current_epoch", &model::controller_record::current_epoch),
                                                 make_field("holder", &model::controller_record::holder),
                                                 make_field("next_epoch", &model::controller_record::next_epoch),
                                                 make_field("reservations", &model::controller_record::reservations),
                                                 make_field("witnesses", &model::controller_record::witnesses));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::epoch_reservation> {
    static constexpr std::string_view name = "epoch_reservation";
    static constexpr auto list = std::make_tuple(make_field("candidate", &model::epoch_reservation::candidate),
                                                 make_field("epoch", &model::epoch_reservation::epoch),
                                                 make_field("reserved", &model::epoch_reservation::reserved));
};
