#include <flamingosaddle/state/evacuations.h>

#include <algorithm>

namespace flamingosaddle
{

std::vector<DataCentre> Evacuations::apply(const EvacuationRecords &records, TimePoint now)
{
    std::set<DataCentre> changed;
    for (const EvacuationChange &change : records.changes) {
        if (this->applyChange(change, now)) {
            changed.insert(change.dataCentre);
        }
    }
    if (records.isComplete) {
        for (auto &[dataCentre, state] : this->knownStates) {
            if (this->takeBackUnlisted(records, dataCentre, state, now)) {
                changed.insert(dataCentre);
            }
        }
    }
    return {changed.begin(), changed.end()};
}

bool Evacuations::applyChange(const EvacuationChange &change, TimePoint now)
{
    const auto known = this->knownStates.find(change.dataCentre);
    if (known == this->knownStates.end()) {
        if (change.isEvacuated) {
            this->knownStates.emplace(change.dataCentre, EvacuationState{true, change.offset, now});
        }
        return change.isEvacuated;
    }
    EvacuationState &state = known->second;
    const bool isReturnOnly = !state.isEvacuated && !change.isEvacuated;
    if (change.offset <= state.offset || isReturnOnly) {
        return false;
    }
    state = {change.isEvacuated, change.offset, state.isEvacuated == change.isEvacuated ? state.since : now};
    return true;
}

bool Evacuations::takeBackUnlisted(
    const EvacuationRecords &records, const DataCentre &dataCentre, EvacuationState &state, TimePoint now)
{
    const bool isListed
        = std::any_of(records.changes.begin(), records.changes.end(), [&dataCentre](const EvacuationChange &change) {
              return change.dataCentre == dataCentre;
          });
    // The copy that the store was restored from may be older than the evacuation.
    const bool mayBeLost = state.offset < records.epochBegin;
    if (!state.isEvacuated || isListed || mayBeLost) {
        return false;
    }
    // The record at the next offset, which may evacuate the data centre again, is newer.
    state = {false, std::max(state.offset, records.nextOffset - 1), now};
    return true;
}

bool Evacuations::isEvacuated(const DataCentre &dataCentre) const
{
    const auto known = this->knownStates.find(dataCentre);
    return known != this->knownStates.end() && known->second.isEvacuated;
}

std::set<DataCentre> Evacuations::evacuated() const
{
    std::set<DataCentre> names;
    for (const auto &[dataCentre, state] : this->knownStates) {
        if (state.isEvacuated) {
            names.insert(dataCentre);
        }
    }
    return names;
}

const std::map<DataCentre, EvacuationState> &Evacuations::states() const
{
    return this->knownStates;
}

} // namespace flamingosaddle
