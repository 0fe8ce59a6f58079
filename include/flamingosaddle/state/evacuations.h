#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace flamingosaddle
{

/**
 * A record by which an operator evacuates a data centre or takes it back.
 */
struct EvacuationChange {
    DataCentre dataCentre;
    bool isEvacuated = false;
    std::uint64_t offset = 0; ///< of the record

    friend bool operator==(const EvacuationChange &, const EvacuationChange &) = default;
};

/**
 * Records on evacuations that were read together.
 */
struct EvacuationRecords {
    std::vector<EvacuationChange> changes; ///< oldest first
    bool isComplete = false; ///< whether the changes list every data centre that is evacuated
    std::uint64_t nextOffset = 0; ///< offset at which the next read continues
    std::uint64_t epochBegin = 0; ///< first offset since the store was last restored from an older copy

    friend bool operator==(const EvacuationRecords &, const EvacuationRecords &) = default;
};

/**
 * Whether a data centre is evacuated, and by which record.
 */
struct EvacuationState {
    bool isEvacuated = false;
    std::uint64_t offset = 0; ///< of the newest known record; if the record itself was not read, of the newest one of its time
    TimePoint since; ///< when this instance came to know it

    friend bool operator==(const EvacuationState &, const EvacuationState &) = default;
};

/**
 * The data centres that an operator has evacuated: no new request goes to backend servers there until they are taken back.
 *
 * Records are applied in the order of their offsets, and older ones change nothing, so that reading records again is harmless. If
 * the store was restored from an older copy, which may lack the record of an evacuation, the evacuation holds until a record of
 * the restored store ends it.
 */
class Evacuations
{
public:
    // Commands.

    /** Applies records. Returns the data centres whose state has changed, which include those evacuated and taken back at once.
     */
    std::vector<DataCentre> apply(const EvacuationRecords &records, TimePoint now);

    // Queries.

    bool isEvacuated(const DataCentre &dataCentre) const;
    /** Returns the data centres that are evacuated now. */
    std::set<DataCentre> evacuated() const;
    /** Returns what is known of each data centre that was ever evacuated, also those taken back. */
    const std::map<DataCentre, EvacuationState> &states() const;

    friend bool operator==(const Evacuations &, const Evacuations &) = default;

private:
    bool applyChange(const EvacuationChange &change, TimePoint now);
    bool takeBackUnlisted(const EvacuationRecords &records, const DataCentre &dataCentre, EvacuationState &state, TimePoint now);

    std::map<DataCentre, EvacuationState> knownStates;
};

} // namespace flamingosaddle
