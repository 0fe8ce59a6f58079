// Clients that keep their connections.
//   client --record FILE --to IP:PORT,... --clients N --per-s N --for-s S --deadline-ms N --method M --path P --host H --key K
//          --name PREFIX [--body-kb N]
// Each client sends its next request after the last one was answered, given up or lost. A client that has waited for its
// deadline closes its connection. Written for each request: its id, the number of requests before it on the connection, the
// milliseconds until the end, and the status, "none" at the deadline, or "closed".
#include "net.hh"

#include <atomic>

int main(int argc, char **argv)
{
    Record record(option(argc, argv, "--record"));
    std::vector<std::string> targets;
    std::string list = option(argc, argv, "--to") + ",";
    while (!list.empty()) {
        targets.push_back(list.substr(0, list.find(',')));
        list.erase(0, list.find(',') + 1);
    }
    const int clients = std::atoi(option(argc, argv, "--clients", "10").c_str());
    const double perSecond = std::atof(option(argc, argv, "--per-s", "20").c_str());
    const long long end = nowMs() + 1000 * std::atoll(option(argc, argv, "--for-s", "10").c_str());
    const long long patience = std::atoll(option(argc, argv, "--deadline-ms", "4000").c_str());
    const std::string method = option(argc, argv, "--method", "POST");
    const std::string path = option(argc, argv, "--path");
    const std::string host = option(argc, argv, "--host");
    const std::string key = option(argc, argv, "--key");
    const std::string name = option(argc, argv, "--name", "c");
    const std::size_t padding = std::stoull(option(argc, argv, "--body-kb", "0")) * 1000;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            const long long pause = static_cast<long long>(1000.0 * clients / perSecond);
            sleepMs(pause * client / clients);
            std::string target = targets[static_cast<std::size_t>(client) % targets.size()];
            int fd = -1;
            int earlier = 0;
            Reader reader(-1);
            for (int number = 0; nowMs() < end; ++number) {
                const std::string id = name + "-" + std::to_string(client) + "-" + std::to_string(number);
                const long long begin = nowMs();
                if (fd < 0) {
                    fd = connectTo(target);
                    reader = Reader(fd);
                    earlier = 0;
                }
                std::string result = "refused";
                if (fd >= 0) {
                    const std::string body = method == "POST" ? "order " + id + std::string(padding, ' ') : "";
                    sendAll(fd,
                        method + " " + path + id + " HTTP/1.1\r\nHost: " + host + "\r\nFlamingosaddle-Request-Id: " + id
                            + "\r\nFlamingosaddle-Deadline-Ms: " + std::to_string(patience) + "\r\nAuthorization: Bearer " + key
                            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                    Message answer;
                    const int read = reader.read(answer, begin + patience, true);
                    result = read == 1 ? answer.first.substr(9, 3) : (read == 0 ? "closed" : "none");
                    if (read == 1 && answer.first.substr(9, 1) == "2" && answer.body != "answer to " + id + "\n") {
                        result = "foreign";
                    }
                    record.line("client " + id + " at " + target + " earlier " + std::to_string(earlier) + " after "
                        + std::to_string(nowMs() - begin) + " ms: " + result);
                    ++earlier;
                    if (read != 1 || answer.field("connection") == "close") {
                        close(fd);
                        fd = -1;
                    }
                }
                sleepMs(std::max(pause - (nowMs() - begin), 1LL));
            }
            if (fd >= 0) {
                close(fd);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}
