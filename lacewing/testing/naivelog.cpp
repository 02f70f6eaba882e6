// Knows the kinds of change that the differential tests make; names and numbers in them are always legal,
// so only existence and order have to be checked.

#include "naivelog.h"

#include <algorithm>

namespace lacewing {

namespace {

template<typename List, typename Name>
auto *findByName(List &list, const Name &name)
{
    for (auto &item : list) {
        if (item.name == name) {
            return &item;
        }
    }
    return static_cast<decltype(&list.front())>(nullptr);
}

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

NaiveVersion *findVersion(NaiveAdapter *adapter, int number)
{
    if (adapter == nullptr) {
        return nullptr;
    }
    for (NaiveVersion &version : adapter->versions) {
        if (version.number == number) {
            return &version;
        }
    }
    return nullptr;
}

bool addVersion(NaiveLog &state, const wire::VersionSpec &spec)
{
    NaiveAdapter *adapter = findByName(state.adapters, spec.adapter);
    if (adapter == nullptr || findVersion(adapter, spec.version) != nullptr) {
        return false;
    }
    for (const NaiveAdapter &old : state.deleted) {
        for (const NaiveVersion &version : old.versions) {
            if (old.name == spec.adapter && version.number == spec.version && version.source != spec.source) {
                return false;
            }
        }
    }
    adapter->versions.push_back({spec.version, spec.source, false});
    return true;
}

bool retire(NaiveLog &state, const wire::VersionSpec &spec, bool retired)
{
    NaiveAdapter *adapter = findByName(state.adapters, spec.adapter);
    NaiveVersion *version = findVersion(adapter, spec.version);
    if (version == nullptr || version->retired == retired || (retired && adapter->assigned == spec.version)) {
        return false;
    }
    version->retired = retired;
    return true;
}

bool assign(NaiveLog &state, const wire::AssignmentSpec &spec)
{
    NaiveAdapter *adapter = findByName(state.adapters, spec.adapter);
    const NaiveVersion *version = findVersion(adapter, spec.version);
    if (adapter == nullptr || (spec.version != 0 && (version == nullptr || version->retired))) {
        return false;
    }
    adapter->assigned = spec.version;
    return true;
}

bool deleteAdapter(NaiveLog &state, const std::string &name)
{
    const NaiveAdapter *adapter = findByName(state.adapters, name);
    if (adapter == nullptr) {
        return false;
    }
    state.deleted.push_back(*adapter);
    std::erase_if(state.adapters, [&name](const NaiveAdapter &each) { return each.name == name; });
    return true;
}

bool change(NaiveLog &state, const wire::ConfigChange &change)
{
    if (change.__isset.memberAdd) {
        if (!contains(state.members, change.memberAdd.name)) {
            state.members.push_back(change.memberAdd.name);
        }
        return true;
    }
    if (change.__isset.adapterCreate) {
        const wire::AdapterSpec &spec = change.adapterCreate;
        if (findByName(state.adapters, spec.name) != nullptr || !contains(state.members, spec.member)) {
            return false;
        }
        state.adapters.push_back({spec.name, spec.member, {}, 0});
        return true;
    }
    if (change.__isset.adapterDelete) {
        return deleteAdapter(state, change.adapterDelete);
    }
    if (change.__isset.versionAdd) {
        return addVersion(state, change.versionAdd);
    }
    if (change.__isset.versionRetire) {
        return retire(state, change.versionRetire, true);
    }
    if (change.__isset.versionRestore) {
        return retire(state, change.versionRestore, false);
    }
    if (change.__isset.assign) {
        return assign(state, change.assign);
    }
    if (change.__isset.presetUse) {
        state.preset = change.presetUse;
        return state.preset == "ordinary" || state.preset == "peak" || state.preset == "maintenance";
    }
    return false;
}

void replayClaim(NaiveLog &state, LogOffset offset, const wire::ClaimRecord &record)
{
    for (NaiveClaim &claim : state.claims) {
        if (claim.resource == record.resource) {
            if (claim.offset == record.supersedes) {
                claim = {record.resource, record.vm, offset, false};
            }
            return;
        }
    }
    if (record.supersedes == noOffset) {
        state.claims.push_back({record.resource, record.vm, offset, false});
    }
}

} // namespace

NaiveLog replayNaively(NaiveLog state, const wire::StoredRecord &stored)
{
    const wire::LogRecord &record = stored.record;
    if (record.__isset.claim) {
        replayClaim(state, stored.offset, record.claim);
    }
    for (NaiveClaim &claim : state.claims) {
        if (record.__isset.release && claim.resource == record.release.resource
            && claim.offset == record.release.claim) {
            claim.released = true;
        }
    }
    if (!record.__isset.config || record.config.basedOn != state.revision) {
        return state;
    }
    NaiveLog changed = state;
    for (const wire::ConfigChange &each : record.config.changes) {
        if (!change(changed, each)) {
            return state;
        }
    }
    ++changed.revision;
    return changed;
}

} // namespace lacewing
