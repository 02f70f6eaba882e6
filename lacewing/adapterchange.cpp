// A version, once added, never means other weights: it may be loaded somewhere under its name. So it can be
// retired and restored but not removed, and the sources of deleted adapters' versions are remembered.

#include "adapterchange.h"

#include <iterator>
#include <utility>
#include <vector>

#include "configedit.h"
#include "configstate.h"

namespace lacewing {

namespace {

wire::VersionSpec makeVersion(const std::string &adapter, std::int32_t version, const std::string &source = {})
{
    wire::VersionSpec spec;
    spec.adapter = adapter;
    spec.version = version;
    spec.source = source;
    return spec;
}

wire::ConfigChange makeAssignment(const std::string &adapter, std::int32_t version)
{
    wire::AssignmentSpec assignment;
    assignment.adapter = adapter;
    assignment.version = version;
    return makeChange(&wire::ConfigChange::__set_assign, assignment);
}

std::string createAdapter(ConfigEdit &edit, const wire::AdapterSpec &spec)
{
    ConfigState &config = edit.config;
    if (!isName(spec.name) || !isName(spec.baseModel)) {
        return "adapter or base model name is empty, too long or has other characters than letters, digits and -_.";
    }
    if (config.adapters.contains(spec.name)) {
        return "adapter " + spec.name + " exists";
    }
    if (!config.members.contains(spec.member)) {
        return "no member " + spec.member;
    }
    if (config.adapters.size() >= adapterCountLimit) {
        return "too many adapters";
    }
    AdapterInfo adapter;
    adapter.member = spec.member;
    adapter.baseModel = spec.baseModel;
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_adapterDelete, spec.name));
    replaceEntry(edit, config.adapters, spec.name, std::move(adapter));
    return {};
}

std::vector<wire::ConfigChange> recreateAdapter(const std::string &name, const AdapterInfo &adapter)
{
    wire::AdapterSpec spec;
    spec.name = name;
    spec.member = adapter.member;
    spec.baseModel = adapter.baseModel;
    std::vector<wire::ConfigChange> changes {makeChange(&wire::ConfigChange::__set_adapterCreate, spec)};
    for (const auto &[number, version] : adapter.versions) {
        const wire::VersionSpec added = makeVersion(name, number, version.source);
        changes.push_back(makeChange(&wire::ConfigChange::__set_versionAdd, added));
        if (version.retired) {
            changes.push_back(makeChange(&wire::ConfigChange::__set_versionRetire, added));
        }
    }
    if (adapter.assignedVersion != 0) {
        changes.push_back(makeAssignment(name, adapter.assignedVersion));
    }
    return changes;
}

std::string deleteAdapter(ConfigEdit &edit, const std::string &name)
{
    ConfigState &config = edit.config;
    const auto adapter = config.adapters.find(name);
    if (adapter == config.adapters.end()) {
        return "no adapter " + name;
    }
    const std::vector<wire::ConfigChange> inverse = recreateAdapter(name, adapter->second);
    // The whole inverse is reversed with the others of its record, so it goes in from its end.
    edit.inverse.insert(edit.inverse.end(), inverse.rbegin(), inverse.rend());
    if (!adapter->second.versions.empty()) {
        std::map<std::int32_t, std::string> sources;
        if (const auto earlier = config.deletedVersions.find(name); earlier != config.deletedVersions.end()) {
            sources = earlier->second;
        }
        for (const auto &[number, version] : adapter->second.versions) {
            sources[number] = version.source;
        }
        replaceEntry(edit, config.deletedVersions, name, std::move(sources));
    }
    replaceEntry(edit, config.adapters, name, std::nullopt);
    return {};
}

bool hadOtherSource(const ConfigState &config, const wire::VersionSpec &spec)
{
    const auto adapter = config.deletedVersions.find(spec.adapter);
    if (adapter == config.deletedVersions.end()) {
        return false;
    }
    const auto source = adapter->second.find(spec.version);
    return source != adapter->second.end() && source->second != spec.source;
}

