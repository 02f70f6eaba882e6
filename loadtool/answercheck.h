// Checks an answer token by token against the request it should belong to.
//
// The stand-in engine makes token p of a request as " adapter@version/request-id/p", so every byte of an
// answer can be proved: right adapter, one version throughout, right request, each position once, in order.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace loadtool {

class AnswerCheck
{
public:
    /// @param wantedAdapter adapter, or adapter@version, that was asked for
    /// @param wantedRequest the X-Request-Id that was sent
    AnswerCheck(std::string wantedAdapter, std::string wantedRequest);

    /// @param model adapter@version that the answer claims
    /// @param text the next piece of text, of one or several whole tokens
    /// @return whether all of it is right
    bool accept(std::string_view model, std::string_view text);

    /// @return tokens accepted so far
    std::int64_t tokens() const;

    /// @return adapter@version of the answer; empty before the first token
    const std::string &model() const;

private:
    bool acceptModel(std::string_view model);

    std::string adapter;
    std::string request;
    std::string version; ///< adapter@version, fixed by the first token
    std::int64_t position = 0;
};

} // namespace loadtool
