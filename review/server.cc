// A server of a service. It answers each request at once, or after --work-ms, with a signature and a body that echoes the id.
//   server --listen IP:PORT --id ID --record FILE [--work-ms N] [--slots N] [--fault KIND --every N --after-s S --for-s S --kbps N]
// In the time of the fault, each Nth request gets, instead of a sound answer, bytes that are no answer, without end, until the
// caller closes the connection:
//   chunk-size   after a sound head: bytes that are no chunk
//   rejected     after the head of a sound rejection with Flamingosaddle-Not-Executed: a body without a length
//   head         a head whose last field never ends
//   interim      interim responses, one after the other
#include "net.hh"

#include <atomic>
#include <condition_variable>

namespace
{

struct Fault {
    std::string kind;
    long long every = 0;
    long long from = 0;
    long long to = 0;
    long long bytesPerSecond = 0;
};

/** Sends pieces of the filler at the given rate until the caller closes; returns the number of bytes sent. */
long long flood(int fd, const std::string &filler, long long bytesPerSecond)
{
    const long long begin = nowMs();
    long long sent = 0;
    while (!isClosed(fd) && nowMs() - begin < 60000) {
        const long long due = (nowMs() - begin) * bytesPerSecond / 1000 + 1;
        while (sent < due) {
            if (!sendAll(fd, filler)) {
                return sent;
            }
            sent += static_cast<long long>(filler.size());
        }
        sleepMs(5);
    }
    return sent;
}

} // namespace

int main(int argc, char **argv)
{
    Record record(option(argc, argv, "--record"));
    const std::string id = option(argc, argv, "--id");
    const long long work = std::atoll(option(argc, argv, "--work-ms", "20").c_str());
    Fault fault;
    fault.kind = option(argc, argv, "--fault");
    fault.every = std::atoll(option(argc, argv, "--every", "1").c_str());
    fault.from = nowMs() + 1000 * std::atoll(option(argc, argv, "--after-s", "0").c_str());
    fault.to = fault.from + 1000 * std::atoll(option(argc, argv, "--for-s", "3600").c_str());
    fault.bytesPerSecond = 1000 * std::atoll(option(argc, argv, "--kbps", "1").c_str());
    std::atomic<long long> count{0};
    int free = std::atoi(option(argc, argv, "--slots", "64").c_str());
    std::mutex mutex;
    std::condition_variable freed;
    serveForever(option(argc, argv, "--listen"), [&](int fd) {
        Reader reader(fd);
        Message request;
        while (reader.read(request, nowMs() + 60000, false) == 1) {
            const std::string requestId = request.field("flamingosaddle-request-id");
            if (request.first.rfind("GET /-/", 0) == 0 || request.first.rfind("GET /healthz", 0) == 0) {
                sendAll(fd, "HTTP/1.1 200 OK\r\nFlamingosaddle-Instance-Id: " + id + "\r\nContent-Length: 2\r\n\r\n{}");
                continue;
            }
            const std::string common
                = "Flamingosaddle-Request-Id: " + requestId + "\r\nFlamingosaddle-Instance-Id: " + id + "\r\n";
            const std::string expected = request.field("flamingosaddle-expect-instance");
            if (!expected.empty() && expected != id) {
                record.line("server " + id + " misdirected " + requestId);
                sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
                continue;
            }
            const bool isFaulty = !fault.kind.empty() && nowMs() >= fault.from && nowMs() < fault.to
                && ++count % fault.every == 0;
            if (isFaulty) {
                record.line("server " + id + " fault " + fault.kind + " begins " + requestId);
                std::string filler(64, 'x');
                std::string head = "HTTP/1.1 200 OK\r\n" + common + "Flamingosaddle-Response-Signature: s." + requestId + "\r\n";
                if (fault.kind == "chunk-size") {
                    head += "Transfer-Encoding: chunked\r\n\r\n";
                    filler.assign(fault.bytesPerSecond > 1000000 ? 16384 : 64, 'x');
                } else if (fault.kind == "rejected") {
                    head = "HTTP/1.1 503 Service Unavailable\r\n" + common + "Flamingosaddle-Not-Executed: 1\r\n\r\n";
                } else if (fault.kind == "head") {
                    head += "X-Noise: ";
                } else {
                    head.clear();
                    filler = "HTTP/1.1 103 Early Hints\r\n\r\n";
                }
                sendAll(fd, head);
                const long long sent = flood(fd, filler, fault.bytesPerSecond);
                record.line("server " + id + " fault ends " + requestId + " after " + std::to_string(sent) + " bytes");
                return;
            }
            {
                std::unique_lock<std::mutex> lock(mutex);
                freed.wait(lock, [&] {
                    return free > 0;
                });
                --free;
            }
            record.line("server " + id + " runs " + requestId);
            sleepMs(work);
            {
                const std::lock_guard<std::mutex> lock(mutex);
                ++free;
            }
            freed.notify_one();
            const std::string body = "answer to " + requestId + "\n";
            const bool sent = sendAll(fd,
                "HTTP/1.1 200 OK\r\n" + common + "Flamingosaddle-Response-Signature: s." + requestId
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            record.line("server " + id + (sent ? " answered " : " could not answer ") + requestId);
            if (!sent) {
                return;
            }
        }
    });
}
