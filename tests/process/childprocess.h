#pragma once

#include <flamingosaddle/base/clock.h>

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace flamingosaddle::process
{

struct ChildCommand {
    std::string program;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> environment; ///< added to that of the test
    bool capturesErrors = true; ///< whether stderr goes to the captured output, too

    friend bool operator==(const ChildCommand &, const ChildCommand &) = default;
};

/**
 * One process that the test started, with its output. Ends it, by its own process id, when the object goes away.
 */
class ChildProcess
{
public:
    explicit ChildProcess(const ChildCommand &command);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Commands.
    /** Sends a signal, unless the process has ended. */
    void signal(int number);
    /** SIGSTOP, and waits until the process has stopped. */
    void freeze();
    void wake();
    /** SIGKILL, and waits for the end. */
    void kill();
    /** Waits for the end and the whole output; the exit code, minus the number of the signal that ended it, or nothing when it
     * goes on. */
    std::optional<int> waitForEnd(Duration timeout);
    /** Waits for a whole line of output that begins with @p prefix; answers the line, or an empty text. */
    std::string waitForLine(const std::string &prefix, Duration timeout);

    // Queries.
    pid_t id() const;
    /** Whether the end of the process was seen by waitForEnd(), kill() or freeze(). */
    bool hasEnded() const;
    std::string output() const; ///< of stdout and stderr so far

private:
    void spawn(const ChildCommand &command, int outputPipe);
    void readOutput(int pipe);
    std::string findLine(const std::string &prefix) const;

    pid_t pid = -1;
    std::optional<int> ended;
    mutable std::mutex mutex;
    std::condition_variable outputGrew;
    std::string captured;
    bool outputClosed = false;
    std::thread reader;
};

} // namespace flamingosaddle::process
