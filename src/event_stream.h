/// \file event_stream.h Splits a stream of server-sent events.
#ifndef FULMARSTEP_EVENT_STREAM_H
#define FULMARSTEP_EVENT_STREAM_H

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

/// One server-sent event with all of its lines.
struct StreamEvent {
  std::string_view Bytes; ///< As received, with the empty line at its end.
  std::optional<std::uint64_t> Id; ///< Number in its `id:` line, if any.
};

/// Splits a stream into events. An upstream may stop in the middle of an event;
/// only complete events may reach a client, which could not tell a truncated
/// event from a complete one.
struct EventSplitter {
  std::string Buffered; ///< Received part of an incomplete event.

  /// Adds received bytes and calls \p Fn for each complete event.
  /// \return False when the incomplete event is larger than the limit.
  bool feed(std::string_view Bytes,
            const std::function<void(const StreamEvent &)> &Fn);
  /// \return Whether an incomplete event is buffered.
  bool partial() const { return !Buffered.empty(); }
};

/// Where an event stands relative to the events already delivered.
enum class EventOrder {
  Next,    ///< The expected event.
  Repeat,  ///< Already delivered to the client.
  Gap,     ///< An event before it is missing.
  Count,   ///< Number of orders.
  Invalid, ///< Not an order.
};

/// Tracks the position in a stream that several upstreams may continue in turn.
struct EventCursor {
  std::optional<std::uint64_t> Last; ///< Latest event that was delivered.

  /// \return The order of \p Event. An event without a number counts as Next.
  EventOrder classify(const StreamEvent &Event) const;
  /// Records that \p Event was delivered.
  void take(const StreamEvent &Event) {
    if (Event.Id)
      Last = Event.Id;
  }
};

} // namespace fulmar

#endif
