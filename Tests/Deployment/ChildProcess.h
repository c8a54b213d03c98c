// A process that a deployment test starts, and that ends with the object that stands for it.

#pragma once

#include <LibCore/Time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace almondwing {

// Generous, because CI machines are shared; it ends a test that would never end.
constexpr Duration conditionLimit = 60s;

// Asks until the condition holds; false after the limit. Waits between two questions.
bool waitUntil(std::function<bool()> const &condition, Duration limit = conditionLimit);

std::string readFile(std::string const &path);

struct ProcessPlan
{
    std::string program;
    std::vector<std::string> arguments;
    std::vector<std::string> environment; // Added to that of the test; each as NAME=value.
    std::string inputPath = "/dev/null";
    std::string outputPath;
    std::string errorPath;

    friend bool operator==(ProcessPlan const &, ProcessPlan const &) = default;
};

class ChildProcess
{
public:
    explicit ChildProcess(ProcessPlan processPlan);
    ~ChildProcess(); // Kills the process, also when a failed assertion unwinds the test.
    ChildProcess(ChildProcess const &) = delete;
    ChildProcess &operator=(ChildProcess const &) = delete;

    void signal(int number) const;

    // Kills the process and waits for its end.
    void kill();

    // Exit code, or 128 + the signal that ended the process; nullopt while it runs after the limit.
    std::optional<int> wait(Duration limit = conditionLimit);
    bool isRunning();

    std::string output() const { return readFile(this->plan.outputPath); }
    std::string errors() const { return readFile(this->plan.errorPath); }

    // The first line of the output, once it is complete.
    std::string readyLine() const;

private:
    std::optional<int> poll();

    ProcessPlan plan;
    pid_t id = 0; // A child of this process until `ended` is set, so it is never the id of another process.
    std::optional<int> ended;
};

} // namespace almondwing
