// A server leaves without reporting that it drains: its entry is removed, and its answers say that it leaves. The machine has
// passed on such answers when the store comes back from a copy that still has the entry. The server must get no more requests. It
// ends drain_ms and a little longer after it began to leave, and what it still runs then is lost.
#include "../rig-2.hh"

using namespace rig;

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](bool trouble, const std::filesystem::path &folder) {
        constexpr double drainSeconds = 2.0; // drain_ms
        Platform platform;
        platform.putKeyed("keyed.op", "config", configuration(3));
        std::list<Backend> servers;
        for (const char *name : {"i-leaving", "i-2", "i-3"}) {
            Backend::Options options;
            options.id = name;
            options.firstMs = 1000; // to the first event; the aim of such streams is 2.5 s
            options.events = 4;
            Backend &server = servers.emplace_back(platform, options);
            server.start();
            server.startBeats();
        }
        Backend &leaving = servers.front();
        Daemon daemon("edge-1", "z-a", platform, folder);
        daemon.waitUntilReady();
        sleepMs(1500);

        std::mutex mutex;
        std::vector<Answer> answers;
        Crowd clients;
        int sent = 0;
        // Nine streams at once, every 1.5 s; with parts of their own, so that they spread over the servers.
        const auto burst = [&] {
            for (int i = 0; i < 9; ++i) {
                const std::string number = std::to_string(100 + sent++);
                clients.add([&, number] {
                    Ask request;
                    request.path = "/s/digest/1"; // may run once only
                    request.deadlineMs = 6000;
                    request.fields = promptFields("a" + number + ":350,b" + number + ":1110");
                    const Answer answer = ask(daemon.caller, request);
                    const std::scoped_lock lock(mutex);
                    answers.push_back(answer);
                });
            }
        };
        burst();
        sleepMs(1500);
        burst();
        sleepMs(1000);
        const Platform::Topics older = platform.copy();
        note("the store is copied");
        sleepMs(500);
        burst();
        sleepMs(400);
        leaving.stopBeats();
        note("i-leaving leaves: its entry is removed, and from now on its answers say so");
        leaving.isLeaving = true;
        leaving.removeEntry();
        sleepMs(1100);
        if (trouble) {
            note("the store is away");
            platform.setDown(true);
        }
        burst();
        sleepMs(2000);
        if (trouble) {
            note("the store is back from the copy, which is 4 s old");
            platform.restore(older);
            platform.setDown(false);
        }
        sleepMs(700);
        burst();
        sleepMs(500);
        leaving.end(); // 4.3 s after it began to leave
        sleepMs(200);
        burst();
        sleepMs(600); // what the servers wrote is written again about two seconds after the return
        if (trouble) {
            leaving.removeEntry();
        }
        clients.wait();
        daemon.end(SIGTERM);

        // What the machine passed on, and what reached the server that was sent drain_ms later or more.
        double toldAt = 1e9;
        std::map<std::string, double> sentAt;
        std::size_t served = 0;
        for (const Answer &answer : answers) {
            sentAt[answer.id] = answer.sentAt;
            served += answer.status == 200 ? 1 : 0;
            if (answer.leaving == "1") {
                toldAt = std::min(toldAt, answer.endedAt);
            }
        }
        int late = 0;
        int lost = 0;
        std::set<std::string> answered;
        for (const Answer &answer : answers) {
            if (answer.status == 200 && answer.isWhole) {
                answered.insert(answer.id);
            }
        }
        for (const Run &run : Backend::allRuns()) {
            if (run.server == leaving.options.id && sentAt.contains(run.request) && sentAt[run.request] > toldAt + drainSeconds) {
                ++late;
                lost += answered.contains(run.request) ? 0 : 1;
                note("late: request=" + run.request + " sent " + std::to_string(sentAt[run.request] - toldAt)
                    + " s after the first answer with Server-Leaving");
            }
        }
        note("requests=" + std::to_string(answers.size()) + " served=" + std::to_string(served)
            + " first answer with Server-Leaving at " + std::to_string(toldAt) + " reached it later than drain_ms="
            + std::to_string(late) + " and were lost="
            + std::to_string(lost));
        if (toldAt > 1e8 || served < answers.size() / 2) {
            throw CannotRun("no answer said that the server leaves, or too few were served");
        }
        return late > 0 ? 1 : 0;
    });
}
