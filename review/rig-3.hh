// Stand-ins and helpers of the cases 11 to 15: the platform's store and API, HTTP servers and clients, and the daemons as processes.
// Everything listens on loopback addresses. One header, so that each case is one source file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig
{

using Clock = std::chrono::steady_clock;

inline Clock::time_point &startTime()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

inline long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

// ---- The record of the case ----

inline FILE *&recordFile()
{
    static FILE *file = nullptr;
    return file;
}

inline void record(const char *format, ...)
{
    static std::mutex mutex;
    const std::scoped_lock lock(mutex);
    va_list list;
    va_start(list, format);
    char line[2000];
    vsnprintf(line, sizeof line, format, list);
    va_end(list);
    if (recordFile() != nullptr) {
        fprintf(recordFile(), "%8.3f %s\n", now(), line);
        fflush(recordFile());
    }
}

inline bool isTrouble()
{
    const char *value = getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---- Sockets ----

inline int listenOn(const std::string &ip, int &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort(const std::string &ip)
{
    int port = 0;
    const int fd = listenOn(ip, port);
    close(fd);
    return port;
}

/** Connects to IP:PORT. Returns -1 on failure. */
inline int connectTo(const std::string &endpoint, double timeout)
{
    const size_t colon = endpoint.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1))));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = errno;
        if (error == EINPROGRESS && poll(&waiting, 1, static_cast<int>(timeout * 1000)) == 1) {
            socklen_t length = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
        }
        if (error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline void closeWithReset(int fd)
{
    const linger abort{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close(fd);
}

inline bool sendAll(int fd, const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

// ---- HTTP ----

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return std::tolower(c);
    });
    return text;
}

struct Message {
    std::string first; // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(lower(name));
        return found == this->headers.end() ? std::string() : found->second;
    }
    std::string method() const
    {
        return this->first.substr(0, this->first.find(' '));
    }
    std::string target() const
    {
        const size_t begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
    int status() const
    {
        return this->first.size() > 12 ? std::atoi(this->first.c_str() + 9) : 0;
    }
    std::string query(const std::string &name) const
    {
        const std::string all = this->target();
        size_t begin = all.find('?');
        while (begin != std::string::npos) {
            const size_t end = std::min(all.find('&', begin + 1), all.size());
            const std::string pair = all.substr(begin + 1, end - begin - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                return pair.substr(name.size() + 1);
            }
            begin = end < all.size() ? end : std::string::npos;
        }
        return {};
    }
};

enum class ReadEnd {
    Complete,
    Closed, // in order, within the message or before it
    Reset,
    TimedOut,
};

/** Reads messages from a socket. */
class Reader
{
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }

    bool hasInput() const
    {
        return !this->input.empty();
    }

    /** Reads one message; @p onPiece gets parts of the body as they come. */
    ReadEnd read(Message &message, double deadline, bool isResponse, const std::function<void(const std::string &)> &onPiece = {})
    {
        message = {};
        size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            const ReadEnd more = this->fill(deadline);
            if (more != ReadEnd::Complete) {
                return more;
            }
        }
        std::istringstream head(this->input.substr(0, end + 2));
        this->input.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(head, line) && line.size() > 1) {
            const size_t colon = line.find(':');
            const size_t value = line.find_first_not_of(' ', colon + 1);
            const size_t last = line.find_last_not_of("\r\n");
            message.headers[lower(line.substr(0, colon))]
                = value == std::string::npos || value > last ? std::string() : line.substr(value, last - value + 1);
        }
        const auto take = [&](size_t count) {
            const std::string piece = this->input.substr(0, count);
            this->input.erase(0, count);
            message.body += piece;
            if (onPiece && !piece.empty()) {
                onPiece(piece);
            }
        };
        if (lower(message.header("transfer-encoding")) == "chunked") {
            while (true) {
                size_t eol = 0;
                while ((eol = this->input.find("\r\n")) == std::string::npos) {
                    const ReadEnd more = this->fill(deadline);
                    if (more != ReadEnd::Complete) {
                        return more;
                    }
                }
                const size_t size = std::strtoul(this->input.c_str(), nullptr, 16);
                this->input.erase(0, eol + 2);
                while (this->input.size() < size + 2) {
                    const ReadEnd more = this->fill(deadline);
                    if (more != ReadEnd::Complete) {
                        return more;
                    }
                }
                take(size);
                this->input.erase(0, 2);
                if (size == 0) {
                    return ReadEnd::Complete;
                }
            }
        }
        if (!message.header("content-length").empty()) {
            size_t left = std::stoul(message.header("content-length"));
            while (left > 0) {
                if (this->input.empty()) {
                    const ReadEnd more = this->fill(deadline);
                    if (more != ReadEnd::Complete) {
                        return more;
                    }
                }
                const size_t count = std::min(left, this->input.size());
                take(count);
                left -= count;
            }
            return ReadEnd::Complete;
        }
        if (!isResponse || message.status() == 204 || message.status() == 304) {
            return ReadEnd::Complete;
        }
        while (true) {
            take(this->input.size());
            const ReadEnd more = this->fill(deadline);
            if (more != ReadEnd::Complete) {
                return more == ReadEnd::Closed ? ReadEnd::Complete : more;
            }
        }
    }

