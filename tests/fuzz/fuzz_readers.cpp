/// \file fuzz_readers.cpp Fuzzes the readers of data that other programs
/// write.
///
/// The first byte selects the reader, the rest is its input. A reader may
/// reject any input; it must terminate and stay within its memory.
#include <cstdint>
#include <cstdlib>

#include "peer_codec.h"
#include "platform/wire.h"

using namespace fulmar;

namespace {

/// An accepted entry must have an address, a pool, slots and a cold time that
/// is not negative.
void readEntry(std::string_view Text) {
  std::string Why;
  auto Entry = platform::Wire().readUpstream("servers/a", Text, Why);
  if (Entry.has_value() != Why.empty())
    std::abort();
  if (Entry && (Entry->Address.empty() || Entry->Pool.empty() ||
                Entry->Slots < 1 || Entry->ColdRemaining < Duration::zero()))
    std::abort();
}

void readConfiguration(std::string_view Text) {
  std::string Why;
  RouteTablePtr Table = platform::Wire().readRoutes(Text, Why);
  if ((Table == nullptr) == Why.empty())
    std::abort();
}

void readPieces(std::string_view Text) {
  HttpResponse Answer;
  Answer.Status = HttpOk;
  Answer.MayHaveBeenSent = true;
  Answer.Body = std::string(Text);
  platform::Wire().readBatch(Answer);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  std::string_view Text(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  switch (Data[0] % 4) {
  case 0:
    readEntry(Text);
    break;
  case 1:
    readConfiguration(Text);
    break;
  case 2:
    readPieces(Text);
    break;
  default:
    decodeSignedPart(std::string(Text));
  }
  return 0;
}
