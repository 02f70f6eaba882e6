// The table is indexed by a part of the digest; the rest is compared in constant time.

#include "callerkeys.h"

#include <cstring>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace lacewing {

namespace {

using Secret = std::array<unsigned char, 32>;

Secret randomSecret()
{
    Secret secret {};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
        throw std::runtime_error("no random bytes for the secret of key digests");
    }
    return secret;
}

std::uint64_t indexOf(const KeyDigest &key)
{
    std::uint64_t index = 0;
    std::memcpy(&index, key.bytes.data(), sizeof index);
    return index;
}

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    static const Secret secret = randomSecret();
    KeyDigest digest;
    const auto *text = reinterpret_cast<const unsigned char *>(key.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), text, key.size(), digest.bytes.data(),
             nullptr)
        == nullptr) {
        throw std::runtime_error("digest of a key failed");
    }
    return digest;
}

void addKey(CallerKeys &keys, const KeyDigest &key, std::size_t organisation)
{
    keys.emplace(indexOf(key), CallerKey {key, organisation});
}

std::optional<std::size_t> findKey(const CallerKeys &keys, const KeyDigest &key)
{
    const auto [first, last] = keys.equal_range(indexOf(key));
    for (auto found = first; found != last; ++found) {
        if (CRYPTO_memcmp(found->second.digest.bytes.data(), key.bytes.data(), key.bytes.size()) == 0) {
            return found->second.organisation;
        }
    }
    return std::nullopt;
}

} // namespace lacewing
