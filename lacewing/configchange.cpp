// Each kind of change has one function: it checks, keeps what it is about to replace for the undo, makes
// the change, and notes the inverse change. Undo restores the exact state within one record; the inverse
// goes into a later record, where versions cannot be unmade, only retired: a version that was once
// visible may be loaded somewhere, and must never come to mean other weights.

#include "configchange.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

#include "adapterchange.h"
#include "configedit.h"
#include "configstate.h"

namespace lacewing {

namespace {

bool isWithin(double value, double least, double most)
{
    return std::isfinite(value) && value >= least && value <= most;
}

bool isDefaultPreset(const std::string &name)
{
    return defaultPresets().contains(name);
}

std::string checkMember(const ConfigState &config, const wire::MemberSpec &spec)
{
    if (!isName(spec.name)) {
        return "member name is empty, too long or has other characters than letters, digits and -_.";
    }
    if (spec.keyHash.empty() || spec.keyHash.size() > nameLengthLimit) {
        return "key hash of member " + spec.name + " is empty or too long";
    }
    if (spec.maxInFlight < 0) {
        return "limit of member " + spec.name + " is negative";
    }
    const auto holder = config.memberByKeyHash.find(spec.keyHash);
    if (holder != config.memberByKeyHash.end() && holder->second != spec.name) {
        return "key of member " + spec.name + " is that of another member";
    }
    const bool full = config.members.size() >= memberCountLimit && !config.members.contains(spec.name);
    return full ? "too many members" : "";
}

/// Adding a member that exists replaces its key and limit.
std::string addMember(ConfigEdit &edit, const wire::MemberSpec &spec)
{
    ConfigState &config = edit.config;
    if (std::string error = checkMember(config, spec); !error.empty()) {
        return error;
    }
    const auto before = config.members.find(spec.name);
    if (before != config.members.end()) {
        edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_memberAdd, before->second));
        replaceEntry(edit, config.memberByKeyHash, std::string(before->second.keyHash), std::nullopt);
    } else {
        edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_memberRemove, spec.name));
    }
    replaceEntry(edit, config.members, spec.name, spec);
    replaceEntry(edit, config.memberByKeyHash, spec.keyHash, spec.name);
    return {};
}

std::string removeMember(ConfigEdit &edit, const std::string &name)
{
    ConfigState &config = edit.config;
    const auto member = config.members.find(name);
    if (member == config.members.end()) {
        return "no member " + name;
    }
    const auto ownedBy = [&name](const auto &entry) { return entry.second.member == name; };
    if (std::any_of(config.adapters.begin(), config.adapters.end(), ownedBy)
        || std::any_of(config.endpoints.begin(), config.endpoints.end(), ownedBy)) {
        return "member " + name + " still has adapters or endpoints";
    }
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_memberAdd, member->second));
    replaceEntry(edit, config.memberByKeyHash, std::string(member->second.keyHash), std::nullopt);
    replaceEntry(edit, config.members, name, std::nullopt);
    return {};
}

std::string checkEndpoint(const ConfigState &config, const wire::EndpointSpec &spec)
{
    if (!isName(spec.name) || !isName(spec.zone)) {
        return "endpoint or zone name is empty, too long or has other characters than letters, digits and -_.";
    }
    if (spec.address.empty() || spec.address.size() > nameLengthLimit || spec.address.find(':') == std::string::npos) {
        return "address of endpoint " + spec.name + " is not host:port";
    }
    if (isName(spec.baseModel) == isName(spec.serviceName) || (!spec.baseModel.empty() && !spec.serviceName.empty())) {
        return "endpoint " + spec.name + " needs either a base model or a service name";
    }
    if (!spec.member.empty() && !config.members.contains(spec.member)) {
        return "no member " + spec.member;
    }
    const bool slotsFit = spec.adapterSlots >= 1 && spec.adapterSlots <= slotCountLimit;
    if (!slotsFit || spec.maxRunning < 1 || spec.maxRunning > runningCountLimit) {
        return "slots or running limit of endpoint " + spec.name + " out of range";
    }
    const auto before = config.endpoints.find(spec.name);
    if (before == config.endpoints.end()) {
        return config.endpoints.size() >= endpointCountLimit ? "too many endpoints" : "";
    }
    const bool moved = before->second.zone != spec.zone || before->second.checksFencing != spec.checksFencing;
    return moved ? "zone and fencing of endpoint " + spec.name + " cannot change; add it under a new name" : "";
}

