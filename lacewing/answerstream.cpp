// Invariants: the caller gets positions 0, 1, 2, ... each once, whatever attempts come and go; and an
// attempt counts as completed only if its end names exactly the position reached, so that an answer is
// never short without an error. Credit is given back in steps, so that one credit frame pays for many
// data frames.

#include "answerstream.h"

#include <utility>

#include "relaycredit.h"
#include "resultcode.h"

namespace lacewing {

AnswerStream::AnswerStream(AnswerKind kindWanted, AnswerFormat formatWanted, std::size_t largest)
    : answerKind(kindWanted), answerFormat(std::move(formatWanted)), largestWhole(largest)
{
}

void AnswerStream::beginAttempt(const AttemptId &id)
{
    this->attempt = id;
    this->owedCredit = 0;
    this->waitingBytes = 0;
}

void AnswerStream::cancelAttempt(const AttemptId &id)
{
    if (this->attempt && *this->attempt == id) {
        this->attempt.reset();
    }
}

FrameVerdict AnswerStream::takeData(wire::DataFrame &frame)
{
    if (!this->attempt || !(frame.attempt == *this->attempt) || this->finished) {
        return FrameVerdict::Late;
    }
    if (frame.position < this->next) {
        return FrameVerdict::Late;
    }
    if (frame.position > this->next) {
        return FrameVerdict::Gap;
    }
    if (this->answerKind == AnswerKind::Whole && this->output.size() + frame.bytes.size() > this->largestWhole) {
        return FrameVerdict::TooLarge;
    }
    this->append(frame);
    if (this->answerKind != AnswerKind::Whole && this->wake) {
        this->wake();
    }
    return FrameVerdict::Accepted;
}

void AnswerStream::append(wire::DataFrame &frame)
{
    const auto size = static_cast<std::int64_t>(frame.bytes.size());
    const std::int64_t cost = dataCost(frame);
    switch (this->answerKind) {
    case AnswerKind::EventStream:
        appendTokenEvent(this->answerFormat, frame.bytes, this->output);
        this->waitingBytes += cost;
        this->next += 1;
        break;
    case AnswerKind::Whole:
        this->output += frame.bytes;
        this->owedCredit += cost;
        this->next += 1;
        break;
    case AnswerKind::Service:
        if (frame.__isset.head && !this->serviceHead) {
            this->serviceHead = std::move(frame.head);
        }
        this->output += frame.bytes;
        this->waitingBytes += cost;
        this->next += size;
        break;
    }
}

bool AnswerStream::takeEnd(const AttemptId &id, wire::AttemptResult &result)
{
    if (!this->attempt || !(id == *this->attempt) || this->finished) {
        return false;
    }
    const bool completed = result.outcome == AttemptOutcome::Completed;
    const bool service = this->answerKind == AnswerKind::Service;
    const bool headMissing = service && !this->serviceHead;
    if (completed && (result.position != this->next || headMissing)) {
        result.outcome = service ? AttemptOutcome::Unknown : AttemptOutcome::Broken;
        result.code = static_cast<std::int32_t>(ResultCode::StreamBroken);
    }
    result.position = this->next;
    this->attempt.reset();
    return true;
}

void AnswerStream::finish(const FinishRequest &end)
{
    this->finished = end;
    this->attempt.reset();
    if (this->wake) {
        this->wake();
    }
}

std::string AnswerStream::takeOutput()
{
    this->owedCredit += this->waitingBytes;
    this->waitingBytes = 0;
    return std::exchange(this->output, {});
}

std::int64_t AnswerStream::takeCredit()
{
    return this->owedCredit < creditStep ? 0 : std::exchange(this->owedCredit, 0);
}

const std::optional<AttemptId> &AnswerStream::currentAttempt() const
{
    return this->attempt;
}

std::int64_t AnswerStream::position() const
{
    return this->next;
}

bool AnswerStream::begun() const
{
    return this->next > 0 || this->serviceHead.has_value();
}

bool AnswerStream::hasOutput() const
{
    return !this->output.empty();
}

const std::optional<FinishRequest> &AnswerStream::end() const
{
    return this->finished;
}

const std::optional<wire::HttpHead> &AnswerStream::head() const
{
    return this->serviceHead;
}

const AnswerFormat &AnswerStream::format() const
{
    return this->answerFormat;
}

AnswerKind AnswerStream::kind() const
{
    return this->answerKind;
}

} // namespace lacewing
