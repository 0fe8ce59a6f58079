// Stand-ins for the cases 6 to 10: the platform's store and API, backend servers, a proxy, clients, and the daemon as a
// child process. They follow the users' pages; everything listens on loopback addresses and free ports.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point origin = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - origin).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The record of a run -----------------------------------------------------------------------------------------------

class Record
{
public:
    void open(const std::string &path)
    {
        this->file.open(path, std::ios::trunc);
    }

    void line(const std::string &text)
    {
        const std::scoped_lock lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now());
        this->file << time << text << '\n';
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record record;

inline void note(const std::string &text)
{
    record.line(text);
}

/** Thrown if the case cannot run; main returns 2. */
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Sockets and HTTP --------------------------------------------------------------------------------------------------

struct Headers {
    std::vector<std::pair<std::string, std::string>> list;

    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : this->list) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
};

struct Message {
    std::string start; // request line or status line
    Headers headers;
    std::string body;

    std::string method() const
    {
        return this->start.substr(0, this->start.find(' '));
    }

    std::string target() const
    {
        const std::size_t first = this->start.find(' ') + 1;
        return this->start.substr(first, this->start.find(' ', first) - first);
    }

    std::string path() const
    {
        const std::string whole = this->target();
        return whole.substr(0, whole.find('?'));
    }

    int status() const
    {
        return this->start.size() > 9 ? std::atoi(this->start.c_str() + 9) : 0;
    }

    std::string query(const std::string &name) const
    {
        const std::string whole = this->target();
        std::size_t at = whole.find('?');
        while (at != std::string::npos) {
            const std::size_t end = std::min(whole.find('&', at + 1), whole.size());
            const std::string part = whole.substr(at + 1, end - at - 1);
            const std::size_t equals = part.find('=');
            if (part.substr(0, equals) == name) {
                return equals == std::string::npos ? std::string() : part.substr(equals + 1);
            }
            at = end < whole.size() ? end : std::string::npos;
        }
        return {};
    }
};

inline int listenOn(std::uint16_t port, std::uint16_t &bound)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        throw CannotRun("cannot listen on port " + std::to_string(port));
    }
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    bound = ntohs(address.sin_port);
    return fd;
}

/** Returns a free port below those that the system gives to outgoing connections, which could take it before the daemon does. */
inline std::uint16_t freePort()
{
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid());
    for (int attempt = 0; attempt < 1000; ++attempt) {
        next = next * 1664525U + 1013904223U;
        std::uint16_t port = static_cast<std::uint16_t>(20000 + (next >> 8) % 12000);
        try {
            ::close(listenOn(port, port));
            return port;
        } catch (const CannotRun &) {
            continue;
        }
    }
    throw CannotRun("no free port");
}

