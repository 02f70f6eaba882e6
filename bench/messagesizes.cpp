// Each message is filled as in a large deployment: names of 16 to 20 characters, numbers of five to ten
// digits, since the compact protocol writes small numbers in fewer bytes.

#include "messagesizes.h"

#include "codec.h"
#include "types.h"

namespace lacewing {

namespace {

constexpr std::int64_t largeOffset = 48'000'000;
constexpr std::int64_t largeIncarnation = 1'796'000'000'000;
constexpr const char *vmName = "entry-luzon-a-01";
constexpr const char *endpointName = "kusina-llm-luzon-a-01";
constexpr const char *adapterName = "guest-answers-0140000";

wire::RequestId requestId()
{
    wire::RequestId id;
    id.node = 0x4f1e2d3c5b6a7988;
    id.number = 1'000'000;
    return id;
}

wire::ResidencyDelta residencyDelta(int added)
{
    wire::ResidencyDelta delta;
    delta.endpoint = endpointName;
    delta.epoch = largeOffset;
    delta.sequence = 100'000;
    delta.running = 8;
    for (int number = 0; number < added; ++number) {
        delta.added.push_back(makeAdapterVersion(adapterName, 12));
    }
    return delta;
}

wire::Heartbeat heartbeat()
{
    wire::Heartbeat beat;
    beat.vm = vmName;
    beat.incarnation = largeIncarnation;
    beat.zone = "luzon-a";
    beat.sequence = 100'000;
    beat.appliedOffset = largeOffset;
    beat.configRevision = 5'000'000;
    beat.logAgeMilliseconds = 400;
    return beat;
}

std::size_t sizeOfHeartbeat(const wire::Heartbeat &beat)
{
    wire::ControlMessage message;
    message.__set_heartbeat(beat);
    wire::PeerFrame frame;
    frame.__set_control(message);
    return encode(frame).size();
}

std::size_t sizeOfOffer(std::size_t bodyBytes)
{
    wire::OfferFrame offer;
    offer.offer.attempt = makeAttemptId(requestId(), 1);
    offer.offer.endpoint = endpointName;
    offer.offer.fencing = largeOffset;
    offer.offer.member = "tala-alpine";
    offer.offer.adapter = makeAdapterVersion(adapterName, 12);
    offer.offer.requestClass = RequestClass::Urgent;
    offer.offer.remainingMilliseconds = 60'000;
    offer.offer.promptTokens = 500;
    offer.offer.maxTokens = 256;
    offer.offer.prefixHash = 0x1f1e2d3c5b6a7988;
    offer.body.assign(bodyBytes, 'x');
    wire::PeerFrame frame;
    frame.__set_offer(offer);
    return encode(frame).size();
}

std::size_t sizeOfData(std::size_t textBytes)
{
    wire::DataFrame data;
    data.attempt = makeAttemptId(requestId(), 1);
    data.position = 100;
    data.bytes.assign(textBytes, 'x');
    wire::PeerFrame frame;
    frame.__set_data(data);
    return encode(frame).size();
}

std::size_t sizeOfEnd()
{
    wire::EndFrame ended;
    ended.attempt = makeAttemptId(requestId(), 1);
    ended.result.outcome = AttemptOutcome::Completed;
    ended.result.position = 256;
    ended.result.queueMicroseconds = 20'000;
    wire::PeerFrame frame;
    frame.__set_ended(ended);
    return encode(frame).size();
}

std::size_t sizeOfGrantRound()
{
    wire::ControlMessage request;
    request.__set_grantRequest({});
    request.grantRequest.endpoint = endpointName;
    request.grantRequest.adapter = makeAdapterVersion(adapterName, 12);
    request.grantRequest.worth = 1;
    request.grantRequest.number = 100'000;
    wire::ControlMessage reply;
    reply.__set_grantReply({});
    reply.grantReply.endpoint = endpointName;
    reply.grantReply.adapter = request.grantRequest.adapter;
    reply.grantReply.number = 100'000;
    wire::ControlMessage done;
    done.__set_grantDone({});
    done.grantDone.endpoint = endpointName;
    done.grantDone.adapter = request.grantRequest.adapter;
    done.grantDone.number = 100'000;
    return encode(request).size() + encode(reply).size() + encode(done).size();
}

wire::LogRecord emptyRecord()
{
    wire::LogRecord record;
    record.nonce = "entry-luzon-a-01/1796000000000/100000";
    record.writer = vmName;
    return record;
}

std::size_t sizeOfClaim()
{
    wire::LogRecord record = emptyRecord();
    record.__set_claim({});
    record.claim.resource = std::string("endpoint/") + endpointName;
    record.claim.vm = vmName;
    record.claim.incarnation = largeIncarnation;
    record.claim.supersedes = largeOffset;
    return encode(record).size();
}

std::size_t sizeOfVersionChange()
{
    wire::LogRecord record = emptyRecord();
    record.__set_config({});
    record.config.basedOn = 5'000'000;
    record.config.author = "operator-name";
    wire::VersionSpec version;
    version.adapter = adapterName;
    version.version = 12;
    version.source = "weights/guest-answers-0140000/12";
    wire::ConfigChange change;
    change.__set_versionAdd(version);
    record.config.changes.push_back(change);
    return encode(record).size();
}

std::size_t sizeOfKeyClaims(int keys)
{
    wire::LogRecord record = emptyRecord();
    record.__set_keys({});
    record.keys.vm = vmName;
    record.keys.incarnation = largeIncarnation;
    for (int number = 0; number < keys; ++number) {
        wire::KeyClaim claim;
        claim.keyHash.assign(32, 'h');
        claim.request = requestId();
        record.keys.claims.push_back(claim);
    }
    return encode(record).size();
}

wire::VmDatagram vmDatagram()
{
    wire::VmDatagram datagram;
    datagram.vm = vmName;
    datagram.incarnation = largeIncarnation;
    datagram.number = 1'000'000;
    datagram.zone = "luzon-a";
    datagram.configOffset = largeOffset;
    datagram.millicores = 250;
    return datagram;
}

std::size_t sizeOfOriginRecords(int count)
{
    constexpr std::int64_t largeKey = 0x4f1e2d3c5b6a7988;
    constexpr std::int32_t life = 40'000;
    wire::OriginRecords records;
    records.versionNames = {"v1.12.3"};
    for (int number = 0; number < count; ++number) {
        records.keys.push_back(largeKey + number);
        records.versions.push_back(0);
        records.lifeMilliseconds.push_back(life);
    }
    wire::VmDatagram datagram = vmDatagram();
    datagram.__set_originRecords(records);
    return encode(datagram).size();
}

std::size_t sizeOfOriginAsk()
{
    wire::OriginAsk ask;
    ask.ticket = 100'000;
    ask.key = 0x4f1e2d3c5b6a7988;
    wire::VmDatagram datagram = vmDatagram();
    datagram.__set_originAsk(ask);
    return encode(datagram).size();
}

std::size_t sizeOfOriginAnswer()
{
    wire::OriginAnswer answer;
    answer.ticket = 100'000;
    answer.known = true;
    answer.softwareVersion = "v1.12.3";
    answer.collectedMilliseconds = 10'000'000;
    wire::VmDatagram datagram = vmDatagram();
    datagram.__set_originAnswer(answer);
    return encode(datagram).size();
}

} // namespace

std::vector<MessageSize> messageSizes()
{
    constexpr std::size_t tokenBytes = 4;
    wire::Heartbeat withDelta = heartbeat();
    withDelta.residency.push_back(residencyDelta(1));
    return {
        {"heartbeat without news", sizeOfHeartbeat(heartbeat())},
        {"heartbeat with one residency delta", sizeOfHeartbeat(withDelta)},
        {"offer without body", sizeOfOffer(0)},
        {"data frame of one token", sizeOfData(tokenBytes)},
        {"end frame", sizeOfEnd()},
        {"grant request, reply and done", sizeOfGrantRound()},
        {"claim record", sizeOfClaim()},
        {"configuration record, one change", sizeOfVersionChange()},
        {"key claims record, 1 key", sizeOfKeyClaims(1)},
        {"key claims record, 64 keys", sizeOfKeyClaims(64)},
        {"origins of streams, 1 record", sizeOfOriginRecords(1)},
        {"origins of streams, 10 records", sizeOfOriginRecords(10)},
        {"ask for an origin", sizeOfOriginAsk()},
        {"answer with an origin", sizeOfOriginAnswer()},
    };
}

} // namespace lacewing
