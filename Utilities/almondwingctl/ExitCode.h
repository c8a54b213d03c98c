// Exit codes of almondwingctl, as docs/operators.md lists them.

#pragma once

namespace almondwing {

enum class ExitCode : int {
    Success = 0,
    Usage = 1, // A malformed --server, an unreadable file or an error response; CLI11 has its own codes.
    Rejected =
        2, // The change has errors and nothing was changed, or explain-log found no flow of the caller.
    Conflict = 3, // The base version is no longer the current one; nothing was changed.
    Unavailable = 4, // No attempt reached an instance or a majority; nothing was changed.
    Unknown = 5, // The outcome of an attempt is unknown; resend with the same request id.
    NotEverywhere = 6, // Accepted, but not confirmed in force on every instance within the time of --wait.
    Unauthorized = 7,
};

} // namespace almondwing
