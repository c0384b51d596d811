#include "soak/run.hpp"

#include <csignal>
#include <iterator>

#include "soak/checked.hpp"

// Fault injection.
namespace lovagetack::soak {
namespace {

using namespace std::chrono_literals;
using stand_ins::link_mode;

/// The registry removes a crashed server after this time.
constexpr auto registration_lapse = 2600ms;

} // namespace

void run::schedule_fault() {
    const auto mean = static_cast<int>(options_.fault_pause.count());
    call_after(random_duration(mean / 4, mean * 7 / 4), [this] {
        if (injecting_) {
            inject_fault();
            schedule_fault();
        }
    });
}

void run::inject_fault() {
    using fault = void (run::*)();
    static constexpr fault kinds[] = {&run::disturb_instance, &run::disturb_instance,    &run::disturb_store,
                                      &run::disturb_link,     &run::disturb_backend,     &run::disturb_backend,
                                      &run::evacuate,         &run::write_configuration, &run::write_configuration};
    (this->*kinds[draw(std::size(kinds))])();
}

void run::disturb_instance() {
    auto* const target = instances_[draw(instances_.size())].get();
    if (!target->process || target->process->status()) {
        return;
    }
    switch (draw(5)) {
    case 0:
        note_fault("SIGKILL " + target->name);
        witness_.note_disturbed(target->number);
        target->process->kill();
        target->process.reset();
        call_after(random_duration(300, 3000), [this, target] { start_instance(*target); });
        return;
    case 1:
    case 2:
        if (target->paused || target->leaving) {
            return;
        }
        note_fault("SIGTERM " + target->name);
        target->leaving = true;
        target->leaving_since = clock::now();
        witness_.note_termination(target->number);
        target->process->terminate();
        return;
    case 3:
        note_fault("SIGHUP " + target->name);
        ::kill(target->process->id(), SIGHUP);
        return;
    default:
        if (target->paused) {
            return;
        }
        note_fault("SIGSTOP " + target->name);
        target->paused = true;
        witness_.note_disturbed(target->number);
        target->process->pause();
        call_after(random_duration(200, 4500), [this, target, incarnation = target->incarnation] {
            if (target->incarnation == incarnation && target->process) {
                note_fault("SIGCONT " + target->name);
                target->process->resume();
                target->paused = false;
                target->leaving_since = clock::now();
                witness_.note_disturbed(target->number);
                witness_.note_resumed();
            }
        });
    }
}

void run::disturb_store() {
    if (store_disturbed_) {
        return;
    }
    store_faults faults;
    switch (draw(5)) {
    case 0:
        note_fault("store down");
        faults.down = true;
        break;
    case 1:
        note_fault("store drops answers");
        faults.lost_answers = 0.4;
        break;
    case 2:
        note_fault("store writes late");
        faults.late_writes = 0.4;
        break;
    case 3:
        note_fault("store slow");
        faults.delay = 250ms;
        break;
    default:
        note_fault("store discards its history");
        store_.discard_history();
        return;
    }
    store_disturbed_ = true;
    witness_.note_store_disturbed();
    store_.set_faults(faults);
    call_after(random_duration(500, 5000), [this] {
        note_fault("store recovered");
        store_.set_faults({});
        store_disturbed_ = false;
    });
}

void run::schedule_restoration() {
    const auto mean = static_cast<int>(options_.restoration_pause.count());
    call_after(random_duration(restoration_random_, mean / 4, mean * 7 / 4), [this] {
        if (injecting_) {
            restore_store();
            schedule_restoration();
        }
    });
}

void run::restore_store() {
    if (store_restoring_) {
        return;
    }
    const auto age = random_duration(restoration_random_, 1000, 12000);
    note_fault("store away, loses " + std::to_string(age.count()) + " ms");
    store_restoring_ = true;
    witness_.note_store_restoring();
    store_.go_away();
    call_after(random_duration(restoration_random_, 0, 3000), [this, copied_at = clock::now() - age] {
        note_fault("store restored");
        store_.restore(copied_at);
        store_restoring_ = false;
        witness_.note_store_restoring();
    });
}

void run::disturb_link() {
    static constexpr std::pair<link_mode, const char*> modes[] = {
        {link_mode::cut, "cut"},
        {link_mode::refuse, "refused"},
        {link_mode::delay, "delayed"},
        {link_mode::drop_to_server, "one-way to the store"},
        {link_mode::drop_to_client, "one-way from the store"}};
    auto* const target = instances_[draw(instances_.size())].get();
    if (target->link_disturbed) {
        return;
    }
    const auto& [mode, name] = modes[draw(std::size(modes))];
    note_fault("link of " + target->name + " to the store " + name);
    stand_ins::link_condition condition;
    condition.mode = mode;
    condition.delay = 300ms;
    condition.random.seed(random_());
    target->link_disturbed = true;
    witness_.note_disturbed(target->number);
    target->store_link->set_condition(condition);
    if (draw(3) == 0) {
        target->store_link->silence_open();
    }
    call_after(random_duration(500, 6000), [this, target] {
        note_fault("link of " + target->name + " to the store restored");
        target->store_link->set_condition({});
        target->link_disturbed = false;
        witness_.note_disturbed(target->number);
    });
}

void run::disturb_backend() {
    auto& server = *backends_[draw(backends_.size())];
    if (!server.is_up() || server.is_leaving()) {
        return;
    }
    static constexpr std::pair<backend_fault, const char*> faults[] = {
        {backend_fault::slow, "slow"}, {backend_fault::resets, "resets"}, {backend_fault::silent, "silent"},
        {backend_fault::cuts, "cuts"}, {backend_fault::full, "full"},     {backend_fault::fails, "fails"}};
    const auto kind = draw(std::size(faults) + 4);
    if (kind < std::size(faults)) {
        note_fault(server.self().id + ' ' + faults[kind].second);
        server.set_fault(faults[kind].first);
        call_after(random_duration(500, 3000), [target = &server] { target->set_fault(backend_fault::none); });
        return;
    }
    replace_backend(server);
}

/// Crashes a server, or lets it exit with or without reporting it first; then restarts it at the same address.
void run::replace_backend(backend& server) {
    auto* const target = &server;
    std::chrono::milliseconds exit = 0ms;
    switch (draw(4)) {
    case 0:
    case 1:
        note_fault(server.self().id + " crashes");
        call_after(registration_lapse, [this, target] {
            if (!target->is_up()) {
                withdraw(*target);
            }
        });
        break;
    case 2:
        note_fault(server.self().id + " leaves");
        server.begin_leaving();
        publish(server);
        exit = random_duration(4000, 6000);
        break;
    default:
        note_fault(server.self().id + " leaves without a report");
        server.begin_leaving();
        retry_until_stored([this, target] {
            if (!store_.remove("servers", target->self().id)) {
                return false;
            }
            target->note_leaving_stored();
            return true;
        });
        exit = random_duration(4000, 6000);
        break;
    }
    const bool reported = exit > 0ms;
    call_after(exit, [this, target, reported] {
        target->crash();
        if (reported) {
            withdraw(*target);
        }
        call_after(random_duration(200, 4000), [this, target] {
            note_fault(target->self().id + " starts");
            checked(target->start());
            target->make_cold(3000ms);
            publish(*target);
            // The registration changes again when the cold period ends.
            call_after(3000ms, [this, target] { publish(*target); });
        });
    });
}

void run::evacuate() {
    const auto zone = data_centres_[draw(data_centres_.size())];
    if (!store_.put("op", "evacuate/" + zone, {{"since", 1}})) {
        return;
    }
    note_fault("evacuation of " + zone);
    for (const auto& server : backends_) {
        if (server->self().data_centre == zone) {
            server->note_evacuated(true);
        }
    }
    call_after(random_duration(6000, 8000), [this, zone] {
        for (const auto& server : backends_) {
            if (server->self().data_centre == zone) {
                server->note_evacuated(false);
            }
        }
        retry_until_stored([this, zone] { return store_.remove("op", "evacuate/" + zone); });
        note_fault("evacuation of " + zone + " revoked");
    });
}

} // namespace lovagetack::soak
