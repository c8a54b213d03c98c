// almondwingd: the load balancer for callers and targets that use the protocol of LibWire. almondwing-node,
// in the folder platform, is the variant for the packet format and the control calls of the platform. Exit
// codes: 0 after a graceful shutdown, 1 if the settings have errors, 2 if a socket or the data folder can't
// be opened.

#include "Daemon.h"

#include <LibFrontEnd/EventLog.h>
#include <LibSettings/SettingsReader.h>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <string>

namespace almondwing {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitBadSettings = 1;
constexpr int exitCannotOpen = 2;

enum class RunMode { Serve, CheckSettings };

int run(std::string const &settingsPath, RunMode mode)
{
    SettingsResult const loaded = loadSettings(settingsPath);
    if (auto const *const errors = std::get_if<SettingsErrors>(&loaded)) {
        for (SettingsError const &error : *errors)
            fmt::print(stderr, "{}\n", error.toString());
        return exitBadSettings;
    }
    auto const &settings = std::get<DaemonSettings>(loaded);
    if (mode == RunMode::CheckSettings) {
        fmt::print("{}: no errors\n", settingsPath);
        return exitSuccess;
    }
    EventLog::initialize("almondwingd", settings.log.folder);
    Daemon daemon(settings);
    if (absl::Status const status = daemon.open(); !status.ok()) {
        fmt::print(stderr, "almondwingd: {}\n", std::string(status.message()));
        return exitCannotOpen;
    }
    daemon.run();
    return exitSuccess;
}

} // namespace

} // namespace almondwing

int main(int argumentCount, char **arguments)
{
    CLI::App app("almondwingd: layer-4 load balancer daemon");
    std::string settingsPath;
    bool isCheck = false;
    app.add_option("--settings", settingsPath, "Settings file (TOML)")->required();
    app.add_flag("--check-settings", isCheck, "Check the settings file and exit");
    CLI11_PARSE(app, argumentCount, arguments);
    using almondwing::RunMode;
    return almondwing::run(settingsPath, isCheck ? RunMode::CheckSettings : RunMode::Serve);
}
