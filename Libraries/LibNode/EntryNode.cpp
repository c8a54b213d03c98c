// Implements an entry.

#include <LibNode/EntryNode.h>

#include <LibCore/Try.h>
#include <LibFrontEnd/ListenerCheck.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace almondwing {

namespace {

// Flows are counted this often; new ones count at once.
constexpr Duration sweepInterval = 500ms;

// Held packets are tried again this often, beside each change of the view.
constexpr Duration retryInterval = 100ms;

// An attempt to connect takes 1 ms between failure domains; a machine answers it even while its process is
// busy.
constexpr Duration listenerTimeout = 120ms;

// The fabric asks twice a second and needs two refusals; the rest is for packets that are on their way.
constexpr Duration shortestDrain = 2500ms;

// Flows of a failure domain send more often than this together; the fabric asks twice meanwhile.
constexpr Duration quietAfter = 1s;

// Left of the stop time for ending the process, also a slow one.
constexpr Duration endReserve = 500ms;

std::mt19937_64 &generator()
{
    thread_local std::mt19937_64 ofThread{(std::uint64_t{std::random_device{}()} << 32U)
                                          ^ std::random_device{}()};
    return ofThread;
}

std::uint64_t randomNumber()
{
    return generator()();
}

} // namespace

EntryNode::EntryNode(IoRuntime &ioRuntime, NodeSettings nodeSettings, PacketAdapter packetAdapter,
                     EventReporter eventReporter)
    : runtime(ioRuntime), settings(std::move(nodeSettings)), adapter(std::move(packetAdapter)),
      report(std::move(eventReporter)),
      router(board, PlacementSettings{.failureDomain = settings.failureDomain},
             TokenRouterHooks{.random = randomNumber,
                              .checkTarget = [this](ViewTarget const &target) { this->checkTarget(target); },
                              .flowEstablished =
                                  [this](FlowPacket const &packet, ViewTarget const &target, Duration after) {
                                      this->noteEstablished(packet, target, after);
                                  }}),
      held(HeldPacketLimits{}),
      follower(ioRuntime, settings, board,
               FollowerHooks{
                   .viewChanged = [this] { this->retryHeld(); },

                   .coldFlowsPermitted = [this](Timestamp until) { this->router.permitColdFlows(until); },
                   .activity = [this] { return *this->activity.read(); },
                   .report = this->report})
{
}

bool isDrainOver(EntryDrain const &drain, Timestamp now)
{
    Duration const shortest = std::min<Duration>(shortestDrain, drain.stopTimeout / 2);
    Duration const latest = std::max<Duration>(shortest, drain.stopTimeout - endReserve);
    auto const longest = shortest
        + std::chrono::duration_cast<Duration>((latest - shortest) * std::clamp(drain.patience, 0.0, 1.0));
    Duration const drained = now - drain.begunAt;
    bool const isQuiet = now - drain.lastPacketAt >= quietAfter;
    return drained >= longest || (drained >= shortest && isQuiet);
}

void EntryNode::beginStop(Timestamp now)
{
    // A second signal changes nothing.
    if (this->isStopping.exchange(true))
        return;
    this->stopBegunAt = now;
    this->stopPatience = std::generate_canonical<double, 53>(generator());
}

bool EntryNode::isDrained(Timestamp now) const
{
    return this->isStopping
        && isDrainOver(EntryDrain{.begunAt = this->stopBegunAt,
                                  .lastPacketAt = this->lastPacketAt,
                                  .stopTimeout = this->settings.stopTimeout,
                                  .patience = this->stopPatience},
                       now);
}

absl::Status EntryNode::open()
{
    this->socket = TRY(UdpSocket::open(this->runtime, *this->settings.packets));
    HttpServerHooks hooks{
        .handle =
            [this](HttpRequest const &request, HttpResponder const &respond) {
                bool const isKnown = request.path == this->adapter.readinessPath;
                respond(HttpResponse{.status = !isKnown    ? 404U
                                         : this->isReady() ? 200U
                                                           : 503U,
                                     .body = "{}"});
            },
        .reportRefusal = [this](std::string const &text) { this->report(Event::InputDropped, text); }};
    this->readiness = TRY(HttpServer::open(this->runtime, *this->settings.readiness, std::move(hooks)));
    return absl::OkStatus();
}

void EntryNode::start()
{
    this->socket->receive([this](Endpoint, std::string_view datagram) {
        Timestamp const now = IoRuntime::now();
        this->lastPacketAt.store(now, std::memory_order_relaxed);
        this->handleDatagram(datagram, PacketTimes{.arrivedAt = now, .now = now});
    });
    this->runtime.runEvery(sweepInterval, [this] {
        auto counts = sweepFlows(this->board, IoRuntime::now());
        this->activity.update([&counts](auto const &) { return counts; });
    });
    this->runtime.runEvery(retryInterval, [this] { this->retryHeld(); });
    this->follower.start();
}

bool EntryNode::isReady() const
{
    return !this->isStopping && this->board.view.select([](ServingView const &view) {
        return view.hasConfiguration() && (view.isRegistryComplete || !view.targets.empty());
    });
}