inline int connectTo(std::uint16_t port, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int error = ::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        pollfd waited{fd, POLLOUT, 0};
        socklen_t length = sizeof error;
        if (::poll(&waited, 1, timeoutMs) != 1 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0) {
            error = ETIMEDOUT;
        }
    }
    if (error != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void resetOnClose(int fd)
{
    const linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

enum class ReadEnd { Ok, Closed, Reset, Timeout };

/** Reads messages from a connection. */
class Reader
{
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }

    ReadEnd more(int timeoutMs)
    {
        pollfd waited{this->fd, POLLIN, 0};
        if (::poll(&waited, 1, timeoutMs) != 1) {
            return ReadEnd::Timeout;
        }
        char bytes[16384];
        const ssize_t count = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (count < 0) {
            return ReadEnd::Reset;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return count == 0 ? ReadEnd::Closed : ReadEnd::Ok;
    }

    ReadEnd head(Message &message, int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            const ReadEnd read = this->more(timeoutMs);
            if (read != ReadEnd::Ok) {
                return read;
            }
        }
        std::istringstream lines(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        message = {};
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            const std::size_t first = line.find_first_not_of(" \t", colon + 1);
            if (colon != std::string::npos) {
                message.headers.list.emplace_back(
                    line.substr(0, colon), first == std::string::npos ? std::string() : line.substr(first));
            }
        }
        return ReadEnd::Ok;
    }

    /** Reads a body with a length or in chunks and hands on what arrives. */
    ReadEnd body(const Message &message, int timeoutMs, const std::function<void(const std::string &)> &take)
    {
        if (::strcasecmp(message.headers.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            return this->chunks(timeoutMs, take);
        }
        const std::string length = message.headers.get("Content-Length");
        std::size_t left = length.empty() ? 0 : std::stoul(length);
        while (left > 0) {
            if (this->buffer.empty()) {
                const ReadEnd read = this->more(timeoutMs);
                if (read != ReadEnd::Ok) {
                    return read;
                }
                continue;
            }
            const std::size_t count = std::min(left, this->buffer.size());
            take(this->buffer.substr(0, count));
            this->buffer.erase(0, count);
            left -= count;
        }
        return ReadEnd::Ok;
    }

private:
    ReadEnd chunks(int timeoutMs, const std::function<void(const std::string &)> &take)
    {
        while (true) {
            std::size_t line = 0;
            while ((line = this->buffer.find("\r\n")) == std::string::npos) {
                const ReadEnd read = this->more(timeoutMs);
                if (read != ReadEnd::Ok) {
                    return read;
                }
            }
            const std::size_t size = std::stoul(this->buffer.substr(0, line), nullptr, 16);
            while (this->buffer.size() < line + 2 + size + 2) {
                const ReadEnd read = this->more(timeoutMs);
                if (read != ReadEnd::Ok) {
                    return read;
                }
            }
            if (size > 0) {
                take(this->buffer.substr(line + 2, size));
            }
            this->buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return ReadEnd::Ok;
            }
        }
    }

    int fd;
    std::string buffer;
};

/** Accepts connections and serves each in a thread of its own. close() resets them all. */
class Listener
{
public:
    using Serve = std::function<void(int fd)>;

    ~Listener()
    {
        this->close();
    }

    std::uint16_t open(std::uint16_t port, Serve serve)
    {
        std::uint16_t bound = 0;
        this->fd = listenOn(port, bound);
        this->isOpen = true;
        this->thread = std::thread([this, serve = std::move(serve)] {
            while (this->isOpen) {
                pollfd waited{this->fd, POLLIN, 0};
                if (::poll(&waited, 1, 20) != 1) {
                    continue;
                }
                const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    continue;
                }
                const int one = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                const std::scoped_lock lock(this->mutex);
                if (this->isCut) {
                    resetOnClose(accepted);
                    ::close(accepted);
                    continue;
                }
                this->open_.insert(accepted);
                this->workers.emplace_back([this, accepted, serve] {
                    serve(accepted);
                    const std::scoped_lock inner(this->mutex);
                    this->open_.erase(accepted);
                    ::close(accepted);
                });
            }
        });
        return bound;
    }

    /** Cuts every connection at once, and those that come until close(), as when the process ends. */
    void cut()
    {
        const std::scoped_lock lock(this->mutex);
        this->isCut = true;
        for (const int open : this->open_) {
            resetOnClose(open);
            ::shutdown(open, SHUT_RDWR);
        }
    }

    /** Stops listening and resets every connection. */
    void close()
    {
        if (!this->isOpen.exchange(false)) {
            return;
        }
        this->cut();
        this->thread.join();
        ::close(this->fd);
        for (std::thread &worker : this->workers) {
            worker.join();
        }
        this->workers.clear();
    }

    bool isListening() const
    {
        return this->isOpen && !this->isCut;
    }

private:
    int fd = -1;
    std::atomic<bool> isOpen{false};
    std::atomic<bool> isCut{false};
    std::thread thread;
    std::mutex mutex;
    std::set<int> open_;
    std::list<std::thread> workers;
};

inline std::string response(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields
        + "\r\n" + body;
}

// The platform's store and API --------------------------------------------------------------------------------------

class Platform
{
public:
    static constexpr std::size_t offsetBytes = 8;

    struct Topic {
        std::vector<std::string> records;
        std::uint64_t first = 0; // oldest record that is kept
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest; // by key, of a keyed topic
    };
    using Topics = std::map<std::string, Topic>;

    Platform()
    {
        this->port = this->listener.open(0, [this](int fd) {
            this->serve(fd);
        });
    }

    void putKeyed(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(this->mutex);
        this->append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
        this->changed.notify_all();
    }

    Topics copy()
    {
        const std::scoped_lock lock(this->mutex);
        return this->topics;
    }

    /** The store is away: every call gets 503 and is not carried out. */
    void setDown(bool isDown)
    {
        const std::scoped_lock lock(this->mutex);
        this->down = isDown;
        this->changed.notify_all();
    }

    /** Comes back from an older copy. */
    void restore(Topics older)
    {
        const std::scoped_lock lock(this->mutex);
        this->topics = std::move(older);
        ++this->era;
        this->changed.notify_all();
    }

