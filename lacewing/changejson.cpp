// Each Thrift struct has one function that names its fields to a visitor; reading and writing are two
// visitors, so that the names stand once. Unknown fields are refused: a misspelt one must not be dropped.

#include "changejson.h"

#include <cstdint>
#include <limits>
#include <vector>

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t longestText = 1024;

/// Takes fields out of a JSON object; the first fault is kept.
class Reader
{
public:
    explicit Reader(const Json &object) : json(object)
    {
    }

    template<typename Value>
    void required(const char *name, Value &value)
    {
        this->read(name, value, true);
    }

    template<typename Value>
    void optional(const char *name, Value &value)
    {
        this->read(name, value, false);
    }

    std::string finish() const
    {
        if (this->fault.empty() && this->found != this->json.size()) {
            return "holds an unknown field";
        }
        return this->fault;
    }

private:
    template<typename Value>
    void read(const char *name, Value &value, bool needed)
    {
        const auto field = this->json.find(name);
        const bool present = field != this->json.end();
        this->found += present ? 1 : 0;
        const bool good = present ? convert(*field, value) : !needed;
        if (!good && this->fault.empty()) {
            this->fault = std::string("field ") + name + (present ? " is malformed" : " is missing");
        }
    }

    static bool convert(const Json &field, std::string &value)
    {
        if (!field.is_string() || field.get_ref<const std::string &>().size() > longestText) {
            return false;
        }
        value = field.get<std::string>();
        return true;
    }

    static bool convert(const Json &field, std::int32_t &value)
    {
        const bool whole = field.is_number_integer();
        const auto number = whole ? field.get<std::int64_t>() : 0;
        value = static_cast<std::int32_t>(number);
        return whole && number >= 0 && number <= std::numeric_limits<std::int32_t>::max();
    }

    static bool convert(const Json &field, double &value)
    {
        value = field.is_number() ? field.get<double>() : 0;
        return field.is_number();
    }

    static bool convert(const Json &field, bool &value)
    {
        value = field.is_boolean() && field.get<bool>();
        return field.is_boolean();
    }

    const Json &json;
    std::size_t found = 0;
    std::string fault;
};

class Writer
{
public:
    template<typename Value>
    void required(const char *name, const Value &value)
    {
        this->json[name] = value;
    }

    template<typename Value>
    void optional(const char *name, const Value &value)
    {
        this->json[name] = value;
    }

    Json json = Json::object();
};

template<typename Visitor, typename Spec>
void visitMember(Visitor &visitor, Spec &spec)
{
    visitor.required("name", spec.name);
    visitor.required("key_hash", spec.keyHash);
    visitor.optional("max_in_flight", spec.maxInFlight);
}

template<typename Visitor, typename Spec>
void visitAdapter(Visitor &visitor, Spec &spec)
{
    visitor.required("name", spec.name);
    visitor.required("member", spec.member);
    visitor.required("base_model", spec.baseModel);
}

template<typename Visitor, typename Spec>
void visitVersion(Visitor &visitor, Spec &spec)
{
    visitor.required("adapter", spec.adapter);
    visitor.required("version", spec.version);
    visitor.optional("source", spec.source);
}

template<typename Visitor, typename Spec>
void visitAssignment(Visitor &visitor, Spec &spec)
{
    visitor.required("adapter", spec.adapter);
    visitor.required("version", spec.version);
}

template<typename Visitor, typename Spec>
void visitEndpoint(Visitor &visitor, Spec &spec)
{
    visitor.required("name", spec.name);
    visitor.required("zone", spec.zone);
    visitor.required("address", spec.address);
    visitor.optional("base_model", spec.baseModel);
    visitor.optional("service", spec.serviceName);
    visitor.optional("member", spec.member);
    visitor.optional("checks_fencing", spec.checksFencing);
    visitor.optional("adapter_slots", spec.adapterSlots);
    visitor.optional("max_running", spec.maxRunning);
    visitor.optional("draining", spec.draining);
}

template<typename Visitor, typename Spec>
void visitPreset(Visitor &visitor, Spec &spec)
{
    visitor.required("name", spec.name);
    visitor.optional("urgent_reserve", spec.urgentReserve);
    visitor.optional("gather_ms", spec.gatherMilliseconds);
    visitor.optional("loads_per_second", spec.loadsPerSecond);
    visitor.optional("stall_weight", spec.stallWeight);
    visitor.optional("batch_weight", spec.batchWeight);
    visitor.optional("accept_patient", spec.acceptPatient);
}

