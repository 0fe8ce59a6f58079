#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingosaddle
{

/**
 * Maps names to small dense indices, so that dispatching compares and looks up integers. Looking up a known name does not
 * allocate. Indices of released names are reused.
 */
template <typename Name, typename Hash = std::hash<Name>>
class Interner
{
public:
    // Commands.

    /** Returns the index of @p name, assigning one if the name is new. */
    std::uint32_t intern(const Name &name)
    {
        const auto found = this->indices.find(name);
        if (found != this->indices.end()) {
            return found->second;
        }
        const std::uint32_t index = this->allocateIndex();
        this->names[index] = name;
        this->indices.emplace(name, index);
        return index;
    }

    /** Releases @p name. Its index may be assigned to another name. */
    void release(const Name &name)
    {
        const auto found = this->indices.find(name);
        if (found != this->indices.end()) {
            this->freeIndices.push_back(found->second);
            this->indices.erase(found);
        }
    }

    // Queries.

    std::optional<std::uint32_t> find(const Name &name) const
    {
        const auto found = this->indices.find(name);
        return found == this->indices.end() ? std::nullopt : std::optional(found->second);
    }

    const Name &name(std::uint32_t index) const
    {
        return this->names[index];
    }

    /** Returns one more than the largest index assigned so far. */
    std::size_t size() const
    {
        return this->names.size();
    }

private:
    std::uint32_t allocateIndex()
    {
        if (this->freeIndices.empty()) {
            this->names.emplace_back();
            return static_cast<std::uint32_t>(this->names.size() - 1);
        }
        const std::uint32_t index = this->freeIndices.back();
        this->freeIndices.pop_back();
        return index;
    }

    std::unordered_map<Name, std::uint32_t, Hash> indices;
    std::vector<Name> names;
    std::vector<std::uint32_t> freeIndices;
};

} // namespace flamingosaddle
