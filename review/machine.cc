// A machine of the platform: runs one process, ends it when it uses more memory than it may, and starts it again.
//   machine --name NAME --memory-mb N --record FILE --output FILE -- PROGRAM ARGUMENT...
#include "net.hh"

#include <fcntl.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>

namespace
{

volatile std::sig_atomic_t stopping = 0;

void stop(int)
{
    stopping = 1;
}

long long residentKb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long long kb = 0;
            status >> kb;
            return kb;
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Record record(option(argc, argv, "--record"));
    const std::string name = option(argc, argv, "--name");
    const long long limit = std::atoll(option(argc, argv, "--memory-mb").c_str()) * 1000;
    const std::string output = option(argc, argv, "--output");
    int program = 1;
    while (program < argc && std::string(argv[program]) != "--") {
        ++program;
    }
    struct sigaction action {
    };
    action.sa_handler = stop;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    while (!stopping) {
        const pid_t pid = fork();
        if (pid == 0) {
            const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            execv(argv[program + 1], argv + program + 1);
            _exit(127);
        }
        record.line("machine " + name + " started process " + std::to_string(pid));
        long long most = 0;
        int status = 0;
        while (waitpid(pid, &status, WNOHANG) == 0) {
            const long long used = residentKb(pid);
            most = std::max(most, used);
            if (used > limit) {
                kill(pid, SIGKILL);
                waitpid(pid, &status, 0);
                record.line("machine " + name + " ended: over the memory limit with " + std::to_string(used / 1000) + " MB");
                break;
            }
            if (stopping) {
                kill(pid, SIGKILL);
                waitpid(pid, &status, 0);
                record.line("machine " + name + " stopped, used " + std::to_string(most / 1000) + " MB at most");
                return 0;
            }
            sleepMs(20);
        }
        if (WIFEXITED(status) || (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)) {
            record.line("machine " + name + " ended: by itself, status " + std::to_string(status));
        }
        for (int i = 0; i < 50 && !stopping; ++i) {
            sleepMs(20);
        }
    }
}
