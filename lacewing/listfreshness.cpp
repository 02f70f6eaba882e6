// Offsets are those of the store. So the announcements of two VMs that both consider themselves the owner do not
// contradict each other: each is true of the sender's own copy.

#include "listfreshness.h"

#include <algorithm>

namespace lacewing {

void recordOwnRead(ListFreshness &knowledge, std::int64_t offset, TimePoint readStart)
{
    knowledge.offset = std::max(knowledge.offset, offset);
    if (readStart > knowledge.current) {
        knowledge.current = readStart;
        knowledge.source.clear();
    }
}

bool follows(const ListFreshness &knowledge, const ListAnnouncement &statement)
{
    const bool known = knowledge.offset != noOffset && statement.previous != noOffset;
    return known && knowledge.offset >= statement.previous;
}

void recordStatement(ListFreshness &knowledge, const ListAnnouncement &statement, const VmId &source)
{
    const bool hasPrevious = statement.previous != noOffset;
    knowledge.requiredOffset = std::max(knowledge.requiredOffset, hasPrevious ? statement.previous : statement.offset);
    if (!follows(knowledge, statement)) {
        return;
    }
    knowledge.offset = std::max(knowledge.offset, statement.offset);
    knowledge.newestOwnerRead = std::max(knowledge.newestOwnerRead, statement.read);
    if (statement.read > knowledge.current) {
        knowledge.current = statement.read;
        knowledge.source = source;
    }
}

void resetChain(ListChain &chain)
{
    chain.announcedOffset = noOffset;
}

void startChain(ListChain &chain, const ListFreshness &knowledge)
{
    chain.announcedOffset = knowledge.offset;
}

void recordUpdateFromOther(ListChain &chain, std::int64_t before, const ListFreshness &knowledge)
{
    if (knowledge.offset > before) {
        chain.announcedOffset = knowledge.offset;
    }
}

ListAnnouncement nextAnnouncement(ListChain &chain, const ListFreshness &knowledge, bool changes)
{
    if (chain.announcedOffset == noOffset) {
        chain.announcedOffset = knowledge.offset;
    }
    const ListAnnouncement statement {chain.announcedOffset, knowledge.offset, knowledge.current};
    if (changes) {
        chain.announcedOffset = knowledge.offset;
    }
    return statement;
}

bool isCovered(const ListFreshness &knowledge, TimePoint now)
{
    return knowledge.offset >= knowledge.requiredOffset && now - knowledge.newestOwnerRead < readValidity;
}

} // namespace lacewing
