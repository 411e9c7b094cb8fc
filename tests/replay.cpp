/// Replays a record: feeds its events into a node and prints the commands.
///
/// Usage: replay RECORD. Output is deterministic: equal records give equal
/// output.
#include "adapter/recorder.hpp"

#include <fstream>
#include <iostream>

namespace ks = knapweedstream;

namespace
{

auto print(ks::commands const& out, ks::time_point at) -> void
{
    for (auto const& it : out)
        std::cout << at.time_since_epoch().count() << " "
                  << ks::command_text(it) << "\n";
}

auto replay(std::istream& in) -> ks::leaf::result<void>
{
    auto line = std::string{};
    std::getline(in, line);
    BOOST_LEAF_AUTO(start, ks::parse_record_start(line));
    auto node = ks::node{start.init, start.at};
    while (std::getline(in, line))
    {
        BOOST_LEAF_AUTO(e, ks::parse_recorded_event(line));
        print(node.handle(e.what, e.at), e.at);
    }
    return {};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto in = std::ifstream{argc > 1 ? argv[1] : ""};
    return ks::leaf::try_handle_all(
        [&]() -> ks::leaf::result<int>
        {
            BOOST_LEAF_CHECK(replay(in));
            return 0;
        },
        [](ks::decode_error const& e)
        {
            std::cerr << "replay: cannot decode " << e.what << "\n";
            return 1;
        },
        [] { return 1; });
}
