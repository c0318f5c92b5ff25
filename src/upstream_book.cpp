/// \file upstream_book.cpp Which upstreams count as listed.
#include "upstream_book.h"

namespace fulmar {

bool bookRead(UpstreamBook &Book, const std::vector<UpstreamEntry> &Listed,
              TimePoint Now) {
  if (Book.Known && Now - Book.ReadAt > ListAway)
    Book.BackAt = Now;
  bool Returning =
      Book.Known && Book.BackAt > TimePoint{} && Now - Book.BackAt < ListReturn;
  std::map<std::string, UpstreamEntry> Next;
  for (const UpstreamEntry &Entry : Listed)
    Next[Entry.Instance] = Entry;
  if (Returning) {
    for (const auto &[Instance, Entry] : Book.Entries)
      Next.try_emplace(Instance, Entry);
  }
  bool Changed = !Book.Known || Next != Book.Entries;
  Book.Entries = std::move(Next);
  Book.ReadAt = Now;
  Book.Known = true;
  return Changed;
}

} // namespace fulmar
