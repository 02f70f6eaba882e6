// Reading of caller bodies, names and headers; what is not well-formed is refused, never guessed at.

#include <criterion/criterion.h>

#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "calleradmission.h"
#include "callerrequest.h"
#include "configstate.h"
#include "resultcode.h"

using namespace lacewing;

namespace {

std::error_code parse(ModelApi api, std::string_view body, ModelRequest &request)
{
    std::string detail;
    const std::error_code error = parseModelRequest(api, body, ModelRequestLimits {}, request, detail);
    cr_assert(error ? !detail.empty() : detail.empty(), "a refusal, and only a refusal, has a detail");
    return error;
}

ConfigState twoMembers()
{
    ConfigState config;
    config.memberByKeyHash[sha256Hex("key-of-tala")] = "tala";
    AdapterInfo menu;
    menu.member = "tala";
    menu.versions[1].retired = true;
    menu.versions[2] = {};
    menu.versions[3] = {};
    menu.assignedVersion = 2;
    config.adapters["menu"] = menu;
    menu.member = "ratapohja";
    config.adapters["orders"] = menu;
    config.endpoints["order-app-1"].serviceName = "order-app";
    config.endpoints["order-app-1"].member = "tala";
    config.endpoints["tilaus-1"].serviceName = "tilaus-app";
    config.endpoints["tilaus-1"].member = "ratapohja";
    return config;
}

} // namespace

Test(callerrequest, readsCompletion)
{
    ModelRequest request;
    cr_assert(!parse(ModelApi::Completions,
                     R"({"model":"menu@3","prompt":"soup","max_tokens":7,"stream":true,"temperature":0.5})", request));
    cr_assert(request.adapter == "menu" && request.version == 3 && request.stream && request.maxTokens == 7);
    cr_assert(request.prefixHash != 0 && request.promptTokens > 0);
    const auto body = nlohmann::json::parse(engineBody(request.fields, "menu@3", 5, 11));
    const auto expected = nlohmann::json::parse(
        R"({"model":"menu@3","stream":true,"priority":5,"resume_from":11,"prompt":"soup","max_tokens":7,"temperature":0.5})");
    cr_assert(body == expected, "%s", body.dump().c_str());
}

Test(callerrequest, readsChat)
{
    ModelRequest request;
    cr_assert(!parse(ModelApi::Chat,
                     R"({"model":"menu","messages":[{"role":"user","content":"soup"},)"
                     R"({"role":"user","content":[{"type":"text","text":"and bread"}]}],"max_completion_tokens":9})",
                     request));
    cr_assert(request.version == 0 && !request.stream && request.maxTokens == 9);
}

Test(callerrequest, refusesMalformedBodies)
{
    const std::string deep = R"({"model":"a","prompt":)" + std::string(100000, '[');
    const std::string_view bodies[] = {"",
                                       "[]",
                                       "{",
                                       "nonsense",
                                       R"({"prompt":"x"})",
                                       R"({"model":7,"prompt":"x"})",
                                       R"({"model":"","prompt":"x"})",
                                       R"({"model":"a@0","prompt":"x"})",
                                       R"({"model":"a@x","prompt":"x"})",
                                       R"({"model":"a@1@","prompt":"x"})",
                                       R"({"model":"a b","prompt":"x"})",
                                       R"({"model":"a"})",
                                       R"({"model":"a","prompt":{}})",
                                       R"({"model":"a","prompt":["x","y"]})",
                                       R"({"model":"a","prompt":"x","stream":"yes"})",
                                       R"({"model":"a","prompt":"x","max_tokens":0})",
                                       R"({"model":"a","prompt":"x","max_tokens":-1})",
                                       R"({"model":"a","prompt":"x","max_tokens":1.5})",
                                       R"({"model":"a","prompt":"x","max_tokens":99999999999999999999})",
                                       R"({"model":"a","prompt":"x","n":2})",
                                       "{\"model\":\"a\",\"prompt\":\"\xff\xfe\"}",
                                       deep};
    for (const std::string_view body : bodies) {
        ModelRequest request;
        cr_assert(parse(ModelApi::Completions, body, request), "%.60s", std::string(body).c_str());
    }
}

Test(callerrequest, refusesTooManyTokens)
{
    ModelRequest request;
    cr_assert(parse(ModelApi::Completions, R"({"model":"a","prompt":"x","max_tokens":18446744073709551615})", request)
              == ResultCode::TooLarge);
}

Test(callerrequest, samePrefixSameHash)
{
    const std::string start(300, 'p');
    ModelRequest one;
    ModelRequest other;
    ModelRequest third;
    cr_assert(!parse(ModelApi::Completions, R"({"model":"a","prompt":")" + start + R"(one"})", one));
    cr_assert(!parse(ModelApi::Completions, R"({"model":"a","prompt":")" + start + R"(other"})", other));
    cr_assert(!parse(ModelApi::Completions, R"({"model":"a","prompt":"something else"})", third));
    cr_assert(one.prefixHash == other.prefixHash && one.prefixHash != third.prefixHash);
}

