// The binary format of the files in the data folder.
//
// A file is a sequence of records. Each record has a header (magic, length of the body, durable size, XXH3 of
// the rest of the header and the body) and a body. The durable size is how much of the file was known to be
// synced when the record was written. It tells a torn end from damage: a bad record below the durable size of
// a later valid record was durable once, so it may have been acknowledged and must not be cut off.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondwing {

// Notes how far the log is committed.
struct CommitMark
{
    LogIndex commitIndex = 0;

    friend bool operator==(CommitMark const &, CommitMark const &) = default;
};

// One record in a file. Each alternative has a fixed number in the format, which is its position.
using StoredRecord = std::variant<LogEntry, CommitMark, HardState, Snapshot, Replica>;

std::string encodeRecord(StoredRecord const &record, std::uint64_t durableSize);

struct DecodedRecord
{
    StoredRecord record;
    std::uint64_t durableSize = 0;
    std::size_t size = 0; // In the file, with the header.

    friend bool operator==(DecodedRecord const &, DecodedRecord const &) = default;
};

// Nothing unless a whole valid record starts at the offset.
std::optional<DecodedRecord> decodeRecord(std::string_view file, std::size_t offset);

enum class FileEnd : std::uint8_t {
    Clean,
    Torn, // The records after validSize were never synced.
    Damaged, // A record at validSize was synced once and can't be read.
};

struct DecodedFile
{
    std::vector<StoredRecord> records;
    std::size_t validSize = 0;
    FileEnd end = FileEnd::Clean;

    friend bool operator==(DecodedFile const &, DecodedFile const &) = default;
};

DecodedFile decodeRecords(std::string_view file);

} // namespace almondwing
