/// Small pages over HTTP (evhttp): readiness for the balancer, metrics.
#ifndef KNAPWEEDSTREAM_ADAPTER_PAGE_SERVER_HPP
#define KNAPWEEDSTREAM_ADAPTER_PAGE_SERVER_HPP

#include "adapter/error.hpp"
#include "adapter/event_loop.hpp"

#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace knapweedstream
{

/// A page's status and text.
struct page
{
    std::uint32_t status = 200;
    std::string text;

    auto operator<=>(page const&) const = default;
};

/// Pages by path.
using page_table = std::map<std::string, std::function<page()>>;

/// Serves pages on one address.
class page_server
{
public:
    page_server(event_base* base, page_table pages);

    auto start(std::string const& address, std::string const& used_for)
        -> leaf::result<void>;

private:
    struct deleter
    {
        auto operator()(evhttp* it) const -> void { evhttp_free(it); }
    };

    static auto on_request(evhttp_request* r, void* arg) -> void;

    page_table pages_;
    std::unique_ptr<evhttp, deleter> http_;
};

} // namespace knapweedstream

#endif
