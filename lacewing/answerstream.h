// The answer to one caller's request while it passes through the entry VM: which frames belong to it,
// what of it waits to be written to the caller, and how much the sender may still send.
//
// The runtime calls beginAttempt(), takeData(), takeEnd() and finish() as attempts come and go; the
// caller's session waits for wake() and takes output with takeOutput().

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "action.h"
#include "answerformat.h"
#include "types.h"

namespace lacewing {

enum class AnswerKind {
    EventStream, ///< a model's answer, as server-sent events
    Whole, ///< a model's answer, as one JSON document
    Service, ///< head and bytes of a plain service, unchanged
};

enum class FrameVerdict {
    Accepted,
    Late, ///< of another attempt, or data that was had before: dropped
    Gap, ///< data before it is missing: the attempt is of no more use
    TooLarge, ///< the assembled answer exceeds its bound
};

class AnswerStream
{
public:
    /// @param answerKind how the caller wants the answer
    /// @param answerFormat text parts of a model's answer; unused for services
    /// @param largestWhole bound on an answer that is assembled, in bytes
    AnswerStream(AnswerKind answerKind, AnswerFormat answerFormat, std::size_t largestWhole);

    /// From here on only this attempt's frames are taken.
    /// @param attempt the new attempt
    void beginAttempt(const AttemptId &attempt);

    /// From here on no frame of this attempt is taken.
    /// @param attempt that was cancelled
    void cancelAttempt(const AttemptId &attempt);

    /// @param frame data of some attempt
    /// @return what became of it
    FrameVerdict takeData(wire::DataFrame &frame);

    /// Checks an attempt's end against what was received.
    /// @param attempt the attempt that ended
    /// @param result how it ended; an end that leaves the answer short becomes Broken or Unknown
    /// @return false if the end is of another attempt and is dropped
    bool takeEnd(const AttemptId &attempt, wire::AttemptResult &result);

    /// The request is over; the session writes what is left and then the end or the error.
    /// @param end why it ended
    void finish(const FinishRequest &end);

    /// @return output not taken yet, and counts it as consumed
    std::string takeOutput();

    /// @return bytes consumed since the last call, to be given back as credit; 0 until it is worth a frame
    std::int64_t takeCredit();

    /// @return the attempt in progress, if any
    const std::optional<AttemptId> &currentAttempt() const;
    /// @return tokens or bytes received so far
    std::int64_t position() const;
    /// @return whether the caller has been or is about to be sent something of the answer
    bool begun() const;
    /// @return whether there is something to take
    bool hasOutput() const;
    /// @return the end, once known
    const std::optional<FinishRequest> &end() const;
    /// @return the head of a service's answer, once it came
    const std::optional<wire::HttpHead> &head() const;
    /// @return format of a model's answer
    const AnswerFormat &format() const;
    /// @return how the caller wants the answer
    AnswerKind kind() const;

    /// Called whenever there is something new for the session.
    std::function<void()> wake;

private:
    void append(wire::DataFrame &frame);

    AnswerKind answerKind;
    AnswerFormat answerFormat;
    std::size_t largestWhole;
    std::optional<AttemptId> attempt;
    std::int64_t next = 0; ///< position expected
    std::string output;
    std::int64_t waitingBytes = 0; ///< of data frames, in the output
    std::int64_t owedCredit = 0; ///< consumed, not given back yet
    std::optional<FinishRequest> finished;
    std::optional<wire::HttpHead> serviceHead;
};

} // namespace lacewing