    /** Forgets its history: of keyed topics the newest record of each key stays, of the others nothing. */
    void dropHistory()
    {
        const std::scoped_lock lock(this->mutex);
        for (auto &[name, topic] : this->topics) {
            topic.first = topic.records.size();
        }
        this->changed.notify_all();
    }

    std::size_t size(const std::string &topic)
    {
        const std::scoped_lock lock(this->mutex);
        return this->topics[topic].records.size();
    }

    std::uint16_t port = 0;
    std::vector<std::string> usageReports;

private:
    static std::string bigEndian(std::uint64_t value, std::size_t bytes)
    {
        std::string text;
        for (std::size_t i = 0; i < bytes; ++i) {
            text.push_back(static_cast<char>((value >> (8 * (bytes - 1 - i))) & 0xff));
        }
        return text;
    }

    static std::string base64(const std::string &bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                text.push_back(i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=');
            }
        }
        return text;
    }

    void append(const std::string &name, const std::string &bytes)
    {
        Topic &topic = this->topics[name];
        const std::uint64_t offset = topic.records.size();
        topic.records.push_back(bytes);
        if (name.starts_with("keyed.") && !bytes.empty()) {
            const std::size_t size = static_cast<unsigned char>(bytes[0]);
            const std::string key = bytes.substr(1, size);
            if (bytes.size() == 1 + size) {
                topic.newest.erase(key);
            } else {
                topic.newest[key] = {offset, bytes.substr(1 + size)};
            }
        }
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (this->listener.isListening()) {
            const ReadEnd read = reader.head(request, 100);
            if (read == ReadEnd::Timeout) {
                continue;
            }
            if (read != ReadEnd::Ok
                || reader.body(request, 2000, [&request](const std::string &piece) { request.body += piece; }) != ReadEnd::Ok
                || !sendAll(fd, this->answer(request)) || request.headers.get("Connection") == "close") {
                return;
            }
        }
    }

    std::string answer(const Message &request)
    {
        std::unique_lock lock(this->mutex);
        const std::string era = "Store-Era: " + std::to_string(this->era) + "\r\nContent-Type: application/json\r\n";
        const std::string path = request.path();
        if (path == "/usage" || path == "/scaling") {
            this->usageReports.push_back(request.body);
            return response(200, "{}");
        }
        if (this->down) {
            return response(503, "{}", era);
        }
        Topic &topic = this->topics[request.query("topic")];
        if (path == "/-/log-append") {
            const std::string at = request.query("at");
            const std::string end = "\"end_offset\":" + std::to_string(topic.records.size()) + "}";
            if (!at.empty() && std::stoull(at) != topic.records.size()) {
                return response(412, "{" + end, era);
            }
            const std::uint64_t offset = topic.records.size();
            std::size_t position = 0;
            while (position + 4 <= request.body.size()) {
                std::size_t size = 0;
                for (std::size_t i = 0; i < 4; ++i) {
                    size = (size << 8) | static_cast<unsigned char>(request.body[position + i]);
                }
                this->append(request.query("topic"), request.body.substr(position + 4, size));
                position += 4 + size;
            }
            this->changed.notify_all();
            return response(200,
                "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(topic.records.size()) + "}", era);
        }
        if (path == "/-/log-read") {
            return this->read(lock, request);
        }
        if (path == "/-/log-newest") {
            std::string entries;
            for (const auto &[key, value] : topic.newest) {
                entries += (entries.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"data\":\"" + base64(value.second)
                    + "\",\"offset\":" + std::to_string(value.first) + "}";
            }
            return response(200,
                "{\"entries\":[" + entries + "],\"has_more\":false,\"end_offset\":" + std::to_string(topic.records.size()) + "}",
                era);
        }
        return this->group(request, era);
    }

    std::string read(std::unique_lock<std::mutex> &lock, const Message &request)
    {
        const std::string name = request.query("topic");
        const std::uint64_t from = std::stoull(request.query("from"));
        const std::string wait = request.query("wait_ms");
        const auto deadline = Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
        const std::uint64_t eraBefore = this->era;
        const auto isDecided = [&] {
            const Topic &topic = this->topics[name];
            return this->down || this->era != eraBefore || from < topic.first || from != topic.records.size();
        };
        while (!isDecided() && this->changed.wait_until(lock, deadline) != std::cv_status::timeout) {
        }
        const std::string eraField = "Store-Era: " + std::to_string(this->era) + "\r\n";
        if (this->down) {
            return response(503, "{}", eraField);
        }
        const Topic &topic = this->topics[name];
        if (from < topic.first || from > topic.records.size()) {
            return response(410, "{\"start_offset\":" + std::to_string(topic.first) + "}", eraField);
        }
        std::string body = bigEndian(topic.records.size(), offsetBytes) + bigEndian(topic.first, offsetBytes);
        for (std::uint64_t i = from; i < topic.records.size() && body.size() < 900000; ++i) {
            body += bigEndian(topic.records[i].size(), 4) + topic.records[i];
        }
        return response(200, body, eraField);
    }

    std::string group(const Message &request, const std::string &era)
    {
        const auto field = [&request](const std::string &name) {
            const std::size_t at = request.body.find("\"" + name + "\":\"");
            const std::size_t first = at + name.size() + 4;
            return at == std::string::npos ? std::string() : request.body.substr(first, request.body.find('"', first) - first);
        };
        if (request.path() == "/-/log-join") {
            const std::string member = field("member_id");
            const std::size_t before = this->members.size();
            this->members[member] = Clock::now() + 9s;
            std::erase_if(this->members, [](const auto &entry) { return entry.second < Clock::now(); });
            this->generation += this->members.size() != before ? 1 : 0;
            return response(200, "{\"generation\":" + std::to_string(this->generation) + ",\"ttl_ms\":9000,\"parts\":[]}", era);
        }
        if (request.path() == "/-/log-owners") {
            std::string rows;
            std::size_t part = 0;
            for (const auto &[member, until] : this->members) {
                rows += (rows.empty() ? "" : ",") + std::string("[\"instances\",") + std::to_string(part++) + ",\"" + member + "\",0]";
            }
            return response(200, "{\"rows\":[" + rows + "]}", era);
        }
        return response(404, "{}", era);
    }

    std::mutex mutex;
    std::condition_variable changed;
    Topics topics;
    std::map<std::string, Clock::time_point> members;
    std::uint64_t generation = 1;
    std::uint64_t era = 1;
    bool down = false;
    Listener listener; // the last member, closed first
};

