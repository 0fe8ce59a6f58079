#include "connectionregistration.h"

#include <map>
#include <memory>

namespace flamingosaddle
{

namespace
{

using Keys = std::map<KeyId, ConnectionRegistry::Registration>;

} // namespace

void registerConnection(HttpExchange &exchange, ConnectionRegistry &registry, const KeyId &key)
{
    std::shared_ptr<void> &state = exchange.connectionState();
    if (!state) {
        state = std::make_shared<Keys>();
    }
    Keys &keys = *static_cast<Keys *>(state.get());
    if (!keys.contains(key)) {
        keys.emplace(key, registry.add(key, exchange.abortHandle()));
    }
}

} // namespace flamingosaddle
