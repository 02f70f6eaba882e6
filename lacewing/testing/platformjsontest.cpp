// The platform's answers: good ones are read, all others refused, whatever their bytes.

#include <array>
#include <random>

#include <criterion/criterion.h>

#include "codec.h"
#include "platformjson.h"

using namespace lacewing;

namespace {

constexpr std::string_view goodPage = R"({"first":4,"oldest":2,"end":9,"records":[{"offset":4,"data":"AAAA"},)"
                                      R"({"offset":5,"data":"%%%"}]})";
constexpr std::string_view goodList = R"({"stamp":8,"vms":[{"name":"vm-1","zone":"z","address":"127.0.0.1:1",)"
                                      R"("leaving":true},{"name":"e1","zone":"z","address":"","leaving":false}]})";

} // namespace

Test(platformjson, readsAPage)
{
    RecordsRead page;
    cr_assert(!parseLogPage(goodPage, page));
    cr_assert(page.firstOffset == 4 && page.oldestKept == 2 && page.end == 9);
    cr_assert(page.records.size() == 2);
    cr_assert(page.records[1].offset == 5, "a record that cannot be decoded keeps its offset");
    cr_assert(!page.records[1].record.__isset.config);
}

Test(platformjson, decodesRecords)
{
    wire::LogRecord record;
    record.nonce = "n7";
    wire::ReleaseRecord release;
    release.resource = "grant";
    record.__set_release(release);
    const std::string bytes = encode(record);
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t sextet = 0; sextet < 4; ++sextet) {
            const bool padding = at + sextet > bytes.size();
            text += padding ? '=' : alphabet[group >> (18 - 6 * sextet) & 63U];
        }
    }
    RecordsRead page;
    cr_assert(!parseLogPage(R"({"first":0,"oldest":0,"end":1,"records":[{"offset":0,"data":")" + text + "\"}]}", page));
    cr_assert(page.records[0].record == record);
}

Test(platformjson, refusesBadPages)
{
    constexpr std::array bad {
        "",
        "[]",
        "{}",
        "null",
        R"({"first":-1,"oldest":0,"end":0,"records":[]})",
        R"({"first":0,"oldest":5,"end":4,"records":[]})",
        R"({"first":0,"oldest":0,"end":1e30,"records":[]})",
        R"({"first":0,"oldest":0,"end":18446744073709551615,"records":[]})",
        R"({"first":0,"oldest":0,"end":1,"records":{}})",
        R"({"first":0,"oldest":0,"end":1,"records":[4]})",
        R"({"first":0,"oldest":0,"end":1,"records":[{"offset":0}]})",
        R"({"first":0,"oldest":0,"end":3,"records":[{"offset":0,"data":""},{"offset":2,"data":""}]})",
        R"({"first":0,"oldest":0,"end":3,"records":[{"offset":0,"data":""},{"offset":0,"data":""}]})",
        R"({"first":0,"oldest":0,"end":1,"records":[{"offset":0,"data":""},{"offset":1,"data":""}]})",
    };
    for (const char *body : bad) {
        RecordsRead page;
        page.end = 77;
        cr_expect(parseLogPage(body, page), "%s", body);
        cr_expect(page.end == 77, "an answer that was refused changes nothing: %s", body);
    }
}

Test(platformjson, readsAndRefusesVmLists)
{
    VmListRead list;
    cr_assert(!parseVmList(goodList, list));
    cr_assert(list.stamp == 8 && list.entries.size() == 2 && list.entries[0].leaving && !list.entries[1].leaving);
    for (const char *body : {"{}", R"({"stamp":1})", R"({"stamp":1,"vms":[{}]})", R"({"stamp":1,"vms":[1]})",
                             R"({"stamp":"1","vms":[]})", R"({"stamp":1,"vms":[{"name":"","zone":"z"}]})"}) {
        cr_expect(parseVmList(body, list), "%s", body);
    }
    LogOffset offset = 0;
    cr_assert(!parseAppendAnswer(R"({"offset":3})", offset) && offset == 3);
    cr_assert(parseAppendAnswer(R"({"offset":-3})", offset) && parseAppendAnswer("", offset));
}

Test(platformjson, deepNestingIsHarmless)
{
    constexpr std::size_t depth = 1'000'000;
    RecordsRead page;
    cr_assert(parseLogPage(std::string(depth, '['), page));
    cr_assert(parseLogPage(std::string(depth, '[') + std::string(depth, ']'), page));
}

Test(platformjson, changedBytesNeverCrash)
{
    constexpr int rounds = 5000;
    std::mt19937_64 random(11);
    for (int round = 0; round < rounds; ++round) {
        std::string body(round % 2 == 0 ? goodPage : goodList);
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        body.resize(random() % 8 == 0 ? random() % body.size() : body.size());
        RecordsRead page;
        VmListRead list;
        if (!parseLogPage(body, page)) {
            for (std::size_t index = 0; index < page.records.size(); ++index) {
                cr_assert(page.records[index].offset == page.firstOffset + static_cast<LogOffset>(index));
            }
        }
        parseVmList(body, list);
        for (const VmListEntry &entry : list.entries) {
            cr_assert(!entry.vm.empty());
        }
    }
}
