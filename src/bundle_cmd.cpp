/// \file bundle_cmd.cpp Commands that change the bundle in the key-value
/// service.
#include "bundle_cmd.h"

#include "bundle_func.h"
#include "peer_codec.h"
#include "rollout_service.h"
#include "signature_func.h"

namespace fulmar {

/// Attempts to write when the response is lost and the write did not take
/// effect.
static constexpr int MaxTries = 3;
/// Maximum number of earlier seals stored with the bundle.
static constexpr std::size_t MaxHistory = 20;

SignedBundle sealBundle(BundleItems Items, std::uint64_t Version,
                        const std::string &Signer,
                        const std::string &PrivateHex, const std::string &Note,
                        WallMs Now) {
  SignedBundle Out;
  Out.Items = std::move(Items);
  Out.Seal.Version = Version;
  Out.Seal.Root = rootOf(Out.Items);
  Out.Seal.Signer = Signer;
  Out.Seal.CreatedMs = Now;
  Out.Seal.Note = Note;
  Out.Seal.Signature = signText(PrivateHex, sealStatement(Out.Seal));
  return Out;
}

SignedBundle readAcceptedBundle(BlockingKv &Kv, std::uint64_t &Index) {
  KvEntry Entry;
  if (Kv.get(BundleKey, Entry) != KvStatus::Ok)
    throw Error(ResultCode::KvUnavailable,
                "the key-value service does not answer");
  Index = Entry.Index;
  if (Entry.Index == 0)
    return SignedBundle();
  auto Found = decodeBundle(Entry.Value);
  if (!Found)
    throw Error(ResultCode::BundleInvalid,
                "the key-value service holds a damaged bundle");
  return *Found;
}

static CommandResult conflict(const SignedBundle &Winner) {
  return {ResultCode::BundleConflict,
          "version " + std::to_string(Winner.Seal.Version) +
              " is accepted, signed by " + Winner.Seal.Signer + ": \"" +
              Winner.Seal.Note + "\"; sign again as version " +
              std::to_string(Winner.Seal.Version + 1)};
}

static CommandResult accepted(const SignedBundle &Next) {
  return {ResultCode::Complete, "accepted version " +
                                    std::to_string(Next.Seal.Version) +
                                    " root " + hexOf(Next.Seal.Root)};
}

/// Checks what does not depend on the key-value service.
static CommandResult checkSigned(const SignedBundle &Next,
                                 const std::vector<std::string> &Keys) {
  if (rootOf(Next.Items) != Next.Seal.Root ||
      (!Keys.empty() && !verifySeal(Next.Seal, Keys)))
    return {ResultCode::SignatureInvalid,
            "the signature is not by a trusted key, or not of this content"};
  buildBundle(Next.Items, Next.Seal.Version);
  return {};
}

/// \return \p Next with the seals of \p Before and its predecessors as history.
static SignedBundle withHistory(const SignedBundle &Next,
                                const SignedBundle &Before) {
  SignedBundle Out = Next;
  Out.History = Before.History;
  if (Before.Seal.Version > 0)
    Out.History.insert(Out.History.begin(), Before.Seal);
  if (Out.History.size() > MaxHistory)
    Out.History.resize(MaxHistory);
  return Out;
}

CommandResult acceptBundle(BlockingKv &Kv, const SignedBundle &Next,
                           const std::vector<std::string> &Keys,
                           CommandMode Mode) {
  CommandResult Checked = checkSigned(Next, Keys);
  if (Checked.Code != ResultCode::Complete)
    return Checked;
  for (int Try = 0; Try < MaxTries; ++Try) {
    std::uint64_t Index = 0;
    SignedBundle Before = readAcceptedBundle(Kv, Index);
    // Also reached when the response to an earlier attempt was lost although
    // its write took effect.
    if (Before.Seal == Next.Seal)
      return accepted(Next);
    if (Before.Seal.Version + 1 != Next.Seal.Version)
      return conflict(Before);
    std::string Value = encodeBundle(withHistory(Next, Before));
    if (Value.size() > MaxKvValueBytes)
      return {ResultCode::BundleTooLarge, std::to_string(Value.size()) +
                                              " bytes; the limit is " +
                                              std::to_string(MaxKvValueBytes)};
    if (Mode == CommandMode::Test)
      return {ResultCode::Complete, "version " +
                                        std::to_string(Next.Seal.Version) +
                                        " would be accepted"};
    if (Kv.cas(BundleKey, Value, Index) == KvStatus::Ok)
      return accepted(Next);
  }
  return {ResultCode::KvUnavailable,
          "the key-value service does not confirm the write; run the command "
          "again to learn whether it took effect"};
}

} // namespace fulmar
