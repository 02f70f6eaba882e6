// Lookups are hash or tree searches, but for those over the endpoints, of which there are few beside the
// adapters, and for adaptersOf(), which walks all adapters and serves operators and GET /v1/models only.

#include "configlookup.h"

#include <algorithm>
#include <charconv>

#include "configstate.h"

namespace lacewing {

namespace {

bool parseVersion(std::string_view text, std::int32_t &version)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, version);
    return result.ec == std::errc {} && result.ptr == end && version >= 1;
}

} // namespace

const wire::MemberSpec *findMemberByKeyHash(const ConfigState &config, std::string_view keyHash)
{
    const auto name = config.memberByKeyHash.find(std::string(keyHash));
    if (name == config.memberByKeyHash.end()) {
        return nullptr;
    }
    const auto member = config.members.find(name->second);
    return member == config.members.end() ? nullptr : &member->second;
}

const AdapterInfo *findAdapter(const ConfigState &config, std::string_view name)
{
    const auto adapter = config.adapters.find(std::string(name));
    return adapter == config.adapters.end() ? nullptr : &adapter->second;
}

const wire::EndpointSpec *findEndpoint(const ConfigState &config, std::string_view name)
{
    const auto endpoint = config.endpoints.find(std::string(name));
    return endpoint == config.endpoints.end() ? nullptr : &endpoint->second;
}

AdapterResolution resolveAdapter(const ConfigState &config, std::string_view member, std::string_view text)
{
    const std::size_t at = text.rfind('@');
    const std::string_view name = text.substr(0, at);
    const AdapterInfo *adapter = findAdapter(config, name);
    if (adapter == nullptr || adapter->member != member) {
        return {};
    }
    std::int32_t version = adapter->assignedVersion;
    if (at != std::string_view::npos && !parseVersion(text.substr(at + 1), version)) {
        return {};
    }
    const auto found = adapter->versions.find(version);
    if (found == adapter->versions.end() || found->second.retired) {
        return {};
    }
    return {ResultCode::Ok, makeAdapterVersion(name, version)};
}

bool mayReachService(const ConfigState &config, std::string_view member, std::string_view service)
{
    return std::any_of(config.endpoints.begin(), config.endpoints.end(), [&](const auto &entry) {
        const wire::EndpointSpec &endpoint = entry.second;
        const bool open = endpoint.member.empty() || endpoint.member == member;
        return !service.empty() && endpoint.serviceName == service && open;
    });
}

std::vector<AdapterName> adaptersOf(const ConfigState &config, std::string_view member)
{
    std::vector<AdapterName> names;
    for (const auto &[name, adapter] : config.adapters) {
        if (adapter.member == member && adapter.assignedVersion != 0) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

const wire::PresetSpec &presetInForce(const ConfigState &config)
{
    return config.presets.at(config.presetInForce);
}

} // namespace lacewing