// Backend servers ---------------------------------------------------------------------------------------------------

struct Run {
    double at = 0;
    std::string server; // id
    std::string version;
    std::string request; // Flamingosaddle-Request-Id
    std::string path;
    std::uint64_t after = 0; // Last-Event-Id
    std::string parts; // Flamingosaddle-Prefix-Hash
};

/** A backend server: streams under /s/ and plain answers elsewhere. */
class Backend
{
public:
    struct Options {
        std::string id;
        std::string service = "llm";
        std::string zone = "z-a";
        std::string version = "v1";
        int slots = 64;
        int events = 40; // of a stream
        int firstMs = 50;
        int gapMs = 100; // between two events
        int workMs = 30; // of a plain request
        int queue = 24; // requests that may wait beyond the slots, at first
        int wayMs = 0; // to the caller and back, waited before a rejection is sent
        int brittle = 0; // Server-Brittle: rejections in a second that it bears; 0 if it is not brittle
        std::uint16_t entryPort = 0; // that the entry names; 0 for its own
    };

    Backend(Platform &platform, Options given)
        : options(std::move(given))
        , room(options.queue)
        , platform(platform)
    {
    }

    ~Backend()
    {
        this->stopBeats();
        this->listener.reset();
    }

    /** Starts the process of the server, on its earlier port if it had one. */
    void start()
    {
        this->born = unixMs();
        this->isLeaving = false;
        this->hasFallen = false;
        this->rejections.clear();
        this->listener = std::make_unique<Listener>();
        this->port = this->listener->open(this->port, [this](int fd) {
            this->serve(fd);
        });
        note("server " + this->options.id + " starts, version " + this->options.version);
    }

    /** Ends the process: every connection is reset. */
    void end()
    {
        note("server " + this->options.id + " ends, version " + this->options.version);
        this->listener->close();
    }

    std::string entry(const std::string &state)
    {
        const std::uint16_t named = this->options.entryPort != 0 ? this->options.entryPort : this->port;
        return "{\"service\":\"" + this->options.service + "\",\"address\":\"127.0.0.1:" + std::to_string(named)
            + "\",\"zone\":\"" + this->options.zone + "\",\"version\":\"" + this->options.version
            + "\",\"slots\":" + std::to_string(this->options.slots) + ",\"state\":\"" + state
            + "\",\"cold_remaining_ms\":0,\"born\":" + std::to_string(this->born) + ",\"sequence\":" + std::to_string(++this->sequence)
            + "}";
    }

    /** Writes the server's entry to the store once. */
    void beat(const std::string &state)
    {
        this->platform.putKeyed("keyed.servers", this->options.id, this->entry(state));
    }

