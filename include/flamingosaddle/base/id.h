#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace flamingosaddle
{

/**
 * A strongly typed string identifier: identifiers with different tags do not convert into each other.
 */
template <typename Tag>
class Id
{
public:
    Id() = default;

    explicit Id(std::string value)
        : value(std::move(value))
    {
    }

    const std::string &text() const
    {
        return this->value;
    }

    bool isEmpty() const
    {
        return this->value.empty();
    }

    friend auto operator<=>(const Id &, const Id &) = default;

private:
    std::string value;
};

using ClientAccountId = Id<struct ClientAccountTag>;
using TemplateName = Id<struct TemplateNameTag>;
using ClassName = Id<struct ClassNameTag>;
using RouteId = Id<struct RouteTag>;
using BackendServerId = Id<struct BackendServerTag>;
using ServiceName = Id<struct ServiceNameTag>;
using ModelName = Id<struct ModelNameTag>;
using KeyId = Id<struct KeyTag>;
using DataCentre = Id<struct DataCentreTag>;
using InstanceId = Id<struct InstanceTag>;
using ChangeId = Id<struct ChangeTag>;

} // namespace flamingosaddle

template <typename Tag>
struct std::hash<flamingosaddle::Id<Tag>> {
    std::size_t operator()(const flamingosaddle::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};
