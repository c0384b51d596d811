#include "stand_ins/listening_line.hpp"

#include <iostream>

namespace lovagetack::stand_ins {

void print_listening(const std::string& name, const model::address& address) {
    std::cout << "listening " << name << ' ' << address.host << ':' << address.port << std::endl;
}

} // namespace lovagetack::stand_ins
