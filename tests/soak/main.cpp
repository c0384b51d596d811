#include <fstream>
#include <iostream>
#include <sstream>

#include <QCoreApplication>
#include <cxxopts.hpp>

#include "soak/run.hpp"

namespace {

using namespace lovagetack;

/// Runs one seed and prints the outcome; false if a promise was broken.
bool execute(const soak::options& options, bool verbose) {
    soak::run run(options);
    const auto violations = run.execute();
    std::cout << "seed " << options.seed << ": " << (violations.empty() ? "clean" : "BROKEN") << ", " << run.summary()
              << std::endl;
    for (const auto& text : violations) {
        std::cout << "  " << text << '\n';
    }
    if (verbose || !violations.empty()) {
        for (const auto& text : run.faults()) {
            std::cout << "    " << text << '\n';
        }
    }
    std::cout << std::flush;
    return violations.empty();
}

/// Reads lines of the form "SEED SECONDS cause"; skips empty lines and comments that start with #.
std::vector<std::pair<std::uint64_t, int>> read_seeds(const std::string& file) {
    std::vector<std::pair<std::uint64_t, int>> seeds;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        std::istringstream words(line);
        std::uint64_t seed = 0;
        int seconds = 0;
        if (words >> seed >> seconds) {
            seeds.emplace_back(seed, seconds);
        }
    }
    return seeds;
}

} // namespace

int main(int argc, char** argv) {
    QCoreApplication application(argc, argv);
    cxxopts::Options description("lovagetack-soak", "Random faults around real gateway processes");
    soak::options options;
    int seconds = static_cast<int>(options.duration.count());
    int pause = static_cast<int>(options.fault_pause.count());
    description.add_options()("help", "this text")                                                                //
        ("seed", "first seed", cxxopts::value(options.seed))                                                      //
        ("seeds", "number of seeds to run, one after the other", cxxopts::value<int>()->default_value("1"))       //
        ("minutes", "runs further seeds until this many minutes have passed", cxxopts::value<double>())           //
        ("seeds-file", "runs the seeds of a file first", cxxopts::value<std::string>())                           //
        ("seconds", "seconds of fault injection per seed", cxxopts::value(seconds))                               //
        ("pause", "mean pause between faults in milliseconds", cxxopts::value(pause))                             //
        ("instances", "instances", cxxopts::value(options.instances))                                             //
        ("backends", "backend servers of each of the two services", cxxopts::value(options.backends))             //
        ("rate", "requests per second", cxxopts::value(options.rate))                                             //
        ("program", "the program under test", cxxopts::value(options.program)->default_value(LOVAGETACK_PROGRAM)) //
        ("verbose", "also prints the faults of clean seeds");
    try {
        const auto given = description.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << description.help() << '\n';
            return 0;
        }
        options.duration = std::chrono::seconds(seconds);
        options.fault_pause = std::chrono::milliseconds(pause);
        const bool verbose = given.count("verbose") > 0;
        bool clean = true;
        if (given.count("seeds-file") > 0) {
            for (const auto& [seed, time] : read_seeds(given["seeds-file"].as<std::string>())) {
                auto stored_options = options;
                stored_options.seed = seed;
                stored_options.duration = std::chrono::seconds(time);
                clean = execute(stored_options, verbose) && clean;
            }
        }
        const auto begun = soak::clock::now();
        const int seeds = given["seeds"].as<int>();
        const std::chrono::duration<double> time(given.count("minutes") > 0 ? given["minutes"].as<double>() * 60 : 0);
        for (int count = 0; count < seeds || soak::clock::now() - begun < time; ++count, ++options.seed) {
            clean = execute(options, verbose) && clean;
        }
        return clean ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "lovagetack-soak: " << error.what() << '\n';
        return 2;
    }
}
