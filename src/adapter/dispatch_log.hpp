/// Log lines for the dispatcher's facts: key=value fields after a sentence.
#ifndef KNAPWEEDSTREAM_ADAPTER_DISPATCH_LOG_HPP
#define KNAPWEEDSTREAM_ADAPTER_DISPATCH_LOG_HPP

#include "port/dispatch_fact.hpp"

namespace knapweedstream
{

/// Writes the line of a fact.
auto log_fact(dispatch::fact const& it) -> void;

/// Word for a kind of the store.
auto store_kind_name(store_kind it) -> char const*;

} // namespace knapweedstream

#endif
