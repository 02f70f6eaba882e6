// The header's value is the Thrift form in base64, as header values are text.

#include "forwarding.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include "codec.h"

namespace lacewing {

namespace {

constexpr std::string_view forwardingHeader = "Lacewing-Forwarded";
constexpr std::string_view resultHeader = "Lacewing-Result";
constexpr std::string_view sourceHeader = "Lacewing-Endpoint";
constexpr std::size_t tokenBytes = 16;
constexpr std::size_t maxEndpointIdBytes = 256;

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // with the final zero that OpenSSL writes
    const int size
        = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                          reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// @return the bytes, followed by up to two zeros in place of the padding
std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    const int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                          reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size));
    return bytes;
}

/// @return requests in progress per thousandth of a core, if one more is forwarded
double loadWithOneMore(const ForwardingPeer &peer)
{
    return (peer.forwarded + 1.0) / std::max(1, peer.millicores);
}

} // namespace

const ForwardingPeer *choosePeer(std::span<const ForwardingPeer> peers, std::uint64_t draw)
{
    const ForwardingPeer *best = nullptr;
    for (std::size_t step = 0; step < peers.size(); ++step) {
        const ForwardingPeer &peer = peers[(draw + step) % peers.size()];
        if (best == nullptr || loadWithOneMore(peer) < loadWithOneMore(*best)) {
            best = &peer;
        }
    }
    return best;
}

bool mayTakeOver(const wire::ForwardedRequest &request, std::int64_t configVersion, bool unreachable)
{
    return request.configVersion <= configVersion && !unreachable;
}

bool mayTryAnotherPeer(ResultCode code)
{
    switch (code) {
    case ResultCode::ForwardRefused:
    case ResultCode::ShuttingDown:
    case ResultCode::NoConfiguration:
    case ResultCode::ConfigOutdated:
    case ResultCode::KeyUnproven:
    case ResultCode::NoEndpoint:
        return true;
    default:
        return false;
    }
}

void writeForwarding(HttpHeaders &headers, const wire::ForwardedRequest &request)
{
    dropHeader(headers, forwardingHeader);
    headers.push_back({std::string(forwardingHeader), toBase64(encode(request))});
}

std::optional<wire::ForwardedRequest> takeForwarding(HttpHeaders &headers)
{
    const std::optional<std::string> bytes = fromBase64(findHeader(headers, forwardingHeader));
    dropHeader(headers, forwardingHeader);
    wire::ForwardedRequest request;
    if (!bytes || bytes->empty() || decode(*bytes, request)) {
        return std::nullopt;
    }
    return request;
}

void writeForwardingResult(HttpHeaders &headers, const ForwardingResult &result)
{
    const std::string code = std::to_string(static_cast<int>(result.code));
    headers.push_back({std::string(resultHeader), code + " " + std::to_string(toMilliseconds(result.retryAfter))});
}

void dropForwardingResult(HttpHeaders &headers)
{
    dropHeader(headers, resultHeader);
    dropHeader(headers, sourceHeader);
}

void writeAnswerSource(HttpHeaders &headers, const EndpointInstance &instance)
{
    headers.push_back({std::string(sourceHeader), std::to_string(instance.born) + " " + instance.id});
}

std::optional<EndpointInstance> readAnswerSource(std::span<const HttpHeader> headers)
{
    const std::string_view value = findHeader(headers, sourceHeader);
    const std::size_t space = value.find(' ');
    const auto born = parseNumber(value.substr(0, space));
    if (!born || space == std::string_view::npos || value.size() - space > maxEndpointIdBytes) {
        return std::nullopt;
    }
    return EndpointInstance {EndpointName(value.substr(space + 1)), *born};
}

std::optional<ForwardingResult> readForwardingResult(std::span<const HttpHeader> headers)
{
    const std::string_view value = findHeader(headers, resultHeader);
    const std::size_t space = std::min(value.find(' '), value.size());
    const auto number = parseNumber(value.substr(0, space));
    const auto isNumber = [&](const ResultCodeInfo &info) { return number == static_cast<int>(info.code); };
    const auto codes = resultCodes();
    const auto found = std::find_if(codes.begin(), codes.end(), isNumber);
    if (found == codes.end()) {
        return std::nullopt;
    }
    const auto retryAfter = parseNumber(value.substr(std::min(space + 1, value.size())));
    return ForwardingResult {found->code, milliseconds(retryAfter.value_or(0))};
}

bool equalSecrets(std::string_view one, std::string_view other)
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

std::string makeToken()
{
    std::array<unsigned char, tokenBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("no random bytes for the token of this VM");
    }
    return toBase64({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

} // namespace lacewing
