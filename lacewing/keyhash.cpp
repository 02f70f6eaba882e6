// OpenSSL's digest and random generator. Keys are random and long, so that no slow password hash is needed.

#include "keyhash.h"

#include <array>
#include <cstddef>
#include <span>

#include <openssl/evp.h>
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

std::string hashKey(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(std::span(digest).first(size));
}

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
