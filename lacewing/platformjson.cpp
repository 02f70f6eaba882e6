// nlohmann-json parses without recursion, so deep nesting is harmless; values are taken out through helpers
// that check the type first, so that nothing throws. Base64 is OpenSSL's.

#include "platformjson.h"

#include <cstdint>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "boundedjson.h"
#include "codec.h"
#include "resultcode.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t longestName = 256;
constexpr std::size_t base64Group = 4;
constexpr std::size_t bytesPerGroup = 3;

const Json *findMember(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() ? &*found : nullptr;
}

std::optional<std::int64_t> readInteger(const Json &object, const char *name)
{
    const Json *value = findMember(object, name);
    const bool small = value != nullptr && value->is_number_integer()
        && (!value->is_number_unsigned() || value->get<std::uint64_t>() <= INT64_MAX);
    return small ? std::optional(value->get<std::int64_t>()) : std::nullopt;
}

std::optional<std::string> readText(const Json &object, const char *name)
{
    const Json *value = findMember(object, name);
    return value != nullptr && value->is_string() ? std::optional(value->get<std::string>()) : std::nullopt;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % base64Group != 0 || text.size() > INT32_MAX) {
        return std::nullopt;
    }
    if (text.empty()) {
        return std::string();
    }
    std::string bytes(text.size() / base64Group * bytesPerGroup, '\0');
    const int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                          reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    const std::size_t padding = (text.ends_with('=') ? 1U : 0U) + (text.ends_with("==") ? 1U : 0U);
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

/// @return the stored record; nothing if the entry is malformed outside of its data
std::optional<wire::StoredRecord> readRecord(const Json &entry)
{
    if (!entry.is_object()) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> offset = readInteger(entry, "offset");
    const std::optional<std::string> data = readText(entry, "data");
    if (!offset || !data) {
        return std::nullopt;
    }
    wire::StoredRecord stored;
    stored.offset = *offset;
    const std::optional<std::string> bytes = decodeBase64(*data);
    if (!bytes || decode(*bytes, stored.record)) {
        stored.record = wire::LogRecord();
    }
    return stored;
}

std::optional<VmListEntry> readVm(const Json &entry)
{
    if (!entry.is_object()) {
        return std::nullopt;
    }
    const std::optional<std::string> name = readText(entry, "name");
    const std::optional<std::string> zone = readText(entry, "zone");
    const Json *leaving = findMember(entry, "leaving");
    if (!name || !zone || name->empty() || name->size() > longestName || zone->size() > longestName) {
        return std::nullopt;
    }
    VmListEntry vm;
    vm.vm = *name;
    vm.zone = *zone;
    vm.address = readText(entry, "address").value_or("");
    vm.leaving = leaving != nullptr && leaving->is_boolean() && leaving->get<bool>();
    return vm;
}

Json parseObject(std::string_view body)
{
    Json document = parseBoundedJson(body);
    return document.is_object() ? std::move(document) : Json::object();
}

} // namespace

std::error_code parseLogPage(std::string_view body, RecordsRead &page)
{
    const Json document = parseObject(body);
    const std::optional<std::int64_t> first = readInteger(document, "first");
    const std::optional<std::int64_t> oldest = readInteger(document, "oldest");
    const std::optional<std::int64_t> end = readInteger(document, "end");
    const Json *records = findMember(document, "records");
    const bool numbered = first && oldest && end && *first >= 0 && *oldest >= 0 && *end >= *oldest;
    if (!numbered || records == nullptr || !records->is_array()) {
        return ResultCode::MalformedRecord;
    }
    RecordsRead read;
    read.firstOffset = *first;
    read.oldestKept = *oldest;
    read.end = *end;
    LogOffset next = *first;
    for (const Json &entry : *records) {
        std::optional<wire::StoredRecord> stored = readRecord(entry);
        if (!stored || stored->offset != next || next >= *end) {
            return ResultCode::MalformedRecord;
        }
        ++next;
        read.records.push_back(std::move(*stored));
    }
    page = std::move(read);
    return {};
}

std::error_code parseVmList(std::string_view body, VmListRead &list)
{
    const Json document = parseObject(body);
    const std::optional<std::int64_t> stamp = readInteger(document, "stamp");
    const Json *vms = findMember(document, "vms");
    if (!stamp || vms == nullptr || !vms->is_array()) {
        return ResultCode::MalformedRecord;
    }
    VmListRead read;
    read.stamp = *stamp;
    for (const Json &entry : *vms) {
        std::optional<VmListEntry> vm = readVm(entry);
        if (!vm) {
            return ResultCode::MalformedRecord;
        }
        read.entries.push_back(std::move(*vm));
    }
    list = std::move(read);
    return {};
}

std::error_code parseAppendAnswer(std::string_view body, LogOffset &offset)
{
    const std::optional<std::int64_t> read = readInteger(parseObject(body), "offset");
    if (!read || *read < 0) {
        return ResultCode::MalformedRecord;
    }
    offset = *read;
    return {};
}

} // namespace lacewing