private:
    ReadEnd fill(double deadline)
    {
        pollfd waiting{this->fd, POLLIN, 0};
        const int left = static_cast<int>(std::max(0.0, deadline - now()) * 1000);
        if (poll(&waiting, 1, left) != 1) {
            return ReadEnd::TimedOut;
        }
        char buffer[65536];
        const ssize_t count = recv(this->fd, buffer, sizeof buffer, 0);
        if (count == 0) {
            return ReadEnd::Closed;
        }
        if (count < 0) {
            return ReadEnd::Reset;
        }
        this->input.append(buffer, static_cast<size_t>(count));
        return ReadEnd::Complete;
    }

    int fd;
    std::string input;
};

inline bool isPeerGone(int fd)
{
    char byte = 0;
    const ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/** A server with a thread for each connection. The handler writes the response itself and returns whether the connection is kept. */
class HttpServer
{
public:
    using Handler = std::function<bool(int fd, const Message &request)>;

    ~HttpServer()
    {
        this->crash();
    }

    /** Returns whether a new connection is served; otherwise it is reset after resetDelay. May be empty. */
    std::function<bool(int fd)> onAccept;
    double resetDelay = 0.01;

    bool start(const std::string &address, int &port, Handler requestHandler)
    {
        this->handler = std::move(requestHandler);
        this->listener = listenOn(address, port);
        if (this->listener < 0) {
            return false;
        }
        this->running = true;
        this->acceptor = std::thread([this] {
            this->accept();
        });
        return true;
    }

    /** Ends as a process that is killed does: first no listener, then all connections reset. A handler may call it, and returns. */
    void die()
    {
        if (!this->running.exchange(false)) {
            return;
        }
        shutdown(this->listener, SHUT_RDWR);
        const std::scoped_lock lock(this->mutex);
        for (const int fd : this->open) {
            const linger abort{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            shutdown(fd, SHUT_RD);
        }
    }

    /** The same, and waits until all is closed. Not to be called by a handler. */
    void crash()
    {
        this->die();
        if (!this->acceptor.joinable()) {
            return;
        }
        this->acceptor.join();
        close(this->listener);
        std::unique_lock lock(this->mutex);
        this->ended.wait(lock, [this] {
            return this->open.empty();
        });
    }

    bool isRunning() const
    {
        return this->running;
    }

private:
    void accept()
    {
        while (this->running) {
            const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (this->running) {
                    sleepFor(0.001);
                }
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::scoped_lock lock(this->mutex);
                this->open.insert(fd);
            }
            std::thread([this, fd] {
                this->serve(fd);
            }).detach();
        }
    }

    void serve(int fd)
    {
        if (this->onAccept && !this->onAccept(fd)) {
            sleepFor(this->resetDelay);
            const linger abort{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            const std::scoped_lock lock(this->mutex);
            this->open.erase(fd);
            close(fd);
            this->ended.notify_all();
            return;
        }
        Reader reader(fd);
        Message request;
        while (this->running && reader.read(request, now() + 600, false) == ReadEnd::Complete) {
            if (!this->running || !this->handler(fd, request)) {
                break;
            }
        }
        const std::scoped_lock lock(this->mutex);
        this->open.erase(fd);
        close(fd);
        this->ended.notify_all();
    }

    Handler handler;
    int listener = -1;
    std::atomic<bool> running{false};
    std::thread acceptor;
    std::mutex mutex;
    std::condition_variable ended;
    std::set<int> open;
};

struct Answer {
    ReadEnd end = ReadEnd::Reset;
    bool isConnected = false;
    Message message;
    double sentAt = 0;
    double endedAt = 0;

    int status() const
    {
        return this->message.status();
    }
    bool isWhole() const
    {
        return this->isConnected && this->end == ReadEnd::Complete;
    }
    std::string text() const
    {
        if (!this->isConnected) {
            return "no connection";
        }
        const char *ends[] = {"whole", "closed", "reset", "timed out"};
        return std::to_string(this->status()) + " " + ends[static_cast<int>(this->end)];
    }
};

/** Sends a request on a new connection and reads its response. */
inline Answer ask(const std::string &endpoint, const std::string &head, const std::string &body, double timeout,
    const std::function<void(const std::string &)> &onPiece = {}, const std::function<void(int)> &onSent = {})
{
    Answer answer;
    answer.sentAt = now();
    const double deadline = now() + timeout;
    const int fd = connectTo(endpoint, std::min(timeout, 1.0));
    answer.isConnected = fd >= 0;
    if (fd >= 0) {
        sendAll(fd, head + "\r\n" + body);
        if (onSent) {
            onSent(fd);
        }
        Reader reader(fd);
        answer.end = reader.read(answer.message, deadline, true, onPiece);
        close(fd);
    }
    answer.endedAt = now();
    return answer;
}

/** A client that keeps its connection for many requests, and opens a new one when it was closed. */
class KeptClient
{
public:
    explicit KeptClient(std::string address)
        : endpoint(std::move(address))
    {
    }

    ~KeptClient()
    {
        this->drop();
    }

    Answer ask(const std::string &head, const std::string &body, double timeout)
    {
        Answer answer;
        answer.sentAt = now();
        const double deadline = now() + timeout;
        if (this->fd >= 0 && isPeerGone(this->fd)) {
            this->drop();
        }
        if (this->fd < 0) {
            this->fd = connectTo(this->endpoint, std::min(timeout, 1.0));
            this->reader = std::make_unique<Reader>(this->fd);
        }
        answer.isConnected = this->fd >= 0;
        if (answer.isConnected) {
            sendAll(this->fd, head + "\r\n" + body);
            answer.end = this->reader->read(answer.message, deadline, true);
            if (answer.end != ReadEnd::Complete || lower(answer.message.header("Connection")) == "close") {
                this->drop();
            }
        }
        answer.endedAt = now();
        return answer;
    }

private:
    void drop()
    {
        if (this->fd >= 0) {
            close(this->fd);
            this->fd = -1;
        }
    }

    std::string endpoint;
    int fd = -1;
    std::unique_ptr<Reader> reader;
};

inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::scoped_lock lock(mutex);
    char text[20];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

// ---- The platform: its store and its API ----

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k) {
            group = (group << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        }
        for (size_t k = 0; k < 4; ++k) {
            text.push_back(i + k <= bytes.size() ? digits[(group >> (18 - 6 * k)) & 63] : '=');
        }
    }
    return text;
}

