#include <flamingosaddle/state/claimtable.h>

#include "recordfields.h"

#include <utility>

namespace flamingosaddle
{

template <>
struct EnumNames<ClaimRecordKind> {
    static constexpr std::array values{
        std::pair{ClaimRecordKind::Start, "start"},
        std::pair{ClaimRecordKind::Outcome, "outcome"},
        std::pair{ClaimRecordKind::Abandon, "abandon"},
    };
};

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<ClaimKey> value)
{
    archive.required("a", value.clientAccount);
    archive.required("k", value.keyHash);
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<StoredResponse> value)
{
    archive.required("status", value.status);
    archive.optional("contentType", value.contentType);
    archive.optional("body", value.body);
    archive.optional("bodyStored", value.bodyStored);
}

static bool hasResponse(const ClaimRecord &record)
{
    return record.kind == ClaimRecordKind::Outcome;
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<ClaimRecord> value)
{
    archive.required("id", value.id);
    archive.required("kind", value.kind);
    archive.required("key", value.key);
    archive.required("at", value.writtenAt);
    archive.optional("f", value.fingerprint);
    archive.optional("c", value.claimNumber);
    if (hasResponse(value)) {
        archive.optional("answer", value.response);
    }
}

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<Claim> value)
{
    archive.required("key", value.key);
    archive.required("winner", value.winner);
    archive.required("number", value.number);
    archive.required("fingerprint", value.fingerprint);
    archive.required("startedAt", value.startedAt);
    archive.optional("answer", value.response);
}

namespace
{

// Only valid UTF-8 survives a round trip through JSON.
bool isUtf8(const std::string &body)
{
    const std::string quoted = writeJson(body);
    const Json parsed = Json::parse(quoted, nullptr, false);
    return parsed.is_string() && parsed.get_ref<const std::string &>() == body;
}

struct ClaimSnapshot {
    std::uint64_t next = 0;
    std::chrono::seconds time{};
    std::vector<Claim> claims;
};

} // namespace

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<ClaimSnapshot> value)
{
    archive.required("next", value.next);
    archive.required("time", value.time);
    archive.required("claims", value.claims);
}

std::string encodeClaimRecord(ClaimRecord record)
{
    std::string &body = record.response.body;
    if (body.size() > maxStoredResponseBytes || !isUtf8(body)) {
        body.clear();
        record.response.bodyStored = false;
    }
    return encodeRecord(record);
}

Result<ClaimRecord> decodeClaimRecord(std::string_view text)
{
    Result<ClaimRecord> record = decodeRecord<ClaimRecord>(text);
    if (record.has_value() && record.value().response.body.size() > maxStoredResponseBytes) {
        return fail(ErrorKind::Protocol, "field 'answer.body' exceeds its size limit", instanceRecordFormat.remedy);
    }
    return record;
}

std::string encodeClaimSnapshot(const ClaimTable &table)
{
    return encodeRecord(ClaimSnapshot{table.nextOffset(), table.logTime(), table.claims()});
}

Result<ClaimTable> decodeClaimSnapshot(std::string_view text, ClaimLimits limits)
{
    Result<ClaimSnapshot> decoded = decodeRecord<ClaimSnapshot>(text, snapshotFormat);
    if (decoded.has_error()) {
        return fail(decoded.error());
    }
    ClaimSnapshot snapshot = std::move(decoded).value();
    return ClaimTable::restore(limits, std::move(snapshot.claims), snapshot.time, snapshot.next);
}

} // namespace flamingosaddle