std::string addVersion(ConfigEdit &edit, const wire::VersionSpec &spec)
{
    ConfigState &config = edit.config;
    const auto adapter = config.adapters.find(spec.adapter);
    if (adapter == config.adapters.end()) {
        return "no adapter " + spec.adapter;
    }
    const std::string name = spec.adapter + "@" + std::to_string(spec.version);
    if (spec.version < 1 || adapter->second.versions.contains(spec.version)) {
        return "version " + name + " exists or is below 1";
    }
    if (spec.source.empty() || spec.source.size() > sourceLengthLimit) {
        return "source of " + name + " is empty or too long";
    }
    if (hadOtherSource(config, spec)) {
        return "version " + name + " had another source before its adapter was deleted; use a new number";
    }
    if (adapter->second.versions.size() >= versionCountLimit) {
        return "too many versions of " + spec.adapter;
    }
    AdapterInfo changed = adapter->second;
    changed.versions[spec.version] = {spec.source, false};
    edit.inverse.push_back(makeChange(&wire::ConfigChange::__set_versionRetire, spec));
    replaceEntry(edit, config.adapters, spec.adapter, std::move(changed));
    return {};
}

std::string setRetired(ConfigEdit &edit, const wire::VersionSpec &spec, bool retired)
{
    const auto adapter = edit.config.adapters.find(spec.adapter);
    const std::string name = spec.adapter + "@" + std::to_string(spec.version);
    if (adapter == edit.config.adapters.end() || !adapter->second.versions.contains(spec.version)) {
        return "no version " + name;
    }
    AdapterInfo changed = adapter->second;
    AdapterVersionInfo &version = changed.versions[spec.version];
    if (version.retired == retired) {
        return "version " + name + (retired ? " is retired already" : " is not retired");
    }
    if (retired && changed.assignedVersion == spec.version) {
        return "version " + name + " is assigned; assign another first";
    }
    version.retired = retired;
    const auto setInverse
        = retired ? &wire::ConfigChange::__set_versionRestore : &wire::ConfigChange::__set_versionRetire;
    edit.inverse.push_back(makeChange(setInverse, spec));
    replaceEntry(edit, edit.config.adapters, spec.adapter, std::move(changed));
    return {};
}

std::string assignVersion(ConfigEdit &edit, const wire::AssignmentSpec &spec)
{
    const auto adapter = edit.config.adapters.find(spec.adapter);
    if (adapter == edit.config.adapters.end()) {
        return "no adapter " + spec.adapter;
    }
    const auto version = adapter->second.versions.find(spec.version);
    const bool usable = version != adapter->second.versions.end() && !version->second.retired;
    if (spec.version != 0 && !usable) {
        return "no version " + spec.adapter + "@" + std::to_string(spec.version) + ", or it is retired";
    }
    AdapterInfo changed = adapter->second;
    edit.inverse.push_back(makeAssignment(spec.adapter, changed.assignedVersion));
    changed.assignedVersion = spec.version;
    replaceEntry(edit, edit.config.adapters, spec.adapter, std::move(changed));
    return {};
}

} // namespace

std::string applyAdapterChange(ConfigEdit &edit, const wire::ConfigChange &change)
{
    const auto &set = change.__isset;
    if (set.adapterCreate) {
        return createAdapter(edit, change.adapterCreate);
    }
    if (set.adapterDelete) {
        return deleteAdapter(edit, change.adapterDelete);
    }
    if (set.versionAdd) {
        return addVersion(edit, change.versionAdd);
    }
    if (set.versionRetire) {
        return setRetired(edit, change.versionRetire, true);
    }
    if (set.versionRestore) {
        return setRetired(edit, change.versionRestore, false);
    }
    return assignVersion(edit, change.assign);
}

} // namespace lacewing