inline std::string unescape(const std::string &text)
{
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            plain.push_back(text[i]);
        }
    }
    return plain;
}

inline std::string bigEndian(uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
    return text;
}

/** The text of a JSON string member, for the few bodies that the daemons send. */
inline std::string jsonMember(const std::string &json, const std::string &name)
{
    const size_t at = json.find("\"" + name + "\":");
    if (at == std::string::npos) {
        return {};
    }
    size_t begin = at + name.size() + 3;
    if (json[begin] == '"') {
        return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
    }
    return json.substr(begin, json.find_first_of(",}]", begin) - begin);
}

/** The store of PROTOCOL.md, with one partition for each topic, groups, and the calls of the duties. */
class Platform
{
public:
    struct Topic {
        std::vector<std::string> records; // from offset 0; none expires within a case
        std::map<std::string, std::pair<uint64_t, std::string>> newest;
    };
    struct Copy {
        std::map<std::string, Topic> topics;
    };

    /** Opens an address of the platform. Each daemon may get one of its own, so that its calls can be told from others'. */
    std::string open(const std::string &ip, const std::string &caller)
    {
        int port = 0;
        this->servers.push_back(std::make_unique<HttpServer>());
        const bool isStarted = this->servers.back()->start(ip, port, [this, caller](int fd, const Message &request) {
            return this->handle(fd, request, caller);
        });
        return isStarted ? ip + ":" + std::to_string(port) : std::string();
    }

