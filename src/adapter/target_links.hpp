/// Connections to targets: executes the dispatcher's commands and reports
/// events.
#ifndef KNAPWEEDSTREAM_ADAPTER_TARGET_LINKS_HPP
#define KNAPWEEDSTREAM_ADAPTER_TARGET_LINKS_HPP

#include "adapter/http_link.hpp"
#include "adapter/reply_memory.hpp"
#include "port/dispatch_command.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace knapweedstream
{

/// Passes events to the dispatcher.
using dispatch_sink = std::function<void(dispatch::event)>;

/// Encodes requests for targets and decodes their replies.
struct target_codec
{
    /// A reply and what it says about its connection.
    struct decoded_reply
    {
        target_reply reply;
        bool reusable = true;
        /// Idle time after which the target closes the connection; 0: not
        /// stated.
        duration idle_limit{0};
        target_statement said; ///< What the target says of itself.
    };

    /// Encodes the start of a request, which is the same for all targets.
    std::function<std::string(routed_request const&)> encode_common;
    /// Encodes the rest of a request, which differs between targets. The
    /// target is to give up after `time_left`.
    std::function<std::string(routed_request const&, std::string const& target,
        milliseconds time_left)>
        encode_rest;
    std::function<decoded_reply(http_message&&, std::string const& request_id)>
        decode;
};

/// Executes commands for connections to targets.
class target_links
{
public:
    target_links(loop_ref base, target_codec codec, dispatch_sink sink);

    auto run(dispatch::open_connection const& c) -> void;
    auto run(dispatch::close_connection const& c) -> void;
    auto run(dispatch::send_request const& c) -> void;

    /// Frees closed connections; must not be called from the callback of one.
    auto free_closed() -> void { closed_.clear(); }

    /// Bytes kept of all replies that are not complete.
    auto partial_bytes() const -> std::size_t { return reply_memory_.bytes(); }

private:
    struct entry
    {
        std::unique_ptr<http_link> link;
        attempt_id attempt;
        routed_request_ptr request;
    };

    auto on_replied(connection_id id, http_message&& m, bool reusable) -> void;
    auto on_ended(connection_id id, link_end how) -> void;
    /// Takes note that a reply has grown, and refuses the largest ones if all
    /// partial replies take too much memory.
    auto limit_reply(connection_id id) -> void;
    auto release(connection_id id) -> void;

    loop_ref base_;
    target_codec codec_;
    dispatch_sink sink_;
    routed_request_ptr common_request_; ///< Request of `common_text_`.
    std::string common_text_; ///< Encoded once for all targets of a request.
    std::unordered_map<connection_id, entry> entries_;
    reply_memory reply_memory_;
    std::vector<std::unique_ptr<http_link>> closed_;
};

} // namespace knapweedstream

#endif
