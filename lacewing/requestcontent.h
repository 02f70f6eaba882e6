// What an endpoint is given to run, as far as it identifies requests that crash endpoints.

#pragma once

#include <vector>

#include "crashledger.h"

namespace lacewing {

struct RequestContent {
    RequestDigest digest = 0; ///< of the whole request
    std::vector<RequestDigest> parts; ///< of the parts of its prompt that other requests may share
};

/// Requests that were in progress at an endpoint, and the parts of their prompts.
struct ContentInProgress {
    InProgress requests;
    InProgress parts;
};

} // namespace lacewing