    void removeEntry()
    {
        note("entry of server " + this->options.id + " is removed");
        this->platform.putKeyed("keyed.servers", this->options.id, "");
    }

    void startBeats()
    {
        this->beat("ready");
        this->beating = true;
        this->beats = std::thread([this] {
            while (this->beating) {
                for (int i = 0; i < 12 && this->beating; ++i) {
                    sleepMs(100);
                }
                if (this->beating) {
                    this->beat("ready");
                }
            }
        });
    }

    void stopBeats()
    {
        this->beating = false;
        if (this->beats.joinable()) {
            this->beats.join();
        }
    }

    Options options;
    std::atomic<int> room; // requests that may wait beyond the slots
    std::uint16_t port = 0;
    std::atomic<bool> isLeaving{false}; // says so in its answers
    /** Returns what happens to a run: "" to serve it, "500" to fail it, "crash" to end the process. */
    std::function<std::string(const Run &)> fate;
    std::atomic<bool> hasFallen{false}; // over, after too many rejections; the case ends and starts it

    static std::vector<Run> allRuns()
    {
        const std::scoped_lock lock(runsMutex);
        return runs;
    }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (this->listener->isListening()) {
            const ReadEnd read = reader.head(request, 50);
            if (read == ReadEnd::Timeout) {
                continue;
            }
            if (read != ReadEnd::Ok
                || reader.body(request, 2000, [&request](const std::string &piece) { request.body += piece; }) != ReadEnd::Ok
                || !this->run(fd, request)) {
                return;
            }
        }
    }

    /** Counts a rejection; a brittle server falls over after too many in a second. */
    void reject()
    {
        const std::scoped_lock lock(this->rejectionsMutex);
        this->rejections.push_back(now());
        std::erase_if(this->rejections, [](double at) { return at <= now() - 1; });
        if (this->options.brittle > 0 && this->rejections.size() > static_cast<std::size_t>(this->options.brittle)) {
            this->hasFallen = true;
            this->listener->cut();
        }
    }

    bool run(int fd, const Message &request)
    {
        struct Place {
            explicit Place(std::atomic<int> &taken)
                : taken(taken)
                , number(++taken)
            {
            }

            ~Place()
            {
                --this->taken;
            }

            std::atomic<int> &taken;
            int number;
        };
        const Place place(this->active);
        const std::string id = request.headers.get("Flamingosaddle-Request-Id");
        std::string fields = "Flamingosaddle-Request-Id: " + id + "\r\n";
        if (this->options.brittle > 0) {
            fields += "Server-Brittle: " + std::to_string(this->options.brittle) + "\r\n";
        }
        if (place.number > this->options.slots + this->room) {
            note("rejected request=" + id + " server=" + this->options.id);
            this->reject();
            sleepMs(this->options.wayMs);
            return sendAll(fd, response(503, "", fields + "Flamingosaddle-Not-Executed: 1\r\n"));
        }
        const auto leaving = [this] { return std::string(this->isLeaving ? "Server-Leaving: 1\r\n" : ""); };
        const std::string expected = request.headers.get("Flamingosaddle-Expect-Instance");
        if (!expected.empty() && expected != this->options.id) {
            return sendAll(fd, response(421, "", fields + leaving()));
        }
        const std::string last = request.headers.get("Last-Event-Id");
        Run run{now(), this->options.id, this->options.version, id, request.path(), last.empty() ? 0 : std::stoull(last),
            request.headers.get("Flamingosaddle-Prefix-Hash")};
        const std::string outcome = this->fate ? this->fate(run) : std::string();
        {
            const std::scoped_lock lock(runsMutex);
            runs.push_back(run);
        }
        note("run request=" + id + " server=" + run.server + " version=" + run.version + " path=" + run.path
            + " after=" + std::to_string(run.after) + (outcome.empty() ? "" : " fate=" + outcome));
        fields += "Flamingosaddle-Response-Signature: " + this->options.id + "." + id + "\r\n";
        if (outcome == "crash") {
            return false;
        }
        if (outcome == "500") {
            return sendAll(fd, response(500, "failed", fields + leaving()));
        }
        if (!request.path().starts_with("/s/")) {
            sleepMs(this->options.workMs);
            return sendAll(fd, response(200, "done " + id, fields + leaving()));
        }
        return this->stream(fd, run, fields);
    }

    bool stream(int fd, const Run &run, const std::string &fields)
    {
        sleepMs(this->options.firstMs);
        const std::string leaving = this->isLeaving ? "Server-Leaving: 1\r\n" : "";
        if (!sendAll(fd,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + leaving + fields
                    + "\r\n")) {
            return false;
        }
        for (std::uint64_t event = run.after + 1; event <= static_cast<std::uint64_t>(this->options.events); ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + run.version + " of " + run.server + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!this->listener->isListening() || !sendAll(fd, size + text + "\r\n")) {
                return false;
            }
            sleepMs(this->options.gapMs);
        }
        return sendAll(fd, "0\r\n\r\n");
    }

    static inline std::mutex runsMutex;
    static inline std::vector<Run> runs;

    Platform &platform;
    std::unique_ptr<Listener> listener;
    std::int64_t born = 0;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<int> active{0};
    std::mutex rejectionsMutex;
    std::vector<double> rejections; // of the last second
    std::atomic<bool> beating{false};
    std::thread beats;
};

