#include "app/http_call.hpp"

namespace knapweedstream
{

auto call(std::string const& address, http_request const& r, duration timeout)
    -> leaf::result<call_reply>
{
    auto const base = make_event_base();
    auto reply = call_reply{};
    {
        auto connection = http_connection{base.get(), address, timeout};
        connection.send(r,
            [&](http_reply const& it)
            {
                reply = {it.status(), std::string(it.body()),
                    std::string(it.field("Store-Era"))};
                event_base_loopbreak(base.get());
            });
        event_base_dispatch(base.get());
    }
    if (reply.status == 0)
        return leaf::new_error(http_error{address});
    return reply;
}

} // namespace knapweedstream
