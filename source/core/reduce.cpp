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

/// Each module numbers its calls to the platform from its own first operation id; the top 3 bits identify the module.
constexpr unsigned module_shift = 61;
constexpr std::uint64_t configuration_module = configuration::first_operation >> module_shift;
constexpr std::uint64_t requests_module = requests::first_operation >> module_shift;
static_assert(configuration_module != requests_module && configuration_module != 0 && requests_module != 0);

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
    // Inputs from the I/O shells.

    void receive(const model::tick& tick) {
        queue_for_membership(tick);
        queue_for_configuration(tick);
        queue_for_ownership(tick);
        queue_for_requests(tick);
    }

    void receive(const model::peer_message& message) {
        if (const auto* heartbeat = std::get_if<model::controller_heartbeat>(&message.body)) {
            queue_for_ownership(ownership::controller_heard{message.from, heartbeat->epoch});
            return;
        }
        ownership::lease_message lease{message.from, message.from_address, {}, {}};
        if (const auto* request = std::get_if<model::lease_request>(&message.body)) {
            lease.request = *request;
        } else if (const auto* reply = std::get_if<model::lease_reply>(&message.body)) {
            lease.reply = *reply;
        } else {
            queue_for_membership(message);
            return;
        }
        queue_for_ownership(std::move(lease));
    }

    void receive(const model::store_reply& reply) {
        const auto module = reply.operation.value() >> module_shift;
        if (module == configuration_module) {
            queue_for_configuration(reply);
        } else if (module == requests_module) {
            queue_for_requests(reply);
        } else {
            queue_for_ownership(reply);
        }
    }

    void receive(const model::shutdown_started& shutdown) {
        queue_for_requests(shutdown);
        queue_for_membership(shutdown);
    }

    void receive(const membership::instances_listed& listed) { queue_for_membership(listed); }
    void receive(const configuration::service_state_ordered& ordered) { queue_for_configuration(ordered); }
    void receive(const ownership::grant_answered& answered) { queue_for_ownership(answered); }

    template <class Event>
    void receive(const Event& event) {
        queue_for_requests(event);
    }

    // One step of one module: reduces the event and dispatches the outputs.

    void step(const membership::event& event) {
        dispatch_outputs(membership::reduce(state_.membership, at_, random_, event));
    }
    void step(const configuration::event& event) {
        dispatch_outputs(configuration::reduce(state_.configuration, at_, random_, event));
    }
    void step(const ownership::event& event) {
        dispatch_outputs(ownership::reduce(state_.ownership, at_, random_, event));
    }
    void step(const requests::event& event) {
        dispatch_outputs(requests::reduce(state_.requests, at_, random_, event));
    }

    template <class Effects>
    void dispatch_outputs(Effects effects) {
        for (auto& effect : effects) {
            std::visit([&](auto& output) { dispatch_output(std::move(output)); }, effect);
        }
    }

    // Outputs that are inputs of other modules.

    void dispatch_output(model::publish_fact output) { queue_for_membership(std::move(output)); }

    void dispatch_output(const model::fact_learned& output) {
        queue_for_configuration(output);
        queue_for_ownership(output);
        queue_for_requests(output);
    }

    void dispatch_output(const model::members_changed& output) {
        queue_for_configuration(output);
        queue_for_ownership(output);
        queue_for_requests(output);
    }

    void dispatch_output(const model::deployment_changed& output) {
        queue_for_membership(output);
        queue_for_ownership(output);
        queue_for_requests(output);
        state_.deployment_version = output.deployment.version;
        if (!state_.ready) {
            state_.ready = true;
            queue_for_membership(membership::service_started{});
        }
        effects_.emplace_back(output);
    }

    void dispatch_output(const model::service_states_changed& output) {
        queue_for_ownership(output);
        queue_for_requests(output);
    }

    void dispatch_output(model::routes_changed output) { queue_for_requests(std::move(output)); }
    void dispatch_output(model::home_leases_changed output) { queue_for_requests(std::move(output)); }

    // Outputs for the I/O shells.

    template <class Output>
    void dispatch_output(Output output) {
        static_assert(is_alternative<Output, effect>, "an output is neither an input of a module nor an effect");
        effects_.emplace_back(std::move(output));
    }

    template <class Event>
    void queue_for_membership(Event event) {
        pending_.emplace_back(membership::event(std::move(event)));
    }
    template <class Event>
    void queue_for_configuration(Event event) {
        pending_.emplace_back(configuration::event(std::move(event)));
    }
    template <class Event>
    void queue_for_ownership(Event event) {
        pending_.emplace_back(ownership::event(std::move(event)));
    }
    template <class Event>
    void queue_for_requests(Event event) {
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
