/// \file upstream_book.cpp Which upstreams count as listed.
#include "upstream_book.h"

#include <algorithm>

#include "core/hash.h"

namespace fulmar {

/// Changes that are remembered: half a minute of an upstream that comes or goes
/// every second, which is more than a node that listens is behind.
static constexpr std::size_t ChangesKept = 32;
/// Largest list that is given to who has none; 100 bytes an entry. Beyond that
/// the receiver reads the list itself.
static constexpr std::size_t LargestWhole = 500;

/// \return A number that equal lists share.
static std::uint64_t
digestOf(const std::map<std::string, UpstreamEntry> &List) {
  std::string Text;
  for (const auto &[Instance, Entry] : List) {
    Text += Instance + '\n' + std::to_string(Entry.BornMs) + '\n' + Entry.Pool +
            '\n' + Entry.Address + '\n' + Entry.FailureDomain +
            (Entry.Leaving ? "\n1" : "\n0") + (Entry.cold() ? "1\n" : "0\n");
  }
  // A list that was read is never taken for none.
  return std::max<std::uint64_t>(hash64(Text), NoBook + 1);
}

/// Makes \p Next the list, and remembers what changed.
static void replace(UpstreamBook &Book,
                    std::map<std::string, UpstreamEntry> Next) {
  BookChange Change;
  Change.From = Book.Digest;
  for (const auto &[Instance, Entry] : Next) {
    auto Old = Book.Entries.find(Instance);
    if (Old == Book.Entries.end() || Old->second != Entry)
      Change.Listed.push_back(Entry);
  }
  for (const auto &[Instance, Entry] : Book.Entries) {
    if (!Next.count(Instance))
      Change.Gone.push_back(Instance);
  }
  Book.Entries = std::move(Next);
  Book.Digest = digestOf(Book.Entries);
  Change.To = Book.Digest;
  // What is not part of the digest, as for how long an upstream is still cold,
  // is news for nobody else.
  if (Change.To == Change.From)
    return;
  Book.Latest.push_back(std::move(Change));
  if (Book.Latest.size() > ChangesKept)
    Book.Latest.pop_front();
}

/// \return \p Entry, or what is known already of a later start of the same
/// upstream. A write of the earlier start may arrive after it, and would bring
/// back an address and results that are gone.
static const UpstreamEntry &latestStart(const UpstreamBook &Book,
                                        const UpstreamEntry &Entry) {
  auto Known = Book.Entries.find(Entry.Instance);
  if (Known == Book.Entries.end() || Known->second.BornMs <= Entry.BornMs)
    return Entry;
  return Known->second;
}

bool bookRead(UpstreamBook &Book, const std::vector<UpstreamEntry> &Listed,
              TimePoint Now) {
  if (Book.Known && Now - Book.ReadAt > ListAway)
    Book.BackAt = Now;
  bool Returning =
      Book.Known && Book.BackAt > TimePoint{} && Now - Book.BackAt < ListReturn;
  std::map<std::string, UpstreamEntry> Next;
  for (const UpstreamEntry &Entry : Listed)
    Next[Entry.Instance] = latestStart(Book, Entry);
  if (Returning) {
    for (const auto &[Instance, Entry] : Book.Entries)
      Next.try_emplace(Instance, Entry);
  }
  bool Changed = !Book.Known || Next != Book.Entries;
  replace(Book, std::move(Next));
  Book.ReadAt = Now;
  Book.Known = true;
  return Changed;
}

/// \return The whole list as a change from nothing.
static std::optional<BookChange> wholeBook(const UpstreamBook &Book) {
  if (Book.Entries.size() > LargestWhole)
    return std::nullopt;
  BookChange Whole{NoBook, Book.Digest, {}, {}};
  for (const auto &[Instance, Entry] : Book.Entries)
    Whole.Listed.push_back(Entry);
  return Whole;
}

std::optional<BookChange> bookChangesSince(const UpstreamBook &Book,
                                           std::uint64_t From) {
  if (From == NoBook)
    return wholeBook(Book);
  auto Begins = [From](const BookChange &C) { return C.From == From; };
  // The latest: a list may have been the same before.
  auto First = std::find_if(Book.Latest.rbegin(), Book.Latest.rend(), Begins);
  if (First == Book.Latest.rend())
    return std::nullopt;
  std::map<std::string, const UpstreamEntry *> Last;
  for (auto It = First.base() - 1; It != Book.Latest.end(); ++It) {
    for (const UpstreamEntry &Entry : It->Listed)
      Last[Entry.Instance] = &Entry;
    for (const std::string &Instance : It->Gone)
      Last[Instance] = nullptr;
  }
  BookChange Sum{From, Book.Digest, {}, {}};
  for (const auto &[Instance, Entry] : Last) {
    if (Entry)
      Sum.Listed.push_back(*Entry);
    else
      Sum.Gone.push_back(Instance);
  }
  return Sum;
}

bool bookApply(UpstreamBook &Book, const BookChange &Change, TimePoint ReadAt) {
  if (Change.From != Book.Digest)
    return false;
  std::map<std::string, UpstreamEntry> Next = Book.Entries;
  for (const UpstreamEntry &Entry : Change.Listed)
    Next[Entry.Instance] = Entry;
  for (const std::string &Instance : Change.Gone)
    Next.erase(Instance);
  if (digestOf(Next) != Change.To)
    return false;
  replace(Book, std::move(Next));
  Book.ReadAt = std::max(Book.ReadAt, ReadAt);
  Book.Known = true;
  return true;
}

} // namespace fulmar
