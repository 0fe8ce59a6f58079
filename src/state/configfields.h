#pragma once

#include "recordcodec.h"

#include <flamingosaddle/state/config.h>

/**
 * Fields of the configuration objects in `config` records and snapshots.
 */
namespace flamingosaddle
{

template <>
struct EnumNames<BackendKind> {
    static constexpr std::array values{std::pair{BackendKind::Engine, "engine"}, std::pair{BackendKind::Service, "service"}};
};

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<RequestClass> value)
{
    archive.required("name", value.name);
    archive.optional("tier", value.tier);
    archive.optional("idempotent", value.idempotent);
    archive.optional("firstTokenTargetMs", value.firstTokenTarget);
    archive.optional("interTokenTargetMs", value.interTokenTarget);
    archive.optional("deadlineMs", value.deadline);
    archive.optional("floorShare", value.floorShare);
    archive.optional("cheapAllowed", value.cheapAllowed);
}

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<Template> value)
{
    archive.required("name", value.name);
    archive.required("version", value.version);
    archive.required("classes", value.classes);
}

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<ClassOverrides> value)
{
    archive.required("name", value.name);
    archive.optional("tier", value.tier);
    archive.optional("firstTokenTargetMs", value.firstTokenTarget);
    archive.optional("interTokenTargetMs", value.interTokenTarget);
    archive.optional("deadlineMs", value.deadline);
    archive.optional("floorShare", value.floorShare);
    archive.optional("cheapAllowed", value.cheapAllowed);
    archive.optional("idempotent", value.idempotent);
}

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<ClientAccount> value)
{
    archive.required("id", value.id);
    archive.required("templateName", value.templateName);
    archive.required("templateVersion", value.templateVersion);
    archive.optional("share", value.share);
    archive.optional("classes", value.classes);
    archive.optional("models", value.models);
    archive.optional("services", value.services);
}

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<Route> value)
{
    archive.required("id", value.id);
    archive.required("pathPrefix", value.pathPrefix);
    archive.required("service", value.service);
    archive.optional("open", value.open);
    archive.optional("idempotent", value.idempotent);
}

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<BackendServer> value)
{
    archive.required("id", value.id);
    archive.required("endpoint", value.endpoint);
    archive.required("dataCentre", value.dataCentre);
    archive.optional("kind", value.kind);
    archive.optional("models", value.models);
    archive.optional("service", value.service);
    archive.optional("slots", value.slots);
    archive.optional("cheap", value.cheap);
    archive.optional("leaving", value.leaving);
    archive.optional("softwareVersion", value.softwareVersion);
    archive.optional("checksFencing", value.checksFencing);
}

template <typename Archive>
void describe(Archive &archive, typename Archive::template Ref<ClientKey> value)
{
    archive.required("id", value.id);
    archive.required("clientAccount", value.clientAccount);
    archive.required("digest", value.digest);
}

} // namespace flamingosaddle
