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
    EventDescription{Event::ConfigurationInForce, Severity::Information, "ConfigurationInForce",
                     "A newer version of the configuration is in force on this instance.", "None."},
    EventDescription{Event::ConfigurationRefused, Severity::Error, "ConfigurationRefused",
                     "A peer offered a configuration that breaks a rule or contradicts the version in force.",
                     "Check that all control instances belong to the same cluster and share one log."},
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
