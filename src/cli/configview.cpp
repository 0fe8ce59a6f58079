#include <flamingosaddle/cli/configview.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

/**
 * The fields of an object as they stand in a record of the log, and its revision.
 */
template <typename Change, typename Table>
Output describeTable(const Table &table)
{
    Output list = Output::array();
    for (const auto &[id, object] : table) {
        ConfigChange change;
        change.body = Change{object.value};
        Output entry = Output::parse(encodeConfigChange(change)).at("value");
        entry["revision"] = object.revision;
        list.push_back(std::move(entry));
    }
    return list;
}

Output describeKeys(const ConfigState &config)
{
    Output list = Output::array();
    for (const auto &[id, key] : config.keys()) {
        Output entry;
        entry["id"] = id.text();
        entry["clientAccount"] = key.value.clientAccount.text();
        entry["withdrawn"] = false;
        entry["revision"] = key.revision;
        list.push_back(std::move(entry));
    }
    for (const KeyId &id : config.withdrawnKeys()) {
        Output entry;
        entry["id"] = id.text();
        entry["withdrawn"] = true;
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace

const std::vector<std::string> &configSections()
{
    static const std::vector<std::string> sections = {"templates", "accounts", "routes", "backends", "keys"};
    return sections;
}

Output describeConfig(const ConfigState &config, const std::string &section)
{
    if (section == "templates") {
        return describeTable<PutTemplate>(config.templates());
    }
    if (section == "accounts") {
        return describeTable<PutClientAccount>(config.clientAccounts());
    }
    if (section == "routes") {
        return describeTable<PutRoute>(config.routes());
    }
    if (section == "backends") {
        return describeTable<PutBackendServer>(config.backendServers());
    }
    if (section == "keys") {
        return describeKeys(config);
    }
    Output all;
    all["nextOffset"] = config.nextOffset();
    for (const std::string &name : configSections()) {
        all[name] = describeConfig(config, name);
    }
    return all;
}

Output describeHistory(const ConfigState &config)
{
    Output list = Output::array();
    for (const ChangeResult &result : config.history()) {
        Output entry;
        entry["offset"] = result.offset;
        entry["id"] = result.id.text();
        entry["outcome"] = toString(result.outcome);
        entry["detail"] = result.detail;
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace flamingosaddle
