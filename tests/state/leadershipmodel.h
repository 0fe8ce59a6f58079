#pragma once

#include <flamingosaddle/state/leadership.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * Model of three instances that elect a leader through a store. Appends may be refused, lose their responses or be carried
 * out late; instances may pause, and reads may be delayed. A number selects each step.
 */
class LeadershipModel
{
public:
    enum class Store {
        Correct,
        IgnoresCondition, ///< faulty: appends regardless of the expected log end
    };

    explicit LeadershipModel(Store store)
        : store(store)
    {
    }

    // Commands.

    void step(std::uint32_t choice)
    {
        const std::size_t who = (choice >> 8) % this->instances.size();
        switch (choice % 8) {
        case 0:
        case 1:
            this->now += std::chrono::milliseconds(50 + (choice >> 12) % 1200);
            break;
        case 2:
        case 3:
            this->read(who);
            break;
        case 4:
            this->runDelayedAppend();
            break;
        default:
            this->act(who, choice >> 16);
            break;
        }
        this->check();
    }

    // Queries.

    const std::vector<std::string> &violations() const
    {
        return this->found;
    }

private:
    struct Instance {
        Leadership leadership;
        std::size_t end = 0; // log end that the instance knows
        bool logEndKnown = false;
    };

    struct Late {
        std::string record;
        std::size_t at = 0;
    };

    static Instance makeInstance(const std::string &name)
    {
        return {Leadership(Incarnation{InstanceId(name), 1}, LeadershipTiming()), 0, false};
    }

    void read(std::size_t who)
    {
        Instance &instance = this->instances[who];
        for (; instance.end < this->log.size(); ++instance.end) {
            instance.leadership.apply(decodeLeadershipRecord(this->log[instance.end]).value(), instance.end, this->now);
        }
        instance.logEndKnown = true;
    }

    void act(std::size_t who, std::uint32_t fate)
    {
        Instance &instance = this->instances[who];
        const bool held = instance.leadership.isHeld(this->now);
        if (!instance.logEndKnown
            || (held ? !instance.leadership.isRenewalDue(this->now) : !instance.leadership.mayClaim(this->now))) {
            return;
        }
        const bool releases = held && fate % 11 == 0;
        const LeadershipRecord record
            = releases ? instance.leadership.makeReleaseRecord(this->now) : instance.leadership.makeRecord(this->now);
        const std::size_t at = instance.end;
        const std::string bytes = encodeLeadershipRecord(record);
        if (fate % 5 == 0) { // no response; the append is carried out later or never
            this->late.push_back({bytes, at});
            instance.logEndKnown = false;
            return;
        }
        const std::optional<std::size_t> offset = this->append(bytes, at);
        if (!offset.has_value() || fate % 5 == 1) { // refused, or the response is lost
            instance.logEndKnown = false;
            return;
        }
        instance.end = *offset + 1;
        instance.leadership.apply(record, *offset, this->now);
    }

    void runDelayedAppend()
    {
        if (!this->late.empty()) {
            const Late call = this->late.front();
            this->late.erase(this->late.begin());
            this->append(call.record, call.at);
        }
    }

    std::optional<std::size_t> append(const std::string &bytes, std::size_t at)
    {
        if (this->store == Store::Correct && at != this->log.size()) {
            return std::nullopt;
        }
        this->log.push_back(bytes);
        return this->log.size() - 1;
    }

    void check()
    {
        std::size_t holders = 0;
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            const Leadership &leadership = this->instances[i].leadership;
            if (!leadership.isHeld(this->now)) {
                continue;
            }
            ++holders;
            const auto [entry, isNew] = this->fences.emplace(leadership.fencingNumber(), i);
            if (entry->second != i) {
                this->found.emplace_back("two holders have the same fencing number");
            }
            if (isNew && entry != std::prev(this->fences.end())) {
                this->found.emplace_back("a fencing number is lower than an earlier one");
            }
        }
        if (holders > 1) {
            this->found.emplace_back("two instances lead at the same time");
        }
    }

    Store store;
    TimePoint now{std::chrono::seconds(100)};
    std::array<Instance, 3> instances{makeInstance("a"), makeInstance("b"), makeInstance("c")};
    std::vector<std::string> log;
    std::vector<Late> late;
    std::map<std::uint64_t, std::size_t> fences; // index of the instance that held each fencing number
    std::vector<std::string> found;
};

} // namespace flamingosaddle