// A proxy -----------------------------------------------------------------------------------------------------------

/** Passes connections on to a port. silence() lets the open ones fall silent in both directions, while new ones work. */
class Proxy
{
public:
    ~Proxy()
    {
        this->ending = true;
        this->listener.close();
    }

    std::uint16_t open()
    {
        return this->listener.open(0, [this](int fd) {
            this->pass(fd);
        });
    }

    void silence()
    {
        this->silentBefore = ++this->count;
    }

    /** Resets the connections that fell silent, as a keep-alive that finds the peer's process gone does. */
    void resetSilent()
    {
        this->resetBefore = this->silentBefore.load();
    }

    std::atomic<std::uint16_t> target{0};

private:
    void pass(int fd)
    {
        const std::uint64_t number = ++this->count;
        const int other = connectTo(this->target);
        if (other < 0) {
            resetOnClose(fd);
            return;
        }
        char bytes[16384];
        bool isOpen = true;
        while (isOpen && !this->ending) {
            if (number < this->resetBefore) {
                resetOnClose(fd);
                break;
            }
            if (number < this->silentBefore) {
                sleepMs(10);
                continue;
            }
            pollfd waited[2] = {{fd, POLLIN, 0}, {other, POLLIN, 0}};
            ::poll(waited, 2, 10);
            for (int i = 0; i < 2 && isOpen && number >= this->silentBefore; ++i) {
                if (waited[i].revents == 0) {
                    continue;
                }
                const ssize_t got = ::recv(i == 0 ? fd : other, bytes, sizeof bytes, 0);
                isOpen = got > 0 && sendAll(i == 0 ? other : fd, std::string(bytes, static_cast<std::size_t>(got)));
                if (got < 0) {
                    resetOnClose(i == 0 ? other : fd);
                }
            }
        }
        ::close(other);
    }

    std::atomic<std::uint64_t> count{0};
    std::atomic<std::uint64_t> silentBefore{0};
    std::atomic<std::uint64_t> resetBefore{0};
    std::atomic<bool> ending{false};
    Listener listener;
};

// Clients -----------------------------------------------------------------------------------------------------------

inline std::string newId()
{
    static std::atomic<std::uint64_t> next{1};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), static_cast<unsigned>(next++));
    return text;
}

struct Answer {
    std::string id; // of the request
    int status = 0; // 0: the connection ended without an answer
    bool isWhole = false;
    double sentAt = 0;
    double endedAt = 0;
    std::string body;
    std::string leaving; // Server-Leaving
    std::vector<std::uint64_t> events;
    std::set<std::string> versions; // that sent events
};

struct Ask {
    std::string method = "POST";
    std::string path = "/s/x";
    std::string fields; // more header lines
    std::string body = "{}";
    int deadlineMs = 12000;
    int gapMs = 0; // after which the client leaves a stream on which nothing arrives; 0 for its deadline
};

