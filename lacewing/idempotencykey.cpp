// The code is HMAC-SHA-256 cut to 128 bits: keys live for minutes and a guess must be made online. Fields
// are split off from the end, so that a VM's name may hold the separator.

#include "idempotencykey.h"

#include <array>
#include <charconv>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace lacewing {

namespace {

constexpr std::string_view mintedPrefix = "lw1.";
constexpr char separator = '.';
constexpr std::size_t keptBytes = 16;
constexpr std::size_t longestMintedKey = 512;
constexpr int hexBase = 16;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned lowDigit = 0xfU;
    constexpr unsigned digitBits = 4U;
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text += digits[bytes[index] >> digitBits];
        text += digits[bytes[index] & lowDigit];
    }
    return text;
}

std::string numberToHex(std::uint64_t number)
{
    std::array<char, 2 * sizeof number> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, hexBase);
    return {buffer.data(), end.ptr};
}

bool numberFromHex(std::string_view text, std::uint64_t &number)
{
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number, hexBase);
    return !text.empty() && end.ec == std::errc {} && end.ptr == text.data() + text.size();
}

std::string codeOf(std::string_view body, std::string_view member, std::string_view secret)
{
    std::string message(body);
    message += '\0';
    message += member;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(message.data()), message.size(), digest.data(), &size);
    return toHex(digest.data(), keptBytes);
}

/// Cuts the text behind the last separator off.
std::string_view cutLast(std::string_view &text)
{
    const std::size_t at = text.rfind(separator);
    if (at == std::string_view::npos) {
        return {};
    }
    const std::string_view last = text.substr(at + 1);
    text = text.substr(0, at);
    return last;
}

} // namespace

KeyKind keyKindOf(std::string_view key)
{
    if (key.empty()) {
        return KeyKind::None;
    }
    return key.starts_with(mintedPrefix) ? KeyKind::Minted : KeyKind::CallerChosen;
}

std::string writeMintedKey(const MintedKey &key, std::string_view member, std::string_view secret)
{
    std::string body(mintedPrefix);
    body += key.home;
    body += separator + numberToHex(static_cast<std::uint64_t>(key.incarnation));
    body += separator + numberToHex(key.number);
    body += separator + numberToHex(static_cast<std::uint64_t>(key.expires.time_since_epoch().count()));
    return body + separator + codeOf(body, member, secret);
}

std::optional<MintedKey> parseMintedKey(std::string_view text)
{
    if (text.size() > longestMintedKey || !text.starts_with(mintedPrefix)) {
        return std::nullopt;
    }
    std::uint64_t expires = 0;
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0;
    std::string_view rest = text.substr(mintedPrefix.size());
    cutLast(rest); // the code
    const bool read = numberFromHex(cutLast(rest), expires) && numberFromHex(cutLast(rest), number)
        && numberFromHex(cutLast(rest), incarnation) && !rest.empty();
    if (!read) {
        return std::nullopt;
    }
    MintedKey key;
    key.home = rest;
    key.incarnation = static_cast<std::int64_t>(incarnation);
    key.number = number;
    key.expires = TimePoint(Duration(static_cast<std::int64_t>(expires)));
    return key;
}

std::optional<MintedKey> readMintedKey(std::string_view text, std::string_view member, std::string_view secret)
{
    if (text.size() > longestMintedKey) {
        return std::nullopt;
    }
    std::string_view body = text;
    const std::string_view code = cutLast(body);
    const std::string wanted = codeOf(body, member, secret);
    if (code.size() != wanted.size() || CRYPTO_memcmp(code.data(), wanted.data(), wanted.size()) != 0) {
        return std::nullopt;
    }
    return parseMintedKey(text);
}

std::string hashChosenKey(std::string_view key, std::string_view member)
{
    std::string message(member);
    message += '\0';
    message += key;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_Digest(message.data(), message.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), keptBytes);
}

} // namespace lacewing
