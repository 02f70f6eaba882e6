// Offsets are those of the store, so statements of two VMs that both take themselves for the owner don't contradict
// each other: each is true of its own copy.

#include "listknowledge.h"

#include <algorithm>

namespace lacewing {

void noteOwnRead(ListKnowledge &knowledge, std::int64_t offset, TimePoint asked)
{
    knowledge.offset = std::max(knowledge.offset, offset);
    if (asked > knowledge.current) {
        knowledge.current = asked;
        knowledge.source.clear();
    }
}

bool follows(const ListKnowledge &knowledge, const ListStatement &statement)
{
    const bool known = knowledge.offset != noOffset && statement.previous != noOffset;
    return known && knowledge.offset >= statement.previous;
}

void noteStatement(ListKnowledge &knowledge, const ListStatement &statement, const VmId &source)
{
    const bool saysFrom = statement.previous != noOffset;
    knowledge.announced = std::max(knowledge.announced, saysFrom ? statement.previous : statement.offset);
    if (!follows(knowledge, statement)) {
        return;
    }
    knowledge.offset = std::max(knowledge.offset, statement.offset);
    knowledge.ownersRead = std::max(knowledge.ownersRead, statement.read);
    if (statement.read > knowledge.current) {
        knowledge.current = statement.read;
        knowledge.source = source;
    }
}

void breakChain(ListChain &chain)
{
    chain.passedOn = noOffset;
}

void beginChain(ListChain &chain, const ListKnowledge &knowledge)
{
    chain.passedOn = knowledge.offset;
}

void noteToldByOther(ListChain &chain, std::int64_t before, const ListKnowledge &knowledge)
{
    if (knowledge.offset > before) {
        chain.passedOn = knowledge.offset;
    }
}

ListStatement nextStatement(ListChain &chain, const ListKnowledge &knowledge, bool changes)
{
    if (chain.passedOn == noOffset) {
        chain.passedOn = knowledge.offset;
    }
    const ListStatement statement {chain.passedOn, knowledge.offset, knowledge.current};
    if (changes) {
        chain.passedOn = knowledge.offset;
    }
    return statement;
}

bool isCovered(const ListKnowledge &knowledge, TimePoint now)
{
    return knowledge.offset >= knowledge.announced && now - knowledge.ownersRead < readValidity;
}

} // namespace lacewing
