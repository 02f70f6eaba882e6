// The operator face over HTTP: who may do what, what it answers, and its limits.

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "blockinghttp.h"
#include "fakebackend.h"
#include "fakehttpserver.h"
#include "metrics.h"
#include "operatorface.h"
#include "resultcode.h"

using namespace lacewing;

namespace {

struct Face {
    Face()
    {
        this->options.api.token = "secret";
        this->options.api.inspectTimeout = milliseconds(50);
        this->options.api.changeTimeout = milliseconds(50);
        this->options.bodyLimit = 100'000;
        this->face = startFace(this->options, this->metrics, this->backend);
        cr_assert(this->face);
        this->backend.blackboard.log.hasCaughtUp = true;
    }

    BlockingHttpAnswer call(const std::string &method, const std::string &target, const std::string &body = "",
                            const std::string &token = "Bearer secret") const
    {
        BlockingHttpClient client(this->options.address);
        BlockingHttpRequest request;
        request.method = method;
        request.target = target;
        request.headers.emplace_back("Authorization", token);
        request.body = body;
        BlockingHttpAnswer answer;
        const std::error_code error = client.exchange(request, answer);
        cr_assert(!error, "%s %s: %s", method.c_str(), target.c_str(), error.message().c_str());
        return answer;
    }

    OperatorFaceOptions options;
    Metrics metrics;
    FakeBackend backend;
    std::unique_ptr<OperatorFace> face;
};

constexpr const char *presetChange = R"({"based_on":0,"author":"a","changes":[{"preset_use":{"name":"peak"}}]})";

} // namespace

Test(operatorface, threePathsNeedNoToken)
{
    const Face face;
    for (const char *path : {"/metrics", "/healthz", "/readyz"}) {
        cr_expect(face.call("GET", path, "", "").status == 200, "%s", path);
    }
}

Test(operatorface, allElseNeedsTheToken)
{
    Face face;
    for (const char *token :
         {"", "secret", "Bearer", "Bearer secre", "Bearer secret2", "bearer secret", "Basic secret"}) {
        for (const char *path : {"/v1/status", "/v1/revision", "/v1/history", "/v1/changes", "/v1/rollback?to=0",
                                 "/v1/config/members", "/v1/config/adapters"}) {
            cr_expect(face.call("GET", path, "", token).status == 401, "%s with '%s'", path, token);
        }
        cr_expect(face.call("POST", "/v1/changes", presetChange, token).status == 401);
    }
    cr_assert(face.backend.blackboard.config.revision == 0);
}

Test(operatorface, changeIsAcceptedOnceAndThenStale)
{
    Face face;
    const BlockingHttpAnswer first = face.call("POST", "/v1/changes", presetChange);
    cr_assert(first.status == 200 && nlohmann::json::parse(first.body)["revision"] == 1);
    const BlockingHttpAnswer second = face.call("POST", "/v1/changes", presetChange);
    cr_assert(second.status == 409);
    cr_assert(nlohmann::json::parse(second.body)["error"]["code"] == static_cast<int>(ResultCode::StaleRevision));
    cr_assert(nlohmann::json::parse(face.call("GET", "/v1/revision").body)["preset"] == "peak");
    cr_assert(nlohmann::json::parse(face.call("GET", "/v1/history").body)["history"].size() == 1);
}

Test(operatorface, badChangesAreRefused)
{
    const Face face;
    for (const char *body :
         {"", "[]", "{", R"({"based_on":0,"changes":[]})", R"({"changes":[{}]})",
          R"({"based_on":0,"changes":[{"no_such":{}}]})", R"({"based_on":0,"changes":[{"preset_use":{"name":4}}]})",
          R"({"based_on":0,"changes":[{"preset_use":{"name":"peak","nmae":"x"}}]})",
          R"({"based_on":0,"changes":[{"assign":{"adapter":"a","version":99999999999}}]})",
          R"({"based_on":0,"changes":[{"preset_use":{"name":"no-such"}}]})"}) {
        cr_expect(face.call("POST", "/v1/changes", body).status == 422, "%s", body);
    }
}

Test(operatorface, unknownPathsAndMethods)
{
    const Face face;
    cr_expect(face.call("GET", "/").status == 404);
    cr_expect(face.call("GET", "/v1/nothing").status == 404);
    cr_expect(face.call("DELETE", "/v1/status").status == 405);
    cr_expect(face.call("GET", "/v1/config/adapters?most=x").status == 400);
    cr_expect(face.call("GET", "/v1/changes?after").status == 400);
    cr_expect(face.call("GET", "/v1/rollback?to=7").status == 422);
}

Test(operatorface, bodiesBeyondTheLimitAreRefused)
{
    const Face face;
    cr_assert(face.call("POST", "/v1/changes", std::string(face.options.bodyLimit + 1, 'x')).status == 413);
    cr_assert(face.call("GET", "/readyz").status == 200, "the face goes on");
}

Test(operatorface, aRuntimeThatDoesNotAnswerShows)
{
    Face face;
    face.backend.answers = false;
    face.backend.inspects = false;
    cr_expect(face.call("GET", "/healthz").status == 503);
    cr_expect(face.call("GET", "/readyz").status == 503);
    cr_expect(face.call("GET", "/v1/status").status == 503);
    cr_expect(face.call("POST", "/v1/changes", presetChange).status == 504, "its outcome is unknown");
    cr_expect(face.call("GET", "/metrics").status == 200);
}

Test(operatorface, readinessFollowsTheState)
{
    Face face;
    face.backend.blackboard.stopping = true;
    cr_expect(face.call("GET", "/readyz").status == 503 && face.call("GET", "/healthz").status == 200);
    face.backend.blackboard.stopping = false;
    face.backend.blackboard.log.hasCaughtUp = false;
    cr_expect(face.call("GET", "/readyz").status == 503, "nothing was read yet");
}

Test(operatorface, adaptersComeInPages)
{
    constexpr int count = 2500;
    Face face;
    for (int number = 0; number < count; ++number) {
        face.backend.blackboard.config.adapters["a" + std::to_string(number)].member = "tala";
    }
    std::map<std::string, int> seen;
    std::string position;
    for (int pages = 0; pages < count; ++pages) {
        const auto page = nlohmann::json::parse(face.call("GET", "/v1/config/adapters?most=700" + position).body);
        for (const auto &adapter : page["adapters"]) {
            ++seen[adapter["name"]];
        }
        if (page["next_bucket"].is_null()) {
            break;
        }
        position = "&bucket=" + page["next_bucket"].dump() + "&buckets=" + page["buckets"].dump();
    }
    cr_assert(seen.size() == count);
    for (const auto &[name, times] : seen) {
        cr_assert(times == 1, "%s", name.c_str());
    }
    const auto rebuilt = nlohmann::json::parse(face.call("GET", "/v1/config/adapters?bucket=0&buckets=1").body);
    cr_assert(rebuilt["restart"] == true);
}

Test(operatorface, addressInUseIsAnError)
{
    const Face face;
    Metrics metrics;
    FakeBackend backend;
    OperatorFace second(face.options, metrics, backend);
    cr_assert(second.start());
}
