// Rests that endpoints ask for: first single rules, then replays on simulated time with fixed seeds, for the ways of
// reacting to a rejection that are compared.

#include "endpointrest.h"
#include "retrydecision.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};
constexpr double statedRest = 3; ///< seconds

/// Ends the requests that an endpoint has been sent since its return.
void accept(EndpointRest &rest, int count)
{
    for (int number = 0; number < count; ++number) {
        recordEnd(rest, recordSend(rest, rest.until), true);
    }
}

} // namespace

Test(endpointrest, implausibleRestsAreRecognized)
{
    for (const double seconds :
         {0.0, -1.0, 1e300, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        cr_expect_not(isPlausibleRest(seconds), "%g", seconds);
    }
    for (const double seconds : {0.25, 3.0, 7200.0}) {
        cr_expect(isPlausibleRest(seconds), "%g", seconds);
    }
}

Test(endpointrest, anEndpointRestsForTheStatedTimeAndReturnsSpread)
{
    for (const double draw : {0.0, 0.5, 0.999}) {
        EndpointRest rest;
        cr_expect_not(isResting(rest, start));
        recordRest(rest, statedRest, 1, draw, start);
        cr_expect(isResting(rest, start + milliseconds(2999)));
        cr_expect_not(isResting(rest, start + milliseconds(3000) + maxReturnSpread));
        cr_expect_eq(timeUntilReturn(rest, rest.until).count(), 0);
    }
    EndpointRest early;
    EndpointRest late;
    recordRest(early, statedRest, 1, 0, start);
    recordRest(late, statedRest, 1, 0.999, start);
    cr_expect_gt(late.until, early.until + maxReturnSpread / 2);
}

Test(endpointrest, aShorterRestDoesNotShortenOne)
{
    EndpointRest rest;
    recordRest(rest, statedRest, 1, 0, start);
    const TimePoint until = rest.until;
    recordRest(rest, 0.5, 1, 0, start + milliseconds(100));
    cr_expect_eq(rest.until.time_since_epoch().count(), until.time_since_epoch().count());
    recordRest(rest, statedRest, 1, 0, start + milliseconds(100));
    cr_expect_gt(rest.until, until);
}

Test(endpointrest, anEndpointReturnsWithOneRequestAndMoreAsItAcceptsThem)
{
    EndpointRest rest;
    recordRest(rest, statedRest, 1, 0, start);
    const TimePoint back = rest.until + boundLifetime; // the number in progress is not bounded any more
    const auto isOpen = [&] { return restState(rest, 0, back) == RestState::Open; };
    const ReturnMark first = recordSend(rest, back);
    cr_expect_eq(restState(rest, 0, back), RestState::Returning, "the first one is not answered yet");
    recordEnd(rest, first, true);
    recordSend(rest, back);
    cr_expect(isOpen());
    recordSend(rest, back);
    cr_expect_not(isOpen());
    cr_expect_eq(restState(rest, 0, back + rejectionTime), RestState::Open, "not rejected");
    rest.unanswered = 0;
    accept(rest, acceptedToReturn);
    cr_expect_not(rest.returning);
    cr_expect(isOpen());
}

Test(endpointrest, aRequestThatEndsUnansweredMakesRoomForTheNextOne)
{
    EndpointRest rest;
    recordRest(rest, statedRest, 1, 0, start);
    recordEnd(rest, recordSend(rest, rest.until), false);
    cr_expect_eq(restState(rest, 0, rest.until), RestState::Open);
    cr_expect_eq(rest.accepted, 0);
}

Test(endpointrest, anEndpointThatHasRestedGetsHalfOfItsRequestsAtFirst)
{
    EndpointRest rest;
    recordRest(rest, statedRest, 12, 0, start);
    accept(rest, acceptedToReturn);
    cr_expect_eq(restState(rest, 5, rest.until), RestState::Open);
    cr_expect_eq(restState(rest, 6, rest.until), RestState::Bounded);
    cr_expect_eq(restState(rest, 11, rest.until + restedGrowth), RestState::Open);
    cr_expect_eq(restState(rest, 1000, rest.until + boundLifetime), RestState::Open);
}

Test(endpointrest, otherEndpointsGetTheRequestsOfOneThatRestsLittleByLittle)
{
    EndpointRest rest;
    recordOtherRest(rest, 3, start);
    cr_expect_eq(restState(rest, 3, start), RestState::Open);
    cr_expect_eq(restState(rest, 4, start), RestState::Bounded);
    recordOtherRest(rest, 100, start);
    cr_expect_eq(restState(rest, 4, start), RestState::Bounded, "a bound is not raised");
    cr_expect_eq(restState(rest, 7, start + othersGrowth), RestState::Open);
    cr_expect_eq(restState(rest, 8, start + othersGrowth), RestState::Bounded);
    cr_expect_not(isResting(rest, start));
}

// Requests from before the rest, or from an earlier return, say nothing about the room after it.
Test(endpointrest, endsOfEarlierRequestsDoNotCount)
{
    EndpointRest rest;
    const ReturnMark before = recordSend(rest, start);
    recordRest(rest, statedRest, 1, 0, start);
    const ReturnMark earlier = recordSend(rest, rest.until);
    recordRest(rest, statedRest, 1, 0, start + milliseconds(4000));
    recordEnd(rest, before, true);
    recordEnd(rest, earlier, true);
    cr_expect_eq(rest.accepted, 0);
    cr_expect_eq(rest.unanswered, 0);
}

Test(endpointrest, callersReturnAtDifferentTimesAfterTheFirstEndpoint)
{
    const Duration until = milliseconds(2000);
    cr_expect_geq(retryAfterRest(until, 0).count(), until.count());
    cr_expect_gt(retryAfterRest(until, 0.99).count(), (until + maxReturnSpread / 2).count());
    cr_expect_leq(retryAfterRest(until, 0.99).count(), (until + maxReturnSpread).count());
    cr_expect_gt(retryAfterRest(Duration {0}, 0).count(), 0);
}

namespace {

/// What a VM does after a rejection with a rest.
enum class Way {
    NextEndpoint, ///< tries the next endpoint; nothing else changes
    Rest, ///< keeps the rest, up to four endpoints for a request
    RestTwoSends, ///< keeps the rest, up to two endpoints for a request
    RestBounded, ///< the same as Rest, and the number in progress is bounded there afterwards, elsewhere at once
};

constexpr int workMilliseconds = 60;
constexpr int tripMilliseconds = 1;
constexpr int viewAgeMilliseconds = 300; ///< of the other VMs' requests
constexpr int toleratedMilliseconds = 500; ///< after a rejection, for requests on their way
constexpr int toleratedRequests = 2;
constexpr int deadlineMilliseconds = 4000;
constexpr double retryShare = 0.2;
constexpr double retryBurst = 4; ///< of a VM

struct Scenario {
    int vms = 3;
    int endpoints = 9;
    int rejecting = 3; ///< endpoints that reject requests
    double share = 1; ///< of the requests that these reject, whatever their load; 0: those they have no room for
    int room = 6; ///< requests that an endpoint runs at the same time
    double perSecond = 60;
    int from = 1000; ///< time of the rejections, ms
    int to = 7000;
};

struct Outcome {
    int offered = 0; ///< callers between the begin and the end of the rejections
    int served = 0;
    int rejections = 0;
    int brokenRests = 0; ///< with more requests than are tolerated
    int rests = 0;
};

struct ModelEndpoint {
    std::vector<int> ends;
    std::vector<int> runningAt; ///< by millisecond

    int running(int now)
    {
        std::erase_if(this->ends, [now](int end) { return end <= now; });
        return static_cast<int>(this->ends.size());
    }
};

/// One VM's view of one endpoint.
struct View {
    EndpointRest rest;
    int own = 0;
    int restFrom = 0; ///< rest as the endpoint has stated it, for the check
    int restTo = 0;
    int requestsInRest = 0;
};

struct ModelRequest {
    int vm = 0;
    int due = 0;
    int begun = 0;
    int sends = 0;
    bool returned = false;
    std::vector<int> tried;
};

struct Answer {
    ModelRequest request;
    int endpoint = 0;
    bool accepted = false;
    ReturnMark mark;
};

class Model
{
public:
    Model(const Scenario &chosen, Way reaction, unsigned seed)
        : scenario(chosen),
          way(reaction),
          random(seed),
          endpoints(static_cast<std::size_t>(chosen.endpoints)),
          views(static_cast<std::size_t>(chosen.vms), std::vector<View>(static_cast<std::size_t>(chosen.endpoints))),
          tokens(static_cast<std::size_t>(chosen.vms), retryBurst)
    {
    }

    Outcome run(int length)
    {
        std::poisson_distribution<int> arrivals(this->scenario.perSecond / 1000);
        std::uniform_int_distribution<int> anyVm(0, this->scenario.vms - 1);
        for (int now = 0; now < length; ++now) {
            for (ModelEndpoint &endpoint : this->endpoints) {
                endpoint.runningAt.push_back(endpoint.running(now));
            }
            for (const Answer &answer : this->takeDue(this->answers, now)) {
                this->onAnswer(answer, now);
            }
            for (const auto &[vm, endpoint] : this->takeDue(this->finished, now)) {
                this->views[vm][endpoint].own -= 1;
            }
            for (int count = arrivals(this->random); count > 0; --count) {
                this->outcome.offered += this->isCounted(now) ? 1 : 0;
                const int vm = anyVm(this->random);
                this->tokens[vm] = std::min(retryBurst, this->tokens[vm] + retryShare);
                this->requests[now].push_back({vm, now, now, 0, false, {}});
            }
            for (const ModelRequest &request : this->takeDue(this->requests, now)) {
                this->send(request, now);
            }
        }
        for (auto &ofVm : this->views) {
            for (View &view : ofVm) {
                this->closeRest(view);
            }
        }
        return this->outcome;
    }

private:
    template<typename Item>
    std::vector<Item> takeDue(std::map<int, std::vector<Item>> &queue, int now)
    {
        const auto due = queue.find(now);
        if (due == queue.end()) {
            return {};
        }
        std::vector<Item> items = std::move(due->second);
        queue.erase(due);
        return items;
    }

    TimePoint at(int now) const
    {
        return start + milliseconds(now);
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    bool isCounted(int begun) const
    {
        return begun >= this->scenario.from && begun < this->scenario.to;
    }

    bool mayGet(const View &view, int now) const
    {
        if (this->way == Way::NextEndpoint) {
            return true;
        }
        const RestState state = restState(view.rest, view.own, this->at(now));
        return state == RestState::Open || (state == RestState::Bounded && this->way != Way::RestBounded);
    }

    int choose(const ModelRequest &request, int now)
    {
        int best = -1;
        double bestLoad = 0;
        for (int index = 0; index < this->scenario.endpoints; ++index) {
            const bool tried = std::find(request.tried.begin(), request.tried.end(), index) != request.tried.end();
            const View &view = this->views[request.vm][index];
            if (tried || !this->mayGet(view, now)) {
                continue;
            }
            const std::vector<int> &seen = this->endpoints[index].runningAt;
            const int viewed = seen[static_cast<std::size_t>(std::max(0, now - viewAgeMilliseconds))];
            const double load = std::max(viewed, view.own) + 0.5 * this->draw();
            if (best < 0 || load < bestLoad) {
                best = index;
                bestLoad = load;
            }
        }
        return best;
    }

    void send(ModelRequest request, int now)
    {
        const int most = this->way == Way::RestTwoSends ? 2 : maxSends;
        const int chosen = request.sends < most ? this->choose(request, now) : -1;
        const bool again = request.sends > 0;
        if (chosen < 0 || (again && this->tokens[request.vm] < 1)) {
            this->refuse(std::move(request), now);
            return;
        }
        this->tokens[request.vm] -= again ? 1 : 0;
        View &view = this->views[request.vm][chosen];
        view.requestsInRest += now >= view.restFrom && now < view.restTo ? 1 : 0;
        view.own += 1;
        request.sends += 1;
        request.tried.push_back(chosen);
        Answer answer {request, chosen, this->accepts(chosen, now), recordSend(view.rest, this->at(now))};
        if (answer.accepted) {
            this->endpoints[chosen].ends.push_back(now + workMilliseconds);
        }
        this->answers[now + 2 * tripMilliseconds].push_back(std::move(answer));
    }

    bool accepts(int index, int now)
    {
        const bool rejecting
            = index < this->scenario.rejecting && now >= this->scenario.from && now < this->scenario.to;
        const bool full = this->endpoints[index].running(now) >= this->scenario.room;
        return !full && !(rejecting && this->draw() < this->scenario.share);
    }

    void onAnswer(const Answer &answer, int now)
    {
        View &view = this->views[answer.request.vm][answer.endpoint];
        recordEnd(view.rest, answer.mark, answer.accepted);
        if (answer.accepted) {
            this->finished[now + workMilliseconds].emplace_back(answer.request.vm, answer.endpoint);
            this->outcome.served += this->isCounted(answer.request.begun) ? 1 : 0;
            return;
        }
        this->outcome.rejections += 1;
        recordRest(view.rest, statedRest, view.own, this->draw(), this->at(now));
        view.own -= 1;
        for (View &other : this->views[answer.request.vm]) {
            recordOtherRest(other.rest, other.own, this->at(now));
        }
        if (now >= view.restTo) {
            this->closeRest(view);
            view.restFrom = now + toleratedMilliseconds;
        }
        view.restTo = now + static_cast<int>(1000 * statedRest);
        this->send(answer.request, now);
    }

    void closeRest(View &view)
    {
        this->outcome.rests += view.restTo > 0 ? 1 : 0;
        this->outcome.brokenRests += view.requestsInRest > toleratedRequests ? 1 : 0;
        view.requestsInRest = 0;
    }

    /// The caller returns once, if it is told a time within a third of what it has left.
    void refuse(ModelRequest request, int now)
    {
        Duration first = milliseconds(500);
        if (this->way != Way::NextEndpoint) {
            first = std::chrono::seconds(1000);
            for (const View &view : this->views[request.vm]) {
                first = std::min(first, timeUntilReturn(view.rest, this->at(now)));
            }
            first = retryAfterRest(first, this->draw());
        }
        const auto back = now + static_cast<int>(toMilliseconds(first));
        if (request.returned || back - now > (deadlineMilliseconds - (now - request.begun)) / 3) {
            return;
        }
        request.returned = true;
        request.sends = 0;
        request.tried.clear();
        request.vm = std::uniform_int_distribution<int>(0, this->scenario.vms - 1)(this->random);
        this->requests[back].push_back(std::move(request));
    }

    Scenario scenario;
    Way way;
    std::mt19937_64 random;
    std::vector<ModelEndpoint> endpoints;
    std::vector<std::vector<View>> views;
    std::vector<double> tokens; ///< retry budgets of the VMs
    std::map<int, std::vector<ModelRequest>> requests;
    std::map<int, std::vector<Answer>> answers;
    std::map<int, std::vector<std::pair<int, int>>> finished;
    Outcome outcome;
};

constexpr int replayMilliseconds = 12000;

Outcome sumOf(const Scenario &scenario, Way way, unsigned seeds)
{
    Outcome sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Outcome one = Model(scenario, way, seed).run(replayMilliseconds);
        sum.offered += one.offered;
        sum.served += one.served;
        sum.rejections += one.rejections;
        sum.rests += one.rests;
        sum.brokenRests += one.brokenRests;
    }
    return sum;
}

double servedShare(const Outcome &outcome)
{
    return static_cast<double>(outcome.served) / outcome.offered;
}

std::vector<Way> waysToPlay()
{
    if (std::getenv("LACEWING_ALL_WAYS") != nullptr) { // those that are compared
        return {Way::NextEndpoint, Way::Rest, Way::RestTwoSends, Way::RestBounded};
    }
    return {Way::RestBounded};
}

void print(const char *what, const Scenario &scenario, Way way, const Outcome &sum)
{
    cr_log_info("%s: %d VMs, %d of %d endpoints reject %.1f, %g requests/s, way %d: served %.3f, %d rejections, "
                "%d of %d rests broken",
                what, scenario.vms, scenario.rejecting, scenario.endpoints, scenario.share, scenario.perSecond,
                static_cast<int>(way), servedShare(sum), sum.rejections, sum.brokenRests, sum.rests);
}

} // namespace

// A third of the endpoints reject requests. At 60 requests a second the others have room for all.
Test(endpointrest, callersAreServedElsewhereWhileEndpointsRest)
{
    for (const double perSecond : {60.0, 270.0, 450.0}) {
        for (const double share : {0.1, 0.4, 0.8, 1.0}) {
            for (const Way way : waysToPlay()) {
                const Scenario scenario {.rejecting = 3, .share = share, .perSecond = perSecond};
                const Outcome sum = sumOf(scenario, way, 4);
                print("some", scenario, way, sum);
                if (way == Way::RestBounded) {
                    cr_expect_eq(sum.brokenRests, 0);
                }
                if (way == Way::RestBounded && perSecond <= 60) {
                    cr_expect_geq(servedShare(sum), 0.95, "share %g: %g", share, servedShare(sum));
                }
            }
        }
    }
}

Test(endpointrest, noRestIsBrokenWhileAllEndpointsReject)
{
    for (const double share : {0.1, 0.4, 0.8, 1.0}) {
        for (const double perSecond : {20.0, 60.0, 200.0}) {
            for (const Way way : waysToPlay()) {
                const Scenario scenario {.rejecting = 9, .share = share, .perSecond = perSecond};
                const Outcome sum = sumOf(scenario, way, 4);
                print("all", scenario, way, sum);
                if (way == Way::RestBounded) {
                    cr_expect_eq(sum.brokenRests, 0);
                }
            }
        }
    }
}

// Endpoints that reject what they have no room for.
Test(endpointrest, endpointsUnderOverloadAreUsed)
{
    constexpr double capacity = 9 * 6 * 1000.0 / workMilliseconds;
    for (const int vms : {3, 6, 20}) {
        for (const double load : {0.6, 0.9, 1.2}) {
            for (const Way way : waysToPlay()) {
                const Scenario scenario {.vms = vms, .rejecting = 0, .share = 0, .perSecond = load * capacity};
                const Outcome sum = sumOf(scenario, way, 2);
                print("overload", scenario, way, sum);
                if (way == Way::RestBounded) {
                    cr_expect_eq(sum.brokenRests, 0);
                }
            }
        }
    }
}
