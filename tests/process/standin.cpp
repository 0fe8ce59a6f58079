#include "standin.h"

#include <sstream>
#include <stdexcept>

namespace flamingosaddle::process
{

Endpoint endpointIn(const std::string &line, const std::string &prefix)
{
    const std::size_t begin = line.find(prefix);
    if (begin == std::string::npos) {
        throw std::runtime_error("no '" + prefix + "' in '" + line + "'");
    }
    std::istringstream rest(line.substr(begin + prefix.size()));
    std::string text;
    rest >> text;
    const Result<Endpoint> endpoint = Endpoint::parse(text);
    if (endpoint.has_error()) {
        throw std::runtime_error(endpoint.error().text());
    }
    return endpoint.value();
}

Standin::Standin(const ChildCommand &command)
    : process(command)
    , address(endpointIn(this->process.waitForLine("listening ", startTimeout), "listening "))
{
}

void Standin::setFaults(const Json &faults) const
{
    jsonOf(call(this->address, postRequest("/admin/faults", faults)));
}

} // namespace flamingosaddle::process
