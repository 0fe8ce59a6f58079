#include "crowd.h"

#include <flamingosaddle/base/clock.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace flamingosaddle::process
{

namespace
{

constexpr std::size_t bytesPerKilobyte = 1024;
constexpr int stalledMilliseconds = 1000; // without any movement: the other side reads nothing more for now

std::size_t statusField(int processId, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(processId) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::stoul(line.substr(name.size() + 1)) * bytesPerKilobyte;
        }
    }
    return 0;
}

std::size_t lengthOf(const CrowdScript &script)
{
    return script.head.size() + script.piece.size() * script.pieces;
}

} // namespace

Crowd::Crowd(const Endpoint &endpoint, std::size_t size)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    for (std::size_t i = 0; i < size; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (socket < 0) {
            throw std::runtime_error("the test has no descriptors left for its crowd");
        }
        if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
            ::close(socket);
            this->members.push_back({-1, 0, true});
            continue;
        }
        this->members.push_back({socket, 0, false});
    }
}

Crowd::~Crowd()
{
    this->close();
}

void Crowd::close()
{
    for (Member &member : this->members) {
        if (member.socket >= 0) {
            ::close(member.socket);
            member.socket = -1;
        }
    }
}

std::size_t Crowd::openCount() const
{
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(), [](const Member &member) {
        return member.socket >= 0 && !member.isRefused;
    }));
}

bool Crowd::sendSome(Member &member, const CrowdScript &script, std::size_t limit) const
{
    const std::size_t left = lengthOf(script) - member.sent;
    std::string bytes;
    if (member.sent < script.head.size()) {
        bytes = script.head.substr(member.sent, limit);
    } else if (left > 0) {
        // Whole pieces are joined, so that a piece of a few bytes doesn't cost a call for each.
        const std::size_t offset = (member.sent - script.head.size()) % script.piece.size();
        bytes = script.piece.substr(offset);
        while (bytes.size() < limit && bytes.size() < left) {
            bytes += script.piece;
        }
        bytes.resize(std::min({bytes.size(), left, limit}));
    }
    const ssize_t count = ::send(member.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
        member.sent += static_cast<std::size_t>(count);
        return true;
    }
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN) {
        member.isRefused = true;
    }
    return false;
}

void Crowd::readSome(Member &member)
{
    std::array<char, 65536> buffer{};
    const ssize_t count = ::recv(member.socket, buffer.data(), buffer.size(), 0);
    member.isRefused = member.isRefused || count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Crowd::send(const CrowdScript &script)
{
    const std::size_t length = lengthOf(script);
    while (true) {
        std::vector<pollfd> polled;
        std::vector<Member *> waiting;
        for (Member &member : this->members) {
            if (member.socket >= 0 && !member.isRefused && member.sent < length) {
                polled.push_back({member.socket, static_cast<short>(POLLOUT | (script.readsAnswers ? POLLIN : 0)), 0});
                waiting.push_back(&member);
            }
        }
        if (polled.empty() || ::poll(polled.data(), polled.size(), stalledMilliseconds) == 0) {
            return;
        }
        for (std::size_t i = 0; i < polled.size(); ++i) {
            if ((polled[i].revents & POLLIN) != 0) {
                readSome(*waiting[i]);
            }
            if ((polled[i].revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
                waiting[i]->isRefused = true;
            } else if ((polled[i].revents & POLLOUT) != 0) {
                this->sendSome(*waiting[i], script, script.bytesPerWrite);
            }
        }
    }
}

void Crowd::drip(const CrowdScript &script, std::size_t rounds, std::size_t bytes)
{
    const std::size_t length = lengthOf(script);
    for (std::size_t round = 0; round < rounds; ++round) {
        for (Member &member : this->members) {
            if (member.socket >= 0 && !member.isRefused && member.sent < length) {
                this->sendSome(member, script, bytes);
            }
        }
    }
}

std::size_t peakMemoryBytes(int processId)
{
    return statusField(processId, "VmHWM");
}

std::size_t memoryBytes(int processId)
{
    return statusField(processId, "VmRSS");
}

std::size_t processorTicks(int processId)
{
    std::ifstream file("/proc/" + std::to_string(processId) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(std::min(line.rfind(')') + 1, line.size())));
    constexpr unsigned fieldsBefore = 11; // between the name of the program and its times
    std::string ignored;
    for (unsigned i = 0; i < fieldsBefore; ++i) {
        fields >> ignored;
    }
    std::size_t user = 0;
    std::size_t system = 0;
    fields >> user >> system;
    return user + system;
}

std::size_t descriptorCount(int processId)
{
    std::error_code ignored;
    const std::filesystem::directory_iterator list("/proc/" + std::to_string(processId) + "/fd", ignored);
    return static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

} // namespace flamingosaddle::process
