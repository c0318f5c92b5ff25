/// \file kv_consul.cpp The key-value service over Consul's published KV API.
#include "kv_consul.h"

#include "json_func.h"
#include "signature_func.h"

namespace fulmar {

/// The service responds within milliseconds; without a response after this time
/// it counts as unavailable.
static constexpr Duration CallTimeout = std::chrono::seconds(2);
static constexpr int HttpNotFound = 404;

ConsulKv::ConsulKv(HttpClient &C, std::string A)
    : Client(C), Address(std::move(A)) {}

/// Reads the JSON of one entry: `[{"Value": base64, "ModifyIndex": n}]`.
static bool readEntry(const HttpResponse &Answer, KvEntry &Out) {
  if (Answer.Status == HttpNotFound)
    return true;
  Diagnostics Wrong;
  auto Root = parseJson(Answer.Body, JsonDialect::Strict, Wrong);
  if (!Root || Root->Items.size() != 1)
    return false;
  const Json &Item = Root->Items[0];
  Out.Value = base64Decode(Item.text("Value"));
  Out.Index = static_cast<std::uint64_t>(Item.number("ModifyIndex"));
  return Out.Index > 0;
}

void ConsulKv::read(std::string Path, Duration Timeout, ReadFn Done) {
  HttpCall Call;
  Call.Address = Address;
  Call.Method = "GET";
  Call.Path = std::move(Path);
  Call.Timeout = Timeout;
  HttpCallbacks Callbacks;
  Callbacks.OnDone = [this,
                      Done = std::move(Done)](const HttpResponse &Answer) {
    KvEntry Entry;
    bool Answered = Answer.Status == HttpOk || Answer.Status == HttpNotFound;
    if (Answered && readEntry(Answer, Entry))
      return Done(KvStatus::Ok, Entry);
    ++Counts.Failed;
    Done(KvStatus::Unavailable, KvEntry());
  };
  startWithBackoff(Client, Backoff, std::move(Call), std::move(Callbacks));
}

void ConsulKv::get(const std::string &Key, ReadFn Done) {
  ++Counts.Reads;
  read("/v1/kv/" + Key, CallTimeout, std::move(Done));
}

void ConsulKv::watch(const std::string &Key, std::uint64_t Index, Duration Wait,
                     ReadFn Done) {
  ++Counts.Watches;
  auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(Wait);
  read("/v1/kv/" + Key + "?index=" + std::to_string(Index) +
           "&wait=" + std::to_string(Ms.count()) + "ms",
       Wait + CallTimeout, std::move(Done));
}

/// \return The outcome of a compare-and-swap according to its response.
static KvStatus writeStatus(const HttpResponse &Answer) {
  if (Answer.Status == HttpOk)
    return Answer.Body.rfind("true", 0) == 0 ? KvStatus::Ok
                                             : KvStatus::Conflict;
  // An error status does not prove that nothing was written, since a gateway
  // may return one after the write. Only a call that was never sent is certain.
  if (Answer.Status == HttpTooManyRequests || !Answer.MayHaveBeenSent)
    return KvStatus::Unavailable;
  return KvStatus::Unknown;
}

void ConsulKv::cas(const std::string &Key, const std::string &Value,
                   std::uint64_t Index, WriteFn Done) {
  ++Counts.Writes;
  HttpCall Call;
  Call.Address = Address;
  Call.Method = "PUT";
  Call.Path = "/v1/kv/" + Key + "?cas=" + std::to_string(Index);
  Call.Body = Value;
  Call.Timeout = CallTimeout;
  HttpCallbacks Callbacks;
  Callbacks.OnDone = [this,
                      Done = std::move(Done)](const HttpResponse &Answer) {
    KvStatus Status = writeStatus(Answer);
    if (Status == KvStatus::Unavailable || Status == KvStatus::Unknown)
      ++Counts.Failed;
    Done(Status);
  };
  startWithBackoff(Client, Backoff, std::move(Call), std::move(Callbacks));
}

void ConsulKv::remove(const std::string &Key) {
  ++Counts.Writes;
  HttpCall Call;
  Call.Address = Address;
  Call.Method = "DELETE";
  Call.Path = "/v1/kv/" + Key;
  Call.Timeout = CallTimeout;
  // A failed removal does no harm: it leaves a value that nobody reads.
  startWithBackoff(Client, Backoff, std::move(Call), HttpCallbacks());
}

} // namespace fulmar
