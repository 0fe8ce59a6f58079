#pragma once

#include "fencinggate.h"
#include "json.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace flamingosaddle::standins
{

struct Machine {
    std::string id;
    std::string address;
    std::string dataCentre;
    std::string model;
    bool cheap = false;
    bool reclaimNotice = false;
    std::string orderId;

    friend bool operator==(const Machine &, const Machine &) = default;
};

void to_json(Json &json, const Machine &machine);
void from_json(const Json &json, Machine &machine);

struct MachineOrder {
    std::string id;
    std::string kind;
    std::string server;
    std::string model;
    bool cheap = false;
    std::uint64_t fencing = 0;
    std::string holder;

    friend bool operator==(const MachineOrder &, const MachineOrder &) = default;
};

void from_json(const Json &json, MachineOrder &order);

enum class DeskAnswer {
    Done, ///< carried out now or before
    StaleFencing,
    NoSpare, ///< no spare machine can be started
    UnknownKind,
};

/**
 * The platform's backend server interface: the machines of each data centre and the orders for them. `startServer`
 * hands out a machine from the spare ones that the test provided.
 */
class MachineDesk
{
public:
    // Commands.
    DeskAnswer order(const std::string &dataCentre, const MachineOrder &order);
    void setFencingCheck(bool check);
    void add(Machine machine);
    void addSpare(Machine machine);
    void remove(const std::string &id);
    /** Marks every cheap machine of the data centre as one to be reclaimed. */
    void noticeReclaim(const std::string &dataCentre);

    // Queries.
    std::vector<Machine> machines(const std::string &dataCentre) const;
    /** Every order in the order of arrival, with what became of it. */
    Json audit() const;

private:
    DeskAnswer apply(const std::string &dataCentre, const MachineOrder &order);
    DeskAnswer start(const std::string &dataCentre, const MachineOrder &order);
    Machine *find(const std::string &id);

    std::vector<Machine> running;
    std::deque<Machine> spare;
    std::map<std::string, FencingGate> gates; ///< by data centre
    bool checkFencing = false;
    Json arrivals = Json::array();
};

} // namespace flamingosaddle::standins
