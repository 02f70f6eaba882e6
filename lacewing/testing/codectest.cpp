// The codec gives back what it was given and refuses what it cannot read.

#include <criterion/criterion.h>

#include "codec.h"
#include "resultcode.h"

using namespace lacewing;

Test(codec, logRecordRoundTrip)
{
    wire::ClaimRecord claim;
    claim.resource = "endpoint/e1";
    claim.vm = "vm-1";
    claim.supersedes = 41;
    wire::LogRecord record;
    record.nonce = "n1";
    record.__set_claim(claim);

    wire::LogRecord back;
    cr_assert(!decode(encode(record), back));
    cr_assert(back == record);
}

Test(codec, refusesTruncatedBytes)
{
    wire::LogRecord record;
    record.nonce = "a nonce of some length";
    const std::string bytes = encode(record);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        wire::LogRecord back;
        const std::error_code error = decode(std::string_view(bytes).substr(0, size), back);
        cr_assert(error == ResultCode::MalformedRecord, "%zu bytes", size);
    }
}

Test(codec, refusesNewerFormat)
{
    wire::LogRecord record;
    record.format = 99;
    wire::LogRecord back;
    cr_assert(decode(encode(record), back) == ResultCode::UnknownFormat);
}
