/// \file cli_bundle.cpp The subcommand `bundle`: checks, signs and rolls out a
/// bundle.
#include <iostream>

#include <gflags/gflags.h>

#include "bench/demo.h"
#include "bundle_func.h"
#include "cli/cli_blocking.h"
#include "cli/cli_status.h"
#include "cli/cli_type.h"
#include "json_func.h"
#include "peer_codec.h"
#include "signature_func.h"

DECLARE_string(nodes);
DEFINE_string(file, "", "bundle source; for accept: signed bundle");
DEFINE_string(kv, "127.0.0.1:8500", "key-value service, IP:PORT");
DEFINE_string(key, "", "file with the operator's private key");
DEFINE_string(signer, "", "name of that key in the nodes' settings");
DEFINE_string(note, "", "reason for the change");
DEFINE_uint64(version_number, 0,
              "version number of the signed bundle; 0: the "
              "one after the accepted one");
DEFINE_string(out, "", "file to write");
DEFINE_bool(test, false, "accept: dry run; report the result without writing");
DEFINE_string(operator_keys, "",
              "accept: trusted keys as NAME:HEX, "
              "comma-separated");
DEFINE_bool(wait, false, "status: wait until in force everywhere");
DEFINE_double(timeout_s, 30, "status --wait: time limit in seconds");

