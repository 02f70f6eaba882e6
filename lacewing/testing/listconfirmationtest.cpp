// Confirmations of the list of endpoints by the owner of the zone and by own reads, on a paused clock.

#include "listconfirmation.h"

#include <optional>
#include <utility>
#include <vector>

#include "clock.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// One VM, and what it asks for.
struct Vm {
    Vm() : confirmation(clock, ports(), 100)
    {
        this->clock.pause();
    }

    ListConfirmationPorts ports()
    {
        ListConfirmationPorts made;
        made.owner = [this] { return this->owner; };
        made.mayRead = [this] { return this->storeUp; };
        made.read = [this] { this->reads += 1; };
        made.position = [this] { return this->position; };
        made.ask = [this](const VmId &, const wire::ListAsk &ask) { this->asks.push_back(ask.ticket); };
        made.answer
            = [this](const VmId &vm, const wire::ListAnswer &answer) { this->answers.emplace_back(vm, answer); };
        made.wakeAfter = [](Duration) {};
        return made;
    }

    void confirm()
    {
        this->confirmation.confirm([this](bool confirmed) { this->results.push_back(confirmed); });
    }

    void advance(int milliseconds)
    {
        this->clock.advance(lacewing::milliseconds(milliseconds));
        this->confirmation.expire();
    }

    void answerAsk(std::int64_t ticket, std::int64_t offset)
    {
        wire::ListAnswer answer;
        answer.ticket = ticket;
        answer.current = true;
        answer.offset = offset;
        this->confirmation.receiveAnswer("owner", answer);
    }

    RuntimeClock clock;
    std::optional<VmId> owner;
    bool storeUp = true;
    StorePosition position {unnamedEra, 10};
    int reads = 0;
    std::vector<std::int64_t> asks;
    std::vector<std::pair<VmId, wire::ListAnswer>> answers;
    std::vector<bool> results;
    ListConfirmation confirmation;
};

} // namespace

Test(listconfirmation, aReadThatWasBegunBeforeTheQuestionDoesNotCount)
{
    Vm vm;
    const TimePoint before = vm.clock.now();
    vm.advance(1);
    vm.confirm();
    cr_assert_eq(vm.reads, 1);
    vm.confirmation.listRead(before);
    cr_assert(vm.results.empty());
    cr_assert_eq(vm.reads, 2, "another read begins");
    vm.confirmation.listRead(vm.clock.now());
    cr_assert_eq(vm.results, std::vector<bool> {true});
}

Test(listconfirmation, theOwnersAnswerCountsOnlyIfThisVmHasAllThatItHasRead)
{
    Vm vm;
    vm.owner = "owner";
    vm.confirm();
    cr_assert_eq(vm.reads, 0);
    vm.answerAsk(vm.asks.back(), 10);
    cr_assert_eq(vm.results, std::vector<bool> {true});
    vm.confirm();
    vm.answerAsk(vm.asks.front(), 10); // late, of the question before
    cr_assert_eq(vm.results.size(), 1U);
    vm.answerAsk(vm.asks.back(), 11); // its changes were lost
    cr_assert_eq(vm.results.size(), 1U);
    cr_assert_eq(vm.reads, 1);
    vm.confirmation.listRead(vm.clock.now());
    cr_assert_eq(vm.results.size(), 2U);
}

Test(listconfirmation, questionsThatComeWhileOneIsAskedShareTheNextRead)
{
    Vm vm;
    vm.confirm();
    vm.advance(1);
    const TimePoint between = vm.clock.now();
    vm.confirm();
    vm.confirm();
    vm.confirmation.listRead(between);
    cr_assert_eq(vm.results.size(), 1U, "that read may have begun before the later questions");
    vm.advance(1);
    vm.confirmation.listRead(vm.clock.now());
    cr_assert_eq(vm.results.size(), 3U);
}

Test(listconfirmation, aVmThatReachesNeitherOwnerNorStoreIsToldSoInTime)
{
    Vm vm;
    vm.owner = "owner";
    vm.confirm();
    vm.advance(100);
    cr_assert_eq(vm.reads, 1);
    vm.advance(400);
    cr_assert_eq(vm.results, std::vector<bool> {false});
    vm.storeUp = false;
    vm.owner.reset();
    vm.confirm();
    cr_assert_eq(vm.results.size(), 2U);
    cr_assert_eq(vm.results.back(), false);
}

Test(listconfirmation, anOwnerReadsOnceForAllThatAskAndAnswersNobodyBeforeThat)
{
    Vm vm;
    const TimePoint before = vm.clock.now();
    vm.advance(1);
    wire::ListAsk ask;
    ask.ticket = 1;
    vm.confirmation.receiveAsk("one", ask);
    ask.ticket = 2;
    vm.confirmation.receiveAsk("two", ask);
    cr_assert_eq(vm.reads, 0);
    vm.advance(10);
    cr_assert_eq(vm.reads, 1);
    vm.confirmation.listRead(before);
    cr_assert(vm.answers.empty());
    vm.confirmation.listRead(vm.clock.now());
    cr_assert_eq(vm.answers.size(), 2U);
    cr_assert_eq(vm.answers.back().second.ticket, 2);
    cr_assert_eq(vm.answers.back().second.offset, 10);
    vm.storeUp = false;
    vm.confirmation.receiveAsk("one", ask);
    cr_assert_not(vm.answers.back().second.current);
}
