// Small stand-ins of the platform's store, of servers and of clients, and the
// means to run nodes as separate processes. Used by the cases in review/.
//
// Everything listens on 127.0.0.1 at ports that the system assigns. Stand-ins
// follow PROTOCOL.md; they use blocking sockets and one thread a connection.
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

// ---------------------------------------------------------------- time, record

inline std::chrono::steady_clock::time_point Begin =
    std::chrono::steady_clock::now();

// Milliseconds since the start of the case.
inline std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Begin)
      .count();
}

inline std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(std::int64_t Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

inline void sleepUntil(std::int64_t At) { sleepMs(At - nowMs()); }

inline std::mutex RecordLock;
inline FILE *RecordFile = nullptr;

inline void openRecord(const std::string &Path) {
  RecordFile = std::fopen(Path.c_str(), "w");
  if (!RecordFile)
    std::exit(2);
}

// Writes one line to record.txt, with the time in seconds.
inline void note(const char *Format, ...) {
  char Text[2048];
  va_list Args;
  va_start(Args, Format);
  std::vsnprintf(Text, sizeof(Text), Format, Args);
  va_end(Args);
  std::lock_guard<std::mutex> Guard(RecordLock);
  double At = static_cast<double>(nowMs()) / 1e3;
  if (RecordFile) {
    std::fprintf(RecordFile, "%8.3f %s\n", At, Text);
    std::fflush(RecordFile);
  }
}

// Whether the disruption takes place; TROUBLE=0 leaves it out.
inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

// ---------------------------------------------------------------- text

inline std::string base64Encode(const std::string &In) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t I = 0; I < In.size(); I += 3) {
    std::uint32_t V = static_cast<unsigned char>(In[I]) << 16;
    if (I + 1 < In.size())
      V |= static_cast<unsigned char>(In[I + 1]) << 8;
    if (I + 2 < In.size())
      V |= static_cast<unsigned char>(In[I + 2]);
    Out += Digits[V >> 18];
    Out += Digits[V >> 12 & 63];
    Out += I + 1 < In.size() ? Digits[V >> 6 & 63] : '=';
    Out += I + 2 < In.size() ? Digits[V & 63] : '=';
  }
  return Out;
}

inline std::string base64Decode(const std::string &In) {
  std::string Out;
  std::uint32_t V = 0;
  int Bits = 0;
  for (char C : In) {
    int D = -1;
    if (C >= 'A' && C <= 'Z')
      D = C - 'A';
    else if (C >= 'a' && C <= 'z')
      D = C - 'a' + 26;
    else if (C >= '0' && C <= '9')
      D = C - '0' + 52;
    else if (C == '+')
      D = 62;
    else if (C == '/')
      D = 63;
    if (D < 0)
      continue;
    V = V << 6 | static_cast<std::uint32_t>(D);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Out += static_cast<char>(V >> Bits & 255);
    }
  }
  return Out;
}

inline std::string quoted(const std::string &Text) {
  std::string Out = "\"";
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    if (static_cast<unsigned char>(C) < 32) {
      char Code[8];
      std::snprintf(Code, sizeof(Code), "\\u%04x", C);
      Out += Code;
      continue;
    }
    Out += C;
  }
  return Out + "\"";
}

inline std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Out;
  std::stringstream In(Text);
  std::string Item;
  while (std::getline(In, Item, Mark)) {
    Item.erase(0, Item.find_first_not_of(" \t"));
    Out.push_back(Item);
  }
  return Out;
}

// A JSON value, enough for the bodies of PROTOCOL.md.
struct Json {
  enum Type { Null, Bool, Number, Text, List, Object } Kind = Null;
  double Num = 0;
  std::string Str;
  std::vector<Json> Items;
  std::map<std::string, Json> Members;

  const Json &at(const std::string &Name) const {
    static const Json Nothing;
    auto Found = Members.find(Name);
    return Found == Members.end() ? Nothing : Found->second;
  }
};

