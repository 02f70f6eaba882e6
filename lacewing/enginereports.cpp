// A report is taken whole or not at all: a field of the wrong type means that the endpoint speaks some
// other protocol, and a guess would mislead routing.

#include "enginereports.h"

#include <nlohmann/json.hpp>

#include "boundedjson.h"
#include "callerrequest.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

bool readCount(const Json &json, const char *name, std::int32_t &count)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number_integer()) {
        return false;
    }
    count = found->get<std::int32_t>();
    return count >= 0;
}

bool readResident(const Json &json, std::vector<AdapterVersion> &resident)
{
    const auto adapters = json.find("adapters");
    if (adapters == json.end() || !adapters->is_array()) {
        return false;
    }
    for (const Json &each : *adapters) {
        AdapterName name;
        std::int32_t version = 0;
        if (!each.is_string() || !parseModelName(each.get_ref<const std::string &>(), name, version)) {
            return false;
        }
        resident.push_back(makeAdapterVersion(name, version));
    }
    return true;
}

} // namespace

bool readLoadReport(std::string_view body, EndpointReported &report)
{
    const Json json = parseBoundedJson(body);
    if (!json.is_object()) {
        return false;
    }
    const auto incarnation = json.find("incarnation");
    if (incarnation != json.end() && incarnation->is_string()) {
        report.incarnation = incarnation->get<std::string>();
    }
    return readCount(json, "running", report.running) && readCount(json, "waiting", report.waiting)
        && readResident(json, report.resident);
}

bool readCacheEvents(std::string_view body, std::int64_t &next, std::vector<CacheReported> &reports)
{
    const Json json = parseBoundedJson(body);
    if (!json.is_object() || !json.contains("next") || !json["next"].is_number_integer() || !json.contains("events")
        || !json["events"].is_array()) {
        return false;
    }
    for (const Json &event : json["events"]) {
        const bool whole = event.is_object() && event.contains("hash") && event["hash"].is_number_integer()
            && event.contains("stored") && event["stored"].is_boolean();
        if (!whole) {
            return false;
        }
        CacheReported report;
        report.prefixHash = event["hash"].get<std::int64_t>();
        report.stored = event["stored"].get<bool>();
        reports.push_back(std::move(report));
    }
    next = json["next"].get<std::int64_t>();
    return true;
}

bool saysLeaving(int status, std::string_view body)
{
    constexpr int unavailable = 503;
    if (status != unavailable) {
        return false;
    }
    const Json json = parseBoundedJson(body);
    if (!json.is_object()) {
        return false;
    }
    if (json.contains("status")) {
        return json["status"] == "leaving";
    }
    return json.contains("error") && json["error"].is_object() && json["error"].contains("code")
        && json["error"]["code"] == "leaving";
}

} // namespace lacewing
