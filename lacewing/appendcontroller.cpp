// Appends end in three ways: replayed (settled by the log controller, which knows the verdict), refused
// (proved not stored), or unknown. An unknown one is not sent again from here: it stays open until its
// nonce is replayed, and an operator who waits for it is told after appendTimeout that the outcome is
// unknown; the history of the configuration names nonces and settles it later.

#include "appendcontroller.h"

#include <utility>

#include "appends.h"
#include "blackboard.h"

namespace lacewing {

namespace {

/// An append that was not replayed for this long is forgotten; nothing waits for it any more.
constexpr Duration forgetAfter = milliseconds(600'000);

/// Bounds the memory of a log outage; the oldest nonces in name order go first.
constexpr std::size_t pendingLimit = 10'000;

using PendingIterator = std::map<std::string, PendingAppend>::iterator;

void answerOperator(Blackboard &blackboard, PendingIterator pending, ResultCode code, std::string_view message,
                    Actions &actions)
{
    if (!pending->second.fromOperator) {
        return;
    }
    AnswerOperator reply;
    reply.token = pending->second.operatorToken;
    reply.code = code;
    reply.revision = blackboard.config.revision;
    reply.message = std::string(message) + ", nonce " + pending->first;
    actions.emplace_back(std::move(reply));
    pending->second.fromOperator = false;
}

void onEnded(Blackboard &blackboard, const AppendEnded &ended, Actions &actions)
{
    const auto pending = blackboard.appends.pending.find(ended.nonce);
    if (pending == blackboard.appends.pending.end()) {
        return;
    }
    switch (ended.result) {
    case AppendEnded::Result::Stored:
        pending->second.phase = AppendPhase::Stored;
        pending->second.offset = ended.offset;
        break;
    case AppendEnded::Result::Refused:
        answerOperator(blackboard, pending, ResultCode::LogUnavailable, "the log refused the change", actions);
        blackboard.appends.pending.erase(pending);
        break;
    case AppendEnded::Result::Unknown:
        pending->second.phase = AppendPhase::Unknown;
        break;
    }
}

void onTick(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    auto &pending = blackboard.appends.pending;
    for (auto entry = pending.begin(); entry != pending.end();) {
        const Duration age = now - entry->second.sent;
        if (age >= blackboard.settings.appendTimeout) {
            answerOperator(blackboard, entry, ResultCode::ChangeUnknown, "not yet seen on the log", actions);
        }
        const bool drop = age >= forgetAfter || pending.size() > pendingLimit;
        entry = drop ? pending.erase(entry) : std::next(entry);
    }
}

} // namespace

void stepAppend(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    if (const auto *change = std::get_if<ChangeSubmitted>(&event)) {
        submitChange(blackboard, *change, now, actions);
    } else if (const auto *ended = std::get_if<AppendEnded>(&event)) {
        onEnded(blackboard, *ended, actions);
    } else if (std::holds_alternative<Tick>(event)) {
        onTick(blackboard, now, actions);
    }
}

} // namespace lacewing
