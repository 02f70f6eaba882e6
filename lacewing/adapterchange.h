// Changes of adapters, their versions and assignments. Used by configchange.cpp only.

#pragma once

#include <string>

#include "types.h"

namespace lacewing {

struct ConfigEdit;

/// @param edit its configuration is changed if the change is valid
/// @param change sets one of the fields about adapters
/// @return empty if made, else why it is invalid
std::string applyAdapterChange(ConfigEdit &edit, const wire::ConfigChange &change);

} // namespace lacewing
