/// One HTTP call, waited for.
#ifndef KNAPWEEDSTREAM_APP_HTTP_CALL_HPP
#define KNAPWEEDSTREAM_APP_HTTP_CALL_HPP

#include "adapter/error.hpp"
#include "adapter/http_client.hpp"

#include <string>

namespace knapweedstream
{

/// Reply of a call.
struct call_reply
{
    std::uint32_t status = 0;
    std::string body;

    auto operator<=>(call_reply const&) const = default;
};

/// Calls and waits for the reply.
///
/// @returns The reply with any status, or `http_error` if none came.
auto call(std::string const& address, http_request const& r, duration timeout)
    -> leaf::result<call_reply>;

} // namespace knapweedstream

#endif
