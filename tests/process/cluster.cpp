#include "cluster.h"

#include "loopbackaddress.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <thread>

namespace flamingosaddle::process
{

namespace
{

constexpr Duration conditionPollInterval = std::chrono::milliseconds(10);
constexpr const char *keySecret = "a secret of the process tests";

std::string temporaryDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "flamingosaddle-test-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    return path;
}

ChildCommand backendCommand(const Json &configuration, const std::vector<std::string> &flags, const std::string &auditFile)
{
    ChildCommand command;
    command.program = STANDIN_BACKEND;
    command.arguments = {"--kind", configuration.at("kind"), "--audit-file", auditFile};
    for (const Json &model : configuration.value("models", Json::array())) {
        command.arguments.insert(command.arguments.end(), {"--model", model});
    }
    command.arguments.insert(command.arguments.end(), flags.begin(), flags.end());
    return command;
}

ChildCommand daemonCommand(
    const Endpoint &platform, const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags)
{
    ChildCommand command;
    command.program = FLAMINGOSADDLED;
    const std::string listen = test::ownLoopbackAddress() + ":0";
    command.arguments = {"--listen", listen, "--admin-listen", listen, "--peer-listen", listen, "--platform", platform.text(),
        "--data-centre", dataCentre, "--instance-id", instanceId};
    command.arguments.insert(command.arguments.end(), flags.begin(), flags.end());
    command.environment["FLAMINGOSADDLE_KEY_SECRET"] = keySecret;
    return command;
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, Duration timeout)
{
    const TimePoint deadline = RuntimeClock::now() + timeout;
    while (!condition()) {
        if (RuntimeClock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(conditionPollInterval);
    }
    return true;
}

BackendProcess::BackendProcess(Json configuration, const std::vector<std::string> &flags, const std::string &auditFile)
    : standin(backendCommand(configuration, flags, auditFile))
    , auditFile(auditFile)
    , configuration(std::move(configuration))
{
    this->configuration["endpoint"] = this->standin.address.text();
}

std::string BackendProcess::id() const
{
    return this->configuration.at("id");
}

Json BackendProcess::audit() const
{
    std::map<std::size_t, Json> runs;
    std::ifstream file(this->auditFile);
    for (std::string line; std::getline(file, line);) {
        Json entry = Json::parse(line, nullptr, false);
        if (entry.is_object()) { // a process that was killed may leave half a line
            runs[entry.at("run")] = entry;
        }
    }
    Json list = Json::array();
    for (auto &[run, entry] : runs) {
        list.push_back(std::move(entry));
    }
    Json result;
    result["runs"] = std::move(list);
    return result;
}

DaemonProcess::DaemonProcess(
    const Endpoint &platform, const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags)
    : process(daemonCommand(platform, dataCentre, instanceId, flags))
    , instanceId(instanceId)
{
    const std::string line = this->process.waitForLine("listening ", startTimeout);
    if (line.empty()) {
        throw std::runtime_error("the daemon did not start: " + this->process.output());
    }
    this->caller = endpointIn(line, "caller=");
    this->admin = endpointIn(line, "admin=");
    this->peer = endpointIn(line, "peer=");
}

bool DaemonProcess::isReady() const
{
    const Result<HttpResponse> response = call(this->admin, getRequest("/readyz"));
    return response.has_value() && response.value().status == 200;
}

Json CliResult::json() const
{
    return Json::parse(this->output, nullptr, false);
}

Cluster::Cluster()
    : directory(temporaryDirectory())
    , platformStandin(ChildCommand{.program = STANDIN_PLATFORM, .arguments = {}, .environment = {}})
{
}

Cluster::~Cluster()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

BackendProcess &Cluster::addEngine(const std::string &id, const std::string &dataCentre, const std::vector<std::string> &flags)
{
    Json configuration = {{"id", id}, {"dataCentre", dataCentre}, {"kind", "engine"}, {"models", {"baraka-8b"}}, {"slots", 8}};
    return this->backends.emplace_back(std::move(configuration), flags, this->directory + "/" + id + ".jsonl");
}

BackendProcess &Cluster::addService(const std::string &id, const std::string &dataCentre, const std::vector<std::string> &flags)
{
    Json configuration = {{"id", id}, {"dataCentre", dataCentre}, {"kind", "service"}, {"service", "bookings"}, {"slots", 64}};
    return this->backends.emplace_back(std::move(configuration), flags, this->directory + "/" + id + ".jsonl");
}

void Cluster::killBackend(const std::string &id)
{
    for (BackendProcess &backend : this->backends) {
        if (backend.id() == id) {
            backend.standin.process.kill();
        }
    }
}

DaemonProcess &Cluster::addDaemon(
    const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags)
{
    return this->addDaemonAt(this->platformStandin.address, dataCentre, instanceId, flags);
}

DaemonProcess &Cluster::addDaemonAt(
    const Endpoint &platform, const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags)
{
    return this->daemonProcesses.emplace_back(platform, dataCentre, instanceId, flags);
}

std::unique_ptr<ChildProcess> Cluster::startCli(const std::vector<std::string> &arguments) const
{
    std::string admins;
    for (const DaemonProcess &daemon : this->daemonProcesses) {
        if (!daemon.process.hasEnded()) {
            admins += (admins.empty() ? "" : ",") + daemon.admin.text();
        }
    }
    ChildCommand command;
    command.program = FLAMINGOSADDLE_CLI;
    command.arguments = {"--platform", this->platformStandin.address.text()};
    const bool namesAdmins = std::find(arguments.begin(), arguments.end(), "--admin") != arguments.end();
    if (!admins.empty() && !namesAdmins) {
        command.arguments.insert(command.arguments.end(), {"--admin", admins});
    }
    command.arguments.insert(command.arguments.end(), arguments.begin(), arguments.end());
    command.environment = {{"FLAMINGOSADDLE_KEY_SECRET", keySecret}, {"USER", "operator"}};
    command.capturesErrors = false;
    return std::make_unique<ChildProcess>(command);
}

CliResult Cluster::cli(const std::vector<std::string> &arguments) const
{
    const auto process = this->startCli(arguments);
    const std::optional<int> exitCode = process->waitForEnd(std::chrono::seconds(30));
    return {exitCode.value_or(-1), process->output()};
}

void Cluster::publish(const std::vector<std::string> &command, const Json &content)
{
    std::vector<std::string> arguments = command;
    arguments.push_back(this->writeFile(content));
    const CliResult result = this->cli(arguments);
    EXPECT_EQ(result.exitCode, 0) << result.output;
}

void Cluster::publishStandardConfiguration()
{
    const Json chat = {{"name", "chat"}, {"tier", 0}};
    const Json booking = {{"name", "booking"}, {"tier", 0}, {"idempotent", false}};
    this->publish({"template", "publish"}, {{"name", "standard"}, {"version", 1}, {"classes", {chat, booking}}});
    this->publish({"route", "add"},
        Json::array({{{"id", "deposits"}, {"pathPrefix", "/deposits"}, {"service", "bookings"}, {"idempotent", false}},
            {{"id", "catalogue"}, {"pathPrefix", "/catalogue"}, {"service", "bookings"}, {"idempotent", true}}}));
    this->publish({"account", "create"},
        {{"id", "bakery"}, {"templateName", "standard"}, {"templateVersion", 1}, {"models", {"baraka-8b"}},
            {"services", {"bookings"}}});
    Json servers = Json::array();
    for (const BackendProcess &backend : this->backends) {
        servers.push_back(backend.configuration);
    }
    this->publish({"backend", "add"}, servers);
}

GivenKey Cluster::giveKey(const std::string &clientAccount)
{
    const CliResult result = this->cli({"key", "give", clientAccount, "--output", "json"});
    EXPECT_EQ(result.exitCode, 0) << result.output;
    const Json json = result.json();
    GivenKey key{json.value("keyId", ""), json.value("key", "")};
    this->keys.push_back(key.key);
    return key;
}

void Cluster::waitUntilServing(const GivenKey &key)
{
    for (DaemonProcess &daemon : this->daemonProcesses) {
        const bool isServing = waitUntil([&]() {
            const auto response = call(daemon.caller, withKey(getRequest("/catalogue/ready"), key.key));
            return daemon.isReady() && response.has_value() && response.value().status == 200;
        });
        ASSERT_TRUE(isServing) << daemon.instanceId << " does not serve:\n" << daemon.process.output();
    }
}

ChildCommand Cluster::daemonCommand(
    const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags) const
{
    return process::daemonCommand(this->platformStandin.address, dataCentre, instanceId, flags);
}

const Standin &Cluster::platform() const
{
    return this->platformStandin;
}

std::deque<DaemonProcess> &Cluster::daemons()
{
    return this->daemonProcesses;
}

const BackendProcess &Cluster::backend(const std::string &id) const
{
    const auto found = std::find_if(this->backends.begin(), this->backends.end(), [&id](const BackendProcess &backend) {
        return backend.id() == id;
    });
    if (found == this->backends.end()) {
        throw std::runtime_error("no backend server " + id);
    }
    return *found;
}

Json Cluster::platformAudit() const
{
    return jsonOf(call(this->platformStandin.address, getRequest("/admin/audit")));
}

std::vector<Json> Cluster::backendAudits() const
{
    std::vector<Json> audits;
    for (const BackendProcess &backend : this->backends) {
        audits.push_back(backend.audit());
    }
    return audits;
}

Violations Cluster::check() const
{
    const std::vector<Json> audits = this->backendAudits();
    const Json platformAudit = this->platformAudit();
    Violations violations = checkRunAtMostOnce(audits);
    for (const Violations &more : {checkNoKeySeen(audits, this->keys), checkOrders(platformAudit.at("orders")),
             checkUsageReports(platformAudit.at("usageReports"))}) {
        violations.insert(violations.end(), more.begin(), more.end());
    }
    return violations;
}

std::string Cluster::writeFile(const Json &content)
{
    std::string path = this->directory + "/change-" + std::to_string(++this->fileCount) + ".json";
    std::ofstream(path) << content.dump();
    return path;
}

HttpRequest chatRequest(const std::string &system, const std::string &text, unsigned tokens, bool stream)
{
    const Json messages = {{{"role", "system"}, {"content", system}}, {{"role", "user"}, {"content", text}}};
    return postRequest(chatPath, {{"model", "baraka-8b"}, {"stream", stream}, {"max_tokens", tokens}, {"messages", messages}});
}

HttpRequest chatRequest(const std::string &text, unsigned tokens, bool stream)
{
    const Json message = {{"role", "user"}, {"content", text}};
    return postRequest(
        chatPath, {{"model", "baraka-8b"}, {"stream", stream}, {"max_tokens", tokens}, {"messages", Json::array({message})}});
}

} // namespace flamingosaddle::process
