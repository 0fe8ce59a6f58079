#pragma once

#include "recordcodec.h"

#include <flamingosaddle/state/incarnation.h>

/**
 * The fields that the records of several streams share.
 */
namespace flamingosaddle
{

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<Incarnation> value)
{
    archive.required("instance", value.instance);
    archive.required("number", value.number);
}

// Instances write these many times a second: their fields have names of one letter.
template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<RecordId> value)
{
    archive.required("i", value.writer.instance);
    archive.required("n", value.writer.number);
    archive.required("s", value.sequence);
}

/**
 * Snapshots of a state machine: its tables as lists, and the offset from which reading goes on.
 */
inline constexpr RecordFormat snapshotFormat{
    ErrorKind::Protocol, "take another snapshot, or read the log from its beginning", std::size_t{64} << 20, true};

} // namespace flamingosaddle
