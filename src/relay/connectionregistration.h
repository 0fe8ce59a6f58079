#pragma once

#include <flamingosaddle/http/server.h>
#include <flamingosaddle/relay/connectionregistry.h>

namespace flamingosaddle
{

/**
 * Registers the connection of @p exchange under @p key for the lifetime of the connection. Idempotent.
 */
void registerConnection(HttpExchange &exchange, ConnectionRegistry &registry, const KeyId &key);

} // namespace flamingosaddle
