// Positions are those of the store. So the announcements of two VMs that both consider themselves the owner do not
// contradict each other: each is true of the sender's own copy.

#include "listfreshness.h"

#include <algorithm>

namespace lacewing {

void recordOwnRead(ListFreshness &knowledge, const StorePosition &end, TimePoint readStart)
{
    knowledge.position = std::max(knowledge.position, end);
    if (readStart > knowledge.current) {
        knowledge.current = readStart;
        knowledge.source.clear();
    }
}

bool follows(const ListFreshness &knowledge, const ListAnnouncement &statement)
{
    return isSameHistory(knowledge.position, statement.previous) && knowledge.position >= statement.previous;
}

void recordStatement(ListFreshness &knowledge, const ListAnnouncement &statement, const VmId &source)
{
    const StorePosition needed = isKnown(statement.previous) ? statement.previous : statement.end;
    knowledge.requiredPosition = std::max(knowledge.requiredPosition, needed);
    if (!follows(knowledge, statement)) {
        return;
    }
    knowledge.position = std::max(knowledge.position, statement.end);
    knowledge.newestOwnerRead = std::max(knowledge.newestOwnerRead, statement.read);
    if (statement.read > knowledge.current) {
        knowledge.current = statement.read;
        knowledge.source = source;
    }
}

void resetChain(ListChain &chain)
{
    chain.announced = {};
}

void startChain(ListChain &chain, const ListFreshness &knowledge)
{
    chain.announced = knowledge.position;
}

void recordUpdateFromOther(ListChain &chain, const StorePosition &before, const ListFreshness &knowledge)
{
    if (knowledge.position > before) {
        chain.announced = knowledge.position;
    }
}

ListAnnouncement nextAnnouncement(ListChain &chain, const ListFreshness &knowledge, bool changes)
{
    if (!isKnown(chain.announced)) {
        chain.announced = knowledge.position;
    }
    const ListAnnouncement statement {chain.announced, knowledge.position, knowledge.current};
    if (changes) {
        chain.announced = knowledge.position;
    }
    return statement;
}

bool isCovered(const ListFreshness &knowledge, TimePoint now)
{
    return knowledge.position >= knowledge.requiredPosition && now - knowledge.newestOwnerRead < readValidity;
}

} // namespace lacewing