struct JsonReader {
  const std::string &In;
  std::size_t At = 0;
  void space() {
    while (At < In.size() && std::isspace(static_cast<unsigned char>(In[At])))
      ++At;
  }
  std::string text() {
    std::string Out;
    ++At;
    while (At < In.size() && In[At] != '"') {
      if (In[At] == '\\' && At + 1 < In.size()) {
        ++At;
        if (In[At] == 'u') {
          Out +=
              static_cast<char>(std::stoi(In.substr(At + 1, 4), nullptr, 16));
          At += 5;
          continue;
        }
        Out += In[At] == 'n' ? '\n' : In[At] == 't' ? '\t' : In[At];
        ++At;
        continue;
      }
      Out += In[At++];
    }
    ++At;
    return Out;
  }
  Json value() {
    Json Out;
    space();
    if (At >= In.size())
      return Out;
    char C = In[At];
    if (C == '{') {
      Out.Kind = Json::Object;
      ++At;
      for (space(); At < In.size() && In[At] != '}'; space()) {
        std::string Name = text();
        space();
        ++At;
        Out.Members[Name] = value();
        space();
        if (At < In.size() && In[At] == ',')
          ++At;
      }
      ++At;
    } else if (C == '[') {
      Out.Kind = Json::List;
      ++At;
      for (space(); At < In.size() && In[At] != ']'; space()) {
        Out.Items.push_back(value());
        space();
        if (At < In.size() && In[At] == ',')
          ++At;
      }
      ++At;
    } else if (C == '"') {
      Out.Kind = Json::Text;
      Out.Str = text();
    } else if (C == 't' || C == 'f' || C == 'n') {
      Out.Kind = C == 'n' ? Json::Null : Json::Bool;
      Out.Num = C == 't';
      At += C == 'f' ? 5 : 4;
    } else {
      Out.Kind = Json::Number;
      std::size_t Used = 0;
      Out.Num = std::stod(In.substr(At, 40), &Used);
      At += Used;
    }
    return Out;
  }
};

inline Json parseJson(const std::string &Text) {
  JsonReader Reader{Text};
  return Reader.value();
}

// ---------------------------------------------------------------- sockets

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers &All, const std::string &Name) {
  for (const auto &[Key, Value] : All) {
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  }
  return {};
}

// One TCP connection with a read buffer.
struct Conn {
  int Fd = -1;
  std::string In;

  explicit Conn(int F) : Fd(F) {
    int On = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  Conn(const Conn &) = delete;
  Conn &operator=(const Conn &) = delete;
  ~Conn() {
    if (Fd >= 0)
      ::close(Fd);
  }

  // Waits at most until Deadline for more bytes. False: none, or the end.
  bool more(std::int64_t Deadline = -1) {
    pollfd P{Fd, POLLIN, 0};
    int Wait =
        Deadline < 0
            ? -1
            : static_cast<int>(std::max<std::int64_t>(0, Deadline - nowMs()));
    if (::poll(&P, 1, Wait) <= 0)
      return false;
    char Bytes[16384];
    ssize_t Size = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return false;
    In.append(Bytes, static_cast<std::size_t>(Size));
    return true;
  }
  bool write(const std::string &Bytes) {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      ssize_t Size =
          ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Size <= 0)
        return false;
      Sent += static_cast<std::size_t>(Size);
    }
    return true;
  }
  // Whether the peer has closed; reads nothing.
  bool peerGone() const {
    char Byte;
    ssize_t Size = ::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // The next close resets the connection.
  void resetOnClose() const {
    linger Now{1, 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  }
};

inline sockaddr_in loopback(int Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_port = htons(static_cast<std::uint16_t>(Port));
  A.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return A;
}

// The next port to try. It lies below those that the system gives to outgoing
// connections, and apart from those of a case that runs at the same time.
inline int nextPort() {
  static constexpr int First = 10000, Blocks = 200, BlockSize = 110;
  static std::atomic<int> Next{0};
  return First + ::getpid() % Blocks * BlockSize + Next++ % BlockSize;
}

// Returns a socket that is bound to a port, a free one for 0, or -1.
inline int bindTcp(int Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  for (int Try = 0; Try < 110; ++Try) {
    sockaddr_in A = loopback(Port == 0 ? nextPort() : Port);
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0)
      return Fd;
    if (Port != 0)
      break;
  }
  ::close(Fd);
  return -1;
}

inline int portOf(int Fd) {
  sockaddr_in A{};
  socklen_t Size = sizeof(A);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&A), &Size);
  return ntohs(A.sin_port);
}

