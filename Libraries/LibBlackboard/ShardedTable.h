// A table on the blackboard: versioned immutable values in shards, each under its own lock.
//
// Controllers use optimistic concurrency control: they read a value, decide without holding a lock, and write
// the new value only if the version is unchanged. After a conflict they decide again from the newer value.

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

// Identifies one write of a key. The versions of a key increase, but are not consecutive, and are not reused
// after an erase. Version 0 means that the key is absent.
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

    // Returns whether the key has a value that satisfies `predicate`. The predicate runs under the lock of
    // the shard, so that large values need not be copied; it must only read the value.
    template<typename Predicate>
    bool containsWhere(Key const &key, Predicate const &predicate) const
    {
        std::size_t const hash = std::hash<Key>{}(key);
        Shard const &shard = this->shards[shardIndex(hash)];
        if (shard.isEmpty())
            return false;
        std::scoped_lock const lock(shard.mutex);
        auto const entry = findIn(shard.entries, key, hash);
        return entry != shard.entries.end() && predicate(std::as_const(entry->second.value));
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
        // The counter belongs to the shard and not to the key, so that a key that is erased and written again
        // gets a new version.
        Version const version = ++shard.lastVersion;
        if (isPresent) {
            entry->second = Versioned<Value>{std::move(value), version};
            return WriteOutcome::Written;
        }
        shard.entries.emplace(key, Versioned<Value>{std::move(value), version});
        shard.updateSize();
        return WriteOutcome::Written;
    }

    // Erases the key only if it still has the expected version.
    WriteOutcome erase(Key const &key, Version expected)
    {
        Shard &shard = this->shardOf(key);
        std::scoped_lock const lock(shard.mutex);
        auto const entry = shard.entries.find(key);
        if (entry == shard.entries.end() || entry->second.version != expected)
            return WriteOutcome::Conflict;
        shard.entries.erase(entry);
        shard.updateSize();
        ++shard.lastVersion;
        return WriteOutcome::Written;
    }

    // Reads, decides and writes, and retries after a conflict with another controller. `decide` is a pure
    // function from the current value (or nullopt) to the new value (or nullopt, which leaves the table
    // unchanged). It runs without a lock and may run more than once. Returns the resulting value.
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

    // Erases the key whatever its version is.
    void remove(Key const &key)
    {
        Shard &shard = this->shardOf(key);
        std::scoped_lock const lock(shard.mutex);
        shard.lastVersion += shard.entries.erase(key);
        shard.updateSize();
    }

    // Increases with every write and erase, so that a controller can detect cheaply that nothing has changed.
    std::uint64_t generation() const
    {
        std::uint64_t total = 0;
        for (Shard const &shard : this->shards) {
            std::scoped_lock const lock(shard.mutex);
            total += shard.lastVersion;
        }
        return total;
    }

    // Copies the entries shard by shard, so entries of different shards may reflect different points in time.
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

    // Like entries(), without the keys.
    std::vector<Value> values() const
    {
        std::vector<Value> result;
        this->forEach([&](Key const &, Value const &value) { result.push_back(value); });
        return result;
    }

    // Calls `visit` with each key and value, shard by shard, under the lock of that shard. `visit` must only
    // read and collect; it sends nothing and accesses no other table.
    template<typename Visitor>
    void forEach(Visitor const &visit) const
    {
        for (Shard const &shard : this->shards) {
            std::scoped_lock const lock(shard.mutex);
            for (auto const &[key, versioned] : shard.entries)
                visit(key, versioned.value);
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
    static_assert((ShardCount & (ShardCount - 1)) == 0,
                  "ShardCount must be a power of two, because the shard index is computed with a bit mask");

    using Entries = absl::flat_hash_map<Key, Versioned<Value>, std::hash<Key>>;

    struct alignas(64) Shard
    {
        mutable std::mutex mutex;
        // The map stores its entries in one array, so a look-up touches few cache lines and iterating over
        // all entries is cheap.
        Entries entries;
        Version lastVersion = 0;
        // Written under the lock and read without it. Most tables that are searched for a packet are empty,
        // and the lock would be most of the cost of searching an empty table. A reader that sees zero while
        // the first entry is being written is ordered before that write.
        std::atomic<std::size_t> size = 0;

        bool isEmpty() const { return this->size.load(std::memory_order_acquire) == 0; }
        void updateSize() { this->size.store(this->entries.size(), std::memory_order_release); }
    };

    Shard &shardOf(Key const &key) { return this->shards[shardIndex(std::hash<Key>{}(key))]; }

    // A look-up reads the control bytes of the map and then the entry, and for a random key of a large table
    // both are cache misses; the prefetch lets them overlap. Without `flatten`, g++ 12 treats the prefetch as
    // a pure function whose result is unused and removes it.
    template<typename Map>
    [[gnu::flatten]] static auto findIn(Map &entries, Key const &key, std::size_t hash)
    {
        entries.prefetch(key);
        return entries.find(key, hash);
    }

    static std::size_t shardIndex(std::size_t hash)
    {
        // The hash is mixed again because the map inside the shard uses the same hash.
        return mixBits(hash) & (ShardCount - 1);
    }

    std::array<Shard, ShardCount> shards;
};

} // namespace almondwing
