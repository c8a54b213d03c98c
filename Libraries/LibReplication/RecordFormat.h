// The binary format of the files in the data folder.
//
// A file is a sequence of records. Each record has a header (magic, XXH3 checksum of everything after the
// checksum, length of the body, durable size) and a body. The durable size is the number of bytes of the file
// that were known to be synced when the record was written. It distinguishes a torn write from corruption: an
// invalid record below the durable size of a later valid record was durable once, so it may have been
// acknowledged and must not be truncated.

#pragma once

#include <LibReplication/ReplicationTypes.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondwing {

// Records the commit index in the log file.
struct CommitMark
{
    LogIndex commitIndex = 0;

    friend bool operator==(CommitMark const &, CommitMark const &) = default;
};

// One record in a file. The position of an alternative is its type number in the format, so the order must
// not change.
using StoredRecord = std::variant<LogEntry, CommitMark, HardState, Snapshot, Replica>;

std::string encodeRecord(StoredRecord const &record, std::uint64_t durableSize);

struct DecodedRecord
{
    StoredRecord record;
    std::uint64_t durableSize = 0;
    std::size_t size = 0; // Encoded size, including the header.

    friend bool operator==(DecodedRecord const &, DecodedRecord const &) = default;
};

// Returns no value unless a complete valid record starts at the offset.
std::optional<DecodedRecord> decodeRecord(std::string_view file, std::size_t offset);

enum class FileEnd : std::uint8_t {
    Clean,
    Torn, // No later record proves that the bytes after validSize were synced.
    Corrupt, // The record at validSize was synced once and can't be decoded.
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
