// The descriptions are built as JSON documents and written once. Only adapters can be many; they are paged by
// hash bucket, since sorting 140,000 names on the runtime's thread would hold up requests.

#include "operatorjson.h"

#include <charconv>
#include <span>

#include <nlohmann/json.hpp>

#include "blackboard.h"
#include "boundedjson.h"
#include "changejson.h"
#include "configreplay.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t mostAdaptersPerPage = 5000;
constexpr std::size_t longestText = 1024;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool readText(const Json &document, const char *name, std::string &text)
{
    const auto field = document.find(name);
    if (field == document.end()) {
        return true;
    }
    if (!field->is_string() || field->get_ref<const std::string &>().size() > longestText) {
        return false;
    }
    text = field->get<std::string>();
    return true;
}

template<typename Number>
bool readNumber(std::string_view text, Number &value)
{
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc {} && rest == end;
}

Json writeChanges(std::span<const wire::ConfigChange> changes)
{
    Json list = Json::array();
    for (const wire::ConfigChange &change : changes) {
        list.push_back(writeChangeJson(change));
    }
    return list;
}

/// Calls take(name, value) for each part of a query until it returns false.
template<typename Take>
bool readQuery(std::string_view query, Take take)
{
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        query.remove_prefix(part.size() < query.size() ? part.size() + 1 : part.size());
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos || !take(part.substr(0, equals), part.substr(equals + 1))) {
            return false;
        }
    }
    return true;
}

Json describeAdapter(const AdapterName &name, const AdapterInfo &info)
{
    Json versions = Json::array();
    for (const auto &[number, version] : info.versions) {
        versions.push_back({{"version", number}, {"source", version.source}, {"retired", version.retired}});
    }
    return {{"name", name},
            {"member", info.member},
            {"base_model", info.baseModel},
            {"assigned", info.assignedVersion},
            {"versions", std::move(versions)}};
}

Json describeOwnedEndpoint(const OwnedEndpoint &owned)
{
    Json adapters = Json::array();
    for (const auto &[adapter, slot] : owned.slots) {
        adapters.push_back({{"adapter", toString(adapter)}, {"serving", slot.serving}});
    }
    return {{"queued", owned.queued.size()},
            {"running", owned.running.size()},
            {"healthy", owned.healthy},
            {"leaving", owned.leaving},
            {"adapters", std::move(adapters)}};
}

} // namespace

std::string readChange(std::string_view body, wire::ConfigRecord &change)
{
    const Json document = parseBoundedJson(body);
    if (!document.is_object()) {
        return "the body is not a JSON object";
    }
    const auto basedOn = document.find("based_on");
    const auto changes = document.find("changes");
    if (basedOn == document.end() || !basedOn->is_number_integer()) {
        return "based_on is missing or not a whole number";
    }
    if (changes == document.end() || !changes->is_array() || changes->empty()) {
        return "changes is missing, empty or not a list";
    }
    if (changes->size() > mostChangesPerRecord) {
        return "more than " + std::to_string(mostChangesPerRecord) + " changes in one submission";
    }
    if (!readText(document, "author", change.author) || !readText(document, "note", change.note)) {
        return "author or note is malformed";
    }
    change.basedOn = basedOn->get<std::int64_t>();
    for (std::size_t index = 0; index < changes->size(); ++index) {
        const std::string fault = readChangeJson((*changes)[index], change.changes.emplace_back());
        if (!fault.empty()) {
            return "change " + std::to_string(index + 1) + ": " + fault;
        }
    }
    return "";
}

std::string writeChange(const wire::ConfigRecord &change)
{
    return dump({{"based_on", change.basedOn},
                 {"author", change.author},
                 {"note", change.note},
                 {"changes", writeChanges(change.changes)}});
}

bool readAdapterQuery(std::string_view query, AdapterQuery &adapterQuery)
{
    const auto take = [&adapterQuery](std::string_view name, std::string_view value) {
        if (name == "name") {
            adapterQuery.name = value;
            return true;
        }
        if (name == "bucket") {
            return readNumber(value, adapterQuery.bucket);
        }
        if (name == "buckets") {
            return readNumber(value, adapterQuery.buckets);
        }
        const bool good = name == "most" && readNumber(value, adapterQuery.most);
        return good && adapterQuery.most > 0 && adapterQuery.most <= mostAdaptersPerPage;
    };
    return readQuery(query, take);
}

bool readRevisionQuery(std::string_view query, RevisionQuery &revisionQuery)
{
    const auto take = [&revisionQuery](std::string_view name, std::string_view value) {
        if (name == "after" || name == "to") {
            return readNumber(value, revisionQuery.after);
        }
        return name == "through" && readNumber(value, revisionQuery.through);
    };
    return readQuery(query, take);
}

