// JSON of one configuration change, both ways, from one table of field names. Used by the operator face and
// by lacewingctl.

#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace lacewing {

/// @param json {"adapter_create":{…}} or another of the changes of wire::ConfigChange
/// @param change filled on success
/// @return what is wrong; empty if nothing is
std::string readChangeJson(const nlohmann::json &json, wire::ConfigChange &change);

/// @param change with exactly one field set
/// @return the JSON that readChangeJson() reads
nlohmann::json writeChangeJson(const wire::ConfigChange &change);

/// @param endpoint to describe
/// @return its fields
nlohmann::json writeEndpointJson(const wire::EndpointSpec &endpoint);

/// @param preset to describe
/// @return its fields
nlohmann::json writePresetJson(const wire::PresetSpec &preset);

} // namespace lacewing
