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
    RecordQuorumMissing = 1300,
    TryOverdue = 1301,
    SlotConfirmationMissing = 1302,
    ForeignAnswerDropped = 1303,
    AnswerMemoryFull = 1304,
    SlotsInherited = 1305,
    TargetRestartedUnderTry = 1306,
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

// Receives each event with its text. The daemon logs and counts it; tests collect it.
using EventReporter = std::function<void(Event, std::string const &text)>;

} // namespace almondwing