// A port that nothing uses at the moment, for TCP and UDP.
inline int freePort() {
  static std::set<int> Given;
  while (true) {
    int Tcp = bindTcp(0);
    int Port = portOf(Tcp);
    int Udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in A = loopback(Port);
    bool Free = ::bind(Udp, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0;
    ::close(Tcp);
    ::close(Udp);
    if (Free && Given.insert(Port).second)
      return Port;
  }
}

inline std::string address(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

inline int connectTo(const std::string &Address) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in A{};
  A.sin_family = AF_INET;
  std::size_t Colon = Address.rfind(':');
  A.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &A.sin_addr);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&A), sizeof(A)) != 0) {
    ::close(Fd);
    return -1;
  }
  return Fd;
}

// ---------------------------------------------------------------- HTTP

// A message: a request or a response.
struct Message {
  std::string Method, Target, Path, Query; // Requests.
  int Status = 0;                          // Responses.
  Headers Head;
  std::string Body;
  bool Complete = false;
  std::string header(const std::string &Name) const {
    return headerOf(Head, Name);
  }
  std::string query(const std::string &Name) const {
    for (const std::string &Pair : split(Query, '&')) {
      std::size_t Equal = Pair.find('=');
      if (Pair.substr(0, Equal) != Name || Equal == std::string::npos)
        continue;
      std::string Out;
      for (std::size_t I = Equal + 1; I < Pair.size(); ++I) {
        if (Pair[I] == '%' && I + 2 < Pair.size()) {
          Out +=
              static_cast<char>(std::stoi(Pair.substr(I + 1, 2), nullptr, 16));
          I += 2;
        } else {
          Out += Pair[I];
        }
      }
      return Out;
    }
    return {};
  }
};

