// One change of configuration: validated against the configuration, then made, with a way to undo it.
// Used by configreplay.cpp only; all others go through applyConfigRecord().

#pragma once

#include <string>

#include "types.h"

namespace lacewing {

struct ConfigEdit;

/// @param edit its configuration is changed if the change is valid
/// @param change exactly one field set
/// @return empty if made, else why it is invalid
std::string applyChange(ConfigEdit &edit, const wire::ConfigChange &change);

} // namespace lacewing
