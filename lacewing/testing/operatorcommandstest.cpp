// lacewingctl against operator faces: each exit code, racing operators, outcomes found out, waiting.

#include <array>
#include <random>
#include <sstream>

#include <unistd.h>

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include "changejson.h"
#include "commandchanges.h"
#include "commandline.h"
#include "fakebackend.h"
#include "fakehttpserver.h"
#include "metrics.h"
#include "operatorcommands.h"
#include "operatorface.h"
#include "operatorjson.h"

using namespace lacewing;

namespace {

struct Vm {
    explicit Vm(const std::string &token = "secret")
    {
        OperatorFaceOptions options;
        options.api.token = token;
        this->face = startFace(options, this->metrics, this->backend);
        cr_assert(this->face);
        this->address = options.address;
    }

    std::string url() const
    {
        return "http://" + toString(this->address);
    }

    HostPort address;
    Metrics metrics;
    FakeBackend backend;
    std::unique_ptr<OperatorFace> face;
};

struct Run {
    CommandExit code = CommandExit::Usage;
    std::string out;
    std::string errors;
};

Run run(const std::string &urls, std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "lacewingctl");
    const CommandLineReading reading = readCommandLine(arguments, [&](std::string_view name) {
        const bool token = name == "LACEWING_OPERATOR_TOKEN";
        return token ? std::optional<std::string>("secret") : std::optional<std::string>(urls);
    });
    if (!reading.run) {
        return {reading.faulty ? CommandExit::Usage : CommandExit::Done, "", reading.text};
    }
    std::ostringstream out;
    std::ostringstream errors;
    const CommandExit code = runOperatorCommand(reading.line, out, errors);
    return {code, out.str(), errors.str()};
}

