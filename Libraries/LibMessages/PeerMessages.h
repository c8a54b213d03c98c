// Messages between instances, and their records. A bucket table assigns hash buckets of a service to targets.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/FlowMessages.h>
#include <LibMessages/RequestMessages.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

enum class MemberState : std::uint8_t { Alive = 0, Suspect = 1, Leaving = 2, Dead = 3 };

// State of one instance as the cluster knows it. Of two records of one instance, the one with the higher
// incarnation wins; with equal incarnations, the one whose state is later in MemberState.
struct MemberRecord
{
    InstanceId id;
    std::string name;
    std::string failureDomain;
    Endpoint peerEndpoint;
    Endpoint httpEndpoint;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    friend bool operator==(MemberRecord const &, MemberRecord const &) = default;
};

enum class TargetState : std::uint8_t { Starting = 0, Warm = 1, Draining = 2, Unhealthy = 3, Gone = 4 };

// Orders the versions of one target record. `owner` is the dispatcher that wrote the version. A new
// dispatcher uses an epoch one above the highest it has seen, so that its records win over delayed records of
// the previous dispatcher; the instance ID breaks a tie between two such dispatchers.
struct TargetSequence
{
    std::uint64_t epoch = 0;
    std::uint64_t counter = 0;
    InstanceId owner;

    friend constexpr auto operator<=>(TargetSequence const &, TargetSequence const &) = default;
};

// State of one target as the cluster knows it. Written only by the dispatcher of the target.
struct TargetRecord
{
    TargetId id;
    std::string name;
    ServiceId service;
    std::string failureDomain;
    Endpoint packetEndpoint; // UDP, flows and requests.
    Endpoint httpEndpoint; // TCP, health and load.
    std::uint64_t startMark = 0; // Identifies the process of the target; a restart changes it.
    TargetState state = TargetState::Starting;
    // Step of the slow start, which determines the share of its limits that the target may use; see
    // RampLevel.h.
    std::uint8_t rampLevel = 0;
    std::uint32_t connections = 0; // Approximate number of open flows, for the next dispatcher.
    TargetSequence sequence;

    friend bool operator==(TargetRecord const &, TargetRecord const &) = default;
};

using CallerMessage = std::variant<OpenFlow, FlowData, CloseFlow, Request, CancelRequest, ResendParts>;
using CallerReply =
    std::variant<FlowAccepted, FlowRefused, FlowData, FlowBroken, AnswerPart, NotRun, OutcomeUnknown>;
using TargetCommand = std::variant<OpenFlow, FlowData, CloseFlow, RunRequest, CancelRequest, ResendParts>;
using TargetMessage =
    std::variant<FlowAccepted, FlowRefused, FlowData, FlowBroken, RequestStarted, Shed, RunEnded, AnswerPart>;

enum class ForwardPurpose : std::uint8_t {
    Deliver = 0, // The receiver is the dispatcher of the target that the sender's bucket table names.
    Search = 1, // Handle the message if its flow or request is known, else forward it to the next candidate.
    SearchEnded = 2, // No candidate is left; the dispatcher of the target in the bucket table decides.
    Spill = 3, // The previous target is full; open the flow or run the request at the first candidate.
};

// A message of a caller that one instance forwards to another.
struct Forwarded
{
    Endpoint caller;
    ForwardPurpose purpose = ForwardPurpose::Deliver;
    std::uint8_t hops = 0; // Limits forwarding loops while the views of instances differ.
    InstanceId origin; // The instance that started the forwarding; a search returns to it at its end.
    std::vector<TargetId> candidates; // Targets still to visit, the next one first.
    // For a search: true if the flow table of the origin's target is complete or the target reported the flow
    // as unknown. A flow without a record can then only belong to a candidate whose dispatcher lost records.
    bool isOriginFlowTableComplete = false;
    // For a search: the target that the origin will use if no candidate knows the message.
    TargetId originTarget;
    // For a search: the first visited target whose dispatcher has lost records, so that it may have the flow.
    TargetId possibleOwner;
    // For a search: whether a candidate could not be queried, so that an unsuccessful search proves nothing.
    bool hasSkippedCandidate = false;
    CallerMessage message;

    friend bool operator==(Forwarded const &, Forwarded const &) = default;
};

