// A nonce is the writer's name, its incarnation and a counter: unique without randomness, so that the
// same events give the same actions.

#include "appends.h"

#include <utility>

#include "blackboard.h"

namespace lacewing {

namespace {

std::string makeNonce(Blackboard &blackboard)
{
    const CoreSettings &settings = blackboard.settings;
    const std::string counter = std::to_string(blackboard.appends.nextNonce++);
    return settings.vm + "/" + std::to_string(settings.incarnation) + "/" + counter;
}

void answer(const Blackboard &blackboard, std::int64_t token, const ReplayVerdict &verdict, Actions &actions)
{
    AnswerOperator reply;
    reply.token = token;
    reply.code = verdict.code;
    reply.revision = blackboard.config.revision;
    reply.message = verdict.reason;
    actions.emplace_back(std::move(reply));
}

} // namespace

std::string requestAppend(Blackboard &blackboard, wire::LogRecord record, TimePoint now, Actions &actions)
{
    record.nonce = makeNonce(blackboard);
    record.writer = blackboard.settings.vm;
    std::string nonce = record.nonce;
    PendingAppend pending;
    pending.sent = now;
    blackboard.appends.pending.emplace(nonce, pending);
    actions.emplace_back(AppendRecord {std::move(record)});
    return nonce;
}

void submitChange(Blackboard &blackboard, const ChangeSubmitted &change, TimePoint now, Actions &actions)
{
    wire::LogRecord record;
    record.__set_config(change.change);
    const std::string nonce = requestAppend(blackboard, std::move(record), now, actions);
    PendingAppend &pending = blackboard.appends.pending[nonce];
    pending.fromOperator = true;
    pending.operatorToken = change.token;
}

void settleReplayed(Blackboard &blackboard, std::string_view nonce, const ReplayVerdict &verdict, Actions &actions)
{
    const auto pending = blackboard.appends.pending.find(std::string(nonce));
    if (pending == blackboard.appends.pending.end()) {
        return;
    }
    if (pending->second.fromOperator) {
        answer(blackboard, pending->second.operatorToken, verdict, actions);
    }
    blackboard.appends.pending.erase(pending);
}

void settleFromHistory(Blackboard &blackboard, Actions &actions)
{
    for (const wire::RevisionEntry &entry : blackboard.config.history) {
        const auto pending = blackboard.appends.pending.find(entry.nonce);
        if (pending == blackboard.appends.pending.end()) {
            continue;
        }
        if (pending->second.fromOperator) {
            AnswerOperator reply;
            reply.token = pending->second.operatorToken;
            reply.revision = entry.revision;
            actions.emplace_back(std::move(reply));
        }
        blackboard.appends.pending.erase(pending);
    }
}

bool isAppendPending(const Blackboard &blackboard, std::string_view nonce)
{
    return blackboard.appends.pending.contains(std::string(nonce));
}

} // namespace lacewing
