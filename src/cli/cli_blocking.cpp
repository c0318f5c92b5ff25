/// \file cli_blocking.cpp Blocking HTTP and key-value calls.
#include "cli/cli_blocking.h"

#include "core/text.h"
#include "kv_consul.h"

namespace fulmar {

HttpResponse callAndWait(HttpCall Call,
                         std::function<void(std::string_view)> OnChunk) {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpClient Client(Loop);
  HttpResponse Out;
  HttpCallbacks On;
  On.OnChunk = std::move(OnChunk);
  On.OnDone = [&](const HttpResponse &Answer) {
    Out = Answer;
    Loop.stop();
  };
  Client.start(std::move(Call), std::move(On));
  Loop.run();
  return Out;
}

BlockingConsulKv::BlockingConsulKv(std::string A) : Address(std::move(A)) {}

KvStatus BlockingConsulKv::get(const std::string &Key, KvEntry &Out) {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpClient Client(Loop);
  ConsulKv Kv(Client, Address);
  KvStatus Result = KvStatus::Invalid;
  Kv.get(Key, [&](KvStatus Status, const KvEntry &Entry) {
    Result = Status;
    Out = Entry;
    Loop.stop();
  });
  Loop.run();
  return Result;
}

KvStatus BlockingConsulKv::cas(const std::string &Key, const std::string &Value,
                               std::uint64_t Index) {
  TimerService Timers;
  EventLoop Loop(Timers);
  HttpClient Client(Loop);
  ConsulKv Kv(Client, Address);
  KvStatus Result = KvStatus::Invalid;
  Kv.cas(Key, Value, Index, [&](KvStatus Status) {
    Result = Status;
    Loop.stop();
  });
  Loop.run();
  return Result;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string_view> Items = splitCommas(Text);
  return {Items.begin(), Items.end()};
}

} // namespace fulmar