/// Changes that only name a thing: {"name":"…"}.
template<typename Visitor, typename Text>
void visitName(Visitor &visitor, Text &name)
{
    visitor.required("name", name);
}

/// Calls visit(kind, field, isset, setter, visitFields) for each kind of change until it returns true.
template<typename Change, typename Visit>
bool visitKinds(Change &change, Visit visit)
{
    const auto member = [](auto &visitor, auto &spec) { visitMember(visitor, spec); };
    const auto adapter = [](auto &visitor, auto &spec) { visitAdapter(visitor, spec); };
    const auto versionFields = [](auto &visitor, auto &spec) { visitVersion(visitor, spec); };
    const auto assignment = [](auto &visitor, auto &spec) { visitAssignment(visitor, spec); };
    const auto endpoint = [](auto &visitor, auto &spec) { visitEndpoint(visitor, spec); };
    const auto preset = [](auto &visitor, auto &spec) { visitPreset(visitor, spec); };
    const auto name = [](auto &visitor, auto &spec) { visitName(visitor, spec); };
    const auto &isset = change.__isset;
    using Set = wire::ConfigChange;
    return visit("member_add", change.memberAdd, isset.memberAdd, &Set::__set_memberAdd, member)
        || visit("adapter_create", change.adapterCreate, isset.adapterCreate, &Set::__set_adapterCreate, adapter)
        || visit("adapter_delete", change.adapterDelete, isset.adapterDelete, &Set::__set_adapterDelete, name)
        || visit("version_add", change.versionAdd, isset.versionAdd, &Set::__set_versionAdd, versionFields)
        || visit("version_retire", change.versionRetire, isset.versionRetire, &Set::__set_versionRetire, versionFields)
        || visit("assign", change.assign, isset.assign, &Set::__set_assign, assignment)
        || visit("endpoint_add", change.endpointAdd, isset.endpointAdd, &Set::__set_endpointAdd, endpoint)
        || visit("endpoint_drain", change.endpointDrain, isset.endpointDrain, &Set::__set_endpointDrain, name)
        || visit("preset_define", change.presetDefine, isset.presetDefine, &Set::__set_presetDefine, preset)
        || visit("preset_use", change.presetUse, isset.presetUse, &Set::__set_presetUse, name)
        || visit("member_remove", change.memberRemove, isset.memberRemove, &Set::__set_memberRemove, name)
        || visit("endpoint_remove", change.endpointRemove, isset.endpointRemove, &Set::__set_endpointRemove, name)
        || visit("version_restore", change.versionRestore, isset.versionRestore, &Set::__set_versionRestore,
                 versionFields)
        || visit("preset_remove", change.presetRemove, isset.presetRemove, &Set::__set_presetRemove, name);
}

} // namespace

std::string readChangeJson(const Json &json, wire::ConfigChange &change)
{
    if (!json.is_object() || json.size() != 1 || !json.begin().value().is_object()) {
        return "is not an object with exactly one change";
    }
    const std::string &kind = json.begin().key();
    std::string fault = "'" + kind.substr(0, longestText) + "' is not a known change";
    visitKinds(change, [&](const char *name, auto &spec, bool, auto setter, const auto &visitFields) {
        if (kind != name) {
            return false;
        }
        Reader reader(json.begin().value());
        visitFields(reader, spec);
        fault = reader.finish();
        (change.*setter)(spec);
        return true;
    });
    return fault;
}

Json writeChangeJson(const wire::ConfigChange &change)
{
    Json json = Json::object();
    visitKinds(change, [&](const char *name, const auto &spec, bool isset, auto, const auto &visitFields) {
        if (!isset) {
            return false;
        }
        Writer writer;
        visitFields(writer, spec);
        json[name] = writer.json;
        return true;
    });
    return json;
}

Json writeEndpointJson(const wire::EndpointSpec &endpoint)
{
    Writer writer;
    visitEndpoint(writer, endpoint);
    return writer.json;
}

Json writePresetJson(const wire::PresetSpec &preset)
{
    Writer writer;
    visitPreset(writer, preset);
    return writer.json;
}

} // namespace lacewing
