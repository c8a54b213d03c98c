// Implements fetching configurations and records from peers.

#include "ConfigurationFetcher.h"

#include "RecordsJson.h"

#include <LibConfigurationJson/StateJson.h>
#include <LibFrontEnd/HttpClient.h>

namespace almondwing {

namespace {

constexpr Duration pollInterval = 100ms;
constexpr Duration fetchTimeout = 2s;

} // namespace

PeerStateFetcher::PeerStateFetcher(IoRuntime &ioRuntime, Instance &fetchingInstance)
    : runtime(ioRuntime), instance(fetchingInstance)
{
}

void PeerStateFetcher::start()
{
    this->runtime.runEvery(pollInterval, [this] {
        this->fetchConfigurationIfOlder();
        this->fetchRecordsIfDue();
    });
}

void PeerStateFetcher::fetchConfigurationIfOlder()
{
    ReportedConfiguration const reported = this->instance.highestReportedConfiguration();
    if (reported.version <= this->instance.state().configuration.read()->version)
        return;
    auto const peer = this->instance.state().members.read(reported.peer);
    if (!peer || this->isFetchingConfiguration.exchange(true))
        return;
    HttpCall const call{
        .server = peer->value.httpEndpoint, .target = "/v1/configuration", .timeout = fetchTimeout};
    callHttp(this->runtime, call, [this](absl::StatusOr<HttpResponse> const &response) {
        if (response.ok() && response->isSuccess()) {
            auto const parsed = parseConfiguration(response->body);
            // The installer rejects a version that is not newer, so the reply of a lagging peer has no
            // effect.
            if (auto const *const configuration = std::get_if<Configuration>(&parsed))
                this->instance.handleConfiguration(*configuration);
        }
        this->isFetchingConfiguration = false;
    });
}

void PeerStateFetcher::fetchRecordsIfDue()
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
