#include "machinedesk.h"

#include <algorithm>

namespace flamingosaddle::standins
{

void to_json(Json &json, const Machine &machine)
{
    json = {{"id", machine.id}, {"address", machine.address}, {"dataCentre", machine.dataCentre}, {"model", machine.model},
        {"cheap", machine.cheap}, {"reclaimNotice", machine.reclaimNotice}, {"orderId", machine.orderId}};
}

void from_json(const Json &json, Machine &machine)
{
    machine.id = json.at("id");
    machine.address = json.value("address", "");
    machine.dataCentre = json.value("dataCentre", "");
    machine.model = json.value("model", "");
    machine.cheap = json.value("cheap", false);
    machine.reclaimNotice = json.value("reclaimNotice", false);
    machine.orderId = json.value("orderId", "");
}

void from_json(const Json &json, MachineOrder &order)
{
    order.id = json.at("id");
    order.kind = json.at("kind");
    order.server = json.value("server", "");
    order.model = json.value("model", "");
    order.cheap = json.value("cheap", false);
    order.fencing = json.at("fencing");
    order.holder = json.at("holder");
}

DeskAnswer MachineDesk::order(const std::string &dataCentre, const MachineOrder &order)
{
    const OrderOutcome outcome = this->gates[dataCentre].judge(order.id, order.fencing, this->checkFencing);
    this->arrivals.push_back(
        {{"arrival", this->arrivals.size()}, {"dataCentre", dataCentre}, {"id", order.id}, {"kind", order.kind},
            {"server", order.server}, {"epoch", order.fencing}, {"holder", order.holder}, {"outcome", toString(outcome)}});
    switch (outcome) {
    case OrderOutcome::Refused:
        return DeskAnswer::StaleFencing;
    case OrderOutcome::Duplicate:
        return DeskAnswer::Done;
    case OrderOutcome::Applied:
        break;
    }
    return this->apply(dataCentre, order);
}

void MachineDesk::setFencingCheck(bool check)
{
    this->checkFencing = check;
}

void MachineDesk::add(Machine machine)
{
    this->remove(machine.id);
    this->running.push_back(std::move(machine));
}

void MachineDesk::addSpare(Machine machine)
{
    this->spare.push_back(std::move(machine));
}

void MachineDesk::remove(const std::string &id)
{
    std::erase_if(this->running, [&id](const Machine &machine) {
        return machine.id == id;
    });
}

void MachineDesk::noticeReclaim(const std::string &dataCentre)
{
    for (Machine &machine : this->running) {
        machine.reclaimNotice = machine.reclaimNotice || (machine.cheap && machine.dataCentre == dataCentre);
    }
}

std::vector<Machine> MachineDesk::machines(const std::string &dataCentre) const
{
    std::vector<Machine> result;
    for (const Machine &machine : this->running) {
        if (machine.dataCentre == dataCentre) {
            result.push_back(machine);
        }
    }
    return result;
}

Json MachineDesk::audit() const
{
    return this->arrivals;
}

DeskAnswer MachineDesk::apply(const std::string &dataCentre, const MachineOrder &order)
{
    if (order.kind == "startServer") {
        return this->start(dataCentre, order);
    }
    if (order.kind == "stopServer") {
        this->remove(order.server);
        return DeskAnswer::Done;
    }
    if (order.kind == "loadModel") {
        if (Machine *machine = this->find(order.server)) {
            machine->model = order.model;
        }
        return DeskAnswer::Done;
    }
    return order.kind == "changeRole" ? DeskAnswer::Done : DeskAnswer::UnknownKind;
}

DeskAnswer MachineDesk::start(const std::string &dataCentre, const MachineOrder &order)
{
    const auto found = std::find_if(this->spare.begin(), this->spare.end(), [&](const Machine &machine) {
        return machine.dataCentre == dataCentre && machine.cheap == order.cheap;
    });
    if (found == this->spare.end()) {
        return DeskAnswer::NoSpare;
    }
    Machine machine = *found;
    this->spare.erase(found);
    machine.model = order.model;
    machine.orderId = order.id;
    this->add(std::move(machine));
    return DeskAnswer::Done;
}

Machine *MachineDesk::find(const std::string &id)
{
    const auto found = std::find_if(this->running.begin(), this->running.end(), [&id](const Machine &machine) {
        return machine.id == id;
    });
    return found == this->running.end() ? nullptr : &*found;
}

} // namespace flamingosaddle::standins
