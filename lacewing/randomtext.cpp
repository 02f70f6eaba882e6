// OpenSSL's random generator. Keys are random and long, so that no slow password hash is needed.

#include "randomtext.h"

#include <array>
#include <cstddef>
#include <span>
#include <string_view>

#include <openssl/rand.h>

namespace lacewing {

namespace {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t submissionBytes = 8;
constexpr std::string_view keyPrefix = "lacewing-";

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

template<std::size_t Size>
std::string randomHex()
{
    std::array<unsigned char, Size> bytes {};
    const bool good = RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1;
    return good ? toHex(bytes) : "";
}

} // namespace

std::string generateKey()
{
    const std::string random = randomHex<keyBytes>();
    return random.empty() ? "" : std::string(keyPrefix) + random;
}

std::string generateSubmissionId()
{
    return randomHex<submissionBytes>();
}

} // namespace lacewing
