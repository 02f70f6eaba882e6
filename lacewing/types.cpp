// Text forms and constructors for the identifiers of types.h.

#include "types.h"

#include <cinttypes>
#include <cstdio>

namespace lacewing {

AttemptId makeAttemptId(const RequestId &request, std::int32_t number)
{
    AttemptId id;
    id.request = request;
    id.number = number;
    return id;
}

AdapterVersion makeAdapterVersion(std::string_view adapter, std::int32_t version)
{
    AdapterVersion value;
    value.adapter = adapter;
    value.version = version;
    return value;
}

std::string toString(const AdapterVersion &value)
{
    return value.adapter + "@" + std::to_string(value.version);
}

std::string toString(const RequestId &id)
{
    constexpr std::size_t longest = 40;
    char text[longest];
    std::snprintf(text, sizeof text, "%016" PRIx64 "-%" PRIx64, static_cast<std::uint64_t>(id.node),
                  static_cast<std::uint64_t>(id.number));
    return text;
}

std::string toString(const AttemptId &id)
{
    return toString(id.request) + "-" + std::to_string(id.number);
}

namespace wire {

// Declared by the generated code, left to us to define: the order of ordered containers.

bool AdapterVersion::operator<(const AdapterVersion &other) const
{
    return std::tie(this->adapter, this->version) < std::tie(other.adapter, other.version);
}

bool RequestId::operator<(const RequestId &other) const
{
    return std::tie(this->node, this->number) < std::tie(other.node, other.number);
}

bool AttemptId::operator<(const AttemptId &other) const
{
    return std::tie(this->request, this->number) < std::tie(other.request, other.number);
}

} // namespace wire

} // namespace lacewing
