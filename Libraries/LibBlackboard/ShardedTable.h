// A table on the blackboard: versioned immutable values in shards, each under its own lock.
//
// Controllers read a value, decide without holding a lock, and write the new value with a compare on its
// version. A write that lost a race is reported, and the controller decides again from the newer value.

#pragma once

#include <LibCore/Hash.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace almondwing {

// Counts the writes to one key. Version 0 means that the key is absent.
using Version = std::uint64_t;

enum class WriteOutcome { Written, Conflict };

template<typename Value>
struct Versioned
{
    Value value;
    Version version = 0;

    friend bool operator==(Versioned const &, Versioned const &) = default;
};

template<typename Key, typename Value, std::size_t ShardCount = 64>
class ShardedTable
{
public:
    std::optional<Versioned<Value>> read(Key const &key) const
    {
        std::size_t const hash = std::hash<Key>{}(key);
        Shard const &shard = this->shards[shardIndex(hash)];
        if (shard.isEmpty())
            return std::nullopt;
        std::scoped_lock const lock(shard.mutex);
        auto const entry = findIn(shard.entries, key, hash);
        if (entry == shard.entries.end())
            return std::nullopt;
        return entry->second;
    }

    // Whether the key has a value that `accepts` returns true for. Runs `accepts` under the lock of the
    // shard, so that large values need not be copied; it only looks at the value.
    template<typename Accept>
    bool containsWhere(Key const &key, Accept const &accepts) const
    {
        std::size_t const hash = std::hash<Key>{}(key);
        Shard const &shard = this->shards[shardIndex(hash)];
        if (shard.isEmpty())
            return false;
        std::scoped_lock const lock(shard.mutex);
        auto const entry = findIn(shard.entries, key, hash);
        return entry != shard.entries.end() && accepts(std::as_const(entry->second.value));
    }

    bool contains(Key const &key) const
    {
        return this->containsWhere(key, [](Value const &) { return true; });
    }

    // Writes only if the key still has the expected version; 0 expects an absent key.
    WriteOutcome write(Key const &key, Value value, Version expected)
    {
        std::size_t const hash = std::hash<Key>{}(key);
        Shard &shard = this->shards[shardIndex(hash)];
        std::scoped_lock const lock(shard.mutex);
        auto const entry = findIn(shard.entries, key, hash);
        bool const isPresent = entry != shard.entries.end();
        if ((isPresent ? entry->second.version : 0) != expected)
            return WriteOutcome::Conflict;
        // Versions grow over the whole shard, so that a key that was erased and written again gets a new
        // version.
        Version const version = ++shard.lastVersion;
        if (isPresent) {
            entry->second = Versioned<Value>{std::move(value), version};
            return WriteOutcome::Written;
        }
        shard.entries.emplace(key, Versioned<Value>{std::move(value), version});
        shard.noteSize();
        return WriteOutcome::Written;
    }

    WriteOutcome erase(Key const &key, Version expected)
    {
        Shard &shard = this->shardOf(key);
        std::scoped_lock const lock(shard.mutex);
        auto const entry = shard.entries.find(key);
        if (entry == shard.entries.end() || entry->second.version != expected)
            return WriteOutcome::Conflict;
        shard.entries.erase(entry);
        shard.noteSize();
        ++shard.lastVersion;
        return WriteOutcome::Written;
    }

    // Reads, decides and writes until no other controller interferes. `decide` is a pure function from the
    // current value (or nullopt) to the new value (or nullopt, which leaves the table as it is). It runs
    // without a lock and may run more than once. Returns the value that stands afterwards.
    template<typename Decide>
    std::optional<Value> update(Key const &key, Decide const &decide)
    {
        for (;;) {
            std::optional<Versioned<Value>> const current = this->read(key);
            std::optional<Value> currentValue = current ? std::optional<Value>(current->value) : std::nullopt;
            std::optional<Value> next = decide(currentValue);
            if (!next)
                return currentValue;
            if (this->write(key, *next, current ? current->version : 0) == WriteOutcome::Written)
                return next;
        }
    }

    void remove(Key const &key)
    {
        Shard &shard = this->shardOf(key);
        std::scoped_lock const lock(shard.mutex);
        shard.lastVersion += shard.entries.erase(key);
        shard.noteSize();
    }

    // Grows with every write and erase, so that a controller can see cheaply that nothing has changed.
    std::uint64_t generation() const
    {
        std::uint64_t total = 0;
        for (Shard const &shard : this->shards) {
            std::scoped_lock const lock(shard.mutex);
            total += shard.lastVersion;
        }
        return total;
    }

    // Copies the entries shard by shard; entries of different shards may be from slightly different moments.
    std::vector<std::pair<Key, Value>> entries() const
    {
        std::vector<std::pair<Key, Value>> result;
        for (Shard const &shard : this->shards) {
            std::scoped_lock const lock(shard.mutex);
            result.reserve(result.size() + shard.entries.size());
            for (auto const &[key, versioned] : shard.entries)
                result.emplace_back(key, versioned.value);
        }
        return result;
    }

    // The same without the keys.
    std::vector<Value> values() const
    {
        std::vector<Value> result;
        this->forEach([&](Key const &, Value const &value) { result.push_back(value); });
        return result;
    }

    // Calls `look` with each key and value, shard by shard, under the lock of that shard. `look` only reads
    // and collects; it sends nothing and touches no other table.
    template<typename Look>
    void forEach(Look const &look) const
    {
        for (Shard const &shard : this->shards) {
            std::scoped_lock const lock(shard.mutex);
            for (auto const &[key, versioned] : shard.entries)
                look(key, versioned.value);
        }
    }

    std::size_t size() const
    {
        std::size_t total = 0;
        for (Shard const &shard : this->shards) {
            std::scoped_lock const lock(shard.mutex);
            total += shard.entries.size();
        }
        return total;
    }

private:
    static_assert((ShardCount & (ShardCount - 1)) == 0, "the shard index is a bit mask");

    using Entries = absl::flat_hash_map<Key, Versioned<Value>, std::hash<Key>>;

    struct alignas(64) Shard
    {
        mutable std::mutex mutex;
        // Entries lie in one array, so a look-up touches few cache lines and a walk over all entries is
        // cheap.
        Entries entries;
        Version lastVersion = 0;
        // Written under the lock and read without it: most tables that a packet has to ask are empty, and
        // the lock is most of the cost of finding nothing there. A reader that sees no entries while the
        // first one is written comes before that write.
        std::atomic<std::size_t> size = 0;

        bool isEmpty() const { return this->size.load(std::memory_order_acquire) == 0; }
        void noteSize() { this->size.store(this->entries.size(), std::memory_order_release); }
    };

    Shard &shardOf(Key const &key) { return this->shards[shardIndex(std::hash<Key>{}(key))]; }

    // A look-up waits for the control bytes of the map and then for the slot, and neither is in the cache for
    // a random key of a large table; the prefetch lets the two waits overlap. Without `flatten`, g++ 12 takes
    // the prefetch for a pure function whose result is unused and drops it.
    template<typename Map>
    [[gnu::flatten]] static auto findIn(Map &entries, Key const &key, std::size_t hash)
    {
        entries.prefetch(key);
        return entries.find(key, hash);
    }

    static std::size_t shardIndex(std::size_t hash)
    {
        // The bits are mixed again because the map inside the shard uses the same hash.
        return mixBits(hash) & (ShardCount - 1);
    }

    std::array<Shard, ShardCount> shards;
};

} // namespace almondwing
