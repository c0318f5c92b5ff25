/// \file event_stream.h Takes a stream of events apart into whole events.
#ifndef FULMARSTEP_EVENT_STREAM_H
#define FULMARSTEP_EVENT_STREAM_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

/// One event with the lines that belong to it.
struct StreamEvent {
  std::string_view Bytes;          ///< As it came, its empty line included.
  std::optional<std::uint64_t> Id; ///< If it has a number.
};

/// Splits a stream into events. An upstream may stop in the middle of one; only
/// whole events may reach a client, which could not tell a part from a whole.
struct EventSplitter {
  std::string Rest; ///< Begin of an event whose end has not come.

  /// Takes in bytes and calls \p Fn for each whole event.
  /// \return False when an event grows beyond all bounds.
  bool feed(std::string_view Bytes,
            const std::function<void(const StreamEvent &)> &Fn);
  /// \return Whether part of an event is left over.
  bool partial() const { return !Rest.empty(); }
};

/// What an event's number means in the order of a stream.
enum class EventOrder {
  Next,    ///< It is the one that was expected.
  Repeat,  ///< The client has it already.
  Gap,     ///< One before it is missing.
  Count,   ///< Number of meanings.
  Invalid, ///< Not a meaning.
};

/// Keeps a stream's events in order over several upstreams.
struct EventCursor {
  std::optional<std::uint64_t> Last; ///< Latest event that the client has.

  /// Judges an event. One without a number is taken as the next.
  EventOrder judge(const StreamEvent &Event) const;
  /// The event was passed on.
  void take(const StreamEvent &Event) {
    if (Event.Id)
      Last = Event.Id;
  }
};

} // namespace fulmar

#endif