Test(callerrequest, mutatedBodiesNeverBreakIt)
{
    const std::string good = R"({"model":"menu@3","messages":[{"role":"user","content":"\u00e9 soup"}],)"
                             R"("max_tokens":7,"stream":true,"stop":["a",{"b":[1,2.5e3,null]}]})";
    for (std::uint32_t seed = 1; seed <= 20000; ++seed) {
        std::mt19937 random(seed);
        std::string body = good;
        const std::uint32_t changes = 1 + random() % 8;
        for (std::uint32_t change = 0; change < changes; ++change) {
            const std::size_t place = random() % body.size();
            if (random() % 3 == 0) {
                body.erase(place, 1 + random() % 4);
            } else if (random() % 2 == 0) {
                body[place] = static_cast<char>(random());
            } else {
                body.insert(place, body.substr(random() % body.size(), random() % 16));
            }
            body += body.empty() ? "{" : "";
        }
        ModelRequest request;
        if (!parse(ModelApi::Chat, body, request)) {
            const std::string made = engineBody(request.fields, "menu@3", 0, 0);
            cr_assert(nlohmann::json::accept(made), "seed %u: %s", seed, made.c_str());
            cr_assert(request.maxTokens >= 1 && !request.adapter.empty(), "seed %u", seed);
        }
    }
}

Test(callerrequest, splitsServiceTargets)
{
    ServiceName service;
    std::string path;
    cr_assert(parseServiceTarget("/services/order-app/a/b?c=d", service, path));
    cr_assert(service == "order-app" && path == "/a/b?c=d");
    cr_assert(parseServiceTarget("/services/order-app", service, path) && path == "/");
    cr_assert(parseServiceTarget("/services/order-app?x=1", service, path) && path == "/?x=1");
    cr_assert(!parseServiceTarget("/services/", service, path));
    cr_assert(!parseServiceTarget("/services//x", service, path));
    cr_assert(!parseServiceTarget("/other/x", service, path));
}

Test(calleradmission, onlyAKnownKeyOpens)
{
    const ConfigState config = twoMembers();
    MemberName member;
    cr_assert(authenticate(config, "Bearer key-of-tala", member).code == ResultCode::Ok && member == "tala");
    cr_assert(authenticate(config, "bearer key-of-tala", member).code == ResultCode::Ok);
    for (const char *wrong : {"", "Bearer", "Bearer ", "Bearer other", "Basic key-of-tala", "Bearer key-of-tala "}) {
        cr_assert(authenticate(config, wrong, member).code == ResultCode::Unauthenticated, "%s", wrong);
    }
}

Test(calleradmission, aMemberReachesOnlyItsOwn)
{
    const ConfigState config = twoMembers();
    AdapterVersion target;
    cr_assert(resolveAdapter(config, "tala", "menu", 0, target).code == ResultCode::Ok && target.version == 2);
    cr_assert(resolveAdapter(config, "tala", "menu", 3, target).code == ResultCode::Ok && target.version == 3);
    cr_assert(resolveAdapter(config, "tala", "menu", 1, target).code == ResultCode::UnknownModel);
    cr_assert(resolveAdapter(config, "tala", "menu", 9, target).code == ResultCode::UnknownModel);
    cr_assert(resolveAdapter(config, "tala", "none", 0, target).code == ResultCode::UnknownModel);
    cr_assert(resolveAdapter(config, "tala", "orders", 0, target).code == ResultCode::NotPermitted);
    cr_assert(resolveService(config, "tala", "order-app").code == ResultCode::Ok);
    cr_assert(resolveService(config, "tala", "tilaus-app").code == ResultCode::NotPermitted);
    cr_assert(resolveService(config, "tala", "none").code == ResultCode::UnknownService);
    const auto list = nlohmann::json::parse(modelList(config, "tala"));
    cr_assert(list["data"].size() == 1 && list["data"][0]["id"] == "menu");
}

Test(calleradmission, readsHeaders)
{
    RequestArrived arrival;
    CallerHeaders headers;
    cr_assert(readCallerHeaders(headers, true, arrival).code == ResultCode::Ok);
    cr_assert(arrival.repeatable && arrival.requestClass == RequestClass::Urgent && arrival.keyKind == KeyKind::None);
    headers.requestClass = "Patient";
    headers.repeatable = "no";
    cr_assert(readCallerHeaders(headers, true, arrival).code == ResultCode::Ok);
    cr_assert(!arrival.repeatable && arrival.requestClass == RequestClass::Patient);
    headers.repeatable = "yes";
    headers.idempotencyKey = "mine";
    cr_assert(readCallerHeaders(headers, true, arrival).code == ResultCode::Ok);
    cr_assert(!arrival.repeatable && arrival.keyKind == KeyKind::CallerChosen, "a key always means at most once");
    headers.repeatable = "maybe";
    cr_assert(readCallerHeaders(headers, true, arrival).code == ResultCode::MalformedRequest);
    headers.repeatable = "";
    headers.requestClass = "later";
    cr_assert(readCallerHeaders(headers, true, arrival).code == ResultCode::MalformedRequest);
    Duration timeout {0};
    cr_assert(readTimeout("250", milliseconds(1000), timeout).code == ResultCode::Ok && timeout == milliseconds(250));
    for (const char *wrong : {"0", "-1", "1001", "5s", "99999999999999999999"}) {
        cr_assert(readTimeout(wrong, milliseconds(1000), timeout).code == ResultCode::MalformedRequest, "%s", wrong);
    }
}
