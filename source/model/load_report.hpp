#pragma once

#include <cstdint>
#include <vector>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// Requests counted for a range since the last report.
struct range_load {
    service_id service;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t requests = 0;

    bool operator==(const range_load&) const = default;
};

/// One of the most frequent keys; count overestimates by at most error.
struct hot_key {
    service_id service;
    std::uint64_t hash = 0;
    std::uint64_t count = 0;
    std::uint64_t error = 0;

    bool operator==(const hot_key&) const = default;
};

/// Load of one backend server as observed by its home instance.
struct backend_server_load {
    backend_server_id id;
    std::uint64_t requests = 0;
    std::int32_t outstanding = 0;
    std::int32_t queued = 0;

    bool operator==(const backend_server_load&) const = default;
};

/// Value of the fact of kind load_report, named by the instance: the load that it observed as home instance in the last
/// period.
struct load_report {
    instance_id instance;
    std::vector<range_load> ranges;
    std::vector<hot_key> hot_keys;
    std::vector<backend_server_load> backend_servers;

    bool operator==(const load_report&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::range_load> {
    static constexpr std::string_view name = "range_load";
    static constexpr auto list = std::make_tuple(
        make_field("service", &model::range_load::service), make_field("first", &model::range_load::first),
        make_field("last", &model::range_load::last), make_field("requests", &model::range_load::requests));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::hot_key> {
    static constexpr std::string_view name = "hot_key";
    static constexpr auto list =
        std::make_tuple(make_field("service", &model::hot_key::service), make_field("hash", &model::hot_key::hash),
                        make_field("count", &model::hot_key::count), make_field("error", &model::hot_key::error));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::backend_server_load> {
    static constexpr std::string_view name = "backend_server_load";
    static constexpr auto list = std::make_tuple(make_field("id", &model::backend_server_load::id),
                                                 make_field("requests", &model::backend_server_load::requests),
                                                 make_field("outstanding", &model::backend_server_load::outstanding),
                                                 make_field("queued", &model::backend_server_load::queued));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::load_report> {
    static constexpr std::string_view name = "load_report";
    static constexpr auto list = std::make_tuple(make_field("instance", &model::load_report::instance),
                                                 make_field("ranges", &model::load_report::ranges),
                                                 make_field("hot_keys", &model::load_report::hot_keys),
                                                 make_field("backend_servers", &model::load_report::backend_servers));
};
