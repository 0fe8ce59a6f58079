#pragma once

#include <flamingosaddle/state/leaseholder.h>

#include <rapidcheck.h>

#include <cmath>
#include <string>
#include <vector>

/**
 * Several instances that contend for one role over one log, in simulated real time. Their clocks run at rates within
 * the drift bound; an append may come late, twice or never; an instance that gets no step is paused.
 */
namespace flamingosaddle::leasemodel
{

enum class Action {
    Act, ///< renews, or claims the role
    Release,
    Read, ///< reads some records
    ReadToHead,
    Deliver, ///< an append reaches the log
    DeliverAgain, ///< an append reaches the log and stays under way
    Lose, ///< an append never reaches the log
    Wait, ///< real time goes on
    WaitLong,
};

struct Step {
    Action action = Action::Act;
    std::size_t instance = 0;
    std::size_t choice = 0;
};

inline rc::Gen<Step> anyStep()
{
    const auto full = [](auto gen) {
        return rc::gen::resize(rc::kNominalSize, gen);
    };
    return rc::gen::build<Step>(
        rc::gen::set(&Step::action,
            rc::gen::weightedElement<Action>({{8, Action::Act}, {1, Action::Release}, {4, Action::Read}, {8, Action::ReadToHead},
                {8, Action::Deliver}, {1, Action::DeliverAgain}, {1, Action::Lose}, {4, Action::Wait}, {2, Action::WaitLong}})),
        rc::gen::set(&Step::instance, full(rc::gen::inRange<std::size_t>(0, 3))),
        rc::gen::set(&Step::choice, full(rc::gen::inRange<std::size_t>(0, 1000))));
}

/** With forged settings the model must find two holders. */
struct Settings {
    LeaseTiming timing{}; ///< what safety is judged by
    LeaseTiming claimTiming{}; ///< what the instances go by
};

/** One instance with its own clock. */
struct Instance {
    Instance(const LeaseTiming &timing, int number, double rate)
        : table(timing)
        , holder(Role("orders"), {InstanceId("i" + std::to_string(number)), 1}, timing)
        , rate(rate)
    {
    }

    TimePoint clock(double real) const
    {
        return TimePoint(Duration(static_cast<std::int64_t>(real * this->rate)));
    }

    LeaseTable table;
    LeaseHolder holder;
    double rate = 1.0;
    std::uint64_t sequence = 0;
    double ordersEnd = -1.0; ///< real time in nanoseconds until which an order of this instance may have effect
    bool believed = false;
};

class Model
{
public:
    Model(const Settings &settings, const std::vector<double> &rates)
        : timing(settings.timing)
    {
        for (const double rate : rates) {
            this->instances.emplace_back(settings.claimTiming, static_cast<int>(this->instances.size()), rate);
        }
    }

    /** Whether the step left at most one holder, and none before the orders of the others had ended. */
    bool run(const Step &step)
    {
        Instance &instance = this->instances[step.instance % this->instances.size()];
        this->perform(step, instance);
        return this->isSafe();
    }

    int takeovers() const
    {
        return this->takeoverCount;
    }

    bool readersAgree()
    {
        for (Instance &instance : this->instances) {
            this->read(instance, this->log.size());
        }
        for (const Instance &instance : this->instances) {
            if (instance.table.leases() != this->instances.front().table.leases()) {
                return false;
            }
        }
        return true;
    }

private:
    void perform(const Step &step, Instance &instance)
    {
        const TimePoint now = instance.clock(this->real);
        switch (step.action) {
        case Action::Act:
            this->act(instance, now);
            return;
        case Action::Release:
            this->release(instance, now);
            return;
        case Action::Read:
            this->read(instance, 1 + step.choice % 3);
            return;
        case Action::ReadToHead:
            this->read(instance, this->log.size());
            instance.table.noteHead(this->log.size(), now);
            return;
        case Action::Deliver:
        case Action::DeliverAgain:
        case Action::Lose:
            this->deliver(step);
            return;
        case Action::Wait:
            this->real
                += static_cast<double>(Duration(this->timing.duration).count()) * static_cast<double>(step.choice) / 4000.0;
            return;
        case Action::WaitLong:
            this->real += static_cast<double>(Duration(this->timing.duration).count()) * static_cast<double>(step.choice) / 400.0;
            return;
        }
    }

    void send(const std::optional<LeaseRecord> &record)
    {
        if (record.has_value()) {
            // What travels is the text, as in the log.
            this->underWay.push_back(encodeLeaseRecord(*record));
        }
    }

    void act(Instance &instance, TimePoint now)
    {
        ++instance.sequence;
        if (instance.holder.isHeld(now)) {
            this->send(instance.holder.renew(instance.sequence, now));
        } else {
            this->send(instance.holder.claim(instance.table, instance.sequence, now));
        }
    }

    void release(Instance &instance, TimePoint now)
    {
        if (instance.holder.isHeld(now)) {
            instance.ordersEnd = this->real;
            this->send(instance.holder.release(++instance.sequence));
            instance.believed = false;
        }
    }

    void deliver(const Step &step)
    {
        if (this->underWay.empty()) {
            return;
        }
        const auto chosen = this->underWay.begin() + static_cast<std::ptrdiff_t>(step.choice % this->underWay.size());
        if (step.action != Action::Lose) {
            this->log.push_back(*chosen);
        }
        if (step.action != Action::DeliverAgain) {
            this->underWay.erase(chosen);
        }
    }

    void read(Instance &instance, std::size_t count)
    {
        for (; count > 0 && instance.table.nextOffset() < this->log.size(); --count) {
            const std::uint64_t offset = instance.table.nextOffset();
            const LeaseRecord record = decodeLeaseRecord(this->log[offset]).value();
            const bool accepted = instance.table.apply(offset, record, instance.clock(this->real));
            instance.holder.observe(offset, record, accepted);
        }
    }

    bool isSafe()
    {
        for (Instance &instance : this->instances) {
            const Duration remaining = instance.holder.remaining(instance.clock(this->real));
            const bool holds = remaining > Duration::zero();
            if (holds && !instance.believed) {
                ++this->takeoverCount;
                if (!this->othersHaveEnded(instance)) {
                    return false;
                }
            }
            if (holds) {
                const double life = static_cast<double>(Duration(this->timing.longestOrderLife).count());
                instance.ordersEnd = this->real + static_cast<double>(remaining.count()) / instance.rate + life;
            }
            instance.believed = holds;
        }
        return true;
    }

    bool othersHaveEnded(const Instance &instance) const
    {
        for (const Instance &other : this->instances) {
            if (&other != &instance && other.ordersEnd > this->real) {
                return false;
            }
        }
        return true;
    }

    LeaseTiming timing;
    std::vector<Instance> instances;
    std::vector<std::string> underWay;
    std::vector<std::string> log;
    double real = 1e9;
    int takeoverCount = 0;
};

/** Rates of three clocks, each at or inside the bounds that @p ppm gives. */
inline std::vector<double> anyRates(std::uint32_t ppm)
{
    std::vector<double> rates;
    for (int i = 0; i < 3; ++i) {
        const int share = *rc::gen::element(-100, -100, 0, 37, 100, 100);
        rates.push_back(1.0 + share / 100.0 * ppm / 1e6);
    }
    return rates;
}

} // namespace flamingosaddle::leasemodel
