#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <QCoreApplication>

// The sockets of http_call need an application object.
int main(int count, char** arguments) {
    int application_count = 1;
    const QCoreApplication application(application_count, arguments);
    return Catch::Session().run(count, arguments);
}
