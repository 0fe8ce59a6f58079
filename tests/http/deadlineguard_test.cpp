#include <flamingosaddle/http/deadlineguard.h>

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

using namespace flamingosaddle;

namespace
{

constexpr std::chrono::milliseconds leaseLeft(200);

// In a child process: checks that the lease is held, is stopped before it writes, and writes once it goes on.
[[noreturn]] void checkStopWrite(int socket, bool guarded)
{
    const auto leaseEnd = std::chrono::steady_clock::now() + leaseLeft;
    std::optional<DeadlineGuard> guard;
    if (guarded) {
        guard.emplace(socket, leaseLeft);
    }
    if (std::chrono::steady_clock::now() >= leaseEnd) {
        _exit(2);
    }
    raise(SIGSTOP);
    const ssize_t written = ::send(socket, "order", 5, MSG_NOSIGNAL);
    _exit(written == 5 ? 0 : 1);
}

// Stops the child between its check and its write and wakes it after its lease; answers how many bytes arrived.
ssize_t bytesAfterWakeup(bool guarded)
{
    std::array<int, 2> sockets{};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()), 0);
    const pid_t child = fork();
    if (child == 0) {
        checkStopWrite(sockets[0], guarded);
    }
    ::close(sockets[0]);
    int status = 0;
    EXPECT_EQ(::waitpid(child, &status, WUNTRACED), child);
    EXPECT_TRUE(WIFSTOPPED(status));
    // The lease runs out in real time while the process stands still.
    std::this_thread::sleep_for(leaseLeft + std::chrono::milliseconds(50));
    ::kill(child, SIGCONT);
    EXPECT_EQ(::waitpid(child, &status, 0), child);
    std::array<char, 16> buffer{};
    const ssize_t count = ::recv(sockets[1], buffer.data(), buffer.size(), 0);
    ::close(sockets[1]);
    return count;
}

} // namespace

TEST(DeadlineGuard, KeepsAProcessThatWasStoppedAfterItsCheckFromWriting)
{
    EXPECT_EQ(bytesAfterWakeup(true), 0);
}

TEST(DeadlineGuard, TheSameProcessWithoutTheGuardWritesAfterItsLease)
{
    EXPECT_EQ(bytesAfterWakeup(false), 5);
}

TEST(DeadlineGuard, LeavesASocketAloneBeforeItsTime)
{
    std::array<int, 2> sockets{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()), 0);
    {
        const DeadlineGuard guard(sockets[0], std::chrono::hours(1));
        ASSERT_TRUE(guard.isArmed());
        EXPECT_EQ(::send(sockets[0], "x", 1, MSG_NOSIGNAL), 1);
    }
    EXPECT_EQ(::send(sockets[0], "y", 1, MSG_NOSIGNAL), 1);
    ::close(sockets[0]);
    ::close(sockets[1]);
}
