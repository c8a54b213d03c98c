// almondwing-bench: runs the experiments behind docs/measurements.md and prints their reports.

#include "Experiments.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondwing {

namespace {

struct Experiment
{
    std::string name;
    std::string description;
    std::function<Report(std::uint64_t seed)> run;
};

std::vector<Experiment> experiments()
{
    return {
        Experiment{"packets", "Processor time of routing decisions for packets", runPacketExperiment},
        Experiment{"memory", "Heap bytes per entry of the blackboard", runMemoryExperiment},
        Experiment{"tokens", "Routing decisions by token, and memory of targets and flows",
                   runTokenExperiment},
        Experiment{"balance", "Planned changes, compared with plain rendezvous hashing",
                   runBalanceExperiment},
        Experiment{"membership", "Cost of idle membership for several cluster sizes",
                   runMembershipExperiment},
        Experiment{"configuration", "Propagation, storage and traffic of configuration changes",
                   runConfigurationExperiment},
        Experiment{"requests", "Goodput, false outcomes, waiting times and retries of requests",
                   runRequestExperiment},
    };
}

} // namespace

int run(int argumentCount, char **argumentValues)
{
    std::uint64_t seed = 20261204;
    std::string output = "text";
    CLI::App app("almondwing-bench: measures almondwing");
    app.require_subcommand(1);
    for (Experiment const &experiment : experiments()) {
        CLI::App &command = *app.add_subcommand(experiment.name, experiment.description);
        command.add_option("--seed", seed, "Seed of the random numbers")->capture_default_str();
        command.add_option("--output", output, "text or json")->check(CLI::IsMember({"text", "json"}));
        command.callback([&seed, &output, experiment] {
            Report const report = experiment.run(seed);
            fmt::print("{}", output == "json" ? toJson(report) : toText(report));
        });
    }
    CLI11_PARSE(app, argumentCount, argumentValues);
    return 0;
}

} // namespace almondwing

int main(int argumentCount, char **arguments)
{
    return almondwing::run(argumentCount, arguments);
}
