#include "childprocess.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

extern char **environ;

namespace flamingosaddle::process
{

namespace
{

std::vector<std::string> environmentOf(const ChildCommand &command)
{
    std::vector<std::string> result;
    for (const auto &[name, value] : command.environment) {
        std::string &entry = result.emplace_back(name);
        entry += '=';
        entry += value;
    }
    for (char **entry = environ; *entry != nullptr; ++entry) {
        const std::string text = *entry;
        if (!command.environment.contains(text.substr(0, text.find('=')))) {
            result.push_back(text);
        }
    }
    return result;
}

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> result;
    result.reserve(texts.size() + 1);
    for (std::string &text : texts) {
        result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
}

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

ChildProcess::ChildProcess(const ChildCommand &command)
{
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe for the output of " + command.program);
    }
    this->spawn(command, pipe[1]);
    ::close(pipe[1]);
    this->reader = std::thread([this, input = pipe[0]]() {
        this->readOutput(input);
    });
}

ChildProcess::~ChildProcess()
{
    this->kill();
    this->reader.join();
}

void ChildProcess::signal(int number)
{
    if (!this->ended) {
        ::kill(this->pid, number);
    }
}

void ChildProcess::freeze()
{
    this->signal(SIGSTOP);
    int status = 0;
    ::waitpid(this->pid, &status, WUNTRACED);
    if (!WIFSTOPPED(status)) {
        this->ended = exitCodeOf(status);
    }
}

void ChildProcess::wake()
{
    this->signal(SIGCONT);
}

void ChildProcess::kill()
{
    if (this->ended) {
        return;
    }
    this->signal(SIGKILL);
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->ended = exitCodeOf(status);
}

std::optional<int> ChildProcess::waitForEnd(Duration timeout)
{
    if (this->ended) {
        return this->ended;
    }
    const int handle = static_cast<int>(::syscall(SYS_pidfd_open, this->pid, 0));
    pollfd end{handle, POLLIN, 0};
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const bool isOver = ::poll(&end, 1, static_cast<int>(milliseconds)) == 1;
    ::close(handle);
    if (isOver) {
        int status = 0;
        ::waitpid(this->pid, &status, 0);
        this->ended = exitCodeOf(status);
        std::unique_lock lock(this->mutex);
        this->outputGrew.wait(lock, [this]() {
            return this->outputClosed;
        });
    }
    return this->ended;
}

std::string ChildProcess::waitForLine(const std::string &prefix, Duration timeout)
{
    std::unique_lock lock(this->mutex);
    std::string line;
    this->outputGrew.wait_for(lock, timeout, [&]() {
        line = this->findLine(prefix);
        return !line.empty() || this->outputClosed;
    });
    return line;
}

pid_t ChildProcess::id() const
{
    return this->pid;
}

bool ChildProcess::hasEnded() const
{
    return this->ended.has_value();
}

std::string ChildProcess::output() const
{
    const std::lock_guard lock(this->mutex);
    return this->captured;
}

void ChildProcess::spawn(const ChildCommand &command, int outputPipe)
{
    std::vector<std::string> arguments{command.program};
    arguments.insert(arguments.end(), command.arguments.begin(), command.arguments.end());
    std::vector<std::string> environment = environmentOf(command);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, outputPipe, STDOUT_FILENO);
    if (command.capturesErrors) {
        posix_spawn_file_actions_adddup2(&actions, outputPipe, STDERR_FILENO);
    }
    const int result = ::posix_spawn(
        &this->pid, command.program.c_str(), &actions, nullptr, pointersTo(arguments).data(), pointersTo(environment).data());
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + command.program);
    }
}

void ChildProcess::readOutput(int pipe)
{
    std::array<char, 4096> buffer{};
    while (true) {
        const ssize_t count = ::read(pipe, buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        const std::lock_guard lock(this->mutex);
        if (count <= 0) {
            this->outputClosed = true;
            this->outputGrew.notify_all();
            break;
        }
        this->captured.append(buffer.data(), static_cast<std::size_t>(count));
        this->outputGrew.notify_all();
    }
    ::close(pipe);
}

std::string ChildProcess::findLine(const std::string &prefix) const
{
    std::size_t begin = 0;
    while (begin < this->captured.size()) {
        const std::size_t end = this->captured.find('\n', begin);
        if (end == std::string::npos) {
            break;
        }
        if (this->captured.compare(begin, prefix.size(), prefix) == 0) {
            return this->captured.substr(begin, end - begin);
        }
        begin = end + 1;
    }
    return "";
}

} // namespace flamingosaddle::process