/** Sends one request on a connection of its own and reads the whole answer. */
inline Answer ask(std::uint16_t port, const Ask &what, const std::function<void(Answer &)> &onEvent = {})
{
    Answer answer;
    answer.id = newId();
    answer.sentAt = now();
    const int fd = connectTo(port);
    note("sent request=" + answer.id + " path=" + what.path + " to=" + std::to_string(port));
    if (fd >= 0) {
        const std::string head = what.method + " " + what.path + " HTTP/1.1\r\nHost: shop.example\r\nFlamingosaddle-Request-Id: "
            + answer.id + "\r\nFlamingosaddle-Deadline-Ms: " + std::to_string(what.deadlineMs)
            + "\r\nAuthorization: Bearer key-of-tenant-a\r\nConnection: close\r\n" + what.fields
            + "Content-Length: " + std::to_string(what.body.size()) + "\r\n\r\n" + what.body;
        Reader reader(fd);
        Message message;
        if (sendAll(fd, head) && reader.head(message, what.deadlineMs) == ReadEnd::Ok) {
            answer.status = message.status();
            answer.leaving = message.headers.get("Server-Leaving");
            std::string pending;
            const ReadEnd end = reader.body(message, what.gapMs > 0 ? what.gapMs : what.deadlineMs, [&](const std::string &piece) {
                answer.body += piece;
                pending += piece;
                std::size_t blank = 0;
                while (message.status() == 200 && (blank = pending.find("\n\n")) != std::string::npos) {
                    const std::string event = pending.substr(0, blank);
                    pending.erase(0, blank + 2);
                    if (event.starts_with("id: ")) {
                        answer.events.push_back(std::stoull(event.substr(4)));
                        answer.versions.insert(event.substr(event.find("data: ") + 6, 2));
                        if (onEvent) {
                            onEvent(answer);
                        }
                    }
                }
            });
            answer.isWhole = end == ReadEnd::Ok;
        }
        ::close(fd);
    }
    answer.endedAt = now();
    std::string versions;
    for (const std::string &version : answer.versions) {
        versions += (versions.empty() ? "" : "+") + version;
    }
    note("answer request=" + answer.id + " status=" + std::to_string(answer.status) + (answer.isWhole ? " whole" : " broken")
        + " events=" + std::to_string(answer.events.size()) + (versions.empty() ? "" : " versions=" + versions)
        + (answer.leaving.empty() ? "" : " Server-Leaving=" + answer.leaving));
    return answer;
}

/** Runs things side by side and waits for them at its end. */
class Crowd
{
public:
    ~Crowd()
    {
        this->wait();
    }

    void add(std::function<void()> work)
    {
        this->threads.emplace_back(std::move(work));
    }

    void wait()
    {
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

private:
    std::list<std::thread> threads;
};

// The daemon --------------------------------------------------------------------------------------------------------

/** One instance, with the settings that deploy/daemon.conf gives a machine of a small deployment. */
class Daemon
{
public:
    Daemon(std::string name, std::string zone, const Platform &platform, const std::filesystem::path &folder)
        : name(std::move(name))
        , log((folder / (this->name + ".log")).string())
        , settings((folder / (this->name + ".conf")).string())
        , zone(std::move(zone))
        , platformPort(platform.port)
    {
        this->configure();
        this->start();
    }

    ~Daemon()
    {
        this->end(SIGKILL);
    }

    /** Writes the settings, with ports that are free now. */
    void configure()
    {
        this->caller = freePort();
        this->ready = freePort();
        const auto local = [](std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port) + "\n";
        };
        std::ofstream(this->settings) << "configuration = operator\ncaller-protocol = platform\ninstance-id = " << this->name
                                      << "\ndata-centre = " << this->zone
                                      << "\ndata-centre-regions = z-a:region,z-b:region,z-c:region\nlisten = " << local(this->caller)
                                      << "ready-listen = " << local(this->ready) << "admin-listen = " << local(freePort())
                                      << "peer-listen = " << local(freePort()) << "forward-listen = " << local(freePort())
                                      << "platform = " << local(this->platformPort) << "platform-api = " << local(this->platformPort)
                                      << "freshness-limit = 5000\ndrain-notice = 2700\ndrain-timeout = 6900\nresend-ratio = 0.2\n"
                                         "resend-extra = 54\nresend-window = 10\nretry-percent = 100\nquarantine-deaths = 3\n"
                                         "traffic-threads = 1\nmemory-mb = 390\nmax-fds = 6150\nmax-waiting = 2000\n"
                                         "connect-timeout = 400\nfirst-byte-timeout = 3600000\nprogress-timeout = 3600000\n"
                                         "heartbeat-interval = 250\nlog-level = info\nlease-duration = 2500\nusage-window = 5s\n";
    }