// Informs the dispatcher of the target in the bucket table that a flow was found or opened at `target`, so
// that later packets are forwarded there directly. Sent only if a search or a spill brought the flow there.
struct FlowFound
{
    FlowKey key;
    TargetId target;

    friend bool operator==(FlowFound const &, FlowFound const &) = default;
};

// Asks an instance to store the record of a request before the request is sent to a target. The instances
// that store copies of the records of a target are its replica group; they are unrelated to the replicas of
// the replicated log.
struct RecordRequest
{
    RequestKey key;
    TargetId target;
    InstanceId dispatcher;
    std::uint64_t tryId = 0;
    Duration keepFor{};

    friend bool operator==(RecordRequest const &, RecordRequest const &) = default;
};

enum class RecordVerdict : std::uint8_t {
    Stored = 0, // Also the answer to a retransmission by the same dispatcher with the same try.
    AlreadyRecorded = 1, // Another dispatcher or try has recorded this request.
    Refused = 2, // This instance can't store it.
};

struct RecordReply
{
    RequestKey key;
    std::uint64_t tryId = 0;
    RecordVerdict verdict = RecordVerdict::Refused;

    friend bool operator==(RecordReply const &, RecordReply const &) = default;
};

// Allows a member of a replica group to delete its record, because the dispatcher is certain that the try did
// not run.
struct RecordRelease
{
    RequestKey key;
    std::uint64_t tryId = 0;

    friend bool operator==(RecordRelease const &, RecordRelease const &) = default;
};

// Asks whether an instance knows a request, before it is run for the first time elsewhere.
struct Locate
{
    RequestKey key;

    friend bool operator==(Locate const &, Locate const &) = default;
};

enum class LocateVerdict : std::uint8_t { NotKnown = 0, Known = 1 };

struct LocateReply
{
    RequestKey key;
    LocateVerdict verdict = LocateVerdict::NotKnown;

    friend bool operator==(LocateReply const &, LocateReply const &) = default;
};

// The buckets in which a target has flows or request records although the bucket table assigns them to
// another target. Replaces the earlier claim of the target; an empty list withdraws it.
struct ClaimUpdate
{
    TargetId target;
    ServiceId service;
    TargetSequence sequence;
    std::vector<std::uint16_t> buckets;

    friend bool operator==(ClaimUpdate const &, ClaimUpdate const &) = default;
};

// A flow in a claimed bucket. It stays at its target although the bucket table assigns its bucket to another.
struct FlowException
{
    FlowKey key;
    Endpoint caller;

    friend bool operator==(FlowException const &, FlowException const &) = default;
};

// Changes to the flows in claimed buckets, for the replica group of the target or for its next dispatcher.
struct ExceptionUpdate
{
    TargetId target;
    std::vector<FlowException> added;
    std::vector<FlowKey> removed;

    friend bool operator==(ExceptionUpdate const &, ExceptionUpdate const &) = default;
};

// Fields that all membership messages share.
struct Gossip
{
    InstanceId from;
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t recordsDigest = 0; // Hash of all member and target records that the sender knows.
    // For each control instance of the settings, sorted by name: the age of the sender's latest evidence that
    // it is reachable, rounded up, in units of 25 ms; 255 stands for a longer time or never.
    std::vector<std::uint8_t> controlContactAges;
    std::vector<MemberRecord> members;
    std::vector<TargetRecord> targets;

    friend bool operator==(Gossip const &, Gossip const &) = default;
};

struct Ping
{
    std::uint64_t nonce = 0;
    Gossip gossip;

    friend bool operator==(Ping const &, Ping const &) = default;
};

struct Ack
{
    std::uint64_t nonce = 0;
    InstanceId subject; // The instance that is alive; differs from the sender after an indirect ping.
    Gossip gossip;

    friend bool operator==(Ack const &, Ack const &) = default;
};

// Asks an instance to ping `subject`, which did not answer a direct ping, and to return its answer.
struct IndirectPing
{
    std::uint64_t nonce = 0;
    InstanceId subject;
    Gossip gossip;

    friend bool operator==(IndirectPing const &, IndirectPing const &) = default;
};

using PeerMessage = std::variant<Forwarded, FlowFound, RecordRequest, RecordReply, RecordRelease, Locate,
                                 LocateReply, ClaimUpdate, ExceptionUpdate, Ping, Ack, IndirectPing>;

} // namespace almondwing
