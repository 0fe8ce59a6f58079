// Blocking sockets, HTTP/1.1 messages and a record file for the stand-ins of the review's scripts.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

inline long long nowMs()
{
    timeval t{};
    gettimeofday(&t, nullptr);
    return t.tv_sec * 1000LL + t.tv_usec / 1000;
}

inline void sleepMs(long long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Appends whole lines with a time stamp; several processes may share the file. */
class Record
{
public:
    explicit Record(const std::string &path)
        : file(std::fopen(path.c_str(), "a"))
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const std::string whole = std::to_string(nowMs()) + " " + text + "\n";
        std::fwrite(whole.data(), 1, whole.size(), this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    FILE *file;
};

inline sockaddr_in addressOf(const std::string &text)
{
    sockaddr_in address{};
    const std::size_t colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &text)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(text);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        std::perror(text.c_str());
        std::exit(2);
    }
    return fd;
}

inline int connectTo(const std::string &text)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(text);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Whether the peer has closed or reset the connection. */
inline bool isClosed(int fd)
{
    char byte = 0;
    const ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct Message {
    std::string first; // request line or status line
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = this->fields.find(name);
        return found == this->fields.end() ? std::string() : found->second;
    }
};

/** Reads messages from one connection. */
class Reader
{
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }

    /** Returns 1 for a whole message, 0 if the connection ended before its end, -1 at the deadline. */
    int read(Message &message, long long deadline, bool isResponse)
    {
        message = {};
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            const int more = this->fill(deadline);
            if (more != 1) {
                return more;
            }
        }
        this->parseHead(message, this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        if (message.field("transfer-encoding") == "chunked") {
            return this->readChunks(message, deadline);
        }
        const std::string length = message.field("content-length");
        if (length.empty() && isResponse) {
            int more = 1;
            while ((more = this->fill(deadline)) == 1) {
            }
            message.body.swap(this->buffer);
            return more == 0 ? 1 : more;
        }
        const std::size_t size = static_cast<std::size_t>(std::atoll(length.c_str()));
        while (this->buffer.size() < size) {
            const int more = this->fill(deadline);
            if (more != 1) {
                return more;
            }
        }
        message.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return 1;
    }

private:
    void parseHead(Message &message, const std::string &head)
    {
        std::size_t position = head.find("\r\n");
        message.first = head.substr(0, position);
        while (position != std::string::npos) {
            const std::size_t next = head.find("\r\n", position + 2);
            const std::string line = head.substr(position + 2, next == std::string::npos ? next : next - position - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
                    return std::tolower(c);
                });
                const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
                message.fields[name] = begin == std::string::npos ? std::string() : line.substr(begin);
            }
            position = next;
        }
    }

    int readChunks(Message &message, long long deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                const int more = this->fill(deadline);
                if (more != 1) {
                    return more;
                }
            }
            const std::size_t size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                const int more = this->fill(deadline);
                if (more != 1) {
                    return more;
                }
            }
            message.body.append(this->buffer, end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return 1;
            }
        }
    }

    int fill(long long deadline)
    {
        const long long left = deadline - nowMs();
        pollfd waiting{this->fd, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return -1;
        }
        char bytes[16384];
        const ssize_t count = recv(this->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return 0;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return 1;
    }

    int fd;
    std::string buffer;
};

template <typename Handler>
void serveForever(const std::string &address, Handler handler)
{
    const int listener = listenOn(address);
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([fd, handler] {
            handler(fd);
            close(fd);
        }).detach();
    }
}

/** Returns --NAME's value. */
inline std::string option(int argc, char **argv, const std::string &name, const std::string &fallback = std::string())
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (name == argv[i]) {
            return argv[i + 1];
        }
    }
    return fallback;
}
