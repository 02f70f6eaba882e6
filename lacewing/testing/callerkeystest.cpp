// Keys of organisations: only the digest of a key is kept, and it identifies one organisation.

#include "callerkeys.h"

#include <random>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace lacewing;

Test(callerkeys, aKeyLeadsToItsOrganisationOnly)
{
    CallerKeys keys;
    constexpr std::size_t organisations = 50;
    for (std::size_t index = 0; index < organisations; ++index) {
        addKey(keys, digestOfKey("key-" + std::to_string(index)), index);
    }
    for (std::size_t index = 0; index < organisations; ++index) {
        cr_assert_eq(findKey(keys, digestOfKey("key-" + std::to_string(index))).value(), index);
    }
    std::mt19937 random(7);
    for (int round = 0; round < 5000; ++round) {
        std::string guess = "key-" + std::to_string(random() % organisations);
        char &letter = guess[random() % guess.size()];
        letter = static_cast<char>(letter ^ (1 << (random() % 7)));
        const bool isKey = guess.starts_with("key-") && guess.find_first_not_of("0123456789", 4) == std::string::npos
            && guess.size() > 4 && (guess.size() == 5 || guess[4] != '0')
            && std::stoul(guess.substr(4)) < organisations;
        cr_assert_eq(findKey(keys, digestOfKey(guess)).has_value(), isKey, "%s", guess.c_str());
    }
    cr_assert_not(findKey(keys, digestOfKey("")).has_value());
}

// The table is indexed by a part of the digest: two keys with the same index are still told apart.
Test(callerkeys, keysWithTheSameIndexAreToldApart)
{
    CallerKeys keys;
    KeyDigest one = digestOfKey("one");
    KeyDigest other = one;
    other.bytes.back() ^= 1U;
    addKey(keys, one, 1);
    cr_assert_not(findKey(keys, other).has_value());
    addKey(keys, other, 2);
    cr_assert_eq(findKey(keys, one).value(), 1U);
    cr_assert_eq(findKey(keys, other).value(), 2U);
}

Test(callerkeys, aDigestDoesNotContainTheKey)
{
    const std::string key = "asnmgkcuyj8pjbvk9m68";
    const KeyDigest digest = digestOfKey(key);
    const std::string bytes(digest.bytes.begin(), digest.bytes.end());
    for (std::size_t start = 0; start + 4 <= key.size(); ++start) {
        cr_assert_eq(bytes.find(key.substr(start, 4)), std::string::npos);
    }
}
