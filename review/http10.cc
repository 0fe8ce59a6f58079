// Not a case: the pages have clients speak HTTP/1.1. Asks one daemon for a stream by HTTP/1.0, five times, and looks whether its process
// lives on. Exits with 1 if it ended by itself.
// Usage, in the repository: build/review-3/http10 RECORD-FILE

#include "rig-3.hh"

using namespace rig;

namespace
{

int run()
{
    Directory directory;
    Platform platform;
    const std::string store = platform.open(network() + "250", "");
    platform.write("keyed.op", "config",
        "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"shop.example\",\"path_prefix\":\"/chat/\",\"type\":\"streaming\","
        "\"timeout_ms\":12000,\"latency_goal_ms\":600,\"priority\":0,\"service\":\"chat-llm\",\"max_attempts\":2,\"public\":true,"
        "\"resumable\":true}],\"services\":[{\"name\":\"chat-llm\",\"max_connections\":360,\"backend\":{\"slots\":64,"
        "\"kv_capacity\":540877}}],\"limits\":{},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1k1k1k1k1k1k1k1k1k1\"]}]}");
    HttpServer server;
    int port = 0;
    const std::string ip = network() + "101";
    server.start(ip, port, [](int fd, const Message &request) {
        const std::string id = request.header("Flamingosaddle-Request-Id");
        return sendAll(fd,
            "HTTP/1.1 200 OK\r\nFlamingosaddle-Request-Id: " + id + "\r\nFlamingosaddle-Response-Signature: s." + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: word1\n\n\r\n0\r\n\r\n");
    });
    platform.write("keyed.servers", "i-1",
        serverEntry("chat-llm", ip + ":" + std::to_string(port), "zone-a", "v1", 64, "ready", unixMs(), 1));
    Daemon daemon("edge-zone-a-1", "zone-a", network() + "1", directory.path);
    if (store.empty() || !daemon.writeSettings(store, {"zone-a"})) {
        return 2;
    }
    int ended = 0;
    for (int i = 0; i < 5; ++i) {
        if (daemon.id == 0) {
            daemon.start();
        }
        if (!daemon.awaitReady(10)) {
            return 2;
        }
        const Answer answer = ask(daemon.frontend,
            "POST /chat/s HTTP/1.0\r\nHost: shop.example\r\nFlamingosaddle-Request-Id: " + newId() + "\r\nContent-Length: 5\r\n",
            "hello", 3);
        sleepFor(0.3);
        const std::optional<int> status = daemon.ended();
        ended += status.has_value() ? 1 : 0;
        record("a stream by HTTP/1.0: %s; the process %s", answer.text().c_str(),
            status.has_value() ? ("ended, wait status " + std::to_string(*status)).c_str() : "lives on");
    }
    record("the process ended by itself %d times of 5", ended);
    return ended > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        return 2;
    }
    begin(argv[1]);
    return run();
}
