#include <QCoreApplication>

#include "cli/command.hpp"

int main(int argument_count, char** argument_values) {
    const QCoreApplication application(argument_count, argument_values);
    return lovagetack::cli::run(argument_count, argument_values);
}
