// A list whose copies share their immutable entries. Each applied change creates a new state, and copying
// thousands of entries with their texts would take milliseconds.

#pragma once

#include <boost/iterator/indirect_iterator.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <iterator>
#include <memory>
#include <utility>

namespace almondwing {

template<typename Entry>
class SharedList
{
    using Pointer = std::shared_ptr<Entry const>;

public:
    using Iterator = boost::indirect_iterator<typename std::deque<Pointer>::const_iterator>;

    void pushBack(Entry entry) { this->pointers.push_back(std::make_shared<Entry const>(std::move(entry))); }
    void popFront() { this->pointers.pop_front(); }

    std::size_t size() const { return this->pointers.size(); }
    bool empty() const { return this->pointers.empty(); }
    Entry const &front() const { return *this->pointers.front(); }
    Entry const &back() const { return *this->pointers.back(); }
    Entry const &operator[](std::size_t index) const { return *this->pointers[index]; }

    Iterator begin() const { return Iterator(this->pointers.begin()); }
    Iterator end() const { return Iterator(this->pointers.end()); }
    auto rbegin() const { return std::make_reverse_iterator(this->end()); }
    auto rend() const { return std::make_reverse_iterator(this->begin()); }

    friend bool operator==(SharedList const &left, SharedList const &right)
    {
        auto const isEqual = [](Pointer const &one, Pointer const &other) {
            return one == other || *one == *other;
        };
        return std::ranges::equal(left.pointers, right.pointers, isEqual);
    }

private:
    std::deque<Pointer> pointers; // Never null.
};

} // namespace almondwing
