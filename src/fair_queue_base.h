/// \file fair_queue_base.h State of a queue shared fairly by organisations.
#ifndef FULMARSTEP_FAIR_QUEUE_BASE_H
#define FULMARSTEP_FAIR_QUEUE_BASE_H

#include <array>
#include <map>
#include <set>
#include <unordered_map>

#include "bundle_type.h"
#include "core/strong_id.h"
#include "core/time_type.h"

namespace fulmar {

struct OrganisationTag {};
struct RequestTag {};
/// Number of an organisation, local to this process.
using OrganisationId = StrongId<OrganisationTag, std::uint32_t>;
/// Number of a request, local to this process; never reused.
using RequestSerial = StrongId<RequestTag>;

/// A stage call that waits for an upstream with free capacity.
struct QueuedCall {
  RequestSerial Request;       ///< Request that the call is for.
  OrganisationId Organisation; ///< Organisation charged for it.
  OrganisationGroup Group =
      OrganisationGroup::Established;               ///< Of the organisation.
  PipelineClass Class = PipelineClass::Interactive; ///< Of the pipeline.
  double Weight = 1;     ///< Of the organisation in its group.
  double Cost = 1;       ///< Expected busy time in ms.
  TimePoint Deadline{};  ///< Of the whole request.
  std::size_t Bytes = 0; ///< Size of its payload.
};

/// Orders an organisation's calls: the earliest deadline first, then in order
/// of arrival.
struct CallOrder {
  TimePoint Deadline{};       ///< Zero in a first come, first served queue.
  std::uint64_t Sequence = 0; ///< Arrival number.

  auto operator<=>(const CallOrder &) const = default;
};

/// Start-time fair queueing: the flow that has used least of its share is
/// served next.
struct ShareClock {
  double Used = 0; ///< Served cost in ms divided by weight; advanced to the
                   ///< virtual time after idling.
};

/// The queued calls of one organisation in one class.
struct OrganisationQueue {
  ShareClock Share;   ///< Among the organisations of its class.
  double Weight = 1;  ///< Of the latest call.
  double Backlog = 0; ///< Queued cost, ms.
  std::map<CallOrder, QueuedCall> Calls; ///< In service order.
};

/// The organisations of one group that have calls of one class.
struct ClassQueue {
  ShareClock Share;        ///< Among the classes of its group.
  double VirtualTime = 0;  ///< Latest share clock of a served organisation.
  double Backlog = 0;      ///< Queued cost, ms.
  double ActiveWeight = 0; ///< Sum over organisations with queued calls.
  /// By id; idle ones too.
  std::unordered_map<OrganisationId, OrganisationQueue> Queues;
  /// Organisations with queued calls, least used share clock first.
  std::set<std::pair<double, OrganisationId>> Active;
};

/// The classes of one group.
struct GroupQueue {
  ShareClock Share;       ///< Among the groups.
  double VirtualTime = 0; ///< Latest share clock of a served class.
  double Backlog = 0;     ///< Queued cost, ms.
  std::array<ClassQueue, static_cast<std::size_t>(PipelineClass::Count)>
      Classes; ///< By class.
};

/// Position of a call in the queue, for removing it.
struct CallPlace {
  OrganisationGroup Group;     ///< Its group.
  PipelineClass Class;         ///< Its class.
  OrganisationId Organisation; ///< Its organisation.
  CallOrder Order;             ///< Key among the organisation's calls.
};

/// Calls queued for one pool. Capacity is divided between groups before
/// classes, so that interactive calls of many new organisations at once
/// cannot overtake batch calls of established ones.
struct FairQueue {
  bool ByArrival = false;      ///< First come, first served: the baseline.
  ShareSpec Shares;            ///< Shares of groups and classes.
  std::size_t MaxCalls = 1000; ///< Maximum queued calls.
  std::size_t MaxBytes = std::size_t{8}
                         << 20;   ///< Maximum queued payload bytes.
  std::size_t Bytes = 0;          ///< Queued payload bytes.
  double Backlog = 0;             ///< Queued cost, ms.
  double VirtualTime = 0;         ///< Latest share clock of a served group.
  std::uint64_t LastSequence = 0; ///< Arrival number of the newest call.
  std::array<GroupQueue, static_cast<std::size_t>(OrganisationGroup::Count)>
      Groups; ///< By group.
  /// Positions of queued calls, by request.
  std::unordered_map<RequestSerial, CallPlace> Places;
};

} // namespace fulmar

#endif
