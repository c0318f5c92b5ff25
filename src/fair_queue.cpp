/// \file fair_queue.cpp Hierarchical start-time fair queueing.
#include "fair_queue_func.h"

#include <algorithm>
#include <cassert>

namespace fulmar {

/// Organisations without queued calls are evicted above this number.
static constexpr std::size_t MaxIdleOrganisations = 1024;
/// A full queue admits a call only while its organisation's backlog relative to
/// its share is below this fraction of the highest one.
static constexpr double AdmittedBacklogRatio = 0.5;

template <typename Enum> static std::size_t at(Enum E) {
  return static_cast<std::size_t>(E);
}

static double groupWeight(const FairQueue &Queue, std::size_t Group) {
  return Group == at(OrganisationGroup::New)
             ? Queue.Shares.NewOrganisations
             : 1 - Queue.Shares.NewOrganisations;
}

static double classWeight(const FairQueue &Queue, std::size_t Class) {
  return Class == at(PipelineClass::Batch) ? Queue.Shares.Batch
                                           : 1 - Queue.Shares.Batch;
}

/// Advances the share clock of a flow that was idle to the virtual time.
/// Without this, a flow that was idle for an hour would be served alone until
/// it had used as much as the others did in that hour.
static void advanceShareClock(ShareClock &Share, double VirtualTime) {
  Share.Used = std::max(Share.Used, VirtualTime);
}

static CallPlace placeOf(const FairQueue &Queue, const QueuedCall &Call,
                         std::uint64_t Sequence) {
  if (Queue.ByArrival)
    return {OrganisationGroup::Established,
            PipelineClass::Interactive,
            OrganisationId{0},
            {TimePoint{}, Sequence}};
  return {Call.Group, Call.Class, Call.Organisation, {Call.Deadline, Sequence}};
}

static ClassQueue &classAt(FairQueue &Queue, const CallPlace &Place) {
  return Queue.Groups[at(Place.Group)].Classes[at(Place.Class)];
}

static void addCall(FairQueue &Queue, const CallPlace &Place,
                    const QueuedCall &Call) {
  GroupQueue &Group = Queue.Groups[at(Place.Group)];
  ClassQueue &Class = classAt(Queue, Place);
  if (Group.Backlog <= 0)
    advanceShareClock(Group.Share, Queue.VirtualTime);
  if (Class.Active.empty())
    advanceShareClock(Class.Share, Group.VirtualTime);
  OrganisationQueue &Own = Class.Queues[Place.Organisation];
  if (Own.Calls.empty()) {
    advanceShareClock(Own.Share, Class.VirtualTime);
    Own.Weight = Queue.ByArrival ? 1 : Call.Weight;
    Class.ActiveWeight += Own.Weight;
    Class.Active.insert({Own.Share.Used, Place.Organisation});
  }
  Own.Calls.emplace(Place.Order, Call);
  Own.Backlog += Call.Cost;
  Class.Backlog += Call.Cost;
  Group.Backlog += Call.Cost;
  Queue.Backlog += Call.Cost;
  Queue.Bytes += Call.Bytes;
  Queue.Places.emplace(Call.Request, Place);
}

/// Removes one call from its queue and from the totals of every level.
static QueuedCall removeCall(FairQueue &Queue, const CallPlace &Place) {
  GroupQueue &Group = Queue.Groups[at(Place.Group)];
  ClassQueue &Class = classAt(Queue, Place);
  OrganisationQueue &Own = Class.Queues.at(Place.Organisation);
  auto Found = Own.Calls.find(Place.Order);
  assert(Found != Own.Calls.end());
  QueuedCall Call = Found->second;
  Own.Calls.erase(Found);
  Own.Backlog -= Call.Cost;
  Class.Backlog -= Call.Cost;
  Group.Backlog -= Call.Cost;
  Queue.Backlog -= Call.Cost;
  Queue.Bytes -= Call.Bytes;
  Queue.Places.erase(Call.Request);
  if (Own.Calls.empty()) {
    Class.Active.erase({Own.Share.Used, Place.Organisation});
    Class.ActiveWeight -= Own.Weight;
    Own.Backlog = 0;
  }
  // Rounding errors add up in sums of fractions; an empty level is reset to
  // zero.
  if (Class.Active.empty()) {
    Class.Backlog = 0;
    Class.ActiveWeight = 0;
  }
  if (Queue.Places.empty()) {
    Queue.Backlog = 0;
    for (GroupQueue &G : Queue.Groups)
      G.Backlog = 0;
  }
  return Call;
}

/// The call to evict from a full queue, and how far the backlog of its
/// organisation exceeds its share.
struct Victim {
  CallPlace Place;        ///< Position of the call.
  double RelativeBacklog; ///< Queued cost in ms divided by the share.
};

/// \return The fraction of the pool that an organisation of this weight is due.
static double shareOf(const FairQueue &Queue, std::size_t Group,
                      std::size_t Class, double Weight, double ActiveWeight) {
  return groupWeight(Queue, Group) * classWeight(Queue, Class) * Weight /
         std::max(ActiveWeight, 1e-9);
}

/// Finds the last call of the organisation with the largest backlog relative to
/// its share.
static Victim findVictim(FairQueue &Queue) {
  Victim Found{{}, -1};
  for (std::size_t G = 0; G < Queue.Groups.size(); ++G) {
    for (std::size_t C = 0; C < Queue.Groups[G].Classes.size(); ++C) {
      ClassQueue &Class = Queue.Groups[G].Classes[C];
      for (const auto &[Used, Id] : Class.Active) {
        const OrganisationQueue &Own = Class.Queues.at(Id);
        double RelativeBacklog =
            Own.Backlog / shareOf(Queue, G, C, Own.Weight, Class.ActiveWeight);
        if (RelativeBacklog <= Found.RelativeBacklog)
          continue;
        Found = {{static_cast<OrganisationGroup>(G),
                  static_cast<PipelineClass>(C), Id, Own.Calls.rbegin()->first},
                 RelativeBacklog};
      }
    }
  }
  return Found;
}

bool queueWouldRefuse(FairQueue &Queue, const QueuedCall &Call,
                      std::size_t Room) {
  if (queueSize(Queue) < Room)
    return false;
  if (Queue.ByArrival)
    return true;
  const ClassQueue &Class =
      Queue.Groups[at(Call.Group)].Classes[at(Call.Class)];
  auto Found = Class.Queues.find(Call.Organisation);
  bool Waiting = Found != Class.Queues.end() && !Found->second.Calls.empty();
  double Own = Waiting ? Found->second.Backlog : 0;
  double Active = Class.ActiveWeight + (Waiting ? 0 : Call.Weight);
  double RelativeBacklog =
      (Own + Call.Cost) /
      shareOf(Queue, at(Call.Group), at(Call.Class), Call.Weight, Active);
  // Admitting the call evicts the last call of the organisation furthest above
  // its share, after that call's earlier stages have run. That is worthwhile
  // only for an organisation well below.
  return RelativeBacklog >=
         findVictim(Queue).RelativeBacklog * AdmittedBacklogRatio;
}

std::optional<RequestSerial> queuePush(FairQueue &Queue,
                                       const QueuedCall &Call) {
  assert(!Queue.Places.count(Call.Request));
  addCall(Queue, placeOf(Queue, Call, ++Queue.LastSequence), Call);
  if (queueSize(Queue) <= Queue.MaxCalls && Queue.Bytes <= Queue.MaxBytes)
    return std::nullopt;
  // Refusing the newest call would let one organisation fill the queue and
  // exclude the others; many new organisations at once would likewise exclude
  // the established ones.
  return removeCall(Queue, findVictim(Queue).Place).Request;
}

/// \return The index of the level with queued calls that has used least, or the
/// number of levels when all are empty.
template <typename List> static std::size_t leastUsed(const List &Levels) {
  std::size_t Best = Levels.size();
  for (std::size_t I = 0; I < Levels.size(); ++I) {
    bool Empty = true;
    if constexpr (requires { Levels[I].Active; })
      Empty = Levels[I].Active.empty();
    else
      for (const ClassQueue &Class : Levels[I].Classes)
        Empty = Empty && Class.Active.empty();
    if (Empty)
      continue;
    if (Best == Levels.size() || Levels[I].Share.Used < Levels[Best].Share.Used)
      Best = I;
  }
  return Best;
}

/// Adds \p Cost, in ms, to the share clocks of every level.
static void charge(FairQueue &Queue, const CallPlace &Place, double Cost) {
  GroupQueue &Group = Queue.Groups[at(Place.Group)];
  ClassQueue &Class = classAt(Queue, Place);
  Group.Share.Used += Cost / groupWeight(Queue, at(Place.Group));
  Class.Share.Used += Cost / classWeight(Queue, at(Place.Class));
  auto Found = Class.Queues.find(Place.Organisation);
  if (Found == Class.Queues.end())
    return;
  OrganisationQueue &Own = Found->second;
  bool Waiting = Class.Active.erase({Own.Share.Used, Place.Organisation}) > 0;
  Own.Share.Used += Cost / Own.Weight;
  if (Waiting)
    Class.Active.insert({Own.Share.Used, Place.Organisation});
}

/// Removes organisations without queued calls, once there are many.
static void evictIdleOrganisations(ClassQueue &Class) {
  if (Class.Queues.size() <= MaxIdleOrganisations + Class.Active.size())
    return;
  std::erase_if(Class.Queues,
                [](const auto &Entry) { return Entry.second.Calls.empty(); });
}

std::optional<QueuedCall> queuePop(FairQueue &Queue) {
  if (Queue.Places.empty())
    return std::nullopt;
  std::size_t G = leastUsed(Queue.Groups);
  GroupQueue &Group = Queue.Groups[G];
  std::size_t C = leastUsed(Group.Classes);
  ClassQueue &Class = Group.Classes[C];
  OrganisationId Id = Class.Active.begin()->second;
  OrganisationQueue &Own = Class.Queues.at(Id);
  Queue.VirtualTime = std::max(Queue.VirtualTime, Group.Share.Used);
  Group.VirtualTime = std::max(Group.VirtualTime, Class.Share.Used);
  Class.VirtualTime = std::max(Class.VirtualTime, Own.Share.Used);
  CallPlace Place{static_cast<OrganisationGroup>(G),
                  static_cast<PipelineClass>(C), Id, Own.Calls.begin()->first};
  charge(Queue, Place, Own.Calls.begin()->second.Cost);
  QueuedCall Call = removeCall(Queue, Place);
  evictIdleOrganisations(Class);
  return Call;
}

bool queueRemove(FairQueue &Queue, RequestSerial Request) {
  auto Found = Queue.Places.find(Request);
  if (Found == Queue.Places.end())
    return false;
  CallPlace Place = Found->second;
  removeCall(Queue, Place);
  return true;
}

void queueChargeExtra(FairQueue &Queue, const QueuedCall &Call,
                      double ExtraCost) {
  charge(Queue, placeOf(Queue, Call, 0), ExtraCost);
}

double queueCostAhead(const FairQueue &Queue, OrganisationGroup Group,
                      PipelineClass Class, OrganisationId Organisation,
                      double Weight) {
  if (Queue.ByArrival)
    return Queue.Backlog;
  // The cost served before a new call is about its organisation's own backlog
  // divided by the share at which it is served beside the others with queued
  // calls, and at most the whole backlog.
  const GroupQueue &OwnGroup = Queue.Groups[at(Group)];
  const ClassQueue &OwnClass = OwnGroup.Classes[at(Class)];
  double Share = 1;
  if (Queue.Backlog > OwnGroup.Backlog + 1e-9)
    Share *= groupWeight(Queue, at(Group));
  if (OwnGroup.Backlog > OwnClass.Backlog + 1e-9)
    Share *= classWeight(Queue, at(Class));
  auto Found = OwnClass.Queues.find(Organisation);
  double Own = Found == OwnClass.Queues.end() ? 0 : Found->second.Backlog;
  double Others = OwnClass.ActiveWeight;
  if (Own > 0)
    Others -= Weight;
  Share *= Weight / (Weight + std::max(0.0, Others));
  return std::min(Queue.Backlog, Own / Share);
}

} // namespace fulmar
