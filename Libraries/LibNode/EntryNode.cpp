// Implements an entry.

#include <LibNode/EntryNode.h>

#include <LibCore/Try.h>
#include <LibFrontEnd/ListenerCheck.h>
#include <LibNode/EntryAnnouncer.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace almondwing {

namespace {

// Interval at which active flows are counted. New flows are counted immediately.
constexpr Duration sweepInterval = 500ms;

// Held packets are retried at this interval and after each change of the view.
constexpr Duration retryInterval = 100ms;

// A connection between failure domains is established in 1 ms. The kernel of the machine accepts it even
// while the process is busy.
constexpr Duration listenerTimeout = 120ms;

// The opening packet of a connection may be lost, and the kernel repeats it only after a second, so a check
// tries again at this interval until its time is over.
constexpr Duration listenerRetryInterval = 40ms;

constexpr RepeatedCheck targetCheck{.timeout = listenerTimeout, .retryInterval = listenerRetryInterval};

// The fabric checks readiness twice a second and stops sending after two failures. The rest of the time is
// for packets in transit.
constexpr Duration minDrainTime = 2500ms;

// All flows of a failure domain together send packets more often than this, and the fabric checks readiness
// twice in this time.
constexpr Duration quietPeriod = 1s;

// The part of the stop time that is reserved for the exit of the process, including a slow one.
constexpr Duration exitReserve = 500ms;

std::mt19937_64 &generator()
{
    thread_local std::mt19937_64 engine{(std::uint64_t{std::random_device{}()} << 32U)
                                        ^ std::random_device{}()};
    return engine;
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
      router(blackboard, PlacementSettings{.failureDomain = settings.failureDomain},
             TokenRouterHooks{.random = randomNumber,
                              .checkTarget = [this](ViewTarget const &target) { this->checkTarget(target); },
                              .flowEstablished =
                                  [this](FlowPacket const &packet, ViewTarget const &target, Duration after) {
                                      this->reportEstablished(packet, target, after);
                                  }},
             RepeatSettings{.share = settings.repeatPercent / 100}),
      heldPackets(HeldPacketLimits{}),
      viewClient(
          ioRuntime, settings, blackboard,
          ViewClientHooks{.viewChanged = [this] { this->retryHeld(); },
                          .permitColdFlows = [this](Timestamp until) { this->router.permitColdFlows(until); },
                          .activity = [this] { return *this->activity.read(); },
                          .report = this->report})
{
}

bool isDrainOver(EntryDrain const &drain, Timestamp now)
{
    Duration const minTime = std::min<Duration>(minDrainTime, drain.stopTimeout / 2);
    Duration const maxTime = std::max<Duration>(minTime, drain.stopTimeout - exitReserve);
    auto const limit = minTime
        + std::chrono::duration_cast<Duration>((maxTime - minTime) * std::clamp(drain.jitter, 0.0, 1.0));
    Duration const drained = now - drain.begunAt;
    bool const isQuiet = now - drain.lastPacketAt >= quietPeriod;
    return drained >= limit || (drained >= minTime && isQuiet);
}

void EntryNode::beginStop(Timestamp now)
{
    // A second stop signal has no effect.
    if (this->isStopping.exchange(true))
        return;
    this->stopBegunAt = now;
    this->stopJitter = std::generate_canonical<double, 53>(generator());
}

bool EntryNode::isDrained(Timestamp now) const
{
    return this->isStopping
        && isDrainOver(EntryDrain{.begunAt = this->stopBegunAt,
                                  .lastPacketAt = this->lastPacketAt,
                                  .stopTimeout = this->settings.stopTimeout,
                                  .jitter = this->stopJitter},
                       now);
}

absl::Status EntryNode::open()
{
    this->socket = TRY(UdpSocket::open(this->runtime, *this->settings.packets));
    HttpServerHooks hooks{
        .handle =
            [this](HttpRequest const &request, HttpResponder const &respond) {
                if (request.method == HttpMethod::Post && request.path == controlStartedPath) {
                    auto const controls = parseEndpoints(request.body);
                    if (controls.size() == 1)
                        this->viewClient.handleControlStarted(controls.front());
                    respond(HttpResponse{.status = controls.size() == 1 ? 200U : 400U, .body = "{}"});
                    return;
                }
                bool const isKnown = request.path == this->adapter.readinessPath;
                respond(HttpResponse{.status = !isKnown    ? 404U
                                         : this->isReady() ? 200U
                                                           : 503U,
                                     .body = "{}"});
            },
        .reportInvalidInput = [this](std::string const &text) { this->report(Event::InputDropped, text); }};
    this->readinessServer = TRY(HttpServer::open(this->runtime, *this->settings.readiness, std::move(hooks)));
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
        auto counts = sweepFlows(this->blackboard, IoRuntime::now());
        this->activity.update([&counts](auto const &) { return counts; });
    });
    this->runtime.runEvery(retryInterval, [this] { this->retryHeld(); });
    this->viewClient.start();
}