    ~Platform()
    {
        this->stopping = true;
        this->changed.notify_all();
        for (const auto &server : this->servers) {
            server->crash();
        }
    }

    /** Writes a keyed record, as the operator and the servers do. Returns its offset; it is acknowledged at once. */
    uint64_t write(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::scoped_lock lock(this->mutex);
        const uint64_t offset = this->append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
        this->changed.notify_all();
        return offset;
    }

    Copy copy()
    {
        const std::scoped_lock lock(this->mutex);
        return {this->topics};
    }

    /** Comes back from a copy: what was written since is gone, and the era rises. */
    void restore(const Copy &older)
    {
        const std::scoped_lock lock(this->mutex);
        this->topics = older.topics;
        ++this->era;
        this->changed.notify_all();
    }

    /** Called with each successful read of a topic: who read, the topic, the end of what was handed out, when. */
    std::function<void(const std::string &caller, const std::string &topic, uint64_t end)> onRead;
    std::atomic<bool> isDown{false}; // closes each connection unanswered; nothing is carried out
    std::mutex dutyMutex;
    std::vector<std::string> duties; // "time path holder token body"

private:
    uint64_t append(const std::string &name, const std::string &bytes)
    {
        Topic &topic = this->topics[name];
        topic.records.push_back(bytes);
        if (name.rfind("keyed.", 0) == 0 && !bytes.empty()) {
            const size_t size = static_cast<unsigned char>(bytes[0]);
            const std::string key = bytes.substr(1, size);
            const std::string value = bytes.substr(1 + size);
            if (value.empty()) {
                topic.newest.erase(key);
            } else {
                topic.newest[key] = {topic.records.size() - 1, value};
            }
        }
        return topic.records.size() - 1;
    }

    bool handle(int fd, const Message &request, const std::string &caller)
    {
        std::string answer;
        std::string path = request.target().substr(0, request.target().find('?'));
        if (this->isDown) {
            return false;
        }
        if (path == "/usage" || path == "/scaling") {
            answer = this->duty(request, path);
        } else {
            std::unique_lock lock(this->mutex);
            answer = this->call(request, path, caller, lock);
        }
        if (this->isDown) {
            return false;
        }
        sendAll(fd, answer);
        return lower(request.header("connection")) != "close";
    }

    std::string json(int status, const std::string &body) const
    {
        return response(status, this->eraHeader() + "Content-Type: application/json\r\n", body);
    }

    std::string eraHeader() const
    {
        return "Store-Era: " + std::to_string(this->era) + "\r\n";
    }

