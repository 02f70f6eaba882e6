// Frames between VMs, an engine's events and the answer they make up: cut, late, doubled, missing.

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

#include "answerstream.h"
#include "codec.h"
#include "engineevents.h"
#include "enginereports.h"
#include "peerframe.h"
#include "relaycredit.h"

using namespace lacewing;

namespace {

constexpr std::size_t largestFrame = 4096;

AttemptId attempt(std::int32_t number)
{
    RequestId request;
    request.node = 7;
    request.number = 1;
    return makeAttemptId(request, number);
}

wire::DataFrame data(std::int32_t attemptNumber, std::int64_t position, std::string bytes)
{
    wire::DataFrame frame;
    frame.attempt = attempt(attemptNumber);
    frame.position = position;
    frame.bytes = std::move(bytes);
    return frame;
}

FrameVerdict give(AnswerStream &answer, std::int32_t attemptNumber, std::int64_t position, std::string bytes = "x")
{
    wire::DataFrame frame = data(attemptNumber, position, std::move(bytes));
    return answer.takeData(frame);
}

AnswerStream wholeAnswerStream(std::size_t largest = 1000)
{
    AnswerStream answer(AnswerKind::Whole, makeAnswerFormat(ModelApi::Completions, "r", "a@1", 0), largest);
    answer.beginAttempt(attempt(1));
    return answer;
}

wire::AttemptResult completedAt(std::int64_t position)
{
    wire::AttemptResult result;
    result.outcome = AttemptOutcome::Completed;
    result.position = position;
    return result;
}

std::string engineStream()
{
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\"}}]}\n\n"
           "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" one\"}}]}\r\n\r\n"
           ": a comment\n"
           "data:{\"choices\":[{\"index\":0,\"text\":\" two\"}]}\n\n"
           "data: {\"choices\":[]}\n\n"
           "data: [DONE]\n\n";
}

} // namespace

Test(peerframe, framesSurviveAnyCut)
{
    std::string stream;
    for (int number = 0; number < 50; ++number) {
        wire::PeerFrame frame;
        frame.__set_data(data(1, number, std::string(static_cast<std::size_t>(number * 7), 'd')));
        appendFrame(frame, stream);
    }
    std::mt19937 random(1);
    std::string buffer;
    std::int64_t expected = 0;
    for (std::size_t place = 0; place < stream.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 40, stream.size() - place);
        buffer += stream.substr(place, size);
        place += size;
        std::string_view rest = buffer;
        std::string_view bytes;
        while (takeFrame(rest, largestFrame, bytes) == FrameScan::Whole) {
            wire::PeerFrame frame;
            cr_assert(!decode(bytes, frame));
            cr_assert(frame.data.position == expected);
            ++expected;
        }
        buffer.erase(0, buffer.size() - rest.size());
    }
    cr_assert(expected == 50 && buffer.empty());
}

Test(peerframe, refusesAFrameOverTheLimitAtItsLength)
{
    const std::string length {'\x00', '\x00', '\x10', '\x01'};
    std::string_view input = length;
    std::string_view bytes;
    cr_assert(takeFrame(input, largestFrame, bytes) == FrameScan::TooLarge);
}

