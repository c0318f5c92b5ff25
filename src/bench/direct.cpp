/// \file direct.cpp The stage calls of a pipeline without a node, as a
/// baseline.
#include "bench/direct.h"

#include <cmath>

#include "json_func.h"

namespace fulmar {

DirectRun::DirectRun(EventLoop &Loop, TimerService &T,
                     std::vector<std::string> S, double R, Duration L,
                     std::uint64_t Seed)
    : Timers(T), Client(Loop), Stages(std::move(S)), Rate(R), Length(L),
      Rng(Seed) {}

void DirectRun::start() {
  End = Timers.now() + Length;
  schedule();
}

bool DirectRun::done() const { return Timers.now() >= End && InFlight == 0; }

void DirectRun::schedule() {
  double Seconds = -std::log(1 - randomUnit(Rng)) / Rate;
  Timers.after(fromMs(Seconds * 1e3), [this] {
    if (Timers.now() >= End)
      return;
    ++InFlight;
    callStage(0, "input", Timers.now());
    schedule();
  });
}

void DirectRun::callStage(std::size_t Stage, const std::string &Input,
                          TimePoint Due) {
  Json Body;
  Body.set("stage", "s" + std::to_string(Stage + 1)).set("input", Input);
  HttpCall Call;
  Call.Address = Stages[Stage];
  Call.Path = "/v1/stage";
  Call.Body = writeJson(Body);
  HttpCallbacks On;
  On.OnDone = [this, Stage, Due](const HttpResponse &Answer) {
    Diagnostics Wrong;
    auto Root = parseJson(Answer.Body, JsonDialect::Strict, Wrong);
    if (Root && Stage + 1 < Stages.size())
      return callStage(Stage + 1, Root->text("output"), Due);
    --InFlight;
    Latencies.push_back(toMs(Timers.now() - Due));
  };
  Client.start(std::move(Call), std::move(On));
}

} // namespace fulmar
