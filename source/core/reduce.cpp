#include "core/reduce.hpp"

#include <deque>
#include <type_traits>
#include <utility>
#include <variant>

#include "configuration/reduce.hpp"
#include "membership/reduce.hpp"
#include "ownership/reduce.hpp"
#include "requests/reduce.hpp"

namespace lovagetack::core {
namespace {

/// The modules number their calls to the platform from different first values; the top 3 bits tell them apart.
constexpr unsigned module_shift = 61;
constexpr std::uint64_t configuration_calls = configuration::first_operation >> module_shift;
constexpr std::uint64_t requests_calls = requests::first_operation >> module_shift;
static_assert(configuration_calls != requests_calls && configuration_calls != 0 && requests_calls != 0);

/// An input of exactly one module.
using module_event = std::variant<membership::event, configuration::event, ownership::event, requests::event>;

template <class Effect, class Variant>
inline constexpr bool is_alternative = false;
template <class Effect, class... Alternatives>
inline constexpr bool is_alternative<Effect, std::variant<Alternatives...>> = (std::is_same_v<Effect, Alternatives> ||
                                                                               ...);

class dispatcher {
public:
    dispatcher(state& state, const event& event) : state_(state), at_(event.at), random_(event.random) {}

    effects run(const event_body& body) {
        std::visit([this](const auto& input) { receive(input); }, body);
        while (!pending_.empty()) {
            const module_event next = std::move(pending_.front());
            pending_.pop_front();
            std::visit([this](const auto& input) { step(input); }, next);
        }
        return std::move(effects_);
    }

private:
    // Inputs from the shells.

    void receive(const model::tick& tick) {
        to_membership(tick);
        to_configuration(tick);
        to_ownership(tick);
        to_requests(tick);
    }

    void receive(const model::peer_message& message) {
        if (const auto* heartbeat = std::get_if<model::controller_heartbeat>(&message.body)) {
            to_ownership(ownership::controller_heard{message.from, heartbeat->epoch});
            return;
        }
        ownership::lease_message lease{message.from, message.from_address, {}, {}};
        if (const auto* request = std::get_if<model::lease_request>(&message.body)) {
            lease.request = *request;
        } else if (const auto* reply = std::get_if<model::lease_reply>(&message.body)) {
            lease.reply = *reply;
        } else {
            to_membership(message);
            return;
        }
        to_ownership(std::move(lease));
    }

    void receive(const model::store_reply& reply) {
        const auto module = reply.operation.value() >> module_shift;
        if (module == configuration_calls) {
            to_configuration(reply);
        } else if (module == requests_calls) {
            to_requests(reply);
        } else {
            to_ownership(reply);
        }
    }

    void receive(const model::shutdown_started& shutdown) {
        to_requests(shutdown);
        to_membership(shutdown);
    }

    void receive(const membership::instances_listed& listed) { to_membership(listed); }
    void receive(const configuration::service_state_ordered& ordered) { to_configuration(ordered); }
    void receive(const ownership::grant_answered& answered) { to_ownership(answered); }

    template <class Event>
    void receive(const Event& event) {
        to_requests(event);
    }

    // One step of one module.

    void step(const membership::event& event) { pass_on(membership::reduce(state_.membership, at_, random_, event)); }
    void step(const configuration::event& event) {
        pass_on(configuration::reduce(state_.configuration, at_, random_, event));
    }
    void step(const ownership::event& event) { pass_on(ownership::reduce(state_.ownership, at_, random_, event)); }
    void step(const requests::event& event) { pass_on(requests::reduce(state_.requests, at_, random_, event)); }

    template <class Effects>
    void pass_on(Effects effects) {
        for (auto& effect : effects) {
            std::visit([&](auto& output) { pass_on_one(std::move(output)); }, effect);
        }
    }

    // Outputs that are inputs of other modules.

    void pass_on_one(model::publish_fact output) { to_membership(std::move(output)); }

    void pass_on_one(const model::fact_learned& output) {
        to_configuration(output);
        to_ownership(output);
        to_requests(output);
    }

    void pass_on_one(const model::members_changed& output) {
        to_configuration(output);
        to_ownership(output);
        to_requests(output);
    }

    void pass_on_one(const model::deployment_changed& output) {
        to_membership(output);
        to_ownership(output);
        to_requests(output);
        state_.deployment_version = output.deployment.version;
        if (!state_.ready) {
            state_.ready = true;
            to_membership(membership::service_started{});
        }
        effects_.emplace_back(output);
    }

    void pass_on_one(const model::service_states_changed& output) {
        to_ownership(output);
        to_requests(output);
    }

    void pass_on_one(model::routes_changed output) { to_requests(std::move(output)); }
    void pass_on_one(model::home_leases_changed output) { to_requests(std::move(output)); }

    // Outputs for the shells.

    template <class Output>
    void pass_on_one(Output output) {
        static_assert(is_alternative<Output, effect>, "an output is neither an input of a module nor an effect");
        effects_.emplace_back(std::move(output));
    }

    template <class Event>
    void to_membership(Event event) {
        pending_.emplace_back(membership::event(std::move(event)));
    }
    template <class Event>
    void to_configuration(Event event) {
        pending_.emplace_back(configuration::event(std::move(event)));
    }
    template <class Event>
    void to_ownership(Event event) {
        pending_.emplace_back(ownership::event(std::move(event)));
    }
    template <class Event>
    void to_requests(Event event) {
        pending_.emplace_back(requests::event(std::move(event)));
    }

    state& state_;
    base::boot_time at_;
    std::uint64_t random_;
    std::deque<module_event> pending_;
    effects effects_;
};

} // namespace

effects reduce(state& state, const event& event) {
    return dispatcher(state, event).run(event.body);
}

} // namespace lovagetack::core
