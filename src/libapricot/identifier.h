#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Apricot {

// A name of one kind of thing, so that a host's name can't be passed where an owner's is meant.
template <typename Tag>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const Identifier&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(m_value); }

private:
    std::string m_value;
};

using HostId = Identifier<struct HostTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using OwnerId = Identifier<struct OwnerTag>;
using BackendServerId = Identifier<struct BackendServerTag>;
using PoolId = Identifier<struct PoolTag>;
using PipelineId = Identifier<struct PipelineTag>;
// The idempotency key that a caller gives its request, or the one an entry host made for it.
using RequestKey = Identifier<struct RequestKeyTag>;

}

template <typename Tag>
struct std::hash<Apricot::Identifier<Tag>> {
    std::size_t operator()(const Apricot::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value());
    }
};
