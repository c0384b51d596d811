#pragma once

#include <cstdint>
#include <utility>

#include "base/boot_time.hpp"
#include "requests/reduce.hpp"
#include "requests/state.hpp"

namespace lovagetack::requests {

/// Context of one call of reduce(): the state, the time, a random sequence seeded by the event's random number, and the
/// effects so far.
class context {
public:
    context(requests::state& changed, base::boot_time time, std::uint64_t seed)
        : state(changed), now(time), random_(seed) {}

    template <class Effect>
    void emit(Effect emitted) {
        effects.emplace_back(std::move(emitted));
    }

    /// splitmix64 over the event's random number, so that several choices in one call differ.
    [[nodiscard]] std::uint64_t next_random() {
        random_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = random_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

    [[nodiscard]] service_record* service(const model::service_id& id) { return find(state.services, id); }
    [[nodiscard]] server_record* server(const model::backend_server_id& id) { return find(state.servers, id); }
    [[nodiscard]] exchange* find_exchange(exchange_id id) { return find(state.exchanges, id); }

    requests::state& state;
    const base::boot_time now;
    requests::effects effects;

private:
    template <class Map, class Key>
    static typename Map::mapped_type* find(Map& map, const Key& key) {
        const auto found = map.find(key);
        return found == map.end() ? nullptr : &found->second;
    }

    std::uint64_t random_;
};

} // namespace lovagetack::requests
