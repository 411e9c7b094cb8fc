/// HTTP server for short pages (evhttp): readiness for the load balancer,
/// metrics.
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

/// HTTP status and text of a page.
struct page
{
    std::uint32_t status = 200;
    std::string text;

    auto operator<=>(page const&) const = default;
};

/// Functions that produce the pages, by path.
using page_table = std::map<std::string, std::function<page()>>;

/// Serves pages on one address; other paths are answered with 404.
class page_server
{
public:
    page_server(loop_ref base, page_table pages);

    /// Starts to listen on an IP address and port; `listen_error` on failure.
    ///
    /// @param[in] used_for What the address serves, for the error message.
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
