// Which requests learn the software version that began their stream, and what they may do with what they learned.

#include <criterion/criterion.h>

#include "resumption.h"

using namespace lacewing;

namespace {

ServiceRoute makeRoute(RouteKind kind, bool resumable)
{
    ServiceRoute route;
    route.kind = kind;
    route.resumable = resumable;
    return route;
}

RequestInfo makeInfo(bool resumes)
{
    RequestInfo info;
    info.id = "second";
    info.resumes = resumes;
    info.resumedAttempt = "first";
    return info;
}

} // namespace

Test(resumption, onlyResumptionsOnResumableStreamsAskForTheirOrigin)
{
    const ServiceRoute resumable = makeRoute(RouteKind::Stream, true);
    cr_assert_eq(decideOriginStep(resumable, makeInfo(true), std::nullopt), OriginStep::Find);
    cr_assert_eq(decideOriginStep(resumable, makeInfo(false), std::nullopt), OriginStep::None);
    for (const ServiceRoute &route : {makeRoute(RouteKind::Stream, false), makeRoute(RouteKind::Repeatable, true),
                                      makeRoute(RouteKind::Once, true)}) {
        cr_assert_not(keepsOrigins(route));
        cr_assert_eq(decideOriginStep(route, makeInfo(true), std::nullopt), OriginStep::None);
    }
}

Test(resumption, theVersionThatAVmForwardsIsObeyedAndNotAskedForAgain)
{
    const ServiceRoute resumable = makeRoute(RouteKind::Stream, true);
    wire::ForwardedRequest forwarded;
    cr_assert_eq(decideOriginStep(resumable, makeInfo(true), forwarded), OriginStep::Find, "none was named");
    forwarded.__set_softwareVersion("");
    cr_assert_eq(decideOriginStep(resumable, makeInfo(true), forwarded), OriginStep::TakeForwarded);
}

Test(resumption, aStreamIsRememberedUnderTheAttemptThatBeganIt)
{
    cr_assert_eq(originAttempt(makeInfo(false)), "second");
    cr_assert_eq(originAttempt(makeInfo(true)), "first");
}

Test(resumption, anUnknownOriginIsNeverAnyVersion)
{
    cr_assert(decideResumption({OriginResult::Unknown, "v1", "none"}).refused);
    const ResumptionDecision known = decideResumption({OriginResult::Known, "v1", "holder"});
    cr_assert_not(known.refused);
    cr_assert_eq(known.softwareVersion.value_or("any"), "v1");
    const ResumptionDecision any = decideResumption({OriginResult::Any, "", "none"});
    cr_assert_not(any.refused);
    cr_assert_not(any.softwareVersion);
}
