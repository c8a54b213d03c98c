// Implements the fetching from peers.

#include "ConfigurationFetcher.h"

#include "RecordsJson.h"

#include <LibConfigurationJson/StateJson.h>
#include <LibFrontEnd/HttpClient.h>

namespace almondwing {

namespace {

constexpr Duration lookInterval = 100ms;
constexpr Duration fetchTimeout = 2s;

} // namespace

ConfigurationFetcher::ConfigurationFetcher(IoRuntime &ioRuntime, Instance &fetchingInstance)
    : runtime(ioRuntime), instance(fetchingInstance)
{
}

void ConfigurationFetcher::start()
{
    this->runtime.runEvery(lookInterval, [this] {
        this->fetchConfigurationIfOlder();
        this->fetchRecordsIfStale();
    });
}

void ConfigurationFetcher::fetchConfigurationIfOlder()
{
    ReportedConfiguration const seen = this->instance.highestReportedConfiguration();
    if (seen.version <= this->instance.state().configuration.read()->version)
        return;
    auto const peer = this->instance.state().members.read(seen.peer);
    if (!peer || this->isFetching.exchange(true))
        return;
    HttpCall const call{
        .server = peer->value.httpEndpoint, .target = "/v1/configuration", .timeout = fetchTimeout};
    callHttp(this->runtime, call, [this](absl::StatusOr<HttpResponse> const &response) {
        if (response.ok() && response->isSuccess()) {
            auto const parsed = parseConfiguration(response->body);
            // The keeper refuses anything that is not newer, so a lagging peer does no harm.
            if (auto const *const configuration = std::get_if<Configuration>(&parsed))
                this->instance.handleConfiguration(*configuration);
        }
        this->isFetching = false;
    });
}

void ConfigurationFetcher::fetchRecordsIfStale()
{
    auto const peerId = this->instance.startDueRecordFetch(IoRuntime::now());
    auto const peer = peerId ? this->instance.state().members.read(*peerId) : std::nullopt;
    if (!peer)
        return;
    HttpCall const call{.server = peer->value.httpEndpoint, .target = "/v1/records", .timeout = fetchTimeout};
    callHttp(this->runtime, call, [this](absl::StatusOr<HttpResponse> const &response) {
        if (!response.ok() || !response->isSuccess())
            return;
        auto const records = parseRecords(response->body);
        if (records.ok())
            this->instance.handleRecords(records->members, records->targets, IoRuntime::now());
    });
}

} // namespace almondwing
