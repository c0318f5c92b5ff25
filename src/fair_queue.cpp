/// \file fair_queue.cpp Hierarchical start-time fair queueing.
#include "fair_queue_func.h"

#include <algorithm>
#include <cassert>

namespace fulmar {

/// Organisations without waiting calls are forgotten above this number.
static constexpr std::size_t MaxIdleOrganisations = 1024;
/// Backlog for its share, against the worst one's, that counts as well below.
static constexpr double WellBelow = 0.5;

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

/// Brings a share clock to the present when its owner was idle. Without it, one
/// that slept for an hour would then be served alone until it had used as much
/// as the others did in that hour.
static void wake(ShareClock &Share, double Present) {
  Share.Used = std::max(Share.Used, Present);
}

static CallPlace placeOf(const FairQueue &Queue, const QueuedCall &Call,
                         std::uint64_t Age) {
  if (Queue.ByArrival)
    return {OrganisationGroup::Established,
            PipelineClass::Interactive,
            OrganisationId{0},
            {TimePoint{}, Age}};
  return {Call.Group, Call.Class, Call.Organisation, {Call.Deadline, Age}};
}

static ClassQueue &classAt(FairQueue &Queue, const CallPlace &Place) {
  return Queue.Groups[at(Place.Group)].Classes[at(Place.Class)];
}

static void addCall(FairQueue &Queue, const CallPlace &Place,
                    const QueuedCall &Call) {
  GroupQueue &Group = Queue.Groups[at(Place.Group)];
  ClassQueue &Class = classAt(Queue, Place);
  if (Group.Backlog <= 0)
    wake(Group.Share, Queue.Present);
  if (Class.Active.empty())
    wake(Class.Share, Group.Present);
  OrganisationQueue &Own = Class.Queues[Place.Organisation];
  if (Own.Calls.empty()) {
    wake(Own.Share, Class.Present);
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

/// Takes one call out of all the books.
static QueuedCall takeCall(FairQueue &Queue, const CallPlace &Place) {
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
  // Sums of fractions drift; an empty level starts from a true zero again.
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

/// The call that gives way in a full queue, and how far its organisation is
/// above its share.
struct Victim {
  CallPlace Place; ///< Its last call.
  double Over;     ///< Cost waiting, over its share.
};

/// \return The part of the pool that an organisation of this weight is due.
static double shareOf(const FairQueue &Queue, std::size_t Group,
                      std::size_t Class, double Weight, double ActiveWeight) {
  return groupWeight(Queue, Group) * classWeight(Queue, Class) * Weight /
         std::max(ActiveWeight, 1e-9);
}

/// Finds the last call of whoever has the most waiting for its share.
static Victim findVictim(FairQueue &Queue) {
  Victim Found{{}, -1};
  for (std::size_t G = 0; G < Queue.Groups.size(); ++G) {
    for (std::size_t C = 0; C < Queue.Groups[G].Classes.size(); ++C) {
      ClassQueue &Class = Queue.Groups[G].Classes[C];
      for (const auto &[Used, Id] : Class.Active) {
        const OrganisationQueue &Own = Class.Queues.at(Id);
        double Over =
            Own.Backlog / shareOf(Queue, G, C, Own.Weight, Class.ActiveWeight);
        if (Over <= Found.Over)
          continue;
        Found = {{static_cast<OrganisationGroup>(G),
                  static_cast<PipelineClass>(C), Id, Own.Calls.rbegin()->first},
                 Over};
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
  double Over =
      (Own + Call.Cost) /
      shareOf(Queue, at(Call.Group), at(Call.Class), Call.Weight, Active);
  // Whoever is admitted here pushes out the last call of the one furthest above
  // its share, after that call's earlier stages have run. That pays only for
  // one that is well below.
  return Over >= findVictim(Queue).Over * WellBelow;
}

std::optional<RequestSerial> queuePush(FairQueue &Queue,
                                       const QueuedCall &Call) {
  assert(!Queue.Places.count(Call.Request));
  addCall(Queue, placeOf(Queue, Call, ++Queue.LastAge), Call);
  if (queueSize(Queue) <= Queue.MaxCalls && Queue.Bytes <= Queue.MaxBytes)
    return std::nullopt;
  // Refusing whoever comes last would let one organisation fill the queue and
  // lock the others out; a wave of new ones would do just that.
  return takeCall(Queue, findVictim(Queue).Place).Request;
}

/// Picks the index with waiting calls whose clock has used least.
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

/// Charges \p Cost on every level.
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

/// Forgets organisations that wait for nothing, once there are many.
static void forgetIdle(ClassQueue &Class) {
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
  Queue.Present = std::max(Queue.Present, Group.Share.Used);
  Group.Present = std::max(Group.Present, Class.Share.Used);
  Class.Present = std::max(Class.Present, Own.Share.Used);
  CallPlace Place{static_cast<OrganisationGroup>(G),
                  static_cast<PipelineClass>(C), Id, Own.Calls.begin()->first};
  charge(Queue, Place, Own.Calls.begin()->second.Cost);
  QueuedCall Call = takeCall(Queue, Place);
  forgetIdle(Class);
  return Call;
}

bool queueRemove(FairQueue &Queue, RequestSerial Request) {
  auto Found = Queue.Places.find(Request);
  if (Found == Queue.Places.end())
    return false;
  CallPlace Place = Found->second;
  takeCall(Queue, Place);
  return true;
}

void queueSettle(FairQueue &Queue, const QueuedCall &Call, double ExtraCost) {
  charge(Queue, placeOf(Queue, Call, 0), ExtraCost);
}

double queueAhead(const FairQueue &Queue, OrganisationGroup Group,
                  PipelineClass Class, OrganisationId Organisation,
                  double Weight) {
  if (Queue.ByArrival)
    return Queue.Backlog;
  // What goes before a call is at most everything, and about its own backlog
  // divided by the share it is served with beside those who wait too.
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
