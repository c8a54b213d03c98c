// A single value on the blackboard, for state that is read as a whole: the routing view, the configuration.
// Readers share an immutable snapshot, so a reader never sees a value that is half replaced.

#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace almondwing {

template<typename Value>
class Cell
{
public:
    using Snapshot = std::shared_ptr<Value const>;

    Cell() : current(std::make_shared<Value const>()) { }

    explicit Cell(Value value) : current(std::make_shared<Value const>(std::move(value))) { }

    Snapshot read() const
    {
        std::scoped_lock const lock(this->mutex);
        return this->current;
    }

    // Copies a small part of the value, which is cheaper than a snapshot. `part` runs under the lock of the
    // cell; it only looks at the value and returns a copy.
    template<typename Part>
    auto select(Part const &part) const
    {
        std::scoped_lock const lock(this->mutex);
        return part(*this->current);
    }

    // Replaces the value if it is still the snapshot that the decision was made from.
    bool replace(Snapshot const &expected, Value value)
    {
        auto next = std::make_shared<Value const>(std::move(value));
        std::scoped_lock const lock(this->mutex);
        if (this->current != expected)
            return false;
        this->current = std::move(next);
        return true;
    }

    // Decides from the current value until no other controller interferes; `decide` is pure and may run
    // again.
    template<typename Decide>
    Snapshot update(Decide const &decide)
    {
        for (;;) {
            Snapshot const expected = this->read();
            if (this->replace(expected, decide(*expected)))
                return this->read();
        }
    }

private:
    mutable std::mutex mutex;
    Snapshot current; // Never null.
};

} // namespace almondwing
