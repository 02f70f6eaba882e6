// Names of weights: a model by its own name, an adapter as MODEL/ADAPTER.

#pragma once

#include <string>
#include <string_view>

namespace lacewing {

/// @param weights name
/// @return whether they are an adapter
bool isAdapter(std::string_view weights);

/// @param weights name
/// @return the model, or the model of the adapter
std::string modelOf(std::string_view weights);

/// @param weights name
/// @return the adapter without its model; empty for a model
std::string adapterOf(std::string_view weights);

} // namespace lacewing