Test(peerframe, mutatedFramesNeverBreakIt)
{
    wire::OfferFrame offer;
    offer.offer.attempt = attempt(1);
    offer.offer.endpoint = "e1";
    offer.head.headers["X-Request-Id"] = "r";
    offer.body = "{}";
    wire::PeerFrame frame;
    frame.__set_offer(offer);
    std::string good;
    appendFrame(frame, good);
    for (std::uint32_t seed = 1; seed <= 20000; ++seed) {
        std::mt19937 random(seed);
        std::string bytes = good;
        for (std::uint32_t change = 1 + random() % 6; change > 0; --change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        std::string_view rest = bytes;
        std::string_view whole;
        if (takeFrame(rest, largestFrame, whole) == FrameScan::Whole) {
            wire::PeerFrame read;
            if (!decode(whole, read)) {
                cr_assert(read.offer.body.size() <= bytes.size(), "seed %u", seed);
            }
        }
    }
}

Test(engineevents, sameTokensHoweverCut)
{
    const std::string stream = engineStream();
    for (std::uint32_t seed = 1; seed <= 500; ++seed) {
        std::mt19937 random(seed);
        EngineEventReader reader;
        std::string text;
        int ends = 0;
        for (std::size_t place = 0; place < stream.size();) {
            const std::size_t size = std::min<std::size_t>(1 + random() % 30, stream.size() - place);
            reader.push(std::string_view(stream).substr(place, size), [&](const EngineEvent &event) {
                cr_assert(event.kind == EngineEventKind::Token || event.kind == EngineEventKind::Done);
                text += event.text;
                ends += event.kind == EngineEventKind::Done ? 1 : 0;
            });
            place += size;
        }
        cr_assert(text == " one two" && ends == 1, "seed %u", seed);
    }
}

Test(engineevents, anEndlessLineIsRefused)
{
    EngineEventReader reader;
    std::vector<EngineEventKind> kinds;
    const std::string piece(std::size_t {64} * 1024, 'x');
    for (int count = 0; count < 8; ++count) {
        reader.push(piece, [&kinds](const EngineEvent &event) { kinds.push_back(event.kind); });
    }
    cr_assert(kinds.size() == 1 && kinds.front() == EngineEventKind::Malformed);
}

Test(engineevents, whatIsNoEventIsMalformed)
{
    for (const char *line : {"nonsense", "{}", "[]", "{\"choices\":7}", "{\"choices\":[7]}"}) {
        EngineEvent event;
        cr_assert(readEngineEvent(line, event) && event.kind == EngineEventKind::Malformed, "%s", line);
    }
    EngineEvent event;
    cr_assert(readEngineEvent("{\"error\":{\"message\":\"lost\"}}", event));
    cr_assert(event.kind == EngineEventKind::Error && event.text == "lost");
}

Test(enginereports, takenWholeOrNotAtAll)
{
    EndpointReported report;
    cr_assert(readLoadReport(R"({"running":2,"waiting":1,"adapters":["a@1","b@7"],"incarnation":"i"})", report));
    cr_assert(report.running == 2 && report.resident.size() == 2 && report.incarnation == "i");
    for (const char *wrong : {"", "[]", R"({"running":2,"waiting":1})", R"({"running":-1,"waiting":1,"adapters":[]})",
                              R"({"running":2,"waiting":1,"adapters":["a@x"]})"}) {
        EndpointReported other;
        cr_assert(!readLoadReport(wrong, other), "%s", wrong);
    }
    cr_assert(saysLeaving(503, R"({"status":"leaving"})") && !saysLeaving(200, R"({"status":"leaving"})"));
    cr_assert(saysLeaving(503, R"({"error":{"code":"leaving"}})") && !saysLeaving(503, "[[["));
}

Test(answerstream, takesEachPositionOnceAcrossAttempts)
{
    AnswerStream answer = wholeAnswerStream();
    cr_assert(give(answer, 1, 0, "a") == FrameVerdict::Accepted);
    cr_assert(give(answer, 1, 0, "a") == FrameVerdict::Late, "doubled");
    cr_assert(give(answer, 1, 2, "c") == FrameVerdict::Gap, "one is missing");
    answer.beginAttempt(attempt(2));
    cr_assert(give(answer, 1, 1, "X") == FrameVerdict::Late, "of the attempt before");
    cr_assert(give(answer, 2, 1, "b") == FrameVerdict::Accepted);
    answer.cancelAttempt(attempt(2));
    cr_assert(give(answer, 2, 2, "X") == FrameVerdict::Late, "of a cancelled attempt");
    answer.beginAttempt(attempt(3));
    cr_assert(give(answer, 3, 0, "X") == FrameVerdict::Late, "had before");
    cr_assert(give(answer, 3, 2, "c") == FrameVerdict::Accepted);
    cr_assert(answer.takeOutput() == "abc" && answer.position() == 3);
}

Test(answerstream, neverSilentlyShort)
{
    AnswerStream answer = wholeAnswerStream();
    give(answer, 1, 0);
    wire::AttemptResult early = completedAt(2);
    cr_assert(!answer.takeEnd(attempt(9), early), "the end of another attempt");
    cr_assert(answer.takeEnd(attempt(1), early));
    cr_assert(early.outcome == AttemptOutcome::Broken && early.position == 1);
    answer.beginAttempt(attempt(2));
    give(answer, 2, 1);
    wire::AttemptResult whole = completedAt(2);
    cr_assert(answer.takeEnd(attempt(2), whole) && whole.outcome == AttemptOutcome::Completed);
}

Test(answerstream, aServiceAnswerNeedsItsHead)
{
    AnswerStream answer(AnswerKind::Service, AnswerFormat {}, 0);
    answer.beginAttempt(attempt(1));
    wire::AttemptResult result = completedAt(0);
    cr_assert(answer.takeEnd(attempt(1), result) && result.outcome == AttemptOutcome::Unknown);
}

Test(answerstream, assembledAnswerIsBounded)
{
    AnswerStream answer = wholeAnswerStream(10);
    cr_assert(give(answer, 1, 0, "0123456789") == FrameVerdict::Accepted);
    cr_assert(give(answer, 1, 1, "0") == FrameVerdict::TooLarge);
}

Test(answerstream, creditComesOnlyForWhatWasTaken)
{
    AnswerStream answer(AnswerKind::EventStream, makeAnswerFormat(ModelApi::Chat, "r", "a@1", 0), 0);
    answer.beginAttempt(attempt(1));
    std::int64_t cost = 0;
    for (std::int64_t position = 0; cost < creditStep; ++position) {
        wire::DataFrame frame = data(1, position, " token");
        cost += dataCost(frame);
        answer.takeData(frame);
        cr_assert(answer.takeCredit() == 0, "the caller has taken nothing yet");
    }
    answer.takeOutput();
    cr_assert(answer.takeCredit() == cost);
    cr_assert(answer.takeCredit() == 0);
}
