// The first slash divides: models have none in their names.

#include "weightsname.h"

namespace lacewing {

namespace {

constexpr char divider = '/';

} // namespace

bool isAdapter(std::string_view weights)
{
    return weights.find(divider) != std::string_view::npos;
}

std::string modelOf(std::string_view weights)
{
    return std::string(weights.substr(0, weights.find(divider)));
}

std::string adapterOf(std::string_view weights)
{
    const std::size_t at = weights.find(divider);
    return at == std::string_view::npos ? std::string() : std::string(weights.substr(at + 1));
}

} // namespace lacewing
