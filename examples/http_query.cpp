/// Decodes a caller's query and handles its typed error.
#include "adapter/json_api.hpp"

#include <iostream>

namespace ks = knapweedstream;

auto main() -> int
{
    auto const show = [](char const* body)
    {
        return ks::leaf::try_handle_all(
            [&]() -> ks::leaf::result<int>
            {
                BOOST_LEAF_AUTO(q, ks::parse_query(body));
                std::cout << q.customer << " asks " << q.service << "\n";
                return 0;
            },
            [](ks::decode_error const& e)
            {
                std::cout << "cannot decode " << e.what << "\n";
                return 1;
            },
            [] { return 2; });
    };
    auto const good = show(R"({"customer":"regie","service":"voorraad"})");
    auto const bad = show("nonsense");
    return good == 0 && bad == 1 ? 0 : 1;
}
