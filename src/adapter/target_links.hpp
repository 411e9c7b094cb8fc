/// Connections to targets, as the dispatcher orders them.
#ifndef KNAPWEEDSTREAM_ADAPTER_TARGET_LINKS_HPP
#define KNAPWEEDSTREAM_ADAPTER_TARGET_LINKS_HPP

#include "adapter/http_link.hpp"
#include "port/dispatch_command.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace knapweedstream
{

/// Takes events to the dispatcher.
using dispatch_sink = std::function<void(dispatch::event)>;

/// How requests are written for targets, and replies read.
struct target_codec
{
    /// A reply and what it says of its connection.
    struct decoded_reply
    {
        target_reply reply;
        bool reusable = true;
        duration idle_limit{0}; ///< 0: not stated.
    };

    /// Text of a request's head that is the same for all targets.
    std::function<std::string(routed_request const&)> encode_common;
    /// The rest of it.
    std::function<std::string(routed_request const&, std::string const& target,
        milliseconds time_left)>
        encode_rest;
    std::function<decoded_reply(http_message&&, std::string const& request_id)>
        decode;
};

/// Carries out commands that concern targets.
class target_links
{
public:
    target_links(event_base* base, target_codec codec, dispatch_sink sink);

    auto run(dispatch::open_connection const& c) -> void;
    auto run(dispatch::close_connection const& c) -> void;
    auto run(dispatch::send_request const& c) -> void;

    /// Frees what was closed; not to be called from a connection's callback.
    auto free_closed() -> void { closed_.clear(); }

private:
    struct entry
    {
        std::unique_ptr<http_link> link;
        attempt_id attempt;
        routed_request_ptr request;
    };

    auto on_replied(connection_id id, http_message&& m, bool reusable) -> void;
    auto on_ended(connection_id id, link_end how) -> void;
    auto release(connection_id id) -> void;

    event_base* base_;
    target_codec codec_;
    dispatch_sink sink_;
    routed_request_ptr common_request_; ///< Request whose common text is kept.
    std::string common_text_;
    std::unordered_map<connection_id, entry> entries_;
    std::vector<std::unique_ptr<http_link>> closed_;
};

} // namespace knapweedstream

#endif
