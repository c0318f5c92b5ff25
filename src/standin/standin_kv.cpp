/// \file standin_kv.cpp A small stand-in of the key-value service.
#include "standin/standin_kv.h"

#include "json_func.h"
#include "signature_func.h"

namespace fulmar {

static constexpr std::size_t MaxValueBytes = 1 << 20;
static const std::string KeyPrefix = "/v1/kv/";

StandinKv::StandinKv(EventLoop &Loop, TimerService &T, const std::string &Host,
                     int Port)
    : Timers(T), Server(Loop, Host, Port, MaxValueBytes,
                        [this](const HttpExchangePtr &E) { handle(E); }) {}

KvEntry StandinKv::entry(const std::string &Key) const {
  auto Found = Entries.find(Key);
  return Found == Entries.end() ? KvEntry() : Found->second;
}

void StandinKv::restore(const std::string &Key, const std::string &Value) {
  Entries[Key] = {Value, ++LastIndex};
  wakeWatchers(Key);
}

void StandinKv::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->Path == "/fault")
    return handleFault(Exchange);
  if (Faults.Outage)
    return Exchange->abort();
  if (Faults.SlowMs <= 0)
    return serve(Exchange);
  Timers.after(std::chrono::milliseconds(Faults.SlowMs),
               [this, Exchange] { serve(Exchange); });
}

void StandinKv::serve(const HttpExchangePtr &Exchange) {
  if (Exchange->Path == "/stats") {
    Json Out;
    Out.set("reads", ReadCount).set("writes", WriteCount);
    Out.set("refused", RefusedCount);
    Out.set("watching", static_cast<std::int64_t>(Watchers.size()));
    return Exchange->reply(HttpOk, writeJson(Out), {});
  }
  if (Exchange->Path.rfind(KeyPrefix, 0) != 0)
    return Exchange->reply(404, "", {});
  bool Remove = Exchange->Method == "DELETE";
  bool Write = Exchange->Method == "PUT" || Remove;
  if (!acquirePermit(Write)) {
    ++RefusedCount;
    return Exchange->reply(HttpTooManyRequests, "", {});
  }
  std::string Key = Exchange->Path.substr(KeyPrefix.size());
  if (Remove) {
    Entries.erase(Key);
    Exchange->reply(HttpOk, "true", {});
  } else if (Write)
    handleWrite(Exchange, Key);
  else
    handleRead(Exchange, Key);
}

bool StandinKv::acquirePermit(bool Write) {
  if (Timers.now() - WindowStart >= std::chrono::seconds(1)) {
    WindowStart = Timers.now();
    WindowReads = 0;
    WindowWrites = 0;
  }
  std::int64_t &Used = Write ? WindowWrites : WindowReads;
  // Each open watch counts as a read of every second that it lasts.
  std::int64_t Open = Write ? 0 : static_cast<std::int64_t>(Watchers.size());
  if (Used + Open >= (Write ? Faults.Writes : Faults.Reads))
    return false;
  ++Used;
  ++(Write ? WriteCount : ReadCount);
  return true;
}

void StandinKv::replyEntry(const HttpExchangePtr &Exchange,
                           const std::string &Key) {
  auto Found = Entries.find(Key);
  HttpHeaders Headers = {{"X-Consul-Index", std::to_string(LastIndex)}};
  if (Found == Entries.end())
    return Exchange->reply(404, "", Headers);
  Json Item;
  Item.set("Key", Key).set("Value", base64Encode(Found->second.Value));
  Item.set("ModifyIndex", Found->second.Index);
  Json List;
  List.push(std::move(Item));
  Exchange->reply(HttpOk, writeJson(List), Headers);
}

void StandinKv::handleRead(const HttpExchangePtr &Exchange,
                           const std::string &Key) {
  std::string Index = Exchange->queryValue("index");
  std::uint64_t From = std::strtoull(Index.c_str(), nullptr, 10);
  if (Index.empty() || entry(Key).Index != From)
    return replyEntry(Exchange, Key);
  std::uint64_t Id = ++LastWatcherId;
  double WaitMs = std::strtod(Exchange->queryValue("wait").c_str(), nullptr);
  TimerId Timeout = Timers.after(fromMs(WaitMs), [this, Id] {
    auto Node = Watchers.extract(Id);
    replyEntry(Node.mapped().Exchange, Node.mapped().Key);
  });
  Watchers.emplace(Id, Watcher{Key, From, Exchange, Timeout});
  Exchange->OnClosed = [this, Id] {
    auto Found = Watchers.find(Id);
    if (Found == Watchers.end())
      return;
    Timers.cancel(Found->second.Timeout);
    Watchers.erase(Found);
  };
}

void StandinKv::wakeWatchers(const std::string &Key) {
  std::vector<HttpExchangePtr> Woken;
  for (auto It = Watchers.begin(); It != Watchers.end();) {
    if (It->second.Key != Key) {
      ++It;
      continue;
    }
    Timers.cancel(It->second.Timeout);
    Woken.push_back(It->second.Exchange);
    It = Watchers.erase(It);
  }
  for (const HttpExchangePtr &Exchange : Woken) {
    if (Faults.Outage)
      Exchange->abort();
    else
      replyEntry(Exchange, Key);
  }
}

void StandinKv::handleWrite(const HttpExchangePtr &Exchange,
                            const std::string &Key) {
  if (Exchange->TooLarge)
    return Exchange->reply(413, "", {});
  std::string Cas = Exchange->queryValue("cas");
  std::uint64_t From = std::strtoull(Cas.c_str(), nullptr, 10);
  if (!Cas.empty() && entry(Key).Index != From)
    return Exchange->reply(HttpOk, "false", {});
  Entries[Key] = {Exchange->Body, ++LastIndex};
  wakeWatchers(Key);
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return Exchange->abort();
  }
  Exchange->reply(HttpOk, "true", {});
}

void StandinKv::handleFault(const HttpExchangePtr &Exchange) {
  Diagnostics Problems;
  auto Root = parseJson(Exchange->Body, JsonDialect::Strict, Problems);
  if (!Root)
    return Exchange->reply(400, "not JSON", {});
  auto Number = [&Root](const char *Name, std::int64_t Now) {
    return static_cast<std::int64_t>(
        Root->number(Name, static_cast<double>(Now)));
  };
  Faults.Outage = Root->flag("outage", Faults.Outage);
  Faults.LoseAnswers = Number("lose_answers", Faults.LoseAnswers);
  Faults.SlowMs = Number("slow_ms", Faults.SlowMs);
  Faults.Reads = Number("reads", Faults.Reads);
  Faults.Writes = Number("writes", Faults.Writes);
  if (Faults.Outage) {
    auto Cut = std::move(Watchers);
    Watchers.clear();
    for (auto &[Id, W] : Cut) {
      Timers.cancel(W.Timeout);
      W.Exchange->abort();
    }
  }
  Exchange->reply(HttpOk, "", {});
}

} // namespace fulmar