std::string describeStatus(const Blackboard &blackboard, TimePoint now)
{
    Json endpoints = Json::object();
    for (const auto &[name, spec] : blackboard.config.endpoints) {
        Json endpoint {{"zone", spec.zone}, {"draining", spec.draining}};
        const auto owned = blackboard.owner.endpoints.find(name);
        const auto claim = blackboard.claims.current.find(endpointResource(name));
        const bool claimed = claim != blackboard.claims.current.end() && !claim->second.released;
        endpoint["owner"] = claimed ? Json(claim->second.vm) : Json();
        if (owned != blackboard.owner.endpoints.end()) {
            endpoint["owned_here"] = describeOwnedEndpoint(owned->second);
        }
        endpoints[name] = std::move(endpoint);
    }
    constexpr double microsecondsPerSecond = 1e6;
    Json heard = Json::object();
    for (const auto &[vm, state] : blackboard.membership.heard) {
        const double age = static_cast<double>((now - state.lastHeard).count()) / microsecondsPerSecond;
        heard[vm] = {{"seconds_ago", age}, {"leaving", state.leaving}, {"applied_offset", state.appliedOffset}};
    }
    return dump({{"vm", blackboard.settings.vm},
                 {"zone", blackboard.settings.zone},
                 {"revision", blackboard.config.revision},
                 {"applied_offset", blackboard.config.appliedOffset},
                 {"preset", blackboard.config.presetInForce},
                 {"stopping", blackboard.stopping},
                 {"open_requests", blackboard.entry.requests.size()},
                 {"members", blackboard.config.members.size()},
                 {"adapters", blackboard.config.adapters.size()},
                 {"endpoints", std::move(endpoints)},
                 {"heard", std::move(heard)}});
}

std::string describeObstacle(const Blackboard &blackboard)
{
    if (blackboard.stopping) {
        return "shutting down";
    }
    return blackboard.log.hasCaughtUp || blackboard.config.revision > 0 ? "" : "the configuration was not read yet";
}

std::string describeRevision(const Blackboard &blackboard)
{
    return dump({{"vm", blackboard.settings.vm},
                 {"zone", blackboard.settings.zone},
                 {"revision", blackboard.config.revision},
                 {"preset", blackboard.config.presetInForce}});
}

std::string describeHistory(const Blackboard &blackboard)
{
    Json history = Json::array();
    for (const wire::RevisionEntry &entry : blackboard.config.history) {
        history.push_back({{"revision", entry.revision},
                           {"offset", entry.offset},
                           {"author", entry.author},
                           {"note", entry.note},
                           {"changes", entry.changes.size()}});
    }
    return dump({{"revision", blackboard.config.revision}, {"history", std::move(history)}});
}

std::string describeRevisions(const Blackboard &blackboard, const RevisionQuery &query)
{
    Json revisions = Json::array();
    for (const wire::RevisionEntry &entry : blackboard.config.history) {
        const bool wanted = entry.revision > query.after && entry.revision <= query.through;
        if (!wanted || revisions.size() >= mostRevisionsDescribed) {
            continue;
        }
        revisions.push_back({{"revision", entry.revision},
                             {"author", entry.author},
                             {"note", entry.note},
                             {"kept", !entry.changes.empty()},
                             {"changes", writeChanges(entry.changes)}});
    }
    return dump({{"revision", blackboard.config.revision}, {"revisions", std::move(revisions)}});
}

std::string describeRollback(const Blackboard &blackboard, std::int64_t revision)
{
    std::vector<wire::ConfigChange> changes;
    if (rollbackChanges(blackboard.config, revision, changes) != ResultCode::Ok) {
        return "";
    }
    return dump({{"revision", blackboard.config.revision}, {"changes", writeChanges(changes)}});
}

std::string describeMembers(const Blackboard &blackboard)
{
    Json members = Json::array();
    for (const auto &[name, spec] : blackboard.config.members) {
        members.push_back({{"name", name}, {"max_in_flight", spec.maxInFlight}});
    }
    return dump({{"revision", blackboard.config.revision}, {"members", std::move(members)}});
}

std::string describeEndpoints(const Blackboard &blackboard)
{
    Json endpoints = Json::array();
    for (const auto &[name, spec] : blackboard.config.endpoints) {
        endpoints.push_back(writeEndpointJson(spec));
    }
    return dump({{"revision", blackboard.config.revision}, {"endpoints", std::move(endpoints)}});
}

std::string describePresets(const Blackboard &blackboard)
{
    Json presets = Json::array();
    for (const auto &[name, spec] : blackboard.config.presets) {
        presets.push_back(writePresetJson(spec));
    }
    return dump({{"revision", blackboard.config.revision},
                 {"in_force", blackboard.config.presetInForce},
                 {"presets", std::move(presets)}});
}

std::string describeAdapters(const Blackboard &blackboard, const AdapterQuery &query)
{
    const auto &adapters = blackboard.config.adapters;
    Json page {{"revision", blackboard.config.revision}, {"buckets", adapters.bucket_count()}};
    Json list = Json::array();
    std::size_t bucket = query.bucket;
    if (!query.name.empty()) {
        const auto found = adapters.find(query.name);
        if (found != adapters.end()) {
            list.push_back(describeAdapter(found->first, found->second));
        }
        bucket = adapters.bucket_count();
    } else if (query.buckets != 0 && query.buckets != adapters.bucket_count()) {
        page["restart"] = true;
    } else {
        for (; bucket < adapters.bucket_count() && list.size() < query.most; ++bucket) {
            for (auto adapter = adapters.begin(bucket); adapter != adapters.end(bucket); ++adapter) {
                list.push_back(describeAdapter(adapter->first, adapter->second));
            }
        }
    }
    page["next_bucket"] = bucket < adapters.bucket_count() ? Json(bucket) : Json();
    page["adapters"] = std::move(list);
    return dump(page);
}

} // namespace lacewing
