// almondwingctl: the command line tool for operators.

#include "ChangeCommand.h"
#include "ExitCode.h"
#include "LogCommand.h"
#include "QueryCommand.h"
#include "TextTables.h"

#include <LibFrontEnd/HttpTypes.h>
#include <LibSettings/OperatorToken.h>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <random>
#include <string>
#include <vector>

namespace almondwing {

namespace {

struct Arguments
{
    std::vector<std::string> servers{"127.0.0.1:7004"};
    std::string tokenFile;
    std::string output = "text";
    std::string requestId;
    std::string baseVersion;
    int waitSeconds = 0;
    std::string file;
    std::string name;
    bool isForced = false;
    std::string service;
    std::string flow;
    std::string caller;
    std::string number;
    unsigned limit = 100;
    std::vector<std::string> logFiles;
    LogQuery logQuery;
};

ExitCode hashTokenFromStdin()
{
    std::string token;
    std::getline(std::cin, token);
    std::random_device device;
    std::string salt;
    while (salt.size() < saltLength)
        salt += fmt::format("{:08x}", device());
    auto const hash = hashToken(token, salt);
    if (!hash.ok()) {
        fmt::print(stderr, "almondwingctl: {}\n", std::string(hash.status().message()));
        return ExitCode::Usage;
    }
    fmt::print("{}\n", *hash);
    return ExitCode::Success;
}

std::string readToken(Arguments const &arguments)
{
    if (!arguments.tokenFile.empty()) {
        std::ifstream file(arguments.tokenFile);
        std::string token;
        std::getline(file, token);
        return token;
    }
    char const *const token = std::getenv("ALMONDWING_TOKEN");
    return token == nullptr ? std::string() : std::string(token);
}

absl::StatusOr<ClientOptions> clientOptions(Arguments const &arguments)
{
    ClientOptions client{
        .servers = {}, .token = readToken(arguments), .isJsonOutput = arguments.output == "json"};
    for (std::string const &server : arguments.servers) {
        auto const endpoint = Endpoint::parse(server);
        if (!endpoint.ok())
            return endpoint.status();
        client.servers.push_back(*endpoint);
    }
    return client;
}

ChangeOptions changeOptions(Arguments const &arguments)
{
    ChangeOptions options{.requestId = arguments.requestId, .baseVersion = {}, .wait = {}};
    if (!arguments.baseVersion.empty())
        options.baseVersion = std::strtoull(arguments.baseVersion.c_str(), nullptr, 10);
    if (arguments.waitSeconds > 0)
        options.wait = std::chrono::seconds(arguments.waitSeconds);
    return options;
}

std::string explainPath(Arguments const &arguments)
{
    return fmt::format("/v1/explain?service={}&flow={}&caller={}&number={}",
                       encodeQueryValue(arguments.service), encodeQueryValue(arguments.flow),
                       encodeQueryValue(arguments.caller), encodeQueryValue(arguments.number));
}

void addChangeOptions(CLI::App &command, Arguments &arguments)
{
    command.add_option("--request-id", arguments.requestId,
                       "Request id, to resend an earlier change; random by default");
    command.add_option("--base-version", arguments.baseVersion, "Version that the change is based on")
        ->check(CLI::NonNegativeNumber);
    command
        .add_option("--wait", arguments.waitSeconds,
                    "Wait up to this many seconds until the change is in force on every instance")
        ->check(CLI::Range(1, 3600));
}

SetFailureDomainState makeDomainChange(Arguments const &arguments, FailureDomainState state)
{
    return SetFailureDomainState{.failureDomain = arguments.name,
                                 .state = state,
                                 .policy =
                                     arguments.isForced ? LastDomainPolicy::Force : LastDomainPolicy::Refuse};
}

SetTargetDraining makeDrainChange(Arguments const &arguments, DrainState state)
{
    return SetTargetDraining{.target = arguments.name, .state = state};
}

} // namespace

int run(int argumentCount, char **argumentValues)
{
    Arguments arguments;
    CLI::App app("almondwingctl: manages an almondwing cluster");
    app.require_subcommand(1);
    app.add_option("--server", arguments.servers,
                   "HTTP address of an instance; repeat to add fallback instances");
    app.add_option("--token-file", arguments.tokenFile,
                   "File with the operator's token; without it, ALMONDWING_TOKEN is used");
    app.add_option("--output", arguments.output, "Output format: text or json")
        ->check(CLI::IsMember({"text", "json"}));

    auto &apply = *app.add_subcommand("apply", "Apply a manifest");
    apply.add_option("file", arguments.file, "Manifest (JSON)")->required();
    auto &takeOut = *app.add_subcommand("take-out", "Take a failure domain out of service");
    takeOut.add_flag("--force", arguments.isForced,
                     "Take the failure domain out even if it is the last one in service");
    auto &bringBack = *app.add_subcommand("bring-back", "Bring a failure domain back into service");
    auto &drain = *app.add_subcommand("drain", "Stop assigning new work to a target");
    auto &undrain = *app.add_subcommand("undrain", "Assign new work to a drained target again");
    for (CLI::App *const command : {&takeOut, &bringBack})
        command->add_option("failure-domain", arguments.name, "Name of the failure domain")->required();
    for (CLI::App *const command : {&drain, &undrain})
        command->add_option("target", arguments.name, "Name of the target")->required();
    for (CLI::App *const command : {&apply, &takeOut, &bringBack, &drain, &undrain})
        addChangeOptions(*command, arguments);

    auto &status =
        *app.add_subcommand("status", "Show the status of an instance and its view of the cluster");
    auto &explain = *app.add_subcommand("explain", "Show where a flow or request is routed, and why");
    explain.add_option("--service", arguments.service, "Name of the service")->required();
    explain.add_option("--flow", arguments.flow, "Number of the flow");
    explain.add_option("--caller", arguments.caller, "Caller id of the request");
    explain.add_option("--number", arguments.number, "Number of the request");
    auto &explainLog =
        *app.add_subcommand("explain-log", "Show from saved logs what happened to the flows of a caller");
    explainLog.add_option("--caller", arguments.logQuery.caller, "Address, or address:port, of the caller")
        ->required();
    explainLog.add_option("--from", arguments.logQuery.from, "Start time, in the format of the log lines");
    explainLog.add_option("--until", arguments.logQuery.until, "End time, in the format of the log lines");
    explainLog.add_option("files", arguments.logFiles, "Saved logs of the instances")->required();
    auto &audit = *app.add_subcommand("audit", "Show the audit trail of changes");
    audit.add_option("--limit", arguments.limit, "Maximum number of entries to show, the newest ones");
    auto &coverage =
        *app.add_subcommand("coverage", "Show which instances have the current version in force");
    auto &hash = *app.add_subcommand("hash-token", "Print the hash of a token read from standard input");

    CLI11_PARSE(app, argumentCount, argumentValues);

    if (hash.parsed())
        return static_cast<int>(hashTokenFromStdin());
    if (explainLog.parsed())
        return static_cast<int>(
            explainSavedLogs(arguments.logFiles, arguments.logQuery,
                             arguments.output == "json" ? LogOutput::Json : LogOutput::Text));
    auto const client = clientOptions(arguments);
    if (!client.ok()) {
        fmt::print(stderr, "almondwingctl: {}\n", std::string(client.status().message()));
        return static_cast<int>(ExitCode::Usage);
    }
    ChangeOptions const options = changeOptions(arguments);
    ExitCode code = ExitCode::Usage;
    if (apply.parsed())
        code = applyManifestFile(*client, options, arguments.file);
    else if (takeOut.parsed())
        code = submitChange(*client, options, makeDomainChange(arguments, FailureDomainState::TakenOut));
    else if (bringBack.parsed())
        code = submitChange(*client, options, makeDomainChange(arguments, FailureDomainState::InService));
    else if (drain.parsed())
        code = submitChange(*client, options, makeDrainChange(arguments, DrainState::Draining));
    else if (undrain.parsed())
        code = submitChange(*client, options, makeDrainChange(arguments, DrainState::Active));
    else if (status.parsed())
        code = showResponse(*client, "/v1/status", statusText);
    else if (explain.parsed())
        code = showResponse(*client, explainPath(arguments), explanationText);
    else if (audit.parsed())
        code = showResponse(*client, fmt::format("/v1/audit?limit={}", arguments.limit), auditText);
    else if (coverage.parsed())
        code = showResponse(*client, "/v1/coverage", coverageText);
    return static_cast<int>(code);
}

} // namespace almondwing

int main(int argumentCount, char **arguments)
{
    return almondwing::run(argumentCount, arguments);
}
