/// Percent-encoded text in paths and queries.
#ifndef KNAPWEEDSTREAM_STANDIN_URI_HPP
#define KNAPWEEDSTREAM_STANDIN_URI_HPP

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace standin
{

/// Text in which escapes such as `%20` are decoded; in a query `+` is a blank.
inline auto unescaped(std::string const& text, bool in_query) -> std::string
{
    auto size = std::size_t{0};
    auto const it = std::unique_ptr<char, void (*)(void*)>{
        evhttp_uridecode(text.c_str(), in_query ? 1 : 0, &size), std::free};
    return {it.get(), size};
}

} // namespace standin

#endif