    std::string call(
        const Message &request, const std::string &path, const std::string &caller, std::unique_lock<std::mutex> &lock)
    {
        const std::string name = unescape(request.query("topic"));
        if (path == "/-/log-append") {
            std::vector<std::string> records;
            for (size_t at = 0; at + 4 <= request.body.size();) {
                size_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = (size << 8) | static_cast<unsigned char>(request.body[at + static_cast<size_t>(i)]);
                }
                records.push_back(request.body.substr(at + 4, size));
                at += 4 + size;
            }
            const uint64_t offset = this->topics[name].records.size();
            const std::string condition = request.query("at");
            if (!condition.empty() && std::stoull(condition) != offset) {
                return this->json(412, "{\"end_offset\":" + std::to_string(offset) + "}");
            }
            for (const std::string &bytes : records) {
                this->append(name, bytes);
            }
            this->changed.notify_all();
            return this->json(200,
                "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(offset + records.size()) + "}");
        }
        if (path == "/-/log-read") {
            const uint64_t from = std::stoull(request.query("from"));
            const std::string wait = request.query("wait_ms");
            const uint64_t before = this->era;
            const auto isDue = [&] {
                return this->stopping || this->era != before || this->topics[name].records.size() > from;
            };
            if (!wait.empty() && this->topics[name].records.size() == from) {
                this->changed.wait_for(lock, std::chrono::milliseconds(std::stoi(wait)), isDue);
            }
            const std::vector<std::string> &records = this->topics[name].records;
            if (from > records.size()) {
                return this->json(410, "{\"start_offset\":0}");
            }
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            size_t next = from;
            for (; next < records.size() && body.size() < (1U << 20); ++next) {
                body += bigEndian(records[next].size(), 4) + records[next];
            }
            if (this->onRead) {
                this->onRead(caller, name, next);
            }
            return response(200, this->eraHeader(), body);
        }
        if (path == "/-/log-newest") {
            const std::string after = unescape(request.query("after"));
            const Topic &topic = this->topics[name];
            std::string entries;
            size_t count = 0;
            auto entry = topic.newest.upper_bound(after);
            for (; entry != topic.newest.end() && count < 500; ++entry, ++count) {
                entries += std::string(count > 0 ? "," : "") + "{\"key\":\"" + entry->first + "\",\"data\":\""
                    + base64(entry->second.second) + "\",\"offset\":" + std::to_string(entry->second.first) + "}";
            }
            return this->json(200,
                "{\"entries\":[" + entries + "],\"has_more\":" + (entry != topic.newest.end() ? "true" : "false")
                    + ",\"end_offset\":" + std::to_string(topic.records.size()) + "}");
        }
        if (path == "/-/log-join") {
            const std::string member = jsonMember(request.body, "member_id");
            const bool isNew = !this->members.contains(member);
            this->members[member] = now() + std::stod(jsonMember(request.body, "ttl_ms")) / 1000;
            const size_t before = this->members.size();
            std::erase_if(this->members, [](const auto &known) {
                return known.second < now();
            });
            this->generation += isNew || before != this->members.size() ? 1 : 0;
            return this->json(200, "{\"generation\":" + std::to_string(this->generation) + ",\"ttl_ms\":9000,\"parts\":[]}");
        }
        if (path == "/-/log-leave") {
            this->generation += this->members.erase(jsonMember(request.body, "member_id")) > 0 ? 1 : 0;
            return this->json(200, "{}");
        }
        if (path == "/-/log-owners") {
            std::string rows;
            size_t part = 0;
            for (const auto &[member, until] : this->members) {
                rows += std::string(part > 0 ? "," : "") + "[\"instances\"," + std::to_string(part) + ",\"" + member + "\",0]";
                ++part;
            }
            return this->json(200, "{\"owners\":[" + rows + "]}");
        }
        return this->json(404, "{}");
    }

    std::string duty(const Message &request, const std::string &path)
    {
        const std::scoped_lock lock(this->dutyMutex);
        const std::string token = request.header("Flamingosaddle-Fencing-Token");
        const std::string subject
            = path + "/" + jsonMember(request.body, "service") + "/" + jsonMember(request.body, "zone");
        uint64_t &seen = this->fences[subject];
        if (token.empty() || std::stoull(token) < seen) {
            return this->json(409, "{}");
        }
        seen = std::stoull(token);
        char head[200];
        snprintf(head, sizeof head, "%.3f %s %s %s ", now(), path.c_str(),
            request.header("Flamingosaddle-Lease-Holder").c_str(), token.c_str());
        this->duties.push_back(head + request.body);
        return this->json(200, "{}");
    }

    std::vector<std::unique_ptr<HttpServer>> servers;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> stopping{false};
    std::map<std::string, Topic> topics;
    uint64_t era = 0;
    std::map<std::string, double> members;
    uint64_t generation = 1;
    std::map<std::string, uint64_t> fences;
};

// ---- The daemons ----

inline std::set<pid_t> &children()
{
    static std::set<pid_t> ids;
    return ids;
}