    void start()
    {
        const char *program = std::getenv("FLAMINGOSADDLED");
        const std::string path = program == nullptr ? "target/tools/flamingosaddled" : program;
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no daemon outlives its case
            const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string file = "--settings-file=" + this->settings;
            ::execl(path.c_str(), path.c_str(), file.c_str(), nullptr);
            ::_exit(127);
        }
        note("daemon " + this->name + " starts");
    }

    void signal(int number)
    {
        note("daemon " + this->name + " gets signal " + std::to_string(number));
        ::kill(this->pid, number);
    }

    void end(int number)
    {
        if (this->pid > 0) {
            this->signal(number);
            ::waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }

    bool isReady() const
    {
        const int fd = connectTo(this->ready, 200);
        if (fd < 0) {
            return false;
        }
        Reader reader(fd);
        Message message;
        const bool isAnswered = sendAll(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && reader.head(message, 500) == ReadEnd::Ok;
        ::close(fd);
        return isAnswered && message.status() == 200;
    }

    void waitUntilReady()
    {
        for (int i = 0; i < 200; ++i) {
            if (this->isReady()) {
                return;
            }
            if (::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
                note("daemon " + this->name + " found one of its ports taken, and gets others");
                this->configure();
                this->start();
            }
            sleepMs(50);
        }
        throw CannotRun("daemon " + this->name + " is not ready");
    }

    std::string name;
    std::uint16_t caller = 0;
    std::uint16_t ready = 0;

private:
    std::string log;
    std::string settings;
    std::string zone;
    std::uint16_t platformPort = 0;
    pid_t pid = -1;
};

/** A configuration with a resumable stream route, one that is not resumable, and a plain service. */
inline std::string configuration(int version)
{
    const std::string stream = "\"host\":\"shop.example\",\"type\":\"streaming\",\"priority\":0,\"service\":\"llm\",\"public\":false,"
                               "\"sticky\":true,\"target_itl_ms\":1500,\"latency_goal_ms\":2500,";
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
        + "{\"name\":\"r-plan\",\"path_prefix\":\"/s/plan/\"," + stream
        + "\"timeout_ms\":12000,\"max_attempts\":2,\"resumable\":true},"
          "{\"name\":\"r-chat\",\"path_prefix\":\"/s/chat/\",\"host\":\"shop.example\",\"type\":\"streaming\",\"priority\":0,"
          "\"service\":\"llm\",\"public\":false,\"sticky\":true,\"target_itl_ms\":400,\"latency_goal_ms\":600,"
          "\"timeout_ms\":15000,\"max_attempts\":2,\"resumable\":true},"
          "{\"name\":\"r-digest\",\"path_prefix\":\"/s/digest/\","
        + stream
        + "\"timeout_ms\":6000,\"max_attempts\":1,\"resumable\":false},"
          "{\"name\":\"r-lookup\",\"host\":\"shop.example\",\"path_prefix\":\"/lookup/\",\"type\":\"idempotent\",\"priority\":2,"
          "\"service\":\"app\",\"public\":false,\"sticky\":false,\"timeout_ms\":2000,\"latency_goal_ms\":300,\"max_attempts\":2},"
          "{\"name\":\"r-deposit\",\"host\":\"shop.example\",\"path_prefix\":\"/deposit/\",\"type\":\"non_idempotent\",\"priority\":2,"
          "\"service\":\"app\",\"public\":false,\"sticky\":false,\"timeout_ms\":2000,\"latency_goal_ms\":300,\"max_attempts\":1}"
          "],\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
          "\"backend\":{\"slots\":64,\"kv_capacity\":540877,\"kv_token_bytes\":18432,\"link_mbps\":370000.0,\"stride\":3,"
          "\"model_list\":[{\"name\":\"m\"}]}},"
          "{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
          "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-of-tenant-a\"],\"priority\":1}]}";
}

inline std::string promptFields(const std::string &parts)
{
    return "Flamingosaddle-Model: m\r\nFlamingosaddle-Token-Count: 1460,80\r\nFlamingosaddle-Prefix-Hash: " + parts + "\r\n";
}

/** Runs a case. Returns the exit status that a script of the review has. */
inline int runCase(int argc, char **argv, const std::function<int(bool trouble, const std::filesystem::path &folder)> &body)
{
    std::string file = "record.txt";
    for (int i = 1; i + 1 < argc; ++i) {
        if (std::strcmp(argv[i], "--record") == 0) {
            file = argv[i + 1];
        }
    }
    record.open(file);
    const char *trouble = std::getenv("TROUBLE");
    const bool isTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    char pattern[] = "/tmp/review-2-XXXXXX";
    const char *folder = ::mkdtemp(pattern);
    if (folder == nullptr) {
        return 2;
    }
    int status = 2;
    try {
        status = body(isTrouble, folder);
    } catch (const std::exception &error) {
        note(std::string("cannot run: ") + error.what());
        std::cerr << error.what() << '\n';
    }
    const char *keep = std::getenv("KEEP");
    if (keep == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cerr << folder << '\n';
    }
    note("exit " + std::to_string(status));
    std::cout << (status == 0 ? "held" : status == 1 ? "broken" : "could not run") << '\n';
    return status;
}

} // namespace rig
