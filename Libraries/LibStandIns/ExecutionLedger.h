// Records every start of a run at a target, so that tests can compare the outcomes at the callers with the
// runs that took place.

#pragma once

#include <LibMessages/RequestMessages.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondwing {

struct ExecutionEntry
{
    RequestKey key;
    std::uint64_t tryId = 0;
    Idempotency idempotency = Idempotency::Idempotent;
    std::string target;
    std::int64_t unixMicroseconds = 0;

    std::string toJson() const;
    static absl::StatusOr<ExecutionEntry> parse(std::string const &json);

    friend bool operator==(ExecutionEntry const &, ExecutionEntry const &) = default;
};

class ExecutionLedger
{
public:
    // With an empty path the ledger exists in memory only.
    static absl::StatusOr<std::unique_ptr<ExecutionLedger>> open(std::string const &path);

    // The line is in the file when this returns, so that it survives the end of the process.
    void append(ExecutionEntry const &entry);

    std::string toJson() const;

private:
    struct CloseFile
    {
        void operator()(std::FILE *openFile) const { std::fclose(openFile); }
    };

    mutable std::mutex mutex;
    std::vector<ExecutionEntry> entries; // Guarded by the mutex, as is the file.
    std::unique_ptr<std::FILE, CloseFile> file; // Null if the path is empty.
};

} // namespace almondwing
