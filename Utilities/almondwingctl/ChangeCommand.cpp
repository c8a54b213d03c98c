// Implements the commands that change the configuration.

#include "ChangeCommand.h"

#include "TextTables.h"

#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>
#include <LibFrontEnd/HttpTypes.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibManifest/ManifestJson.h>

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <random>

namespace almondwing {

namespace {

constexpr Duration changeTimeout = 20s;
constexpr Duration retryDelay = 1s;
// A replica starts an election 3 to 6 s after the leader is lost, and elections are repeated after a split
// vote. The window covers two elections; more in a row are rare.
constexpr Duration retryWindow = 15s;
constexpr Duration coverageInterval = 200ms;

void sleepFor(Duration delay)
{
    IoRuntime runtime;
    runtime.runAfter(delay, [&] { runtime.stop(); });
    runtime.run(1);
}

std::string randomRequestId()
{
    std::random_device device;
    return fmt::format("ctl-{:08x}{:08x}{:08x}", device(), device(), device());
}

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;

bool isRetryable(absl::StatusOr<HttpResponse> const &response)
{
    return !response.ok() || response->status == statusUnavailable
        || response->status == statusGatewayTimeout;
}

// Whether the attempt may have changed the configuration although its response doesn't tell the outcome.
bool isOutcomeUnknown(absl::StatusOr<HttpResponse> const &response)
{
    return response.ok() ? response->status == statusGatewayTimeout : !absl::IsUnavailable(response.status());
}

struct SentChange
{
    absl::StatusOr<HttpResponse> lastResponse;
    bool isEarlierUnknown = false; // The outcome of an attempt before the last one is unknown.
};

// Sends the change until there is an outcome. Every attempt has the same request id, so the change is applied
// at most once.
SentChange sendWithRetries(ClientOptions const &client, std::string const &body)
{
    HttpCall const call{
        .method = HttpMethod::Post, .target = "/v1/changes", .body = body, .timeout = changeTimeout};
    Timestamp const end = IoRuntime::now() + retryWindow;
    SentChange sent{.lastResponse = callServers(client, call)};
    while (isRetryable(sent.lastResponse) && IoRuntime::now() < end) {
        sent.isEarlierUnknown |= isOutcomeUnknown(sent.lastResponse);
        sleepFor(retryDelay);
        sent.lastResponse = callServers(client, call);
    }
    return sent;
}

ExitCode showCoverage(ClientOptions const &client, std::uint64_t version, std::chrono::seconds wait)
{
    Timestamp const end = IoRuntime::now() + wait;
    HttpCall const call{.target = fmt::format("/v1/coverage?version={}", version)};
    auto response = callServers(client, call);
    while (IoRuntime::now() < end && (!response.ok() || !isInForceEverywhere(response->body))) {
        sleepFor(coverageInterval);
        response = callServers(client, call);
    }
    if (!response.ok()) {
        fmt::print(stderr, "almondwingctl: {}\n", std::string(response.status().message()));
        return ExitCode::NotEverywhere;
    }
    fmt::print("{}", client.isJsonOutput ? response->body + "\n" : coverageText(response->body));
    return isInForceEverywhere(response->body) ? ExitCode::Success : ExitCode::NotEverywhere;
}

ExitCode showOutcome(ClientOptions const &client, ChangeOptions const &options, std::string const &requestId,
                     ChangeOutcome const &outcome)
{
    if (client.isJsonOutput)
        fmt::print("{}\n", formatChangeOutcome(outcome));
    if (auto const *const rejected = std::get_if<ChangeRejected>(&outcome)) {
        for (std::string const &error : rejected->errors)
            fmt::print(stderr, "rejected: {}\n", error);
        return ExitCode::Rejected;
    }
    if (auto const *const conflict = std::get_if<ChangeConflict>(&outcome)) {
        fmt::print(stderr,
                   "conflict: the current version is {}, created by request {} of operator {}; review it and "
                   "apply your "
                   "change again\n",
                   conflict->currentVersion, conflict->winningRequestId, conflict->winningOperator);
        return ExitCode::Conflict;
    }
    std::uint64_t const version = std::get<ChangeAccepted>(outcome).version;
    if (!client.isJsonOutput)
        fmt::print("accepted: configuration version {} (request {})\n", version, requestId);
    return options.wait ? showCoverage(client, version, *options.wait) : ExitCode::Success;
}

ExitCode showFailure(std::string const &requestId, absl::StatusOr<HttpResponse> const &response)
{
    if (!response.ok()) {
        bool const isUnknown = !absl::IsUnavailable(response.status());
        fmt::print(stderr, "almondwingctl: {}; {}\n", std::string(response.status().message()),
                   isUnknown ? fmt::format("the outcome is unknown, resend with --request-id {}", requestId)
                             : std::string("nothing was changed"));
        return isUnknown ? ExitCode::Unknown : ExitCode::Unavailable;
    }
    fmt::print(stderr, "almondwingctl: {}\n", errorText(response->body));
    switch (response->status) {
    case statusUnauthorized:
        return ExitCode::Unauthorized;
    case statusUnavailable:
        return ExitCode::Unavailable;
    case statusGatewayTimeout:
        fmt::print(stderr, "almondwingctl: resend with --request-id {}\n", requestId);
        return ExitCode::Unknown;
    default:
        return ExitCode::Rejected;
    }
}

// A refusal of the last attempt says nothing about an earlier attempt whose answer was lost.
ExitCode showFailure(std::string const &requestId, SentChange const &sent)
{
    if (!sent.isEarlierUnknown)
        return showFailure(requestId, sent.lastResponse);
    std::string const reason = sent.lastResponse.ok() ? errorText(sent.lastResponse->body)
                                                      : std::string(sent.lastResponse.status().message());
    fmt::print(
        stderr,
        "almondwingctl: last attempt: {}\n"
        "almondwingctl: the answer to an earlier attempt was lost, so the outcome is unknown; resend with "
        "--request-id {}\n",
        reason, requestId);
    return ExitCode::Unknown;
}

std::optional<std::uint64_t> currentVersion(ClientOptions const &client)
{
    auto const response = callServers(client, HttpCall{.target = "/v1/configuration"});
    if (!response.ok() || !response->isSuccess())
        return std::nullopt;
    auto const parsed = parseConfiguration(response->body);
    auto const *const configuration = std::get_if<Configuration>(&parsed);
    return configuration == nullptr ? std::nullopt : std::optional(configuration->version);
}

} // namespace

ExitCode submitChange(ClientOptions const &client, ChangeOptions const &options,
                      ConfigurationChange const &change)
{
    std::string const requestId = options.requestId.empty() ? randomRequestId() : options.requestId;
    ChangeRequest const request{.requestId = requestId, .baseVersion = options.baseVersion, .change = change};
    SentChange const sent = sendWithRetries(client, formatChangeRequest(request));
    if (!sent.lastResponse.ok())
        return showFailure(requestId, sent);
    auto const outcome = parseChangeOutcome(sent.lastResponse->body);
    if (auto const *const decided = std::get_if<ChangeOutcome>(&outcome))
        return showOutcome(client, options, requestId, *decided);
    return showFailure(requestId, sent);
}

ExitCode applyManifestFile(ClientOptions const &client, ChangeOptions options, std::string const &path)
{
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "almondwingctl: can't read {}\n", path);
        return ExitCode::Usage;
    }
    std::string const text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto const parsed = parseManifest(text);
    if (auto const *const errors = std::get_if<InputErrors>(&parsed)) {
        for (InputError const &error : *errors)
            fmt::print(stderr, "{}: {}\n", path, error.toString());
        return ExitCode::Rejected;
    }
    if (!options.baseVersion)
        options.baseVersion = currentVersion(client);
    if (!options.baseVersion) {
        fmt::print(stderr, "almondwingctl: no instance returned the current version; nothing was changed\n");
        return ExitCode::Unavailable;
    }
    return submitChange(client, options, ApplyManifest{.proposal = std::get<ProposedManifest>(parsed)});
}

} // namespace almondwing