inline pid_t spawn(const std::vector<std::string> &command, const std::string &output)
{
    const pid_t parent = getpid();
    const pid_t id = fork();
    if (id == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const int out = open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        std::vector<char *> arguments;
        for (const std::string &word : command) {
            arguments.push_back(const_cast<char *>(word.c_str()));
        }
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    children().insert(id);
    return id;
}

/** One daemon: its machine's address, its settings file and its process. */
class Daemon
{
public:
    Daemon(std::string machine, std::string place, std::string address, std::string directory)
        : name(std::move(machine))
        , zone(std::move(place))
        , ip(std::move(address))
        , file(std::move(directory) + "/" + this->name)
    {
        this->frontend = this->ip + ":" + std::to_string(freePort(this->ip));
        this->ready = this->ip + ":" + std::to_string(freePort(this->ip));
        this->firstPort = freePort(this->ip);
        this->lastPort = freePort(this->ip);
    }

    ~Daemon()
    {
        this->kill(SIGKILL);
    }

    /** Fills in deploy/daemon.conf as DEPLOY.md says, as far as that template goes. */
    bool writeSettings(const std::string &store, const std::vector<std::string> &zones)
    {
        std::ifstream in("deploy/daemon.conf");
        std::ofstream out(this->file + ".conf");
        std::string regions;
        for (const std::string &one : zones) {
            regions += (regions.empty() ? "" : ",") + one + ":region";
        }
        const std::map<std::string, std::string> values = {{"node_name", this->name}, {"zone", this->zone}, {"ip", this->ip},
            {"listen.frontend", this->frontend}, {"listen.ready", this->ready}, {"port_range.0", std::to_string(this->firstPort)},
            {"port_range.1", std::to_string(this->lastPort)}, {"platform.address", store}, {"cloud.address", store},
            {"bounds.revoke_ms", "5000"}, {"bounds.retry_ratio", "0.2"}, {"bounds.retry_extra", "54"},
            {"bounds.retry_window_s", "10"}, {"bounds.usage_window_s", "5"}, {"limits.memory_mb", "390"},
            {"limits.max_fds", "6150"}};
        std::string line;
        bool isAny = false;
        while (std::getline(in, line)) {
            isAny = true;
            const size_t section = line.find("{{#zones}}");
            if (section != std::string::npos) {
                line = line.substr(0, section) + regions;
            }
            size_t begin = 0;
            while ((begin = line.find("{{")) != std::string::npos) {
                const size_t end = line.find("}}", begin);
                const auto value = values.find(line.substr(begin + 2, end - begin - 2));
                line.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
            }
            out << line << '\n';
        }
        return isAny;
    }

    void start()
    {
        this->id = spawn({"target/tools/flamingosaddled", "--settings-file=" + this->file + ".conf"}, this->file + ".log");
        record("daemon %s started, process %d", this->name.c_str(), this->id);
    }

    void kill(int signal)
    {
        if (this->id > 0) {
            ::kill(this->id, signal);
            if (signal == SIGKILL) {
                waitpid(this->id, nullptr, 0);
                children().erase(this->id);
                this->id = 0;
            }
            record("daemon %s got signal %d", this->name.c_str(), signal);
        }
    }

    /** Returns whether the process has ended, and how. */
    std::optional<int> ended()
    {
        int status = 0;
        if (this->id > 0 && waitpid(this->id, &status, WNOHANG) == this->id) {
            children().erase(this->id);
            this->id = 0;
            return status;
        }
        return std::nullopt;
    }

    bool isReady() const
    {
        return ask(this->ready, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n", "", 1).status() == 200;
    }

    bool awaitReady(double timeout) const
    {
        const double end = now() + timeout;
        while (now() < end) {
            if (this->isReady()) {
                return true;
            }
            sleepFor(0.1);
        }
        return false;
    }

    std::string name;
    std::string zone;
    std::string ip;
    std::string frontend;
    std::string ready;
    int firstPort = 0;
    int lastPort = 0;
    pid_t id = 0;

private:
    std::string file;
};

/** A directory for a case's files, removed at the end. */
class Directory
{
public:
    Directory()
    {
        char name[] = "/tmp/flamingosaddle-case-XXXXXX";
        this->path = mkdtemp(name);
    }

    ~Directory()
    {
        if (getenv("KEEP") != nullptr) {
            fprintf(stderr, "kept %s\n", this->path.c_str());
            return;
        }
        const std::string command = "rm -rf '" + this->path + "'";
        if (system(command.c_str()) != 0) {
            fprintf(stderr, "%s stays\n", this->path.c_str());
        }
    }

    std::string path;
};

/** A loopback network of this run's own: 127.A.B.x. */
inline std::string network()
{
    static const std::string prefix = [] {
        std::random_device random;
        return "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
    }();
    return prefix;
}

/** The entry that a server writes into the store. */
inline std::string serverEntry(const std::string &service, const std::string &address, const std::string &zone,
    const std::string &version, int slots, const std::string &state, long long born, uint64_t sequence)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
        + "\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"born\":"
        + std::to_string(born) + ",\"sequence\":" + std::to_string(sequence) + "}";
}

/** Ends the case: kills what is left of its processes. */
[[noreturn]] inline void finish(int code)
{
    for (const pid_t id : children()) {
        ::kill(id, SIGKILL);
    }
    record("result %d", code);
    fflush(nullptr);
    _exit(code);
}

inline void begin(const char *recordPath)
{
    signal(SIGPIPE, SIG_IGN);
    startTime() = Clock::now();
    recordFile() = fopen(recordPath, "w");
}

} // namespace rig
