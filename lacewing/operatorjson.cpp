// The descriptions are built as JSON documents and written once. Only adapters can be many; they are paged by
// hash bucket, since sorting 140,000 names on the runtime's thread would hold up requests.

#include "operatorjson.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "blackboard.h"
#include "changejson.h"

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

bool readCount(std::string_view text, std::size_t &value)
{
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc {} && rest == end;
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
    constexpr bool throwing = false;
    const Json document = Json::parse(body, nullptr, throwing);
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
    Json changes = Json::array();
    for (const wire::ConfigChange &one : change.changes) {
        changes.push_back(writeChangeJson(one));
    }
    return dump({{"based_on", change.basedOn},
                 {"author", change.author},
                 {"note", change.note},
                 {"changes", std::move(changes)}});
}

bool readAdapterQuery(std::string_view query, AdapterQuery &adapterQuery)
{
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        query.remove_prefix(part.size() < query.size() ? part.size() + 1 : part.size());
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos) {
            return false;
        }
        const std::string_view name = part.substr(0, equals);
        const std::string_view value = part.substr(equals + 1);
        if (name == "name") {
            adapterQuery.name = value;
            continue;
        }
        std::size_t number = 0;
        if (!readCount(value, number)) {
            return false;
        }
        if (name == "bucket") {
            adapterQuery.bucket = number;
        } else if (name == "buckets") {
            adapterQuery.buckets = number;
        } else if (name == "most" && number > 0 && number <= mostAdaptersPerPage) {
            adapterQuery.most = number;
        } else {
            return false;
        }
    }
    return true;
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

std::string describeRevision(const Blackboard &blackboard)
{
    return dump({{"vm", blackboard.settings.vm},
                 {"zone", blackboard.settings.zone},
                 {"revision", blackboard.config.revision},
                 {"preset", blackboard.config.presetInForce}});
}

std::string describeHistory(const Blackboard &blackboard)
{
    return dump({{"revision", blackboard.config.revision}, {"history", Json::array()}});
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
