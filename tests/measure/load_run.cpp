#include "measure/load_run.hpp"

#include <stdexcept>

#include <QJsonArray>
#include <QJsonDocument>

namespace lovagetack::measure {

QJsonObject run_load(const std::vector<std::string>& targets, const std::vector<std::string>& arguments,
                     const deployment& deployed) {
    std::vector<std::string> words{"load", "--json", "--service", deployed.plan().service};
    words.insert(words.end(), arguments.begin(), arguments.end());
    for (const auto& target : targets) {
        words.insert(words.end(), {"--to", target});
    }
    const auto text = run_lovagetack(words, deployed.folder());
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
    const auto list = document.value("runs").toArray();
    if (list.isEmpty()) {
        throw std::runtime_error("lovagetack load: " + text);
    }
    return list.first().toObject();
}

} // namespace lovagetack::measure
