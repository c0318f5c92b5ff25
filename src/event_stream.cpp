/// \file event_stream.cpp Splits a stream of server-sent events.
#include "event_stream.h"

#include <charconv>
#include <utility>

namespace fulmar {

/// Largest event. Those of model engines hold a few tokens and are far smaller.
static constexpr std::size_t MaxEventBytes = std::size_t{256} << 10;

/// \return The number in the `id:` line of an event, if there is one.
static std::optional<std::uint64_t> readId(std::string_view Bytes) {
  static constexpr std::string_view Field = "id:";
  while (!Bytes.empty()) {
    std::size_t End = Bytes.find('\n');
    std::string_view Line = Bytes.substr(0, End);
    Bytes.remove_prefix(End == std::string_view::npos ? Bytes.size() : End + 1);
    if (Line.substr(0, Field.size()) != Field)
      continue;
    Line.remove_prefix(Field.size());
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    auto [Ptr, Ec] =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Ec != std::errc() || Ptr == Line.data())
      return std::nullopt;
    return Id;
  }
  return std::nullopt;
}

/// \return Where the first event of \p Text ends whose end is at \p From or
/// later, or npos.
static std::size_t endOfEvent(std::string_view Text, std::size_t From) {
  std::size_t Plain = Text.find("\n\n", From);
  std::size_t Returned = Text.find("\r\n\r\n", From);
  if (Plain == std::string_view::npos && Returned == std::string_view::npos)
    return std::string_view::npos;
  if (Plain < Returned)
    return Plain + 2;
  return Returned + 4;
}

bool EventSplitter::feed(std::string_view Bytes,
                         const std::function<void(const StreamEvent &)> &Fn) {
  // The end of an event ("\n\n" or "\r\n\r\n") may be split between two calls.
  constexpr std::size_t MarkSize = 4;
  std::size_t From =
      Buffered.size() < MarkSize ? 0 : Buffered.size() - MarkSize;
  Buffered.append(Bytes);
  std::size_t First = endOfEvent(Buffered, From);
  // The pieces of a large event are not copied with each of them.
  if (First == std::string::npos)
    return Buffered.size() <= MaxEventBytes;
  std::string Text = std::exchange(Buffered, {});
  std::size_t Begin = 0;
  for (std::size_t End = First; End != std::string::npos;
       End = endOfEvent(Text, Begin)) {
    std::string_view Event(Text.data() + Begin, End - Begin);
    Begin = End;
    Fn({Event, readId(Event)});
  }
  Buffered = Text.substr(Begin);
  return Buffered.size() <= MaxEventBytes;
}

EventOrder EventCursor::classify(const StreamEvent &Event) const {
  if (!Event.Id || !Last)
    return EventOrder::Next;
  if (*Event.Id <= *Last)
    return EventOrder::Repeat;
  return *Event.Id == *Last + 1 ? EventOrder::Next : EventOrder::Gap;
}

} // namespace fulmar
