// Positions are those of the store. So the announcements of two VMs that both consider themselves the owner do not
// contradict each other: each is true of the sender's own copy.

#include "listfreshness.h"

#include <algorithm>

namespace lacewing {

void recordOwnRead(ListFreshness &knowledge, const StorePosition &end, TimePoint readStart)
{
    knowledge.known = std::max(knowledge.known, end);
    if (readStart > knowledge.current) {
        knowledge.current = readStart;
        knowledge.source.clear();
    }
}

bool follows(const ListFreshness &knowledge, const ListAnnouncement &statement)
{
    return isSameHistory(knowledge.known, statement.previous) && knowledge.known >= statement.previous;
}

void recordStatement(ListFreshness &knowledge, const ListAnnouncement &statement, const VmId &source)
{
    const StorePosition needed = isKnown(statement.previous) ? statement.previous : statement.end;
    knowledge.required = std::max(knowledge.required, needed);
    if (!follows(knowledge, statement)) {
        return;
    }
    knowledge.known = std::max(knowledge.known, statement.end);
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
    chain.announced = knowledge.known;
}

void recordUpdateFromOther(ListChain &chain, const StorePosition &before, const ListFreshness &knowledge)
{
    if (knowledge.known > before) {
        chain.announced = knowledge.known;
    }
}

ListAnnouncement nextAnnouncement(ListChain &chain, const ListFreshness &knowledge, bool changes)
{
    if (!isKnown(chain.announced)) {
        chain.announced = knowledge.known;
    }
    const ListAnnouncement statement {chain.announced, knowledge.known, knowledge.current};
    if (changes) {
        chain.announced = knowledge.known;
    }
    return statement;
}

bool isCovered(const ListFreshness &knowledge, TimePoint now)
{
    return knowledge.known >= knowledge.required && now - knowledge.newestOwnerRead < readValidity;
}

} // namespace lacewing
