// Implements child processes with posix_spawn.

#include "ChildProcess.h"

#include <cppunit/TestAssert.h>

#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace almondwing {

namespace {

constexpr Duration pollInterval = 20ms;
constexpr int signalExitBase = 128;
constexpr mode_t fileMode = 0600;

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

std::vector<std::string> environmentWith(std::vector<std::string> added)
{
    for (char **entry = environ; *entry != nullptr; ++entry)
        added.emplace_back(*entry);
    return added;
}

} // namespace

bool waitUntil(std::function<bool()> const &condition, Duration timeout)
{
    auto const end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string readFile(std::string const &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

ChildProcess::ChildProcess(ProcessSpec processSpec) : spec(std::move(processSpec))
{
    std::vector<std::string> arguments{this->spec.program};
    arguments.insert(arguments.end(), this->spec.arguments.begin(), this->spec.arguments.end());
    std::vector<std::string> environment = environmentWith(this->spec.environment);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    int const writeFlags = O_WRONLY | O_CREAT | O_TRUNC;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, this->spec.inputPath.c_str(), O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->spec.outputPath.c_str(), writeFlags,
                                     fileMode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, this->spec.errorPath.c_str(), writeFlags,
                                     fileMode);
    int const error = posix_spawn(&this->pid, this->spec.program.c_str(), &actions, nullptr,
                                  pointersTo(arguments).data(), pointersTo(environment).data());
    posix_spawn_file_actions_destroy(&actions);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(this->spec.program + ": " + std::strerror(error), 0, error);
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

void ChildProcess::signal(int number) const
{
    if (!this->exitStatus)
        ::kill(this->pid, number);
}

void ChildProcess::kill()
{
    this->signal(SIGKILL);
    this->wait();
}

std::optional<int> ChildProcess::poll()
{
    int status = 0;
    if (!this->exitStatus && waitpid(this->pid, &status, WNOHANG) == this->pid)
        this->exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
    return this->exitStatus;
}

std::optional<int> ChildProcess::wait(Duration timeout)
{
    waitUntil([this] { return this->poll().has_value(); }, timeout);
    return this->exitStatus;
}

bool ChildProcess::isRunning()
{
    return !this->poll();
}

std::string ChildProcess::readyLine() const
{
    std::string line;
    bool const isComplete = waitUntil([&] {
        std::string const text = this->output();
        line = text.substr(0, text.find('\n'));
        return line.size() < text.size();
    });
    CPPUNIT_ASSERT_MESSAGE(this->spec.program + " did not become ready: " + this->errors(), isComplete);
    return line;
}

} // namespace almondwing
