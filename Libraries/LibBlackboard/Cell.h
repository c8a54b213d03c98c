// Holds a single value on the blackboard, for state that is read as a whole, such as the routing view and the
// configuration. Readers share an immutable snapshot, so a reader never sees a partly replaced value.

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

    // Returns a copy of a small part of the value, which is cheaper than a snapshot. `projection` runs under
    // the lock of the cell; it must only read the value and return a copy.
    template<typename Projection>
    auto select(Projection const &projection) const
    {
        std::scoped_lock const lock(this->mutex);
        return projection(*this->current);
    }

    // Replaces the value if it is still `expected`, the snapshot on which the new value is based.
    bool replace(Snapshot const &expected, Value value)
    {
        auto next = std::make_shared<Value const>(std::move(value));
        std::scoped_lock const lock(this->mutex);
        if (this->current != expected)
            return false;
        this->current = std::move(next);
        return true;
    }

    // Replaces the value by `decide(value)` and retries if another controller replaced it in between.
    // `decide` is a pure function and may run more than once.
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