namespace fulmar {

static std::string requireFlag(const std::string &Value, const char *Flag) {
  if (Value.empty())
    throw Error(ResultCode::UsageError, std::string(Flag) + " is required");
  return Value;
}

static std::string firstLine(const std::string &Text) {
  return Text.substr(0, Text.find('\n'));
}

static ExitCode keygen() {
  SigningKey Key = makeSigningKey();
  writeFile(requireFlag(FLAGS_out, "--out"), Key.PrivateHex + "\n");
  std::cout << "public key: " << Key.PublicHex << "\n";
  return ExitCode::Success;
}

static ExitCode check() {
  BundleItems Items = loadBundleItems(requireFlag(FLAGS_file, "--file"));
  std::size_t Size = encodeBundle({{}, Items, {}}).size();
  if (Size > MaxKvValueBytes)
    throw Error(ResultCode::BundleTooLarge,
                std::to_string(Size) + " bytes; the limit is " +
                    std::to_string(MaxKvValueBytes));
  std::cout << "good: " << Items.size() << " items, " << Size << " bytes, root "
            << hexOf(rootOf(Items)) << "\n";
  return ExitCode::Success;
}

static SignedBundle acceptedBundle() {
  BlockingConsulKv Kv(FLAGS_kv);
  std::uint64_t Index = 0;
  return readAcceptedBundle(Kv, Index);
}

static ExitCode diff() {
  SignedBundle Next;
  Next.Items = loadBundleItems(requireFlag(FLAGS_file, "--file"));
  SignedBundle Before = acceptedBundle();
  BundleDelta Delta = diffBundles(Before, Next);
  for (const auto &[Key, Json] : Delta.Changed) {
    auto Old = Before.Items.find(Key);
    if (Old != Before.Items.end())
      std::cout << "- " << Key << " " << Old->second.Json << "\n";
    std::cout << "+ " << Key << " " << Json << "\n";
  }
  for (const std::string &Key : Delta.Removed)
    std::cout << "- " << Key << " " << Before.Items[Key].Json << "\n";
  std::cout << Delta.Changed.size() << " changed or added, "
            << Delta.Removed.size() << " removed, against version "
            << Before.Seal.Version << "\n";
  return ExitCode::Success;
}

static ExitCode sign() {
  BundleItems Items = loadBundleItems(requireFlag(FLAGS_file, "--file"));
  std::uint64_t Version = FLAGS_version_number;
  if (Version == 0)
    Version = acceptedBundle().Seal.Version + 1;
  std::string Key = firstLine(readFile(requireFlag(FLAGS_key, "--key")));
  SignedBundle Next = sealBundle(std::move(Items), Version,
                                 requireFlag(FLAGS_signer, "--signer"), Key,
                                 FLAGS_note, EventLoop::wallClock());
  writeFile(requireFlag(FLAGS_out, "--out"), encodeBundle(Next));
  std::cout << "signed version " << Version << " root " << hexOf(Next.Seal.Root)
            << "\n";
  return ExitCode::Success;
}

static ExitCode accept() {
  auto Next = decodeBundle(readFile(requireFlag(FLAGS_file, "--file")));
  if (!Next || Next->Seal.Version == 0)
    throw Error(ResultCode::BundleInvalid,
                FLAGS_file + ": not a file that `bundle sign` wrote");
  BlockingConsulKv Kv(FLAGS_kv);
  CommandResult Result =
      acceptBundle(Kv, *Next, splitList(FLAGS_operator_keys),
                   FLAGS_test ? CommandMode::Test : CommandMode::Execute);
  if (Result.Code != ResultCode::Complete)
    throw Error(Result.Code, Result.Message);
  std::cout << Result.Message << "\n";
  return ExitCode::Success;
}

static ExitCode show() {
  SignedBundle Found = acceptedBundle();
  std::cout << "// version " << Found.Seal.Version << " signed by "
            << Found.Seal.Signer << ": " << Found.Seal.Note << "\n";
  for (const auto &[Key, Item] : Found.Items)
    std::cout << Key << " " << Item.Json << "\n";
  return ExitCode::Success;
}

static ExitCode history() {
  SignedBundle Found = acceptedBundle();
  std::vector<BundleSeal> Seals = Found.History;
  Seals.insert(Seals.begin(), Found.Seal);
  for (const BundleSeal &Seal : Seals)
    std::cout << Seal.Version << "  " << hexOf(Seal.Root).substr(0, 16) << "  "
              << Seal.Signer << "  " << Seal.Note << "\n";
  return ExitCode::Success;
}

/// Queries the bundle version of every member that the nodes of --nodes list as
/// not dead.
/// \return The number of members that do not have \p Wanted in force.
static std::size_t countBehind(std::uint64_t Wanted) {
  std::map<std::string, std::string> OperatorAddresses;
  for (const std::string &Address : splitList(FLAGS_nodes)) {
    auto Status = nodeStatus(Address);
    if (!Status)
      continue;
    for (const Json &Item : Status->find("members")->Items) {
      if (Item.text("state") != "dead")
        OperatorAddresses[Item.text("id")] = Item.text("operator");
    }
  }
  // With --wait, nodes that are still starting are waited for too.
  if (OperatorAddresses.empty() && FLAGS_wait)
    return 1;
  if (OperatorAddresses.empty())
    throw Error(ResultCode::NodeUnreachable,
                "no node responds at " + FLAGS_nodes);
  std::size_t Behind = 0;
  for (const auto &[Id, Address] : OperatorAddresses) {
    auto Status = nodeStatus(Address);
    double Version = Status ? Status->find("bundle")->number("version") : 0;
    bool InForce = Version >= static_cast<double>(Wanted);
    Behind += InForce ? 0 : 1;
    if (!InForce)
      std::cout << "behind: " << Id << " at " << Address << " has "
                << (Status ? std::to_string(static_cast<int>(Version))
                           : std::string("no response"))
                << "\n";
  }
  std::cout << "version " << Wanted << ": in force on "
            << OperatorAddresses.size() - Behind << " of "
            << OperatorAddresses.size() << " nodes\n";
  return Behind;
}

static ExitCode status() {
  std::uint64_t Wanted = acceptedBundle().Seal.Version;
  TimePoint Until = EventLoop::clock() + fromMs(FLAGS_timeout_s * 1e3);
  while (countBehind(Wanted) > 0) {
    if (!FLAGS_wait || EventLoop::clock() >= Until)
      throw Error(ResultCode::NotInForce, "not in force everywhere");
    TimerService Timers;
    EventLoop Pause(Timers);
    Timers.after(std::chrono::milliseconds(200), [&Pause] { Pause.stop(); });
    Pause.run();
  }
  return ExitCode::Success;
}

ExitCode runBundle(const PositionalArgs &Args) {
  static const std::vector<std::pair<std::string, ExitCode (*)()>> Steps = {
      {"keygen", keygen},   {"check", check},   {"diff", diff},
      {"sign", sign},       {"accept", accept}, {"show", show},
      {"history", history}, {"status", status}};
  for (const auto &[Name, Run] : Steps) {
    if (Args.size() == 1 && Args[0] == Name)
      return Run();
  }
  throw Error(ResultCode::UsageError,
              "bundle needs one step: keygen, check, diff, sign, accept, show, "
              "history or status");
}

} // namespace fulmar
