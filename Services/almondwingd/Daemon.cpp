// Implements the daemon.

#include "Daemon.h"

#include "DaemonMetrics.h"

#include <LibCore/Try.h>

#include <fmt/format.h>

#include <chrono>
#include <random>
#include <vector>

namespace almondwing {

namespace {

constexpr Duration tickInterval = 25ms;

// The interval between checks for parts of answers to bulk requests while none are pending. While some are,
// the instance schedules the next part.
constexpr Duration bulkIdleInterval = 10ms;

std::uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator{(std::uint64_t{std::random_device{}()} << 32U)
                                           ^ std::random_device{}()};
    return generator();
}

// Exceeds the incarnation of every earlier process of this instance, unless its clock goes back between
// starts.
std::uint64_t newIncarnation()
{
    auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

InstanceSettings toInstanceSettings(DaemonSettings const &settings, Timestamp now)
{
    InstanceSettings instance;
    instance.requests.startedAt = now;
    if (settings.dataFolder)
        instance.membership.controlInstances.push_back(settings.instance);
    for (PeerSettings const &peer : settings.peers) {
        if (peer.role == ControlRole::Control)
            instance.membership.controlInstances.push_back(peer.name);
    }
    return instance;
}

MemberRecord toMemberRecord(PeerSettings const &peer)
{
    return MemberRecord{.id = InstanceId::fromName(peer.name),
                        .name = peer.name,
                        .failureDomain = peer.failureDomain,
                        .peerEndpoint = peer.peer,
                        .httpEndpoint = peer.http};
}

} // namespace

Daemon::Daemon(DaemonSettings daemonSettings) : settings(std::move(daemonSettings)), log(settings.log.level)
{
}

EventReporter Daemon::reporter()
{
    return [this](Event event, std::string const &text) { this->log.report(event, text); };
}

absl::Status Daemon::open()
{
    this->sockets = TRY(DatagramSockets::open(this->runtime, this->settings, this->reporter()));
    this->instance = std::make_unique<Instance>(toInstanceSettings(this->settings, IoRuntime::now()),
                                                this->sockets->outbox(), randomNumber);
    this->sockets->attach(*this->instance);
    if (this->settings.dataFolder)
        TRY_STATUS(this->openControlReplica());
    this->metrics.addSource([this] { return sampleInstance(*this->instance); });
    this->metrics.addSource([this] { return sampleDatagrams(this->sockets->counters()); });
    this->metrics.addSource([this] { return sampleEvents(this->log); });
    if (this->control != nullptr)
        this->metrics.addSource(
            [this] { return sampleReplication(this->control->status(), this->control->counters()); });
    this->api = std::make_unique<HttpApi>(this->runtime, this->settings, *this->instance, this->control,
                                          this->metrics);
    HttpServerHooks hooks{
        .handle = [this](HttpRequest const &request,
                         HttpResponder const &respond) { this->api->handle(request, respond); },
        .reportInvalidInput =
            [this](std::string const &text) {
                this->log.report(Event::InputDropped, "http socket, " + text);
            }};
    this->http = TRY(HttpServer::open(this->runtime, this->settings.listen.http, std::move(hooks)));
    this->metrics.addSource([this] { return sampleHttp(this->http->counters()); });
    this->fetcher = std::make_unique<PeerStateFetcher>(this->runtime, *this->instance);
    this->poller = std::make_unique<HealthPoller>(this->runtime, *this->instance);
    return absl::OkStatus();
}

absl::Status Daemon::openControlReplica()
{
    ControlReplicaHooks hooks{
        .configurationCommitted =
            [this](Configuration const &configuration) {
                this->instance->handleConfiguration(configuration);
            },
        .mayBootstrap = [this] { return this->instance->highestReportedConfiguration().version == 0; },
        .report = this->reporter()};
    this->control = TRY(ControlReplica::open(this->runtime, this->settings, std::move(hooks)));
    return absl::OkStatus();
}

void Daemon::startInstance()
{
    MemberRecord const self{.id = InstanceId::fromName(this->settings.instance),
                            .name = this->settings.instance,
                            .failureDomain = this->settings.failureDomain,
                            .peerEndpoint = this->settings.listen.peer,
                            .httpEndpoint = this->settings.listen.http,
                            .incarnation = newIncarnation()};
    std::vector<MemberRecord> seeds;
    for (PeerSettings const &peer : this->settings.peers)
        seeds.push_back(toMemberRecord(peer));
    this->instance->start(self, seeds, IoRuntime::now());
}

void Daemon::run()
{
    this->startInstance();
    this->sockets->start();
    if (this->control != nullptr)
        this->control->start();
    this->fetcher->start();
    this->poller->start();
    this->runtime.runEvery(tickInterval, [this] { this->tick(); });
    this->sendBulkParts();
    this->runtime.onFailedHandler([this](std::string const &message) {
        this->log.report(Event::InputDropped, "an unexpected error ended a handler: " + message);
    });
    this->runtime.onStopSignal([this] { this->beginStop(); });
    this->log.report(Event::ProcessStarted,
                     fmt::format("instance {} in failure domain {}, entry {}, http {}",
                                 this->settings.instance, this->settings.failureDomain,
                                 this->settings.listen.entry.toString(),
                                 this->settings.listen.http.toString()));
    this->runtime.run(this->settings.threads);
    this->log.report(Event::ProcessStopped, this->settings.instance);
}

void Daemon::tick()
{
    Timestamp const now = IoRuntime::now();
    this->instance->tick(now);
    if (this->instance->isStopped(now))
        this->runtime.stop();
}

void Daemon::sendBulkParts()
{
    Timestamp const now = IoRuntime::now();
    auto const next = this->instance->sendNextBulkPart(now);
    if (next && *next <= now)
        this->runtime.post([this] { this->sendBulkParts(); });
    else
        this->runtime.runAfter(next ? *next - now : bulkIdleInterval, [this] { this->sendBulkParts(); });
}

void Daemon::beginStop()
{
    this->log.report(Event::ProcessStopping, "completing the work in progress");
    this->instance->beginStop(IoRuntime::now());
}

} // namespace almondwing
