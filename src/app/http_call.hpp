/// A blocking HTTP call.
#ifndef KNAPWEEDSTREAM_APP_HTTP_CALL_HPP
#define KNAPWEEDSTREAM_APP_HTTP_CALL_HPP

#include "adapter/error.hpp"
#include "adapter/http_client.hpp"

#include <string>

namespace knapweedstream
{

/// Reply to a blocking HTTP call.
struct call_reply
{
    std::uint32_t status = 0;
    std::string body;
    std::string era{}; ///< Of the platform's data; empty if not stated.

    auto operator<=>(call_reply const&) const = default;
};

/// Sends a request and blocks until the reply arrives or the timeout expires.
///
/// @returns The reply, whatever its status, or `http_error` if there was none.
auto call(std::string const& address, http_request const& r, duration timeout)
    -> leaf::result<call_reply>;

} // namespace knapweedstream

#endif
