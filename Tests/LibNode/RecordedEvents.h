// Records the events that the code under test reports.

#pragma once

#include <LibCore/EventCatalogue.h>

#include <algorithm>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace almondwing {

class RecordedEvents
{
public:
    std::function<void(Event, std::string const &)> reporter()
    {
        return [this](Event event, std::string const &fields) {
            std::scoped_lock const lock(this->mutex);
            this->entries.emplace_back(event, fields);
        };
    }

    // The fields of all reports of the event whose fields contain the text, in order.
    std::vector<std::string> of(Event event, std::string const &text = "") const
    {
        std::scoped_lock const lock(this->mutex);
        std::vector<std::string> found;
        for (auto const &[reported, fields] : this->entries) {
            if (reported == event && fields.find(text) != std::string::npos)
                found.push_back(fields);
        }
        return found;
    }

    std::size_t count(Event event, std::string const &text = "") const
    {
        return this->of(event, text).size();
    }

private:
    mutable std::mutex mutex; // Guards entries.
    std::vector<std::pair<Event, std::string>> entries;
};

} // namespace almondwing
