/// A connection to one server that carries at most one HTTP call at a time.
#ifndef KNAPWEEDSTREAM_ADAPTER_CALL_CHANNEL_HPP
#define KNAPWEEDSTREAM_ADAPTER_CALL_CHANNEL_HPP

#include "adapter/http_link.hpp"

#include <memory>
#include <vector>

namespace knapweedstream
{

/// Makes calls to one address. A new call replaces the pending one.
class call_channel
{
public:
    using reply_handler = std::function<void(http_message const&)>;
    /// @param how `refused` if the call got no answer in time.
    using failure_handler = std::function<void(link_end how, bool in_time)>;

    call_channel(loop_ref base, std::string const& address);

    /// Sends a request over the open connection, or a new one.
    ///
    /// @param[in] limit Time until the response.
    auto call(http_message const& m, duration limit, reply_handler on_reply,
        failure_handler on_failure) -> void;

    /// Closes the connection unless a call is pending, so that the next call
    /// opens a new one.
    auto drop_idle() -> void;

    /// Frees closed connections; must not be called from the callback of one.
    auto free_closed() -> void { closed_.clear(); }

private:
    auto connect() -> void;
    auto on_replied(http_message const& m, bool reusable) -> void;
    auto fail(link_end how, bool in_time) -> void;
    auto drop_link() -> void;

    loop_ref base_;
    std::string address_;
    std::unique_ptr<http_link> link_;
    loop_event timeout_;
    reply_handler on_reply_;
    failure_handler on_failure_;
    bool pending_ = false; ///< A call awaits its response.
    std::vector<std::unique_ptr<http_link>> closed_; ///< Not yet freed.
};

} // namespace knapweedstream

#endif