bool has(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(operatorcommands, aWholeDay)
{
    Vm vm;
    const Run member = run(vm.url(), {"member", "add", "tala"});
    cr_assert(member.code == CommandExit::Done && has(member.out, "key, shown only now: lacewing-"), "%s",
              member.errors.c_str());
    const std::string created
        = run(vm.url(), {"adapter", "create", "menu", "--member", "tala", "--base-model", "b", "--source", "s/1"}).out;
    cr_assert(has(created, "accepted as revision 2"), "%s", created.c_str());
    cr_assert(has(run(vm.url(), {"adapter", "show", "menu"}).out, "s/1"));
    cr_assert(run(vm.url(), {"version", "add", "menu", "2", "--source", "s/2"}).code == CommandExit::Done);
    cr_assert(run(vm.url(), {"assign", "menu", "2"}).code == CommandExit::Done);
    cr_assert(run(vm.url(), {"version", "retire", "menu", "1"}).code == CommandExit::Done);
    cr_assert(run(vm.url(), {"service", "add", "orders", "--zone", "z", "--address", "127.0.0.1:9"}).code
              == CommandExit::Done);
    cr_assert(has(run(vm.url(), {"service", "list"}).out, "127.0.0.1:9"));
    cr_assert(run(vm.url(), {"service", "drain", "orders"}).code == CommandExit::Done);
    cr_assert(run(vm.url(), {"preset", "define", "night", "--gather-ms", "900"}).code == CommandExit::Done);
    cr_assert(run(vm.url(), {"preset", "use", "night"}).code == CommandExit::Done);
    const auto presets = nlohmann::json::parse(run(vm.url(), {"preset", "show", "night", "--output", "json"}).out);
    cr_assert(presets[0]["gather_ms"] == 900 && presets[0]["in_force"] == true);
    cr_assert(run(vm.url(), {"config", "rollback", "2"}).code == CommandExit::Done);
    cr_assert(vm.backend.blackboard.config.adapters.at("menu").assignedVersion == 1);
    cr_assert(vm.backend.blackboard.config.presetInForce == "ordinary");
    cr_assert(vm.backend.blackboard.config.revision == 10, "a rollback is a new revision");
    cr_assert(has(run(vm.url(), {"config", "diff", "9"}).out, "preset_use"));
    cr_assert(has(run(vm.url(), {"config", "history"}).out, "revision"));
    cr_assert(has(run(vm.url(), {"watch", "--count", "2", "--interval", "1ms"}).out, "ordinary"));
}

Test(operatorcommands, usageFaults)
{
    for (const std::vector<const char *> &arguments : std::vector<std::vector<const char *>> {
             {},
             {"adapter"},
             {"bogus"},
             {"adapter", "create"},
             {"adapter", "create", "x"},
             {"assign", "a"},
             {"assign", "a", "b"},
             {"preset", "use", "x", "--slots", "3"},
             {"status", "--output", "xml"},
             {"status", "--no-such"},
             {"preset", "use", "x", "--based-on", "y"},
             {"apply", "-f", "/no/such/file"},
             {"endpoint", "add", "e", "--zone", "z", "--address", "1:1"},
             {"endpoint", "add", "e", "--zone", "z", "--address", "x", "--base-model", "b"}}) {
        const Run result = run("http://127.0.0.1:1", arguments);
        cr_expect(result.code == CommandExit::Usage, "%s", result.errors.c_str());
        cr_expect(!has(result.errors, "secret"));
    }
    cr_assert(run("http://127.0.0.1:1", {"--help"}).code == CommandExit::Done);
}

Test(operatorcommands, refusals)
{
    Vm vm;
    const Run invalid = run(vm.url(), {"assign", "none", "1"});
    cr_expect(invalid.code == CommandExit::Invalid && has(invalid.errors, "refused: "), "%s", invalid.errors.c_str());
    cr_assert(run(vm.url(), {"preset", "use", "peak", "--based-on", "0"}).code == CommandExit::Done);
    const Run stale = run(vm.url(), {"preset", "use", "maintenance", "--based-on", "0"});
    cr_expect(stale.code == CommandExit::Stale && has(stale.errors, "in force was 1"), "%s", stale.errors.c_str());
    cr_assert(vm.backend.blackboard.config.presetInForce == "peak", "the racing operator who came first won");
    cr_expect(run(vm.url(), {"adapter", "show", "none"}).code == CommandExit::NotFound);
    cr_expect(run(vm.url(), {"preset", "show", "none"}).code == CommandExit::NotFound);
    const Vm other("another token");
    cr_expect(run(other.url(), {"preset", "use", "peak"}).code == CommandExit::Unauthorized);
    cr_expect(run(other.url(), {"status"}).code == CommandExit::Unauthorized);
    const std::string nobody = "http://" + toString(freeAddress());
    cr_expect(run(nobody, {"preset", "use", "peak"}).code == CommandExit::Unreachable);
    cr_expect(run(nobody + "," + vm.url(), {"preset", "use", "ordinary"}).code == CommandExit::Done);
}

Test(operatorcommands, anOutcomeThatIsUnknownIsFoundOut)
{
    Vm vm;
    vm.backend.answers = false;
    const Run accepted = run(vm.url(), {"preset", "use", "peak"});
    cr_assert(accepted.code == CommandExit::Done && has(accepted.out, "revision 1"), "%s", accepted.errors.c_str());
    vm.backend.applies = false;
    const Run unknown = run(vm.url(), {"preset", "use", "ordinary", "--timeout", "300ms"});
    cr_assert(unknown.code == CommandExit::Unknown && has(unknown.errors, "unknown: "), "%s", unknown.errors.c_str());
}

Test(operatorcommands, anUnknownOutcomeIsRefusedOnceAnotherChangeTookItsPlace)
{
    Vm vm;
    vm.backend.answers = false;
    vm.backend.applies = false;
    wire::ConfigRecord other;
    other.changes.emplace_back().__set_presetUse("peak");
    cr_assert(applyConfigRecord(vm.backend.blackboard.config, 0, "n", other).code == ResultCode::Ok);
    const Run stale = run(vm.url(), {"preset", "use", "ordinary", "--based-on", "0"});
    cr_assert(stale.code == CommandExit::Stale, "%s", stale.errors.c_str());
}

Test(operatorcommands, waitSaysWhereItIsNotInForce)
{
    Vm first;
    Vm second;
    const std::string urls = first.url() + "," + second.url();
    const Run late = run(urls, {"preset", "use", "peak", "--wait", "--timeout", "300ms"});
    cr_assert(late.code == CommandExit::NotInForce);
    cr_assert(has(late.out, "not yet in force on " + toString(second.address)), "%s", late.out.c_str());
    cr_assert(!has(late.out, "not yet in force on " + toString(first.address)));
    second.backend.blackboard.config.revision = 2;
    cr_assert(run(urls, {"preset", "use", "ordinary", "--wait"}).code == CommandExit::Done);
}

Test(operatorcommands, aVmThatHangsDoesNotHideWhatTheOthersSay)
{
    Vm first;
    Vm second;
    std::promise<void> released;
    const std::shared_future<void> release = released.get_future().share();
    const FakeHttpServer hung([&](const FakeRequest &) -> std::optional<FakeReply> {
        {
            const std::scoped_lock lock(second.backend.mutex);
            second.backend.blackboard.config.revision = 1; // after the first look has begun
        }
        release.wait();
        return std::nullopt;
    });
    const std::string hungUrl = "http://" + toString(hung.address());
    const std::string urls = first.url() + "," + second.url() + "," + hungUrl;
    const Run late = run(urls, {"preset", "use", "peak", "--wait", "--timeout", "4s"});
    released.set_value();
    cr_assert(late.code == CommandExit::NotInForce, "%s", late.errors.c_str());
    cr_assert(has(late.out, "not yet in force on " + toString(hung.address())), "%s", late.out.c_str());
    cr_assert(!has(late.out, "not yet in force on " + toString(second.address)), "%s", late.out.c_str());
}

// Only what the last look found was counted: a VM that had shown the revision and then did not answer for a second was
// named as one where it is not in force.
Test(operatorcommands, aVmThatHasShownTheRevisionNeedNotAnswerAgain)
{
    Vm first;
    std::atomic<int> looks {0};
    std::promise<void> released;
    const std::shared_future<void> release = released.get_future().share();
    const FakeHttpServer once([&](const FakeRequest &) -> std::optional<FakeReply> {
        if (looks++ > 0) {
            release.wait();
            return std::nullopt;
        }
        return FakeReply {200, R"({"revision":1})"};
    });
    const FakeHttpServer behind([&](const FakeRequest &) -> std::optional<FakeReply> {
        return FakeReply {200, R"({"revision":0})"};
    });
    const std::string onceAddress = toString(once.address());
    const std::string behindAddress = toString(behind.address());
    const std::string urls = first.url() + ",http://" + onceAddress + ",http://" + behindAddress;
    const Run late = run(urls, {"preset", "use", "peak", "--wait", "--timeout", "2s"});
    released.set_value();
    cr_assert(late.code == CommandExit::NotInForce, "%s", late.errors.c_str());
    cr_assert(has(late.out, "not yet in force on " + behindAddress), "%s", late.out.c_str());
    cr_assert(!has(late.out, "not yet in force on " + onceAddress), "%s", late.out.c_str());
}

Test(operatorcommands, largeFilesGoInBoundedRecords)
{
    constexpr std::size_t count = 3 * changesPerRecord + 1;
    nlohmann::json changes = nlohmann::json::array();
    changes.push_back({{"member_add", {{"name", "tala"}, {"key", "k"}}}});
    for (std::size_t number = 1; number < count; ++number) {
        const std::string name = "a" + std::to_string(number);
        changes.push_back({{"adapter_create", {{"name", name}, {"member", "tala"}, {"base_model", "b"}}}});
    }
    const CommandChanges read = readChangesFile(changes.dump());
    cr_assert(read.fault.empty() && read.changes.size() == count);
    cr_assert(read.changes[0].memberAdd.keyHash.size() == 64, "the key itself is not stored");
    char path[] = "/tmp/lacewing-apply-XXXXXX";
    const int file = mkstemp(path);
    cr_assert(file >= 0 && write(file, changes.dump().data(), changes.dump().size()) > 0);
    close(file);
    Vm vm;
    const Run applied = run(vm.url(), {"apply", "-f", path});
    unlink(path);
    cr_assert(applied.code == CommandExit::Done, "%s", applied.errors.c_str());
    cr_assert(vm.backend.blackboard.config.adapters.size() == count - 1);
    cr_assert(vm.backend.blackboard.config.revision == 4);
}

Test(operatorcommands, everyChangeReadsBackAsWritten)
{
    const std::array<const char *, 14> bodies {
        R"({"member_add":{"name":"n","key_hash":"h","max_in_flight":3}})",
        R"({"adapter_create":{"name":"n","member":"m","base_model":"b"}})",
        R"({"adapter_delete":{"name":"n"}})",
        R"({"version_add":{"adapter":"a","version":2,"source":"s"}})",
        R"({"version_retire":{"adapter":"a","version":2,"source":""}})",
        R"({"assign":{"adapter":"a","version":2}})",
        R"({"endpoint_add":{"name":"e","zone":"z","address":"a:1","base_model":"b","service":"","member":"",)"
        R"("checks_fencing":true,"adapter_slots":2,"max_running":5,"draining":false}})",
        R"({"endpoint_drain":{"name":"n"}})",
        R"({"preset_define":{"name":"p","urgent_reserve":0.5,"gather_ms":7,"loads_per_second":2.5,)"
        R"("stall_weight":1.5,"batch_weight":0.5,"accept_patient":false}})",
        R"({"preset_use":{"name":"n"}})",
        R"({"member_remove":{"name":"n"}})",
        R"({"endpoint_remove":{"name":"n"}})",
        R"({"version_restore":{"adapter":"a","version":2,"source":""}})",
        R"({"preset_remove":{"name":"n"}})",
    };
    for (const char *body : bodies) {
        wire::ConfigChange change;
        const std::string fault = readChangeJson(nlohmann::json::parse(body), change);
        cr_expect(fault.empty(), "%s: %s", body, fault.c_str());
        cr_expect(writeChangeJson(change) == nlohmann::json::parse(body), "%s", body);
    }
}

Test(operatorcommands, changedBytesAreReadOrRefused)
{
    constexpr int rounds = 5000;
    const std::string good = R"({"based_on":3,"author":"a","note":"n","changes":[{"adapter_create":{"name":"n",)"
                             R"("member":"m","base_model":"b"}},{"assign":{"adapter":"a","version":2}}]})";
    wire::ConfigRecord record;
    cr_assert(readChange(good, record).empty() && record.changes.size() == 2);
    std::mt19937_64 random(23);
    for (int round = 0; round < rounds; ++round) {
        std::string body = good;
        const std::size_t changes = 1 + random() % 3;
        for (std::size_t change = 0; change < changes; ++change) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        wire::ConfigRecord read;
        if (readChange(body, read).empty()) {
            wire::ConfigRecord again;
            cr_assert(readChange(writeChange(read), again).empty() && again == read, "%s", body.c_str());
        }
        readChangesFile(body);
    }
}
