#pragma once

#include "ownership/step.hpp"

/// Which backend servers serve now: published as activation facts, read from all data centres as routes (2.2).
namespace lovagetack::ownership {

/// Controller: publishes the ranges that its servers confirmed, when they changed.
void publish_activations(step& step);

/// A fact of kind activation; a lower version than the known one is ignored.
void handle_activation_fact(step& step, const model::fact& fact);

/// Emits routes_changed when the active ranges of any data centre changed.
void publish_routes(step& step);

} // namespace lovagetack::ownership
