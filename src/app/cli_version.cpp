#include "app/cli.hpp"

#include <boost/version.hpp>
#include <event2/event.h>
#include <http_parser.h>
#include <nng/nng.h>

namespace knapweedstream
{

namespace
{

constexpr auto version = "0.1.0";

auto http_parser_text() -> std::string
{
    auto const n = http_parser_version();
    constexpr auto byte = 8u;
    constexpr auto mask = 0xffu;
    return std::to_string((n >> (2 * byte)) & mask) + "." +
           std::to_string((n >> byte) & mask) + "." + std::to_string(n & mask);
}

auto boost_text() -> std::string
{
    constexpr auto major = 100'000;
    constexpr auto minor = 100;
    return std::to_string(BOOST_VERSION / major) + "." +
           std::to_string(BOOST_VERSION / minor % 1'000);
}

} // namespace

auto version_text() -> std::string
{
    return std::string{"knapweedstream "} + version + " (" + KS_BUILD_TYPE +
           ", " + KS_PROCESSOR + ", compiler " + __VERSION__ + ")\n" +
           "libevent " + event_get_version() + ", nng " + nng_version() +
           ", Boost " + boost_text() + ", http-parser " + http_parser_text() +
           "\n";
}

} // namespace knapweedstream