bool EntryNode::isReady() const
{
    return !this->isStopping && this->blackboard.view.select([](ServingView const &view) {
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
    std::visit([&](auto const &decision) { this->execute(datagram, *packet, decision, times); },
               this->router.decide(*packet, times.now));
}

// The log fields that identify the flow and the revision and age of the view that the decision was based on.
std::string EntryNode::describeFlow(FlowPacket const &packet) const
{
    ViewFreshness const view = this->viewClient.freshness();
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(IoRuntime::now() - view.answeredAt);
    return fmt::format("caller={} service={} revision={} view_age_ms={}", packet.flow.caller.toString(),
                       packet.flow.service.toString(), view.revision,
                       view.answeredAt == Timestamp{} ? -1 : age.count());
}

void EntryNode::execute(std::string_view datagram, FlowPacket const &packet, ForwardPacket const &decision,
                        PacketTimes times)
{
    this->forwarded.fetch_add(1, std::memory_order_relaxed);
    this->socket->send(decision.endpoint, this->adapter.encodeForward(datagram, decision));
    if (times.now > times.arrivedAt)
        this->holdLatencies.observe(times.now - times.arrivedAt);
    if (packet.kind == PacketKind::Open)
        this->report(Event::FlowPlaced,
                     fmt::format("{} target={:x} endpoint={} token={:x} copy={}", this->describeFlow(packet),
                                 decision.target.value, decision.endpoint.toString(), decision.token.value,
                                 packet.acknowledgement));
    if (decision.lateAfter > Duration::zero())
        this->runtime.runAfter(decision.lateAfter, [this, opening = std::string(datagram), packet] {
            this->handleLateOpening(opening, packet);
        });
}

void EntryNode::handleLateOpening(std::string const &datagram, FlowPacket const &packet)
{
    LateOpening const late = this->router.examineLateOpening(packet, IoRuntime::now());
    switch (late.action) {
    case LateOpeningAction::None:
        return;
    case LateOpeningAction::Wait:
        this->runtime.runAfter(listenerTimeout, [this, datagram, packet] {
            if (this->router.examineCheckedOpening(packet, IoRuntime::now()).action
                == LateOpeningAction::Repeat)
                this->handleLateOpening(datagram, packet);
        });
        return;
    case LateOpeningAction::Withheld:
        this->repeatsWithheld.fetch_add(1, std::memory_order_relaxed);
        return;
    case LateOpeningAction::Repeat:
        this->repeatOpening(datagram, packet);
        return;
    case LateOpeningAction::Check:
        checkListenerRepeatedly(this->runtime, late.target.target.endpoint, targetCheck,
                                [this, checked = late.target, datagram, packet](ListenerState state) {
                                    this->handleCheckResult(checked, state);
                                    if (this->router.examineCheckedOpening(packet, IoRuntime::now()).action
                                        == LateOpeningAction::Repeat)
                                        this->repeatOpening(datagram, packet);
                                });
        return;
    }
}

void EntryNode::repeatOpening(std::string const &datagram, FlowPacket const &packet)
{
    this->openingsRepeated.fetch_add(1, std::memory_order_relaxed);
    this->report(Event::OpeningRepeated, this->describeFlow(packet));
    Timestamp const now = IoRuntime::now();
    this->handleDatagram(datagram, PacketTimes{.arrivedAt = now, .now = now});
}

void EntryNode::reportEstablished(FlowPacket const &packet, ViewTarget const &target, Duration after)
{
    this->establishLatencies.observe(after);
    this->report(Event::FlowEstablished,
                 fmt::format("{} target={:x} after_ms={}", this->describeFlow(packet),
                             target.target.number.value,
                             std::chrono::duration_cast<std::chrono::milliseconds>(after).count()));
}

void EntryNode::execute(std::string_view, FlowPacket const &packet, ResetFlow const &decision, PacketTimes)
{
    this->resets.fetch_add(1, std::memory_order_relaxed);
    this->socket->send(Endpoint{.address = packet.flow.caller.address, .port = this->settings.packets->port},
                       this->adapter.encodeReset(packet));
    this->blackboard.flows.remove(packet.flow);
    this->report(Event::FlowReset,
                 fmt::format("{} reason={} token={:x}", this->describeFlow(packet),
                             std::string(nameOf(decision.reason)), packet.token.value));
}

void EntryNode::execute(std::string_view datagram, FlowPacket const &packet, HoldPacket const &,
                        PacketTimes times)
{
    if (!this->heldPackets.hold(datagram, times.arrivedAt, times.now)) {
        this->reportDropped(packet, "hold-full");
        return;
    }
    if (times.now > times.arrivedAt)
        return;
    this->holds.fetch_add(1, std::memory_order_relaxed);
    this->report(Event::PacketHeld,
                 fmt::format("{} token={:x}", this->describeFlow(packet), packet.token.value));
}

void EntryNode::execute(std::string_view, FlowPacket const &packet, DropPacket const &decision, PacketTimes)
{
    this->reportDropped(packet, nameOf(decision.reason));
}

void EntryNode::reportDropped(FlowPacket const &packet, std::string_view reason)
{
    this->drops.fetch_add(1, std::memory_order_relaxed);
    this->report(
        Event::PacketDropped,
        fmt::format("{} reason={} token={:x}", this->describeFlow(packet), reason, packet.token.value));
}

// A packet that still can't be routed is held again until it expires.
void EntryNode::retryHeld()
{
    Timestamp const now = IoRuntime::now();
    HeldPackets::Batch const batch = this->heldPackets.takeAll(now);
    for (HeldPackets::Packet const &held : batch.expired) {
        if (auto const packet = this->adapter.decode(held.packet))
            this->reportDropped(*packet, "hold-expired");
    }
    for (HeldPackets::Packet const &held : batch.waiting)
        this->handleDatagram(held.packet, PacketTimes{.arrivedAt = held.arrivedAt, .now = now});
}

void EntryNode::checkTarget(ViewTarget const &target)
{
    this->report(Event::TargetSuspected,
                 fmt::format("target={:x} endpoint={}", target.target.number.value,
                             target.target.endpoint.toString()));
    checkListenerRepeatedly(
        this->runtime, target.target.endpoint, targetCheck,
        [this, checked = target](ListenerState state) { this->handleCheckResult(checked, state); });
}

void EntryNode::handleCheckResult(ViewTarget const &checked, ListenerState state)
{
    CheckResult const result = state == ListenerState::Accepted ? CheckResult::Accepted
        : state == ListenerState::Refused                       ? CheckResult::Refused
                                                                : CheckResult::NoAnswer;
    Timestamp const now = IoRuntime::now();
    std::vector<FlowPacket> const waiting = this->router.recordCheckResult(checked.token, result, now);
    if (result == CheckResult::Accepted)
        return;
    this->report(Event::TargetUnreachable,
                 fmt::format("target={:x} endpoint={} check={} waiting_flows={}", checked.target.number.value,
                             checked.target.endpoint.toString(),
                             result == CheckResult::Refused ? "refused" : "silent", waiting.size()));
    for (FlowPacket const &packet : waiting)
        this->execute("", packet, ResetFlow{ResetReason::TargetUnreachable},
                      PacketTimes{.arrivedAt = now, .now = now});
}

EntryCounters EntryNode::counters() const
{
    return EntryCounters{.forwarded = this->forwarded,
                         .reset = this->resets,
                         .held = this->holds,
                         .dropped = this->drops,
                         .undecodable = this->undecodable,
                         .openingsRepeated = this->openingsRepeated,
                         .repeatsWithheld = this->repeatsWithheld};
}

} // namespace almondwing
