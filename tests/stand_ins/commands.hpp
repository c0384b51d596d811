#pragma once

namespace lovagetack::stand_ins {

/// The subcommands of lovagetack-stand-ins. Each prints one line "listening NAME HOST:PORT" per address to the standard
/// output once it accepts connections, and runs until it is killed. The result is the exit status; 2 means a usage
/// error.
int run_platform(int count, char** arguments);
int run_backend(int count, char** arguments);
int run_proxy(int count, char** arguments);

} // namespace lovagetack::stand_ins
