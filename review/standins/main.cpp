// Stand-ins of the review's scripts: CASE PROGRAM TEMPORARY-FOLDER RECORD-FILE [VALUE]
#include <cstdlib>
#include <string>

int run_uploads(const std::string& program, const std::string& folder, const std::string& record_name, bool trouble,
                double size_mb, int uploads_per_instance);
int run_late_copies(const std::string& program, const std::string& folder, const std::string& record_name, bool trouble,
                    int seconds);
int run_log_reader(const std::string& program, const std::string& folder, const std::string& record_name, bool trouble);
int run_silence(const std::string& program, const std::string& folder, const std::string& record_name, bool trouble);
int run_silent_store(const std::string& program, const std::string& folder, const std::string& record_name,
                     bool trouble);

int main(int argc, char** argv) {
    if (argc < 5) {
        return 2;
    }
    const std::string name = argv[1];
    const char* const setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    int result = 2;
    if (name == "uploads") {
        result = run_uploads(argv[2], argv[3], argv[4], trouble, argc > 5 ? std::atof(argv[5]) : 32,
                             argc > 6 ? std::atoi(argv[6]) : 4);
    }
    if (name == "late-copies") {
        result = run_late_copies(argv[2], argv[3], argv[4], trouble, argc > 5 ? std::atoi(argv[5]) : 95);
    }
    if (name == "log-reader") {
        result = run_log_reader(argv[2], argv[3], argv[4], trouble);
    }
    if (name == "silence") {
        result = run_silence(argv[2], argv[3], argv[4], trouble);
    }
    if (name == "silent-store") {
        result = run_silent_store(argv[2], argv[3], argv[4], trouble);
    }
    // Threads of the stand-ins may still wait for calls.
    std::_Exit(result);
}