// Reads the head of a message. False: the connection ended or time is over.
inline bool readHead(Conn &C, Message &M, bool Request,
                     std::int64_t Deadline = -1) {
  std::size_t End;
  while ((End = C.In.find("\r\n\r\n")) == std::string::npos) {
    if (!C.more(Deadline))
      return false;
  }
  std::string Head = C.In.substr(0, End);
  C.In.erase(0, End + 4);
  std::stringstream In(Head);
  std::string Line;
  std::getline(In, Line);
  if (!Line.empty() && Line.back() == '\r')
    Line.pop_back();
  if (Request) {
    std::stringstream First(Line);
    First >> M.Method >> M.Target;
    std::size_t Mark = M.Target.find('?');
    M.Path = M.Target.substr(0, Mark);
    if (Mark != std::string::npos)
      M.Query = M.Target.substr(Mark + 1);
  } else {
    M.Status = Line.size() > 12 ? std::atoi(Line.c_str() + 9) : 0;
  }
  while (std::getline(In, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(" \t", Colon + 1);
    M.Head.push_back({Line.substr(0, Colon), Value == std::string::npos
                                                 ? std::string()
                                                 : Line.substr(Value)});
  }
  return true;
}

// Reads the body. Fn, if set, gets each part of a chunked body as it arrives.
inline bool readBody(Conn &C, Message &M, bool Request,
                     std::int64_t Deadline = -1,
                     const std::function<void(const std::string &)> &Fn = {}) {
  auto Give = [&](const std::string &Part) {
    M.Body += Part;
    if (Fn)
      Fn(Part);
  };
  if (strcasecmp(M.header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      std::size_t End;
      while ((End = C.In.find("\r\n")) == std::string::npos) {
        if (!C.more(Deadline))
          return false;
      }
      std::size_t Size = std::stoul(C.In.substr(0, End), nullptr, 16);
      while (C.In.size() < End + 2 + Size + 2) {
        if (!C.more(Deadline))
          return false;
      }
      std::string Part = C.In.substr(End + 2, Size);
      C.In.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return M.Complete = true;
      Give(Part);
    }
  }
  std::string Length = M.header("Content-Length");
  if (!Length.empty() || Request) {
    std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    while (C.In.size() < Size) {
      if (!C.more(Deadline))
        return false;
    }
    Give(C.In.substr(0, Size));
    C.In.erase(0, Size);
    return M.Complete = true;
  }
  while (C.more(Deadline)) {
  }
  Give(C.In);
  C.In.clear();
  // Without a length, only an orderly end completes the body.
  char Byte;
  return M.Complete = ::recv(C.Fd, &Byte, 1, MSG_DONTWAIT) == 0;
}

inline std::string response(int Status, const Headers &Head,
                            const std::string &Body) {
  std::string Out = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  for (const auto &[Name, Value] : Head)
    Out += Name + ": " + Value + "\r\n";
  return Out + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

// Accepts connections; Fn serves one request and says whether to go on.
class Server {
public:
  using Handler = std::function<bool(Conn &, Message &)>;

  explicit Server(Handler F) : Fn(std::move(F)) { start(); }
  std::string address() const { return lab::address(Port); }

  // Listens at the port that it had before, if any.
  void start() {
    int Listener = bindTcp(Port);
    ::listen(Listener, 512);
    Port = portOf(Listener);
    Fd = Listener;
    std::thread([this, Listener] { accept(Listener); }).detach();
  }
  // Ends all connections, and refuses new ones.
  void stop() {
    std::lock_guard<std::mutex> Guard(Lock);
    int Listener = Fd.exchange(-1);
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    for (int Client : Clients)
      ::shutdown(Client, SHUT_RDWR);
  }

private:
  void accept(int Listener) {
    while (true) {
      int Client = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0)
        return;
      {
        std::lock_guard<std::mutex> Guard(Lock);
        Clients.insert(Client);
      }
      std::thread([this, Client] {
        serve(Client);
        std::lock_guard<std::mutex> Guard(Lock);
        Clients.erase(Client);
        ::close(Client);
      }).detach();
    }
  }
  void serve(int Client) {
    Conn C(Client);
    while (true) {
      Message M;
      if (!readHead(C, M, true) || !readBody(C, M, true) || !Fn(C, M))
        break;
    }
    ::shutdown(Client, SHUT_WR);
    // The caller closes the descriptor, so that no other connection has it
    // while stop() may still use it.
    C.Fd = -1;
  }
  Handler Fn;
  std::mutex Lock;
  std::set<int> Clients;
  std::atomic<int> Fd{-1};
  int Port = 0;
};

// ---------------------------------------------------------------- the store

// The platform's metadata store.
class Store {
public:
  Store() : Listener([this](Conn &C, Message &M) { return serve(C, M); }) {
    std::thread([this] { expire(); }).detach();
  }
  std::string address() const { return Listener.address(); }

  std::uint64_t put(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Guard(Lock);
    return putLocked(Key, Value, 0);
  }
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Guard(Lock);
    removeLocked(Key);
  }
  // Keeps a copy of everything.
  void copy() {
    std::lock_guard<std::mutex> Guard(Lock);
    Copy = {Items, Revision, LastLease, Leases};
  }
  // While away, the store resets each connection on which it is called.
  void setAway(bool On) {
    std::lock_guard<std::mutex> Guard(Lock);
    Away = On;
    Changed.notify_all();
  }
  // Comes back from the copy, in a new era.
  void restore() {
    std::lock_guard<std::mutex> Guard(Lock);
    Items = Copy.Items;
    Revision = Copy.Revision;
    LastLease = Copy.LastLease;
    Leases = Copy.Leases;
    for (auto &[Id, L] : Leases)
      L.Until = nowMs() + L.TtlMs;
    History.clear();
    HistoryFrom = Revision;
    ++Era;
    Away = false;
    Changed.notify_all();
  }
  std::uint64_t era() const { return Era; }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct Lease {
    std::int64_t TtlMs = 0, Until = 0;
  };
  struct Event {
    std::string Key;
    Item Was;
    bool Deleted = false;
    std::uint64_t Revision = 0;
  };
  struct Snapshot {
    std::map<std::string, Item> Items;
    std::uint64_t Revision = 0, LastLease = 0;
    std::map<std::uint64_t, Lease> Leases;
  };

  std::uint64_t putLocked(const std::string &Key, const std::string &Value,
                          std::uint64_t L) {
    ++Revision;
    Item &I = Items[Key];
    I.Value = Value;
    I.Revision = Revision;
    I.Lease = L;
    if (I.Created == 0)
      I.Created = Revision;
    History.push_back({Key, I, false, Revision});
    Changed.notify_all();
    return Revision;
  }
  void removeLocked(const std::string &Key) {
    if (Items.erase(Key) == 0)
      return;
    ++Revision;
    History.push_back({Key, {}, true, Revision});
    Changed.notify_all();
  }
  void expire() {
    while (true) {
      sleepMs(20);
      std::lock_guard<std::mutex> Guard(Lock);
      if (Away)
        continue;
      for (auto It = Leases.begin(); It != Leases.end();) {
        if (It->second.Until > nowMs()) {
          ++It;
          continue;
        }
        std::vector<std::string> Gone;
        for (const auto &[Key, I] : Items) {
          if (I.Lease == It->first)
            Gone.push_back(Key);
        }
        for (const std::string &Key : Gone)
          removeLocked(Key);
        It = Leases.erase(It);
      }
    }
  }
  static std::string itemText(const std::string &Key, const Item &I) {
    return "{\"key\":" + quoted(Key) + ",\"value\":\"" + base64Encode(I.Value) +
           "\",\"revision\":" + std::to_string(I.Revision) +
           ",\"created\":" + std::to_string(I.Created) +
           ",\"lease\":" + std::to_string(I.Lease);
  }
  bool reply(Conn &C, int Status, const std::string &Body) {
    return C.write(response(Status,
                            {{"Content-Type", "application/json"},
                             {"Store-Era", std::to_string(Era)}},
                            Body));
  }
  bool serve(Conn &C, Message &M) {
    std::unique_lock<std::mutex> Guard(Lock);
    if (Away) {
      C.resetOnClose();
      return false;
    }
    std::string At = std::to_string(Revision);
    if (M.Path == "/fulmarstep/kv-key") {
      auto Found = Items.find(M.query("key"));
      if (Found == Items.end())
        return reply(C, 404, "{\"at\":" + At + "}");
      return reply(C, 200,
                   itemText(Found->first, Found->second) + ",\"at\":" + At +
                       "}");
    }
    if (M.Path == "/fulmarstep/kv-range") {
      std::string Prefix = M.query("prefix"), After = M.query("after"), List;
      for (const auto &[Key, I] : Items) {
        if (Key.rfind(Prefix, 0) != 0 || Key <= After)
          continue;
        List += (List.empty() ? "" : ",") + itemText(Key, I) + "}";
      }
      return reply(C, 200,
                   "{\"items\":[" + List + "],\"has_more\":false,\"at\":" + At +
                       "}");
    }
    if (M.Path == "/fulmarstep/kv-watch")
      return watch(C, M, Guard);
    if (M.Path == "/fulmarstep/kv-txn")
      return txn(C, parseJson(M.Body));
    if (M.Path == "/fulmarstep/kv-lease") {
      auto Ttl = static_cast<std::int64_t>(parseJson(M.Body).at("ttl_ms").Num);
      Leases[++LastLease] = {Ttl, nowMs() + Ttl};
      return reply(C, 200,
                   "{\"lease\":" + std::to_string(LastLease) +
                       ",\"ttl_ms\":" + std::to_string(Ttl) + "}");
    }
    const std::string Keep = "/fulmarstep/kv-keep/";
    if (M.Path.rfind(Keep, 0) == 0) {
      auto Found = Leases.find(std::stoull(M.Path.substr(Keep.size())));
      if (Found == Leases.end())
        return reply(C, 404, "{}");
      Found->second.Until = nowMs() + Found->second.TtlMs;
      return reply(C, 200,
                   "{\"ttl_ms\":" + std::to_string(Found->second.TtlMs) + "}");
    }
    const std::string End = "/fulmarstep/kv-lease-end/";
    if (M.Path.rfind(End, 0) == 0) {
      auto Found = Leases.find(std::stoull(M.Path.substr(End.size())));
      if (Found == Leases.end())
        return reply(C, 404, "{}");
      Found->second.Until = 0;
      return reply(C, 200, "{}");
    }
    return reply(C, 404, "{}");
  }
  bool watch(Conn &C, Message &M, std::unique_lock<std::mutex> &Guard) {
    std::string Prefix = M.query("prefix");
    std::uint64_t After = std::stoull("0" + M.query("after"));
    std::int64_t Until = nowMs() + std::stoll("0" + M.query("wait_ms"));
    std::uint64_t Started = Era;
    if (After < HistoryFrom || After > Revision)
      return reply(C, 410, "{}");
    while (true) {
      // A watch of the time before an outage is cut.
      if (Away || Era != Started) {
        C.resetOnClose();
        return false;
      }
      std::string List;
      for (const Event &E : History) {
        if (E.Revision <= After || E.Key.rfind(Prefix, 0) != 0)
          continue;
        List += List.empty() ? "" : ",";
        List += E.Deleted ? "{\"key\":" + quoted(E.Key) +
                                ",\"revision\":" + std::to_string(E.Revision) +
                                ",\"deleted\":true}"
                          : itemText(E.Key, E.Was) + "}";
      }
      if (!List.empty() || nowMs() >= Until)
        return reply(C, 200,
                     "{\"events\":[" + List +
                         "],\"at\":" + std::to_string(Revision) + "}");
      Changed.wait_for(Guard, std::chrono::milliseconds(
                                  std::max<std::int64_t>(1, Until - nowMs())));
    }
  }
  bool txn(Conn &C, const Json &Body) {
    for (const Json &Row : Body.at("expected_revision").Items) {
      auto Found = Items.find(Row.at("key").Str);
      std::uint64_t Now = Found == Items.end() ? 0 : Found->second.Revision;
      if (Now != static_cast<std::uint64_t>(Row.at("revision").Num))
        return reply(C, 412, "{\"items\":[]}");
    }
    for (const Json &Row : Body.at("puts").Items) {
      auto L = static_cast<std::uint64_t>(Row.at("lease").Num);
      if (L != 0 && !Leases.count(L))
        return reply(C, 404, "{}");
    }
    for (const Json &Row : Body.at("puts").Items)
      putLocked(Row.at("key").Str, base64Decode(Row.at("value").Str),
                static_cast<std::uint64_t>(Row.at("lease").Num));
    for (const Json &Key : Body.at("remove").Items)
      removeLocked(Key.Str);
    return reply(C, 200, "{\"revision\":" + std::to_string(Revision) + "}");
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 100, HistoryFrom = 100, LastLease = 1000, Era = 1;
  bool Away = false;
  Snapshot Copy;
  Server Listener; // Last: its threads use the rest.
};

// ---------------------------------------------------------------- servers

// What a server registers in the store.
struct Registration {
  std::string Id, Service, Zone, Address, Version = "v1", State = "ready";
  int Slots = 8;
  std::int64_t Born = wallMs();
  std::string text(int Sequence) const {
    return "{\"service\":" + quoted(Service) +
           ",\"address\":" + quoted(Address) + ",\"zone\":" + quoted(Zone) +
           ",\"version\":" + quoted(Version) +
           ",\"slots\":" + std::to_string(Slots) +
           ",\"state\":" + quoted(State) +
           ",\"cold_remaining_ms\":0,\"born\":" + std::to_string(Born) +
           ",\"sequence\":" + std::to_string(Sequence) + "}";
  }
};

// Registers a server and writes its entry again every 1.2 s.
inline void registerServer(Store &S, const Registration &R) {
  S.put("servers/" + R.Id, R.text(1));
  std::thread([&S, R] {
    for (int Sequence = 2;; ++Sequence) {
      sleepMs(1200);
      S.put("servers/" + R.Id, R.text(Sequence));
    }
  }).detach();
}

// ---------------------------------------------------------------- clients

// Sends one request on a connection of its own and reads the answer.
inline Message
request(const std::string &To, const std::string &Method,
        const std::string &Target, const Headers &Head, const std::string &Body,
        std::int64_t TimeoutMs,
        const std::function<void(const std::string &)> &Fn = {}) {
  Message M;
  int Fd = connectTo(To);
  if (Fd < 0)
    return M;
  Conn C(Fd);
  std::string Out = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Head)
    Out += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST")
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  std::int64_t Deadline = nowMs() + TimeoutMs;
  if (C.write(Out + "\r\n" + Body) && readHead(C, M, false, Deadline))
    readBody(C, M, false, Deadline, Fn);
  return M;
}

