/// Cuts what the JSON library rejects or cannot hold out of an otherwise valid
/// text, so that one odd value does not make the rest unreadable.
#ifndef KNAPWEEDSTREAM_ADAPTER_JSON_LIMITS_HPP
#define KNAPWEEDSTREAM_ADAPTER_JSON_LIMITS_HPP

#include <boost/json/parse_options.hpp>

#include <string>
#include <string_view>

namespace knapweedstream
{

/// Options of the library: strings may hold any bytes but control characters.
auto lenient_options() -> boost::json::parse_options;

/// Replaces by `null`: arrays and objects below a depth limit, numbers with an
/// exponent beyond all use, and strings that cannot be decoded, for example
/// with an unpaired surrogate. Such a string as a key becomes empty. Text that
/// is no JSON stays none.
auto without_excess(std::string_view json_text) -> std::string;

} // namespace knapweedstream

#endif
