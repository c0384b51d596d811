#pragma once

#include <string>

#include "model/address.hpp"

namespace lovagetack::stand_ins {

/// Tells tests on the standard output which address a name is served at.
void print_listening(const std::string& name, const model::address& address);

} // namespace lovagetack::stand_ins