/// Adding an endpoint that exists replaces it, but for its zone and whether it checks fencing numbers:
/// the rules for its owner follow from these.
std::string addEndpoint(ConfigEdit &edit, const wire::EndpointSpec &spec)
{
    if (std::string error = checkEndpoint(edit.config, spec); !error.empty()) {
        return error;
    }
    const auto before = edit.config.endpoints.find(spec.name);
    if (before == edit.config.endpoints.end()) {
        edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_endpointRemove, spec.name));
    } else {
        edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_endpointAdd, before->second));
    }
    replaceEntry(edit, edit.config.endpoints, spec.name, spec);
    return {};
}

std::string removeEndpoint(ConfigEdit &edit, const std::string &name)
{
    const auto before = edit.config.endpoints.find(name);
    if (before == edit.config.endpoints.end()) {
        return "no endpoint " + name;
    }
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_endpointAdd, before->second));
    replaceEntry(edit, edit.config.endpoints, name, std::nullopt);
    return {};
}

std::string drainEndpoint(ConfigEdit &edit, const std::string &name)
{
    const auto before = edit.config.endpoints.find(name);
    if (before == edit.config.endpoints.end() || before->second.draining) {
        return "no endpoint " + name + ", or it is draining already";
    }
    wire::EndpointSpec changed = before->second;
    changed.draining = true;
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_endpointAdd, before->second));
    replaceEntry(edit, edit.config.endpoints, name, std::move(changed));
    return {};
}

std::string definePreset(ConfigEdit &edit, const wire::PresetSpec &spec)
{
    auto &presets = edit.config.presets;
    if (!isName(spec.name)) {
        return "preset name is empty, too long or has other characters than letters, digits and -_.";
    }
    const bool shares = isWithin(spec.urgentReserve, 0, 1) && isWithin(spec.stallWeight, 0, weightLimit)
        && isWithin(spec.batchWeight, 0, weightLimit);
    const bool rates = spec.loadsPerSecond > 0 && isWithin(spec.loadsPerSecond, 0, loadsPerSecondLimit);
    if (!shares || !rates || spec.gatherMilliseconds < 0 || spec.gatherMilliseconds > gatherMillisecondsLimit) {
        return "a value of preset " + spec.name + " is out of range";
    }
    const auto before = presets.find(spec.name);
    if (before == presets.end() && presets.size() >= presetCountLimit) {
        return "too many presets";
    }
    if (before == presets.end()) {
        edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_presetRemove, spec.name));
    } else {
        edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_presetDefine, before->second));
    }
    replaceEntry(edit, presets, spec.name, spec);
    return {};
}

std::string removePreset(ConfigEdit &edit, const std::string &name)
{
    const auto before = edit.config.presets.find(name);
    if (before == edit.config.presets.end() || isDefaultPreset(name) || edit.config.presetInForce == name) {
        return "preset " + name + " does not exist, is in force or is a default one";
    }
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_presetDefine, before->second));
    replaceEntry(edit, edit.config.presets, name, std::nullopt);
    return {};
}

std::string usePreset(ConfigEdit &edit, const std::string &name)
{
    ConfigState &config = edit.config;
    if (!config.presets.contains(name)) {
        return "no preset " + name;
    }
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_presetUse, config.presetInForce));
    edit.undo.emplace_back([&config, before = config.presetInForce] { config.presetInForce = before; });
    config.presetInForce = name;
    return {};
}

int countFields(const wire::ConfigChange &change)
{
    const auto &set = change.__isset;
    return set.memberAdd + set.adapterCreate + set.adapterDelete + set.versionAdd + set.versionRetire + set.assign
        + set.endpointAdd + set.endpointDrain + set.presetDefine + set.presetUse + set.memberRemove + set.endpointRemove
        + set.versionRestore + set.presetRemove;
}

} // namespace

bool isName(std::string_view text)
{
    const auto isAllowed = [](char c) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return letter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= nameLengthLimit && std::all_of(text.begin(), text.end(), isAllowed);
}

std::string applyChange(ConfigEdit &edit, const wire::ConfigChange &change)
{
    const auto &set = change.__isset;
    if (countFields(change) != 1) {
        return "a change must set exactly one field that this version knows";
    }
    if (set.memberAdd) {
        return addMember(edit, change.memberAdd);
    }
    if (set.memberRemove) {
        return removeMember(edit, change.memberRemove);
    }
    if (set.endpointAdd) {
        return addEndpoint(edit, change.endpointAdd);
    }
    if (set.endpointRemove) {
        return removeEndpoint(edit, change.endpointRemove);
    }
    if (set.endpointDrain) {
        return drainEndpoint(edit, change.endpointDrain);
    }
    if (set.presetDefine) {
        return definePreset(edit, change.presetDefine);
    }
    if (set.presetRemove) {
        return removePreset(edit, change.presetRemove);
    }
    if (set.presetUse) {
        return usePreset(edit, change.presetUse);
    }
    return applyAdapterChange(edit, change);
}

} // namespace lacewing