// ---------------------------------------------------------------- nodes

inline std::vector<pid_t> Children;

// One node: the deployed program as a separate process.
struct Node {
  std::string Name, Zone, Folder, Settings;
  int CallerPort = freePort(), ReadyPort = freePort(), EntryPort = freePort(),
      PeerPort = freePort(), MetricsPort = freePort();
  pid_t Pid = -1;

  std::string caller() const { return address(CallerPort); }

  void start() {
    std::fflush(nullptr);
    Pid = ::fork();
    if (Pid != 0) {
      Children.push_back(Pid);
      note("node %s started, pid %d", Name.c_str(), Pid);
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Log = ::open((Folder + "/" + Name + ".log").c_str(),
                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::execl("target/fulmarstep", "target/fulmarstep", "gateway", "--settings",
            Settings.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }
  void signal(int Number) const {
    note("node %s gets signal %d", Name.c_str(), Number);
    ::kill(Pid, Number);
  }
  // Waits until the process has ended; false after TimeoutMs.
  bool ended(std::int64_t TimeoutMs) {
    for (std::int64_t Until = nowMs() + TimeoutMs; nowMs() < Until;) {
      if (::waitpid(Pid, nullptr, WNOHANG) == Pid) {
        std::erase(Children, Pid);
        note("node %s has ended", Name.c_str());
        return true;
      }
      sleepMs(5);
    }
    return false;
  }
  bool ready() const {
    return request(address(ReadyPort), "GET", "/fulmarstep/ready",
                   {{"Host", "ready"}}, "", 500)
               .Status == 200;
  }
};

// Writes the settings of a node: deploy/node.json.template, filled in.
inline void writeSettings(Node &N, const std::vector<Node *> &All,
                          const std::string &StoreAddress) {
  std::string Seeds;
  for (std::size_t I = 0; I < All.size() && I < 3; ++I)
    Seeds += (I ? "," : "") + quoted(address(All[I]->PeerPort));
  N.Settings = N.Folder + "/" + N.Name + ".json";
  FILE *Out = std::fopen(N.Settings.c_str(), "w");
  std::fprintf(Out,
               "{\n  \"node_id\": %s,\n  \"failure_domain\": %s,\n"
               "  \"caller_address\": %s,\n  \"ready_address\": %s,\n"
               "  \"entry_address\": %s,\n  \"peer_address\": %s,\n"
               "  \"metrics_port\": %d,\n  \"seeds\": [%s],\n"
               "  \"grace_s\": 8,\n  \"revoke_ms\": 5000,\n"
               "  \"retry_ratio\": 0.2,\n  \"retry_extra\": 56,\n"
               "  \"retry_window_s\": 10, \"retry_settle_s\": 10,\n"
               "  \"cpu_share\": 0.25,\n  \"link_mbps\": 1000.0,\n"
               "  \"placement_step_budget_ms\": 60,\n"
               "  \"placement_min_slots\": 24,\n  \"kv_address\": %s,\n"
               "  \"log_level\": \"info\"\n}\n",
               quoted(N.Name).c_str(), quoted(N.Zone).c_str(),
               quoted(address(N.CallerPort)).c_str(),
               quoted(address(N.ReadyPort)).c_str(),
               quoted(address(N.EntryPort)).c_str(),
               quoted(address(N.PeerPort)).c_str(), N.MetricsPort,
               Seeds.c_str(), quoted(StoreAddress).c_str());
  std::fclose(Out);
}

inline bool waitReady(const std::vector<Node *> &All, std::int64_t TimeoutMs) {
  for (std::int64_t Until = nowMs() + TimeoutMs; nowMs() < Until; sleepMs(50)) {
    if (std::all_of(All.begin(), All.end(), [](Node *N) { return N->ready(); }))
      return true;
  }
  return false;
}

// Ends all nodes and the case itself.
[[noreturn]] inline void finish(int Code) {
  for (pid_t Child : Children)
    ::kill(Child, SIGKILL);
  for (pid_t Child : Children)
    ::waitpid(Child, nullptr, 0);
  note("exit %d", Code);
  std::_Exit(Code);
}

// The command line of a case: the folder of record.txt, a temporary folder.
inline std::string begin(int Argc, char **Argv) {
  if (Argc < 3)
    std::exit(2);
  ::signal(SIGPIPE, SIG_IGN);
  openRecord(std::string(Argv[1]) + "/record.txt");
  note("disruption: %s", trouble() ? "yes" : "no");
  return Argv[2];
}

} // namespace lab

#endif
