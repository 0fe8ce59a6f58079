#include <flamingosaddle/cli/options.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace flamingosaddle
{

namespace
{

namespace po = boost::program_options;

constexpr std::int64_t maxTimeoutMilliseconds = 3600000;
constexpr std::size_t maxChangeIdBytes = 100; // leaves room for the number of a change in its file
constexpr const char *helpRemedy = "see flamingosaddle --help";

template <typename T>
auto value(const char *name)
{
    return po::value<T>()->value_name(name);
}

po::options_description visibleOptions()
{
    constexpr unsigned lineLength = 120;
    po::options_description options("Options", lineLength);
    auto add = options.add_options();
    add("platform", value<std::string>("IP:PORT"), "the platform's services (FLAMINGOSADDLE_PLATFORM)");
    add("admin", value<std::string>("IP:PORT,..."), "admin addresses of daemons (FLAMINGOSADDLE_ADMIN)");
    add("output", value<std::string>("json|table")->default_value("json"), "how results are printed");
    add("timeout", value<std::int64_t>("MS")->default_value(10000), "longest time for the whole command, in ms");
    add("dry-run", "check the change against the configuration in force and append nothing");
    add("change-id", value<std::string>("ID"), "name of the change; repeating a change under its name changes nothing");
    add("expect-revision", value<std::uint64_t>("N"), "revision of the object that the change is made against; 0: it is new");
    add("no-wait", "return once the log has the change, before its outcome is known");
    add("key-id", value<std::string>("ID"), "id of the key to give");
    add("help", "describe the command");
    return options;
}

std::string stringField(const po::variables_map &values, const char *name)
{
    return values.count(name) != 0 ? values[name].as<std::string>() : std::string();
}

/**
 * The flag, or else the environment variable, or else an empty text.
 */
std::string stringField(
    const po::variables_map &values, const char *name, const VariableLookup &environment, const char *variable)
{
    const std::string flag = stringField(values, name);
    return flag.empty() ? environment(variable).value_or("") : flag;
}

Result<std::vector<Endpoint>> readEndpoints(const std::string &text)
{
    std::vector<Endpoint> endpoints;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        BOOST_OUTCOME_TRY(endpoint, Endpoint::parse(part));
        endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
}

Result<OutputFormat> readFormat(const std::string &text)
{
    if (text == "json") {
        return OutputFormat::Json;
    }
    if (text == "table") {
        return OutputFormat::Table;
    }
    return fail(ErrorKind::InvalidSetting, "'" + text + "' is no output format", "give --output json or --output table");
}

Result<std::chrono::milliseconds> readTimeout(std::int64_t milliseconds)
{
    if (milliseconds <= 0 || milliseconds > maxTimeoutMilliseconds) {
        return fail(ErrorKind::InvalidSetting, "--timeout is out of range",
            "give 1 to " + std::to_string(maxTimeoutMilliseconds) + " ms");
    }
    return std::chrono::milliseconds(milliseconds);
}

/**
 * A change id stands in the path of a daemon's admin call as it is.
 */
Result<ChangeId> readChangeId(const std::string &text)
{
    const bool isPlain = std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
    });
    if (text.empty() || text.size() > maxChangeIdBytes || !isPlain) {
        return fail(ErrorKind::InvalidSetting, "--change-id is no name",
            "give up to " + std::to_string(maxChangeIdBytes) + " letters, digits, '-', '_' and '.'");
    }
    return ChangeId(text);
}

Result<void> readAddresses(const po::variables_map &values, const VariableLookup &environment, CliOptions &options)
{
    const std::string platform = stringField(values, "platform", environment, "FLAMINGOSADDLE_PLATFORM");
    if (!platform.empty()) {
        BOOST_OUTCOME_TRY(endpoint, Endpoint::parse(platform));
        options.platform = std::move(endpoint);
    }
    BOOST_OUTCOME_TRY(admins, readEndpoints(stringField(values, "admin", environment, "FLAMINGOSADDLE_ADMIN")));
    options.admins = std::move(admins);
    return success();
}

Result<CliOptions> readOptions(const po::variables_map &values, const VariableLookup &environment)
{
    CliOptions options;
    BOOST_OUTCOME_TRYV(readAddresses(values, environment, options));
    BOOST_OUTCOME_TRY(output, readFormat(stringField(values, "output")));
    BOOST_OUTCOME_TRY(timeout, readTimeout(values["timeout"].as<std::int64_t>()));
    options.output = output;
    options.timeout = timeout;
    options.dryRun = values.count("dry-run") != 0;
    options.wait = values.count("no-wait") == 0;
    options.keySecret = environment("FLAMINGOSADDLE_KEY_SECRET").value_or("");
    options.author = environment("USER").value_or("");
    if (values.count("change-id") != 0) {
        BOOST_OUTCOME_TRY(changeId, readChangeId(stringField(values, "change-id")));
        options.changeId = std::move(changeId);
    }
    if (values.count("key-id") != 0) {
        options.keyId = KeyId(stringField(values, "key-id"));
    }
    if (values.count("expect-revision") != 0) {
        options.expectedRevision = values["expect-revision"].as<std::uint64_t>();
    }
    return options;
}

Result<po::variables_map> parseFlags(const std::vector<std::string> &arguments)
{
    po::options_description all = visibleOptions();
    all.add_options()("word", po::value<std::vector<std::string>>(), "");
    po::positional_options_description positional;
    positional.add("word", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(all).positional(positional).run(), values);
        return values;
    } catch (const po::error &error) {
        return fail(ErrorKind::InvalidSetting, error.what(), helpRemedy);
    }
}

} // namespace

Result<Invocation> parseInvocation(const std::vector<std::string> &arguments, const VariableLookup &environment)
{
    BOOST_OUTCOME_TRY(values, parseFlags(arguments));
    Invocation invocation;
    invocation.isHelpWanted = values.count("help") != 0;
    if (values.count("word") != 0) {
        invocation.words = values["word"].as<std::vector<std::string>>();
    }
    BOOST_OUTCOME_TRY(options, readOptions(values, environment));
    invocation.options = std::move(options);
    return invocation;
}

std::string describeOptions()
{
    std::ostringstream text;
    text << visibleOptions();
    return text.str();
}

} // namespace flamingosaddle
