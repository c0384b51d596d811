#include "membership/step.hpp"

namespace lovagetack::membership {

bool step::accept(const model::peer_message& message) {
    if (message.from.empty() || message.from == state_.self_.id) {
        return false;
    }
    const member_entry* const entry = state_.table_.find(message.from);
    // Rejects late messages of an earlier incarnation of the sender.
    return entry == nullptr || message.from_incarnation.value() >= entry->member.incarnation.value();
}

void step::record_contact(const model::peer_message& message) {
    member_entry* const entry = state_.table_.find(message.from);
    if (entry == nullptr || entry->member.incarnation != message.from_incarnation) {
        return;
    }
    entry->last_contact_at = now_;
    entry->suspected.reset();
    state_.data_centre_last_contact_[entry->member.data_centre.value()] = now_;
    if (!is_present(entry->member)) {
        send_report_to_subject(*entry);
    }
}

void step::send_report_to_subject(member_entry& entry) {
    if (entry.report_sent_at && now_ - *entry.report_sent_at < state_.limits_.report_interval) {
        return;
    }
    entry.report_sent_at = now_;
    const model::fact* const fact = state_.facts_.find(model::fact_kind::member, entry.member.id.value());
    if (fact != nullptr) {
        send(entry.member.id, entry.member.peer_address, model::facts{{*fact}});
    }
}

void step::handle(const model::peer_message& message, const model::heartbeat& body) {
    compare_digest(message, body.digest);
}

void step::handle(const model::peer_message& message, const model::facts& body) {
    const bool forward = body.list.size() <= state_.limits_.maximum_forwarded_facts;
    for (const auto& fact : body.list) {
        merge_fact(fact, message.from, forward);
    }
}

void step::handle(const model::peer_message& message, const model::sync_request& body) {
    answer_sync(message, body);
}

void step::handle(const model::peer_message& message, const model::probe_request& body) {
    // The heartbeat shows the requesting instance that it is not cut off itself.
    send_heartbeat(message.from, message.from_address);
    send_to_member(body.target, model::probe{body.nonce, message.from});
}

void step::handle(const model::peer_message& message, const model::probe& body) {
    send(message.from, message.from_address, model::probe_answer{state_.self_.id, body.nonce, body.asked_by});
}

void step::handle(const model::peer_message&, const model::probe_answer& body) {
    if (!body.asked_by.empty() && body.asked_by != state_.self_.id) {
        send_to_member(body.asked_by, body);
        return;
    }
    member_entry* const entry = state_.table_.find(body.target);
    if (entry != nullptr && entry->suspected && entry->suspected->nonce == body.nonce) {
        entry->last_contact_at = now_;
        entry->suspected.reset();
    }
}

} // namespace lovagetack::membership
