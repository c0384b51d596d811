#pragma once

#include <string>

#include "model/address.hpp"

namespace lovagetack::stand_ins {

/// Prints the line "listening NAME HOST:PORT" to the standard output, for tests to read the address.
void print_listening(const std::string& name, const model::address& address);

} // namespace lovagetack::stand_ins
