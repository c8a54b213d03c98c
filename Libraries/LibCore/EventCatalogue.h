// Numbered log events. docs/events.md lists the same events for operators; a test compares the two.

#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace almondwing {

enum class Severity : std::uint8_t { Information, Warning, Error };

// Numbers are never reused, because alert rules of operators refer to them.
enum class Event : std::uint16_t {
    ProcessStarted = 1000,
    ProcessStopping = 1001,
    ProcessStopped = 1002,
    SettingsRejected = 1003,
    InputDropped = 1100,
    ReplicaStarted = 1200,
    ReplicaCreated = 1201,
    BootstrapCompleted = 1202,
    BootstrapRefused = 1203,
    LeaderElected = 1204,
    LeaderSteppedDown = 1205,
    ReplicaJoined = 1206,
    ReplicaMembershipChanged = 1207,
    SnapshotInstalled = 1208,
    MajorityOfDisksLost = 1209,
    ReplicaStorageFailed = 1210,
    ReplicaStorageRefused = 1211,
    TornRecordCut = 1212,
    ForeignHistoryRefused = 1213,
    DuplicateInstance = 1214,
    ConfigurationInForce = 1250,
    ConfigurationRefused = 1251,
    ChangeAnswered = 1252,
    DomainServiceChanged = 1253,
    ViewSourceLost = 1270,
    ViewChanged = 1271,
    ViewSourceFollowed = 1272,
    RecordQuorumMissing = 1300,
    TryOverdue = 1301,
    SlotConfirmationMissing = 1302,
    ForeignAnswerDropped = 1303,
    AnswerMemoryFull = 1304,
    SlotsInherited = 1305,
    TargetRestartedUnderTry = 1306,
    InstanceServing = 1350,
    PauseDetected = 1351,
    SuspicionRefuted = 1352,
    MemberSuspected = 1353,
    MemberDead = 1354,
    MemberAlive = 1355,
    LeaseExpired = 1356,
    MajorityContactLost = 1357,
    MajorityContactRegained = 1358,
    TargetAnnounced = 1400,
    TargetTakenOver = 1401,
    TargetUnhealthy = 1402,
    TargetRecovered = 1403,
    TargetCold = 1404,
    TargetGone = 1405,
    HealthViewDoubted = 1406,
    TargetDraining = 1407,
    AnnouncementRejected = 1408,
    TargetSuspected = 1409,
    TargetUnreachable = 1410,
    RegistryNotStored = 1411,
    EndAnswered = 1412,
    ReportRefused = 1413,
    FlowPlaced = 1500,
    FlowReset = 1501,
    PacketDropped = 1502,
    PacketHeld = 1503,
    FlowEstablished = 1504,
    OpeningRepeated = 1505,
};

struct EventDescription
{
    Event event = Event::ProcessStarted;
    Severity severity = Severity::Information;
    std::string_view name;
    std::string_view meaning;
    std::string_view operatorAction;

    friend bool operator==(EventDescription const &, EventDescription const &) = default;
};

// All events in ascending order of their numbers.
std::span<EventDescription const> eventCatalogue();

EventDescription const &describeEvent(Event event);

// Called for each event, with the variable part of its log line. The daemon logs and counts the events, and
// tests collect them.
using EventReporter = std::function<void(Event, std::string const &text)>;

} // namespace almondwing
