/// Cuts what the JSON library rejects or cannot hold out of an otherwise valid
/// text, so that one odd value does not make the rest unreadable.
#ifndef KNAPWEEDSTREAM_ADAPTER_JSON_LIMITS_HPP
#define KNAPWEEDSTREAM_ADAPTER_JSON_LIMITS_HPP

#include <string>
#include <string_view>

namespace knapweedstream
{

/// Replaces arrays and objects below a depth limit, and numbers with an
/// exponent beyond all use, by `null`. Text that is no JSON stays none.
auto without_excess(std::string_view json_text) -> std::string;

} // namespace knapweedstream

#endif
