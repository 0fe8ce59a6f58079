#pragma once

#include "recordcodec.h"

#include <flamingosaddle/state/incarnation.h>

/**
 * Fields that the records of several streams have in common.
 */
namespace flamingosaddle
{

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<Incarnation> value)
{
    archive.required("instance", value.instance);
    archive.required("number", value.number);
}

// The field names have one letter because instances write record ids many times a second.
template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<RecordId> value)
{
    archive.required("i", value.writer.instance);
    archive.required("n", value.writer.number);
    archive.required("s", value.sequence);
}

/**
 * Format of state machine snapshots, which hold the tables as lists and the offset to read next.
 */
inline constexpr RecordFormat snapshotFormat{
    ErrorKind::Protocol, "take another snapshot, or read the log from its beginning", std::size_t{64} << 20, true};

} // namespace flamingosaddle