void EntryNode::handleDatagram(std::string_view datagram, PacketTimes times)
{
    auto const packet = this->adapter.decode(datagram);
    if (!packet) {
        this->undecodable.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    std::visit([&](auto const &decision) { this->act(datagram, *packet, decision, times); },
               this->router.decide(*packet, times.now));
}

// Names the flow, and the view that the decision was made by with its age.
std::string EntryNode::describe(FlowPacket const &packet) const
{
    ViewFreshness const view = this->follower.freshness();
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(IoRuntime::now() - view.answeredAt);
    return fmt::format("caller={} service={} revision={} view_age_ms={}", packet.flow.caller.toString(),
                       packet.flow.service.toString(), view.revision,
                       view.answeredAt == Timestamp{} ? -1 : age.count());
}

void EntryNode::act(std::string_view datagram, FlowPacket const &packet, ForwardPacket const &decision,
                    PacketTimes times)
{
    this->forwarded.fetch_add(1, std::memory_order_relaxed);
    this->socket->send(decision.endpoint, this->adapter.encodeForward(datagram, decision));
    if (times.now > times.arrivedAt)
        this->holding.observe(times.now - times.arrivedAt);
    if (packet.kind == PacketKind::Open)
        this->report(Event::FlowPlaced,
                     fmt::format("{} target={:x} endpoint={} token={:x} copy={}", this->describe(packet),
                                 decision.target.value, decision.endpoint.toString(), decision.token.value,
                                 packet.acknowledgement));
}

void EntryNode::noteEstablished(FlowPacket const &packet, ViewTarget const &target, Duration after)
{
    this->establishing.observe(after);
    this->report(Event::FlowEstablished,
                 fmt::format("{} target={:x} after_ms={}", this->describe(packet), target.target.number.value,
                             std::chrono::duration_cast<std::chrono::milliseconds>(after).count()));
}

void EntryNode::act(std::string_view, FlowPacket const &packet, ResetFlow const &decision, PacketTimes)
{
    this->resets.fetch_add(1, std::memory_order_relaxed);
    this->socket->send(Endpoint{.address = packet.flow.caller.address, .port = this->settings.packets->port},
                       this->adapter.encodeReset(packet));
    this->board.flows.remove(packet.flow);
    this->report(Event::FlowReset,
                 fmt::format("{} reason={} token={:x}", this->describe(packet),
                             std::string(nameOf(decision.reason)), packet.token.value));
}

void EntryNode::act(std::string_view datagram, FlowPacket const &packet, HoldPacket const &,
                    PacketTimes times)
{
    if (!this->held.hold(datagram, times.arrivedAt, times.now)) {
        this->noteDropped(packet, "hold-full");
        return;
    }
    if (times.now > times.arrivedAt)
        return;
    this->holds.fetch_add(1, std::memory_order_relaxed);
    this->report(Event::PacketHeld, fmt::format("{} token={:x}", this->describe(packet), packet.token.value));
}

void EntryNode::act(std::string_view, FlowPacket const &packet, DropPacket const &decision, PacketTimes)
{
    this->noteDropped(packet, nameOf(decision.reason));
}

void EntryNode::noteDropped(FlowPacket const &packet, std::string_view reason)
{
    this->drops.fetch_add(1, std::memory_order_relaxed);
    this->report(Event::PacketDropped,
                 fmt::format("{} reason={} token={:x}", this->describe(packet), reason, packet.token.value));
}

// A packet that still can't be decided is held again until its time is over.
void EntryNode::retryHeld()
{
    Timestamp const now = IoRuntime::now();
    HeldPackets::Taken const taken = this->held.takeAll(now);
    for (HeldPackets::Held const &entry : taken.expired) {
        if (auto const packet = this->adapter.decode(entry.packet))
            this->noteDropped(*packet, "hold-expired");
    }
    for (HeldPackets::Held const &entry : taken.waiting)
        this->handleDatagram(entry.packet, PacketTimes{.arrivedAt = entry.arrivedAt, .now = now});
}

void EntryNode::checkTarget(ViewTarget const &target)
{
    this->report(Event::TargetSuspected,
                 fmt::format("target={:x} endpoint={}", target.target.number.value,
                             target.target.endpoint.toString()));
    checkListener(this->runtime, target.target.endpoint, listenerTimeout,
                  [this, checked = target](ListenerState state) { this->recordCheckResult(checked, state); });
}

void EntryNode::recordCheckResult(ViewTarget const &checked, ListenerState state)
{
    CheckResult const result = state == ListenerState::Accepted ? CheckResult::Accepted
        : state == ListenerState::Refused                       ? CheckResult::Refused
                                                                : CheckResult::Silent;
    Timestamp const now = IoRuntime::now();
    std::vector<FlowPacket> const waiting = this->router.recordCheckResult(checked.token, result, now);
    if (result == CheckResult::Accepted)
        return;
    this->report(Event::TargetUnreachable,
                 fmt::format("target={:x} endpoint={} check={} waiting_flows={}", checked.target.number.value,
                             checked.target.endpoint.toString(),
                             result == CheckResult::Refused ? "refused" : "silent", waiting.size()));
    for (FlowPacket const &packet : waiting)
        this->act("", packet, ResetFlow{ResetReason::TargetUnreachable},
                  PacketTimes{.arrivedAt = now, .now = now});
}

EntryCounters EntryNode::counters() const
{
    return EntryCounters{.forwarded = this->forwarded,
                         .reset = this->resets,
                         .held = this->holds,
                         .dropped = this->drops,
                         .undecodable = this->undecodable};
}

} // namespace almondwing
