#include <flamingosaddle/cli/changeorigin.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t changeIdBytes = 16;

} // namespace

Result<ChangeOrigin> changeOrigin(const CliSession &session)
{
    const CliOptions &options = session.options();
    if (options.changeId.has_value()) {
        return ChangeOrigin{*options.changeId, options.author};
    }
    BOOST_OUTCOME_TRY(random, session.hooks().randomHex(changeIdBytes));
    return ChangeOrigin{ChangeId(std::move(random)), options.author};
}

std::vector<ConfigChange> makeChanges(const ChangeOrigin &origin, ConfigChangeBody body)
{
    std::vector<ConfigChange> changes;
    changes.push_back(makeChange(origin, std::move(body)));
    return changes;
}

ConfigChange makeChange(const ChangeOrigin &origin, ConfigChangeBody body)
{
    ConfigChange change;
    change.id = origin.id;
    change.author = origin.author;
    change.body = std::move(body);
    return change;
}

} // namespace flamingosaddle
