// A sound platform: its store (a log, with the operator's configuration and the servers' entries) and its API for duties.
//   platform --listen IP:PORT --config FILE --servers FILE --record FILE
// A line of the servers' file: ID SERVICE IP:PORT ZONE SLOTS. Each server's entry is written again every 1,200 ms.
#include "net.hh"

#include <condition_variable>
#include <fstream>
#include <set>
#include <sstream>

namespace
{

struct Stored {
    std::string key; // of a keyed topic
    std::string bytes; // the whole record
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::string, std::vector<Stored>> topics;
std::map<std::string, std::map<std::string, std::size_t>> newest; // by topic and key: offset
std::map<std::string, std::set<std::string>> groups;
std::map<std::string, unsigned> generations;

void add(const std::string &topic, const std::string &bytes)
{
    Stored stored{{}, bytes};
    if (topic.rfind("keyed.", 0) == 0 && !bytes.empty()) {
        const std::size_t size = static_cast<unsigned char>(bytes[0]);
        stored.key = bytes.substr(1, size);
        if (bytes.size() > 1 + size) {
            newest[topic][stored.key] = topics[topic].size();
        } else {
            newest[topic].erase(stored.key);
        }
    }
    topics[topic].push_back(stored);
}

void put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex);
    add(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    changed.notify_all();
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text.push_back(i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63] : '=');
        }
    }
    return text;
}

std::string query(const std::string &target, const std::string &name)
{
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        const std::size_t end = target.find('&', position + 1);
        const std::string part = target.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        position = end;
    }
    return {};
}

/** Returns the value of a member with a string or a number, without its quotes. */
std::string member(const std::string &json, const std::string &name)
{
    std::size_t begin = json.find("\"" + name + "\"");
    if (begin == std::string::npos) {
        return {};
    }
    begin = json.find(':', begin) + 1;
    const bool quoted = json[begin] == '"';
    const std::size_t end = json.find_first_of(quoted ? "\"" : ",}", begin + 1);
    return json.substr(begin + (quoted ? 1 : 0), end - begin - (quoted ? 1 : 0));
}

std::string response(int status, const std::string &body, const std::string &type = "application/json")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type + "\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string append(const std::string &target, const std::string &body)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const std::string topic = query(target, "topic");
    const std::string at = query(target, "at");
    const std::size_t offset = topics[topic].size();
    if (!at.empty() && std::stoull(at) != offset) {
        return response(412, "{\"end_offset\":" + std::to_string(offset) + "}");
    }
    for (std::size_t position = 0; position + 4 <= body.size();) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
            size = size << 8 | static_cast<unsigned char>(body[position + static_cast<std::size_t>(i)]);
        }
        add(topic, body.substr(position + 4, size));
        position += 4 + size;
    }
    changed.notify_all();
    return response(
        200, "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(topics[topic].size()) + "}");
}

std::string read(const std::string &target)
{
    std::unique_lock<std::mutex> lock(mutex);
    std::vector<Stored> &topic = topics[query(target, "topic")];
    const std::size_t from = std::stoull(query(target, "from"));
    const std::string wait = query(target, "wait_ms");
    changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait)), [&] {
        return topic.size() > from;
    });
    std::string body = bigEndian(topic.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < topic.size() && body.size() < 1000000; ++i) {
        body += bigEndian(topic[i].bytes.size(), 4) + topic[i].bytes;
    }
    return response(200, body, "application/octet-stream");
}

std::string readNewest(const std::string &target)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const std::string topic = query(target, "topic");
    std::string entries;
    for (const auto &[key, offset] : newest[topic]) {
        const std::string value = topics[topic][offset].bytes.substr(1 + key.size());
        entries += (entries.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"data\":\"" + base64(value)
            + "\",\"offset\":" + std::to_string(offset) + "}";
    }
    return response(200,
        "{\"entries\":[" + entries + "],\"has_more\":false,\"end_offset\":" + std::to_string(topics[topic].size()) + "}");
}

std::string join(const std::string &body)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const std::string group = member(body, "group");
    if (groups[group].insert(member(body, "member_id")).second) {
        ++generations[group];
    }
    return response(200, "{\"generation\":" + std::to_string(generations[group]) + ",\"ttl_ms\":9000,\"parts\":[]}");
}

std::string owners(const std::string &target)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const std::string group = query(target, "group");
    std::string rows;
    int part = 0;
    for (const std::string &id : groups[group]) {
        rows += (rows.empty() ? "" : ",") + ("[\"" + group) + "\"," + std::to_string(part++) + ",\"" + id + "\",0]";
    }
    return response(200, "{\"owners\":[" + rows + "]}");
}

} // namespace

int main(int argc, char **argv)
{
    Record record(option(argc, argv, "--record"));
    std::ifstream configFile(option(argc, argv, "--config"));
    std::stringstream config;
    config << configFile.rdbuf();
    put("keyed.op", "config", config.str());
    std::thread([path = option(argc, argv, "--servers")] {
        for (unsigned sequence = 1;; ++sequence) {
            std::ifstream file(path);
            std::string id;
            std::string service;
            std::string address;
            std::string zone;
            std::string slots;
            while (file >> id >> service >> address >> zone >> slots) {
                put("keyed.servers", id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":1,\"sequence\":" + std::to_string(sequence) + "}");
            }
            sleepMs(1200);
        }
    }).detach();
    serveForever(option(argc, argv, "--listen"), [&record](int fd) {
        Reader reader(fd);
        Message request;
        while (reader.read(request, nowMs() + 60000, false) == 1) {
            const std::string target = request.first.substr(request.first.find(' ') + 1);
            const std::string path = target.substr(0, target.find_first_of("? "));
            const std::string arguments = target.substr(0, target.find(' '));
            std::string answer;
            if (path == "/-/log-append") {
                answer = append(arguments, request.body);
            } else if (path == "/-/log-read") {
                answer = read(arguments);
            } else if (path == "/-/log-newest") {
                answer = readNewest(arguments);
            } else if (path == "/-/log-join") {
                answer = join(request.body);
            } else if (path == "/-/log-owners") {
                answer = owners(arguments);
            } else {
                if (path == "/usage" || path == "/scaling") {
                    record.line("platform " + path + " fence=" + request.field("flamingosaddle-fencing-token") + " holder="
                        + request.field("flamingosaddle-lease-holder") + " " + request.body);
                }
                answer = response(200, "{}");
            }
            if (!sendAll(fd, answer) || request.field("connection") == "close") {
                return;
            }
        }
    });
}
