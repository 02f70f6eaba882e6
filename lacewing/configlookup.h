// Questions asked of the configuration in force: which member holds a key, which version a caller means.
//
//   const AdapterResolution found = resolveAdapter(blackboard.config, member, "menu@3");
//   if (found.code != ResultCode::Ok) ...

#pragma once

#include <string_view>
#include <vector>

#include "resultcode.h"
#include "types.h"

namespace lacewing {

struct AdapterInfo;
struct ConfigState;

/// What resolveAdapter() found: the adapter is valid only if the code is Ok.
struct AdapterResolution {
    ResultCode code = ResultCode::UnknownModel;
    AdapterVersion adapter;
};

/// @param config configuration in force
/// @param keyHash hash of the key that a caller sent
/// @return the member, or nullptr
const wire::MemberSpec *findMemberByKeyHash(const ConfigState &config, std::string_view keyHash);

/// @param config configuration in force
/// @param name name of an adapter
/// @return the adapter, or nullptr
const AdapterInfo *findAdapter(const ConfigState &config, std::string_view name);

/// @param config configuration in force
/// @param name name of an endpoint
/// @return the endpoint, or nullptr
const wire::EndpointSpec *findEndpoint(const ConfigState &config, std::string_view name);

/// Fixes the version that a request runs on. A member reaches only its own adapters: those of others
/// are unknown to it.
/// @param config configuration in force
/// @param member who asks
/// @param text "name" for the assigned version or "name@version"
/// @return the adapter and version, or UnknownModel
AdapterResolution resolveAdapter(const ConfigState &config, std::string_view member, std::string_view text);

/// @param config configuration in force
/// @param member who asks
/// @param service name of a plain service
/// @return whether an endpoint of that service exists that the member may reach
bool mayReachService(const ConfigState &config, std::string_view member, std::string_view service);

/// @param config configuration in force
/// @param member whose adapters to list
/// @return names of its adapters that have a version assigned, sorted
std::vector<AdapterName> adaptersOf(const ConfigState &config, std::string_view member);

/// @param config configuration in force
/// @return the preset in force
const wire::PresetSpec &presetInForce(const ConfigState &config);

} // namespace lacewing
