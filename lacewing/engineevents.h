// Reading an engine's stream of server-sent events into tokens.
//
//   EngineEventReader reader;
//   reader.push(bytes, [](const EngineEvent &event) { ... });

#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "sizes.h"

namespace lacewing {

enum class EngineEventKind {
    Token, ///< text of one token
    Done, ///< the explicit end of the answer
    Error, ///< the engine broke off with an error
    Malformed, ///< not what an engine may send; the stream is of no more use
};

struct EngineEvent {
    EngineEventKind kind = EngineEventKind::Malformed;
    std::string text; ///< of a token, or the message of an error
};

class EngineEventReader
{
public:
    /// @param bytes next part of the stream, cut anywhere
    /// @param take called for each event that became whole, in order
    void push(std::string_view bytes, const std::function<void(const EngineEvent &)> &take);

    /// Longest line accepted: bounds the memory of a stream whose line never ends.
    static constexpr std::size_t longestLine = 256 * kibibyte;

private:
    void takeLine(std::string_view line, const std::function<void(const EngineEvent &)> &take);

    std::string partial; ///< a line whose end has not come yet
    bool failed = false; ///< nothing after a malformed event is read
};

/// @param data what follows "data:" in one event of a completions or chat stream
/// @param event filled in if the event matters
/// @return false for an event without text, such as the one that names the role
bool readEngineEvent(std::string_view data, EngineEvent &event);

} // namespace lacewing
