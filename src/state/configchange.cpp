#include <flamingosaddle/state/configchange.h>

#include "configfields.h"

namespace flamingosaddle
{

namespace
{

// The platform limits a record to 256 KiB.
constexpr RecordFormat changeFormat{
    ErrorKind::InvalidConfiguration, "correct it and send the change again", std::size_t{256} * 1024, false};

enum class ChangeKind {
    PutTemplate,
    PutClientAccount,
    RemoveClientAccount,
    PutRoute,
    RemoveRoute,
    PutBackendServer,
    RemoveBackendServer,
    GiveKey,
    WithdrawKey,
};

template <ChangeKind kind>
using BodyOf = std::variant_alternative_t<static_cast<std::size_t>(kind), ConfigChangeBody>;

static_assert(std::is_same_v<BodyOf<ChangeKind::PutTemplate>, PutTemplate>);
static_assert(std::is_same_v<BodyOf<ChangeKind::WithdrawKey>, WithdrawKey>);

/**
 * Matches changes that carry only the id of an object: removals and withdrawals.
 */
template <typename Body, typename Plain = std::remove_const_t<Body>>
concept HoldsIdOnly = std::is_same_v<Plain, RemoveClientAccount> || std::is_same_v<Plain, RemoveRoute> || std::is_same_v<Plain,
    RemoveBackendServer> || std::is_same_v<Plain, WithdrawKey>;

} // namespace

template <>
struct EnumNames<ChangeKind> {
    static constexpr std::array values{
        std::pair{ChangeKind::PutTemplate, "putTemplate"},
        std::pair{ChangeKind::PutClientAccount, "putClientAccount"},
        std::pair{ChangeKind::RemoveClientAccount, "removeClientAccount"},
        std::pair{ChangeKind::PutRoute, "putRoute"},
        std::pair{ChangeKind::RemoveRoute, "removeRoute"},
        std::pair{ChangeKind::PutBackendServer, "putBackendServer"},
        std::pair{ChangeKind::RemoveBackendServer, "removeBackendServer"},
        std::pair{ChangeKind::GiveKey, "giveKey"},
        std::pair{ChangeKind::WithdrawKey, "withdrawKey"},
    };
};

// Static rather than in an unnamed namespace, which argument-dependent lookup does not search.
template <typename Archive, HoldsIdOnly Body>
static void describe(Archive &archive, Body &value)
{
    archive.required("id", value.id);
}

template <typename Archive, typename Body>
static void describeBody(Archive &archive, Body &body)
{
    if constexpr (HoldsIdOnly<Body>) {
        archive.required("value", body);
    } else {
        archive.required("value", body.value);
    }
}

template <std::size_t index = 0>
static void describeAlternative(RecordReader &reader, ChangeKind kind, ConfigChangeBody &body)
{
    if constexpr (index < std::variant_size_v<ConfigChangeBody>) {
        if (static_cast<std::size_t>(kind) == index) {
            describeBody(reader, body.emplace<index>());
        } else {
            describeAlternative<index + 1>(reader, kind, body);
        }
    }
}

static void describeVariant(RecordReader &reader, ConfigChangeBody &body)
{
    ChangeKind kind{};
    reader.required("kind", kind);
    describeAlternative(reader, kind, body);
}

static void describeVariant(RecordWriter &writer, const ConfigChangeBody &body)
{
    writer.required("kind", static_cast<ChangeKind>(body.index()));
    const auto writeBody = [&writer](const auto &alternative) {
        describeBody(writer, alternative);
    };
    std::visit(writeBody, body);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<ConfigChange> value)
{
    archive.required("id", value.id);
    archive.optional("author", value.author);
    archive.optional("expectedRevision", value.expectedRevision);
    describeVariant(archive, value.body);
}

std::string encodeConfigChange(const ConfigChange &change)
{
    return encodeRecord(change);
}

Result<ConfigChange> decodeConfigChange(std::string_view text)
{
    return decodeRecord<ConfigChange>(text, changeFormat);
}

} // namespace flamingosaddle
