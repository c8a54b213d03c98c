// The catalogue of numbered events.

#include <LibCore/EventCatalogue.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <array>

namespace almondwing {

namespace {

constexpr std::array catalogue{
    EventDescription{Event::ProcessStarted, Severity::Information, "ProcessStarted",
                     "The daemon has started and listens on its sockets.", "None."},
    EventDescription{Event::ProcessStopping, Severity::Information, "ProcessStopping",
                     "The daemon got a signal and begins a graceful shutdown.", "None."},
    EventDescription{Event::ProcessStopped, Severity::Information, "ProcessStopped",
                     "The graceful shutdown is complete.", "None."},
    EventDescription{Event::SettingsRejected, Severity::Error, "SettingsRejected",
                     "The settings file has errors; each is listed with its line and key.",
                     "Correct the file and start again."},
    EventDescription{Event::InputDropped, Severity::Warning, "InputDropped",
                     "A socket received input that is malformed, foreign or not allowed there.",
                     "Look at the reason and the sender if the count keeps growing."},
    EventDescription{
        Event::RecordQuorumMissing, Severity::Warning, "RecordQuorumMissing",
        "A non-idempotent request was refused because fewer than two instances stored its record.",
        "Look for instances of the failure domain that are down or cut off."},
    EventDescription{Event::TryOverdue, Severity::Warning, "TryOverdue",
                     "A target did not finish a request before its deadline and was asked to cancel it.",
                     "Look at the load and health of the target if the count keeps growing."},
    EventDescription{
        Event::SlotConfirmationMissing, Severity::Warning, "SlotConfirmationMissing",
        "A target did not confirm the end of an overdue request; its slot was freed after the grace time.",
        "Look at the health of the target."},
    EventDescription{
        Event::ForeignAnswerDropped, Severity::Warning, "ForeignAnswerDropped",
        "A part of an answer belongs to no present try or contradicts earlier parts and was dropped.",
        "Look at the target if the count keeps growing."},
    EventDescription{Event::AnswerMemoryFull, Severity::Warning, "AnswerMemoryFull",
                     "Kept answers have reached their memory bound; parts are dropped and asked for again.",
                     "Add instances, or shorten the answers."},
    EventDescription{
        Event::SlotsInherited, Severity::Information, "SlotsInherited",
        "The slots of a target count as busy because a former dispatcher may have left requests there.",
        "None."},
    EventDescription{Event::TargetRestartedUnderTry, Severity::Warning, "TargetRestartedUnderTry",
                     "A target has restarted while it held a request; the outcome of the request is unknown.",
                     "Look for the cause of the restart."},
};

} // namespace

std::span<EventDescription const> eventCatalogue()
{
    return catalogue;
}

EventDescription const &describeEvent(Event event)
{
    auto const *const description = std::ranges::find(catalogue, event, &EventDescription::event);
    VERIFY(description != catalogue.end());
    return *description;
}

} // namespace almondwing
