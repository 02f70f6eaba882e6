// A POST to a plain service is taken as not repeatable unless the caller says otherwise, as HTTP has it;
// a model request is repeatable, since running it again does no harm but cost.

#include "calleradmission.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "callerrequest.h"
#include "configstate.h"
#include "idempotencykey.h"

namespace lacewing {

namespace {

constexpr std::size_t longestKey = 512;

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char letter) { return letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter; };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [lower](char one, char other) { return lower(one) == lower(other); });
}

CallerRefusal refuse(ResultCode code, std::string detail = {})
{
    return {code, std::move(detail)};
}

CallerRefusal readClass(std::string_view text, RequestClass &requestClass)
{
    if (text.empty() || equalIgnoringCase(text, "urgent")) {
        requestClass = RequestClass::Urgent;
        return {};
    }
    if (equalIgnoringCase(text, "patient")) {
        requestClass = RequestClass::Patient;
        return {};
    }
    return refuse(ResultCode::MalformedRequest, "X-Request-Class must be urgent or patient");
}

CallerRefusal readRepeatable(std::string_view text, bool &repeatable)
{
    if (text.empty()) {
        return {};
    }
    if (!equalIgnoringCase(text, "yes") && !equalIgnoringCase(text, "no")) {
        return refuse(ResultCode::MalformedRequest, "X-Repeatable must be yes or no");
    }
    repeatable = equalIgnoringCase(text, "yes");
    return {};
}

} // namespace

CallerRefusal authenticate(const ConfigState &config, std::string_view authorization, MemberName &member)
{
    constexpr std::string_view scheme = "bearer ";
    if (authorization.size() <= scheme.size() || !equalIgnoringCase(authorization.substr(0, scheme.size()), scheme)) {
        return refuse(ResultCode::Unauthenticated, "send Authorization: Bearer KEY");
    }
    const std::string_view key = authorization.substr(scheme.size());
    if (!isPlainToken(key, longestKey)) {
        return refuse(ResultCode::Unauthenticated);
    }
    const std::string hash = sha256Hex(key);
    const auto found = config.memberByKeyHash.find(hash);
    if (found == config.memberByKeyHash.end() || !equalConstantTime(found->first, hash)) {
        return refuse(ResultCode::Unauthenticated);
    }
    member = found->second;
    return {};
}

CallerRefusal readCallerHeaders(const CallerHeaders &headers, bool repeatableByDefault, RequestArrived &arrival)
{
    arrival.repeatable = repeatableByDefault;
    CallerRefusal refusal = readClass(headers.requestClass, arrival.requestClass);
    if (refusal.code == ResultCode::Ok) {
        refusal = readRepeatable(headers.repeatable, arrival.repeatable);
    }
    if (refusal.code != ResultCode::Ok || headers.idempotencyKey.empty()) {
        return refusal;
    }
    if (!isPlainToken(headers.idempotencyKey, longestKey)) {
        return refuse(ResultCode::MalformedRequest, "Idempotency-Key must be up to 512 visible ASCII characters");
    }
    arrival.key = headers.idempotencyKey;
    arrival.keyKind = keyKindOf(arrival.key);
    arrival.repeatable = false;
    return {};
}

CallerRefusal readTimeout(std::string_view text, Duration longest, Duration &timeout)
{
    if (text.empty()) {
        return {};
    }
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc {} || rest != end || count < 1 || count > toMilliseconds(longest)) {
        return refuse(ResultCode::MalformedRequest,
                      "X-Request-Timeout-Ms must be from 1 to " + std::to_string(toMilliseconds(longest)));
    }
    timeout = milliseconds(count);
    return {};
}

CallerRefusal resolveAdapter(const ConfigState &config, const MemberName &member, const AdapterName &adapter,
                             std::int32_t version, AdapterVersion &target)
{
    const auto found = config.adapters.find(adapter);
    if (found == config.adapters.end()) {
        return refuse(ResultCode::UnknownModel);
    }
    const AdapterInfo &info = found->second;
    if (info.member != member) {
        return refuse(ResultCode::NotPermitted);
    }
    const std::int32_t wanted = version == 0 ? info.assignedVersion : version;
    if (wanted == 0) {
        return refuse(ResultCode::UnknownModel, "no version of the adapter is assigned");
    }
    const auto known = info.versions.find(wanted);
    if (known == info.versions.end()) {
        return refuse(ResultCode::UnknownModel, "the adapter has no such version");
    }
    if (known->second.retired) {
        return refuse(ResultCode::UnknownModel, "the version is retired");
    }
    target = makeAdapterVersion(adapter, wanted);
    return {};
}

CallerRefusal resolveService(const ConfigState &config, const MemberName &member, const ServiceName &service)
{
    bool known = false;
    for (const auto &[name, endpoint] : config.endpoints) {
        if (endpoint.serviceName != service) {
            continue;
        }
        if (endpoint.member.empty() || endpoint.member == member) {
            return {};
        }
        known = true;
    }
    return refuse(known ? ResultCode::NotPermitted : ResultCode::UnknownService);
}

std::string modelList(const ConfigState &config, const MemberName &member)
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto &[name, adapter] : config.adapters) {
        if (adapter.member != member) {
            continue;
        }
        nlohmann::json model;
        model["id"] = name;
        model["object"] = "model";
        model["created"] = 0;
        model["owned_by"] = member;
        model["root"] = adapter.baseModel;
        model["assigned_version"] = adapter.assignedVersion;
        models.push_back(std::move(model));
    }
    std::sort(models.begin(), models.end(), [](const auto &left, const auto &right) {
        return left["id"].template get_ref<const std::string &>() < right["id"].template get_ref<const std::string &>();
    });
    nlohmann::json list;
    list["object"] = "list";
    list["data"] = std::move(models);
    return list.dump();
}

bool isIdempotentMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 6> methods {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace lacewing
