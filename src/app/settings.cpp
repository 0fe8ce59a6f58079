#include <flamingosaddle/app/settings.h>

#include <boost/program_options.hpp>

#include <fstream>
#include <map>
#include <sstream>

namespace flamingosaddle
{

namespace
{

using MaybeError = std::optional<Error>;

Error settingError(std::string message, std::string remedy)
{
    return {ErrorKind::InvalidSetting, std::move(message), std::move(remedy)};
}

using TextByName = std::map<std::string, std::string>;

// Puts the flags that were given into @p values, under their names, and faults into @p errors.
void readFlags(const std::vector<std::string> &arguments, TextByName &values, std::vector<Error> &errors)
{
    namespace options = boost::program_options;
    options::options_description known;
    for (const SettingDescription &description : settingDescriptions()) {
        if (!description.flag.empty()) {
            known.add_options()(description.flag.c_str(), options::value<std::string>());
        }
    }
    try {
        options::variables_map map;
        options::store(options::command_line_parser(arguments)
                           .options(known)
                           .style(options::command_line_style::default_style & ~options::command_line_style::allow_guessing)
                           .run(),
            map);
        for (const auto &[name, value] : map) {
            values[name] = value.as<std::string>();
        }
    } catch (const options::error &error) {
        errors.push_back(settingError(error.what(), "see --help for the settings"));
    }
}

/** Puts the lines of the settings file into @p values. Lines with unknown names go into @p ignored. */
void readSettingsFile(const std::string &path, TextByName &values, std::vector<std::string> &ignored, std::vector<Error> &errors)
{
    namespace options = boost::program_options;
    std::ifstream file(path);
    if (!file) {
        errors.push_back(
            settingError("the settings file '" + path + "' cannot be read", "give the path of a file that you may read"));
        return;
    }
    options::options_description known;
    for (const SettingDescription &description : settingDescriptions()) {
        if (!description.flag.empty()) {
            known.add_options()(description.flag.c_str(), options::value<std::string>());
        }
    }
    try {
        for (const options::option &line : options::parse_config_file(file, known, true).options) {
            // A place that whoever fills in the file does not know of is a setting that is not given.
            const bool isUnfilled = !line.value.empty() && line.value.front().starts_with("{{");
            if (line.unregistered || isUnfilled) {
                ignored.push_back(line.string_key);
            } else if (!line.value.empty() && !line.value.front().empty()) {
                values[line.string_key] = line.value.front();
            }
        }
    } catch (const options::error &error) {
        errors.push_back(settingError(path + ": " + error.what(), "write a line NAME = VALUE for each setting"));
    }
}

/** The text of a setting: its flag, else its environment variable, else its line in the settings file. */
std::optional<std::string> stringField(
    const SettingDescription &description, const TextByName &flags, const EnvironmentLookup &environment, const TextByName &file)
{
    const auto flag = flags.find(description.flag);
    if (flag != flags.end()) {
        return flag->second;
    }
    std::optional<std::string> variable = environment(description.variable);
    if (variable.has_value()) {
        return variable;
    }
    const auto line = file.find(description.flag);
    return line == file.end() ? std::nullopt : std::optional(line->second);
}

/** Faults that only several settings together have. */
void checkTogether(const Settings &settings, std::vector<Error> &errors)
{
    if (settings.keySecret.empty() && settings.configuration == ConfigurationSource::Log) {
        errors.push_back(settingError(
            "FLAMINGOSADDLE_KEY_SECRET is missing", "set it to the secret that operators use (text, at least 16 bytes)"));
    }
    if (settings.callerProtocol == CallerProtocol::Platform && settings.configuration == ConfigurationSource::Log) {
        errors.push_back(settingError("the platform's requests need the routes that its operators publish",
            "set configuration to operator, or caller-protocol to openai"));
    }
}

} // namespace

std::variant<Settings, std::vector<Error>> loadSettings(
    const std::vector<std::string> &arguments, const EnvironmentLookup &environment)
{
    std::vector<Error> errors;
    TextByName flags;
    readFlags(arguments, flags, errors);
    Settings settings;
    TextByName file;
    const std::optional<std::string> path = stringField(settingDescriptions().front(), flags, environment, {});
    if (path.has_value()) {
        readSettingsFile(*path, file, settings.ignoredNames, errors);
    }
    for (const SettingDescription &description : settingDescriptions()) {
        const std::optional<std::string> text = stringField(description, flags, environment, file);
        const std::string name = description.flag.empty() ? description.variable : "--" + description.flag;
        if (!text) {
            if (description.required) {
                errors.push_back(
                    settingError(name + " is missing", "set it or " + description.variable + " (" + description.unit + ")"));
            }
            continue;
        }
        if (const MaybeError error = description.assign(settings, *text)) {
            errors.push_back(settingError(name + ": " + error->message(), error->remedy()));
        }
    }
    checkTogether(settings, errors);
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

std::string settingsReference()
{
    std::ostringstream page;
    page << "# Settings of flamingosaddled\n\n";
    page
        << "Generated by `flamingosaddled --settings-reference`; a flag goes before its environment variable, and that before "
           "the line of the same name in the settings file. Numbers may have a fraction, which is rounded down where the unit is "
           "indivisible; a time in ms may be given in seconds, as `2.5s`.\n\n";
    page << "| flag | environment | unit | default | meaning |\n|---|---|---|---|---|\n";
    const Settings defaults;
    for (const SettingDescription &description : settingDescriptions()) {
        const std::string flag = description.flag.empty() ? "(environment only)" : "`--" + description.flag + "`";
        const std::string value = description.required ? "(required)" : "`" + description.show(defaults) + "`";
        page << "| " << flag << " | `" << description.variable << "` | " << description.unit << " | " << value << " | "
             << description.help << " |\n";
    }
    return page.str();
}

} // namespace flamingosaddle
