// A process that a deployment test starts. It is killed when its ChildProcess object is destroyed.

#pragma once

#include <LibCore/Time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace almondwing {

// Long, because CI machines are shared; it only has to end tests that would otherwise hang.
constexpr Duration conditionTimeout = 60s;

// Polls the condition, sleeping between two polls. Returns false if it does not hold within the timeout.
bool waitUntil(std::function<bool()> const &condition, Duration timeout = conditionTimeout);

std::string readFile(std::string const &path);

struct ProcessSpec
{
    std::string program;
    std::vector<std::string> arguments;
    std::vector<std::string> environment; // NAME=value, added to the environment of the test.
    std::string inputPath = "/dev/null";
    std::string outputPath;
    std::string errorPath;

    friend bool operator==(ProcessSpec const &, ProcessSpec const &) = default;
};

class ChildProcess
{
public:
    explicit ChildProcess(ProcessSpec processSpec);
    ~ChildProcess(); // Kills the process, also when a failed assertion unwinds the stack.
    ChildProcess(ChildProcess const &) = delete;
    ChildProcess &operator=(ChildProcess const &) = delete;

    void signal(int number) const;

    // Kills the process and waits until it has ended.
    void kill();

    // Returns the exit code, or 128 plus the number of the signal that ended the process. Returns nullopt if
    // the process is still running after the timeout.
    std::optional<int> wait(Duration timeout = conditionTimeout);
    bool isRunning();

    std::string output() const { return readFile(this->spec.outputPath); }
    std::string errors() const { return readFile(this->spec.errorPath); }

    // Waits for the first line of the output, which a program prints when it is ready, and returns it.
    std::string readyLine() const;

private:
    std::optional<int> poll();

    ProcessSpec spec;
    pid_t pid = 0; // Not reaped until `exitStatus` is set, so that no other process can reuse it.
    std::optional<int> exitStatus;
};

} // namespace almondwing
