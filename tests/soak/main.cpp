#include <fstream>
#include <iostream>
#include <sstream>

#include <QCoreApplication>
#include <cxxopts.hpp>

#include "soak/run.hpp"

namespace {

using namespace lovagetack;

/// Plays one seed; false if a promise was broken.
bool play(const soak::options& options, bool verbose) {
    soak::run run(options);
    const auto violations = run.play();
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

/// Lines "SEED SECONDS cause"; empty lines and those with # are left out.
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
        ("seeds", "how many seeds are played, one after the other", cxxopts::value<int>()->default_value("1"))    //
        ("minutes", "plays further seeds until so many minutes have passed", cxxopts::value<double>())            //
        ("seeds-file", "plays the seeds of a file first", cxxopts::value<std::string>())                          //
        ("seconds", "time of faults per seed", cxxopts::value(seconds))                                           //
        ("pause", "mean pause between faults in milliseconds", cxxopts::value(pause))                             //
        ("instances", "instances", cxxopts::value(options.instances))                                             //
        ("backends", "backend servers of each of the two services", cxxopts::value(options.backends))             //
        ("rate", "requests per second", cxxopts::value(options.rate))                                             //
        ("program", "the program under test", cxxopts::value(options.program)->default_value(LOVAGETACK_PROGRAM)) //
        ("verbose", "prints the faults of clean seeds, too");
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
                auto former = options;
                former.seed = seed;
                former.duration = std::chrono::seconds(time);
                clean = play(former, verbose) && clean;
            }
        }
        const auto begun = soak::clock::now();
        const int seeds = given["seeds"].as<int>();
        const std::chrono::duration<double> time(given.count("minutes") > 0 ? given["minutes"].as<double>() * 60 : 0);
        for (int count = 0; count < seeds || soak::clock::now() - begun < time; ++count, ++options.seed) {
            clean = play(options, verbose) && clean;
        }
        return clean ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "lovagetack-soak: " << error.what() << '\n';
        return 2;
    }
}
