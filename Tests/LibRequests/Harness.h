// A request controller whose hooks record what it sends.

#pragma once

#include <LibRequests/RequestController.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace almondwing {

constexpr Endpoint callerEndpoint{.address = 1, .port = 1};
constexpr TargetId firstTarget{1};
constexpr TargetId secondTarget{2}; // Dispatched by another instance.
constexpr InstanceId self{10};
constexpr InstanceId member{11};
constexpr InstanceId otherDispatcher{20};

inline Endpoint endpointOf(TargetId target)
{
    return {.address = 2, .port = static_cast<std::uint16_t>(target.value)};
}

// A controller at instance `self` and everything that it sends. Several threads of a test may share it; the
// mutex guards the recorded messages.
struct Harness
{
    Blackboard board;
    std::mutex mutex;
    std::vector<CallerReply> toCaller;
    std::vector<TargetCommand> toTarget;
    std::vector<std::pair<InstanceId, PeerMessage>> toInstance;
    std::atomic<std::uint64_t> random = 1;
    std::unique_ptr<RequestController> controller;
    Timestamp now{1000s};

    explicit Harness(std::uint32_t slots = 2, RequestSettings settings = {})
    {
        Outbox outbox;
        outbox.sendToCaller = [this](Endpoint, CallerReply const &reply) {
            std::scoped_lock const lock(this->mutex);
            this->toCaller.push_back(reply);
        };
        outbox.sendToTarget = [this](Endpoint, TargetCommand const &command) {
            std::scoped_lock const lock(this->mutex);
            this->toTarget.push_back(command);
        };
        outbox.sendToInstance = [this](InstanceId to, PeerMessage const &message) {
            std::scoped_lock const lock(this->mutex);
            this->toInstance.emplace_back(to, message);
        };
        outbox.report = [](Event, std::string const &) {};
        this->board.ownStatus.update([](OwnStatus status) {
            status.self.id = self;
            status.lease = LeaseState::Held;
            return status;
        });
        this->setView(slots);
        for (InstanceId const known : {self, member, otherDispatcher})
            this->board.members.update(known, [](auto const &) { return std::optional(MemberRecord{}); });
        this->controller = std::make_unique<RequestController>(this->board, settings, outbox,
                                                               [this] { return mixBits(this->random++); });
    }

    // Both targets have the same limit; all buckets belong to the first.
    void setView(std::uint32_t slots, TargetState firstState = TargetState::Warm,
                 InstanceId secondDispatcher = otherDispatcher, std::uint64_t startMark = 1)
    {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->id = ServiceId{1};
        for (TargetId const target : {firstTarget, secondTarget}) {
            RoutedTarget routed;
            routed.record.id = target;
            routed.record.startMark = startMark;
            routed.record.packetEndpoint = endpointOf(target);
            routed.record.failureDomain = target == firstTarget ? "zvolen" : "banska";
            routed.record.state = target == firstTarget ? firstState : TargetState::Warm;
            routed.limits = routed.fullLimits = {.slots = slots, .connections = 0};
            routed.dispatcher = target == firstTarget ? self : secondDispatcher;
            routed.replicaGroup = {self, member};
            routes->targets.push_back(routed);
        }
        RoutingView view;
        view.services[ServiceId{1}] = routes;
        view.serviceOfTarget = {{firstTarget, ServiceId{1}}, {secondTarget, ServiceId{1}}};
        this->board.routingView.update([&](RoutingView const &) { return RoutingView(view); });
    }

    void takeOutFirstDomain()
    {
        this->board.configuration.update([](Configuration const &before) {
            Configuration next = before;
            ++next.version;
            next.manifest.failureDomains = {
                {.name = "banska", .region = "sk"},
                {.name = "zvolen", .region = "sk", .state = FailureDomainState::TakenOut}};
            return next;
        });
    }

    static Request request(std::uint64_t number, RequestClass requestClass, Idempotency idempotency)
    {
        return {.key = {.service = ServiceId{1}, .caller = 1, .number = number},
                .attempt = 1,
                .requestClass = requestClass,
                .idempotency = idempotency,
                .timeLeft = 2s,
                .payload = "x"};
    }

    void send(Request const &request, std::uint8_t hops = 2)
    {
        this->controller->handleRequest(
            {.caller = callerEndpoint, .request = request, .target = firstTarget, .hops = hops}, this->now);
    }

    Request sendIdempotent(std::uint64_t number, RequestClass requestClass = RequestClass::Urgent)
    {
        auto sent = request(number, requestClass, Idempotency::Idempotent);
        this->send(sent);
        return sent;
    }

    void tickFor(Duration duration)
    {
        for (Timestamp const end = this->now + duration; this->now < end; this->now += 20ms)
            this->controller->tick(this->now);
    }

    template<typename Message, typename Variants>
    static std::vector<Message> messagesOf(Variants const &variants)
    {
        std::vector<Message> messages;
        for (auto const &variant : variants) {
            if (auto const *const message = std::get_if<Message>(&variant))
                messages.push_back(*message);
        }
        return messages;
    }

    std::vector<RunRequest> runs() const { return messagesOf<RunRequest>(this->toTarget); }
    std::vector<NotRun> refusals() const { return messagesOf<NotRun>(this->toCaller); }
    std::vector<OutcomeUnknown> unknowns() const { return messagesOf<OutcomeUnknown>(this->toCaller); }
    std::uint32_t busySlots() const { return this->board.usage.read(firstTarget)->value.busySlots; }

    void answer(RunRequest const &run, std::uint32_t parts = 1)
    {
        for (std::uint32_t part = 0; part < parts; ++part)
            this->controller->handleTargetMessage(
                endpointOf(firstTarget),
                AnswerPart{.key = run.key,
                           .tryId = run.tryId,
                           .part = part,
                           .position = part + 1 == parts ? PartPosition::Last : PartPosition::NotLast,
                           .payload = std::string(1000, 'a')},
                this->now);
    }

    void shed(RunRequest const &run)
    {
        this->controller->handleTargetMessage(
            endpointOf(firstTarget), Shed{.key = run.key, .tryId = run.tryId, .retryAfter = {}}, this->now);
    }

    void started(RunRequest const &run)
    {
        this->controller->handleTargetMessage(endpointOf(firstTarget),
                                              RequestStarted{.key = run.key, .tryId = run.tryId}, this->now);
    }

    void replyToRecord(RecordVerdict verdict)
    {
        auto const record = std::get<RecordRequest>(this->toInstance.back().second);
        this->controller->handlePeerMessage(
            member, RecordReply{.key = record.key, .tryId = record.tryId, .verdict = verdict}, this->now);
    }
};

} // namespace almondwing
